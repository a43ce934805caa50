package job

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"cleatpick/internal/loop"
	"cleatpick/internal/standin"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// slowNet delays every request to the state service and every answer by a random time.
type slowNet struct {
	*standin.Runner
	rng        *rand.Rand
	state      *standin.StateService
	sent       map[string]int // requests by path
	answering  bool
	lossRate   float64
	maxDelayMs int // upper bound of the delay in each direction, in milliseconds
	// extraDelay returns an additional delay of an answer; nil adds none.
	extraDelay func() loop.Micros
}

func (n *slowNet) delay() loop.Micros {
	return loop.Micros(n.rng.IntN(n.maxDelayMs)) * loop.Millisecond
}

func (n *slowNet) Post(f func()) {
	if n.answering {
		d := n.delay()
		if n.extraDelay != nil {
			d += n.extraDelay()
		}
		n.After(d, f)
		return
	}
	n.Runner.Post(f)
}

func (n *slowNet) Go(f func()) {
	n.After(n.delay(), func() {
		n.answering = true
		f()
		n.answering = false
	})
}

func (n *slowNet) Do(method, path string, body []byte, _ time.Duration) store.Response {
	if path == "/multi" {
		n.sent[path]++
	} else {
		n.sent["/store"]++
	}
	if n.rng.Float64() < n.lossRate {
		return store.Response{Err: io.ErrUnexpectedEOF}
	}
	return n.state.Do(method, path, body, 0)
}

func newSlowRegistry(seed uint64, rps float64) (*slowNet, *Registry) {
	n := &slowNet{Runner: standin.NewRunner(100 * loop.Second), rng: rand.New(rand.NewPCG(seed, 3)), sent: map[string]int{}, maxDelayMs: 120}
	n.state = standin.NewStateService(n.Now)
	log := slog.New(slog.DiscardHandler)
	c := store.NewClient(n, n, log, rps, rps, 1)
	return n, NewRegistry(n, c, store.NewMirror(c, n, "c/"), log)
}

// progressOf orders phases by progress: no job, accepted, final.
func progressOf(p Phase) int {
	switch p {
	case Accepted:
		return 1
	case Done, Cancelled:
		return 2
	}
	return 0
}

// However polls overlap, an answer is never older than the state at the time of the user's request and never
// ahead of the state service; every user is answered once and in time. This guards against letting a poll join
// a read of the state service that is already in flight: what another controller told a user since that read
// began would be taken back.
func TestAnswersAreNeverOlderThanTheirRequests(t *testing.T) {
	for seed := range uint64(150) {
		n, registry := newSlowRegistry(seed, 60)
		n.lossRate = 0.02
		spec := &Spec{Class: "k", Team: "red", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true}
		held := map[string]int{}
		answers, good := 0, 0
		const polls = 300
		for k := range 8 { // another controller accepts jobs and completes them
			id := fmt.Sprintf("job-%d", k)
			n.After(loop.Micros(n.rng.IntN(8000))*loop.Millisecond, func() {
				n.state.Put(KeyPrefix+id, Record{Phase: Accepted, AcceptedAt: 1, Spec: spec})
				held[id] = 1
				n.After(loop.Micros(n.rng.IntN(4000))*loop.Millisecond, func() {
					n.state.Put(KeyPrefix+id, Record{Phase: Done, AcceptedAt: 1, Tasks: 1})
					held[id] = 2
				})
			})
		}
		for range polls {
			n.After(loop.Micros(n.rng.IntN(10000))*loop.Millisecond, func() {
				id := fmt.Sprintf("job-%d", n.rng.IntN(8))
				asked, at, answered := held[id], n.Now(), false
				registry.Poll(id, func(a Answer) {
					answers++
					if answered || n.Now()-at > answerTimeout+300*loop.Millisecond {
						t.Fatalf("seed %d: answer for %s; answered before: %v; time since the request: %d us", seed, id, answered, n.Now()-at)
					}
					answered = true
					if a.Code == 503 || a.Code == 429 {
						return
					}
					good++
					if got := progressOf(a.Phase); got < asked || got > held[id] || (a.Code == 404) != (got == 0) {
						t.Fatalf("seed %d: %s is answered as %q (%d); its rank was %d when asked and is %d now", seed, id, a.Phase, a.Code, asked, held[id])
					}
				})
			})
		}
		n.Advance(15 * loop.Second)
		if answers != polls || good < polls*8/10 || registry.WaitingReads() != 0 || registry.reads.syncing {
			t.Fatalf("seed %d: %d of %d polls are answered, %d with a state; %d still wait", seed, answers, polls, good, registry.WaitingReads())
		}
	}
}

