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

	"cleatpick/internal/cordon"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/health"
	"cleatpick/internal/job"
	"cleatpick/internal/peer"
	"cleatpick/internal/predicate"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// Dependencies holds what the fleet needs from the controller in which it runs.
type Dependencies struct {
	Label string
	Type  func(string) (wire.MachineType, bool)
	// FreeCapacity returns the capacity that a machine's view leaves free, Jobs the jobs of the tasks in it, by
	// index; both are false or nil for what is not known here yet.
	FreeCapacity func(*workers.View, wire.MachineType) (workers.Capacity, bool)
	Jobs         func(*workers.View) []*job.Job
	// EachUnlisted calls f for every task that was chosen for the machine or started on it and that its view does
	// not include yet.
	EachUnlisted func(v *workers.View, f func(*job.Spec))
	Stop         func(host string, s workers.Stop)
	Cordons      *cordon.Registry
	// StaleAfter is the age of a machine's newest report from which on no tasks are started on it.
	StaleAfter eventloop.Micros
}

// Machine is one machine with what placement derives from its newest view.
type Machine struct {
	predicate.MachineFacts
	Runs           *health.Runs
	Jobs           []*job.Job // of the view's tasks
	typ            wire.MachineType
	usedCPUs       float64
	cpuPrice       float64 // price per CPU
	priceExcess    float64 // price above that of the cheapest machine known here: 0 for the cheapest, approaching 1
	preempted      []pendingPreemption
	stale          bool         // queued for Refresh
	lowestPriority job.Priority // lowest priority of its tasks
}

// Fleet keeps a Machine for every machine that has reported. Refresh updates only those that changed: with many
// machines, a pass that recomputed all of them took more than the controller's whole share of a core.
type Fleet struct {
	runner              eventloop.Runner
	log                 *slog.Logger
	deps                Dependencies
	machines            map[string]*Machine
	order               []*Machine // by name
	sorted              bool
	stale               []*Machine
	pricedAt            eventloop.Micros
	cordonVersion       uint64                // version of the cordons by which the machines were marked
	reserved            map[*Machine]struct{} // machines with reservations
	reservationCounts   map[string]int        // number of reservations by job
	pendingReservations []peer.Reservation    // reservations on machines that have not reported yet
	scratch             []victim
	preemptedCPUs       teamCPUs // CPUs preempted for one task, by team
	free                []*Machine
	nextScan            int // index in order at which the next search for preemptions starts
}

// New returns an empty fleet.
func New(r eventloop.Runner, log *slog.Logger, deps Dependencies) *Fleet {
	return &Fleet{runner: r, log: log, deps: deps, machines: map[string]*Machine{}, reserved: map[*Machine]struct{}{}, reservationCounts: map[string]int{}}
}

// Machine returns the record of a machine, or nil if no report of it has arrived.
func (f *Fleet) Machine(machine string) *Machine { return f.machines[machine] }

// All lists the machines by name, as of the last Refresh.
func (f *Fleet) All() []*Machine { return f.order }

// Free lists the machines that accept starts and have CPUs left, as of the last Refresh. A pass calls it
// once: in a full cluster these are a small part of all machines, and each job is ranked on them alone.
func (f *Fleet) Free() []*Machine {
	now := f.runner.Now()
	after := now - f.deps.StaleAfter
	f.free = f.free[:0]
	for _, m := range f.order {
		if m.Free.CPUs > 0 && m.AcceptsStarts(after, now) {
			f.free = append(f.free, m)
		}
	}
	return f.free
}

// UpdateView records a machine's newer view and when its report was received. quiet means that nothing on the
// machine has changed, so that it needs no refresh.
func (f *Fleet) UpdateView(v *workers.View, reportedAt eventloop.Micros, quiet bool) *Machine {
	m := f.machines[v.Name]
	first := m == nil
	if first {
		m = &Machine{Runs: health.NewRuns()}
		f.machines[v.Name] = m
		f.order = append(f.order, m)
		f.sorted = false
		f.pricedAt = 0
	}
	m.View, m.LastReport = v, max(m.LastReport, reportedAt)
	if first {
		f.applyPendingReservations(v.Name)
	}
	if !quiet {
		f.MarkStale(m)
	}
	return m
}

// MarkStale queues a machine for the next Refresh. m may be nil.
func (f *Fleet) MarkStale(m *Machine) {
	if m != nil && !m.stale {
		m.stale = true
		f.stale = append(f.stale, m)
	}
}

// Remove removes a machine that was deleted, with the reservations on it.
func (f *Fleet) Remove(machine string) {
	m := f.machines[machine]
	if m == nil {
		return
	}
	for len(m.Reservations) > 0 {
		f.dropReservation(m, 0)
	}
	delete(f.machines, machine)
	f.order = slices.DeleteFunc(f.order, func(x *Machine) bool { return x == m })
	m.Known = false
}

// BackOff keeps the machine from being chosen until the given time. An earlier time than the one in force is
// ignored.
func (m *Machine) BackOff(until eventloop.Micros, why string) {
	if until > m.BackOffUntil {
		m.BackOffUntil, m.BackOffReason = until, why
	}
}

// Allocate subtracts a task that is placed here now from the machine's free capacity.
func (m *Machine) Allocate(s *job.Spec) {
	m.Free.Subtract(s)
	m.usedCPUs += s.CPUs
}

// CordonPlace describes a machine for matching it against cordons.
func CordonPlace(v *workers.View) cordon.Place {
	return cordon.Place{Machine: v.Name, Type: v.Type, Zone: v.Zone, Spot: v.Spot}
}

// priceInterval is the time between two comparisons of the machines' prices, which change with the cloud's
// catalog.
const priceInterval = 5 * eventloop.Second

