package node

import (
	"fmt"
	"slices"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/cordon"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
)

// Jobs of two or three tasks that end 20 s apart, with faults of their owner in between: one end is recorded, one is
// only reported, one is reported to an owner that has crashed. No job is called done too early, no task runs twice
// at the same time or again after it has completed, and users are told in time.
func TestTasksEndingFarApart(t *testing.T) {
	const second = eventloop.Second
	for _, c := range []struct {
		name string
		do   func(w *simulation)
		most eventloop.Micros // from the end of the last task until the user is told; users poll every 2 to 5 s
	}{
		{"nothing", func(*simulation) {}, 8 * second},
		{"the leader crashes", func(w *simulation) { w.killFor(w.leader(), 8*second) }, 16 * second},
		{"all restart at once", func(w *simulation) { w.restartQuickly(w.labels, 2) }, 16 * second},
		{"the owner restarts at once, three times", func(w *simulation) { w.restartQuickly([]string{w.owner("red")}, 3) }, 16 * second},
		{"the owner is paused", func(w *simulation) { w.pause(w.owner("red"), 9*second) }, 16 * second},
		{"the state service refuses the owner while tasks end", func(w *simulation) { w.disconnectFor(8*second, refusing, w.owner("red")+">state") }, 20 * second},
		{"the owner reaches only its workers", func(w *simulation) { w.disconnectFor(20*second, dropping, w.allButWorkers(w.owner("red"))...) }, 20 * second},
		{"the state service is slow", func(w *simulation) {
			w.stateFaults.answerDelay = [2]eventloop.Micros{300 * eventloop.Millisecond, 1200 * eventloop.Millisecond}
			w.after(15*second, func() { w.stateFaults.answerDelay = [2]eventloop.Micros{} })
		}, 20 * second},
		{"writes are executed late", func(w *simulation) {
			w.stateFaults.lateWrites = 0.4
			w.after(15*second, func() { w.stateFaults.lateWrites = 0 })
		}, 24 * second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newSimulationOf(t, 5, clusterSize{nodes: 3, zones: 2, each: 8}, func(c *config.Config) {
				c.Cluster.Teams = []config.Team{{Name: "red", CPUs: 60}, {Name: "blue", CPUs: 40}}
				c.Operator.StandbyMeanS, c.Operator.OrdinaryStandbyMeanS = 1e6, 1e6
			})
			for i := range 24 {
				w.after(eventloop.Second+eventloop.Micros(i)*400*eventloop.Millisecond, func() {
					w.simulateUser(&simJob{id: fmt.Sprintf("job-%06d", i), run: 12 * second, runTimeStep: 20 * second, spec: &job.Spec{Class: "apart", Team: []string{"red", "blue"}[i%2],
						Priority: job.Normal, Tasks: 2 + i%2, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true, Estimate: 20 * second}})
				})
			}
			w.after(0, w.tickWorkers)
			w.after(0, w.checkCancelled)
			w.after(0, w.checkLeases)
			w.run(3615 * second)
			for _, x := range w.workers {
				x.w.Faulty = false
			}
			for _, at := range []eventloop.Micros{24, 36, 48} { // between the first, second and third ends
				w.after((3600+at)*second-w.now, func() { c.do(w) })
			}
			w.run(3900 * second)
			w.checkCompleted(60)
			if w.rerunCompleted != 0 || w.slowestDone > c.most {
				t.Errorf("%d tasks ran again after they had completed; a user was told %d us after the last task ended", w.rerunCompleted, w.slowestDone)
			}
		})
	}
}

