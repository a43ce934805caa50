package node

import (
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/fake"
)

// manyTeamsSimulation returns a simulation of eight controllers and 300 teams, whose state service accepts only the
// request rates that a small cluster needs.
func manyTeamsSimulation(t testing.TB) *simulation {
	const rps, writeRPS, valueKB, txnOps = 180, 70, 32, 16
	w := newSimulationOf(t, 3, clusterSize{nodes: 8, zones: 2, each: 40}, func(c *config.Config) {
		c.Cluster.Teams = equalTeams(300, 320)
		s := &c.Cluster.State
		s.RPS, s.WriteRPS, s.ValueKB, s.TxnOps = rps, writeRPS, valueKB, txnOps
	})
	w.state.SetLimits(&fake.Limits{RPS: rps, WriteRPS: writeRPS, ValueBytes: valueKB << 10, TxnOps: txnOps})
	w.reliable = true
	for i := range 200 {
		at := eventloop.Second + eventloop.Micros(i)*40*eventloop.Millisecond
		w.after(at, func() { w.submitSharedJob(i) })
	}
	return w
}

// Claims, assignments and watches of many teams and controllers use only a bounded share of the state service's
// request rate, so that tasks start soon and all users are answered. The fault: while each team had a claim and a log
// of its own, the claims alone exceeded the limits again and again, no task started for minutes, and questions about
// accepted jobs were not answered.
func TestManyTeamsAndControllers(t *testing.T) {
	const (
		mostBeforeStart = 900 // requests until the first task starts
		mostRefused     = 0.01
		firstStart      = 15 * eventloop.Second
	)
	w := manyTeamsSimulation(t)
	first := eventloop.Micros(0)
	var atFirst fake.Counts
	w.onTaskStart = func(*simWorker, string) {
		if first == 0 {
			first, atFirst = w.now-3600*eventloop.Second, w.state.Counts()
		}
	}
	w.startChecks(5 * eventloop.Second)
	w.run(3600*eventloop.Second + 240*eventloop.Second)
	all := w.state.Counts()
	t.Logf("first start after %.1f s and %d requests, %d of them refused; %d of %d refused in all, %d writes, %d starts",
		float64(first)/1e6, atFirst.Requests, atFirst.Refused, all.Refused, all.Requests, all.Writes, w.starts)
	if first == 0 || first > firstStart || atFirst.Requests > mostBeforeStart {
		t.Errorf("the first task starts after %.1f s and %d requests", float64(first)/1e6, atFirst.Requests)
	}
	if float64(all.Refused) > mostRefused*float64(all.Requests) {
		t.Errorf("%d of %d requests were refused", all.Refused, all.Requests)
	}
	w.checkCompleted(200)
}

// Without any jobs, the number of requests to the state service depends on the number of controllers and not on that of
// teams.
func TestRequestsWithoutJobs(t *testing.T) {
	requestsPerMinute := func(nodes, teams int) int {
		w := newSimulationOf(t, 5, clusterSize{nodes: nodes, zones: 1, each: 1}, func(c *config.Config) {
			c.Cluster.Teams = equalTeams(teams, 8)
		})
		w.reliable = true
		w.run(3600*eventloop.Second + 30*eventloop.Second)
		before := w.state.Counts().Requests
		w.run(3600*eventloop.Second + 90*eventloop.Second)
		return w.state.Counts().Requests - before
	}
	few, many := requestsPerMinute(4, 20), requestsPerMinute(4, 300)
	t.Logf("a minute without jobs: 4 controllers with 20 teams make %d requests, with 300 teams %d", few, many)
	if float64(many) > 1.02*float64(few) {
		t.Errorf("%d requests a minute with 300 teams, %d with 20 teams", many, few)
	}
}

// A partition whose log is refused because a value is too large is continued in smaller segments and loses none of its
// tasks. The same holds for the next owner, which still assumes the larger limit.
func TestStateValueLimitShrinks(t *testing.T) {
	w := newSimulationOf(t, 7, clusterSize{nodes: 3, zones: 2, each: 12}, func(c *config.Config) { c.Cluster.Teams = equalTeams(12, 96) })
	for i := range 30 {
		w.after(w.between(eventloop.Second, 90*eventloop.Second), func() {
			j := w.makeJob(i)
			j.spec.Team = w.cfg.Cluster.Teams[i%4].Name
			j.spec.Tasks, j.spec.CPUs, j.spec.MemoryGB, j.broken = 60, 0.25, 0.1, false
			w.simulateUser(j)
		})
	}
	w.after(20*eventloop.Second, func() { w.state.SetLimits(&fake.Limits{ValueBytes: 2048, TxnOps: 5}) })
	w.after(70*eventloop.Second, func() { w.kill(w.anyController()) })
	w.startChecks(100 * eventloop.Second)
	w.run(3600*eventloop.Second + 500*eventloop.Second)
	t.Logf("%d transactions were refused as invalid, %d tasks started", w.state.Counts().Invalid, w.starts)
	if w.state.Counts().Invalid == 0 {
		t.Error("no record was too large, so the test covered nothing")
	}
	w.checkCompleted(20)
}
