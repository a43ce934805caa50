package node

import (
	"fmt"
	"os"
	"testing"

	"cleatpick/internal/eventloop"
)

// namedFault is a fault that can be injected into a simulation.
type namedFault struct {
	name string
	do   func(w *simulation)
}

// randomFault injects one random fault, ends it some time later, and continues with another one.
func (w *simulation) randomFault() {
	r := w.rng
	label := w.labels[r.IntN(3)]
	mode := []linkMode{dropping, delaying}[r.IntN(2)]
	setModes := func(d eventloop.Micros, names ...string) {
		for _, n := range names {
			w.linkModes[n] = mode
		}
		w.after(d, func() {
			for _, n := range names {
				delete(w.linkModes, n)
			}
		})
	}
	toPeers := func() (out []string) {
		for _, p := range w.labels {
			if p != label {
				out = append(out, label+">"+p, p+">"+label)
			}
		}
		return out
	}
	d := w.between(2*eventloop.Second, 25*eventloop.Second)
	switch r.IntN(10) {
	case 0:
		w.kill(label)
	case 1:
		for _, l := range w.labels {
			w.kill(l)
		}
	case 2: // only the state service and the cloud are unreachable
		setModes(d, label+">state", label+">cloud")
	case 3: // only the workers are unreachable
		setModes(d, label+">workers")
	case 4: // everything but the state service and the cloud is unreachable
		setModes(d, append(toPeers(), label+">workers")...)
	case 5: // everything is unreachable
		setModes(d, append(toPeers(), label+">workers", label+">state", label+">cloud")...)
	case 6:
		w.state.SetDown(true)
		w.after(d, func() { w.state.SetDown(false) })
	case 7: // the cloud reclaims many spot machines at once, without notice
		for name, x := range eventloop.Sorted(w.workers) {
			if !x.deleted && x.w.Spot && name[len(name)-1]%2 == 0 {
				w.cloud.Reclaim(name)
			}
		}
	case 9: // no controller reaches another
		for _, a := range w.labels {
			for _, b := range w.labels {
				setModes(d, a+">"+b)
			}
		}
	case 8: // a machine hangs, and resumes
		for _, x := range eventloop.Sorted(w.workers) {
			if !x.deleted {
				x.hanging = true
				w.after(w.between(eventloop.Second, 14*eventloop.Second), func() { w.resume(x) })
				break
			}
		}
	}
	w.after(w.between(4*eventloop.Second, 18*eventloop.Second), func() {
		if w.now < 3600*eventloop.Second+150*eventloop.Second {
			w.randomFault()
		}
	})
}

// lastFaultStart is when the last fault of a simulation may begin.
const lastFaultStart = 3600*eventloop.Second + 130*eventloop.Second

// repeatFaults calls inject after a delay and then repeatedly, with intervals that are drawn from a range, until
// lastFaultStart.
func (w *simulation) repeatFaults(first, least, most eventloop.Micros, inject func()) {
	var again func()
	again = func() {
		inject()
		w.after(w.between(least, most), func() {
			if w.now < lastFaultStart {
				again()
			}
		})
	}
	w.after(first, again)
}

// seedRange returns the range of seeds to simulate. CLEATPICK_SEEDS="from to" selects others, to search for
// violations; CLEATPICK_TRACE=1 prints the controllers' logs.
func seedRange(t *testing.T, from, to uint64) (uint64, uint64) {
	if s := os.Getenv("CLEATPICK_SEEDS"); s != "" {
		if _, err := fmt.Sscan(s, &from, &to); err != nil {
			t.Fatal(err)
		}
	}
	return from, to
}

// Real controllers run against simple models of workers, cloud and state service, with crashes, network partitions,
// outages and delayed messages. The invariant checkers watch every start and every answer; after the last fault all
// jobs must complete.
func TestInvariantsUnderFaults(t *testing.T) {
	from, to := seedRange(t, 1, 16)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newSimulation(t, seed)
			for i := range 45 {
				w.after(w.between(eventloop.Second, 140*eventloop.Second), func() { w.addJob(i) })
			}
			w.after(12*eventloop.Second, w.randomFault)
			w.after(0, w.tickWorkers)
			w.after(0, w.checkCancelled)
			w.run(3600*eventloop.Second + 600*eventloop.Second)
			w.checkCompleted(50)
		})
	}
}

// checkCompleted checks that all jobs completed after the last fault, and that at least so many tasks were started.
func (w *simulation) checkCompleted(starts int) {
	w.t.Helper()
	for _, j := range w.jobs {
		if !j.accepted {
			w.t.Errorf("%s was never accepted", j.id)
		}
		if !j.done && j.cancelledAt == 0 && !j.broken {
			w.t.Errorf("%s is not done at the end of the simulation", j.id)
		}
	}
	if w.starts < starts {
		w.t.Errorf("only %d tasks were started", w.starts)
	}
	if n := len(w.running); n > 0 {
		w.t.Errorf("%d tasks still run on machines at the end", n)
	}
}
