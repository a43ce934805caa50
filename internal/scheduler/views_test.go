package scheduler

import (
	"strings"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/membership"
	"cleatpick/internal/metric"
	"cleatpick/internal/partition"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// deliverViewOf delivers a view from one incarnation of the host controller. If confirmed, the machine shows the effect
// of all commands to it.
func (g *rig) deliverViewOf(incarnation eventloop.Micros, session uint64, confirmed bool, tasks ...workers.Task) {
	g.seq++
	g.workers.ApplyView(&workers.View{Name: "n-001", Type: "m8", Zone: "x", Host: "b", Incarnation: incarnation, Session: session, Seq: g.seq, TokenConfirmed: confirmed, MadeAfter: g.Now(), Tasks: tasks})
}

// A refusal confirms that a start will not run only if the incarnation that refuses is the only one that ever
// received the start. A host controller that restarted at once used to refuse, for lack of capacity or contact, a
// start that its earlier incarnation had passed on just before. A delayed refusal of the earlier incarnation used to
// arrive after the start was sent to the new one.
func TestRefusalOfAnotherIncarnation(t *testing.T) {
	for _, c := range []struct {
		name      string
		moved     bool             // the host controller's new incarnation is known, and the start is sent to it
		refusedBy eventloop.Micros // incarnation that refuses
		frees     bool
	}{{"the only incarnation that has the start", false, 1, true}, {"an incarnation that never had the start", false, 2, false},
		{"the earlier of two incarnations", true, 1, false}, {"the later of two incarnations", true, 2, false}} {
		g := newRig(100, config.Team{Name: "red", CPUs: 8, CPUsMax: 8})
		g.deliverViewOf(1, 1, true)
		g.acceptJob(1, job.Spec{Team: "red", Tasks: 1, CPUs: 2, AnyType: true, Estimate: eventloop.Second})
		g.Advance(500 * eventloop.Millisecond)
		if len(g.starts) != 1 || g.starts[0].Incarnation != 1 {
			t.Fatalf("%s: started %+v, want one start for incarnation 1", c.name, g.starts)
		}
		if c.moved {
			g.deliverViewOf(2, 1, true)
			g.Advance(1500 * eventloop.Millisecond)
			if n := len(g.starts); n < 2 || g.starts[n-1].Incarnation != 2 {
				t.Fatalf("%s: the start is not sent to the new incarnation: %+v", c.name, g.starts)
			}
		}
		s := g.starts[0]
		before := len(g.starts)
		g.scheduler.StartRejected("b", workers.Rejection{Machine: s.Machine, Task: s.Task, Attempt: s.Attempt, Why: "full", Incarnation: c.refusedBy})
		g.Advance(2 * eventloop.Second)
		freed := len(g.starts) > before && g.starts[len(g.starts)-1].Attempt > s.Attempt
		if freed != c.frees {
			t.Errorf("%s: placed again: %v, want %v", c.name, freed, c.frees)
		}
	}
}

// A machine whose reports arrive but show no effect of commands receives no starts. Its tasks run again once its
// session is over, and not before.
func TestUnresponsiveMachineGetsNoStarts(t *testing.T) {
	g := newRig(100, config.Team{Name: "red", CPUs: 8, CPUsMax: 8})
	for range 4 { // it reports without effect to one controller after another
		g.deliverViewOf(1, 1, false)
		g.Advance(eventloop.Second)
	}
	g.acceptJob(1, job.Spec{Team: "red", Tasks: 2, CPUs: 2, AnyType: true, Estimate: eventloop.Second})
	g.Advance(2 * eventloop.Second)
	if len(g.starts) != 0 {
		t.Fatalf("%d starts are sent to a machine that is unresponsive to commands", len(g.starts))
	}
	g.deliverViewOf(1, 1, true)
	g.Advance(eventloop.Second)
	if len(g.starts) != 2 {
		t.Fatalf("%d starts once the machine responds to commands, want 2", len(g.starts))
	}
	g.starts = nil
	on := []workers.Task{{Task: "job-000001/0", Attempt: 1, State: "running"}, {Task: "job-000001/1", Attempt: 1, State: "running"}}
	g.deliverViewOf(1, 1, true, on...)
	g.Advance(eventloop.Second)
	for range 10 {
		g.deliverViewOf(1, 1, false, on...)
		g.Advance(eventloop.Second)
	}
	g.deliverView("n-002", "m8", "x", false)
	g.Advance(eventloop.Second)
	if len(g.starts) != 0 {
		t.Fatalf("tasks started again while the old session may last: %+v", g.starts)
	}
	g.seq = 1000
	g.deliverViewOf(1, 2, false) // the lease of the old session expired
	g.Advance(eventloop.Second)
	if len(g.starts) != 2 || g.starts[0].Machine != "n-002" {
		t.Fatalf("after the end of the session %+v, want both tasks on n-002", g.starts)
	}
}

// A view of a higher session is no evidence if it may have been made before the start: a copy of a report from before the
// worker restarted in a lower session. It once ended tasks that ran. A task that was started in a higher session than the
// machine shows counts as gone once the list is certainly newer than its start; it once counted as in use for ever.
func TestViewOfAnotherSessionIsEvidenceOnlyIfMadeAfterTheStart(t *testing.T) {
	for _, c := range []struct {
		name             string
		started, shown   uint64
		confirmed, older bool // the token is confirmed; the view was made before the start
		ends             bool
	}{
		{"a higher session, made before the start", 1, 2, true, true, false},
		{"a higher session, made after the start", 1, 2, false, false, true},
		{"a lower session, made before the start", 2, 1, true, true, false},
		{"a lower session, token not confirmed", 2, 1, false, false, false},
		{"a lower session, made after the start", 2, 1, true, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newRig(100, config.Team{Name: "red", CPUs: 8, CPUsMax: 8})
			g.deliverViewOf(1, c.started, true)
			g.acceptJob(1, job.Spec{Team: "red", Tasks: 1, CPUs: 2, AnyType: true, Estimate: eventloop.Second})
			before := g.Now()
			g.Advance(15 * eventloop.Second)
			sent := len(g.starts)
			madeAfter := g.Now()
			if c.older {
				madeAfter = before
			}
			// The host controller knows nothing of the machine's other sessions.
			g.workers.MarkDeleted("n-001")
			g.workers.ForgetDeleted([]string{"n-001"})
			for range 3 {
				g.seq++
				g.workers.ApplyView(&workers.View{Name: "n-001", Type: "m8", Zone: "x", Host: "b", Incarnation: 2, Session: c.shown, Seq: g.seq, TokenConfirmed: c.confirmed, MadeAfter: madeAfter})
				g.Advance(eventloop.Second)
			}
			g.deliverView("n-002", "m8", "x", false)
			g.Advance(eventloop.Second)
			if ended := len(g.starts) > sent; ended != c.ends {
				t.Errorf("the task is started again: %v, want %v; starts %+v", ended, c.ends, g.starts)
			}
		})
	}
}

