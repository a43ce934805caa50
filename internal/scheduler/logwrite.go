package scheduler

import (
	"strings"

	"cleatpick/internal/cordon"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/membership"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// storeWrite applies a write on condition that this controller still owns the partition, that the jobs whose starts it
// records are at their known revisions, and that the segment was not written by another transaction.
func (sched *Scheduler) storeWrite(part *ownedPartition, w *write) {
	if !sched.ownsPartition(part) {
		return
	}
	part.log.writing = true
	key := w.segment.key
	txn := wire.Txn{If: []wire.Cond{membership.ClaimCond(part.id, part.claim), {Key: key, Revision: w.segment.revision}},
		Then: []wire.Change{{Put: key, Value: w.rec}}}
	txn.If = append(txn.If, w.conditions...)
	for _, s := range w.deleted {
		txn.Then = append(txn.Then, wire.Change{Delete: s.key})
	}
	sent := sched.runner.Now()
	sched.client.Txn(store.Placements, txn, func(r store.Result) {
		if !sched.ownsPartition(part) {
			return
		}
		retry := func(d eventloop.Micros) { sched.runner.After(d, func() { sched.storeWrite(part, w) }) }
		sched.deps.Meter.TaskLogWrite(r.Outcome.String())
		sched.log.Debug("task log write answered", "partition", part.id, "segment", key, "entries", len(w.refs), "moved", w.moved, "deletes", segmentKeys(w.deleted), "jobs", len(w.jobs),
			"outcome", r.Outcome, "failed", r.FailedKeys, "took_us", sched.runner.Now()-sent, "starts_wait", len(part.log.starts), "outcomes_wait", len(part.log.outcomes), "segments", len(part.log.closed)+1)
		switch r.Outcome {
		case store.Applied:
			w.segment.revision = r.Revision
			sched.writeStored(part, w)
		case store.Conflict:
			for _, k := range r.FailedKeys {
				if k == key {
					sched.checkStored(part, w)
					return
				}
			}
			// Revisions only increase, so no earlier attempt of the same transaction can be applied any more; and
			// none was, since the segment is unchanged.
			outdated := false
			for _, k := range r.FailedKeys {
				if id, ok := strings.CutPrefix(k, job.KeyPrefix); ok {
					outdated = true
					sched.registry.Refresh(id)
				}
				if k == cordon.Key {
					outdated = true
					sched.cordons.Refresh()
				}
			}
			if !outdated {
				retry(250 * eventloop.Millisecond) // the claim failed: this controller is about to learn that it lost the partition
				return
			}
			sched.requeueWrite(part, w, 60*eventloop.Millisecond)
		case store.Invalid:
			sched.log.Error("task log record refused by the state service as invalid; its entries are written again", "key", key, "entries", len(w.refs), "bytes", w.bytes)
			sched.shrinkSegments(part, w)
		default:
			// The write may have been applied, or may be applied later. Only this same record is retried until the
			// answer is certain.
			retry(150 * eventloop.Millisecond)
		}
	})
}

// segmentKeys lists the keys of segments.
func segmentKeys(segments []*segment) []string {
	keys := make([]string, len(segments))
	for i, s := range segments {
		keys[i] = s.key
	}
	return keys
}

// requeueWrite queues the starts and outcomes of a write again whose record is certainly not stored.
func (sched *Scheduler) requeueWrite(part *ownedPartition, w *write, after eventloop.Micros) {
	for _, r := range w.refs {
		switch x := r.table.task(r.index); {
		case x.attempt != r.attempt || !sched.ownsUnfinished(r.table):
		case x.state == Recording && sched.startBlockedBy(r.table, x.machine) != "":
			x.expiry = 0
			sched.setTask(r.table, r.index, Waiting)
		case x.state == Recording:
			x.expiry = 0
			part.log.starts = append(part.log.starts, r.taskRef)
		case x.state == Ended:
			part.log.outcomes = append(part.log.outcomes, r.taskRef)
		}
	}
	sched.runner.After(after, func() {
		part.log.writing = false
		sched.scheduleCommit(0)
	})
}

// checkStored finds out whether an unanswered write of this record was applied.
func (sched *Scheduler) checkStored(part *ownedPartition, w *write) {
	sched.client.Get(store.Placements, w.segment.key, func(it wire.KeyValue, found, ok bool) {
		if !sched.ownsPartition(part) {
			return
		}
		var have segmentRecord
		switch {
		case !ok || (found && wire.Unmarshal(it.Value, &have) != nil):
			sched.runner.After(200*eventloop.Millisecond, func() { sched.checkStored(part, w) })
		case found && have.Nonce == w.rec.Nonce:
			w.segment.revision = it.Revision
			sched.writeStored(part, w)
		default:
			w.segment.revision = it.Revision // 0 if absent
			sched.storeWrite(part, w)
		}
	})
}

// writeStored handles a stored write: its starts may be sent now.
func (sched *Scheduler) writeStored(part *ownedPartition, w *write) {
	l := &part.log
	l.writing = false
	l.outcomesSince = sched.runner.Now()
	sched.recordStored(l, w)
	for _, r := range w.refs {
		if !sched.ownsJob(r.table) {
			continue
		}
		x := r.table.task(r.index)
		switch {
		case r.state == storedPlaced && x.state == Recording && x.attempt == r.attempt:
			x.recordedHere = true
			sched.setTask(r.table, r.index, Placed)
			if r.table.job.Final() {
				sched.setTask(r.table, r.index, Waiting)
			} else {
				sched.sendStart(r.table, r.index)
			}
		case r.state == storedDone && x.state == Ended:
			sched.setTask(r.table, r.index, Completed)
			sched.completeIfDone(r.table)
		}
	}
	sched.scheduleCommit(0)
}

// recordStored makes what is known of the log follow a stored write. Of all that a write does, only this changes
// which segment holds a task's newest record.
func (sched *Scheduler) recordStored(l *taskLog, w *write) {
	for _, s := range w.deleted {
		delete(l.closed, s.key)
	}
	w.segment.refs, w.segment.size = w.entries, w.bytes
	for _, r := range w.entries {
		x := r.table.task(r.index)
		if x.segment == w.segment || !sched.ownsJob(r.table) {
			continue // its job became final meanwhile, and needs no record any more
		}
		if x.segment != nil {
			x.segment.live--
		}
		x.segment = w.segment
		w.segment.live++
	}
}

const (
	// valueFraction is the fraction of the maximum value size that a segment may fill, as estimated.
	valueFraction = 0.8
	// minValueLimit is the lower bound, in bytes, to which the size limit of segments is reduced.
	minValueLimit = 800
	// refusedRetryDelay is the pause before a refused record that cannot be made smaller is tried again.
	refusedRetryDelay = 5 * eventloop.Second
	// smallerRetryDelay is the pause before the entries of a refused record are written into smaller segments.
	smallerRetryDelay = 200 * eventloop.Millisecond
)

// shrinkSegments handles a record that the state service refuses as invalid, as it does when its limit on value size
// was lowered: the entries go into smaller segments. Should an attempt of the refused write be applied late
// nevertheless, it stores starts that were never sent.
func (sched *Scheduler) shrinkSegments(part *ownedPartition, w *write) {
	part.log.closeSegment()
	pause := refusedRetryDelay
	if sched.valueLimit > minValueLimit {
		sched.valueLimit = max(min(sched.valueLimit, w.bytes)/2, minValueLimit)
		pause = smallerRetryDelay
		sched.log.Info("size limit of task log segments lowered", "bytes", sched.valueLimit)
	}
	sched.requeueWrite(part, w, pause)
}
