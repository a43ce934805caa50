package placer

import (
	"math"

	"cleatpick/internal/agent"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// A job is as late as its last task, so with many tasks one slow machine in twenty makes
// most jobs late. How slow a machine is shows in its tasks beside those of the same jobs
// on other machines: run times within a job differ by a third or so, those of a slow
// machine by a factor. Every node sees all machines' views and so judges alike.

const (
	slowFactor = 1.6
	paceTasks  = 4                // tasks of a job that must have completed before it tells a pace
	paceWeight = 0.15             // of the newest task in a machine's judgement
	paceCount  = 6                // tasks that must speak against a machine
	slowRest   = 20 * loop.Second // for which a slow machine takes no starts
)

// pace is how long a job's tasks take, as the mean logarithm of their run times.
type pace struct {
	n    int
	mean float64
}

func (c *pace) add(ran loop.Micros) {
	c.n++
	c.mean += (math.Log(float64(max(ran, 1))) - c.mean) / float64(c.n)
}

// tempo is what a machine's tasks say of it: the logarithm of how much longer they take.
type tempo struct {
	n    int
	mean float64
}

// hear takes in a task that ran for so long on the machine; tells whether it is slow.
func (m *tempo) hear(c *pace, ran loop.Micros) bool {
	if c == nil || c.n < paceTasks {
		return false
	}
	m.n++
	w := max(paceWeight, 1/float64(m.n))
	m.mean += w * (math.Log(float64(max(ran, 1))) - c.mean - m.mean)
	return m.n >= paceCount && m.mean > math.Log(slowFactor)
}

// judgePace takes in how long the tasks of a view have run. A task that runs for long
// beyond its job's usual time speaks against its machine before it has completed.
func (p *Placer) judgePace(sl *slot, v *agent.View, jobs []*job.Job, now loop.Micros) {
	slow := false
	for i := range v.Tasks {
		x := &v.Tasks[i]
		r, known := sl.runs[x.Task]
		if !known || r.attempt != x.Attempt || r.heard || r.unsure || jobs[i] == nil || jobs[i].Final() {
			continue
		}
		id := jobs[i].ID
		switch c := p.paces[id]; {
		case x.State == wire.TaskExited && x.Why == wire.WhyDone:
			if !r.late {
				slow = sl.tempo.hear(c, now-r.since) || slow
			}
			if c == nil {
				c = &pace{}
				p.paces[id] = c
			}
			c.add(now - r.since)
			r.heard = true
			sl.runs[x.Task] = r
		case x.State == wire.TaskRunning && !r.late && c != nil && c.n >= paceTasks &&
			float64(now-r.since) > 2*math.Exp(c.mean):
			slow = sl.tempo.hear(c, now-r.since) || slow
			r.late = true
			sl.runs[x.Task] = r
		}
	}
	if slow && now >= sl.shut {
		p.log.Debug("slow machine rests", "machine", v.Name, "times", math.Exp(sl.tempo.mean))
		sl.shut = now + slowRest
		sl.tempo = tempo{} // it is judged anew by what it runs and will run
	}
}
