package placer

import (
	"cleatpick/internal/agent"
	"cleatpick/internal/fleet"
	"cleatpick/internal/gate"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
)

// facts collects the state of a job that its own predicates evaluate.
func (p *Placer) facts(t *table) gate.Job {
	tm := t.team
	f := gate.Job{Spec: t.j.Spec, Hold: &t.j.Terms.Hold, After: p.deps(t.j), OnWithdrawn: t.j.Terms.OnCancelled, Damaged: t.damaged,
		Waiting: t.waiting(), InUse: t.inUse,
		Used: agent.Room{CPUs: tm.cpus, GPUs: tm.gpus}, Quota: tm.quota,
		ClockTo: p.cfg.ClockDifference()}
	// The clocks are read only for the few jobs that need them, since a pass calls this for all jobs.
	if t.trial.Moments != 0 || t.trial.RestTo != 0 {
		f.Now = p.r.Now()
		f.Failing = p.failing(t, f.Now)
	}
	if f.Hold.State != job.HoldNone {
		f.Wall = p.r.Wall()
	}
	return f
}

// deps lists the jobs that this job waits for, each with its phase.
func (p *Placer) deps(j *job.Job) []gate.Dep {
	if len(j.Terms.Dependencies) == 0 {
		return nil
	}
	out := make([]gate.Dep, len(j.Terms.Dependencies))
	for i, id := range j.Terms.Dependencies {
		out[i] = gate.Dep{ID: id, Waived: j.Terms.WaivedFrom(id)}
		if o := p.registry.Get(id); o != nil {
			out[i].Phase = o.Phase
		}
	}
	return out
}

// resting reports whether the job uses no capacity and is blocked by a hold or by a dependency.
func (p *Placer) resting(t *table) bool {
	if t.inUse > 0 || (t.j.Terms.Hold.State == job.HoldNone && len(t.j.Terms.Dependencies) == 0) {
		return false
	}
	f := p.facts(t)
	return f.Passes(gate.Hold) == 0 || f.Passes(gate.Dependency) == 0
}

// barred returns why no start of the job on this machine may be recorded or sent, or "" if it may: a hold or a cordon
// was stored after the machine was chosen. Both are stored records, and every record of a start is conditional on the
// revisions that were known when it was composed.
func (p *Placer) barred(t *table, machine string) string {
	if t.j.Terms.Hold.State != job.HoldNone && t.j.Terms.Hold.Blocks(p.r.Wall()) {
		return "held"
	}
	if sl := p.fleet.Machine(machine); sl != nil && p.cordons.Barred(fleet.CordonPlace(sl.V)) {
		return "cordoned"
	}
	return ""
}

// settle completes the pending holds of a team's jobs once no start recorded before the hold can still run. It also
// cancels jobs whose user asked for that when a job that they depend on was cancelled.
func (p *Placer) settle(tm *team) {
	now := p.r.Now()
	for _, t := range tm.inOrder() {
		if t.j.Final() || now < t.amendAt {
			continue
		}
		if f := p.facts(t); f.MustWithdraw() {
			t.amendAt = now + 2*loop.Second
			p.log.Info("cancelling a job because a job that it depends on was cancelled", "job", t.j.ID)
			p.registry.Cancel(t.j.ID, func(job.Answer) {})
			continue
		}
		if t.j.Terms.Hold.State != job.HoldPending {
			continue
		}
		sure := true
		t.each(func(i int, x *task) {
			if !x.inUse() || x.since != 0 {
				return // it is already running and continues
			}
			sure = false
			if x.state == Placed {
				p.stop(t, i, 0)
			}
		})
		if sure {
			t.amendAt = now + 2*loop.Second
			p.registry.ConfirmHold(t.j.ID, t.j.Revision, func(job.Answer) {})
		}
	}
}

// open reports whether no predicate blocks the whole job.
func (p *Placer) open(t *table) bool {
	f := p.facts(t)
	return f.Open()
}

// need returns what a task of the job requires of a machine.
func (t *table) need() gate.Need {
	return gate.Need{ID: t.j.ID, Spec: t.j.Spec, Tasks: t.j.Tasks, Zones: t.zones, Shun: t.shun}
}

// staleAfter is how long after its last report a machine still receives starts.
func (p *Placer) staleAfter() loop.Micros {
	return 2*loop.Seconds(p.cfg.Cluster.Workers.ReportS) + 3*loop.Second
}

// unshown calls f for every task that was chosen for or started on the machine and that its view does not list yet.
func (p *Placer) unshown(v *agent.View, f func(*job.Spec)) {
	p.eachUnsettled(v.Name, func(r ref) {
		x := r.t.task(r.i)
		if x.seen {
			return // it is listed, or was listed and is not any more
		}
		n := r.t.name(r.i)
		if x.session < v.Session || v.Holds(n, x.attempt) || v.Find(n, x.attempt) != nil {
			return
		}
		f(r.t.j.Spec)
	})
}
