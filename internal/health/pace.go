package health

import (
	"math"

	"cleatpick/internal/loop"
)

// A job is as late as its last task, so with many tasks one slow machine in twenty makes
// most jobs late. How slow a machine is shows in its tasks beside those of the same jobs
// on other machines: run times within a job differ by a third or so, those of a slow
// machine by a factor. Every node sees all machines' views and so judges alike.

const (
	slowFactor = 1.6
	paceTasks  = 4    // tasks of a job that must have completed before it tells a pace
	paceWeight = 0.15 // of the newest task in a machine's judgement
	paceCount  = 6    // tasks that must speak against a machine
	// SlowRest is for how long a slow machine takes no starts.
	SlowRest = 20 * loop.Second
)

// Pace is how long a job's tasks take, as the mean logarithm of their run times.
type Pace struct {
	n    int
	mean float64
}

func (c *Pace) add(ran loop.Micros) {
	c.n++
	c.mean += (math.Log(float64(max(ran, 1))) - c.mean) / float64(c.n)
}

// tempo is what a machine's tasks say of it: the logarithm of how much longer they take.
type tempo struct {
	n    int
	mean float64
}

// hear takes in a task that ran for so long on the machine; tells whether it is slow.
func (m *tempo) hear(c *Pace, ran loop.Micros) bool {
	if c == nil || c.n < paceTasks {
		return false
	}
	m.n++
	w := max(paceWeight, 1/float64(m.n))
	m.mean += w * (math.Log(float64(max(ran, 1))) - c.mean - m.mean)
	return m.n >= paceCount && m.mean > math.Log(slowFactor)
}
