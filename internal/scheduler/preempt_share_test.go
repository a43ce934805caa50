package scheduler

import (
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
)

// The test guards against an urgent job that is larger than its team's guarantee and in one pass preempts, within
// another team's guarantee, tasks for more of its own tasks than its team's guarantee covers.
//
// The right to a share used to be judged for a single task, before the pass; the number of tasks was bounded only if
// the whole job fits into the guarantee (see `Scheduler.preemptFor`).
//
// The fault was found by review (docs/incidents/2026-12-02-ran-twice.md, "Still open"). Before the fix, 20 tasks of
// blue were preempted for a guarantee of 4 tasks.
func TestOnePassPreemptsNoMoreThanTheShareCovers(t *testing.T) {
	teams := []config.Team{{Name: "red", CPUs: 8, CPUsMax: 64}, {Name: "blue", CPUs: 64, CPUsMax: 64}}
	f := newPreemptionFleet(t, teams, 4)
	add := func(no int, spec job.Spec) string {
		spec.Class, spec.MemoryGB, spec.AnyType, spec.Spot, spec.Estimate = "k", 1, true, true, 60*eventloop.Second
		id := f.acceptJob(no, spec)
		f.specs[id] = &spec
		return id
	}
	add(1, job.Spec{Team: "blue", Priority: job.Low, Tasks: 32, CPUs: 2})
	f.run(3 * eventloop.Second)
	if used := f.uses()["blue"]; used != 64 {
		t.Fatalf("blue runs %v CPUs, want 64", used)
	}
	urgent := add(2, job.Spec{Team: "red", Priority: job.High, Tasks: 20, CPUs: 2})
	f.run(10 * eventloop.Second)
	stops := 0
	for _, n := range f.stopped {
		stops += n
	}
	if stops > 4 {
		t.Errorf("%d tasks of blue are preempted, red's guarantee covers 4", stops)
	}
	if running := f.scheduler.teams["red"].jobs[urgent].inUse; running < 4 {
		t.Errorf("%d tasks of red are in use, its guarantee covers 4", running)
	}
}
