package scheduler

import (
	"cleatpick/internal/eventloop"
	"cleatpick/internal/health"
	"cleatpick/internal/predicate"
)

// trackFailures starts tracking a job's failures. The failures that all controllers observed survive a change of
// owner, so that a job known to be broken does not get a fresh start from each new one.
func (sched *Scheduler) trackFailures(t *jobTable) {
	t.probation.OnChange = func(from, to health.ProbationState) {
		sched.deps.Meter.AttributionState(to.String())
		if from == health.Untried && to == health.Sound {
			return // the outcome for nearly all jobs
		}
		sched.log.Info("failure state of a job changed", "job", t.job.ID, "from", from.String(), "to", to.String(), "moments", t.probation.ConsecutiveFailures, "machines", sched.attribution.FailedOnHealthy(t.job.ID))
	}
	if n := sched.attribution.FailedOnHealthy(t.job.ID); n >= health.BrokenOn {
		now := sched.runner.Now()
		t.probation.Fail(now, now, n)
	}
}

// taskFailed records that a task of the job failed. A failure on a faulty machine does not count against the job.
func (sched *Scheduler) taskFailed(t *jobTable, x *task) {
	t.avoid = sched.attribution.AvoidedMachines(t.job.ID)
	if sched.attribution.AtFault(x.machine) {
		return
	}
	x.failed = true
	t.probation.Fail(sched.runner.Now(), x.chosenAt, sched.attribution.FailedOnHealthy(t.job.ID))
}

// taskSucceeded records that a task of the job completed.
func (sched *Scheduler) taskSucceeded(t *jobTable, x *task) {
	t.probation.Complete(x.failed)
	x.failed = false
	t.avoid = nil
}

// failureFacts returns what the predicates need to know of a job's failures.
func (sched *Scheduler) failureFacts(t *jobTable, now eventloop.Micros) predicate.FailureState {
	f := predicate.FailureState{State: t.probation.State, ConsecutiveFailures: t.probation.ConsecutiveFailures, Machines: sched.attribution.FailedOnHealthy(t.job.ID), BackOffUntil: t.probation.BackOffUntil,
		FailedWaiting: len(t.failedTasks), ConcurrentRetries: t.probation.ConcurrentRetries(len(t.failedTasks))}
	if !t.probation.Trusted() {
		survivors := 0
		t.each(func(_ int, x *task) {
			if x.state == Placed && x.running && t.probation.Survives(now, x.chosenAt) {
				survivors++
			}
		})
		f.MaxInUse = health.MaxInUse(survivors)
	}
	return f
}
