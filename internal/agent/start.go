package agent

import (
	"cleatpick/internal/delivery"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
)

// Reserve reserves capacity for a start while its owner records the attempt, and rejects at once what does not
// fit. When many owners compete for the same capacity, every choice in vain would otherwise cost a record in
// the state service. Whether the start is accepted is decided by
// Start alone.
func (a *Agent) Reserve(s Start) {
	m := a.hosted[s.Machine]
	if m == nil {
		return
	}
	j := a.job(s.Task)
	if j == nil {
		return // the job's record has not arrived here yet; Start decides
	}
	if why := a.refusal(m, s, j); why != "" {
		a.h.Drop(s.From, Drop{Machine: s.Machine, Task: s.Task, Attempt: s.Attempt, Why: why, Reserve: true, Life: a.h.Life})
		return
	}
	m.reserved[delivery.Attempt{Task: s.Task, Number: s.Attempt}] = a.r.Now() + 700*loop.Millisecond
	a.listPending(m)
	a.refreshSoon(m)
}

// refusal returns why a start cannot be accepted now; it is empty if it can.
func (a *Agent) refusal(m *machine, s Start, j *job.Job) string {
	typ, known := a.h.Type(m.view.Type)
	switch {
	case s.Session != m.view.Session:
		return "another session"
	case a.r.Wall() < m.closeTo:
		return "closed"
	case m.view.NoticeAt != 0:
		return "notice"
	case j == nil || j.Final() || !known:
		return "unknown"
	case !a.h.MayStart():
		return "no state contact"
	}
	if why := a.barred(j, &m.view); why != "" {
		return why
	}
	m.view.resolved = false // this is not a published view and changes, so its capacity is computed anew
	if room, ok := a.Room(&m.view, typ); !ok || !room.Fits(j.Spec) {
		return "full"
	}
	return ""
}

// barred returns why no start of the job may reach the machine, empty if one may.
func (a *Agent) barred(j *job.Job, v *View) string {
	if a.h.Barred == nil {
		return ""
	}
	return a.h.Barred(j, v)
}

// refreshSoon schedules refresh, once for several changes that come together: the starts of a large job reach a
// machine one after another.
func (a *Agent) refreshSoon(m *machine) {
	if m.refreshing {
		return
	}
	m.refreshing = true
	a.r.After(3*loop.Millisecond, func() {
		m.refreshing = false
		if a.hosted[m.view.Name] == m {
			a.refresh(m)
		}
	})
}

// Start accepts an owner's start, or rejects it and tells the owner.
func (a *Agent) Start(s Start) {
	m := a.hosted[s.Machine]
	k := delivery.Attempt{Task: s.Task, Number: s.Attempt}
	wall := a.r.Wall()
	drop := func(why string) {
		if m != nil {
			m.refused[k] = s.Expiry + a.h.ClockTo
		}
		a.h.Drop(s.From, Drop{Machine: s.Machine, Task: s.Task, Attempt: s.Attempt, Why: why, Life: a.h.Life})
	}
	if m == nil || s.Life != 0 && s.Life != a.h.Life {
		// The machine reports elsewhere, or the start is meant for an earlier incarnation of this process. The start
		// is ignored: the owner learns of the new host or incarnation and sends it there until the start expires.
		// It must not be rejected, because the earlier incarnation may have passed it on, and the owner takes a
		// rejection as proof that the start will never be carried out. Owners before version 0.6.0 name no
		// incarnation.
		return
	}
	if m.view.Find(s.Task, s.Attempt) != nil || m.pending[k] != nil {
		return
	}
	if _, was := m.refused[k]; was {
		drop("dropped before")
		return
	}
	j := a.job(s.Task)
	if j == nil && wall < s.Expiry {
		// The job's record has not arrived here yet; the owner has only just seen the job.
		a.r.After(40*loop.Millisecond, func() { a.Start(s) })
		return
	}
	if _, ok := m.reserved[k]; ok {
		delete(m.reserved, k)
		a.listPending(m)
	}
	why := a.refusal(m, s, j)
	switch {
	case wall >= s.Expiry:
		drop("too old")
	case why != "":
		drop(why)
	default:
		m.pending[k] = &pending{start: s}
		m.dirty = true
		a.listPending(m) // the next start must find this capacity taken
		a.refreshSoon(m)
		a.flushSoon(m)
	}
}

// Stop accepts a request to stop or forget a task on a hosted machine.
func (a *Agent) Stop(s Stop) {
	m := a.hosted[s.Machine]
	if m == nil {
		return
	}
	k := delivery.Attempt{Task: s.Task, Number: s.Attempt}
	m.stops[k] = request{s, a.r.Now() + 5*loop.Second}
	if !s.Forget {
		a.flushSoon(m)
	}
}
