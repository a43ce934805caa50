package placer

import (
	"cleatpick/internal/fleet"
	"cleatpick/internal/gate"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/starvation"
)

const (
	// holdLife is how long room is held for a task that goes before its turn and finds none:
	// on a machine that is in use throughout, some task ends in that time. Then it is looked
	// for anew.
	holdLife = 20 * loop.Second
	// mostHeld bounds the tasks of one job for which room is held at once.
	mostHeld = 8
)

// serveLongestWaiting gives a part of what falls free to the work that has waited longest, whatever comes
// before it in the order. Where it finds no room, room is held for it: small tasks would otherwise fill
// whatever falls free before a large one fits. Nothing is stopped for it.
func (p *Placer) serveLongestWaiting(q []entryOf, open []*fleet.Machine, chosen *[]hostStart) {
	now := p.r.Now()
	if p.reserve.Accrue(now, p.turn.Rate*p.share()); !p.reserve.Available() {
		return // as most of the time, when so much waits that looking through it costs
	}
	tables, waiters := p.longWaiting(q, now)
	if len(waiters) == 0 {
		return
	}
	for _, pick := range p.reserve.Pick(now, waiters) {
		p.serveBeforeTurn(tables[pick.Index], &waiters[pick.Index], pick.Tasks, open, chosen)
	}
}

// longWaiting lists the jobs that have waited for so long that they may go before their turn.
func (p *Placer) longWaiting(q []entryOf, now loop.Micros) (tables []*table, waiters []starvation.Waiter) {
	for _, e := range q {
		t := e.t
		if now-t.at < starvation.MinWait {
			continue
		}
		p.refundHeld(t)
		f := p.facts(t)
		if n := min(f.AllowedTasks(gate.Probation), f.AllowedTasks(gate.Limit), t.waiting()); n > 0 {
			tables = append(tables, t)
			waiters = append(waiters, starvation.Waiter{ID: t.j.ID, Class: t.turnClass(), AcceptedAt: t.at, LastServedAt: t.pieceAt, Tasks: n, CPUs: t.j.Spec.CPUs})
		}
	}
	return tables, waiters
}

// serveBeforeTurn places tasks of a job before its turn, or holds room for them.
func (p *Placer) serveBeforeTurn(t *table, w *starvation.Waiter, tasks int, open []*fleet.Machine, chosen *[]hostStart) {
	// One before it may have used what was left of their team's limit.
	f := p.facts(t)
	n := min(tasks, f.AllowedTasks(gate.Limit))
	if t.j.Spec.Gang {
		n = min(t.waiting(), f.AllowedTasks(gate.Limit))
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
	given := got - used // what was held is paid for
	if got == 0 && held == 0 {
		given = p.holdBeforeTurn(t, w, n)
	}
	if given > 0 {
		p.log.Debug("before its turn", "job", w.ID, "class", t.j.Spec.Class, "team", t.j.Spec.Team, "begun", w.Class == t.j.Spec.Team, "tasks", given, "of_cpus", w.CPUs, "waits_us", p.r.Now()-w.AcceptedAt)
		p.reserve.Spend(w.Class, float64(given)*w.CPUs)
	} else if got == 0 && held == 0 {
		p.reserve.Defer(w.Class)
		return
	}
	t.pieceAt = p.r.Now()
}

// holdBeforeTurn holds room for up to n tasks of a job that finds none, and tells for how many.
func (p *Placer) holdBeforeTurn(t *table, w *starvation.Waiter, n int) int {
	need := t.need()
	if !t.j.Spec.Gang {
		n = min(n, mostHeld)
	}
	claims := p.fleet.Reserve(&need, n, holdLife)
	p.claimed(claims)
	p.n.Meter.Held(len(claims))
	t.heldCPUs, t.heldFor = float64(len(claims))*w.CPUs, w.Class
	p.log.Debug("room held", "job", w.ID, "tasks", len(claims), "waits_us", p.r.Now()-w.AcceptedAt)
	return len(claims)
}

// begun tells whether tasks of the job run, may run or are done.
func (t *table) begun() bool { return t.inUse+t.completed > 0 }

// turnClass names what has turns in the reserve: each class of a team for its jobs that have not
// begun, and all jobs of the team together that have. A job that has begun once kept those waiting that
// had not, as long as it had tasks left.
func (t *table) turnClass() string {
	if t.begun() {
		return t.j.Spec.Team
	}
	return unbegunClass(t.j.Spec)
}

// unbegunClass names the class of a job that has not begun.
func unbegunClass(s *job.Spec) string { return s.Team + "\x00" + s.Class }

// fillInTurn is fill in the ordinary order, which the reserve takes into account.
func (p *Placer) fillInTurn(t *table, n int, free []*fleet.Machine, chosen *[]hostStart) int {
	held, class := p.fleet.ReservationCount(t.j.ID), t.turnClass()
	got := p.fill(t, n, free, chosen)
	used := held - p.fleet.ReservationCount(t.j.ID)
	t.useHeld(used)
	if new := got - used; new > 0 { // what was held is counted already
		p.reserve.RecordOrdinary(class, float64(new)*t.j.Spec.CPUs)
	}
	return got
}

// useHeld takes in that so many tasks took room that was held for them.
func (t *table) useHeld(tasks int) {
	t.heldCPUs = max(t.heldCPUs-float64(tasks)*t.j.Spec.CPUs, 0)
}

// refundHeld gives a class its turn again where room was held before its turn and its time is over, but
// did not come about: the work beside it ran for too long.
func (p *Placer) refundHeld(t *table) {
	if t.heldCPUs > 0 && p.fleet.ReservationCount(t.j.ID) == 0 {
		p.reserve.Refund(t.heldFor, t.heldCPUs)
		t.heldCPUs = 0
	}
}

// restoreTurns lets the turns of a team's classes go on where they were under owners before, so that a
// class that has got nothing yet does not stand behind the others anew with each owner.
func (p *Placer) restoreTurns(tm *team) {
	for class, cpus := range p.turnsOf(tm) {
		p.reserve.Restore(class, cpus)
	}
}

// turnsOf derives from the records of a team how many CPUs its classes got: the first tasks of each
// unfinished job that has begun, and all tasks of those together.
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
