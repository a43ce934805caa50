package scheduler

import (
	"cleatpick/internal/eventloop"
	"cleatpick/internal/store"
)

// queueStart queues the record of a task whose machine was chosen.
func (sched *Scheduler) queueStart(t *jobTable, i int) {
	sched.reportTakeover(t.team.partition)
	l := &t.team.partition.log
	l.starts = append(l.starts, taskRef{t, i})
	sched.scheduleCommit(gatherTime)
}

// reportTakeover reports the time from the change of owner to the first placement, if the partition's records showed
// earlier work.
func (sched *Scheduler) reportTakeover(part *ownedPartition) {
	if part.ownedAt == 0 {
		return
	}
	now := sched.runner.Now()
	if len(part.log.closed) > 0 {
		sched.deps.Meter.Takeover(now - part.ownedAt)
		sched.log.Info("first placement under a new partition owner", "partition", part.id, "claim", part.claim.Revision, "since_owned_us", now-part.ownedAt, "since_loaded_us", now-part.loadedAt)
	}
	part.ownedAt = 0
}

// queueOutcome queues the record of a completed task. It is not urgent, since the machine keeps the result.
func (sched *Scheduler) queueOutcome(t *jobTable, i int) {
	l := &t.team.partition.log
	if len(l.outcomes) == 0 {
		l.outcomesSince = sched.runner.Now()
	}
	l.outcomes = append(l.outcomes, taskRef{t, i})
	sched.scheduleCommit(outcomeMinDelay)
}

// scheduleCommit schedules a commit of all owned partitions after d, or keeps an earlier one.
func (sched *Scheduler) scheduleCommit(d eventloop.Micros) {
	due := sched.runner.Now() + d
	if sched.commitAt != 0 && sched.commitAt <= due {
		return
	}
	sched.commitAt = due
	sched.runner.After(d, func() {
		if sched.commitAt != due {
			return
		}
		sched.commitAt = 0
		retryIn := eventloop.Micros(0)
		for _, part := range eventloop.Sorted(sched.partitions) {
			if wait := sched.commit(part); wait > 0 && (retryIn == 0 || wait < retryIn) {
				retryIn = wait
			}
		}
		if retryIn > 0 {
			sched.scheduleCommit(retryIn)
		}
	})
}

// writableCheckInterval is the interval at which the state service's write limit is checked while it allows no write.
const writableCheckInterval = 15 * eventloop.Millisecond

// commit stores the due records of a partition's teams, as far as the write limit allows. It returns the delay until
// the next attempt, or 0 if there is nothing to do.
func (sched *Scheduler) commit(part *ownedPartition) eventloop.Micros {
	l := &part.log
	if l.writing || !part.loaded {
		return 0 // the end of the write schedules the next commit
	}
	n := sched.client.AvailableChanges(store.Placements)
	if n < 1 && len(l.starts)+len(l.outcomes) > 0 {
		return writableCheckInterval // before the queues are scanned, which may be long at this point
	}
	l.starts = sched.stillInState(l.starts, Recording)
	l.starts = sched.dropBlockedStarts(l.starts)
	l.outcomes = sched.stillInState(l.outcomes, Ended)
	if len(l.starts)+len(l.outcomes) == 0 {
		if l.hasInherited() && 2*n > sched.client.MaxAvailableChanges() {
			sched.storeWrite(part, sched.compose(part, n, 0))
		}
		return 0 // the sweep schedules what remains of inherited segments
	}
	ready := 0 // the queue is in the order in which machines were chosen
	for ready < len(l.starts) && sched.runner.Now()-l.starts[ready].table.task(l.starts[ready].index).chosenAt >= gatherTime {
		ready++
	}
	if ready == 0 {
		age := sched.runner.Now() - l.outcomesSince
		if len(l.outcomes) == 0 || (!(2*n > sched.client.MaxAvailableChanges() && age >= outcomeMinDelay) && age < outcomeMaxDelay) {
			if len(l.starts) > 0 {
				return 8 * eventloop.Millisecond
			}
			return 200 * eventloop.Millisecond
		}
	}
	sched.storeWrite(part, sched.compose(part, n, ready))
	return 0
}

// stillInState drops the tasks whose state changed while they were queued.
func (sched *Scheduler) stillInState(queue []taskRef, s TaskState) []taskRef {
	kept := queue[:0]
	for _, r := range queue {
		if sched.ownsUnfinished(r.table) && !r.table.completing && r.table.task(r.index).state == s {
			kept = append(kept, r)
		}
	}
	clear(queue[len(kept):])
	return kept
}

// dropBlockedStarts drops the starts that a hold or a cordon has forbidden since their machine was chosen.
func (sched *Scheduler) dropBlockedStarts(queue []taskRef) []taskRef {
	kept := queue[:0]
	for _, r := range queue {
		if sched.startBlockedBy(r.table, r.table.task(r.index).machine) == "" {
			kept = append(kept, r)
			continue
		}
		sched.setTask(r.table, r.index, Waiting)
	}
	clear(queue[len(kept):])
	return kept
}

// ownsUnfinished reports whether the table belongs to an owned team and its job is not final.
func (sched *Scheduler) ownsUnfinished(t *jobTable) bool {
	tm := t.team
	return sched.teams[tm.cfg.Name] == tm && tm.jobs[t.job.ID] == t && !t.job.Final()
}
