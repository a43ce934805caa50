// Package delivery computes until when a start command for an attempt of a task can still reach a worker. A worker that
// has forgotten an attempt starts it again when such a command arrives, so no worker may be asked to forget an attempt
// while that is possible.
//
// Each attempt is treated on its own: the expiry of an earlier or later attempt of the same task implies nothing about
// this one. ClockBounds compares wall clock times of different controllers, and Expiries holds the expiry of each attempt
// that an owner recorded. Which commands are in flight to a worker is known only to the worker's host controller, which
// makes the final decision whether the worker may forget an attempt.
package delivery

import "cleatpick/internal/eventloop"

// AnswerLifetime is how long a worker waits for the answer to its report, and thus the longest time for which a start
// command in such an answer can be in flight.
const AnswerLifetime = 4200 * eventloop.Millisecond

// Attempt identifies one attempt of a task.
type Attempt struct {
	Task   string
	Number uint64
}

// ClockBounds holds what is needed to compare wall clock times of different controllers.
type ClockBounds struct {
	// MaxDifference is the upper bound on the difference between the wall clocks of two controllers.
	MaxDifference eventloop.Micros
	// StartLifetime is how long after the owner begins to record a start a host controller may pass it on to the worker.
	// It is the same at all controllers.
	StartLifetime eventloop.Micros
}

// slack is added to the bound on the clocks' difference, because a time may be read slightly after the event that it
// stands for.
const slack = 200 * eventloop.Millisecond

// NewClockBounds returns the bounds for the given maximal difference between two wall clocks and the given lifetime of
// a start.
func NewClockBounds(difference, startLifetime eventloop.Micros) ClockBounds {
	return ClockBounds{MaxDifference: difference + slack, StartLifetime: startLifetime}
}

// LatestArrival returns the wall clock time, by the clock of any controller, after which a start with the given expiry
// cannot arrive at a worker. The expiry was determined by the clock of any controller. A host controller passes the start
// on until the expiry by its own clock, and the answer that carries it can be in flight for AnswerLifetime.
func (b ClockBounds) LatestArrival(expiry eventloop.Micros) eventloop.Micros {
	return expiry + b.MaxDifference + AnswerLifetime
}

// AfterRecord reports whether an event that was certainly later than madeAfter, by the clock of any controller, was later
// than the time at which the owner began to record the start with the given expiry.
func (b ClockBounds) AfterRecord(madeAfter, expiry eventloop.Micros) bool {
	return madeAfter > expiry-b.StartLifetime+b.MaxDifference
}

// LatestArrivalOfRecorded returns the same for an attempt whose expiry is unknown, given a time by the caller's clock at
// which the owner had already begun to record the start. The expiry was set by the owner's clock and is checked by a host
// controller's clock, which are both different from the caller's; but only those two have to be compared, by
// MaxDifference, and the time since recorded is measured by the caller's clock alone.
func (b ClockBounds) LatestArrivalOfRecorded(recorded eventloop.Micros) eventloop.Micros {
	return b.LatestArrival(recorded + b.StartLifetime)
}
