package placer

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"cleatpick/internal/agent"
	"cleatpick/internal/gate"
	"cleatpick/internal/health"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// slot is a machine as placement sees it.
type slot struct {
	gate.Place
	typ     wire.MachineType
	used    float64
	cost    float64 // price by CPU
	dear    float64 // how far that is above the cheapest of all machines here, from 0 to 1
	runs    *health.Runs
	jobs    []*job.Job // of the view's tasks
	stopped []stopping
	stale   bool // waits for a refresh
}

// fleet keeps a slot for every machine heard. Slots are brought up to date by refresh,
// and only those that something happened to: with many machines, a pass that looked at
// all of them anew cost more than the node's whole share of a core.
type fleet struct {
	slots   map[string]*slot
	order   []*slot // by name
	sorted  bool
	stale   []*slot
	priced  loop.Micros
	cordons uint64 // the version by which the slots were judged
}

func newFleet() *fleet { return &fleet{slots: map[string]*slot{}} }

// view takes in a machine's newer view.
func (f *fleet) view(v *agent.View, now loop.Micros) *slot {
	sl := f.slots[v.Name]
	if sl == nil {
		sl = &slot{runs: health.NewRuns()}
		f.slots[v.Name] = sl
		f.order = append(f.order, sl)
		f.sorted = false
		f.priced = 0
	}
	sl.V, sl.Heard = v, now
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
	sl.Known = false
}

// refresh brings the slots up to date that were touched.
func (p *Placer) refresh() {
	f, now := p.fleet, p.r.Now()
	if !f.sorted {
		slices.SortFunc(f.order, func(a, b *slot) int { return strings.Compare(a.V.Name, b.V.Name) })
		f.sorted = true
	}
	if v := p.cordons.Version(); v != f.cordons {
		f.cordons = v
		for _, sl := range f.order {
			sl.Cordoned = p.cordons.Barred(placeOf(sl.V))
		}
	}
	due := f.stale
	f.stale = nil
	for _, sl := range due {
		sl.stale = false
		if f.slots[sl.V.Name] == sl {
			p.refreshSlot(sl)
		}
	}
	if f.priced == 0 || now-f.priced > loop.Second {
		f.priced = now
		p.price()
	}
}

func (p *Placer) refreshSlot(sl *slot) {
	v := sl.V
	typ, ok := p.n.Type(v.Type)
	var room agent.Room
	if ok {
		room, ok = p.agent.Room(v, typ)
	}
	if !ok {
		sl.Known = false
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
	sl.typ, sl.Room, sl.used = typ, room, typ.CPUs-room.CPUs
	sl.jobs = p.agent.Jobs(v)
	sl.Known = true
	sl.Cordoned = p.cordons.Barred(placeOf(v))
}

// price compares the machines' prices, which change from time to time.
func (p *Placer) price() {
	least := math.Inf(1)
	for _, sl := range p.fleet.order {
		if typ, ok := p.n.Type(sl.V.Type); ok {
			sl.cost = typ.Price / typ.CPUs
			if sl.V.Spot {
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

// score says how well a task of the job would go there. What is urgent goes where its
// image is, so that it starts at once. Anything else goes to the cheapest kind of
// machine, and there to the fullest, so that dear machines fall empty and can be given
// back; a fetch costs it little. Machines that report to this node are preferred a
// little: owners on several nodes otherwise go for the same one.
func (sl *slot) score(s *job.Spec, here string) float64 {
	score := 2*sl.used/sl.typ.CPUs - 3*sl.dear
	if sl.V.Host == here {
		score += 0.4
	}
	if sl.runs.HasImage(s.Image) {
		if s.Priority >= job.High {
			score += 10
		} else {
			score++
		}
	}
	return score
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
	need := t.need()
	type scored struct {
		sl    *slot
		score float64
	}
	var all []scored
	for _, sl := range slots {
		if sl.Open(after, now) && sl.Takes(&need) {
			all = append(all, scored{sl, sl.score(t.j.Spec, p.n.Label)})
		}
	}
	slices.SortStableFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
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
