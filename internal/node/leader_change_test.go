package node

import (
	"fmt"
	"strings"
	"testing"

	"cleatpick/internal/autoscaler"
	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/membership"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// The leader changes ten times in two minutes, because leaders crash, are refused by the state service or are paused,
// also with an outage in between. Urgent jobs still start in time, no lease is lost, the numbers of machines and of
// recorded orders do not grow with the changes, and 10 s after the last change all teams have owners.
func TestLeadersChangeTenTimes(t *testing.T) {
	const second = eventloop.Second
	for _, c := range []struct {
		name   string
		do     func(w *simulation, l string)
		outage bool
	}{
		{"they crash", func(w *simulation, l string) { w.killFor(l, 5*second) }, false},
		{"they restart at once", func(w *simulation, l string) { w.killFor(l, 200*eventloop.Millisecond) }, false},
		{"they are refused", func(w *simulation, l string) { w.disconnectFor(7*second, refusing, l+">state") }, false},
		{"they are paused", func(w *simulation, l string) { w.pause(l, 7*second) }, false},
		{"a random one of these", func(w *simulation, l string) {
			[]func(){func() { w.killFor(l, 5*second) }, func() { w.disconnectFor(7*second, refusing, l+">state") }, func() { w.pause(l, 7*second) }}[w.rng.IntN(3)]()
		}, false},
		{"they crash, also in an outage", func(w *simulation, l string) { w.killFor(l, 5*second) }, true},
		{"they restart at once, also in an outage", func(w *simulation, l string) { w.killFor(l, 200*eventloop.Millisecond) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := slowReportSimulation(t, 3)
			began, claims, last := w.now, 0, ""
			w.state.OnPut = func(key string, _ wire.Raw) {
				if key == membership.Prefix+"l" {
					claims++
				}
			}
			had, mostOrders := len(w.workers), 0
			for k := range 10 {
				w.after(eventloop.Micros(k)*12*second, func() {
					last = w.leader()
					c.do(w, last)
				})
			}
			if c.outage {
				w.outage(50*second, 15*second)
			}
			for k := range 24 {
				w.after(eventloop.Micros(k)*5*second, func() {
					w.simulateUser(shortJob(k, []string{"red", "blue"}[k%2], 3, 2*second))
					mostOrders = max(mostOrders, len(w.nodes[w.labels[0]].n.mirror.KeysUnder(autoscaler.OrderKeys)))
				})
			}
			w.run(began + 120*second)
			for until := w.now + 20*second; !w.allOwned() && w.now < until; {
				w.run(w.now + second/2)
			}
			if took := w.now - began - 120*second; took > 10*second {
				t.Errorf("all teams have owners %d us after the last change", took)
			}
			w.run(w.now + 20*second)
			// A start that is lost with its host controller expires after 6 s, and is given up after another 4.4 s. Its
			// machine finds a new host controller in 5 s and shows that one's token with its second report, 12 s later.
			for k := range 24 {
				if j := w.jobs[fmt.Sprintf("job-%06d", 100+k)]; !j.cancelRequested && (j.firstStartAt == 0 || j.firstStartAt > j.acceptedAt+map[bool]eventloop.Micros{false: 30, true: 45}[c.outage]*second) {
					t.Errorf("%s started %d us after it was accepted", j.id, j.firstStartAt-j.acceptedAt)
				}
			}
			if w.endReasons["lease"] != 0 || w.endReasons["gone"] != 0 || claims < 5 {
				t.Errorf("ended tasks by reason: %v; the leadership was claimed %d times", w.endReasons, claims)
			}
			if n := len(w.workers) - had; n > 8 || mostOrders > 12 {
				t.Errorf("%d machines were created, and %d orders recorded at the same time", n, mostOrders)
			}
			w.run(w.now + 400*second)
			w.checkCompleted(100)
		})
	}
}

// A team is at its limit, with tasks of fractions of a CPU, when its owner changes, some of its machines are out of
// contact, and jobs of it are cancelled. A task that may still run counts against the limit until it is confirmed
// terminated, which the invariant checker verifies at each start; after that, the limit is used up again.
func TestLimitAcrossAnOwnerChange(t *testing.T) {
	const second, limit = eventloop.Second, 22.7
	for _, c := range []struct {
		name string
		away func(w *simulation, names []string)
	}{
		{"they hang", func(w *simulation, names []string) { w.hangMachines(names, 20*second) }},
		{"they are unresponsive to commands", func(w *simulation, names []string) { w.ignoreCommands(names, 20*second) }},
		{"they cannot report", func(w *simulation, names []string) { w.blockReports(names, 20*second) }},
		{"they hang for long", func(w *simulation, names []string) { w.hangMachines(names, 60*second) }},
		{"they fail", (*simulation).failMachines},
	} {
		for _, change := range []string{"it ends", "it is back at once", "it is refused", "it stands still", "all end"} {
			t.Run(c.name+", "+change, func(t *testing.T) {
				t.Parallel()
				w := newSimulationOf(t, 17, clusterSize{nodes: 3, zones: 2, each: 6}, func(cfg *config.Config) {
					cfg.Cluster.Teams = []config.Team{{Name: "red", CPUs: 10, CPUsMax: limit}, {Name: "blue", CPUs: 20}}
					cfg.Operator.StandbyMeanS, cfg.Operator.OrdinaryStandbyMeanS = 1e6, 1e6
				})
				for i := range 90 { // thirty times the limit
					w.after(eventloop.Second+eventloop.Micros(i)*200*eventloop.Millisecond, func() {
						w.simulateUser(&simJob{id: fmt.Sprintf("job-%06d", i), run: 12 * second, spec: &job.Spec{Class: "k", Team: "red",
							Priority: job.Normal, Tasks: 10, CPUs: 0.1 + 0.3*float64(i%4), MemoryGB: 0.5, Image: "i", AnyType: true, Estimate: 25 * second}})
					})
				}
				w.startChecks(140 * second)
				w.run(3640 * second)
				for _, x := range w.workers {
					x.w.Faulty = false
				}
				if w.cpusInUse["red"] < limit-1.1 {
					t.Fatalf("the team uses only %v CPUs before the change of owner", w.cpusInUse["red"])
				}
				owner := w.owner("red")
				c.away(w, w.someMachines(0.5))
				w.after(second, func() {
					switch change {
					case "it ends":
						w.killFor(owner, 8*second)
					case "it is back at once":
						w.killFor(owner, 150*eventloop.Millisecond)
					case "it is refused":
						w.disconnectFor(15*second, refusing, owner+">state")
					case "it stands still":
						w.pause(owner, 12*second)
					default:
						for _, l := range w.labels {
							w.kill(l)
						}
					}
				})
				w.cancelSome(0.9, 8*second)
				// By then each machine is deleted or has recovered; one that hangs for 60 s is deleted a lease and
				// some seconds after it began to hang.
				most := 0.0
				for w.run(3640*second + 50*second); w.now < 3640*second+65*second; w.run(w.now + second) {
					most = max(most, w.cpusInUse["red"])
				}
				if most < limit-1.1 {
					t.Errorf("50 to 65 s after the change of owner the team uses %v of %v CPUs at most", most, limit)
				}
				w.run(3600*second + 900*second)
				w.checkCompleted(200)
			})
		}
	}
}

// Reports are delayed until a new leader has acted, and then arrive at any controller: reports of the same session or
// the one before, with tasks that have ended since, that run elsewhere by now, or without tasks that started since;
// at controllers that know newer reports, and at controllers that have just started.
func TestReportsDelayedPastLeaderChange(t *testing.T) {
	const second = eventloop.Second
	for _, c := range []struct {
		name string
		do   func(w *simulation, names []string)
	}{
		{"nothing else", func(*simulation, []string) {}},
		{"a next session", func(w *simulation, names []string) { w.restartMachines(names) }},
		{"hung for longer than the lease", func(w *simulation, names []string) { w.hangMachines(names, 14*second) }},
		{"unresponsive to commands for longer than the lease", func(w *simulation, names []string) { w.ignoreCommands(names, 14*second) }},
		{"failed", (*simulation).failMachines},
	} {
		for _, all := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, ", all controllers restart ", all), func(t *testing.T) {
				t.Parallel()
				w := busySimulation(t, 3)
				names := w.runningMachines()
				var held []wire.Report
				hold := func() {
					for _, n := range names {
						if x := w.workers[n]; !x.deleted {
							held = append(held, x.w.Report())
						}
					}
				}
				arrive := func() {
					for k := range held {
						r := held[k]
						s := w.nodes[w.anyController()]
						s.execute(s.incarnation, func() { s.n.workers.Report(r, func(workers.Answer) {}) })
					}
				}
				hold()
				for k := range 8 { // so that tasks start and end in the meantime
					w.after(eventloop.Micros(k)*700*eventloop.Millisecond, func() {
						w.simulateUser(shortJob(k, "red", 6, 2*second))
					})
				}
				w.after(3*second, hold)
				w.after(3500*eventloop.Millisecond, func() { c.do(w, names[:len(names)/2]) })
				w.after(4*second, func() {
					for _, l := range w.labels {
						if all || l == w.leader() {
							w.killFor(l, 300*eventloop.Millisecond)
						}
					}
				})
				w.after(4*second, hold)
				for _, d := range []eventloop.Micros{4500, 5000, 6000, 8000, 12000, 20000, 30000, 45000} {
					w.after(d*eventloop.Millisecond, arrive)
				}
				w.startChecks(110 * second)
				w.run(w.now + 50*second)
				for _, l := range w.labels {
					for _, n := range w.runningMachines() {
						v := w.nodes[l].n.workers.View(n)
						if x := w.workers[n]; v != nil && v.Session < x.w.Report().Session {
							t.Errorf("%s has an outdated view of %s, of session %d", l, n, v.Session)
						}
					}
				}
				if c.name == "nothing else" && w.endReasons["lease"]+w.endReasons["gone"]+w.rerunCompleted != 0 {
					t.Errorf("ended tasks by reason: %v; %d ran again after they had completed", w.endReasons, w.rerunCompleted)
				}
				w.run(w.now + 500*second)
				w.checkCompleted(100)
			})
		}
	}
}

