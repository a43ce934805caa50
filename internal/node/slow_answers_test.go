package node

import (
	"fmt"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
)

// slowAnswersSimulation returns a simulation with more urgent and normal work than capacity, while packets are lost:
// many answers to reports arrive long after the direct commands that were sent at the same time. Tasks are preempted
// and placed again within that time.
func slowAnswersSimulation(t testing.TB, seed uint64) *simulation {
	w := newSimulationOf(t, seed, clusterSize{nodes: 3, zones: 2, each: 3}, func(c *config.Config) {
		c.Cluster.Teams = []config.Team{{Name: "red", CPUs: 60, CPUsMax: 160}, {Name: "blue", CPUs: 40, CPUsMax: 160}}
	})
	w.cloud.Types[0].CPUs, w.cloud.Types[0].MemoryGB = 24, 96
	w.slowAnswerShare = 0.2 + 0.5*w.rng.Float64()
	if w.rng.IntN(3) == 0 {
		w.delayedCommandShare = 0.1
	}
	if w.rng.IntN(3) == 0 {
		w.duplicateShare = 0.05
	}
	number := 0
	for burst := range 5 {
		for range 25 {
			w.after(eventloop.Micros(burst)*20*eventloop.Second+w.between(eventloop.Second, 12*eventloop.Second), func() {
				w.simulateUser(w.urgentOrNot(number))
				number++
			})
		}
	}
	if w.rng.IntN(2) == 0 {
		w.after(w.between(12*eventloop.Second, 60*eventloop.Second), w.randomFault)
	}
	return w
}

// urgentOrNot draws a job; half of the jobs are urgent and short.
func (w *simulation) urgentOrNot(number int) *simJob {
	j := w.makeJob(number)
	if w.rng.IntN(2) == 0 {
		j.spec.Priority = job.High
		j.run = w.between(eventloop.Second, 4*eventloop.Second)
	}
	return j
}

// No host controller may send a forget while a start of that attempt can still reach the worker, and no worker may
// get a start after the forget of its attempt. The invariant checkers check that in every simulation; here many
// answers are slow, so that it matters.
func TestForgetsWithSlowAnswers(t *testing.T) {
	from, to := seedRange(t, 1, 12)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := slowAnswersSimulation(t, seed)
			w.startChecks(250 * eventloop.Second)
			w.run(3600*eventloop.Second + 400*eventloop.Second)
			w.checkCompleted(50)
			if w.forgetsSent == 0 {
				t.Error("no forget was sent")
			}
		})
	}
}
