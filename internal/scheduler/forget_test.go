package scheduler

import (
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/cordon"
	"cleatpick/internal/delivery"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/membership"
	"cleatpick/internal/partition"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// forgetRig has one machine that lists an ended attempt. It records when the attempt's owner asks the machine to
// forget it.
type forgetRig struct {
	*rig
	askedAt eventloop.Micros // when attempt 1 was first asked to be forgotten; 0: never
}

func newForgetRig() *forgetRig {
	g := &forgetRig{rig: newRig(100, config.Team{Name: "red", CPUs: 8, CPUsMax: 8})}
	g.onStop = func(s workers.Stop) {
		if s.Forget && s.Attempt == 1 && g.askedAt == 0 {
			g.askedAt = g.Now()
		}
	}
	g.deliverView("n-001", "m8", "x", false)
	return g
}

func attemptOne(state, why string) workers.Task {
	return workers.Task{Task: "job-000001/0", Attempt: 1, State: state, Why: why}
}

// showFor reports the ended attempt repeatedly for the given time.
func (g *forgetRig) showFor(d eventloop.Micros) {
	for end := g.Now() + d; g.Now() < end; {
		g.deliverView("n-001", "m8", "x", false, attemptOne(wire.TaskExited, wire.WhyStopped))
		g.Advance(5 * eventloop.Millisecond)
	}
}

func (g *forgetRig) checkAsked(t *testing.T, expiry eventloop.Micros) {
	t.Helper()
	switch {
	case g.askedAt == 0:
		t.Fatal("the machine is never asked to forget the attempt")
	case g.askedAt <= expiry+delivery.AnswerLifetime:
		t.Fatalf("the machine is asked to forget the attempt %d ms before a start of it can no longer arrive", (expiry+delivery.AnswerLifetime-g.askedAt)/1000)
	}
}

// When an ended attempt may be forgotten depends on the expiry of its own start and never on the next attempt's
// state: the next attempt has no expiry while its machine is chosen, and loses it again when its record is withdrawn.
// Forgetting too early would let a delayed start run the task again.
func TestForgetWaitsForItsOwnAttempt(t *testing.T) {
	for _, c := range []struct {
		name string
		next func(g *forgetRig) // what happens to the next attempt
	}{
		{"the next attempt is being recorded", func(*forgetRig) {}},
		{"the next attempt's reservation is refused", func(g *forgetRig) {
			g.Advance(90 * eventloop.Millisecond) // its machine is chosen, and it is not recorded yet
			g.scheduler.StartRejected("b", workers.Rejection{Machine: "n-001", Task: "job-000001/0", Attempt: 2, Why: "full", OnlyReservation: true})
		}},
		{"the next attempt's record is withdrawn", func(g *forgetRig) {
			g.Advance(90 * eventloop.Millisecond)
			g.scheduler.cordons.Put(cordon.Cordon{Name: "c", Machine: "n-001"}, func(cordon.Outcome) {})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newForgetRig()
			g.acceptJob(1, job.Spec{Class: "k", Team: "red", Tasks: 1, CPUs: 2, MemoryGB: 1, Image: "i", AnyType: true, Estimate: 60 * eventloop.Second})
			g.Advance(500 * eventloop.Millisecond) // starts that no view shows by then are sent again
			if len(g.starts) != 1 {
				t.Fatalf("got %d starts, want one", len(g.starts))
			}
			expiry := g.starts[0].Expiry
			g.deliverView("n-001", "m8", "x", false, attemptOne(wire.TaskRunning, ""))
			g.Advance(20 * eventloop.Millisecond)
			g.deliverView("n-001", "m8", "x", false, attemptOne(wire.TaskExited, wire.WhyStopped))
			c.next(g)
			g.showFor(15 * eventloop.Second)
			g.checkAsked(t, expiry)
		})
	}
	t.Run("another owner started it", forgetAsTheNextOwner)
}

// forgetAsTheNextOwner checks that a new owner waits long enough, too. From the records it learns that an attempt
// exists but not when its start expires, only that it was recorded before the records were read.
func forgetAsTheNextOwner(t *testing.T) {
	g := newForgetRig()
	g.scheduler.deps.Reserve = func(host string, s workers.Start) {
		g.scheduler.StartRejected(host, workers.Rejection{Machine: s.Machine, Task: s.Task, Attempt: s.Attempt, Why: "full", OnlyReservation: true})
	}
	id := g.acceptJob(1, job.Spec{Class: "k", Team: "red", Tasks: 1, CPUs: 2, MemoryGB: 1, Image: "i", AnyType: true, Estimate: 60 * eventloop.Second})
	g.scheduler.OwnershipChanged(partition.ForTeam("red"), false, membership.Owner{})
	g.state.Put(segmentKey("x/red/", 0), segmentRecord{Machines: []machineEntry{}, Jobs: []jobEntry{{ID: id, Tasks: []taskEntry{{Index: 0, State: storedTerminated, Attempt: 1}}}}})
	mark := g.state.Put("c/t/red", map[string]any{"n": "a", "e": 2})
	g.scheduler.OwnershipChanged(partition.ForTeam("red"), true, membership.Owner{Node: "a", Epoch: 2, Revision: mark})
	latest := g.Now() + eventloop.Seconds(g.scheduler.cfg.Operator.StartLifetimeS)
	g.showFor(20 * eventloop.Second)
	g.checkAsked(t, latest)
}
