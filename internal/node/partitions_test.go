package node

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/loop"
	"cleatpick/internal/standin"
)

// teamsOf returns n teams with equal guarantees that add up to cpus, and a limit of 24 CPUs each.
func teamsOf(n int, cpus float64) []config.Team {
	var teams []config.Team
	for i := range n {
		teams = append(teams, config.Team{Name: fmt.Sprintf("team-%03d", i), CPUs: cpus / float64(n), CPUsMax: 24})
	}
	return teams
}

// shared returns a simulation whose teams share numbered partitions, with jobs of all teams.
func shared(t testing.TB, seed uint64, r *rand.Rand, z size, teams int) *world {
	w := newWorldOf(t, seed, z, func(c *config.Config) {
		c.Cluster.Teams = teamsOf(teams, float64(z.zones*z.each*4))
	})
	w.cloud.Lag = loop.Micros(r.IntN(3)) * loop.Second
	for i := range 40 + z.zones*z.each/4 {
		w.at(w.between(loop.Second, 120*loop.Second), func() { w.sharedJob(i) })
	}
	return w
}

// sharedJob submits a job of a random team.
func (w *world) sharedJob(i int) {
	j := w.makeJob(i)
	j.spec.Team = w.cfg.Cluster.Teams[w.rng.IntN(len(w.cfg.Cluster.Teams))].Name
	w.enter(j)
}

// sharing is the faults that affect a partition that many teams share.
var sharing = []namedTrouble{
	{"an owner crashes while it records", func(w *world) {
		l := w.anyLabel()
		w.nodes[l].after("p/", func() { w.kill(l) })
	}},
	{"the answer to a record is lost, and the owner of its partition changes", func(w *world) {
		l := w.anyLabel()
		w.nodes[l].after("p/", func() {
			w.cut[l+">state"] = w.lostMode()
			w.at(w.between(loop.Second, 9*loop.Second), func() { delete(w.cut, l+">state") })
		})
	}},
	{"an owner is paused while it records", func(w *world) {
		l := w.anyLabel()
		w.nodes[l].after("p/", func() { w.freeze(l, w.between(3*loop.Second, 12*loop.Second)) })
	}},
	{"a job is cancelled while its start is recorded", func(w *world) {
		l := w.anyLabel()
		w.nodes[l].after("p/", func() {
			for _, j := range loop.Sorted(w.jobs) {
				if !j.asked && !j.done && w.rng.IntN(4) == 0 {
					w.withdraw(j)
				}
			}
		})
	}},
	{"a controller crashes while teams are assigned", func(w *world) {
		l := w.anyLabel()
		w.nodes[l].after("c/t/", func() { w.kill(l) })
	}},
	{"the state service's limit on the size of values becomes smaller", func(w *world) {
		w.state.SetLimits(&standin.Limits{ValueBytes: 1800 + w.rng.IntN(2000), TxnOps: w.cfg.Cluster.State.TxnOps})
	}},
}

// sharedWorld returns the simulation of shared with faults to come.
func sharedWorld(t testing.TB, seed uint64) *world {
	r := rand.New(rand.NewPCG(seed, 41))
	z := drawSize(r)
	z.nodes = 1 + r.IntN(15)
	w := shared(t, seed, r, z, 2*z.nodes+1+r.IntN(300-2*z.nodes))
	w.strikes(r, sharing)
	w.judged(260 * loop.Second)
	return w
}

// Where teams share partitions, no invariant is violated, no job is forgotten, and all jobs complete.
func TestRulesWhereTeamsShare(t *testing.T) {
	from, to := seeds(t, 1, 5)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := sharedWorld(t, seed)
			w.run(3600*loop.Second + 700*loop.Second)
			w.settled(20)
			w.halfServed()
			w.onlyNumbered()
		})
	}
}

// onlyNumbered checks that all controllers use numbered partitions and that no log of a single team is left.
func (w *world) onlyNumbered() {
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

// older changes a controller's settings so that it owns teams one by one and knows no other layout, like versions before
// 0.9.0.
func older(c *config.Config) { c.Operator.NumberedPartitions = false }

// upgradeWorld returns a simulation that begins with controllers of an older version. They are upgraded one after the
// other while faults occur; some are downgraded for a while, also after the layout has changed.
func upgradeWorld(t testing.TB, seed uint64) *world {
	r := rand.New(rand.NewPCG(seed, 43))
	z := drawSize(r)
	z.nodes = 2 + r.IntN(6)
	old := map[string]bool{}
	settings := func(label string, c *config.Config) {
		if old[label] {
			older(c)
		}
	}
	w := newWorldOf(t, seed, z, func(c *config.Config) {
		c.Cluster.Teams = teamsOf(2*z.nodes+1+r.IntN(60), float64(z.zones*z.each*4))
	})
	w.settings = settings
	for _, l := range w.labels {
		old[l] = true
		w.nodes[l].alive = false // restarted, with the older version
		w.startNode(l)
	}
	for i := range 50 + z.zones*z.each/4 {
		w.at(w.between(loop.Second, 200*loop.Second), func() { w.sharedJob(i) })
	}
	replace := func(at loop.Micros, label string, toOld bool) {
		w.at(at, func() {
			old[label] = toOld
			w.killFor(label, w.between(200*loop.Millisecond, 5*loop.Second))
		})
	}
	at := 25 * loop.Second
	for _, l := range w.labels {
		replace(at, l, false)
		at += w.between(3*loop.Second, 15*loop.Second)
	}
	for range r.IntN(4) { // one is downgraded, and upgraded again
		l := w.anyLabel()
		back := w.between(30*loop.Second, 190*loop.Second)
		replace(back, l, true)
		replace(back+w.between(5*loop.Second, 30*loop.Second), l, false)
	}
	for range 2 + r.IntN(4) {
		trouble := sharing[r.IntN(len(sharing)-1)]
		if r.IntN(3) == 0 {
			trouble.do = added[r.IntN(len(added))].do
		}
		w.at(w.between(20*loop.Second, 200*loop.Second), func() { trouble.do(w) })
	}
	for _, l := range w.labels {
		replace(230*loop.Second, l, false) // all are of the new version in the end
	}
	w.judged(340 * loop.Second)
	return w
}

// Both versions serve side by side and use each other's records, and the layout changes once, without any violation of an
// invariant.
func TestRulesInAnUpgrade(t *testing.T) {
	from, to := seeds(t, 1, 5)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := upgradeWorld(t, seed)
			w.run(3600*loop.Second + 800*loop.Second)
			w.settled(20)
			w.halfServed()
			w.onlyNumbered()
		})
	}
}
