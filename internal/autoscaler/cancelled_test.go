package autoscaler

import (
	"slices"
	"testing"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/failuredetector"
	"cleatpick/internal/membership"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// rentOne has the cloud rent one machine, and returns its name and zone.
func (g *rig) rentOne(t *testing.T) (name, zone string) {
	t.Helper()
	var got wire.MachineNames
	r := g.cloud.Do("POST", "/machines", wire.Marshal(wire.RentRequest{Request: "before", Type: "m8", Zone: "x", Count: 1}), 0)
	if err := wire.Unmarshal(r.Body, &got); err != nil || len(got.Machines) != 1 {
		t.Fatalf("the cloud rented %v, want one machine; error %v", got.Machines, err)
	}
	return got.Machines[0], "x"
}

// reportNow delivers a report of the machine, on which a task runs, with the time at which its host received it.
func (g *rig) reportNow(name, zone string) {
	g.workers.ApplyView(&workers.View{Name: name, Addr: name, Type: "m8", Zone: zone, Host: "b", Session: 1, Seq: uint64(g.Now()), TokenConfirmed: true, MadeAfter: g.Now(), ReportedAt: g.Now(),
		Tasks: []workers.Task{{Task: "job-000001/0", Attempt: 1, State: wire.TaskRunning}}})
}

// A silent machine with tasks of a cancelled job is deleted within cancel_s of the cancellation, however late this leader
// began to lead and whether or not it ever had a view of the machine. One that answers, and one whose reports
// arrive, is kept: its tasks are stopped, or end with the lease.
func TestSilentMachineWithCancelledTasksIsDeletedInTime(t *testing.T) {
	const lease, cancel = 26.5, 46.5
	for _, c := range []struct {
		name      string
		viewed    bool // the leader has a view of the machine
		reports   bool
		probe     failuredetector.ProbeResult
		leadAfter eventloop.Micros // from the cancellation until the leadership begins
		deleted   bool
		isolated  bool // the leader reaches no peer
	}{
		{"hung, the leader began before the lease ended", true, false, failuredetector.NoAnswer, 23 * eventloop.Second, true, false},
		{"hung, the leader began after the lease ended", true, false, failuredetector.NoAnswer, 38 * eventloop.Second, true, false},
		{"hung, known from the cloud's list only", false, false, failuredetector.NoAnswer, 38 * eventloop.Second, true, false},
		{"no connection", true, false, failuredetector.NoConnection, 23 * eventloop.Second, true, false},
		{"answers probes", true, false, failuredetector.Answered, 38 * eventloop.Second, false, false},
		{"reports", true, true, failuredetector.NoAnswer, 23 * eventloop.Second, false, false},
		{"hung, the leader reaches no peer", true, false, failuredetector.NoAnswer, 23 * eventloop.Second, true, true},
		{"no connection, the leader reaches no peer", true, false, failuredetector.NoConnection, 23 * eventloop.Second, true, true},
		{"answers probes, the leader reaches no peer", true, false, failuredetector.Answered, 23 * eventloop.Second, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newRig(t, 4)
			g.scaler.cfg.Cluster.Workers.ReportS, g.scaler.cfg.Cluster.Workers.LeaseS, g.scaler.cfg.Cluster.Workers.CancelS = 5, lease, cancel
			g.probeAnswer, g.isolated = c.probe, c.isolated
			g.scaler.SetLeader(false, membership.Owner{})
			name, zone := g.rentOne(t)
			if c.viewed {
				g.reportNow(name, zone)
			}
			cancelledAt := g.Now()
			step := func() {
				if c.reports {
					g.reportNow(name, zone)
				}
				g.scaler.UpdateDemand("b", peer.Demand{Wall: g.Now(), Suspect: []string{name}, Cancelled: []peer.CancelledTasks{{Machine: name, Since: cancelledAt}}})
				g.Advance(eventloop.Second / 2)
			}
			for g.Now() < cancelledAt+c.leadAfter {
				step()
			}
			e, _ := g.scaler.mirror.Get("c/l")
			g.scaler.SetLeader(true, membership.Owner{Node: "a", Epoch: 1, Revision: e.Revision})
			for g.Now() < cancelledAt+eventloop.Seconds(cancel)-eventloop.Second/2 {
				step()
			}
			if deleted := slices.Contains(g.deleted, name); deleted != c.deleted {
				t.Errorf("deleted within cancel_s: %v, want %v", deleted, c.deleted)
			}
		})
	}
}
