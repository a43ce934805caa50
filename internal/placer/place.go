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

// entryOf is a job with waiting tasks and its keys in the order of service.
type entryOf struct {
	t      *table
	within bool // within its team's guarantee
	turn   loop.Micros
}

// rank orders by priority; urgent jobs come first, then those within their team's guarantee.
func (e *entryOf) rank() int {
	p := int(e.t.j.Spec.Priority)
	if p >= int(job.High) {
		p += 10
	}
	if e.within {
		p += 5
	}
	return p
}

// queue lists the jobs with waiting tasks in the order of service.
func (p *Placer) queue() []entryOf {
	q := p.waiting()
	slices.SortFunc(q, compare)
	return q
}

// waiting lists the jobs with waiting tasks, unordered.
func (p *Placer) waiting() []entryOf {
	var q []entryOf
	for _, tm := range p.teams {
		if !tm.loaded {
			continue
		}
		var within map[*table]bool
		for _, t := range tm.jobs {
			if !t.j.Final() && !t.closing && t.waiting() > 0 && p.open(t) {
				if within == nil {
					within = p.guaranteed(tm, nil)
				}
				q = append(q, entryOf{t, within[t], t.turn()})
			}
		}
	}
	return q
}

// compare defines the order of service.
func compare(e, o entryOf) int {
	return cmp.Or(cmp.Compare(o.rank(), e.rank()), cmp.Compare(e.turn, o.turn), cmp.Compare(e.t.j.ID, o.t.j.ID))
}

// before reports whether e is served before o.
func (e *entryOf) before(o *entryOf) bool { return compare(*e, *o) < 0 }

// turn returns the time by which jobs of one rank are ordered: the time of acceptance plus twice the time that the
// job's remaining work occupies its team's share. A small job may therefore overtake an earlier large one.
func (t *table) turn() loop.Micros {
	s := t.j.Spec
	work := float64(t.j.Tasks-t.completed) * float64(s.Estimate) * s.CPUs
	return t.j.At + loop.Micros(2*work/t.team.quota.Weight)
}

// place runs a pass: it assigns waiting tasks to machines with free capacity and collects those that remain unplaced.
func (p *Placer) place() {
	began := p.r.Now()
	q := p.queue()
	p.lastWant = nil
	if len(q) == 0 {
		return
	}
	p.fleet.ExpireReservations()
	p.fleet.Refresh()
	now := p.r.Now()
	open := p.fleet.Free()
	stops := now >= p.pre.nextRun
	hope := p.turn.Rate * p.share() * rentPatience
	b := budget{left: mostStops, hope: p.turn.Rate * p.share(), vain: map[stopKey]bool{}, unmet: map[*team]float64{}}
	var chosen []hostStart
	p.serveLongestWaiting(q, open, &chosen)
	full := map[fleet.Shape]bool{} // no machine has capacity for tasks of this shape
	for _, e := range q {
		t := e.t
		s := t.j.Spec
		facts := p.facts(t)
		probe := facts.Passes(gate.Probe)
		if s.Gang && !p.gangFits(t) {
			probe = 0
			p.lastWant = append(p.lastWant, p.want(t, t.waiting()))
		}
		sh, free := fleet.ShapeOf(s)
		if n := min(probe, facts.Passes(gate.Limit)); n > 0 && (!full[sh] || p.fleet.ReservationCount(t.j.ID) > 0) {
			if stops && !full[sh] && s.Priority >= job.High && !s.Gang {
				p.goToImage(&e, n, open, &b)
			}
			got := p.fillInTurn(t, n, open, &chosen)
			probe -= got
			if got < n && free && p.fleet.ReservationCount(t.j.ID) == 0 {
				full[sh] = true
			}
		}
		missed := p.missed(t)
		if s.Priority >= job.High && !full[sh] {
			missed = max(missed-p.fleet.ReservationCount(t.j.ID), 0) // capacity is free; the job waits for a better place
		}
		p.setShort(t, missed > 0 && probe > 0 || s.Gang && missed > 0)
		if missed <= 0 || probe <= 0 {
			t.missing = 0
			continue
		}
		if t.missing == 0 {
			t.missing = now
			p.n.Meter.Miss()
		}
		if stops {
			p.makeRoom(&e, missed, &b)
			// The search for victims scans the whole fleet, so its interval grows with its duration.
			done := p.r.Now()
			p.pre.nextRun = done + max(100*loop.Millisecond, 12*(done-now))
		}
		p.holdGuaranteed(&e, missed, &b)
		// Machines need not be rented for tasks for which completing tasks free capacity at once.
		if soon := int(min(hope, float64(missed)*s.CPUs) / max(s.CPUs, 0.001)); soon > 0 {
			hope -= float64(soon) * s.CPUs
			missed -= soon
		}
		if missed > 0 {
			p.lastWant = append(p.lastWant, p.want(t, missed))
		}
	}
	for _, c := range chosen {
		p.n.Reserve(c.host, c.start) // last, since a host controller in this process answers with a new view
	}
	if len(p.pre.news) > 0 {
		p.n.Claims(p.pre.news)
		p.pre.news = nil
	}
	p.took = p.r.Now() - began
	p.n.Meter.Pass(p.took, len(chosen))
	p.log.Debug("placement pass finished", "tasks", len(chosen), "jobs", len(q), "missed", len(p.lastWant), "took_us", p.took)
}

// share returns the fraction of newly freed capacity that this owner may expect.
func (p *Placer) share() float64 {
	all := len(p.cfg.Cluster.Teams)
	if p.n.Membership != nil && p.n.Membership.Layout().Numbered() {
		all = p.n.Membership.Layout().Count
	}
	return float64(len(p.partitions)) / float64(max(all, 1))
}

