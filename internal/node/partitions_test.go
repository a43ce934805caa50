package node

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/fake"
)

// equalTeams returns n teams with equal guarantees that add up to cpus, and a limit of 24 CPUs each.
func equalTeams(n int, cpus float64) []config.Team {
	var teams []config.Team
	for i := range n {
		teams = append(teams, config.Team{Name: fmt.Sprintf("team-%03d", i), CPUs: cpus / float64(n), CPUsMax: 24})
	}
	return teams
}

// sharedPartitionSimulation returns a simulation whose teams share numbered partitions, with jobs of all teams.
func sharedPartitionSimulation(t testing.TB, seed uint64, r *rand.Rand, z clusterSize, teams int) *simulation {
	w := newSimulationOf(t, seed, z, func(c *config.Config) {
		c.Cluster.Teams = equalTeams(teams, float64(z.zones*z.each*4))
	})
	w.cloud.ListLag = eventloop.Micros(r.IntN(3)) * eventloop.Second
	for i := range 40 + z.zones*z.each/4 {
		w.after(w.between(eventloop.Second, 120*eventloop.Second), func() { w.submitSharedJob(i) })
	}
	return w
}

// submitSharedJob submits a job of a random team.
func (w *simulation) submitSharedJob(i int) {
	j := w.makeJob(i)
	j.spec.Team = w.cfg.Cluster.Teams[w.rng.IntN(len(w.cfg.Cluster.Teams))].Name
	w.simulateUser(j)
}

// partitionFaults lists the faults that affect a partition that many teams share.
var partitionFaults = []namedFault{
	{"an owner crashes while it records", func(w *simulation) {
		l := w.anyController()
		w.nodes[l].afterRequest("p/", func() { w.kill(l) })
	}},
	{"the answer to a record is lost, and the owner of its partition changes", func(w *simulation) {
		l := w.anyController()
		w.nodes[l].afterRequest("p/", func() {
			w.linkModes[l+">state"] = w.randomLossMode()
			w.after(w.between(eventloop.Second, 9*eventloop.Second), func() { delete(w.linkModes, l+">state") })
		})
	}},
	{"an owner is paused while it records", func(w *simulation) {
		l := w.anyController()
		w.nodes[l].afterRequest("p/", func() { w.pause(l, w.between(3*eventloop.Second, 12*eventloop.Second)) })
	}},
	{"a job is cancelled while its start is recorded", func(w *simulation) {
		l := w.anyController()
		w.nodes[l].afterRequest("p/", func() {
			for _, j := range eventloop.Sorted(w.jobs) {
				if !j.cancelRequested && !j.done && w.rng.IntN(4) == 0 {
					w.cancel(j)
				}
			}
		})
	}},
	{"a controller crashes while teams are assigned", func(w *simulation) {
		l := w.anyController()
		w.nodes[l].afterRequest("c/t/", func() { w.kill(l) })
	}},
	{"the state service's limit on the size of values becomes smaller", func(w *simulation) {
		w.state.SetLimits(&fake.Limits{ValueBytes: 1800 + w.rng.IntN(2000), TxnOps: w.cfg.Cluster.State.TxnOps})
	}},
}

// partitionFaultSimulation returns the simulation of sharedPartitionSimulation with faults to come.
func partitionFaultSimulation(t testing.TB, seed uint64) *simulation {
	r := rand.New(rand.NewPCG(seed, 41))
	z := drawSize(r)
	z.nodes = 1 + r.IntN(15)
	w := sharedPartitionSimulation(t, seed, r, z, 2*z.nodes+1+r.IntN(300-2*z.nodes))
	w.injectFaults(r, partitionFaults)
	w.startChecks(260 * eventloop.Second)
	return w
}

// Where teams share partitions, no invariant is violated, no job is forgotten, and all jobs complete.
func TestInvariantsWithSharedPartitions(t *testing.T) {
	from, to := seedRange(t, 1, 5)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := partitionFaultSimulation(t, seed)
			w.run(3600*eventloop.Second + 700*eventloop.Second)
			w.checkCompleted(20)
			w.checkHalfServed()
			w.checkNumberedLayout()
		})
	}
}

// checkNumberedLayout checks that all controllers use numbered partitions and that no log of a single team is left.
func (w *simulation) checkNumberedLayout() {
	w.t.Helper()
	for _, l := range w.labels {
		if s := w.nodes[l]; s.alive && !s.n.member.Layout().Numbered() {
			w.t.Errorf("%s does not use the layout with numbered partitions", l)
		}
	}
	if keys := w.state.Keys("x/"); len(keys) > 0 {
		w.t.Errorf("%d segments of logs of single teams are left: %s", len(keys), strings.Join(keys[:min(len(keys), 3)], " "))
	}
}

// useOlderLayout changes a controller's settings so that it owns teams one by one and knows no other layout, like
// versions before 0.9.0.
func useOlderLayout(c *config.Config) { c.Operator.NumberedPartitions = false }

// upgradeSimulation returns a simulation that begins with controllers of an older version. They are upgraded one
// after the other while faults occur; some are downgraded for a while, also after the layout has changed.
func upgradeSimulation(t testing.TB, seed uint64) *simulation {
	r := rand.New(rand.NewPCG(seed, 43))
	z := drawSize(r)
	z.nodes = 2 + r.IntN(6)
	old := map[string]bool{}
	settings := func(label string, c *config.Config) {
		if old[label] {
			useOlderLayout(c)
		}
	}
	w := newSimulationOf(t, seed, z, func(c *config.Config) {
		c.Cluster.Teams = equalTeams(2*z.nodes+1+r.IntN(60), float64(z.zones*z.each*4))
	})
	w.settings = settings
	for _, l := range w.labels {
		old[l] = true
		w.nodes[l].alive = false // restarted, with the older version
		w.startNode(l)
	}
	for i := range 50 + z.zones*z.each/4 {
		w.after(w.between(eventloop.Second, 200*eventloop.Second), func() { w.submitSharedJob(i) })
	}
	replace := func(at eventloop.Micros, label string, toOld bool) {
		w.after(at, func() {
			old[label] = toOld
			w.killFor(label, w.between(200*eventloop.Millisecond, 5*eventloop.Second))
		})
	}
	at := 25 * eventloop.Second
	for _, l := range w.labels {
		replace(at, l, false)
		at += w.between(3*eventloop.Second, 15*eventloop.Second)
	}
	for range r.IntN(4) { // one is downgraded, and upgraded again
		l := w.anyController()
		back := w.between(30*eventloop.Second, 190*eventloop.Second)
		replace(back, l, true)
		replace(back+w.between(5*eventloop.Second, 30*eventloop.Second), l, false)
	}
	for range 2 + r.IntN(4) {
		fault := partitionFaults[r.IntN(len(partitionFaults)-1)]
		if r.IntN(3) == 0 {
			fault.do = isolationFaults[r.IntN(len(isolationFaults))].do
		}
		w.after(w.between(20*eventloop.Second, 200*eventloop.Second), func() { fault.do(w) })
	}
	for _, l := range w.labels {
		replace(230*eventloop.Second, l, false) // all are of the new version in the end
	}
	w.startChecks(340 * eventloop.Second)
	return w
}

// Both versions serve side by side and use each other's records, and the layout changes once, without any violation
// of an invariant.
func TestInvariantsDuringUpgrade(t *testing.T) {
	from, to := seedRange(t, 1, 5)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := upgradeSimulation(t, seed)
			w.run(3600*eventloop.Second + 800*eventloop.Second)
			w.checkCompleted(20)
			w.checkHalfServed()
			w.checkNumberedLayout()
		})
	}
}
