package explain

import (
	"fmt"
	"strings"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/fake"
	"cleatpick/internal/job"
	"cleatpick/internal/predicate"
	"cleatpick/internal/wire"
)

// simulation is a service under test whose owner and leader are other controllers; the test
// sets their answers.
type simulation struct {
	*fake.Runner
	service       *Service
	owner, leader string
	topics        map[string]func(wire.Raw, func(any))
	unanswered    map[string]bool // topics whose requests get no answer
	delayed       []func()        // answers that the test delivers later
	delayAnswers  bool
	facts         *Facts
	supply        Supply
}

func newSimulation() *simulation {
	o := &simulation{Runner: fake.NewRunner(1000 * eventloop.Second), owner: "b", leader: "c", topics: map[string]func(wire.Raw, func(any)){}, unanswered: map[string]bool{}}
	spec := &job.Spec{Class: "k", Team: "red", Tasks: 6, CPUs: 2, MemoryGB: 1, AnyType: true}
	j := &job.Job{ID: "job-000001", Phase: job.Accepted, Spec: spec, Tasks: 6}
	o.facts = &Facts{Job: j, Team: config.Team{Name: "red"}, StateContact: true, AheadComplete: true, Exact: true, Now: o.Now(), Wall: o.Wall(),
		JobFacts: predicate.JobFacts{Spec: spec, Hold: &j.Terms.Hold, Waiting: 3, InUse: 3, Quota: config.Quota{CPUs: 4, CPUsMax: config.NewLimit(99)}},
		Need:     predicate.Need{ID: j.ID, Spec: spec, Tasks: 6}, Fits: 0, FitsAll: 0, Running: 1, Done: 0}
	o.supply = Supply{State: "booting", Booting: []Booting{{Offer: Offer{Type: "m", Count: 2}}}}
	o.service = NewService(o, Dependencies{
		Label: "a",
		Poll: func(id string, cb func(job.Answer)) {
			if id != j.ID {
				cb(job.Answer{Code: 404, ID: id})
				return
			}
			answer := func() { cb(job.Answer{Code: 200, Phase: j.Phase, ID: id, Tasks: 6}) }
			if o.delayAnswers {
				o.delayed = append(o.delayed, answer)
				return
			}
			answer()
		},
		Job: func(id string) *job.Job {
			if id == j.ID {
				return j
			}
			return nil
		},
		Owner: func(string) string { return o.owner }, Leader: func() string { return o.leader },
		Facts: func(string) (*Facts, bool) { return o.facts, o.facts != nil }, Supply: func(*job.Spec) Supply { return o.supply },
		Counts: func(*job.Job) job.Counts { return job.Counts{Running: 2} },
		Handle: func(topic string, f func(wire.Raw, func(any))) { o.topics[topic] = f },
		Ask: func(_, topic string, body any, _ eventloop.Micros, cb func(wire.Raw, bool)) {
			if o.unanswered[topic] {
				cb(nil, false)
				return
			}
			o.topics[topic](wire.Marshal(body), func(v any) { cb(wire.Marshal(v), true) })
		},
	})
	return o
}

func (o *simulation) why(t *testing.T, id string, code int) *Answer {
	t.Helper()
	var a *Answer
	got := 0
	o.service.Why(id, func(x *Answer, c int) { a, got = x, c })
	if got != code {
		t.Fatalf("Why(%s) returns code %d, want %d", id, got, code)
	}
	return a
}

func summary(a *Answer) string {
	var out []string
	for _, r := range a.Reasons {
		out = append(out, fmt.Sprintf("%s/%s:%d", r.Kind, r.State, r.Tasks))
	}
	return fmt.Sprint(strings.Join(out, " "), " ", a.Complete, " ", len(a.Missing))
}

