package node

import (
	"fmt"
	"slices"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/cordon"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
)

// Jobs of two or three tasks that end 20 s apart, with faults of their owner in between: one end is recorded, one is only
// reported, one is reported to an owner that has crashed. No job is called done too early, no task that has completed runs
// again, and users are told in time.
func TestEndsFarApart(t *testing.T) {
	const second = loop.Second
	for _, c := range []struct {
		name string
		do   func(w *world)
		most loop.Micros // from the end of the last task until the user is told; users poll every 2 to 5 s
	}{
		{"nothing", func(*world) {}, 8 * second},
		{"the leader crashes", func(w *world) { w.killFor(w.leader(), 8*second) }, 16 * second},
		{"all restart at once", func(w *world) { w.backAtOnce(w.labels, 2) }, 16 * second},
		{"the owner restarts at once, again and again", func(w *world) { w.backAtOnce([]string{w.owner("red")}, 3) }, 16 * second},
		{"the owner is paused", func(w *world) { w.freeze(w.owner("red"), 9*second) }, 16 * second},
		{"the state service refuses the owner while tasks end", func(w *world) { w.cutFor(8*second, refusing, w.owner("red")+">state") }, 20 * second},
		{"the owner reaches only its workers", func(w *world) { w.cutFor(20*second, dropping, w.workersOnly(w.owner("red"))...) }, 20 * second},
		{"the state service is slow", func(w *world) {
			w.late.slow = [2]loop.Micros{300 * loop.Millisecond, 1200 * loop.Millisecond}
			w.at(15*second, func() { w.late.slow = [2]loop.Micros{} })
		}, 20 * second},
		{"writes are executed late", func(w *world) {
			w.late.writes = 0.4
			w.at(15*second, func() { w.late.writes = 0 })
		}, 24 * second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newWorldOf(t, 5, size{nodes: 3, zones: 2, each: 8}, func(c *config.Config) {
				c.Cluster.Teams = []config.Team{{Name: "red", CPUs: 60}, {Name: "blue", CPUs: 40}}
				c.Operator.StandbyMeanS, c.Operator.OrdinaryStandbyMeanS = 1e6, 1e6
			})
			for i := range 24 {
				w.at(loop.Second+loop.Micros(i)*400*loop.Millisecond, func() {
					w.enter(&simJob{id: fmt.Sprintf("job-%06d", i), run: 12 * second, later: 20 * second, spec: &job.Spec{Class: "apart", Team: []string{"red", "blue"}[i%2],
						Priority: job.Normal, Tasks: 2 + i%2, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true, Estimate: 20 * second}})
				})
			}
			w.at(0, w.live)
			w.at(0, w.checkCancelled)
			w.at(0, w.checkBeliefs)
			w.run(3615 * second)
			for _, x := range w.workers {
				x.w.Faulty = false
			}
			for _, at := range []loop.Micros{24, 36, 48} { // between the first, second and third ends
				w.at((3600+at)*second-w.now, func() { c.do(w) })
			}
			w.run(3900 * second)
			w.settled(60)
			if w.redone != 0 || w.slowest > c.most {
				t.Errorf("%d tasks ran again after they had completed; a user was told %d us after the last task ended", w.redone, w.slowest)
			}
		})
	}
}