// Refresh updates the machines that changed, and the cordon marks and relative prices of all when these may
// have changed.
func (f *Fleet) Refresh() {
	now := f.runner.Now()
	if !f.sorted {
		slices.SortFunc(f.order, func(a, b *Machine) int { return strings.Compare(a.View.Name, b.View.Name) })
		f.sorted = true
	}
	if v := f.deps.Cordons.Version(); v != f.cordonVersion {
		f.cordonVersion = v
		for _, m := range f.order {
			m.Cordoned = f.deps.Cordons.Blocked(CordonPlace(m.View))
		}
	}
	due := f.stale
	f.stale = nil
	for _, m := range due {
		m.stale = false
		if f.machines[m.View.Name] == m {
			f.refresh(m)
		}
	}
	if f.pricedAt == 0 || now-f.pricedAt > priceInterval {
		f.pricedAt = now
		f.updatePrices()
	}
}

func (f *Fleet) refresh(m *Machine) {
	v := m.View
	typ, ok := f.deps.Type(v.Type)
	var free workers.Capacity
	if ok {
		free, ok = f.deps.FreeCapacity(v, typ)
	}
	if !ok {
		m.Known = false
		f.MarkStale(m) // retried until its type and the jobs of its tasks are known here
		return
	}
	f.deps.EachUnlisted(v, free.Subtract)
	m.typ, m.Free, m.usedCPUs = typ, free, typ.CPUs-free.CPUs
	m.Jobs = f.deps.Jobs(v)
	m.lowestPriority = job.Production
	for i, j := range m.Jobs {
		if j != nil && j.Spec != nil && v.Tasks[i].Active() {
			m.lowestPriority = min(m.lowestPriority, j.Spec.Priority)
		}
	}
	f.dropConsumedReservations(m)
	m.Known = true
	m.Cordoned = f.deps.Cordons.Blocked(CordonPlace(v))
}

// updatePrices compares the machines' prices per CPU with the cheapest.
func (f *Fleet) updatePrices() {
	least := math.Inf(1)
	for _, m := range f.order {
		if typ, ok := f.deps.Type(m.View.Type); ok {
			m.cpuPrice = typ.Price / typ.CPUs
			if m.View.Spot {
				m.cpuPrice = typ.SpotPrice / typ.CPUs
			}
			least = min(least, m.cpuPrice)
		}
	}
	for _, m := range f.order {
		if m.priceExcess = 0; m.cpuPrice > 0 {
			m.priceExcess = 1 - least/m.cpuPrice
		}
	}
}

// score rates the machine for a task of the job; higher is better. Urgent work goes where its image is
// cached, so that it starts at once. Other work goes to the cheapest machines and, among those, to the
// fullest, so that expensive machines become empty and can be deleted; fetching an image costs it little.
// Machines that report to this controller score slightly higher: otherwise owners on several controllers
// choose the same machine.
func (m *Machine) score(s *job.Spec, here string) float64 {
	score := 2*m.usedCPUs/m.typ.CPUs - 3*m.priceExcess
	if m.View.Host == here {
		score += 0.4
	}
	if m.Runs.HasImage(s.Image) {
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

// avoidPenalty is larger than the difference between any two machines' scores.
const avoidPenalty = 100

// Ranked lists those of the given machines that may take a task of the job, the best first. A machine that
// takes a task becomes fuller and so stays the best until it is full: the list need not be recomputed for
// every task.
func (f *Fleet) Ranked(need *predicate.Need, machines []*Machine) []*Machine {
	now := f.runner.Now()
	after := now - f.deps.StaleAfter
	type scored struct {
		m     *Machine
		score float64
	}
	var all []scored
	for _, m := range machines {
		if m.AcceptsStarts(after, now) && m.Fits(need) {
			score := m.score(need.Spec, f.deps.Label)
			if _, failed := need.Avoid[m.View.Name]; failed {
				score -= avoidPenalty
			}
			all = append(all, scored{m, score})
		}
	}
	slices.SortStableFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	out := make([]*Machine, len(all))
	for i := range all {
		out[i] = all[i].m
	}
	return out
}

// CountFitting counts how many of n more tasks of the job fit now, without placing any.
func (f *Fleet) CountFitting(need predicate.Need, n int, machines []*Machine) int {
	return placeOnRanked(need, n, copyMachines(f.Ranked(&need, machines)))
}

// Copies returns copies of all machines for trial placement. With ignoreCordons, none of them is cordoned.
func (f *Fleet) Copies(ignoreCordons bool) []*Machine {
	out := copyMachines(f.order)
	for _, m := range out {
		m.Cordoned = m.Cordoned && !ignoreCordons
	}
	return out
}

// copyMachines returns copies of the machines for trial placement.
func copyMachines(machines []*Machine) []*Machine {
	copies := make([]Machine, len(machines))
	out := make([]*Machine, len(machines))
	for i, m := range machines {
		copies[i] = *m
		out[i] = &copies[i]
	}
	return out
}

// PlaceOnCopies places up to n tasks of the job on the given copies, and returns how many fit.
func (f *Fleet) PlaceOnCopies(need predicate.Need, n int, machines []*Machine) int {
	return placeOnRanked(need, n, f.Ranked(&need, machines))
}

// placeOnRanked places up to n tasks on the machines in their order, changing the machines, and returns how
// many fit.
func placeOnRanked(need predicate.Need, n int, machines []*Machine) int {
	need.Zones = maps.Clone(need.Zones)
	if need.Zones == nil {
		need.Zones = map[string]int{}
	}
	got := 0
	for _, m := range machines {
		for got < n && m.Fits(&need) {
			m.Free.Subtract(need.Spec)
			need.Zones[m.View.Zone]++
			got++
		}
	}
	return got
}
