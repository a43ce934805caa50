package node

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/loop"
)

var (
	soakFor  = flag.Duration("soak", 0, "for how long TestSoak starts further simulations; 0: it runs none")
	soakFrom = flag.Uint64("soak-seed", 1, "the first seed of TestSoak")
)

// soakBatch is how many simulations run in parallel.
const soakBatch = 8

// soakWorld returns a simulation in which all known faults occur, two or three at a time, while users poll intensely.
func soakWorld(t testing.TB, seed uint64) *world {
	r := rand.New(rand.NewPCG(seed, 4600))
	w, jobs := drawnWorld(t, seed, r, func(c *config.Config) {
		if r.IntN(2) == 0 {
			c.Cluster.Workers.ReportS, c.Cluster.Workers.LeaseS, c.Cluster.Workers.CancelS = 3, 18, 40
		}
	})
	for i := range jobs {
		w.at(w.between(loop.Second, 120*loop.Second), func() {
			j := w.makeJob(i)
			j.spec.Image = closeImage
			if r.IntN(3) == 0 {
				j.spec.Tasks, j.later = 2+r.IntN(2), w.between(5*loop.Second, 40*loop.Second)
			}
			w.enter(j)
		})
	}
	if r.IntN(3) > 0 {
		w.at(5*loop.Second, func() { w.closeLooks(w.between(20*loop.Second, 130*loop.Second)) })
	}
	troubles := slices.Concat(meetings, added, together, met, answerTroubles)
	w.strikeAgain(12*loop.Second, 10*loop.Second, 35*loop.Second, func() {
		for range 2 + r.IntN(2) {
			trouble := troubles[r.IntN(len(troubles))]
			w.at(w.between(0, 5*loop.Second), func() { trouble.do(w) })
		}
	})
	w.judged(260 * loop.Second)
	return w
}

// TestSoak runs simulations from a given seed on until its time is over. A simulation is the same whenever it runs; how many
// run depends on the machine, and is logged.
func TestSoak(t *testing.T) {
	if *soakFor == 0 {
		t.Skip("started by -soak DURATION")
	}
	next := *soakFrom
	for began := time.Now(); time.Since(began) < *soakFor && !t.Failed(); {
		t.Run(fmt.Sprintf("from %d", next), func(t *testing.T) {
			for seed := next; seed < next+soakBatch; seed++ {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					w := soakWorld(t, seed)
					w.run(3600*loop.Second + 800*loop.Second)
					w.settled(20)
				})
			}
		})
		next += soakBatch
	}
	t.Logf("simulations of the seeds %d to %d ran", *soakFrom, next-1)
}
