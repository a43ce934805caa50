package fleet

import (
	"io"
	"log/slog"
	"testing"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/fake"
	"cleatpick/internal/peer"
	"cleatpick/internal/workers"
)

// A controller that has just started must not give away capacity that is reserved for the job that has waited
// longest; a gang, or a task as large as a machine, would never start. Reservations used to be sent to the
// peers once, when they were made: a controller that started later did not know them, and one that had not
// yet received a report of the machine dropped them. Owners now send them to peers that do not know them, and
// a controller keeps those for machines that have not reported yet.
//
// TestNothingStarvesUnderControllerCrashes showed it with seed 100: capacity for four tasks of 4 CPUs is reserved on
// n-000002 and n-000003 for job-003055 at 301.587 s; a controller that has just started owns the team red at 303.169 s;
// n-000003 has 4 CPUs free at 304.447 s and none at 305.084 s, after four starts of that team (job-000925, job-000928),
// and so on until the reservations expire at 321.6 s.
func TestReservationsReachNewControllers(t *testing.T) {
	clock := fake.NewRunner(1000 * eventloop.Second)
	newFleet := func() *Fleet {
		return New(clock, slog.New(slog.NewTextHandler(io.Discard, nil)), Dependencies{Label: "a"})
	}
	machine := func(name string) *workers.View { return &workers.View{Name: name, Type: "m8"} }
	owner := newFleet()
	owner.UpdateView(machine("n-1"), clock.Now(), false)
	owner.UpdateView(machine("n-2"), clock.Now(), false)
	until := clock.Wall() + 20*eventloop.Second
	for _, name := range []string{"n-1", "n-2", "n-2"} {
		owner.AddReservation(peer.Reservation{Machine: name, Job: "job-1", Priority: 3, CPUs: 4, MemoryGB: 2, Until: until})
	}
	owner.AddReservation(peer.Reservation{Machine: "n-1", Job: "job-2", Priority: 3, CPUs: 1, Until: until})
	owned := owner.ReservationsOf(func(job string) bool { return job == "job-1" })
	if len(owned) != 3 {
		t.Fatalf("%d reservations of job-1 are listed for peers, want 3: %+v", len(owned), owned)
	}
	later := newFleet()
	later.UpdateView(machine("n-1"), clock.Now(), false)
	for _, c := range owned {
		later.AddReservation(c)
	}
	if got := later.ReservationCount("job-1"); got != 1 {
		t.Errorf("%d reservations are in force before the first report of n-2, want 1", got)
	}
	later.UpdateView(machine("n-2"), clock.Now(), false)
	if got, want := later.ReservationsOf(func(string) bool { return true }), owned; len(got) != len(want) || got[2].CPUs != 4 || got[2].Until != until {
		t.Errorf("reservations %+v, want %+v", got, want)
	}
	last := newFleet()
	for _, c := range owned {
		last.AddReservation(c)
	}
	clock.Advance(20 * eventloop.Second)
	last.ExpireReservations()
	last.UpdateView(machine("n-2"), clock.Now(), false)
	if got := last.ReservationCount("job-1"); got != 0 || len(last.pendingReservations) != 0 {
		t.Errorf("%d reservations are in force after their expiry, %d are kept for unreported machines; want none", got, len(last.pendingReservations))
	}
}
