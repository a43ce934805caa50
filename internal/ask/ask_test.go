package ask

import (
	"fmt"
	"strings"
	"testing"

	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
	"cleatpick/internal/standin"
	"cleatpick/internal/wire"
)

// line is three endpoints with a network between them in which the test delivers, loses and repeats messages.
type line struct {
	*standin.Stepped
	desks  map[string]*Endpoint
	frames []frame
}

// frame is a message on its way to a controller.
type frame struct {
	to string
	e  *peer.Envelope
}

func newLine() *line {
	l := &line{Stepped: standin.NewStepped(1000 * loop.Second), desks: map[string]*Endpoint{}}
	for _, self := range []string{"a", "b", "c"} {
		l.desks[self] = New(l, self, 100, func(to string, f func(*peer.Envelope)) {
			e := &peer.Envelope{From: self}
			f(e)
			l.frames = append(l.frames, frame{to, e})
		}, func(label string) bool { return l.desks[label] != nil })
	}
	l.desks["b"].Handle("double", func(body wire.Raw, reply func(any)) {
		var n int
		if wire.Unmarshal(body, &n) == nil {
			reply(2 * n)
		}
	})
	l.desks["b"].Handle("large", func(_ wire.Raw, reply func(any)) { reply(strings.Repeat("x", maxBody+1)) })
	return l
}

// deliver delivers all messages on their way, and those sent meanwhile, each the given number of times.
func (l *line) deliver(times int) {
	for len(l.frames) > 0 {
		f := l.frames[0]
		l.frames = l.frames[1:]
		for range times {
			l.desks[f.to].Receive(f.e)
		}
	}
}

func (l *line) ask(to, topic string, n int, told *[]string) {
	l.desks["a"].Call(to, topic, n, loop.Second, func(body wire.Raw, ok bool) {
		var got int
		if ok && wire.Unmarshal(body, &got) != nil {
			got = -1
		}
		*told = append(*told, fmt.Sprint(got, ok))
	})
}

// Each request must complete exactly once, by its reply or by its timeout. A lost, late or repeated message, or a reply
// with the right id from another controller, must neither complete it a second time nor with a wrong result.
func TestQuestionsAreSettledOnce(t *testing.T) {
	for _, c := range []struct {
		what string
		play func(l *line, told *[]string)
		want string
	}{
		{"answered", func(l *line, told *[]string) { l.ask("b", "double", 4, told); l.deliver(1) }, "[8 true]"},
		{"repeated", func(l *line, told *[]string) { l.ask("b", "double", 4, told); l.deliver(3) }, "[8 true]"},
		{"lost", func(l *line, told *[]string) { l.ask("b", "double", 4, told); l.frames = nil }, "[0 false]"},
		{"late reply", func(l *line, told *[]string) {
			l.ask("b", "double", 4, told)
			l.Run(2 * loop.Second)
			l.deliver(1)
		}, "[0 false]"},
		{"no handler for the topic", func(l *line, told *[]string) { l.ask("c", "double", 4, told); l.deliver(1) }, "[0 false]"},
		{"unknown controller", func(l *line, told *[]string) { l.ask("z", "double", 4, told) }, "[0 false]"},
		{"reply too large", func(l *line, told *[]string) { l.ask("b", "large", 4, told); l.deliver(1) }, "[0 false]"},
		{"reply by another controller", func(l *line, told *[]string) {
			l.ask("b", "double", 4, told)
			l.desks["a"].Receive(&peer.Envelope{From: "c", Replies: []peer.Reply{{ID: 101, OK: true, Body: wire.Marshal(7)}}})
			l.deliver(1)
		}, "[8 true]"},
		{"request to itself", func(l *line, told *[]string) {
			l.desks["a"].Handle("double", func(_ wire.Raw, reply func(any)) { reply(5) })
			l.ask("a", "double", 4, told)
		}, "[5 true]"},
	} {
		l := newLine()
		var told []string
		c.play(l, &told)
		l.Run(3 * loop.Second)
		if fmt.Sprint(told) != c.want || l.desks["a"].Pending() != 0 {
			t.Errorf("%s: results %v with %d requests pending, want %s with 0", c.what, told, l.desks["a"].Pending(), c.want)
		}
	}
	l := newLine()
	var told []string
	for range MaxPending + 5 {
		l.ask("b", "double", 1, &told)
	}
	if len(told) != 5 || l.desks["a"].Pending() != MaxPending {
		t.Errorf("%d requests are pending and %d were refused, want %d and 5", l.desks["a"].Pending(), len(told), MaxPending)
	}
}
