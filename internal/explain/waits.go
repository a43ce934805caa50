package explain

import (
	"math"

	"cleatpick/internal/gate"
	"cleatpick/internal/loop"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The distributions reach from a hundredth of a second to half a day.
const (
	unit       = 10 * loop.Millisecond
	longest    = 12 * 3600 * loop.Second / unit
	digits     = 2
	windows    = 2
	fewSamples = 8 // below this many waits that lasted as long nothing is said
)

// rotateAfter is how many waits one window takes in: old ones must not weigh for ever,
// and a quiet night must not empty them.
const rotateAfter = 400

// The quantiles that an estimate tells. Waits change in nature while they last, so these
// reach further than the nine in ten that they stand for; the worlds say how well.
const (
	lowQuantile, highQuantile = 0.06, 0.94
)

// spread is by how much an estimate that rests on a single wait would be stretched.
const spread = 2.0

// Waits are distributions of how long causes held, kept by kind and by urgency.
type Waits struct {
	by map[waitKey]*Dist
}

type waitKey struct {
	kind   gate.Kind
	urgent bool
}

// Dist holds the newest waits of one sort.
type Dist struct {
	h *hdrhistogram.WindowedHistogram
	n int // in the newest window
}

// NewWaits makes empty distributions; each takes its memory with its first wait.
func NewWaits() *Waits { return &Waits{by: map[waitKey]*Dist{}} }

// Add takes in a wait.
func (d *Dist) Add(took loop.Micros) {
	if d.n >= rotateAfter {
		d.n = 0
		d.h.Rotate()
	}
	d.n++
	if err := d.h.Current.RecordValue(min(max(took/unit, 1), longest)); err != nil {
		d.n-- // outside of the bounds, which min and max exclude
	}
}

// NewDist makes an empty distribution.
func NewDist() *Dist { return &Dist{h: hdrhistogram.NewWindowed(windows, 1, longest, digits)} }

// Add takes in a wait that has ended.
func (w *Waits) Add(k gate.Kind, urgent bool, took loop.Micros) {
	key := waitKey{k, urgent}
	d := w.by[key]
	if d == nil {
		d = NewDist()
		w.by[key] = d
	}
	d.Add(took)
}

// Left estimates how much longer a wait lasts that has lasted so long already: by those
// waits of its sort that lasted as long. It is nil when too few did.
func (w *Waits) Left(k gate.Kind, urgent bool, elapsed loop.Micros) *Estimate {
	d := w.by[waitKey{k, urgent}]
	if d == nil {
		return nil
	}
	return d.Left(elapsed)
}

// Left estimates how much longer a wait lasts that has lasted so long already.
func (d *Dist) Left(elapsed loop.Micros) *Estimate {
	h := d.h.Merge()
	total := h.TotalCount()
	e := max(elapsed, 0) / unit
	var below int64
	for _, b := range h.Distribution() {
		if b.To <= e {
			below += b.Count
		}
	}
	left := total - below
	if left < fewSamples {
		return nil
	}
	at := func(q float64) Span {
		v := h.ValueAtPercentile(100 * (float64(below) + q*float64(left)) / float64(total))
		return Span(max(v*unit-elapsed, 0))
	}
	// Waits that have not ended yet are not among these, and are the long ones: the fewer
	// are known, the further the truth may lie beyond them.
	high := at(highQuantile)
	high += Span(float64(high) * spread / math.Sqrt(float64(left)))
	return &Estimate{Low: at(lowQuantile), Likely: at(0.5), High: high, Samples: int(left)}
}
