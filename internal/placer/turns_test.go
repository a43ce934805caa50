package placer

import (
	"testing"

	"cleatpick/internal/agent"
	"cleatpick/internal/config"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
	"cleatpick/internal/starvation"
	"cleatpick/internal/wire"
)

// firstClass tells which of two classes the reserve serves first, both with a job that has waited as long.
func firstClass(g *rig, a, b string) string {
	now := g.Now()
	g.p.reserve.Earn(now, 1000)
	g.p.reserve.Earn(now+loop.Second, 1000)
	old := now - 2*starvation.After
	waiters := []starvation.Waiter{{ID: "job-1", Class: a, At: old, Since: old, Tasks: 1, CPUs: 1}, {ID: "job-2", Class: b, At: old, Since: old, Tasks: 1, CPUs: 1}}
	return waiters[g.p.reserve.Pick(now, waiters)[0].At].Class
}

// busyMachine shows a machine whose 8 CPUs are in use by somebody else.
func busyMachine(g *rig, name string) {
	id := g.job(90, job.Spec{Class: "k", Team: "green", Tasks: 800, CPUs: 1, MemoryGB: 1, AnyType: true})
	var on []agent.Task
	for i := range 8 {
		on = append(on, agent.Task{Task: agent.TaskName(id, i), Attempt: 1, State: wire.TaskRunning})
	}
	g.show(name, "m8", "x", false, on...)
}

// A new owner lets the turns go on where they were: class a has got something, b nothing.
func TestTurnsOutliveTheirOwner(t *testing.T) {
	g := newRig(1000, config.Team{Name: "red", CPUs: 16})
	g.job(1, job.Spec{Class: "a", Team: "red", Tasks: 10, CPUs: 2, MemoryGB: 1, AnyType: true, Estimate: loop.Second})
	g.show("n-001", "m8", "x", false)
	g.Run(2 * loop.Second)
	part := g.p.teams["red"].part
	g.p.reserve = starvation.New() // as at a controller that begins
	g.p.Owned(part.id, false, part.claim)
	g.p.Owned(part.id, true, part.claim)
	g.Run(2 * loop.Second)
	if got, want := firstClass(g, "red\x00a", "red\x00b"), "red\x00b"; got != want {
		t.Errorf("%q goes first, want %q", got, want)
	}
}

// What a class gets in the ordinary order counts among its turns.
func TestOrdinaryStartsCountAmongTurns(t *testing.T) {
	g := newRig(1000, config.Team{Name: "red", CPUs: 16})
	if got := firstClass(g, "red\x00a", "red\x00b"); got != "red\x00a" {
		t.Fatalf("%q goes first at the beginning", got)
	}
	g.job(1, job.Spec{Class: "a", Team: "red", Tasks: 1, CPUs: 2, MemoryGB: 1, AnyType: true, Estimate: loop.Second})
	g.show("n-001", "m8", "x", false)
	g.Run(loop.Second)
	if got := firstClass(g, "red\x00a", "red\x00b"); got != "red\x00b" {
		t.Errorf("%q goes first after a start of class a", got)
	}
}

// A gang that is larger than all machines keeps nobody else from its turn.
func TestVainHolds(t *testing.T) {
	g := newRig(1000, config.Team{Name: "red"}, config.Team{Name: "blue", CPUs: 8})
	busyMachine(g, "n-001")
	g.Run(loop.Second)
	vain := g.job(1, job.Spec{Class: "a", Team: "red", Priority: job.Low, Tasks: 4, CPUs: 8, MemoryGB: 1, AnyType: true, Gang: true, Estimate: loop.Second})
	whole := g.job(2, job.Spec{Class: "b", Team: "red", Priority: job.Low, Tasks: 1, CPUs: 8, MemoryGB: 1, AnyType: true, Estimate: loop.Second})
	held := func() bool { return g.p.fleet.Held(whole) > 0 }
	wait := func(d loop.Micros, until func() bool) bool {
		for end := g.Now() + d; g.Now() < end && !until(); {
			g.p.turn.Rate = 5 // as on a small fleet that is in use throughout: less is saved up than a task takes
			busyMachine(g, "n-001")
			g.Run(300 * loop.Millisecond)
		}
		return until()
	}
	if !wait(100*loop.Second, held) || g.p.fleet.Held(vain) > 0 {
		t.Fatalf("room is held for the task as large as a machine: %v, for a part of the gang: %d", held(), g.p.fleet.Held(vain))
	}
	if got := g.p.teams["red"].jobs[whole].heldCPUs; got != 8 {
		t.Errorf("%v CPUs are held before their turn, want 8", got)
	}
}

