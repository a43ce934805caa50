package placer

import (
	"cleatpick/internal/gate"
	"cleatpick/internal/health"
	"cleatpick/internal/loop"
)

// watch starts tracking a job's failures. The failures that all controllers observed survive a change of owner, so
// that a job known to be broken does not get a fresh start from each new one.
func (p *Placer) watch(t *table) {
	t.trial.Changed = func(from, to health.TrialState) {
		p.n.Meter.Trial(to.String())
		if from == health.Untried && to == health.Sound {
			return // the outcome for nearly all jobs
		}
		p.log.Info("failure state of a job changed", "job", t.j.ID, "from", from.String(), "to", to.String(), "moments", t.trial.Moments, "machines", p.blame.Against(t.j.ID))
	}
	if n := p.blame.Against(t.j.ID); n >= health.BrokenOn {
		now := p.r.Now()
		t.trial.Fail(now, now, n)
	}
}

// errored records that a task of the job failed. A failure on a faulty machine does not count against the job.
func (p *Placer) errored(t *table, x *task) {
	t.shun = p.blame.Shuns(t.j.ID)
	if p.blame.AtFault(x.machine) {
		return
	}
	x.failed = true
	t.trial.Fail(p.r.Now(), x.chosen, p.blame.Against(t.j.ID))
}

// succeeded records that a task of the job completed.
func (p *Placer) succeeded(t *table, x *task) {
	t.trial.Complete(x.failed)
	x.failed = false
	t.shun = nil
}

// failing returns what the predicates need to know of a job's failures.
func (p *Placer) failing(t *table, now loop.Micros) gate.Failing {
	f := gate.Failing{State: t.trial.State, Moments: t.trial.Moments, Machines: p.blame.Against(t.j.ID), RestTo: t.trial.RestTo,
		Late: len(t.late), LateNow: t.trial.Late(len(t.late))}
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
