package placer

import (
	"cleatpick/internal/loop"
	"cleatpick/internal/starvation"
)

const (
	// shortAfter is how long a team must run less than its guarantee, with tasks unplaced, before capacity is
	// reserved for it. A shortfall that completing tasks remove sooner needs no action. The team must have its
	// guarantee for as long again before reservations stop.
	shortAfter = 5 * loop.Second
	// shortPart is the fraction of its guarantee from which on a team counts as having it.
	shortPart = 0.95
)

// shortfall tracks whether a team lacks its guarantee while tasks of it are unplaced.
type shortfall struct {
	lacks bool
	since loop.Micros // since when the observation differs from lacks; 0: it does not
}

// follow applies an observation and reports whether lacks has changed.
func (s *shortfall) follow(lacks bool, now loop.Micros) (changed bool) {
	switch {
	case lacks == s.lacks:
		s.since = 0
	case s.since == 0:
		s.since = now
	case now-s.since >= shortAfter:
		s.lacks, s.since = lacks, 0
		return true
	}
	return false
}

// followGuarantee updates whether a team lacks its guarantee; misses reports whether it has unplaced tasks now.
func (p *Placer) followGuarantee(tm *team, misses bool, now loop.Micros) {
	lacks := misses && tm.cpus < shortPart*tm.quota.CPUs
	if !tm.short.follow(lacks, now) {
		return
	}
	text := "team has its guarantee again, or has no waiting work for it"
	if lacks {
		text = "team runs less than its guarantee while work waits"
	}
	p.log.Info(text, "team", tm.cfg.Name, "cpus", tm.cpus, "guarantee", tm.quota.CPUs, "borrowed_by_others", p.borrowed(tm))
}

// borrowed returns how many CPUs other teams run beyond their guarantees.
func (p *Placer) borrowed(tm *team) (cpus float64) {
	for name, excess := range loop.Sorted(p.excesses()) {
		if name != tm.cfg.Name {
			cpus += max(excess, 0)
		}
	}
	return cpus
}

// holdGuaranteed reserves capacity for a job that has waited long while its team runs less than its guarantee and
// other teams run more than theirs. Nothing is preempted: capacity that becomes free on the machine is kept from
// other teams. All waiting work of the team counts, including jobs that are not within the guarantee because earlier
// jobs of the team alone exceed it.
func (p *Placer) holdGuaranteed(e *entryOf, missed int, b *budget) {
	t := e.t
	now, cpus := p.r.Now(), t.j.Spec.CPUs
	if e.within || cpus <= 0 || now-t.at < starvation.After || !t.team.short.lacks {
		return
	}
	unmet, known := b.unmet[t.team]
	if !known {
		unmet = p.unmetGuarantee(t.team)
	}
	n := min(missed-p.fleet.ReservationCount(t.j.ID), int(unmet/cpus))
	if !t.j.Spec.Gang {
		n = min(n, mostHeld)
	} else if n < t.waiting() {
		n = 0 // reserving for a part of a gang is useless
	}
	if n > 0 {
		unmet -= float64(p.hold(t, n)) * cpus
	}
	b.unmet[t.team] = unmet
}

// unmetGuarantee returns how much of a team's guarantee is neither in use nor reserved for it, limited to what other
// teams have borrowed.
func (p *Placer) unmetGuarantee(tm *team) float64 {
	held := 0.0
	for id, n := range loop.Sorted(p.fleet.ReservationCounts()) {
		if t := tm.jobs[id]; t != nil {
			held += float64(n) * t.j.Spec.CPUs
		}
	}
	return min(tm.quota.CPUs-tm.cpus, p.borrowed(tm)) - held
}

// hold reserves capacity for unplaced tasks of a job and returns for how many.
func (p *Placer) hold(t *table, tasks int) int {
	need := t.need()
	claims := p.fleet.Reserve(&need, tasks, holdLife)
	p.claimed(claims)
	p.n.Meter.Held(len(claims))
	p.reserve.Serve(t.turnClass(), float64(len(claims))*t.j.Spec.CPUs)
	return len(claims)
}
