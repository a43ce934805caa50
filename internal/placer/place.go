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

type hostStart struct {
	host  string
	start agent.Start
}

// entryOf is a job with waiting tasks in the order of service.
type entryOf struct {
	t      *table
	within bool // within its team's guarantee
	turn   loop.Micros
}

// rank: what is urgent goes first, then what lies within a guarantee.
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

// queue lists the jobs with waiting tasks in the order in which they are served.
func (p *Placer) queue() []entryOf {
	q := p.waiting()
	slices.SortFunc(q, compare)
	return q
}

// waiting lists the jobs with waiting tasks in no order.
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

// compare orders jobs as they are served.
func compare(e, o entryOf) int {
	return cmp.Or(cmp.Compare(o.rank(), e.rank()), cmp.Compare(e.turn, o.turn), cmp.Compare(e.t.j.ID, o.t.j.ID))
}

// before tells whether e is served before o.
func (e *entryOf) before(o *entryOf) bool { return compare(*e, *o) < 0 }

// turn orders jobs of one rank: first come, first served, but a small job may
// overtake a large one by the time that the larger work takes its team.
func (t *table) turn() loop.Micros {
	s := t.j.Spec
	work := float64(t.j.Tasks-t.completed) * float64(s.Estimate) * s.CPUs
	return t.j.At + loop.Micros(2*work/t.team.quota.Weight)
}

// place gives waiting tasks to machines with free room; those that find none are misses.
func (p *Placer) place() {
	began := p.r.Now()
	q := p.queue()
	p.lastWant = nil
	if len(q) == 0 {
		return
	}
	p.fleet.ExpireClaims()
	p.fleet.Refresh()
	now := p.r.Now()
	open := p.fleet.Free()
	stops := now >= p.pre.nextRun
	hope := p.turn.Rate * p.share() * rentPatience
	b := budget{left: mostStops, hope: p.turn.Rate * p.share(), vain: map[stopKey]bool{}, unmet: map[*team]float64{}}
	var chosen []hostStart
	p.serveLongestWaiting(q, open, &chosen)
	full := map[fleet.Shape]bool{} // nothing has room for tasks of this shape
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
		if n := min(probe, facts.Passes(gate.Limit)); n > 0 && (!full[sh] || p.fleet.Held(t.j.ID) > 0) {
			if stops && !full[sh] && s.Priority >= job.High && !s.Gang {
				p.goToImage(&e, n, open, &b)
			}
			got := p.fillInTurn(t, n, open, &chosen)
			probe -= got
			if got < n && free && p.fleet.Held(t.j.ID) == 0 {
				full[sh] = true
			}
		}
		missed := p.missed(t)
		if s.Priority >= job.High && !full[sh] {
			missed = max(missed-p.fleet.Held(t.j.ID), 0) // there is room; it waits for a better one
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
			// Looking for what to stop goes through the whole fleet: the longer that
			// takes, the less often it is done.
			done := p.r.Now()
			p.pre.nextRun = done + max(100*loop.Millisecond, 12*(done-now))
		}
		p.holdGuaranteed(&e, missed, &b)
		// What turnover frees at once need not be rented.
		if soon := int(min(hope, float64(missed)*s.CPUs) / max(s.CPUs, 0.001)); soon > 0 {
			hope -= float64(soon) * s.CPUs
			missed -= soon
		}
		if missed > 0 {
			p.lastWant = append(p.lastWant, p.want(t, missed))
		}
	}
	for _, c := range chosen {
		p.n.Reserve(c.host, c.start) // last, since a local host answers with a new view
	}
	if len(p.pre.news) > 0 {
		p.n.Claims(p.pre.news)
		p.pre.news = nil
	}
	p.took = p.r.Now() - began
	p.n.Meter.Pass(p.took, len(chosen))
	p.log.Debug("placed", "tasks", len(chosen), "jobs", len(q), "missed", len(p.lastWant), "took_us", p.took)
}

// share is the part of what falls free that this owner may hope for.
func (p *Placer) share() float64 {
	all := len(p.cfg.Cluster.Teams)
	if p.n.Membership != nil && p.n.Membership.Layout().Numbered() {
		all = p.n.Membership.Layout().Count
	}
	return float64(len(p.partitions)) / float64(max(all, 1))
}