// A leader that is disconnected from the state service and its peers still reaches its workers and users. Jobs are
// cancelled through the other controllers; users who ask the old leader never get an older answer than before, and after
// the partition it serves like any other controller.
func TestLeaderWithItsWorkersAndUsers(t *testing.T) {
	for _, mode := range []cutMode{dropping, refusing, holding} {
		t.Run(fmt.Sprint(mode), func(t *testing.T) {
			t.Parallel()
			w := fullWorld(t, 3)
			a := w.leader()
			ways := slices.DeleteFunc(w.workersOnly(a), func(way string) bool { return way == a+">cloud" || way == a+">state" })
			w.cutFor(60*loop.Second, map[bool]cutMode{true: dropping, false: mode}[mode == refusing], ways...)
			w.cutFor(60*loop.Second, mode, a+">state")
			for k := range 400 {
				w.at(loop.Micros(k)*200*loop.Millisecond, func() {
					s := w.nodes[a]
					j := w.jobs[fmt.Sprintf("job-%06d", k%16)]
					switch {
					case !s.n.ready():
					case k%5 == 0:
						s.n.jobs.Submit(j.id, j.spec, w.answer(j))
					default:
						s.n.jobs.Poll(j.id, w.answer(j))
					}
				})
			}
			w.cancelAmong("red", 4*loop.Second)
			w.at(20*loop.Second, func() { w.cancelAmong("blue", 20*loop.Second) })
			w.run(w.now + 60*loop.Second)
			if w.cancelled() != 16 || len(w.active) != 0 || w.whys["lease"] != 0 {
				t.Errorf("%d jobs are cancelled, %d tasks still run; ended tasks by reason: %v", w.cancelled(), len(w.active), w.whys)
			}
			w.run(w.now + 10*loop.Second)
			if s := w.nodes[a]; !w.owned() || !s.n.member.LeaseValid() {
				t.Errorf("after the partition of %s: its lease is valid %v, all teams have owners %v", a, s.n.member.LeaseValid(), w.owned())
			}
		})
	}
}

// shortJob returns an urgent job of short tasks, with numbers from 100 on.
func shortJob(k int, team string, tasks int, run loop.Micros) *simJob {
	return &simJob{id: fmt.Sprintf("job-%06d", 100+k), run: run, spec: &job.Spec{Class: "short", Team: team,
		Priority: job.High, Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true, Estimate: run}}
}

// The leader crashes while machines full of long tasks are unresponsive to commands or hang. Machines that recover within
// their lease lose nothing. The tasks of the others run again, each after it is confirmed terminated, and waiting jobs
// start.
func TestLeaderEndsWhileMachinesAreAway(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(w *world, names []string)
		back bool
	}{
		{"deaf for less than a lease", func(w *world, names []string) { w.deafen(names, 10*loop.Second) }, true},
		{"hung for less than a lease", func(w *world, names []string) { w.hang(names, 10*loop.Second) }, true},
		{"deaf for more", func(w *world, names []string) { w.deafen(names, 50*loop.Second) }, false},
		{"hung for more", func(w *world, names []string) { w.hang(names, 50*loop.Second) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := fullWorld(t, 3)
			names := w.present()
			c.do(w, names[:len(names)/2])
			w.killFor(w.leader(), 40*loop.Second)
			began := w.now
			w.at(2*loop.Second, func() {
				for i := range 4 { // jobs that wait meanwhile
					w.enter(shortJob(i, []string{"red", "blue"}[i%2], 3, 5*loop.Second))
				}
			})
			w.run(w.now + 70*loop.Second)
			if lost := w.whys["lease"] + w.whys["gone"]; (lost == 0) != c.back {
				t.Errorf("ended tasks by reason: %v", w.whys)
			}
			for i := range 4 {
				if j := w.jobs[fmt.Sprintf("job-%06d", 100+i)]; j.asked == false && (j.began == 0 || j.began > began+60*loop.Second) {
					t.Errorf("%s started its first task at %d us", j.id, j.began)
				}
			}
			w.run(w.now + 600*loop.Second)
			w.settled(100)
		})
	}
}

// The state service answers more slowly than its clients wait, then refuses the leader, and then is down for all for longer
// than cancel_s, while users cancel and ask. Questions about each job are answered within the 75 s after that, and cancelled
// tasks end in time.
func TestSlowThenAway(t *testing.T) {
	for _, slow := range [][2]loop.Micros{{500, 1000}, {900, 1400}, {1400, 2500}} {
		t.Run(fmt.Sprint(slow), func(t *testing.T) {
			t.Parallel()
			w := fullWorld(t, 3)
			w.late.slow = [2]loop.Micros{slow[0] * loop.Millisecond, slow[1] * loop.Millisecond}
			w.cancelAmong("red", 20*loop.Second)
			w.at(15*loop.Second, func() { w.cutFor(14*loop.Second, refusing, w.leader()+">state") })
			w.outage(18*loop.Second, 55*loop.Second)
			w.at(80*loop.Second, func() { w.late.slow = [2]loop.Micros{} })
			w.at(70*loop.Second, func() { w.storm(100, 20*loop.Second) })
			w.calm = w.now + 80*loop.Second
			w.at(0, w.checkKnown)
			w.run(w.now + 700*loop.Second)
			w.settled(100)
		})
	}
}

