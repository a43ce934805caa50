package partition

import (
	"fmt"
	"slices"
	"testing"
)

func teams(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint("team-", i))
	}
	return out
}

// In each layout every team must belong to exactly one partition, and no two partitions may
// share a claim key or a log prefix: their owners would overwrite each other's records.
func TestEveryTeamHasOnePartition(t *testing.T) {
	all := teams(300)
	for _, l := range []Layout{{}, {Count: 2}, {Count: 16}} {
		var covered []string
		claims, logs := map[string]bool{}, map[string]bool{}
		for _, id := range l.All(all) {
			members := l.Teams(id, all)
			covered = append(covered, members...)
			for _, team := range members {
				if l.Of(team) != id {
					t.Fatalf("%+v: %s is listed in %s and belongs to %s", l, team, id, l.Of(team))
				}
			}
			if FromClaimKey(id.ClaimKey()) != id || claims[id.ClaimKey()] || logs[id.LogPrefix()] {
				t.Fatalf("%+v: the claim key or the log prefix of %s is not unique or does not map back to it", l, id)
			}
			claims[id.ClaimKey()], logs[id.LogPrefix()] = true, true
		}
		slices.Sort(covered)
		if want := slices.Sorted(slices.Values(all)); !slices.Equal(covered, want) {
			t.Fatalf("%+v covers %d of %d teams", l, len(covered), len(want))
		}
	}
}

// Keys are stored for the lifetime of a cluster: a version that computed other keys or another
// mapping of teams would not find the claims and task logs of the version before.
func TestStoredKeysAreStable(t *testing.T) {
	l := Layout{Count: 16}
	got := []string{ForTeam("red").ClaimKey(), ForTeam("red").LogPrefix(), string(l.Of("red")), l.Of("red").ClaimKey(), l.Of("red").LogPrefix(), string(l.Of("blue")), LayoutKey}
	want := []string{"c/t/red", "x/red/", "p/0010", "c/p/0010", "p/0010/", "p/0007", "c/partitions"}
	if !slices.Equal(got, want) {
		t.Fatalf("keys are %q, want %q", got, want)
	}
}

// Numbered partitions are needed only where there are more teams than partitions; a cluster
// with few teams must keep the team layout.
func TestFewTeamsNeedNoNumberedPartitions(t *testing.T) {
	if Needed(5, 3) || Needed(6, 3) || !Needed(7, 3) || !Needed(300, 8) {
		t.Fatal("Needed is wrong at or near its bound of two teams for each controller")
	}
}
