package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"cleatpick/internal/eventloop"
)

const second = eventloop.Second

// admitter admits requests from a queue at a fixed rate in batches, as a controller does.
type admitter struct {
	queue    *Queue
	now      eventloop.Micros
	rate     float64
	credit   float64
	admitted map[string]int // admitted requests, by team and by team/class
	done     map[string]bool
}

func newAdmitter(rate float64, weights map[string]float64) *admitter {
	return &admitter{queue: NewQueue(func(t string) float64 { return weights[t] }, rate), now: 1000 * second, rate: rate, admitted: map[string]int{}, done: map[string]bool{}}
}

func (d *admitter) step(dt eventloop.Micros) {
	d.now += dt
	d.credit = min(d.credit+d.rate*float64(dt)/1e6, 8)
	n := 0
	for d.credit >= 1 {
		x := d.queue.Next(1)
		if len(x) == 0 {
			break
		}
		d.credit--
		n++
		d.done[x[0].ID] = true
		d.admitted[x[0].Team]++
		d.admitted[x[0].Team+"/"+x[0].Class]++
	}
	if n > 0 {
		d.queue.RecordAdmitted(n, d.now, d.queue.Waiting() > 0)
	}
}

// client submits a request and retries at the times that it is told, until it is admitted or gives up after a
// minute.
type client struct {
	Request
	first, next eventloop.Micros
	in, gaveUp  bool
}

// run lets clients arrive at the given rates for a time, and returns all of them.
func (d *admitter) run(span eventloop.Micros, rng *rand.Rand, flows map[Request]float64) (all []*client) {
	for end := d.now + span; d.now < end; d.step(50 * eventloop.Millisecond) {
		for f, rate := range flows {
			for n := rate * 0.05; n > 0 && (n >= 1 || rng.Float64() < n); n-- {
				r := f
				r.ID = fmt.Sprint("job-", len(all))
				all = append(all, &client{Request: r, first: d.now, next: d.now})
			}
		}
		for _, u := range all {
			if u.in || u.gaveUp || d.now < u.next {
				continue
			}
			if d.now-u.first > 60*second {
				u.gaveUp = true
				continue
			}
			a := d.queue.Enqueue(u.Request, d.now, d.now)
			u.in = a.Queued
			u.next = d.now + eventloop.Micros(a.RetryAfter)*second
			if a.Evicted != "" {
				for _, o := range all {
					if o.ID == a.Evicted {
						o.in, o.next = false, d.now+eventloop.Micros(a.RetryAfter)*second
					}
				}
			}
		}
	}
	return all
}

// However much one team submits, each team is served by its weight, each class of a team keeps its minimum,
// and what a team does not use goes to the others. Otherwise the submissions of one team could keep the
// others out.
func TestSharesUnderOverload(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	d := newAdmitter(20, map[string]float64{"large": 6, "small": 2, "guest": 1})
	all := d.run(120*second, rng, map[Request]float64{
		{Team: "large", Class: "a"}:               3, // below its share of 13
		{Team: "small", Class: "a"}:               40,
		{Team: "small", Class: "u", Urgent: true}: 1,
		{Team: "guest", Class: "swarm"}:           200,
	})
	in, submitted, late := map[string]int{}, map[string]int{}, 0
	for _, u := range all {
		submitted[u.Team+"/"+u.Class]++
		if d.done[u.ID] {
			in[u.Team+"/"+u.Class]++
		} else if u.gaveUp && (u.Team == "large" || u.Urgent) {
			late++
		}
	}
	if in["large/a"] < submitted["large/a"]-4 || in["small/u"] < submitted["small/u"]-4 || late > 0 {
		t.Errorf("of the requests within their share %d of %d and %d of %d were admitted, %d gave up", in["large/a"], submitted["large/a"], in["small/u"], submitted["small/u"], late)
	}
	rest := 20*120 - float64(d.admitted["large"])
	for team, part := range map[string]float64{"small": 2. / 3, "guest": 1. / 3} {
		if got := float64(d.admitted[team]) / rest; math.Abs(got-part) > 0.04 {
			t.Errorf("%s received %.2f of the rest, want %.2f", team, got, part)
		}
	}
	if d.queue.State(d.now) != Overloaded {
		t.Errorf("the load state is %v, want overloaded", d.queue.State(d.now))
	}
}

// A deferred request keeps its position: when a request is admitted, none of its class with an earlier first
// try is waiting in the queue. While a team submits twice its share, at least two in five of its clients are
// admitted before they give up.
func TestDeferredRequestsKeepTheirPositions(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 2))
		d := newAdmitter(10, map[string]float64{"red": 1, "blue": 1})
		all := d.run(150*second, rng, map[Request]float64{{Team: "red", Class: "k"}: 10, {Team: "blue", Class: "k"}: 10})
		in, over := 0, 0
		for _, u := range all {
			if u.first > d.now-60*second {
				continue
			}
			over++
			if d.done[u.ID] {
				in++
			}
		}
		if in*5 < over*2 {
			t.Errorf("seed %d: %d of %d clients were admitted, want at least two in five", seed, in, over)
		}
		q := NewQueue(func(string) float64 { return 1 }, 10)
		for range 200 {
			id := fmt.Sprint("job-", rng.IntN(100))
			q.Enqueue(Request{ID: id, Team: "red", Class: "k"}, d.now, d.now)
			d.now += eventloop.Micros(rng.IntN(40)) * eventloop.Millisecond
			if rng.IntN(3) == 0 {
				before := map[string]eventloop.Micros{}
				for id, e := range q.byID {
					before[id] = e.FirstTry
				}
				for _, x := range q.Next(1) {
					for id, first := range before {
						if first < x.FirstTry {
							t.Fatalf("seed %d: %s is admitted before %s, whose first try was earlier", seed, x.ID, id)
						}
					}
				}
			}
		}
	}
}

