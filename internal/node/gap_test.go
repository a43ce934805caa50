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
	"cleatpick/internal/loop"
)

// The gap: the state service refuses one controller alone, another confirms cancellations to
// users, and then it is down for all for longer than cancel_s, while workers go on reporting to
// the one that was refused. What was cancelled must be gone in time all the same.

// fullWorld is a deployment full of long tasks. Its workers report so seldom that some have not
// moved on when the state service is lost to all.
func fullWorld(t *testing.T, nodes int) *world { return handWorldOf(t, nodes, 5, 26, 46) }

// owner is who owns a team.
func (w *world) owner(team string) string {
	for _, l := range w.labels {
		if s := w.nodes[l]; s.alive && !s.frozen && s.n.placer.OwnsTeam(team) {
			return l
		}
	}
	return w.labels[0]
}

// outage lets the state service be down for a while.
func (w *world) outage(after, d loop.Micros) {
	w.at(after, func() { w.state.SetDown(true) })
	w.at(after+d, func() { w.state.SetDown(false) })
}

// cancelAmong lets users cancel the jobs of a team one after another within a time.
func (w *world) cancelAmong(team string, d loop.Micros) {
	n := loop.Micros(0)
	for _, j := range loop.Sorted(w.jobs) {
		if j.spec.Team == team {
			w.at(50*loop.Millisecond+n*d/9, func() { w.withdraw(j) })
			n++
		}
	}
}

// cancelBesides is cancelAmong by users who reach every node but one.
func (w *world) cancelBesides(label, team string, d loop.Micros) {
	others := slices.DeleteFunc(slices.Clone(w.labels), func(l string) bool { return l == label })
	n := 0
	for _, j := range loop.Sorted(w.jobs) {
		if j.spec.Team != team {
			continue
		}
		s := w.nodes[others[n%len(others)]]
		w.at(50*loop.Millisecond+loop.Micros(n)*d/9, func() {
			j.asked = true
			s.enter(s.gen, func() { s.n.jobs.Withdraw(j.id, w.answer(j)) })
			w.at(2*loop.Second, func() { w.withdraw(j) })
		})
		n++
	}
}

// told is the number of jobs of which a user was told that they are cancelled.
func (w *world) cancelled() (n int) {
	for _, j := range w.jobs {
		if j.withdrawn != 0 {
			n++
		}
	}
	return n
}

// onMachines is the number of tasks that are on machines although their job was cancelled.
func (w *world) onMachines() (n int) {
	for task := range w.active {
		if w.jobs[task[:len("job-000000")]].withdrawn != 0 {
			n++
		}
	}
	return n
}

func TestTheGap(t *testing.T) {
	const second, down = loop.Second, 60 * loop.Second // cancel_s is 46
	for _, nodes := range []int{2, 3, 5, 15} {
		for _, gap := range []loop.Micros{0, second / 2, second, 2 * second, 3 * second, 5 * second, 14 * second, 30 * second} {
			for _, refused := range []loop.Micros{gap / 2, gap, 14 * second, down + gap + 5*second} {
				if nodes != 3 && (gap != 2*second || refused != 14*second) || refused == 0 {
					continue
				}
				t.Run(fmt.Sprintf("%d nodes, %d ms, refused for %d ms", nodes, gap/1000, refused/1000), func(t *testing.T) {
					t.Parallel()
					w := fullWorld(t, nodes)
					began := w.now
					for range 2 { // twice in a row, as in the users' day: the second may find another owner
						w.cutFor(refused, refusing, w.owner("red")+">state")
						w.outage(gap, down)
						w.cancelAmong([]string{"red", "blue"}[min((w.now-began)/second, 1)], gap)
						w.run(w.now + gap + 12*second)
						if n := w.onMachines(); n != 0 {
							t.Errorf("%d tasks of cancelled jobs run on, although all nodes hear each other", n)
						}
						w.run(w.now + down + 25*second)
					}
					if gap >= second && w.cancelled() < 4 {
						t.Errorf("only %d jobs were cancelled", w.cancelled())
					}
					if w.whys["lease"] != 0 || w.whys["gone"] != 0 {
						t.Errorf("all nodes hear each other, and tasks end by %v", w.whys)
					}
				})
			}
		}
	}
}

