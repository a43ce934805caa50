package rental

import (
	"slices"
	"testing"

	"cleatpick/internal/agent"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
)

// crowd is more than a machine holds.
var crowd = []peer.Request{{CPUs: 2, AnyType: true, Spot: true, Count: 8}}

// A leader once deleted 408 machines of a zone two seconds before its cut was over, while
// all the rest of the cloud was rented and thousands of tasks waited: what that proved off
// only joined the queue, and the zone's machines booted anew. They are left alone for a
// boot more, but only while nothing can be had elsewhere and more waits than fits.
func TestCutZoneIsLeftAlone(t *testing.T) {
	boot := 4 * loop.Second
	for _, c := range []struct {
		name  string
		each  int // machines that each offer has
		wants []peer.Request
		cut   bool         // the zone is, by a peer that is not heard there
		new   bool         // the leader began after the cut, and never heard these machines
		runs  job.Priority // of what runs there
		more  loop.Micros
	}{
		{"full, work waits", 6, crowd, true, false, job.Normal, boot},
		{"full, work waits, a new leader", 6, crowd, true, true, job.Normal, boot},
		{"full, urgent work is stuck there", 6, crowd, true, false, job.High, 0},
		{"full, little waits", 6, []peer.Request{{CPUs: 2, AnyType: true, Spot: true, Count: 4}}, true, false, job.Normal, 0},
		{"full, what waits fits nothing in sight", 6, []peer.Request{{CPUs: 2, AnyType: true, Zone: "y", Count: 80}}, true, false, job.Normal, 0},
		{"full, what waits fits no machine", 6, []peer.Request{{CPUs: 9, AnyType: true, Spot: true, Count: 80}}, true, false, job.Normal, 0},
		{"room elsewhere", 4000, crowd, true, false, job.Normal, 0},
		{"no cut", 6, crowd, false, false, job.Normal, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newRig(t, c.each)
			g.t.cfg.Operator.StandbyMeanS, g.t.cfg.Operator.OrdinaryStandbyMeanS = 1e11, 1e11 // nothing is given back
			g.jobs = map[string]*job.Job{"j": {ID: "j", Phase: job.Accepted, Spec: &job.Spec{CPUs: 1, Priority: c.runs}}}
			g.runs = []agent.Task{{Task: "j/0", Attempt: 1, State: wire.TaskRunning}}
			names := g.cloud.Fill(6) // in x, then in y
			step := func(y bool, wants []peer.Request) {
				for i, name := range names {
					if zone := []string{"x", "y"}[i/6]; zone == "x" || y {
						g.hear(name, zone)
					}
				}
				tally := peer.Demand{Wall: g.Now(), Requests: wants}
				if c.new {
					tally.Suspect = names[6:] // named by an owner before the cloud lists them
				}
				g.t.Tally("b", tally)
				g.Run(200 * loop.Millisecond)
			}
			for range 100 {
				if !c.new {
					step(true, crowd) // until every offer was refused
				}
			}
			if c.cut {
				g.dark = "y"
			}
			from := g.Now()
			if c.new {
				g.t.Lead(true, g.t.claim)
			}
			first := func() loop.Micros {
				for g.Now() < from+60*loop.Second {
					step(false, c.wants)
					if slices.ContainsFunc(names[6:], func(y string) bool { return slices.Contains(g.deleted, y) }) {
						return g.Now() - from
					}
				}
				return 0
			}()
			if full := c.more > 0 || c.runs == job.High; g.t.sparing != full {
				t.Errorf("the operators are told of sparing: %v", g.t.sparing)
			}
			base := 19 * loop.Second // its lease, a second, and 8 s out of sight
			if c.new {
				base = 21 * loop.Second
			}
			if first < base+c.more-loop.Second || first > base+c.more+2*loop.Second {
				t.Fatalf("lost after %d us, want %d", first, base+c.more)
			}
		})
	}
}

// What was spared during a cut has two reports' time to show itself once the cut is over;
// what does not is deleted as any other.
func TestZoneIsBackInSight(t *testing.T) {
	g := newRig(t, 6)
	g.t.cfg.Operator.StandbyMeanS, g.t.cfg.Operator.OrdinaryStandbyMeanS = 1e11, 1e11
	names := g.cloud.Fill(6)
	step := func(n int) { // the first n are heard
		for i, name := range names[:n] {
			g.hear(name, []string{"x", "y"}[i/6])
		}
		g.t.Tally("b", peer.Demand{Wall: g.Now(), Requests: crowd})
		g.Run(200 * loop.Millisecond)
	}
	for range 100 {
		step(12)
	}
	g.dark = "y"
	for range 110 { // 22 s: beyond the lease and 8 s more
		step(6)
	}
	g.dark = ""
	for range 15 {
		step(6)
	}
	if len(g.deleted) > 0 {
		t.Fatalf("%v are deleted within 3 s of the end of their zone's cut", g.deleted)
	}
	for range 60 {
		step(9)
	}
	slices.Sort(g.deleted)
	if !slices.Equal(g.deleted, names[9:]) {
		t.Fatalf("%v are deleted, want what stayed silent: %v", g.deleted, names[9:])
	}
}
