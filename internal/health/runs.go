package health

import (
	"math"

	"cleatpick/internal/agent"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// run is a task seen running.
type run struct {
	attempt uint64
	since   loop.Micros
	late    bool // it has spoken against its machine
	heard   bool // its run time was taken in
	unsure  bool // it may have begun long before it was first seen
}

// Runs are the tasks seen running on one machine, and what they tell of its speed.
type Runs struct {
	runs   map[string]run
	tempo  tempo
	images map[string]struct{} // images seen in use
	judged loop.Micros         // when tasks that still run were last looked at
	// Since is since when each task of the newest view was seen running; 0: it does not run.
	Since []loop.Micros
}

// lookAgain is how often tasks that still run are looked at for running too long.
const lookAgain = 5 * loop.Second

// NewRuns makes an empty memory of a machine's runs.
func NewRuns() *Runs { return &Runs{runs: map[string]run{}, images: map[string]struct{}{}} }

// HasImage tells whether the image was seen in use on the machine.
func (r *Runs) HasImage(image string) bool {
	_, ok := r.images[image]
	return ok
}

// Note follows a view: since when its tasks run, by which is judged what a stop would
// lose, and which images they use. It tells how many CPUs fell free by tasks that
// completed.
func (r *Runs) Note(v *agent.View, c *agent.Changes, old []agent.Task, jobs []*job.Job, now loop.Micros, unsure bool) (freed float64) {
	if c.Still && len(r.Since) == len(v.Tasks) {
		return 0
	}
	since := make([]loop.Micros, len(v.Tasks))
	for i := range v.Tasks {
		t := &v.Tasks[i]
		if c.Kept(i) && c.Was(i) < len(r.Since) {
			since[i] = r.Since[c.Was(i)]
			continue
		}
		if t.State == wire.TaskExited && t.Why == wire.WhyDone {
			if o, ok := r.runs[t.Task]; ok && o.attempt == t.Attempt && jobs[i] != nil && jobs[i].Spec != nil {
				freed += jobs[i].Spec.CPUs
			}
			continue
		}
		if t.State != wire.TaskRunning && t.State != wire.TaskSaving {
			continue
		}
		if j := jobs[i]; j != nil && j.Spec != nil {
			r.images[j.Spec.Image] = struct{}{}
		}
		if t.State == wire.TaskRunning {
			o, ok := r.runs[t.Task]
			if !ok || o.attempt != t.Attempt {
				o = run{attempt: t.Attempt, since: now, unsure: unsure}
				r.runs[t.Task] = o
			}
			since[i] = o.since
		}
	}
	r.Since = since
	r.forget(v, c, old)
	return freed
}

// forget drops the runs of tasks that do not run any more.
func (r *Runs) forget(v *agent.View, c *agent.Changes, old []agent.Task) {
	runs := func(task string, o run) bool {
		x := v.Find(task, o.attempt)
		return x != nil && x.State == wire.TaskRunning
	}
	if c.All {
		for task, o := range r.runs {
			if !runs(task, o) {
				delete(r.runs, task)
			}
		}
		return
	}
	for _, i := range c.Gone {
		if o, ok := r.runs[old[i].Task]; ok && !runs(old[i].Task, o) {
			delete(r.runs, old[i].Task)
		}
	}
}

// Paces are the paces of jobs, by id.
type Paces map[string]*Pace

// Judge takes in how long the tasks of a view have run, and tells whether they show the
// machine to be slow, and by what factor. A task that runs for long beyond its job's
// usual time speaks against its machine before it has completed.
func (r *Runs) Judge(v *agent.View, c *agent.Changes, jobs []*job.Job, paces Paces, now loop.Micros) (slow bool, factor float64) {
	late := now-r.judged >= lookAgain
	if late {
		r.judged = now
	}
	if c.Still && !late {
		return false, 0
	}
	for i := range v.Tasks {
		x := &v.Tasks[i]
		if c.Kept(i) && !(late && x.State == wire.TaskRunning) {
			continue
		}
		o, known := r.runs[x.Task]
		if !known || o.attempt != x.Attempt || o.heard || o.unsure || jobs[i] == nil || jobs[i].Final() {
			continue
		}
		id := jobs[i].ID
		switch pace := paces[id]; {
		case x.State == wire.TaskExited && x.Why == wire.WhyDone:
			if !o.late {
				slow = r.tempo.hear(pace, now-o.since) || slow
			}
			if pace == nil {
				pace = &Pace{}
				paces[id] = pace
			}
			pace.add(now - o.since)
			o.heard = true
			r.runs[x.Task] = o
		case x.State == wire.TaskRunning && !o.late && pace != nil && pace.n >= paceTasks &&
			float64(now-o.since) > 2*math.Exp(pace.mean):
			slow = r.tempo.hear(pace, now-o.since) || slow
			o.late = true
			r.runs[x.Task] = o
		}
	}
	return slow, math.Exp(r.tempo.mean)
}

// Rest begins the judgement anew, by what the machine runs and will run.
func (r *Runs) Rest() { r.tempo = tempo{} }
