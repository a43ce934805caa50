package admission

import "cleatpick/internal/loop"

// State names how much more is asked for than can be taken.
type State int

// The states.
const (
	Calm       State = iota // nothing waits for long
	Crowded                 // something has waited without a break for crowdedAfter
	Overloaded              // requests are put off
	Recovering              // none was put off for a moment, and those who were come back
)

func (s State) String() string { return [...]string{"calm", "crowded", "overloaded", "recovering"}[s] }

const (
	crowdedAfter = loop.Second
	// calmAfter is for how long the line must have been empty now and then to be calm again.
	calmAfter = 3 * loop.Second
	// recoverAfter is how long after the last request that was put off the overload is over,
	// and backFor how long users are still coming back after that: as long as they may be told to.
	recoverAfter = 5 * loop.Second
	backFor      = longest * loop.Second
)

// Overload follows one resource.
type Overload struct {
	state   State
	since   loop.Micros
	waits   loop.Micros // since when something waits without a break; 0: nothing does
	empty   loop.Micros // when nothing waited last
	off     loop.Micros // when a request was put off last
	changed func(from, to State)
}

// setState is the one place where the state changes.
func (o *Overload) setState(s State, now loop.Micros) {
	if o.state == s {
		return
	}
	from := o.state
	o.state, o.since = s, now
	if o.changed != nil {
		o.changed(from, s)
	}
}

// look takes in whether a request was taken, and whether any waits.
func (o *Overload) look(now loop.Micros, taken, waits bool) {
	if !taken {
		o.off = now
	}
	switch {
	case !waits:
		o.waits, o.empty = 0, now
	case o.waits == 0:
		o.waits = now
	}
	crowded := o.waits != 0 && now-o.waits >= crowdedAfter
	switch {
	case !taken:
		o.setState(Overloaded, now)
	case o.state == Overloaded && now-o.off >= recoverAfter:
		o.setState(Recovering, now)
	case o.state == Recovering && now-o.since >= backFor && !crowded:
		o.setState(Calm, now)
	case o.state == Calm && crowded:
		o.setState(Crowded, now)
	case o.state == Crowded && !crowded && now-o.empty < calmAfter && now-o.since >= calmAfter:
		o.setState(Calm, now)
	}
}
