package reach

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"

	"cleatpick/internal/loop"
	"cleatpick/internal/standin"
)

// net is some nodes that tell each other every 700 ms what the code under test is given,
// over ways that are open or not, each way by itself.
type net struct {
	*standin.Stepped
	names   []string
	open    map[string]bool // "a>b"
	contact map[string]bool
	judges  map[string]*Judge
}

func newNet(n int) *net {
	x := &net{Stepped: standin.NewStepped(100 * loop.Second), open: map[string]bool{}, contact: map[string]bool{}, judges: map[string]*Judge{}}
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
		x.judges[a] = New(x, slog.New(slog.DiscardHandler), a, peers, 0)
		loop.Every(x, 700*loop.Millisecond, func() {
			j := x.judges[a]
			j.Look()
			w := Word{Wall: x.Now(), Contact: x.contact[a], Hears: []string{}}
			for _, p := range peers {
				if j.Heard(p, Fresh) {
					w.Hears = append(w.Hears, p)
				}
			}
			for _, p := range peers {
				if x.open[a+">"+p] {
					x.After(2*loop.Millisecond, func() { x.judges[p].Hear(a, w) })
				}
			}
		})
	}
	return x
}

// Whatever ways are open, each judge comes to what the ways say.
func TestReachAgainstTheWays(t *testing.T) {
	for seed := range uint64(120) {
		r := rand.New(rand.NewPCG(seed, 5))
		x := newNet(1 + r.IntN(6))
		for range 3 {
			for way := range x.open {
				x.open[way] = r.IntN(4) > 0
			}
			for _, a := range x.names {
				x.contact[a] = r.IntN(4) > 0
			}
			x.Run(15 * loop.Second)
			both := func(a, b string) bool { return x.open[a+">"+b] && x.open[b+">"+a] }
			for _, a := range x.names {
				j := x.judges[a]
				alone, broken := len(x.names) > 1, false
				for _, b := range x.names {
					if a == b {
						continue
					}
					want := Whole
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
						t.Fatalf("seed %d: to %s, %s is %v, want %v; %v", seed, a, b, got, want, x.open)
					}
				}
				if got := j.Isolated(); got != alone {
					t.Fatalf("seed %d: %s is isolated: %v; %v", seed, a, got, x.open)
				}
				if got := j.Broken(); got != broken {
					t.Fatalf("seed %d: a way of %s is broken: %v; %v", seed, a, got, x.open)
				}
			}
		}
	}
}

// A node that comes and goes every few seconds is trusted ever later, at most as late as
// stated; staying whole for a minute makes up for all of it.
func TestFlappingIsDamped(t *testing.T) {
	x := newNet(3)
	j := x.judges["a"]
	cut := func(is bool) {
		for _, b := range []string{"a", "b"} {
			x.open["c>"+b], x.open[b+">c"] = !is, !is
		}
	}
	trusted := func() loop.Micros { // how long after it is whole again it is fit
		cut(true)
		x.Run(6 * loop.Second)
		if j.Fit("c") {
			t.Fatal("a silent node is fit for work")
		}
		cut(false)
		from := loop.Micros(0)
		for range 1200 {
			x.Run(100 * loop.Millisecond)
			if from == 0 && j.State("c") == Whole {
				from = x.Now()
			}
			if j.Fit("c") {
				return x.Now() - from
			}
		}
		t.Fatal("it is never trusted again")
		return 0
	}
	x.Run(5 * loop.Second)
	var waits []string
	for range 6 {
		waits = append(waits, fmt.Sprint((trusted()+300*loop.Millisecond)/loop.Second))
	}
	x.Run(goodFor)
	if j.Damped("c") != 0 {
		t.Error("it is damped although it was good")
	}
	waits = append(waits, fmt.Sprint((trusted()+300*loop.Millisecond)/loop.Second))
	if got := fmt.Sprint(waits); got != "[0 16 32 32 32 32 0]" {
		t.Errorf("it is trusted after %s s", got)
	}
}

// A node that goes silent, and an outage of the state service, are no fault of the others.
func TestOthersDoNotFlap(t *testing.T) {
	x := newNet(4)
	x.judges["a"].Contact = func() bool { return x.contact["a"] }
	x.Run(5 * loop.Second)
	for round := range 4 {
		for way := range x.open {
			if way[0] == 'd' || way[2] == 'd' {
				x.open[way] = round%2 == 1
			}
		}
		for _, n := range x.names {
			x.contact[n] = round%2 == 1
		}
		x.Run(9 * loop.Second)
	}
	// A node that stood still finds old words of all lengths in its queue.
	for _, hears := range [][]string{{}, {"a", "c", "d"}, {}, {"a", "c", "d"}} {
		x.Run(10 * loop.Millisecond)
		x.judges["a"].Hear("b", Word{Wall: x.Now(), Contact: true, Hears: hears})
	}
	x.Run(3 * loop.Second)
	if n := x.judges["a"].peers["b"].flaps; n > 1 {
		t.Errorf("%d flaps by what queued up", n)
	}
	x.Run(goodFor)
	for _, n := range []string{"b", "c"} {
		if j := x.judges["a"]; !j.Fit(n) || j.peers[n].flaps > 0 {
			t.Errorf("%s is fit: %v, after %d flaps", n, j.Fit(n), j.peers[n].flaps)
		}
	}
}

// A word that was held back on its way says nothing of now.
func TestOldWordsAreNotFresh(t *testing.T) {
	x := newNet(2)
	x.Run(5 * loop.Second)
	late := Word{Wall: x.Now(), Contact: true, Hears: []string{"a"}}
	x.open["b>a"] = false
	x.Run(10 * loop.Second)
	j := x.judges["a"]
	j.Hear("b", late)
	if j.State("b") != Silent || j.Fit("b") {
		t.Errorf("by a word that is 10 s old b is %v", j.State("b"))
	}
}
