package health

import (
	"math"

	"cleatpick/internal/eventloop"
)

// A job finishes with its last task, so with many tasks one slow machine in twenty delays
// most jobs. A slow machine is found by comparing the run times of its tasks with those of
// the same jobs on other machines: run times within a job differ by about a third, those on
// a slow machine by a larger factor.

const (
	slowFactor       = 1.6  // mean ratio of run times above which a machine is slow
	minPaceTasks     = 4    // tasks of a job that must have completed before others are compared with it
	paceWeight       = 0.15 // least weight of the newest task in a machine's mean
	minComparedTasks = 6    // tasks that must have been compared before a machine is called slow
	// SlowBackOff is for how long a slow machine takes no starts.
	SlowBackOff = 20 * eventloop.Second
)

// Pace is the usual run time of a job's tasks: the mean logarithm of their run times.
type Pace struct {
	n    int
	mean float64
}

func (c *Pace) add(ran eventloop.Micros) {
	c.n++
	c.mean += (math.Log(float64(max(ran, 1))) - c.mean) / float64(c.n)
}

// slowness is the slowness of a machine: the mean logarithm of the ratio of its tasks' run times
// to those of the same jobs elsewhere.
type slowness struct {
	n    int
	mean float64
}

// add adds a task that ran on the machine for the given time and reports whether the machine
// is slow.
func (m *slowness) add(c *Pace, ran eventloop.Micros) bool {
	if c == nil || c.n < minPaceTasks {
		return false
	}
	m.n++
	w := max(paceWeight, 1/float64(m.n))
	m.mean += w * (math.Log(float64(max(ran, 1))) - c.mean - m.mean)
	return m.n >= minComparedTasks && m.mean > math.Log(slowFactor)
}
