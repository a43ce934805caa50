// Package fleet keeps the machines as placement sees them. It computes each machine's free capacity, ranks
// the machines for a task, keeps the capacity reservations, and chooses which running tasks to preempt for
// others. It owns one record for each machine that has reported, and the reservations on it. Which job is
// served next, how starts are recorded and how stops are delivered is left to its callers.
package fleet

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strings"

	"cleatpick/internal/agent"
	"cleatpick/internal/cordon"
	"cleatpick/internal/gate"
	"cleatpick/internal/health"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
)

// Node holds what the fleet needs of the controller that runs it.
type Node struct {
	Label string
	Type  func(string) (wire.MachineType, bool)
	// Room returns the capacity that a machine's view leaves free, Jobs the jobs of the tasks in it, by
	// index; both are false or nil for what is not known here yet.
	Room func(*agent.View, wire.MachineType) (agent.Room, bool)
	Jobs func(*agent.View) []*job.Job
	// Unshown calls f for every task that was chosen for the machine or started on it and that its view does
	// not include yet.
	Unshown func(v *agent.View, f func(*job.Spec))
	Stop    func(host string, s agent.Stop)
	Cordons *cordon.Book
	// StaleAfter is the age of a machine's newest report from which on no tasks are started on it.
	StaleAfter loop.Micros
}

// Slot is one machine with what placement derives from its newest view.
type Slot struct {
	gate.Place
	Runs    *health.Runs
	Jobs    []*job.Job // of the view's tasks
	typ     wire.MachineType
	used    float64
	cost    float64 // price per CPU
	dear    float64 // price above that of the cheapest machine known here: 0 for the cheapest, approaching 1
	stopped []stopping
	stale   bool         // queued for Refresh
	lowest  job.Priority // lowest priority of its tasks
}

// Fleet keeps a Slot for every machine that has reported. Refresh updates only those that changed: with many
// machines, a pass that recomputed all of them took more than the controller's whole share of a core.
type Fleet struct {
	r       loop.Runner
	log     *slog.Logger
	n       Node
	slots   map[string]*Slot
	order   []*Slot // by name
	sorted  bool
	stale   []*Slot
	priced  loop.Micros
	cordons uint64             // version of the cordons by which the slots were marked
	claimed map[*Slot]struct{} // machines with reservations
	held    map[string]int     // number of reservations by job
	early   []peer.Claim       // reservations on machines that have not reported yet
	scratch []victim
	stops   teamCPUs // CPUs preempted for one task, by team
	free    []*Slot
	from    int // index in order at which the next search for preemptions starts
}

// New returns an empty fleet.
func New(r loop.Runner, log *slog.Logger, n Node) *Fleet {
	return &Fleet{r: r, log: log, n: n, slots: map[string]*Slot{}, claimed: map[*Slot]struct{}{}, held: map[string]int{}}
}

// Slot returns the record of a machine, or nil if no report of it has arrived.
func (f *Fleet) Slot(machine string) *Slot { return f.slots[machine] }

// All lists the machines by name, as of the last Refresh.
func (f *Fleet) All() []*Slot { return f.order }

// Free lists the machines that accept starts and have CPUs left, as of the last Refresh. A pass calls it
// once: in a full cluster these are a small part of all machines, and each job is ranked on them alone.
func (f *Fleet) Free() []*Slot {
	now := f.r.Now()
	after := now - f.n.StaleAfter
	f.free = f.free[:0]
	for _, sl := range f.order {
		if sl.Room.CPUs > 0 && sl.Open(after, now) {
			f.free = append(f.free, sl)
		}
	}
	return f.free
}

// View records a machine's newer view and when its report was received. quiet means that nothing on the
// machine has changed, so that it needs no refresh.
func (f *Fleet) View(v *agent.View, heard loop.Micros, quiet bool) *Slot {
	sl := f.slots[v.Name]
	first := sl == nil
	if first {
		sl = &Slot{Runs: health.NewRuns()}
		f.slots[v.Name] = sl
		f.order = append(f.order, sl)
		f.sorted = false
		f.priced = 0
	}
	sl.V, sl.Heard = v, max(sl.Heard, heard)
	if first {
		f.claimEarly(v.Name)
	}
	if !quiet {
		f.Touch(sl)
	}
	return sl
}

