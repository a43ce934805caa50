package health

import (
	"math"

	"cleatpick/internal/agent"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// run is what is known of a task that was seen running.
type run struct {
	since  loop.Micros // 0: it does not run
	late   bool        // it has spoken against its machine
	unsure bool        // it may have begun long before it was first seen
}

// Runs are the tasks seen running on one machine, and what they tell of its speed.
type Runs struct {
	runs   []run // of the newest view's tasks, in their order
	tempo  tempo
	images map[string]struct{} // images seen in use
	judged loop.Micros         // when tasks that still run were last looked at
}

// lookAgain is how often tasks that still run are looked at for running too long.
const lookAgain = 5 * loop.Second

// NewRuns makes an empty memory of a machine's runs.
func NewRuns() *Runs { return &Runs{images: map[string]struct{}{}} }

// HasImage tells whether the image was seen in use on the machine.
func (r *Runs) HasImage(image string) bool {
	_, ok := r.images[image]
	return ok
}

// Since is since when task i of the newest view was seen running; 0: it does not run.
func (r *Runs) Since(i int) loop.Micros { return r.runs[i].since }

// Paces are the paces of jobs, by id.
type Paces map[string]*Pace

// Told is what a view tells of its machine.
type Told struct {
	Freed  float64 // CPUs that fell free by tasks that completed
	Slow   bool
	Factor float64 // how many times longer tasks take there
}

// Follow takes in a view: since when its tasks run, by which is judged what a stop would
// lose; which images they use; and by how long they have run, whether the machine is slow.
// A task that runs for long beyond its job's usual time speaks against its machine before
// it has completed. old are the tasks of the view before.
func (r *Runs) Follow(v *agent.View, c *agent.Changes, old []agent.Task, jobs []*job.Job, paces Paces, now loop.Micros, unsure bool) (out Told) {
	late := now-r.judged >= lookAgain
	if late {
		r.judged = now
	}
	same := c.Unchanged && len(r.runs) == len(v.Tasks)
	if same && !late {
		return out
	}
	runs := r.runs
	if !same {
		runs = make([]run, len(v.Tasks))
	}
	for i := range v.Tasks {
		x, j := &v.Tasks[i], jobs[i]
		if c.Kept(i) && c.OldIndexOf(i) < len(r.runs) {
			runs[i] = r.runs[c.OldIndexOf(i)]
			out.Slow = late && r.overdue(&runs[i], j, paces, now) || out.Slow
			continue
		}
		was := r.was(x, c, old)
		if (x.State == wire.TaskRunning || x.State == wire.TaskSaving) && j != nil && j.Spec != nil {
			r.images[j.Spec.Image] = struct{}{}
		}
		switch {
		case x.State == wire.TaskRunning && was.since == 0:
			runs[i] = run{since: now, unsure: unsure}
		case x.State == wire.TaskRunning:
			out.Slow = late && r.overdue(&was, j, paces, now) || out.Slow
			runs[i] = was
		case x.State == wire.TaskExited && x.Why == wire.WhyDone && was.since != 0 && j != nil:
			if j.Spec != nil {
				out.Freed += j.Spec.CPUs
			}
			was.unsure = was.unsure || unsure
			out.Slow = r.completed(&was, j, paces, now) || out.Slow
		}
	}
	r.runs = runs
	if out.Slow {
		out.Factor = math.Exp(r.tempo.mean)
	}
	return out
}

// was is what was known of a task that now stands otherwise.
func (r *Runs) was(x *agent.Task, c *agent.Changes, old []agent.Task) run {
	for _, g := range c.Removed {
		if g < len(r.runs) && old[g].Attempt == x.Attempt && old[g].Task == x.Task {
			return r.runs[g]
		}
	}
	return run{}
}

// overdue judges the machine by a task that still runs.
func (r *Runs) overdue(o *run, j *job.Job, paces Paces, now loop.Micros) bool {
	if o.since == 0 || o.late || o.unsure || j == nil || j.Final() {
		return false
	}
	pace := paces[j.ID]
	if pace == nil || pace.n < paceTasks || float64(now-o.since) <= 2*math.Exp(pace.mean) {
		return false
	}
	o.late = true
	return r.tempo.hear(pace, now-o.since)
}

// completed judges the machine by a task that has ended well, and adds to its job's pace.
func (r *Runs) completed(o *run, j *job.Job, paces Paces, now loop.Micros) (slow bool) {
	if o.unsure || j.Final() {
		return false
	}
	pace := paces[j.ID]
	if !o.late {
		slow = r.tempo.hear(pace, now-o.since)
	}
	if pace == nil {
		pace = &Pace{}
		paces[j.ID] = pace
	}
	pace.add(now - o.since)
	return slow
}

// Rest begins the judgement anew, by what the machine runs and will run.
func (r *Runs) Rest() { r.tempo = tempo{} }
