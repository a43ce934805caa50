package node

import (
	"cleatpick/internal/agent"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// began and left are the referee's view of what is on the machines.
func (w *world) began(x *simWorker, task string) {
	w.starts++
	id, i, _ := agent.SplitTask(task)
	j := w.jobs[id]
	j.starts++
	if on, ok := w.active[task]; ok {
		w.fail("ran_twice: %s starts on %s while it is on %s", task, x.w.Name, on)
	}
	if i >= j.spec.Tasks || !j.accepted && !j.asked && w.stored(id) == "" {
		w.fail("%s starts, but was never submitted", task)
	}
	if !j.spec.AllowsPlace(x.w.Type, x.w.Zone, x.w.Spot) {
		w.fail("wrong_place: %s on %s", task, x.w.Name)
	}
	zones := map[string]int{x.w.Zone: 1}
	if j.spec.OneZone || j.spec.Spread {
		for t, m := range w.active {
			if o, _, _ := agent.SplitTask(t); o == id {
				zones[w.workers[m].w.Zone]++
			}
		}
	}
	if j.spec.OneZone && len(zones) > 1 || j.spec.Spread && zones[x.w.Zone] > (j.spec.Tasks+1)/2 {
		w.fail("wrong_place: %s starts in %s beside %v", task, x.w.Zone, zones)
	}
	if j.withdrawn != 0 && w.now > j.withdrawn+loop.Seconds(w.cfg.Cluster.Workers.CancelS) {
		w.fail("ran_cancelled: %s starts", task)
	}
	if j.withdrawn != 0 {
		w.vain = append(w.vain, w.now-j.withdrawn)
	}
	if w.onBegan != nil {
		w.onBegan(x, task)
	}
	if w.doneT[task] {
		w.redone++
	}
	if j.began == 0 {
		j.began = w.now
	}
	w.active[task] = x.w.Name
	w.teams[j.spec.Team] += j.spec.CPUs
	limit, _ := w.cfg.TeamNamed(j.spec.Team)
	if limit.CPUsMax != 0 && w.teams[j.spec.Team] > limit.CPUsMax+1e-9 {
		w.fail("quota: team %s uses %v of %v", j.spec.Team, w.teams[j.spec.Team], limit.CPUsMax)
	}
}

func (w *world) left(task, why string) {
	id, _, _ := agent.SplitTask(task)
	delete(w.active, task)
	w.whys[why]++
	w.teams[w.jobs[id].spec.Team] -= w.jobs[id].spec.CPUs
	if why == wire.WhyDone {
		w.doneT[task] = true
		w.jobs[id].ended = w.now
	}
	if w.onLeft != nil {
		w.onLeft(task, why)
	}
}

func (w *world) stored(id string) job.Phase {
	raw, ok := w.state.Value(job.KeyPrefix + id)
	if !ok {
		return ""
	}
	var rec job.Record
	if err := wire.Unmarshal(raw, &rec); err != nil {
		return ""
	}
	return rec.Phase
}

// told checks an answer that a user got against all that was said before it was asked for: of
// two requests under way at once, either may be answered first. Judged by when it came, as it
// was, an answer would have to know what was told while it was on its way.
func (w *world) told(j *simJob, asked loop.Micros, a job.Answer) {
	before := func(at loop.Micros) bool { return at != 0 && at < asked }
	switch a.Code {
	case 404:
		if before(j.told) {
			w.fail("forgotten: %s", j.id)
		}
		return
	case 200, 201:
	default:
		return
	}
	j.accepted, j.heard = true, w.now
	if j.told == 0 {
		j.told = w.now
		w.lookClosely(j)
	}
	switch a.Phase {
	case job.Done:
		if j.withdrawn != 0 {
			w.fail("went_back: %s was withdrawn, and is done", j.id)
		}
		for i := range j.spec.Tasks {
			if !w.doneT[agent.TaskName(j.id, i)] {
				w.fail("not_done: %s is called done before task %d", j.id, i)
			}
		}
		j.done = true
		if j.over == 0 {
			j.over = w.now
			w.lookClosely(j)
			w.slowest = max(w.slowest, w.now-j.ended)
		}
	case job.Cancelled:
		if j.terms != nil && j.terms.OnCancelled == job.PolicyCancel && !j.asked {
			gone := false
			for _, d := range j.terms.Dependencies {
				gone = gone || w.stored(d) == job.Cancelled
			}
			j.asked = gone // its user asked for that at the submission
		}
		if !j.asked || j.done {
			w.fail("went_back: %s is called withdrawn (asked %v, done %v)", j.id, j.asked, j.done)
		}
		if j.withdrawn == 0 {
			j.withdrawn = w.now
			w.lookClosely(j)
		}
	default:
		if before(j.over) || before(j.withdrawn) {
			w.fail("went_back: %s is called %q again", j.id, a.Phase)
		}
	}
}

// checkCancelled looks for tasks of jobs that were withdrawn too long ago. What a machine holds
// that stands still beyond its lease does not go on: its worker ends it before anything else.
func (w *world) checkCancelled() {
	for t, m := range w.active {
		id, _, _ := agent.SplitTask(t)
		if j := w.jobs[id]; j.withdrawn != 0 && w.now > j.withdrawn+loop.Seconds(w.cfg.Cluster.Workers.CancelS) && !w.workers[m].asleep(w.now) {
			w.fail("ran_cancelled: %s is still on %s", t, m)
		}
	}
	w.at(loop.Second, w.checkCancelled)
}

// knownWithin is for how long, once all troubles are over, no question about a job may be
// answered; then it counts as forgotten, however others fare.
const knownWithin = 75 * loop.Second

// checkKnown looks for jobs that are forgotten.
func (w *world) checkKnown() {
	if w.calm != 0 && w.now > w.calm {
		for _, j := range w.jobs {
			if j.accepted && w.now-max(j.heard, w.calm) > knownWithin {
				w.fail("forgotten: nothing is told of %s since %.3f s", j.id, float64(j.heard)/1e6-3600)
			}
		}
	}
	w.at(loop.Second, w.checkKnown)
}

// judged lets the world live, and the referee look at it from now on; calm is how long after its
// beginning all troubles are over.
func (w *world) judged(calm loop.Micros) {
	w.at(0, w.live)
	w.at(0, w.checkCancelled)
	w.at(0, w.checkBeliefs)
	w.at(0, w.checkKnown)
	w.at(0, w.checkOwing)
	w.at(0, w.checkWaiting)
	w.calm = 3600*loop.Second + calm
}

// checkBeliefs looks for nodes that hold themselves for entitled although their lease has
// run out. One that peers have ended is another matter: all that hangs on it is fenced.
func (w *world) checkBeliefs() {
	for _, l := range w.labels {
		if s := w.nodes[l]; s.alive && !s.frozen && s.n.member.LeaseValid() && w.state.Lapsed(s.n.member.Lease()) {
			w.fail("%s believes in its lease %d, which has run out", l, s.n.member.Lease())
		}
	}
	w.at(50*loop.Millisecond, w.checkBeliefs)
}