// Room that was held and came to nothing gives its class the turn again; what was taken of it does not.
func TestRefund(t *testing.T) {
	g := newRig(1000, config.Team{Name: "red", CPUs: 8})
	id := g.job(1, job.Spec{Class: "a", Team: "red", Tasks: 4, CPUs: 2, MemoryGB: 1, AnyType: true, Estimate: loop.Second})
	x := g.p.teams["red"].jobs[id]
	for _, c := range []struct {
		used  int
		first string
	}{{0, "red\x00a"}, {4, "red\x00b"}} {
		g.p.reserve = starvation.New()
		firstClass(g, "red\x00a", "red\x00b")
		g.p.reserve.Spend("red\x00a", 8)
		x.heldCPUs, x.heldFor = 8, "red\x00a"
		x.useHeld(c.used)
		g.p.refundHeld(x)
		if got := firstClass(g, "red\x00a", "red\x00b"); got != c.first || x.heldCPUs != 0 {
			t.Errorf("%q goes first after %d of 4 tasks took what was held, want %q; %v CPUs are still held", got, c.used, c.first, x.heldCPUs)
		}
	}
}

// What is held for a team counts as part of its guarantee, for whichever of its jobs.
func TestHeldRoomCountsInTheGuarantee(t *testing.T) {
	g := newRig(1000, config.Team{Name: "red", CPUs: 16}, config.Team{Name: "blue", CPUs: 16})
	id := g.job(1, job.Spec{Class: "k", Team: "blue", Priority: job.Low, Tasks: 1000, CPUs: 1, MemoryGB: 1, AnyType: true, Estimate: loop.Second})
	other := g.job(2, job.Spec{Class: "k", Team: "blue", Priority: job.Low, Tasks: 1000, CPUs: 2, MemoryGB: 1, AnyType: true, Estimate: loop.Second})
	busyMachine(g, "n-001")
	busyMachine(g, "n-002")
	g.Run(loop.Second)
	g.p.fleet.Refresh()
	need := g.p.teams["blue"].jobs[other].need()
	if n := len(g.p.fleet.Hold(&need, 4, holdLife)); n != 4 {
		t.Fatalf("room is held for %d tasks, want 4", n)
	}
	tm := g.p.teams["blue"]
	tm.cpus, g.p.teams["red"].cpus, tm.short.lacks = 5, 40, true
	x := tm.jobs[id]
	x.at = g.Now() - 80*loop.Second
	g.p.holdGuaranteed(&entryOf{t: x}, 1000, &budget{unmet: map[*team]float64{}})
	if got := g.p.fleet.Held(id); got != 3 { // 16 less 5 and 8
		t.Errorf("room is held for %d tasks, 3 CPUs are left of the guarantee", got)
	}
}

// Room that is being made counts as part of a share.
func TestRoomBeingMadeCountsInTheShare(t *testing.T) {
	g := newRig(1000, config.Team{Name: "red", CPUs: 16})
	id := g.job(1, job.Spec{Class: "k", Team: "red", Priority: job.High, Tasks: 100, CPUs: 2, MemoryGB: 1, AnyType: true, Estimate: loop.Second})
	busyMachine(g, "n-001")
	g.Run(loop.Second)
	x := g.p.teams["red"].jobs[id]
	before := g.p.fleet.Held(id)
	for held := before; held <= 9; held++ {
		right := g.p.right(&entryOf{t: x}, &budget{})
		if want := 8 - held; right.ShareTasks != want || right.RoomTasks != want || right.Share != (want > 0) {
			t.Errorf("with room for %d tasks being made: share %v of %d, room of %d, want %d", held, right.Share, right.ShareTasks, right.RoomTasks, want)
		}
		g.p.fleet.AddClaim(peer.Reservation{Machine: "n-001", Job: id, Priority: 3, CPUs: 2, Until: g.Wall() + 20*loop.Second})
	}
}
