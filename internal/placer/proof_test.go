package placer

import (
	"testing"

	"cleatpick/internal/agent"
	"cleatpick/internal/config"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/member"
	"cleatpick/internal/partition"
	"cleatpick/internal/wire"
)

// tell lets a machine be heard from one life of its host; settled: it shows what it was told.
func (g *rig) tell(life loop.Micros, session uint64, settled bool, tasks ...agent.Task) {
	g.seq++
	g.a.ApplyView(&agent.View{Name: "n-001", Type: "m8", Zone: "x", Host: "b", Incarnation: life, Session: session, Seq: g.seq, TokenConfirmed: settled, MadeAfter: g.Now(), Tasks: tasks})
}

// A refusal proves a start off only where the life of the host that refuses is the only one
// that ever had it. A host that was ended and was back at once refused, for want of room or
// contact, what its earlier life had passed on a moment before; and a refusal of that life,
// held back on its way, came after the start was given to the new one.
func TestRefusalOfAnotherLife(t *testing.T) {
	for _, c := range []struct {
		name  string
		moved bool        // the host's new life is heard of, and the start sent there
		says  loop.Micros // which life refuses
		frees bool
	}{{"the life that has it", false, 1, true}, {"a life that never had it", false, 2, false},
		{"the earlier of two", true, 1, false}, {"the later of two", true, 2, false}} {
		g := newRig(100, config.Team{Name: "red", CPUs: 8, CPUsMax: 8})
		g.tell(1, 1, true)
		g.job(1, job.Spec{Team: "red", Tasks: 1, CPUs: 2, AnyType: true, Estimate: loop.Second})
		g.Run(500 * loop.Millisecond)
		if len(g.starts) != 1 || g.starts[0].Incarnation != 1 {
			t.Fatalf("%s: started %+v, want one start for life 1", c.name, g.starts)
		}
		if c.moved {
			g.tell(2, 1, true)
			g.Run(1500 * loop.Millisecond)
			if n := len(g.starts); n < 2 || g.starts[n-1].Incarnation != 2 {
				t.Fatalf("%s: the start is not sent to the new life: %+v", c.name, g.starts)
			}
		}
		s := g.starts[0]
		before := len(g.starts)
		g.p.Drop("b", agent.Rejection{Machine: s.Machine, Task: s.Task, Attempt: s.Attempt, Why: "full", Incarnation: c.says})
		g.Run(2 * loop.Second)
		freed := len(g.starts) > before && g.starts[len(g.starts)-1].Attempt > s.Attempt
		if freed != c.frees {
			t.Errorf("%s: placed again %v, want %v", c.name, freed, c.frees)
		}
	}
}

// A machine whose reports come and show nothing of what it was told is offered nothing, and
// what ran on it runs again once its session is over, and not before.
func TestDeafMachineIsOfferedNothing(t *testing.T) {
	g := newRig(100, config.Team{Name: "red", CPUs: 8, CPUsMax: 8})
	for range 4 { // it reports in vain, at one node after another
		g.tell(1, 1, false)
		g.Run(loop.Second)
	}
	g.job(1, job.Spec{Team: "red", Tasks: 2, CPUs: 2, AnyType: true, Estimate: loop.Second})
	g.Run(2 * loop.Second)
	if len(g.starts) != 0 {
		t.Fatalf("%d starts are sent to a machine that shows none of what it is told", len(g.starts))
	}
	g.tell(1, 1, true)
	g.Run(loop.Second)
	if len(g.starts) != 2 {
		t.Fatalf("%d starts once it hears, want 2", len(g.starts))
	}
	g.starts = nil
	on := []agent.Task{{Task: "job-000001/0", Attempt: 1, State: "running"}, {Task: "job-000001/1", Attempt: 1, State: "running"}}
	g.tell(1, 1, true, on...)
	g.Run(loop.Second)
	for range 10 {
		g.tell(1, 1, false, on...)
		g.Run(loop.Second)
	}
	g.show("n-002", "m8", "x", false)
	g.Run(loop.Second)
	if len(g.starts) != 0 {
		t.Fatalf("started again while the session may last: %+v", g.starts)
	}
	g.seq = 1000
	g.tell(1, 2, false) // its lease ran out
	g.Run(loop.Second)
	if len(g.starts) != 2 || g.starts[0].Machine != "n-002" {
		t.Fatalf("after its session %+v, want both tasks on n-002", g.starts)
	}
}

// A task is listed by a report that was held back, from before an earlier owner had it forgotten,
// and by no list after. Its owner, which never sees it end, once took it for running for ever.
func TestTaskThatVanishesUnseen(t *testing.T) {
	g := newRig(100, config.Team{Name: "red", CPUs: 8, CPUsMax: 8})
	id := g.job(1, job.Spec{Class: "k", Team: "red", Tasks: 1, CPUs: 2, MemoryGB: 1, Image: "i", AnyType: true, Estimate: 60 * loop.Second})
	other := agent.Task{Task: agent.TaskName(g.job(2, job.Spec{Class: "k", Team: "blue", Tasks: 1, CPUs: 1, AnyType: true}), 0), Attempt: 1, State: wire.TaskRunning}
	g.p.Owned(partition.ForTeam("red"), false, member.Owner{})
	g.state.Put(segmentKey("x/red/", 0), segmentRecord{Machines: []machineEntry{{Name: "n-001", Zone: "x"}},
		Jobs: []jobEntry{{ID: id, Tasks: []taskEntry{{Index: 0, State: storedPlaced, Attempt: 2, Machine: 1, Session: 1, Expiry: g.Now() - 60*loop.Second}}}}})
	mark := g.state.Put("c/t/red", map[string]any{"n": "a", "e": 2})
	g.p.Owned(partition.ForTeam("red"), true, member.Owner{Node: "a", Epoch: 2, Mark: mark})
	g.Run(loop.Second)
	heldBack := agent.Task{Task: agent.TaskName(id, 0), Attempt: 2, State: wire.TaskRunning}
	g.tell(1, 1, false, heldBack, other)
	g.Run(loop.Second)
	for range 3 {
		g.tell(1, 1, true, other)
		g.Run(loop.Second)
	}
	if len(g.starts) == 0 || g.starts[0].Attempt != 3 {
		t.Fatalf("started %+v, want attempt 3 of the task that is on no machine", g.starts)
	}
}
