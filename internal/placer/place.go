package placer

import (
	"maps"
	"math"
	"sort"

	"cleatpick/internal/agent"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
)

// slot is a machine as the placement pass sees it.
type slot struct {
	v    *agent.View
	room agent.Room
	all  agent.Room
	cost float64 // price by CPU
	dear float64 // how far that is above the cheapest of all machines here, from 0 to 1
	used float64
}

// slots lists the machines that tasks may be placed on, with what is free there.
func (p *Placer) slots() []*slot {
	now := p.r.Now()
	stale := 2*loop.Seconds(p.cfg.Cluster.Workers.ReportS) + 3*loop.Second
	var out []*slot
	p.agent.Views(func(v *agent.View) {
		if v.NoticeAt != 0 || v.Closed || now-p.heard[v.Name] > stale || now < p.avoid[v.Name] || p.health.bad(now, v.Name) {
			return
		}
		typ, ok := p.n.Type(v.Type)
		if !ok {
			return
		}
		room, ok := agent.Free(v, typ, p.specOf)
		if !ok {
			return
		}
		for r := range p.on[v.Name] {
			x := r.t.task(r.i)
			n := r.t.name(r.i)
			if x.session < v.Session || v.Holds(n, x.attempt) {
				continue
			}
			if v.Find(n, x.attempt) != nil {
				continue
			}
			room.Take(r.t.j.Spec) // chosen or started, and not shown yet
		}
		cost := typ.Price / typ.CPUs
		if v.Spot {
			cost = typ.SpotPrice / typ.CPUs
		}
		out = append(out, &slot{v: v, room: room, all: agent.Room{CPUs: typ.CPUs, GPUs: typ.GPUs, MemoryGB: typ.MemoryGB},
			cost: cost, used: typ.CPUs - room.CPUs})
	})
	sort.Slice(out, func(i, j int) bool { return out[i].v.Name < out[j].v.Name })
	least := math.Inf(1)
	for _, sl := range out {
		least = min(least, sl.cost)
	}
	for _, sl := range out {
		if sl.cost > 0 {
			sl.dear = 1 - least/sl.cost
		}
	}
	return out
}

func (p *Placer) specOf(task string) *job.Spec {
	id, _, ok := agent.SplitTask(task)
	if !ok {
		return nil
	}
	j := p.book.Get(id)
	if j == nil {
		return nil
	}
	return j.Spec
}

// allowed tells whether the job's rules let a task of it go to this machine,
// counting every task of it that may be on any machine.
func allowed(t *table, v *agent.View) bool {
	s := t.j.Spec
	if !s.AllowsPlace(v.Type, v.Zone, v.Spot) {
		return false
	}
	if s.OneZone {
		for z, n := range t.zones {
			if n > 0 && z != v.Zone {
				return false
			}
		}
	}
	if s.Spread && t.zones[v.Zone] >= (t.j.Tasks+1)/2 {
		return false
	}
	return true
}

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
	var q []entryOf
	now := p.r.Now()
	for _, tm := range p.teams {
		if !tm.loaded {
			continue
		}
		var within map[*table]bool
		for _, t := range tm.jobs {
			if !t.j.Final() && !t.closing && t.waiting() > 0 && now >= t.holdOff {
				if within == nil {
					within = p.guaranteed(tm)
				}
				q = append(q, entryOf{t, within[t], t.turn()})
			}
		}
	}
	sort.Slice(q, func(a, b int) bool {
		if x, y := q[a].rank(), q[b].rank(); x != y {
			return x > y
		}
		if x, y := q[a].turn, q[b].turn; x != y {
			return x < y
		}
		return q[a].t.j.ID < q[b].t.j.ID
	})
	return q
}

// turn orders jobs of one rank: first come, first served, but a small job may
// overtake a large one by the time that the larger work takes its team.
func (t *table) turn() loop.Micros {
	s := t.j.Spec
	work := float64(t.j.Tasks-t.completed) * float64(s.Estimate) * s.CPUs
	return t.j.At + loop.Micros(2*work/max(t.team.cfg.CPUs, 1))
}

