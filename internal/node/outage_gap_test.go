package node

import (
	"bytes"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
)

// The gap: first the state service refuses one controller alone, while another one confirms cancellations to users;
// then it is down for all for longer than cancel_s, while workers keep reporting to the controller that was refused.
// Cancelled tasks must end in time all the same.

// slowReportSimulation returns a simulation full of long tasks. Its workers report so rarely that some have not been
// redirected when the state service goes down for all.
func slowReportSimulation(t *testing.T, nodes int) *simulation {
	return busySimulationWith(t, nodes, 5, 26, 46)
}

// owner returns the controller that owns a team, or the first one if none does.
func (w *simulation) owner(team string) string {
	for _, l := range w.labels {
		if s := w.nodes[l]; s.alive && !s.paused && s.n.scheduler.OwnsTeam(team) {
			return l
		}
	}
	return w.labels[0]
}

// outage takes the state service down for a while.
func (w *simulation) outage(after, d eventloop.Micros) {
	w.after(after, func() { w.state.SetDown(true) })
	w.after(after+d, func() { w.state.SetDown(false) })
}

// cancelTeam lets users cancel the jobs of a team one after the other, spread over a time.
func (w *simulation) cancelTeam(team string, d eventloop.Micros) {
	n := eventloop.Micros(0)
	for _, j := range eventloop.Sorted(w.jobs) {
		if j.spec.Team == team {
			w.after(50*eventloop.Millisecond+n*d/9, func() { w.cancel(j) })
			n++
		}
	}
}

// cancelTeamElsewhere is cancelTeam for users who reach every controller but one.
func (w *simulation) cancelTeamElsewhere(label, team string, d eventloop.Micros) {
	others := slices.DeleteFunc(slices.Clone(w.labels), func(l string) bool { return l == label })
	n := 0
	for _, j := range eventloop.Sorted(w.jobs) {
		if j.spec.Team != team {
			continue
		}
		s := w.nodes[others[n%len(others)]]
		w.after(50*eventloop.Millisecond+eventloop.Micros(n)*d/9, func() {
			j.cancelRequested = true
			s.execute(s.incarnation, func() { s.n.jobs.Cancel(j.id, w.answerChecker(j)) })
			w.after(2*eventloop.Second, func() { w.cancel(j) })
		})
		n++
	}
}

// cancelledJobs returns the number of jobs whose user was told that they are cancelled.
func (w *simulation) cancelledJobs() (n int) {
	for _, j := range w.jobs {
		if j.cancelledAt != 0 {
			n++
		}
	}
	return n
}

// cancelledTasksRunning returns the number of tasks that run although their user was told that the job is cancelled.
func (w *simulation) cancelledTasksRunning() (n int) {
	for task := range w.running {
		if w.jobs[task[:len("job-000000")]].cancelledAt != 0 {
			n++
		}
	}
	return n
}

// The gap at several lengths and numbers of controllers. All controllers reach each other, so the one that was refused
// learns of the cancellations from its peers: cancelled tasks end soon, and no other task is lost.
func TestCancelledBeforeOutage(t *testing.T) {
	const second, down = eventloop.Second, 60 * eventloop.Second // cancel_s is 46
	for _, nodes := range []int{2, 3, 5, 15} {
		for _, gap := range []eventloop.Micros{0, second / 2, second, 2 * second, 3 * second, 5 * second, 14 * second, 30 * second} {
			for _, refused := range []eventloop.Micros{gap / 2, gap, 14 * second, down + gap + 5*second} {
				if nodes != 3 && (gap != 2*second || refused != 14*second) || refused == 0 {
					continue
				}
				t.Run(fmt.Sprintf("%d nodes, %d ms, refused for %d ms", nodes, gap/1000, refused/1000), func(t *testing.T) {
					t.Parallel()
					w := slowReportSimulation(t, nodes)
					began := w.now
					for range 2 { // twice in a row: the second time the team may have another owner
						w.disconnectFor(refused, refusing, w.owner("red")+">state")
						w.outage(gap, down)
						w.cancelTeam([]string{"red", "blue"}[min((w.now-began)/second, 1)], gap)
						w.run(w.now + gap + 12*second)
						if n := w.cancelledTasksRunning(); n != 0 {
							t.Errorf("%d tasks of cancelled jobs still run, although all controllers reach each other", n)
						}
						w.run(w.now + down + 25*second)
					}
					if gap >= second && w.cancelledJobs() < 4 {
						t.Errorf("only %d jobs were cancelled, want 4 or more", w.cancelledJobs())
					}
					if w.endReasons["lease"] != 0 || w.endReasons["gone"] != 0 {
						t.Errorf("all controllers reach each other, but tasks were lost; ended tasks by reason: %v", w.endReasons)
					}
				})
			}
		}
	}
}

