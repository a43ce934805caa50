package job

import (
	"strings"

	"cleatpick/internal/admission"
	"cleatpick/internal/loop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

const (
	// mostCreates and createBytes bound the records that one transaction stores.
	mostCreates = 8
	createBytes = 30000
	// keyBytes is what a record takes in a transaction beyond its value.
	keyBytes = 600
	// createAgain is the time after which a creation without an answer is tried again.
	createAgain = 100 * loop.Millisecond
)

// creation is a submitted job that waits for its record to be stored. Whoever submits the job
// again meanwhile waits with it; deliver judges whether what comes of it is new enough for each.
type creation struct {
	spec      *Spec
	terms     *Terms
	questions []*question
	deadline  loop.Micros
}

// Submit stores a job unless it exists; cb gets 201 or 200, or 429 and 503.
func (r *Registry) Submit(id string, spec *Spec, cb func(Answer)) {
	r.Propose(id, spec, &Terms{}, cb)
}

// Propose is Submit for a job with terms. The jobs that it waits for must have been
// found in the store; since no record is ever removed, they are there for good.
func (r *Registry) Propose(id string, spec *Spec, terms *Terms, cb func(Answer)) {
	q := r.ask(id, true, cb)
	q.absent = func() { r.create(q, spec, terms) }
	switch j := r.jobs[id]; {
	case j != nil && j.Final():
		r.deliver(q, r.current(id, 200, WayFinal, 0))
	case j != nil || r.damaged[id]:
		r.read(q)
	default:
		q.absent()
	}
}

// create lets a job in line for its record, with all who submit it.
func (r *Registry) create(q *question, spec *Spec, terms *Terms) {
	if c := r.creates[q.id]; c != nil {
		c.questions = append(c.questions, q)
		return
	}
	a := r.line.Enqueue(admission.Request{ID: q.id, Team: spec.Team, Class: spec.Class, Urgent: spec.Priority >= High}, r.runner.Now(), r.runner.Wall())
	if a.Evicted != "" {
		r.putOff(a.Evicted, a.RetryAfter)
	}
	if !a.Queued {
		r.client.Meter.Submission("putOff")
		r.deliver(q, Answer{Code: 429, ID: q.id, After: a.RetryAfter, way: RefusedPutOff})
		return
	}
	r.creates[q.id] = &creation{spec: spec, terms: terms.stored(), questions: []*question{q}, deadline: q.deadline}
	r.pumpCreates()
}

// putOff tells those who submitted a job to come back: its place goes to another.
func (r *Registry) putOff(id string, after int) {
	r.client.Meter.Submission("putOff")
	r.endCreate(id, Answer{Code: 429, ID: id, After: after, way: RefusedPutOff})
}

// endCreate tells all who submitted a job what came of it.
func (r *Registry) endCreate(id string, a Answer) {
	c := r.creates[id]
	if c == nil {
		return
	}
	delete(r.creates, id)
	for i, q := range c.questions {
		if i > 0 && a.Code == 201 {
			a.Code = 200
		}
		r.deliver(q, a)
	}
}

// createBatch is the creations of one transaction.
type createBatch struct {
	turns   []admission.Entry
	records map[string]Record
	txn     wire.Txn
}

func (r *Registry) nextBatch() createBatch {
	batch := createBatch{records: map[string]Record{}}
	size := 0
	for len(batch.records) < min(mostCreates, r.client.MostChanges()) && size <= createBytes {
		next := r.line.Next(1)
		if len(next) == 0 {
			break
		}
		id := next[0].ID
		c := r.creates[id]
		if c == nil {
			continue // given up
		}
		record := Record{Phase: Accepted, At: r.runner.Wall(), Spec: c.spec, Terms: c.terms}
		size += keyBytes + len(wire.Marshal(record))
		batch.turns = append(batch.turns, next[0])
		batch.records[id] = record
		batch.txn.If = append(batch.txn.If, wire.Cond{Key: Keys + id, Mark: 0})
		batch.txn.Then = append(batch.txn.Then, wire.Change{Put: Keys + id, Value: record})
	}
	return batch
}

// pumpCreates stores waiting submissions, several in one transaction.
func (r *Registry) pumpCreates() {
	if r.creating {
		return
	}
	batch := r.nextBatch()
	if len(batch.turns) == 0 {
		return
	}
	r.creating = true
	request := r.client.Next()
	r.client.Txn(store.Answers, batch.txn, func(result store.Result) {
		r.creating = false
		r.createsEnded(&batch, result, request)
	})
}

func (r *Registry) createsEnded(batch *createBatch, result store.Result, request store.Sequence) {
	switch result.Outcome {
	case store.Applied:
		r.line.RecordAdmitted(len(batch.turns), r.runner.Now(), r.line.Waiting() > 0)
		for _, turn := range batch.turns {
			r.client.Meter.Submission("taken")
			r.mirror.Apply(Keys+turn.ID, wire.Marshal(batch.records[turn.ID]), result.Tally, false)
			r.endCreate(turn.ID, r.current(turn.ID, 201, WayStored, request))
		}
	case store.Conflict:
		r.createsConflicted(batch, result.Failed)
	case store.Refused:
		// It cannot be taken now: its user is told at once when to come back.
		for _, turn := range batch.turns {
			r.endCreate(turn.ID, refusal(turn.ID, 503, RefusedState))
		}
	default:
		// Unknown: the same creation may be tried again, since it is
		// conditioned on the job's absence.
		r.line.Requeue(batch.turns)
		r.runner.After(createAgain, r.pumpCreates)
		return
	}
	r.pumpCreates()
}

// createsConflicted reads the jobs that exist already, and lets the others wait again.
func (r *Registry) createsConflicted(batch *createBatch, failed []string) {
	exists := map[string]bool{}
	for _, key := range failed {
		exists[strings.TrimPrefix(key, Keys)] = true
	}
	for _, turn := range batch.turns {
		c := r.creates[turn.ID]
		switch {
		case c == nil: // given up
		case exists[turn.ID]:
			delete(r.creates, turn.ID)
			for _, q := range c.questions {
				r.read(q)
			}
		default:
			r.line.Requeue([]admission.Entry{turn})
		}
	}
}

// expireCreates gives up the submissions that waited too long.
func (r *Registry) expireCreates(now loop.Micros) {
	for id, c := range loop.Sorted(r.creates) {
		if now >= c.deadline {
			a := refusal(id, 503, RefusedExpired)
			a.After = r.line.TimeOut(id, r.runner.Wall())
			r.endCreate(id, a)
		}
	}
}