// place gives waiting tasks to machines with free room; those that find none are misses.
func (p *Placer) place() {
	q := p.queue()
	p.lastWant = nil
	if len(q) == 0 {
		return
	}
	p.expireClaims()
	slots := p.slots()
	now := p.r.Now()
	stops := now >= p.pre.nextRun
	var excess map[string]float64
	var chosen []hostStart
	for _, e := range q {
		t := e.t
		s := t.j.Spec
		probe := 1 << 30
		if t.failures >= 3 && len(t.failedOn) >= 3 {
			probe = 1 - t.inUse // one task at a time tells whether it still fails
		}
		if s.Gang && !p.gangFits(t, slots) {
			probe = 0
			p.lastWant = append(p.lastWant, p.want(t, t.waiting()))
		}
		for n := t.waiting(); n > 0 && probe > 0; n-- {
			tm := t.team
			if tm.cpus+s.CPUs > tm.cfg.CPUsMax+1e-9 || tm.gpus+s.GPUs > tm.cfg.GPUsMax+1e-9 {
				break
			}
			best := p.choose(t, slots)
			if best == nil {
				break
			}
			probe--
			i := t.pop()
			x := t.task(i)
			x.attempt++
			x.machine, x.session, x.expiry, x.since = best.v.Name, best.v.Session, 0, 0
			best.room.Take(s)
			best.used += s.CPUs
			p.useClaim(best.v.Name, t.j.ID)
			p.setTask(t, i, Recording)
			chosen = append(chosen, hostStart{best.v.Host, agent.Start{Machine: x.machine, Session: x.session, Task: t.name(i), Attempt: x.attempt}})
			p.dirty(t, t.chunkOf(i), 3*loop.Millisecond)
		}
		missed := p.missed(t)
		if missed <= 0 || probe <= 0 {
			continue
		}
		if n := missed; stops {
			if excess == nil {
				excess = p.excesses()
				p.pre.nextRun = now + 100*loop.Millisecond
			}
			// Two teams that both run beyond their guarantees must not stop
			// each other's work in turn: only one that uses less than its
			// guarantee may claim it.
			room := t.team.cfg.CPUs - t.team.cpus
			within := e.within && room >= s.CPUs
			if within && s.CPUs > 0 {
				n = min(n, int(room/s.CPUs))
			}
			if within || s.Priority >= job.High {
				p.preempt(t, slots, n, within, excess)
			}
		}
		p.lastWant = append(p.lastWant, p.want(t, missed))
	}
	for _, c := range chosen {
		p.n.Reserve(c.host, c.start) // last, since a local host answers with a new view
	}
	if len(p.pre.news) > 0 {
		p.n.Claims(p.pre.news)
		p.pre.news = nil
	}
}

func (p *Placer) want(t *table, n int) peer.Want {
	s := t.j.Spec
	return peer.Want{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Types: s.Types, AnyType: s.AnyType,
		Zone: s.Zone, Spot: s.Spot, Priority: int(s.Priority), Count: n, Run: s.Estimate}
}

// gangFits tells whether all waiting tasks of a gang find room at once, while none
// of its tasks is left over from an earlier start.
func (p *Placer) gangFits(t *table, slots []*slot) bool {
	s, tm, n := t.j.Spec, t.team, t.waiting()
	if t.inUse > 0 || tm.cpus+s.CPUs*float64(n) > tm.cfg.CPUsMax+1e-9 || tm.gpus+s.GPUs*float64(n) > tm.cfg.GPUsMax+1e-9 {
		return false
	}
	trial := make([]*slot, len(slots))
	for i, sl := range slots {
		c := *sl
		trial[i] = &c
	}
	zones := t.zones
	t.zones = maps.Clone(zones)
	defer func() { t.zones = zones }()
	for ; n > 0; n-- {
		best := p.choose(t, trial)
		if best == nil {
			return false
		}
		best.room.Take(s)
		best.used += s.CPUs
		t.zones[best.v.Zone]++
	}
	return true
}

// missed is how many of a job's tasks wait for room and not for their team's limit.
func (p *Placer) missed(t *table) int {
	n := t.waiting()
	s, tm := t.j.Spec, t.team
	if s.CPUs > 0 {
		n = min(n, int((tm.cfg.CPUsMax-tm.cpus+1e-9)/s.CPUs))
	}
	if s.GPUs > 0 {
		n = min(n, int((tm.cfg.GPUsMax-tm.gpus+1e-9)/s.GPUs))
	}
	return max(n, 0)
}

// choose picks the machine for a task. What is urgent goes where its image is, so
// that it starts at once. Anything else goes to the cheapest kind of machine, and
// there to the fullest, so that dear machines fall empty and can be given back; a
// fetch costs it little.
func (p *Placer) choose(t *table, slots []*slot) *slot {
	s := t.j.Spec
	image := 1.0
	if s.Priority >= job.High {
		image = 10
	}
	var best *slot
	var bestScore float64
	for _, sl := range slots {
		if !sl.room.Fits(s) || !allowed(t, sl.v) || !p.fitsBesideClaims(sl, t) {
			continue
		}
		score := 2*sl.used/sl.all.CPUs - 3*sl.dear
		if _, ok := p.images[sl.v.Name][s.Image]; ok {
			score += image
		}
		if best == nil || score > bestScore {
			best, bestScore = sl, score
		}
	}
	return best
}

// fitsBesideClaims leaves the room alone that is kept for more urgent jobs.
func (p *Placer) fitsBesideClaims(sl *slot, t *table) bool {
	if len(p.pre.claims) == 0 {
		return true
	}
	room := p.roomFor(sl, t)
	return room.Fits(t.j.Spec)
}

// Faulty tells whether a machine should be replaced for failing tasks.
func (p *Placer) Faulty(machine string) bool { return p.health.faulty(machine) }
