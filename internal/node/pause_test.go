package node

import (
	"testing"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
)

// A user who was waiting for an answer when the controller's process was paused is deferred before any request that
// arrived during the pause is handled, in whatever order those come.
func TestPauseIsHandledFirst(t *testing.T) {
	for seed := range uint64(20) {
		w := newSimulation(t, seed)
		w.run(3620 * eventloop.Second)
		s := w.nodes["a"]
		var answered []string
		refused := 0
		ask := func(name, id string) {
			s.execute(s.incarnation, func() {
				s.n.jobs.Poll(id, func(a job.Answer) {
					answered = append(answered, name)
					if name == "before" {
						refused = a.Code
					}
				})
			})
		}
		ask("before", "job-000001")
		w.pause("a", 5*eventloop.Second)
		for range 20 {
			w.after(w.between(eventloop.Second, 4*eventloop.Second), func() { ask("meanwhile", "job-000002") })
		}
		w.run(w.now + 8*eventloop.Second)
		if len(answered) != 21 || answered[0] != "before" || refused != 503 {
			t.Fatalf("seed %d: answered in the order %v, the earliest request with %d", seed, answered, refused)
		}
	}
}
