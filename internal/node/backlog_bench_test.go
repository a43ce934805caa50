package node

import (
	"fmt"
	"math"
	"testing"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
)

// BenchmarkBacklog measures the processing time per second of one controller that owns all teams of a full fleet, while
// many jobs wait. It must hardly grow with the number of waiting jobs.
//
// It guards against this fault: in a load run with 4,000 machines, one controller that owned all teams and 2,300
// waiting jobs, the controllers used three seconds of processor time per second, and two of four runs did not finish
// within the 400 s that the load run allows (387 and 388 s in two more runs). In a profile of that run from 240 s on,
// 42% of the controllers' time was the scheduler's commit, which went through all placements that wait for their
// record every 8 to 15 ms, also while the state service accepts none; 26% was the autoscaler's recording of orders,
// where each of 2,100 requests went through all machines that were being created; 18% was placement. In this
// benchmark, 14% is failure attribution: all failure reports against a machine are added up for each job that failed
// on it, in each pass.
//
//	go test -run - -bench Backlog -benchtime 1x ./internal/node
func BenchmarkBacklog(b *testing.B) {
	const machines = 2000
	for _, waiting := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("waiting=", waiting), func(b *testing.B) {
			for range b.N {
				w := loadedSimulation(b, 1, machines)
				w.run(3640 * eventloop.Second)
				for i := range waiting {
					r := w.rng
					s := &job.Spec{Class: "k", Team: fmt.Sprint("t", r.IntN(4)), Priority: job.Priority(r.IntN(3)), Tasks: min(int(35*math.Exp(0.7*r.NormFloat64()))+1, 400),
						CPUs: 2, MemoryGB: 3, Image: fmt.Sprint("i", r.IntN(12)), ImageGB: 1, AnyType: true, Spot: true, Estimate: 60 * eventloop.Second}
					j := &simJob{id: fmt.Sprintf("job-%06d", 500000+i), spec: s, run: w.between(50*eventloop.Second, 110*eventloop.Second)}
					w.after(eventloop.Micros(i)*20*eventloop.Second/eventloop.Micros(waiting), func() { w.jobs[j.id] = j; w.submit(j) })
				}
				w.run(3670 * eventloop.Second)
				from, starts := w.cost, w.starts
				const seconds = 20
				w.run((3670 + seconds) * eventloop.Second)
				b.ReportMetric(float64((w.cost.spent-from.spent).Milliseconds())/seconds, "ms/s")
				b.ReportMetric(float64(w.starts-starts)/seconds, "starts/s")
				b.ReportMetric(float64(w.cost.bytes-from.bytes)/seconds, "B/s")
			}
		})
	}
}
