package workers

import (
	"cleatpick/internal/delivery"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
)

// How long requests of owners are kept. Owners repeat them with each view, and a forget waits for the next report.
const (
	stopRequestLifetime   = 5 * eventloop.Second
	forgetRequestLifetime = 30 * eventloop.Second
)

// Reserve reserves capacity for a start while its owner records the attempt, and rejects at once what does not
// fit. When many owners compete for the same capacity, every choice that is rejected later would otherwise cost a
// record in the state service. Whether the start is accepted is decided by Start alone.
func (a *Registry) Reserve(s Start) {
	m := a.hosted[s.Machine]
	if m == nil {
		return
	}
	j := a.jobOf(s.Task)
	if j == nil {
		return // the job's record has not arrived here yet; Start decides
	}
	if why := a.rejectionReason(m, s, j); why != "" {
		a.config.SendRejection(s.From, Rejection{Machine: s.Machine, Task: s.Task, Attempt: s.Attempt, Why: why, OnlyReservation: true, Incarnation: a.config.Incarnation})
		return
	}
	m.reservations[delivery.Attempt{Task: s.Task, Number: s.Attempt}] = a.runner.Now() + 700*eventloop.Millisecond
	a.listPending(m)
	a.updateViewSoon(m)
}

// rejectionReason returns why a start cannot be accepted now; it is empty if it can.
func (a *Registry) rejectionReason(m *machine, s Start, j *job.Job) string {
	typ, known := a.config.MachineType(m.view.Type)
	switch {
	case s.Session != m.view.Session:
		return "another session"
	case a.runner.Wall() < m.closedUntil:
		return "closed"
	case m.view.NoticeAt != 0:
		return "notice"
	case j == nil || j.Final() || !known:
		return "unknown"
	case !a.config.MayStart():
		return "no state contact"
	}
	if why := a.startBlocked(j, &m.view); why != "" {
		return why
	}
	m.view.resolved = false // this is not a published view and changes, so its capacity is recomputed
	if free, ok := a.FreeCapacity(&m.view, typ); !ok || !free.Fits(j.Spec) {
		return "full"
	}
	return ""
}

// startBlocked returns why no start of the job may reach the machine, empty if one may.
func (a *Registry) startBlocked(j *job.Job, v *View) string {
	if a.config.StartBlocked == nil {
		return ""
	}
	return a.config.StartBlocked(j, v)
}

// updateViewSoon schedules updateView, once for several changes that come together: the starts of a large job reach a
// machine one after another.
func (a *Registry) updateViewSoon(m *machine) {
	if m.updateScheduled {
		return
	}
	m.updateScheduled = true
	a.runner.After(3*eventloop.Millisecond, func() {
		m.updateScheduled = false
		if a.hosted[m.view.Name] == m {
			a.updateView(m)
		}
	})
}

// Start accepts an owner's start, or rejects it and sends the rejection to the owner.
func (a *Registry) Start(s Start) {
	m := a.hosted[s.Machine]
	k := delivery.Attempt{Task: s.Task, Number: s.Attempt}
	wall := a.runner.Wall()
	reject := func(why string) {
		a.rejected.Record(k, s.Expiry)
		a.config.SendRejection(s.From, Rejection{Machine: s.Machine, Task: s.Task, Attempt: s.Attempt, Why: why, Incarnation: a.config.Incarnation})
	}
	if m == nil || s.Incarnation != 0 && s.Incarnation != a.config.Incarnation {
		// The machine reports elsewhere, or the start is meant for an earlier incarnation of this process. The start
		// is ignored: the owner receives the new host or incarnation in a view and sends the start there until it
		// expires.
		// It must not be rejected, because the earlier incarnation may have passed it on, and the owner takes a
		// rejection as proof that the start will never be carried out. Owners before version 0.6.0 name no
		// incarnation.
		return
	}
	if m.view.Find(s.Task, s.Attempt) != nil || m.pending[k] != nil {
		return
	}
	if a.passedOn.CanArrive(k, wall) {
		return // the worker may have it, whatever the newest view shows
	}
	if a.rejected.CanArrive(k, wall) {
		reject("dropped before")
		return
	}
	j := a.jobOf(s.Task)
	if j == nil && wall < s.Expiry {
		// The job's record has not arrived here yet; the owner has only just seen the job.
		a.runner.After(40*eventloop.Millisecond, func() { a.Start(s) })
		return
	}
	if _, ok := m.reservations[k]; ok {
		delete(m.reservations, k)
		a.listPending(m)
	}
	why := a.rejectionReason(m, s, j)
	switch {
	case wall >= s.Expiry:
		reject("too old")
	case why != "":
		reject(why)
	default:
		m.pending[k] = &pendingStart{start: s}
		m.dirty = true
		a.listPending(m) // the next start must find this capacity taken
		a.updateViewSoon(m)
		a.sendCommandsSoon(m)
	}
}

// Stop accepts a request to stop or forget a task on a hosted machine.
func (a *Registry) Stop(s Stop) {
	m := a.hosted[s.Machine]
	if m == nil {
		return
	}
	k := delivery.Attempt{Task: s.Task, Number: s.Attempt}
	if s.Forget {
		m.stops[k] = stopRequest{s, a.runner.Now() + forgetRequestLifetime}
		return
	}
	m.stops[k] = stopRequest{s, a.runner.Now() + stopRequestLifetime}
	a.sendCommandsSoon(m)
}
