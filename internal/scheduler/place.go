package scheduler

import (
	"cmp"
	"slices"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/fleet"
	"cleatpick/internal/job"
	"cleatpick/internal/peer"
	"cleatpick/internal/predicate"
	"cleatpick/internal/workers"
)

// hostStart is a start with the host controller of its machine.
type hostStart struct {
	host  string
	start workers.Start
}

// queueEntry is a job with waiting tasks and its keys in the order of service.
type queueEntry struct {
	table           *jobTable
	withinGuarantee bool // within its team's guarantee
	queuedAt        eventloop.Micros
}

// rank returns the job's rank in the order of service, the highest first. Urgent jobs (priority High and above) precede
// all others; in each of the two groups, jobs within their team's guarantee come first, and then priority decides.
func (e *queueEntry) rank() int {
	p := int(e.table.job.Spec.Priority)
	if p >= int(job.High) {
		p += 10
	}
	if e.withinGuarantee {
		p += 5
	}
	return p
}

// queue lists the jobs with waiting tasks in the order of service.
func (sched *Scheduler) queue() []queueEntry {
	q := sched.waitingJobs()
	slices.SortFunc(q, compareEntries)
	return q
}

// waitingJobs lists the jobs with waiting tasks, unordered.
func (sched *Scheduler) waitingJobs() []queueEntry {
	var q []queueEntry
	for _, tm := range sched.teams {
		if !tm.loaded {
			continue
		}
		var within map[*jobTable]bool
		for _, t := range tm.jobs {
			if !t.job.Final() && !t.completing && t.waiting() > 0 && sched.eligible(t) {
				if within == nil {
					within = sched.jobsWithinGuarantee(tm, nil)
				}
				q = append(q, queueEntry{t, within[t], t.queuedAt()})
			}
		}
	}
	return q
}

// compareEntries defines the order of service.
func compareEntries(e, o queueEntry) int {
	return cmp.Or(cmp.Compare(o.rank(), e.rank()), cmp.Compare(e.queuedAt, o.queuedAt), cmp.Compare(e.table.job.ID, o.table.job.ID))
}

// precedes reports whether e is served before o.
func (e *queueEntry) precedes(o *queueEntry) bool { return compareEntries(*e, *o) < 0 }

// queuedAt returns the time by which jobs of one rank are ordered: the time of acceptance plus twice the time that the
// job's remaining work occupies its team's share. A small job may therefore overtake an earlier large one.
func (t *jobTable) queuedAt() eventloop.Micros {
	s := t.job.Spec
	work := float64(t.job.Tasks-t.completed) * float64(s.Estimate) * s.CPUs
	return t.job.AcceptedAt + eventloop.Micros(2*work/t.team.quota.Weight)
}

