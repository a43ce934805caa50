package placer

import (
	"cleatpick/internal/fleet"
	"cleatpick/internal/gate"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/starvation"
)

const (
	// holdLife is how long capacity stays reserved for a task that is served out of order. Even on a machine that is
	// always full some task ends within that time. Afterwards a new place is sought.
	holdLife = 20 * loop.Second
	// mostHeld bounds the tasks of one job for which capacity is reserved at once.
	mostHeld = 8
)

// serveLongestWaiting gives a fraction of the freed capacity to the jobs that have waited longest, out of the order
// of service. If such a task fits nowhere, capacity is reserved for it; otherwise small tasks would take whatever
// becomes free before a large one fits. Nothing is preempted for it.
func (p *Placer) serveLongestWaiting(q []entryOf, open []*fleet.Machine, chosen *[]hostStart) {
	now := p.r.Now()
	if p.reserve.Earn(now, p.turn.Rate*p.share()); !p.reserve.Owes() {
		return // the usual case, and cheap where scanning a long queue would not be
	}
	tables, waiters := p.longWaiting(q, now)
	if len(waiters) == 0 {
		return
	}
	for _, pick := range p.reserve.Pick(now, waiters) {
		p.serveBeforeTurn(tables[pick.At], &waiters[pick.At], pick.Tasks, open, chosen)
	}
}

// longWaiting lists the jobs that have waited long enough to be served out of order.
func (p *Placer) longWaiting(q []entryOf, now loop.Micros) (tables []*table, waiters []starvation.Waiter) {
	for _, e := range q {
		t := e.t
		if now-t.at < starvation.After {
			continue
		}
		p.refundHeld(t)
		f := p.facts(t)
		if n := min(f.Passes(gate.Probe), f.Passes(gate.Limit), t.waiting()); n > 0 {
			tables = append(tables, t)
			waiters = append(waiters, starvation.Waiter{ID: t.j.ID, Class: t.turnClass(), At: t.at, Since: t.pieceAt, Tasks: n, CPUs: t.j.Spec.CPUs})
		}
	}
	return tables, waiters
}

// serveBeforeTurn places tasks of a job out of order, or reserves capacity for them.
func (p *Placer) serveBeforeTurn(t *table, w *starvation.Waiter, tasks int, open []*fleet.Machine, chosen *[]hostStart) {
	// A job served before it may have used the rest of their team's limit.
	f := p.facts(t)
	n := min(tasks, f.Passes(gate.Limit))
	if t.j.Spec.Gang {
		n = min(t.waiting(), f.Passes(gate.Limit))
	}
	if n <= 0 {
		return
	}
	got, held := 0, p.fleet.ReservationCount(w.ID)
	if !t.j.Spec.Gang || p.gangFits(t) {
		got = p.fill(t, n, open, chosen)
	}
	used := held - p.fleet.ReservationCount(w.ID)
	t.useHeld(used)
	given := got - used // reserved capacity is already paid for
	if got == 0 && held == 0 {
		given = p.holdBeforeTurn(t, w, n)
	}
	if given > 0 {
		p.log.Debug("job served out of order because it waited long", "job", w.ID, "class", t.j.Spec.Class, "team", t.j.Spec.Team, "begun", w.Class == t.j.Spec.Team, "tasks", given, "of_cpus", w.CPUs, "waits_us", p.r.Now()-w.At)
		p.reserve.Spend(w.Class, float64(given)*w.CPUs)
	} else if got == 0 && held == 0 {
		p.reserve.Defer(w.Class)
		return
	}
	t.pieceAt = p.r.Now()
}

// holdBeforeTurn reserves capacity for up to n unplaced tasks of a job and returns for how many.
func (p *Placer) holdBeforeTurn(t *table, w *starvation.Waiter, n int) int {
	need := t.need()
	if !t.j.Spec.Gang {
		n = min(n, mostHeld)
	}
	claims := p.fleet.Reserve(&need, n, holdLife)
	p.claimed(claims)
	p.n.Meter.Held(len(claims))
	t.heldCPUs, t.heldFor = float64(len(claims))*w.CPUs, w.Class
	p.log.Debug("capacity reserved for a job that waited long and fits nowhere", "job", w.ID, "tasks", len(claims), "waits_us", p.r.Now()-w.At)
	return len(claims)
}

// begun reports whether tasks of the job run, may run or are done.
func (t *table) begun() bool { return t.inUse+t.completed > 0 }

// turnClass returns the class by which the reserve shares out what is served out of order: each class of a team for
// its jobs that have not begun, and one for all jobs of the team that have. A job that has begun must not keep others
// of its class from beginning for as long as it has tasks left.
func (t *table) turnClass() string {
	if t.begun() {
		return t.j.Spec.Team
	}
	return unbegunClass(t.j.Spec)
}

// unbegunClass returns the class of a job that has not begun.
func unbegunClass(s *job.Spec) string { return s.Team + "\x00" + s.Class }

// fillInTurn places tasks in the order of service and reports them to the reserve.
func (p *Placer) fillInTurn(t *table, n int, free []*fleet.Machine, chosen *[]hostStart) int {
	held, class := p.fleet.ReservationCount(t.j.ID), t.turnClass()
	got := p.fill(t, n, free, chosen)
	used := held - p.fleet.ReservationCount(t.j.ID)
	t.useHeld(used)
	if new := got - used; new > 0 { // reserved capacity is already counted
		p.reserve.Serve(class, float64(new)*t.j.Spec.CPUs)
	}
	return got
}

// useHeld accounts for tasks that used capacity reserved for them.
func (t *table) useHeld(tasks int) {
	t.heldCPUs = max(t.heldCPUs-float64(tasks)*t.j.Spec.CPUs, 0)
}

// refundHeld returns a class its charge if capacity reserved out of order was not used before the reservation
// expired, because the tasks beside it ran for too long.
func (p *Placer) refundHeld(t *table) {
	if t.heldCPUs > 0 && p.fleet.ReservationCount(t.j.ID) == 0 {
		p.reserve.Refund(t.heldFor, t.heldCPUs)
		t.heldCPUs = 0
	}
}

// restoreTurns continues the accounting of earlier owners for a team's classes. Otherwise a class that got nothing
// yet would fall behind the others again with each new owner.
func (p *Placer) restoreTurns(tm *team) {
	for class, cpus := range p.turnsOf(tm) {
		p.reserve.Restore(class, cpus)
	}
}

// turnsOf derives from a team's records how many CPUs its classes got: the first task of each unfinished job that has
// begun, all of them for a gang, and for the class of begun jobs all their tasks together.
func (p *Placer) turnsOf(tm *team) map[string]float64 {
	got := map[string]float64{}
	for _, t := range tm.inOrder() {
		if t.j.Final() || !t.begun() {
			continue
		}
		first := 1
		if t.j.Spec.Gang {
			first = t.j.Tasks
		}
		got[unbegunClass(t.j.Spec)] += float64(first) * t.j.Spec.CPUs
		got[t.turnClass()] += float64(t.inUse+t.completed) * t.j.Spec.CPUs
	}
	return got
}
