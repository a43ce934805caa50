package scheduler

import (
	"cleatpick/internal/eventloop"
	"cleatpick/internal/fleet"
	"cleatpick/internal/job"
	"cleatpick/internal/predicate"
	"cleatpick/internal/workers"
)

// facts collects the state of a job that its own predicates evaluate.
func (sched *Scheduler) facts(t *jobTable) predicate.JobFacts {
	tm := t.team
	f := predicate.JobFacts{Spec: t.job.Spec, Hold: &t.job.Terms.Hold, Dependencies: sched.dependencies(t.job), OnCancelled: t.job.Terms.OnCancelled, Damaged: t.damaged,
		Waiting: t.waiting(), InUse: t.inUse,
		TeamUsage: workers.Capacity{CPUs: tm.cpus, GPUs: tm.gpus}, Quota: tm.quota,
		ClockDifference: sched.cfg.ClockDifference()}
	// The clocks are read only for the few jobs that need them, since a pass calls this for all jobs.
	if t.probation.ConsecutiveFailures != 0 || t.probation.BackOffUntil != 0 {
		f.Now = sched.runner.Now()
		f.Failing = sched.failureFacts(t, f.Now)
	}
	if f.Hold.State != job.HoldNone {
		f.Wall = sched.runner.Wall()
	}
	return f
}

// dependencies lists the jobs that this job waits for, each with its phase.
func (sched *Scheduler) dependencies(j *job.Job) []predicate.Dep {
	if len(j.Terms.Dependencies) == 0 {
		return nil
	}
	out := make([]predicate.Dep, len(j.Terms.Dependencies))
	for i, id := range j.Terms.Dependencies {
		out[i] = predicate.Dep{ID: id, Waived: j.Terms.WaivedFrom(id)}
		if o := sched.registry.Get(id); o != nil {
			out[i].Phase = o.Phase
		}
	}
	return out
}

// blocked reports whether the job uses no capacity and is blocked by a hold or by a dependency.
func (sched *Scheduler) blocked(t *jobTable) bool {
	if t.inUse > 0 || (t.job.Terms.Hold.State == job.HoldNone && len(t.job.Terms.Dependencies) == 0) {
		return false
	}
	f := sched.facts(t)
	return f.AllowedTasks(predicate.Hold) == 0 || f.AllowedTasks(predicate.Dependency) == 0
}

// startBlockedBy returns why no start of the job on this machine may be recorded or sent, or "" if it may: a hold or
// a cordon was stored after the machine was chosen. Both are stored records, and every record of a start is
// conditional on the revisions that were known when it was composed.
func (sched *Scheduler) startBlockedBy(t *jobTable, machine string) string {
	if t.job.Terms.Hold.State != job.HoldNone && t.job.Terms.Hold.Blocks(sched.runner.Wall()) {
		return "held"
	}
	if m := sched.fleet.Machine(machine); m != nil && sched.cordons.Blocked(fleet.CordonPlace(m.View)) {
		return "cordoned"
	}
	return ""
}

// applyTerms completes the pending holds of a team's jobs once no start recorded before the hold can still run. It also
// cancels jobs whose user asked for that when a job that they depend on was cancelled.
func (sched *Scheduler) applyTerms(tm *team) {
	now := sched.runner.Now()
	for _, t := range tm.inOrder() {
		if t.job.Final() || now < t.nextAmendAt {
			continue
		}
		if f := sched.facts(t); f.MustCancel() {
			t.nextAmendAt = now + 2*eventloop.Second
			sched.log.Info("cancelling a job because a job that it depends on was cancelled", "job", t.job.ID)
			sched.registry.Cancel(t.job.ID, func(job.Answer) {})
			continue
		}
		if t.job.Terms.Hold.State != job.HoldPending {
			continue
		}
		effective := true
		t.each(func(i int, x *task) {
			if !x.inUse() || x.runningSince != 0 {
				return // it is already running and continues
			}
			effective = false
			if x.state == Placed {
				sched.stop(t, i, 0)
			}
		})
		if effective {
			t.nextAmendAt = now + 2*eventloop.Second
			sched.registry.ConfirmHold(t.job.ID, t.job.Revision, func(job.Answer) {})
		}
	}
}

// eligible reports whether no predicate blocks the whole job.
func (sched *Scheduler) eligible(t *jobTable) bool {
	f := sched.facts(t)
	return f.Unblocked()
}

// need returns what a task of the job requires of a machine.
func (t *jobTable) need() predicate.Need {
	return predicate.Need{ID: t.job.ID, Spec: t.job.Spec, Tasks: t.job.Tasks, Zones: t.zones, Avoid: t.avoid}
}

// staleAfter is how long after its last report a machine still receives starts.
func (sched *Scheduler) staleAfter() eventloop.Micros {
	return 2*eventloop.Seconds(sched.cfg.Cluster.Workers.ReportS) + 3*eventloop.Second
}

// eachUnlisted calls f for every task that was chosen for or started on the machine and that its view does not list
// yet.
func (sched *Scheduler) eachUnlisted(v *workers.View, f func(*job.Spec)) {
	sched.eachUnresolved(v.Name, func(r taskRef) {
		x := r.table.task(r.index)
		if x.listed {
			return // it is listed, or was listed and is not any more
		}
		n := r.table.taskName(r.index)
		if x.session < v.Session || v.HasPending(n, x.attempt) || v.Find(n, x.attempt) != nil {
			return
		}
		f(r.table.job.Spec)
	})
}
