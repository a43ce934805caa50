// Package horizon judges how far a node's knowledge of cancellations reaches, once for all
// who ask in this process. A node's horizon is the latest moment, by its own steady clock, such
// that every cancellation that any node confirmed to a user before it is known here.
//
// A report that is answered keeps a lease alive, and with it tasks that somebody may have
// cancelled elsewhere. So reports are answered only while now < horizon + Grace, in contact with
// the state service or out of it. docs/DESIGN.md has the argument, line by line.
package horizon

import (
	"cmp"
	"log/slog"
	"slices"

	"cleatpick/internal/loop"
)

// State names what moves the horizon.
type State int

// The states of the horizon.
const (
	Blind   State = iota // the records were not read yet
	Current              // the state service moves it
	Shared               // peers move it
	Aging                // nothing does, and reports are answered on what is left
	Lapsed               // it is too old: workers are let go
)

func (s State) String() string {
	return [...]string{"blind", "current", "shared", "aging", "lapsed"}[s]
}

// Grace is for how long after its horizon a node answers reports. What is answered at U keeps
// tasks until U + lease at most, and a cancellation unknown here was confirmed at the horizon
// or later. The margin is for clocks that drift and for what is looked at now and then.
func Grace(lease, cancel loop.Micros) loop.Micros {
	room := cancel - lease
	return room - min(2*loop.Second, room/4)
}

// Wait is for how long a watch of the state service may stay open with nothing to tell: an
// answered watch moves the horizon to when it was sent, so a quiet prefix must not let it age.
// It costs 1/Wait requests a second, at most a twentieth of a node's part of them.
func Wait(grace loop.Micros, rps float64) loop.Micros {
	const least = loop.Second / 4
	want := min(max(grace/8, least), 2*loop.Second)
	return min(max(want, loop.Seconds(20/max(rps, 0.01))), max(grace/2, least))
}

// Over is a job that was cancelled, with the version of its record.
type Over struct {
	Job  string `cbor:"1,keyasint"`
	Mark uint64 `cbor:"2,keyasint"`
}

// Version is that of the words below; others are dropped.
const Version = 1

// Word is what a node tells one peer: a question, and the answer to that one's newest.
type Word struct {
	Version int         `cbor:"1,keyasint"`
	Stamp   loop.Micros `cbor:"2,keyasint"` // the sender's steady clock: the question
	Reach   uint64      `cbor:"3,keyasint"` // the revision up to which the sender has every change
	// Echo is the stamp of the receiver that is answered, of its life Life; 0: the sender
	// cannot tell. Whatever it has confirmed until it was asked is up to revision From, or
	// stands in Over.
	Echo loop.Micros `cbor:"4,keyasint,omitempty"`
	Life loop.Micros `cbor:"5,keyasint,omitempty"`
	From uint64      `cbor:"6,keyasint,omitempty"`
	Over []Over      `cbor:"7,keyasint,omitempty"`
	// Knows tells that the sender has a horizon, which was Age old at the answer.
	Knows bool        `cbor:"8,keyasint,omitempty"`
	Age   loop.Micros `cbor:"9,keyasint,omitempty"`
}

type peer struct {
	stamp, life loop.Micros // its newest question
	reach       uint64
	asked       loop.Micros // when that came
	echo        loop.Micros // our newest stamp that it has answered; 0: none
}

// mostRecent bounds the cancellations that are kept to be told to peers: those of the highest
// versions. A peer that lacks older ones is told that this node cannot tell.
const mostRecent = 4096

// mostAsked is for how long a question is answered again. What a peer lacks grows while it is
// silent, and an old question's answer is of no use to it.
const mostAsked = 5 * loop.Second

// Judge follows the horizon of one node.
type Judge struct {
	clock loop.Clock
	log   *slog.Logger
	life  loop.Micros
	grace loop.Micros
	peers map[string]*peer
	read  bool        // the records were read in this life
	at    loop.Micros // what the state service has moved the horizon to
	reach uint64      // the revision up to which every change is known here
	by    loop.Micros // what single peers' horizons have moved it to
	// recent are cancellations known here, by version, and floor the highest version of those
	// that were dropped.
	recent []Over
	floor  uint64
	state  State
	since  loop.Micros // of the state
	// Take hands over a cancellation that a peer tells of; false: it cannot be kept.
	Take func(Over) bool
	// Dropped is called for every word that is thrown away; it may be nil.
	Dropped func(peer, why string)
}

// New makes a judge that knows nothing. life names this life of the process.
func New(clock loop.Clock, log *slog.Logger, life, grace loop.Micros, peers []string) *Judge {
	j := &Judge{clock: clock, log: log, life: life, grace: grace, peers: map[string]*peer{}, since: clock.Now()}
	for _, p := range peers {
		j.peers[p] = &peer{}
	}
	return j
}

// Mirror takes in that an answer of the state service to a request that was sent at a time is
// known here whole, with everything up to a revision.
func (j *Judge) Mirror(sent loop.Micros, reach uint64) {
	j.read, j.at, j.reach = true, max(j.at, sent), max(j.reach, reach)
}

