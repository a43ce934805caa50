package node

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/predicate"
)

// This file injects faults and loads that operators have met: controllers that are unreachable for a minute and more or
// flap, partitions that affect only some of a controller's connections, far more polls than usual, a guest team without
// a guarantee, and jobs that were submitted with a mistake.

// connections lists all connections of a controller: to peers and back, to workers, state service and cloud.
func (w *simulation) connections(label string) (out []string) {
	for _, p := range w.labels {
		if p != label {
			out = append(out, label+">"+p, p+">"+label)
		}
	}
	return append(out, label+">workers", label+">state", label+">cloud")
}

// disconnectFor puts connections into a fault mode for a while.
func (w *simulation) disconnectFor(d eventloop.Micros, mode linkMode, connections ...string) {
	for _, x := range connections {
		w.linkModes[x] = mode
	}
	w.after(d, func() {
		for _, x := range connections {
			delete(w.linkModes, x)
		}
	})
}

func (w *simulation) anyController() string { return w.labels[w.rng.IntN(len(w.labels))] }

// randomLossMode draws whether a disconnected connection drops or delays messages.
func (w *simulation) randomLossMode() linkMode { return []linkMode{dropping, delaying}[w.rng.IntN(2)] }

// flap disconnects a controller repeatedly, for some seconds each time.
func (w *simulation) flap(label string, until eventloop.Micros) {
	if w.now >= until {
		return
	}
	w.disconnectFor(w.between(4*eventloop.Second, 7*eventloop.Second), dropping, w.connections(label)...)
	w.after(w.between(12*eventloop.Second, 16*eventloop.Second), func() { w.flap(label, until) })
}

// pollStorm lets many users ask, each once, about known jobs or a single one, and about unknown jobs.
func (w *simulation) pollStorm(rate int, d eventloop.Micros) {
	ids := make([]string, 0, len(w.jobs))
	for id := range w.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	if w.rng.IntN(3) == 0 && len(ids) > 0 {
		ids = ids[:1]
	}
	for k := range rate * int(d/eventloop.Second) {
		w.after(eventloop.Micros(k)*eventloop.Second/eventloop.Micros(rate), func() {
			s := w.pickNode()
			if s == nil {
				return
			}
			if w.rng.IntN(4) == 0 || len(ids) == 0 {
				id := fmt.Sprintf("job-9%05d", w.rng.IntN(1000))
				s.execute(s.incarnation, func() {
					s.n.jobs.Poll(id, func(a job.Answer) {
						if a.Code == 200 || a.Code == 201 {
							w.fail("invented: %s was never submitted and is called %q", id, a.Phase)
						}
					})
				})
				return
			}
			j := w.jobs[ids[w.rng.IntN(len(ids))]]
			if !j.accepted {
				return // its user does not know that it is accepted, and would not ask
			}
			w.pollAt(s, j)
		})
	}
}

// submitGuestJobs lets the guest team submit jobs, with numbers from "from" on.
func (w *simulation) submitGuestJobs(from, jobs, tasks int, every eventloop.Micros) {
	for i := range jobs {
		w.after(eventloop.Micros(i)*every, func() {
			w.simulateUser(&simJob{id: fmt.Sprintf("job-%06d", from+i), run: w.between(eventloop.Second, 4*eventloop.Second),
				spec: &job.Spec{Class: "visit", Team: "guest", Priority: job.Low, Tasks: tasks, CPUs: 0.25, MemoryGB: 0.45, Image: "v", ImageGB: 1, AnyType: true, Spot: true, Estimate: 3 * eventloop.Second}})
		})
	}
}

// submitBrokenJobs submits jobs that fail wherever they run: at once or late, in all tasks or some.
func (w *simulation) submitBrokenJobs(from, n int) {
	for i := range n {
		j := w.makeJob(from + i)
		j.broken, j.failsAfter = true, []eventloop.Micros{0, 0, w.between(2*eventloop.Second, 60*eventloop.Second)}[w.rng.IntN(3)]
		if w.rng.IntN(3) == 0 {
			j.failEvery = 2 + w.rng.IntN(3)
		}
		j.spec.Tasks = 1 + w.rng.IntN(33)
		w.jobs[j.id] = j
		w.submit(j)
		w.after(3*eventloop.Second, func() { w.poll(j) })
		w.after(w.between(10*eventloop.Second, 90*eventloop.Second), func() { w.cancel(j) })
	}
}

// operatorFaults lists the faults that operators have met.
var operatorFaults = []namedFault{
	{"controllers unreachable for a minute", func(w *simulation) {
		n := 1 + w.rng.IntN(max(len(w.labels)-1, 1))
		for _, k := range w.rng.Perm(len(w.labels))[:n] {
			w.disconnectFor(w.between(60*eventloop.Second, 80*eventloop.Second), w.randomLossMode(), w.connections(w.labels[k])...)
		}
	}},
	{"flapping", func(w *simulation) {
		w.flap(w.anyController(), w.now+w.between(40*eventloop.Second, 90*eventloop.Second))
	}},
	{"no state service", func(w *simulation) {
		l := w.anyController()
		w.disconnectFor(w.between(10*eventloop.Second, 50*eventloop.Second), w.randomLossMode(), l+">state")
	}},
	{"no workers", func(w *simulation) {
		l := w.anyController()
		w.disconnectFor(w.between(10*eventloop.Second, 50*eventloop.Second), w.randomLossMode(), l+">workers")
	}},
	{"the state service refuses a controller", func(w *simulation) {
		w.disconnectFor(w.between(10*eventloop.Second, 50*eventloop.Second), refusing, w.anyController()+">state")
	}},
	{"connections fail in one direction", func(w *simulation) {
		l, connections := w.anyController(), []string{}
		for _, p := range w.labels {
			if p != l && w.rng.IntN(3) > 0 {
				connections = append(connections, []string{l + ">" + p, p + ">" + l}[w.rng.IntN(2)])
			}
		}
		w.disconnectFor(w.between(10*eventloop.Second, 60*eventloop.Second), w.randomLossMode(), connections...)
	}},
	{"many polls", func(w *simulation) {
		w.pollStorm(40+w.rng.IntN(160), w.between(10*eventloop.Second, 30*eventloop.Second))
	}},
	{"many polls at the end of an outage", func(w *simulation) {
		w.state.SetDown(true)
		w.after(w.between(5*eventloop.Second, 15*eventloop.Second), func() {
			w.state.SetDown(false)
			w.pollStorm(200, 15*eventloop.Second)
		})
	}},
	{"broken jobs", func(w *simulation) { w.submitBrokenJobs(700000+w.seq%90000, 1+w.rng.IntN(4)) }},
}

