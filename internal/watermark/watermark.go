// Package watermark decides, in one place for the whole process, how recent a controller's knowledge of
// cancellations is, and so whether it may answer the reports of workers. A controller's cancellation watermark
// is the latest time on its own monotonic clock such that it knows every cancellation that any controller
// confirmed to a user before that time.
//
// An answered report renews a worker's lease, and so keeps tasks running that may have been cancelled through
// another controller. Therefore reports are answered only while now < watermark + Grace, whether or not the
// state service can be reached. The watermark is advanced by answers of the state service and by messages
// between controllers. docs/DESIGN.md contains the proof.
//
// The package owns the watermark and the messages that advance it. Reading the state service, sending messages
// and answering reports are left to others.
package watermark

import (
	"cmp"
	"log/slog"
	"slices"

	"cleatpick/internal/eventloop"
)

// State says what advances the watermark.
type State int

// The states of the watermark.
const (
	NotLoaded State = iota // the job records have not been read yet, so there is no watermark
	Current                // the state service advances it
	Shared                 // messages of peers advance it
	Aging                  // nothing advances it; reports are answered until Grace has passed
	Expired                // it is older than Grace; reports are not answered, and the workers' leases expire
)

func (s State) String() string {
	return [...]string{"blind", "current", "shared", "aging", "lapsed"}[s]
}

// Grace returns for how long after its watermark a controller answers reports. A report answered at time U
// keeps tasks running until U + lease at most, and a cancellation that is unknown here was confirmed at the
// watermark or later. So with U < watermark + Grace, its tasks stop within cancel of the confirmation. The
// margin covers the drift of clocks and checks that run only periodically.
func Grace(lease, cancel eventloop.Micros) eventloop.Micros {
	budget := cancel - lease
	return budget - min(2*eventloop.Second, budget/4)
}

// WatchWait returns for how long a watch of the state service may stay open without changes. An answered watch
// advances the watermark to the time at which it was sent, so the watermark must not age while a prefix does
// not change. It costs 1/WatchWait requests per second, at most a twentieth of the controller's share of requests.
func WatchWait(grace eventloop.Micros, rps float64) eventloop.Micros {
	const least = eventloop.Second / 4
	want := min(max(grace/8, least), 2*eventloop.Second)
	return min(max(want, eventloop.Seconds(20/max(rps, 0.01))), max(grace/2, least))
}

// Cancellation is a cancelled job, with the revision of its record.
type Cancellation struct {
	Job      string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
}

// MessageVersion is the version of the messages below; messages of other versions are dropped.
const MessageVersion = 1

// Message is the message of a controller to one peer. It is a question, and also the answer to that peer's newest
// question.
type Message struct {
	Version   int              `cbor:"1,keyasint"`
	Timestamp eventloop.Micros `cbor:"2,keyasint"` // the sender's monotonic clock; identifies the question
	Revision  uint64           `cbor:"3,keyasint"` // the store revision up to which the sender knows every change
	// Echo is the Timestamp of the receiver's question that is answered, and Incarnation the receiver's
	// incarnation that asked it; an Echo of 0 means that the sender cannot answer. Every cancellation that the
	// sender confirmed to a user before it received the question has a revision of at most SinceRevision or is
	// listed in Cancellations.
	Echo          eventloop.Micros `cbor:"4,keyasint,omitempty"`
	Incarnation   eventloop.Micros `cbor:"5,keyasint,omitempty"`
	SinceRevision uint64           `cbor:"6,keyasint,omitempty"`
	Cancellations []Cancellation   `cbor:"7,keyasint,omitempty"`
	// HasWatermark is set if the sender has a watermark, which was WatermarkAge old when it answered.
	HasWatermark bool             `cbor:"8,keyasint,omitempty"`
	WatermarkAge eventloop.Micros `cbor:"9,keyasint,omitempty"`
}

// peer is what is known of one peer.
type peer struct {
	timestamp, incarnation eventloop.Micros // of its newest question
	revision               uint64           // the revision up to which it knows every change, as of that question
	receivedAt             eventloop.Micros // when that question arrived
	echoed                 eventloop.Micros // our newest timestamp that it has answered; 0: none
}

// maxRecent bounds the cancellations that are kept for messages to peers: those of the highest revisions are.
// A peer that may lack older ones is not answered.
const maxRecent = 4096

