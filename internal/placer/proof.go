package placer

import (
	"cleatpick/internal/agent"
	"cleatpick/internal/delivery"
	"cleatpick/internal/health"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// View takes in a machine's newer view: what became of the tasks recorded on it. What is
// as it was in the view before needs no second look.
func (p *Placer) View(v *agent.View, c *agent.Changes) {
	now := p.r.Now()
	// What runs on a machine that was not heard lately may have begun long ago. A new
	// owner that took its first sight for the beginning found every task slow.
	old := p.fleet.Slot(v.Name)
	unsure := old == nil || now-old.Heard > 2*loop.Seconds(p.cfg.Cluster.Workers.ReportS)
	var before []agent.Task
	var heard loop.Micros // the time before this one; 0: never
	if old == nil {
		c = &agent.Changes{All: true}
		if typ, ok := p.n.Type(v.Type); ok && len(v.Tasks) == 0 {
			p.turn.Free(typ.CPUs) // one that has just come up is room as well
		}
	} else {
		before, heard = old.V.Tasks, old.Heard
	}
	if old == nil || old.V.Zone != v.Zone {
		p.zoneMemo[v.Name] = v.Zone
	}
	// Most views only say that a machine lives: nothing is free that was not.
	quiet := old != nil && c.Still && len(v.Pending)+len(old.V.Pending) == 0 && v.Closed == old.V.Closed && v.NoticeAt == old.V.NoticeAt && !unsure
	sl := p.fleet.View(v, now-v.Silence(p.r.Wall(), p.clockTo()), quiet)
	p.blame.Observe(now, v, c)
	if !c.Still {
		sl.Rest(p.blame.RestUntil(v.Name), "tasks fail on it")
	}
	sl.Jobs = p.agent.Jobs(v)
	told := sl.Runs.Update(v, c, before, sl.Jobs, p.paces, now, unsure)
	p.turn.Free(told.Freed)
	if told.Slow && now >= sl.Shut {
		p.log.Debug("slow machine rests", "machine", v.Name, "times", told.Factor)
		sl.Rest(now+health.SlowRest, "its tasks run slowly")
		sl.Runs.ResetSlowness()
	}
	p.judgeAll(v, c, before, sl.Jobs, heard)
	if v.Host != "" {
		p.forgets(v, sl.Jobs)
	}
	if !quiet {
		p.Kick()
	}
}

// judgeAll draws what a view proves about the tasks in use on its machine. One that was
// seen there and stands as before proves nothing new.
func (p *Placer) judgeAll(v *agent.View, c *agent.Changes, before []agent.Task, jobs []*job.Job, heard loop.Micros) {
	if p.on[v.Name] == nil {
		return
	}
	if c.All {
		p.eachInUse(v.Name, func(r ref) { p.judge(r.t, r.i, v, heard) })
		return
	}
	for k := range v.Tasks {
		if !c.Kept(k) {
			p.judgeNamed(v, v.Tasks[k].Task, jobs[k], heard)
		}
	}
	p.judgeVanished(v, c, before, heard)
	p.eachUnsettled(v.Name, func(r ref) { p.judge(r.t, r.i, v, heard) })
}

// judgeVanished judges the tasks that the view before listed and this one does not. Mostly the
// owner knows that they ended, since it asked for them to be forgotten. Not so where an earlier owner
// did so before it recorded their end, and a report that was held back has shown them since.
func (p *Placer) judgeVanished(v *agent.View, c *agent.Changes, before []agent.Task, heard loop.Micros) {
	for _, k := range c.Gone {
		if x := &before[k]; v.Find(x.Task, x.Attempt) == nil {
			id, _, _ := agent.SplitTask(x.Task)
			p.judgeNamed(v, x.Task, p.registry.Get(id), heard)
		}
	}
}

// judgeNamed judges a task that has changed on the machine, if it is in use there.
func (p *Placer) judgeNamed(v *agent.View, name string, j *job.Job, heard loop.Micros) {
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
				p.judge(t, i, v, heard)
			}
		}
	}
}