// A delayed report lists a task from before an earlier owner had it forgotten, and no later report lists it. The
// present owner never sees the task end; it once counted the task as running for ever.
func TestTaskThatVanishesBeforeAnyReport(t *testing.T) {
	g := newRig(100, config.Team{Name: "red", CPUs: 8, CPUsMax: 8})
	id := g.acceptJob(1, job.Spec{Class: "k", Team: "red", Tasks: 1, CPUs: 2, MemoryGB: 1, Image: "i", AnyType: true, Estimate: 60 * eventloop.Second})
	other := workers.Task{Task: workers.TaskName(g.acceptJob(2, job.Spec{Class: "k", Team: "blue", Tasks: 1, CPUs: 1, AnyType: true}), 0), Attempt: 1, State: wire.TaskRunning}
	g.scheduler.OwnershipChanged(partition.ForTeam("red"), false, membership.Owner{})
	g.state.Put(segmentKey("x/red/", 0), segmentRecord{Machines: []machineEntry{{Name: "n-001", Zone: "x"}},
		Jobs: []jobEntry{{ID: id, Tasks: []taskEntry{{Index: 0, State: storedPlaced, Attempt: 2, Machine: 1, Session: 1, Expiry: g.Now() - 60*eventloop.Second}}}}})
	mark := g.state.Put("c/t/red", map[string]any{"n": "a", "e": 2})
	g.scheduler.OwnershipChanged(partition.ForTeam("red"), true, membership.Owner{Node: "a", Epoch: 2, Revision: mark})
	g.Advance(eventloop.Second)
	heldBack := workers.Task{Task: workers.TaskName(id, 0), Attempt: 2, State: wire.TaskRunning}
	g.deliverViewOf(1, 1, false, heldBack, other)
	g.Advance(eventloop.Second)
	for range 3 {
		g.deliverViewOf(1, 1, true, other)
		g.Advance(eventloop.Second)
	}
	if len(g.starts) == 0 || g.starts[0].Attempt != 3 {
		t.Fatalf("started %+v, want attempt 3 of the task that is on no machine", g.starts)
	}
}

// A view that lists an attempt as active after its termination was confirmed is counted once, and not again before the
// attempt changes. One whose report came before the owner had read the records is not counted.
func TestReappearedAttemptIsCounted(t *testing.T) {
	g := newRig(100, config.Team{Name: "red", CPUs: 8, CPUsMax: 8})
	g.scheduler.deps.Meter = metric.New()
	g.deliverViewOf(1, 1, true)
	g.acceptJob(1, job.Spec{Team: "red", Tasks: 1, CPUs: 2, AnyType: true, Estimate: eventloop.Second})
	g.Advance(500 * eventloop.Millisecond)
	listed := func(reportedAt eventloop.Micros, state, why string) {
		g.seq++
		g.workers.ApplyView(&workers.View{Name: "n-001", Type: "m8", Zone: "x", Host: "b", Incarnation: 1, Session: 1, Seq: g.seq, TokenConfirmed: true, MadeAfter: reportedAt,
			ReportedAt: reportedAt, Tasks: []workers.Task{{Task: "job-000001/0", Attempt: 1, State: state, Why: why}}})
		g.Advance(500 * eventloop.Millisecond)
	}
	listed(g.Now(), wire.TaskRunning, "")
	listed(g.Now(), wire.TaskExited, wire.WhyStopped)
	if len(g.starts) < 2 || g.starts[len(g.starts)-1].Attempt != 2 {
		t.Fatalf("started %+v, want a second attempt", g.starts)
	}
	counted := func() bool {
		text, err := g.scheduler.deps.Meter.Text()
		if err != nil {
			t.Fatal(err)
		}
		return strings.Contains(string(text), "cleatpick_reappeared_attempts_total 1\n")
	}
	if counted() {
		t.Fatal("an attempt counts as reappeared that is listed as exited")
	}
	if listed(g.scheduler.teams["red"].loadedAt, wire.TaskRunning, ""); counted() {
		t.Fatal("an attempt counts as reappeared by a report from before the records were read")
	}
	listed(g.Now(), wire.TaskExited, wire.WhyStopped)
	for range 2 {
		if listed(g.Now(), wire.TaskRunning, ""); !counted() {
			t.Fatal("an attempt that is active after its termination was confirmed is not counted once")
		}
	}
}
