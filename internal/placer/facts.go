package placer

import (
	"cleatpick/internal/agent"
	"cleatpick/internal/gate"
	"cleatpick/internal/loop"
)

// facts are what a job's own gates judge by.
func (p *Placer) facts(t *table) gate.Job {
	tm := t.team
	return gate.Job{Spec: t.j.Spec, Damaged: t.damaged, Waiting: t.waiting(), InUse: t.inUse,
		Failures: t.failures, FailedOn: len(t.failedOn), BackOffTo: t.holdOff,
		Used: agent.Room{CPUs: tm.cpus, GPUs: tm.gpus}, Max: agent.Room{CPUs: tm.cfg.CPUsMax, GPUs: tm.cfg.GPUsMax},
		Now: p.r.Now(), Wall: p.r.Wall(), ClockTo: loop.Micros(p.cfg.Cluster.ClockOffMS * 2000)}
}

// open tells whether no gate shuts the whole job.
func (p *Placer) open(t *table) bool {
	f := p.facts(t)
	return f.Open()
}

// need is what a task of the job asks of a machine.
func (t *table) need() gate.Need {
	return gate.Need{ID: t.j.ID, Spec: t.j.Spec, Tasks: t.j.Tasks, Zones: t.zones}
}

// rest keeps a machine out of the choice until a time.
func (sl *slot) rest(until loop.Micros, why string) {
	if until > sl.Shut {
		sl.Shut, sl.ShutWhy = until, why
	}
}
