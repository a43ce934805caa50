package placer

import (
	"cmp"
	"slices"

	"cleatpick/internal/fleet"
	"cleatpick/internal/gate"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
)

// preemptor remembers what was stopped for whom.
type preemptor struct {
	nextRun loop.Micros
	news    []peer.Reservation
}

// withinPatience is how long work within a guarantee waits for turnover before others
// are stopped for it. What is urgent does not wait: it is little, and its limits are short.
const withinPatience = 3 * loop.Second

// rentPatience is how many seconds of turnover are set against misses before machines
// are rented for them: with a large fleet some task has always missed a moment ago.
const rentPatience = 1.0

// LearnClaims takes in what other owners stopped tasks for.
func (p *Placer) LearnClaims(cs []peer.Reservation) {
	for _, c := range cs {
		p.fleet.AddClaim(c)
		p.stoppedFor(c)
	}
}

// ClaimsInForce are the claims of the jobs that are owned here, for a peer that does not know them.
func (p *Placer) ClaimsInForce() []peer.Reservation {
	return p.fleet.ClaimsOf(func(id string) bool {
		j := p.registry.Get(id)
		if j == nil || j.Spec == nil {
			return false
		}
		tm := p.teams[j.Spec.Team]
		return tm != nil && tm.loaded
	})
}

// claimed keeps what room was made in mind, and has it told to the other owners.
func (p *Placer) claimed(cs []peer.Reservation) {
	for i := range cs {
		p.n.Meter.Preempted(len(cs[i].Victims))
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

// right tells what may be stopped for a task of the job.
func (p *Placer) right(e *entryOf, b *budget) fleet.Right {
	t := e.t
	if b.excess == nil {
		b.excess, b.shares = p.excesses(), map[*team]map[*table]float64{}
	}
	shares := b.shares[t.team]
	if shares == nil {
		shares = p.shares(t.team)
		b.shares[t.team] = shares
	}
	cpus := t.j.Spec.CPUs
	held := p.fleet.Held(t.j.ID) // room for these is being made already
	share := tasksWithin(shares[t]-float64(t.inUse)*cpus, cpus) - held
	// Two teams that both run beyond their guarantees must not stop each other's work in turn: only
	// one that uses less than its guarantee may claim it.
	room := t.team.quota.CPUs - t.team.cpus
	return fleet.Right{Guarantee: e.within && room >= cpus, Share: share > 0, Room: room >= cpus,
		ShareTasks: share, RoomTasks: tasksWithin(room, cpus) - held, Excess: b.excess}
}

// tasksWithin is how many tasks of so many CPUs each a part of a guarantee covers.
func tasksWithin(part, each float64) int {
	switch {
	case part < each:
		return 0
	case each <= 0:
		return gate.Everything
	}
	return int(part / each)
}

// shares divides the guarantee of an owned team among its unfinished jobs, by priority and then by
// when they were accepted. Work that a limit or a failure keeps back has no share.
func (p *Placer) shares(tm *team) map[*table]float64 {
	order := slices.Clone(tm.inOrder())
	slices.SortStableFunc(order, func(a, b *table) int { return cmp.Compare(b.j.Spec.Priority, a.j.Spec.Priority) })
	shares := map[*table]float64{}
	left := tm.quota.CPUs
	for _, t := range order {
		if left <= 0 {
			break
		}
		if t.j.Final() || p.resting(t) {
			continue
		}
		shares[t] = min(float64(t.j.Tasks-t.completed)*t.j.Spec.CPUs, left)
		left -= shares[t]
	}
	return shares
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
