// Package fleet is the machines as placement sees them: what is free, what keeps work off
// them, which is the best for a task, and what would have to be stopped to make room.
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

// Node is what this slice needs of the node around it.
type Node struct {
	Label string
	Type  func(string) (wire.MachineType, bool)
	// Room is what a view leaves free, Jobs are the jobs of its tasks.
	Room func(*agent.View, wire.MachineType) (agent.Room, bool)
	Jobs func(*agent.View) []*job.Job
	// Unshown calls f for every task that was chosen for or started on the machine and
	// that its view does not show yet.
	Unshown func(v *agent.View, f func(*job.Spec))
	Stop    func(host string, s agent.Stop)
	Cordons *cordon.Book
	// StaleAfter is how long after its last word a machine takes no starts.
	StaleAfter loop.Micros
}

// Slot is a machine as placement sees it.
type Slot struct {
	gate.Place
	Runs    *health.Runs
	Jobs    []*job.Job // of the view's tasks
	typ     wire.MachineType
	used    float64
	cost    float64 // price by CPU
	dear    float64 // how far that is above the cheapest of all machines here, from 0 to 1
	stopped []stopping
	stale   bool         // waits for a refresh
	lowest  job.Priority // of its tasks
}

// Fleet keeps a slot for every machine heard. Slots are brought up to date by Refresh,
// and only those that something happened to: with many machines, a pass that looked at
// all of them anew cost more than the node's whole share of a core.
type Fleet struct {
	r       loop.Runner
	log     *slog.Logger
	n       Node
	slots   map[string]*Slot
	order   []*Slot // by name
	sorted  bool
	stale   []*Slot
	priced  loop.Micros
	cordons uint64             // the version by which the slots were judged
	claimed map[*Slot]struct{} // machines with claims
	held    map[string]int     // claims by job
	early   []peer.Reservation // on machines that were not heard yet
	scratch []victim
	stops   teamCPUs // stopped for one task, by team
	free    []*Slot
	from    int // where the next look for what to stop begins
}

// New makes an empty fleet.
func New(r loop.Runner, log *slog.Logger, n Node) *Fleet {
	return &Fleet{r: r, log: log, n: n, slots: map[string]*Slot{}, claimed: map[*Slot]struct{}{}, held: map[string]int{}}
}

// Slot is the slot of a machine, nil if it was never heard.
func (f *Fleet) Slot(machine string) *Slot { return f.slots[machine] }

// All lists the slots by name; after Refresh.
func (f *Fleet) All() []*Slot { return f.order }

// Free lists the slots that take starts and have processors left, after Refresh. A pass
// asks once: in a full fleet that is a small part, and every job is ranked on it alone.
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

// View takes in a machine's newer view, and when it was heard; quiet: nothing on it has changed.
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

// Touch marks a slot to be brought up to date; it may be nil.
func (f *Fleet) Touch(sl *Slot) {
	if sl != nil && !sl.stale {
		sl.stale = true
		f.stale = append(f.stale, sl)
	}
}

// Gone forgets a machine that was deleted, with the claims on it.
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

// Rest keeps a machine out of the choice until a time.
func (sl *Slot) Rest(until loop.Micros, why string) {
	if until > sl.Shut {
		sl.Shut, sl.ShutWhy = until, why
	}
}

// Take takes the room of a task that is placed here now.
func (sl *Slot) Take(s *job.Spec) {
	sl.Room.Take(s)
	sl.used += s.CPUs
}

// Where names the machine for cordons.
func Where(v *agent.View) cordon.Place {
	return cordon.Place{Machine: v.Name, Type: v.Type, Zone: v.Zone, Spot: v.Spot}
}

// priceEvery is how often prices are compared, which change with the catalog.
const priceEvery = 5 * loop.Second

// Refresh brings the slots up to date that were touched.
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
		f.Touch(sl) // until its type and its tasks' jobs are known here
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

// price compares the machines' prices, which change from time to time.
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

// score says how well a task of the job would go there. What is urgent goes where its
// image is, so that it starts at once. Anything else goes to the cheapest kind of
// machine, and there to the fullest, so that dear machines fall empty and can be given
// back; a fetch costs it little. Machines that report to this node are preferred a
// little: owners on several nodes otherwise go for the same one.
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

// Shape is what decides where a job's tasks fit, for jobs whose tasks may be anywhere.
type Shape struct {
	cpus, gpus, memory float64
	types, zone        string
	spot               bool
	priority           job.Priority
}

// ShapeOf is a job's shape; free is false where the job's other tasks matter too.
func ShapeOf(s *job.Spec) (sh Shape, free bool) {
	sh = Shape{s.CPUs, s.GPUs, s.MemoryGB, "*", s.Zone, s.Spot, s.Priority}
	if !s.AnyType {
		sh.types = strings.Join(s.Types, "\x00")
	}
	return sh, !s.OneZone && !s.Spread
}

// shunned is more than any two machines' scores differ by.
const shunned = 100

// Ranked lists those of the slots that may take a task of the job, the best first. A
// machine that takes a task becomes fuller, and so stays the best until it is full: the
// list need not be made anew for every task.
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

// Trial tells how many of n more tasks of the job find room now, placing none.
func (f *Fleet) Trial(need gate.Need, n int, slots []*Slot) int {
	return takeRanked(need, n, copied(f.Ranked(&need, slots)))
}

// Copies are the fleet's slots to be tried on; lifted: as if no cordon were there.
func (f *Fleet) Copies(lifted bool) []*Slot {
	out := copied(f.order)
	for _, sl := range out {
		sl.Cordoned = sl.Cordoned && !lifted
	}
	return out
}

// copied are slots to be tried on.
func copied(slots []*Slot) []*Slot {
	room := make([]Slot, len(slots))
	out := make([]*Slot, len(slots))
	for i, sl := range slots {
		room[i] = *sl
		out[i] = &room[i]
	}
	return out
}

// Take takes the room for up to n tasks of the job on copies of the slots.
func (f *Fleet) Take(need gate.Need, n int, slots []*Slot) int {
	return takeRanked(need, n, f.Ranked(&need, slots))
}

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
