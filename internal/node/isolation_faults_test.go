package node

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
)

// This file injects faults that isolate a part of the cluster or repeat earlier events: machines that are unresponsive
// to commands, copies of reports that arrive late, controllers that reach only their workers, and processes and
// machines that restart within a fraction of a second.

// ignoreCommands makes machines unresponsive to commands: their reports arrive, answers and commands are lost.
func (w *simulation) ignoreCommands(names []string, d eventloop.Micros) {
	for _, name := range names {
		x := w.workers[name]
		x.unresponsive = true
		w.after(d, func() { x.unresponsive = false })
	}
}

// machinesInZone lists the machines of a zone that run.
func (w *simulation) machinesInZone(zone string) []string {
	return slices.DeleteFunc(w.runningMachines(), func(name string) bool { return w.workers[name].w.Zone != zone })
}

// allButWorkers lists all connections of a controller but the one to its workers.
func (w *simulation) allButWorkers(label string) []string {
	return slices.DeleteFunc(w.connections(label), func(connection string) bool { return connection == label+">workers" })
}

// restartQuickly crashes controllers the given number of times; they restart each time before their peers notice.
func (w *simulation) restartQuickly(labels []string, times int) {
	for _, l := range labels {
		for k := range times {
			w.after(eventloop.Micros(k)*w.between(300*eventloop.Millisecond, 900*eventloop.Millisecond), func() {
				w.killFor(l, w.between(20*eventloop.Millisecond, 400*eventloop.Millisecond))
			})
		}
	}
}

// someControllers draws at least one controller.
func (w *simulation) someControllers() (out []string) {
	for _, k := range w.rng.Perm(len(w.labels))[:1+w.rng.IntN(len(w.labels))] {
		out = append(out, w.labels[k])
	}
	return out
}

// isolationFaults lists the faults that isolate a part of the cluster or repeat earlier events.
var isolationFaults = []namedFault{
	{"machines unresponsive to commands", func(w *simulation) {
		w.ignoreCommands(w.someMachines(0.05+0.4*w.rng.Float64()), w.between(2*eventloop.Second, 40*eventloop.Second))
	}},
	{"a zone of machines unresponsive to commands", func(w *simulation) {
		w.ignoreCommands(w.machinesInZone(w.zones[w.rng.IntN(len(w.zones))]), w.between(2*eventloop.Second, 30*eventloop.Second))
	}},
	{"late copies of reports", func(w *simulation) {
		w.duplicateShare = 0.05 + 0.4*w.rng.Float64()
		w.after(w.between(10*eventloop.Second, 60*eventloop.Second), func() { w.duplicateShare = 0 })
	}},
	{"a controller reaches only its workers", func(w *simulation) {
		w.disconnectFor(w.between(10*eventloop.Second, 60*eventloop.Second), w.randomLossMode(), w.allButWorkers(w.anyController())...)
	}},
	{"all or all but one controller reach only their workers", func(w *simulation) {
		d, mode := w.between(10*eventloop.Second, 50*eventloop.Second), w.randomLossMode()
		for _, l := range w.labels[w.rng.IntN(2):] { // all, or all but one
			w.disconnectFor(d, mode, w.allButWorkers(l)...)
		}
	}},
	{"controllers restart at once", func(w *simulation) { w.restartQuickly(w.someControllers(), 1+w.rng.IntN(3)) }},
	{"controllers restart at once while they claim the leadership", func(w *simulation) {
		// The leader crashes, and so does each controller that is about to claim the leadership, after its claim was
		// executed.
		w.killFor(w.leader(), w.between(20*eventloop.Millisecond, 3*eventloop.Second))
		for _, l := range w.labels {
			w.nodes[l].afterRequest(`c/l`, func() { w.killFor(l, w.between(20*eventloop.Millisecond, 300*eventloop.Millisecond)) })
		}
	}},
	{"a controller restarts at once after a record", func(w *simulation) {
		l := w.anyController()
		w.nodes[l].afterRequest("x/", func() { w.killFor(l, w.between(20*eventloop.Millisecond, 300*eventloop.Millisecond)) })
	}},
	{"machines restart at once", func(w *simulation) { w.restartMachines(w.someMachines(0.2 * w.rng.Float64())) }},
}

// randomSimulation returns a simulation of a random size with two teams and a guest team, and the number of jobs to
// submit.
func randomSimulation(t testing.TB, seed uint64, r *rand.Rand, more func(*config.Config)) (w *simulation, jobs int) {
	z := drawSize(r)
	w = newSimulationOf(t, seed, z, func(c *config.Config) {
		n := float64(z.zones * z.each * 8)
		c.Cluster.Teams = []config.Team{{Name: "red", CPUs: n / 5, CPUsMax: max(n/3, 8)}, {Name: "blue", CPUs: n / 8, CPUsMax: max(n/2, 8)}, {Name: "guest"}}
		more(c)
	})
	w.cloud.ListLag = eventloop.Micros(r.IntN(3)) * eventloop.Second
	return w, 30 + z.zones*z.each/4
}

// isolationSimulation returns a simulation with jobs to come, in which the faults of this file occur alone, in pairs,
// and together with all other faults.
func isolationSimulation(t testing.TB, seed uint64) *simulation {
	r := rand.New(rand.NewPCG(seed, 23))
	w, jobs := randomSimulation(t, seed, r, func(*config.Config) {})
	for i := range jobs {
		w.after(w.between(eventloop.Second, 120*eventloop.Second), func() { w.addJob(i) })
	}
	if r.IntN(3) == 0 {
		w.after(20*eventloop.Second, func() { w.submitGuestJobs(800000, 2, 20, eventloop.Second) })
	}
	w.injectFaults(r, isolationFaults)
	w.startChecks(260 * eventloop.Second)
	return w
}

// injectFaults injects faults from first repeatedly, half of them with a second fault that is drawn from all lists.
func (w *simulation) injectFaults(r *rand.Rand, first []namedFault) {
	others := slices.Concat(isolationFaults, correlatedFaults, operatorFaults)
	w.repeatFaults(15*eventloop.Second, 8*eventloop.Second, 30*eventloop.Second, func() {
		first[r.IntN(len(first))].do(w)
		if r.IntN(2) == 0 {
			second := others[r.IntN(len(others))]
			w.after(w.between(0, 5*eventloop.Second), func() { second.do(w) })
		}
	})
}

// Under the faults of this file no invariant is violated, no job is forgotten, all jobs complete, and no class and no
// team has fewer than half of its jobs done.
func TestInvariantsUnderIsolationFaults(t *testing.T) {
	from, to := seedRange(t, 1, 12)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := isolationSimulation(t, seed)
			w.run(3600*eventloop.Second + 700*eventloop.Second)
			w.checkCompleted(20)
			w.checkHalfServed()
		})
	}
}

// A simulation runs the same each time, to the last message, so that a failure can be reproduced. While decisions
// depended on the order of Go's maps, one violation in 300 simulations could not be reproduced in hundreds of runs.
func TestSimulationsAreDeterministic(t *testing.T) {
	from, to := seedRange(t, 1, 50)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var sums [2]string
			for k := range sums {
				w := isolationSimulation(t, seed)
				w.trace = sha256.New()
				w.run(3600*eventloop.Second + 110*eventloop.Second)
				sums[k] = fmt.Sprintf("%x after %d starts", w.trace.Sum(nil), w.starts)
			}
			if sums[0] != sums[1] {
				t.Errorf("two runs of the same seed differ: %s, and %s", sums[0], sums[1])
			}
		})
	}
}
