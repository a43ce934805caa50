package job

import (
	"fmt"
	"testing"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/wire"
)

// A submission that is repeated while the record of the first one is being stored is never answered with a
// state older than the one that the state service held when it was repeated: an answer that another
// controller stored and sent to users in that time is not contradicted. Answers of the state service are delayed.
func TestRepeatedSubmissionIsNotAnsweredWithOldState(t *testing.T) {
	for seed := range uint64(100) {
		net, registry := newSlowRegistry(seed, 200)
		net.maxDelayMs = 350
		spec := &Spec{Class: "k", Team: "red", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true}
		held := func(id string) int {
			raw, found := net.state.Value(KeyPrefix + id)
			var record Record
			if !found || wire.Unmarshal(raw, &record) != nil {
				return 0
			}
			return progressOf(record.Phase)
		}
		asked, answered := 0, 0
		submit := func(id string) {
			before := held(id)
			asked++
			registry.Submit(id, spec, func(a Answer) {
				answered++
				if a.Code != 200 && a.Code != 201 {
					return
				}
				if progressOf(a.Phase) < before {
					t.Errorf("seed %d: a repeated submission of %s is answered %q (%d), older than the record when it came", seed, id, a.Phase, a.Code)
				}
			})
		}
		for k := range 20 {
			id := fmt.Sprintf("job-%06d", k)
			begin := eventloop.Micros(net.rng.IntN(4000)) * eventloop.Millisecond
			net.After(begin, func() { submit(id) })
			for range 6 {
				net.After(begin+eventloop.Micros(net.rng.IntN(900))*eventloop.Millisecond, func() { submit(id) })
			}
			// Another controller stores the cancellation as soon as the job is stored.
			var cancel func()
			cancel = func() {
				if held(id) == 0 {
					net.After(5*eventloop.Millisecond, cancel)
					return
				}
				net.state.Put(KeyPrefix+id, Record{Phase: Cancelled, AcceptedAt: 1})
			}
			net.After(begin, cancel)
		}
		net.Advance(12 * eventloop.Second)
		if answered != asked {
			t.Errorf("seed %d: %d of %d submissions are answered", seed, answered, asked)
		}
	}
}

// However long one read of the state service took, polls are answered again soon after the service has
// recovered. This guards against admitting polls by an estimate of the service's speed that only admitted polls
// could correct.
func TestPollsAreAnsweredAfterASlowRead(t *testing.T) {
	const jobs, pollsPerSecond, soon = 20, 10, 8 * eventloop.Second
	for _, stall := range []eventloop.Micros{2 * eventloop.Second, 8 * eventloop.Second, 12 * eventloop.Second, 20 * eventloop.Second, 40 * eventloop.Second} {
		t.Run(fmt.Sprintf("%d s", stall/eventloop.Second), func(t *testing.T) {
			net, registry := newSlowRegistry(1, 60)
			net.maxDelayMs = 10
			spec := &Spec{Class: "k", Team: "red", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true}
			last := map[string]eventloop.Micros{}
			for k := range jobs {
				id := fmt.Sprintf("job-%d", k)
				record := Record{Phase: Accepted, AcceptedAt: 1, Spec: spec}
				registry.mirror.Apply(KeyPrefix+id, wire.Marshal(record), net.state.Put(KeyPrefix+id, record), false)
			}
			slowAt := net.Now() + 5*eventloop.Second
			quickAt := slowAt + stall
			net.extraDelay = func() eventloop.Micros { // an answer arrives once the service is fast again
				if now := net.Now(); now >= slowAt && now < quickAt {
					return quickAt - now
				}
				return 0
			}
			for k := range pollsPerSecond * 90 {
				net.After(eventloop.Micros(k)*eventloop.Second/pollsPerSecond, func() {
					id := fmt.Sprintf("job-%d", k%jobs)
					registry.Poll(id, func(a Answer) {
						if a.Code == 200 {
							last[id] = net.Now()
						}
					})
				})
			}
			expectAnswers := func(since eventloop.Micros, when string) {
				for k := range jobs {
					if id := fmt.Sprintf("job-%d", k); last[id] < since {
						t.Errorf("no poll for %s was answered %s", id, when)
					}
				}
			}
			net.Advance(quickAt + soon - net.Now())
			expectAnswers(quickAt, "in the first seconds after the service recovered")
			net.Advance(20 * eventloop.Second)
			expectAnswers(net.Now()-soon, "in the last seconds, long after the service recovered")
		})
	}
}
