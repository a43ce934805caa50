package node

import (
	"fmt"
	"strings"
	"testing"

	"cleatpick/internal/agent"
	"cleatpick/internal/config"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/member"
	"cleatpick/internal/rental"
	"cleatpick/internal/wire"
)

// Leaders change ten times in two minutes: they end, are refused by the state service, stand still
// or hear nobody; also with an outage in between. Work that is urgent goes on to be served, no
// lease is lost for it, nothing grows with the changes, and 10 s after the last all is as before.
func TestLeadersChangeTenTimes(t *testing.T) {
	const second = loop.Second
	for _, c := range []struct {
		name string
		do   func(w *world, l string)
		out  bool
	}{
		{"they end", func(w *world, l string) { w.killFor(l, 5*second) }, false},
		{"they are back at once", func(w *world, l string) { w.killFor(l, 200*loop.Millisecond) }, false},
		{"they are refused", func(w *world, l string) { w.cutFor(7*second, refusing, l+">state") }, false},
		{"they stand still", func(w *world, l string) { w.freeze(l, 7*second) }, false},
		{"each in its turn", func(w *world, l string) {
			[]func(){func() { w.killFor(l, 5*second) }, func() { w.cutFor(7*second, refusing, l+">state") }, func() { w.freeze(l, 7*second) }}[w.rng.IntN(3)]()
		}, false},
		{"they end, also in an outage", func(w *world, l string) { w.killFor(l, 5*second) }, true},
		{"they are back at once, also in an outage", func(w *world, l string) { w.killFor(l, 200*loop.Millisecond) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := fullWorld(t, 3)
			began, claims, last := w.now, 0, ""
			w.state.Stored = func(key string, _ wire.Raw) {
				if key == member.Prefix+"l" {
					claims++
				}
			}
			had, tally := len(w.workers), 0
			for k := range 10 {
				w.at(loop.Micros(k)*12*second, func() {
					last = w.leader()
					c.do(w, last)
				})
			}
			if c.out {
				w.outage(50*second, 15*second)
			}
			for k := range 24 {
				w.at(loop.Micros(k)*5*second, func() {
					w.enter(shortJob(k, []string{"red", "blue"}[k%2], 3, 2*second))
					tally = max(tally, len(w.nodes[w.labels[0]].n.mirror.KeysUnder(rental.OrderKeys)))
				})
			}
			w.run(began + 120*second)
			for until := w.now + 20*second; !w.owned() && w.now < until; {
				w.run(w.now + second/2)
			}
			if took := w.now - began - 120*second; took > 10*second {
				t.Errorf("all is owned %d us after the last change", took)
			}
			w.run(w.now + 20*second)
			// A start that is lost with its host is over 6 s later, and another 4.4 s; its machine finds a new host in
			// 5 s and shows that one's token with its second report, 12 s later.
			for k := range 24 {
				if j := w.jobs[fmt.Sprintf("job-%06d", 100+k)]; !j.asked && (j.began == 0 || j.began > j.told+map[bool]loop.Micros{false: 30, true: 45}[c.out]*second) {
					t.Errorf("%s began %d us after it was accepted", j.id, j.began-j.told)
				}
			}
			if w.whys["lease"] != 0 || w.whys["gone"] != 0 || claims < 5 {
				t.Errorf("tasks end by %v; the leadership was claimed %d times", w.whys, claims)
			}
			if n := len(w.workers) - had; n > 8 || tally > 12 {
				t.Errorf("%d machines were rented, and %d orders recorded at once", n, tally)
			}
			w.run(w.now + 400*second)
			w.settled(100)
		})
	}
}