// The gap where no peer can notify the refused controller of the cancellations, because the one that confirmed them has
// crashed, is unreachable, or cannot read what its earlier incarnation confirmed. The refused controller stops
// answering its workers early enough that their leases expire in time. The invariant checkers check every second that
// no cancelled task runs for too long.
func TestCancelledBeforeOutageWithoutPeers(t *testing.T) {
	const second, down = eventloop.Second, 60 * eventloop.Second
	back := func(w *simulation, l string, d eventloop.Micros) {
		for _, o := range w.labels {
			if o != l {
				w.killFor(o, d)
			}
		}
	}
	for _, c := range []struct {
		name  string
		nodes int
		do    func(w *simulation, a string)
		lost  string // whether tasks end because leases expire
	}{
		{"the others crash with the outage", 3, func(w *simulation, a string) { w.after(2*second, func() { back(w, a, 200*second) }) }, "yes"},
		{"the others restart within a fraction of a second", 3, func(w *simulation, a string) { w.after(2*second, func() { back(w, a, 150*eventloop.Millisecond) }) }, "yes"},
		{"the other restarts at once", 2, func(w *simulation, a string) { w.after(2*second, func() { back(w, a, 40*eventloop.Millisecond) }) }, "yes"},
		{"it receives no messages", 3, func(w *simulation, a string) {
			w.disconnectFor(100*second, dropping, w.labels[0]+">"+a, w.labels[1]+">"+a, w.labels[2]+">"+a)
		}, "yes"},
		{"messages to it are delayed", 3, func(w *simulation, a string) {
			w.disconnectFor(100*second, delaying, w.labels[0]+">"+a, w.labels[1]+">"+a, w.labels[2]+">"+a)
		}, "perhaps"},
		{"one of the others is unreachable, and a third one notifies it", 3, func(w *simulation, a string) {
			o := w.labels[(slices.Index(w.labels, a)+1)%3]
			w.disconnectFor(100*second, dropping, o+">"+a)
		}, "no"},
		{"its machines report elsewhere", 3, func(w *simulation, a string) {
			w.after(5*second, func() { w.disconnectFor(30*second, dropping, a+">workers") })
		}, "no"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := slowReportSimulation(t, c.nodes)
			a := w.owner("red")
			w.disconnectFor(14*second, refusing, a+">state")
			w.outage(2*second, down)
			w.cancelTeamElsewhere(a, "red", 2*second)
			c.do(w, a)
			w.run(w.now + 2*second)
			cancelled := w.cancelledJobs()
			w.run(w.now + down)
			if cancelled < 7 || c.lost != "perhaps" && (w.endReasons["lease"] != 0) != (c.lost == "yes") {
				t.Errorf("%d jobs are cancelled; ended tasks by reason: %v", cancelled, w.endReasons)
			}
		})
	}
}

// A watch that delivers nothing while transactions are answered hides cancellations although the controller has contact
// to the state service. Peers notify it of them; if it receives no messages from peers, it redirects its workers or
// lets their leases expire.
func TestWatchDeliversNothing(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(w *simulation, a string)
		lost bool
	}{
		{"all reach each other", func(*simulation, string) {}, false},
		{"it receives no messages", func(w *simulation, a string) {
			for _, l := range w.labels {
				w.disconnectFor(90*eventloop.Second, dropping, l+">"+a)
			}
		}, false},
		{"the others crash", func(w *simulation, a string) {
			for _, l := range w.labels {
				if l != a {
					w.after(1100*eventloop.Millisecond, func() { w.killFor(l, 100*eventloop.Second) })
				}
			}
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := slowReportSimulation(t, 3)
			a := w.owner("red")
			w.unreachableByUsers = a // a question by a user would read the record that the watch hides
			w.disconnectFor(90*eventloop.Second, dropping, a+">watch")
			c.do(w, a)
			for _, j := range eventloop.Sorted(w.jobs) {
				j.cancelRequested = true
				for _, l := range w.labels {
					if l != a && j.spec.Team == "red" {
						w.after(eventloop.Second, func() { w.nodes[l].n.jobs.Cancel(j.id, w.answerChecker(j)) })
					}
				}
			}
			w.run(w.now + 60*eventloop.Second)
			if w.cancelledJobs() < 6 || w.cancelledTasksRunning() != 0 || (w.endReasons["lease"] != 0) != c.lost {
				t.Errorf("%d jobs are cancelled, %d of their tasks still run; ended tasks by reason: %v", w.cancelledJobs(), w.cancelledTasksRunning(), w.endReasons)
			}
		})
	}
}

