package failuredetector

import "cleatpick/internal/eventloop"

// CorrelationState is the state of a correlated failure.
type CorrelationState int

// The states of a correlated failure.
const (
	Calm       CorrelationState = iota // few machines are suspected, if any
	Unresolved                         // many are suspected, and it is not known yet which have failed
	Resolved                           // all but a few of them are back or declared failed
)

func (s CorrelationState) String() string { return [...]string{"calm", "falling", "passing"}[s] }

// correlatedFailure is a correlated failure: many machines are suspected within a short time. It lasts
// from the first sign until all, or after a large one all but a few, are back or declared
// failed. While it lasts, no machines are rented for the capacity that may come back.
type correlatedFailure struct {
	state          CorrelationState
	began          eventloop.Micros
	mostSuspected  int // largest number of machines suspected at the same time
	declaredFailed int
	returned       int
	hung           int // of those declared failed, by the result of the last probe
	unreachable    int
	dead           int
	longestSilence eventloop.Micros // longest silence of a machine that was declared failed
}

// correlatedShare is the part of all machines that must be suspected for a correlated failure, and
// minCorrelated their least number.
const correlatedShare = 0.02

func (d *Detector) setCorrelated(s CorrelationState, now eventloop.Micros) {
	o := &d.correlated
	if o.state == s {
		return
	}
	d.log.Info("correlated machine failure changed state; no capacity is rented for suspected machines while it is falling", "from", o.state.String(), "to", s.String(), "most", o.mostSuspected, "hung", o.hung, "out_of_way", o.unreachable, "dead", o.dead, "lost", o.declaredFailed, "back", o.returned, "longest_us", o.longestSilence, "since_us", now-o.began)
	o.state = s
}

func (o *correlatedFailure) addReturned() {
	if o.state == Unresolved {
		o.returned++
	}
}

func (o *correlatedFailure) addFailed(m *machine, now eventloop.Micros, why string) {
	o.declaredFailed++
	switch m.result {
	case NoAnswer:
		o.hung++
	case NoConnection:
		o.unreachable++
	}
	if why == "dead" {
		o.dead++
	}
	o.longestSilence = max(o.longestSilence, now-m.LastConfirmed)
}

// trackCorrelated starts and ends the tracking of a correlated failure.
func (d *Detector) trackCorrelated(now eventloop.Micros, fleet int) {
	n := 0
	for _, m := range d.machines {
		if m.suspected() {
			n++
		}
	}
	many := max(minCorrelated, int(correlatedShare*float64(fleet)))
	o := &d.correlated
	switch {
	case o.state == Calm && n >= many:
		*o = correlatedFailure{began: now, mostSuspected: n}
		d.setCorrelated(Unresolved, now)
	case o.state == Unresolved && n > 0:
		o.mostSuspected = max(o.mostSuspected, n)
		if n < minCorrelated && o.mostSuspected >= 4*minCorrelated {
			d.setCorrelated(Resolved, now) // a few machines still suspected do not prolong it
		}
	case o.state == Unresolved:
		d.setCorrelated(Resolved, now)
	case o.state == Resolved && n < many:
		d.meter.CorrelatedFailure(o.mostSuspected, o.declaredFailed)
		d.setCorrelated(Calm, now)
	}
	d.meter.Suspected(n)
}

func (m *machine) suspected() bool {
	return m.state == Late || m.state == Hung || m.state == Unreachable || m.state == Dead || m.state == Unresponsive
}

// EachSuspected calls f, during a correlated failure, for each suspected machine that may come
// back with its tasks and its capacity: not for one that is considered dead, and for no longer
// than the machine's lease.
func (d *Detector) EachSuspected(now eventloop.Micros, f func(name string)) {
	if d.correlated.state != Unresolved {
		return
	}
	for name, m := range eventloop.Sorted(d.machines) {
		if m.suspected() && m.state != Dead && now-m.lastAlive() <= d.rules.Lease {
			f(name)
		}
	}
}
