package node

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"cleatpick/internal/agent"
	"cleatpick/internal/config"
	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// meetings is faults, and combinations of two faults, that are drawn in pairs. Most violations that users have seen
// happened when two faults coincided; docs/notes/meetings.md describes the analysis and the tests of each.
var meetings = []namedTrouble{
	{"refused alone, then down for all", func(w *world) {
		gap := w.between(0, 5*loop.Second)
		w.cutFor(w.between(loop.Second, 20*loop.Second), refusing, w.leader()+">state")
		w.outage(gap, w.between(5*loop.Second, 50*loop.Second))
		w.cancelSome(0.3, gap+loop.Second)
	}},
	{"a leader with its workers and users", func(w *world) {
		d := w.between(10*loop.Second, 50*loop.Second)
		w.cutFor(d, w.lostMode(), w.workersOnly(w.leader())...)
		w.cancelSome(0.3, d)
	}},
	{"a leader ends, and machines are not reached", func(w *world) {
		names := w.some(0.2 + 0.4*w.rng.Float64())
		if w.rng.IntN(2) == 0 {
			w.deafen(names, w.between(3*loop.Second, 30*loop.Second))
		} else {
			w.hang(names, w.between(3*loop.Second, 20*loop.Second))
		}
		w.at(w.between(0, 2*loop.Second), func() { w.kill(w.leader()) })
	}},
	{"slow state service", func(w *world) {
		w.late.slow = [...][2]loop.Micros{{300, 900}, {500, 1400}, {900, 2500}}[w.rng.IntN(3)]
		for k := range w.late.slow {
			w.late.slow[k] *= loop.Millisecond
		}
		w.at(w.between(5*loop.Second, 40*loop.Second), func() { w.late.slow = [2]loop.Micros{} })
		w.cancelSome(0.2, 10*loop.Second)
	}},
	{"late writes", func(w *world) {
		w.late.writes = 0.05 + 0.4*w.rng.Float64()
		w.at(w.between(10*loop.Second, 50*loop.Second), func() { w.late.writes = 0 })
	}},
	{"commands held up", func(w *world) {
		w.heldUp = 0.1 + 0.5*w.rng.Float64()
		w.at(w.between(10*loop.Second, 50*loop.Second), func() { w.heldUp = 0 })
	}},
	{"old copies to who has just begun", func(w *world) {
		w.copies = 0.3
		w.at(w.between(5*loop.Second, 12*loop.Second), func() { w.backAtOnce(w.labels, 1) })
		w.at(40*loop.Second, func() { w.copies = 0 })
	}},
	{"all end, and one returns at once", func(w *world) {
		first := w.anyLabel()
		for _, l := range w.labels {
			if l == first {
				w.killFor(l, w.between(20*loop.Millisecond, loop.Second))
			} else {
				w.killFor(l, w.between(loop.Second, 20*loop.Second))
			}
		}
	}},
	{"hand over and back", func(w *world) {
		// A controller that reaches no peer gives up what it owns, and is reachable again before or after another one
		// has claimed that.
		l := w.leader()
		for k := range 1 + w.rng.IntN(3) {
			w.at(loop.Micros(k)*w.between(5*loop.Second, 9*loop.Second), func() {
				var ways []string
				for _, o := range w.labels {
					if o != l {
						ways = append(ways, l+">"+o, o+">"+l)
					}
				}
				w.cutFor(w.between(2500*loop.Millisecond, 7*loop.Second), dropping, ways...)
			})
		}
		w.cancelSome(0.2, 8*loop.Second)
	}},
	{"machines that cannot report", func(w *world) {
		names := w.some(0.1 + 0.5*w.rng.Float64())
		if w.rng.IntN(3) == 0 {
			names = w.inZone(w.zones[w.rng.IntN(len(w.zones))])
		}
		w.mute(names, w.between(3*loop.Second, 45*loop.Second))
		w.cancelSome(0.2, 20*loop.Second)
	}},
	{"cancelled as the leader is refused", func(w *world) {
		refusal, out := w.between(0, 400*loop.Millisecond), w.between(0, 2400*loop.Millisecond)
		l := w.leader()
		w.at(refusal, func() { w.cutFor(w.between(2*loop.Second, 15*loop.Second), refusing, l+">state") })
		w.outage(out, w.between(30*loop.Second, 50*loop.Second))
		w.cancelSome(0.8, 400*loop.Millisecond)
	}},
	{"cancelled on machines that hang", func(w *world) {
		w.at(w.between(0, loop.Second), func() { w.hang(w.some(0.5*w.rng.Float64()), w.between(3*loop.Second, 45*loop.Second)) })
		w.cancelSome(0.8, loop.Second)
	}},
	{"cancelled at the end", func(w *world) {
		until := w.now + w.between(10*loop.Second, 40*loop.Second)
		w.onLeft = func(task, why string) {
			if id, _, _ := agent.SplitTask(task); why == wire.WhyDone && w.now < until && w.rng.IntN(2) == 0 {
				w.at(w.between(0, 900*loop.Millisecond), func() { w.withdraw(w.jobs[id]) })
			}
		}
	}},
	{"leaders change again and again", func(w *world) {
		d := w.between(5*loop.Second, 12*loop.Second)
		for k := range 4 + w.rng.IntN(7) {
			w.at(loop.Micros(k)*d, func() { w.killFor(w.leader(), w.between(100*loop.Millisecond, 6*loop.Second)) })
		}
	}},
	{"all away for longer than a lease", func(w *world) {
		for _, l := range w.labels {
			w.killFor(l, w.between(10*loop.Second, 35*loop.Second))
		}
	}},
	{"a zone loses its machines", func(w *world) { w.die(w.inZone(w.zones[w.rng.IntN(len(w.zones))])) }},
}