// judge draws what a view proves about a task. heard is when the machine was heard before.
func (p *Placer) judge(t *table, i int, v *agent.View, heard loop.Micros) {
	x := t.task(i)
	if x.state != Placed {
		return
	}
	name := t.name(i)
	if v.Session > x.session {
		// The worker began a new session: all tasks of the one before were killed.
		p.noteLost(t, i, heard)
		p.provenOff(t, i, "new session")
		return
	}
	if v.Session < x.session {
		return
	}
	e := v.Find(name, x.attempt)
	p.setSighting(t, i, x.seen, x.seen && e == nil)
	if e == nil {
		if v.Holds(name, x.attempt) {
			return
		}
		// Absent. That proves something only once the start can no longer
		// arrive: it had expired by every clock, and the worker's patience for
		// an answer that carries it was over, when the list was made; and the
		// machine follows its host's token, so that no earlier command can land.
		safe := p.clock.LatestArrival(x.expiry)
		if v.Settled && v.At > safe {
			p.provenOff(t, i, "absent")
			return
		}
		if now := p.r.Now(); p.r.Wall() > safe && now-p.checked[v.Name] > loop.Second {
			p.checked[v.Name] = now
			p.n.Check(v.Host, v.Name)
		}
		return
	}
	p.setSighting(t, i, true, x.pending)
	if e.Active() {
		run := e.State == wire.TaskRunning
		if run != x.running {
			x.running = run
			if run {
				p.noteRerun(x, true)
				t.running++
				if x.since == 0 {
					x.since = p.r.Now()
				}
			} else {
				t.running--
			}
		}
		if t.j.Final() {
			p.stop(t, i, 0)
		}
		return
	}
	switch {
	case e.Why == wire.WhyDone && !t.j.Spec.Service:
		p.noteRerun(x, true)
		p.setTask(t, i, Ended)
		p.recordOutcome(t, i)
		p.succeeded(t, x)
		p.maybeDone(t)
	case e.Why == wire.WhyError:
		p.log.Debug("task failed", "task", name, "machine", v.Name)
		p.errored(t, x)
		p.provenOff(t, i, "error")
	case e.Why == wire.WhyBusy:
		// Another attempt of it is there. Until that one is gone, the task is on
		// this machine.
		for k := range v.Tasks {
			if o := &v.Tasks[k]; o.Task == name && o.Active() {
				p.n.Stop(v.Host, agent.Stop{Machine: v.Name, Task: name, Attempt: o.Attempt})
				p.setSighting(t, i, true, true) // the stop may be lost, and what ends is the other attempt
				return
			}
		}
		p.provenOff(t, i, "busy")
	default:
		p.provenOff(t, i, e.Why)
	}
	p.dropIfOver(t)
}

// clockTo is the most by which two times of day differ, and a little more.
func (p *Placer) clockTo() loop.Micros { return p.clock.Difference }

// startCanArrive judges whether a start of an attempt can still reach a machine, by what was
// recorded of that very attempt. Those that this owner did not record were recorded by others
// before it read their team's records.
func (p *Placer) startCanArrive(tm *team, attempt delivery.Attempt) bool {
	wall := p.r.Wall()
	return p.expiries.CanArrive(attempt, wall) || wall <= p.clock.LatestArrivalOfRecorded(tm.loadedAt)
}

// provenOff takes in that a task was proven off its machine.
func (p *Placer) provenOff(t *table, i int, why string) {
	x := t.task(i)
	p.log.Debug("task off", "task", t.name(i), "machine", x.machine, "attempt", x.attempt, "why", why)
	p.setTask(t, i, Waiting)
	p.dropIfOver(t)
}

// forgets asks a machine to forget ended tasks whose outcome is kept or of no use.
func (p *Placer) forgets(v *agent.View, jobs []*job.Job) {
	if !v.Settled {
		return
	}
	for k := range v.Tasks {
		e := &v.Tasks[k]
		j := jobs[k]
		if e.Active() || j == nil || j.Final() || j.Spec == nil {
			continue // of a job that is over, the host forgets it by itself
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
		// A repeat of its start would start the task anew. The host judges that once more by what it
		// knows; hosts before 0.9.1 rely on this judgement.
		old := e.Attempt < x.attempt || (e.Attempt == x.attempt && (x.state == Completed || x.state == Waiting))
		if old && !p.startCanArrive(tm, delivery.Attempt{Task: e.Task, Number: e.Attempt}) {
			p.n.Stop(v.Host, agent.Stop{Machine: v.Name, Task: e.Task, Attempt: e.Attempt, Forget: true})
		}
	}
}

// Gone takes in that a machine was deleted, and with it all that was on it.
func (p *Placer) Gone(machine string) {
	p.eachInUse(machine, func(r ref) {
		if r.t.task(r.i).state == Placed {
			if sl := p.fleet.Slot(machine); sl != nil {
				p.noteLost(r.t, r.i, sl.Heard)
			}
			p.provenOff(r.t, r.i, "machine gone")
		}
	})
	p.fleet.Gone(machine)
	delete(p.checked, machine)
	p.blame.MachineDeleted(machine)
	p.Kick()
}
