package node

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
)

var (
	soakFor  = flag.Duration("soak", 0, "for how long TestSoak starts further simulations; 0: it runs none")
	soakFrom = flag.Uint64("soak-seed", 1, "the first seed of TestSoak")
)

// soakBatch is how many simulations run in parallel.
const soakBatch = 8

// soakSimulation returns a simulation in which all known faults occur, two or three at a time, while users poll
// intensely.
func soakSimulation(t testing.TB, seed uint64) *simulation {
	r := rand.New(rand.NewPCG(seed, 4600))
	w, jobs := randomSimulation(t, seed, r, func(c *config.Config) {
		if r.IntN(2) == 0 {
			c.Cluster.Workers.ReportS, c.Cluster.Workers.LeaseS, c.Cluster.Workers.CancelS = 3, 18, 40
		}
		c.Cluster.State.ValueKB = []float64{1, 2, 4, 16}[r.IntN(4)]
	})
	w.stateFaults.slowShare = []float64{0, 0, 0.05, 0.4}[r.IntN(4)]
	for i := range jobs {
		w.after(w.between(eventloop.Second, 120*eventloop.Second), func() {
			j := w.makeJob(i)
			j.spec.Image = unfinishedImage
			if r.IntN(3) == 0 {
				j.spec.Tasks, j.runTimeStep = 2+r.IntN(2), w.between(5*eventloop.Second, 40*eventloop.Second)
			}
			w.simulateUser(j)
		})
	}
	if r.IntN(3) > 0 {
		w.after(5*eventloop.Second, func() { w.pollIntensely(w.between(20*eventloop.Second, 130*eventloop.Second)) })
	}
	faults := slices.Concat(coincidingFaults, isolationFaults, correlatedFaults, operatorFaults, answerFaults)
	w.repeatFaults(12*eventloop.Second, 10*eventloop.Second, 35*eventloop.Second, func() {
		for range 2 + r.IntN(2) {
			fault := faults[r.IntN(len(faults))]
			w.after(w.between(0, 5*eventloop.Second), func() { fault.do(w) })
		}
	})
	w.startChecks(260 * eventloop.Second)
	return w
}

// TestSoak runs simulations of consecutive seeds, beginning with a given one, until its time is over. The simulation
// of a seed is the same in each run; how many are run depends on the machine, and is logged.
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
					w := soakSimulation(t, seed)
					w.run(3600*eventloop.Second + 800*eventloop.Second)
					w.checkCompleted(20)
				})
			}
		})
		next += soakBatch
	}
	t.Logf("simulations of the seeds %d to %d ran", *soakFrom, next-1)
}