// Touch queues a machine for the next Refresh. sl may be nil.
func (f *Fleet) Touch(sl *Slot) {
	if sl != nil && !sl.stale {
		sl.stale = true
		f.stale = append(f.stale, sl)
	}
}

// Gone removes a machine that was deleted, with the reservations on it.
func (f *Fleet) Gone(machine string) {
	sl := f.slots[machine]
	if sl == nil {
		return
	}
	for len(sl.Claims) > 0 {
		f.dropClaim(sl, 0)
	}
	delete(f.slots, machine)
	f.order = slices.DeleteFunc(f.order, func(x *Slot) bool { return x == sl })
	sl.Known = false
}

// Rest keeps the machine from being chosen until the given time. An earlier time than the one in force is
// ignored.
func (sl *Slot) Rest(until loop.Micros, why string) {
	if until > sl.Shut {
		sl.Shut, sl.ShutWhy = until, why
	}
}

// Take subtracts a task that is placed here now from the machine's free capacity.
func (sl *Slot) Take(s *job.Spec) {
	sl.Room.Take(s)
	sl.used += s.CPUs
}

// Where describes a machine for matching it against cordons.
func Where(v *agent.View) cordon.Place {
	return cordon.Place{Machine: v.Name, Type: v.Type, Zone: v.Zone, Spot: v.Spot}
}

// priceEvery is the time between two comparisons of the machines' prices, which change with the cloud's
// catalog.
const priceEvery = 5 * loop.Second

// Refresh updates the machines that changed, and the cordon marks and relative prices of all when these may
// have changed.
func (f *Fleet) Refresh() {
	now := f.r.Now()
	if !f.sorted {
		slices.SortFunc(f.order, func(a, b *Slot) int { return strings.Compare(a.V.Name, b.V.Name) })
		f.sorted = true
	}
	if v := f.n.Cordons.Version(); v != f.cordons {
		f.cordons = v
		for _, sl := range f.order {
			sl.Cordoned = f.n.Cordons.Barred(Where(sl.V))
		}
	}
	due := f.stale
	f.stale = nil
	for _, sl := range due {
		sl.stale = false
		if f.slots[sl.V.Name] == sl {
			f.refresh(sl)
		}
	}
	if f.priced == 0 || now-f.priced > priceEvery {
		f.priced = now
		f.price()
	}
}

func (f *Fleet) refresh(sl *Slot) {
	v := sl.V
	typ, ok := f.n.Type(v.Type)
	var room agent.Room
	if ok {
		room, ok = f.n.Room(v, typ)
	}
	if !ok {
		sl.Known = false
		f.Touch(sl) // retried until its type and the jobs of its tasks are known here
		return
	}
	f.n.Unshown(v, room.Take)
	sl.typ, sl.Room, sl.used = typ, room, typ.CPUs-room.CPUs
	sl.Jobs = f.n.Jobs(v)
	sl.lowest = job.Production
	for i, j := range sl.Jobs {
		if j != nil && j.Spec != nil && v.Tasks[i].Active() {
			sl.lowest = min(sl.lowest, j.Spec.Priority)
		}
	}
	f.usedClaims(sl)
	sl.Known = true
	sl.Cordoned = f.n.Cordons.Barred(Where(v))
}

// price compares the machines' prices per CPU with the cheapest.
func (f *Fleet) price() {
	least := math.Inf(1)
	for _, sl := range f.order {
		if typ, ok := f.n.Type(sl.V.Type); ok {
			sl.cost = typ.Price / typ.CPUs
			if sl.V.Spot {
				sl.cost = typ.SpotPrice / typ.CPUs
			}
			least = min(least, sl.cost)
		}
	}
	for _, sl := range f.order {
		if sl.dear = 0; sl.cost > 0 {
			sl.dear = 1 - least/sl.cost
		}
	}
}

