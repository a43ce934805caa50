package node

import (
	"fmt"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
)

// starvationSimulation returns a simulation in which the demand of small jobs is twice the capacity, with other jobs
// that these could starve, while a controller crashes every 45 s. It is the same simulation as in the last cases of
// TestNothingStarves, down to each message.
func starvationSimulation(t *testing.T, seed uint64) *simulation {
	const cpus, span = 8 * 2 * 8, 380
	w := newSimulationOf(t, seed, clusterSize{nodes: 3, zones: 2, each: 8}, func(cfg *config.Config) {
		cfg.Cluster.Teams = []config.Team{{Name: "red", CPUs: 0.6 * cpus}, {Name: "blue", CPUs: 0.3 * cpus}, {Name: "guest"}}
	})
	number := 0
	add := func(at eventloop.Micros, class, team string, p job.Priority, tasks int, each float64, run eventloop.Micros, more func(*job.Spec)) {
		number++
		s := &job.Spec{Class: class, Team: team, Priority: p, Tasks: tasks, CPUs: each, MemoryGB: 1, Image: "i", ImageGB: 1, AnyType: true, Spot: true, Estimate: run}
		if more != nil {
			more(s)
		}
		id := fmt.Sprintf("job-%06d", number)
		w.after(at, func() { w.simulateUser(&simJob{id: id, spec: s, run: run}) })
	}
	every := eventloop.Micros(4 * 8 * 1e6 / (2 * cpus)) // each job is four tasks of one CPU for 8 s
	for at := 5 * eventloop.Second; at < span*eventloop.Second; at += every {
		add(at, "small", []string{"red", "red", "blue"}[number%3], job.Normal, 4, 1, 8*eventloop.Second, nil)
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
	for at := 30 * eventloop.Second; at < span*eventloop.Second; at += 45 * eventloop.Second {
		w.after(at, func() { w.kill(w.anyController()) })
	}
	w.after(0, w.tickWorkers)
	w.after(0, w.checkCancelled)
	return w
}

// The simulations of TestNothingStarves with crashes of controllers, for seeds that it does not run.
// CLEATPICK_SEEDS="FROM TO" selects others.
func TestNothingStarvesUnderControllerCrashes(t *testing.T) {
	from, to := seedRange(t, 49, 64)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := starvationSimulation(t, seed)
			w.run(3600*eventloop.Second + 380*eventloop.Second)
			w.checkLargestStarted()
		})
	}
}
