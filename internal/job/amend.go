package job

import (
	"cleatpick/internal/loop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// Edit works out the next record of a job that is not over; nil leaves it as it is.
type Edit func(*Job) *Record

// Amend changes a job's record on the version that is known, and tries again from the
// newer one when that has moved. cb gets the job as it then stands, 404 or 503; a job
// that is over is never changed.
func (b *Book) Amend(id string, edit Edit, cb func(Answer)) {
	if b.bad[id] {
		cb(Answer{Code: 503, ID: id})
		return
	}
	dead := b.r.Now() + patience
	var try func()
	try = func() {
		j := b.jobs[id]
		if j == nil {
			b.fetch(id, func(a Answer) {
				if a.Code == 200 {
					try()
					return
				}
				cb(a)
			})
			return
		}
		if j.Final() {
			cb(answer(j, 200))
			return
		}
		rec := edit(j)
		if rec == nil {
			// What is known here may be old: the store has the last word.
			b.check(id, Writer, func(a Answer) {
				if k := b.jobs[id]; a.Code == 200 && k != nil && !k.Final() && edit(k) != nil && b.r.Now() < dead {
					try()
					return
				}
				cb(a)
			})
			return
		}
		if b.r.Now() >= dead {
			cb(Answer{Code: 503, ID: id})
			return
		}
		b.c.Txn(store.Answers, wire.Txn{If: []wire.Cond{{Key: Keys + id, Mark: j.Mark}},
			Then: []wire.Change{{Put: Keys + id, Value: *rec}}}, func(r store.Result) {
			switch r.Outcome {
			case store.Applied:
				b.m.Apply(Keys+id, wire.Marshal(*rec), r.Tally, false)
				cb(answer(b.jobs[id], 200))
			case store.Conflict:
				b.fetch(id, func(a Answer) {
					if a.Code == 200 {
						try()
						return
					}
					cb(Answer{Code: 503, ID: id})
				})
			case store.Refused:
				cb(Answer{Code: 503, ID: id})
			default:
				b.r.After(120*loop.Millisecond, try)
			}
		})
	}
	try()
}

func (j *Job) with(t Terms) *Record {
	return &Record{Phase: j.Phase, At: j.At, Spec: j.Spec, Terms: t.stored()}
}

// Withdraw stores a cancellation unless the job is done; cb gets the final state, 404 or 503.
func (b *Book) Withdraw(id string, cb func(Answer)) {
	b.Amend(id, func(j *Job) *Record {
		rec := j.with(j.Terms)
		rec.Phase = Withdrawn
		return rec
	}, cb)
}

// Hold keeps a job's tasks from being started, until it is released or a time of day
// comes. It begins as settling: the job's owner calls it set once nothing that was
// recorded as started before can begin any more.
func (b *Book) Hold(id string, h Hold, cb func(Answer)) {
	h.At = b.r.Wall()
	b.Amend(id, func(j *Job) *Record {
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
func (b *Book) Settle(id string, mark uint64, cb func(Answer)) {
	b.Amend(id, func(j *Job) *Record {
		if j.Mark != mark || j.Terms.Hold.State != HoldSettling {
			return nil
		}
		t := j.Terms
		t.Hold.State = HoldSet
		return j.with(t)
	}, cb)
}

// Release ends a job's hold, and releases it from the jobs that it waited for and that
// were withdrawn.
func (b *Book) Release(id string, cb func(Answer)) {
	b.Amend(id, func(j *Job) *Record {
		t := j.Terms
		changed := t.Hold.State != HoldNone
		t.Hold = Hold{}
		if t.OnWithdrawn == PolicyHold {
			for _, d := range t.After {
				if o := b.jobs[d]; o != nil && o.Phase == Withdrawn && !t.WaivedFrom(d) {
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

// Find looks a job up here or in the store; cb gets 200, 404 or 503.
func (b *Book) Find(id string, cb func(Answer)) {
	if j := b.jobs[id]; j != nil && !b.bad[id] {
		cb(answer(j, 200))
		return
	}
	b.fetch(id, cb)
}
