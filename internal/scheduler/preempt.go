package scheduler

import (
	"cmp"
	"slices"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/fleet"
	"cleatpick/internal/peer"
	"cleatpick/internal/predicate"
)

// preemptionState holds the state of preemption between passes.
type preemptionState struct {
	nextRun         eventloop.Micros
	newReservations []peer.Reservation
}

// guaranteeWait is how long work within a guarantee waits for completing tasks to free capacity before others are
// preempted for it. Urgent work does not wait, since there is little of it and its latency limits are short.
const guaranteeWait = 3 * eventloop.Second

// turnoverSeconds is for how many seconds the rate of freed capacity is deducted from unplaced work before machines are
// rented. In a large cluster some task is unplaced at any time.
const turnoverSeconds = 1.0

// ReservationsReceived adds reservations that other owners made, and records which tasks of this owner they preempted.
func (sched *Scheduler) ReservationsReceived(cs []peer.Reservation) {
	for _, c := range cs {
		sched.fleet.AddReservation(c)
		sched.recordPreempted(c)
	}
}

// OwnReservations returns the reservations of the jobs owned here, for a peer that does not know them.
func (sched *Scheduler) OwnReservations() []peer.Reservation {
	return sched.fleet.ReservationsOf(func(id string) bool {
		j := sched.registry.Get(id)
		if j == nil || j.Spec == nil {
			return false
		}
		tm := sched.teams[j.Spec.Team]
		return tm != nil && tm.loaded
	})
}

// recordReservations records new reservations and queues them to be sent to the other owners.
func (sched *Scheduler) recordReservations(cs []peer.Reservation) {
	for i := range cs {
		sched.deps.Meter.Preempted(len(cs[i].Victims))
		if sched.deps.ReportCauses {
			sched.recordPreempted(cs[i])
		} else {
			cs[i].Victims = nil
		}
	}
	sched.preemption.newReservations = append(sched.preemption.newReservations, cs...)
}

// maxPreemptions bounds the preemptions of one pass, since each causes commands, reports and views.
const maxPreemptions = 64

// teamExcess returns how many CPUs each team runs beyond its guarantee; negative if it runs less.
func (sched *Scheduler) teamExcess() map[string]float64 {
	out := map[string]float64{}
	for _, c := range sched.cfg.Cluster.Teams {
		u := sched.usage[c.Name].CPUs
		if tm := sched.teams[c.Name]; tm != nil {
			u = tm.cpus
		}
		out[c.Name] = u - c.CPUs
	}
	return out
}

// preemptionRight returns what may be preempted for a task of the job.
func (sched *Scheduler) preemptionRight(e *queueEntry, b *budget) fleet.PreemptionRights {
	t := e.table
	if b.excess == nil {
		b.excess, b.shares = sched.teamExcess(), map[*team]map[*jobTable]float64{}
	}
	shares := b.shares[t.team]
	if shares == nil {
		shares = sched.guaranteeShares(t.team)
		b.shares[t.team] = shares
	}
	cpus := t.job.Spec.CPUs
	reserved := sched.fleet.ReservationCount(t.job.ID) // capacity for these is already reserved
	share := tasksWithin(shares[t]-float64(t.inUse)*cpus, cpus) - reserved
	// Two teams that both run beyond their guarantees must not preempt each other's work alternately: only a team
	// that uses less than its guarantee may claim capacity by it.
	remaining := t.team.quota.CPUs - t.team.cpus
	return fleet.PreemptionRights{WithinGuarantee: e.withinGuarantee && remaining >= cpus, InTeamShare: share > 0, TeamBelowGuarantee: remaining >= cpus,
		InTeamShareTasks: share, TeamBelowGuaranteeTasks: tasksWithin(remaining, cpus) - reserved, Excess: b.excess}
}

// tasksWithin returns how many tasks of the given CPUs a part of a guarantee covers.
func tasksWithin(part, each float64) int {
	switch {
	case part < each:
		return 0
	case each <= 0:
		return predicate.Unlimited
	}
	return int(part / each)
}

// guaranteeShares divides the guarantee of an owned team among its unfinished jobs, by priority and then by
// acceptance. Jobs blocked by a hold or a dependency have no share.
func (sched *Scheduler) guaranteeShares(tm *team) map[*jobTable]float64 {
	order := slices.Clone(tm.inOrder())
	slices.SortStableFunc(order, func(a, b *jobTable) int { return cmp.Compare(b.job.Spec.Priority, a.job.Spec.Priority) })
	shares := map[*jobTable]float64{}
	remaining := tm.quota.CPUs
	for _, t := range order {
		if remaining <= 0 {
			break
		}
		if t.job.Final() || sched.blocked(t) {
			continue
		}
		shares[t] = min(float64(t.job.Tasks-t.completed)*t.job.Spec.CPUs, remaining)
		remaining -= shares[t]
	}
	return shares
}

// jobsWithinGuarantee returns the jobs of an owned team that fit into its guarantee together with the team's earlier
// unfinished jobs. Blocked jobs do not count, except for the job also.
func (sched *Scheduler) jobsWithinGuarantee(tm *team, also *jobTable) map[*jobTable]bool {
	out := map[*jobTable]bool{}
	cpus, gpus := 0.0, 0.0
	for _, t := range tm.inOrder() {
		if t.job.Final() || (t != also && sched.blocked(t)) {
			continue
		}
		n := float64(t.job.Tasks - t.completed)
		cpus += n * t.job.Spec.CPUs
		gpus += n * t.job.Spec.GPUs
		if !tm.quota.Covers(cpus, gpus) {
			break
		}
		out[t] = true
	}
	return out
}
