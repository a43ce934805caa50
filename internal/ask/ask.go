// Package ask provides remote procedure calls between controllers, carried by the messages that they exchange anyway.
//
// It matches replies to requests, bounds the number and size of requests, and dispatches incoming requests to the handler
// of their topic. A message may be lost, so each request has a timeout after which it counts as unanswered. There are no
// retries: callers report what is missing from their result. The transport is left to package peer.
package ask

import (
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
)

// MaxPending is the largest number of requests of this controller that may be pending at a time.
const MaxPending = 256

// maxBody is the largest body in bytes of a request and of a reply; it keeps messages within their size limit.
const maxBody = 64 << 10

// waiting is a request that waits for its reply.
type waiting struct {
	to string
	cb func(body wire.Raw, ok bool)
}

// Endpoint sends the requests of one controller and answers those of its peers. All methods must be called on the event loop.
type Endpoint struct {
	r       loop.Runner
	self    string
	send    func(label string, f func(*peer.Envelope))
	known   func(label string) bool
	next    uint64
	waiting map[uint64]waiting
	topics  map[string]func(body wire.Raw, reply func(any))
}

// New returns a Desk for the controller named self. send calls a function that adds to the next message to a peer; known
// reports whether a label names a peer. The ids of requests follow first, which must differ between the incarnations of a
// process: otherwise a late reply to a request of an earlier incarnation could be matched to one of this incarnation.
func New(r loop.Runner, self string, first uint64, send func(string, func(*peer.Envelope)), known func(string) bool) *Endpoint {
	return &Endpoint{r: r, self: self, next: first, send: send, known: known, waiting: map[uint64]waiting{}, topics: map[string]func(wire.Raw, func(any)){}}
}

// Handle sets the handler of the requests of a topic. The handler must call reply at most once, at once or later.
func (d *Endpoint) Handle(topic string, f func(body wire.Raw, reply func(any))) { d.topics[topic] = f }

// Pending returns the number of requests that wait for their reply.
func (d *Endpoint) Pending() int { return len(d.waiting) }

// Call sends a request to a controller, which may be this one. cb is called once, with ok false if there was no reply in
// time, if the receiver has no handler for the topic, or if the request was not sent: to an unknown controller, too large,
// or beyond the limit of pending requests. A request to this controller itself has no timeout.
func (d *Endpoint) Call(to, topic string, body any, timeout loop.Micros, cb func(body wire.Raw, ok bool)) {
	raw := wire.Raw(wire.Marshal(body))
	if to == d.self {
		d.answer(topic, raw, func(b wire.Raw, ok bool) { cb(b, ok) })
		return
	}
	if !d.known(to) || len(d.waiting) >= MaxPending || len(raw) > maxBody {
		cb(nil, false)
		return
	}
	d.next++
	id := d.next
	d.waiting[id] = waiting{to, cb}
	d.send(to, func(e *peer.Envelope) {
		e.Questions = append(e.Questions, peer.Question{ID: id, Topic: topic, Body: raw})
	})
	d.r.After(timeout, func() { d.settle(to, id, nil, false) })
}

// settle completes a request with its reply, or with ok false.
func (d *Endpoint) settle(from string, id uint64, body wire.Raw, ok bool) {
	w, waits := d.waiting[id]
	if !waits || w.to != from {
		return // a late or repeated reply, or one by another peer
	}
	delete(d.waiting, id)
	w.cb(body, ok)
}

// answer calls the handler of a topic. cb receives the encoded reply, or ok false if there is no handler or the reply is
// too large.
func (d *Endpoint) answer(topic string, body wire.Raw, cb func(wire.Raw, bool)) {
	f := d.topics[topic]
	if f == nil {
		cb(nil, false)
		return
	}
	f(body, func(v any) {
		raw := wire.Raw(wire.Marshal(v))
		if len(raw) > maxBody {
			cb(nil, false)
			return
		}
		cb(raw, true)
	})
}

// Receive processes the requests and replies in a peer's message.
func (d *Endpoint) Receive(e *peer.Envelope) {
	for _, q := range e.Questions {
		d.answer(q.Topic, q.Body, func(body wire.Raw, ok bool) {
			d.send(e.From, func(o *peer.Envelope) {
				o.Replies = append(o.Replies, peer.Reply{ID: q.ID, OK: ok, Body: body})
			})
		})
	}
	for _, r := range e.Replies {
		d.settle(e.From, r.ID, r.Body, r.OK)
	}
}
