package node

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// coincidingFaults lists faults, and combinations of two faults, that are drawn in pairs. Most violations that users
// have seen happened when two faults coincided; docs/notes/meetings.md describes the analysis and the tests
// of each.
var coincidingFaults = []namedFault{
	{"the state service refuses the leader, then is down for all", func(w *simulation) {
		gap := w.between(0, 5*eventloop.Second)
		w.disconnectFor(w.between(eventloop.Second, 20*eventloop.Second), refusing, w.leader()+">state")
		w.outage(gap, w.between(5*eventloop.Second, 50*eventloop.Second))
		w.cancelSome(0.3, gap+eventloop.Second)
	}},
	{"the leader reaches only its workers and users", func(w *simulation) {
		d := w.between(10*eventloop.Second, 50*eventloop.Second)
		w.disconnectFor(d, w.randomLossMode(), w.allButWorkers(w.leader())...)
		w.cancelSome(0.3, d)
	}},
	{"the leader crashes while machines are unresponsive or hang", func(w *simulation) {
		names := w.someMachines(0.2 + 0.4*w.rng.Float64())
		if w.rng.IntN(2) == 0 {
			w.ignoreCommands(names, w.between(3*eventloop.Second, 30*eventloop.Second))
		} else {
			w.hangMachines(names, w.between(3*eventloop.Second, 20*eventloop.Second))
		}
		w.after(w.between(0, 2*eventloop.Second), func() { w.kill(w.leader()) })
	}},
	{"slow state service", func(w *simulation) {
		w.stateFaults.answerDelay = [...][2]eventloop.Micros{{300, 900}, {500, 1400}, {900, 2500}}[w.rng.IntN(3)]
		for k := range w.stateFaults.answerDelay {
			w.stateFaults.answerDelay[k] *= eventloop.Millisecond
		}
		w.after(w.between(5*eventloop.Second, 40*eventloop.Second), func() { w.stateFaults.answerDelay = [2]eventloop.Micros{} })
		w.cancelSome(0.2, 10*eventloop.Second)
	}},
	{"late writes", func(w *simulation) {
		w.stateFaults.lateWrites = 0.05 + 0.4*w.rng.Float64()
		w.after(w.between(10*eventloop.Second, 50*eventloop.Second), func() { w.stateFaults.lateWrites = 0 })
	}},
	{"delayed commands", func(w *simulation) {
		w.delayedCommandShare = 0.1 + 0.5*w.rng.Float64()
		w.after(w.between(10*eventloop.Second, 50*eventloop.Second), func() { w.delayedCommandShare = 0 })
	}},
	{"old copies of reports to restarted controllers", func(w *simulation) {
		w.duplicateShare = 0.3
		w.after(w.between(5*eventloop.Second, 12*eventloop.Second), func() { w.restartQuickly(w.labels, 1) })
		w.after(40*eventloop.Second, func() { w.duplicateShare = 0 })
	}},
	{"all crash, and one restarts at once", func(w *simulation) {
		first := w.anyController()
		for _, l := range w.labels {
			if l == first {
				w.killFor(l, w.between(20*eventloop.Millisecond, eventloop.Second))
			} else {
				w.killFor(l, w.between(eventloop.Second, 20*eventloop.Second))
			}
		}
	}},
	{"a leader is isolated for short times", func(w *simulation) {
		// A controller that reaches no peer gives up what it owns, and is reachable again before or after another one
		// has claimed that.
		l := w.leader()
		for k := range 1 + w.rng.IntN(3) {
			w.after(eventloop.Micros(k)*w.between(5*eventloop.Second, 9*eventloop.Second), func() {
				var connections []string
				for _, o := range w.labels {
					if o != l {
						connections = append(connections, l+">"+o, o+">"+l)
					}
				}
				w.disconnectFor(w.between(2500*eventloop.Millisecond, 7*eventloop.Second), dropping, connections...)
			})
		}
		w.cancelSome(0.2, 8*eventloop.Second)
	}},
	{"machines that cannot report", func(w *simulation) {
		names := w.someMachines(0.1 + 0.5*w.rng.Float64())
		if w.rng.IntN(3) == 0 {
			names = w.machinesInZone(w.zones[w.rng.IntN(len(w.zones))])
		}
		w.blockReports(names, w.between(3*eventloop.Second, 45*eventloop.Second))
		w.cancelSome(0.2, 20*eventloop.Second)
	}},
	{"cancelled as the leader is refused", func(w *simulation) {
		refusal, out := w.between(0, 400*eventloop.Millisecond), w.between(0, 2400*eventloop.Millisecond)
		l := w.leader()
		w.after(refusal, func() { w.disconnectFor(w.between(2*eventloop.Second, 15*eventloop.Second), refusing, l+">state") })
		w.outage(out, w.between(30*eventloop.Second, 50*eventloop.Second))
		w.cancelSome(0.8, 400*eventloop.Millisecond)
	}},
	{"cancelled on machines that hang", func(w *simulation) {
		w.after(w.between(0, eventloop.Second), func() {
			w.hangMachines(w.someMachines(0.5*w.rng.Float64()), w.between(3*eventloop.Second, 45*eventloop.Second))
		})
		w.cancelSome(0.8, eventloop.Second)
	}},
	{"cancelled as tasks complete", func(w *simulation) {
		until := w.now + w.between(10*eventloop.Second, 40*eventloop.Second)
		w.onTaskEnd = func(task, why string) {
			if id, _, _ := workers.SplitTask(task); why == wire.WhyDone && w.now < until && w.rng.IntN(2) == 0 {
				w.after(w.between(0, 900*eventloop.Millisecond), func() { w.cancel(w.jobs[id]) })
			}
		}
	}},
	{"leaders change repeatedly", func(w *simulation) {
		d := w.between(5*eventloop.Second, 12*eventloop.Second)
		for k := range 4 + w.rng.IntN(7) {
			w.after(eventloop.Micros(k)*d, func() { w.killFor(w.leader(), w.between(100*eventloop.Millisecond, 6*eventloop.Second)) })
		}
	}},
	{"all controllers down for longer than a lease", func(w *simulation) {
		for _, l := range w.labels {
			w.killFor(l, w.between(10*eventloop.Second, 35*eventloop.Second))
		}
	}},
	{"a zone loses its machines", func(w *simulation) { w.failMachines(w.machinesInZone(w.zones[w.rng.IntN(len(w.zones))])) }},
}

