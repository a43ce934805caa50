// Package rpc provides remote procedure calls between controllers, carried by the messages that they exchange anyway.
//
// It matches replies to requests, bounds the number and size of requests, and dispatches incoming requests to the handler
// of their topic. A message may be lost, so each request has a timeout after which it counts as unanswered. There are no
// retries: callers report what is missing from their result. The transport is left to package peer.
package rpc

import (
	"cleatpick/internal/eventloop"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
)

// MaxPending is the largest number of requests of this controller that may be pending at a time.
const MaxPending = 256

// maxBody is the largest body in bytes of a request and of a reply; it keeps messages within their size limit.
const maxBody = 64 << 10

// pendingCall is a request that waits for its reply.
type pendingCall struct {
	to   string
	done func(body wire.Raw, ok bool)
}

// Endpoint sends the requests of one controller and answers those of its peers. All methods must be called on the event
// loop.
type Endpoint struct {
	runner   eventloop.Runner
	self     string
	send     func(label string, f func(*peer.Envelope))
	isPeer   func(label string) bool
	lastID   uint64
	pending  map[uint64]pendingCall
	handlers map[string]func(body wire.Raw, reply func(any))
}

// New returns an endpoint for the controller named self. send calls a function that adds to the next message to a peer;
// isPeer reports whether a label names a peer. The ids of requests count up from idBase, which must differ between the
// incarnations of a process: otherwise a late reply to a request of an earlier incarnation could be matched to one of
// this incarnation.
func New(r eventloop.Runner, self string, idBase uint64, send func(string, func(*peer.Envelope)), isPeer func(string) bool) *Endpoint {
	return &Endpoint{runner: r, self: self, lastID: idBase, send: send, isPeer: isPeer,
		pending: map[uint64]pendingCall{}, handlers: map[string]func(wire.Raw, func(any)){}}
}

// Handle sets the handler of the requests of a topic. The handler must call reply at most once, at once or later.
func (e *Endpoint) Handle(topic string, f func(body wire.Raw, reply func(any))) {
	e.handlers[topic] = f
}

// Pending returns the number of requests that wait for their reply.
func (e *Endpoint) Pending() int { return len(e.pending) }

// Call sends a request to a controller, which may be this one. done is called once, with ok false if there was no reply
// in time, if the receiver has no handler for the topic or its reply is too large, or if the request was not sent because
// the receiver is not a peer, the body is too large or too many requests are pending. A request to this controller itself
// has no timeout.
func (e *Endpoint) Call(to, topic string, body any, timeout eventloop.Micros, done func(body wire.Raw, ok bool)) {
	raw := wire.Raw(wire.Marshal(body))
	if to == e.self {
		e.serve(topic, raw, func(b wire.Raw, ok bool) { done(b, ok) })
		return
	}
	if !e.isPeer(to) || len(e.pending) >= MaxPending || len(raw) > maxBody {
		done(nil, false)
		return
	}
	e.lastID++
	id := e.lastID
	e.pending[id] = pendingCall{to, done}
	e.send(to, func(message *peer.Envelope) {
		message.Questions = append(message.Questions, peer.Question{ID: id, Topic: topic, Body: raw})
	})
	e.runner.After(timeout, func() { e.complete(to, id, nil, false) })
}

// complete completes a request with its reply, or with ok false.
func (e *Endpoint) complete(from string, id uint64, body wire.Raw, ok bool) {
	call, found := e.pending[id]
	if !found || call.to != from {
		return // a late or repeated reply, or one by another peer
	}
	delete(e.pending, id)
	call.done(body, ok)
}

// serve calls the handler of a topic. done receives the encoded reply, or ok false if there is no handler or the reply is
// too large.
func (e *Endpoint) serve(topic string, body wire.Raw, done func(wire.Raw, bool)) {
	f := e.handlers[topic]
	if f == nil {
		done(nil, false)
		return
	}
	f(body, func(v any) {
		raw := wire.Raw(wire.Marshal(v))
		if len(raw) > maxBody {
			done(nil, false)
			return
		}
		done(raw, true)
	})
}

// Receive processes the requests and replies in a peer's message.
func (e *Endpoint) Receive(message *peer.Envelope) {
	for _, q := range message.Questions {
		e.serve(q.Topic, q.Body, func(body wire.Raw, ok bool) {
			e.send(message.From, func(o *peer.Envelope) {
				o.Replies = append(o.Replies, peer.Reply{ID: q.ID, OK: ok, Body: body})
			})
		})
	}
	for _, r := range message.Replies {
		e.complete(message.From, r.ID, r.Body, r.OK)
	}
}
