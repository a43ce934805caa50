package node

import (
	"fmt"
	"slices"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/membership"
	"cleatpick/internal/wire"
)

// busySimulation returns a simulation full of long tasks, after its first minute.
func busySimulation(t *testing.T, nodes int) *simulation {
	return busySimulationWith(t, nodes, 1, 10, 30)
}

// busySimulationWith is busySimulation with other report_s, lease_s and cancel_s, in seconds. Users cancel some jobs at
// random, and with some seeds so many that the cluster is not full. Such a seed is passed over, because it would not
// show the effects under test.
func busySimulationWith(t *testing.T, nodes int, report, lease, cancel float64) *simulation {
	const firstSeed, draws, full = 9, 4, 100
	running := 0
	for seed := uint64(firstSeed); seed < firstSeed+draws; seed++ {
		w := busySimulationOfSeed(t, seed, nodes, report, lease, cancel)
		if running = len(w.running); running >= full {
			return w
		}
	}
	t.Fatalf("only %d tasks run with the last of %d seeds", running, draws)
	return nil
}

// busySimulationOfSeed returns the simulation of busySimulationWith for one seed.
func busySimulationOfSeed(t *testing.T, seed uint64, nodes int, report, lease, cancel float64) *simulation {
	w := newSimulationOf(t, seed, clusterSize{nodes: nodes, zones: 2, each: 10}, func(c *config.Config) {
		c.Cluster.Teams = []config.Team{{Name: "red", CPUs: 60}, {Name: "blue", CPUs: 40}}
		c.Operator.StandbyMeanS, c.Operator.OrdinaryStandbyMeanS = 1e6, 1e6
		c.Cluster.Workers.ReportS, c.Cluster.Workers.LeaseS, c.Cluster.Workers.CancelS = report, lease, cancel
	})
	for i := range 16 {
		w.after(eventloop.Second, func() {
			w.simulateUser(&simJob{id: fmt.Sprintf("job-%06d", i), run: 150 * eventloop.Second, spec: &job.Spec{Class: "long", Team: []string{"red", "blue"}[i%2],
				Priority: job.Normal, Tasks: 8, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true, Estimate: 150 * eventloop.Second}})
		})
	}
	w.after(0, w.tickWorkers)
	w.after(0, w.checkCancelled)
	w.after(0, w.checkLeases)
	w.run(3660 * eventloop.Second)
	for _, x := range w.workers {
		x.w.Faulty = false
	}
	return w
}

// A controller that reaches only its workers can neither record nor report what it receives, and each of its answers
// renews a lease. It redirects its workers, all of them within the stated time, and their tasks keep running under a
// controller that has contact to the state service. If no controller has contact, no task is lost for as long as
// cancellations allow.
func TestControllerReachingOnlyItsWorkers(t *testing.T) {
	for _, c := range []struct {
		name string
		of   func(w *simulation) []string
		d    eventloop.Micros
	}{
		{"the leader", func(w *simulation) []string { return []string{w.leader()} }, 60 * eventloop.Second},
		{"another", func(w *simulation) []string {
			l := w.leader()
			return []string{w.labels[(slices.Index(w.labels, l)+1)%len(w.labels)]}
		}, 60 * eventloop.Second},
		{"all but one", func(w *simulation) []string {
			return slices.DeleteFunc(slices.Clone(w.labels), func(l string) bool { return l == "b" })
		}, 60 * eventloop.Second},
		{"all", func(w *simulation) []string { return w.labels }, 23 * eventloop.Second},
	} {
		for _, mode := range []linkMode{dropping, delaying} {
			t.Run(fmt.Sprint(c.name, mode), func(t *testing.T) {
				t.Parallel()
				w := busySimulation(t, 3)
				disconnected := c.of(w)
				for _, l := range disconnected {
					w.disconnectFor(c.d, mode, w.allButWorkers(l)...)
				}
				// The controller counts as isolated after 2.5 s, which is noticed within 0.7 s. Each worker is
				// redirected with its next report, tries each disconnected controller for a second, and stays with
				// the connected one when none of those answers: see docs/notes/addition.md.
				w.run(w.now + 16*eventloop.Second)
				for _, name := range w.runningMachines() {
					for _, l := range w.labels {
						v := w.nodes[l].n.workers.View(name)
						if len(disconnected) < len(w.labels) && !slices.Contains(disconnected, l) && (v == nil || slices.Contains(disconnected, v.Host) || w.now-w.workers[name].w.LastAnswered() > 3*eventloop.Second) {
							t.Errorf("to %s, %s still reports to a controller that reaches only its workers, or has no recent answer: %v", l, name, v)
						}
					}
				}
				w.run(w.now + c.d + 60*eventloop.Second)
				if w.endReasons["lease"] != 0 || w.endReasons["gone"] != 0 {
					t.Errorf("tasks were lost; ended tasks by reason: %v", w.endReasons)
				}
				w.run(w.now + 400*eventloop.Second)
				w.checkCompleted(100)
			})
		}
	}
}

