package placer

import (
	"math"
	"slices"
	"strings"

	"cleatpick/internal/agent"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
)

// slot is a machine as placement sees it.
type slot struct {
	v       *agent.View
	typ     wire.MachineType
	known   bool // its room is known and it may take starts at all
	room    agent.Room
	used    float64
	cost    float64 // price by CPU
	dear    float64 // how far that is above the cheapest of all machines here, from 0 to 1
	heard   loop.Micros
	shut    loop.Micros            // nothing is placed before
	images  map[string]loop.Micros // images seen in use
	runs    map[string]runSince    // tasks seen running
	claims  []peer.Claim           // room kept for jobs that tasks were stopped for
	jobs    []*job.Job             // of the view's tasks
	since   []loop.Micros          // since when each task of the view was seen running
	stopped []stopping
	tempo   tempo
	stale   bool // waits for a refresh
}

// fleet keeps a slot for every machine heard. Slots are brought up to date by refresh,
// and only those that something happened to: with many machines, a pass that looked at
// all of them anew cost more than the node's whole share of a core.
type fleet struct {
	slots  map[string]*slot
	order  []*slot // by name
	sorted bool
	stale  []*slot
	priced loop.Micros
}

func newFleet() *fleet { return &fleet{slots: map[string]*slot{}} }

// view takes in a machine's newer view.
func (f *fleet) view(v *agent.View, now loop.Micros) *slot {
	sl := f.slots[v.Name]
	if sl == nil {
		sl = &slot{images: map[string]loop.Micros{}, runs: map[string]runSince{}}
		f.slots[v.Name] = sl
		f.order = append(f.order, sl)
		f.sorted = false
		f.priced = 0
	}
	sl.v, sl.heard = v, now
	f.touch(sl)
	return sl
}

// touch marks a slot to be brought up to date.
func (f *fleet) touch(sl *slot) {
	if sl != nil && !sl.stale {
		sl.stale = true
		f.stale = append(f.stale, sl)
	}
}

func (f *fleet) gone(machine string) {
	sl := f.slots[machine]
	if sl == nil {
		return
	}
	delete(f.slots, machine)
	f.order = slices.DeleteFunc(f.order, func(x *slot) bool { return x == sl })
	sl.known = false
}

// refresh brings the slots up to date that were touched.
func (p *Placer) refresh() {
	f, now := p.fleet, p.r.Now()
	if !f.sorted {
		slices.SortFunc(f.order, func(a, b *slot) int { return strings.Compare(a.v.Name, b.v.Name) })
		f.sorted = true
	}
	due := f.stale
	f.stale = nil
	for _, sl := range due {
		sl.stale = false
		if f.slots[sl.v.Name] == sl {
			p.refreshSlot(sl)
		}
	}
	if f.priced == 0 || now-f.priced > loop.Second {
		f.priced = now
		p.price()
	}
}

func (p *Placer) refreshSlot(sl *slot) {
	v := sl.v
	typ, ok := p.n.Type(v.Type)
	var room agent.Room
	if ok {
		room, ok = p.agent.Room(v, typ)
	}
	if !ok {
		sl.known = false
		p.fleet.touch(sl) // until its type and its tasks' jobs are known here
		return
	}
	for r := range p.on[v.Name] {
		x := r.t.task(r.i)
		n := r.t.name(r.i)
		if x.session < v.Session || v.Holds(n, x.attempt) || v.Find(n, x.attempt) != nil {
			continue
		}
		room.Take(r.t.j.Spec) // chosen or started, and not shown yet
	}
	sl.typ, sl.room, sl.used = typ, room, typ.CPUs-room.CPUs
	sl.jobs = p.agent.Jobs(v)
	sl.known = v.NoticeAt == 0 && !v.Closed
}

