package placer

import (
	"cleatpick/internal/gate"
	"cleatpick/internal/health"
	"cleatpick/internal/loop"
)

// watch begins a job's trial. What all nodes saw of its failures outlives its owner: a job
// known to be broken is not let loose once more by each.
func (p *Placer) watch(t *table) {
	t.trial.OnChange = func(from, to health.ProbationState) {
		p.n.Meter.Trial(to.String())
		if from == health.Untried && to == health.Sound {
			return // as nearly all
		}
		p.log.Info("job judged", "job", t.j.ID, "from", from.String(), "to", to.String(), "moments", t.trial.Bursts, "machines", p.blame.FailedOnHealthy(t.j.ID))
	}
	if n := p.blame.FailedOnHealthy(t.j.ID); n >= health.BrokenOn {
		now := p.r.Now()
		t.trial.Fail(now, now, n)
	}
}

// errored takes in that a task of the job failed. One on a machine that is at fault says
// nothing of the job.
func (p *Placer) errored(t *table, x *task) {
	t.shun = p.blame.AvoidedMachines(t.j.ID)
	if p.blame.AtFault(x.machine) {
		return
	}
	x.failed = true
	t.trial.Fail(p.r.Now(), x.chosen, p.blame.FailedOnHealthy(t.j.ID))
}

// succeeded takes in that a task of the job completed.
func (p *Placer) succeeded(t *table, x *task) {
	t.trial.Complete(x.failed)
	x.failed = false
	t.shun = nil
}

// failing is what the gates are told of a job's failures.
func (p *Placer) failing(t *table, now loop.Micros) gate.Failing {
	f := gate.Failing{State: t.trial.State, Moments: t.trial.Bursts, Machines: p.blame.FailedOnHealthy(t.j.ID), RestTo: t.trial.RestUntil,
		Late: len(t.late), LateNow: t.trial.RetryWidth(len(t.late))}
	if !t.trial.Trusted() {
		survivors := 0
		t.each(func(_ int, x *task) {
			if x.state == Placed && x.running && t.trial.Survives(now, x.chosen) {
				survivors++
			}
		})
		f.Width = health.Width(survivors)
	}
	return f
}
