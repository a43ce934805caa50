package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"cleatpick/internal/eventloop"
)

// Each known hard case that operators have met, alone and at a fixed size.
func TestOperatorFaultCases(t *testing.T) {
	const second = eventloop.Second
	usual := clusterSize{nodes: 3, zones: 2, each: 8}
	for _, c := range []struct {
		name  string
		teams int
		do    func(w *simulation)
	}{
		{"two of three are unreachable for 70 s, and one of them returns without the state service", 0, func(w *simulation) {
			w.disconnectFor(70*second, dropping, w.connections("a")...)
			w.disconnectFor(70*second, dropping, w.connections("b")...)
			w.after(70*second+1, func() { w.disconnectFor(40*second, dropping, "b>state") })
		}},
		{"a controller is reachable again as its teams are claimed by others", 0, func(w *simulation) {
			for _, l := range w.labels {
				w.nodes[l].afterRequest("c/t/", func() {
					for _, o := range w.labels {
						if o != l {
							for _, x := range w.connections(o) {
								delete(w.linkModes, x)
							}
						}
					}
				})
			}
			w.disconnectFor(70*second, delaying, w.connections(w.leader())...)
		}},
		{"many polls arrive as an outage ends", 0, func(w *simulation) {
			w.state.SetDown(true)
			w.after(12*second, func() { w.state.SetDown(false); w.pollStorm(250, 20*second) })
		}},
		{"a guest's 3,000 tasks, and the owner crashes while it records them", 0, func(w *simulation) {
			w.submitGuestJobs(800000, 1, 3000, 0)
			w.after(2*second, func() {
				for _, l := range w.labels {
					w.nodes[l].afterRequest("x/guest", func() { w.kill(l) })
				}
			})
		}},
		{"more teams than controllers, and guarantees beyond the fleet", 7, func(w *simulation) { w.flap("b", w.now+60*second) }},
		{"broken jobs, and machines that fail every task", 0, func(w *simulation) {
			for _, name := range w.someMachines(0.2) {
				w.workers[name].w.Faulty = true
			}
			w.submitBrokenJobs(600000, 5)
		}},
		{"a broken job takes a minute to fail, and is cancelled while it is retried", 0, func(w *simulation) {
			j := w.makeJob(600000)
			j.broken, j.failsAfter, j.spec.Tasks = true, 60*second, 12
			w.jobs[j.id] = j
			w.submit(j)
			w.after(65*second, func() { w.cancel(j) })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := operatorSimulation(t, 7, usual, c.teams)
			for i := range 50 {
				w.after(w.between(second, 100*second), func() { w.addJob(i) })
			}
			done := false
			w.after(35*second, func() { c.do(w); done = true })
			w.run(3600*second + 600*second)
			w.checkCompleted(50)
			w.checkHalfServed()
			if !done {
				t.Error("the fault was never injected")
			}
		})
	}
}

// A guest's job of 25,000 tasks, whose owner crashes repeatedly while it records them: each task runs, none twice
// at the same time, and the jobs of the other teams complete in the meantime.
func TestLargestJobWithCrashingOwners(t *testing.T) {
	const second = eventloop.Second
	w := operatorSimulation(t, 19, clusterSize{nodes: 3, zones: 2, each: 50}, 0)
	for i := range 40 {
		w.after(w.between(second, 60*second), func() { w.addJob(i) })
	}
	w.after(20*second, func() { w.submitGuestJobs(800000, 1, 25000, 0) })
	for k := range 4 {
		w.after(eventloop.Micros(23+9*k)*second, func() {
			for _, l := range w.labels {
				w.nodes[l].afterRequest("x/guest", func() { w.kill(l) })
			}
		})
	}
	w.run(3600*second + 400*second)
	w.checkCompleted(25000)
	if w.starts > 25000*13/10 {
		t.Errorf("%d starts: more tasks were repeated than four crashes explain", w.starts)
	}
}

// The teams and the workers of an unreachable controller move to others within the stated time. For teams that is its
// lease, the delay of its expiry, the longest wait before a claim, and one check interval; a worker waits 4 s for an
// answer and one second more for each controller that is unreachable.
func TestTakeoverTimes(t *testing.T) {
	const second = eventloop.Second
	for _, c := range []struct {
		name         string
		onlyMessages bool             // only its messages to peers are lost; everything else arrives
		teams, hosts eventloop.Micros // within which teams and workers move to others, beyond the lease
	}{
		{"off the network", false, 100*eventloop.Millisecond + 1200*eventloop.Millisecond + 600*eventloop.Millisecond, 5 * second},
		// 2.5 s until its messages count as old, 0.7 s until it is notified of that, 3 s until it acts on that, one
		// check interval, and a claim; then one report interval for its workers.
		{"its messages reach no peer", true, 4500 * eventloop.Millisecond, 3 * second},
	} {
		for seed := uint64(11); seed < 15; seed++ {
			t.Run(fmt.Sprint(c.name, ", ", seed), func(t *testing.T) {
				w := operatorSimulation(t, seed, clusterSize{nodes: 3, zones: 2, each: 20}, 0)
				w.reliable = true // a request that is lost at random would take longer
				for i := range 60 {
					w.after(w.between(second, 30*second), func() { w.addJob(i) })
				}
				w.run(3640 * second)
				silent, had := w.leader(), w.runningMachines()
				var mine []string
				for _, x := range w.cfg.Cluster.Teams {
					if o, _ := w.nodes[silent].n.member.TeamOwner(x.Name); o.Node == silent {
						mine = append(mine, x.Name)
					}
				}
				connections := w.connections(silent)
				if c.onlyMessages {
					connections = slices.DeleteFunc(connections, func(x string) bool {
						return !strings.HasPrefix(x, silent+">") || strings.HasSuffix(x, ">workers") || strings.HasSuffix(x, ">state") || strings.HasSuffix(x, ">cloud")
					})
				}
				w.disconnectFor(70*second, dropping, connections...)
				w.run(w.now + eventloop.Seconds(w.cfg.Operator.NodeLeaseS) + c.teams)
				for _, l := range w.labels {
					if l == silent {
						continue
					}
					for _, team := range mine {
						if o, ok := w.nodes[l].n.member.TeamOwner(team); !ok || o.Node == silent {
							t.Errorf("according to %s, %s is still owned by %q", l, team, o.Node)
						}
					}
				}
				w.run(w.now + c.hosts)
				other := w.labels[0]
				if other == silent {
					other = w.labels[1]
				}
				for _, name := range had { // a machine that boots now has not found a host controller yet
					if v := w.nodes[other].n.workers.View(name); !w.workers[name].deleted && (v == nil || v.Host == silent) {
						t.Errorf("%s still reports to %s, according to %s", name, silent, other)
					}
				}
				if !c.onlyMessages && w.nodes[silent].n.member.LeaseValid() {
					t.Error("the unreachable controller still acts under its lease, which has expired")
				}
			})
		}
	}
}

