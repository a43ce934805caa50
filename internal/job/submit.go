package job

import (
	"strings"

	"cleatpick/internal/admission"
	"cleatpick/internal/loop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

const (
	// maxBatchRecords and maxBatchBytes bound the records that one transaction stores.
	maxBatchRecords = 8
	maxBatchBytes   = 30000
	// recordOverheadBytes is the size that a record adds to a transaction beyond its value.
	recordOverheadBytes = 600
	// createRetryDelay is the delay before a transaction without an answer is repeated.
	createRetryDelay = 100 * loop.Millisecond
)

// creation is a submitted job whose record is not stored yet. Others who submit the same job meanwhile wait for
// the same transaction; deliver decides for each whether the result is recent enough.
type creation struct {
	spec     *Spec
	terms    *Terms
	requests []*userRequest
	deadline loop.Micros
}

// Submit stores a job unless it exists. callback receives 201 if it was stored, 200 if it existed, or a refusal with
// 429 or 503.
func (r *Registry) Submit(id string, spec *Spec, callback func(Answer)) {
	r.SubmitWithTerms(id, spec, &Terms{}, callback)
}

// SubmitWithTerms is Submit for a job with a hold or dependencies. The caller must have found the jobs that it
// depends on in the state service; records are never removed, so they continue to exist.
func (r *Registry) SubmitWithTerms(id string, spec *Spec, terms *Terms, callback func(Answer)) {
	req := r.newUserRequest(id, true, callback)
	req.onAbsent = func() { r.enqueue(req, spec, terms) }
	switch j := r.jobs[id]; {
	case j != nil && j.Final():
		r.deliver(req, r.current(id, 200, SourceFinal, 0))
	case j != nil || r.damaged[id]:
		r.answerWhenCurrent(req)
	default:
		req.onAbsent()
	}
}

// enqueue queues a job for its record to be stored, together with all who submit it.
func (r *Registry) enqueue(req *userRequest, spec *Spec, terms *Terms) {
	if c := r.pending[req.id]; c != nil {
		c.requests = append(c.requests, req)
		return
	}
	a := r.queue.Enqueue(admission.Request{ID: req.id, Team: spec.Team, Class: spec.Class, Urgent: spec.Priority >= High}, r.runner.Now(), r.runner.Wall())
	if a.Evicted != "" {
		r.deferSubmission(a.Evicted, a.RetryAfter)
	}
	if !a.Queued {
		r.client.Meter.Submission("putOff")
		r.deliver(req, Answer{Code: 429, ID: req.id, RetryAfter: a.RetryAfter, source: RefusedDeferred})
		return
	}
	r.pending[req.id] = &creation{spec: spec, terms: terms.stored(), requests: []*userRequest{req}, deadline: req.deadline}
	r.storeWaiting()
}

// deferSubmission tells those who submitted a job to retry later, since another submission takes its place in the
// queue.
func (r *Registry) deferSubmission(id string, after int) {
	r.client.Meter.Submission("putOff")
	r.answerSubmitters(id, Answer{Code: 429, ID: id, RetryAfter: after, source: RefusedDeferred})
}

// answerSubmitters answers all who submitted a job. Only the first is told that it created the job.
func (r *Registry) answerSubmitters(id string, a Answer) {
	c := r.pending[id]
	if c == nil {
		return
	}
	delete(r.pending, id)
	for i, req := range c.requests {
		if i > 0 && a.Code == 201 {
			a.Code = 200
		}
		r.deliver(req, a)
	}
}

// createBatch is the set of new jobs that one transaction stores.
type createBatch struct {
	turns   []admission.Entry
	records map[string]Record
	txn     wire.Txn
}

// nextBatch takes submissions from the queue until a transaction is full.
func (r *Registry) nextBatch() createBatch {
	batch := createBatch{records: map[string]Record{}}
	size := 0
	for len(batch.records) < min(maxBatchRecords, r.client.MaxChanges()) && size <= maxBatchBytes {
		next := r.queue.Next(1)
		if len(next) == 0 {
			break
		}
		id := next[0].ID
		c := r.pending[id]
		if c == nil {
			continue // its submitters were already answered
		}
		record := Record{Phase: Accepted, AcceptedAt: r.runner.Wall(), Spec: c.spec, Terms: c.terms}
		size += recordOverheadBytes + len(wire.Marshal(record))
		batch.turns = append(batch.turns, next[0])
		batch.records[id] = record
		batch.txn.If = append(batch.txn.If, wire.Cond{Key: KeyPrefix + id, Revision: 0})
		batch.txn.Then = append(batch.txn.Then, wire.Change{Put: KeyPrefix + id, Value: record})
	}
	return batch
}

// storeWaiting stores waiting submissions, several in one transaction and one transaction at a time.
func (r *Registry) storeWaiting() {
	if r.storing {
		return
	}
	batch := r.nextBatch()
	if len(batch.turns) == 0 {
		return
	}
	r.storing = true
	sequence := r.client.NextSequence()
	r.client.Txn(store.Answers, batch.txn, func(result store.Result) {
		r.storing = false
		r.handleStored(&batch, result, sequence)
	})
}

// handleStored handles the outcome of a transaction that stores new jobs.
func (r *Registry) handleStored(batch *createBatch, result store.Result, sequence store.Sequence) {
	switch result.Outcome {
	case store.Applied:
		r.queue.RecordAdmitted(len(batch.turns), r.runner.Now(), r.queue.Waiting() > 0)
		for _, turn := range batch.turns {
			r.client.Meter.Submission("taken")
			r.mirror.Apply(KeyPrefix+turn.ID, wire.Marshal(batch.records[turn.ID]), result.Revision, false)
			r.answerSubmitters(turn.ID, r.current(turn.ID, 201, SourceStored, sequence))
		}
	case store.Conflict:
		r.handleConflict(batch, result.FailedKeys)
	case store.Refused:
		// The state service did not store the jobs. Their users are told to retry at once, rather than held
		// until it recovers.
		for _, turn := range batch.turns {
			r.answerSubmitters(turn.ID, newRefusal(turn.ID, 503, RefusedState))
		}
	default:
		// The outcome is unknown. Repeating the transaction is safe, since it is conditioned on the absence of
		// the records.
		r.queue.Requeue(batch.turns)
		r.runner.After(createRetryDelay, r.storeWaiting)
		return
	}
	r.storeWaiting()
}

// handleConflict answers for the jobs that exist already, and puts the others back into the queue.
func (r *Registry) handleConflict(batch *createBatch, failed []string) {
	exists := map[string]bool{}
	for _, key := range failed {
		exists[strings.TrimPrefix(key, KeyPrefix)] = true
	}
	for _, turn := range batch.turns {
		c := r.pending[turn.ID]
		switch {
		case c == nil: // its submitters were already answered
		case exists[turn.ID]:
			delete(r.pending, turn.ID)
			for _, req := range c.requests {
				r.answerWhenCurrent(req)
			}
		default:
			r.queue.Requeue([]admission.Entry{turn})
		}
	}
}

// expireCreates gives up submissions that have waited too long.
func (r *Registry) expireCreates(now loop.Micros) {
	for id, c := range loop.Sorted(r.pending) {
		if now >= c.deadline {
			a := newRefusal(id, 503, RefusedExpired)
			a.RetryAfter = r.queue.TimeOut(id, r.runner.Wall())
			r.answerSubmitters(id, a)
		}
	}
}
