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
