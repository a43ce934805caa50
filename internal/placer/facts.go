package placer

import (
	"cleatpick/internal/agent"
	"cleatpick/internal/fleet"
	"cleatpick/internal/gate"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
)

// facts are what a job's own gates judge by.
func (p *Placer) facts(t *table) gate.Job {
	tm := t.team
	f := gate.Job{Spec: t.j.Spec, Hold: &t.j.Terms.Hold, After: p.deps(t.j), OnWithdrawn: t.j.Terms.OnWithdrawn, Damaged: t.damaged,
		Waiting: t.waiting(), InUse: t.inUse,
		Used: agent.Room{CPUs: tm.cpus, GPUs: tm.gpus}, Quota: tm.quota,
		ClockTo: p.cfg.ClockDifference()}
	// The clocks are read only for the few jobs that ask for it: a pass goes through all.
	if t.trial.Bursts != 0 || t.trial.RestUntil != 0 {
		f.Now = p.r.Now()
		f.Failing = p.failing(t, f.Now)
	}
	if f.Hold.State != job.HoldNone {
		f.Wall = p.r.Wall()
	}
	return f
}

// deps tells how the jobs stand that must be done before this one.
func (p *Placer) deps(j *job.Job) []gate.Dep {
	if len(j.Terms.After) == 0 {
		return nil
	}
	out := make([]gate.Dep, len(j.Terms.After))
	for i, id := range j.Terms.After {
		out[i] = gate.Dep{ID: id, Waived: j.Terms.WaivedFrom(id)}
		if o := p.registry.Get(id); o != nil {
			out[i].Phase = o.Phase
		}
	}
	return out
}

// resting tells whether the job waits for its user or for other jobs, and uses nothing.
func (p *Placer) resting(t *table) bool {
	if t.inUse > 0 || (t.j.Terms.Hold.State == job.HoldNone && len(t.j.Terms.After) == 0) {
		return false
	}
	f := p.facts(t)
	return f.Passes(gate.Hold) == 0 || f.Passes(gate.Dependency) == 0
}

// barred tells why no start of the job on this machine may be recorded or sent: a hold,
// or a cordon, has come since it was chosen. What bars here is stored, and every record
// of a start is conditioned on the version that was known when it was taken.
func (p *Placer) barred(t *table, machine string) string {
	if t.j.Terms.Hold.State != job.HoldNone && t.j.Terms.Hold.Shut(p.r.Wall()) {
		return "held"
	}
	if sl := p.fleet.Slot(machine); sl != nil && p.cordons.Blocked(fleet.Where(sl.V)) {
		return "cordoned"
	}
	return ""
}

// settle calls the holds of a team's jobs set once nothing that was recorded before them
// can begin any more, and withdraws jobs whose user wanted that when one before them was.
func (p *Placer) settle(tm *team) {
	now := p.r.Now()
	for _, t := range tm.inOrder() {
		if t.j.Final() || now < t.amendAt {
			continue
		}
		if f := p.facts(t); f.MustWithdraw() {
			t.amendAt = now + 2*loop.Second
			p.log.Info("withdraws a job with one that it waits for", "job", t.j.ID)
			p.registry.Withdraw(t.j.ID, func(job.Answer) {})
			continue
		}
		if t.j.Terms.Hold.State != job.HoldSettling {
			continue
		}
		sure := true
		t.each(func(i int, x *task) {
			if !x.inUse() || x.since != 0 {
				return // it has begun already, and goes on
			}
			sure = false
			if x.state == Placed {
				p.stop(t, i, 0)
			}
		})
		if sure {
			t.amendAt = now + 2*loop.Second
			p.registry.Settle(t.j.ID, t.j.Revision, func(job.Answer) {})
		}
	}
}

// open tells whether no gate shuts the whole job.
func (p *Placer) open(t *table) bool {
	f := p.facts(t)
	return f.Open()
}

// need is what a task of the job asks of a machine.
func (t *table) need() gate.Need {
	return gate.Need{ID: t.j.ID, Spec: t.j.Spec, Tasks: t.j.Tasks, Zones: t.zones, Shun: t.shun}
}

// staleAfter is how long after its last word a machine takes no starts.
func (p *Placer) staleAfter() loop.Micros {
	return 2*loop.Seconds(p.cfg.Cluster.Workers.ReportS) + 3*loop.Second
}

// unshown calls f for every task that was chosen for or started on the machine and that
// its view does not show yet.
func (p *Placer) unshown(v *agent.View, f func(*job.Spec)) {
	p.eachUnsettled(v.Name, func(r ref) {
		x := r.t.task(r.i)
		if x.seen {
			return // it is listed, or was and is not any more
		}
		n := r.t.name(r.i)
		if x.session < v.Session || v.Holds(n, x.attempt) || v.Find(n, x.attempt) != nil {
			return
		}
		f(r.t.j.Spec)
	})
}