// price compares the machines' prices, which change from time to time.
func (p *Placer) price() {
	least := math.Inf(1)
	for _, sl := range p.fleet.order {
		if typ, ok := p.n.Type(sl.v.Type); ok {
			sl.cost = typ.Price / typ.CPUs
			if sl.v.Spot {
				sl.cost = typ.SpotPrice / typ.CPUs
			}
			least = min(least, sl.cost)
		}
	}
	for _, sl := range p.fleet.order {
		if sl.dear = 0; sl.cost > 0 {
			sl.dear = 1 - least/sl.cost
		}
	}
}

// open tells whether tasks may be placed on the machine now.
func (sl *slot) open(heardAfter, now loop.Micros) bool {
	return sl.known && sl.heard >= heardAfter && now >= sl.shut
}

// hasImage tells whether the job's image was seen in use on the machine.
func (sl *slot) hasImage(image string) bool {
	_, ok := sl.images[image]
	return ok
}

// beside is what a machine has free for a job beside the room that is kept for other
// jobs of at least its priority.
func (sl *slot) beside(t *table) agent.Room {
	r := sl.room
	for i := range sl.claims {
		if c := &sl.claims[i]; c.Job != t.j.ID && c.Priority >= int(t.j.Spec.Priority) {
			r.CPUs -= c.CPUs
			r.GPUs -= c.GPUs
			r.MemoryGB -= c.MemoryGB
		}
	}
	return r
}

// score says how well a task of the job would go there. What is urgent goes where its
// image is, so that it starts at once. Anything else goes to the cheapest kind of
// machine, and there to the fullest, so that dear machines fall empty and can be given
// back; a fetch costs it little. Machines that report to this node are preferred a
// little: owners on several nodes otherwise go for the same one.
func (sl *slot) score(s *job.Spec, here string) float64 {
	score := 2*sl.used/sl.typ.CPUs - 3*sl.dear
	if sl.v.Host == here {
		score += 0.4
	}
	if sl.hasImage(s.Image) {
		if s.Priority >= job.High {
			score += 10
		} else {
			score++
		}
	}
	return score
}

// takes tells whether the machine may take a task of the job now.
func (sl *slot) takes(t *table) bool {
	if !sl.room.Fits(t.j.Spec) || !allowed(t, sl.v) {
		return false
	}
	if len(sl.claims) == 0 {
		return true
	}
	room := sl.beside(t)
	return room.Fits(t.j.Spec)
}

// shape is what decides where a job's tasks fit, for jobs whose tasks may be anywhere.
type shape struct {
	cpus, gpus, memory float64
	types, zone        string
	spot               bool
	priority           job.Priority
}

// shapeOf is a job's shape; free is false where the job's other tasks matter too.
func shapeOf(s *job.Spec) (sh shape, free bool) {
	sh = shape{s.CPUs, s.GPUs, s.MemoryGB, "*", s.Zone, s.Spot, s.Priority}
	if !s.AnyType {
		sh.types = strings.Join(s.Types, "\x00")
	}
	return sh, !s.OneZone && !s.Spread
}

// ranked lists the machines that may take a task of the job, the best first. A machine
// that takes a task becomes fuller, and so stays the best until it is full: the list
// need not be made anew for every task.
func (p *Placer) ranked(t *table, slots []*slot) []*slot {
	now := p.r.Now()
	after := now - p.staleAfter()
	type scored struct {
		sl    *slot
		score float64
	}
	var all []scored
	for _, sl := range slots {
		if sl.open(after, now) && sl.takes(t) {
			all = append(all, scored{sl, sl.score(t.j.Spec, p.n.Label)})
		}
	}
	slices.SortStableFunc(all, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return 0
	})
	out := make([]*slot, len(all))
	for i := range all {
		out[i] = all[i].sl
	}
	return out
}

// staleAfter is how long after its last word a machine takes no starts.
func (p *Placer) staleAfter() loop.Micros {
	return 2*loop.Seconds(p.cfg.Cluster.Workers.ReportS) + 3*loop.Second
}