// A leader that is disconnected from the state service and its peers still reaches its workers and users. Jobs are
// cancelled through the other controllers; users who ask the old leader never get an older answer than before, and
// after the partition it serves like any other controller.
func TestDisconnectedLeaderWithWorkersAndUsers(t *testing.T) {
	for _, mode := range []linkMode{dropping, refusing, delaying} {
		t.Run(fmt.Sprint(mode), func(t *testing.T) {
			t.Parallel()
			w := slowReportSimulation(t, 3)
			a := w.leader()
			connections := slices.DeleteFunc(w.allButWorkers(a), func(connection string) bool { return connection == a+">cloud" || connection == a+">state" })
			w.disconnectFor(60*eventloop.Second, map[bool]linkMode{true: dropping, false: mode}[mode == refusing], connections...)
			w.disconnectFor(60*eventloop.Second, mode, a+">state")
			for k := range 400 {
				w.after(eventloop.Micros(k)*200*eventloop.Millisecond, func() {
					s := w.nodes[a]
					j := w.jobs[fmt.Sprintf("job-%06d", k%16)]
					switch {
					case !s.n.ready():
					case k%5 == 0:
						s.n.jobs.Submit(j.id, j.spec, w.answerChecker(j))
					default:
						s.n.jobs.Poll(j.id, w.answerChecker(j))
					}
				})
			}
			w.cancelTeam("red", 4*eventloop.Second)
			w.after(20*eventloop.Second, func() { w.cancelTeam("blue", 20*eventloop.Second) })
			w.run(w.now + 60*eventloop.Second)
			if w.cancelledJobs() != 16 || len(w.running) != 0 || w.endReasons["lease"] != 0 {
				t.Errorf("%d jobs are cancelled, %d tasks still run; ended tasks by reason: %v", w.cancelledJobs(), len(w.running), w.endReasons)
			}
			w.run(w.now + 10*eventloop.Second)
			if s := w.nodes[a]; !w.allOwned() || !s.n.member.LeaseValid() {
				t.Errorf("after the partition of %s: its lease is valid %v, all teams have owners %v", a, s.n.member.LeaseValid(), w.allOwned())
			}
		})
	}
}

// shortJob returns an urgent job of short tasks, with numbers from 100 on.
func shortJob(k int, team string, tasks int, run eventloop.Micros) *simJob {
	return &simJob{id: fmt.Sprintf("job-%06d", 100+k), run: run, spec: &job.Spec{Class: "short", Team: team,
		Priority: job.High, Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true, Estimate: run}}
}

// The leader crashes while machines full of long tasks are unresponsive to commands or hang. Machines that recover
// within their lease lose nothing. The tasks of the others run again, each after it is confirmed terminated, and
// waiting jobs start.
func TestLeaderCrashesWhileMachinesAreUnresponsive(t *testing.T) {
	for _, c := range []struct {
		name     string
		do       func(w *simulation, names []string)
		recovers bool
	}{
		{"unresponsive for less than a lease", func(w *simulation, names []string) { w.ignoreCommands(names, 10*eventloop.Second) }, true},
		{"hung for less than a lease", func(w *simulation, names []string) { w.hangMachines(names, 10*eventloop.Second) }, true},
		{"unresponsive for more", func(w *simulation, names []string) { w.ignoreCommands(names, 50*eventloop.Second) }, false},
		{"hung for more", func(w *simulation, names []string) { w.hangMachines(names, 50*eventloop.Second) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := slowReportSimulation(t, 3)
			names := w.runningMachines()
			c.do(w, names[:len(names)/2])
			w.killFor(w.leader(), 40*eventloop.Second)
			began := w.now
			w.after(2*eventloop.Second, func() {
				for i := range 4 { // jobs that wait during the fault
					w.simulateUser(shortJob(i, []string{"red", "blue"}[i%2], 3, 5*eventloop.Second))
				}
			})
			w.run(w.now + 70*eventloop.Second)
			if lost := w.endReasons["lease"] + w.endReasons["gone"]; (lost == 0) != c.recovers {
				t.Errorf("ended tasks by reason: %v", w.endReasons)
			}
			for i := range 4 {
				if j := w.jobs[fmt.Sprintf("job-%06d", 100+i)]; j.cancelRequested == false && (j.firstStartAt == 0 || j.firstStartAt > began+60*eventloop.Second) {
					t.Errorf("%s started its first task at %d us", j.id, j.firstStartAt)
				}
			}
			w.run(w.now + 600*eventloop.Second)
			w.checkCompleted(100)
		})
	}
}