// Under a flood of polls by other users, every known job is still answered again and again: within the bound
// stated in read.go, J/P periods and the interval between two polls of its user. The test allows a quarter of
// the time after which a job counts as lost.
func TestEveryJobIsAnsweredUnderPollFlood(t *testing.T) {
	const jobs, rps, span, every = 400, 24, 40, 5
	for _, c := range []struct {
		name string
		id   func(r *rand.Rand) string
	}{
		{"all jobs alike", func(r *rand.Rand) string { return fmt.Sprintf("job-%d", r.IntN(jobs)) }},
		{"a few by many", func(r *rand.Rand) string { return fmt.Sprintf("job-%d", r.IntN(3)) }},
		{"a hundred, and unknown ones", func(r *rand.Rand) string {
			if r.IntN(2) == 0 {
				return fmt.Sprintf("job-9%d", r.IntN(100000))
			}
			return fmt.Sprintf("job-%d", r.IntN(100))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, registry := newSlowRegistry(5, rps)
			n.maxDelayMs = 10
			registry.SetMaxWaitingReads(100)
			spec := &Spec{Class: "k", Team: "red", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true}
			last := map[string]loop.Micros{}
			poll := func(id string) {
				registry.Poll(id, func(a Answer) {
					if a.Code == 200 {
						last[id] = n.Now()
					}
				})
			}
			var ask func(id string)
			ask = func(id string) {
				poll(id)
				n.After(every*loop.Second, func() { ask(id) })
			}
			worst := loop.Micros(0)
			for k := range jobs {
				id := fmt.Sprintf("job-%d", k)
				revision := n.state.Put(KeyPrefix+id, Record{Phase: Accepted, AcceptedAt: 1, Spec: spec})
				registry.mirror.Apply(KeyPrefix+id, wire.Marshal(Record{Phase: Accepted, AcceptedAt: 1, Spec: spec}), revision, false)
				last[id] = n.Now()
				n.After(loop.Micros(k)*every*loop.Second/jobs, func() { ask(id) })
			}
			for range span * 10 {
				for k := range 100 {
					n.After(loop.Micros(k)*loop.Millisecond, func() { poll(c.id(n.rng)) })
				}
				n.Advance(100 * loop.Millisecond)
				for _, at := range last {
					worst = max(worst, n.Now()-at)
				}
			}
			if worst > 20*loop.Second || len(registry.unanswered) > jobs {
				t.Errorf("a job got no answer for %d us; %d jobs have unanswered requests", worst, len(registry.unanswered))
			}
			t.Logf("longest time without an answer: %d us", worst)
		})
	}
}

