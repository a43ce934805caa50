// Package eventloop provides the event loop of a controller: all state of the controller is changed by functions that run on
// it one after another, so that the state needs no locks.
//
// The package owns the queue of functions to run, the timers, the clocks and the detection of process pauses. Blocking
// input and output run in separate goroutines, which post their results to the loop. Tests replace the loop by a
// Runner whose time they advance themselves.
package eventloop

import (
	"cmp"
	"context"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Micros is a point in time or a duration in whole microseconds.
type Micros = int64

// Durations in microseconds.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * 1000
)

// Seconds converts a number of seconds into whole microseconds.
func Seconds(s float64) Micros { return Micros(s * 1e6) }

// Duration converts microseconds into a time.Duration.
func Duration(d Micros) time.Duration { return time.Duration(d) * time.Microsecond }

// Clock reads the monotonic clock and the wall clock.
type Clock interface {
	Now() Micros  // time of the monotonic clock
	Wall() Micros // wall clock time since the Unix epoch
}

type realClock struct{ start time.Time }

func (c realClock) Now() Micros  { return int64(time.Since(c.start) / time.Microsecond) }
func (c realClock) Wall() Micros { return time.Now().UnixMicro() }

// RealClock returns the process's clocks. The monotonic clock starts at one hour, so that a time of zero always means
// "long ago".
func RealClock() Clock { return realClock{time.Now().Add(-time.Hour)} }

// Runner is the part of the event loop that other packages use. Tests implement it with simulated time.
type Runner interface {
	Clock
	Post(func())          // runs a function on the loop
	After(Micros, func()) // runs a function on the loop after a duration
	Go(func())            // runs a blocking function outside the loop
}

// Rand returns a source of random numbers, for use on the loop only. A runner may have its own source, so that a test
// can be repeated exactly.
func Rand(r Runner) *rand.Rand {
	if own, ok := r.(interface{ Rand() *rand.Rand }); ok {
		return own.Rand()
	}
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// Sorted iterates over a map in the order of its keys. Nothing that is decided or sent may depend on Go's random order of
// maps, because a failed test could not be repeated then. Entries that the loop's body deletes are skipped.
func Sorted[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if v, ok := m[k]; ok && !yield(k, v) {
				return
			}
		}
	}
}

// Loop is the event loop: it runs posted functions one after another.
type Loop struct {
	Clock
	mu     sync.Mutex
	queue  []func()
	wake   chan struct{}
	pauses PauseDetector
}

// New returns a loop that uses the process's clocks.
func New() *Loop { return &Loop{Clock: RealClock(), wake: make(chan struct{}, 1)} }

// Post adds a function to the loop's queue; it never blocks. The queue itself has no limit: it is bounded by the
// callers' limits on connections and requests in flight.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// After posts f after d.
func (l *Loop) After(d Micros, f func()) { time.AfterFunc(Duration(d), func() { l.Post(f) }) }

// Go runs a blocking function outside the loop, in a new goroutine.
func (l *Loop) Go(f func()) { go f() }

// Pauses returns the detector of this process's pauses.
func (l *Loop) Pauses() *PauseDetector { return &l.pauses }

// Run runs posted functions until the context is done.
func (l *Loop) Run(ctx context.Context) error {
	Every(l, idleInterval, func() {})
	for {
		l.mu.Lock()
		batch := l.queue
		l.queue = nil
		l.mu.Unlock()
		for _, f := range batch {
			l.pauses.Observe(l.Now())
			f()
		}
		if len(batch) > 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wake:
		}
	}
}

// Every runs f on the loop periodically, for the first time after d and then d after the end of each run.
func Every(r Runner, d Micros, f func()) {
	var tick func()
	tick = func() {
		f()
		r.After(d, tick)
	}
	r.After(d, tick)
}

// Call runs f on the loop and waits until f, or a function that runs later, calls done with the answer. It must be called
// outside the loop. ok is false if there was no answer in time.
func Call[T any](r Runner, timeout time.Duration, f func(done func(T))) (answer T, ok bool) {
	ch := make(chan T, 1)
	r.Post(func() {
		f(func(v T) {
			select {
			case ch <- v:
			default:
			}
		})
	})
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case v := <-ch:
		return v, true
	case <-t.C:
		return answer, false
	}
}
