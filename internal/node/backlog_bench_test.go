package node

import (
	"fmt"
	"math"
	"testing"

	"cleatpick/internal/job"
	"cleatpick/internal/loop"
)

// What happens: on a day of 4,000 machines with one controller that owns all teams and 2,300 waiting
// jobs, the controllers use three seconds of processor time a second, and the day is not over after the
// 400 s that the bench allows (two of four plays; 387 and 388 s in two plays more).
//
// Why, by a profile of that day from 240 s on (share of the controllers' time): 42% is
// `Placer.commit`, which went through all choices that wait for their record every 8 to 15 ms, also
// where the state service takes none; 26% is `Rental.recordOrders`, where each of 2,100 requests goes
// through all machines on their way; 18% is placement. In this benchmark `health.Blame.against` has 14%:
// all words against a machine are added up for each job that failed on it, in each pass.
//
// BenchmarkBacklog tells what one controller that owns all teams of a full fleet uses a second while
// so many jobs wait: it must hardly grow with them.
//
//	go test -run - -bench Backlog -benchtime 1x ./internal/node
func BenchmarkBacklog(b *testing.B) {
	const machines = 2000
	for _, waiting := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("waiting=", waiting), func(b *testing.B) {
			for range b.N {
				w := crowd(b, 1, machines)
				w.run(3640 * loop.Second)
				for i := range waiting {
					r := w.rng
					s := &job.Spec{Class: "k", Team: fmt.Sprint("t", r.IntN(4)), Priority: job.Priority(r.IntN(3)), Tasks: min(int(35*math.Exp(0.7*r.NormFloat64()))+1, 400),
						CPUs: 2, MemoryGB: 3, Image: fmt.Sprint("i", r.IntN(12)), ImageGB: 1, AnyType: true, Spot: true, Estimate: 60 * loop.Second}
					j := &simJob{id: fmt.Sprintf("job-%06d", 500000+i), spec: s, run: w.between(50*loop.Second, 110*loop.Second)}
					w.at(loop.Micros(i)*20*loop.Second/loop.Micros(waiting), func() { w.jobs[j.id] = j; w.submit(j) })
				}
				w.run(3670 * loop.Second)
				from, starts := w.cost, w.starts
				const seconds = 20
				w.run((3670 + seconds) * loop.Second)
				b.ReportMetric(float64((w.cost.own-from.own).Milliseconds())/seconds, "ms/s")
				b.ReportMetric(float64(w.starts-starts)/seconds, "starts/s")
				b.ReportMetric(float64(w.cost.bytes-from.bytes)/seconds, "B/s")
			}
		})
	}
}
