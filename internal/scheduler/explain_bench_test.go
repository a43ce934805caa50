package scheduler

import (
	"fmt"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/cordon"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/explain"
	"cleatpick/internal/job"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// BenchmarkExplain collects and evaluates one explanation at an owner with 700 full machines and 5,000 waiting tasks in
// 500 jobs: for the last job in the order of service; for the same job with a cordon, which requires simulating the
// earlier jobs on the fleet; and for a job beyond its team's limit.
func BenchmarkExplain(b *testing.B) {
	g := newRig(100, config.Team{Name: "red", CPUs: 100, CPUsMax: 9000}, config.Team{Name: "blue", CPUs: 0, CPUsMax: 6})
	for i := range 700 {
		id := g.acceptJob(10000+i, job.Spec{Class: "f", Team: "green", Tasks: 8, CPUs: 2, MemoryGB: 4, Image: "f", AnyType: true})
		var on []workers.Task
		for k := range 8 {
			on = append(on, workers.Task{Task: workers.TaskName(id, k), Attempt: 1, State: wire.TaskRunning})
		}
		g.deliverView(fmt.Sprintf("n-%06d", i), "m16", []string{"x", "y"}[i%2], i%3 == 0, on...)
	}
	for i := range 500 {
		team := "red"
		if i%100 == 99 {
			team = "blue"
		}
		g.acceptJob(i, job.Spec{Class: "k", Team: team, Priority: job.Priority(i % 3), Tasks: 10, CPUs: 2, MemoryGB: 3, Image: "i", AnyType: true, Spot: true, Estimate: eventloop.Second})
	}
	g.scheduler.place()
	all := []wire.MachineType{types["m8"], types["m16"]}
	one := func(b *testing.B, id, kind string) {
		for b.Loop() {
			f, ok := g.scheduler.Facts(id, all, true)
			if !ok {
				b.Fatal("no facts")
			}
			if r := explain.Reasons(f); len(r) == 0 || r[0].Kind != kind {
				b.Fatalf("%s has no reason %s", id, kind)
			}
		}
	}
	b.Run("last", func(b *testing.B) { one(b, "job-000498", "room") })
	b.Run("limited", func(b *testing.B) { one(b, "job-000399", "teamLimit") })
	g.mirror.Apply(cordon.Key, wire.Marshal(map[string]any{"f": 1, "c": []cordon.Cordon{{Name: "c", Zone: "x", Reason: "r"}}}), g.state.Put(cordon.Key, 0), false)
	g.scheduler.place()
	b.Run("cordoned", func(b *testing.B) { one(b, "job-000498", "room") })
}
