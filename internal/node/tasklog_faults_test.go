package node

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/fake"
)

// tasklogSimulation returns a simulation in which task logs consist of many small segments that are filled, emptied and
// deleted all the time, while jobs are cancelled as their starts are being recorded.
func tasklogSimulation(t testing.TB, seed uint64) *simulation {
	r := rand.New(rand.NewPCG(seed, 59))
	w, jobs := randomSimulation(t, seed, r, func(c *config.Config) {
		c.Cluster.State.ValueKB = 1 + r.Float64()
		c.Cluster.State.TxnOps = []int{5, 8, 16}[r.IntN(3)]
	})
	w.stateFaults.slowShare = 0.4
	jobs *= 6
	for i := range jobs {
		w.after(w.between(eventloop.Second, 120*eventloop.Second), func() {
			j := w.makeJob(i)
			j.run = w.between(eventloop.Second, 6*eventloop.Second)
			cancelAfter := eventloop.Micros(0)
			switch kind := r.IntN(16); {
			case kind < 8:
				cancelAfter = w.between(80*eventloop.Millisecond, 450*eventloop.Millisecond)
			case kind < 11: // its record stays while those around it are deleted
				j.spec.Tasks, j.spec.CPUs, j.broken, j.run = 1, 0.25, false, w.between(40*eventloop.Second, 100*eventloop.Second)
			}
			w.simulateUser(j)
			if cancelAfter != 0 {
				w.after(cancelAfter, func() { w.cancel(j) })
			}
		})
	}
	if r.IntN(4) == 0 {
		w.after(w.between(20*eventloop.Second, 110*eventloop.Second), func() {
			w.state.SetLimits(&fake.Limits{ValueBytes: 400 + r.IntN(400), TxnOps: w.cfg.Cluster.State.TxnOps})
		})
	}
	w.injectFaults(r, coincidingFaults)
	w.startChecks(260 * eventloop.Second)
	return w
}

// Whatever a write of a task log is answered, no segment is deleted while it holds the only record of a task that the
// next owner has to know; and no other invariant is violated.
func TestInvariantsWithSmallSegments(t *testing.T) {
	from, to := seedRange(t, 1, 24)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := tasklogSimulation(t, seed)
			w.run(3600*eventloop.Second + 600*eventloop.Second)
			w.checkCompleted(30)
			t.Logf("%d segments were deleted, %d tasks were started, %d writes were refused as too large", w.segmentsDeleted, w.starts, w.state.Counts().Invalid)
		})
	}
}
