package node

import (
	"fmt"
	"math"
	"runtime"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/fake"
	"cleatpick/internal/job"
	"cleatpick/internal/wire"
)

// loadedSimulation returns a simulation of a given size with a load that keeps four fifths of the machines busy:
// tasks of two CPUs that run for one to two minutes, on machines of sixteen CPUs.
func loadedSimulation(t testing.TB, nodes, machines int) *simulation {
	w := newSimulationOf(t, 1, clusterSize{nodes: nodes, zones: 2, each: machines / 2}, func(c *config.Config) {
		c.Cluster.Teams = nil
		cpus := float64(machines * 16)
		for i := range 4 {
			c.Cluster.Teams = append(c.Cluster.Teams, config.Team{Name: fmt.Sprint("t", i), CPUs: cpus / 4, CPUsMax: cpus / 2})
		}
		c.Cluster.Workers.ReportS, c.Cluster.Workers.LeaseS, c.Cluster.Workers.CancelS = 5, 26, 46
		// The limits of the state service grow with the fleet, because the controllers are measured and not it.
		c.Cluster.State.RPS, c.Cluster.State.WriteRPS, c.Cluster.State.ValueKB = 180+float64(machines)/4, 70+float64(machines)/10, 32
		c.Cluster.Cloud.RPS = 10 + float64(machines)/50
		c.Operator.StandbyMeanS, c.Operator.OrdinaryStandbyMeanS = 600, 600
	})
	w.cloud = fake.NewCloud(wire.MachineType{Name: "m16", CPUs: 16, MemoryGB: 32, CacheGB: 60, FetchGBPerS: 1, Price: 1, SpotPrice: 0.3, BootS: 5, Zones: w.zones}, machines/2)
	w.cloud.OnRented = func(m wire.CloudMachine) {
		w.after(w.between(2*eventloop.Second, 6*eventloop.Second), func() { w.boot(m) })
	}
	w.cloud.OnDeleted = w.destroy
	for _, l := range w.labels {
		w.nodes[l].alive = false
		w.startNode(l)
	}
	no := 0
	arrive := func() {
		no++
		r := w.rng
		s := &job.Spec{Class: "k", Team: fmt.Sprint("t", r.IntN(4)), Priority: job.Priority(r.IntN(3)), Tasks: min(int(35*math.Exp(0.7*r.NormFloat64()))+1, 400),
			CPUs: 2, MemoryGB: 3, Image: fmt.Sprint("i", r.IntN(12)), ImageGB: 1, AnyType: true, Spot: true, Estimate: 60 * eventloop.Second}
		j := &simJob{id: fmt.Sprintf("job-%06d", no), spec: s, run: w.between(50*eventloop.Second, 110*eventloop.Second)}
		w.jobs[j.id] = j
		w.submit(j)
		w.after(5*eventloop.Second, func() { w.poll(j) })
	}
	// A job has some 44 tasks, a task runs for 80 s, and eight tasks fill a machine.
	jobs := float64(machines) * 8 * 0.8 / 44
	for i := range int(jobs) {
		w.after(2*eventloop.Second+eventloop.Micros(i)*20*eventloop.Second/eventloop.Micros(jobs+1), arrive)
	}
	for i := range int(jobs * 2) {
		w.after(25*eventloop.Second+eventloop.Micros(float64(i)*80/jobs*1e6), arrive)
	}
	w.after(0, w.tickWorkers)
	return w
}

// BenchmarkCostPerMachine measures the processing time per machine and second of all controllers together, at several
// sizes of the fleet. It must not grow with the fleet.
//
//	go test -run - -bench CostPerMachine -benchtime 1x ./internal/node
func BenchmarkCostPerMachine(b *testing.B) {
	for _, c := range []struct{ nodes, machines int }{{3, 200}, {3, 1000}, {3, 2000}, {3, 5000}, {5, 1000}, {15, 1000}} {
		b.Run(fmt.Sprintf("nodes=%d/machines=%d", c.nodes, c.machines), func(b *testing.B) {
			for range b.N {
				w := loadedSimulation(b, c.nodes, c.machines)
				w.run(3660 * eventloop.Second)
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				from := w.cost
				starts := w.starts
				const seconds = 40
				w.run(3660*eventloop.Second + seconds*eventloop.Second)
				runtime.ReadMemStats(&after)
				up := float64(len(w.runningMachines()))
				b.ReportMetric(float64((w.cost.spent-from.spent).Microseconds())/up/seconds, "us/machine/s")
				b.ReportMetric(float64(w.cost.bytes-from.bytes)/up/seconds, "B/machine/s")
				b.ReportMetric(float64(w.cost.frames-from.frames)/seconds, "frames/s")
				b.ReportMetric(float64(w.starts-starts)/seconds, "starts/s")
				b.ReportMetric(up, "machines")
				b.ReportMetric(float64(before.HeapAlloc)/1e6, "MB")
			}
		})
	}
}

// BenchmarkFirstPlacement crashes all controllers of a fleet under load, restarts them at the same time, and measures
// how long it takes until a task starts again, and what that costs.
//
//	go test -run - -bench FirstPlacement -benchtime 1x ./internal/node
func BenchmarkFirstPlacement(b *testing.B) {
	for _, machines := range []int{1000, 5000} {
		b.Run(fmt.Sprint("machines=", machines), func(b *testing.B) {
			for range b.N {
				w := loadedSimulation(b, 3, machines)
				now := 3660 * eventloop.Second
				w.run(now)
				for _, l := range w.labels {
					w.nodes[l].alive = false
				}
				now += 32 * eventloop.Second // every lease has expired: tasks that start now were sent by the new processes
				w.run(now)
				for _, l := range w.labels {
					w.startNode(l)
				}
				began, from, starts := now, w.cost, w.starts
				first := eventloop.Micros(0)
				w.onTaskStart = func(*simWorker, string) {
					if first == 0 {
						first = w.now
					}
				}
				for first == 0 && now < began+60*eventloop.Second {
					now += 10 * eventloop.Millisecond
					w.run(now)
				}
				b.ReportMetric(float64(first-began)/1e6, "s-to-first")
				b.ReportMetric((w.cost.spent - from.spent).Seconds(), "own-s-to-first")
				for w.starts < starts+machines/4 && now < began+120*eventloop.Second {
					now += 50 * eventloop.Millisecond
					w.run(now)
				}
				b.ReportMetric(float64(now-began)/1e6, "s-to-quarter")
				b.ReportMetric(float64(len(w.runningMachines())), "machines")
			}
		})
	}
}
