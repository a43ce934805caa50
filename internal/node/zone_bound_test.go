package node

import (
	"fmt"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
)

// Jobs whose own running tasks bind them to zones find no free capacity there, while the cloud has more machines in
// each zone than they need. Machines must be created where these tasks may run. The fault: they were created wherever
// it was cheapest, repeatedly in the wrong zone, and the job waited.
func TestMachinesCreatedWhereBoundTasksMayRun(t *testing.T) {
	const second = eventloop.Second
	for _, c := range []struct {
		name  string
		spec  job.Spec
		zones int
	}{
		{"oneZone", job.Spec{OneZone: true, Tasks: 20}, 2},
		{"oneZone of three", job.Spec{OneZone: true, Tasks: 20}, 3},
		{"scatter", job.Spec{Spread: true, Tasks: 20}, 2},
		{"scatter over three", job.Spec{Spread: true, Tasks: 20}, 3},
	} {
		for _, bound := range []string{"x", "y"} {
			t.Run(c.name+", bound to "+bound, func(t *testing.T) {
				t.Parallel()
				w := newSimulationOf(t, 29, clusterSize{nodes: 3, zones: c.zones, each: 30}, func(cfg *config.Config) {
					cfg.Cluster.Teams = []config.Team{{Name: "red"}, {Name: "blue"}}
				})
				w.onTaskStart = func(x *simWorker, _ string) { x.w.Faulty = false }
				enter := func(id int, s job.Spec, run eventloop.Micros) *simJob {
					s.Class, s.Team, s.Priority, s.MemoryGB, s.Image, s.AnyType, s.Estimate = "k", "red", job.Normal, 1, "i", true, run
					j := &simJob{id: fmt.Sprintf("job-%06d", id), run: run, spec: &s}
					w.jobs[j.id] = j
					w.submit(j)
					w.poll(j)
					return j
				}
				var j *simJob
				// One machine in that zone, with free capacity for two or three tasks of the job, which bind the
				// others.
				w.after(second, func() { enter(1, job.Spec{Tasks: 1, CPUs: 2, Zone: bound}, 200*second) })
				w.after(20*second, func() { s := c.spec; s.CPUs = 2; j = enter(2, s, 150*second) })
				w.startChecks(30 * second)
				w.run(3600*second + 80*second)
				if j.starts < 20 {
					t.Errorf("%d of 20 tasks have started a minute after the submission, on %d machines", j.starts, len(w.runningMachines()))
				}
				if n := len(w.workers); n > 12 {
					t.Errorf("%d machines were created for 42 CPUs, want 12 or fewer", n)
				}
				w.run(3600*second + 500*second)
				w.checkCompleted(20)
			})
		}
	}
}