// What is not known cannot be told: where the one that confirmed has ended, is not heard, or
// cannot read what its earlier life confirmed, workers are let go in time. The referee looks at
// every second whether anything that was cancelled is on a machine for too long.
func TestTheGapWhereNobodyTells(t *testing.T) {
	const second, down = loop.Second, 60 * loop.Second
	back := func(w *world, l string, d loop.Micros) {
		for _, o := range w.labels {
			if o != l {
				w.killFor(o, d)
			}
		}
	}
	for _, c := range []struct {
		name  string
		nodes int
		do    func(w *world, a string)
		lost  string // whether work is let go
	}{
		{"the others end with the outage", 3, func(w *world, a string) { w.at(2*second, func() { back(w, a, 200*second) }) }, "yes"},
		{"the others are back within a fraction of a second", 3, func(w *world, a string) { w.at(2*second, func() { back(w, a, 150*loop.Millisecond) }) }, "yes"},
		{"the other is back at once", 2, func(w *world, a string) { w.at(2*second, func() { back(w, a, 40*loop.Millisecond) }) }, "yes"},
		{"it hears nobody", 3, func(w *world, a string) {
			w.cutFor(100*second, dropping, w.labels[0]+">"+a, w.labels[1]+">"+a, w.labels[2]+">"+a)
		}, "yes"},
		{"its answers are held up", 3, func(w *world, a string) {
			w.cutFor(100*second, holding, w.labels[0]+">"+a, w.labels[1]+">"+a, w.labels[2]+">"+a)
		}, "perhaps"},
		{"one of the others is not heard, and a third tells", 3, func(w *world, a string) {
			o := w.labels[(slices.Index(w.labels, a)+1)%3]
			w.cutFor(100*second, dropping, o+">"+a)
		}, "no"},
		{"its machines go elsewhere", 3, func(w *world, a string) {
			w.at(5*second, func() { w.cutFor(30*second, dropping, a+">workers") })
		}, "no"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := fullWorld(t, c.nodes)
			a := w.owner("red")
			w.cutFor(14*second, refusing, a+">state")
			w.outage(2*second, down)
			w.cancelBesides(a, "red", 2*second)
			c.do(w, a)
			w.run(w.now + 2*second)
			told := w.cancelled()
			w.run(w.now + down)
			if told < 7 || c.lost != "perhaps" && (w.whys["lease"] != 0) != (c.lost == "yes") {
				t.Errorf("%d jobs are cancelled, tasks end by %v", told, w.whys)
			}
		})
	}
}

// A watch that is silent while transactions are answered tells of no cancellation, and contact
// proves nothing. Peers tell; where none is heard, workers are sent on or let go.
func TestSilentWatch(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(w *world, a string)
		lost bool
	}{
		{"all hear each other", func(*world, string) {}, false},
		{"it hears nobody", func(w *world, a string) {
			for _, l := range w.labels {
				w.cutFor(90*loop.Second, dropping, l+">"+a)
			}
		}, false},
		{"the others end", func(w *world, a string) {
			for _, l := range w.labels {
				if l != a {
					w.at(1100*loop.Millisecond, func() { w.killFor(l, 100*loop.Second) })
				}
			}
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := fullWorld(t, 3)
			a := w.owner("red")
			w.shunned = a // each question would read the record that the watch keeps silent of
			w.cutFor(90*loop.Second, dropping, a+">watch")
			c.do(w, a)
			for _, j := range loop.Sorted(w.jobs) {
				j.asked = true
				for _, l := range w.labels {
					if l != a && j.spec.Team == "red" {
						w.at(loop.Second, func() { w.nodes[l].n.jobs.Withdraw(j.id, w.answer(j)) })
					}
				}
			}
			w.run(w.now + 60*loop.Second)
			if w.cancelled() < 6 || w.onMachines() != 0 || (w.whys["lease"] != 0) != c.lost {
				t.Errorf("%d jobs are cancelled, %d of their tasks are left, tasks end by %v", w.cancelled(), w.onMachines(), w.whys)
			}
		})
	}
}

