package peer

import (
	"io"
	"log/slog"
	"slices"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/loop"
	"cleatpick/internal/standin"
)

// Frames that were held back on their way come after the process that sent them has ended
// and is back. They are dropped and counted; one of a later life never is, also where the
// clock was behind when that began.
func TestFramesOfEarlierLives(t *testing.T) {
	const s = loop.Second
	n := New(standin.NewStepped(100*s), slog.New(slog.NewTextHandler(io.Discard, nil)), "a", []config.Peer{{Label: "b"}})
	n.ClockTo = 200 * loop.Millisecond
	var got []loop.Micros
	earlier := 0
	n.Receive = func(e *Envelope) { got = append(got, e.Life) }
	n.Earlier = func(string) { earlier++ }
	for _, life := range []loop.Micros{10 * s, 10 * s, 20 * s, 10 * s, 20*s - 150*loop.Millisecond, 9 * s, 20 * s, 30 * s} {
		n.Take(&Envelope{From: "b", Life: life})
	}
	if len(got) != 6 || earlier != 2 {
		t.Errorf("taken in %v, and %d frames of earlier lives, want 6 and 2", got, earlier)
	}
	n.Take(&Envelope{From: "c", Life: 40 * s})
	if len(got) != 6 {
		t.Error("a frame of nobody known is taken in")
	}
}

// Each life of a peer that is heard for the first time is told once, after its frame was taken in.
func TestNewLivesAreTold(t *testing.T) {
	const s = loop.Second
	n := New(standin.NewStepped(100*s), slog.New(slog.NewTextHandler(io.Discard, nil)), "a", []config.Peer{{Label: "b"}})
	n.ClockTo = 200 * loop.Millisecond
	frames, told := 0, []int{}
	n.Receive = func(*Envelope) { frames++ }
	n.NewLife = func(string) { told = append(told, frames) }
	for _, life := range []loop.Micros{10 * s, 10 * s, 20 * s, 10 * s, 20 * s, 30 * s, 30 * s} {
		n.Take(&Envelope{From: "b", Life: life})
	}
	if !slices.Equal(told, []int{1, 3, 5}) {
		t.Errorf("told after the frames %v, want the first, the third and the fifth that was taken in", told)
	}
}