// A team is at its limit, with tasks of fractions of a CPU, when its owner changes, some of its
// machines can't be asked, and jobs of it are cancelled. What may be on a machine counts until it
// is proven off, by the referee's count at each start; and once it is, the limit is used again.
func TestLimitAcrossAnOwnerChange(t *testing.T) {
	const second, limit = loop.Second, 22.7
	for _, c := range []struct {
		name string
		away func(w *world, names []string)
	}{
		{"they hang", func(w *world, names []string) { w.hang(names, 20*second) }},
		{"they are deaf", func(w *world, names []string) { w.deafen(names, 20*second) }},
		{"they cannot report", func(w *world, names []string) { w.mute(names, 20*second) }},
		{"they hang for long", func(w *world, names []string) { w.hang(names, 60*second) }},
		{"they die", (*world).die},
	} {
		for _, change := range []string{"it ends", "it is back at once", "it is refused", "it stands still", "all end"} {
			t.Run(c.name+", "+change, func(t *testing.T) {
				t.Parallel()
				w := newWorldOf(t, 17, size{nodes: 3, zones: 2, each: 6}, func(cfg *config.Config) {
					cfg.Cluster.Teams = []config.Team{{Name: "red", CPUs: 10, CPUsMax: limit}, {Name: "blue", CPUs: 20}}
					cfg.Operator.StandbyMeanS, cfg.Operator.OrdinaryStandbyMeanS = 1e6, 1e6
				})
				for i := range 90 { // thirty times the limit
					w.at(loop.Second+loop.Micros(i)*200*loop.Millisecond, func() {
						w.enter(&simJob{id: fmt.Sprintf("job-%06d", i), run: 12 * second, spec: &job.Spec{Class: "k", Team: "red",
							Priority: job.Normal, Tasks: 10, CPUs: 0.1 + 0.3*float64(i%4), MemoryGB: 0.5, Image: "i", AnyType: true, Estimate: 25 * second}})
					})
				}
				w.judged(140 * second)
				w.run(3640 * second)
				for _, x := range w.workers {
					x.w.Faulty = false
				}
				if w.teams["red"] < limit-1.1 {
					t.Fatalf("the team uses %v before", w.teams["red"])
				}
				owner := w.owner("red")
				c.away(w, w.some(0.5))
				w.at(second, func() {
					switch change {
					case "it ends":
						w.killFor(owner, 8*second)
					case "it is back at once":
						w.killFor(owner, 150*loop.Millisecond)
					case "it is refused":
						w.cutFor(15*second, refusing, owner+">state")
					case "it stands still":
						w.freeze(owner, 12*second)
					default:
						for _, l := range w.labels {
							w.kill(l)
						}
					}
				})
				w.cancelSome(0.9, 8*second)
				// Gone or back and proven: a hang of 60 s by a deletion, a lease and some seconds after it began.
				most := 0.0
				for w.run(3640*second + 50*second); w.now < 3640*second+65*second; w.run(w.now + second) {
					most = max(most, w.teams["red"])
				}
				if most < limit-1.1 {
					t.Errorf("50 s later the team uses %v of %v at the most", most, limit)
				}
				w.run(3600*second + 900*second)
				w.settled(200)
			})
		}
	}
}

// A report is held back until a new leader has acted, and then arrives there: of the same session
// or the one before, with tasks that have ended since, that run elsewhere by now, or that it does
// not have yet; at nodes that know newer ones, and at nodes that know nothing at all.
func TestReportHeldBackForANewLeader(t *testing.T) {
	const second = loop.Second
	for _, c := range []struct {
		name string
		do   func(w *world, names []string)
	}{
		{"nothing else", func(*world, []string) {}},
		{"a next session", func(w *world, names []string) { w.rebirth(names) }},
		{"hung beyond the lease", func(w *world, names []string) { w.hang(names, 14*second) }},
		{"deaf beyond the lease", func(w *world, names []string) { w.deafen(names, 14*second) }},
		{"dead", (*world).die},
	} {
		for _, all := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, ", all nodes end ", all), func(t *testing.T) {
				t.Parallel()
				w := handWorld(t, 3)
				names := w.present()
				var held []wire.Report
				hold := func() {
					for _, n := range names {
						if x := w.workers[n]; !x.gone {
							held = append(held, x.w.Report())
						}
					}
				}
				arrive := func() {
					for k := range held {
						r := held[k]
						s := w.nodes[w.anyLabel()]
						s.enter(s.gen, func() { s.n.agent.Report(r, func(agent.Answer) {}) })
					}
				}
				hold()
				for k := range 8 { // as tasks end, begin and move
					w.at(loop.Micros(k)*700*loop.Millisecond, func() {
						w.enter(shortJob(k, "red", 6, 2*second))
					})
				}
				w.at(3*second, hold)
				w.at(3500*loop.Millisecond, func() { c.do(w, names[:len(names)/2]) })
				w.at(4*second, func() {
					for _, l := range w.labels {
						if all || l == w.leader() {
							w.killFor(l, 300*loop.Millisecond)
						}
					}
				})
				w.at(4*second, hold)
				for _, d := range []loop.Micros{4500, 5000, 6000, 8000, 12000, 20000, 30000, 45000} {
					w.at(d*loop.Millisecond, arrive)
				}
				w.judged(110 * second)
				w.run(w.now + 50*second)
				for _, l := range w.labels {
					for _, n := range w.present() {
						v := w.nodes[l].n.agent.View(n)
						if x := w.workers[n]; v != nil && v.Session < x.w.Report().Session {
							t.Errorf("%s sees %s in session %d", l, n, v.Session)
						}
					}
				}
				if c.name == "nothing else" && w.whys["lease"]+w.whys["gone"]+w.redone != 0 {
					t.Errorf("tasks end by %v, %d ran once more", w.whys, w.redone)
				}
				w.run(w.now + 500*second)
				w.settled(100)
			})
		}
	}
}

