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

// store carries a write out on the conditions that this node still owns the partition, that
// the jobs whose starts it records are as known here, and that nothing else was written.
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
		p.log.Debug("records", "partition", part.id, "segment", key, "entries", len(w.refs), "jobs", len(w.jobs), "outcome", int(r.Outcome), "took_us", p.r.Now()-sent,
			"starts_wait", len(part.log.starts), "outcomes_wait", len(part.log.outcomes), "segments", len(part.log.closed)+1)
		switch r.Outcome {
		case store.Applied:
			w.seg.mark = r.Revision
			p.stored(part, w)
		case store.Conflict:
			for _, k := range r.FailedKeys {
				if k == key {
					p.reread(part, w)
					return
				}
			}
			// Versions only rise, so no earlier try of the same transaction can be
			// carried out any more; and none was, since the segment is unchanged.
			known := false
			for _, k := range r.FailedKeys {
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
				again(250 * loop.Millisecond) // the claim: this node is about to learn that it lost the partition
				return
			}
			p.release(part, w, 60*loop.Millisecond)
		case store.Invalid:
			p.log.Error("record refused", "key", key, "entries", len(w.refs), "bytes", w.bytes)
			p.shrink(part, w)
		default:
			// It may have been stored, or may be later: only this same record
			// is tried until the answer is certain.
			again(150 * loop.Millisecond)
		}
	})
}

// release puts starts in line again whose record is certainly not stored.
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

// reread finds out whether an unanswered write of this record was carried out after all.
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
			w.seg.mark = it.Mark // 0 when absent
			p.store(part, w)
		}
	})
}

// stored takes in that a write is in the store: now its starts may go out.
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

// undo makes the tasks that the write moved stand where they stood before it.
func (w *write) undo() {
	for _, m := range w.moves {
		x := m.t.task(m.i)
		if x.seg != w.seg {
			continue // its job is over meanwhile
		}
		w.seg.live--
		if x.seg = m.from; m.from != nil {
			m.from.live++
		}
	}
	w.seg.refs = slices.DeleteFunc(w.seg.refs, func(r ref) bool { return r.t.task(r.i).seg != w.seg })
}

const (
	// valuePart is the part of the largest value that a segment may fill, as estimated.
	valuePart = 0.8
	// leastValueLimit is the least that segments are made smaller to.
	leastValueLimit = 800
	// refusedAgain is the pause before a record is tried again that is not to become smaller.
	refusedAgain = 5 * loop.Second
	smallerAgain = 200 * loop.Millisecond
)

// shrink takes a record back that the state service calls malformed, as it does when its
// limit for values has become lower: what it was to store goes into smaller segments. A try
// of it that is carried out late, against all answers, stores starts that were never sent.
func (p *Placer) shrink(part *ownedPartition, w *write) {
	w.undo()
	part.log.closeSegment()
	pause := refusedAgain
	if p.valueLimit > leastValueLimit {
		p.valueLimit = max(min(p.valueLimit, w.bytes)/2, leastValueLimit)
		pause = smallerAgain
		p.log.Info("segments of the task log become smaller", "bytes", p.valueLimit)
	}
	p.release(part, w, pause)
}