// maxQuestionAge is for how long a question is answered repeatedly. What a silent peer lacks keeps growing, and the
// answer to an old question is of no use to it.
const maxQuestionAge = 5 * eventloop.Second

// Tracker maintains the cancellation watermark of one controller. It is used on the event loop only.
type Tracker struct {
	clock       eventloop.Clock
	log         *slog.Logger
	incarnation eventloop.Micros
	grace       eventloop.Micros
	peers       map[string]*peer
	loaded      bool             // the job records were read in this incarnation
	byStore     eventloop.Micros // the watermark by the answers of the state service
	revision    uint64           // the store revision up to which every change is known here
	byPeer      eventloop.Micros // the highest watermark that a single peer has passed on
	// recent holds the cancellations known here, sorted by revision, and droppedUpTo is the highest revision
	// of those that were dropped from it.
	recent      []Cancellation
	droppedUpTo uint64
	state       State
	since       eventloop.Micros // monotonic time of the last change of state
	// RecordFromPeer accepts a cancellation that a peer sent; it returns false if the cancellation cannot be
	// recorded.
	RecordFromPeer func(Cancellation) bool
	// Discarded is called for every message that is discarded; it may be nil.
	Discarded func(peer, why string)
}

// New makes a tracker without a watermark. incarnation is that of this process.
func New(clock eventloop.Clock, log *slog.Logger, incarnation, grace eventloop.Micros, peers []string) *Tracker {
	t := &Tracker{clock: clock, log: log, incarnation: incarnation, grace: grace, peers: map[string]*peer{}, since: clock.Now()}
	for _, p := range peers {
		t.peers[p] = &peer{}
	}
	return t
}

// RecordSync records that an answer of the state service to a request sent at a time has been applied completely,
// so that every change up to this revision is known here.
func (t *Tracker) RecordSync(sent eventloop.Micros, revision uint64) {
	t.loaded, t.byStore, t.revision = true, max(t.byStore, sent), max(t.revision, revision)
}

// RecordCancellation records a cancellation known here from any source. It must be called before any user is told
// of the cancellation, so that the next message to a peer includes it.
func (t *Tracker) RecordCancellation(o Cancellation) {
	if o.Revision <= t.droppedUpTo {
		return
	}
	i, have := slices.BinarySearchFunc(t.recent, o, func(a, b Cancellation) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Job, b.Job))
	})
	if have {
		return
	}
	t.recent = slices.Insert(t.recent, i, o)
	if n := len(t.recent) - maxRecent; n > 0 {
		t.droppedUpTo = t.recent[n-1].Revision
		for n < len(t.recent) && t.recent[n].Revision == t.droppedUpTo {
			n++ // cancellations of one revision are kept or dropped together
		}
		t.recent = slices.Delete(t.recent, 0, n)
	}
}

// Watermark returns the watermark; 0 if there is none.
func (t *Tracker) Watermark() eventloop.Micros {
	if !t.loaded {
		return 0
	}
	all, _ := t.byAllPeers()
	return max(t.byStore, t.byPeer, all)
}

// byAllPeers returns the watermark that follows from the answers of all peers together, and the peer that holds it
// back. Without peers it is now, since the controller knows all that it, or an earlier incarnation of it, has
// confirmed.
func (t *Tracker) byAllPeers() (at eventloop.Micros, who string) {
	at = t.clock.Now()
	for label, p := range t.peers { // runs for each answered report, so the peers are not sorted; a tie goes to the first name
		if p.echoed < at || p.echoed == at && who > label {
			at, who = p.echoed, label
		}
	}
	return at, who
}

// MayAnswerReports reports whether reports may be answered now.
func (t *Tracker) MayAnswerReports() bool {
	at := t.Watermark()
	return at != 0 && t.clock.Now() < at+t.grace
}

