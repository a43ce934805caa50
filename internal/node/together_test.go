package node

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/loop"
)

// freeze pauses a controller's process for a while. Its clocks go on; everything that arrives meanwhile waits and is
// handled in random order when the process resumes.
func (w *world) freeze(label string, d loop.Micros) {
	s := w.nodes[label]
	if !s.alive || s.frozen {
		return
	}
	s.frozen = true
	gen := s.gen
	w.at(d, func() {
		if s.gen != gen || !s.alive {
			return
		}
		held := s.held
		s.frozen, s.held = false, nil
		w.rng.Shuffle(len(held), func(a, b int) { held[a], held[b] = held[b], held[a] })
		for _, f := range held {
			w.at(w.between(0, 20*loop.Millisecond), f)
		}
	})
}

// present lists the machines that run, by name.
func (w *world) present() []string {
	var names []string
	for name, x := range w.workers {
		if !x.gone {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// some draws a share of the machines that run, but at least one.
func (w *world) some(part float64) []string {
	names := w.present()
	w.rng.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	return names[:min(len(names), int(part*float64(len(names)))+1)]
}

// hang lets machines hang for a while.
func (w *world) hang(names []string, d loop.Micros) {
	for _, name := range names {
		x := w.workers[name]
		x.hanging = true
		w.at(d, func() { w.resume(x) })
	}
}

// resume ends the hang of a machine. If its lease has expired, its tasks end before anything else.
func (w *world) resume(x *simWorker) {
	x.hanging = false
	if !x.gone {
		x.w.Tick(w.now)
	}
}

// die stops machines without notice; the cloud goes on listing them for a while.
func (w *world) die(names []string) {
	for _, name := range names {
		if x := w.workers[name]; !x.gone {
			x.gone = true
			x.w.Destroy()
			w.cloud.Die(name)
		}
	}
}

// cutZone disconnects a zone from everything outside it, including the state service and the cloud. The controllers and
// machines of the zone still reach each other.
func (w *world) cutZone(zone string, mode cutMode, d loop.Micros) {
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
	w.zoneCut[zone] = mode
	for _, n := range names {
		w.cut[n] = mode
	}
	w.at(d, func() {
		delete(w.zoneCut, zone)
		for _, n := range names {
			delete(w.cut, n)
		}
	})
}

// together is the faults of larger fleets: those that hit many machines at the same time, or a controller between two
// steps of its work.
var together = []namedTrouble{
	{"freeze", func(w *world) {
		// Shorter and longer than a controller's lease (4 s), the expiry of a start (6 s), a worker's lease (10 s) and
		// cancel_s (30 s).
		d := [...][2]loop.Micros{{1, 4}, {4, 6}, {6, 10}, {10, 30}, {30, 40}}[w.rng.IntN(5)]
		label, long := w.labels[w.rng.IntN(len(w.labels))], w.between(d[0]*loop.Second, d[1]*loop.Second)
		if w.rng.IntN(2) == 0 {
			w.freeze(label, long)
			return
		}
		// The worst time for a pause: the renewal of its lease, its record or its order has been executed, and the answer
		// arrives during the pause.
		words := []string{"/extend", "x/red", "x/blue", "/machines"}[w.rng.IntN(4)]
		w.nodes[label].after(words, func() { w.freeze(label, long) })
	}},
	{"hangs", func(w *world) { w.hang(w.some(0.1+0.3*w.rng.Float64()), w.between(3*loop.Second, 9*loop.Second)) }},
	{"long hangs", func(w *world) { w.hang(w.some(0.1+0.3*w.rng.Float64()), w.between(10*loop.Second, 22*loop.Second)) }},
	{"deaths", func(w *world) { w.die(w.some(0.1 + 0.3*w.rng.Float64())) }},
	{"zone", func(w *world) {
		w.cutZone(w.zones[w.rng.IntN(len(w.zones))], []cutMode{dropping, holding}[w.rng.IntN(2)], w.between(5*loop.Second, 45*loop.Second))
	}},
	{"crash", func(w *world) { w.kill(w.labels[w.rng.IntN(len(w.labels))]) }},
	{"all crash", func(w *world) {
		for _, l := range w.labels {
			w.kill(l)
		}
	}},
	{"outage", func(w *world) {
		w.state.SetDown(true)
		w.at(w.between(2*loop.Second, 20*loop.Second), func() { w.state.SetDown(false) })
	}},
	{"one way", func(w *world) {
		// Only messages from one controller to one other are late, starts among them.
		a, b := w.labels[w.rng.IntN(len(w.labels))], w.labels[w.rng.IntN(len(w.labels))]
		w.cut[a+">"+b] = holding
		w.at(w.between(8*loop.Second, 40*loop.Second), func() { delete(w.cut, a+">"+b) })
	}},
	{"full cloud", func(w *world) {
		kept := w.cloud.Take()
		w.at(w.between(10*loop.Second, 40*loop.Second), func() { w.cloud.Give(kept) })
	}},
}

// moment injects one or two faults within 3 s, and others later.
func (w *world) moment(until loop.Micros) {
	first := w.rng.IntN(len(together))
	together[first].do(w)
	if w.rng.IntN(2) == 0 {
		second := together[w.rng.IntN(len(together))]
		w.at(w.between(0, 3*loop.Second), func() { second.do(w) })
	}
	w.at(w.between(6*loop.Second, 30*loop.Second), func() {
		if w.now < until {
			w.moment(until)
		}
	})
}

// drawSize draws the size of a cluster: mostly small, since faults have the same effects there, but up to 15
// controllers, 6 zones and some hundreds of machines.
func drawSize(r *rand.Rand) size {
	z := size{nodes: 1 + r.IntN(5), zones: 1 + r.IntN(3), each: 2 + r.IntN(8)}
	switch r.IntN(8) {
	case 0:
		z = size{nodes: 1 + r.IntN(15), zones: 1 + r.IntN(6), each: 2 + r.IntN(50)}
	case 1:
		z = size{nodes: 1, zones: 1, each: 3 + r.IntN(10)}
	}
	return z
}

// Many machines fail at the same time, controllers are paused and resume with everything that queued, and a zone is
// disconnected meanwhile: no invariant may be violated, and after the last fault all jobs complete.
func TestRulesWhenManyFallTogether(t *testing.T) {
	from, to := seeds(t, 1, 12)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 11))
			z := drawSize(r)
			w := newWorldOf(t, seed, z, func(c *config.Config) {
				n := float64(z.zones * z.each * 8)
				c.Cluster.Teams = []config.Team{{Name: "red", CPUs: n / 5, CPUsMax: max(n/3, 8)}, {Name: "blue", CPUs: n / 8, CPUsMax: max(n/2, 8)}}
			})
			w.cloud.Lag = loop.Micros(r.IntN(3)) * loop.Second
			jobs := 30 + z.zones*z.each/4
			for i := range jobs {
				w.at(w.between(loop.Second, 120*loop.Second), func() { w.addJob(i) })
			}
			w.at(15*loop.Second, func() { w.moment(3600*loop.Second + 130*loop.Second) })
			w.at(0, w.live)
			w.at(0, w.checkCancelled)
			w.at(0, w.checkBeliefs)
			w.run(3600*loop.Second + 600*loop.Second)
			w.settled(30)
		})
	}
}

