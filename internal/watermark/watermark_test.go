package watermark

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"

	"cleatpick/internal/eventloop"
)

// manualClock is a monotonic clock set by the test; every controller's clock has a different zero.
type manualClock struct{ true, zero eventloop.Micros }

func (h *manualClock) Now() eventloop.Micros  { return h.true - h.zero }
func (h *manualClock) Wall() eventloop.Micros { return h.true }

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

const grace = 18 * eventloop.Second

// simulation is a simulated deployment: what the state service holds, what each controller knows, and when each
// user was answered. The network loses, delays and duplicates messages.
type simulation struct {
	now         eventloop.Micros
	rng         *rand.Rand
	stored      []string // cancelled jobs; the revision of the first is 1
	controllers []*simController
	confirmedAt map[string]eventloop.Micros // time at which the first user was told of each cancellation
	inFlight    []message
}

// simController is a simulated controller.
type simController struct {
	label        string
	clock        *manualClock
	tracker      *Tracker
	incarnation  eventloop.Micros
	known        map[string]uint64
	revision     int  // the revision up to which its mirror has every change
	disconnected bool // disconnected from the state service
}

// message is a message in flight.
type message struct {
	at          eventloop.Micros
	from, to    int
	incarnation eventloop.Micros
	w           *Message
}

// newSimulation makes a deployment of n controllers.
func newSimulation(seed uint64, n int) *simulation {
	s := &simulation{now: 1000 * eventloop.Second, rng: rand.New(rand.NewPCG(seed, 3)), confirmedAt: map[string]eventloop.Micros{}}
	for i := range n {
		s.controllers = append(s.controllers, &simController{label: string(rune('a' + i))})
	}
	for i := range n {
		s.restart(i)
	}
	return s
}

// restart starts a new incarnation of a controller, which knows nothing of the previous one.
func (s *simulation) restart(i int) {
	n := s.controllers[i]
	n.clock = &manualClock{true: s.now, zero: s.now - eventloop.Second - s.rng.Int64N(int64(1000*eventloop.Second))}
	n.incarnation, n.known, n.revision = s.now, map[string]uint64{}, 0
	var peers []string
	for k, o := range s.controllers {
		if k != i {
			peers = append(peers, o.label)
		}
	}
	n.tracker = New(n.clock, quiet, n.incarnation, grace, peers)
	tracker := n.tracker
	tracker.RecordFromPeer = func(o Cancellation) bool {
		n.known[o.Job] = o.Revision
		tracker.RecordCancellation(o)
		return true
	}
}

// deliverRead delivers the answer to a request that a controller sent some time ago.
func (s *simulation) deliverRead(i int, sent eventloop.Micros) {
	n := s.controllers[i]
	if n.disconnected {
		return
	}
	for m := n.revision; m < len(s.stored); m++ {
		n.learn(s.stored[m], uint64(m+1))
	}
	n.revision = len(s.stored)
	n.tracker.RecordSync(max(sent, n.incarnation)-n.clock.zero, uint64(n.revision))
}

// learn records a cancellation at a controller.
func (n *simController) learn(job string, revision uint64) {
	n.known[job] = revision
	n.tracker.RecordCancellation(Cancellation{job, revision})
}

// cancel stores a cancellation through a controller, which tells its user at once.
func (s *simulation) cancel(i int) {
	n := s.controllers[i]
	if n.disconnected || !n.tracker.loaded {
		return
	}
	job := fmt.Sprint("job-", len(s.stored))
	s.stored = append(s.stored, job)
	n.learn(job, uint64(len(s.stored)))
	s.confirm(i, job)
}

// confirm lets a controller confirm to a user a cancellation that it knows.
func (s *simulation) confirm(i int, job string) {
	if _, was := s.confirmedAt[job]; !was && s.controllers[i].known[job] != 0 {
		s.confirmedAt[job] = s.now
	}
}

// step advances the time and performs one random action; lossy adds long delays, disconnections and restarts.
func (s *simulation) step(lossy bool) {
	s.now += s.rng.Int64N(int64(300 * eventloop.Millisecond))
	for _, n := range s.controllers {
		n.clock.true = s.now
	}
	i := s.rng.IntN(len(s.controllers))
	n := s.controllers[i]
	switch s.rng.IntN(10) {
	case 0, 1, 2:
		s.deliverRead(i, s.now-s.rng.Int64N(int64(2*eventloop.Second)))
	case 3:
		s.cancel(i)
	case 4:
		// Another user requests a cancellation that a controller has stored already; this one may know it from
		// any source.
		if len(s.stored) > 0 {
			s.confirm(i, s.stored[s.rng.IntN(len(s.stored))])
		}
	case 5, 6, 7:
		for k := range s.controllers {
			if k == i {
				continue
			}
			w := n.tracker.MessageFor(s.controllers[k].label)
			for s.rng.IntN(5) > 0 { // the message is lost, delivered once or duplicated
				d := s.rng.Int64N(int64(200 * eventloop.Millisecond))
				if lossy && s.rng.IntN(6) == 0 {
					d = s.rng.Int64N(int64(60 * eventloop.Second))
				}
				s.inFlight = append(s.inFlight, message{s.now + d, i, k, n.incarnation, w})
				if s.rng.IntN(4) > 0 {
					break
				}
			}
		}
	case 8:
		if lossy && s.rng.IntN(6) == 0 {
			n.disconnected = !n.disconnected
		}
	case 9:
		if lossy && s.rng.IntN(25) == 0 {
			s.restart(i)
		}
	}
	left := s.inFlight[:0]
	for _, f := range s.inFlight {
		if f.at > s.now {
			left = append(left, f)
			continue
		}
		s.controllers[f.to].tracker.Receive(s.controllers[f.from].label, f.incarnation, f.w)
	}
	s.inFlight = left
}

