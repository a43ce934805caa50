// Package reachability tracks which controllers reach which, in each direction. All parts of the
// process use the same result, so that they cannot contradict each other: which controller
// may be given a team, to which one workers are redirected, and whether this controller
// itself is isolated.
//
// The evidence is what peers report in their messages: their own state and from whom they
// receive messages. A controller that receives a peer's messages knows only from these
// whether its own messages reach the peer. The package sends nothing itself.
package reachability

import (
	"log/slog"
	"slices"

	"cleatpick/internal/eventloop"
)

// State is the reachability of a peer.
type State int

// The states of a peer.
const (
	Silent  State = iota // no recent message of it has arrived
	OneWay               // its messages arrive, but it does not receive those of this controller
	Partial              // messages pass both ways, but it lacks the state service or a peer that this controller reaches
	Full                 // it reaches all that this controller reaches
)

func (s State) String() string { return [...]string{"silent", "oneWay", "partial", "whole"}[s] }

const (
	// MaxAge is the age up to which a message is evidence.
	MaxAge = 2500 * eventloop.Millisecond
	// maxWallAge is the age up to which it is evidence by the sender's wall clock, in addition to
	// the bound on clock differences: messages that were delayed on their way arrive as new.
	maxWallAge = 3 * eventloop.Second
	// isolationDelay is how long this controller must appear isolated before it acts on that: a
	// peer that has just restarted receives no messages for a short time.
	isolationDelay = 3 * eventloop.Second
	// detectionSkew is how much later than this controller a peer may notice that a third one
	// became silent or reachable. Without it, one silent controller makes all others flap.
	detectionSkew = MaxAge + 1500*eventloop.Millisecond
	// A peer that leaves the state Full has flapped. After the first flap it is fit for work
	// as soon as it is in state Full again; after more, only once it has been so for damping,
	// doubled with each flap up to maxDampingDoublings times. Flaps are forgotten after
	// stableAfter in state Full.
	damping             = 16 * eventloop.Second
	maxDampingDoublings = 1
	stableAfter         = 60 * eventloop.Second
)

// Message is what a peer reports about itself in a message.
type Message struct {
	Wall         eventloop.Micros // its wall clock when it sent the message
	StateContact bool             // the state service answers it
	ReceivesFrom []string         // controllers whose messages it receives; nil: not reported
}

type peer struct {
	message     Message
	receivedAt  eventloop.Micros // when the message arrived, by the monotonic clock; 0: never
	state       State
	since       eventloop.Micros // when the state began
	missesSince eventloop.Micros // since when it does not receive a peer that this controller receives; 0: it receives all
	flaps       int
	flappedAt   eventloop.Micros // when the last flap was counted
}

// Tracker tracks the reachability of all peers of one controller.
type Tracker struct {
	runner          eventloop.Runner
	log             *slog.Logger
	self            string
	clockDifference eventloop.Micros // the largest difference between two wall clocks: twice the largest error of one
	began           eventloop.Micros
	peers           map[string]*peer
	// isolatedSince is since when messages pass both ways with no peer, and disconnectedSince
	// since when they do not pass both ways with some peer that others reach. 0: not so.
	isolatedSince, disconnectedSince eventloop.Micros
	// StateContact reports whether the state service answers this controller: during an outage
	// of the state service, peers without contact are not at fault. It may be nil.
	StateContact func() bool
	// OnChange is called for every change of a peer's state. It may be nil.
	OnChange func(peer string, to State, damped bool)
}

// New returns a tracker that has received no messages.
func New(r eventloop.Runner, log *slog.Logger, self string, peers []string, clockDifference eventloop.Micros) *Tracker {
	t := &Tracker{runner: r, log: log, self: self, clockDifference: clockDifference, began: r.Now(), peers: map[string]*peer{}}
	for _, p := range peers {
		t.peers[p] = &peer{}
	}
	return t
}

// setState is the only place where a peer's state changes.
func (t *Tracker) setState(label string, p *peer, s State, now eventloop.Micros) {
	if p.state == s {
		return
	}
	if p.state == Full && now-p.flappedAt >= detectionSkew && (s != Partial || t.StateContact == nil || t.StateContact()) {
		// Flaps within detectionSkew count once: after a pause of this process, the messages that
		// queued up during the pause show each peer leave and return several times.
		p.flaps++
		p.flappedAt = now
	}
	from := p.state
	p.state, p.since = s, now
	t.log.Info("reachability of a peer changed", "node", label, "from", from.String(), "to", s.String(), "flaps", p.flaps)
	if t.OnChange != nil {
		t.OnChange(label, s, p.dampingTime() > 0)
	}
}

// dampingTime returns how long the peer must be in state Full before it is fit for work.
func (p *peer) dampingTime() eventloop.Micros {
	if p.flaps < 2 {
		return 0
	}
	return damping << min(p.flaps-2, maxDampingDoublings)
}

