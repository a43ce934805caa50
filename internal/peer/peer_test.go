package peer

import (
	"io"
	"log/slog"
	"slices"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/fake"
)

// Frames that were delayed in the network arrive after the process that sent them has restarted. They are dropped and
// counted. A frame of the newest incarnation is never dropped, even if the clock was behind when that incarnation
// started.
func TestFramesOfEarlierIncarnationsAreDropped(t *testing.T) {
	const s = eventloop.Second
	n := New(fake.NewRunner(100*s), slog.New(slog.NewTextHandler(io.Discard, nil)), "a", []config.Peer{{Label: "b"}})
	n.ClockDifference = 200 * eventloop.Millisecond
	var got []eventloop.Micros
	dropped := 0
	n.OnFrame = func(e *Envelope) { got = append(got, e.Incarnation) }
	n.OnEarlierFrame = func(string) { dropped++ }
	for _, incarnation := range []eventloop.Micros{10 * s, 10 * s, 20 * s, 10 * s, 20*s - 150*eventloop.Millisecond, 9 * s, 20 * s, 30 * s} {
		n.HandleFrame(&Envelope{From: "b", Incarnation: incarnation})
	}
	if len(got) != 6 || dropped != 2 {
		t.Errorf("received frames of the incarnations %v and dropped %d, want 6 received and 2 dropped", got, dropped)
	}
	n.HandleFrame(&Envelope{From: "c", Incarnation: 40 * s})
	if len(got) != 6 {
		t.Error("a frame of an unknown sender was received")
	}
}

// Each new incarnation of a peer is announced once, after its first frame has been received.
func TestNewIncarnationsAreAnnounced(t *testing.T) {
	const s = eventloop.Second
	n := New(fake.NewRunner(100*s), slog.New(slog.NewTextHandler(io.Discard, nil)), "a", []config.Peer{{Label: "b"}})
	n.ClockDifference = 200 * eventloop.Millisecond
	frames, announced := 0, []int{}
	n.OnFrame = func(*Envelope) { frames++ }
	n.OnNewIncarnation = func(string) { announced = append(announced, frames) }
	for _, incarnation := range []eventloop.Micros{10 * s, 10 * s, 20 * s, 10 * s, 20 * s, 30 * s, 30 * s} {
		n.HandleFrame(&Envelope{From: "b", Incarnation: incarnation})
	}
	if !slices.Equal(announced, []int{1, 3, 5}) {
		t.Errorf("new incarnations were announced after the received frames %v, want the first, the third and the fifth", announced)
	}
}