// The counterpart: an outage for all at once, however long, kills nothing while all nodes hear
// each other, whatever their number. One that has ended holds the others where they were: then
// all leases end, and none before what is left after the horizon.
func TestOutageForAll(t *testing.T) {
	for _, nodes := range []int{1, 2, 3, 5, 15} {
		for _, dead := range []bool{false, true} {
			t.Run(fmt.Sprint(nodes, " nodes, one dead ", dead), func(t *testing.T) {
				t.Parallel()
				w := fullWorld(t, nodes)
				if dead {
					if nodes == 1 {
						return
					}
					l := w.labels[(slices.Index(w.labels, w.owner("red"))+1)%nodes]
					w.at(3*loop.Second, func() { w.killFor(l, 100*loop.Second) })
				}
				w.outage(2*loop.Second, 65*loop.Second)
				// cancel_s - lease_s is 20 s, less a margin of 2 and what the horizon lags.
				w.run(w.now + 15*loop.Second)
				if w.whys["lease"] != 0 {
					t.Errorf("tasks end by %v before their time", w.whys)
				}
				w.run(w.now + 50*loop.Second)
				if (w.whys["lease"] != 0) != dead {
					t.Errorf("tasks end by %v", w.whys)
				}
			})
		}
	}
}

// Whatever is drawn around the gap, no rule breaks, and all gets done.
func TestRulesInTheGap(t *testing.T) {
	from, to := seeds(t, 1, 12)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := gapWorld(t, seed)
			w.run(3600*loop.Second + 1200*loop.Second)
			w.settled(20)
		})
	}
}

// gapWorld is a deployment in which the gap opens again and again, with a trouble beside it.
func gapWorld(t testing.TB, seed uint64) *world {
	r := rand.New(rand.NewPCG(seed, 31))
	w := newWorldOf(t, seed, size{nodes: []int{1, 2, 3, 3, 5, 15}[r.IntN(6)], zones: 2, each: 4 + r.IntN(6)}, func(*config.Config) {})
	for i := range 40 {
		w.at(w.between(loop.Second, 150*loop.Second), func() {
			j := w.makeJob(i)
			j.run = w.between(loop.Second, 120*loop.Second)
			w.enter(j)
		})
	}
	troubles := slices.Concat(added, together, met)
	var strike func()
	strike = func() {
		a := w.owner([]string{"red", "blue"}[r.IntN(2)])
		gap := w.between(0, 6*loop.Second)
		down := w.between(20*loop.Second, 60*loop.Second)
		w.cutFor(w.between(loop.Second, 20*loop.Second), refusing, a+">state")
		w.outage(gap, down)
		for _, j := range loop.Sorted(w.jobs) {
			if r.IntN(3) == 0 {
				w.at(w.between(0, gap+loop.Second), func() { w.withdraw(j) })
			}
		}
		switch r.IntN(4) {
		case 0:
			w.at(w.between(0, gap+2*loop.Second), func() { w.backAtOnce(w.someLabels(), 1) })
		case 1:
			o := w.anyLabel()
			w.cutFor(w.between(10*loop.Second, 60*loop.Second), w.lostMode(), o+">"+a, a+">watch")
		case 2:
			x := troubles[r.IntN(len(troubles))]
			w.at(w.between(0, gap+5*loop.Second), func() { x.do(w) })
		}
		if w.now < 3600*loop.Second+100*loop.Second {
			w.at(gap+down+w.between(2*loop.Second, 20*loop.Second), strike)
		}
	}
	w.at(15*loop.Second, strike)
	w.judged(300 * loop.Second)
	return w
}

// Settings that leave no time for an outage still start and serve, and one warning names both
// and what is left.
func TestHardlyAnyTimeIsLeft(t *testing.T) {
	for _, c := range []struct {
		cancel float64
		warns  int
	}{{13, 1}, {30, 0}} {
		w := handWorldOf(t, 1, 1, 10, c.cancel)
		var out bytes.Buffer
		cfg := w.cfg
		cfg.Label = "z"
		Wire(&cfg, slog.New(slog.NewTextHandler(&out, nil)), Outside{Loop: runner{w, &simNode{cost: &w.cost}, 1, "z"}})
		if n := strings.Count(out.String(), "level=WARN"); n != c.warns || n > 0 && !strings.Contains(out.String(), "cancel_s=13 lease_s=10 left_us=2250000") {
			t.Errorf("cancel_s %v: %s", c.cancel, out.String())
		}
		w.run(w.now + 60*loop.Second)
		if w.whys["lease"] != 0 {
			t.Errorf("cancel_s %v: tasks end by %v", c.cancel, w.whys)
		}
	}
}
