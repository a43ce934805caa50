package rental

import (
	"cmp"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"cleatpick/internal/agent"
	"cleatpick/internal/config"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/loss"
	"cleatpick/internal/member"
	"cleatpick/internal/peer"
	"cleatpick/internal/standin"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

type rig struct {
	*standin.Stepped
	t        *Rental
	a        *agent.Registry
	cloud    *standin.Cloud
	calls    []string
	entitled bool
	isolated bool
	unheard  bool   // a peer in the machines' zone
	dark     string // a zone that is cut off
	jobs     map[string]*job.Job
	runs     []agent.Task // on every machine that is heard
	word     loss.Word
	words    map[string]loss.Word // by address, where it differs
	ups      []wire.Listed
	deleted  []string
}

func (g *rig) Do(method, path string, body []byte, d time.Duration) store.Response {
	g.calls = append(g.calls, method+" "+path)
	return g.cloud.Do(method, path, body, d)
}

func newRig(t *testing.T, each int) *rig {
	g := &rig{Stepped: standin.NewStepped(1000 * loop.Second), entitled: true, word: loss.NoWay, words: map[string]loss.Word{}}
	cfg := &config.Config{Operator: config.Defaults()}
	cfg.Cluster.Workers.ReportS, cfg.Cluster.Workers.LeaseS = 1, 10
	cfg.Cluster.Cloud.RPS, cfg.Cluster.Cloud.ListLagS = 5, 2
	cfg.Cluster.State.TxnOps = 16
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	state := standin.NewState(func() loop.Micros { return g.Now() })
	state.Put("c/l", map[string]any{"n": "a", "e": 1})
	c := store.NewClient(g, state, log, 1000, 1000, 1)
	m := store.NewMirror(c, state, "c/")
	g.cloud = standin.NewCloud(wire.MachineType{Name: "m8", CPUs: 8, MemoryGB: 32, Price: 1, SpotPrice: 0.3, BootS: 4, Zones: []string{"x", "y"}}, each)
	g.cloud.Up = func(l wire.Listed) { g.ups = append(g.ups, l) }
	g.cloud.Gone = func(name string) { g.deleted = append(g.deleted, name) }
	g.a = agent.New(g, log, agent.Config{Label: "a", FindJob: func(id string) *job.Job { return g.jobs[id] }, ViewChanged: func(v *agent.View, _ *agent.Changes) { g.t.View(v) }}, nil)
	g.t = New(g, log, cfg, c, m, g, g.a, Node{Close: func(string, peer.Close) {},
		Unheard: func(z string) bool { return g.unheard || z == g.dark }, Entitled: func() bool { return g.entitled }, Isolated: func() bool { return g.isolated },
		Faulty: func(string) bool { return false }, Probe: func(addr string) loss.Word { return cmp.Or(g.words[addr], g.word) }})
	m.Start()
	g.Run(loop.Second)
	e, ok := m.Get("c/l")
	if !ok {
		t.Fatal("the claim is not mirrored")
	}
	g.t.Lead(true, member.Owner{Node: "a", Epoch: 1, Mark: e.Revision})
	return g
}

func (g *rig) hear(name, zone string) {
	g.a.ApplyView(&agent.View{Name: name, Addr: name, Type: "m8", Zone: zone, Host: "b", Session: 1, Seq: uint64(g.Now()), TokenConfirmed: true, MadeAfter: g.Now(), Tasks: g.runs})
}

func count(calls []string, part string) (n int) {
	for _, c := range calls {
		if strings.Contains(c, part) {
			n++
		}
	}
	return n
}

// A cut leader once saw the whole fleet as silent and asked for all of it to be
// deleted; held requests would have done so long after.
func TestLeaderWithoutLeaseDoesNothing(t *testing.T) {
	for _, c := range []struct {
		name               string
		entitled, isolated bool
		want               int
	}{{"lease lost", false, false, 0}, {"no peer heard", true, true, 0}, {"in contact", true, false, 1}} {
		t.Run(c.name, func(t *testing.T) {
			g := newRig(t, 4)
			g.Run(3 * loop.Second)
			g.hear("n-900000", "x")
			g.Run(2 * loop.Second)
			g.entitled, g.isolated = c.entitled, c.isolated
			before := len(g.calls)
			g.Run(25 * loop.Second)
			if n := count(g.calls[before:], "/machines/delete"); (n > 0) != (c.want > 0) {
				t.Fatalf("%d deletions asked for, want %d", n, c.want)
			}
		})
	}
}

// Copies of a machine's reports keep coming after it has died, to a leader that remembers
// nothing newer. None shows what the machine was told: it is given up all the same.
func TestCopiesOfADeadMachinesReports(t *testing.T) {
	g := newRig(t, 4)
	g.Run(3 * loop.Second)
	g.hear("n-900000", "x")
	for k := range 60 {
		g.hear("n-900001", "x") // its neighbour lives
		if g.Run(500 * loop.Millisecond); k%3 == 0 {
			g.a.ApplyView(&agent.View{Name: "n-900000", Addr: "n-900000", Type: "m8", Zone: "x", Host: "b", Session: 1, Seq: uint64(g.Now()), Tasks: g.runs})
		}
		if gone := g.a.IsDeleted("n-900000"); gone && k < 20 || !gone && k > 44 { // a lease of 10 s, and 9 s and a call
			t.Fatalf("after %d ms the machine is gone %v", 500*k, gone)
		}
	}
}

// A stockout must not be asked again and again by the same misses, and once there
// is room again no more is rented than is missed.
func TestStockoutBacksOffAndOrdersOnce(t *testing.T) {
	g := newRig(t, 0)
	tally := func() {
		g.t.Tally("b", peer.Tally{Wall: g.Now(), Wants: []peer.Want{{CPUs: 2, MemoryGB: 1, AnyType: true, Spot: true, Count: 8}}})
	}
	for range 60 {
		tally()
		g.Run(500 * loop.Millisecond)
	}
	if n := count(g.calls, "POST /machines"); n < 4 || n > 24 {
		t.Fatalf("%d requests in 30 s of stockout", n)
	}
	g.cloud.Left["x"] = 10
	for range 100 {
		tally() // nobody is heard yet: what was rented is on its way
		g.Run(100 * loop.Millisecond)
		if len(g.ups) > 0 {
			break
		}
	}
	for range 30 {
		tally()
		g.Run(100 * loop.Millisecond)
	}
	if len(g.ups) != 2 {
		t.Fatalf("%d machines of 8 CPUs rented for 8 tasks of 2", len(g.ups))
	}
}

// An empty machine goes back after its standby, and only after its host closed it.
func TestIdleMachineIsClosedThenDeleted(t *testing.T) {
	g := newRig(t, 4)
	var closed []peer.Close
	g.t.n.Close = func(_ string, c peer.Close) { closed = append(closed, c) }
	g.Run(3 * loop.Second)
	seen := false
	for range 4000 {
		v := &agent.View{Name: "n-900000", Type: "m8", Zone: "x", Host: "b", Session: 1, Seq: uint64(g.Now()), TokenConfirmed: true, MadeAfter: g.Now()}
		v.ClosedToStarts = len(closed) > 0 && seen
		seen = len(closed) > 0
		g.a.ApplyView(v)
		g.Run(500 * loop.Millisecond)
		if g.a.IsDeleted("n-900000") {
			break
		}
	}
	if len(closed) == 0 || !g.a.IsDeleted("n-900000") {
		t.Fatalf("closed %d times, gone %v", len(closed), g.a.IsDeleted("n-900000"))
	}
}

// Records of deletions are swept after a while, and a machine that is met again is
// proven deleted again, so that nothing recorded on it waits for ever.
func TestDeletionsAreSweptAndProvenAgain(t *testing.T) {
	g := newRig(t, 4)
	g.Run(3 * loop.Second)
	g.hear("n-900000", "x")
	g.Run(25 * loop.Second) // silent from now on
	if !g.a.IsDeleted("n-900000") || len(g.t.m.KeysUnder(GoneKeys)) != 1 {
		t.Fatalf("gone %v, records %v", g.a.IsDeleted("n-900000"), g.t.m.KeysUnder(GoneKeys))
	}
	g.Run(keepGone + 120*loop.Second)
	if n := len(g.t.m.KeysUnder(GoneKeys)); n != 0 || g.a.IsDeleted("n-900000") {
		t.Fatalf("%d records are left, gone %v", n, g.a.IsDeleted("n-900000"))
	}
	for range 80 {
		g.t.Tally("b", peer.Tally{Wall: g.Now(), Suspect: []string{"n-900000"}})
		g.Run(500 * loop.Millisecond)
	}
	if !g.a.IsDeleted("n-900000") {
		t.Fatal("a suspect machine was not proven deleted again")
	}
}

// Calls are few: what proves tasks off goes first, and nothing waits for ever.
func TestWhatTheNextCallIsFor(t *testing.T) {
	const s = loop.Second
	usual := agenda{now: 1000 * s, listed: true, listAt: 998 * s, catAt: 990 * s, listEvery: 5 * s}
	for _, c := range []struct {
		name string
		set  func(a *agenda)
		want duty
	}{
		{"no catalog", func(a *agenda) { a.catAt, a.lost = 0, 5 }, readCatalog},
		{"no list yet", func(a *agenda) { a.listed, a.order = false, true }, readList},
		{"the lost before an order", func(a *agenda) { a.lost, a.order = 1, true }, deleteLost},
		{"an order before a list that is due", func(a *agenda) { a.order, a.listAt = true, 994*s }, sendOrder},
		{"a list that was put off before the lost", func(a *agenda) { a.lost, a.order, a.listAt = 100, true, 980*s }, readList},
		{"an order before idle machines", func(a *agenda) { a.order, a.idle, a.idleSince = true, 9, 990*s }, sendOrder},
		{"idle machines after several orders", func(a *agenda) { a.order, a.idle, a.idleSince, a.streak = true, 9, 990*s, mostStreak }, giveBack},
		{"idle machines gather", func(a *agenda) { a.idle, a.idleSince = 9, 1000*s-gathering+1 }, plan},
		{"and go together", func(a *agenda) { a.idle, a.idleSince = 9, 1000*s-gathering }, giveBack},
		{"a full call of them does not wait", func(a *agenda) { a.idle, a.idleSince = mostDeleted, 1000*s }, giveBack},
		{"an old catalog", func(a *agenda) { a.catAt = 900 * s }, readCatalog},
		{"nothing waits", func(*agenda) {}, plan},
	} {
		a := usual
		c.set(&a)
		if got := a.first(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// While many machines are in doubt, nothing is rented for what they have free: when they
// come back, it would be a second fleet.
func TestNothingIsRentedForMachinesInDoubt(t *testing.T) {
	for _, c := range []struct {
		word loss.Word
		want bool
	}{{loss.Mute, false}, {loss.NoWay, true}} {
		g := newRig(t, 40)
		g.word, g.t.cfg.Operator.OrdinaryStandbyMeanS = c.word, 1e6
		g.Run(3 * loop.Second)
		hear := func(from, to int) {
			for i := from; i < to; i++ {
				name := fmt.Sprintf("n-9%05d", i)
				g.hear(name, "x")
				if i >= 10 {
					g.words[name] = loss.Answered
				}
			}
		}
		hear(0, 20)
		for range 12 { // ten of them fall silent
			hear(10, 20)
			g.Run(500 * loop.Millisecond)
		}
		for range 6 {
			hear(10, 20)
			g.t.Tally("b", peer.Tally{Wall: g.Now(), Wants: []peer.Want{{CPUs: 8, MemoryGB: 1, AnyType: true, Count: 10}}})
			g.Run(500 * loop.Millisecond)
		}
		if rented := len(g.ups) > 0; rented != c.want {
			t.Errorf("asking them brings back %v: %d machines are rented for ten misses", c.word, len(g.ups))
		}
	}
}

// A leader that begins during a zone's cut gives the machines there, which it has never
// heard, as long as one that heard them before would.
func TestNewLeaderDuringACut(t *testing.T) {
	for _, cut := range []bool{false, true} {
		g := newRig(t, 4)
		g.unheard = cut
		var got wire.Names
		r := g.cloud.Do("POST", "/machines", wire.Marshal(wire.Rent{Request: "before", Type: "m8", Zone: "x", Count: 3}), 0)
		if err := wire.Unmarshal(r.Body, &got); err != nil || len(got.Machines) != 3 {
			t.Fatal("nothing to rent")
		}
		g.Run(17 * loop.Second) // lease 10 s, and 3 s
		if n := len(g.deleted); (n == 0) != cut {
			t.Errorf("cut %v: %d of 3 machines are deleted after 17 s", cut, n)
		}
		g.Run(12 * loop.Second)
		if n := len(g.deleted); n != 3 {
			t.Errorf("cut %v: %d of 3 machines are deleted after 29 s", cut, n)
		}
	}
}

// What a deletion gives back can be rented at once. With the refusals from before, a deployment
// whose machines had all been given up rented nothing for 40 s.
func TestDeletionsEndRefusals(t *testing.T) {
	g := newRig(t, 0)
	delete(g.cloud.Left, "y")
	g.runs = []agent.Task{{Task: "job-1/0", Attempt: 1, State: wire.TaskRunning}}
	g.Run(3 * loop.Second)
	var got wire.Names
	g.cloud.Left["x"] = 1
	if r := g.cloud.Do("POST", "/machines", wire.Marshal(wire.Rent{Request: "before", Type: "m8", Zone: "x", Count: 1}), 0); wire.Unmarshal(r.Body, &got) != nil || len(got.Machines) != 1 {
		t.Fatal("nothing to rent")
	}
	name, gone := got.Machines[0], loop.Micros(0)
	g.ups = nil
	for k := range 1000 {
		if k < 600 {
			g.hear(name, "x") // for 60 s; until then there is nothing to rent beside it
		}
		g.t.Tally("b", peer.Tally{Wall: g.Now(), Wants: []peer.Want{{CPUs: 8, MemoryGB: 1, AnyType: true, Count: 1}}})
		g.Run(100 * loop.Millisecond)
		if gone == 0 && len(g.deleted) > 0 {
			gone = g.Now()
		}
		if len(g.ups) > 0 {
			if took := g.Now() - gone; gone == 0 || took > 2*loop.Second {
				t.Fatalf("rented %d us after the deletion at %d", took, gone)
			}
			return
		}
	}
	t.Fatalf("nothing is rented; deleted at %d", gone)
}
