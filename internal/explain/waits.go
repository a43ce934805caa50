package explain

import (
	"math"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/predicate"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the distributions: from 10 ms to 12 h.
const (
	resolution      = 10 * eventloop.Millisecond
	maxWait         = 12 * 3600 * eventloop.Second / resolution
	precisionDigits = 2
	windows         = 2
	minSamples      = 8 // fewer waits that lasted as long give no estimate
)

// rotateAfter is the number of waits in one window. Windows are bounded by count so that old
// waits lose their weight, and not by time so that idle hours do not empty them.
const rotateAfter = 400

// Quantiles of an estimate. The distribution changes while a wait lasts, so these reach
// further than the eight in ten of the cases that Low and High should enclose; the
// simulations check how many they do.
const (
	lowQuantile, highQuantile = 0.06, 0.94
)

// singleWaitStretch is the factor by which the upper bound grows if only one wait is known; it falls
// with the square root of the number of waits.
const singleWaitStretch = 2.0

// Waits holds the distributions of how long causes held, by kind and by urgency.
type Waits struct {
	by map[waitKey]*Distribution
}

type waitKey struct {
	kind   predicate.Kind
	urgent bool
}

// Distribution is the distribution of the newest waits of one kind.
type Distribution struct {
	histogram *hdrhistogram.WindowedHistogram
	inWindow  int // waits in the newest window
}

// NewWaits returns empty distributions; each allocates its memory with its first wait.
func NewWaits() *Waits { return &Waits{by: map[waitKey]*Distribution{}} }

// Add records a wait that has ended.
func (d *Distribution) Add(took eventloop.Micros) {
	if d.inWindow >= rotateAfter {
		d.inWindow = 0
		d.histogram.Rotate()
	}
	d.inWindow++
	if err := d.histogram.Current.RecordValue(min(max(took/resolution, 1), maxWait)); err != nil {
		d.inWindow-- // out of range, which min and max prevent
	}
}

// NewDistribution returns an empty distribution.
func NewDistribution() *Distribution {
	return &Distribution{histogram: hdrhistogram.NewWindowed(windows, 1, maxWait, precisionDigits)}
}

// Add records a wait of the given kind and urgency that has ended.
func (w *Waits) Add(k predicate.Kind, urgent bool, took eventloop.Micros) {
	key := waitKey{k, urgent}
	d := w.by[key]
	if d == nil {
		d = NewDistribution()
		w.by[key] = d
	}
	d.Add(took)
}

// Remaining estimates the remaining time of a wait that has lasted for elapsed, from the waits of
// the same kind and urgency that lasted at least as long. It is nil when they are too few.
func (w *Waits) Remaining(k predicate.Kind, urgent bool, elapsed eventloop.Micros) *Estimate {
	d := w.by[waitKey{k, urgent}]
	if d == nil {
		return nil
	}
	return d.Remaining(elapsed)
}

// Remaining estimates the remaining time of a wait that has lasted for elapsed, or returns nil
// when too few recorded waits lasted as long.
func (d *Distribution) Remaining(elapsed eventloop.Micros) *Estimate {
	h := d.histogram.Merge()
	total := h.TotalCount()
	e := max(elapsed, 0) / resolution
	var below int64
	for _, b := range h.Distribution() {
		if b.To <= e {
			below += b.Count
		}
	}
	left := total - below
	if left < minSamples {
		return nil
	}
	at := func(q float64) Duration {
		v := h.ValueAtPercentile(100 * (float64(below) + q*float64(left)) / float64(total))
		return Duration(max(v*resolution-elapsed, 0))
	}
	// Waits that have not ended yet are missing here and tend to be the long ones: the fewer
	// waits are known, the further the true upper quantile may lie above them.
	high := at(highQuantile)
	high += Duration(float64(high) * singleWaitStretch / math.Sqrt(float64(left)))
	return &Estimate{Low: at(lowQuantile), Likely: at(0.5), High: high, Samples: int(left)}
}
