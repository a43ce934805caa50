package job

import (
	"cleatpick/internal/loop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// Edit works out the next record of a job that is not over; nil leaves it as it is.
type Edit func(*Job) *Record

// amendAgain is the time after which a change without an answer is tried again.
const amendAgain = 120 * loop.Millisecond

// Amend changes a job's record on the version that is known, and tries again from the
// newer one when that has moved. cb gets the job as it then stands, 404 or 503; a job
// that is over is never changed.
func (r *Registry) Amend(id string, edit Edit, cb func(Answer)) {
	r.amend(r.ask(id, true, cb), edit)
}

func (r *Registry) amend(q *question, edit Edit) {
	j := r.jobs[q.id]
	switch {
	case r.damaged[q.id]:
		r.deliver(q, refusal(q.id, 503, RefusedState))
	case j == nil:
		r.amendFetched(q, edit, 404)
	case j.Final():
		r.deliver(q, r.current(q.id, 200, WayFinal, 0))
	case r.runner.Now() >= q.deadline:
		r.deliver(q, refusal(q.id, 503, RefusedExpired))
	default:
		if record := edit(j); record != nil {
			r.storeAmended(q, edit, j, record)
			return
		}
		r.unchanged(q, edit)
	}
}

// unchanged confirms that a job needs no change: what is known here may be old.
func (r *Registry) unchanged(q *question, edit Edit) {
	confirm := *q
	confirm.reply = func(a Answer) {
		if j := r.jobs[q.id]; a.Code == 200 && j != nil && !j.Final() && edit(j) != nil {
			r.amend(q, edit)
			return
		}
		q.reply(a)
	}
	r.read(&confirm)
}

func (r *Registry) storeAmended(q *question, edit Edit, j *Job, record *Record) {
	request := r.client.Next()
	r.client.Txn(store.Answers, wire.Txn{If: []wire.Cond{Cond(j)}, Then: []wire.Change{{Put: Keys + q.id, Value: *record}}}, func(result store.Result) {
		switch result.Outcome {
		case store.Applied:
			r.mirror.Apply(Keys+q.id, wire.Marshal(*record), result.Tally, false)
			r.deliver(q, r.current(q.id, 200, WayStored, request))
		case store.Conflict:
			r.amendFetched(q, edit, 503) // a record that was there is never removed
		case store.Refused:
			r.deliver(q, refusal(q.id, 503, RefusedState))
		default:
			r.runner.After(amendAgain, func() { r.amend(q, edit) })
		}
	})
}

// amendFetched reads the record, and goes on with it; absent is what is told where there is none.
func (r *Registry) amendFetched(q *question, edit Edit, absent int) {
	r.fetch(q.id, func(a Answer) {
		switch a.Code {
		case 200:
			r.amend(q, edit)
		case 404:
			a.Code = absent
			r.deliver(q, a)
		default:
			r.deliver(q, a)
		}
	})
}

func (j *Job) with(t Terms) *Record {
	return &Record{Phase: j.Phase, At: j.At, Spec: j.Spec, Terms: t.stored()}
}

// Withdraw stores a cancellation unless the job is done; cb gets the final state, 404 or 503.
func (r *Registry) Withdraw(id string, cb func(Answer)) {
	r.Amend(id, func(j *Job) *Record {
		rec := j.with(j.Terms)
		rec.Phase = Withdrawn
		return rec
	}, cb)
}

// Hold keeps a job's tasks from being started, until it is released or a time of day
// comes. It begins as settling: the job's owner calls it set once nothing that was
// recorded as started before can begin any more.
func (r *Registry) Hold(id string, h Hold, cb func(Answer)) {
	h.At = r.runner.Wall()
	r.Amend(id, func(j *Job) *Record {
		old := j.Terms.Hold
		if old.State != HoldNone && old.Until == h.Until && old.Reason == h.Reason && old.By == h.By && h.Shut(h.At) {
			return nil // repeated
		}
		t := j.Terms
		t.Hold = h
		t.Hold.State = HoldSettling
		if old.State == HoldSet && old.Until == 0 {
			// Nothing began since, and nothing does before this is stored. One that ends
			// by itself proves less: this may be stored late, after its end.
			t.Hold.State = HoldSet
		}
		return j.with(t)
	}, cb)
}

// Settle calls a hold set, as long as the job's record is still of this version.
func (r *Registry) Settle(id string, mark uint64, cb func(Answer)) {
	r.Amend(id, func(j *Job) *Record {
		if j.Revision != mark || j.Terms.Hold.State != HoldSettling {
			return nil
		}
		t := j.Terms
		t.Hold.State = HoldSet
		return j.with(t)
	}, cb)
}

// Release ends a job's hold, and releases it from the jobs that it waited for and that
// were withdrawn.
func (r *Registry) Release(id string, cb func(Answer)) {
	r.Amend(id, func(j *Job) *Record {
		t := j.Terms
		changed := t.Hold.State != HoldNone
		t.Hold = Hold{}
		if t.OnWithdrawn == PolicyHold {
			for _, d := range t.After {
				if o := r.jobs[d]; o != nil && o.Phase == Withdrawn && !t.WaivedFrom(d) {
					t.Waived = append(t.Waived[:len(t.Waived):len(t.Waived)], d)
					changed = true
				}
			}
		}
		if !changed {
			return nil
		}
		return j.with(t)
	}, cb)
}

// Exists tells whether a job was ever accepted; cb gets 200, 404 or 503. Records are never removed,
// so that one known here is enough.
func (r *Registry) Exists(id string, cb func(code int)) {
	if r.jobs[id] != nil {
		cb(200)
		return
	}
	r.fetch(id, func(a Answer) { cb(a.Code) })
}
