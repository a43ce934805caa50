package autoscaler

import (
	"fmt"
	"testing"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// drainRig is a rig whose machine n-drain, an ordinary one in zone x on which a service runs, is draining, while six spot
// machines in zone y have free capacity.
type drainRig struct {
	*rig
	spec *job.Spec // of the job of which each machine runs a task
}

func newDrainRig(t *testing.T, spec *job.Spec) *drainRig {
	g := &drainRig{newRig(t, 0), spec}
	spec.Class, spec.Team, spec.Tasks, spec.AnyType = "k", "red", 7, true
	g.jobs = map[string]*job.Job{"job-000001": {ID: "job-000001", Phase: job.Accepted, Tasks: 7, Spec: spec}}
	g.scaler.cfg.Operator.StandbyMeanS, g.scaler.cfg.Operator.OrdinaryStandbyMeanS = 1e6, 1e6
	g.views()
	g.Advance(eventloop.Second)
	return g
}

// views delivers the views of all machines.
func (g *drainRig) views() {
	view := func(name, zone string, spot bool, task int) {
		g.workers.ApplyView(&workers.View{Name: name, Addr: name, Type: "m8", Zone: zone, Spot: spot, Host: "b", Session: 1, Seq: uint64(g.Now()), TokenConfirmed: true, MadeAfter: g.Now(), ReportedAt: g.Now(),
			Tasks: []workers.Task{{Task: workers.TaskName("job-000001", task), Attempt: 1, State: wire.TaskRunning}}})
	}
	view("n-drain", "x", false, 0)
	for i := range 6 {
		view(fmt.Sprint("n-open-", i), "y", true, i+1)
	}
}

// demand delivers views and a demand for a while.
func (g *drainRig) demand(d eventloop.Micros, requests ...peer.Request) {
	for end := g.Now() + d; g.Now() < end; g.Advance(400 * eventloop.Millisecond) {
		g.views()
		g.scaler.UpdateDemand("b", peer.Demand{Wall: g.Now(), Requests: requests})
	}
}

// A draining machine is returned to use for a waiting request that fits on it and on no other, whatever amount of CPUs is
// free elsewhere. It once stayed closed, and the request waited for as long as its service ran.
func TestDrainingMachineReturnsForWhatFitsNowhereElse(t *testing.T) {
	for _, c := range []struct {
		name     string
		request  peer.Request
		wait     eventloop.Micros
		returned bool
	}{
		{"bound to its zone", peer.Request{CPUs: 2, MemoryGB: 2, AnyType: true, Spot: true, Zone: "x", Count: 1}, 3 * eventloop.Second, true},
		{"no spot machine", peer.Request{CPUs: 2, MemoryGB: 2, AnyType: true, Count: 1}, 3 * eventloop.Second, true},
		{"bound to the zone of its other tasks", peer.Request{CPUs: 2, MemoryGB: 2, AnyType: true, Spot: true, OneZone: true, Tasks: 4, ByZone: []peer.ZoneTasks{{Zone: "x", Tasks: 3}}, Count: 1}, 3 * eventloop.Second, true},
		{"more memory than is free elsewhere", peer.Request{CPUs: 2, MemoryGB: 23, AnyType: true, Spot: true, Count: 7}, 3 * eventloop.Second, true},
		{"fits elsewhere", peer.Request{CPUs: 2, MemoryGB: 2, AnyType: true, Spot: true, Count: 1}, 3 * eventloop.Second, false},
		{"fits elsewhere, but has waited for long", peer.Request{CPUs: 2, MemoryGB: 2, AnyType: true, Spot: true, Count: 1}, maxWaitBesideFree + 3*eventloop.Second, true},
		{"does not fit on it", peer.Request{CPUs: 2, MemoryGB: 2, AnyType: true, Spot: true, Zone: "z", Count: 1}, 3 * eventloop.Second, false},
		{"another type", peer.Request{CPUs: 2, MemoryGB: 2, Types: []string{"g8"}, Spot: true, Count: 1}, 3 * eventloop.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newDrainRig(t, &job.Spec{Service: true, CPUs: 1, MemoryGB: 8, Spot: true})
			m := g.scaler.machines["n-drain"]
			g.scaler.setState(m, Draining, "not needed")
			g.demand(c.wait, c.request)
			if returned := m.state == Up; returned != c.returned {
				t.Errorf("returned to use: %v, want %v", returned, c.returned)
			}
		})
	}
}

// A machine is not drained if its tasks would be moved away and fit on no other machine. Tasks that stay there until they
// end do not matter.
func TestMachineIsDrainedOnlyIfItsTasksCanMove(t *testing.T) {
	for _, c := range []struct {
		name    string
		spec    job.Spec
		drained bool
	}{
		{"they stay", job.Spec{Service: true, CPUs: 1, MemoryGB: 8, Zone: "x"}, true},
		{"they fit elsewhere", job.Spec{CPUs: 1, MemoryGB: 8, Spot: true, Checkpoint: 15 * eventloop.Second}, true},
		{"they are bound to its zone", job.Spec{CPUs: 1, MemoryGB: 8, Spot: true, Zone: "x", Checkpoint: 15 * eventloop.Second}, false},
		{"all their job's tasks are in its zone", job.Spec{CPUs: 1, MemoryGB: 8, Spot: true, OneZone: true, Checkpoint: 15 * eventloop.Second}, false},
		{"not on spot machines", job.Spec{CPUs: 1, MemoryGB: 8, Checkpoint: 15 * eventloop.Second}, false},
		{"the others lack memory", job.Spec{CPUs: 1, MemoryGB: 17, Spot: true, Checkpoint: 15 * eventloop.Second}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newDrainRig(t, &c.spec)
			m := g.scaler.machines["n-drain"]
			m.drainAt = 1 // its standby time is over
			g.demand(3 * eventloop.Second)
			if drained := m.state == Draining; drained != c.drained {
				t.Errorf("drained: %v, want %v", drained, c.drained)
			}
		})
	}
}
