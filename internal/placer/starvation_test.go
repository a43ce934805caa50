package placer

import (
	"testing"

	"cleatpick/internal/agent"
	"cleatpick/internal/config"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
)

// A task as large as a machine waits beside small ones that take whatever falls free. From the
// stated age on room is held for it, no small task takes that, and it begins; the claim is used
// up by that, or goes when its job is over. Another owner that was told of the claim lets go
// of it once the machine shows the task.
func TestRoomIsHeldForWhatFitsNowhere(t *testing.T) {
	g := newRig(100, config.Team{Name: "red", CPUs: 8}, config.Team{Name: "blue"})
	small := g.job(1, job.Spec{Team: "red", Priority: job.Normal, Tasks: 9000, CPUs: 2, AnyType: true, Estimate: loop.Second})
	whole := g.job(2, job.Spec{Team: "blue", Priority: job.Low, Tasks: 1, CPUs: 8, AnyType: true, Estimate: loop.Second})
	g.seq = 1
	end := func(d loop.Micros, until func() bool) { // what runs on the machine ends a second after it began, one at a time
		for stop := g.Now() + d; g.Now() < stop && !until(); {
			var on []agent.Task
			for _, s := range g.starts {
				on = append(on, agent.Task{Task: s.Task, Attempt: s.Attempt, State: wire.TaskRunning})
			}
			if len(on) >= 4 {
				on[0].State, on[0].Why = wire.TaskExited, wire.WhyDone
			}
			g.show("n-001", "m8", "x", false, on...)
			g.Run(300 * loop.Millisecond)
			if len(on) > 0 && on[0].State == wire.TaskExited {
				g.starts = g.starts[1:]
			}
		}
	}
	began := func() bool {
		for _, s := range g.starts {
			if id, _, _ := agent.SplitTask(s.Task); id == whole {
				return true
			}
		}
		return false
	}
	accepted := g.Now()
	end(70*loop.Second, began)
	if began() || g.p.fleet.Held(whole) != 0 {
		t.Fatalf("before its time: begun %v, %d held", began(), g.p.fleet.Held(whole))
	}
	end(20*loop.Second, func() bool { return g.p.fleet.Held(whole) > 0 })
	other := g.p.fleet.Slot("n-001")
	if g.p.fleet.Held(whole) != 1 || len(other.Claims) != 1 {
		t.Fatalf("%d held, claims %+v", g.p.fleet.Held(whole), other.Claims)
	}
	if f, ok := g.p.Facts(whole, nil, true); !ok || f.Held != 1 {
		t.Errorf("an explanation is told of %+v", f)
	}
	for k := 0; !began() && k < 40; k++ { // the small ones end, and none takes their place
		var on []agent.Task
		for _, s := range g.starts[min(len(g.starts), k/4+1):] {
			on = append(on, agent.Task{Task: s.Task, Attempt: s.Attempt, State: wire.TaskRunning})
		}
		g.show("n-001", "m8", "x", false, on...)
		g.Run(300 * loop.Millisecond)
	}
	if !began() || g.Now()-accepted > 120*loop.Second || g.p.fleet.Held(whole) != 0 {
		t.Errorf("begun %v after %d us, %d still held", began(), g.Now()-accepted, g.p.fleet.Held(whole))
	}
	// As at another owner: told of a claim, it sees the task come, or the job end.
	claim := peer.Reservation{Machine: "n-001", Job: small, Priority: 3, CPUs: 2, Until: g.Wall() + 20*loop.Second}
	g.show("n-001", "m8", "x", false)
	g.Run(loop.Second)
	g.p.LearnClaims([]peer.Reservation{claim, claim})
	g.show("n-001", "m8", "x", false, agent.Task{Task: small + "/8999", Attempt: 1, State: wire.TaskRunning})
	g.p.fleet.Refresh()
	if n := g.p.fleet.Held(small); n != 1 {
		t.Errorf("%d of two claims are left once one task is there", n)
	}
	rec := job.Record{Phase: job.Withdrawn, At: 1, Tasks: 9000}
	g.mirror.Apply(job.Keys+small, wire.Marshal(rec), g.state.Put(job.Keys+small, rec), false)
	if n := g.p.fleet.Held(small); n != 0 {
		t.Errorf("%d claims are left of a job that is over", n)
	}
}