// cancelSome lets users cancel a third of the given share of all jobs within a time.
func (w *simulation) cancelSome(part float64, d eventloop.Micros) {
	for _, j := range eventloop.Sorted(w.jobs) {
		if w.rng.Float64() < part/3 {
			w.after(w.between(0, d), func() { w.cancel(j) })
		}
	}
}

// coincidingFaultSimulation returns a simulation in which faults of all lists occur in pairs. A third of its jobs
// have two or three tasks that end far apart.
func coincidingFaultSimulation(t testing.TB, seed uint64) *simulation {
	r := rand.New(rand.NewPCG(seed, 41))
	w, jobs := randomSimulation(t, seed, r, func(c *config.Config) {
		if r.IntN(2) == 0 {
			c.Cluster.Workers.ReportS, c.Cluster.Workers.LeaseS, c.Cluster.Workers.CancelS = 3, 18, 40
		}
	})
	for i := range jobs {
		w.after(w.between(eventloop.Second, 120*eventloop.Second), func() {
			j := w.makeJob(i)
			if r.IntN(3) == 0 {
				j.spec.Tasks, j.runTimeStep = 2+r.IntN(2), w.between(5*eventloop.Second, 40*eventloop.Second)
			}
			w.simulateUser(j)
		})
	}
	troubles := slices.Concat(coincidingFaults, coincidingFaults, isolationFaults, correlatedFaults, operatorFaults)
	w.repeatFaults(15*eventloop.Second, 10*eventloop.Second, 35*eventloop.Second, func() {
		coincidingFaults[r.IntN(len(coincidingFaults))].do(w)
		second := troubles[r.IntN(len(troubles))]
		w.after(w.between(0, 5*eventloop.Second), func() { second.do(w) })
	})
	w.startChecks(260 * eventloop.Second)
	return w
}

// Under pairs of coinciding faults no invariant is violated, no job is forgotten, all jobs complete, and no class and
// no team has fewer than half of its jobs done.
func TestInvariantsUnderCoincidingFaults(t *testing.T) {
	from, to := seedRange(t, 1, 16)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := coincidingFaultSimulation(t, seed)
			w.run(3600*eventloop.Second + 800*eventloop.Second)
			w.checkCompleted(20)
			w.checkHalfServed()
		})
	}
}