// All controllers are down for longer than a worker's lease, and return together, one by one, or during an outage. No
// task is started again before it is confirmed terminated. Then the tasks run again without any other delay, and each
// is started only once for each time it was lost.
func TestAllControllersDownLongerThanALease(t *testing.T) {
	const second = eventloop.Second
	for _, c := range []struct {
		name   string
		away   [3]eventloop.Micros
		outage bool
	}{
		{"they return together", [3]eventloop.Micros{40 * second, 40 * second, 40 * second}, false},
		{"they return one by one", [3]eventloop.Micros{35 * second, 45 * second, 60 * second}, false},
		{"they return as the leases expire", [3]eventloop.Micros{24 * second, 26 * second, 28 * second}, false},
		{"they return during an outage", [3]eventloop.Micros{35 * second, 36 * second, 37 * second}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := slowReportSimulation(t, 3)
			began, starts := w.now, w.starts
			first := c.away[0]
			for k, l := range w.labels {
				w.killFor(l, c.away[k])
				first = min(first, c.away[k])
			}
			if c.outage {
				w.outage(20*second, 50*second)
				first = 70 * second
			}
			// Blue uses 24 CPUs beyond its guarantee, which may be preempted once for red.
			had := len(w.running)
			stopped := w.endReasons["stopped"]
			w.startChecks(140 * second)
			// A controller's lease, and then two reports until each machine has found a controller and shown its token.
			for w.run(began + first); len(w.running) < had*9/10 && w.now < began+first+60*second; {
				w.run(w.now + second)
			}
			if took := w.now - began - first; took > 30*second {
				t.Errorf("%d of %d tasks run %d us after the first controller was back", len(w.running), had, took)
			}
			w.run(w.now + 20*second)
			if again := w.starts - starts; again > w.endReasons["lease"]+w.endReasons["gone"]+w.endReasons["error"]+w.endReasons["stopped"]-stopped || w.endReasons["stopped"]-stopped > 24 {
				t.Errorf("%d starts; ended tasks by reason: %v", again, w.endReasons)
			}
			t.Logf("%d starts, %d us; ended tasks by reason: %v", w.starts-starts, w.now-20*second-began-first, w.endReasons)
			w.run(w.now + 500*second)
			w.checkCompleted(100)
		})
	}
}