// A position given by another controller counts here; one that has expired or lies in the future does not.
func TestPositionsFromOtherControllers(t *testing.T) {
	one := func(string) float64 { return 1 }
	a, b := NewQueue(one, 5), NewQueue(one, 5)
	now := 1000 * second
	for i := range 40 {
		a.Enqueue(Request{ID: fmt.Sprint("job-", i), Team: "red", Class: "k"}, now, now)
	}
	newPositions := a.TakeNewPositions()
	if len(newPositions) == 0 || len(a.TakeNewPositions()) != 0 {
		t.Fatalf("the first call of TakeNewPositions returned %d positions, want some, and none from the second", len(newPositions))
	}
	b.MergePositions(append(newPositions, Position{ID: "old", FirstTry: now - 2*positionLife}, Position{ID: "new", FirstTry: now + 9*second}), now)
	now += 3 * second
	for i := range 4 {
		b.Enqueue(Request{ID: fmt.Sprint("job-10", i), Team: "red", Class: "k"}, now, now)
	}
	for _, id := range []string{newPositions[0].ID, "old", "new"} {
		b.Enqueue(Request{ID: id, Team: "red", Class: "k"}, now, now)
	}
	if x := b.Next(1); len(x) != 1 || x[0].ID != newPositions[0].ID {
		t.Errorf("%v is admitted first, want %s, which another controller had deferred", x, newPositions[0].ID)
	}
	if len(b.TakeNewPositions()) > 2 {
		t.Error("positions learned from a peer are sent to peers again")
	}
}

// Whatever is submitted, the memory used is bounded; a team that holds least for its weight gets into a full
// queue; and while nothing waits, no request is deferred.
func TestQueueIsBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	q := NewQueue(func(t string) float64 { return map[string]float64{"guest": 0.01, "red": 1}[t] }, 1e6)
	now := 1000 * second
	for i := range 20000 {
		now += eventloop.Micros(rng.IntN(2000))
		q.Enqueue(Request{ID: fmt.Sprint("job-", i), Team: "guest", Class: fmt.Sprint(rng.IntN(5000)), Urgent: i%2 == 0}, now, now)
	}
	g := q.teams["guest"]
	if q.Waiting() > maxWaiting || len(q.positions) > maxPositions || len(q.positionOrder) > 2*maxPositions+1 || len(g.classes) > maxClasses+1 || len(q.newPositions) > maxNewPositions {
		t.Errorf("over a bound: %d waiting, %d positions, %d classes, %d new positions", q.Waiting(), len(q.positions), len(g.classes), len(q.newPositions))
	}
	if a := q.Enqueue(Request{ID: "mine", Team: "red", Class: "k"}, now, now); !a.Queued || a.Evicted == "" || a.RetryAfter < 1 || a.RetryAfter > maxRetryAfter {
		t.Errorf("in a full queue the decision for a team that holds nothing is %+v", a)
	}
	for q.Waiting() > 0 {
		q.Next(8)
	}
	if len(g.classes) != 0 {
		t.Errorf("%d classes are kept of a team without waiting requests", len(g.classes))
	}
	q = NewQueue(func(string) float64 { return 1 }, 0)
	for i := range 100 {
		if a := q.Enqueue(Request{ID: fmt.Sprint(i), Team: "red", Class: "k"}, now, now); !a.Queued {
			t.Fatal("request deferred although none waits")
		}
		q.Next(1)
	}
}

// A team that submitted nothing for a long time gets its share once it submits again, but not what it did not
// use before. The same holds for a class.
func TestUnusedSharesAreNotAccumulated(t *testing.T) {
	q := NewQueue(func(string) float64 { return 1 }, 1e6)
	ask := func(team, class string, n int) {
		for i := range n {
			q.Enqueue(Request{ID: fmt.Sprint(team, class, i), Team: team, Class: class}, second, second)
		}
	}
	ask("red", "a", 150)
	q.Next(100)
	ask("blue", "a", 50)
	ask("red", "b", 50)
	n := map[string]int{}
	for _, x := range q.Next(40) {
		n[x.Team+"/"+x.Class]++
	}
	if n["blue/a"] < 19 || n["blue/a"] > 21 || n["red/a"] < 9 || n["red/b"] < 9 {
		t.Errorf("of the next 40 requests, by team and class: %v", n)
	}
}

// The load states follow each other in their order, and do not alternate while clients retry.
func TestOverloadStates(t *testing.T) {
	var o LoadTracker
	var seen []string
	o.changed = func(_, to State) { seen = append(seen, to.String()) }
	now := 100 * second
	run := func(d eventloop.Micros, waits bool, off func(k int) bool) {
		for k := range int(d / (100 * eventloop.Millisecond)) {
			now += 100 * eventloop.Millisecond
			o.update(now, off == nil || !off(k), waits)
		}
	}
	run(800*eventloop.Millisecond, true, nil)
	run(2*second, false, nil)
	run(3*second, true, nil)                                    // crowded
	run(10*second, true, func(k int) bool { return k%20 == 0 }) // overloaded, with a deferral every 2 s
	run(20*second, true, nil)                                   // recovering after 5 s
	run(5*second, false, nil)
	if o.state != Recovering {
		t.Errorf("the load state is %v while clients still retry, want recovering", o.state)
	}
	run(40*second, false, nil) // calm
	if got := fmt.Sprint(seen); got != "[crowded overloaded recovering calm]" {
		t.Errorf("the load states were %s, want crowded, overloaded, recovering, calm", got)
	}
}
