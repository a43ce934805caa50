package placer

import (
	"testing"

	"cleatpick/internal/agent"
	"cleatpick/internal/config"
	"cleatpick/internal/cordon"
	"cleatpick/internal/delivery"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/member"
	"cleatpick/internal/partition"
	"cleatpick/internal/wire"
)

// forgetRig has one machine that shows an ended attempt, and keeps when its owner asks for that
// to be forgotten.
type forgetRig struct {
	*rig
	asked loop.Micros // when a forget of attempt 1 was first asked for; 0: never
}

func newForgetRig() *forgetRig {
	g := &forgetRig{rig: newRig(100, config.Team{Name: "red", CPUs: 8, CPUsMax: 8})}
	g.onStop = func(s agent.Stop) {
		if s.Forget && s.Attempt == 1 && g.asked == 0 {
			g.asked = g.Now()
		}
	}
	g.show("n-001", "m8", "x", false)
	return g
}

func attemptOne(state, why string) agent.Task {
	return agent.Task{Task: "job-000001/0", Attempt: 1, State: state, Why: why}
}

// showFor shows the ended attempt again and again.
func (g *forgetRig) showFor(d loop.Micros) {
	for end := g.Now() + d; g.Now() < end; {
		g.show("n-001", "m8", "x", false, attemptOne(wire.TaskExited, wire.WhyStopped))
		g.Run(5 * loop.Millisecond)
	}
}

func (g *forgetRig) checkAsked(t *testing.T, expiry loop.Micros) {
	t.Helper()
	switch {
	case g.asked == 0:
		t.Fatal("nobody ever asks for the attempt to be forgotten")
	case g.asked <= expiry+delivery.AnswerLife:
		t.Fatalf("a forget is asked for %d ms before a start of that attempt can no longer arrive", (expiry+delivery.AnswerLife-g.asked)/1000)
	}
}

// An attempt is judged by when its own start expires, and never by what belongs to the next one:
// that has no expiry while it is chosen, and loses it again when its record is withdrawn.
func TestForgetWaitsForItsOwnAttempt(t *testing.T) {
	for _, c := range []struct {
		name string
		next func(g *forgetRig) // what becomes of the next attempt
	}{
		{"the next attempt is being recorded", func(*forgetRig) {}},
		{"the next attempt has no room", func(g *forgetRig) {
			g.Run(90 * loop.Millisecond) // it is chosen, and not yet recorded
			g.p.Drop("b", agent.Rejection{Machine: "n-001", Task: "job-000001/0", Attempt: 2, Why: "full", OnlyReservation: true})
		}},
		{"the next attempt's record is withdrawn", func(g *forgetRig) {
			g.Run(90 * loop.Millisecond)
			g.p.cordons.Put(cordon.Cordon{Name: "c", Machine: "n-001"}, func(cordon.Outcome) {})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newForgetRig()
			g.job(1, job.Spec{Class: "k", Team: "red", Tasks: 1, CPUs: 2, MemoryGB: 1, Image: "i", AnyType: true, Estimate: 60 * loop.Second})
			g.Run(500 * loop.Millisecond) // what is not shown by then is sent again
			if len(g.starts) != 1 {
				t.Fatalf("%d starts, want one", len(g.starts))
			}
			expiry := g.starts[0].Expiry
			g.show("n-001", "m8", "x", false, attemptOne(wire.TaskRunning, ""))
			g.Run(20 * loop.Millisecond)
			g.show("n-001", "m8", "x", false, attemptOne(wire.TaskExited, wire.WhyStopped))
			c.next(g)
			g.showFor(15 * loop.Second)
			g.checkAsked(t, expiry)
		})
	}
	t.Run("another owner started it", forgetAsTheNextOwner)
}

// forgetAsTheNextOwner: a new owner that reads of a waiting task does not know when the start of its last attempt
// expires: it was recorded before the records were read, nobody knows how long ago.
func forgetAsTheNextOwner(t *testing.T) {
	g := newForgetRig()
	g.p.n.Reserve = func(host string, s agent.Start) {
		g.p.Drop(host, agent.Rejection{Machine: s.Machine, Task: s.Task, Attempt: s.Attempt, Why: "full", OnlyReservation: true})
	}
	id := g.job(1, job.Spec{Class: "k", Team: "red", Tasks: 1, CPUs: 2, MemoryGB: 1, Image: "i", AnyType: true, Estimate: 60 * loop.Second})
	g.p.Owned(partition.ForTeam("red"), false, member.Owner{})
	g.state.Put(segmentKey("x/red/", 0), segmentRecord{Machines: []machineEntry{}, Jobs: []jobEntry{{ID: id, Tasks: []taskEntry{{Index: 0, State: storedOff, Attempt: 1}}}}})
	mark := g.state.Put("c/t/red", map[string]any{"n": "a", "e": 2})
	g.p.Owned(partition.ForTeam("red"), true, member.Owner{Node: "a", Epoch: 2, Mark: mark})
	latest := g.Now() + loop.Seconds(g.p.cfg.Operator.StartLifeS)
	g.showFor(20 * loop.Second)
	g.checkAsked(t, latest)
}
