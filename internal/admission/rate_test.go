package admission

import (
	"math"
	"math/rand/v2"
	"testing"

	"cleatpick/internal/eventloop"
)

// The rate by which requests are deferred must return to the expected value whatever was measured before:
// with nothing admitted, with little, and with much admitted at the expected rate. A rate that stayed low
// would keep deferring requests that could be admitted. A pause between two transactions is no sample.
func TestAdmissionRateReturnsToExpected(t *testing.T) {
	const expected, soon = 40.0, decayAfter + 4*decayHalfLife
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 46))
		r := newAdmissionRate(expected)
		now := 3600 * eventloop.Second
		for range rng.IntN(40) {
			now += eventloop.Micros(rng.Int64N([]int64{1, 50, 3000, 40000}[rng.IntN(4)]*eventloop.Millisecond) + 1)
			r.recordAdmitted(rng.IntN(9), now, rng.IntN(4) > 0)
		}
		for _, after := range []struct {
			name  string
			every eventloop.Micros
			n     int
		}{
			{"nothing", 0, 0},
			{"one every three seconds, with nothing else waiting", 3 * eventloop.Second, 1},
			{"a batch of eight every 200 ms, with others waiting", eventloop.Second / 5, 8},
		} {
			c, at := r, now
			for at < now+soon {
				if after.n == 0 {
					at = now + soon
					break
				}
				at += after.every
				c.recordAdmitted(after.n, at, after.n > 1)
			}
			c.decay(at)
			allowed := max(0.15*expected, 0.1*math.Abs(r.perSecond-expected))
			if math.Abs(c.perSecond-expected) > allowed {
				t.Errorf("seed %d, then %s: rate is %.2f per second after %d s, was %.2f", seed, after.name, c.perSecond, soon/eventloop.Second, r.perSecond)
			}
		}
	}
}

// A time between two transactions that is longer than maxSampleTime must not lower the rate.
func TestPauseIsNoRateSample(t *testing.T) {
	r := newAdmissionRate(40)
	at := 3600 * eventloop.Second
	r.recordAdmitted(8, at, true)
	r.recordAdmitted(8, at+maxSampleTime+1, true)
	if r.perSecond != 40 {
		t.Errorf("after a pause the rate is %v per second, want 40", r.perSecond)
	}
}