// The state service answers more slowly than its clients wait, then refuses the leader, and then is down for all for
// longer than cancel_s, while users cancel and ask. Questions about each job are answered within the 75 s after that,
// and cancelled tasks end in time.
func TestSlowThenUnavailableStateService(t *testing.T) {
	for _, slow := range [][2]eventloop.Micros{{500, 1000}, {900, 1400}, {1400, 2500}} {
		t.Run(fmt.Sprint(slow), func(t *testing.T) {
			t.Parallel()
			w := slowReportSimulation(t, 3)
			w.stateFaults.answerDelay = [2]eventloop.Micros{slow[0] * eventloop.Millisecond, slow[1] * eventloop.Millisecond}
			w.cancelTeam("red", 20*eventloop.Second)
			w.after(15*eventloop.Second, func() { w.disconnectFor(14*eventloop.Second, refusing, w.leader()+">state") })
			w.outage(18*eventloop.Second, 55*eventloop.Second)
			w.after(80*eventloop.Second, func() { w.stateFaults.answerDelay = [2]eventloop.Micros{} })
			w.after(70*eventloop.Second, func() { w.pollStorm(100, 20*eventloop.Second) })
			w.faultsEndAt = w.now + 80*eventloop.Second
			w.after(0, w.checkForgotten)
			w.run(w.now + 700*eventloop.Second)
			w.checkCompleted(100)
		})
	}
}

// Commands are executed seconds late, also when a machine that hung resumes, so that starts, stops and forgets overtake
// each other.
func TestDelayedCommands(t *testing.T) {
	w := newSimulationOf(t, 4, clusterSize{nodes: 3, zones: 2, each: 6}, func(*config.Config) {})
	for i := range 60 {
		w.after(w.between(eventloop.Second, 100*eventloop.Second), func() { w.addJob(i) })
	}
	w.delayedCommandShare = 0.6
	for k := range 8 {
		w.after(eventloop.Micros(10+12*k)*eventloop.Second, func() { w.hangMachines(w.someMachines(0.4), w.between(2*eventloop.Second, 14*eventloop.Second)) })
	}
	w.after(110*eventloop.Second, func() { w.delayedCommandShare = 0 })
	w.after(0, w.tickWorkers)
	w.after(0, w.checkCancelled)
	w.run(3600*eventloop.Second + 700*eventloop.Second)
	w.checkCompleted(60)
}

// Every kind of transaction gets no answer and is executed 2 to 12 s later, after newer ones of the same controller,
// while owners and leaders change. A transaction's kind is that of the first key that it changes; the test fails if no
// transaction of a kind was late.
func TestEveryKindOfWriteExecutedLate(t *testing.T) {
	late, tookEffect := map[string]int{}, map[string]int{}
	for seed := range uint64(6) {
		w := newSimulationOf(t, seed+50, clusterSize{nodes: 3, zones: 2, each: 6}, func(*config.Config) {})
		for i := range 60 {
			w.after(w.between(eventloop.Second, 120*eventloop.Second), func() { w.addJob(i) })
		}
		w.stateFaults.lateWrites = 0.3
		for k := range 6 {
			w.after(eventloop.Micros(12+18*k)*eventloop.Second, func() { coincidingFaults[len(coincidingFaults)-1-k%2].do(w) })
			w.after(eventloop.Micros(20+18*k)*eventloop.Second, func() {
				n := w.nodes[w.anyController()].n
				id := fmt.Sprintf("job-%06d", w.rng.IntN(60))
				n.jobs.Hold(id, job.Hold{Reason: "r"}, func(job.Answer) {})
				n.cordons.Put(cordon.Cordon{Name: fmt.Sprint("c", k), Machine: "n-999999", Reason: "r", Until: n.loop.Wall() + 20*eventloop.Second}, func(cordon.Outcome) {})
				w.after(6*eventloop.Second, func() { n.jobs.Release(id, func(job.Answer) {}) })
			})
		}
		w.after(130*eventloop.Second, func() { w.stateFaults.lateWrites = 0 })
		w.after(140*eventloop.Second, func() { // releases every job that is still held
			for _, j := range eventloop.Sorted(w.jobs) {
				w.nodes["a"].n.jobs.Release(j.id, func(job.Answer) {})
			}
		})
		w.after(0, w.tickWorkers)
		w.after(0, w.checkCancelled)
		w.after(0, w.checkLeases)
		w.run(3600*eventloop.Second + 800*eventloop.Second)
		w.checkCompleted(60)
		for kind, n := range w.stateFaults.kinds {
			late[kind] += n
			tookEffect[kind] += w.stateFaults.tookEffect[kind]
		}
	}
	t.Logf("late transactions by kind: %v, of which took effect: %v", late, tookEffect)
	for _, kind := range []string{"c/j", "x/red", "x/blue", "c/t", "c/l", "c/n", "c/e", "c/o", "c/g", "c/k", "c/cordons", "delete c/t", "delete c/l", "delete c/o"} {
		if late[kind] == 0 {
			t.Errorf("no transaction of the kind %s was late", kind)
		}
	}
}
