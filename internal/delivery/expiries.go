package delivery

import "cleatpick/internal/loop"

// Expiries holds the expiry of the start of each attempt that an owner recorded. Prune removes an attempt once its start
// can no longer arrive, so the size is bounded by the number of attempts recorded while a start can arrive, plus those
// recorded between two calls of Prune.
type Expiries struct {
	bounds ClockBounds
	expiry map[Attempt]loop.Micros
}

// NewExpiries returns an empty set.
func NewExpiries(bounds ClockBounds) *Expiries {
	return &Expiries{bounds: bounds, expiry: map[Attempt]loop.Micros{}}
}

// Record adds an attempt whose start is being recorded with the given expiry, a wall clock time. If the attempt is
// recorded again, the later expiry counts.
func (e *Expiries) Record(attempt Attempt, expiry loop.Micros) {
	e.expiry[attempt] = max(e.expiry[attempt], expiry)
}

// CanArrive reports whether a start of the attempt that was recorded here can still arrive at a worker.
func (e *Expiries) CanArrive(attempt Attempt, wall loop.Micros) bool {
	expiry, recorded := e.expiry[attempt]
	return recorded && wall <= e.bounds.LatestArrival(expiry)
}

// Prune removes the attempts whose starts can no longer arrive.
func (e *Expiries) Prune(wall loop.Micros) {
	for attempt, expiry := range e.expiry {
		if wall > e.bounds.LatestArrival(expiry) {
			delete(e.expiry, attempt)
		}
	}
}

// Len returns the number of attempts in the set.
func (e *Expiries) Len() int { return len(e.expiry) }
