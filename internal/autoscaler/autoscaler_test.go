package autoscaler

import (
	"cmp"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/failuredetector"
	"cleatpick/internal/fake"
	"cleatpick/internal/job"
	"cleatpick/internal/membership"
	"cleatpick/internal/peer"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// rig is an autoscaler with a fake cloud, a fake state service and a hand-driven clock. It records the cloud
// calls.
type rig struct {
	*fake.Runner
	scaler          *Autoscaler
	workers         *workers.Registry
	cloud           *fake.Cloud
	calls           []string
	entitled        bool
	isolated        bool
	peerUnreachable bool   // a peer in the machines' zone is unreachable
	partitionedZone string // a zone behind a network partition
	jobs            map[string]*job.Job
	runs            []workers.Task // tasks in the report of every machine
	probeAnswer     failuredetector.ProbeResult
	probeAnswers    map[string]failuredetector.ProbeResult // probe results by address, where they differ from probeAnswer
	booted          []wire.CloudMachine
	deleted         []string
	state           *fake.StateService
	// onState handles a request to the state service in its place if it returns a response; it may be nil.
	onState func(method, path string, body []byte) *store.Response
}

// stateConn is the rig's connection to the state service.
type stateConn struct{ g *rig }

func (x stateConn) Do(method, path string, body []byte, d time.Duration) store.Response {
	if x.g.onState != nil {
		if resp := x.g.onState(method, path, body); resp != nil {
			return *resp
		}
	}
	return x.g.state.Do(method, path, body, d)
}

func (g *rig) Do(method, path string, body []byte, d time.Duration) store.Response {
	g.calls = append(g.calls, method+" "+path)
	return g.cloud.Do(method, path, body, d)
}

func newRig(t *testing.T, each int) *rig {
	g := &rig{Runner: fake.NewRunner(1000 * eventloop.Second), entitled: true, probeAnswer: failuredetector.NoConnection, probeAnswers: map[string]failuredetector.ProbeResult{}}
	cfg := &config.Config{Operator: config.Defaults()}
	cfg.Cluster.Workers.ReportS, cfg.Cluster.Workers.LeaseS = 1, 10
	cfg.Cluster.Cloud.RPS, cfg.Cluster.Cloud.ListLagS = 5, 2
	cfg.Cluster.State.TxnOps = 16
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	g.state = fake.NewStateService(func() eventloop.Micros { return g.Now() })
	g.state.Put("c/l", map[string]any{"n": "a", "e": 1})
	c := store.NewClient(g, stateConn{g}, log, 1000, 1000, 1)
	m := store.NewMirror(c, stateConn{g}, "c/")
	g.cloud = fake.NewCloud(wire.MachineType{Name: "m8", CPUs: 8, MemoryGB: 32, Price: 1, SpotPrice: 0.3, BootS: 4, Zones: []string{"x", "y"}}, each)
	g.cloud.OnRented = func(l wire.CloudMachine) { g.booted = append(g.booted, l) }
	g.cloud.OnDeleted = func(name string) { g.deleted = append(g.deleted, name) }
	g.workers = workers.New(g, log, workers.Config{Label: "a", FindJob: func(id string) *job.Job { return g.jobs[id] }, ViewChanged: func(v *workers.View, _ *workers.Changes) { g.scaler.UpdateView(v) }}, nil)
	g.scaler = New(g, log, cfg, c, m, g, g.workers, Dependencies{Close: func(string, peer.StartBlock) {},
		PeerUnreachable: func(z string) bool { return g.peerUnreachable || z == g.partitionedZone }, LeaseValid: func() bool { return g.entitled }, Isolated: func() bool { return g.isolated },
		Faulty: func(string) bool { return false }, Probe: func(addr string) failuredetector.ProbeResult { return cmp.Or(g.probeAnswers[addr], g.probeAnswer) }})
	m.Start()
	g.Advance(eventloop.Second)
	e, ok := m.Get("c/l")
	if !ok {
		t.Fatal("the leader's claim has not reached the mirror")
	}
	g.scaler.SetLeader(true, membership.Owner{Node: "a", Epoch: 1, Revision: e.Revision})
	return g
}

// report delivers a report of the machine.
func (g *rig) report(name, zone string) {
	g.workers.ApplyView(&workers.View{Name: name, Addr: name, Type: "m8", Zone: zone, Host: "b", Session: 1, Seq: uint64(g.Now()), TokenConfirmed: true, MadeAfter: g.Now(), Tasks: g.runs})
}

// count returns the number of calls that contain part.
func count(calls []string, part string) (n int) {
	for _, c := range calls {
		if strings.Contains(c, part) {
			n++
		}
	}
	return n
}

// A leader that is cut off must not delete machines: it once saw all machines as silent and requested the
// deletion of all of them. Requests that were delayed on their way would have taken effect long afterwards.
func TestLeaderWithoutLeaseDeletesNothing(t *testing.T) {
	for _, c := range []struct {
		name               string
		entitled, isolated bool
		want               int
	}{{"lease lost", false, false, 0}, {"no peer reachable", true, true, 0}, {"in contact", true, false, 1}} {
		t.Run(c.name, func(t *testing.T) {
			g := newRig(t, 4)
			g.Advance(3 * eventloop.Second)
			g.report("n-900000", "x")
			g.Advance(2 * eventloop.Second)
			g.entitled, g.isolated = c.entitled, c.isolated
			before := len(g.calls)
			g.Advance(25 * eventloop.Second)
			if n := count(g.calls[before:], "/machines/delete"); (n > 0) != (c.want > 0) {
				t.Fatalf("%d deletions requested, want %d (1 stands for any number)", n, c.want)
			}
		})
	}
}

// Copies of a machine's reports keep arriving after it has failed, at a leader that knows no newer report. As
// none of them confirms a message sent to the machine, it must be declared failed all the same.
func TestFailedMachineIsDeletedDespiteReportCopies(t *testing.T) {
	g := newRig(t, 4)
	g.Advance(3 * eventloop.Second)
	g.report("n-900000", "x")
	for k := range 60 {
		g.report("n-900001", "x") // another machine of the zone is alive
		if g.Advance(500 * eventloop.Millisecond); k%3 == 0 {
			g.workers.ApplyView(&workers.View{Name: "n-900000", Addr: "n-900000", Type: "m8", Zone: "x", Host: "b", Session: 1, Seq: uint64(g.Now()), Tasks: g.runs})
		}
		if deleted := g.workers.IsDeleted("n-900000"); deleted && k < 20 || !deleted && k > 44 { // a lease of 10 s, 9 s more, and the call
			t.Fatalf("after %d ms the machine is deleted: %v", 500*k, deleted)
		}
	}
}

// An offer without capacity must not be ordered again and again for the same requests, and once there is
// capacity again, no more is rented than the requests need.
func TestRefusedOffersBackOffAndOrderOnce(t *testing.T) {
	g := newRig(t, 0)
	sendDemand := func() {
		g.scaler.UpdateDemand("b", peer.Demand{Wall: g.Now(), Requests: []peer.Request{{CPUs: 2, MemoryGB: 1, AnyType: true, Spot: true, Count: 8}}})
	}
	for range 60 {
		sendDemand()
		g.Advance(500 * eventloop.Millisecond)
	}
	if n := count(g.calls, "POST /machines"); n < 4 || n > 24 {
		t.Fatalf("%d orders sent in 30 s without capacity, want 4 to 24", n)
	}
	g.cloud.Available["x"] = 10
	for range 100 {
		sendDemand() // no machine has reported yet: what was rented is expected
		g.Advance(100 * eventloop.Millisecond)
		if len(g.booted) > 0 {
			break
		}
	}
	for range 30 {
		sendDemand()
		g.Advance(100 * eventloop.Millisecond)
	}
	if len(g.booted) != 2 {
		t.Fatalf("%d machines of 8 CPUs rented for 8 tasks of 2 CPUs, want 2", len(g.booted))
	}
}

// An empty machine is deleted after its standby time, and only after its host controller has closed it.
func TestIdleMachineIsClosedThenDeleted(t *testing.T) {
	g := newRig(t, 4)
	var closed []peer.StartBlock
	g.scaler.deps.Close = func(_ string, c peer.StartBlock) { closed = append(closed, c) }
	g.Advance(3 * eventloop.Second)
	seen := false
	for range 4000 {
		v := &workers.View{Name: "n-900000", Type: "m8", Zone: "x", Host: "b", Session: 1, Seq: uint64(g.Now()), TokenConfirmed: true, MadeAfter: g.Now()}
		v.ClosedToStarts = len(closed) > 0 && seen
		seen = len(closed) > 0
		g.workers.ApplyView(v)
		g.Advance(500 * eventloop.Millisecond)
		if g.workers.IsDeleted("n-900000") {
			break
		}
	}
	if len(closed) == 0 || !g.workers.IsDeleted("n-900000") {
		t.Fatalf("machine closed %d times, deleted: %v", len(closed), g.workers.IsDeleted("n-900000"))
	}
}

// Records of deletions are removed after a while. A machine that is reported as suspect after that must have
// its deletion confirmed again; otherwise the attempts recorded on it would never be resolved.
func TestOldDeletionRecordsAreRemovedAndConfirmedAgain(t *testing.T) {
	g := newRig(t, 4)
	g.Advance(3 * eventloop.Second)
	g.report("n-900000", "x")
	g.Advance(25 * eventloop.Second) // no reports from now on
	if !g.workers.IsDeleted("n-900000") || len(g.scaler.mirror.KeysUnder(DeletionKeys)) != 1 {
		t.Fatalf("machine deleted: %v, deletion records %v", g.workers.IsDeleted("n-900000"), g.scaler.mirror.KeysUnder(DeletionKeys))
	}
	g.Advance(deletionRetention + 120*eventloop.Second)
	if n := len(g.scaler.mirror.KeysUnder(DeletionKeys)); n != 0 || g.workers.IsDeleted("n-900000") {
		t.Fatalf("%d deletion records are left, machine deleted: %v", n, g.workers.IsDeleted("n-900000"))
	}
	for range 80 {
		g.scaler.UpdateDemand("b", peer.Demand{Wall: g.Now(), Suspect: []string{"n-900000"}})
		g.Advance(500 * eventloop.Millisecond)
	}
	if !g.workers.IsDeleted("n-900000") {
		t.Fatal("the deletion of a suspect machine was not confirmed again")
	}
}

// Cloud calls are scarce: those that confirm tasks terminated go first, and no purpose waits for ever.
func TestCloudCallPriority(t *testing.T) {
	const s = eventloop.Second
	usual := pendingCalls{now: 1000 * s, listed: true, listAt: 998 * s, catalogAt: 990 * s, listEvery: 5 * s}
	for _, c := range []struct {
		name string
		set  func(a *pendingCalls)
		want callPurpose
	}{
		{"no catalog yet", func(a *pendingCalls) { a.catalogAt, a.failed = 0, 5 }, readCatalog},
		{"no list yet", func(a *pendingCalls) { a.listed, a.order = false, true }, readList},
		{"failed machines before an order", func(a *pendingCalls) { a.failed, a.order = 1, true }, deleteFailed},
		{"an order before a list that is due", func(a *pendingCalls) { a.order, a.listAt = true, 994*s }, sendOrder},
		{"an overdue list before failed machines", func(a *pendingCalls) { a.failed, a.order, a.listAt = 100, true, 980*s }, readList},
		{"an order before idle machines", func(a *pendingCalls) { a.order, a.idle, a.idleSince = true, 9, 990*s }, sendOrder},
		{"idle machines after several orders in a row", func(a *pendingCalls) { a.order, a.idle, a.idleSince, a.ordersInARow = true, 9, 990*s, maxOrdersInARow }, deleteIdle},
		{"idle machines wait for more", func(a *pendingCalls) { a.idle, a.idleSince = 9, 1000*s-idleBatchDelay+1 }, plan},
		{"idle machines that waited long enough", func(a *pendingCalls) { a.idle, a.idleSince = 9, 1000*s-idleBatchDelay }, deleteIdle},
		{"idle machines enough for a full call", func(a *pendingCalls) { a.idle, a.idleSince = maxDeletionsPerCall, 1000*s }, deleteIdle},
		{"an old catalog", func(a *pendingCalls) { a.catalogAt = 900 * s }, readCatalog},
		{"nothing waits", func(*pendingCalls) {}, plan},
	} {
		a := usual
		c.set(&a)
		if got := a.next(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// While many machines are suspected of having failed, nothing is rented for their free capacity: it would
// exist twice once they come back.
func TestNothingIsRentedForSuspectedMachines(t *testing.T) {
	for _, c := range []struct {
		word failuredetector.ProbeResult
		want bool
	}{{failuredetector.NoAnswer, false}, {failuredetector.NoConnection, true}} {
		g := newRig(t, 40)
		g.probeAnswer, g.scaler.cfg.Operator.OrdinaryStandbyMeanS = c.word, 1e6
		g.Advance(3 * eventloop.Second)
		reportAll := func(from, to int) {
			for i := from; i < to; i++ {
				name := fmt.Sprintf("n-9%05d", i)
				g.report(name, "x")
				if i >= 10 {
					g.probeAnswers[name] = failuredetector.Answered
				}
			}
		}
		reportAll(0, 20)
		for range 12 { // ten of them become silent
			reportAll(10, 20)
			g.Advance(500 * eventloop.Millisecond)
		}
		for range 6 {
			reportAll(10, 20)
			g.scaler.UpdateDemand("b", peer.Demand{Wall: g.Now(), Requests: []peer.Request{{CPUs: 8, MemoryGB: 1, AnyType: true, Count: 10}}})
			g.Advance(500 * eventloop.Millisecond)
		}
		if rented := len(g.booted) > 0; rented != c.want {
			t.Errorf("probes answer %v: %d machines are rented for ten unplaced tasks", c.word, len(g.booted))
		}
	}
}

// A leader that starts during a zone's network partition retains the machines there, which have never
// reported to it, for as long as a leader that received their reports before would.
func TestNewLeaderDuringNetworkPartition(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		g := newRig(t, 4)
		g.peerUnreachable = partitioned
		var got wire.MachineNames
		r := g.cloud.Do("POST", "/machines", wire.Marshal(wire.RentRequest{Request: "before", Type: "m8", Zone: "x", Count: 3}), 0)
		if err := wire.Unmarshal(r.Body, &got); err != nil || len(got.Machines) != 3 {
			t.Fatal("the cloud rented nothing")
		}
		g.Advance(17 * eventloop.Second) // the lease of 10 s, and 3 s
		if n := len(g.deleted); (n == 0) != partitioned {
			t.Errorf("partition %v: %d of 3 machines are deleted after 17 s", partitioned, n)
		}
		g.Advance(12 * eventloop.Second)
		if n := len(g.deleted); n != 3 {
			t.Errorf("partition %v: %d of 3 machines are deleted after 29 s", partitioned, n)
		}
	}
}

// Capacity that a deletion frees must be rented at once. While refusals from before the deletion stayed in
// force, a deployment whose machines had all been deleted rented nothing for 40 s.
func TestDeletionEndsRefusals(t *testing.T) {
	g := newRig(t, 0)
	delete(g.cloud.Available, "y")
	g.runs = []workers.Task{{Task: "job-1/0", Attempt: 1, State: wire.TaskRunning}}
	g.Advance(3 * eventloop.Second)
	var got wire.MachineNames
	g.cloud.Available["x"] = 1
	if r := g.cloud.Do("POST", "/machines", wire.Marshal(wire.RentRequest{Request: "before", Type: "m8", Zone: "x", Count: 1}), 0); wire.Unmarshal(r.Body, &got) != nil || len(got.Machines) != 1 {
		t.Fatal("the cloud rented nothing")
	}
	name, deletedAt := got.Machines[0], eventloop.Micros(0)
	g.booted = nil
	for k := range 1000 {
		if k < 600 {
			g.report(name, "x") // for 60 s; until then no other capacity is expected
		}
		g.scaler.UpdateDemand("b", peer.Demand{Wall: g.Now(), Requests: []peer.Request{{CPUs: 8, MemoryGB: 1, AnyType: true, Count: 1}}})
		g.Advance(100 * eventloop.Millisecond)
		if deletedAt == 0 && len(g.deleted) > 0 {
			deletedAt = g.Now()
		}
		if len(g.booted) > 0 {
			if took := g.Now() - deletedAt; deletedAt == 0 || took > 2*eventloop.Second {
				t.Fatalf("rented %d us after the deletion at %d us, want within 2 s", took, deletedAt)
			}
			return
		}
	}
	t.Fatalf("nothing is rented; the machine was deleted at %d us", deletedAt)
}
