package node

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
)

// pause pauses a controller's process for a while. Its clocks advance; everything that arrives during the pause is
// queued, and handled in random order when the process resumes.
func (w *simulation) pause(label string, d eventloop.Micros) {
	s := w.nodes[label]
	if !s.alive || s.paused {
		return
	}
	s.paused = true
	incarnation := s.incarnation
	w.after(d, func() {
		if s.incarnation != incarnation || !s.alive {
			return
		}
		held := s.queued
		s.paused, s.queued = false, nil
		w.rng.Shuffle(len(held), func(a, b int) { held[a], held[b] = held[b], held[a] })
		for _, f := range held {
			w.after(w.between(0, 20*eventloop.Millisecond), f)
		}
	})
}

// runningMachines lists the machines that run, by name.
func (w *simulation) runningMachines() []string {
	var names []string
	for name, x := range w.workers {
		if !x.deleted {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// someMachines draws a share of the machines that run, but at least one.
func (w *simulation) someMachines(part float64) []string {
	names := w.runningMachines()
	w.rng.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	return names[:min(len(names), int(part*float64(len(names)))+1)]
}

// hangMachines lets machines hang for a while.
func (w *simulation) hangMachines(names []string, d eventloop.Micros) {
	for _, name := range names {
		x := w.workers[name]
		x.hanging = true
		w.after(d, func() { w.resume(x) })
	}
}

// resume ends the hang of a machine. If its lease has expired, its tasks end before anything else.
func (w *simulation) resume(x *simWorker) {
	x.hanging = false
	if !x.deleted {
		x.w.Tick(w.now)
	}
}

// failMachines stops machines without notice; the cloud continues to list them for a while.
func (w *simulation) failMachines(names []string) {
	for _, name := range names {
		if x := w.workers[name]; !x.deleted {
			x.deleted = true
			x.w.Destroy()
			w.cloud.Fail(name)
		}
	}
}

// disconnectZone disconnects a zone from everything outside it, including the state service and the cloud. The
// controllers and machines of the zone still reach each other.
func (w *simulation) disconnectZone(zone string, mode linkMode, d eventloop.Micros) {
	names := []string{}
	for _, a := range w.labels {
		if w.nodes[a].zone != zone {
			continue
		}
		names = append(names, a+">state", a+">cloud")
		for _, b := range w.labels {
			if w.nodes[b].zone != zone {
				names = append(names, a+">"+b, b+">"+a)
			}
		}
	}
	w.zoneModes[zone] = mode
	for _, n := range names {
		w.linkModes[n] = mode
	}
	w.after(d, func() {
		delete(w.zoneModes, zone)
		for _, n := range names {
			delete(w.linkModes, n)
		}
	})
}

// correlatedFaults lists the faults of larger fleets: those that hit many machines at the same time, or a controller
// between two steps of its work.
var correlatedFaults = []namedFault{
	{"a controller is paused", func(w *simulation) {
		// Shorter and longer than a controller's lease (4 s), the expiry of a start (6 s), a worker's lease (10 s) and
		// cancel_s (30 s).
		d := [...][2]eventloop.Micros{{1, 4}, {4, 6}, {6, 10}, {10, 30}, {30, 40}}[w.rng.IntN(5)]
		label, long := w.labels[w.rng.IntN(len(w.labels))], w.between(d[0]*eventloop.Second, d[1]*eventloop.Second)
		if w.rng.IntN(2) == 0 {
			w.pause(label, long)
			return
		}
		// The worst time for a pause: the renewal of its lease, its record or its order has been executed, and the
		// answer arrives during the pause.
		text := []string{"/extend", "x/red", "x/blue", "/machines"}[w.rng.IntN(4)]
		w.nodes[label].afterRequest(text, func() { w.pause(label, long) })
	}},
	{"machines hang for less than a lease", func(w *simulation) {
		w.hangMachines(w.someMachines(0.1+0.3*w.rng.Float64()), w.between(3*eventloop.Second, 9*eventloop.Second))
	}},
	{"machines hang for more than a lease", func(w *simulation) {
		w.hangMachines(w.someMachines(0.1+0.3*w.rng.Float64()), w.between(10*eventloop.Second, 22*eventloop.Second))
	}},
	{"machines fail", func(w *simulation) { w.failMachines(w.someMachines(0.1 + 0.3*w.rng.Float64())) }},
	{"a zone is disconnected", func(w *simulation) {
		w.disconnectZone(w.zones[w.rng.IntN(len(w.zones))], []linkMode{dropping, delaying}[w.rng.IntN(2)], w.between(5*eventloop.Second, 45*eventloop.Second))
	}},
	{"a controller crashes", func(w *simulation) { w.kill(w.labels[w.rng.IntN(len(w.labels))]) }},
	{"all controllers crash", func(w *simulation) {
		for _, l := range w.labels {
			w.kill(l)
		}
	}},
	{"outage of the state service", func(w *simulation) {
		w.state.SetDown(true)
		w.after(w.between(2*eventloop.Second, 20*eventloop.Second), func() { w.state.SetDown(false) })
	}},
	{"delayed messages in one direction", func(w *simulation) {
		// Only messages from one controller to one other are late, starts among them.
		a, b := w.labels[w.rng.IntN(len(w.labels))], w.labels[w.rng.IntN(len(w.labels))]
		w.linkModes[a+">"+b] = delaying
		w.after(w.between(8*eventloop.Second, 40*eventloop.Second), func() { delete(w.linkModes, a+">"+b) })
	}},
	{"the cloud has no machines", func(w *simulation) {
		kept := w.cloud.TakeCapacity()
		w.after(w.between(10*eventloop.Second, 40*eventloop.Second), func() { w.cloud.AddCapacity(kept) })
	}},
}

// correlatedFault injects one or two faults within 3 s, and others later.
func (w *simulation) correlatedFault(until eventloop.Micros) {
	first := w.rng.IntN(len(correlatedFaults))
	correlatedFaults[first].do(w)
	if w.rng.IntN(2) == 0 {
		second := correlatedFaults[w.rng.IntN(len(correlatedFaults))]
		w.after(w.between(0, 3*eventloop.Second), func() { second.do(w) })
	}
	w.after(w.between(6*eventloop.Second, 30*eventloop.Second), func() {
		if w.now < until {
			w.correlatedFault(until)
		}
	})
}

// drawSize draws the size of a cluster: mostly small, since faults have the same effects there, but up to 15
// controllers, 6 zones and some hundreds of machines.
func drawSize(r *rand.Rand) clusterSize {
	z := clusterSize{nodes: 1 + r.IntN(5), zones: 1 + r.IntN(3), each: 2 + r.IntN(8)}
	switch r.IntN(8) {
	case 0:
		z = clusterSize{nodes: 1 + r.IntN(15), zones: 1 + r.IntN(6), each: 2 + r.IntN(50)}
	case 1:
		z = clusterSize{nodes: 1, zones: 1, each: 3 + r.IntN(10)}
	}
	return z
}

// Many machines fail at the same time, controllers are paused and resume with everything that queued, and a zone is
// disconnected at the same time: no invariant may be violated, and after the last fault all jobs complete.
func TestInvariantsUnderCorrelatedFaults(t *testing.T) {
	from, to := seedRange(t, 1, 12)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 11))
			z := drawSize(r)
			w := newSimulationOf(t, seed, z, func(c *config.Config) {
				n := float64(z.zones * z.each * 8)
				c.Cluster.Teams = []config.Team{{Name: "red", CPUs: n / 5, CPUsMax: max(n/3, 8)}, {Name: "blue", CPUs: n / 8, CPUsMax: max(n/2, 8)}}
			})
			w.cloud.ListLag = eventloop.Micros(r.IntN(3)) * eventloop.Second
			jobs := 30 + z.zones*z.each/4
			for i := range jobs {
				w.after(w.between(eventloop.Second, 120*eventloop.Second), func() { w.addJob(i) })
			}
			w.after(15*eventloop.Second, func() { w.correlatedFault(3600*eventloop.Second + 130*eventloop.Second) })
			w.after(0, w.tickWorkers)
			w.after(0, w.checkCancelled)
			w.after(0, w.checkLeases)
			w.run(3600*eventloop.Second + 600*eventloop.Second)
			w.checkCompleted(30)
		})
	}
}

