package loss

import "cleatpick/internal/loop"

// MomentState names where a fall of many machines stands.
type MomentState int

// The states of a moment.
const (
	Calm    MomentState = iota // few machines are silent, if any
	Falling                    // many are, and nobody can tell yet what becomes of them
	Passing                    // each of them is back or lost
)

func (s MomentState) String() string { return [...]string{"calm", "falling", "passing"}[s] }

// A moment is a fall of many machines at once, from its first sign until all are back or
// lost. While it lasts, nothing is rented for the room that may come back.
type moment struct {
	state    MomentState
	began    loop.Micros
	most     int // machines in doubt at once
	lost     int
	returned int
	hung     int // of those lost: by what asking them brought back
	unseen   int
	dead     int
	longest  loop.Micros // silence of one that was lost
}

// manyShare is the part of the fleet that must be silent for a moment; at least several
// machines are.
const manyShare = 0.02

func (j *Judge) setMoment(s MomentState, now loop.Micros) {
	o := &j.moment
	if o.state == s {
		return
	}
	j.log.Info("machines in doubt", "from", o.state.String(), "to", s.String(), "most", o.most, "hung", o.hung, "out_of_way", o.unseen, "dead", o.dead, "lost", o.lost, "back", o.returned, "longest_us", o.longest, "since_us", now-o.began)
	o.state = s
}

func (o *moment) back() {
	if o.state == Falling {
		o.returned++
	}
}

func (o *moment) lose(m *machine, now loop.Micros, why string) {
	o.lost++
	switch m.word {
	case Mute:
		o.hung++
	case NoWay:
		o.unseen++
	}
	if why == "dead" {
		o.dead++
	}
	o.longest = max(o.longest, now-m.Heard)
}

// follow opens and closes moments.
func (j *Judge) follow(now loop.Micros, fleet int) {
	n := 0
	for _, m := range j.machines {
		if m.doubtful() {
			n++
		}
	}
	many := max(several, int(manyShare*float64(fleet)))
	o := &j.moment
	switch {
	case o.state == Calm && n >= many:
		*o = moment{began: now, most: n}
		j.setMoment(Falling, now)
	case o.state == Falling && n > 0:
		o.most = max(o.most, n)
		if n < several && o.most >= 4*several {
			j.setMoment(Passing, now) // stragglers do not hold the rest up
		}
	case o.state == Falling:
		j.setMoment(Passing, now)
	case o.state == Passing && n < many:
		j.meter.Moment(o.most, o.lost)
		j.setMoment(Calm, now)
	}
	j.meter.Doubtful(n)
}

func (m *machine) doubtful() bool {
	return m.state == Late || m.state == Hung || m.state == OutOfWay || m.state == Dead || m.state == Deaf
}

// Doubtful calls f for the machines that may come back with all their room, while many
// are in doubt at once; each for no longer than its lease.
func (j *Judge) Doubtful(now loop.Micros, f func(name string)) {
	if j.moment.state != Falling {
		return
	}
	for name, m := range loop.Sorted(j.machines) {
		if m.doubtful() && m.state != Dead && now-m.lives() <= j.r.Lease {
			f(name)
		}
	}
}