// Commands are executed seconds late, also when a machine that hung resumes, so that starts, stops and forgets overtake
// each other.
func TestCommandsHeldUp(t *testing.T) {
	w := newWorldOf(t, 4, size{nodes: 3, zones: 2, each: 6}, func(*config.Config) {})
	for i := range 60 {
		w.at(w.between(loop.Second, 100*loop.Second), func() { w.addJob(i) })
	}
	w.heldUp = 0.6
	for k := range 8 {
		w.at(loop.Micros(10+12*k)*loop.Second, func() { w.hang(w.some(0.4), w.between(2*loop.Second, 14*loop.Second)) })
	}
	w.at(110*loop.Second, func() { w.heldUp = 0 })
	w.at(0, w.live)
	w.at(0, w.checkCancelled)
	w.run(3600*loop.Second + 700*loop.Second)
	w.settled(60)
}

// Every kind of transaction gets no answer and is executed 2 to 12 s later, after newer ones of the same controller, while
// owners and leaders change. A transaction's kind is that of the first key that it changes; the test fails if a kind never
// was late.
func TestEveryKindOfWriteComesLate(t *testing.T) {
	late, taken := map[string]int{}, map[string]int{}
	for seed := range uint64(6) {
		w := newWorldOf(t, seed+50, size{nodes: 3, zones: 2, each: 6}, func(*config.Config) {})
		for i := range 60 {
			w.at(w.between(loop.Second, 120*loop.Second), func() { w.addJob(i) })
		}
		w.late.writes = 0.3
		for k := range 6 {
			w.at(loop.Micros(12+18*k)*loop.Second, func() { meetings[len(meetings)-1-k%2].do(w) })
			w.at(loop.Micros(20+18*k)*loop.Second, func() {
				n := w.nodes[w.anyLabel()].n
				id := fmt.Sprintf("job-%06d", w.rng.IntN(60))
				n.jobs.Hold(id, job.Hold{Reason: "r"}, func(job.Answer) {})
				n.cordons.Put(cordon.Cordon{Name: fmt.Sprint("c", k), Machine: "n-999999", Reason: "r", Until: n.loop.Wall() + 20*loop.Second}, func(cordon.Outcome) {})
				w.at(6*loop.Second, func() { n.jobs.Release(id, func(job.Answer) {}) })
			})
		}
		w.at(130*loop.Second, func() { w.late.writes = 0 })
		w.at(140*loop.Second, func() { // whatever is still held
			for _, j := range loop.Sorted(w.jobs) {
				w.nodes["a"].n.jobs.Release(j.id, func(job.Answer) {})
			}
		})
		w.at(0, w.live)
		w.at(0, w.checkCancelled)
		w.at(0, w.checkBeliefs)
		w.run(3600*loop.Second + 800*loop.Second)
		w.settled(60)
		for kind, n := range w.late.kinds {
			late[kind] += n
			taken[kind] += w.late.taken[kind]
		}
	}
	t.Logf("late transactions by kind: %v, of which took effect: %v", late, taken)
	for _, kind := range []string{"c/j", "x/red", "x/blue", "c/t", "c/l", "c/n", "c/e", "c/o", "c/g", "c/k", "c/cordons", "delete c/t", "delete c/l", "delete c/o"} {
		if late[kind] == 0 {
			t.Errorf("no transaction of the kind %s was late", kind)
		}
	}
}