// budget limits a pass: how many tasks it may still preempt, and how much capacity it expects without preemption.
type budget struct {
	left   int
	hope   float64 // CPUs per second that are freed by tasks that complete
	spoken float64 // CPUs of these already counted for earlier jobs
	excess map[string]float64
	shares map[*team]map[*table]float64
	vain   map[stopKey]bool // kinds of request for which no victim was found
	// unmet holds by team for how many CPUs of its guarantee capacity may still be reserved.
	unmet map[*team]float64
}

// stopKey describes a kind of request for preemption, as far as it decides whether victims exist.
type stopKey struct {
	shape  fleet.Shape
	team   string
	within bool
	share  bool
	room   bool
}

// makeRoom preempts tasks for a job's unplaced ones where the rules allow it, but only as far as completing tasks
// will not free the capacity in time.
func (p *Placer) makeRoom(e *entryOf, missed int, b *budget) {
	t := e.t
	s := t.j.Spec
	now := p.r.Now()
	n := missed
	right := p.right(e, b)
	within := right.WithinGuarantee
	if room := t.team.quota.CPUs - t.team.cpus; within && s.CPUs > 0 {
		n = min(n, int(room/s.CPUs))
	}
	patience := withinPatience
	if s.Priority >= job.High {
		patience = 0
	} else if !within {
		return
	}
	n -= p.fleet.ReservationCount(t.j.ID) // capacity for these is already reserved
	if n > 0 && s.CPUs > 0 {
		hope := max(b.hope*float64(patience-(now-t.missing))/1e6-b.spoken, 0)
		by := min(int(hope/s.CPUs), n)
		b.spoken += float64(by) * s.CPUs
		n -= by
	}
	sh, free := fleet.ShapeOf(s)
	key := stopKey{sh, s.Team, within, right.InTeamShare, right.TeamBelowGuarantee}
	if n = min(n, b.left); n <= 0 || b.vain[key] {
		return
	}
	need := t.need()
	claims := p.fleet.Preempt(&need, n, right)
	made := len(claims)
	p.claimed(claims)
	b.left -= made
	if made < n && free {
		b.vain[key] = true
	}
}

// goToImage preempts tasks on machines that hold the job's image, for urgent tasks that would otherwise start where
// the image must be fetched. A fetch takes longer than stopping tasks that have just begun.
func (p *Placer) goToImage(e *entryOf, n int, open []*fleet.Machine, b *budget) {
	t := e.t
	need := t.need()
	short := min(n-p.fleet.CountFittingWithImage(need, n, open)-p.fleet.ReservationCount(t.j.ID), b.left)
	if short <= 0 {
		return
	}
	claims := p.fleet.PreemptForCachedImage(&need, short, p.right(e, b))
	p.claimed(claims)
	b.left -= len(claims)
}

// fill places up to n waiting tasks of a job and returns how many it placed.
func (p *Placer) fill(t *table, n int, free []*fleet.Machine, chosen *[]hostStart) int {
	s, got, need := t.j.Spec, 0, t.need()
	if s.CPUs <= 0 {
		free = p.fleet.All()
	}
	// Urgent tasks with a reservation wait for the reserved capacity and use no other.
	elsewhere := n
	if s.Priority >= job.High {
		elsewhere = n - p.fleet.ReservationCount(t.j.ID)
	}
	for _, sl := range p.fleet.Ranked(&need, free) {
		for got < n && sl.Takes(&need) {
			if !sl.HasReservation(t.j.ID) {
				if elsewhere <= 0 {
					break
				}
				elsewhere--
			}
			i := t.pop()
			x := t.task(i)
			x.attempt++
			x.machine, x.session, x.expiry, x.since = sl.V.Name, sl.V.Session, 0, 0
			x.chosen = p.r.Now()
			sl.Allocate(s)
			p.fleet.ConsumeReservation(sl, t.j.ID)
			p.setTask(t, i, Recording)
			*chosen = append(*chosen, hostStart{sl.V.Host, agent.Start{Machine: x.machine, Session: x.session, Task: t.name(i), Attempt: x.attempt, From: p.n.Label}})
			p.recordStart(t, i)
			got++
		}
		if got == n {
			break
		}
	}
	p.fleet.TrimReservations(t.j.ID, t.waiting())
	return got
}

func (p *Placer) want(t *table, n int) peer.Want {
	s := t.j.Spec
	w := peer.Want{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Types: s.Types, AnyType: s.AnyType,
		Zone: s.Zone, Spot: s.Spot, Priority: int(s.Priority), Count: n, Run: s.Estimate, OneZone: s.OneZone, Spread: s.Spread}
	if s.OneZone || s.Spread {
		w.Tasks = t.j.Tasks
		for z, n := range loop.Sorted(t.zones) {
			w.In = append(w.In, peer.InZone{Zone: z, Tasks: n})
		}
	}
	return w
}

// gangFits reports whether all waiting tasks of a gang fit at once and no task of an earlier start is in use.
func (p *Placer) gangFits(t *table) bool {
	n := t.waiting()
	return t.inUse == 0 && p.missed(t) >= n && p.fleet.CountFitting(t.need(), n, p.fleet.All()) == n
}

// missed returns how many tasks of a job wait for capacity rather than for their team's limit.
func (p *Placer) missed(t *table) int {
	f := p.facts(t)
	return f.Passes(gate.Limit)
}

// Faulty reports whether a machine should be replaced because tasks fail on it.
func (p *Placer) Faulty(machine string) bool { return p.blame.Faulty(machine) }
