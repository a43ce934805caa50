package scheduler

import (
	"cleatpick/internal/delivery"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
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

// compose builds a write of the open segment with its live entries and as many queued ones as fit. Nothing that is
// known of the log changes until the write is stored.
func (sched *Scheduler) compose(part *ownedPartition, writable, ready int) *write {
	l := &part.log
	limit := sched.valueLimit
	if l.open == nil || l.open.size+4*(entrySize+namesSize) > limit {
		l.openSegment()
	}
	sched.nonce++
	w := newWrite(l.open, sched.nonce)
	jobs := map[*jobTable]bool{}
	jobLimit := sched.maxJobs() / 2
	put := func(queue []taskRef, starts bool) []taskRef {
		for k, r := range queue {
			if (starts && k >= ready) || w.size+entrySize+2*namesSize > limit || (starts && !jobs[r.table] && len(jobs) >= jobLimit) {
				return append(queue[:0], queue[k:]...)
			}
			if starts {
				jobs[r.table] = true
			}
			w.add(r)
		}
		return queue[:0]
	}
	l.starts = put(l.starts, true)
	l.outcomes = put(l.outcomes, false)
	maxDeletions := min(writable-1, sched.client.MaxChanges()-1)
	for _, s := range eventloop.Sorted(l.closed) {
		switch {
		case s.live > 0:
			sched.moveSparse(l, w, s)
		case len(w.deleted) < maxDeletions:
			w.deleted = append(w.deleted, s)
		}
	}
	sched.buildRecord(w)
	return w
}

// moveSparse adds the live entries of a closed segment to a write if the segment is nearly empty or belongs to a team's
// own log. Once the write is stored, a later one deletes the segment.
func (sched *Scheduler) moveSparse(l *taskLog, w *write, s *segment) {
	fits := w.size+s.live*(entrySize+namesSize) < sched.valueLimit
	if !(4*s.live < len(s.refs) && fits) && !l.inherited(s) {
		return
	}
	for _, r := range s.refs {
		if w.size+entrySize+namesSize >= sched.valueLimit {
			return
		}
		if r.table.task(r.index).segment == s {
			w.add(r)
		}
	}
}

// maxJobs is the number of jobs whose revisions one transaction can check in addition to those of the claim, the
// segment and the cordons.
func (sched *Scheduler) maxJobs() int { return sched.client.MaxConditions() - 3 }

// newWrite returns a write of a segment with the segment's live entries. The nonce identifies it.
func newWrite(s *segment, nonce uint64) *write {
	w := &write{segment: s, rec: segmentRecord{Nonce: nonce}}
	for _, r := range s.refs {
		if r.table.task(r.index).segment == s {
			// Otherwise the entry was recorded in a later segment, or its job is final and off all machines. While a
			// task of a cancelled job may still run, its entry stays in the log: an owner that did not know of it
			// would exceed the team's limit.
			w.add(r)
		}
	}
	w.size = s.size
	return w
}

// add makes the write record a task, unless it does already.
func (w *write) add(r taskRef) {
	x := r.table.task(r.index)
	if x.composedIn == w.rec.Nonce {
		return
	}
	x.composedIn = w.rec.Nonce
	w.entries = append(w.entries, r)
	if x.segment == w.segment {
		return
	}
	w.size += entrySize + namesSize
	if x.segment == nil {
		w.size += namesSize // in case this is the first entry of its job
	} else {
		w.moved++
	}
}

// buildRecord builds the record of a write's entries. Its starts may be sent until they expire, a fixed time
// from now.
func (sched *Scheduler) buildRecord(w *write) {
	expiry := sched.runner.Wall() + eventloop.Seconds(sched.cfg.Operator.StartLifetimeS)
	w.rec.Machines, w.rec.Jobs = []machineEntry{}, []jobEntry{}
	machines, jobs := map[string]int{}, map[*jobTable]int{}
	size := 0
	starts := map[*jobTable]bool{}
	for _, r := range w.entries {
		x := r.table.task(r.index)
		size += entrySize
		e := taskEntry{Index: r.index, Attempt: x.attempt}
		if x.state == Recording && !starts[r.table] && len(w.jobs) < sched.maxJobs() {
			starts[r.table] = true
			w.jobs = append(w.jobs, r.table)
		}
		switch {
		case x.state == Recording && !starts[r.table]:
			// The transaction cannot check the revision of this job as well, so the start waits for the next write.
			// The previous attempt is confirmed terminated.
			e.Attempt--
		case x.state == Recording || x.state == Placed:
			if x.state == Recording {
				x.expiry = expiry
				sched.expiries.Record(delivery.Attempt{Task: r.table.taskName(r.index), Number: x.attempt}, expiry)
			}
			no, ok := machines[x.machine]
			if !ok {
				w.rec.Machines = append(w.rec.Machines, machineEntry{Name: x.machine, Zone: sched.zoneOf(x.machine)})
				no = len(w.rec.Machines)
				machines[x.machine] = no
				size += len(x.machine) + 12
			}
			e.State, e.Machine, e.Session, e.Expiry = storedPlaced, no, x.session, x.expiry
		case x.state == Ended || x.state == Completed:
			e.State = storedDone
		}
		k, ok := jobs[r.table]
		if !ok {
			k = len(w.rec.Jobs)
			jobs[r.table] = k
			w.rec.Jobs = append(w.rec.Jobs, jobEntry{ID: r.table.job.ID})
			size += len(r.table.job.ID) + 8
		}
		w.rec.Jobs[k].Tasks = append(w.rec.Jobs[k].Tasks, e)
		w.refs = append(w.refs, refAttempt{r, e.Attempt, e.State})
	}
	w.bytes = size
	// The conditions are fixed here and not at each retry: a hold or a cordon that is stored in the meantime must
	// make the write fail, however late it is applied.
	w.conditions = nil
	for _, t := range w.jobs {
		w.conditions = append(w.conditions, job.RevisionCond(t.job))
	}
	if len(w.jobs) > 0 {
		w.conditions = append(w.conditions, sched.cordons.Cond())
	}
}
