package placer

import (
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/gate"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
)

// What is free is left to the urgent work that another owner misses room for; work that
// took it was stopped for that a moment later. Urgent work takes it all the same, an old
// word counts for nothing, and an explanation tells it.
func TestLowWorkYieldsToOthersUrgent(t *testing.T) {
	for _, c := range []struct {
		name     string
		priority job.Priority
		urgent   float64
		within   float64
		age      loop.Micros
		want     int
	}{
		{"low beside nothing", job.Low, 0, 0, 0, 4},
		{"low beside urgent", job.Low, 4, 0, 0, 2},
		{"low beside more than there is", job.Low, 100, 0, 0, 0},
		{"low beside guaranteed, itself guaranteed", job.Low, 0, 100, 0, 4},
		{"urgent beside urgent", job.High, 100, 0, 0, 4},
		{"an old word", job.Low, 100, 0, 2 * loop.Second, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newRig(100, config.Team{Name: "red", CPUs: 50, CPUsMax: 50}, config.Team{Name: "blue", CPUs: 8, CPUsMax: 50})
			delete(g.p.teams, "blue") // another controller's
			g.show("n-001", "m8", "x", false)
			g.p.Learn([]peer.Usage{{Team: "blue", Urgent: c.urgent, Within: c.within}})
			if c.age > 0 {
				g.Run(c.age)
				g.show("n-001", "m8", "x", false)
			}
			id := g.job(1, job.Spec{Class: "k", Team: "red", Priority: c.priority, Tasks: 4, CPUs: 2, MemoryGB: 1, Image: "i", AnyType: true, Estimate: loop.Second})
			g.Run(500 * loop.Millisecond)
			if len(g.starts) != c.want {
				t.Fatalf("%d tasks started of 4, want %d", len(g.starts), c.want)
			}
			f, ok := g.p.Facts(id, nil, true)
			if told := 4 - min(f.Gate.Passes(gate.Yield), 4); !ok || (c.want < 4) != (told > 0 && f.Gate.Waiting > 0) {
				t.Fatalf("%d tasks are said to yield", told)
			}
		})
	}
}

// How long urgent work waits for turnover follows what its users state, and nothing else.
func TestPatience(t *testing.T) {
	g := newRig(100, config.Team{Name: "red", CPUs: 50, CPUsMax: 50})
	g.p.cfg.Cluster.Objectives = []config.Objective{{Kind: "wait", Class: "soon", WithinS: 2}, {Kind: "wait", Class: "later", WithinS: 90}, {Kind: "finished", Class: "later", WithinS: 1}}
	for _, c := range []struct {
		spec job.Spec
		want loop.Micros
	}{
		{job.Spec{Class: "soon", Priority: job.Low}, withinPatience},
		{job.Spec{Class: "soon", Priority: job.High}, 200 * loop.Millisecond},
		{job.Spec{Class: "later", Priority: job.High}, urgentPatience},
		{job.Spec{Class: "later", Priority: job.High, Deadline: 10 * loop.Second, Estimate: 9 * loop.Second}, 125 * loop.Millisecond},
		{job.Spec{Class: "later", Priority: job.High, Deadline: loop.Second, Estimate: 9 * loop.Second}, 0},
	} {
		if got := g.p.patience(&c.spec); got != c.want {
			t.Errorf("%+v waits for %d us, want %d", c.spec, got, c.want)
		}
	}
}
