package scheduler

import (
	"cleatpick/internal/delivery"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/wire"
)

// compose builds a write of the open segment with its live entries and as many queued ones as fit; so many of the
// starts are ready, and the state service accepts so many changes now. Nothing that is known of the log changes until
// the write is stored.
func (sched *Scheduler) compose(part *ownedPartition, writable, ready int) *write {
	l := &part.log
	limit := sched.valueLimit
	if l.open == nil || l.open.size+4*(entrySize+namesSize) > limit {
		l.openSegment()
	}
	sched.nonce++
	w := newWrite(l.open, sched.nonce)
	l.starts = w.addStarts(l.starts, ready, limit, sched.maxJobs()/2)
	l.outcomes = w.addOutcomes(l.outcomes, limit)
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

// full reports whether one more queued entry might exceed the size limit.
func (w *write) full(limit int) bool { return w.size+entrySize+2*namesSize > limit }

// addStarts adds the first starts of the queue, of which so many are ready, as far as the limits on the record's size and
// on the number of jobs allow. It returns the rest of the queue.
func (w *write) addStarts(queue []taskRef, ready, limit, maxJobs int) []taskRef {
	jobs := map[*jobTable]bool{}
	for k, r := range queue[:ready] {
		if w.full(limit) || !jobs[r.table] && len(jobs) >= maxJobs {
			ready = k
			break
		}
		jobs[r.table] = true
		w.add(r)
	}
	return append(queue[:0], queue[ready:]...)
}

// addOutcomes adds the first outcomes of the queue, as far as the limit on the record's size allows. It returns the rest
// of the queue.
func (w *write) addOutcomes(queue []taskRef, limit int) []taskRef {
	n := 0
	for ; n < len(queue) && !w.full(limit); n++ {
		w.add(queue[n])
	}
	return append(queue[:0], queue[n:]...)
}

// recordBuilder builds the record of a write.
type recordBuilder struct {
	sched    *Scheduler
	write    *write
	expiry   eventloop.Micros   // wall-clock time until which the recorded starts may be sent
	machines map[string]int     // 1-based index of each machine in the record
	jobs     map[*jobTable]int  // index of each job in the record
	starting map[*jobTable]bool // jobs whose revisions the transaction checks
	size     int                // upper bound on the size of the record
}

// buildRecord builds the record of a write's entries, and the conditions for the starts among them.
func (sched *Scheduler) buildRecord(w *write) {
	b := &recordBuilder{sched: sched, write: w, machines: map[string]int{}, jobs: map[*jobTable]int{}, starting: map[*jobTable]bool{},
		expiry: sched.runner.Wall() + eventloop.Seconds(sched.cfg.Operator.StartLifetimeS)}
	w.rec.Machines, w.rec.Jobs = []machineEntry{}, []jobEntry{}
	w.refs = make([]refAttempt, 0, len(w.entries))
	for _, r := range w.entries {
		e := b.entry(r)
		b.addToJob(r.table, e)
		w.refs = append(w.refs, refAttempt{r, e.Attempt, e.State})
	}
	w.bytes = b.size
	w.conditions = sched.startConditions(w.jobs)
}

// entry returns the entry that records a task's present state. A start gets its expiry.
func (b *recordBuilder) entry(r taskRef) taskEntry {
	x := r.table.task(r.index)
	b.size += entrySize
	e := taskEntry{Index: r.index, Attempt: x.attempt}
	switch {
	case x.state == Recording && !b.mayStart(r.table):
		// The start waits for the next write. The previous attempt is confirmed terminated.
		e.Attempt--
	case x.state == Recording:
		x.expiry = b.expiry
		b.sched.expiries.Record(delivery.Attempt{Task: r.table.taskName(r.index), Number: x.attempt}, b.expiry)
		b.addPlace(&e, x)
	case x.state == Placed:
		b.addPlace(&e, x)
	case x.state == Ended || x.state == Completed:
		e.State = storedDone
	}
	return e
}

// mayStart reports whether the write can record starts of a job, which takes a condition on the job's revision.
func (b *recordBuilder) mayStart(t *jobTable) bool {
	if !b.starting[t] && len(b.write.jobs) < b.sched.maxJobs() {
		b.starting[t] = true
		b.write.jobs = append(b.write.jobs, t)
	}
	return b.starting[t]
}

// addPlace adds to an entry where its task is.
func (b *recordBuilder) addPlace(e *taskEntry, x *task) {
	rec := &b.write.rec
	no, ok := b.machines[x.machine]
	if !ok {
		rec.Machines = append(rec.Machines, machineEntry{Name: x.machine, Zone: b.sched.zoneOf(x.machine)})
		no = len(rec.Machines)
		b.machines[x.machine] = no
		b.size += len(x.machine) + 12
	}
	e.State, e.Machine, e.Session, e.Expiry = storedPlaced, no, x.session, x.expiry
}

// addToJob adds an entry to its job in the record.
func (b *recordBuilder) addToJob(t *jobTable, e taskEntry) {
	rec := &b.write.rec
	no, ok := b.jobs[t]
	if !ok {
		rec.Jobs = append(rec.Jobs, jobEntry{ID: t.job.ID})
		no = len(rec.Jobs) - 1
		b.jobs[t] = no
		b.size += len(t.job.ID) + 8
	}
	rec.Jobs[no].Tasks = append(rec.Jobs[no].Tasks, e)
}

// startConditions returns the conditions on which starts of these jobs are recorded. They are fixed when the record is
// composed and not at each retry: a hold or a cordon that is stored in the meantime must make the write fail, however
// late it is applied.
func (sched *Scheduler) startConditions(jobs []*jobTable) []wire.Cond {
	if len(jobs) == 0 {
		return nil
	}
	conditions := make([]wire.Cond, 0, len(jobs)+1)
	for _, t := range jobs {
		conditions = append(conditions, job.RevisionCond(t.job))
	}
	return append(conditions, sched.cordons.Cond())
}
