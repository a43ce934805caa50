package job

import (
	"fmt"
	"testing"

	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// BenchmarkPolls runs ten seconds of polls for 2,000 jobs that are not final, with the share of the state
// service's requests that one of three controllers has at 180 requests per second.
func BenchmarkPolls(b *testing.B) {
	const jobs, seconds = 2000, 10
	for _, rate := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			asked, answered, requests := 0, 0, 0
			for range b.N {
				net, registry := newSlowRegistry(1, 54)
				net.maxDelayMs = 5
				registry.SetMaxWaitingReads(645)
				spec := &Spec{Class: "k", Team: "red", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true}
				for k := range jobs {
					id := fmt.Sprintf("job-%d", k)
					record := Record{Phase: Accepted, AcceptedAt: 1, Spec: spec}
					registry.mirror.Apply(KeyPrefix+id, wire.Marshal(record), net.state.Put(KeyPrefix+id, record), false)
				}
				net.Advance(loop.Second)
				before := net.sent["/store"]
				for k := range rate * seconds {
					id := fmt.Sprintf("job-%d", k%jobs)
					registry.Poll(id, func(a Answer) {
						if a.Code == 200 {
							answered++
						}
					})
					asked++
					net.Advance(loop.Second / loop.Micros(rate))
				}
				requests += net.sent["/store"] - before
			}
			b.ReportMetric(float64(requests)/float64(b.N*seconds), "requests/s")
			b.ReportMetric(float64(answered)/float64(asked), "answered")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(asked), "ns/poll")
		})
	}
}
