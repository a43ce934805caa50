package node

import (
	"fmt"
	"slices"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/member"
	"cleatpick/internal/wire"
)

// handWorld is a deployment full of long tasks, a minute old.
func handWorld(t *testing.T, nodes int) *world { return handWorldOf(t, nodes, 1, 10, 30) }

// handWorldOf is the same with other times of the workers, in seconds. Users cancel some jobs by
// chance, and in some draws so many that the deployment is not full: such a draw is passed over,
// since nothing of what is to be tried would be seen in it.
func handWorldOf(t *testing.T, nodes int, report, lease, cancel float64) *world {
	const firstSeed, draws, full = 9, 4, 100
	running := 0
	for seed := uint64(firstSeed); seed < firstSeed+draws; seed++ {
		w := drawHandWorld(t, seed, nodes, report, lease, cancel)
		if running = len(w.active); running >= full {
			return w
		}
	}
	t.Fatalf("only %d tasks run, in the last of %d draws", running, draws)
	return nil
}

func drawHandWorld(t *testing.T, seed uint64, nodes int, report, lease, cancel float64) *world {
	w := newWorldOf(t, seed, size{nodes: nodes, zones: 2, each: 10}, func(c *config.Config) {
		c.Cluster.Teams = []config.Team{{Name: "red", CPUs: 60}, {Name: "blue", CPUs: 40}}
		c.Operator.StandbyMeanS, c.Operator.OrdinaryStandbyMeanS = 1e6, 1e6
		c.Cluster.Workers.ReportS, c.Cluster.Workers.LeaseS, c.Cluster.Workers.CancelS = report, lease, cancel
	})
	for i := range 16 {
		w.at(loop.Second, func() {
			w.enter(&simJob{id: fmt.Sprintf("job-%06d", i), run: 150 * loop.Second, spec: &job.Spec{Class: "long", Team: []string{"red", "blue"}[i%2],
				Priority: job.Normal, Tasks: 8, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true, Estimate: 150 * loop.Second}})
		})
	}
	w.at(0, w.live)
	w.at(0, w.checkCancelled)
	w.at(0, w.checkBeliefs)
	w.run(3660 * loop.Second)
	for _, x := range w.workers {
		x.w.Faulty = false
	}
	return w
}

// A node that has its workers and nothing else can neither record nor tell of what it sees,
// and each of its answers keeps a lease alive. It sends its workers on: their tasks live on
// under a node that has contact, all of them within the stated time. Where no node has contact,
// nothing is thrown away for as long as cancellations allow.
func TestNodeWithItsWorkersOnly(t *testing.T) {
	for _, c := range []struct {
		name string
		of   func(w *world) []string
		d    loop.Micros
	}{
		{"the leader", func(w *world) []string { return []string{w.leader()} }, 60 * loop.Second},
		{"another", func(w *world) []string {
			l := w.leader()
			return []string{w.labels[(slices.Index(w.labels, l)+1)%len(w.labels)]}
		}, 60 * loop.Second},
		{"all but one", func(w *world) []string {
			return slices.DeleteFunc(slices.Clone(w.labels), func(l string) bool { return l == "b" })
		}, 60 * loop.Second},
		{"all", func(w *world) []string { return w.labels }, 23 * loop.Second},
	} {
		for _, mode := range []cutMode{dropping, holding} {
			t.Run(fmt.Sprint(c.name, mode), func(t *testing.T) {
				t.Parallel()
				w := handWorld(t, 3)
				cut := c.of(w)
				for _, l := range cut {
					w.cutFor(c.d, mode, w.workersOnly(l)...)
				}
				// Isolated after 2.5 s, told at the next look (0.7 s); each worker is sent on with
				// its next report, tries each cut node for a second, and is there for good once
				// none of them answers: see docs/notes/addition.md.
				w.run(w.now + 16*loop.Second)
				for _, name := range w.present() {
					for _, l := range w.labels {
						v := w.nodes[l].n.agent.View(name)
						if len(cut) < len(w.labels) && !slices.Contains(cut, l) && (v == nil || slices.Contains(cut, v.Host) || w.now-w.workers[name].w.Answer() > 3*loop.Second) {
							t.Errorf("%s sees %s at %v, which has nothing but its workers", l, name, v)
						}
					}
				}
				w.run(w.now + c.d + 60*loop.Second)
				if w.whys["lease"] != 0 || w.whys["gone"] != 0 {
					t.Errorf("tasks end by %v", w.whys)
				}
				w.run(w.now + 400*loop.Second)
				w.settled(100)
			})
		}
	}
}