// Learn takes in a cancellation that is known here, by whatever way. It is to be called before
// anybody is told: what a peer is told next then holds it.
func (j *Judge) Learn(o Over) {
	if o.Mark <= j.floor {
		return
	}
	i, have := slices.BinarySearchFunc(j.recent, o, func(a, b Over) int {
		return cmp.Or(cmp.Compare(a.Mark, b.Mark), cmp.Compare(a.Job, b.Job))
	})
	if have {
		return
	}
	j.recent = slices.Insert(j.recent, i, o)
	if n := len(j.recent) - mostRecent; n > 0 {
		j.floor = j.recent[n-1].Mark
		for n < len(j.recent) && j.recent[n].Mark == j.floor {
			n++ // of one version all are kept, or none
		}
		j.recent = slices.Delete(j.recent, 0, n)
	}
}

// At is the horizon; 0: there is none.
func (j *Judge) At() loop.Micros {
	if !j.read {
		return 0
	}
	all, _ := j.slowest()
	return max(j.at, j.by, all)
}

// slowest is what all peers together have moved the horizon to, and which of them holds it back.
// A node without peers knows all that it has confirmed itself, and its earlier lives.
func (j *Judge) slowest() (at loop.Micros, who string) {
	at = j.clock.Now()
	for label, p := range j.peers { // for each report that is answered: in no order, a tie goes to the first by name
		if p.echo < at || p.echo == at && who > label {
			at, who = p.echo, label
		}
	}
	return at, who
}

// Holds tells whether reports may be answered now.
func (j *Judge) Holds() bool {
	at := j.At()
	return at != 0 && j.clock.Now() < at+j.grace
}

// Word is what to tell a peer now; nil for one that is not known.
func (j *Judge) Word(label string) *Word {
	p := j.peers[label]
	if p == nil {
		return nil
	}
	now := j.clock.Now()
	w := &Word{Version: Version, Stamp: now, Reach: j.reach}
	if !j.read || p.stamp == 0 || now-p.asked > mostAsked || p.reach < j.floor {
		// Not asked lately, or not to be told: what earlier lives of this process have confirmed is
		// known once the records were read, and not before.
		return w
	}
	i, _ := slices.BinarySearchFunc(j.recent, p.reach, func(o Over, reach uint64) int {
		if o.Mark <= reach {
			return -1
		}
		return 1
	})
	w.Echo, w.Life, w.From, w.Over = p.stamp, p.life, p.reach, slices.Clone(j.recent[i:])
	w.Knows, w.Age = true, now-j.At()
	return w
}

// Hear takes in a peer's word, from the life of its process that the frame names.
func (j *Judge) Hear(label string, life loop.Micros, w *Word) {
	p := j.peers[label]
	if p == nil || w == nil {
		return
	}
	if why := j.nonsense(w); why != "" {
		j.drop(label, why)
		return
	}
	if p.life != life || w.Stamp > p.stamp {
		p.stamp, p.life, p.reach, p.asked = w.Stamp, life, w.Reach, j.clock.Now()
	}
	if w.Echo == 0 || !j.read {
		return // before the records are read, all that was ever cancelled would be news
	}
	if w.Life != j.life {
		j.drop(label, "answers an earlier life")
		return
	}
	for _, o := range w.Over {
		if !j.Take(o) {
			j.drop(label, "a cancellation cannot be kept")
			return
		}
	}
	p.echo = max(p.echo, w.Echo)
	if w.Knows {
		j.by = max(j.by, w.Echo-w.Age)
	}
}

// nonsense tells why a word proves nothing; it is empty for one that is sound.
func (j *Judge) nonsense(w *Word) string {
	switch {
	case w.Version != Version:
		return "unknown version"
	case w.Stamp <= 0 || w.Echo < 0 || w.Age < 0:
		return "malformed"
	case w.Echo > j.clock.Now() && w.Life == j.life:
		return "a stamp from the future"
	case w.Echo != 0 && w.Life == j.life && w.From > j.reach:
		return "a revision that was never named"
	case len(w.Over) > mostRecent:
		return "too many cancellations"
	}
	for _, o := range w.Over {
		if o.Job == "" || o.Mark <= w.From {
			return "malformed"
		}
	}
	return ""
}

func (j *Judge) drop(label, why string) {
	j.log.Debug("word on cancellations dropped", "node", label, "why", why)
	if j.Dropped != nil {
		j.Dropped(label, why)
	}
}

// Look judges what moves the horizon now, logs a change, and tells its age. It is to be called
// now and then.
func (j *Judge) Look() (age loop.Micros) {
	now := j.clock.Now()
	at := j.At()
	age = now - at
	fresh := j.grace / 4
	switch {
	case at == 0:
		j.setState(Blind, now, age)
		return 0
	case age >= j.grace:
		j.setState(Lapsed, now, age)
	case now-j.at < max(fresh, loop.Second):
		j.setState(Current, now, age)
	case age < max(fresh, loop.Second):
		j.setState(Shared, now, age)
	default:
		j.setState(Aging, now, age)
	}
	return age
}

// setState is the one place where the state changes.
func (j *Judge) setState(s State, now, age loop.Micros) {
	if j.state == s {
		return
	}
	_, who := j.slowest()
	from := j.state
	j.state, j.since = s, now
	if s == Lapsed {
		j.log.Warn("workers are let go: cancellations told elsewhere may not be known here", "age_us", age,
			"state_service_us", now-j.at, "held_back_by", who)
		return
	}
	j.log.Info("knowledge of cancellations", "from", from.String(), "to", s.String(), "age_us", age, "held_back_by", who)
}

// State is what moved the horizon at the newest Look.
func (j *Judge) State() State { return j.state }
