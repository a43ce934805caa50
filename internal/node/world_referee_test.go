package node

import (
	"cleatpick/internal/agent"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// began checks the invariants of a task that starts, and records it. Together with left it keeps the checkers' own
// view of what runs on the machines.
func (w *world) began(x *simWorker, task string) {
	w.starts++
	id, i, _ := agent.SplitTask(task)
	j := w.jobs[id]
	j.starts++
	if on, ok := w.active[task]; ok {
		w.fail("ran_twice: %s starts on %s while it runs on %s", task, x.w.Name, on)
	}
	if i >= j.spec.Tasks || !j.accepted && !j.asked && w.stored(id) == "" {
		w.fail("%s starts, but its job was never submitted", task)
	}
	if !j.spec.AllowsPlace(x.w.Type, x.w.Zone, x.w.Spot) {
		w.fail("wrong_place: %s starts on %s, which its job does not allow", task, x.w.Name)
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
		w.fail("wrong_place: %s starts in zone %s; tasks of its job by zone: %v", task, x.w.Zone, zones)
	}
	if j.withdrawn != 0 && w.now > j.withdrawn+loop.Seconds(w.cfg.Cluster.Workers.CancelS) {
		w.fail("ran_cancelled: %s starts more than cancel_s after its user was told of the cancellation", task)
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
		w.fail("quota: team %s uses %v CPUs, its limit is %v", j.spec.Team, w.teams[j.spec.Team], limit.CPUsMax)
	}
}

// left records that a task has ended.
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

// stored returns the phase in which the state service holds a job; empty: it holds none.
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

// told checks a user's answer against everything that the user had been told before asking. Of two requests in flight
// at the same time, either may be answered first, so the answer is held against the time of its question: held against
// the time of its arrival, it would have to know what was told while it was on its way.
func (w *world) told(j *simJob, asked loop.Micros, a job.Answer) {
	before := func(at loop.Micros) bool { return at != 0 && at < asked }
	switch a.Code {
	case 404:
		if before(j.told) {
			w.fail("forgotten: %s is unknown (404) although its user had been told that it is accepted", j.id)
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
			w.fail("went_back: %s is called done after it was called cancelled", j.id)
		}
		for i := range j.spec.Tasks {
			if !w.doneT[agent.TaskName(j.id, i)] {
				w.fail("not_done: %s is called done before its task %d completed", j.id, i)
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
			j.asked = gone // its user requested that with the submission
		}
		if !j.asked || j.done {
			w.fail("went_back: %s is called cancelled (cancellation requested %v, called done before %v)", j.id, j.asked, j.done)
		}
		if j.withdrawn == 0 {
			j.withdrawn = w.now
			w.lookClosely(j)
		}
	default:
		if before(j.over) || before(j.withdrawn) {
			w.fail("went_back: %s is called %q after it was called done or cancelled", j.id, a.Phase)
		}
	}
}

// checkCancelled fails if a task still runs more than cancel_s after its user was told that its job is cancelled. Tasks
// on a machine that hangs beyond its lease do not count: its worker ends them before anything else when it resumes.
func (w *world) checkCancelled() {
	for t, m := range w.active {
		id, _, _ := agent.SplitTask(t)
		if j := w.jobs[id]; j.withdrawn != 0 && w.now > j.withdrawn+loop.Seconds(w.cfg.Cluster.Workers.CancelS) && !w.workers[m].asleep(w.now) {
			w.fail("ran_cancelled: %s still runs on %s more than cancel_s after its user was told of the cancellation", t, m)
		}
	}
	w.at(loop.Second, w.checkCancelled)
}

// knownWithin is for how long, after the last fault, all questions about a job may go unanswered. After that the job
// counts as forgotten, whatever is answered about other jobs.
const knownWithin = 75 * loop.Second

// checkKnown fails if a job is forgotten.
func (w *world) checkKnown() {
	if w.calm != 0 && w.now > w.calm {
		for _, j := range w.jobs {
			if j.accepted && w.now-max(j.heard, w.calm) > knownWithin {
				w.fail("forgotten: no question about %s has been answered since %.3f s", j.id, float64(j.heard)/1e6-3600)
			}
		}
	}
	w.at(loop.Second, w.checkKnown)
}

// judged starts the workers' time and all periodic invariant checks; calm is how long after the start of the simulation
// the last fault ends.
func (w *world) judged(calm loop.Micros) {
	w.at(0, w.live)
	w.at(0, w.checkCancelled)
	w.at(0, w.checkBeliefs)
	w.at(0, w.checkKnown)
	w.at(0, w.checkOwing)
	w.at(0, w.checkWaiting)
	w.calm = 3600*loop.Second + calm
}

// checkBeliefs fails if a controller acts as if its lease were valid although it has expired. A lease that peers revoked
// does not count: everything that depends on it is fenced.
func (w *world) checkBeliefs() {
	for _, l := range w.labels {
		if s := w.nodes[l]; s.alive && !s.frozen && s.n.member.LeaseValid() && w.state.Lapsed(s.n.member.Lease()) {
			w.fail("%s still acts under its lease %d, which has expired", l, s.n.member.Lease())
		}
	}
	w.at(50*loop.Millisecond, w.checkBeliefs)
}
