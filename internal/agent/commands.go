package agent

import (
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// expire forgets starts that may not be carried out any more and cannot be on their way.
func (a *Agent) expire(m *machine, wall loop.Micros) {
	for k, p := range m.pending {
		if wall >= p.s.Expiry && !p.direct && !p.inAnswer && p.limbo == 0 {
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

// commands gathers what the worker is to do now.
func (a *Agent) commands(m *machine, direct bool) []wire.Command {
	now, wall := a.r.Now(), a.r.Wall()
	out := []wire.Command{}
	for _, k := range sortedKeys(m.stops) {
		q := m.stops[k]
		t := m.view.Find(k.task, k.attempt)
		if now > q.until || t == nil {
			delete(m.stops, k)
			continue
		}
		if q.s.Forget {
			// Only a machine that shows our token has no older command in flight.
			if t.State == wire.TaskExited && m.state == Held && !m.direct {
				out = append(out, wire.Command{Op: wire.OpForget, Task: k.task, Attempt: k.attempt})
			}
			continue
		}
		if t.Active() && !(t.State == wire.TaskSaving && q.s.Grace > 0) {
			g := float64(q.s.Grace) / 1e6
			out = append(out, wire.Command{Op: wire.OpStop, Task: k.task, Attempt: k.attempt, GraceS: &g})
		}
	}
	out = a.ends(m, out)
	if !a.h.MayStart() || wall < m.closeTo {
		return out
	}
	for _, k := range sortedKeys(m.pending) {
		p := m.pending[k]
		if p.direct || p.limbo != 0 || wall >= p.s.Expiry {
			continue
		}
		if j := a.job(k.task); j == nil || j.Final() || a.barred(j, &m.view) != "" {
			continue
		}
		if direct {
			p.direct = true
		} else {
			p.inAnswer = true
		}
		out = append(out, wire.Command{Op: wire.OpStart, Task: k.task, Attempt: k.attempt})
	}
	return out
}

// ends adds what ends and forgets the tasks of jobs that are over. Every answer that renews a
// lease carries it.
func (a *Agent) ends(m *machine, out []wire.Command) []wire.Command {
	jobs := a.Jobs(&m.view)
	for i := range m.view.Tasks {
		t := &m.view.Tasks[i]
		j := jobs[i]
		if j == nil || !j.Final() {
			continue
		}
		if t.Active() {
			// Nobody has any use for what a withdrawn job's tasks still do.
			zero := 0.0
			out = append(out, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero})
		} else if m.state == Held && !m.direct && m.pending[key{t.Task, t.Attempt}] == nil {
			out = append(out, wire.Command{Op: wire.OpForget, Task: t.Task, Attempt: t.Attempt})
		}
	}
	return out
}

func (a *Agent) job(task string) *job.Job {
	id, _, _ := SplitTask(task)
	return a.h.Job(id)
}

// listPending lists the starts that may still be carried out, and those to come.
func (a *Agent) listPending(m *machine) {
	now := a.r.Now()
	v := &m.view
	v.Pending = make([]Task, 0, len(m.pending)+len(m.reserved))
	for _, k := range sortedKeys(m.pending) {
		v.Pending = append(v.Pending, Task{Task: k.task, Attempt: k.attempt})
	}
	for _, k := range sortedKeys(m.reserved) {
		if now > m.reserved[k] || m.pending[k] != nil || v.Find(k.task, k.attempt) != nil {
			delete(m.reserved, k)
			continue
		}
		v.Pending = append(v.Pending, Task{Task: k.task, Attempt: k.attempt})
	}
}
