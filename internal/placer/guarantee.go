package placer

import (
	"cleatpick/internal/loop"
	"cleatpick/internal/starvation"
)

const (
	// shortAfter is for how long a team must run less than its guarantee, while its tasks find no room,
	// before room is held for it: what turnover gives back by itself is not acted upon. For as long it must
	// have had its guarantee before none is held any more.
	shortAfter = 5 * loop.Second
	// shortPart is the part of its guarantee from which on a team counts as having it.
	shortPart = 0.95
)

// shortfall follows whether a team lacks its guarantee while its tasks find no room.
type shortfall struct {
	lacks bool
	since loop.Micros // since when it was otherwise; 0: it is as it was
}

// follow takes in how it is now, and tells whether the judgement has changed.
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

// followGuarantee takes in whether tasks of a team find no room now.
func (p *Placer) followGuarantee(tm *team, misses bool, now loop.Micros) {
	lacks := misses && tm.cpus < shortPart*tm.quota.CPUs
	if !tm.short.follow(lacks, now) {
		return
	}
	text := "team has its guarantee again, or no work for it"
	if lacks {
		text = "team runs less than its guarantee while work waits"
	}
	p.log.Info(text, "team", tm.cfg.Name, "cpus", tm.cpus, "guarantee", tm.quota.CPUs, "borrowed_by_others", p.borrowed(tm))
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
	if e.within || cpus <= 0 || now-t.at < starvation.MinWait || !t.team.short.lacks {
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
	for id, n := range loop.Sorted(p.fleet.ReservationCounts()) {
		if t := tm.jobs[id]; t != nil {
			held += float64(n) * t.j.Spec.CPUs
		}
	}
	return min(tm.quota.CPUs-tm.cpus, p.borrowed(tm)) - held
}

// hold holds room for tasks of a job that finds none, and tells for how many.
func (p *Placer) hold(t *table, tasks int) int {
	need := t.need()
	claims := p.fleet.Reserve(&need, tasks, holdLife)
	p.claimed(claims)
	p.n.Meter.Held(len(claims))
	p.reserve.RecordOrdinary(t.turnClass(), float64(len(claims))*t.j.Spec.CPUs)
	return len(claims)
}