// leader returns the controller that considers itself the leader, or the first controller if none does.
func (w *simulation) leader() string {
	for _, l := range w.labels {
		if s := w.nodes[l]; s.alive && !s.paused {
			if _, leads := s.n.member.Leads(); leads {
				return l
			}
		}
	}
	return w.labels[0]
}

// Each known hard case of larger fleets, alone and at a fixed size.
func TestCorrelatedFaultCases(t *testing.T) {
	const second = eventloop.Second
	usual := clusterSize{nodes: 3, zones: 2, each: 60}
	for _, c := range []struct {
		name string
		size clusterSize
		lag  eventloop.Micros
		do   func(w *simulation)
	}{
		{"an owner is paused between a record and its answer", usual, 0, func(w *simulation) {
			for _, l := range w.labels {
				w.nodes[l].afterRequest("x/", func() { w.pause(l, w.between(8*second, 14*second)) })
			}
		}},
		{"the leader is paused while orders of machines are in flight", usual, 2 * second, func(w *simulation) {
			l := w.leader()
			w.nodes[l].afterRequest("/machines", func() { w.pause(l, 15*second) })
		}},
		{"a host controller is paused, and its workers report to others", usual, 0, func(w *simulation) { w.pause(w.labels[1], 25*second) }},
		{"half of a zone hangs and resumes after its lease", usual, 0, func(w *simulation) {
			var names []string
			for i, name := range w.runningMachines() {
				if w.workers[name].w.Zone == "x" && i%2 == 0 {
					names = append(names, name)
				}
			}
			w.hangMachines(names, 20*second)
		}},
		{"many machines fail while the cloud is full", usual, 2 * second, func(w *simulation) {
			kept := w.cloud.TakeCapacity()
			w.failMachines(w.someMachines(0.7))
			w.after(40*second, func() { w.cloud.AddCapacity(kept) })
		}},
		{"machines fail during an outage of the state service", usual, 0, func(w *simulation) {
			w.state.SetDown(true)
			w.failMachines(w.someMachines(0.5))
			w.after(18*second, func() { w.state.SetDown(false) })
		}},
		{"all controllers crash while deletions are pending", usual, 0, func(w *simulation) {
			w.failMachines(w.someMachines(0.9))
			w.nodes[w.leader()].afterRequest("/machines/delete", func() {
				for _, l := range w.labels {
					w.kill(l)
				}
			})
		}},
		{"the cloud still lists the failed machines", usual, 20 * second, func(w *simulation) { w.failMachines(w.someMachines(0.5)) }},
		{"one type, one zone, one controller", clusterSize{1, 1, 40}, 0, func(w *simulation) {
			w.hangMachines(w.someMachines(0.3), 14*second)
			w.after(3*second, func() { w.failMachines(w.someMachines(0.2)) })
			w.pause("a", 7*second)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newSimulationOf(t, 5, c.size, func(cfg *config.Config) {
				n := float64(c.size.zones * c.size.each * 8)
				cfg.Cluster.Teams = []config.Team{{Name: "red", CPUs: n / 5, CPUsMax: n / 3}, {Name: "blue", CPUs: n / 8, CPUsMax: n / 2}}
			})
			w.cloud.ListLag = c.lag
			for i := range 120 {
				w.after(w.between(second, 90*second), func() { w.addJob(i) })
			}
			done := false
			w.after(40*second, func() { c.do(w); done = true })
			w.after(75*second, func() { c.do(w) })
			w.after(0, w.tickWorkers)
			w.after(0, w.checkCancelled)
			w.after(0, w.checkLeases)
			w.run(3600*second + 500*second)
			w.checkCompleted(100)
			if !done {
				t.Error("the fault was never injected")
			}
		})
	}
}

