package workers

import (
	"context"
	"log/slog"

	"cleatpick/internal/delivery"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/wire"
)

// expireStarts removes starts that may not be carried out any more and cannot be in flight.
func (a *Registry) expireStarts(m *machine, wall eventloop.Micros) {
	for k, p := range m.pending {
		if wall >= p.start.Expiry && !p.direct && !m.inAnswer(k) && p.untilToken == 0 {
			delete(m.pending, k)
			m.dirty = true
		}
	}
}

// commandPath is the path by which commands reach a worker.
type commandPath string

// The paths of commands.
const (
	pathDirect     commandPath = "direct"
	pathAnswer     commandPath = "answer"
	pathLateAnswer commandPath = "lateAnswer" // in the answer to a report that was overtaken by the answer to a direct command
)

// commands collects what the worker must do now, for a message that is sent at once.
func (a *Registry) commands(m *machine, by commandPath) []wire.Command {
	if by == pathAnswer && a.forgetNeedsToken(m) {
		a.issueToken(m, a.runner.Wall())
	}
	out := a.requestedCommands(m, []wire.Command{})
	out = a.finalJobCommands(m, out)
	out = a.startCommands(m, by, out)
	a.logCommands(m, by, out)
	return out
}

// requestedCommands appends the stops and forgets that owners requested.
func (a *Registry) requestedCommands(m *machine, out []wire.Command) []wire.Command {
	now := a.runner.Now()
	for _, k := range sortedAttempts(m.stops) {
		q := m.stops[k]
		i := m.view.index(k.Task, k.Number)
		if now > q.until || i < 0 {
			delete(m.stops, k)
			continue
		}
		t := &m.view.Tasks[i]
		switch {
		case q.stop.Forget:
			if a.mayForget(m, i) {
				out = m.appendForget(out, k)
			}
		case t.Active() && !(t.State == wire.TaskSaving && q.stop.Grace > 0):
			grace := float64(q.stop.Grace) / 1e6
			out = append(out, wire.Command{Op: wire.OpStop, Task: k.Task, Attempt: k.Number, GraceS: &grace})
		}
	}
	return out
}

// startCommands appends the starts that the worker has not received. A start in an answer in flight is sent
// directly as well, since one lost packet delays an answer by about 200 ms.
func (a *Registry) startCommands(m *machine, by commandPath, out []wire.Command) []wire.Command {
	wall := a.runner.Wall()
	if !a.config.MayStart() || wall < m.closedUntil {
		return out
	}
	for _, k := range sortedAttempts(m.pending) {
		p := m.pending[k]
		if p.direct || p.untilToken != 0 || wall >= p.start.Expiry || p.start.Session != m.view.Session {
			continue
		}
		if j := a.jobOf(k.Task); j == nil || j.Final() || a.startBlocked(j, &m.view) != "" {
			continue
		}
		a.passedOn.Record(k, p.start.Expiry)
		if by == pathDirect {
			p.direct = true
			m.directStarts[k] = m.token
		} else {
			m.startsInAnswer[k] = struct{}{}
		}
		out = append(out, wire.Command{Op: wire.OpStart, Task: k.Task, Attempt: k.Number})
	}
	return out
}

// finalJobCommands appends stops and forgets for the tasks of final jobs. Every answer that renews a lease
// contains them.
func (a *Registry) finalJobCommands(m *machine, out []wire.Command) []wire.Command {
	jobs := a.Jobs(&m.view)
	for i := range m.view.Tasks {
		t := &m.view.Tasks[i]
		j := jobs[i]
		if j == nil || !j.Final() {
			continue
		}
		if t.Active() {
			// A final job has no use for its tasks' state, so they get no time to save it.
			zero := 0.0
			out = append(out, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero})
		} else if a.mayForget(m, i) {
			out = m.appendForget(out, delivery.Attempt{Task: t.Task, Number: t.Attempt})
		}
	}
	return out
}

// appendForget appends a forget of the attempt.
func (m *machine) appendForget(out []wire.Command, attempt delivery.Attempt) []wire.Command {
	m.forgetsSent[attempt] = struct{}{}
	return append(out, wire.Command{Op: wire.OpForget, Task: attempt.Task, Attempt: attempt.Number})
}

// operationName returns the name of a command's operation for logs and metrics.
func operationName(op string) string {
	switch op {
	case wire.OpStart:
		return "start"
	case wire.OpStop:
		return "stop"
	case wire.OpForget:
		return "forget"
	}
	return "other"
}

// logCommands logs and counts each command that is sent to a worker.
func (a *Registry) logCommands(m *machine, by commandPath, commands []wire.Command) {
	for i := range commands {
		a.config.Meter.Command(operationName(commands[i].Op), string(by))
	}
	if len(commands) == 0 || !a.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	for i := range commands {
		c := &commands[i]
		if c.Op == wire.OpForget {
			// A copy of the start below is executed as long as the worker has seen no higher token than its own.
			a.log.Debug("attempt may be forgotten", "task", c.Task, "attempt", c.Attempt, "machine", m.view.Name, "direct_start_token", m.directStarts[delivery.Attempt{Task: c.Task, Number: c.Attempt}],
				"first_listed_us", m.firstListed(c.Task, c.Attempt), "report_seq", m.reportSeq)
		}
		a.log.Debug("command sent to worker", "op", operationName(c.Op), "task", c.Task, "attempt", c.Attempt, "machine", m.view.Name, "way", string(by), "token", m.token, "session", m.view.Session)
	}
}

// jobOf finds the job of a task, nil if it is not known here.
func (a *Registry) jobOf(task string) *job.Job {
	id, _, _ := SplitTask(task)
	return a.config.FindJob(id)
}

// listPending lists in the view the starts that may still be carried out, and the reservations for starts to
// come.
func (a *Registry) listPending(m *machine) {
	now := a.runner.Now()
	v := &m.view
	v.Pending = make([]Task, 0, len(m.pending)+len(m.reservations))
	for _, k := range sortedAttempts(m.pending) {
		v.Pending = append(v.Pending, Task{Task: k.Task, Attempt: k.Number})
	}
	for _, k := range sortedAttempts(m.reservations) {
		if now > m.reservations[k] || m.pending[k] != nil || v.Find(k.Task, k.Number) != nil {
			delete(m.reservations, k)
			continue
		}
		v.Pending = append(v.Pending, Task{Task: k.Task, Attempt: k.Number})
	}
}
