package scheduler

import (
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// The demand names each silent machine that holds a task of a cancelled job, with the time of the cancellation from the
// job's record. Without it a new leader takes its own beginning for that of the time that the cancellation has.
func TestDemandNamesSilentMachinesWithCancelledTasks(t *testing.T) {
	g := newRig(100, config.Team{Name: "red", CPUs: 8, CPUsMax: 8})
	var last peer.Demand
	g.scheduler.deps.SendDemand = func(d peer.Demand) { last = d }
	g.deliverView("n-001", "m8", "x", false)
	id := g.acceptJob(1, job.Spec{Team: "red", Tasks: 1, CPUs: 2, AnyType: true, Estimate: eventloop.Second})
	g.Advance(500 * eventloop.Millisecond)
	g.deliverView("n-001", "m8", "x", false, workers.Task{Task: workers.TaskName(id, 0), Attempt: 1, State: wire.TaskRunning})
	cancelledAt := g.Now()
	j := g.registry.Get(id)
	rec := job.Record{Phase: job.Cancelled, AcceptedAt: j.AcceptedAt, CancelledAt: cancelledAt, Spec: j.Spec}
	g.mirror.Apply(job.KeyPrefix+id, wire.Marshal(rec), g.state.Put(job.KeyPrefix+id, rec), false)
	g.Advance(eventloop.Second)
	if len(last.Cancelled) > 0 {
		t.Errorf("a machine that reports is named: %+v", last.Cancelled)
	}
	g.Advance(g.scheduler.staleAfter() + eventloop.Second)
	if len(last.Cancelled) != 1 || last.Cancelled[0] != (peer.CancelledTasks{Machine: "n-001", Since: cancelledAt}) {
		t.Errorf("the demand names %+v, want n-001 since %d", last.Cancelled, cancelledAt)
	}
}