// Where workers reach no node but the one that has nothing else, it lets them go in time for
// cancellations that others have told of meanwhile; the referee looks at every second.
func TestCancelledBehindANodeWithItsWorkersOnly(t *testing.T) {
	w := handWorld(t, 3)
	w.cutFor(90*loop.Second, dropping, slices.Concat(w.workersOnly("a"), []string{"b>workers", "c>workers"})...)
	for _, j := range loop.Sorted(w.jobs) {
		w.at(5*loop.Second, func() { w.withdraw(j) })
	}
	w.run(w.now + 80*loop.Second)
	told := 0
	for _, j := range w.jobs {
		if j.withdrawn != 0 {
			told++
		}
	}
	if told < len(w.jobs)-2 || w.whys["lease"] == 0 || len(w.active) != 0 {
		t.Errorf("%d of %d jobs are cancelled, tasks end by %v, %d are left", told, len(w.jobs), w.whys, len(w.active))
	}
}

// All other nodes are silent to everybody. To the one that is left that looks like a cut of its
// own; sent on, its workers would wait for each of the others in vain, and lose their leases.
func TestNodeThatIsLeftKeepsItsWorkers(t *testing.T) {
	for _, nodes := range []int{3, 5} {
		w := handWorld(t, nodes)
		left := slices.MaxFunc(w.labels, func(a, b string) int { return w.nodes[a].n.agent.HostedCount() - w.nodes[b].n.agent.HostedCount() })
		var mine []string
		for _, name := range w.present() {
			if v := w.nodes[left].n.agent.View(name); v != nil && v.Host == left {
				mine = append(mine, name)
			}
		}
		for _, l := range w.labels {
			if l != left {
				w.cutFor(60*loop.Second, dropping, w.ways(l)...)
			}
		}
		w.run(w.now + 100*loop.Second)
		for _, name := range mine {
			if x := w.workers[name]; x.gone || x.w.Report().Session != 1 {
				t.Errorf("%d nodes: %s lost its lease at the node that is left", nodes, name)
			}
		}
		if len(mine) < 3 {
			t.Errorf("%d nodes: only %d machines report to %s", nodes, len(mine), left)
		}
	}
}

// owned tells whether every team has an owner that knows of it, and somebody leads.
func (w *world) owned() bool {
	leads, teams := false, map[string]bool{}
	for _, l := range w.labels {
		s := w.nodes[l]
		if !s.alive || !s.n.member.Entitled() {
			continue
		}
		if _, is := s.n.member.Leads(); is {
			leads = true
		}
		for _, t := range w.cfg.Cluster.Teams {
			teams[t.Name] = teams[t.Name] || s.n.placer.Owns(t.Name)
		}
	}
	return leads && len(teams) == len(w.cfg.Cluster.Teams) && !slices.Contains([]bool{teams["red"], teams["blue"]}, false)
}

// Processes that are back before anybody notices, with their old leases, claims and connections
// still there: as leader, as owner, all of them, and three times within two seconds. They end
// their earlier leases themselves and wait for none; no task is lost for it, and every team has
// an owner again within the stated time.
func TestBackWithinAMoment(t *testing.T) {
	for _, c := range []struct {
		name  string
		nodes int
		times int
		who   func(w *world) []string
		most  loop.Micros
	}{
		{"the leader", 3, 1, func(w *world) []string { return []string{w.leader()} }, 2 * loop.Second},
		{"the leader, three times", 3, 3, func(w *world) []string { return []string{w.leader()} }, 2 * loop.Second},
		{"all", 3, 1, func(w *world) []string { return w.labels }, 2 * loop.Second},
		{"all, three times", 3, 3, func(w *world) []string { return w.labels }, 2 * loop.Second},
		{"all of five, three times", 5, 3, func(w *world) []string { return w.labels }, 2 * loop.Second},
		{"the only one", 1, 1, func(w *world) []string { return w.labels }, 2 * loop.Second},
	} {
		for _, sure := range []bool{true, false} {
			t.Run(fmt.Sprint(c.name, ", nothing lost ", sure), func(t *testing.T) {
				t.Parallel()
				w := handWorld(t, c.nodes)
				w.copies = 0.3
				most := c.most
				if w.sure = sure; !sure {
					most += 2 * loop.Second // one request in eighty is lost or late, a claim or a lease among them
				}
				claims := 0
				w.state.Stored = func(key string, _ wire.Raw) {
					if key == member.Prefix+"l" {
						claims++
					}
				}
				for k := range c.times {
					w.at(loop.Micros(k)*700*loop.Millisecond, func() {
						for _, l := range c.who(w) {
							w.killFor(l, w.between(20*loop.Millisecond, 300*loop.Millisecond))
						}
					})
				}
				last := w.now + loop.Micros(c.times-1)*700*loop.Millisecond + 300*loop.Millisecond
				w.run(last)
				for !w.owned() && w.now < last+20*loop.Second {
					w.run(w.now + 50*loop.Millisecond)
				}
				if took := w.now - last; took > most || claims > 2*c.times {
					t.Errorf("all owned %d us after the last return; the leadership was claimed %d times", took, claims)
				}
				t.Logf("all owned %d us after the last return", w.now-last)
				w.run(w.now + 40*loop.Second)
				if w.whys["lease"] != 0 || w.whys["gone"] != 0 {
					t.Errorf("tasks end by %v", w.whys)
				}
				w.run(w.now + 400*loop.Second)
				w.settled(100)
			})
		}
	}
}
