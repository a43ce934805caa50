package delivery

import "cleatpick/internal/eventloop"

// Expiries holds the expiry of the start of each attempt in a set: those that an owner recorded, or those that a host
// controller passed on or rejected. Prune removes an attempt once its start
// can no longer arrive, so the size is bounded by the number of attempts added while a start can arrive, plus those
// added between two calls of Prune.
type Expiries struct {
	bounds ClockBounds
	expiry map[Attempt]eventloop.Micros
}

// NewExpiries returns an empty set.
func NewExpiries(bounds ClockBounds) *Expiries {
	return &Expiries{bounds: bounds, expiry: map[Attempt]eventloop.Micros{}}
}

// Record adds an attempt whose start has the given expiry, a wall clock time. If the attempt is
// recorded again, the later expiry counts.
func (e *Expiries) Record(attempt Attempt, expiry eventloop.Micros) {
	e.expiry[attempt] = max(e.expiry[attempt], expiry)
}

// CanArrive reports whether a start of the attempt that was recorded here can still arrive at a worker.
func (e *Expiries) CanArrive(attempt Attempt, wall eventloop.Micros) bool {
	expiry, recorded := e.expiry[attempt]
	return recorded && wall <= e.bounds.LatestArrival(expiry)
}

// Prune removes the attempts whose starts can no longer arrive.
func (e *Expiries) Prune(wall eventloop.Micros) {
	for attempt, expiry := range e.expiry {
		if wall > e.bounds.LatestArrival(expiry) {
			delete(e.expiry, attempt)
		}
	}
}

// Len returns the number of attempts in the set.
func (e *Expiries) Len() int { return len(e.expiry) }
