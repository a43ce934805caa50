package cordon

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"testing"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/fake"
	"cleatpick/internal/store"

	"pgregory.net/rapid"
)

const clockDifference = 200 * eventloop.Millisecond

// simulation is a set of controllers' cordons over one state service, each with its own mirror.
type simulation struct {
	*fake.Runner
	state      *fake.StateService
	registries []*Registry
	mirrors    []*store.Mirror
}

func newSimulation(n int) *simulation {
	o := &simulation{Runner: fake.NewRunner(1000 * eventloop.Second)}
	o.state = fake.NewStateService(func() eventloop.Micros { return o.Now() })
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	for range n {
		c := store.NewClient(o, o.state, log, 1e4, 1e4, 1)
		m := store.NewMirror(c, o.state, "c/")
		o.registries = append(o.registries, NewRegistry(o, c, m, log, clockDifference))
		o.mirrors = append(o.mirrors, m)
		m.Start()
	}
	o.Advance(eventloop.Second)
	return o
}

func names(b *Registry) (out []string) {
	for _, c := range b.All() {
		out = append(out, c.Name+":"+c.Reason)
	}
	return out
}

// When operators change cordons at several controllers at once, no change that was reported
// as stored may get lost by a concurrent write of the shared record, and all controllers must
// come to the same list. The expected list is kept in a plain map.
func TestConcurrentChangesAgreeWithMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newSimulation(3)
		type change struct {
			c    Cordon
			drop bool
		}
		expected := map[string]string{}
		var unresolved []change
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			b := o.registries[rapid.IntRange(0, 2).Draw(t, "node")]
			c := Cordon{Name: fmt.Sprint("c", rapid.IntRange(0, 4).Draw(t, "name")), Zone: "x", Reason: fmt.Sprint("r", rapid.IntRange(0, 99).Draw(t, "reason"))}
			// Two concurrent changes of one name may be applied in either order, so they are made one after the other.
			if slices.ContainsFunc(unresolved, func(x change) bool { return x.c.Name == c.Name }) {
				o.Advance(2 * eventloop.Second)
				unresolved = nil
			}
			x := change{c, rapid.IntRange(0, 2).Draw(t, "drop") == 0}
			unresolved = append(unresolved, x)
			record := func(out Outcome) {
				switch {
				case out == Stored && x.drop:
					delete(expected, x.c.Name)
				case out == Stored:
					expected[x.c.Name] = x.c.Reason
				case out == NotFound && expected[x.c.Name] != "":
					t.Fatalf("removing %s returned Absent although it is stored", x.c.Name)
				}
			}
			if x.drop {
				b.Remove(c.Name, record)
			} else {
				b.Put(c, record)
			}
			o.Advance(eventloop.Micros(rapid.IntRange(0, 40).Draw(t, "ms")) * eventloop.Millisecond)
		}
		o.Advance(30 * eventloop.Second)
		var want []string
		for _, n := range slices.Sorted(maps.Keys(expected)) {
			want = append(want, n+":"+expected[n])
		}
		for i, b := range o.registries {
			if got := names(b); !slices.Equal(got, want) {
				t.Fatalf("controller %d has the cordons %v, want %v", i, got, want)
			}
		}
	})
}

// A cordon must exclude exactly the places that match all its selectors, expire only once the
// clock of every controller is past its end, and stay in force when its record becomes
// corrupt. The next change must repair the record, and during an outage of the state service
// a change must be reported as not stored.
func TestWhatACordonBlocks(t *testing.T) {
	o := newSimulation(1)
	b := o.registries[0]
	at := Place{Machine: "n-1", Type: "m8", Zone: "x", Spot: true}
	for _, c := range []struct {
		c    Cordon
		bars bool
	}{
		{Cordon{Machine: "n-1"}, true}, {Cordon{Machine: "n-2"}, false}, {Cordon{Zone: "x", Kind: Spot}, true}, {Cordon{Zone: "x", Kind: Ordinary}, false},
		{Cordon{Type: "m8", Zone: "y"}, false}, {Cordon{Type: "m8"}, true},
	} {
		if c.c.Matches(at) != c.bars {
			t.Errorf("cordon %+v excludes %+v: %v, want the opposite", c.c, at, !c.bars)
		}
	}
	until := o.Wall() + 10*eventloop.Second
	b.Put(Cordon{Name: "c", Zone: "x", Reason: "r", Until: until}, func(Outcome) {})
	o.Advance(eventloop.Second)
	before := b.Version()
	o.Advance(until - o.Wall() + clockDifference - eventloop.Millisecond)
	if !b.Blocked(at) {
		t.Fatal("the cordon has expired before every clock was past its end")
	}
	o.Advance(10 * eventloop.Millisecond)
	if b.Blocked(at) || b.Version() == before {
		t.Fatalf("the cordon has not expired: the place is excluded: %v, version %d", b.Blocked(at), b.Version())
	}
	b.Put(Cordon{Name: "d", Zone: "x", Reason: "r"}, func(Outcome) {})
	o.Advance(eventloop.Second)
	o.state.Put(Key, map[string]any{"f": 99, "c": []Cordon{}})
	o.Advance(2 * eventloop.Second)
	b.Refresh()
	o.Advance(2 * eventloop.Second)
	if !b.Damaged() || !b.Blocked(at) {
		t.Fatalf("after a record of another format: damaged %v, place excluded %v; want true and true", b.Damaged(), b.Blocked(at))
	}
	var out Outcome = -1
	b.Put(Cordon{Name: "e", Zone: "y", Reason: "r"}, func(x Outcome) { out = x })
	o.Advance(2 * eventloop.Second)
	if out != Stored || b.Damaged() || len(b.All()) != 2 {
		t.Fatalf("the next change returns %v, damaged %v, cordons %v; want Stored, false and two", out, b.Damaged(), b.All())
	}
	o.state.SetDown(true)
	b.Put(Cordon{Name: "f", Zone: "y", Reason: "r"}, func(x Outcome) { out = x })
	o.Advance(5 * eventloop.Second)
	if out != NotStored {
		t.Fatalf("during an outage a change returns %v, want Unstored", out)
	}
}
