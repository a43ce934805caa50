package autoscaler

import (
	"slices"
	"testing"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// highDemand is demand that exceeds one machine.
var highDemand = []peer.Request{{CPUs: 2, AnyType: true, Spot: true, Count: 8}}

// Machines behind a network partition are retained for a boot time longer, but only while nothing can be
// rented elsewhere and more work waits than one machine holds. A leader once deleted 408 machines of a zone
// two seconds before its partition ended, while all other cloud capacity was rented and thousands of tasks
// waited: the tasks that this confirmed terminated only joined the queue, and the zone's machines had to boot
// again.
func TestMachinesInUnreachableZoneAreRetained(t *testing.T) {
	boot := 4 * eventloop.Second
	for _, c := range []struct {
		name      string
		each      int // machines available of each offer
		wants     []peer.Request
		partition bool         // the zone is partitioned: a peer there is unreachable
		new       bool         // the leader started after the partition began, and never received reports of these machines
		runs      job.Priority // priority of the tasks on the machines
		more      eventloop.Micros
	}{
		{"full, work waits", 6, highDemand, true, false, job.Normal, boot},
		{"full, work waits, a new leader", 6, highDemand, true, true, job.Normal, boot},
		{"full, urgent tasks run there", 6, highDemand, true, false, job.High, 0},
		{"full, little waits", 6, []peer.Request{{CPUs: 2, AnyType: true, Spot: true, Count: 4}}, true, false, job.Normal, 0},
		{"full, waiting work fits nothing in reachable zones", 6, []peer.Request{{CPUs: 2, AnyType: true, Zone: "y", Count: 80}}, true, false, job.Normal, 0},
		{"full, waiting work fits no machine", 6, []peer.Request{{CPUs: 9, AnyType: true, Spot: true, Count: 80}}, true, false, job.Normal, 0},
		{"capacity elsewhere", 4000, highDemand, true, false, job.Normal, 0},
		{"no partition", 6, highDemand, false, false, job.Normal, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newRig(t, c.each)
			g.scaler.cfg.Operator.StandbyMeanS, g.scaler.cfg.Operator.OrdinaryStandbyMeanS = 1e11, 1e11 // idle machines are kept
			g.jobs = map[string]*job.Job{"j": {ID: "j", Phase: job.Accepted, Spec: &job.Spec{CPUs: 1, Priority: c.runs}}}
			g.runs = []workers.Task{{Task: "j/0", Attempt: 1, State: wire.TaskRunning}}
			names := g.cloud.Fill(6) // half of them in x, the rest in y
			step := func(y bool, wants []peer.Request) {
				for i, name := range names {
					if zone := []string{"x", "y"}[i/6]; zone == "x" || y {
						g.report(name, zone)
					}
				}
				demand := peer.Demand{Wall: g.Now(), Requests: wants}
				if c.new {
					demand.Suspect = names[6:] // reported as suspect by an owner before the cloud lists them
				}
				g.scaler.UpdateDemand("b", demand)
				g.Advance(200 * eventloop.Millisecond)
			}
			for range 100 {
				if !c.new {
					step(true, highDemand) // until every offer was refused
				}
			}
			if c.partition {
				g.partitionedZone = "y"
			}
			from := g.Now()
			if c.new {
				g.scaler.SetLeader(true, g.scaler.claim)
			}
			first := func() eventloop.Micros {
				for g.Now() < from+60*eventloop.Second {
					step(false, c.wants)
					if slices.ContainsFunc(names[6:], func(y string) bool { return slices.Contains(g.deleted, y) }) {
						return g.Now() - from
					}
				}
				return 0
			}()
			if full := c.more > 0 || c.runs == job.High; g.scaler.retaining != full {
				t.Errorf("retaining machines in unreachable zones: %v", g.scaler.retaining)
			}
			base := 19 * eventloop.Second // the lease, a second, and 8 s for an unreachable zone
			if c.new {
				base = 21 * eventloop.Second
			}
			if first < base+c.more-eventloop.Second || first > base+c.more+2*eventloop.Second {
				t.Fatalf("first deletion after %d us, want about %d", first, base+c.more)
			}
		})
	}
}

// Machines that were retained during a network partition have the time of two report intervals to report once the
// partition has ended; those that do not report by then are deleted as any others.
func TestZoneReachableAgain(t *testing.T) {
	g := newRig(t, 6)
	g.scaler.cfg.Operator.StandbyMeanS, g.scaler.cfg.Operator.OrdinaryStandbyMeanS = 1e11, 1e11
	names := g.cloud.Fill(6)
	step := func(n int) { // the first n report
		for i, name := range names[:n] {
			g.report(name, []string{"x", "y"}[i/6])
		}
		g.scaler.UpdateDemand("b", peer.Demand{Wall: g.Now(), Requests: highDemand})
		g.Advance(200 * eventloop.Millisecond)
	}
	for range 100 {
		step(12)
	}
	g.partitionedZone = "y"
	for range 110 { // 22 s: more than the lease and 8 s
		step(6)
	}
	g.partitionedZone = ""
	for range 15 {
		step(6)
	}
	if len(g.deleted) > 0 {
		t.Fatalf("%v are deleted within 3 s of the end of their zone's partition", g.deleted)
	}
	for range 60 {
		step(9)
	}
	slices.Sort(g.deleted)
	if !slices.Equal(g.deleted, names[9:]) {
		t.Fatalf("%v are deleted, want the machines that stayed silent: %v", g.deleted, names[9:])
	}
}