// cancelSome lets users cancel a third of the given share of all jobs within a time.
func (w *world) cancelSome(part float64, d loop.Micros) {
	for _, j := range loop.Sorted(w.jobs) {
		if w.rng.Float64() < part/3 {
			w.at(w.between(0, d), func() { w.withdraw(j) })
		}
	}
}

// meetWorld returns a simulation in which faults of all lists occur in pairs. A third of its jobs have two or three tasks
// that end far apart.
func meetWorld(t testing.TB, seed uint64) *world {
	r := rand.New(rand.NewPCG(seed, 41))
	w, jobs := drawnWorld(t, seed, r, func(c *config.Config) {
		if r.IntN(2) == 0 {
			c.Cluster.Workers.ReportS, c.Cluster.Workers.LeaseS, c.Cluster.Workers.CancelS = 3, 18, 40
		}
	})
	for i := range jobs {
		w.at(w.between(loop.Second, 120*loop.Second), func() {
			j := w.makeJob(i)
			if r.IntN(3) == 0 {
				j.spec.Tasks, j.later = 2+r.IntN(2), w.between(5*loop.Second, 40*loop.Second)
			}
			w.enter(j)
		})
	}
	troubles := slices.Concat(meetings, meetings, added, together, met)
	w.strikeAgain(15*loop.Second, 10*loop.Second, 35*loop.Second, func() {
		meetings[r.IntN(len(meetings))].do(w)
		second := troubles[r.IntN(len(troubles))]
		w.at(w.between(0, 5*loop.Second), func() { second.do(w) })
	})
	w.judged(260 * loop.Second)
	return w
}

// Under pairs of coinciding faults no invariant is violated, no job is forgotten, all jobs complete, and no class and no
// team has fewer than half of its jobs done.
func TestRulesWhereTwoMeet(t *testing.T) {
	from, to := seeds(t, 1, 16)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := meetWorld(t, seed)
			w.run(3600*loop.Second + 800*loop.Second)
			w.settled(20)
			w.halfServed()
		})
	}
}
