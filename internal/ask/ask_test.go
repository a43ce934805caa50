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

// line is two desks whose frames the test delivers, loses and repeats.
type line struct {
	*standin.Runner
	desks  map[string]*Desk
	frames []frame
}

type frame struct {
	to string
	e  *peer.Envelope
}

func newLine() *line {
	l := &line{Runner: standin.NewRunner(1000 * loop.Second), desks: map[string]*Desk{}}
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

// deliver hands all frames on, each so many times.
func (l *line) deliver(times int) {
	for len(l.frames) > 0 {
		f := l.frames[0]
		l.frames = l.frames[1:]
		for range times {
			l.desks[f.to].Take(f.e)
		}
	}
}

func (l *line) ask(to, topic string, n int, told *[]string) {
	l.desks["a"].Ask(to, topic, n, loop.Second, func(body wire.Raw, ok bool) {
		var got int
		if ok && wire.Unmarshal(body, &got) != nil {
			got = -1
		}
		*told = append(*told, fmt.Sprint(got, ok))
	})
}

// Every question is settled once: by its answer, or by its time. Lost, late and repeated
// frames, and answers by somebody else, do no harm.
func TestQuestionsAreSettledOnce(t *testing.T) {
	for _, c := range []struct {
		what string
		play func(l *line, told *[]string)
		want string
	}{
		{"answered", func(l *line, told *[]string) { l.ask("b", "double", 4, told); l.deliver(1) }, "[8 true]"},
		{"repeated", func(l *line, told *[]string) { l.ask("b", "double", 4, told); l.deliver(3) }, "[8 true]"},
		{"lost", func(l *line, told *[]string) { l.ask("b", "double", 4, told); l.frames = nil }, "[0 false]"},
		{"late", func(l *line, told *[]string) {
			l.ask("b", "double", 4, told)
			l.Advance(2 * loop.Second)
			l.deliver(1)
		}, "[0 false]"},
		{"no such topic", func(l *line, told *[]string) { l.ask("c", "double", 4, told); l.deliver(1) }, "[0 false]"},
		{"no such node", func(l *line, told *[]string) { l.ask("z", "double", 4, told) }, "[0 false]"},
		{"too large an answer", func(l *line, told *[]string) { l.ask("b", "large", 4, told); l.deliver(1) }, "[0 false]"},
		{"answered by another", func(l *line, told *[]string) {
			l.ask("b", "double", 4, told)
			l.desks["a"].Take(&peer.Envelope{From: "c", Replies: []peer.Reply{{ID: 101, OK: true, Body: wire.Marshal(7)}}})
			l.deliver(1)
		}, "[8 true]"},
		{"asked of itself", func(l *line, told *[]string) {
			l.desks["a"].Handle("double", func(_ wire.Raw, reply func(any)) { reply(5) })
			l.ask("a", "double", 4, told)
		}, "[5 true]"},
	} {
		l := newLine()
		var told []string
		c.play(l, &told)
		l.Advance(3 * loop.Second)
		if fmt.Sprint(told) != c.want || l.desks["a"].Waiting() != 0 {
			t.Errorf("%s: told %v with %d left, want %s", c.what, told, l.desks["a"].Waiting(), c.want)
		}
	}
	l := newLine()
	var told []string
	for range Most + 5 {
		l.ask("b", "double", 1, &told)
	}
	if len(told) != 5 || l.desks["a"].Waiting() != Most {
		t.Errorf("%d questions wait and %d were refused, want %d and 5", l.desks["a"].Waiting(), len(told), Most)
	}
}