// All controllers are away for longer than a worker's lease: they are back together, one by one,
// or into an outage. Nothing is started before what ran is proven off; then it runs again without
// waiting for anything else, and without a storm: each task is started once for each time it was lost.
func TestAllAwayForLongerThanALease(t *testing.T) {
	const second = loop.Second
	for _, c := range []struct {
		name string
		away [3]loop.Micros
		out  bool
	}{
		{"back together", [3]loop.Micros{40 * second, 40 * second, 40 * second}, false},
		{"one by one", [3]loop.Micros{35 * second, 45 * second, 60 * second}, false},
		{"as the leases end", [3]loop.Micros{24 * second, 26 * second, 28 * second}, false},
		{"into an outage", [3]loop.Micros{35 * second, 36 * second, 37 * second}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := fullWorld(t, 3)
			began, starts := w.now, w.starts
			first := c.away[0]
			for k, l := range w.labels {
				w.killFor(l, c.away[k])
				first = min(first, c.away[k])
			}
			if c.out {
				w.outage(20*second, 50*second)
				first = 70 * second
			}
			// Blue runs 24 CPUs beyond its guarantee, which red may claim once.
			had := len(w.active)
			stopped := w.whys["stopped"]
			w.judged(140 * second)
			// A node's lease, then two reports until each machine has found a node and shown its token.
			for w.run(began + first); len(w.active) < had*9/10 && w.now < began+first+60*second; {
				w.run(w.now + second)
			}
			if took := w.now - began - first; took > 30*second {
				t.Errorf("%d of %d tasks run %d us after the first was back", len(w.active), had, took)
			}
			w.run(w.now + 20*second)
			if again := w.starts - starts; again > w.whys["lease"]+w.whys["gone"]+w.whys["error"]+w.whys["stopped"]-stopped || w.whys["stopped"]-stopped > 24 {
				t.Errorf("%d starts; tasks end by %v", again, w.whys)
			}
			t.Logf("%d starts, %d us; tasks end by %v", w.starts-starts, w.now-20*second-began-first, w.whys)
			w.run(w.now + 500*second)
			w.settled(100)
		})
	}
}

// strandedBy are the machines of a zone that follow a token above those of all nodes in it.
func (w *world) strandedBy(zone string) map[string]bool {
	newest := uint64(0)
	for _, l := range w.labels {
		if s := w.nodes[l]; s.alive && s.zone == zone {
			newest = max(newest, s.n.member.Epoch())
		}
	}
	stranded := map[string]bool{}
	for _, name := range w.inZone(zone) {
		stranded[name] = agent.EpochOf(w.workers[name].w.Token()) > newest
	}
	return stranded
}

