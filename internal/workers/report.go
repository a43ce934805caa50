package workers

import (
	"cleatpick/internal/eventloop"
	"cleatpick/internal/wire"
)

// Answer is the HTTP response to a report.
type Answer struct {
	Status int
	Body   any
}

// Report handles a report that arrived at this controller. reply is called once, on the event loop.
func (a *Registry) Report(r wire.Report, reply func(Answer)) {
	if refusal, refused := a.refuseReport(&r); refused {
		reply(refusal)
		return
	}
	if a.isOutdated(&r) {
		reply(a.answerOutdatedReport(&r))
		return
	}
	m := a.hosted[r.Machine]
	if m == nil {
		m = a.host(r.Machine)
	}
	if !a.ensureToken(m, &r) {
		a.reportUnderNewerEpoch(m, r, reply)
		return
	}
	a.applyReport(m, r, true, m.tokenIssuedAt)
	commands := a.commands(m, pathAnswer)
	reply(Answer{200, wire.Commands{Token: m.token, Commands: commands}})
	a.updateView(m)
}

// refuseReport returns the answer to a report that this controller does not handle.
func (a *Registry) refuseReport(r *wire.Report) (refusal Answer, refused bool) {
	if ok, controller := a.config.MayAnswer(); !ok {
		return Answer{421, wire.Redirect{Node: controller}}, true
	}
	was := a.redirects[r.Machine]
	if on, to, again := a.config.Redirect(r.Machine, was.times); on && a.runner.Now()-was.at > again {
		a.redirects[r.Machine] = redirect{a.runner.Now(), was.times + 1}
		return Answer{421, wire.Redirect{Node: to}}, true
	}
	if a.deleted[r.Machine] {
		return Answer{503, wire.Error{Error: "machine is deleted"}}, true
	}
	return Answer{}, false
}

// isOutdated reports whether a view at least as new as the report is known.
func (a *Registry) isOutdated(r *wire.Report) bool {
	known := a.views[r.Machine]
	return known != nil && compareMessages(r.Token, r.Session, r.Seq, known) <= 0
}

// answerOutdatedReport returns the answer to a report whose task list is outdated. If the answer to a direct command
// overtook the report, the worker waits for this answer and stays with this host. A report that was delayed on its way has
// been given up by its worker long ago, and so has one that is no newer than another report, unless the worker has
// restarted (restart.go).
func (a *Registry) answerOutdatedReport(r *wire.Report) Answer {
	m := a.hosted[r.Machine]
	if m == nil || m.token == 0 || r.Session != m.view.Session || !m.isNewestReport(r.Session, r.Seq) {
		return Answer{503, wire.Error{Error: "late report"}}
	}
	// The answer renews the worker's lease like any other, so it must stop the tasks of final jobs like any other.
	m.recordReport(r.Session, r.Seq)
	commands := a.finalJobCommands(m, []wire.Command{})
	a.logCommands(m, pathLateAnswer, commands)
	return Answer{200, wire.Commands{Token: m.token, Commands: commands}}
}

// ensureToken issues a token of this host that the worker obeys, unless the machine has one. It returns false if a newer
// epoch must be obtained first.
func (a *Registry) ensureToken(m *machine, r *wire.Report) bool {
	if m.token != 0 && r.Token <= m.token {
		if m.token < m.requiredToken {
			a.issueToken(m, a.runner.Wall())
		}
		return true
	}
	if max(EpochOf(r.Token), a.peerEpoch(r.Machine)) >= a.config.Epoch() || !a.issueToken(m, a.runner.Wall()) {
		return false
	}
	m.requiredToken = m.token
	return true
}

// reportUnderNewerEpoch handles a report whose worker obeys a token above all of ours, once a newer epoch was obtained.
func (a *Registry) reportUnderNewerEpoch(m *machine, r wire.Report, reply func(Answer)) {
	a.setState(m, RaisingEpoch)
	before := a.config.Epoch()
	a.config.RaiseEpoch(func() {
		if a.config.Epoch() <= before {
			reply(Answer{503, wire.Error{Error: "no epoch"}})
			return
		}
		a.Report(r, reply)
	})
}

// redirect records when a worker was last sent to another controller, and how often it was.
type redirect struct {
	at    eventloop.Micros
	times int
}