// Whatever messages are lost, late or duplicated, and whichever controllers restart: a controller knows every
// cancellation that a user was told of before its watermark.
func TestAllCancellationsBeforeTheWatermarkAreKnown(t *testing.T) {
	moved := 0
	for seed := range uint64(400) {
		s := newSimulation(seed, 1+int(seed%5))
		for range 600 {
			s.step(true)
			for _, n := range s.controllers {
				at := n.tracker.Watermark()
				if at == 0 {
					continue
				}
				if at > n.clock.Now() {
					t.Fatalf("seed %d: the watermark of %s is in the future", seed, n.label)
				}
				for job, confirmed := range s.confirmedAt {
					if confirmed < at+n.clock.zero && n.known[job] == 0 {
						t.Fatalf("seed %d: %s does not know the cancellation of %s, confirmed %d us before its watermark", seed, n.label, job, at+n.clock.zero-confirmed)
					}
				}
				if n.disconnected && at > n.tracker.byStore+5*eventloop.Second {
					moved++
				}
			}
		}
	}
	if moved < 1000 {
		t.Errorf("peers advanced the watermark of a disconnected controller %d times, want at least 1000", moved)
	}
}

// While all controllers reach each other, their watermarks advance without the state service.
func TestPeersAdvanceTheWatermark(t *testing.T) {
	for n := 1; n <= 15; n++ {
		s := newSimulation(uint64(n), n)
		for i := range s.controllers {
			s.deliverRead(i, s.now)
			s.controllers[i].disconnected = true
		}
		for range 200 * n {
			s.step(false)
		}
		for _, x := range s.controllers {
			if age := x.clock.Now() - x.tracker.Watermark(); age > eventloop.Micros(n)*8*eventloop.Second || !x.tracker.loaded || age > 0 && n == 1 {
				t.Errorf("%d controllers: the watermark of %s is %d us old", n, x.label, age)
			}
		}
	}
}

// A message that is invalid or answers another incarnation is dropped and counted, and does not advance the
// watermark.
func TestInvalidMessagesAreDiscarded(t *testing.T) {
	for _, c := range []struct {
		name string
		w    Message
		bad  bool
	}{
		{"valid", Message{Version: 1, Timestamp: 5, Echo: 900, Incarnation: 7, SinceRevision: 10}, false},
		{"only a question", Message{Version: 1, Timestamp: 5}, false},
		{"another version", Message{Version: 2, Timestamp: 5, Echo: 900, Incarnation: 7, SinceRevision: 10}, true},
		{"no version", Message{Timestamp: 5, Echo: 900, Incarnation: 7, SinceRevision: 10}, true},
		{"no timestamp", Message{Version: 1, Echo: 900, Incarnation: 7, SinceRevision: 10}, true},
		{"an echo from the future", Message{Version: 1, Timestamp: 5, Echo: 1001, Incarnation: 7, SinceRevision: 10}, true},
		{"an earlier incarnation", Message{Version: 1, Timestamp: 5, Echo: 900, Incarnation: 6, SinceRevision: 10}, true},
		{"a revision that nobody has", Message{Version: 1, Timestamp: 5, Echo: 900, Incarnation: 7, SinceRevision: 11}, true},
		{"a negative age", Message{Version: 1, Timestamp: 5, Echo: 900, Incarnation: 7, SinceRevision: 10, HasWatermark: true, WatermarkAge: -5}, true},
		{"a cancellation without a name", Message{Version: 1, Timestamp: 5, Echo: 900, Incarnation: 7, SinceRevision: 10, Cancellations: []Cancellation{{"", 12}}}, true},
		{"a cancellation at an earlier revision", Message{Version: 1, Timestamp: 5, Echo: 900, Incarnation: 7, SinceRevision: 10, Cancellations: []Cancellation{{"job-000001", 10}}}, true},
		{"a cancellation that cannot be recorded", Message{Version: 1, Timestamp: 5, Echo: 900, Incarnation: 7, SinceRevision: 10, Cancellations: []Cancellation{{"full", 12}}}, true},
	} {
		tracker := New(&manualClock{true: 1000}, quiet, 7, grace, []string{"b"})
		tracker.RecordFromPeer = func(o Cancellation) bool { return o.Job != "full" }
		dropped := 0
		tracker.Discarded = func(string, string) { dropped++ }
		tracker.RecordSync(100, 10)
		tracker.Receive("b", 3, &c.w)
		want := eventloop.Micros(900)
		if c.bad || c.w.Echo == 0 {
			want = 100
		}
		if tracker.Watermark() != want || (dropped > 0) != c.bad {
			t.Errorf("%s: the watermark is %d, want %d; %d messages were dropped", c.name, tracker.Watermark(), want, dropped)
		}
		tracker.Receive("nobody", 3, &c.w)
		tracker.Receive("b", 3, nil)
	}
}