// An outage of the state service for all controllers at once, however long, ends no task while all controllers reach
// each other, whatever their number. If one of them has crashed, the cancellation watermark of the others stops: then
// all workers' leases expire, but none before the time that the watermark leaves.
func TestStateServiceOutageForAll(t *testing.T) {
	for _, nodes := range []int{1, 2, 3, 5, 15} {
		for _, dead := range []bool{false, true} {
			t.Run(fmt.Sprint(nodes, " controllers, one crashed ", dead), func(t *testing.T) {
				t.Parallel()
				w := slowReportSimulation(t, nodes)
				if dead {
					if nodes == 1 {
						return
					}
					l := w.labels[(slices.Index(w.labels, w.owner("red"))+1)%nodes]
					w.after(3*eventloop.Second, func() { w.killFor(l, 100*eventloop.Second) })
				}
				w.outage(2*eventloop.Second, 65*eventloop.Second)
				// cancel_s - lease_s is 20 s, less a margin of 2 s and the lag of the watermark.
				w.run(w.now + 15*eventloop.Second)
				if w.endReasons["lease"] != 0 {
					t.Errorf("tasks were lost too early; ended tasks by reason: %v", w.endReasons)
				}
				w.run(w.now + 50*eventloop.Second)
				if (w.endReasons["lease"] != 0) != dead {
					t.Errorf("ended tasks by reason: %v", w.endReasons)
				}
			})
		}
	}
}

// Around gaps with random times and random other faults, no invariant is violated and all jobs complete.
func TestInvariantsAroundOutageGaps(t *testing.T) {
	from, to := seedRange(t, 1, 12)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := gapSimulation(t, seed)
			w.run(3600*eventloop.Second + 1200*eventloop.Second)
			w.checkCompleted(20)
		})
	}
}

// gapSimulation returns a simulation in which the gap occurs repeatedly, together with another fault.
func gapSimulation(t testing.TB, seed uint64) *simulation {
	r := rand.New(rand.NewPCG(seed, 31))
	w := newSimulationOf(t, seed, clusterSize{nodes: []int{1, 2, 3, 3, 5, 15}[r.IntN(6)], zones: 2, each: 4 + r.IntN(6)}, func(*config.Config) {})
	for i := range 40 {
		w.after(w.between(eventloop.Second, 150*eventloop.Second), func() {
			j := w.makeJob(i)
			j.run = w.between(eventloop.Second, 120*eventloop.Second)
			w.simulateUser(j)
		})
	}
	troubles := slices.Concat(isolationFaults, correlatedFaults, operatorFaults)
	var inject func()
	inject = func() {
		a := w.owner([]string{"red", "blue"}[r.IntN(2)])
		gap := w.between(0, 6*eventloop.Second)
		down := w.between(20*eventloop.Second, 60*eventloop.Second)
		w.disconnectFor(w.between(eventloop.Second, 20*eventloop.Second), refusing, a+">state")
		w.outage(gap, down)
		for _, j := range eventloop.Sorted(w.jobs) {
			if r.IntN(3) == 0 {
				w.after(w.between(0, gap+eventloop.Second), func() { w.cancel(j) })
			}
		}
		switch r.IntN(4) {
		case 0:
			w.after(w.between(0, gap+2*eventloop.Second), func() { w.restartQuickly(w.someControllers(), 1) })
		case 1:
			o := w.anyController()
			w.disconnectFor(w.between(10*eventloop.Second, 60*eventloop.Second), w.randomLossMode(), o+">"+a, a+">watch")
		case 2:
			x := troubles[r.IntN(len(troubles))]
			w.after(w.between(0, gap+5*eventloop.Second), func() { x.do(w) })
		}
		if w.now < 3600*eventloop.Second+100*eventloop.Second {
			w.after(gap+down+w.between(2*eventloop.Second, 20*eventloop.Second), inject)
		}
	}
	w.after(15*eventloop.Second, inject)
	w.startChecks(300 * eventloop.Second)
	return w
}

// A controller whose settings leave hardly any time for an outage still starts and serves, and logs one warning with
// both settings and the time that is left.
func TestWarningAboutShortCancelTime(t *testing.T) {
	for _, c := range []struct {
		cancel float64
		warns  int
	}{{13, 1}, {30, 0}} {
		w := busySimulationWith(t, 1, 1, 10, c.cancel)
		var out bytes.Buffer
		cfg := w.cfg
		cfg.Label = "z"
		NewWith(&cfg, slog.New(slog.NewTextHandler(&out, nil)), Dependencies{Loop: runner{w, &simNode{cost: &w.cost}, 1, "z"}})
		if n := strings.Count(out.String(), "level=WARN"); n != c.warns || n > 0 && !strings.Contains(out.String(), "cancel_s=13 lease_s=10 left_us=2250000") {
			t.Errorf("cancel_s %v logs: %s", c.cancel, out.String())
		}
		w.run(w.now + 60*eventloop.Second)
		if w.endReasons["lease"] != 0 {
			t.Errorf("cancel_s %v: tasks were lost; ended tasks by reason: %v", c.cancel, w.endReasons)
		}
	}
}
