package admission

import (
	"math"

	"cleatpick/internal/loop"
)

const (
	// newestPart is the weight of the newest sample in the smoothed rate.
	newestPart = 0.3
	// longestSample is the longest time between two transactions that counts as a sample: beyond it the
	// process paused, or the state service was unavailable.
	longestSample = 5 * loop.Second
	// relaxAfter is the time since the newest sample after which the rate starts to return to the expected
	// value; relaxHalf is the half-life of that return.
	relaxAfter = 5 * loop.Second
	relaxHalf  = 2 * loop.Second
	// leastRate keeps the rate above 0.
	leastRate = 0.1
)

// takenRate estimates how many requests are admitted per second. Requests are deferred by it, so it must not
// depend on samples alone: if all were deferred, none would come. Without samples it returns to the expected
// value, and is within a tenth of the difference from it after relaxAfter plus four times relaxHalf.
type takenRate struct {
	perSecond float64
	expected  float64
	from      loop.Micros // when the previous transaction was answered while others waited; 0: none
	sampled   loop.Micros // when the newest sample was taken; 0: never
	relaxed   loop.Micros // time up to which the return has been applied
}

func newTakenRate(expected float64) takenRate {
	expected = max(expected, leastRate)
	return takenRate{perSecond: expected, expected: expected}
}

// served records that n requests were admitted; busy says that others wait.
func (r *takenRate) served(n int, now loop.Micros, busy bool) {
	r.relax(now)
	if took := now - r.from; r.from != 0 && n > 0 && took > 0 && took <= longestSample {
		sample := float64(n) / (float64(took) / 1e6)
		r.perSecond += newestPart * (sample - r.perSecond)
		r.sampled = now
	}
	if r.from = now; !busy {
		r.from = 0 // the time until the next request arrives says nothing about the rate
	}
}

// relax returns the rate toward the expected value if no sample has come for a while.
func (r *takenRate) relax(now loop.Micros) {
	since := max(r.sampled+relaxAfter, r.relaxed)
	if r.sampled == 0 || now <= since {
		return
	}
	r.relaxed = now
	left := math.Exp2(-float64(now-since) / float64(relaxHalf))
	r.perSecond = r.expected + (r.perSecond-r.expected)*left
}
