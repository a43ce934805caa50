package node

import (
	"fmt"
	"math"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/standin"
	"cleatpick/internal/wire"
)

// BenchmarkLargeFleet plays two minutes of three controllers with 600 machines and some
// eighty tasks a second, nearly full: what to profile when a node's share of a core is
// not enough (go test -run - -bench LargeFleet -benchtime 1x -cpuprofile p ./internal/node).
func BenchmarkLargeFleet(b *testing.B) {
	for range b.N {
		w := newWorld(b, 1)
		c := &w.cfg
		c.Cluster.Teams = nil
		for i := range 4 {
			c.Cluster.Teams = append(c.Cluster.Teams, config.Team{Name: fmt.Sprint("t", i), CPUs: 2300, CPUsMax: 6000})
		}
		c.Cluster.Workers.ReportS, c.Cluster.Workers.LeaseS, c.Cluster.Workers.CancelS = 3, 19, 39
		c.Cluster.State.RPS, c.Cluster.State.WriteRPS, c.Cluster.State.ValueKB = 100, 40, 32
		c.Operator.StandbyMeanS, c.Operator.OrdinaryStandbyMeanS = 60, 60
		w.cloud = standin.NewCloud(wire.MachineType{Name: "m16", CPUs: 16, MemoryGB: 32, CacheGB: 60, FetchGBs: 1, Price: 1, SpotPrice: 0.3, BootS: 10, Zones: []string{"x", "y"}}, 300)
		w.cloud.Up = func(m wire.Listed) {
			w.at(w.between(5*loop.Second, 15*loop.Second), func() { w.boot(m) })
		}
		w.cloud.Gone = w.destroy
		for _, l := range w.labels {
			w.nodes[l].alive = false
			w.startNode(l)
		}
		no := 0
		arrive := func() {
			no++
			r := w.rng
			n := min(int(40*math.Exp(0.7*r.NormFloat64()))+1, 400)
			s := &job.Spec{Class: "k", Team: fmt.Sprint("t", r.IntN(4)), Priority: job.Priority(r.IntN(3)), Tasks: n, CPUs: 2, MemoryGB: 3,
				Image: fmt.Sprint("i", r.IntN(12)), ImageGB: 1, AnyType: true, Spot: true, Estimate: 40 * loop.Second}
			j := &simJob{id: fmt.Sprintf("job-%06d", no), spec: s, run: w.between(20*loop.Second, 60*loop.Second)}
			w.jobs[j.id] = j
			w.submit(j)
			w.at(5*loop.Second, func() { w.poll(j) })
		}
		for range 60 {
			w.at(2*loop.Second, arrive)
		}
		for i := range 200 {
			w.at(2*loop.Second+loop.Micros(i)*600*loop.Millisecond, arrive)
		}
		w.at(0, w.live)
		w.run(3720 * loop.Second)
		b.ReportMetric(float64(w.starts)/120, "starts/s")
	}
}
