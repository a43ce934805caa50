// Package peer carries the messages between controllers: CBOR frames over plain TCP, one connection for each direction.
// It owns the connections, combines messages that are due at nearly the same time into one frame, divides what exceeds
// the size of a frame, and drops frames of
// earlier incarnations of a peer. Every message may be lost, repeated or late; there are no acknowledgements here, and
// senders repeat a message's content for as long as it matters. What a message means is left to the package that it
// is for; whether a peer counts as reachable is decided elsewhere.
package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"maps"
	"net"
	"slices"
	"syscall"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/wire"

	"golang.org/x/sync/errgroup"
)

const (
	// maxFrame is the largest frame in bytes that a receiver accepts; targetFrame is the size up to which a sender puts
	// everything into one frame, so that a receiver is not busy with a single frame for long.
	maxFrame    = 1 << 20
	targetFrame = 256 << 10
	maxQueue    = 64
	// flushDelayPerPeer times the number of peers, but at most maxFlushDelay, is for how long additions to a frame
	// are collected. Each frame wakes up a process, and fifteen controllers have 210 connections. Up to the number of
	// peers at which maxFlushDelay applies, a controller sends at most 200 frames per second, however many peers it
	// has.
	flushDelayPerPeer = 5 * eventloop.Millisecond
	maxFlushDelay     = 40 * eventloop.Millisecond
)

// link is the outgoing side of the connection to one peer.
type link struct {
	peer           config.Peer
	next           Envelope
	flushScheduled bool
	frames         chan []byte
}

// PeerState is what was last received from a peer.
type PeerState struct {
	Status      Status
	ReceivedAt  eventloop.Micros // when the newest status arrived, by the monotonic clock
	incarnation eventloop.Micros // the newest incarnation of its process that sent a frame
}

// Net holds the connections to all peers.
type Net struct {
	runner eventloop.Runner
	log    *slog.Logger
	self   string
	links  map[string]*link
	states map[string]*PeerState
	// targetFrame and maxFrame are the constants of these names, unless a test lowers them.
	targetFrame, maxFrame int
	// Incarnation is the wall clock time at which this process started, which identifies its incarnation.
	// ClockDifference is the largest difference between two wall clocks, twice the largest error of one: incarnations
	// of a peer that are closer together than that are not ordered.
	Incarnation, ClockDifference eventloop.Micros
	// OnEarlierFrame is called for each dropped frame of an earlier incarnation of a peer; it may be nil.
	OnEarlierFrame func(label string)
	// OnFrame is called on the event loop for every frame of a known peer.
	OnFrame func(*Envelope)
	// OnNewIncarnation is called on the event loop after the first frame of a new incarnation of a peer, which knows
	// nothing of what was sent to that peer before. It may be nil.
	OnNewIncarnation func(label string)
	// OnRefused is called on the event loop when a peer's machine refuses the connection, which it does while no
	// process listens there.
	OnRefused func(label string)
	// Deliver sends an encoded frame to a peer; tests replace it with a simulated network.
	Deliver func(label string, frame []byte)
	// OnConnected is called on the event loop when a connection to a peer has been established.
	OnConnected func(label string)
}

// New returns a Net with a link to each peer; Run connects them.
func New(r eventloop.Runner, log *slog.Logger, self string, peers []config.Peer) *Net {
	n := &Net{runner: r, log: log, self: self, links: map[string]*link{}, states: map[string]*PeerState{}, targetFrame: targetFrame, maxFrame: maxFrame}
	n.Deliver = n.enqueue
	for _, p := range peers {
		n.links[p.Label] = &link{peer: p, frames: make(chan []byte, maxQueue)}
		n.states[p.Label] = &PeerState{}
	}
	return n
}

// Run accepts frames from and sends frames to all peers until the context ends.
func (n *Net) Run(ctx context.Context, ln net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return ln.Close()
	})
	g.Go(func() error {
		slots := make(chan struct{}, 8*len(n.links)+4)
		for {
			c, err := ln.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return nil
				}
				time.Sleep(50 * time.Millisecond)
				continue
			}
			select {
			case slots <- struct{}{}:
				go func() {
					n.serve(ctx, c)
					<-slots
				}()
			default:
				c.Close()
			}
		}
	})
	for _, l := range n.links {
		g.Go(func() error {
			n.connect(ctx, l)
			return nil
		})
	}
	return g.Wait()
}

func (n *Net) serve(ctx context.Context, c net.Conn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 16<<10)
	var head [4]byte
	for ctx.Err() == nil {
		// Every peer sends something at least every second. A connection without any frame is left over from a network
		// partition.
		c.SetReadDeadline(time.Now().Add(15 * time.Second))
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return
		}
		size := binary.BigEndian.Uint32(head[:])
		if int64(size) > int64(n.maxFrame) {
			n.log.Error("frame from a peer exceeds the size limit; connection closed", "size", size)
			return
		}
		body := make([]byte, size)
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		e := new(Envelope)
		if err := wire.Unmarshal(body, e); err != nil {
			n.log.Error("frame from a peer cannot be decoded; connection closed", "err", err)
			return
		}
		n.runner.Post(func() { n.HandleFrame(e) })
	}
}

