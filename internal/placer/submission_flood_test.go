package placer

import (
	"fmt"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
)

// The test guards against starts that wait without bound while users submit more jobs than a controller's share of
// the write rate allows.
//
// Starts are recorded as far as `store.Client.Writable` allows. It used to allow nothing while any request waited to
// be written, and under a flood of submissions one always waits.
//
// The fault was seen in a simulated day with 4,000 machines: where the leader was also the controller that users
// reach first, 0.039 of the tasks within guarantees started within 5 s, against 0.61 under another leader. Before the
// fix, none of 40 jobs began here on a free machine within the 30 s that the test waited for each.
func TestStartsAreRecordedBesideSubmissions(t *testing.T) {
	const writeRPS, jobs = 21, 10 // the only controller has 0.9 of the write rate
	g := newRig(writeRPS, config.Team{Name: "red", CPUs: 800, CPUsMax: 800})
	for i := range 40 {
		g.deliverView(fmt.Sprintf("n-%03d", i), "m8", "x", false)
	}
	submitted := 0
	var flood func()
	flood = func() { // ten times the share
		for range 20 {
			submitted++
			spec := &job.Spec{Class: "k", Team: "red", Priority: job.Low, Tasks: 1, CPUs: 100, MemoryGB: 1, AnyType: true, Estimate: loop.Second}
			g.registry.Submit(fmt.Sprintf("job-%06d", 500000+submitted), spec, func(job.Answer) {})
		}
		g.After(100*loop.Millisecond, flood)
	}
	flood()
	g.Advance(3 * loop.Second)
	late, longest := 0, loop.Micros(0)
	for i := range jobs {
		before, at := len(g.starts), g.Now()
		g.acceptJob(i, job.Spec{Class: "k", Team: "red", Priority: job.Normal, Tasks: 1, CPUs: 1, MemoryGB: 1, AnyType: true, Estimate: loop.Second})
		for len(g.starts) == before && g.Now()-at < 10*loop.Second {
			g.Advance(10 * loop.Millisecond)
		}
		longest = max(longest, g.Now()-at)
		if g.Now()-at > loop.Second {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d of %d jobs begin later than 1 s, the slowest after %d ms", late, jobs, longest/loop.Millisecond)
	}
}
