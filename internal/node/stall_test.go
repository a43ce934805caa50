package node

import (
	"testing"

	"cleatpick/internal/job"
	"cleatpick/internal/loop"
)

// Whoever waited for an answer as its node began to stand still is told to come back before
// anything that came meanwhile is handled, in whatever order that comes.
func TestStandstillIsNoticedFirst(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(t, seed)
		w.run(3620 * loop.Second)
		s := w.nodes["a"]
		var told []string
		refused := 0
		ask := func(name, id string) {
			s.enter(s.gen, func() {
				s.n.jobs.Poll(id, func(a job.Answer) {
					told = append(told, name)
					if name == "before" {
						refused = a.Code
					}
				})
			})
		}
		ask("before", "job-000001")
		w.freeze("a", 5*loop.Second)
		for range 20 {
			w.at(w.between(loop.Second, 4*loop.Second), func() { ask("meanwhile", "job-000002") })
		}
		w.run(w.now + 8*loop.Second)
		if len(told) != 21 || told[0] != "before" || refused != 503 {
			t.Fatalf("seed %d: told %v, the first as %d", seed, told, refused)
		}
	}
}
