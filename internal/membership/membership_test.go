package membership

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/fake"
	"cleatpick/internal/partition"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// stateConn is a connection to the state service that a test can turn off; it counts the leases
// that are ended explicitly.
type stateConn struct {
	state     *fake.StateService
	leaseEnds int
	off       bool
	// hold selects transactions that get no answer and are kept in held, to be executed late; it may be nil.
	hold func(body []byte) bool
	held [][]byte
}

func (x *stateConn) Do(method, path string, body []byte, d time.Duration) store.Response {
	if x.off {
		return store.Response{Status: 503}
	}
	if method == "DELETE" {
		x.leaseEnds++
	}
	if path == "/multi" && x.hold != nil && x.hold(body) {
		x.held = append(x.held, slices.Clone(body))
		return store.Response{Err: errors.New("no answer")}
	}
	return x.state.Do(method, path, body, d)
}

func startMember(s *fake.Runner, x *stateConn, label string) *Member {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	c := store.NewClient(s, x, log, 1000, 1000, 1)
	m := store.NewMirror(c, x, Prefix)
	b := New(s, c, m, log, Settings{Label: label, Teams: []string{"red", "blue"}, Controllers: 3, LeaseTTL: 4 * eventloop.Second})
	b.Start()
	m.Start()
	return b
}

func owners(b *Member) (red, blue string) {
	r, _ := b.TeamOwner("red")
	u, _ := b.TeamOwner("blue")
	return r.Node, u.Node
}

// A controller that alone cannot reach the state service must lose what it owns: when its
// lease cannot be renewed it must not consider itself an owner, and after it has rejoined it
// must not consider itself the owner of what another has claimed.
func TestControllerWithoutStateServiceLosesTeams(t *testing.T) {
	s := fake.NewRunner(100 * eventloop.Second)
	state := fake.NewStateService(func() eventloop.Micros { return s.Now() })
	xa, xb := &stateConn{state: state}, &stateConn{state: state}
	a := startMember(s, xa, "a")
	s.Advance(3 * eventloop.Second)
	if r, u := owners(a); r != "a" || u != "a" {
		t.Fatalf("the only controller a does not own both teams: red is owned by %q, blue by %q", r, u)
	}
	b := startMember(s, xb, "b")
	s.Advance(2 * eventloop.Second)
	xa.off = true
	s.Advance(10 * eventloop.Second)
	if r, u := owners(b); r != "b" || u != "b" {
		t.Fatalf("b did not take the teams over: red is owned by %q, blue by %q", r, u)
	}
	if a.LeaseValid() {
		t.Fatal("a considers its lease valid although it could not renew it")
	}
	xa.off = false
	s.Advance(10 * eventloop.Second)
	if _, mine := a.owned[teamKeys+"red"]; mine || !a.Active() {
		t.Fatalf("a is active: %v, want true; a considers itself the owner of red: %v, want false", a.Active(), mine)
	}
}

// A packet filter refuses connections just as a stopped controller does. If every refusal
// ended the lease of the controller behind it, its teams would never have an owner; its
// lease must be ended only once within evictInterval.
func TestEvictionIsNotRepeated(t *testing.T) {
	s := fake.NewRunner(100 * eventloop.Second)
	state := fake.NewStateService(func() eventloop.Micros { return s.Now() })
	xa, xb := &stateConn{state: state}, &stateConn{state: state}
	a := startMember(s, xa, "a")
	b := startMember(s, xb, "b")
	s.Advance(3 * eventloop.Second)
	for range 40 {
		a.Evict("b")
		s.Advance(500 * eventloop.Millisecond)
	}
	if xa.leaseEnds != 1 {
		t.Fatalf("the lease was ended %d times in 20 s, want once", xa.leaseEnds)
	}
	if !b.Active() {
		t.Fatal("the evicted controller did not join again")
	}
}

// A controller that reaches no peer must hand its partitions over to one that others reach.
func TestIsolatedControllerHandsOver(t *testing.T) {
	s := fake.NewRunner(100 * eventloop.Second)
	state := fake.NewStateService(func() eventloop.Micros { return s.Now() })
	a := startMember(s, &stateConn{state: state}, "a")
	s.Advance(3 * eventloop.Second)
	b := startMember(s, &stateConn{state: state}, "b")
	s.Advance(2 * eventloop.Second)
	a.Isolated = func() bool { return true }
	s.Advance(3 * eventloop.Second)
	if r, u := owners(b); r != "b" || u != "b" {
		t.Fatalf("the teams did not move to b: red is owned by %q, blue by %q", r, u)
	}
}

// Where no controller reaches another, several owners would each see a part of the machines
// only: the leader must become the owner of all teams.
func TestLeaderOwnsAllWhenAllAreIsolated(t *testing.T) {
	s := fake.NewRunner(100 * eventloop.Second)
	state := fake.NewStateService(func() eventloop.Micros { return s.Now() })
	var all []*Member
	for _, label := range []string{"a", "b", "c"} {
		all = append(all, startMember(s, &stateConn{state: state}, label))
	}
	s.Advance(5 * eventloop.Second)
	for _, b := range all {
		b.Isolated = func() bool { return true }
	}
	s.Advance(12 * eventloop.Second)
	o, ok := all[0].Leader()
	red, blue := owners(all[0])
	if !ok || red != o.Node || blue != o.Node {
		t.Fatalf("the leader is %q, red is owned by %q, blue by %q; want all the same", o.Node, red, blue)
	}
	for _, b := range all {
		b.Isolated = func() bool { return false }
	}
	s.Advance(3 * eventloop.Second)
	if all[0].AllIsolated() {
		t.Fatal("AllIsolated is still true after the controllers reach each other again")
	}
}