// checkHealth fails if a healthy machine takes no starts because of tasks that failed on it.
func (w *simulation) checkHealth() {
	for _, l := range w.labels {
		s := w.nodes[l]
		if !s.alive || s.paused {
			continue
		}
		s.n.scheduler.EachMachine(func(p *predicate.MachineFacts, _ eventloop.Micros) {
			if x := w.workers[p.View.Name]; p.BackOffUntil > w.now && p.BackOffReason == "tasks fail on it" && x != nil && !x.w.Faulty {
				w.fail("%s takes no starts because tasks failed on it, but it is healthy", p.View.Name)
			}
		})
	}
	w.after(eventloop.Second, w.checkHealth)
}

// checkHalfServed checks that every class and every team has at least half of its jobs done, not counting jobs that
// cannot complete and jobs that their users cancelled.
func (w *simulation) checkHalfServed() {
	w.t.Helper()
	all, done := map[string]int{}, map[string]int{}
	for _, j := range w.jobs {
		if j.cancelRequested || j.broken {
			continue
		}
		for _, of := range []string{"class " + j.spec.Class, "team " + j.spec.Team} {
			all[of]++
			if j.done {
				done[of]++
			}
		}
	}
	for of, n := range all {
		if 2*done[of] < n {
			w.t.Errorf("%s: %d of %d jobs are done", of, done[of], n)
		}
	}
}

// operatorSimulation returns a simulation with a guest team, and idle teams whose guarantees exceed the fleet.
func operatorSimulation(t testing.TB, seed uint64, z clusterSize, teams int) *simulation {
	w := newSimulationOf(t, seed, z, func(c *config.Config) {
		n := float64(z.zones * z.each * 8)
		c.Cluster.Teams = []config.Team{{Name: "red", CPUs: n / 5, CPUsMax: max(n/3, 8)}, {Name: "blue", CPUs: n / 8, CPUsMax: max(n/2, 8)}, {Name: "guest"}}
		for i := range teams {
			c.Cluster.Teams = append(c.Cluster.Teams, config.Team{Name: fmt.Sprint("idle", i), CPUs: 3 * n, CPUsMax: 3 * n}) // more than the whole fleet
		}
	})
	w.after(0, w.tickWorkers)
	w.after(0, w.checkCancelled)
	w.after(0, w.checkLeases)
	w.after(0, w.checkHealth)
	return w
}

// Faults that operators have met, alone, in pairs, and together with correlated failures: no invariant is violated, all
// jobs that can complete are done at the end, no class and no team has fewer than half of its jobs done, and no healthy
// machine is kept from starts because of broken jobs.
func TestInvariantsUnderOperatorFaults(t *testing.T) {
	from, to := seedRange(t, 1, 10)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 17))
			z := drawSize(r)
			w := operatorSimulation(t, seed, z, r.IntN(6))
			if r.IntN(4) == 0 { // the guest team is added to the settings of one controller after the other
				w.settings = func(label string, c *config.Config) {
					if w.now < 3640*eventloop.Second && label != w.labels[0] {
						c.Cluster.Teams = slices.DeleteFunc(slices.Clone(c.Cluster.Teams), func(x config.Team) bool { return x.Name == "guest" })
					}
				}
				for i, l := range w.labels[1:] {
					w.after(45*eventloop.Second+eventloop.Micros(i)*6*eventloop.Second, func() { w.kill(l) })
				}
			}
			for i := range 25 + z.zones*z.each/4 {
				w.after(w.between(eventloop.Second, 120*eventloop.Second), func() { w.addJob(i) })
			}
			w.after(w.between(10*eventloop.Second, 60*eventloop.Second), func() {
				switch large := z.zones * z.each * 40; r.IntN(4) {
				case 0:
					w.submitGuestJobs(800000, 1, min(large, 25000), 0)
				case 1:
					w.submitGuestJobs(800000, 100, 1, 100*eventloop.Millisecond)
				default:
					w.submitGuestJobs(800000, 2, 20, eventloop.Second)
				}
			})
			w.after(5*eventloop.Second, func() { w.submitBrokenJobs(600000, 1+r.IntN(3)) })
			troubles := append(slices.Clone(operatorFaults), correlatedFaults...)
			w.repeatFaults(15*eventloop.Second, 10*eventloop.Second, 40*eventloop.Second, func() {
				troubles[r.IntN(len(operatorFaults))].do(w)
				if r.IntN(2) == 0 {
					second := troubles[r.IntN(len(troubles))]
					w.after(w.between(0, 5*eventloop.Second), func() { second.do(w) })
				}
			})
			w.run(3600*eventloop.Second + 700*eventloop.Second)
			w.checkCompleted(20)
			w.checkHalfServed()
		})
	}
}
