package fleet

import (
	"cmp"
	"slices"

	"cleatpick/internal/delivery"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/predicate"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// pendingPreemption is a task that was preempted, and until when the request counts as pending.
type pendingPreemption struct {
	attempt delivery.Attempt
	until   eventloop.Micros
}

// isStopping reports whether a preemption of the task is pending. It drops entries whose time has passed.
func (m *Machine) isStopping(t *workers.Task, now eventloop.Micros) bool {
	for i := 0; i < len(m.preempted); i++ {
		switch x := &m.preempted[i]; {
		case now > x.until:
			m.preempted = append(m.preempted[:i], m.preempted[i+1:]...)
			i--
		case x.attempt.Number == t.Attempt && x.attempt.Task == t.Task:
			return true
		}
	}
	return false
}

// victim is a task that may be preempted, with the work that would be lost.
type victim struct {
	task  *workers.Task
	spec  *job.Spec
	loss  float64 // CPU seconds
	grace eventloop.Micros
}

// appendVictims appends the tasks on a machine that may be preempted, each considered by itself: those of lower
// priority first, then the others, and within each group the least loss first.
func (f *Fleet) appendVictims(out []victim, need *predicate.Need, m *Machine, now eventloop.Micros, rights *PreemptionRights) []victim {
	urgent := need.Spec.Priority >= job.High
	for i := range m.View.Tasks {
		x := &m.View.Tasks[i]
		if x.State != wire.TaskRunning && x.State != wire.TaskFetching {
			continue
		}
		j := m.Jobs[i]
		if j == nil || j.Spec == nil || !rights.allows(need.Spec, j.Spec, 0) {
			continue
		}
		if m.isStopping(x, now) {
			continue
		}
		s := j.Spec
		var ran eventloop.Micros
		if since := m.Runs.Since(i); since != 0 {
			ran = now - since
		}
		y := victim{task: x, spec: s}
		switch {
		case s.Checkpoint > 0 && !urgent:
			y.grace = s.Save + eventloop.Second
			ran = s.Save
		case s.Checkpoint > 0:
			ran %= s.Checkpoint
		}
		y.loss = float64(ran) / 1e6 * s.CPUs
		if s.Priority >= need.Spec.Priority {
			y.loss += 60 * s.CPUs
		}
		out = append(out, y)
	}
	// Tasks of the same or a higher priority, which only a guarantee may preempt, come last: how many of them
	// may be preempted depends on everything preempted before.
	lower := func(v *victim) int {
		if v.spec.Priority < need.Spec.Priority {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(out, func(a, b victim) int {
		return cmp.Or(cmp.Compare(lower(&a), lower(&b)), cmp.Compare(a.loss, b.loss))
	})
	return out
}
