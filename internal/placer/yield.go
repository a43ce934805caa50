package placer

import (
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
)

// Every owner sees what falls free, and each takes it for its own work. Work of one owner
// that comes late in the order would so take room that another's urgent work waits for,
// and be stopped for it a moment later. So owners tell each other what their urgent and
// their guaranteed work misses, and leave as much free as work before their own needs.

// told is for how long a peer's word of its misses counts: a little more than two ticks.
const told = 1200 * loop.Millisecond

// missing is what the owned teams' work misses, by the order in which it is served.
type missing struct {
	urgent float64 // CPUs that urgent work misses
	within float64 // and what lies within its team's guarantee
}

// note takes in that a job's tasks miss room.
func (m *missing) note(e *entryOf, tasks int) {
	cpus := float64(tasks) * e.t.j.Spec.CPUs
	switch {
	case e.t.j.Spec.Priority >= job.High:
		m.urgent += cpus
	case e.within:
		m.within += cpus
	}
}

// theirs is what the work of others misses that comes before all but one's own.
func (p *Placer) theirs() (m missing) {
	now := p.r.Now()
	for team, u := range p.usage {
		if p.teams[team] == nil && now-p.usageAt[team] < told {
			m.urgent += u.Urgent
			m.within += u.Within
		}
	}
	return m
}

// before is how many CPUs of others' misses are served before this job.
func (m *missing) before(e *entryOf) float64 {
	switch {
	case e.t.j.Spec.Priority >= job.High:
		return 0
	case e.within:
		return m.urgent
	}
	return m.urgent + m.within
}

// spareCPUs is how many CPUs are free on machines that take starts.
func (p *Placer) spareCPUs() float64 {
	free := 0.0
	for _, sl := range p.fleet.Free() {
		free += sl.Room.CPUs
	}
	return free
}

// tellMissing tells the peers at once when urgent work begins to miss, or has stopped to.
func (p *Placer) tellMissing(m missing) {
	was := p.ours
	p.ours = m
	now := p.r.Now()
	changed := (m.urgent > 0) != (was.urgent > 0) || m.urgent > 2*was.urgent
	if !changed || now-p.toldMissing < 50*loop.Millisecond {
		return
	}
	p.tellUse()
}

// tellUse tells the peers what the owned teams use and miss. What is missed is told once
// for all of them, with the first.
func (p *Placer) tellUse() {
	var use []peer.Usage
	for _, tm := range p.teams {
		if tm.loaded {
			use = append(use, peer.Usage{Team: tm.cfg.Name, CPUs: tm.cpus, GPUs: tm.gpus})
		}
	}
	if len(use) == 0 {
		return
	}
	p.toldMissing = p.r.Now()
	use[0].Urgent, use[0].Within = p.ours.urgent, p.ours.within
	p.n.Usage(use)
}

// Learn takes in what other owners' teams use.
func (p *Placer) Learn(u []peer.Usage) {
	for _, x := range u {
		p.usage[x.Team], p.usageAt[x.Team] = x, p.r.Now()
	}
}