// A zone with workers and a controller, the leader, the owner or neither, is cut off for longer than
// a lease, while users cancel, and jobs end inside. Nothing runs twice, what was cancelled is gone,
// and what ended inside is not run again when the report of it comes before its machine is gone.
//
// A lease counts from when the last answered report was sent. So a cut ends none for certain where
// it is shorter than the lease less the longest time between two reports, an answer's and a pause:
// 26 - 6.25 - 4 - 1 s. Beyond that it ends only those of machines that follow a token above those of
// the nodes that are left to them, which cannot get a newer epoch without the state service.
func TestZoneAwayForLongerThanALease(t *testing.T) {
	const second = loop.Second
	for _, who := range []string{"the leader", "an owner", "neither"} {
		for _, mode := range []cutMode{dropping, holding} {
			for _, d := range []loop.Micros{14 * second, 20 * second, 30 * second, 55 * second} {
				t.Run(fmt.Sprint(who, ", ", mode, " for ", d/second, " s"), func(t *testing.T) {
					t.Parallel()
					w := fullWorld(t, 3)
					zone := ""
					for _, l := range w.labels {
						is := who == "the leader" && l == w.leader() || who == "an owner" && l == w.owner("red") ||
							who == "neither" && l != w.leader() && l != w.owner("red") && l != w.owner("blue")
						if is {
							zone = w.nodes[l].zone
						}
					}
					if zone == "" {
						zone = w.zones[0]
					}
					for k := range 10 { // what ends inside
						w.enter(shortJob(k, "blue", 3, 15*second))
					}
					w.run(w.now + 8*second)
					stranded := w.strandedBy(zone)
					w.onLease = func(x *simWorker, task string) {
						if d == 14*second || d == 20*second && !stranded[x.w.Name] {
							t.Errorf("%s ends by the lease of %s, after a cut of %d s", task, x.w.Name, d/second)
						}
					}
					w.cutZone(zone, mode, d)
					w.cancelSome(0.6, d)
					w.judged(w.now - 3600*second + d + 40*second)
					w.run(w.now + d + 60*second)
					if !w.owned() {
						t.Error("not all is owned a minute after the cut")
					}
					if d <= 20*second && w.whys["gone"]+w.redone != 0 {
						t.Errorf("a cut shorter than the lease: tasks end by %v, %d ran once more", w.whys, w.redone)
					}
					w.onLease = nil
					w.run(w.now + 600*second)
					w.settled(100)
				})
			}
		}
	}
}

// Jobs that are bound to one zone, by name or by their other tasks, and those that may have only
// half of theirs in one, lose machines. What may be left of them still binds them; once it is
// proven off they go wherever there is room. Machines are rented where their tasks may run.
func TestZoneBoundJobsLoseMachines(t *testing.T) {
	const second = loop.Second
	for _, c := range []struct {
		name string
		spec job.Spec
	}{
		{"oneZone", job.Spec{OneZone: true, Tasks: 20}},
		{"oneZone, at once", job.Spec{OneZone: true, Gang: true, Tasks: 20}},
		{"scatter", job.Spec{Spread: true, Tasks: 21}},
		{"scatter, at once", job.Spec{Spread: true, Gang: true, Tasks: 21}},
		{"field", job.Spec{Zone: "y", Tasks: 20}},
	} {
		for _, fall := range []string{"die", "hang", "are cut off"} {
			for _, full := range []bool{false, true} { // nothing is to be had in the zone that lost them
				t.Run(fmt.Sprint(c.name, ", they ", fall, ", full ", full), func(t *testing.T) {
					t.Parallel()
					w := newWorldOf(t, 23, size{nodes: 3, zones: 3, each: 8}, func(cfg *config.Config) {
						cfg.Cluster.Teams = []config.Team{{Name: "red", CPUs: 120}, {Name: "blue", CPUs: 60}}
					})
					var ids []string
					for i := range 3 {
						s := c.spec
						s.Class, s.Team, s.Priority, s.CPUs, s.MemoryGB, s.Image, s.AnyType, s.Estimate = "bound", "red", job.Normal, 2, 1, "i", true, 30*second
						j := &simJob{id: fmt.Sprintf("job-%06d", i), run: 30 * second, spec: &s}
						ids = append(ids, j.id)
						w.at(second, func() {
							w.jobs[j.id] = j
							w.submit(j)
							w.poll(j)
						})
					}
					w.onBegan = func(x *simWorker, _ string) { x.w.Faulty = false }
					w.judged(110 * second)
					w.run(3625 * second)
					zone := "y"
					for task, m := range w.active {
						if c.spec.Zone == "" && strings.HasPrefix(task, ids[0]+"/") {
							zone = w.workers[m].w.Zone
							break
						}
					}
					if full {
						kept := w.cloud.Left[zone]
						w.cloud.Left[zone] = 0
						if c.spec.Zone != "" {
							w.at(60*second, func() { w.cloud.Left[zone] += kept })
						}
					}
					switch in := w.inZone(zone); fall {
					case "die":
						w.die(in)
					case "hang":
						w.hang(in, 70*second)
					default:
						w.cutZone(zone, dropping, 50*second)
					}
					w.run(3600*second + 450*second)
					for _, id := range ids {
						if j := w.jobs[id]; !j.done {
							t.Errorf("%s is not done; %d starts, the fleet %d, tasks end by %v", id, j.starts, len(w.present()), w.whys)
						}
					}
				})
			}
		}
	}
}
