package placer

import (
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
)

// What happens: an urgent job that is larger than its team's guarantee stops, in one pass, lower work
// within another team's guarantee for more of its tasks than its team's guarantee covers.
//
// Why: the right to a share was judged for one task, before any of the pass; only where the whole job
// fits into the guarantee was the number of tasks bounded (`Placer.makeRoom`).
//
// What showed it: found by reading (docs/incidents/2026-12-02-ran-twice.md, "Still open"). Here, on the
// sources before: 20 tasks of blue are stopped for a guarantee of 4 tasks.
func TestOnePassStopsNoMoreThanTheShareCovers(t *testing.T) {
	teams := []config.Team{{Name: "red", CPUs: 8, CPUsMax: 64}, {Name: "blue", CPUs: 64, CPUsMax: 64}}
	f := newStopFleet(t, teams, 4)
	add := func(no int, spec job.Spec) string {
		spec.Class, spec.MemoryGB, spec.AnyType, spec.Spot, spec.Estimate = "k", 1, true, true, 60*loop.Second
		id := f.job(no, spec)
		f.specs[id] = &spec
		return id
	}
	add(1, job.Spec{Team: "blue", Priority: job.Low, Tasks: 32, CPUs: 2})
	f.run(3 * loop.Second)
	if used := f.uses()["blue"]; used != 64 {
		t.Fatalf("blue runs %v of 64 CPUs", used)
	}
	urgent := add(2, job.Spec{Team: "red", Priority: job.High, Tasks: 20, CPUs: 2})
	f.run(10 * loop.Second)
	stops := 0
	for _, n := range f.stopped {
		stops += n
	}
	if stops > 4 {
		t.Errorf("%d tasks of blue are stopped, red's guarantee covers 4", stops)
	}
	if running := f.p.teams["red"].jobs[urgent].inUse; running < 4 {
		t.Errorf("%d tasks of red run, its guarantee covers 4", running)
	}
}
