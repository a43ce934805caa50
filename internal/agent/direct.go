package agent

import (
	"time"

	"cleatpick/internal/loop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// flushSoon schedules flush, so that commands that come together are sent together.
func (a *Agent) flushSoon(m *machine) {
	if m.flushing {
		return
	}
	m.flushing = true
	a.r.After(4*loop.Millisecond, func() {
		m.flushing = false
		a.flush(m)
	})
}

// flush sends the pending commands straight to the worker. It does so only while the worker shows this host's
// token: then no other controller can command the worker without this one noticing.
func (a *Agent) flush(m *machine) {
	if a.hosted[m.view.Name] != m || m.state != Held || m.direct {
		return
	}
	if ok, _ := a.h.MayAnswer(); !ok {
		return
	}
	cmds := a.commands(m, wayDirect)
	if len(cmds) == 0 && !m.check {
		return
	}
	m.direct, m.check = true, false
	token, session, addr, sent := m.token, m.view.Session, m.view.Addr, a.r.Wall()
	a.r.Go(func() {
		resp := a.direct(addr, wire.Commands{Token: token, Session: session, Commands: cmds}, 1500*time.Millisecond)
		a.r.Post(func() { a.directDone(m, token, sent, resp) })
	})
}

// directDone handles the response to a direct command.
func (a *Agent) directDone(m *machine, token uint64, sent loop.Micros, resp store.Response) {
	m.direct = false
	var r wire.Report
	sure := resp.Err == nil && (resp.Status == 200 || resp.Status == 409) && wire.Unmarshal(resp.Body, &r) == nil
	for _, p := range m.pending {
		if p.direct && !sure {
			p.untilToken = token + 1
		}
		p.direct = false
	}
	if a.hosted[m.view.Name] != m {
		return
	}
	if !sure {
		// The command may still be carried out minutes later, until the worker has seen a higher token and
		// shows it.
		a.log.Debug("direct command without a definite answer; the machine gets a higher token and no direct commands until it shows it", "machine", m.view.Name, "err", resp.Err, "status", resp.Status)
		if m.token == token {
			m.token++
			m.tokenAt = a.r.Wall()
		}
		a.setState(m, Taking)
		a.refresh(m)
		return
	}
	if r.Machine == m.view.Name && (r.Session > m.view.Session || (r.Session == m.view.Session && r.Seq > m.view.Seq)) {
		if resp.Status == 409 {
			sent = 0
		}
		a.applyReport(m, r, false, sent)
		a.refresh(m)
	}
	if m.state == Held {
		for k := range m.pending {
			if !m.inAnswer(k) {
				a.flushSoon(m)
				break
			}
		}
	}
}
