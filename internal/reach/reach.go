// Package reach judges which controllers reach which, each way, once for all who ask in
// this process: who may be given a team, whom workers are sent to, whether this node itself
// is cut off. Two judges of one thing would drift apart.
//
// The evidence is what peers say of themselves and whom they hear. A node that hears
// another knows nothing of the way back but what that one says.
package reach

import (
	"log/slog"
	"slices"

	"cleatpick/internal/loop"
)

// State names how a peer is reached.
type State int

// The states of a peer.
const (
	Silent  State = iota // nothing fresh was heard of it
	OneWay               // it is heard, and does not hear this node
	Partial              // both hear each other, but it lacks the state service or a node that this one hears
	Whole                // it reaches all that this node reaches
)

func (s State) String() string { return [...]string{"silent", "oneWay", "partial", "whole"}[s] }

const (
	// Fresh is how old a word may be.
	Fresh = 2500 * loop.Millisecond
	// lateBy is how old it may be by the time of day, beside the bound on that: words that
	// were held back on their way look new.
	lateBy = 3 * loop.Second
	// brokenFor is for how long what is known of this node itself must hold before it acts
	// on it: a peer that began anew hears nobody for a moment.
	brokenFor = 3 * loop.Second
	// skew is by how much later than this node another may find a third one silent, or heard
	// again. Without it, one node that went silent made all others flap.
	skew = Fresh + 1500*loop.Millisecond
	// A peer that was whole and is not any more has flapped. After the first time it is
	// trusted as soon as it is whole again; after more, once it was whole for damping,
	// doubled each time up to dampedTimes. Being whole for goodFor makes up for all.
	damping     = 16 * loop.Second
	dampedTimes = 1
	goodFor     = 60 * loop.Second
)

// Word is what a peer said of itself.
type Word struct {
	Wall    loop.Micros // its time of day
	Contact bool        // the state service answers it
	Hears   []string    // nodes that it hears; nil: it does not say
}

type peer struct {
	word  Word
	heard loop.Micros // steady time; 0: never
	state State
	since loop.Micros // of the state
	lacks loop.Micros // since when it does not hear a node that this one hears; 0: it hears all
	flaps int
	fell  loop.Micros // when the newest flap was counted
}

// Judge follows all peers of one node.
type Judge struct {
	r     loop.Runner
	log   *slog.Logger
	self  string
	off   loop.Micros // twice the bound on the time of day
	began loop.Micros
	peers map[string]*peer
	// Since when this node hears no peer both ways, and since when a peer that others hear
	// does not hear it, or is not heard; 0: not so.
	alone, broken loop.Micros
	// Contact tells whether the state service answers this node: where it answers nobody,
	// that is no peer's fault. It may be nil.
	Contact func() bool
	// Changed is called for every change of a peer's state; it may be nil.
	Changed func(peer string, to State, damped bool)
}

// New makes a judge that has heard nobody.
func New(r loop.Runner, log *slog.Logger, self string, peers []string, off loop.Micros) *Judge {
	j := &Judge{r: r, log: log, self: self, off: off, began: r.Now(), peers: map[string]*peer{}}
	for _, p := range peers {
		j.peers[p] = &peer{}
	}
	return j
}

// setState is the one place where a peer's state changes.
func (j *Judge) setState(label string, p *peer, s State, now loop.Micros) {
	if p.state == s {
		return
	}
	if p.state == Whole && now-p.fell >= skew && (s != Partial || j.Contact == nil || j.Contact()) {
		// Once for a moment: to a node that stood still itself, what queued up meanwhile
		// shows each peer come and go several times.
		p.flaps++
		p.fell = now
	}
	from := p.state
	p.state, p.since = s, now
	j.log.Info("peer", "node", label, "from", from.String(), "to", s.String(), "flaps", p.flaps)
	if j.Changed != nil {
		j.Changed(label, s, p.wait() > 0)
	}
}

// wait is for how long the peer must be whole before it is trusted.
func (p *peer) wait() loop.Micros {
	if p.flaps < 2 {
		return 0
	}
	return damping << min(p.flaps-2, dampedTimes)
}

// Hear takes in a peer's word.
func (j *Judge) Hear(label string, w Word) {
	p := j.peers[label]
	if p == nil || p.heard != 0 && w.Wall <= p.word.Wall {
		return // repeated, or overtaken on its way
	}
	p.word, p.heard = w, j.r.Now()
	j.Look()
}

