package node

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/loop"
)

// answerTroubles is the faults that delay answers or lose them.
var answerTroubles = []namedTrouble{
	{"a controller is paused after it has stored a job", func(w *world) {
		// The user asks elsewhere after 2 to 4 s, and is answered there.
		label, d := w.anyLabel(), w.between(3*loop.Second, 12*loop.Second)
		w.nodes[label].after(closeImage, func() { w.freeze(label, d) })
	}},
	{"a controller is paused", func(w *world) { w.freeze(w.anyLabel(), w.between(6*loop.Second, 20*loop.Second)) }},
	{"all controllers are paused", func(w *world) {
		d := w.between(8*loop.Second, 25*loop.Second)
		for _, label := range w.labels {
			w.freeze(label, d)
		}
	}},
	{"answers are delayed", func(w *world) {
		w.late.slow = [...][2]loop.Micros{{50, 350}, {200, 900}, {500, 3000}}[w.rng.IntN(3)]
		for k := range w.late.slow {
			w.late.slow[k] *= loop.Millisecond
		}
		w.at(w.between(5*loop.Second, 30*loop.Second), func() { w.late.slow = [2]loop.Micros{} })
	}},
	{"answers are lost", func(w *world) {
		w.late.answers = 0.1 + 0.4*w.rng.Float64()
		w.at(w.between(5*loop.Second, 30*loop.Second), func() { w.late.answers = 0 })
	}},
	{"late writes", func(w *world) {
		w.late.writes = 0.05 + 0.3*w.rng.Float64()
		w.at(w.between(5*loop.Second, 30*loop.Second), func() { w.late.writes = 0 })
	}},
	{"very many polls", func(w *world) { w.storm(1500, 40*loop.Second) }},
	{"an outage", func(w *world) { w.outage(0, w.between(5*loop.Second, 20*loop.Second)) }},
	{"the state service refuses a controller", func(w *world) {
		w.cutFor(w.between(3*loop.Second, 15*loop.Second), refusing, w.anyLabel()+">state")
	}},
}

// closeImage occurs in the records of unfinished jobs and in nothing else that is stored.
const closeImage = "closely-looked-at"

// closeWorld returns a simulation whose users poll intensely, with pairs of faults.
func closeWorld(t testing.TB, seed uint64) *world {
	r := rand.New(rand.NewPCG(seed, 46))
	w, jobs := drawnWorld(t, seed, r, func(c *config.Config) {})
	for i := range 2 * jobs {
		w.at(w.between(loop.Second, 120*loop.Second), func() {
			j := w.makeJob(i)
			j.spec.Image = closeImage
			w.enter(j)
		})
	}
	w.at(5*loop.Second, func() { w.closeLooks(130 * loop.Second) })
	w.strikeAgain(10*loop.Second, 8*loop.Second, 25*loop.Second, func() {
		answerTroubles[r.IntN(len(answerTroubles))].do(w)
		second := answerTroubles[r.IntN(len(answerTroubles))]
		w.at(w.between(0, 4*loop.Second), func() { second.do(w) })
	})
	w.judged(260 * loop.Second)
	return w
}

// Users poll intensely while answers of the state service are delayed or lost and controllers are paused. No answer is older
// than its question, every controller that could answer does so, and no invariant is violated.
func TestRulesUnderCloseLooks(t *testing.T) {
	from, to := seeds(t, 1, 24)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := closeWorld(t, seed)
			w.run(3600*loop.Second + 800*loop.Second)
			w.settled(20)
		})
	}
}
