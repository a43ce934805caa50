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
	// keyBytes is the size that a record adds to a transaction beyond its value.
	keyBytes = 600
	// createAgain is the delay before a transaction without an answer is repeated.
	createAgain = 100 * loop.Millisecond
)

// creation is a submitted job whose record is not stored yet. Others who submit the same job meanwhile wait for
// the same transaction; deliver decides for each whether the result is recent enough.
type creation struct {
	spec      *Spec
	terms     *Terms
	questions []*question
	deadline  loop.Micros
}

// Submit stores a job unless it exists. cb receives 201 if it was stored, 200 if it existed, or a refusal with
// 429 or 503.
func (r *Registry) Submit(id string, spec *Spec, cb func(Answer)) {
	r.Propose(id, spec, &Terms{}, cb)
}

// Propose is Submit for a job with a hold or dependencies. The caller must have found the jobs that it depends
// on in the state service; records are never removed, so they continue to exist.
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

// create queues a job for its record to be stored, together with all who submit it.
func (r *Registry) create(q *question, spec *Spec, terms *Terms) {
	if c := r.creates[q.id]; c != nil {
		c.questions = append(c.questions, q)
		return
	}
	a := r.line.Ask(admission.Request{ID: q.id, Team: spec.Team, Class: spec.Class, Urgent: spec.Priority >= High}, r.runner.Now(), r.runner.Wall())
	if a.Instead != "" {
		r.putOff(a.Instead, a.After)
	}
	if !a.Taken {
		r.client.Meter.Submission("putOff")
		r.deliver(q, Answer{Code: 429, ID: q.id, After: a.After, way: RefusedPutOff})
		return
	}
	r.creates[q.id] = &creation{spec: spec, terms: terms.stored(), questions: []*question{q}, deadline: q.deadline}
	r.pumpCreates()
}

// putOff tells those who submitted a job to retry later, since another submission takes its place in the queue.
func (r *Registry) putOff(id string, after int) {
	r.client.Meter.Submission("putOff")
	r.endCreate(id, Answer{Code: 429, ID: id, After: after, way: RefusedPutOff})
}

// endCreate answers all who submitted a job. Only the first is told that it created the job.
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

// createBatch is the set of new jobs that one transaction stores.
type createBatch struct {
	turns   []admission.Turn
	records map[string]Record
	txn     wire.Txn
}

// nextBatch takes submissions from the queue until a transaction is full.
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
			continue // its submitters were already answered
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

// pumpCreates stores waiting submissions, several in one transaction and one transaction at a time.
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

// createsEnded handles the outcome of a transaction that stores new jobs.
func (r *Registry) createsEnded(batch *createBatch, result store.Result, request store.Sequence) {
	switch result.Outcome {
	case store.Applied:
		r.line.Served(len(batch.turns), r.runner.Now(), r.line.Waiting() > 0)
		for _, turn := range batch.turns {
			r.client.Meter.Submission("taken")
			r.mirror.Apply(Keys+turn.ID, wire.Marshal(batch.records[turn.ID]), result.Tally, false)
			r.endCreate(turn.ID, r.current(turn.ID, 201, WayStored, request))
		}
	case store.Conflict:
		r.createsConflicted(batch, result.Failed)
	case store.Refused:
		// The state service did not store the jobs. Their users are told to retry at once, rather than held
		// until it recovers.
		for _, turn := range batch.turns {
			r.endCreate(turn.ID, refusal(turn.ID, 503, RefusedState))
		}
	default:
		// The outcome is unknown. Repeating the transaction is safe, since it is conditioned on the absence of
		// the records.
		r.line.Back(batch.turns)
		r.runner.After(createAgain, r.pumpCreates)
		return
	}
	r.pumpCreates()
}

// createsConflicted answers for the jobs that exist already, and puts the others back into the queue.
func (r *Registry) createsConflicted(batch *createBatch, failed []string) {
	exists := map[string]bool{}
	for _, key := range failed {
		exists[strings.TrimPrefix(key, Keys)] = true
	}
	for _, turn := range batch.turns {
		c := r.creates[turn.ID]
		switch {
		case c == nil: // its submitters were already answered
		case exists[turn.ID]:
			delete(r.creates, turn.ID)
			for _, q := range c.questions {
				r.read(q)
			}
		default:
			r.line.Back([]admission.Turn{turn})
		}
	}
}

// expireCreates gives up submissions that have waited too long.
func (r *Registry) expireCreates(now loop.Micros) {
	for id, c := range loop.Sorted(r.creates) {
		if now >= c.deadline {
			a := refusal(id, 503, RefusedExpired)
			a.After = r.line.Drop(id, r.runner.Wall())
			r.endCreate(id, a)
		}
	}
}
