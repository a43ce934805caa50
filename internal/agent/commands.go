package agent

import (
	"context"
	"log/slog"

	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// expire removes starts that may not be carried out any more and cannot be in flight.
func (a *Agent) expire(m *machine, wall loop.Micros) {
	for k, p := range m.pending {
		if wall >= p.start.Expiry && !p.direct && !m.inAnswer(k) && p.untilToken == 0 {
			delete(m.pending, k)
			m.dirty = true
		}
	}
	for k, until := range m.refused {
		if wall > until {
			delete(m.refused, k)
		}
	}
}

// way is the path by which commands reach a worker.
type way string

// The paths of commands.
const (
	wayDirect     way = "direct"
	wayAnswer     way = "answer"
	wayLateAnswer way = "lateAnswer" // in the answer to a report that was overtaken by the answer to a direct command
)

// commands collects what the worker must do now, for a message that is sent at once.
func (a *Agent) commands(m *machine, by way) []wire.Command {
	out := a.asked(m, []wire.Command{})
	out = a.ends(m, out)
	out = a.starts(m, by, out)
	a.logCommands(m, by, out)
	return out
}

// asked appends the stops and forgets that owners requested.
func (a *Agent) asked(m *machine, out []wire.Command) []wire.Command {
	now := a.r.Now()
	for _, k := range sortedKeys(m.stops) {
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
				out = append(out, wire.Command{Op: wire.OpForget, Task: k.Task, Attempt: k.Number})
			}
		case t.Active() && !(t.State == wire.TaskSaving && q.stop.Grace > 0):
			grace := float64(q.stop.Grace) / 1e6
			out = append(out, wire.Command{Op: wire.OpStop, Task: k.Task, Attempt: k.Number, GraceS: &grace})
		}
	}
	return out
}

// starts appends the starts that the worker has not received. A start in an answer in flight is sent directly
// as well, since one lost packet delays an answer by about 200 ms.
func (a *Agent) starts(m *machine, by way, out []wire.Command) []wire.Command {
	wall := a.r.Wall()
	if !a.h.MayStart() || wall < m.closeTo {
		return out
	}
	for _, k := range sortedKeys(m.pending) {
		p := m.pending[k]
		if p.direct || p.untilToken != 0 || wall >= p.start.Expiry {
			continue
		}
		if j := a.job(k.Task); j == nil || j.Final() || a.barred(j, &m.view) != "" {
			continue
		}
		if by == wayDirect {
			p.direct = true
		} else {
			m.answered[k] = struct{}{}
		}
		out = append(out, wire.Command{Op: wire.OpStart, Task: k.Task, Attempt: k.Number})
	}
	return out
}

// ends appends stops and forgets for the tasks of final jobs. Every answer that renews a lease contains them.
func (a *Agent) ends(m *machine, out []wire.Command) []wire.Command {
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
			out = append(out, wire.Command{Op: wire.OpForget, Task: t.Task, Attempt: t.Attempt})
		}
	}
	return out
}

// operation returns the name of a command's operation for logs and metrics.
func operation(op string) string {
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
func (a *Agent) logCommands(m *machine, by way, commands []wire.Command) {
	for i := range commands {
		a.h.Meter.Command(operation(commands[i].Op), string(by))
	}
	if len(commands) == 0 || !a.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	for i := range commands {
		c := &commands[i]
		a.log.Debug("command sent to worker", "op", operation(c.Op), "task", c.Task, "attempt", c.Attempt, "machine", m.view.Name, "way", string(by), "token", m.token, "session", m.view.Session)
	}
}

// job finds the job of a task, nil if it is not known here.
func (a *Agent) job(task string) *job.Job {
	id, _, _ := SplitTask(task)
	return a.h.Job(id)
}

// listPending lists in the view the starts that may still be carried out, and the reservations for starts to
// come.
func (a *Agent) listPending(m *machine) {
	now := a.r.Now()
	v := &m.view
	v.Pending = make([]Task, 0, len(m.pending)+len(m.reserved))
	for _, k := range sortedKeys(m.pending) {
		v.Pending = append(v.Pending, Task{Task: k.Task, Attempt: k.Number})
	}
	for _, k := range sortedKeys(m.reserved) {
		if now > m.reserved[k] || m.pending[k] != nil || v.Find(k.Task, k.Number) != nil {
			delete(m.reserved, k)
			continue
		}
		v.Pending = append(v.Pending, Task{Task: k.Task, Attempt: k.Number})
	}
}
