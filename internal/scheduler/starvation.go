package scheduler

import (
	"cleatpick/internal/eventloop"
	"cleatpick/internal/fleet"
	"cleatpick/internal/job"
	"cleatpick/internal/predicate"
	"cleatpick/internal/starvation"
)

const (
	// reservationLife is how long capacity stays reserved for a task that is served out of order. Even on a machine
	// that is always full some task ends within that time. After that, capacity is searched for on all machines again.
	reservationLife = 20 * eventloop.Second
	// maxReserved bounds the tasks of one job for which capacity is reserved at once.
	maxReserved = 8
)

// serveLongestWaiting gives a fraction of the freed capacity to the jobs that have waited longest, out of the order
// of service. If such a task fits nowhere, capacity is reserved for it; otherwise small tasks would take whatever
// becomes free before a large one fits. Nothing is preempted for it.
func (sched *Scheduler) serveLongestWaiting(q []queueEntry, freeSlots []*fleet.Machine, chosen *[]hostStart) {
	now := sched.runner.Now()
	if sched.starvation.Accrue(now, sched.turnover.Rate*sched.expectedShare()); !sched.starvation.Available() {
		return // the usual case, checked first because scanning a long queue is expensive
	}
	tables, waiters := sched.longWaiting(q, now)
	if len(waiters) == 0 {
		return
	}
	for _, pick := range sched.starvation.Pick(now, waiters) {
		sched.serveOutOfOrder(tables[pick.Index], &waiters[pick.Index], pick.Tasks, freeSlots, chosen)
	}
}

// longWaiting lists the jobs that have waited long enough to be served out of order.
func (sched *Scheduler) longWaiting(q []queueEntry, now eventloop.Micros) (tables []*jobTable, waiters []starvation.Waiter) {
	for _, e := range q {
		t := e.table
		if now-t.acceptedAt < starvation.MinWait {
			continue
		}
		sched.refundReserved(t)
		f := sched.facts(t)
		if n := min(f.AllowedTasks(predicate.Probation), f.AllowedTasks(predicate.Limit), t.waiting()); n > 0 {
			tables = append(tables, t)
			waiters = append(waiters, starvation.Waiter{ID: t.job.ID, Class: t.budgetClass(), AcceptedAt: t.acceptedAt, LastServedAt: t.servedEarlyAt, Tasks: n, CPUs: t.job.Spec.CPUs})
		}
	}
	return tables, waiters
}

// serveOutOfOrder places tasks of a job out of order, or reserves capacity for them.
func (sched *Scheduler) serveOutOfOrder(t *jobTable, w *starvation.Waiter, tasks int, freeSlots []*fleet.Machine, chosen *[]hostStart) {
	// A job served before it may have used the rest of their team's limit.
	f := sched.facts(t)
	n := min(tasks, f.AllowedTasks(predicate.Limit))
	if t.job.Spec.Gang {
		n = min(t.waiting(), f.AllowedTasks(predicate.Limit))
	}
	if n <= 0 {
		return
	}
	got, held := 0, sched.fleet.ReservationCount(w.ID)
	if !t.job.Spec.Gang || sched.gangFits(t) {
		got = sched.placeTasks(t, n, freeSlots, chosen)
	}
	used := held - sched.fleet.ReservationCount(w.ID)
	t.useReserved(used)
	given := got - used // reserved capacity is already paid for
	if got == 0 && held == 0 {
		given = sched.reserveOutOfOrder(t, w, n)
	}
	if given > 0 {
		sched.log.Debug("job served out of order because it waited long", "job", w.ID, "class", t.job.Spec.Class, "team", t.job.Spec.Team, "begun", w.Class == t.job.Spec.Team, "tasks", given, "of_cpus", w.CPUs, "waits_us", sched.runner.Now()-w.AcceptedAt)
		sched.starvation.Spend(w.Class, float64(given)*w.CPUs)
	} else if got == 0 && held == 0 {
		sched.starvation.Defer(w.Class)
		return
	}
	t.servedEarlyAt = sched.runner.Now()
}