// place runs a pass: it assigns waiting tasks to machines with free capacity and collects those that remain unplaced.
func (sched *Scheduler) place() {
	began := sched.runner.Now()
	q := sched.queue()
	sched.unplacedRequests = nil
	if len(q) == 0 {
		return
	}
	sched.fleet.ExpireReservations()
	sched.fleet.Refresh()
	now := sched.runner.Now()
	freeSlots := sched.fleet.Free()
	mayPreempt := now >= sched.preemption.nextRun
	expected := sched.turnover.Rate * sched.expectedShare() * turnoverSeconds
	b := budget{preemptionsLeft: maxPreemptions, freedRate: sched.turnover.Rate * sched.expectedShare(), noVictims: map[preemptionKind]bool{}, unmetByTeam: map[*team]float64{}}
	var chosen []hostStart
	sched.serveLongestWaiting(q, freeSlots, &chosen)
	full := map[fleet.Shape]bool{} // no machine has capacity for tasks of this shape
	for _, e := range q {
		t := e.table
		s := t.job.Spec
		facts := sched.facts(t)
		allowed := facts.AllowedTasks(predicate.Probation)
		if s.Gang && !sched.gangFits(t) {
			allowed = 0
			sched.unplacedRequests = append(sched.unplacedRequests, sched.request(t, t.waiting()))
		}
		sh, unconstrained := fleet.ShapeOf(s)
		if n := min(allowed, facts.AllowedTasks(predicate.Limit)); n > 0 && (!full[sh] || sched.fleet.ReservationCount(t.job.ID) > 0) {
			if mayPreempt && !full[sh] && s.Priority >= job.High && !s.Gang {
				sched.preemptAtImage(&e, n, freeSlots, &b)
			}
			placed := sched.placeInOrder(t, n, freeSlots, &chosen)
			allowed -= placed
			if placed < n && unconstrained && sched.fleet.ReservationCount(t.job.ID) == 0 {
				full[sh] = true
			}
		}
		unplaced := sched.waitingForCapacity(t)
		if s.Priority >= job.High && !full[sh] {
			unplaced = max(unplaced-sched.fleet.ReservationCount(t.job.ID), 0) // capacity is free; the job waits for a better place
		}
		sched.setUnplacedCause(t, unplaced > 0 && allowed > 0 || s.Gang && unplaced > 0)
		if unplaced <= 0 || allowed <= 0 {
			t.unplacedSince = 0
			continue
		}
		if t.unplacedSince == 0 {
			t.unplacedSince = now
			sched.deps.Meter.Unplaced()
		}
		if mayPreempt {
			sched.preemptFor(&e, unplaced, &b)
			// The search for victims scans the whole fleet, so its interval grows with its duration.
			done := sched.runner.Now()
			sched.preemption.nextRun = done + max(100*eventloop.Millisecond, 12*(done-now))
		}
		sched.reserveGuarantee(&e, unplaced, &b)
		// Machines need not be rented for tasks for which completing tasks free capacity at once.
		if freedSoon := int(min(expected, float64(unplaced)*s.CPUs) / max(s.CPUs, 0.001)); freedSoon > 0 {
			expected -= float64(freedSoon) * s.CPUs
			unplaced -= freedSoon
		}
		if unplaced > 0 {
			sched.unplacedRequests = append(sched.unplacedRequests, sched.request(t, unplaced))
		}
	}
	for _, c := range chosen {
		sched.deps.Reserve(c.host, c.start) // last, since a host controller in this process answers with a new view
	}
	if len(sched.preemption.newReservations) > 0 {
		sched.deps.SendReservations(sched.preemption.newReservations)
		sched.preemption.newReservations = nil
	}
	sched.lastPassTook = sched.runner.Now() - began
	sched.deps.Meter.PlacementPass(sched.lastPassTook, len(chosen))
	sched.log.Debug("placement pass finished", "tasks", len(chosen), "jobs", len(q), "missed", len(sched.unplacedRequests), "took_us", sched.lastPassTook)
}

// expectedShare returns the fraction of newly freed capacity that this owner may expect.
func (sched *Scheduler) expectedShare() float64 {
	all := len(sched.cfg.Cluster.Teams)
	if sched.deps.Membership != nil && sched.deps.Membership.Layout().Numbered() {
		all = sched.deps.Membership.Layout().Count
	}
	return float64(len(sched.partitions)) / float64(max(all, 1))
}

// budget limits a pass: how many tasks it may still preempt, and how much capacity it expects without preemption.
type budget struct {
	preemptionsLeft int
	freedRate       float64 // CPUs per second that are freed by tasks that complete
	freedClaimed    float64 // CPUs of these already counted for earlier jobs
	excess          map[string]float64
	shares          map[*team]map[*jobTable]float64
	noVictims       map[preemptionKind]bool // kinds of request for which no victim was found
	// unmetByTeam holds by team for how many CPUs of its guarantee capacity may still be reserved.
	unmetByTeam map[*team]float64
}

// preemptionKind describes a kind of request for preemption, as far as it decides whether victims exist.
type preemptionKind struct {
	shape           fleet.Shape
	team            string
	withinGuarantee bool
	share           bool
	withinQuota     bool
}

// preemptFor preempts tasks for a job's unplaced ones where the rules allow it, but only as far as completing tasks
// will not free the capacity in time.
func (sched *Scheduler) preemptFor(e *queueEntry, unplaced int, b *budget) {
	t := e.table
	s := t.job.Spec
	now := sched.runner.Now()
	n := unplaced
	right := sched.preemptionRight(e, b)
	within := right.WithinGuarantee
	if remaining := t.team.quota.CPUs - t.team.cpus; within && s.CPUs > 0 {
		n = min(n, int(remaining/s.CPUs))
	}
	maxWait := guaranteeWait
	if s.Priority >= job.High {
		maxWait = 0
	} else if !within {
		return
	}
	n -= sched.fleet.ReservationCount(t.job.ID) // capacity for these is already reserved
	if n > 0 && s.CPUs > 0 {
		expected := max(b.freedRate*float64(maxWait-(now-t.unplacedSince))/1e6-b.freedClaimed, 0)
		covered := min(int(expected/s.CPUs), n)
		b.freedClaimed += float64(covered) * s.CPUs
		n -= covered
	}
	sh, unconstrained := fleet.ShapeOf(s)
	key := preemptionKind{sh, s.Team, within, right.InTeamShare, right.TeamBelowGuarantee}
	if n = min(n, b.preemptionsLeft); n <= 0 || b.noVictims[key] {
		return
	}
	need := t.need()
	reservations := sched.fleet.Preempt(&need, n, right)
	preempted := len(reservations)
	sched.recordReservations(reservations)
	b.preemptionsLeft -= preempted
	if preempted < n && unconstrained {
		b.noVictims[key] = true
	}
}

