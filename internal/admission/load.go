package admission

import "cleatpick/internal/eventloop"

// State is the load state of the queue.
type State int

// The load states.
const (
	Calm       State = iota // no request waits for long
	Crowded                 // some request has been waiting at all times for crowdedAfter
	Overloaded              // requests are deferred
	Recovering              // none was deferred for recoverAfter, and the deferred clients are retrying
)

func (s State) String() string { return [...]string{"calm", "crowded", "overloaded", "recovering"}[s] }

const (
	crowdedAfter = eventloop.Second
	// calmAfter is how long the queue must keep becoming empty again before it counts as calm.
	calmAfter = 3 * eventloop.Second
	// recoverAfter is the time after the last deferral when the overload counts as over, and retryingFor how long
	// clients may still be retrying after that: the longest time that they may be told to wait.
	recoverAfter = 5 * eventloop.Second
	retryingFor  = maxRetryAfter * eventloop.Second
)

// LoadTracker derives the load state from what happens to requests.
type LoadTracker struct {
	state        State
	since        eventloop.Micros
	waitingSince eventloop.Micros // since when some request has been waiting at all times; 0: none waits
	emptyAt      eventloop.Micros // when no request was waiting last
	deferredAt   eventloop.Micros // when a request was deferred last
	changed      func(from, to State)
}

// setState changes the state and reports the change; no other function changes the state.
func (o *LoadTracker) setState(s State, now eventloop.Micros) {
	if o.state == s {
		return
	}
	from := o.state
	o.state, o.since = s, now
	if o.changed != nil {
		o.changed(from, s)
	}
}

// update updates the state. queued says that no request was deferred, waiting that some request is waiting.
func (o *LoadTracker) update(now eventloop.Micros, queued, waiting bool) {
	if !queued {
		o.deferredAt = now
	}
	switch {
	case !waiting:
		o.waitingSince, o.emptyAt = 0, now
	case o.waitingSince == 0:
		o.waitingSince = now
	}
	crowded := o.waitingSince != 0 && now-o.waitingSince >= crowdedAfter
	switch {
	case !queued:
		o.setState(Overloaded, now)
	case o.state == Overloaded && now-o.deferredAt >= recoverAfter:
		o.setState(Recovering, now)
	case o.state == Recovering && now-o.since >= retryingFor && !crowded:
		o.setState(Calm, now)
	case o.state == Calm && crowded:
		o.setState(Crowded, now)
	case o.state == Crowded && !crowded && now-o.emptyAt < calmAfter && now-o.since >= calmAfter:
		o.setState(Calm, now)
	}
}
