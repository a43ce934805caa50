package node

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
)

// startWithin is how soon the largest jobs of a class must start, whatever the other load.
const startWithin = 240 * eventloop.Second

// checkLargestStarted checks that the largest tenth of the jobs of each class, at least one job, has started in time,
// of those that were submitted that long ago and that their users did not cancel. It also checks that half of the jobs
// of each class and each team have started in time, except for the groups in beyond, whose demand alone exceeds the
// fleet.
func (w *simulation) checkLargestStarted(beyond ...string) {
	w.t.Helper()
	groups := map[string][]*simJob{}
	for _, j := range eventloop.Sorted(w.jobs) {
		if !j.cancelRequested && !j.broken && w.now-j.submittedAt >= startWithin {
			groups["class "+j.spec.Class] = append(groups["class "+j.spec.Class], j)
			groups["team "+j.spec.Team] = append(groups["team "+j.spec.Team], j)
		}
	}
	late := func(j *simJob) bool { return j.firstStartAt == 0 || j.firstStartAt-j.submittedAt > startWithin }
	for of, all := range eventloop.Sorted(groups) {
		n := 0
		for _, j := range all {
			if late(j) {
				n++
			}
		}
		if 2*n > len(all) && !slices.Contains(beyond, of) {
			w.t.Errorf("%s: %d of %d jobs did not start within %d s", of, n, len(all), startWithin/eventloop.Second)
		}
		slices.SortStableFunc(all, func(a, b *simJob) int {
			return cmp.Compare(float64(b.spec.Tasks)*b.spec.CPUs, float64(a.spec.Tasks)*a.spec.CPUs)
		})
		for _, j := range all[:(len(all)+9)/10] {
			if of[0] == 'c' && late(j) {
				w.t.Errorf("%s: %s of %d tasks of %v CPUs, one of the largest jobs, started after %d s (0: it did not start)", of, j.id, j.spec.Tasks, j.spec.CPUs, max(j.firstStartAt-j.submittedAt, 0)/eventloop.Second)
			}
		}
	}
}

// A steady stream of small jobs within a guarantee, urgent jobs, and jobs that these could starve: arrays of
// thousands of tasks, tasks as large as a machine, jobs of a single zone and jobs that are spread, gangs, and a team
// without a guarantee. Without faults, or while controllers crash and restart, all jobs that can be served start in
// time.
func TestNothingStarves(t *testing.T) {
	type load struct {
		name    string
		load    float64 // demand of the small jobs alone, relative to the capacity
		crashes bool
		seed    uint64
	}
	cases := []load{{"demand equals capacity", 1, false, 41}, {"demand is five times the capacity", 5, false, 41}}
	for seed := uint64(41); seed <= 48; seed++ {
		cases = append(cases, load{fmt.Sprint("twice, and controllers crash ", seed), 2, true, seed})
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const cpus, span = 8 * 2 * 8, 380
			w := newSimulationOf(t, c.seed, clusterSize{nodes: 3, zones: 2, each: 8}, func(cfg *config.Config) {
				cfg.Cluster.Teams = []config.Team{{Name: "red", CPUs: 0.6 * cpus}, {Name: "blue", CPUs: 0.3 * cpus}, {Name: "guest"}}
			})
			no := 0
			add := func(at eventloop.Micros, class, team string, p job.Priority, tasks int, each float64, run eventloop.Micros, more func(*job.Spec)) {
				no++
				s := &job.Spec{Class: class, Team: team, Priority: p, Tasks: tasks, CPUs: each, MemoryGB: 1, Image: "i", ImageGB: 1, AnyType: true, Spot: true, Estimate: run}
				if more != nil {
					more(s)
				}
				id := fmt.Sprintf("job-%06d", no)
				w.after(at, func() { w.simulateUser(&simJob{id: id, spec: s, run: run}) })
			}
			every := eventloop.Micros(4 * 8 * 1e6 / (c.load * cpus)) // each job is four tasks of one CPU for 8 s
			for at := 5 * eventloop.Second; at < span*eventloop.Second; at += every {
				add(at, "small", []string{"red", "red", "blue"}[no%3], job.Normal, 4, 1, 8*eventloop.Second, nil)
			}
			for at := 10 * eventloop.Second; at < span*eventloop.Second; at += 10 * eventloop.Second {
				add(at, "urgent", "red", job.High, 8, 1, 3*eventloop.Second, nil)
			}
			for k, at := range []eventloop.Micros{20 * eventloop.Second, 60 * eventloop.Second, 110 * eventloop.Second} {
				add(at, "array", "blue", job.Normal, 1000*(k+1), 0.25, 2*eventloop.Second, nil)
				add(at, "whole", "blue", job.Low, 6, 8, 6*eventloop.Second, nil)
				add(at, "tidy", "guest", job.Low, 100*(k+1), 0.5, 4*eventloop.Second, nil)
				add(at, "onezone", "blue", job.Low, 12, 2, 5*eventloop.Second, func(s *job.Spec) { s.OneZone = true })
				add(at, "spread", "guest", job.Normal, 9, 2, 5*eventloop.Second, func(s *job.Spec) { s.Spread = true })
				add(at, "gang", "blue", job.Low, 4, 4, 5*eventloop.Second, func(s *job.Spec) { s.Gang = true })
			}
			if c.crashes {
				for at := 30 * eventloop.Second; at < span*eventloop.Second; at += 45 * eventloop.Second {
					w.after(at, func() { w.kill(w.anyController()) })
				}
			}
			w.after(0, w.tickWorkers)
			w.after(0, w.checkCancelled)
			w.run(3600*eventloop.Second + span*eventloop.Second)
			if c.load > 2 {
				w.checkLargestStarted("class small", "team red", "team blue")
			} else {
				w.checkLargestStarted()
			}
		})
	}
}