// An answer that lacks the owner's or the leader's part must say so in Complete and Missing,
// and must still contain what is known. Each case takes one source away or changes one fact.
func TestAnswerNamesMissingSources(t *testing.T) {
	for _, c := range []struct {
		what string
		set  func(*simulation)
		want string
	}{
		{"all answer", func(o *simulation) {}, "room/nothingToBorrow:3 true 0"},
		{"no owner", func(o *simulation) { o.owner = "" }, "noOwner/unowned:4 false 1"},
		{"the owner does not answer", func(o *simulation) { o.unanswered[topicWhy] = true }, " false 1"},
		{"the owner is still loading", func(o *simulation) { o.facts = nil }, "loading/reading:4 false 1"},
		{"the owner has no state contact", func(o *simulation) { o.facts.StateContact = false }, "stateContact/lost:3 room/nothingToBorrow:3 true 0"},
		{"no leader", func(o *simulation) { o.leader = "" }, "room/nothingToBorrow:3 true 0"},
		{"the leader does not answer", func(o *simulation) { o.unanswered[topicSupply] = true }, "room/nothingToBorrow:3 false 1"},
		{"within the guarantee", func(o *simulation) { o.facts.WithinGuarantee = true }, "room/noRoom:3 true 0"},
		{"a damaged record", func(o *simulation) { o.facts.JobFacts.Damaged = true }, "damagedRecord/setAside:3 room/nothingToBorrow:3 true 0"},
		{"free capacity for all", func(o *simulation) { o.facts.Fits, o.facts.FitsAll = 3, 3 }, "nextPass/due:3 true 0"},
		{"in flight", func(o *simulation) {
			o.facts.JobFacts.Waiting = 0
			o.facts.InFlight = []InFlight{{Kind: predicate.Recording, State: "recording", Machine: "n-1", Tasks: 1}, {Kind: predicate.Saving, State: "saving", Machine: "n-2", Tasks: 2, PreemptedFor: "job-000009"},
				{Kind: predicate.Unconfirmed, State: "absent", Machine: "n-3", Tasks: 1, ConfirmedBy: "a list"}, {Kind: predicate.Unconfirmed, State: "silent", Machine: "n-4", Tasks: 1}}
		}, "recording/recording:1 saving/saving:2 unproven/several:2 true 0"},
	} {
		o := newSimulation()
		c.set(o)
		a := o.why(t, "job-000001", 200)
		if got := summary(a); got != c.want {
			t.Errorf("%s: the answer is %q, want %q", c.what, got, c.want)
		}
		for _, r := range a.Reasons {
			if r.Release == "" || r.BlockedBy == nil {
				t.Errorf("%s: the reason %s lacks its release or blockedBy", c.what, r.Kind)
			}
			if r.Kind == "room" && (r.Detail.Renting == nil || r.Detail.Renting.State == "") {
				t.Errorf("%s: the reason room lacks what is being rented", c.what)
			}
		}
	}
	o := newSimulation()
	o.why(t, "job-000002", 404)
}

// At most MaxOpenRequests explanations may be in progress: the next request must be refused at
// once with 429, and be accepted again as soon as one of the others is answered.
func TestOpenRequestsAreBounded(t *testing.T) {
	o := newSimulation()
	o.delayAnswers = true
	answers := 0
	for range MaxOpenRequests {
		o.service.Why("job-000001", func(_ *Answer, code int) {
			if code == 200 {
				answers++
			}
		})
	}
	o.why(t, "job-000001", 429)
	o.delayed[0]()
	o.delayAnswers = false
	o.why(t, "job-000001", 200)
	for _, f := range o.delayed[1:] {
		f()
	}
	if answers != MaxOpenRequests {
		t.Errorf("%d of %d requests were answered", answers, MaxOpenRequests)
	}
}

