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
func (b *Book) Submit(id string, spec *Spec, cb func(Answer)) { b.Propose(id, spec, &Terms{}, cb) }

// Propose is Submit for a job with terms. The jobs that it waits for must have been
// found in the store; since no record is ever removed, they are there for good.
func (b *Book) Propose(id string, spec *Spec, terms *Terms, cb func(Answer)) {
	q := b.ask(id, true, cb)
	q.absent = func() { b.create(q, spec, terms) }
	switch j := b.jobs[id]; {
	case j != nil && j.Final():
		b.deliver(q, b.current(id, 200, WayFinal, 0))
	case j != nil || b.bad[id]:
		b.read(q)
	default:
		q.absent()
	}
}

// create lets a job in line for its record, with all who submit it.
func (b *Book) create(q *question, spec *Spec, terms *Terms) {
	if c := b.creates[q.id]; c != nil {
		c.questions = append(c.questions, q)
		return
	}
	a := b.line.Ask(admission.Request{ID: q.id, Team: spec.Team, Class: spec.Class, Urgent: spec.Priority >= High}, b.r.Now(), b.r.Wall())
	if a.Instead != "" {
		b.putOff(a.Instead, a.After)
	}
	if !a.Taken {
		b.c.Meter.Submission("putOff")
		b.deliver(q, Answer{Code: 429, ID: q.id, After: a.After, way: RefusedPutOff})
		return
	}
	b.creates[q.id] = &creation{spec: spec, terms: terms.stored(), questions: []*question{q}, deadline: q.deadline}
	b.pumpCreates()
}

// putOff tells those who submitted a job to come back: its place goes to another.
func (b *Book) putOff(id string, after int) {
	b.c.Meter.Submission("putOff")
	b.endCreate(id, Answer{Code: 429, ID: id, After: after, way: RefusedPutOff})
}

// endCreate tells all who submitted a job what came of it.
func (b *Book) endCreate(id string, a Answer) {
	c := b.creates[id]
	if c == nil {
		return
	}
	delete(b.creates, id)
	for i, q := range c.questions {
		if i > 0 && a.Code == 201 {
			a.Code = 200
		}
		b.deliver(q, a)
	}
}

// createBatch is the creations of one transaction.
type createBatch struct {
	turns   []admission.Turn
	records map[string]Record
	txn     wire.Txn
}

func (b *Book) nextBatch() createBatch {
	batch := createBatch{records: map[string]Record{}}
	size := 0
	for len(batch.records) < min(mostCreates, b.c.MostChanges()) && size <= createBytes {
		next := b.line.Next(1)
		if len(next) == 0 {
			break
		}
		id := next[0].ID
		c := b.creates[id]
		if c == nil {
			continue // given up
		}
		record := Record{Phase: Accepted, At: b.r.Wall(), Spec: c.spec, Terms: c.terms}
		size += keyBytes + len(wire.Marshal(record))
		batch.turns = append(batch.turns, next[0])
		batch.records[id] = record
		batch.txn.If = append(batch.txn.If, wire.Cond{Key: Keys + id, Mark: 0})
		batch.txn.Then = append(batch.txn.Then, wire.Change{Put: Keys + id, Value: record})
	}
	return batch
}

// pumpCreates stores waiting submissions, several in one transaction.
func (b *Book) pumpCreates() {
	if b.creating {
		return
	}
	batch := b.nextBatch()
	if len(batch.turns) == 0 {
		return
	}
	b.creating = true
	request := b.c.Next()
	b.c.Txn(store.Answers, batch.txn, func(r store.Result) {
		b.creating = false
		b.createsEnded(&batch, r, request)
	})
}

func (b *Book) createsEnded(batch *createBatch, r store.Result, request store.Sequence) {
	switch r.Outcome {
	case store.Applied:
		b.line.Served(len(batch.turns), b.r.Now(), b.line.Waiting() > 0)
		for _, turn := range batch.turns {
			b.c.Meter.Submission("taken")
			b.m.Apply(Keys+turn.ID, wire.Marshal(batch.records[turn.ID]), r.Tally, false)
			b.endCreate(turn.ID, b.current(turn.ID, 201, WayStored, request))
		}
	case store.Conflict:
		b.createsConflicted(batch, r.Failed)
	case store.Refused:
		// It cannot be taken now: its user is told at once when to come back.
		for _, turn := range batch.turns {
			b.endCreate(turn.ID, refusal(turn.ID, 503, RefusedState))
		}
	default:
		// Unknown: the same creation may be tried again, since it is
		// conditioned on the job's absence.
		b.line.Back(batch.turns)
		b.r.After(createAgain, b.pumpCreates)
		return
	}
	b.pumpCreates()
}

// createsConflicted reads the jobs that exist already, and lets the others wait again.
func (b *Book) createsConflicted(batch *createBatch, failed []string) {
	exists := map[string]bool{}
	for _, key := range failed {
		exists[strings.TrimPrefix(key, Keys)] = true
	}
	for _, turn := range batch.turns {
		c := b.creates[turn.ID]
		switch {
		case c == nil: // given up
		case exists[turn.ID]:
			delete(b.creates, turn.ID)
			for _, q := range c.questions {
				b.read(q)
			}
		default:
			b.line.Back([]admission.Turn{turn})
		}
	}
}

// expireCreates gives up the submissions that waited too long.
func (b *Book) expireCreates(now loop.Micros) {
	for id, c := range loop.Sorted(b.creates) {
		if now >= c.deadline {
			a := refusal(id, 503, RefusedExpired)
			a.After = b.line.Drop(id, b.r.Wall())
			b.endCreate(id, a)
		}
	}
}