// A restarted process starts its monotonic clock at a new zero. Its questions are answered although their timestamps are
// lower than those of its previous incarnation; within one incarnation only the newest question is answered.
func TestQuestionsOfANewIncarnationAreAnswered(t *testing.T) {
	tracker := New(&manualClock{true: 1000}, quiet, 7, grace, []string{"b"})
	tracker.RecordSync(100, 10)
	for _, c := range [][4]eventloop.Micros{{3, 800, 3, 800}, {3, 700, 3, 800}, {4, 20, 4, 20}, {4, 30, 4, 30}, {4, 25, 4, 30}} {
		tracker.Receive("b", c[0], &Message{Version: 1, Timestamp: c[1], Revision: 10})
		if w := tracker.MessageFor("b"); w.Incarnation != c[2] || w.Echo != c[3] {
			t.Errorf("after question %d of incarnation %d, question %d of incarnation %d is answered", c[1], c[0], w.Echo, w.Incarnation)
		}
	}
}

// When more cancellations are known than are kept, a peer that may lack a dropped one is not answered, and any
// other peer is.
func TestMoreCancellationsThanAreKept(t *testing.T) {
	tracker := New(&manualClock{true: 1000}, quiet, 7, grace, []string{"b"})
	tracker.RecordSync(100, 10000)
	for k := range 5000 {
		tracker.RecordCancellation(Cancellation{fmt.Sprint(k), uint64(1 + (k*7919)%5000)})
	}
	lowest := uint64(5000 - maxRecent)
	for _, revision := range []uint64{0, lowest - 1, lowest, lowest + 1, 4999, 5000} {
		tracker.Receive("b", 3, &Message{Version: 1, Timestamp: 5 + eventloop.Micros(revision), Revision: revision})
		w := tracker.MessageFor("b")
		if answered := w.Echo != 0; answered != (revision >= lowest) || answered && len(w.Cancellations) != int(5000-revision) {
			t.Errorf("peer at revision %d: %d of %d cancellations are sent, as an answer to question %d", revision, len(w.Cancellations), 5000-revision, w.Echo)
		}
	}
}

// The states follow each other as the watermark ages and advances. Grace and WatchWait return the values computed by
// hand.
func TestStates(t *testing.T) {
	c := &manualClock{true: 100 * eventloop.Second}
	tracker := New(c, quiet, 7, grace, []string{"b", "c"})
	var got []string
	look := func(at eventloop.Micros) {
		c.true = at * eventloop.Second
		tracker.UpdateState()
		got = append(got, fmt.Sprint(tracker.State(), tracker.MayAnswerReports()))
	}
	look(100)
	tracker.RecordSync(100*eventloop.Second, 10)
	look(101)
	c.true = 108 * eventloop.Second
	for _, p := range []string{"b", "c"} {
		tracker.Receive(p, 3, &Message{Version: 1, Timestamp: 5, Echo: 108 * eventloop.Second, Incarnation: 7, SinceRevision: 10})
	}
	look(109)
	tracker.Receive("b", 3, &Message{Version: 1, Timestamp: 6, Echo: 109 * eventloop.Second, Incarnation: 7, SinceRevision: 10}) // c holds the watermark back
	look(120)
	look(125)
	look(126)
	tracker.Receive("b", 3, &Message{Version: 1, Timestamp: 7, Echo: 126 * eventloop.Second, Incarnation: 7, SinceRevision: 10, HasWatermark: true, WatermarkAge: eventloop.Second})
	look(126)
	if s, want := fmt.Sprint(got), "[blind false current true shared true aging true aging true lapsed false shared true]"; s != want {
		t.Errorf("states: %s, want %s", s, want)
	}
	for _, x := range [][3]eventloop.Micros{{26500, 46500, 18000}, {17500, 47500, 28000}, {10000, 11000, 750}} {
		if g := Grace(x[0]*1000, x[1]*1000); g != x[2]*1000 {
			t.Errorf("lease %d, cancellation %d: Grace is %d us, want %d", x[0], x[1], g, x[2]*1000)
		}
	}
	for _, x := range []struct {
		grace eventloop.Micros
		rps   float64
		want  eventloop.Micros
	}{{18 * eventloop.Second, 54, 2 * eventloop.Second}, {18 * eventloop.Second, 4, 5 * eventloop.Second}, {18 * eventloop.Second, 0.1, 9 * eventloop.Second}, {eventloop.Second, 100, eventloop.Second / 4}, {8 * eventloop.Second, 54, eventloop.Second}} {
		if got := WatchWait(x.grace, x.rps); got != x.want {
			t.Errorf("%+v: WatchWait is %d us", x, got)
		}
	}
}
