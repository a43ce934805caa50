package placer

import (
	"cleatpick/internal/agent"
	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// health judges machines by what their views show of all teams' tasks. Every node
// sees the same views and so comes to the same judgement.
type health struct {
	machines map[string]*machineHealth
}

type machineHealth struct {
	counted map[string]uint64 // ended attempts that were counted
	errors  int               // since the last success
	jobs    map[string]bool   // that failed since the last success
	until   loop.Micros       // nothing is placed before
}

func newHealth() *health { return &health{machines: map[string]*machineHealth{}} }

func (h *health) view(now loop.Micros, v *agent.View) {
	var m *machineHealth
	for i := range v.Tasks {
		t := &v.Tasks[i]
		if t.Active() || (t.Why != wire.WhyDone && t.Why != wire.WhyError) {
			continue
		}
		if m == nil {
			if m = h.machines[v.Name]; m == nil {
				m = &machineHealth{counted: map[string]uint64{}, jobs: map[string]bool{}}
				h.machines[v.Name] = m
			}
		}
		if m.counted[t.Task] >= t.Attempt {
			continue
		}
		if len(m.counted) > 64+2*len(v.Tasks) {
			m.forget(v) // a machine may live for long
		}
		m.counted[t.Task] = t.Attempt
		if t.Why == wire.WhyDone {
			m.errors = 0
			clear(m.jobs)
			continue
		}
		m.errors++
		if id, _, ok := agent.SplitTask(t.Task); ok {
			m.jobs[id] = true
		}
		// One failure may be the job's own fault; several in a row, or of
		// several jobs, speak against the machine.
		if m.errors >= 2 {
			m.until = now + min(120*loop.Second, 15*loop.Second<<min(m.errors-2, 3))
		}
	}
}

// forget drops what the machine does not report any more.
func (m *machineHealth) forget(v *agent.View) {
	kept := map[string]uint64{}
	for i := range v.Tasks {
		if n, ok := m.counted[v.Tasks[i].Task]; ok {
			kept[v.Tasks[i].Task] = n
		}
	}
	m.counted = kept
}

func (h *health) gone(machine string) { delete(h.machines, machine) }

// until is when something may be placed on the machine again.
func (h *health) until(machine string) loop.Micros {
	if m := h.machines[machine]; m != nil {
		return m.until
	}
	return 0
}

// faulty tells whether the machine fails tasks of several jobs and should be replaced.
func (h *health) faulty(machine string) bool {
	m := h.machines[machine]
	return m != nil && len(m.jobs) >= 2 && m.errors >= 3
}