// score rates the machine for a task of the job; higher is better. Urgent work goes where its image is
// cached, so that it starts at once. Other work goes to the cheapest machines and, among those, to the
// fullest, so that expensive machines become empty and can be deleted; fetching an image costs it little.
// Machines that report to this controller score slightly higher: otherwise owners on several controllers
// choose the same machine.
func (sl *Slot) score(s *job.Spec, here string) float64 {
	score := 2*sl.used/sl.typ.CPUs - 3*sl.dear
	if sl.V.Host == here {
		score += 0.4
	}
	if sl.Runs.HasImage(s.Image) {
		if s.Priority >= job.High {
			score += 10
		} else {
			score++
		}
	}
	return score
}

// Shape is the part of a job's spec that decides where one of its tasks fits, for jobs whose tasks do not
// depend on each other's location.
type Shape struct {
	cpus, gpus, memory float64
	types, zone        string
	spot               bool
	priority           job.Priority
}

// ShapeOf returns a job's shape. free is false where the location of the job's other tasks matters too.
func ShapeOf(s *job.Spec) (sh Shape, free bool) {
	sh = Shape{s.CPUs, s.GPUs, s.MemoryGB, "*", s.Zone, s.Spot, s.Priority}
	if !s.AnyType {
		sh.types = strings.Join(s.Types, "\x00")
	}
	return sh, !s.OneZone && !s.Spread
}

// shunned is larger than the difference between any two machines' scores.
const shunned = 100

// Ranked lists those of the given machines that may take a task of the job, the best first. A machine that
// takes a task becomes fuller and so stays the best until it is full: the list need not be computed anew for
// every task.
func (f *Fleet) Ranked(need *gate.Need, slots []*Slot) []*Slot {
	now := f.r.Now()
	after := now - f.n.StaleAfter
	type scored struct {
		sl    *Slot
		score float64
	}
	var all []scored
	for _, sl := range slots {
		if sl.Open(after, now) && sl.Takes(need) {
			score := sl.score(need.Spec, f.n.Label)
			if _, failed := need.Shun[sl.V.Name]; failed {
				score -= shunned
			}
			all = append(all, scored{sl, score})
		}
	}
	slices.SortStableFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	out := make([]*Slot, len(all))
	for i := range all {
		out[i] = all[i].sl
	}
	return out
}

// Trial counts how many of n more tasks of the job fit now, without placing any.
func (f *Fleet) Trial(need gate.Need, n int, slots []*Slot) int {
	return takeRanked(need, n, copied(f.Ranked(&need, slots)))
}

// Copies returns copies of all machines for trial placement. With lifted, cordons are ignored.
func (f *Fleet) Copies(lifted bool) []*Slot {
	out := copied(f.order)
	for _, sl := range out {
		sl.Cordoned = sl.Cordoned && !lifted
	}
	return out
}

// copied returns copies of the machines for trial placement.
func copied(slots []*Slot) []*Slot {
	room := make([]Slot, len(slots))
	out := make([]*Slot, len(slots))
	for i, sl := range slots {
		room[i] = *sl
		out[i] = &room[i]
	}
	return out
}

// Take places up to n tasks of the job on the given copies, and returns how many fit.
func (f *Fleet) Take(need gate.Need, n int, slots []*Slot) int {
	return takeRanked(need, n, f.Ranked(&need, slots))
}

// takeRanked places up to n tasks on the slots in their order, changing the slots, and returns how many fit.
func takeRanked(need gate.Need, n int, slots []*Slot) int {
	need.Zones = maps.Clone(need.Zones)
	if need.Zones == nil {
		need.Zones = map[string]int{}
	}
	got := 0
	for _, sl := range slots {
		for got < n && sl.Takes(&need) {
			sl.Room.Take(need.Spec)
			need.Zones[sl.V.Zone]++
			got++
		}
	}
	return got
}
