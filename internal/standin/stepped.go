package standin

import "cleatpick/internal/loop"

// Stepped is time moved by hand: what is due runs when the test moves on.
type Stepped struct {
	now  loop.Micros
	todo []due
}

type due struct {
	at loop.Micros
	f  func()
}

// NewStepped starts at a time.
func NewStepped(now loop.Micros) *Stepped { return &Stepped{now: now} }

// Now is the steady time.
func (s *Stepped) Now() loop.Micros { return s.now }

// Wall is the time of day, which is the same here.
func (s *Stepped) Wall() loop.Micros { return s.now }

// Post runs f as soon as time moves.
func (s *Stepped) Post(f func()) { s.After(0, f) }

// Go runs blocking work a moment later.
func (s *Stepped) Go(f func()) { s.After(1, f) }

// After runs f once d has passed.
func (s *Stepped) After(d loop.Micros, f func()) { s.todo = append(s.todo, due{s.now + d, f}) }

// Run moves time on by d, running what is due in order.
func (s *Stepped) Run(d loop.Micros) {
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