// strandedIn returns, for each machine of a zone, whether it has accepted a token of a newer epoch than that of all
// controllers in the zone.
func (w *simulation) strandedIn(zone string) map[string]bool {
	newest := uint64(0)
	for _, l := range w.labels {
		if s := w.nodes[l]; s.alive && s.zone == zone {
			newest = max(newest, s.n.member.Epoch())
		}
	}
	stranded := map[string]bool{}
	for _, name := range w.machinesInZone(zone) {
		stranded[name] = workers.EpochOf(w.workers[name].w.Token()) > newest
	}
	return stranded
}

// A zone with workers and a controller, which is the leader, an owner or neither, is disconnected for up to longer
// than a lease, while users cancel jobs and tasks end inside. No task runs twice, cancelled tasks end, and a task
// that completed inside does not run again if its report arrives before its machine is deleted.
//
// A lease counts from when the last answered report was sent. So a partition certainly ends no lease if it is shorter
// than the lease less the longest report interval, the timeout of an answer and the wait before the next controller
// is tried: 26 - 6.25 - 4 - 1 s. A longer one that is still shorter than the lease ends only the leases of machines
// that have accepted a token of a newer epoch than that of the controllers they still reach, which cannot get a newer
// epoch without the state service.
func TestZoneDisconnectedLongerThanALease(t *testing.T) {
	const second = eventloop.Second
	for _, who := range []string{"the leader", "an owner", "neither"} {
		for _, mode := range []linkMode{dropping, delaying} {
			for _, d := range []eventloop.Micros{14 * second, 20 * second, 30 * second, 55 * second} {
				t.Run(fmt.Sprint(who, ", ", mode, " for ", d/second, " s"), func(t *testing.T) {
					t.Parallel()
					w := slowReportSimulation(t, 3)
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
					for k := range 10 { // jobs that end inside the zone
						w.simulateUser(shortJob(k, "blue", 3, 15*second))
					}
					w.run(w.now + 8*second)
					stranded := w.strandedIn(zone)
					w.onLeaseExpired = func(x *simWorker, task string) {
						if d == 14*second || d == 20*second && !stranded[x.w.Name] {
							t.Errorf("%s ends because the lease of %s expired, after a partition of %d s", task, x.w.Name, d/second)
						}
					}
					w.disconnectZone(zone, mode, d)
					w.cancelSome(0.6, d)
					w.startChecks(w.now - 3600*second + d + 40*second)
					w.run(w.now + d + 60*second)
					if !w.allOwned() {
						t.Error("not all teams have owners a minute after the partition")
					}
					if d <= 20*second && w.endReasons["gone"]+w.rerunCompleted != 0 {
						t.Errorf("a partition shorter than the lease; ended tasks by reason: %v; %d ran again after they had completed", w.endReasons, w.rerunCompleted)
					}
					w.onLeaseExpired = nil
					w.run(w.now + 600*second)
					w.checkCompleted(100)
				})
			}
		}
	}
}

