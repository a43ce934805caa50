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

// storeWrite applies a write on condition that this controller still owns the partition, that the jobs whose starts it
// records are at their known revisions, and that the segment was not written by another transaction.
func (p *Scheduler) storeWrite(part *ownedPartition, w *write) {
	if !p.ownsPartition(part) {
		return
	}
	part.log.writing = true
	key := w.segment.key
	txn := wire.Txn{If: []wire.Cond{member.ClaimCond(part.id, part.claim), {Key: key, Revision: w.segment.revision}},
		Then: []wire.Change{{Put: key, Value: w.rec}}}
	txn.If = append(txn.If, w.conditions...)
	for _, s := range w.emptied {
		txn.Then = append(txn.Then, wire.Change{Delete: s.key})
	}
	sent := p.runner.Now()
	p.client.Txn(store.Placements, txn, func(r store.Result) {
		if !p.ownsPartition(part) {
			return
		}
		retry := func(d loop.Micros) { p.runner.After(d, func() { p.storeWrite(part, w) }) }
		p.log.Debug("task log write answered", "partition", part.id, "segment", key, "entries", len(w.refs), "jobs", len(w.jobs), "outcome", int(r.Outcome), "took_us", p.runner.Now()-sent,
			"starts_wait", len(part.log.starts), "outcomes_wait", len(part.log.outcomes), "segments", len(part.log.closed)+1)
		switch r.Outcome {
		case store.Applied:
			w.segment.revision = r.Revision
			p.writeStored(part, w)
		case store.Conflict:
			for _, k := range r.FailedKeys {
				if k == key {
					p.checkStored(part, w)
					return
				}
			}
			// Revisions only increase, so no earlier attempt of the same transaction can be applied any more; and
			// none was, since the segment is unchanged.
			outdated := false
			for _, k := range r.FailedKeys {
				if id, ok := strings.CutPrefix(k, job.KeyPrefix); ok {
					outdated = true
					p.registry.Refresh(id)
				}
				if k == cordon.Key {
					outdated = true
					p.cordons.Refresh()
				}
			}
			if !outdated {
				retry(250 * loop.Millisecond) // the claim failed: this controller is about to learn that it lost the partition
				return
			}
			p.requeueWrite(part, w, 60*loop.Millisecond)
		case store.Invalid:
			p.log.Error("task log record refused by the state service as invalid; its entries are written again", "key", key, "entries", len(w.refs), "bytes", w.bytes)
			p.shrinkSegments(part, w)
		default:
			// The write may have been applied, or may be applied later. Only this same record is retried until the
			// answer is certain.
			retry(150 * loop.Millisecond)
		}
	})
}

// requeueWrite queues the starts and outcomes of a write again whose record is certainly not stored.
func (p *Scheduler) requeueWrite(part *ownedPartition, w *write, after loop.Micros) {
	for _, r := range w.refs {
		switch x := r.table.task(r.index); {
		case x.attempt != r.attempt || !p.ownsUnfinished(r.table):
		case x.state == Recording && p.startBlockedBy(r.table, x.machine) != "":
			x.expiry = 0
			p.setTask(r.table, r.index, Waiting)
		case x.state == Recording:
			x.expiry = 0
			part.log.starts = append(part.log.starts, r.taskRef)
		case x.state == Ended:
			part.log.outcomes = append(part.log.outcomes, r.taskRef)
		}
	}
	p.runner.After(after, func() {
		part.log.writing = false
		p.scheduleCommit(0)
	})
}

// checkStored finds out whether an unanswered write of this record was applied.
func (p *Scheduler) checkStored(part *ownedPartition, w *write) {
	p.client.Get(store.Placements, w.segment.key, func(it wire.KeyValue, found, ok bool) {
		if !p.ownsPartition(part) {
			return
		}
		var have segmentRecord
		switch {
		case !ok || (found && wire.Unmarshal(it.Value, &have) != nil):
			p.runner.After(200*loop.Millisecond, func() { p.checkStored(part, w) })
		case found && have.Nonce == w.rec.Nonce:
			w.segment.revision = it.Revision
			p.writeStored(part, w)
		default:
			w.segment.revision = it.Revision // 0 if absent
			p.storeWrite(part, w)
		}
	})
}

// writeStored handles a stored write: its starts may be sent now.
func (p *Scheduler) writeStored(part *ownedPartition, w *write) {
	l := &part.log
	l.writing = false
	l.outcomesSince = p.runner.Now()
	for _, s := range w.emptied {
		delete(l.closed, s.key)
	}
	for _, r := range w.refs {
		if !p.ownsJob(r.table) {
			continue
		}
		x := r.table.task(r.index)
		switch {
		case r.state == storedPlaced && x.state == Recording && x.attempt == r.attempt:
			x.recordedHere = true
			p.setTask(r.table, r.index, Placed)
			if r.table.job.Final() {
				p.setTask(r.table, r.index, Waiting)
			} else {
				p.sendStart(r.table, r.index)
			}
		case r.state == storedDone && x.state == Ended:
			p.setTask(r.table, r.index, Completed)
			p.completeIfDone(r.table)
		}
	}
	p.scheduleCommit(0)
}

// undo returns the tasks that the write moved to the segments that held them before.
func (w *write) undo() {
	for _, m := range w.moves {
		x := m.table.task(m.index)
		if x.segment != w.segment {
			continue // its job ended in the meantime
		}
		w.segment.live--
		if x.segment = m.from; m.from != nil {
			m.from.live++
		}
	}
	w.segment.refs = slices.DeleteFunc(w.segment.refs, func(r taskRef) bool { return r.table.task(r.index).segment != w.segment })
}

const (
	// valueFraction is the fraction of the maximum value size that a segment may fill, as estimated.
	valueFraction = 0.8
	// minValueLimit is the lower bound, in bytes, to which the size limit of segments is reduced.
	minValueLimit = 800
	// refusedRetryDelay is the pause before a refused record that cannot be made smaller is tried again.
	refusedRetryDelay = 5 * loop.Second
	// smallerRetryDelay is the pause before the entries of a refused record are written into smaller segments.
	smallerRetryDelay = 200 * loop.Millisecond
)

// shrinkSegments handles a record that the state service refuses as invalid, as it does when its limit on value size
// was lowered: the entries go into smaller segments. Should an attempt of the refused write be applied late
// nevertheless, it stores starts that were never sent.
func (p *Scheduler) shrinkSegments(part *ownedPartition, w *write) {
	w.undo()
	part.log.closeSegment()
	pause := refusedRetryDelay
	if p.valueLimit > minValueLimit {
		p.valueLimit = max(min(p.valueLimit, w.bytes)/2, minValueLimit)
		pause = smallerRetryDelay
		p.log.Info("size limit of task log segments lowered", "bytes", p.valueLimit)
	}
	p.requeueWrite(part, w, pause)
}
