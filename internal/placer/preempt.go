package placer

import (
	"cmp"
	"slices"

	"cleatpick/internal/fleet"
	"cleatpick/internal/gate"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
)

// preemptor holds the state of preemption between passes.
type preemptor struct {
	nextRun loop.Micros
	news    []peer.Claim
}

// withinPatience is how long work within a guarantee waits for completing tasks to free capacity before others are
// preempted for it. Urgent work does not wait, since there is little of it and its latency limits are short.
const withinPatience = 3 * loop.Second

// rentPatience is for how many seconds the rate of freed capacity is deducted from unplaced work before machines are
// rented. In a large cluster some task is unplaced at any time.
const rentPatience = 1.0

// LearnClaims adds reservations that other owners made, and records which tasks of this owner they preempted.
func (p *Placer) LearnClaims(cs []peer.Claim) {
	for _, c := range cs {
		p.fleet.AddReservation(c)
		p.stoppedFor(c)
	}
}

// ClaimsInForce returns the reservations of the jobs owned here, for a peer that does not know them.
func (p *Placer) ClaimsInForce() []peer.Claim {
	return p.fleet.ReservationsOf(func(id string) bool {
		j := p.registry.Get(id)
		if j == nil || j.Spec == nil {
			return false
		}
		tm := p.teams[j.Spec.Team]
		return tm != nil && tm.loaded
	})
}

// claimed records new reservations and queues them to be sent to the other owners.
func (p *Placer) claimed(cs []peer.Claim) {
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

// mostStops bounds the preemptions of one pass, since each causes commands, reports and views.
const mostStops = 64

// excesses returns how many CPUs each team runs beyond its guarantee; negative if it runs less.
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

// right returns what may be preempted for a task of the job.
func (p *Placer) right(e *entryOf, b *budget) fleet.PreemptionRights {
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
	held := p.fleet.ReservationCount(t.j.ID) // capacity for these is already reserved
	share := tasksWithin(shares[t]-float64(t.inUse)*cpus, cpus) - held
	// Two teams that both run beyond their guarantees must not preempt each other's work alternately: only a team
	// that uses less than its guarantee may claim capacity by it.
	room := t.team.quota.CPUs - t.team.cpus
	return fleet.PreemptionRights{WithinGuarantee: e.within && room >= cpus, InTeamShare: share > 0, TeamBelowGuarantee: room >= cpus,
		InTeamShareTasks: share, TeamBelowGuaranteeTasks: tasksWithin(room, cpus) - held, Excess: b.excess}
}

// tasksWithin returns how many tasks of the given CPUs a part of a guarantee covers.
func tasksWithin(part, each float64) int {
	switch {
	case part < each:
		return 0
	case each <= 0:
		return gate.Everything
	}
	return int(part / each)
}

// shares divides the guarantee of an owned team among its unfinished jobs, by priority and then by acceptance. Jobs
// blocked by a hold or a dependency have no share.
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

// guaranteed returns the jobs of an owned team that fit into its guarantee together with the team's earlier
// unfinished jobs. Blocked jobs do not count, except also.
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
