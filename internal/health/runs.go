package health

import (
	"math"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// taskRun is what is known of a task that was reported as running.
type taskRun struct {
	since     eventloop.Micros // 0: it does not run
	counted   bool             // its long run time has been counted for its machine already
	uncertain bool             // it may have started long before it was first reported
}

// Runs tracks the tasks that run on one machine, and the machine's speed.
type Runs struct {
	runs      []taskRun // of the newest view's tasks, in their order
	slowness  slowness
	images    map[string]struct{} // images used by tasks of the machine
	checkedAt eventloop.Micros    // when running tasks were last checked for overdue ones
}

// overdueInterval is the interval at which running tasks are checked for overdue ones.
const overdueInterval = 5 * eventloop.Second

// NewRuns returns the state of a machine on which no task is known.
func NewRuns() *Runs { return &Runs{images: map[string]struct{}{}} }

// HasImage reports whether a task with this image has been reported on the machine.
func (r *Runs) HasImage(image string) bool {
	_, ok := r.images[image]
	return ok
}

// Since returns the time since which task i of the newest view runs, or 0 if it does not.
func (r *Runs) Since(i int) eventloop.Micros { return r.runs[i].since }

// Paces holds the paces of jobs by job ID.
type Paces map[string]*Pace

// Findings holds what a view shows about its machine.
type Findings struct {
	Freed  float64 // CPUs freed by tasks that completed
	Slow   bool
	Factor float64 // how many times longer tasks run there; set if it is slow
}

// Update records a machine's newest view: since when its tasks run, which determines what a
// preemption would lose; which images they use; and, by the run times, whether the machine is
// slow. A task that runs for much longer than is usual for its job counts before it has
// completed. old are the tasks of the previous view; uncertain says that tasks may have started
// or ended long before now, because no report arrived for a while.
func (r *Runs) Update(v *workers.View, c *workers.Changes, old []workers.Task, jobs []*job.Job, paces Paces, now eventloop.Micros, uncertain bool) (out Findings) {
	late := now-r.checkedAt >= overdueInterval
	if late {
		r.checkedAt = now
	}
	same := c.Unchanged && len(r.runs) == len(v.Tasks)
	if same && !late {
		return out
	}
	runs := r.runs
	if !same {
		runs = make([]taskRun, len(v.Tasks))
	}
	for i := range v.Tasks {
		x, j := &v.Tasks[i], jobs[i]
		if c.Kept(i) && c.OldIndexOf(i) < len(r.runs) {
			runs[i] = r.runs[c.OldIndexOf(i)]
			out.Slow = late && r.overdue(&runs[i], j, paces, now) || out.Slow
			continue
		}
		was := r.previous(x, c, old)
		if (x.State == wire.TaskRunning || x.State == wire.TaskSaving) && j != nil && j.Spec != nil {
			r.images[j.Spec.Image] = struct{}{}
		}
		switch {
		case x.State == wire.TaskRunning && was.since == 0:
			runs[i] = taskRun{since: now, uncertain: uncertain}
		case x.State == wire.TaskRunning:
			out.Slow = late && r.overdue(&was, j, paces, now) || out.Slow
			runs[i] = was
		case x.State == wire.TaskExited && x.Why == wire.WhyDone && was.since != 0 && j != nil:
			if j.Spec != nil {
				out.Freed += j.Spec.CPUs
			}
			was.uncertain = was.uncertain || uncertain
			out.Slow = r.completed(&was, j, paces, now) || out.Slow
		}
	}
	r.runs = runs
	if out.Slow {
		out.Factor = math.Exp(r.slowness.mean)
	}
	return out
}

// previous returns what was known of a task whose state has changed.
func (r *Runs) previous(x *workers.Task, c *workers.Changes, old []workers.Task) taskRun {
	for _, g := range c.Removed {
		if g < len(r.runs) && old[g].Attempt == x.Attempt && old[g].Task == x.Task {
			return r.runs[g]
		}
	}
	return taskRun{}
}

// overdue counts a task that still runs if it has run for more than twice its job's usual
// time, and reports whether the machine is slow.
func (r *Runs) overdue(o *taskRun, j *job.Job, paces Paces, now eventloop.Micros) bool {
	if o.since == 0 || o.counted || o.uncertain || j == nil || j.Final() {
		return false
	}
	pace := paces[j.ID]
	if pace == nil || pace.n < minPaceTasks || float64(now-o.since) <= 2*math.Exp(pace.mean) {
		return false
	}
	o.counted = true
	return r.slowness.add(pace, now-o.since)
}

// completed counts a task that has completed, adds it to its job's pace, and reports whether
// the machine is slow.
func (r *Runs) completed(o *taskRun, j *job.Job, paces Paces, now eventloop.Micros) (slow bool) {
	if o.uncertain || j.Final() {
		return false
	}
	pace := paces[j.ID]
	if !o.counted {
		slow = r.slowness.add(pace, now-o.since)
	}
	if pace == nil {
		pace = &Pace{}
		paces[j.ID] = pace
	}
	pace.add(now - o.since)
	return slow
}

// ResetSlowness resets the machine's slowness, so that it is computed from present and later tasks.
func (r *Runs) ResetSlowness() { r.slowness = slowness{} }