// leader returns the controller that considers itself the leader, or the first controller if none does.
func (w *world) leader() string {
	for _, l := range w.labels {
		if s := w.nodes[l]; s.alive && !s.frozen {
			if _, leads := s.n.member.Leads(); leads {
				return l
			}
		}
	}
	return w.labels[0]
}

// Each known hard case of larger fleets, by itself and at a fixed size.
func TestHardCases(t *testing.T) {
	const second = loop.Second
	usual := size{nodes: 3, zones: 2, each: 60}
	for _, c := range []struct {
		name string
		size size
		lag  loop.Micros
		do   func(w *world)
	}{
		{"an owner is paused between a record and its answer", usual, 0, func(w *world) {
			for _, l := range w.labels {
				w.nodes[l].after("x/", func() { w.freeze(l, w.between(8*second, 14*second)) })
			}
		}},
		{"the leader is paused while orders of machines are in flight", usual, 2 * second, func(w *world) {
			l := w.leader()
			w.nodes[l].after("/machines", func() { w.freeze(l, 15*second) })
		}},
		{"a host controller is paused, and its workers go elsewhere", usual, 0, func(w *world) { w.freeze(w.labels[1], 25*second) }},
		{"half of a zone hangs and resumes after its lease", usual, 0, func(w *world) {
			var names []string
			for i, name := range w.present() {
				if w.workers[name].w.Zone == "x" && i%2 == 0 {
					names = append(names, name)
				}
			}
			w.hang(names, 20*second)
		}},
		{"many machines fail while the cloud is full", usual, 2 * second, func(w *world) {
			kept := w.cloud.Take()
			w.die(w.some(0.7))
			w.at(40*second, func() { w.cloud.Give(kept) })
		}},
		{"machines fail during an outage of the state service", usual, 0, func(w *world) {
			w.state.SetDown(true)
			w.die(w.some(0.5))
			w.at(18*second, func() { w.state.SetDown(false) })
		}},
		{"all controllers crash while deletions are pending", usual, 0, func(w *world) {
			w.die(w.some(0.9))
			w.nodes[w.leader()].after("/machines/delete", func() {
				for _, l := range w.labels {
					w.kill(l)
				}
			})
		}},
		{"the cloud still lists the failed machines", usual, 20 * second, func(w *world) { w.die(w.some(0.5)) }},
		{"one type, one zone, one controller", size{1, 1, 40}, 0, func(w *world) {
			w.hang(w.some(0.3), 14*second)
			w.at(3*second, func() { w.die(w.some(0.2)) })
			w.freeze("a", 7*second)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newWorldOf(t, 5, c.size, func(cfg *config.Config) {
				n := float64(c.size.zones * c.size.each * 8)
				cfg.Cluster.Teams = []config.Team{{Name: "red", CPUs: n / 5, CPUsMax: n / 3}, {Name: "blue", CPUs: n / 8, CPUsMax: n / 2}}
			})
			w.cloud.Lag = c.lag
			for i := range 120 {
				w.at(w.between(second, 90*second), func() { w.addJob(i) })
			}
			done := false
			w.at(40*second, func() { c.do(w); done = true })
			w.at(75*second, func() { c.do(w) })
			w.at(0, w.live)
			w.at(0, w.checkCancelled)
			w.at(0, w.checkBeliefs)
			w.run(3600*second + 500*second)
			w.settled(100)
			if !done {
				t.Error("the fault was never injected")
			}
		})
	}
}

