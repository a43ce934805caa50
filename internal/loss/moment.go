package loss

import "cleatpick/internal/loop"

// CorrelationState is the state of a correlated failure.
type CorrelationState int

// The states of a correlated failure.
const (
	Calm       CorrelationState = iota // few machines are suspected, if any
	Unresolved                         // many are suspected, and it is not known yet which have failed
	Resolved                           // all but a few of them are back or declared failed
)

func (s CorrelationState) String() string { return [...]string{"calm", "falling", "passing"}[s] }

// moment is a correlated failure: many machines are suspected within a short time. It lasts
// from the first sign until all are back or declared failed. While it lasts, no machines are
// rented for the capacity that may come back.
type moment struct {
	state    CorrelationState
	began    loop.Micros
	most     int // largest number of machines suspected at the same time
	lost     int
	returned int
	hung     int // of those declared failed, by the result of the last probe
	unseen   int
	dead     int
	longest  loop.Micros // longest silence of a machine that was declared failed
}

// correlatedShare is the part of all machines that must be suspected for a correlated failure, and
// several their least number.
const correlatedShare = 0.02

func (j *Detector) setCorrelated(s CorrelationState, now loop.Micros) {
	o := &j.correlated
	if o.state == s {
		return
	}
	j.log.Info("correlated machine failure changed state; no capacity is rented for suspected machines while it is falling", "from", o.state.String(), "to", s.String(), "most", o.most, "hung", o.hung, "out_of_way", o.unseen, "dead", o.dead, "lost", o.lost, "back", o.returned, "longest_us", o.longest, "since_us", now-o.began)
	o.state = s
}

func (o *moment) back() {
	if o.state == Unresolved {
		o.returned++
	}
}

func (o *moment) lose(m *machine, now loop.Micros, why string) {
	o.lost++
	switch m.result {
	case NoAnswer:
		o.hung++
	case NoConnection:
		o.unseen++
	}
	if why == "dead" {
		o.dead++
	}
	o.longest = max(o.longest, now-m.LastConfirmed)
}

// trackCorrelated starts and ends the tracking of a correlated failure.
func (j *Detector) trackCorrelated(now loop.Micros, fleet int) {
	n := 0
	for _, m := range j.machines {
		if m.suspected() {
			n++
		}
	}
	many := max(minCorrelated, int(correlatedShare*float64(fleet)))
	o := &j.correlated
	switch {
	case o.state == Calm && n >= many:
		*o = moment{began: now, most: n}
		j.setCorrelated(Unresolved, now)
	case o.state == Unresolved && n > 0:
		o.most = max(o.most, n)
		if n < minCorrelated && o.most >= 4*minCorrelated {
			j.setCorrelated(Resolved, now) // a few machines still suspected do not prolong it
		}
	case o.state == Unresolved:
		j.setCorrelated(Resolved, now)
	case o.state == Resolved && n < many:
		j.meter.Moment(o.most, o.lost)
		j.setCorrelated(Calm, now)
	}
	j.meter.Doubtful(n)
}

func (m *machine) suspected() bool {
	return m.state == Late || m.state == Hung || m.state == Unreachable || m.state == Dead || m.state == Unresponsive
}

// EachSuspected calls f, during a correlated failure, for each suspected machine that may come
// back with its tasks and its capacity, for no longer than the machine's lease.
func (j *Detector) EachSuspected(now loop.Micros, f func(name string)) {
	if j.correlated.state != Unresolved {
		return
	}
	for name, m := range loop.Sorted(j.machines) {
		if m.suspected() && m.state != Dead && now-m.lastAlive() <= j.rules.Lease {
			f(name)
		}
	}
}