// MessageFor returns the message to send to a peer now; nil for an unknown peer.
func (t *Tracker) MessageFor(label string) *Message {
	p := t.peers[label]
	if p == nil {
		return nil
	}
	now := t.clock.Now()
	w := &Message{Version: MessageVersion, Timestamp: now, Revision: t.revision}
	if !t.loaded || p.timestamp == 0 || now-p.receivedAt > maxQuestionAge || p.revision < t.droppedUpTo {
		// There is no recent question, or it cannot be answered. What earlier incarnations of this process
		// confirmed is known only once the records have been read.
		return w
	}
	i, _ := slices.BinarySearchFunc(t.recent, p.revision, func(o Cancellation, revision uint64) int {
		if o.Revision <= revision {
			return -1
		}
		return 1
	})
	w.Echo, w.Incarnation, w.SinceRevision, w.Cancellations = p.timestamp, p.incarnation, p.revision, slices.Clone(t.recent[i:])
	w.HasWatermark, w.WatermarkAge = true, now-t.Watermark()
	return w
}

// Receive applies a message from a peer; incarnation is that of its process, as named by the frame that contained the
// message.
func (t *Tracker) Receive(label string, incarnation eventloop.Micros, w *Message) {
	p := t.peers[label]
	if p == nil || w == nil {
		return
	}
	if why := t.invalidReason(w); why != "" {
		t.discard(label, why)
		return
	}
	if p.incarnation != incarnation || w.Timestamp > p.timestamp {
		p.timestamp, p.incarnation, p.revision, p.receivedAt = w.Timestamp, incarnation, w.Revision, t.clock.Now()
	}
	if w.Echo == 0 || !t.loaded {
		return // before the records are read, every cancellation ever made would be unknown here
	}
	if w.Incarnation != t.incarnation {
		t.discard(label, "answers an earlier life")
		return
	}
	for _, o := range w.Cancellations {
		if !t.RecordFromPeer(o) {
			t.discard(label, "a cancellation cannot be kept")
			return
		}
	}
	p.echoed = max(p.echoed, w.Echo)
	if w.HasWatermark {
		t.byPeer = max(t.byPeer, w.Echo-w.WatermarkAge)
	}
}

// invalidReason returns why a message proves nothing; it is empty for a valid message.
func (t *Tracker) invalidReason(w *Message) string {
	switch {
	case w.Version != MessageVersion:
		return "unknown version"
	case w.Timestamp <= 0 || w.Echo < 0 || w.WatermarkAge < 0:
		return "malformed"
	case w.Echo > t.clock.Now() && w.Incarnation == t.incarnation:
		return "a stamp from the future"
	case w.Echo != 0 && w.Incarnation == t.incarnation && w.SinceRevision > t.revision:
		return "a revision that was never named"
	case len(w.Cancellations) > maxRecent:
		return "too many cancellations"
	}
	for _, o := range w.Cancellations {
		if o.Job == "" || o.Revision <= w.SinceRevision {
			return "malformed"
		}
	}
	return ""
}

// discard logs and counts a message that is discarded.
func (t *Tracker) discard(label, why string) {
	t.log.Debug("message on cancellations dropped; it does not advance the watermark", "node", label, "why", why)
	if t.Discarded != nil {
		t.Discarded(label, why)
	}
}

// UpdateState determines what advances the watermark now, logs a change, and returns the watermark's age. It must be
// called periodically.
func (t *Tracker) UpdateState() (age eventloop.Micros) {
	now := t.clock.Now()
	at := t.Watermark()
	age = now - at
	fresh := t.grace / 4
	switch {
	case at == 0:
		t.setState(NotLoaded, now, age)
		return 0
	case age >= t.grace:
		t.setState(Expired, now, age)
	case now-t.byStore < max(fresh, eventloop.Second):
		t.setState(Current, now, age)
	case age < max(fresh, eventloop.Second):
		t.setState(Shared, now, age)
	default:
		t.setState(Aging, now, age)
	}
	return age
}

// setState changes the state. No other function does.
func (t *Tracker) setState(s State, now, age eventloop.Micros) {
	if t.state == s {
		return
	}
	_, who := t.byAllPeers()
	from := t.state
	t.state, t.since = s, now
	if s == Expired {
		t.log.Warn("knowledge of cancellations is too old; reports are not answered and the workers' leases will expire", "age_us", age,
			"state_service_us", now-t.byStore, "held_back_by", who)
		return
	}
	t.log.Info("what advances the cancellation watermark changed", "from", from.String(), "to", s.String(), "age_us", age, "held_back_by", who)
}

// State returns the state as of the last call of UpdateState.
func (t *Tracker) State() State { return t.state }