// Look judges all peers by what was heard until now; it is to be called now and then,
// since silence brings nothing that could be heard.
func (j *Judge) Look() {
	now := j.r.Now()
	alone, broken := true, false
	for label, p := range loop.Sorted(j.peers) {
		j.compare(label, p, now)
		s := j.judge(label, p, now)
		j.setState(label, p, s, now)
		if p.state == Whole && now-p.since >= goodFor {
			p.flaps = 0
		}
		alone = alone && s <= OneWay
		broken = broken || s <= OneWay && j.others(label, now)
	}
	set := func(at *loop.Micros, is bool) {
		if !is {
			*at = 0
		} else if *at == 0 {
			*at = now
		}
	}
	set(&j.alone, alone && len(j.peers) > 0)
	set(&j.broken, broken)
}

func (j *Judge) judge(label string, p *peer, now loop.Micros) State {
	switch {
	case !j.fresh(p, now):
		return Silent
	case p.word.Hears == nil:
		if !p.word.Contact {
			return Partial
		}
		return Whole
	case !slices.Contains(p.word.Hears, j.self):
		return OneWay
	case !p.word.Contact:
		return Partial
	}
	if p.lacks != 0 && now-p.lacks >= skew {
		return Partial
	}
	return Whole
}

// compare notes since when a peer does not hear a node that this one hears.
func (j *Judge) compare(label string, p *peer, now loop.Micros) {
	lacks := false
	for other, o := range j.peers {
		lacks = lacks || other != label && j.fresh(o, now) && p.word.Hears != nil && !slices.Contains(p.word.Hears, other)
	}
	if !lacks {
		p.lacks = 0
	} else if p.lacks == 0 {
		p.lacks = now
	}
}

// others tells whether a peer that hears this node hears that one too: then it lives, and
// the way between it and this node is broken.
func (j *Judge) others(label string, now loop.Micros) bool {
	for other, o := range j.peers {
		if other != label && j.fresh(o, now) && slices.Contains(o.word.Hears, label) && slices.Contains(o.word.Hears, j.self) {
			return true
		}
	}
	return false
}

func (j *Judge) fresh(p *peer, now loop.Micros) bool {
	return p.heard != 0 && now-p.heard < Fresh && j.r.Wall()-p.word.Wall < lateBy+j.off
}

// State is how a peer is reached.
func (j *Judge) State(label string) State {
	if p := j.peers[label]; p != nil {
		return j.judge(label, p, j.r.Now())
	}
	return Silent
}

// Heard tells whether the peer was heard within a time, whatever it said.
func (j *Judge) Heard(label string, within loop.Micros) bool {
	p := j.peers[label]
	return p != nil && p.heard != 0 && j.r.Now()-p.heard < within
}

// Fit tells whether the peer may be given work: it is whole, and has been for as long as
// its flapping asks for.
func (j *Judge) Fit(label string) bool {
	p := j.peers[label]
	return p != nil && j.State(label) == Whole && p.state == Whole && j.r.Now()-p.since >= p.wait()
}

// Damped tells for how much longer the peer is not trusted although it is whole; 0: it is
// trusted, or not whole.
func (j *Judge) Damped(label string) loop.Micros {
	if p := j.peers[label]; p != nil && p.state == Whole {
		return max(p.since+p.wait()-j.r.Now(), 0)
	}
	return 0
}

// Isolated tells whether this node and no peer hear each other: what is decided here
// reaches nobody. Either way being lost is enough.
func (j *Judge) Isolated() bool {
	now := j.r.Now()
	if now-j.began < 5*loop.Second || len(j.peers) == 0 {
		return false
	}
	silent := true
	for _, p := range j.peers {
		silent = silent && (p.heard == 0 || now-p.heard >= Fresh)
	}
	return silent || j.alone != 0 && now-j.alone >= brokenFor
}

// Broken tells whether the way between this node and one that others hear is broken, and
// has been for a while: an owner then neither sees nor reaches what reports there.
func (j *Judge) Broken() bool {
	now := j.r.Now()
	return j.broken != 0 && now-j.broken >= 2*brokenFor && now-j.began >= 5*loop.Second
}
