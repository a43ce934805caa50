package fleet

import (
	"io"
	"log/slog"
	"testing"

	"cleatpick/internal/agent"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
	"cleatpick/internal/standin"
)

// What happens: a controller that has just begun gives room away that is held for work which has waited
// for longest, so that a gang or a task as large as a machine never begins.
//
// Why: claims were told to the peers once, when they were made; a controller that began later did not
// know them, and one that had not heard the machine yet dropped them.
//
// What showed it: TestNothingStarvesWhereNodesEnd, seed 100: at 301.587 s room for four tasks of 4 CPUs is
// held on n-000002 and n-000003 for job-003055; at 303.169 s a controller that has just begun owns the
// team red; n-000003 has 4 CPUs free at 304.447 s and none at 305.084 s, after four starts of that team
// (job-000925, job-000928), and so on until the claims end at 321.6 s.
func TestClaimsOutliveTheControllersThatWereTold(t *testing.T) {
	clock := standin.NewStepped(1000 * loop.Second)
	begin := func() *Fleet { return New(clock, slog.New(slog.NewTextHandler(io.Discard, nil)), Node{Label: "a"}) }
	machine := func(name string) *agent.View { return &agent.View{Name: name, Type: "m8"} }
	owner := begin()
	owner.View(machine("n-1"), clock.Now(), false)
	owner.View(machine("n-2"), clock.Now(), false)
	until := clock.Wall() + 20*loop.Second
	for _, name := range []string{"n-1", "n-2", "n-2"} {
		owner.AddClaim(peer.Reservation{Machine: name, Job: "job-1", Priority: 3, CPUs: 4, MemoryGB: 2, Until: until})
	}
	owner.AddClaim(peer.Reservation{Machine: "n-1", Job: "job-2", Priority: 3, CPUs: 1, Until: until})
	owned := owner.ClaimsOf(func(job string) bool { return job == "job-1" })
	if len(owned) != 3 {
		t.Fatalf("%d claims of job-1 are told, want 3: %+v", len(owned), owned)
	}
	later := begin()
	later.View(machine("n-1"), clock.Now(), false)
	for _, c := range owned {
		later.AddClaim(c)
	}
	if got := later.Held("job-1"); got != 1 {
		t.Errorf("%d claims count before n-2 is heard, want 1", got)
	}
	later.View(machine("n-2"), clock.Now(), false)
	if got, want := later.ClaimsOf(func(string) bool { return true }), owned; len(got) != len(want) || got[2].CPUs != 4 || got[2].Until != until {
		t.Errorf("claims %+v, want %+v", got, want)
	}
	last := begin()
	for _, c := range owned {
		last.AddClaim(c)
	}
	clock.Run(20 * loop.Second)
	last.ExpireClaims()
	last.View(machine("n-2"), clock.Now(), false)
	if got := last.Held("job-1"); got != 0 || len(last.early) != 0 {
		t.Errorf("%d claims count after their time, %d are kept", got, len(last.early))
	}
}
