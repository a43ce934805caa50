package standin

import "cleatpick/internal/loop"

// Runner is a loop.Runner whose time only moves when the test advances it. Functions that are due run during
// the advance, on the test's goroutine, in order of time and then of registration.
type Runner struct {
	now  loop.Micros
	todo []due
}

// due is a function to be run at a time.
type due struct {
	at loop.Micros
	f  func()
}

// NewRunner returns a runner whose time is now.
func NewRunner(now loop.Micros) *Runner { return &Runner{now: now} }

// Now returns the time of the monotonic clock.
func (s *Runner) Now() loop.Micros { return s.now }

// Wall returns the time of the wall clock, which equals the monotonic clock here.
func (s *Runner) Wall() loop.Micros { return s.now }

// Post runs f at the present time, as soon as the test advances it.
func (s *Runner) Post(f func()) { s.After(0, f) }

// Go runs f, which stands for blocking work, one microsecond later.
func (s *Runner) Go(f func()) { s.After(1, f) }

// After runs f after d.
func (s *Runner) After(d loop.Micros, f func()) { s.todo = append(s.todo, due{s.now + d, f}) }

// Advance advances the time by d and runs the functions that become due, in order of time.
func (s *Runner) Advance(d loop.Micros) {
	for end := s.now + d; ; {
		first := -1
		for i, x := range s.todo {
			if x.at <= end && (first < 0 || x.at < s.todo[first].at) {
				first = i
			}
		}
		if first < 0 {
			s.now = end
			return
		}
		x := s.todo[first]
		s.todo = append(s.todo[:first], s.todo[first+1:]...)
		s.now = max(s.now, x.at)
		x.f()
	}
}
