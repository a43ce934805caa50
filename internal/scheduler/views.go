package scheduler

import (
	"cleatpick/internal/delivery"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/health"
	"cleatpick/internal/job"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// ViewChanged applies a machine's newer view to the tasks recorded on it. Tasks that are unchanged since the previous
// view are not checked again.
func (sched *Scheduler) ViewChanged(v *workers.View, c *workers.Changes) {
	now := sched.runner.Now()
	// Tasks on a machine without recent reports may have begun long ago. If a new owner took its first view of a task
	// for the start, every task would look slow.
	old := sched.fleet.Machine(v.Name)
	startsUnknown := old == nil || now-old.LastReport > 2*eventloop.Seconds(sched.cfg.Cluster.Workers.ReportS)
	var before []workers.Task
	var lastReport eventloop.Micros // time of the previous report; 0: none
	if old == nil {
		c = &workers.Changes{All: true}
		if typ, ok := sched.deps.Type(v.Type); ok && len(v.Tasks) == 0 {
			sched.turnover.AddFreed(typ.CPUs) // a machine that has just booted adds capacity
		}
	} else {
		before, lastReport = old.View.Tasks, old.LastReport
	}
	if old == nil || old.View.Zone != v.Zone {
		sched.zoneByMachine[v.Name] = v.Zone
	}
	// Most views only confirm that the machine is alive: no capacity became free.
	unchanged := old != nil && c.Unchanged && len(v.Pending)+len(old.View.Pending) == 0 && v.ClosedToStarts == old.View.ClosedToStarts && v.NoticeAt == old.View.NoticeAt && !startsUnknown
	m := sched.fleet.UpdateView(v, now-v.Silence(sched.runner.Wall(), sched.maxClockDifference()), unchanged)
	sched.attribution.Observe(now, v, c)
	if !c.Unchanged {
		m.BackOff(sched.attribution.BackOffUntil(v.Name), "tasks fail on it")
	}
	m.Jobs = sched.workers.Jobs(v)
	observed := m.Runs.Update(v, c, before, m.Jobs, sched.paces, now, startsUnknown)
	sched.turnover.AddFreed(observed.Freed)
	if observed.Slow && now >= m.BackOffUntil {
		sched.log.Debug("tasks run slowly on a machine; it receives no starts for a while", "machine", v.Name, "times", observed.Factor)
		m.BackOff(now+health.SlowBackOff, "its tasks run slowly")
		m.Runs.ResetSlowness()
	}
	sched.updateTasks(v, c, before, m.Jobs, lastReport)
	sched.warnOfReappeared(v, c, m.Jobs)
	if v.Host != "" {
		sched.forgetEnded(v, m.Jobs)
	}
	if !unchanged {
		sched.RequestPass()
	}
}

// updateTasks updates the tasks in use on a machine from its view. A task that was listed before and is unchanged needs
// no update.
func (sched *Scheduler) updateTasks(v *workers.View, c *workers.Changes, before []workers.Task, jobs []*job.Job, lastReport eventloop.Micros) {
	if sched.tasksByMachine[v.Name] == nil {
		return
	}
	if c.All {
		sched.eachInUse(v.Name, func(r taskRef) { sched.updateTask(r.table, r.index, v, lastReport) })
		return
	}
	for k := range v.Tasks {
		if !c.Kept(k) {
			sched.updateNamedTask(v, v.Tasks[k].Task, jobs[k], lastReport)
		}
	}
	sched.updateVanishedTasks(v, c, before, lastReport)
	sched.eachUnresolved(v.Name, func(r taskRef) { sched.updateTask(r.table, r.index, v, lastReport) })
}

// updateVanishedTasks checks the tasks that the previous view listed and this one does not. Usually their end is known,
// since this owner asked for them to be forgotten. It is not if an earlier owner did that without recording their
// end, and a delayed report listed them afterwards.
func (sched *Scheduler) updateVanishedTasks(v *workers.View, c *workers.Changes, before []workers.Task, lastReport eventloop.Micros) {
	for _, k := range c.Removed {
		if x := &before[k]; v.Find(x.Task, x.Attempt) == nil {
			id, _, _ := workers.SplitTask(x.Task)
			sched.updateNamedTask(v, x.Task, sched.registry.Get(id), lastReport)
		}
	}
}

// updateNamedTask updates a task that has changed on the machine, if it is in use there.
func (sched *Scheduler) updateNamedTask(v *workers.View, name string, j *job.Job, lastReport eventloop.Micros) {
	if j == nil || j.Spec == nil {
		return
	}
	tm := sched.teams[j.Spec.Team]
	if tm == nil {
		return
	}
	if t := tm.jobs[j.ID]; t != nil {
		if _, i, ok := workers.SplitTask(name); ok && i < j.Tasks {
			if x := t.task(i); x.inUse() && x.machine == v.Name {
				sched.updateTask(t, i, v, lastReport)
			}
		}
	}
}

// updateTask derives a task's state from a view. lastReport is the time of the machine's previous report.
func (sched *Scheduler) updateTask(t *jobTable, i int, v *workers.View, lastReport eventloop.Micros) {
	x := t.task(i)
	if x.state != Placed {
		return
	}
	name := t.taskName(i)
	if v.Session > x.session {
		sched.updateTaskOfEndedSession(t, i, v, lastReport)
		return
	}
	e := v.Find(name, x.attempt)
	sched.setListed(t, i, x.listed, x.listed && e == nil)
	if e == nil {
		if v.HasPending(name, x.attempt) {
			return
		}
		// The task is absent from the list. That confirms termination only if the list was made when the start could
		// no longer arrive: the start had expired by every clock, the worker's timeout for an answer carrying it was
		// over, and the machine follows its host controller's token, so that no earlier command can take effect. The
		// same holds if the list is of a lower session: the worker has restarted since it was started there.
		latestArrival := sched.clock.LatestArrival(x.expiry)
		if v.TokenConfirmed && v.MadeAfter > latestArrival {
			sched.confirmTerminated(t, i, "absent")
			return
		}
		if sched.runner.Wall() > latestArrival {
			sched.requestTaskList(v)
		}
		return
	}
	sched.setListed(t, i, true, x.recheck)
	if e.Active() {
		run := e.State == wire.TaskRunning
		if run != x.running {
			x.running = run
			if run {
				sched.recordRerun(x, true)
				t.running++
				if x.runningSince == 0 {
					x.runningSince = sched.runner.Now()
				}
			} else {
				t.running--
			}
		}
		if t.job.Final() {
			sched.stop(t, i, 0)
		}
		return
	}
	switch {
	case e.Why == wire.WhyDone && !t.job.Spec.Service:
		sched.recordRerun(x, true)
		sched.setTask(t, i, Ended)
		sched.queueOutcome(t, i)
		sched.taskSucceeded(t, x)
		sched.completeIfDone(t)
	case e.Why == wire.WhyError:
		sched.log.Debug("task ended with an error", "task", name, "machine", v.Name)
		sched.taskFailed(t, x)
		sched.confirmTerminated(t, i, "error")
	case e.Why == wire.WhyBusy:
		// Another attempt of the task is active there. Until that one has ended, the task counts as on this machine.
		for k := range v.Tasks {
			if o := &v.Tasks[k]; o.Task == name && o.Active() {
				sched.deps.Stop(v.Host, workers.Stop{Machine: v.Name, Task: name, Attempt: o.Attempt})
				sched.setListed(t, i, true, true) // the stop may be lost, and the attempt that ends is the other one
				return
			}
		}
		sched.confirmTerminated(t, i, "busy")
	default:
		sched.confirmTerminated(t, i, e.Why)
	}
	sched.forgetIfTerminated(t)
}

// updateTaskOfEndedSession updates a task whose machine shows a higher session than the one in which it was started. The
// worker kills all tasks of a session before it begins the next one. A copy of a report from before the worker restarted
// may show a higher session, too, so the view is evidence only if it was made after the start was recorded.
func (sched *Scheduler) updateTaskOfEndedSession(t *jobTable, i int, v *workers.View, lastReport eventloop.Micros) {
	x := t.task(i)
	if sched.clock.AfterRecord(v.MadeAfter, x.expiry) {
		sched.recordLost(t, i, lastReport)
		sched.confirmTerminated(t, i, "new session")
		return
	}
	sched.setListed(t, i, x.listed, true)
	sched.requestTaskList(v)
}

// requestTaskList asks the machine's host controller for a list that is certainly new, at most once per second.
func (sched *Scheduler) requestTaskList(v *workers.View) {
	now := sched.runner.Now()
	if now-sched.checkRequestedAt[v.Name] <= eventloop.Second {
		return
	}
	sched.checkRequestedAt[v.Name] = now
	sched.deps.RequestTaskList(v.Host, v.Name)
}

// maxClockDifference returns the bound on the difference of two wall clocks, plus a margin.
func (sched *Scheduler) maxClockDifference() eventloop.Micros { return sched.clock.MaxDifference }

// startCanArrive reports whether a start of an attempt can still reach a worker, by the expiry recorded for that very
// attempt. Attempts that this owner did not record were recorded by others before it read their team's records.
func (sched *Scheduler) startCanArrive(tm *team, attempt delivery.Attempt) bool {
	wall := sched.runner.Wall()
	return sched.expiries.CanArrive(attempt, wall) || wall <= sched.clock.LatestArrivalOfRecorded(tm.loadedAt)
}

// confirmTerminated returns a task to the queue after its termination was confirmed.
func (sched *Scheduler) confirmTerminated(t *jobTable, i int, why string) {
	x := t.task(i)
	sched.log.Debug("task attempt confirmed terminated", "task", t.taskName(i), "machine", x.machine, "attempt", x.attempt, "why", why)
	sched.setTask(t, i, Waiting)
	sched.forgetIfTerminated(t)
}

// forgetEnded asks a machine to forget ended tasks whose outcome is recorded or not needed.
func (sched *Scheduler) forgetEnded(v *workers.View, jobs []*job.Job) {
	if !v.TokenConfirmed {
		return
	}
	for k := range v.Tasks {
		e := &v.Tasks[k]
		j := jobs[k]
		if e.Active() || j == nil || j.Final() {
			continue // its host controller forgets tasks of a final job by itself
		}
		x := sched.taskOf(e.Task, j)
		if x == nil {
			continue
		}
		// A repeated start would run a forgotten task again. The host controller checks this once more by what it
		// knows; controllers before 0.9.1 rely on this check.
		if x.hasEnded(e.Attempt) && !sched.startCanArrive(sched.teams[j.Spec.Team], delivery.Attempt{Task: e.Task, Number: e.Attempt}) {
			sched.deps.Stop(v.Host, workers.Stop{Machine: v.Name, Task: e.Task, Attempt: e.Attempt, Forget: true})
		}
	}
}

// MachineDeleted handles the deletion of a machine, which terminates all tasks on it.
func (sched *Scheduler) MachineDeleted(machine string) {
	sched.eachInUse(machine, func(r taskRef) {
		if r.table.task(r.index).state == Placed {
			if m := sched.fleet.Machine(machine); m != nil {
				sched.recordLost(r.table, r.index, m.LastReport)
			}
			sched.confirmTerminated(r.table, r.index, "machine gone")
		}
	})
	sched.fleet.Remove(machine)
	delete(sched.checkRequestedAt, machine)
	sched.attribution.MachineDeleted(machine)
	sched.RequestPass()
}