// Jobs that are bound to one zone, by name or by their other tasks, and jobs that may have only half of their tasks
// in one zone, lose machines. Tasks that may still run bind the others as before; after they are confirmed
// terminated, the job's tasks are placed wherever there is capacity. Machines are created where its tasks may run.
func TestZoneBoundJobsLoseMachines(t *testing.T) {
	const second = eventloop.Second
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
			for _, full := range []bool{false, true} { // no new machines are available in the zone that lost them
				t.Run(fmt.Sprint(c.name, ", they ", fall, ", full ", full), func(t *testing.T) {
					t.Parallel()
					w := newSimulationOf(t, 23, clusterSize{nodes: 3, zones: 3, each: 8}, func(cfg *config.Config) {
						cfg.Cluster.Teams = []config.Team{{Name: "red", CPUs: 120}, {Name: "blue", CPUs: 60}}
					})
					var ids []string
					for i := range 3 {
						s := c.spec
						s.Class, s.Team, s.Priority, s.CPUs, s.MemoryGB, s.Image, s.AnyType, s.Estimate = "bound", "red", job.Normal, 2, 1, "i", true, 30*second
						j := &simJob{id: fmt.Sprintf("job-%06d", i), run: 30 * second, spec: &s}
						ids = append(ids, j.id)
						w.after(second, func() {
							w.jobs[j.id] = j
							w.submit(j)
							w.poll(j)
						})
					}
					w.onTaskStart = func(x *simWorker, _ string) { x.w.Faulty = false }
					w.startChecks(110 * second)
					w.run(3625 * second)
					zone := "y"
					for task, m := range w.running {
						if c.spec.Zone == "" && strings.HasPrefix(task, ids[0]+"/") {
							zone = w.workers[m].w.Zone
							break
						}
					}
					if full {
						kept := w.cloud.Available[zone]
						w.cloud.Available[zone] = 0
						if c.spec.Zone != "" {
							w.after(60*second, func() { w.cloud.Available[zone] += kept })
						}
					}
					switch in := w.machinesInZone(zone); fall {
					case "die":
						w.failMachines(in)
					case "hang":
						w.hangMachines(in, 70*second)
					default:
						w.disconnectZone(zone, dropping, 50*second)
					}
					w.run(3600*second + 450*second)
					for _, id := range ids {
						if j := w.jobs[id]; !j.done {
							t.Errorf("%s is not done; %d starts, %d machines; ended tasks by reason: %v", id, j.starts, len(w.runningMachines()), w.endReasons)
						}
					}
				})
			}
		}
	}
}
