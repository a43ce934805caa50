package explain

import (
	"fmt"
	"strings"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/gate"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/standin"
	"cleatpick/internal/wire"
)

// office is a desk whose owner and leader are other nodes, which answer as the test says.
type office struct {
	*standin.Stepped
	d             *Desk
	owner, leader string
	topics        map[string]func(wire.Raw, func(any))
	deaf          map[string]bool // topics that nobody answers
	held          []func()        // answers that wait for the test
	hold          bool
	facts         *Facts
	supply        Supply
}

func newOffice() *office {
	o := &office{Stepped: standin.NewStepped(1000 * loop.Second), owner: "b", leader: "c", topics: map[string]func(wire.Raw, func(any)){}, deaf: map[string]bool{}}
	spec := &job.Spec{Class: "k", Team: "red", Tasks: 6, CPUs: 2, MemoryGB: 1, AnyType: true}
	j := &job.Job{ID: "job-000001", Phase: job.Accepted, Spec: spec, Tasks: 6}
	o.facts = &Facts{Job: j, Team: config.Team{Name: "red"}, Contact: true, Sure: true, Exact: true, Now: o.Now(), Wall: o.Wall(),
		Gate: gate.JobFacts{Spec: spec, Hold: &j.Terms.Hold, Waiting: 3, InUse: 3, Quota: config.Quota{CPUs: 4, CPUsMax: config.LimitOf(99)}},
		Need: gate.Need{ID: j.ID, Spec: spec, Tasks: 6}, Fits: 0, FitsAll: 0, Running: 1, Done: 0}
	o.supply = Supply{State: "booting", Booting: []Booting{{Offer: Offer{Type: "m", Count: 2}}}}
	o.d = NewDesk(o, Node{
		Label: "a",
		Poll: func(id string, cb func(job.Answer)) {
			if id != j.ID {
				cb(job.Answer{Code: 404, ID: id})
				return
			}
			answer := func() { cb(job.Answer{Code: 200, Phase: j.Phase, ID: id, Tasks: 6}) }
			if o.hold {
				o.held = append(o.held, answer)
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
		Ask: func(_, topic string, body any, _ loop.Micros, cb func(wire.Raw, bool)) {
			if o.deaf[topic] {
				cb(nil, false)
				return
			}
			o.topics[topic](wire.Marshal(body), func(v any) { cb(wire.Marshal(v), true) })
		},
	})
	return o
}

func (o *office) why(t *testing.T, id string, code int) *Answer {
	t.Helper()
	var a *Answer
	got := 0
	o.d.Why(id, func(x *Answer, c int) { a, got = x, c })
	if got != code {
		t.Fatalf("why %s gives %d, want %d", id, got, code)
	}
	return a
}

func words(a *Answer) string {
	var out []string
	for _, r := range a.Reasons {
		out = append(out, fmt.Sprintf("%s/%s:%d", r.Kind, r.State, r.Tasks))
	}
	return fmt.Sprint(strings.Join(out, " "), " ", a.Complete, " ", len(a.Missing))
}

// Whatever cannot be asked is said in the answer, and what is known is told all the same.
func TestWhatCannotBeAskedIsSaid(t *testing.T) {
	for _, c := range []struct {
		what string
		set  func(*office)
		want string
	}{
		{"all answer", func(o *office) {}, "room/nothingToBorrow:3 true 0"},
		{"no owner", func(o *office) { o.owner = "" }, "noOwner/unowned:4 false 1"},
		{"the owner is deaf", func(o *office) { o.deaf[topicWhy] = true }, " false 1"},
		{"the owner reads", func(o *office) { o.facts = nil }, "loading/reading:4 false 1"},
		{"the owner has no state contact", func(o *office) { o.facts.Contact = false }, "stateContact/lost:3 room/nothingToBorrow:3 true 0"},
		{"nobody leads", func(o *office) { o.leader = "" }, "room/nothingToBorrow:3 true 0"},
		{"the leader is deaf", func(o *office) { o.deaf[topicSupply] = true }, "room/nothingToBorrow:3 false 1"},
		{"within the guarantee", func(o *office) { o.facts.Within = true }, "room/noRoom:3 true 0"},
		{"a damaged record", func(o *office) { o.facts.Gate.Damaged = true }, "damagedRecord/setAside:3 room/nothingToBorrow:3 true 0"},
		{"room for all", func(o *office) { o.facts.Fits, o.facts.FitsAll = 3, 3 }, "nextPass/due:3 true 0"},
		{"on their way", func(o *office) {
			o.facts.Gate.Waiting = 0
			o.facts.Flights = []Flight{{Kind: gate.Recording, State: "recording", Machine: "n-1", Tasks: 1}, {Kind: gate.Saving, State: "saving", Machine: "n-2", Tasks: 2, For: "job-000009"},
				{Kind: gate.Unconfirmed, State: "absent", Machine: "n-3", Tasks: 1, Settles: "a list"}, {Kind: gate.Unconfirmed, State: "silent", Machine: "n-4", Tasks: 1}}
		}, "recording/recording:1 saving/saving:2 unproven/several:2 true 0"},
	} {
		o := newOffice()
		c.set(o)
		a := o.why(t, "job-000001", 200)
		if got := words(a); got != c.want {
			t.Errorf("%s: the answer is %q, want %q", c.what, got, c.want)
		}
		for _, r := range a.Reasons {
			if r.Release == "" || r.BlockedBy == nil {
				t.Errorf("%s: the reason %s lacks its release or blockedBy", c.what, r.Kind)
			}
			if r.Kind == "room" && (r.Detail.Renting == nil || r.Detail.Renting.State == "") {
				t.Errorf("%s: room does not tell what is rented", c.what)
			}
		}
	}
	o := newOffice()
	o.why(t, "job-000002", 404)
}

// A hundred questions wait at the most; the next is answered at once with 429, and an
// answer makes room for another.
func TestQuestionsAreBounded(t *testing.T) {
	o := newOffice()
	o.hold = true
	answers := 0
	for range MostQuestions {
		o.d.Why("job-000001", func(_ *Answer, code int) {
			if code == 200 {
				answers++
			}
		})
	}
	o.why(t, "job-000001", 429)
	o.held[0]()
	o.hold = false
	o.why(t, "job-000001", 200)
	for _, f := range o.held[1:] {
		f()
	}
	if answers != MostQuestions {
		t.Errorf("%d of %d questions were answered", answers, MostQuestions)
	}
}

// A timeline is bounded, goes on where a cause ends for a moment, keeps the newest, and
// says what it dropped.
func TestTimelineIsBounded(t *testing.T) {
	l := NewTimelines()
	ended := map[gate.Kind]int{}
	l.Ended = func(_ string, k gate.Kind, took loop.Micros, own bool) {
		if !own || took <= 0 {
			t.Errorf("%v ended after %d, own %v", k, took, own)
		}
		ended[k]++
	}
	set := func(at loop.Micros, causes ...gate.Cause) { l.Set("j", causes, at*loop.Second, true) }
	room, limit := gate.Cause{Kind: gate.Capacity, Tasks: 3}, gate.Cause{Kind: gate.Limit, Tasks: 2}
	set(10, room)
	set(20, room, limit)
	set(30, limit)
	set(31, limit, gate.Cause{Kind: gate.Capacity, Tasks: 5}) // a second later: it never ended
	of := l.Of("j").Spans
	if len(of) != 2 || of[1].Kind != "room" || of[1].From != Time(10*loop.Second) || of[1].Tasks != 5 || of[1].To != nil {
		t.Fatalf("after a flap the timeline is %+v", of)
	}
	// A peer that was told late knows since when all the same.
	l.Set("late", []gate.Cause{{Kind: gate.Hold, Tasks: 1, Since: 40 * loop.Second}}, 50*loop.Second, false)
	if since := l.Since("late", gate.Hold); since != 40*loop.Second {
		t.Errorf("a cause told late holds since %d", since)
	}
	for i := range loop.Micros(60) {
		set(100+20*i, room)
		set(110+20*i, limit)
	}
	all := l.Of("j")
	if len(all.Spans) > mostSpans+2 || all.Dropped == 0 || *all.From != Time(10*loop.Second) {
		t.Errorf("%d spans are kept, %d dropped, from %v", len(all.Spans), all.Dropped, all.From)
	}
	if last := all.Spans[len(all.Spans)-1]; last.Kind != "teamLimit" || last.To != nil {
		t.Errorf("the newest span is %+v", last)
	}
	if ended[gate.Capacity] == 0 || ended[gate.Limit] == 0 {
		t.Errorf("ended: %v", ended)
	}
	for i := range mostOver + 10 {
		id := fmt.Sprint("k", i)
		l.Set(id, []gate.Cause{room}, 2000*loop.Second, true)
		l.Over(id, 2001*loop.Second, true)
	}
	if len(l.lines) > mostOver+2 || len(l.Of("k0").Spans) != 0 || len(l.Of(fmt.Sprint("k", mostOver)).Spans) != 1 {
		t.Errorf("%d timelines are kept of jobs that are over", len(l.lines))
	}
}

// What a wait that has lasted so long has left is told by those that lasted as long.
func TestEstimatesAreConditional(t *testing.T) {
	w := NewWaits()
	if w.Left(gate.Capacity, false, 0) != nil {
		t.Fatal("nothing is known, and something is told")
	}
	for i := range loop.Micros(200) {
		w.Add(gate.Capacity, false, (1+i%10)*loop.Second) // one to ten seconds
	}
	young, old := w.Left(gate.Capacity, false, 0), w.Left(gate.Capacity, false, 8500*loop.Millisecond)
	if young == nil || old == nil {
		t.Fatal("no estimate")
	}
	if s := loop.Micros(young.Likely); s < 4*loop.Second || s > 6*loop.Second {
		t.Errorf("a new wait is likely to last %d us, want about five seconds", s)
	}
	if s := loop.Micros(old.Likely); s > 2*loop.Second || old.Samples >= young.Samples {
		t.Errorf("after 8.5 of at most 10 s, %d us are left by %d of %d samples", s, old.Samples, young.Samples)
	}
	if w.Left(gate.Capacity, false, 11*loop.Second) != nil || w.Left(gate.Capacity, true, 0) != nil {
		t.Error("no wait lasted as long, or was urgent, and something is told")
	}
}