// preemptAtImage preempts tasks on machines that hold the job's image, for urgent tasks that would otherwise start
// where the image must be fetched. A fetch takes longer than stopping tasks that have just begun.
func (sched *Scheduler) preemptAtImage(e *queueEntry, n int, freeSlots []*fleet.Machine, b *budget) {
	t := e.table
	need := t.need()
	lacking := min(n-sched.fleet.CountFittingWithImage(need, n, freeSlots)-sched.fleet.ReservationCount(t.job.ID), b.preemptionsLeft)
	if lacking <= 0 {
		return
	}
	reservations := sched.fleet.PreemptForCachedImage(&need, lacking, sched.preemptionRight(e, b))
	sched.recordReservations(reservations)
	b.preemptionsLeft -= len(reservations)
}

// placeTasks places up to n waiting tasks of a job and returns how many it placed.
func (sched *Scheduler) placeTasks(t *jobTable, n int, machines []*fleet.Machine, chosen *[]hostStart) int {
	s, got, need := t.job.Spec, 0, t.need()
	if s.CPUs <= 0 {
		machines = sched.fleet.All()
	}
	// Urgent tasks with a reservation wait for the reserved capacity and use no other.
	elsewhere := n
	if s.Priority >= job.High {
		elsewhere = n - sched.fleet.ReservationCount(t.job.ID)
	}
	for _, m := range sched.fleet.Ranked(&need, machines) {
		for got < n && m.Fits(&need) {
			if !m.HasReservation(t.job.ID) {
				if elsewhere <= 0 {
					break
				}
				elsewhere--
			}
			i := t.popWaiting()
			x := t.task(i)
			x.attempt++
			x.machine, x.session, x.expiry, x.runningSince = m.View.Name, m.View.Session, 0, 0
			x.chosenAt = sched.runner.Now()
			m.Allocate(s)
			sched.fleet.ConsumeReservation(m, t.job.ID)
			sched.setTask(t, i, Recording)
			*chosen = append(*chosen, hostStart{m.View.Host, workers.Start{Machine: x.machine, Session: x.session, Task: t.taskName(i), Attempt: x.attempt, From: sched.deps.Label}})
			sched.queueStart(t, i)
			got++
		}
		if got == n {
			break
		}
	}
	sched.fleet.TrimReservations(t.job.ID, t.waiting())
	return got
}

// request describes n unplaced tasks of a job for the leader.
func (sched *Scheduler) request(t *jobTable, n int) peer.Request {
	s := t.job.Spec
	w := peer.Request{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Types: s.Types, AnyType: s.AnyType,
		Zone: s.Zone, Spot: s.Spot, Priority: int(s.Priority), Count: n, RunTime: s.Estimate, OneZone: s.OneZone, Spread: s.Spread}
	if s.OneZone || s.Spread {
		w.Tasks = t.job.Tasks
		for z, n := range eventloop.Sorted(t.zones) {
			w.ByZone = append(w.ByZone, peer.ZoneTasks{Zone: z, Tasks: n})
		}
	}
	return w
}

// gangFits reports whether all waiting tasks of a gang fit at once and no task of an earlier start is in use.
func (sched *Scheduler) gangFits(t *jobTable) bool {
	n := t.waiting()
	return t.inUse == 0 && sched.waitingForCapacity(t) >= n && sched.fleet.CountFitting(t.need(), n, sched.fleet.All()) == n
}

// waitingForCapacity returns how many tasks of a job wait for capacity rather than for their team's limit.
func (sched *Scheduler) waitingForCapacity(t *jobTable) int {
	f := sched.facts(t)
	return f.AllowedTasks(predicate.Limit)
}

// Faulty reports whether a machine should be replaced because tasks fail on it.
func (sched *Scheduler) Faulty(machine string) bool { return sched.attribution.ShouldReplace(machine) }