// HandleFrame handles a peer's frame, on the event loop.
func (n *Net) HandleFrame(e *Envelope) {
	k := n.states[e.From]
	if k == nil {
		return
	}
	if e.Incarnation+n.ClockDifference < k.incarnation {
		// The frame was delayed in the network. The state and the requests of that incarnation ended with it.
		if n.OnEarlierFrame != nil {
			n.OnEarlierFrame(e.From)
		}
		return
	}
	isNew := e.Incarnation > k.incarnation
	k.incarnation = max(k.incarnation, e.Incarnation)
	if e.Status != nil && e.Status.Wall > k.Status.Wall {
		k.Status, k.ReceivedAt = *e.Status, n.runner.Now()
	}
	n.OnFrame(e)
	if isNew && n.OnNewIncarnation != nil {
		n.OnNewIncarnation(e.From)
	}
}

// connect keeps a connection to a peer and writes queued frames. Frames that cannot be written in time are dropped
// together with the connection.
func (n *Net) connect(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		d := net.Dialer{Timeout: time.Second}
		c, err := d.DialContext(ctx, "tcp", l.peer.Endpoint)
		if err != nil {
			if errors.Is(err, syscall.ECONNREFUSED) {
				n.runner.Post(func() { n.OnRefused(l.peer.Label) })
			}
			n.drain(l)
			select {
			case <-ctx.Done():
			case <-time.After(400 * time.Millisecond):
			}
			continue
		}
		n.drain(l)
		n.log.Debug("connected to a peer", "peer", l.peer.Label)
		n.runner.Post(func() { n.OnConnected(l.peer.Label) })
		n.writeFrames(ctx, l, c)
		c.Close()
	}
}

func (n *Net) drain(l *link) {
	for {
		select {
		case <-l.frames:
		default:
			return
		}
	}
}

func (n *Net) writeFrames(ctx context.Context, l *link, c net.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.frames:
			c.SetWriteDeadline(time.Now().Add(2 * time.Second))
			if _, err := c.Write(f); err != nil {
				n.log.Debug("connection to a peer failed; reconnecting", "peer", l.peer.Label, "err", err)
				return
			}
		}
	}
}

// Send lets add change the next frame to a peer; several additions share a frame.
func (n *Net) Send(label string, add func(*Envelope)) {
	l := n.links[label]
	if l == nil {
		return
	}
	add(&l.next)
	if l.flushScheduled {
		return
	}
	l.flushScheduled = true
	n.runner.After(min(eventloop.Micros(len(n.links))*flushDelayPerPeer, maxFlushDelay), func() { n.flush(l) })
}

func (n *Net) flush(l *link) {
	l.flushScheduled = false
	l.next.From, l.next.Incarnation = n.self, n.Incarnation
	// Of several views of a machine only the newest is needed.
	if len(l.next.Views) > 1 {
		last := map[string]int{}
		for i, v := range l.next.Views {
			last[v.Name] = i
		}
		kept := l.next.Views[:0:0]
		for i, v := range l.next.Views {
			if last[v.Name] == i {
				kept = append(kept, v)
			}
		}
		l.next.Views = kept
	}
	frames, dropped := n.encode(&l.next)
	l.next = Envelope{}
	if dropped > 0 {
		n.log.Error("parts of a message to a peer exceed the largest frame; they are not sent", "peer", l.peer.Label, "parts", dropped)
	}
	for _, body := range frames {
		n.Deliver(l.peer.Label, body)
	}
}

// SetFrameSizes sets the size in bytes up to which everything for a peer is put into one frame, and the largest size of
// a frame. Tests lower them, so that small clusters send what only the largest would.
func (n *Net) SetFrameSizes(target, largest int) { n.targetFrame, n.maxFrame = target, largest }

// enqueue queues a frame for the connection; it drops the frame if the queue is full.
func (n *Net) enqueue(label string, body []byte) {
	l := n.links[label]
	f := make([]byte, 4+len(body))
	binary.BigEndian.PutUint32(f, uint32(len(body)))
	copy(f[4:], body)
	select {
	case l.frames <- f:
	default: // the connection does not accept data; the sender repeats what still matters
	}
}

// SendAll lets add change the next frame to every peer.
func (n *Net) SendAll(add func(*Envelope)) {
	for label := range eventloop.Sorted(n.links) {
		n.Send(label, add)
	}
}

// Peers lists the labels of the peers.
func (n *Net) Peers() []string {
	return slices.Sorted(maps.Keys(n.links))
}

// State returns what was last received from a peer.
func (n *Net) State(label string) PeerState {
	if k := n.states[label]; k != nil {
		return *k
	}
	return PeerState{}
}
