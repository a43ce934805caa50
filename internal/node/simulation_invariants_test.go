package node

import (
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// taskStarted checks the invariants of a task that starts, and records it. Together with taskEnded it keeps the
// checkers' own view of what runs on the machines.
func (w *simulation) taskStarted(x *simWorker, task string) {
	w.starts++
	id, i, _ := workers.SplitTask(task)
	j := w.jobs[id]
	j.starts++
	if on, ok := w.running[task]; ok {
		w.fail("ran_twice: %s starts on %s while it runs on %s", task, x.w.Name, on)
	}
	if i >= j.spec.Tasks || !j.accepted && !j.cancelRequested && w.storedPhase(id) == "" {
		w.fail("%s starts, but its job was never submitted", task)
	}
	if !j.spec.AllowsPlace(x.w.Type, x.w.Zone, x.w.Spot) {
		w.fail("wrong_place: %s starts on %s, which its job does not allow", task, x.w.Name)
	}
	zones := map[string]int{x.w.Zone: 1}
	if j.spec.OneZone || j.spec.Spread {
		for t, m := range w.running {
			if o, _, _ := workers.SplitTask(t); o == id {
				zones[w.workers[m].w.Zone]++
			}
		}
	}
	if j.spec.OneZone && len(zones) > 1 || j.spec.Spread && zones[x.w.Zone] > (j.spec.Tasks+1)/2 {
		w.fail("wrong_place: %s starts in zone %s; tasks of its job by zone: %v", task, x.w.Zone, zones)
	}
	if j.cancelledAt != 0 && w.now > j.cancelledAt+eventloop.Seconds(w.cfg.Cluster.Workers.CancelS) {
		w.fail("ran_cancelled: %s starts more than cancel_s after its user was told of the cancellation", task)
	}
	if j.cancelledAt != 0 {
		w.startsAfterCancel = append(w.startsAfterCancel, w.now-j.cancelledAt)
	}
	if w.onTaskStart != nil {
		w.onTaskStart(x, task)
	}
	if w.completed[task] {
		w.rerunCompleted++
	}
	if j.firstStartAt == 0 {
		j.firstStartAt = w.now
	}
	w.running[task] = x.w.Name
	w.cpusInUse[j.spec.Team] += j.spec.CPUs
	limit, _ := w.cfg.FindTeam(j.spec.Team)
	if limit.CPUsMax != 0 && w.cpusInUse[j.spec.Team] > limit.CPUsMax+1e-9 {
		w.fail("quota: team %s uses %v CPUs, its limit is %v", j.spec.Team, w.cpusInUse[j.spec.Team], limit.CPUsMax)
	}
}

// taskEnded records that a task has ended.
func (w *simulation) taskEnded(task, why string) {
	id, _, _ := workers.SplitTask(task)
	delete(w.running, task)
	w.endReasons[why]++
	w.cpusInUse[w.jobs[id].spec.Team] -= w.jobs[id].spec.CPUs
	if why == wire.WhyDone {
		w.completed[task] = true
		w.jobs[id].lastTaskEnd = w.now
	}
	if w.onTaskEnd != nil {
		w.onTaskEnd(task, why)
	}
}

// storedPhase returns the phase in which the state service holds a job; empty: it holds none.
func (w *simulation) storedPhase(id string) job.Phase {
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

// checkAnswer checks a user's answer against everything that the user had been told before asking. Of two
// requests in flight at the same time, either may be answered first, so the answer is compared with the time of its
// question: compared with the time of its arrival, it would have to reflect what users were told while it was in
// flight.
func (w *simulation) checkAnswer(j *simJob, asked eventloop.Micros, a job.Answer) {
	before := func(at eventloop.Micros) bool { return at != 0 && at < asked }
	switch a.Code {
	case 404:
		if before(j.acceptedAt) {
			w.fail("forgotten: %s is unknown (404) although its user had been told that it is accepted", j.id)
		}
		return
	case 200, 201:
	default:
		return
	}
	j.accepted, j.lastAnswerAt = true, w.now
	if j.acceptedAt == 0 {
		j.acceptedAt = w.now
		w.pollEverywhere(j)
	}
	switch a.Phase {
	case job.Done:
		if j.cancelledAt != 0 {
			w.fail("went_back: %s is called done after it was called cancelled", j.id)
		}
		for i := range j.spec.Tasks {
			if !w.completed[workers.TaskName(j.id, i)] {
				w.fail("not_done: %s is called done before its task %d completed", j.id, i)
			}
		}
		j.done = true
		if j.doneAt == 0 {
			j.doneAt = w.now
			w.pollEverywhere(j)
			w.slowestDone = max(w.slowestDone, w.now-j.lastTaskEnd)
		}
	case job.Cancelled:
		if j.terms != nil && j.terms.OnCancelled == job.PolicyCancel && !j.cancelRequested {
			dependencyCancelled := false
			for _, d := range j.terms.Dependencies {
				dependencyCancelled = dependencyCancelled || w.storedPhase(d) == job.Cancelled
			}
			j.cancelRequested = dependencyCancelled // its user requested that with the submission
		}
		if !j.cancelRequested || j.done {
			w.fail("went_back: %s is called cancelled (cancellation requested %v, called done before %v)", j.id, j.cancelRequested, j.done)
		}
		if j.cancelledAt == 0 {
			j.cancelledAt = w.now
			w.pollEverywhere(j)
		}
	default:
		if before(j.doneAt) || before(j.cancelledAt) {
			w.fail("went_back: %s is called %q after it was called done or cancelled", j.id, a.Phase)
		}
	}
}

// checkCancelled fails if a task is still on a machine more than cancel_s after its user was told that its job is cancelled.
// Tasks on a machine that hangs beyond its lease count unless exemptHungMachines is set: then its worker ends them before
// anything else when it resumes.
func (w *simulation) checkCancelled() {
	for t, m := range w.running {
		id, _, _ := workers.SplitTask(t)
		exempt := w.exemptHungMachines && w.workers[m].hungPastLease(w.now)
		if j := w.jobs[id]; j.cancelledAt != 0 && w.now > j.cancelledAt+eventloop.Seconds(w.cfg.Cluster.Workers.CancelS) && !exempt {
			w.fail("ran_cancelled: %s still runs on %s more than cancel_s after its user was told of the cancellation", t, m)
		}
	}
	w.after(eventloop.Second, w.checkCancelled)
}

// maxUnanswered is for how long, after the last fault, all questions about a job may go unanswered. After that the job
// counts as forgotten, whatever is answered about other jobs.
const maxUnanswered = 75 * eventloop.Second

// checkForgotten fails if a job is forgotten.
func (w *simulation) checkForgotten() {
	if w.faultsEndAt != 0 && w.now > w.faultsEndAt {
		for _, j := range w.jobs {
			if j.accepted && w.now-max(j.lastAnswerAt, w.faultsEndAt) > maxUnanswered {
				w.fail("forgotten: no question about %s has been answered since %.3f s", j.id, float64(j.lastAnswerAt)/1e6-3600)
			}
		}
	}
	w.after(eventloop.Second, w.checkForgotten)
}

// startChecks starts the workers' time and all periodic invariant checks; calm is how long after the start of the
// simulation the last fault ends.
func (w *simulation) startChecks(calm eventloop.Micros) {
	w.after(0, w.tickWorkers)
	w.after(0, w.checkCancelled)
	w.after(0, w.checkLeases)
	w.after(0, w.checkForgotten)
	w.after(0, w.checkOpenQuestions)
	w.after(0, w.checkWaiting)
	w.faultsEndAt = 3600*eventloop.Second + calm
}

// checkLeases fails if a controller acts as if its lease were valid although it has expired. A lease that peers revoked
// does not count: everything that depends on it is fenced.
func (w *simulation) checkLeases() {
	for _, l := range w.labels {
		if s := w.nodes[l]; s.alive && !s.paused && s.n.member.LeaseValid() && w.state.LeaseExpired(s.n.member.Lease()) {
			w.fail("%s still acts under its lease %d, which has expired", l, s.n.member.Lease())
		}
	}
	w.after(50*eventloop.Millisecond, w.checkLeases)
}
