package node

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
)

// copiesSimulation returns a simulation in which copies of executed requests of all kinds arrive again, while
// controllers and machines restart within a second and all other faults occur.
func copiesSimulation(t testing.TB, seed uint64) *simulation {
	r := rand.New(rand.NewPCG(seed, 6400))
	w, jobs := randomSimulation(t, seed, r, func(*config.Config) {})
	for i := range jobs {
		w.after(w.between(eventloop.Second, 120*eventloop.Second), func() { w.addJob(i) })
	}
	w.copyAll([]float64{0.02, 0.1, 0.3}[r.IntN(3)])
	w.injectFaults(r, isolationFaults)
	w.startChecks(260 * eventloop.Second)
	return w
}

// seedsForEachKind is the number of simulations in which copies of all kinds arrive. A single one may lack some: one
// controller alone sends no frames.
const seedsForEachKind = 8

// No copy of an executed request makes a task run twice or after its cancellation, or violates any other invariant.
func TestInvariantsUnderCopiesOfExecutedRequests(t *testing.T) {
	from, to := seedRange(t, 1, 24)
	arrived := make([][requestKinds]int, to-from+1)
	t.Run("seeds", func(t *testing.T) {
		for seed := from; seed <= to; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				w := copiesSimulation(t, seed)
				w.run(3600*eventloop.Second + 700*eventloop.Second)
				w.checkCompleted(20)
				w.checkHalfServed()
				arrived[seed-from] = w.copiesArrived
			})
		}
	})
	if len(arrived) < seedsForEachKind {
		return
	}
	for kind := range requestKinds {
		total := 0
		for _, byKind := range arrived {
			total += byKind[kind]
		}
		if total < len(arrived) {
			t.Errorf("%d copies of requests of kind %d arrived in %d simulations", total, kind, len(arrived))
		}
	}
}

// A machine that restarts within a second, as if it had just booted, and executes copies of the starts of the tasks that
// were on it does not run a task that has been started elsewhere since.
func TestTasksOfMachineRestartedAsNewRunOnce(t *testing.T) {
	from, to := seedRange(t, 1, 32)
	replayed := make([]int, to-from+1)
	t.Run("seeds", func(t *testing.T) {
		for seed := from; seed <= to; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				r := rand.New(rand.NewPCG(seed, 6401))
				w, jobs := randomSimulation(t, seed, r, func(*config.Config) {})
				w.restartAsNew = true
				for i := range jobs {
					w.after(w.between(eventloop.Second, 120*eventloop.Second), func() { w.addJob(i) })
				}
				w.copyShares[copiedCommand] = 0.1
				w.repeatFaults(12*eventloop.Second, 3*eventloop.Second, 15*eventloop.Second, func() {
					w.restartMachines(w.someMachines(0.1 + 0.4*w.rng.Float64()))
					if r.IntN(4) == 0 {
						w.restartQuickly(w.someControllers(), 1)
					}
				})
				w.startChecks(260 * eventloop.Second)
				w.run(3600*eventloop.Second + 700*eventloop.Second)
				w.checkCompleted(20)
				replayed[seed-from] = w.replayedStarts
			})
		}
	})
	total := 0
	for _, n := range replayed {
		total += n
	}
	if total < len(replayed) {
		t.Errorf("%d starts arrived again after a restart in %d simulations", total, len(replayed))
	}
}

// Tasks run once, and all run in the end, when copies of reports from before a restart arrive after it. The machines are
// in session 2 or later, since no controller answered them for longer than their lease, and restart in session 1 together
// with all controllers, which then know nothing of the higher sessions.
func TestTasksRunOnceWhenReportsOfHigherSessionsArriveAgain(t *testing.T) {
	from, to := seedRange(t, 1, 16)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 7001))
			w, jobs := randomSimulation(t, seed, r, func(*config.Config) {})
			w.restartAsNew = true
			for i := range jobs {
				w.after(w.between(eventloop.Second, 120*eventloop.Second), func() { w.addJob(i) })
			}
			w.copyShares[copiedReport] = 0.2
			lease := eventloop.Seconds(w.cfg.Cluster.Workers.LeaseS)
			w.repeatFaults(10*eventloop.Second, 40*eventloop.Second, 60*eventloop.Second, func() {
				for _, label := range w.labels {
					w.killFor(label, lease+w.between(0, 4*eventloop.Second))
				}
				w.after(lease+w.between(8*eventloop.Second, 20*eventloop.Second), func() {
					w.restartMachines(w.someMachines(0.3 + 0.7*w.rng.Float64()))
					w.restartQuickly(w.labels, 1)
				})
			})
			w.startChecks(260 * eventloop.Second)
			w.run(3600*eventloop.Second + 700*eventloop.Second)
			w.checkCompleted(20)
			if w.copiesArrived[copiedReport] == 0 {
				t.Error("no copy of a report arrived")
			}
		})
	}
}
