// Package ask lets a controller ask another one, over the frames that they exchange. A
// question may be lost like any frame, so each has a time after which it counts as
// unanswered; who asks says so in what it tells.
package ask

import (
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
)

// Most bounds the questions of this node that wait for an answer.
const Most = 256

// maxBody bounds a question and an answer, so that frames stay within their limit.
const maxBody = 64 << 10

type waiting struct {
	to string
	cb func(body wire.Raw, ok bool)
}

// Desk asks and answers for one node. All of it runs on the loop.
type Desk struct {
	r       loop.Runner
	self    string
	send    func(label string, f func(*peer.Envelope))
	known   func(label string) bool
	next    uint64
	waiting map[uint64]waiting
	topics  map[string]func(body wire.Raw, reply func(any))
}

// New makes the desk. send adds to what goes to a peer next; known tells who is a peer.
// first must differ between the lives of a process, so that no late answer to an earlier
// life is taken for one to this.
func New(r loop.Runner, self string, first uint64, send func(string, func(*peer.Envelope)), known func(string) bool) *Desk {
	return &Desk{r: r, self: self, next: first, send: send, known: known, waiting: map[uint64]waiting{}, topics: map[string]func(wire.Raw, func(any)){}}
}

// Handle answers the questions of a topic; reply may be called at once or later, once.
func (d *Desk) Handle(topic string, f func(body wire.Raw, reply func(any))) { d.topics[topic] = f }

// Waiting is the number of questions that wait for an answer.
func (d *Desk) Waiting() int { return len(d.waiting) }

// Ask puts a question to a node, which may be this one. cb is called once: with ok
// false when nobody answered in time, or when too much is being asked already.
func (d *Desk) Ask(to, topic string, body any, timeout loop.Micros, cb func(body wire.Raw, ok bool)) {
	raw := wire.Raw(wire.Marshal(body))
	if to == d.self {
		d.answer(topic, raw, func(b wire.Raw, ok bool) { cb(b, ok) })
		return
	}
	if !d.known(to) || len(d.waiting) >= Most || len(raw) > maxBody {
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

func (d *Desk) settle(from string, id uint64, body wire.Raw, ok bool) {
	w, waits := d.waiting[id]
	if !waits || w.to != from {
		return // late, or repeated
	}
	delete(d.waiting, id)
	w.cb(body, ok)
}

func (d *Desk) answer(topic string, body wire.Raw, cb func(wire.Raw, bool)) {
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

// Take takes in the questions and answers of a peer's frame.
func (d *Desk) Take(e *peer.Envelope) {
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
