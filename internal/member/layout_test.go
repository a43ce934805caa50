package member

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	"cleatpick/internal/loop"
	"cleatpick/internal/partition"
	"cleatpick/internal/standin"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

func manyTeams(n int) []string {
	var teams []string
	for i := range n {
		teams = append(teams, fmt.Sprintf("team-%03d", i))
	}
	return teams
}

// startWithTeams returns a controller of a cluster with the given numbers of controllers and teams;
// older makes it behave like a version that only knows claims of single teams.
func startWithTeams(s *standin.Runner, state *standin.StateService, label string, controllers, teams int, older bool) *Member {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	x := &stateConn{state: state}
	c := store.NewClient(s, x, log, 1000, 1000, 1)
	m := store.NewMirror(c, x, Prefix)
	b := New(s, c, m, log, Settings{Label: label, Teams: manyTeams(teams), Controllers: controllers, LeaseTTL: 4 * loop.Second, TeamsOnly: older})
	b.Start()
	m.Start()
	return b
}

// Controllers that start together must end up with about the same number of partitions each,
// with few changes in the state service on the way.
func TestPartitionsAreClaimedEvenly(t *testing.T) {
	s := standin.NewRunner(100 * loop.Second)
	state := standin.NewStateService(func() loop.Micros { return s.Now() })
	var all []*Member
	for i := range 8 {
		all = append(all, startWithTeams(s, state, fmt.Sprint("n", i), 8, 300, false))
	}
	s.Advance(6 * loop.Second)
	for _, b := range all {
		if n := len(b.owned); n < 1 || n > 4 {
			t.Errorf("%s holds %d of 17 claims (16 partitions and the leadership), want 1 to 4", b.Label, n)
		}
	}
	if n := len(state.Keys(partition.ClaimPrefix)); n != 16 {
		t.Errorf("%d of 16 partitions are claimed, want all", n)
	}
	if w := state.Counts().Writes; w > 150 {
		t.Errorf("it took %d changes until everything was owned, want at most 150", w)
	}
}

// While a controller of an older version is registered, all must claim single teams, because
// that version knows nothing else. Once it is replaced the layout must become numbered on
// all controllers, and no team may remain claimed as a single team.
func TestLayoutWaitsForOlderVersions(t *testing.T) {
	s := standin.NewRunner(100 * loop.Second)
	state := standin.NewStateService(func() loop.Micros { return s.Now() })
	a := startWithTeams(s, state, "a", 2, 12, false)
	old := startWithTeams(s, state, "b", 2, 12, true)
	s.Advance(90 * loop.Second)
	if a.Layout().Numbered() || len(state.Keys(partition.ClaimPrefix)) > 0 {
		t.Fatal("the layout became numbered while an older version is registered")
	}
	if n := len(state.Keys(partition.TeamClaimPrefix)); n != 12 {
		t.Fatalf("%d of 12 teams are owned, want all", n)
	}
	old.state = Starting // its process stops
	state.Do("DELETE", fmt.Sprint("/holds/", old.lease), nil, 0)
	old.lease = 0
	b := startWithTeams(s, state, "b", 2, 12, false)
	s.Advance(20 * loop.Second)
	if !a.Layout().Numbered() || a.Layout() != b.Layout() {
		t.Fatalf("the layouts of a and b are %+v and %+v, want the same numbered one", a.Layout(), b.Layout())
	}
	for _, team := range a.Teams {
		if rec, _, held := a.claimRecord(teamKeys + team); held && rec.Partition == "" {
			t.Errorf("%s is still claimed as a single team by %s", team, rec.Node)
		}
		if o, ok := a.TeamOwner(team); !ok || o.Node == "" {
			t.Errorf("%s has no owner", team)
		}
	}
}

// A team that a controller of an older version holds must not be assigned to a partition, nor
// one whose partition is not owned under the given claim any more.
func TestHeldTeamsAreNotAssigned(t *testing.T) {
	s := standin.NewRunner(100 * loop.Second)
	state := standin.NewStateService(func() loop.Micros { return s.Now() })
	a := startWithTeams(s, state, "a", 1, 12, false)
	s.Advance(6 * loop.Second)
	team := a.Teams[4]
	id := a.Layout().Of(team)
	claim, mine := a.owned[id.ClaimKey()]
	if !mine {
		t.Fatal("a does not own the partition of the team")
	}
	held := ownerRecord{Node: "older", Epoch: 9}
	state.Put(teamKeys+team, held)
	assign := func(claim Owner) (ok bool) {
		a.Assign(id, claim, []string{team}, func(done bool) { ok = done })
		s.Advance(loop.Second)
		return ok
	}
	if assign(claim) {
		t.Error("a team that another controller holds was assigned")
	}
	raw, _ := state.Value(teamKeys + team)
	var rec ownerRecord
	if wire.Unmarshal(raw, &rec) != nil || rec != held {
		t.Errorf("the claim of the team has changed to %+v", rec)
	}
	other := a.Teams[5]
	claim.Revision--
	a.Assign(a.Layout().Of(other), claim, []string{other}, func(ok bool) {
		if ok {
			t.Error("a team was assigned under a claim that is not held any more")
		}
	})
	s.Advance(loop.Second)
	if a.Assigned(other) {
		t.Error("Assigned is true for a team whose assignment failed")
	}
}

// While the stored layout is corrupt, no controller may claim a partition or a team: it would
// have to guess the layout in force.
func TestCorruptLayout(t *testing.T) {
	s := standin.NewRunner(100 * loop.Second)
	state := standin.NewStateService(func() loop.Micros { return s.Now() })
	state.Put(partition.LayoutKey, "nonsense")
	a := startWithTeams(s, state, "a", 1, 12, false)
	s.Advance(20 * loop.Second)
	if n := len(state.Keys(partition.ClaimPrefix)) + len(state.Keys(partition.TeamClaimPrefix)); n > 0 || a.Layout().Numbered() {
		t.Errorf("%d partitions or teams are claimed, want none and no numbered layout", n)
	}
}
