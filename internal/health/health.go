// Package health judges machines by what their tasks show: which fail, which are slow,
// and since when each task runs. Every node sees the same views and judges alike.
package health

import (
	"cleatpick/internal/agent"
	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// Failures judges machines by the tasks of all teams that failed on them.
type Failures struct {
	machines map[string]*machineFailures
}

type machineFailures struct {
	counted map[string]uint64 // ended attempts that were counted
	errors  int               // since the last success
	jobs    map[string]bool   // that failed since the last success
	until   loop.Micros       // nothing is placed before
}

// NewFailures makes an empty judgement.
func NewFailures() *Failures { return &Failures{machines: map[string]*machineFailures{}} }

// View takes in a machine's newer view.
func (h *Failures) View(now loop.Micros, v *agent.View, c *agent.Changes) {
	if c.Still {
		return
	}
	var m *machineFailures
	for i := range v.Tasks {
		t := &v.Tasks[i]
		if c.Kept(i) {
			continue // counted when it was new
		}
		if t.Active() || (t.Why != wire.WhyDone && t.Why != wire.WhyError) {
			continue
		}
		if m == nil {
			if m = h.machines[v.Name]; m == nil {
				m = &machineFailures{counted: map[string]uint64{}, jobs: map[string]bool{}}
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
func (m *machineFailures) forget(v *agent.View) {
	kept := map[string]uint64{}
	for i := range v.Tasks {
		if n, ok := m.counted[v.Tasks[i].Task]; ok {
			kept[v.Tasks[i].Task] = n
		}
	}
	m.counted = kept
}

// Gone forgets a machine that was deleted.
func (h *Failures) Gone(machine string) { delete(h.machines, machine) }

// Until is when something may be placed on the machine again.
func (h *Failures) Until(machine string) loop.Micros {
	if m := h.machines[machine]; m != nil {
		return m.until
	}
	return 0
}

// Faulty tells whether the machine fails tasks of several jobs and should be replaced.
func (h *Failures) Faulty(machine string) bool {
	m := h.machines[machine]
	return m != nil && len(m.jobs) >= 2 && m.errors >= 3
}
