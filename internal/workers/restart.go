package workers

import (
	"cleatpick/internal/delivery"
	"cleatpick/internal/wire"
)

// A worker that restarts may begin as if its machine had just booted: in session 1, with no report sent and no token
// seen. Copies of commands from before the restart match its session and are not refused for their token, so a task that
// has vanished from its list may run there again. It may be started elsewhere only once the worker has shown a token above
// all of these commands, or has begun another session.
//
// The reports of such a worker seem older than those before. They are not answered until their sequence numbers have
// caught up, so that the worker's lease may expire and a new session begin. Until then its earlier tasks count as running.

// Neither the session nor the sequence number orders two messages of a worker that restarted in between: a copy of a report
// from before the restart may show a higher session. What a message says of the present is therefore taken from it only
// once it shows a token that did not exist before (View.MadeAfter).

// continuesLife reports whether a report that is newer by its session and sequence number may belong to the session
// that is known here. Another session may be that of an earlier or later life of the worker, and a worker that has not
// restarted never shows a lower token than before.
func (m *machine) continuesLife(r *wire.Report) bool {
	return m.view.Session == 0 || r.Session == m.view.Session && r.Token >= m.view.ShownToken
}

// workerRestarted makes a restarted worker show a higher token than all commands that were sent to it before.
func (a *Registry) workerRestarted(m *machine) {
	a.log.Info("worker has restarted within its session; its tasks count as running until it shows a higher token or begins another session",
		"machine", m.view.Name, "session", m.view.Session, "seq", m.view.Seq, "token", m.token)
	a.requireHigherToken(m, m.token)
}

// vanished reports whether an attempt of the machine's previous view is not listed any more although the worker was not
// told to forget it. Within a session that proves a restart.
func (m *machine) vanished(before *View, c *Changes) bool {
	for _, i := range c.Removed {
		attempt := delivery.Attempt{Task: before.Tasks[i].Task, Number: before.Tasks[i].Attempt}
		if _, told := m.forgetsSent[attempt]; !told && m.view.index(attempt.Task, attempt.Number) < 0 {
			return true
		}
	}
	return false
}

// provesRestart reports whether the answer to a direct command proves a restart: it has no higher sequence number than
// was known when the command was sent.
func (m *machine) provesRestart(command directCommand, r *wire.Report) bool {
	return r.Machine == m.view.Name && r.Session == command.session && r.Session == m.view.Session && r.Seq <= command.knownSeq
}

// fenceStarts keeps all pending starts listed until the worker shows the token that it must: until then a start that was
// sent under an earlier token may be carried out, whatever session a report shows.
func (m *machine) fenceStarts() {
	for _, p := range m.pending {
		p.untilToken = max(p.untilToken, m.requiredToken)
	}
}
