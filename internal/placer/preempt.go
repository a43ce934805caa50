package placer

import (
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
)

// preemptor remembers what was stopped for whom.
type preemptor struct {
	nextRun loop.Micros
	news    []peer.Claim
}

// withinPatience is how long work within a guarantee waits for turnover before others
// are stopped for it. What is urgent does not wait: it is little, and its limits are short.
const withinPatience = 3 * loop.Second

// rentPatience is how many seconds of turnover are set against misses before machines
// are rented for them: with a large fleet some task has always missed a moment ago.
const rentPatience = 1.0

// LearnClaims takes in what other owners stopped tasks for.
func (p *Placer) LearnClaims(cs []peer.Claim) {
	for _, c := range cs {
		p.fleet.AddClaim(c)
		p.stoppedFor(c)
	}
}

// claimed keeps what room was made in mind, and has it told to the other owners.
func (p *Placer) claimed(cs []peer.Claim) {
	for i := range cs {
		if p.n.Tells {
			p.stoppedFor(cs[i])
		} else {
			cs[i].Victims = nil
		}
	}
	p.pre.news = append(p.pre.news, cs...)
}

// mostStops bounds the stops of one pass: each is followed by commands, reports and views.
const mostStops = 64

// excesses tells how much each other team runs beyond its guarantee.
func (p *Placer) excesses() map[string]float64 {
	out := map[string]float64{}
	for _, c := range p.cfg.Cluster.Teams {
		u := p.usage[c.Name].CPUs
		if tm := p.teams[c.Name]; tm != nil {
			u = tm.cpus
		}
		out[c.Name] = u - c.CPUs
	}
	return out
}

// guaranteed lists the jobs of an owned team that fit into its guarantee together
// with the team's earlier unfinished jobs.
func (p *Placer) guaranteed(tm *team, also *table) map[*table]bool {
	out := map[*table]bool{}
	cpus, gpus := 0.0, 0.0
	for _, t := range tm.inOrder() {
		if t.j.Final() || (t != also && p.resting(t)) {
			continue
		}
		n := float64(t.j.Tasks - t.completed)
		cpus += n * t.j.Spec.CPUs
		gpus += n * t.j.Spec.GPUs
		if !tm.quota.Covers(cpus, gpus) {
			break
		}
		out[t] = true
	}
	return out
}
