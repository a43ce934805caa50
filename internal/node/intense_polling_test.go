package node

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
)

// answerFaults lists the faults that delay answers or lose them.
var answerFaults = []namedFault{
	{"a controller is paused after it has stored a job", func(w *simulation) {
		// The user asks elsewhere after 2 to 4 s, and is answered there.
		label, d := w.anyController(), w.between(3*eventloop.Second, 12*eventloop.Second)
		w.nodes[label].afterRequest(unfinishedImage, func() { w.pause(label, d) })
	}},
	{"a controller is paused", func(w *simulation) { w.pause(w.anyController(), w.between(6*eventloop.Second, 20*eventloop.Second)) }},
	{"all controllers are paused", func(w *simulation) {
		d := w.between(8*eventloop.Second, 25*eventloop.Second)
		for _, label := range w.labels {
			w.pause(label, d)
		}
	}},
	{"answers are delayed", func(w *simulation) {
		w.stateFaults.answerDelay = [...][2]eventloop.Micros{{50, 350}, {200, 900}, {500, 3000}}[w.rng.IntN(3)]
		for k := range w.stateFaults.answerDelay {
			w.stateFaults.answerDelay[k] *= eventloop.Millisecond
		}
		w.after(w.between(5*eventloop.Second, 30*eventloop.Second), func() { w.stateFaults.answerDelay = [2]eventloop.Micros{} })
	}},
	{"answers are lost", func(w *simulation) {
		w.stateFaults.lostAnswers = 0.1 + 0.4*w.rng.Float64()
		w.after(w.between(5*eventloop.Second, 30*eventloop.Second), func() { w.stateFaults.lostAnswers = 0 })
	}},
	{"late writes", func(w *simulation) {
		w.stateFaults.lateWrites = 0.05 + 0.3*w.rng.Float64()
		w.after(w.between(5*eventloop.Second, 30*eventloop.Second), func() { w.stateFaults.lateWrites = 0 })
	}},
	{"very many polls", func(w *simulation) { w.pollStorm(1500, 40*eventloop.Second) }},
	{"an outage", func(w *simulation) { w.outage(0, w.between(5*eventloop.Second, 20*eventloop.Second)) }},
	{"the state service refuses a controller", func(w *simulation) {
		w.disconnectFor(w.between(3*eventloop.Second, 15*eventloop.Second), refusing, w.anyController()+">state")
	}},
}

// unfinishedImage occurs in the records of unfinished jobs and in nothing else that is stored.
const unfinishedImage = "closely-looked-at"

// intensePollingSimulation returns a simulation whose users poll intensely, with pairs of faults.
func intensePollingSimulation(t testing.TB, seed uint64) *simulation {
	r := rand.New(rand.NewPCG(seed, 46))
	w, jobs := randomSimulation(t, seed, r, func(c *config.Config) {})
	for i := range 2 * jobs {
		w.after(w.between(eventloop.Second, 120*eventloop.Second), func() {
			j := w.makeJob(i)
			j.spec.Image = unfinishedImage
			w.simulateUser(j)
		})
	}
	w.after(5*eventloop.Second, func() { w.pollIntensely(130 * eventloop.Second) })
	w.repeatFaults(10*eventloop.Second, 8*eventloop.Second, 25*eventloop.Second, func() {
		answerFaults[r.IntN(len(answerFaults))].do(w)
		second := answerFaults[r.IntN(len(answerFaults))]
		w.after(w.between(0, 4*eventloop.Second), func() { second.do(w) })
	})
	w.startChecks(260 * eventloop.Second)
	return w
}

// Users poll intensely while answers of the state service are delayed or lost and controllers are paused. No answer
// is older than its question, every controller that could answer does so, and no invariant is violated.
func TestInvariantsUnderIntensePolling(t *testing.T) {
	from, to := seedRange(t, 1, 24)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := intensePollingSimulation(t, seed)
			w.run(3600*eventloop.Second + 800*eventloop.Second)
			w.checkCompleted(20)
		})
	}
}
