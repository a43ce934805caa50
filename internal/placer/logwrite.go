package placer

import (
	"slices"
	"strings"

	"cleatpick/internal/cordon"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/member"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// store applies a write on condition that this controller still owns the partition, that the jobs whose starts it
// records are at their known revisions, and that the segment was not written by another transaction.
func (p *Placer) store(part *ownedPartition, w *write) {
	if !p.owns(part) {
		return
	}
	part.log.busy = true
	key := w.seg.key
	txn := wire.Txn{If: []wire.Cond{member.ClaimCond(part.id, part.claim), {Key: key, Mark: w.seg.mark}},
		Then: []wire.Change{{Put: key, Value: w.rec}}}
	txn.If = append(txn.If, w.cond...)
	for _, s := range w.dead {
		txn.Then = append(txn.Then, wire.Change{Delete: s.key})
	}
	sent := p.r.Now()
	p.c.Txn(store.Placements, txn, func(r store.Result) {
		if !p.owns(part) {
			return
		}
		again := func(d loop.Micros) { p.r.After(d, func() { p.store(part, w) }) }
		p.log.Debug("task log write answered", "partition", part.id, "segment", key, "entries", len(w.refs), "jobs", len(w.jobs), "outcome", int(r.Outcome), "took_us", p.r.Now()-sent,
			"starts_wait", len(part.log.starts), "outcomes_wait", len(part.log.outcomes), "segments", len(part.log.closed)+1)
		switch r.Outcome {
		case store.Applied:
			w.seg.mark = r.Tally
			p.stored(part, w)
		case store.Conflict:
			for _, k := range r.Failed {
				if k == key {
					p.reread(part, w)
					return
				}
			}
			// Revisions only increase, so no earlier attempt of the same transaction can be applied any more; and
			// none was, since the segment is unchanged.
			known := false
			for _, k := range r.Failed {
				if id, ok := strings.CutPrefix(k, job.KeyPrefix); ok {
					known = true
					p.registry.Refresh(id)
				}
				if k == cordon.Key {
					known = true
					p.cordons.Refresh()
				}
			}
			if !known {
				again(250 * loop.Millisecond) // the claim failed: this controller is about to learn that it lost the partition
				return
			}
			p.release(part, w, 60*loop.Millisecond)
		case store.Invalid:
			p.log.Error("task log record refused by the state service as invalid; its entries are written again", "key", key, "entries", len(w.refs), "bytes", w.bytes)
			p.shrink(part, w)
		default:
			// The write may have been applied, or may be applied later. Only this same record is retried until the
			// answer is certain.
			again(150 * loop.Millisecond)
		}
	})
}

// release queues starts again whose record is certainly not stored.
func (p *Placer) release(part *ownedPartition, w *write, after loop.Micros) {
	for _, r := range w.refs {
		switch x := r.t.task(r.i); {
		case x.attempt != r.attempt || !p.current(r.t):
		case x.state == Recording && p.barred(r.t, x.machine) != "":
			x.expiry = 0
			p.setTask(r.t, r.i, Waiting)
		case x.state == Recording:
			x.expiry = 0
			part.log.starts = append(part.log.starts, r.ref)
		case x.state == Ended:
			part.log.outcomes = append(part.log.outcomes, r.ref)
		}
	}
	p.r.After(after, func() {
		part.log.busy = false
		p.commitSoon(0)
	})
}

// reread finds out whether an unanswered write of this record was applied.
func (p *Placer) reread(part *ownedPartition, w *write) {
	p.c.Get(store.Placements, w.seg.key, func(it wire.Item, found, ok bool) {
		if !p.owns(part) {
			return
		}
		var have segmentRecord
		switch {
		case !ok || (found && wire.Unmarshal(it.Value, &have) != nil):
			p.r.After(200*loop.Millisecond, func() { p.reread(part, w) })
		case found && have.Nonce == w.rec.Nonce:
			w.seg.mark = it.Mark
			p.stored(part, w)
		default:
			w.seg.mark = it.Mark // 0 if absent
			p.store(part, w)
		}
	})
}

// stored handles a stored write: its starts may be sent now.
func (p *Placer) stored(part *ownedPartition, w *write) {
	l := &part.log
	l.busy = false
	l.since = p.r.Now()
	for _, s := range w.dead {
		delete(l.closed, s.key)
	}
	for _, r := range w.refs {
		if !p.knows(r.t) {
			continue
		}
		x := r.t.task(r.i)
		switch {
		case r.state == storedPlaced && x.state == Recording && x.attempt == r.attempt:
			x.ours = true
			p.setTask(r.t, r.i, Placed)
			if r.t.j.Final() {
				p.setTask(r.t, r.i, Waiting)
			} else {
				p.sendStart(r.t, r.i)
			}
		case r.state == storedDone && x.state == Ended:
			p.setTask(r.t, r.i, Completed)
			p.maybeDone(r.t)
		}
	}
	p.commitSoon(0)
}

// undo returns the tasks that the write moved to the segments that held them before.
func (w *write) undo() {
	for _, m := range w.moves {
		x := m.t.task(m.i)
		if x.seg != w.seg {
			continue // its job ended in the meantime
		}
		w.seg.live--
		if x.seg = m.from; m.from != nil {
			m.from.live++
		}
	}
	w.seg.refs = slices.DeleteFunc(w.seg.refs, func(r ref) bool { return r.t.task(r.i).seg != w.seg })
}

const (
	// valuePart is the fraction of the maximum value size that a segment may fill, as estimated.
	valuePart = 0.8
	// leastValueLimit is the lower bound, in bytes, to which the size limit of segments is reduced.
	leastValueLimit = 800
	// refusedAgain is the pause before a refused record that cannot be made smaller is tried again.
	refusedAgain = 5 * loop.Second
	smallerAgain = 200 * loop.Millisecond
)

// shrink handles a record that the state service refuses as invalid, as it does when its limit on value size was
// lowered: the entries go into smaller segments. Should an attempt of the refused write be applied late nevertheless,
// it stores starts that were never sent.
func (p *Placer) shrink(part *ownedPartition, w *write) {
	w.undo()
	part.log.closeSegment()
	pause := refusedAgain
	if p.valueLimit > leastValueLimit {
		p.valueLimit = max(min(p.valueLimit, w.bytes)/2, leastValueLimit)
		pause = smallerAgain
		p.log.Info("size limit of task log segments lowered", "bytes", p.valueLimit)
	}
	p.release(part, w, pause)
}
