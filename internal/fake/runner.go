package fake

import "cleatpick/internal/eventloop"

// Runner is an eventloop.Runner whose time only moves when the test advances it. Functions that are due run during
// the advance, on the test's goroutine, in order of time and then of registration.
type Runner struct {
	now    eventloop.Micros
	timers []timer
}

// timer is a function to be run at a time.
type timer struct {
	at  eventloop.Micros
	run func()
}

// NewRunner returns a runner whose time is now.
func NewRunner(now eventloop.Micros) *Runner { return &Runner{now: now} }

// Now returns the time of the monotonic clock.
func (r *Runner) Now() eventloop.Micros { return r.now }

// Wall returns the time of the wall clock, which equals the monotonic clock here.
func (r *Runner) Wall() eventloop.Micros { return r.now }

// Post runs f at the present time, as soon as the test advances it.
func (r *Runner) Post(f func()) { r.After(0, f) }

// Go runs f, which stands for blocking work, one microsecond later.
func (r *Runner) Go(f func()) { r.After(1, f) }

// After runs f after d.
func (r *Runner) After(d eventloop.Micros, f func()) {
	r.timers = append(r.timers, timer{r.now + d, f})
}

// Advance advances the time by d and runs the functions that become due, in order of time.
func (r *Runner) Advance(d eventloop.Micros) {
	for end := r.now + d; ; {
		first := -1
		for i, t := range r.timers {
			if t.at <= end && (first < 0 || t.at < r.timers[first].at) {
				first = i
			}
		}
		if first < 0 {
			r.now = end
			return
		}
		t := r.timers[first]
		r.timers = append(r.timers[:first], r.timers[first+1:]...)
		r.now = max(r.now, t.at)
		t.run()
	}
}
