package placer

import (
	"cleatpick/internal/agent"
	"cleatpick/internal/delivery"
	"cleatpick/internal/health"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// ViewChanged applies a machine's newer view to the tasks recorded on it. Tasks that are unchanged since the previous
// view are not checked again.
func (p *Scheduler) ViewChanged(v *agent.View, c *agent.Changes) {
	now := p.runner.Now()
	// Tasks on a machine without recent reports may have begun long ago. If a new owner took its first view of a task
	// for the start, every task would look slow.
	old := p.fleet.Machine(v.Name)
	startsUnknown := old == nil || now-old.LastReport > 2*loop.Seconds(p.cfg.Cluster.Workers.ReportS)
	var before []agent.Task
	var lastReport loop.Micros // time of the previous report; 0: none
	if old == nil {
		c = &agent.Changes{All: true}
		if typ, ok := p.deps.Type(v.Type); ok && len(v.Tasks) == 0 {
			p.turnover.AddFreed(typ.CPUs) // a machine that has just booted adds capacity
		}
	} else {
		before, lastReport = old.View.Tasks, old.LastReport
	}
	if old == nil || old.View.Zone != v.Zone {
		p.zoneByMachine[v.Name] = v.Zone
	}
	// Most views only confirm that the machine is alive: no capacity became free.
	unchanged := old != nil && c.Unchanged && len(v.Pending)+len(old.View.Pending) == 0 && v.ClosedToStarts == old.View.ClosedToStarts && v.NoticeAt == old.View.NoticeAt && !startsUnknown
	sl := p.fleet.UpdateView(v, now-v.Silence(p.runner.Wall(), p.maxClockDifference()), unchanged)
	p.attribution.Observe(now, v, c)
	if !c.Unchanged {
		sl.BackOff(p.attribution.BackOffUntil(v.Name), "tasks fail on it")
	}
	sl.Jobs = p.agent.Jobs(v)
	observed := sl.Runs.Update(v, c, before, sl.Jobs, p.paces, now, startsUnknown)
	p.turnover.AddFreed(observed.Freed)
	if observed.Slow && now >= sl.BackOffUntil {
		p.log.Debug("tasks run slowly on a machine; it receives no starts for a while", "machine", v.Name, "times", observed.Factor)
		sl.BackOff(now+health.SlowBackOff, "its tasks run slowly")
		sl.Runs.ResetSlowness()
	}
	p.updateTasks(v, c, before, sl.Jobs, lastReport)
	if v.Host != "" {
		p.forgetEnded(v, sl.Jobs)
	}
	if !unchanged {
		p.RequestPass()
	}
}

// updateTasks updates the tasks in use on a machine from its view. A task that was listed before and is unchanged needs
// no update.
func (p *Scheduler) updateTasks(v *agent.View, c *agent.Changes, before []agent.Task, jobs []*job.Job, lastReport loop.Micros) {
	if p.tasksByMachine[v.Name] == nil {
		return
	}
	if c.All {
		p.eachInUse(v.Name, func(r taskRef) { p.updateTask(r.table, r.index, v, lastReport) })
		return
	}
	for k := range v.Tasks {
		if !c.Kept(k) {
			p.updateNamedTask(v, v.Tasks[k].Task, jobs[k], lastReport)
		}
	}
	p.updateVanishedTasks(v, c, before, lastReport)
	p.eachUnresolved(v.Name, func(r taskRef) { p.updateTask(r.table, r.index, v, lastReport) })
}

// updateVanishedTasks checks the tasks that the previous view listed and this one does not. Usually their end is known,
// since this owner asked for them to be forgotten. It is not if an earlier owner did that without recording their
// end, and a delayed report listed them afterwards.
func (p *Scheduler) updateVanishedTasks(v *agent.View, c *agent.Changes, before []agent.Task, lastReport loop.Micros) {
	for _, k := range c.Removed {
		if x := &before[k]; v.Find(x.Task, x.Attempt) == nil {
			id, _, _ := agent.SplitTask(x.Task)
			p.updateNamedTask(v, x.Task, p.registry.Get(id), lastReport)
		}
	}
}

// updateNamedTask updates a task that has changed on the machine, if it is in use there.
func (p *Scheduler) updateNamedTask(v *agent.View, name string, j *job.Job, lastReport loop.Micros) {
	if j == nil || j.Spec == nil {
		return
	}
	tm := p.teams[j.Spec.Team]
	if tm == nil {
		return
	}
	if t := tm.jobs[j.ID]; t != nil {
		if _, i, ok := agent.SplitTask(name); ok && i < j.Tasks {
			if x := t.task(i); x.inUse() && x.machine == v.Name {
				p.updateTask(t, i, v, lastReport)
			}
		}
	}
}

// updateTask derives a task's state from a view. lastReport is the time of the machine's previous report.
func (p *Scheduler) updateTask(t *jobTable, i int, v *agent.View, lastReport loop.Micros) {
	x := t.task(i)
	if x.state != Placed {
		return
	}
	name := t.taskName(i)
	if v.Session > x.session {
		// The worker began a new session, so all tasks of the previous one were killed.
		p.recordLost(t, i, lastReport)
		p.confirmTerminated(t, i, "new session")
		return
	}
	if v.Session < x.session {
		return
	}
	e := v.Find(name, x.attempt)
	p.setListed(t, i, x.listed, x.listed && e == nil)
	if e == nil {
		if v.HasPending(name, x.attempt) {
			return
		}
		// The task is absent from the list. That confirms termination only if the list was made when the start could
		// no longer arrive: the start had expired by every clock, the worker's timeout for an answer carrying it was
		// over, and the machine follows its host controller's token, so that no earlier command can take effect.
		latestArrival := p.clock.LatestArrival(x.expiry)
		if v.TokenConfirmed && v.MadeAfter > latestArrival {
			p.confirmTerminated(t, i, "absent")
			return
		}
		if now := p.runner.Now(); p.runner.Wall() > latestArrival && now-p.checkRequestedAt[v.Name] > loop.Second {
			p.checkRequestedAt[v.Name] = now
			p.deps.RequestTaskList(v.Host, v.Name)
		}
		return
	}
	p.setListed(t, i, true, x.recheck)
	if e.Active() {
		run := e.State == wire.TaskRunning
		if run != x.running {
			x.running = run
			if run {
				p.recordRerun(x, true)
				t.running++
				if x.runningSince == 0 {
					x.runningSince = p.runner.Now()
				}
			} else {
				t.running--
			}
		}
		if t.job.Final() {
			p.stop(t, i, 0)
		}
		return
	}
	switch {
	case e.Why == wire.WhyDone && !t.job.Spec.Service:
		p.recordRerun(x, true)
		p.setTask(t, i, Ended)
		p.queueOutcome(t, i)
		p.taskSucceeded(t, x)
		p.completeIfDone(t)
	case e.Why == wire.WhyError:
		p.log.Debug("task ended with an error", "task", name, "machine", v.Name)
		p.taskFailed(t, x)
		p.confirmTerminated(t, i, "error")
	case e.Why == wire.WhyBusy:
		// Another attempt of the task is active there. Until that one has ended, the task counts as on this machine.
		for k := range v.Tasks {
			if o := &v.Tasks[k]; o.Task == name && o.Active() {
				p.deps.Stop(v.Host, agent.Stop{Machine: v.Name, Task: name, Attempt: o.Attempt})
				p.setListed(t, i, true, true) // the stop may be lost, and the attempt that ends is the other one
				return
			}
		}
		p.confirmTerminated(t, i, "busy")
	default:
		p.confirmTerminated(t, i, e.Why)
	}
	p.forgetIfTerminated(t)
}

// maxClockDifference returns the bound on the difference of two wall clocks, plus a margin.
func (p *Scheduler) maxClockDifference() loop.Micros { return p.clock.MaxDifference }

// startCanArrive reports whether a start of an attempt can still reach a worker, by the expiry recorded for that very
// attempt. Attempts that this owner did not record were recorded by others before it read their team's records.
func (p *Scheduler) startCanArrive(tm *team, attempt delivery.Attempt) bool {
	wall := p.runner.Wall()
	return p.expiries.CanArrive(attempt, wall) || wall <= p.clock.LatestArrivalOfRecorded(tm.loadedAt)
}

// confirmTerminated returns a task to the queue after its termination was confirmed.
func (p *Scheduler) confirmTerminated(t *jobTable, i int, why string) {
	x := t.task(i)
	p.log.Debug("task attempt confirmed terminated", "task", t.taskName(i), "machine", x.machine, "attempt", x.attempt, "why", why)
	p.setTask(t, i, Waiting)
	p.forgetIfTerminated(t)
}

// forgetEnded asks a machine to forget ended tasks whose outcome is recorded or not needed.
func (p *Scheduler) forgetEnded(v *agent.View, jobs []*job.Job) {
	if !v.TokenConfirmed {
		return
	}
	for k := range v.Tasks {
		e := &v.Tasks[k]
		j := jobs[k]
		if e.Active() || j == nil || j.Final() || j.Spec == nil {
			continue // its host controller forgets tasks of a final job by itself
		}
		tm := p.teams[j.Spec.Team]
		if tm == nil || !tm.loaded || tm.jobs[j.ID] == nil {
			continue
		}
		_, i, ok := agent.SplitTask(e.Task)
		if !ok || i >= j.Tasks {
			continue
		}
		t := tm.jobs[j.ID]
		x := t.task(i)
		// A repeated start would run a forgotten task again. The host controller checks this once more by what it
		// knows; controllers before 0.9.1 rely on this check.
		superseded := e.Attempt < x.attempt || (e.Attempt == x.attempt && (x.state == Completed || x.state == Waiting))
		if superseded && !p.startCanArrive(tm, delivery.Attempt{Task: e.Task, Number: e.Attempt}) {
			p.deps.Stop(v.Host, agent.Stop{Machine: v.Name, Task: e.Task, Attempt: e.Attempt, Forget: true})
		}
	}
}

// MachineDeleted handles the deletion of a machine, which terminates all tasks on it.
func (p *Scheduler) MachineDeleted(machine string) {
	p.eachInUse(machine, func(r taskRef) {
		if r.table.task(r.index).state == Placed {
			if sl := p.fleet.Machine(machine); sl != nil {
				p.recordLost(r.table, r.index, sl.LastReport)
			}
			p.confirmTerminated(r.table, r.index, "machine gone")
		}
	})
	p.fleet.Remove(machine)
	delete(p.checkRequestedAt, machine)
	p.attribution.MachineDeleted(machine)
	p.RequestPass()
}