// Workers reach only a controller that reaches nothing else. It stops answering them early enough that their leases
// expire in time for cancellations that other controllers have confirmed in the meantime; the invariant checkers check
// every second.
func TestCancelledAtControllerReachingOnlyItsWorkers(t *testing.T) {
	w := busySimulation(t, 3)
	w.disconnectFor(90*eventloop.Second, dropping, slices.Concat(w.allButWorkers("a"), []string{"b>workers", "c>workers"})...)
	for _, j := range eventloop.Sorted(w.jobs) {
		w.after(5*eventloop.Second, func() { w.cancel(j) })
	}
	w.run(w.now + 80*eventloop.Second)
	cancelled := 0
	for _, j := range w.jobs {
		if j.cancelledAt != 0 {
			cancelled++
		}
	}
	if cancelled < len(w.jobs)-2 || w.endReasons["lease"] == 0 || len(w.running) != 0 {
		t.Errorf("%d of %d jobs are cancelled; ended tasks by reason: %v; %d tasks still run", cancelled, len(w.jobs), w.endReasons, len(w.running))
	}
}

// All other controllers are unreachable for workers and users, too. To the one that is left this looks as if it were
// disconnected itself; if it redirected its workers, they would wait for each of the others in vain, and their leases
// would expire.
func TestLastControllerKeepsItsWorkers(t *testing.T) {
	for _, nodes := range []int{3, 5} {
		w := busySimulation(t, nodes)
		left := slices.MaxFunc(w.labels, func(a, b string) int { return w.nodes[a].n.workers.HostedCount() - w.nodes[b].n.workers.HostedCount() })
		var mine []string
		for _, name := range w.runningMachines() {
			if v := w.nodes[left].n.workers.View(name); v != nil && v.Host == left {
				mine = append(mine, name)
			}
		}
		for _, l := range w.labels {
			if l != left {
				w.disconnectFor(60*eventloop.Second, dropping, w.connections(l)...)
			}
		}
		w.run(w.now + 100*eventloop.Second)
		for _, name := range mine {
			if x := w.workers[name]; x.deleted || x.w.Report().Session != 1 {
				t.Errorf("%d controllers: %s lost its lease at the controller that is left", nodes, name)
			}
		}
		if len(mine) < 3 {
			t.Errorf("%d controllers: only %d machines report to %s, want 3 or more", nodes, len(mine), left)
		}
	}
}

// allOwned reports whether every team has an owner that knows it is the owner, and there is a leader.
func (w *simulation) allOwned() bool {
	leads, teams := false, map[string]bool{}
	for _, l := range w.labels {
		s := w.nodes[l]
		if !s.alive || !s.n.member.LeaseValid() {
			continue
		}
		if _, is := s.n.member.Leads(); is {
			leads = true
		}
		for _, t := range w.cfg.Cluster.Teams {
			teams[t.Name] = teams[t.Name] || s.n.scheduler.OwnsTeam(t.Name)
		}
	}
	return leads && len(teams) == len(w.cfg.Cluster.Teams) && !slices.Contains([]bool{teams["red"], teams["blue"]}, false)
}

// Processes restart before any peer notices, while their old leases, claims and connections still exist: the leader,
// an owner, all of them, and three times within two seconds. They revoke their earlier leases themselves instead of
// waiting for their expiry; no task is lost, and every team has an owner again within the stated time.
func TestQuickRestarts(t *testing.T) {
	for _, c := range []struct {
		name  string
		nodes int
		times int
		who   func(w *simulation) []string
		most  eventloop.Micros
	}{
		{"the leader", 3, 1, func(w *simulation) []string { return []string{w.leader()} }, 2 * eventloop.Second},
		{"the leader, three times", 3, 3, func(w *simulation) []string { return []string{w.leader()} }, 2 * eventloop.Second},
		{"all", 3, 1, func(w *simulation) []string { return w.labels }, 2 * eventloop.Second},
		{"all, three times", 3, 3, func(w *simulation) []string { return w.labels }, 2 * eventloop.Second},
		{"all of five, three times", 5, 3, func(w *simulation) []string { return w.labels }, 2 * eventloop.Second},
		{"the only one", 1, 1, func(w *simulation) []string { return w.labels }, 2 * eventloop.Second},
	} {
		for _, sure := range []bool{true, false} {
			t.Run(fmt.Sprint(c.name, ", nothing lost ", sure), func(t *testing.T) {
				t.Parallel()
				w := busySimulation(t, c.nodes)
				w.duplicateShare = 0.3
				most := c.most
				if w.reliable = sure; !sure {
					most += 2 * eventloop.Second // one request in eighty is lost or late, which may be a claim or a lease
				}
				claims := 0
				w.state.OnPut = func(key string, _ wire.Raw) {
					if key == membership.Prefix+"l" {
						claims++
					}
				}
				for k := range c.times {
					w.after(eventloop.Micros(k)*700*eventloop.Millisecond, func() {
						for _, l := range c.who(w) {
							w.killFor(l, w.between(20*eventloop.Millisecond, 300*eventloop.Millisecond))
						}
					})
				}
				last := w.now + eventloop.Micros(c.times-1)*700*eventloop.Millisecond + 300*eventloop.Millisecond
				w.run(last)
				for !w.allOwned() && w.now < last+20*eventloop.Second {
					w.run(w.now + 50*eventloop.Millisecond)
				}
				if took := w.now - last; took > most || claims > 2*c.times {
					t.Errorf("all teams have owners %d us after the last restart; the leadership was claimed %d times", took, claims)
				}
				t.Logf("all teams have owners %d us after the last restart", w.now-last)
				w.run(w.now + 40*eventloop.Second)
				if w.endReasons["lease"] != 0 || w.endReasons["gone"] != 0 {
					t.Errorf("ended tasks by reason: %v", w.endReasons)
				}
				w.run(w.now + 400*eventloop.Second)
				w.checkCompleted(100)
			})
		}
	}
}