// applyReport updates the machine's view from a report, or from the body of the answer to a direct command.
//
// A report may have been delayed for minutes, and looks new to a controller that received nothing in that time. It
// was certainly made after the token that it shows was issued, and the body of a direct answer after its
// command was sent; that time is madeAfter.
func (a *Registry) applyReport(m *machine, r wire.Report, reported bool, madeAfter eventloop.Micros) {
	wall := a.runner.Wall()
	v := &m.view
	if reported {
		m.recordReport(r.Session, r.Seq)
	}
	before := *v
	sameLife := m.continuesLife(&r)
	if !sameLife {
		a.log.Info("worker shows another session, or a lower token; what was sent to it before counts as undelivered once it shows a higher token",
			"machine", r.Machine, "session", r.Session, "token", r.Token, "known_session", v.Session, "known_token", v.ShownToken)
		v.MadeAfter = 0
	}
	v.Tasks = make([]Task, 0, len(r.Tasks))
	for _, t := range r.Tasks {
		v.Tasks = append(v.Tasks, Task{t.Task, t.Attempt, t.State, t.Why, t.Saved})
	}
	v.Session = r.Session
	c := v.ChangesSince(&before)
	switch {
	case m.vanished(&before, &c):
		a.workerRestarted(m)
	case !sameLife:
		a.requireHigherToken(m, m.token)
	}
	if !sameLife {
		m.fenceStarts()
	}
	v.ShownToken = r.Token
	if m.tokenShown(r.Token) {
		a.setState(m, TokenShown)
	} else {
		a.setState(m, AwaitingToken)
	}
	v.shareWith(&before, &c)
	v.firstListed = v.firstListedTimes(&before, &c, wall)
	if !c.Unchanged || (v.NoticeAt == 0) != (r.NoticeS == nil) {
		m.dirty = true
	}
	v.Name, v.Addr, v.Type, v.Zone, v.Spot, v.Host, v.Incarnation = r.Machine, r.Addr, r.Type, r.Zone, r.Spot, a.config.Label, a.config.Incarnation
	v.Seq, v.Epoch = r.Seq, EpochOf(m.token)
	if reported {
		v.ReportedAt = wall
	}
	if r.Token == m.token {
		v.MadeAfter = max(v.MadeAfter, madeAfter)
	}
	v.NoticeAt = 0
	if r.NoticeS != nil {
		v.NoticeAt = wall + eventloop.Seconds(*r.NoticeS)
	}
	for k, p := range m.pending {
		switch {
		case v.Find(k.Task, k.Number) != nil:
			// The worker has the start. A copy of it, in a direct command or in an answer, may still be in
			// flight. It has no effect while the worker knows the attempt, and mayForget ensures that it does.
			delete(m.pending, k)
		case p.untilToken != 0 && r.Token >= p.untilToken:
			p.untilToken = 0 // a command under the old token can no longer be carried out
			if p.start.Session != v.Session {
				delete(m.pending, k)
				m.dirty = true
			}
		}
	}
	a.expireStarts(m, wall)
	m.dropUnlisted()
}

// updateView updates the machine's newest view, and publishes it if peers must receive the change.
func (a *Registry) updateView(m *machine) {
	now := a.runner.Now()
	v := &m.view
	old := a.views[v.Name]
	closed := a.runner.Wall() < m.closedUntil
	a.listPending(m)
	if closed != v.ClosedToStarts || (old != nil && len(v.Pending) != len(old.Pending)) {
		m.dirty = true
	}
	if old == nil || old.TokenConfirmed != v.TokenConfirmed || old.Host != v.Host {
		m.dirty = true
	}
	v.ClosedToStarts = closed
	v.Rev++
	c := *v
	c.resolved = false
	if m.dirty || now-m.publishedAt > 2*eventloop.Second {
		m.dirty = false
		a.publishSoon(m)
	}
	a.setView(&c)
}

// setView makes v the newest view of its machine.
func (a *Registry) setView(v *View) {
	old := a.views[v.Name]
	c := v.ChangesSince(old)
	if v.jobs == nil {
		v.shareWith(old, &c)
	}
	a.views[v.Name] = v
	a.config.ViewChanged(v, &c)
}
