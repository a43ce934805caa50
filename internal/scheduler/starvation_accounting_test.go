package scheduler

import (
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/peer"
	"cleatpick/internal/starvation"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// firstClass returns which of two classes the starvation budget serves first, if a job of each has waited equally long.
func firstClass(g *rig, a, b string) string {
	now := g.Now()
	g.scheduler.starvation.Accrue(now, 1000)
	g.scheduler.starvation.Accrue(now+eventloop.Second, 1000)
	old := now - 2*starvation.MinWait
	waiters := []starvation.Waiter{{ID: "job-1", Class: a, AcceptedAt: old, LastServedAt: old, Tasks: 1, CPUs: 1}, {ID: "job-2", Class: b, AcceptedAt: old, LastServedAt: old, Tasks: 1, CPUs: 1}}
	return waiters[g.scheduler.starvation.Pick(now, waiters)[0].Index].Class
}

// busyMachine delivers a view of a machine whose 8 CPUs are in use by tasks of another owner.
func busyMachine(g *rig, name string) {
	id := g.acceptJob(90, job.Spec{Class: "k", Team: "green", Tasks: 800, CPUs: 1, MemoryGB: 1, AnyType: true})
	var on []workers.Task
	for i := range 8 {
		on = append(on, workers.Task{Task: workers.TaskName(id, i), Attempt: 1, State: wire.TaskRunning})
	}
	g.deliverView(name, "m8", "x", false, on...)
}

// A new owner continues the accounting of the starvation budget: class a has been served, class b has not.
func TestAccountingSurvivesOwnerChange(t *testing.T) {
	g := newRig(1000, config.Team{Name: "red", CPUs: 16})
	g.acceptJob(1, job.Spec{Class: "a", Team: "red", Tasks: 10, CPUs: 2, MemoryGB: 1, AnyType: true, Estimate: eventloop.Second})
	g.deliverView("n-001", "m8", "x", false)
	g.Advance(2 * eventloop.Second)
	part := g.scheduler.teams["red"].partition
	g.scheduler.starvation = starvation.New() // as at a controller that has just started
	g.scheduler.OwnershipChanged(part.id, false, part.claim)
	g.scheduler.OwnershipChanged(part.id, true, part.claim)
	g.Advance(2 * eventloop.Second)
	if got, want := firstClass(g, "red\x00a", "red\x00b"), "red\x00b"; got != want {
		t.Errorf("%q is served first, want %q", got, want)
	}
}

// What a class gets in the order of service counts in the accounting of the starvation budget.
func TestOrderedStartsCountInAccounting(t *testing.T) {
	g := newRig(1000, config.Team{Name: "red", CPUs: 16})
	if got := firstClass(g, "red\x00a", "red\x00b"); got != "red\x00a" {
		t.Fatalf("%q is served first at the beginning", got)
	}
	g.acceptJob(1, job.Spec{Class: "a", Team: "red", Tasks: 1, CPUs: 2, MemoryGB: 1, AnyType: true, Estimate: eventloop.Second})
	g.deliverView("n-001", "m8", "x", false)
	g.Advance(eventloop.Second)
	if got := firstClass(g, "red\x00a", "red\x00b"); got != "red\x00b" {
		t.Errorf("%q is served first after a start of class a", got)
	}
}

// A gang that needs more than all machines together does not keep other jobs from being served.
func TestUnplaceableGangDoesNotBlockOthers(t *testing.T) {
	g := newRig(1000, config.Team{Name: "red"}, config.Team{Name: "blue", CPUs: 8})
	busyMachine(g, "n-001")
	g.Advance(eventloop.Second)
	gang := g.acceptJob(1, job.Spec{Class: "a", Team: "red", Priority: job.Low, Tasks: 4, CPUs: 8, MemoryGB: 1, AnyType: true, Gang: true, Estimate: eventloop.Second})
	large := g.acceptJob(2, job.Spec{Class: "b", Team: "red", Priority: job.Low, Tasks: 1, CPUs: 8, MemoryGB: 1, AnyType: true, Estimate: eventloop.Second})
	held := func() bool { return g.scheduler.fleet.ReservationCount(large) > 0 }
	wait := func(d eventloop.Micros, until func() bool) bool {
		for end := g.Now() + d; g.Now() < end && !until(); {
			g.scheduler.turnover.Rate = 5 // as in a small cluster that is always full: less is saved up than one task takes
			busyMachine(g, "n-001")
			g.Advance(300 * eventloop.Millisecond)
		}
		return until()
	}
	if !wait(100*eventloop.Second, held) || g.scheduler.fleet.ReservationCount(gang) > 0 {
		t.Fatalf("capacity is reserved for the task as large as a machine: %v, for tasks of the gang: %d", held(), g.scheduler.fleet.ReservationCount(gang))
	}
	if got := g.scheduler.teams["red"].jobs[large].reservedCPUs; got != 8 {
		t.Errorf("%v CPUs are reserved out of order, want 8", got)
	}
}

// A class is refunded for reserved capacity that was not used, and not for the part that was.
func TestUnusedReservationIsRefunded(t *testing.T) {
	g := newRig(1000, config.Team{Name: "red", CPUs: 8})
	id := g.acceptJob(1, job.Spec{Class: "a", Team: "red", Tasks: 4, CPUs: 2, MemoryGB: 1, AnyType: true, Estimate: eventloop.Second})
	x := g.scheduler.teams["red"].jobs[id]
	for _, c := range []struct {
		used  int
		first string
	}{{0, "red\x00a"}, {4, "red\x00b"}} {
		g.scheduler.starvation = starvation.New()
		firstClass(g, "red\x00a", "red\x00b")
		g.scheduler.starvation.Spend("red\x00a", 8)
		x.reservedCPUs, x.reservedClass = 8, "red\x00a"
		x.useReserved(c.used)
		g.scheduler.refundReserved(x)
		if got := firstClass(g, "red\x00a", "red\x00b"); got != c.first || x.reservedCPUs != 0 {
			t.Errorf("%q is served first after %d of 4 tasks used the reserved capacity, want %q; %v CPUs are still reserved", got, c.used, c.first, x.reservedCPUs)
		}
	}
}

// Capacity reserved for any job of a team counts toward the team's guarantee.
func TestReservationsCountInTheGuarantee(t *testing.T) {
	g := newRig(1000, config.Team{Name: "red", CPUs: 16}, config.Team{Name: "blue", CPUs: 16})
	id := g.acceptJob(1, job.Spec{Class: "k", Team: "blue", Priority: job.Low, Tasks: 1000, CPUs: 1, MemoryGB: 1, AnyType: true, Estimate: eventloop.Second})
	other := g.acceptJob(2, job.Spec{Class: "k", Team: "blue", Priority: job.Low, Tasks: 1000, CPUs: 2, MemoryGB: 1, AnyType: true, Estimate: eventloop.Second})
	busyMachine(g, "n-001")
	busyMachine(g, "n-002")
	g.Advance(eventloop.Second)
	g.scheduler.fleet.Refresh()
	need := g.scheduler.teams["blue"].jobs[other].need()
	if n := len(g.scheduler.fleet.Reserve(&need, 4, reservationLife)); n != 4 {
		t.Fatalf("capacity is reserved for %d tasks, want 4", n)
	}
	tm := g.scheduler.teams["blue"]
	tm.cpus, g.scheduler.teams["red"].cpus, tm.shortfall.lacks = 5, 40, true
	x := tm.jobs[id]
	x.acceptedAt = g.Now() - 80*eventloop.Second
	g.scheduler.reserveGuarantee(&queueEntry{table: x}, 1000, &budget{unmetByTeam: map[*team]float64{}})
	if got := g.scheduler.fleet.ReservationCount(id); got != 3 { // 16 less 5 and 8
		t.Errorf("capacity is reserved for %d tasks, want 3, the CPUs left of the guarantee", got)
	}
}

// Capacity reserved by preemption counts toward a job's share of the guarantee.
func TestReservationsCountInTheShare(t *testing.T) {
	g := newRig(1000, config.Team{Name: "red", CPUs: 16})
	id := g.acceptJob(1, job.Spec{Class: "k", Team: "red", Priority: job.High, Tasks: 100, CPUs: 2, MemoryGB: 1, AnyType: true, Estimate: eventloop.Second})
	busyMachine(g, "n-001")
	g.Advance(eventloop.Second)
	x := g.scheduler.teams["red"].jobs[id]
	before := g.scheduler.fleet.ReservationCount(id)
	for held := before; held <= 9; held++ {
		right := g.scheduler.preemptionRight(&queueEntry{table: x}, &budget{})
		if want := 8 - held; right.InTeamShareTasks != want || right.TeamBelowGuaranteeTasks != want || right.InTeamShare != (want > 0) {
			t.Errorf("with reservations for %d tasks: share %v of %d, room of %d, want %d", held, right.InTeamShare, right.InTeamShareTasks, right.TeamBelowGuaranteeTasks, want)
		}
		g.scheduler.fleet.AddReservation(peer.Reservation{Machine: "n-001", Job: id, Priority: 3, CPUs: 2, Until: g.Wall() + 20*eventloop.Second})
	}
}
