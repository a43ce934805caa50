package placer

import (
	"cleatpick/internal/floor"
	"cleatpick/internal/loop"
)

const (
	// shortAfter is for how long a team must run less than its guarantee, while its tasks find no room,
	// before room is held for it: what turnover gives back by itself is not acted upon.
	shortAfter = 5 * loop.Second
	// shortPart is the part of its guarantee from which on a team counts as having it.
	shortPart = 0.95
)

// shortfall follows how long a team has run less than its guarantee while its tasks find no room.
type shortfall struct {
	since loop.Micros // 0: it does not
	told  bool
}

// followGuarantee takes in whether tasks of a team find no room now, and tells of a team that has been
// without its guarantee for long.
func (p *Placer) followGuarantee(tm *team, misses bool, now loop.Micros) {
	s := &tm.short
	if !misses || tm.cpus >= shortPart*tm.quota.CPUs {
		if s.told {
			p.log.Info("team has its guarantee again, or no work for it", "team", tm.cfg.Name, "cpus", tm.cpus, "guarantee", tm.quota.CPUs, "took_us", now-s.since)
		}
		*s = shortfall{}
		return
	}
	if s.since == 0 {
		s.since = now
	}
	if !s.told && now-s.since >= shortAfter {
		s.told = true
		p.log.Info("team runs less than its guarantee while work waits", "team", tm.cfg.Name, "cpus", tm.cpus, "guarantee", tm.quota.CPUs, "borrowed_by_others", p.borrowed(tm))
	}
}

// borrowed is how many CPUs other teams run beyond their guarantees.
func (p *Placer) borrowed(tm *team) (cpus float64) {
	for name, excess := range loop.Sorted(p.excesses()) {
		if name != tm.cfg.Name {
			cpus += max(excess, 0)
		}
	}
	return cpus
}

// holdGuaranteed holds room for a job that has waited for long while its team runs less than its
// guarantee and others more than theirs. Nothing is stopped for it: what falls free there is taken by
// no other team. Whatever the team waits with counts, also where jobs before it are larger than the
// whole guarantee, so that none of the later ones fits into that beside them.
func (p *Placer) holdGuaranteed(e *entryOf, missed int, b *budget) {
	t := e.t
	now, cpus := p.r.Now(), t.j.Spec.CPUs
	short := &t.team.short
	if e.within || cpus <= 0 || now-t.at < floor.After || short.since == 0 || now-short.since < shortAfter {
		return
	}
	unmet, known := b.unmet[t.team]
	if !known {
		unmet = p.unmetGuarantee(t.team)
	}
	n := min(missed-p.fleet.Held(t.j.ID), int(unmet/cpus))
	if !t.j.Spec.Gang {
		n = min(n, mostHeld)
	} else if n < t.waiting() {
		n = 0 // a part of a gang is of no use
	}
	if n > 0 {
		unmet -= float64(p.hold(t, n)) * cpus
	}
	b.unmet[t.team] = unmet
}

// unmetGuarantee is what a team's guarantee leaves beside what it runs and what is held for it, as far
// as others have borrowed that.
func (p *Placer) unmetGuarantee(tm *team) float64 {
	held := 0.0
	for id, n := range loop.Sorted(p.fleet.HeldJobs()) {
		if t := tm.jobs[id]; t != nil {
			held += float64(n) * t.j.Spec.CPUs
		}
	}
	return min(tm.quota.CPUs-tm.cpus, p.borrowed(tm)) - held
}

// hold holds room for tasks of a job that finds none, and tells for how many.
func (p *Placer) hold(t *table, tasks int) int {
	need := t.need()
	claims := p.fleet.Hold(&need, tasks, holdLife)
	p.claimed(claims)
	p.n.Meter.Held(len(claims))
	p.floor.Serve(t.floorClass(), float64(len(claims))*t.j.Spec.CPUs)
	return len(claims)
}