// Five thousand machines are disconnected from all controllers for 12 s and then report in the same second: each finds
// a controller again, none loses its lease, and none is deleted.
func TestManyReportInTheSameSecond(t *testing.T) {
	w := newSimulationOf(t, 3, clusterSize{nodes: 3, zones: 2, each: 2500}, func(c *config.Config) {
		c.Cluster.Workers.ReportS, c.Cluster.Workers.LeaseS, c.Cluster.Workers.CancelS = 5, 26, 46
		// No idle machine is deleted. With a mean of 1e6 s some of the 5,000 were, in every second run.
		c.Operator.StandbyMeanS, c.Operator.OrdinaryStandbyMeanS = 1e11, 1e11
	})
	names := w.cloud.Fill(2500)
	w.run(3640 * eventloop.Second)
	w.cost = cost{}
	for _, l := range w.labels {
		w.linkModes[l+">workers"] = dropping
	}
	w.run(3652 * eventloop.Second)
	clear(w.linkModes)
	w.run(3680 * eventloop.Second)
	hosted := 0
	for _, l := range w.labels {
		hosted += w.nodes[l].n.workers.HostedCount()
	}
	if hosted != len(names) || len(w.runningMachines()) != len(names) {
		t.Errorf("%d machines have a host controller and %d run, want %d", hosted, len(w.runningMachines()), len(names))
	}
	for _, name := range names {
		if s := w.workers[name].w.Report().Session; s != 1 {
			t.Fatalf("%s lost its lease", name)
		}
	}
	t.Logf("the controllers used %v for 40 s", w.cost.spent)
}