// A timeline must stay bounded, keep its newest entries and count those that it drops. A
// cause that is interrupted for less than maxInterruption must stay one entry. The timelines of finished
// jobs are bounded, too.
func TestTimelineIsBounded(t *testing.T) {
	l := NewTimelines()
	ended := map[predicate.Kind]int{}
	l.OnIntervalEnd = func(_ string, k predicate.Kind, took eventloop.Micros, own bool) {
		if !own || took <= 0 {
			t.Errorf("%v ended after %d us with own %v, want a positive time and own", k, took, own)
		}
		ended[k]++
	}
	set := func(at eventloop.Micros, causes ...predicate.Cause) { l.Set("j", causes, at*eventloop.Second, true) }
	room, limit := predicate.Cause{Kind: predicate.Capacity, Tasks: 3}, predicate.Cause{Kind: predicate.Limit, Tasks: 2}
	set(10, room)
	set(20, room, limit)
	set(30, limit)
	set(31, limit, predicate.Cause{Kind: predicate.Capacity, Tasks: 5}) // one second later: the interval continues
	of := l.Get("j").Intervals
	if len(of) != 2 || of[1].Kind != "room" || of[1].From != Time(10*eventloop.Second) || of[1].Tasks != 5 || of[1].To != nil {
		t.Fatalf("after a short interruption of a cause the timeline is %+v", of)
	}
	// A controller that receives a cause late takes its start time from the message.
	l.Set("late", []predicate.Cause{{Kind: predicate.Hold, Tasks: 1, Since: 40 * eventloop.Second}}, 50*eventloop.Second, false)
	if since := l.Since("late", predicate.Hold); since != 40*eventloop.Second {
		t.Errorf("a cause received late holds since %d, want 40 s", since)
	}
	for i := range eventloop.Micros(60) {
		set(100+20*i, room)
		set(110+20*i, limit)
	}
	all := l.Get("j")
	if len(all.Intervals) > maxIntervals+2 || all.Dropped == 0 || *all.From != Time(10*eventloop.Second) {
		t.Errorf("timeline keeps %d entries, dropped %d, starts at %v", len(all.Intervals), all.Dropped, all.From)
	}
	if last := all.Intervals[len(all.Intervals)-1]; last.Kind != "teamLimit" || last.To != nil {
		t.Errorf("the newest entry is %+v, want a teamLimit that still holds", last)
	}
	if ended[predicate.Capacity] == 0 || ended[predicate.Limit] == 0 {
		t.Errorf("ended intervals by kind are %v, want some of room and of teamLimit", ended)
	}
	for i := range maxFinished + 10 {
		id := fmt.Sprint("k", i)
		l.Set(id, []predicate.Cause{room}, 2000*eventloop.Second, true)
		l.Finish(id, 2001*eventloop.Second, true)
	}
	if len(l.jobs) > maxFinished+2 || len(l.Get("k0").Intervals) != 0 || len(l.Get(fmt.Sprint("k", maxFinished)).Intervals) != 1 {
		t.Errorf("%d timelines are kept, want at most maxFinished of finished jobs and the newest of them", len(l.jobs))
	}
}

// The remaining time of a wait must be estimated from those past waits that lasted at least
// as long, not from all of them; with too few of these there must be no estimate.
func TestEstimatesAreConditional(t *testing.T) {
	w := NewWaits()
	if w.Remaining(predicate.Capacity, false, 0) != nil {
		t.Fatal("got an estimate without any recorded wait, want none")
	}
	for i := range eventloop.Micros(200) {
		w.Add(predicate.Capacity, false, (1+i%10)*eventloop.Second) // one to ten seconds
	}
	young, old := w.Remaining(predicate.Capacity, false, 0), w.Remaining(predicate.Capacity, false, 8500*eventloop.Millisecond)
	if young == nil || old == nil {
		t.Fatal("got no estimate from 200 recorded waits")
	}
	if s := eventloop.Micros(young.Likely); s < 4*eventloop.Second || s > 6*eventloop.Second {
		t.Errorf("the likely duration of a new wait is %d us, want about 5 s", s)
	}
	if s := eventloop.Micros(old.Likely); s > 2*eventloop.Second || old.Samples >= young.Samples {
		t.Errorf("after 8.5 of at most 10 s the likely rest is %d us from %d of %d samples", s, old.Samples, young.Samples)
	}
	if w.Remaining(predicate.Capacity, false, 11*eventloop.Second) != nil || w.Remaining(predicate.Capacity, true, 0) != nil {
		t.Error("got an estimate though no recorded wait lasted as long, or none was urgent")
	}
}
