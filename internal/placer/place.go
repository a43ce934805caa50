package placer

import (
	"cmp"
	"slices"

	"cleatpick/internal/agent"
	"cleatpick/internal/fleet"
	"cleatpick/internal/gate"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
)

// hostStart is a start with the host controller of its machine.
type hostStart struct {
	host  string
	start agent.Start
}

// queueEntry is a job with waiting tasks and its keys in the order of service.
type queueEntry struct {
	table           *jobTable
	withinGuarantee bool // within its team's guarantee
	queuedAt        loop.Micros
}

// rank orders by priority; urgent jobs come first, then those within their team's guarantee.
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
func (p *Scheduler) queue() []queueEntry {
	q := p.waitingJobs()
	slices.SortFunc(q, compareEntries)
	return q
}

// waitingJobs lists the jobs with waiting tasks, unordered.
func (p *Scheduler) waitingJobs() []queueEntry {
	var q []queueEntry
	for _, tm := range p.teams {
		if !tm.loaded {
			continue
		}
		var within map[*jobTable]bool
		for _, t := range tm.jobs {
			if !t.job.Final() && !t.completing && t.waiting() > 0 && p.eligible(t) {
				if within == nil {
					within = p.jobsWithinGuarantee(tm, nil)
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
func (t *jobTable) queuedAt() loop.Micros {
	s := t.job.Spec
	work := float64(t.job.Tasks-t.completed) * float64(s.Estimate) * s.CPUs
	return t.job.AcceptedAt + loop.Micros(2*work/t.team.quota.Weight)
}

// place runs a pass: it assigns waiting tasks to machines with free capacity and collects those that remain unplaced.
func (p *Scheduler) place() {
	began := p.runner.Now()
	q := p.queue()
	p.unplacedRequests = nil
	if len(q) == 0 {
		return
	}
	p.fleet.ExpireReservations()
	p.fleet.Refresh()
	now := p.runner.Now()
	freeSlots := p.fleet.Free()
	mayPreempt := now >= p.preemption.nextRun
	expected := p.turnover.Rate * p.expectedShare() * turnoverSeconds
	b := budget{preemptionsLeft: maxPreemptions, freedRate: p.turnover.Rate * p.expectedShare(), noVictims: map[preemptionKind]bool{}, unmetByTeam: map[*team]float64{}}
	var chosen []hostStart
	p.serveLongestWaiting(q, freeSlots, &chosen)
	full := map[fleet.Shape]bool{} // no machine has capacity for tasks of this shape
	for _, e := range q {
		t := e.table
		s := t.job.Spec
		facts := p.facts(t)
		allowed := facts.AllowedTasks(gate.Probation)
		if s.Gang && !p.gangFits(t) {
			allowed = 0
			p.unplacedRequests = append(p.unplacedRequests, p.request(t, t.waiting()))
		}
		sh, unconstrained := fleet.ShapeOf(s)
		if n := min(allowed, facts.AllowedTasks(gate.Limit)); n > 0 && (!full[sh] || p.fleet.ReservationCount(t.job.ID) > 0) {
			if mayPreempt && !full[sh] && s.Priority >= job.High && !s.Gang {
				p.preemptAtImage(&e, n, freeSlots, &b)
			}
			placed := p.placeInOrder(t, n, freeSlots, &chosen)
			allowed -= placed
			if placed < n && unconstrained && p.fleet.ReservationCount(t.job.ID) == 0 {
				full[sh] = true
			}
		}
		unplaced := p.waitingForCapacity(t)
		if s.Priority >= job.High && !full[sh] {
			unplaced = max(unplaced-p.fleet.ReservationCount(t.job.ID), 0) // capacity is free; the job waits for a better place
		}
		p.setUnplacedCause(t, unplaced > 0 && allowed > 0 || s.Gang && unplaced > 0)
		if unplaced <= 0 || allowed <= 0 {
			t.unplacedSince = 0
			continue
		}
		if t.unplacedSince == 0 {
			t.unplacedSince = now
			p.deps.Meter.Unplaced()
		}
		if mayPreempt {
			p.preemptFor(&e, unplaced, &b)
			// The search for victims scans the whole fleet, so its interval grows with its duration.
			done := p.runner.Now()
			p.preemption.nextRun = done + max(100*loop.Millisecond, 12*(done-now))
		}
		p.reserveGuarantee(&e, unplaced, &b)
		// Machines need not be rented for tasks for which completing tasks free capacity at once.
		if freedSoon := int(min(expected, float64(unplaced)*s.CPUs) / max(s.CPUs, 0.001)); freedSoon > 0 {
			expected -= float64(freedSoon) * s.CPUs
			unplaced -= freedSoon
		}
		if unplaced > 0 {
			p.unplacedRequests = append(p.unplacedRequests, p.request(t, unplaced))
		}
	}
	for _, c := range chosen {
		p.deps.Reserve(c.host, c.start) // last, since a host controller in this process answers with a new view
	}
	if len(p.preemption.newReservations) > 0 {
		p.deps.SendReservations(p.preemption.newReservations)
		p.preemption.newReservations = nil
	}
	p.lastPassTook = p.runner.Now() - began
	p.deps.Meter.PlacementPass(p.lastPassTook, len(chosen))
	p.log.Debug("placement pass finished", "tasks", len(chosen), "jobs", len(q), "missed", len(p.unplacedRequests), "took_us", p.lastPassTook)
}

// expectedShare returns the fraction of newly freed capacity that this owner may expect.
func (p *Scheduler) expectedShare() float64 {
	all := len(p.cfg.Cluster.Teams)
	if p.deps.Membership != nil && p.deps.Membership.Layout().Numbered() {
		all = p.deps.Membership.Layout().Count
	}
	return float64(len(p.partitions)) / float64(max(all, 1))
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
func (p *Scheduler) preemptFor(e *queueEntry, unplaced int, b *budget) {
	t := e.table
	s := t.job.Spec
	now := p.runner.Now()
	n := unplaced
	right := p.preemptionRight(e, b)
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
	n -= p.fleet.ReservationCount(t.job.ID) // capacity for these is already reserved
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
	reservations := p.fleet.Preempt(&need, n, right)
	preempted := len(reservations)
	p.recordReservations(reservations)
	b.preemptionsLeft -= preempted
	if preempted < n && unconstrained {
		b.noVictims[key] = true
	}
}

// preemptAtImage preempts tasks on machines that hold the job's image, for urgent tasks that would otherwise start
// where the image must be fetched. A fetch takes longer than stopping tasks that have just begun.
func (p *Scheduler) preemptAtImage(e *queueEntry, n int, freeSlots []*fleet.Machine, b *budget) {
	t := e.table
	need := t.need()
	lacking := min(n-p.fleet.CountFittingWithImage(need, n, freeSlots)-p.fleet.ReservationCount(t.job.ID), b.preemptionsLeft)
	if lacking <= 0 {
		return
	}
	reservations := p.fleet.PreemptForCachedImage(&need, lacking, p.preemptionRight(e, b))
	p.recordReservations(reservations)
	b.preemptionsLeft -= len(reservations)
}

// placeTasks places up to n waiting tasks of a job and returns how many it placed.
func (p *Scheduler) placeTasks(t *jobTable, n int, slots []*fleet.Machine, chosen *[]hostStart) int {
	s, got, need := t.job.Spec, 0, t.need()
	if s.CPUs <= 0 {
		slots = p.fleet.All()
	}
	// Urgent tasks with a reservation wait for the reserved capacity and use no other.
	elsewhere := n
	if s.Priority >= job.High {
		elsewhere = n - p.fleet.ReservationCount(t.job.ID)
	}
	for _, sl := range p.fleet.Ranked(&need, slots) {
		for got < n && sl.Fits(&need) {
			if !sl.HasReservation(t.job.ID) {
				if elsewhere <= 0 {
					break
				}
				elsewhere--
			}
			i := t.popWaiting()
			x := t.task(i)
			x.attempt++
			x.machine, x.session, x.expiry, x.runningSince = sl.View.Name, sl.View.Session, 0, 0
			x.chosenAt = p.runner.Now()
			sl.Allocate(s)
			p.fleet.ConsumeReservation(sl, t.job.ID)
			p.setTask(t, i, Recording)
			*chosen = append(*chosen, hostStart{sl.View.Host, agent.Start{Machine: x.machine, Session: x.session, Task: t.taskName(i), Attempt: x.attempt, From: p.deps.Label}})
			p.queueStart(t, i)
			got++
		}
		if got == n {
			break
		}
	}
	p.fleet.TrimReservations(t.job.ID, t.waiting())
	return got
}

// request describes n unplaced tasks of a job for the leader.
func (p *Scheduler) request(t *jobTable, n int) peer.Request {
	s := t.job.Spec
	w := peer.Request{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Types: s.Types, AnyType: s.AnyType,
		Zone: s.Zone, Spot: s.Spot, Priority: int(s.Priority), Count: n, RunTime: s.Estimate, OneZone: s.OneZone, Spread: s.Spread}
	if s.OneZone || s.Spread {
		w.Tasks = t.job.Tasks
		for z, n := range loop.Sorted(t.zones) {
			w.ByZone = append(w.ByZone, peer.ZoneTasks{Zone: z, Tasks: n})
		}
	}
	return w
}

// gangFits reports whether all waiting tasks of a gang fit at once and no task of an earlier start is in use.
func (p *Scheduler) gangFits(t *jobTable) bool {
	n := t.waiting()
	return t.inUse == 0 && p.waitingForCapacity(t) >= n && p.fleet.CountFitting(t.need(), n, p.fleet.All()) == n
}

// waitingForCapacity returns how many tasks of a job wait for capacity rather than for their team's limit.
func (p *Scheduler) waitingForCapacity(t *jobTable) int {
	f := p.facts(t)
	return f.AllowedTasks(gate.Limit)
}

// Faulty reports whether a machine should be replaced because tasks fail on it.
func (p *Scheduler) Faulty(machine string) bool { return p.attribution.ShouldReplace(machine) }