// budget is what a pass may still stop, and still hopes for without.
type budget struct {
	left   int
	hope   float64 // CPUs a second that fall free by themselves
	spoken float64 // how many of them are spoken for by jobs before
	excess map[string]float64
	shares map[*team]map[*table]float64
	vain   map[stopKey]bool // nothing could be stopped for such jobs
	// unmet is for how many CPUs of its guarantee room may still be held for each team.
	unmet map[*team]float64
}

type stopKey struct {
	shape  fleet.Shape
	team   string
	within bool
	share  bool
	room   bool
}

// makeRoom stops other work for a job's misses where the rules allow it, but only as
// far as turnover will not free the room in time.
func (p *Placer) makeRoom(e *entryOf, missed int, b *budget) {
	t := e.t
	s := t.j.Spec
	now := p.r.Now()
	n := missed
	right := p.right(e, b)
	within := right.Guarantee
	if room := t.team.quota.CPUs - t.team.cpus; within && s.CPUs > 0 {
		n = min(n, int(room/s.CPUs))
	}
	patience := withinPatience
	if s.Priority >= job.High {
		patience = 0
	} else if !within {
		return
	}
	n -= p.fleet.Held(t.j.ID) // room for these is being made already
	if n > 0 && s.CPUs > 0 {
		hope := max(b.hope*float64(patience-(now-t.missing))/1e6-b.spoken, 0)
		by := min(int(hope/s.CPUs), n)
		b.spoken += float64(by) * s.CPUs
		n -= by
	}
	sh, free := fleet.ShapeOf(s)
	key := stopKey{sh, s.Team, within, right.Share, right.Room}
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

// goToImage lets urgent tasks that would find room, but not where their image is, go
// there: a fetch takes longer than it takes to stop what has just begun.
func (p *Placer) goToImage(e *entryOf, n int, open []*fleet.Slot, b *budget) {
	t := e.t
	need := t.need()
	short := min(n-p.fleet.AtImage(need, n, open)-p.fleet.Held(t.j.ID), b.left)
	if short <= 0 {
		return
	}
	claims := p.fleet.PreemptAtImage(&need, short, p.right(e, b))
	p.claimed(claims)
	b.left -= len(claims)
}

// fill places up to n waiting tasks of a job and tells how many found room.
func (p *Placer) fill(t *table, n int, free []*fleet.Slot, chosen *[]hostStart) int {
	s, got, need := t.j.Spec, 0, t.need()
	if s.CPUs <= 0 {
		free = p.fleet.All()
	}
	// Urgent tasks for which room is being made wait for it, and take no other.
	elsewhere := n
	if s.Priority >= job.High {
		elsewhere = n - p.fleet.Held(t.j.ID)
	}
	for _, sl := range p.fleet.Ranked(&need, free) {
		for got < n && sl.Takes(&need) {
			if !sl.Claimed(t.j.ID) {
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
			sl.Take(s)
			p.fleet.UseClaim(sl, t.j.ID)
			p.setTask(t, i, Recording)
			*chosen = append(*chosen, hostStart{sl.V.Host, agent.Start{Machine: x.machine, Session: x.session, Task: t.name(i), Attempt: x.attempt, From: p.n.Label}})
			p.recordStart(t, i)
			got++
		}
		if got == n {
			break
		}
	}
	p.fleet.Spare(t.j.ID, t.waiting())
	return got
}

func (p *Placer) want(t *table, n int) peer.Request {
	s := t.j.Spec
	w := peer.Request{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Types: s.Types, AnyType: s.AnyType,
		Zone: s.Zone, Spot: s.Spot, Priority: int(s.Priority), Count: n, RunTime: s.Estimate, OneZone: s.OneZone, Spread: s.Spread}
	if s.OneZone || s.Spread {
		w.Tasks = t.j.Tasks
		for z, n := range loop.Sorted(t.zones) {
			w.ByZone = append(w.ByZone, peer.ZoneTasks{Zone: z, Tasks: n})
		}
	}
	return w
}

// gangFits tells whether all waiting tasks of a gang find room at once, while none
// of its tasks is left over from an earlier start.
func (p *Placer) gangFits(t *table) bool {
	n := t.waiting()
	return t.inUse == 0 && p.missed(t) >= n && p.fleet.Trial(t.need(), n, p.fleet.All()) == n
}

// missed is how many of a job's tasks wait for room and not for their team's limit.
func (p *Placer) missed(t *table) int {
	f := p.facts(t)
	return f.Passes(gate.Limit)
}

// Faulty tells whether a machine should be replaced for failing tasks.
func (p *Placer) Faulty(machine string) bool { return p.blame.Faulty(machine) }