// Five thousand machines are disconnected from all controllers for 12 s and then report in the same second: each finds
// a controller again, none loses its lease, and none is deleted.
func TestManyReportInTheSameSecond(t *testing.T) {
	w := newWorldOf(t, 3, size{nodes: 3, zones: 2, each: 2500}, func(c *config.Config) {
		c.Cluster.Workers.ReportS, c.Cluster.Workers.LeaseS, c.Cluster.Workers.CancelS = 5, 26, 46
		// No idle machine is deleted. With a mean of 1e6 s some of the 5,000 were, in every second run.
		c.Operator.StandbyMeanS, c.Operator.OrdinaryStandbyMeanS = 1e11, 1e11
	})
	names := w.cloud.Fill(2500)
	w.run(3640 * loop.Second)
	w.cost = cost{}
	for _, l := range w.labels {
		w.cut[l+">workers"] = dropping
	}
	w.run(3652 * loop.Second)
	clear(w.cut)
	w.run(3680 * loop.Second)
	hosted := 0
	for _, l := range w.labels {
		hosted += w.nodes[l].n.agent.HostedCount()
	}
	if hosted != len(names) || len(w.present()) != len(names) {
		t.Errorf("%d machines have a host controller and %d run, want %d", hosted, len(w.present()), len(names))
	}
	for _, name := range names {
		if s := w.workers[name].w.Report().Session; s != 1 {
			t.Fatalf("%s lost its lease", name)
		}
	}
	t.Logf("the controllers used %v for 40 s", w.cost.own)
}