// Receive records a peer's message.
func (t *Tracker) Receive(label string, w Message) {
	p := t.peers[label]
	if p == nil || p.receivedAt != 0 && w.Wall <= p.message.Wall {
		return // a duplicate, or older than one that has arrived already
	}
	p.message, p.receivedAt = w, t.runner.Now()
	t.Update()
}

// Update evaluates all peers by the messages received so far. It must be called periodically,
// since a peer that becomes silent triggers no call of Receive.
func (t *Tracker) Update() {
	now := t.runner.Now()
	isolated, disconnected := true, false
	for label, p := range eventloop.Sorted(t.peers) {
		t.updateMisses(label, p, now)
		s := t.evaluate(label, p, now)
		t.setState(label, p, s, now)
		if p.state == Full && now-p.since >= stableAfter {
			p.flaps = 0
		}
		isolated = isolated && s <= OneWay
		disconnected = disconnected || s <= OneWay && t.reachedByOthers(label, now)
	}
	set := func(at *eventloop.Micros, is bool) {
		if !is {
			*at = 0
		} else if *at == 0 {
			*at = now
		}
	}
	set(&t.isolatedSince, isolated && len(t.peers) > 0)
	set(&t.disconnectedSince, disconnected)
}

func (t *Tracker) evaluate(label string, p *peer, now eventloop.Micros) State {
	switch {
	case !t.fresh(p, now):
		return Silent
	case p.message.ReceivesFrom == nil:
		if !p.message.StateContact {
			return Partial
		}
		return Full
	case !slices.Contains(p.message.ReceivesFrom, t.self):
		return OneWay
	case !p.message.StateContact:
		return Partial
	}
	if p.missesSince != 0 && now-p.missesSince >= detectionSkew {
		return Partial
	}
	return Full
}

// updateMisses records since when a peer does not receive a controller that this one receives.
func (t *Tracker) updateMisses(label string, p *peer, now eventloop.Micros) {
	misses := false
	for other, o := range t.peers {
		misses = misses || other != label && t.fresh(o, now) && p.message.ReceivesFrom != nil && !slices.Contains(p.message.ReceivesFrom, other)
	}
	if !misses {
		p.missesSince = 0
	} else if p.missesSince == 0 {
		p.missesSince = now
	}
}

// reachedByOthers reports whether some peer receives messages both of this controller and of
// the one named: then that one runs, and the connection between it and this controller is
// broken.
func (t *Tracker) reachedByOthers(label string, now eventloop.Micros) bool {
	for other, o := range t.peers {
		if other != label && t.fresh(o, now) && slices.Contains(o.message.ReceivesFrom, label) && slices.Contains(o.message.ReceivesFrom, t.self) {
			return true
		}
	}
	return false
}

func (t *Tracker) fresh(p *peer, now eventloop.Micros) bool {
	return p.receivedAt != 0 && now-p.receivedAt < MaxAge && t.runner.Wall()-p.message.Wall < maxWallAge+t.clockDifference
}

// State returns the reachability of a peer.
func (t *Tracker) State(label string) State {
	if p := t.peers[label]; p != nil {
		return t.evaluate(label, p, t.runner.Now())
	}
	return Silent
}

// ReceivedWithin reports whether a message of the peer has arrived within a time, whatever it says.
func (t *Tracker) ReceivedWithin(label string, within eventloop.Micros) bool {
	p := t.peers[label]
	return p != nil && p.receivedAt != 0 && t.runner.Now()-p.receivedAt < within
}

// Fit reports whether the peer may be given work: it is in state Full, and has been for as
// long as its earlier flaps require.
func (t *Tracker) Fit(label string) bool {
	p := t.peers[label]
	return p != nil && t.State(label) == Full && p.state == Full && t.runner.Now()-p.since >= p.dampingTime()
}

// DampedFor returns for how much longer the peer is not fit for work although it is in state
// Full, or 0 if it is fit or in another state.
func (t *Tracker) DampedFor(label string) eventloop.Micros {
	if p := t.peers[label]; p != nil && p.state == Full {
		return max(p.since+p.dampingTime()-t.runner.Now(), 0)
	}
	return 0
}

// Isolated reports whether this controller exchanges messages with no peer, so that its
// decisions reach no other controller. The loss of either direction is enough.
func (t *Tracker) Isolated() bool {
	now := t.runner.Now()
	if now-t.began < 5*eventloop.Second || len(t.peers) == 0 {
		return false
	}
	silent := true
	for _, p := range t.peers {
		silent = silent && (p.receivedAt == 0 || now-p.receivedAt >= MaxAge)
	}
	return silent || t.isolatedSince != 0 && now-t.isolatedSince >= isolationDelay
}

// PartlyDisconnected reports whether the connection between this controller and one that
// others reach has been broken for a while: an owner then neither gets the reports of the
// machines at that controller nor sends them commands.
func (t *Tracker) PartlyDisconnected() bool {
	now := t.runner.Now()
	return t.disconnectedSince != 0 && now-t.disconnectedSince >= 2*isolationDelay && now-t.began >= 5*eventloop.Second
}
