package eventloop

import (
	"slices"
	"testing"
)

// A pause must be reported exactly once, with its first and last time. The periodic function of an idle loop, and
// intervals just below the threshold, must not be reported as pauses.
func TestPauseDetector(t *testing.T) {
	var d PauseDetector
	var got []Pause
	d.OnPause(func(pause Pause) { got = append(got, pause) })
	at := 3600 * Second
	d.Observe(at)
	for range 20 {
		at += idleInterval
		d.Observe(at)
	}
	from := at
	at += 12 * Second
	d.Observe(at)
	d.Observe(at)
	d.Observe(at + pauseThreshold - 1)
	if want := []Pause{{from, at}}; !slices.Equal(got, want) {
		t.Errorf("reported pauses %v, want %v", got, want)
	}
}
