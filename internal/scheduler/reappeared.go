package scheduler

import (
	"cleatpick/internal/job"
	"cleatpick/internal/workers"
)

// warnOfReappeared logs and counts the attempts that a machine lists as active although their termination was confirmed. A
// task of which that is true may run on two machines. A report from before this owner read the team's records says nothing:
// an earlier owner may have seen newer ones.
func (sched *Scheduler) warnOfReappeared(v *workers.View, c *workers.Changes, jobs []*job.Job) {
	if c.Unchanged {
		return
	}
	for k := range v.Tasks {
		e := &v.Tasks[k]
		if c.Kept(k) || !e.Active() {
			continue
		}
		x := sched.taskOf(e.Task, jobs[k])
		if x == nil || !x.hasEnded(e.Attempt) || v.ReportedAt <= sched.teams[jobs[k].Spec.Team].loadedAt+sched.maxClockDifference() {
			continue
		}
		sched.deps.Meter.ReappearedAttempt()
		sched.log.Warn("an attempt that was confirmed terminated is listed as active", "task", e.Task, "attempt", e.Attempt, "machine", v.Name, "state", e.State,
			"session", v.Session, "seq", v.Seq, "host", v.Host, "token_confirmed", v.TokenConfirmed, "newest_attempt", x.attempt, "newest_machine", x.machine)
	}
}

// hasEnded reports whether the termination of an attempt was confirmed: it is the newest one and the task waits or is
// completed, or a later one was recorded.
func (t *task) hasEnded(attempt uint64) bool {
	return attempt < t.attempt || attempt == t.attempt && (t.state == Completed || t.state == Waiting)
}

// taskOf returns the state of a named task of a job, nil if its team is not owned here or its records are not read yet.
func (sched *Scheduler) taskOf(name string, j *job.Job) *task {
	if j == nil || j.Spec == nil {
		return nil
	}
	tm := sched.teams[j.Spec.Team]
	if tm == nil || !tm.loaded || tm.jobs[j.ID] == nil {
		return nil
	}
	_, i, ok := workers.SplitTask(name)
	if !ok || i >= j.Tasks {
		return nil
	}
	return tm.jobs[j.ID].task(i)
}