// A controller that joins while another owns everything must get a share, the team with less
// work, but only once it is fit for work; after that, no team may move any more.
func TestRebalanceAfterJoin(t *testing.T) {
	s := fake.NewRunner(100 * eventloop.Second)
	state := fake.NewStateService(func() eventloop.Micros { return s.Now() })
	a := startMember(s, &stateConn{state: state}, "a")
	a.Weight = func(id partition.ID) int { return map[partition.ID]int{"t/red": 9, "t/blue": 2}[id] }
	fit := false
	a.Fit = func(string) bool { return fit }
	s.Advance(3 * eventloop.Second)
	b := startMember(s, &stateConn{state: state}, "b")
	b.Fit = func(string) bool { return true }
	s.Advance(20 * eventloop.Second)
	if r, u := owners(b); r != "a" || u != "a" {
		t.Fatalf("teams moved to a controller that is not fit: red is owned by %q, blue by %q", r, u)
	}
	fit = true
	s.Advance(12 * eventloop.Second)
	if r, u := owners(a); r != "a" || u != "b" {
		t.Fatalf("red is owned by %q and blue by %q, want a and b", r, u)
	}
	before, _ := a.TeamOwner("blue")
	s.Advance(60 * eventloop.Second)
	if now, _ := b.TeamOwner("blue"); now != before {
		t.Fatalf("blue moved again: its owner is %+v, before %+v", now, before)
	}
}

// A team that only another controller's settings name, as while settings are being changed
// on one after another, must become known as foreign once that controller owns it.
func TestForeignTeam(t *testing.T) {
	s := fake.NewRunner(100 * eventloop.Second)
	state := fake.NewStateService(func() eventloop.Micros { return s.Now() })
	a, b := startMember(s, &stateConn{state: state}, "a"), startMember(s, &stateConn{state: state}, "b")
	b.Teams = append(b.Teams, "guest")
	s.Advance(5 * eventloop.Second)
	if o, _ := a.TeamOwner("guest"); o.Node != "b" || !a.Foreign("guest") || a.Foreign("red") || b.Foreign("guest") {
		t.Fatalf("guest is owned by %q; foreign to a: %v", o.Node, a.Foreign("guest"))
	}
}

// A registration sent by an earlier incarnation may be applied after the new incarnation has
// registered, and vanishes with the earlier lease. The controller must register again, or
// the others would not count it though it runs.
func TestLateRegistrationOfEarlierIncarnation(t *testing.T) {
	s := fake.NewRunner(100 * eventloop.Second)
	state := fake.NewStateService(func() eventloop.Micros { return s.Now() })
	b := startMember(s, &stateConn{state: state}, "b")
	a := startMember(s, &stateConn{state: state}, "a")
	s.Advance(3 * eventloop.Second)
	if b.RegisteredCount() != 2 {
		t.Fatalf("%d controllers are registered, want 2", b.RegisteredCount())
	}
	old := state.Do("POST", "/holds", wire.Marshal(wire.Lease{TTLms: 4000}), 0)
	var l wire.Lease
	if err := wire.Unmarshal(old.Body, &l); err != nil {
		t.Fatal(err)
	}
	late := wire.Txn{If: []wire.Cond{}, Then: []wire.Change{{Put: nodeKeys + "a", Value: nodeRecord{Epoch: 1, Lease: l.ID}, Lease: l.ID}}}
	if r := state.Do("POST", "/multi", wire.Marshal(late), 0); r.Status != 200 {
		t.Fatalf("the late registration is answered with status %d, want 200", r.Status)
	}
	s.Advance(8 * eventloop.Second)
	if b.RegisteredCount() != 2 || b.nodes["a"].Lease != a.Lease() || !a.LeaseValid() {
		t.Fatalf("%d controllers are registered, want 2; a is registered with lease %d and holds lease %d", b.RegisteredCount(), b.nodes["a"].Lease, a.Lease())
	}
}

// Guards against a controller that counts as isolated for good: a registration that is executed late replaces a newer
// one, which the controller believed to be stored.
func TestLateRegistrationIsReplaced(t *testing.T) {
	s := fake.NewRunner(100 * eventloop.Second)
	state := fake.NewStateService(func() eventloop.Micros { return s.Now() })
	xa := &stateConn{state: state}
	a := startMember(s, xa, "a")
	s.Advance(3 * eventloop.Second)
	b := startMember(s, &stateConn{state: state}, "b")
	s.Advance(2 * eventloop.Second)
	isolated := true
	a.Isolated = func() bool { return isolated }
	xa.hold = func(body []byte) bool { return len(xa.held) == 0 && bytes.Contains(body, []byte(nodeKeys+"a")) }
	s.Advance(3 * eventloop.Second)
	if len(xa.held) != 1 || !b.nodes["a"].Isolated {
		t.Fatalf("%d registrations got no answer, want 1; a is registered as isolated: %v, want true", len(xa.held), b.nodes["a"].Isolated)
	}
	isolated = false
	s.Advance(3 * eventloop.Second)
	if b.nodes["a"].Isolated {
		t.Fatal("a is registered as isolated although it reaches its peers")
	}
	if resp := state.Do("POST", "/multi", xa.held[0], 0); resp.Status != 200 {
		t.Fatalf("the late registration was answered %d, want 200", resp.Status)
	}
	s.Advance(3 * eventloop.Second)
	if b.nodes["a"].Isolated {
		t.Error("the late registration was not replaced: a counts as isolated although it reaches its peers")
	}
}
