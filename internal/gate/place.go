package gate

import (
	"cleatpick/internal/agent"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
)

// Lack is what a machine lacks for a task, one bit for each thing.
type Lack uint32

// What a machine may lack.
const (
	LackKnown    Lack = 1 << iota // its type, or a job on it, is not known here yet
	LackNotice                    // the cloud takes it away
	LackDraining                  // it is to be given back or replaced
	LackHeard                     // it was not heard lately, or does not show its host's token: what is sent may not reach it
	LackRested                    // it rests
	LackCordon                    // an operator keeps starts off it
	LackCPUs
	LackGPUs
	LackMemory
	LackPlace   // the job does not allow its type, zone or kind
	LackOneZone // the job's other tasks are in another zone
	LackSpread  // half of the job's tasks are in its zone
	LackClaims  // its room is kept for work that others were stopped for
)

var lackNames = []string{"known", "notice", "draining", "heard", "rested", "cordon", "cpus", "gpus", "memory", "place", "oneZone", "scatter", "claimed"}

// Names lists what is lacking.
func (l Lack) Names() []string {
	var out []string
	for i, n := range lackNames {
		if l&(1<<i) != 0 {
			out = append(out, n)
		}
	}
	return out
}

// Each calls f with the name of every single lack.
func (l Lack) Each(f func(name string)) {
	for i, n := range lackNames {
		if l&(1<<i) != 0 {
			f(n)
		}
	}
}

// Need is what a job's task asks of a machine, its other tasks counted.
type Need struct {
	ID    string
	Spec  *job.Spec
	Tasks int
	Zones map[string]int // tasks that may be on machines, by zone
	// Shun names machines on which the job failed: others are better, where there are any.
	Shun map[string]struct{}
}

// Place is a machine as the machine gates see it.
type Place struct {
	V        *agent.View
	Known    bool           // its type and the jobs of its tasks are known here
	Room     agent.Capacity // what is free
	Heard    loop.Micros
	Shut     loop.Micros // it rests until then
	ShutWhy  string
	Cordoned bool
	Claims   []Claim
}

// Claim is room that is kept on a machine for a job that tasks were stopped for.
type Claim struct {
	Job      string
	Priority int
	Room     agent.Capacity
	Until    loop.Micros // time of day
	Had      int         // tasks of the job that the machine showed when it was made, or whose claims were used since
}

// Closed is what keeps every task off the machine. After is the time since which a
// machine must have been heard.
func (p *Place) Closed(after, now loop.Micros) Lack { return p.closed(after, now, true) }

func (p *Place) closed(after, now loop.Micros, all bool) (l Lack) {
	add := func(x Lack, is bool) {
		if is {
			l |= x
		}
	}
	add(LackKnown, !p.Known)
	add(LackHeard, p.Heard < after || !p.V.TokenConfirmed)
	add(LackRested, now < p.Shut)
	if l != 0 && !all {
		return l
	}
	add(LackNotice, p.V.NoticeAt != 0)
	add(LackDraining, p.V.ClosedToStarts)
	add(LackCordon, p.Cordoned)
	return l
}

// Open tells whether tasks may be placed on the machine now.
func (p *Place) Open(after, now loop.Micros) bool { return p.closed(after, now, false) == 0 }

// Allowed tells whether the job's rules let a task of it go to this machine, counting
// every task of it that may be on any machine.
func (p *Place) Allowed(n *Need) bool { return p.rules(n) == 0 }

func (p *Place) rules(n *Need) (l Lack) {
	s := n.Spec
	if !s.AllowsPlace(p.V.Type, p.V.Zone, p.V.Spot) {
		l |= LackPlace
	}
	if n.elsewhere(p.V.Zone) {
		l |= LackOneZone
	}
	if n.share(p.V.Zone, 1) == 0 {
		l |= LackSpread
	}
	return l
}

// elsewhere tells whether the job's tasks must be in one zone and some are in another than this.
func (n *Need) elsewhere(zone string) bool {
	if n.Spec.OneZone {
		for z, k := range n.Zones {
			if k > 0 && z != zone {
				return true
			}
		}
	}
	return false
}

// share is how many of so many more tasks may be in a zone where no more than half may be.
func (n *Need) share(zone string, more int) int {
	if n.Spec.Spread {
		return min(more, max((n.Tasks+1)/2-n.Zones[zone], 0))
	}
	return more
}

// Most is how many of so many more tasks the job's rules about zones let go to a zone.
func (n *Need) Most(zone string, more int) int {
	if n.elsewhere(zone) {
		return 0
	}
	return n.share(zone, more)
}

func short(room *agent.Capacity, s *job.Spec) (l Lack) {
	if room.Fits(s) {
		return 0
	}
	for _, x := range [...]struct {
		l    Lack
		task job.Spec
	}{{LackCPUs, job.Spec{CPUs: s.CPUs}}, {LackGPUs, job.Spec{GPUs: s.GPUs}}, {LackMemory, job.Spec{MemoryGB: s.MemoryGB}}} {
		r := agent.Capacity{CPUs: max(room.CPUs, 0), GPUs: max(room.GPUs, 0), MemoryGB: max(room.MemoryGB, 0)}
		if !r.Fits(&x.task) {
			l |= x.l
		}
	}
	if l == 0 {
		l = LackCPUs // below zero in something of which the task asks nothing
	}
	return l
}

// Takes tells whether the open machine may take a task of the job now.
func (p *Place) Takes(n *Need) bool {
	if !p.Room.Fits(n.Spec) || !p.Allowed(n) {
		return false
	}
	if len(p.Claims) == 0 {
		return true
	}
	room := p.Beside(n)
	return room.Fits(n.Spec)
}

// Beside is what a machine has free for a job beside the room that is kept for other
// jobs of at least its priority.
func (p *Place) Beside(n *Need) agent.Capacity {
	r := p.Room
	for i := range p.Claims {
		if c := &p.Claims[i]; c.Job != n.ID && c.Priority >= int(n.Spec.Priority) {
			r = r.Minus(c.Room)
		}
	}
	return r
}

// Lacks is all that keeps a task of the job off the machine; 0: it would be taken.
func (p *Place) Lacks(n *Need, after, now loop.Micros) Lack {
	l := p.Closed(after, now) | p.rules(n)
	if x := short(&p.Room, n.Spec); x != 0 {
		return l | x
	}
	if room := p.Beside(n); !room.Fits(n.Spec) {
		l |= LackClaims
	}
	return l
}
