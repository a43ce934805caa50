package admission

import (
	"math"

	"cleatpick/internal/eventloop"
)

const (
	// sampleWeight is the weight of the newest sample in the smoothed rate.
	sampleWeight = 0.3
	// maxSampleTime is the longest time between two transactions that counts as a sample: beyond it the
	// process paused, or the state service was unavailable.
	maxSampleTime = 5 * eventloop.Second
	// decayAfter is the time since the newest sample after which the rate starts to return to the expected
	// value; decayHalfLife is the half-life of that return.
	decayAfter    = 5 * eventloop.Second
	decayHalfLife = 2 * eventloop.Second
	// minRate keeps the rate above 0.
	minRate = 0.1
)

// admissionRate estimates how many requests are admitted per second. Requests are deferred by it, so it must not
// depend on samples alone: if all were deferred, none would come. Without samples it returns to the expected
// value, and is within a tenth of the difference from it after decayAfter plus four times decayHalfLife.
type admissionRate struct {
	perSecond  float64
	expected   float64
	previousAt eventloop.Micros // when the previous transaction was answered while others waited; 0: none
	sampledAt  eventloop.Micros // when the newest sample was taken; 0: never
	decayedTo  eventloop.Micros // time up to which the return has been applied
}

func newAdmissionRate(expected float64) admissionRate {
	expected = max(expected, minRate)
	return admissionRate{perSecond: expected, expected: expected}
}

// recordAdmitted records that n requests were admitted; busy says that others wait.
func (r *admissionRate) recordAdmitted(n int, now eventloop.Micros, busy bool) {
	r.decay(now)
	if took := now - r.previousAt; r.previousAt != 0 && n > 0 && took > 0 && took <= maxSampleTime {
		sample := float64(n) / (float64(took) / 1e6)
		r.perSecond += sampleWeight * (sample - r.perSecond)
		r.sampledAt = now
	}
	if r.previousAt = now; !busy {
		r.previousAt = 0 // the time until the next request arrives says nothing about the rate
	}
}

// decay returns the rate toward the expected value if no sample has come for a while.
func (r *admissionRate) decay(now eventloop.Micros) {
	since := max(r.sampledAt+decayAfter, r.decayedTo)
	if r.sampledAt == 0 || now <= since {
		return
	}
	r.decayedTo = now
	left := math.Exp2(-float64(now-since) / float64(decayHalfLife))
	r.perSecond = r.expected + (r.perSecond-r.expected)*left
}
