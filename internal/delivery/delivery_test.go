package delivery

import (
	"math/rand/v2"
	"testing"

	"cleatpick/internal/eventloop"
)

// controller is a model of a controller: its wall clock differs from the real time by a constant.
type controller struct{ offset eventloop.Micros }

func (c controller) wall(real eventloop.Micros) eventloop.Micros { return real + c.offset }

// Guards against a start that arrives after the owner or a host controller considers that impossible: the worker might
// then have been asked to forget the attempt, and would run it a second time. An owner records an attempt, a host
// controller lists it, and another host controller passes its start on just before the expiry, in an answer that is in
// flight almost as long as the worker waits. The clocks differ by random amounts within their bound. The last check shows
// that the bound is not looser than needed.
func TestNoStartArrivesAfterLatestArrival(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	const maxOffset = 300 * eventloop.Millisecond
	bounds := ClockBounds{MaxDifference: 2 * maxOffset, StartLifetime: 6 * eventloop.Second}
	draw := func(most eventloop.Micros) eventloop.Micros { return rng.Int64N(most + 1) }
	smallestMargin := eventloop.Micros(1 << 62)
	for range 20_000 {
		drawOffset := func() eventloop.Micros {
			if rng.IntN(2) == 0 {
				return []eventloop.Micros{-maxOffset, maxOffset}[rng.IntN(2)]
			}
			return draw(2*maxOffset) - maxOffset
		}
		owner, host, otherHost := controller{drawOffset()}, controller{drawOffset()}, controller{drawOffset()}
		recorded := 1000*eventloop.Second + draw(eventloop.Second)
		expiry := owner.wall(recorded) + bounds.StartLifetime
		listed := recorded + draw(bounds.StartLifetime)*rng.Int64N(2)
		passedOn := expiry - otherHost.offset - 1 // the last time at which the other host controller passes it on
		arrives := passedOn + 4*eventloop.Second
		expiries := NewExpiries(bounds)
		expiries.Record(Attempt{"job-1/0", 1}, expiry)
		if !expiries.CanArrive(Attempt{"job-1/0", 1}, owner.wall(arrives)) {
			t.Fatalf("the owner considers the start expired before it arrives at %d us", arrives)
		}
		latest := bounds.LatestArrivalOfRecorded(host.wall(listed))
		if host.wall(arrives) > latest {
			t.Fatalf("a host controller considers the start expired before it arrives at %d us", arrives)
		}
		smallestMargin = min(smallestMargin, latest-host.wall(arrives))
	}
	if smallestMargin > 250*eventloop.Millisecond {
		t.Errorf("the closest arrival is %d us before the bound, want at most 250 ms", smallestMargin)
	}
}

// Each attempt must be evaluated by its own expiry, even if a later attempt of the same task has a later one. An attempt
// recorded again with an earlier expiry keeps the later one, and Prune removes attempts only after their latest arrival.
func TestExpiriesOfAttempts(t *testing.T) {
	bounds := ClockBounds{MaxDifference: eventloop.Second, StartLifetime: 6 * eventloop.Second}
	e := NewExpiries(bounds)
	first, second := Attempt{"job-1/0", 1}, Attempt{"job-1/0", 2}
	e.Record(first, 10*eventloop.Second)
	e.Record(second, 20*eventloop.Second)
	e.Record(first, 8*eventloop.Second) // an earlier expiry changes nothing
	if e.CanArrive(Attempt{"job-1/0", 3}, 0) {
		t.Error("CanArrive is true for an attempt that was never recorded")
	}
	for _, c := range []struct {
		wall          eventloop.Micros
		first, second bool
	}{{15200 * eventloop.Millisecond, true, true}, {15201 * eventloop.Millisecond, false, true}, {25200 * eventloop.Millisecond, false, true}, {25201 * eventloop.Millisecond, false, false}} {
		if a, b := e.CanArrive(first, c.wall), e.CanArrive(second, c.wall); a != c.first || b != c.second {
			t.Errorf("at %d us: CanArrive is %v for the first attempt and %v for the second", c.wall, a, b)
		}
		e.Prune(c.wall)
		if a, b := e.CanArrive(first, c.wall), e.CanArrive(second, c.wall); a != c.first || b != c.second {
			t.Errorf("at %d us, after Prune: CanArrive is %v for the first attempt and %v for the second", c.wall, a, b)
		}
	}
	if e.Len() != 0 {
		t.Errorf("the set has %d attempts after the last Prune, want 0", e.Len())
	}
}