// reserveOutOfOrder reserves capacity for up to n unplaced tasks of a job and returns for how many.
func (sched *Scheduler) reserveOutOfOrder(t *jobTable, w *starvation.Waiter, n int) int {
	need := t.need()
	if !t.job.Spec.Gang {
		n = min(n, maxReserved)
	}
	reservations := sched.fleet.Reserve(&need, n, reservationLife)
	sched.recordReservations(reservations)
	sched.deps.Meter.Reserved(len(reservations))
	t.reservedCPUs, t.reservedClass = float64(len(reservations))*w.CPUs, w.Class
	sched.log.Debug("capacity reserved for a job that waited long and fits nowhere", "job", w.ID, "tasks", len(reservations), "waits_us", sched.runner.Now()-w.AcceptedAt)
	return len(reservations)
}

// begun reports whether tasks of the job run, may run or are done.
func (t *jobTable) begun() bool { return t.inUse+t.completed > 0 }

// budgetClass returns the class by which the starvation budget shares out what is served out of order: each class of
// a team for its jobs that have not begun, and one for all jobs of the team that have. A job that has begun must not
// keep others of its class from beginning for as long as it has tasks left.
func (t *jobTable) budgetClass() string {
	if t.begun() {
		return t.job.Spec.Team
	}
	return unbegunClass(t.job.Spec)
}

// unbegunClass returns the class of a job that has not begun.
func unbegunClass(s *job.Spec) string { return s.Team + "\x00" + s.Class }

// placeInOrder places tasks in the order of service and records them in the starvation budget.
func (sched *Scheduler) placeInOrder(t *jobTable, n int, machines []*fleet.Machine, chosen *[]hostStart) int {
	held, class := sched.fleet.ReservationCount(t.job.ID), t.budgetClass()
	got := sched.placeTasks(t, n, machines, chosen)
	used := held - sched.fleet.ReservationCount(t.job.ID)
	t.useReserved(used)
	if new := got - used; new > 0 { // reserved capacity is already counted
		sched.starvation.RecordOrdinary(class, float64(new)*t.job.Spec.CPUs)
	}
	return got
}

// useReserved accounts for tasks that used capacity reserved for them.
func (t *jobTable) useReserved(tasks int) {
	t.reservedCPUs = max(t.reservedCPUs-float64(tasks)*t.job.Spec.CPUs, 0)
}

// refundReserved returns a class its charge if capacity reserved out of order was not used before the reservation
// expired, because the tasks on the same machines ran for too long.
func (sched *Scheduler) refundReserved(t *jobTable) {
	if t.reservedCPUs > 0 && sched.fleet.ReservationCount(t.job.ID) == 0 {
		sched.starvation.Refund(t.reservedClass, t.reservedCPUs)
		t.reservedCPUs = 0
	}
}

// restoreAccounting continues the accounting of earlier owners for a team's classes. Otherwise a class that got nothing
// yet would fall behind the others again with each new owner.
func (sched *Scheduler) restoreAccounting(tm *team) {
	for class, cpus := range sched.accountingOf(tm) {
		sched.starvation.Restore(class, cpus)
	}
}

// accountingOf derives from a team's records how many CPUs its classes got: the first task of each unfinished job
// that has begun, all of them for a gang, and for the class of begun jobs all their tasks together.
func (sched *Scheduler) accountingOf(tm *team) map[string]float64 {
	got := map[string]float64{}
	for _, t := range tm.inOrder() {
		if t.job.Final() || !t.begun() {
			continue
		}
		first := 1
		if t.job.Spec.Gang {
			first = t.job.Tasks
		}
		got[unbegunClass(t.job.Spec)] += float64(first) * t.job.Spec.CPUs
		got[t.budgetClass()] += float64(t.inUse+t.completed) * t.job.Spec.CPUs
	}
	return got
}
