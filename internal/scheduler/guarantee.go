package scheduler

import (
	"cleatpick/internal/eventloop"
	"cleatpick/internal/starvation"
)

const (
	// shortfallDelay is how long a team must run less than its guarantee, with tasks unplaced, before capacity is
	// reserved for it. A shortfall that completing tasks remove sooner needs no action. The team must have its
	// guarantee for as long again before reservations stop.
	shortfallDelay = 5 * eventloop.Second
	// shortfallFraction is the fraction of its guarantee from which on a team counts as having it.
	shortfallFraction = 0.95
)

// shortfall tracks whether a team lacks its guarantee while tasks of it are unplaced.
type shortfall struct {
	lacks        bool
	changedSince eventloop.Micros // since when the observation differs from lacks; 0: it does not
}

// observe applies an observation and reports whether lacks has changed.
func (s *shortfall) observe(lacks bool, now eventloop.Micros) (changed bool) {
	switch {
	case lacks == s.lacks:
		s.changedSince = 0
	case s.changedSince == 0:
		s.changedSince = now
	case now-s.changedSince >= shortfallDelay:
		s.lacks, s.changedSince = lacks, 0
		return true
	}
	return false
}

// trackGuarantee updates whether a team lacks its guarantee; anyUnplaced reports whether it has unplaced tasks now.
func (sched *Scheduler) trackGuarantee(tm *team, anyUnplaced bool, now eventloop.Micros) {
	lacks := anyUnplaced && tm.cpus < shortfallFraction*tm.quota.CPUs
	if !tm.shortfall.observe(lacks, now) {
		return
	}
	text := "team has its guarantee again, or has no waiting work for it"
	if lacks {
		text = "team runs less than its guarantee while work waits"
	}
	sched.log.Info(text, "team", tm.cfg.Name, "cpus", tm.cpus, "guarantee", tm.quota.CPUs, "borrowed_by_others", sched.borrowed(tm))
}

// borrowed returns how many CPUs other teams run beyond their guarantees.
func (sched *Scheduler) borrowed(tm *team) (cpus float64) {
	for name, excess := range eventloop.Sorted(sched.teamExcess()) {
		if name != tm.cfg.Name {
			cpus += max(excess, 0)
		}
	}
	return cpus
}

// reserveGuarantee reserves capacity for a job that has waited long while its team runs less than its guarantee and
// other teams run more than theirs. Nothing is preempted: capacity that becomes free on the machine is kept from
// other teams. All waiting work of the team counts, including jobs that are not within the guarantee because earlier
// jobs of the team alone exceed it.
func (sched *Scheduler) reserveGuarantee(e *queueEntry, unplaced int, b *budget) {
	t := e.table
	now, cpus := sched.runner.Now(), t.job.Spec.CPUs
	if e.withinGuarantee || cpus <= 0 || now-t.acceptedAt < starvation.MinWait || !t.team.shortfall.lacks {
		return
	}
	unmet, known := b.unmetByTeam[t.team]
	if !known {
		unmet = sched.unmetGuarantee(t.team)
	}
	n := min(unplaced-sched.fleet.ReservationCount(t.job.ID), int(unmet/cpus))
	if !t.job.Spec.Gang {
		n = min(n, maxReserved)
	} else if n < t.waiting() {
		n = 0 // reserving for a part of a gang is useless
	}
	if n > 0 {
		unmet -= float64(sched.reserveCapacity(t, n)) * cpus
	}
	b.unmetByTeam[t.team] = unmet
}

// unmetGuarantee returns how much of a team's guarantee is neither in use nor reserved for it, limited to what other
// teams have borrowed.
func (sched *Scheduler) unmetGuarantee(tm *team) float64 {
	reserved := 0.0
	for id, n := range eventloop.Sorted(sched.fleet.ReservationCounts()) {
		if t := tm.jobs[id]; t != nil {
			reserved += float64(n) * t.job.Spec.CPUs
		}
	}
	return min(tm.quota.CPUs-tm.cpus, sched.borrowed(tm)) - reserved
}

// reserveCapacity reserves capacity for unplaced tasks of a job and returns for how many.
func (sched *Scheduler) reserveCapacity(t *jobTable, tasks int) int {
	need := t.need()
	reservations := sched.fleet.Reserve(&need, tasks, reservationLife)
	sched.recordReservations(reservations)
	sched.deps.Meter.Reserved(len(reservations))
	sched.starvation.RecordOrdinary(t.budgetClass(), float64(len(reservations))*t.job.Spec.CPUs)
	return len(reservations)
}