// A controller whose connections flap does not take its teams back after each interruption, but only after it has been
// reachable for a while.
func TestFlappingControllerDoesNotReclaimTeamsEachTime(t *testing.T) {
	const second = eventloop.Second
	w := operatorSimulation(t, 13, clusterSize{nodes: 3, zones: 2, each: 6}, 3)
	owns := func() (n int) {
		for _, x := range w.cfg.Cluster.Teams {
			if o, _ := w.nodes["a"].n.member.TeamOwner(x.Name); o.Node == "c" {
				n++
			}
		}
		return n
	}
	w.run(3630 * second)
	for round := range 8 {
		w.disconnectFor(6*second, dropping, w.connections("c")...)
		w.run(w.now + 20*second) // unreachable for 6 s, reachable for 14 s
		if n := owns(); round > 0 && n > 0 {
			t.Errorf("round %d: c flaps, and owns %d teams", round, n)
		}
	}
	w.run(w.now + 60*second)
	if owns() == 0 {
		t.Error("c owns no team a minute after its last fault")
	}
}

// Operators are told which owner is unreachable and which controller gets no work yet, and why.
func TestUnreachableOwnersAreDescribed(t *testing.T) {
	const second = eventloop.Second
	w := operatorSimulation(t, 17, clusterSize{nodes: 3, zones: 2, each: 4}, 0)
	w.run(3620 * second)
	if descriptions := w.nodes["a"].n.staleOwners(); len(descriptions) > 0 {
		t.Errorf("without a fault, owners are described as outdated: %q", descriptions)
	}
	var team string
	for _, x := range w.cfg.Cluster.Teams {
		if o, _ := w.nodes["a"].n.member.TeamOwner(x.Name); o.Node != "a" {
			team = x.Name
			w.disconnectFor(40*second, dropping, w.connections(o.Node)...)
			w.run(w.now + 3*second)
			if descriptions, want := w.nodes["a"].n.staleOwners(), "the owner "+o.Node+" of the team "+team+" is unreachable; other controllers take the team over when its lease expires"; !slices.Contains(descriptions, want) {
				t.Errorf("3 s later the descriptions are %q, want %q", descriptions, want)
			}
			w.run(w.now + 50*second)
			w.disconnectFor(6*second, dropping, w.connections(o.Node)...)
			w.run(w.now + 9*second)
			if got, want := w.nodes["a"].n.dampedPeers(), " ("+o.Node+" gets no work for another "; !strings.HasPrefix(got, want) {
				t.Errorf("a controller that flapped is described as %q", got)
			}
			break
		}
	}
	if team == "" {
		t.Fatal("a owns all teams")
	}
}

// The others use the shares of the state service's request rate that unreachable controllers do not use, and give them
// back when these return. While all know who is registered, the shares never exceed the whole.
func TestRequestSharesFollowRegistration(t *testing.T) {
	const second = eventloop.Second
	w := operatorSimulation(t, 23, clusterSize{nodes: 3, zones: 2, each: 4}, 0)
	parts := func() (out []float64) {
		for _, l := range w.labels {
			out = append(out, w.nodes[l].n.client.Share())
		}
		return out
	}
	near := func(got []float64, want ...float64) bool {
		return slices.EqualFunc(got, want, func(a, b float64) bool { return a > b-1e-6 && a < b+1e-6 })
	}
	w.run(3620 * second)
	if got := parts(); !near(got, 0.3, 0.3, 0.3) {
		t.Errorf("all are registered: shares %v", got)
	}
	w.disconnectFor(40*second, dropping, w.connections("b")...)
	w.disconnectFor(40*second, dropping, w.connections("c")...)
	w.run(w.now + eventloop.Seconds(w.cfg.Operator.NodeLeaseS) + 2*second)
	if got := parts(); !near(got, 0.6, 0.075, 0.075) {
		t.Errorf("b and c are unreachable: shares %v", got)
	}
	w.run(w.now + 45*second)
	if got := parts(); !near(got, 0.3, 0.3, 0.3) {
		t.Errorf("b and c are back: shares %v", got)
	}
}