// Floods of polls: for one job by many users, for many jobs, for unknown jobs, and after an outage during which
// many records changed. Submissions and their retries are decided as fast as without the flood, excess polls
// are refused at once, the number of requests to the state service is bounded, and no kind of poll prevents the
// others from being answered.
func TestPollFloods(t *testing.T) {
	const jobs, rps, rate, span = 250, 30, 3000, 4
	for _, c := range []struct {
		name    string
		id      func(n int) string
		changed int // jobs whose newest record has not arrived here
		good    int // least percentage of answered polls for known jobs that have not changed
	}{
		{"no polls", nil, 0, 0},
		{"one job by many users", func(int) string { return "job-1" }, 0, 65},
		{"many jobs", func(n int) string { return fmt.Sprintf("job-%d", n%jobs) }, 0, 35},
		{"unknown jobs", func(n int) string { return fmt.Sprintf("job-9%d", n) }, 0, 0},
		{"unknown jobs beside known ones", func(n int) string {
			if n%3 == 0 {
				return fmt.Sprintf("job-%d", n%jobs)
			}
			return fmt.Sprintf("job-9%d", n)
		}, 0, 50},
		{"after an outage", func(n int) string { return fmt.Sprintf("job-%d", n%jobs) }, 100, 15},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, registry := newSlowRegistry(1, rps)
			n.maxDelayMs = 6
			registry.SetMaxWaitingReads(450)
			spec := &Spec{Class: "k", Team: "red", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true}
			for k := range jobs {
				id := fmt.Sprintf("job-%d", k)
				revision := n.state.Put(KeyPrefix+id, Record{Phase: Accepted, AcceptedAt: 1, Spec: spec})
				registry.mirror.Apply(KeyPrefix+id, wire.Marshal(Record{Phase: Accepted, AcceptedAt: 1, Spec: spec}), revision, false)
				if k >= jobs-c.changed {
					n.state.Put(KeyPrefix+id, Record{Phase: Accepted, AcceptedAt: 2, Spec: spec})
				}
			}
			known, good, most := 0, 0, 0
			for k := 0; c.id != nil && k < rate*span; k++ {
				n.After(loop.Micros(k)*loop.Second/rate, func() {
					id, at := c.id(k), n.Now()
					var no int
					fmt.Sscanf(id, "job-%d", &no)
					same := no < jobs-c.changed
					if same {
						known++
					}
					registry.Poll(id, func(a Answer) {
						if same && a.Code == 200 {
							good++
						}
						if a.Code == 429 && (n.Now()-at > answerTimeout+300*loop.Millisecond || a.RetryAfter < 1 || a.RetryAfter > 10) {
							t.Fatalf("refused after %d us with Retry-After %d s", n.Now()-at, a.RetryAfter)
						}
					})
					most = max(most, registry.WaitingReads())
				})
			}
			stored, retried, longest := 0, 0, loop.Micros(0)
			for k := range span * 5 {
				n.After(loop.Micros(k)*200*loop.Millisecond, func() {
					at := n.Now()
					registry.Submit(fmt.Sprintf("job-5%06d", k), spec, func(a Answer) {
						if a.Code == 201 {
							stored++
							longest = max(longest, n.Now()-at)
						}
					})
					registry.Submit(fmt.Sprintf("job-%d", k), spec, func(a Answer) {
						if a.Code == 200 {
							retried++
							longest = max(longest, n.Now()-at)
						}
					})
				})
			}
			n.Advance((span + 3) * loop.Second)
			if stored != span*5 || retried != span*5 || longest > 700*loop.Millisecond {
				t.Errorf("of %d submissions, %d are stored and %d retries are answered, the slowest after %d us", span*5, stored, retried, longest)
			}
			if good*100 < known*c.good || most > 450*5/4+10 { // with the retried submissions
				t.Errorf("%d of %d polls for unchanged jobs are answered with a state; up to %d waited", good, known, most)
			}
			if all, bound := n.sent["/store"]+n.sent["/multi"], (span+3)*rps/4+span*5+12; all > bound {
				t.Errorf("the flood of polls costs %v requests to the state service, %d are allowed", n.sent, bound)
			}

		})
	}
}

// A record that cannot be decoded does not make its job unknown: polls and repeated submissions are still
// answered that it was accepted, or how it ended if that was read before.
func TestCorruptRecordStaysAccepted(t *testing.T) {
	n, registry := newSlowRegistry(7, 60)
	spec := &Spec{Class: "k", Team: "red", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true}
	store := func(id string, v any) {
		registry.mirror.Apply(KeyPrefix+id, wire.Marshal(v), n.state.Put(KeyPrefix+id, v), false)
	}
	store("job-1", Record{Phase: Accepted, AcceptedAt: 1, Spec: spec})
	store("job-2", Record{Phase: Done, AcceptedAt: 1, Tasks: 1})
	for _, id := range []string{"job-1", "job-2", "job-3"} {
		store(id, "nonsense")
	}
	for id, want := range map[string]Phase{"job-1": Accepted, "job-2": Done, "job-3": Accepted} {
		var got []Answer
		registry.Poll(id, func(a Answer) { got = append(got, a) })
		registry.Submit(id, spec, func(a Answer) { got = append(got, a) })
		n.Advance(2 * loop.Second)
		for _, a := range got {
			if a.Code != 200 || a.Phase != want {
				t.Errorf("%s is answered %d %q, want 200 %q", id, a.Code, a.Phase, want)
			}
		}
		if len(got) != 2 {
			t.Errorf("%s: %d answers, want 2", id, len(got))
		}
	}
}

// A poll for a job that is accepted here while the read for the poll is in flight is not answered 404, although
// the job was unknown when the poll came: this controller has told a user by then that the job was accepted.
func TestPollDuringSubmission(t *testing.T) {
	for seed := range uint64(60) {
		n, registry := newSlowRegistry(seed, 1000)
		n.maxDelayMs = 400
		accepted, answered := false, 0
		registry.mirror.Start()
		n.Advance(3 * loop.Second)
		registry.Poll("job-000001", func(a Answer) {
			if answered++; accepted && a.Code == 404 {
				t.Errorf("seed %d: the poll is answered 404 after the job was accepted here", seed)
			}
		})
		registry.Submit("job-000001", &Spec{Team: "red", Tasks: 1}, func(a Answer) { accepted = accepted || a.Code == 201 })
		n.Advance(4 * loop.Second)
		if answered != 1 || !accepted {
			t.Errorf("seed %d: the poll is answered %d times, want once; job accepted: %v", seed, answered, accepted)
		}
	}
}
