package job

import (
	"cleatpick/internal/eventloop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// Edit returns the new record of a job that is not final; nil leaves the record as it is.
type Edit func(*Job) *Record

// amendRetryDelay is the delay before a change without an answer is repeated.
const amendRetryDelay = 120 * eventloop.Millisecond

// Amend changes a job's record on condition that it has the revision known here, and repeats that with the
// newer revision if it has changed. callback receives the resulting state of the job, or 404 or 503. The record of a
// final job is never changed.
func (r *Registry) Amend(id string, edit Edit, callback func(Answer)) {
	r.amend(r.newUserRequest(id, true, callback), edit)
}

func (r *Registry) amend(req *userRequest, edit Edit) {
	j := r.jobs[req.id]
	switch {
	case r.damaged[req.id]:
		r.deliver(req, newRefusal(req.id, 503, RefusedState))
	case j == nil:
		r.fetchAndAmend(req, edit, 404)
	case j.Final():
		r.deliver(req, r.current(req.id, 200, SourceFinal, 0))
	case r.runner.Now() >= req.deadline:
		r.deliver(req, newRefusal(req.id, 503, RefusedExpired))
	default:
		if record := edit(j); record != nil {
			r.storeAmendment(req, edit, j, record)
			return
		}
		r.confirmUnchanged(req, edit)
	}
}

// confirmUnchanged confirms with the state service that a job needs no change, since the copy here may be out of
// date.
func (r *Registry) confirmUnchanged(req *userRequest, edit Edit) {
	confirm := *req
	confirm.reply = func(a Answer) {
		if j := r.jobs[req.id]; a.Code == 200 && j != nil && !j.Final() && edit(j) != nil {
			r.amend(req, edit)
			return
		}
		req.reply(a)
	}
	r.answerWhenCurrent(&confirm)
}

func (r *Registry) storeAmendment(req *userRequest, edit Edit, j *Job, record *Record) {
	sequence := r.client.NextSequence()
	r.client.Txn(store.Answers, wire.Txn{If: []wire.Cond{RevisionCond(j)}, Then: []wire.Change{{Put: KeyPrefix + req.id, Value: *record}}}, func(result store.Result) {
		switch result.Outcome {
		case store.Applied:
			r.mirror.Apply(KeyPrefix+req.id, wire.Marshal(*record), result.Revision, false)
			r.deliver(req, r.current(req.id, 200, SourceStored, sequence))
		case store.Conflict:
			r.fetchAndAmend(req, edit, 503) // a record that existed is never removed
		case store.Refused:
			r.deliver(req, newRefusal(req.id, 503, RefusedState))
		default:
			r.runner.After(amendRetryDelay, func() { r.amend(req, edit) })
		}
	})
}

// fetchAndAmend reads the record and continues with it; absent is the status code of the answer if there is no
// record.
func (r *Registry) fetchAndAmend(req *userRequest, edit Edit, absent int) {
	r.fetch(req.id, func(a Answer) {
		switch a.Code {
		case 200:
			r.amend(req, edit)
		case 404:
			a.Code = absent
			r.deliver(req, a)
		default:
			r.deliver(req, a)
		}
	})
}

// recordWith returns the job's record with other terms.
func (j *Job) recordWith(t Terms) *Record {
	return &Record{Phase: j.Phase, AcceptedAt: j.AcceptedAt, Spec: j.Spec, Terms: t.stored()}
}

// Cancel stores a cancellation unless the job is done. callback receives the final state, or 404 or 503.
func (r *Registry) Cancel(id string, callback func(Answer)) {
	r.Amend(id, func(j *Job) *Record {
		rec := j.recordWith(j.Terms)
		rec.Phase, rec.CancelledAt = Cancelled, r.runner.Wall()
		return rec
	}, callback)
}

// Hold prevents a job's tasks from being started until the job is released or the hold's end, a wall-clock
// time, has passed. The hold is stored as pending; the job's owner calls ConfirmHold once no start
// that was recorded before can still be carried out.
func (r *Registry) Hold(id string, h Hold, callback func(Answer)) {
	h.RequestedAt = r.runner.Wall()
	r.Amend(id, func(j *Job) *Record {
		old := j.Terms.Hold
		if old.State != HoldNone && old.Until == h.Until && old.Reason == h.Reason && old.By == h.By && h.Blocks(h.RequestedAt) {
			return nil // the request was repeated
		}
		t := j.Terms
		t.Hold = h
		t.Hold.State = HoldPending
		if old.State == HoldEffective && old.Until == 0 {
			// The old hold has no end, so no task has begun since it was set, and none begins before this record is
			// stored. A hold that ends by itself does not prove that: this record may be stored after its end.
			t.Hold.State = HoldEffective
		}
		return j.recordWith(t)
	}, callback)
}

// ConfirmHold marks a hold as effective, provided that the job's record still has this revision.
func (r *Registry) ConfirmHold(id string, revision uint64, callback func(Answer)) {
	r.Amend(id, func(j *Job) *Record {
		if j.Revision != revision || j.Terms.Hold.State != HoldPending {
			return nil
		}
		t := j.Terms
		t.Hold.State = HoldEffective
		return j.recordWith(t)
	}, callback)
}

// Release ends a job's hold, and releases the job from waiting for cancelled jobs that it depends on.
func (r *Registry) Release(id string, callback func(Answer)) {
	r.Amend(id, func(j *Job) *Record {
		t := j.Terms
		changed := t.Hold.State != HoldNone
		t.Hold = Hold{}
		if t.OnCancelled == PolicyHold {
			for _, d := range t.Dependencies {
				if o := r.jobs[d]; o != nil && o.Phase == Cancelled && !t.WaivedFrom(d) {
					t.Waived = append(t.Waived[:len(t.Waived):len(t.Waived)], d)
					changed = true
				}
			}
		}
		if !changed {
			return nil
		}
		return j.recordWith(t)
	}, callback)
}

// Exists determines whether a job was ever accepted; callback receives 200, 404 or 503. Records are never removed, so
// a job known here exists.
func (r *Registry) Exists(id string, callback func(code int)) {
	if r.jobs[id] != nil {
		callback(200)
		return
	}
	r.fetch(id, func(a Answer) { callback(a.Code) })
}
