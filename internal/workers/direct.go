package workers

import (
	"time"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// sendCommandsSoon schedules sendCommands, so that commands that come together are sent together.
func (a *Registry) sendCommandsSoon(m *machine) {
	if m.sendScheduled {
		return
	}
	m.sendScheduled = true
	a.runner.After(4*eventloop.Millisecond, func() {
		m.sendScheduled = false
		a.sendCommands(m)
	})
}

// sendCommands sends the pending commands straight to the worker. It does so only while the worker shows this host's
// token: then no other controller can command the worker without this one noticing.
func (a *Registry) sendCommands(m *machine) {
	if a.hosted[m.view.Name] != m || m.state != TokenShown || m.directInFlight {
		return
	}
	if ok, _ := a.config.MayAnswer(); !ok {
		return
	}
	cmds := a.commands(m, pathDirect)
	if len(cmds) == 0 && !m.wantTaskList {
		return
	}
	m.directInFlight, m.wantTaskList = true, false
	command := directCommand{token: m.token, session: m.view.Session, knownSeq: m.view.Seq, sentAt: a.runner.Wall()}
	addr := m.view.Addr
	a.runner.Go(func() {
		resp := a.sendDirect(addr, wire.Commands{Token: command.token, Session: command.session, Commands: cmds}, 1500*time.Millisecond)
		a.runner.Post(func() { a.handleDirectResponse(m, command, resp) })
	})
}

// directCommand is what is known of a direct command when its response arrives.
type directCommand struct {
	token, session uint64
	knownSeq       uint64           // newest sequence number of the machine when the command was sent
	sentAt         eventloop.Micros // wall-clock time
}

// handleDirectResponse handles the response to a direct command.
func (a *Registry) handleDirectResponse(m *machine, command directCommand, resp store.Response) {
	m.directInFlight = false
	var r wire.Report
	sure := resp.Err == nil && (resp.Status == 200 || resp.Status == 409) && wire.Unmarshal(resp.Body, &r) == nil
	for _, p := range m.pending {
		if p.direct && !sure {
			p.untilToken = command.token + 1
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
		a.requireHigherToken(m, command.token)
		a.updateView(m)
		return
	}
	if m.provesRestart(command, &r) {
		a.workerRestarted(m)
		a.updateView(m)
		return
	}
	if r.Machine == m.view.Name && compareMessages(r.Token, r.Session, r.Seq, &m.view) > 0 {
		madeAfter := command.sentAt
		if resp.Status == 409 {
			madeAfter = 0
		}
		a.applyReport(m, r, false, madeAfter)
		a.updateView(m)
	}
	if m.state == TokenShown {
		for k := range m.pending {
			if !m.inAnswer(k) {
				a.sendCommandsSoon(m)
				break
			}
		}
	}
}
