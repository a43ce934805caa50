package node

import (
	"fmt"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
)

// slowAnswersWorld returns a simulation with more urgent and normal work than capacity, while packets are lost: many answers
// to reports arrive long after the direct commands that were sent at the same time. Tasks are preempted and placed again
// within that time.
func slowAnswersWorld(t testing.TB, seed uint64) *world {
	w := newWorldOf(t, seed, size{nodes: 3, zones: 2, each: 3}, func(c *config.Config) {
		c.Cluster.Teams = []config.Team{{Name: "red", CPUs: 60, CPUsMax: 160}, {Name: "blue", CPUs: 40, CPUsMax: 160}}
	})
	w.cloud.Types[0].CPUs, w.cloud.Types[0].MemoryGB = 24, 96
	w.slowAnswers = 0.2 + 0.5*w.rng.Float64()
	if w.rng.IntN(3) == 0 {
		w.heldUp = 0.1
	}
	if w.rng.IntN(3) == 0 {
		w.copies = 0.05
	}
	number := 0
	for burst := range 5 {
		for range 25 {
			w.at(loop.Micros(burst)*20*loop.Second+w.between(loop.Second, 12*loop.Second), func() {
				w.enter(w.urgentOrNot(number))
				number++
			})
		}
	}
	if w.rng.IntN(2) == 0 {
		w.at(w.between(12*loop.Second, 60*loop.Second), w.trouble)
	}
	return w
}

// urgentOrNot draws a job; half of the jobs are urgent and short.
func (w *world) urgentOrNot(number int) *simJob {
	j := w.makeJob(number)
	if w.rng.IntN(2) == 0 {
		j.spec.Priority = job.High
		j.run = w.between(loop.Second, 4*loop.Second)
	}
	return j
}

// No host controller may send a forget while a start of that attempt can still reach the worker, and no worker may get a
// start after the forget of its attempt. The invariant checkers check that in every simulation; here many answers are slow,
// so that it matters.
func TestForgetsWhereAnswersAreSlow(t *testing.T) {
	from, to := seeds(t, 1, 12)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := slowAnswersWorld(t, seed)
			w.judged(250 * loop.Second)
			w.run(3600*loop.Second + 400*loop.Second)
			w.settled(50)
			if w.forgets == 0 {
				t.Error("no forget was sent")
			}
		})
	}
}
