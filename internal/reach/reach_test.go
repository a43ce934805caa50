package reach

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"

	"cleatpick/internal/loop"
	"cleatpick/internal/standin"
)

// network is a simulated network of controllers, which send each other the messages of the code
// under test every 700 ms. Each direction of each connection can be open or closed.
type network struct {
	*standin.Runner
	names    []string
	open     map[string]bool // "a>b"
	contact  map[string]bool
	trackers map[string]*Tracker
}

func newNetwork(n int) *network {
	x := &network{Runner: standin.NewRunner(100 * loop.Second), open: map[string]bool{}, contact: map[string]bool{}, trackers: map[string]*Tracker{}}
	for i := range n {
		x.names = append(x.names, string(rune('a'+i)))
	}
	for _, a := range x.names {
		var peers []string
		for _, b := range x.names {
			if a != b {
				peers = append(peers, b)
				x.open[a+">"+b] = true
			}
		}
		x.contact[a] = true
		x.trackers[a] = New(x, slog.New(slog.DiscardHandler), a, peers, 0)
		loop.Every(x, 700*loop.Millisecond, func() {
			j := x.trackers[a]
			j.Update()
			w := Message{Wall: x.Now(), StateContact: x.contact[a], ReceivesFrom: []string{}}
			for _, p := range peers {
				if j.ReceivedWithin(p, MaxAge) {
					w.ReceivesFrom = append(w.ReceivesFrom, p)
				}
			}
			for _, p := range peers {
				if x.open[a+">"+p] {
					x.After(2*loop.Millisecond, func() { x.trackers[p].Receive(a, w) })
				}
			}
		})
	}
	return x
}

// For random sets of open connections and of controllers without the state service, each
// tracker must derive the reachability that follows directly from these sets.
func TestReachabilityAgainstConnections(t *testing.T) {
	for seed := range uint64(120) {
		r := rand.New(rand.NewPCG(seed, 5))
		x := newNetwork(1 + r.IntN(6))
		for range 3 {
			for way := range x.open {
				x.open[way] = r.IntN(4) > 0
			}
			for _, a := range x.names {
				x.contact[a] = r.IntN(4) > 0
			}
			x.Advance(15 * loop.Second)
			both := func(a, b string) bool { return x.open[a+">"+b] && x.open[b+">"+a] }
			for _, a := range x.names {
				j := x.trackers[a]
				alone, broken := len(x.names) > 1, false
				for _, b := range x.names {
					if a == b {
						continue
					}
					want := Full
					if !x.contact[b] {
						want = Partial
					}
					for _, o := range x.names {
						if o != a && o != b && x.open[o+">"+a] && !x.open[o+">"+b] {
							want = Partial
						}
						if o != a && o != b && !both(a, b) && both(a, o) && x.open[b+">"+o] {
							broken = true
						}
					}
					if !x.open[a+">"+b] {
						want = OneWay
					}
					if !x.open[b+">"+a] {
						want = Silent
					}
					alone = alone && !both(a, b)
					if got := j.State(b); got != want {
						t.Fatalf("seed %d: controller %s finds peer %s %v, want %v; open connections: %v", seed, a, b, got, want, x.open)
					}
				}
				if got := j.Isolated(); got != alone {
					t.Fatalf("seed %d: Isolated of %s is wrongly %v; open connections: %v", seed, a, got, x.open)
				}
				if got := j.PartlyDisconnected(); got != broken {
					t.Fatalf("seed %d: PartlyDisconnected of %s is wrongly %v; open connections: %v", seed, a, got, x.open)
				}
			}
		}
	}
}

// A controller that becomes silent and returns every few seconds would be given teams each
// time, only to lose them again. It must be fit for work later after each flap, up to the
// stated bound, and at once again after it has been in state Full for stableAfter.
func TestFlappingIsDamped(t *testing.T) {
	x := newNetwork(3)
	j := x.trackers["a"]
	disconnect := func(is bool) {
		for _, b := range []string{"a", "b"} {
			x.open["c>"+b], x.open[b+">c"] = !is, !is
		}
	}
	timeUntilFit := func() loop.Micros { // time from being in state Full again to being fit for work
		disconnect(true)
		x.Advance(6 * loop.Second)
		if j.Fit("c") {
			t.Fatal("a silent peer is fit for work")
		}
		disconnect(false)
		from := loop.Micros(0)
		for range 1200 {
			x.Advance(100 * loop.Millisecond)
			if from == 0 && j.State("c") == Full {
				from = x.Now()
			}
			if j.Fit("c") {
				return x.Now() - from
			}
		}
		t.Fatal("the peer is not fit for work two minutes after it became reachable again")
		return 0
	}
	x.Advance(5 * loop.Second)
	var waits []string
	for range 6 {
		waits = append(waits, fmt.Sprint((timeUntilFit()+300*loop.Millisecond)/loop.Second))
	}
	x.Advance(stableAfter)
	if j.DampedFor("c") != 0 {
		t.Error("the peer is still damped after it has been in state Full for stableAfter")
	}
	waits = append(waits, fmt.Sprint((timeUntilFit()+300*loop.Millisecond)/loop.Second))
	if got := fmt.Sprint(waits); got != "[0 16 32 32 32 32 0]" {
		t.Errorf("after each flap the peer is fit for work after %s s, want [0 16 32 32 32 32 0]", got)
	}
}

// A third controller that becomes silent, an outage of the state service, and messages that
// queued up during a pause of this process must not count as flaps of the other peers: these
// would not be given any work afterwards.
func TestFaultsOfOthersAreNoFlaps(t *testing.T) {
	x := newNetwork(4)
	x.trackers["a"].StateContact = func() bool { return x.contact["a"] }
	x.Advance(5 * loop.Second)
	for round := range 4 {
		for way := range x.open {
			if way[0] == 'd' || way[2] == 'd' {
				x.open[way] = round%2 == 1
			}
		}
		for _, n := range x.names {
			x.contact[n] = round%2 == 1
		}
		x.Advance(9 * loop.Second)
	}
	// After a pause of its process, a controller finds several older messages in its queue.
	for _, hears := range [][]string{{}, {"a", "c", "d"}, {}, {"a", "c", "d"}} {
		x.Advance(10 * loop.Millisecond)
		x.trackers["a"].Receive("b", Message{Wall: x.Now(), StateContact: true, ReceivesFrom: hears})
	}
	x.Advance(3 * loop.Second)
	if n := x.trackers["a"].peers["b"].flaps; n > 1 {
		t.Errorf("queued messages were counted as %d flaps, want at most one", n)
	}
	x.Advance(stableAfter)
	for _, n := range []string{"b", "c"} {
		if j := x.trackers["a"]; !j.Fit(n) || j.peers[n].flaps > 0 {
			t.Errorf("peer %s is fit for work: %v, with %d flaps; want true and none", n, j.Fit(n), j.peers[n].flaps)
		}
	}
}

// A message that was delayed on its way arrives as new but describes the past: it must not
// make its sender reachable.
func TestDelayedMessageIsNoEvidence(t *testing.T) {
	x := newNetwork(2)
	x.Advance(5 * loop.Second)
	late := Message{Wall: x.Now(), StateContact: true, ReceivesFrom: []string{"a"}}
	x.open["b>a"] = false
	x.Advance(10 * loop.Second)
	j := x.trackers["a"]
	j.Receive("b", late)
	if j.State("b") != Silent || j.Fit("b") {
		t.Errorf("after a message that is 10 s old the peer b is %v, want silent and unfit for work", j.State("b"))
	}
}
