package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"

	"pgregory.net/rapid"
)

// preemptionFleet simulates machines on which no task completes: tasks start and stop only on command. It checks every
// preemption against the rules.
type preemptionFleet struct {
	*rig
	t            rapid.TB
	teams        []config.Team
	specs        map[string]*job.Spec
	machines     map[string][]workers.Task
	startsDone   int                    // number of starts carried out
	stopped      map[string]int         // by task: how often it was stopped
	alternations map[[2]string][]string // by pair of jobs: which of them preempted the other, at each change
}

func newPreemptionFleet(t rapid.TB, teams []config.Team, machines int) *preemptionFleet {
	f := &preemptionFleet{rig: newRig(1000, teams...), t: t, teams: teams, specs: map[string]*job.Spec{}, machines: map[string][]workers.Task{},
		stopped: map[string]int{}, alternations: map[[2]string][]string{}}
	f.scheduler.deps.ReportCauses = true
	f.scheduler.deps.SendReservations = func(claims []peer.Reservation) {
		for i := range claims {
			f.checkRules(&claims[i])
		}
	}
	f.onStop = f.stop
	for i := range machines {
		f.machines[fmt.Sprintf("n-%03d", i)] = nil
	}
	return f
}

// run advances time: starts are carried out, and every machine reports.
func (f *preemptionFleet) run(d eventloop.Micros) {
	for end := f.Now() + d; f.Now() < end; {
		for ; f.startsDone < len(f.starts); f.startsDone++ {
			s := f.starts[f.startsDone]
			if !slices.ContainsFunc(f.machines[s.Machine], func(x workers.Task) bool { return x.Task == s.Task && x.Attempt == s.Attempt }) {
				f.machines[s.Machine] = append(f.machines[s.Machine], workers.Task{Task: s.Task, Attempt: s.Attempt, State: wire.TaskRunning})
			}
		}
		for name, tasks := range eventloop.Sorted(f.machines) {
			f.deliverView(name, "m16", "x", false, tasks...)
		}
		f.Advance(50 * eventloop.Millisecond)
	}
}

func (f *preemptionFleet) stop(s workers.Stop) {
	tasks := f.machines[s.Machine]
	for i := range tasks {
		x := &tasks[i]
		if x.Task == s.Task && x.Attempt == s.Attempt && x.Active() && !s.Forget {
			x.State, x.Why = wire.TaskExited, wire.WhyStopped
			f.stopped[x.Task]++
		}
	}
}

// uses returns what each team has in use by the owner's tables.
func (f *preemptionFleet) uses() map[string]float64 {
	uses := map[string]float64{}
	for _, team := range f.teams {
		uses[team.Name] = f.scheduler.teams[team.Name].cpus
	}
	return uses
}

// recordPreemption records that a job preempted another.
func (f *preemptionFleet) recordPreemption(victim, claimant string) {
	pair := [2]string{min(victim, claimant), max(victim, claimant)}
	if turns := f.alternations[pair]; len(turns) == 0 || turns[len(turns)-1] != claimant {
		f.alternations[pair] = append(turns, claimant)
	}
}

// checkAlternations fails the test if two jobs preempted each other alternately more than the given number of times.
func (f *preemptionFleet) checkAlternations(most int) {
	for pair, turns := range f.alternations {
		if len(turns) > most {
			f.t.Fatalf("%s and %s preempt each other alternately: %v", pair[0], pair[1], turns)
		}
	}
}

// checkRules applies the rules of preemption to all victims of one task together.
func (f *preemptionFleet) checkRules(claim *peer.Reservation) {
	claimant := f.specs[claim.Job]
	uses := f.uses()
	freed := map[string]float64{}
	byGuarantee := map[string]bool{}
	for _, name := range claim.Victims {
		id, _, _ := workers.SplitTask(name)
		victim := f.specs[id]
		f.recordPreemption(id, claim.Job)
		freed[victim.Team] += victim.CPUs
		switch {
		case victim.Priority < claimant.Priority:
		case victim.Team == claimant.Team:
			f.t.Fatalf("%s is preempted for %s of the same team, which has no higher priority", name, claim.Job)
		default:
			byGuarantee[victim.Team] = true
		}
	}
	for _, team := range f.teams {
		if byGuarantee[team.Name] && uses[team.Name]-freed[team.Name] < team.CPUs-1e-6 {
			f.t.Fatalf("%v are preempted for %s, which leaves team %s %v of its guaranteed %v CPUs", claim.Victims, claim.Job, team.Name, uses[team.Name]-freed[team.Name], team.CPUs)
		}
	}
}

// otherTasks returns the number of tasks of all other jobs.
func (f *preemptionFleet) otherTasks(id string) (n int) {
	for other, spec := range f.specs {
		if other != id {
			n += spec.Tasks
		}
	}
	return n
}

// No preemption breaks the rules, and preemption ends: while no job arrives and none completes, no two jobs preempt
// each other alternately, preemptions cease, and no task is preempted more often than there are tasks that could be
// placed instead.
func TestPreemptionEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines := rapid.IntRange(1, 4).Draw(t, "machines")
		var teams []config.Team
		for i := range rapid.IntRange(2, 4).Draw(t, "teams") {
			teams = append(teams, config.Team{Name: fmt.Sprint("team", i), CPUs: float64(rapid.IntRange(0, 12*machines).Draw(t, "guarantee")), CPUsMax: 1000})
		}
		f := newPreemptionFleet(t, teams, machines)
		f.run(100 * eventloop.Millisecond)
		jobs := rapid.IntRange(2, 7).Draw(t, "jobs")
		for i := range jobs {
			spec := job.Spec{Class: "k", Team: teams[rapid.IntRange(0, len(teams)-1).Draw(t, "team")].Name, Priority: job.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
				Tasks: rapid.IntRange(1, 16*machines).Draw(t, "tasks"), CPUs: float64(rapid.IntRange(1, 6).Draw(t, "cpus")), MemoryGB: 0.1, Image: "i", AnyType: true, Estimate: 600 * eventloop.Second}
			f.specs[fmt.Sprintf("job-%06d", i)] = &spec
			f.acceptJob(i, spec)
			f.run(eventloop.Micros(rapid.IntRange(50, 3000).Draw(t, "pause")) * eventloop.Millisecond)
		}
		// Each arriving job may change the order of two others once. While none arrives, capacity that tasks of
		// different sizes leave free may go to one of them and be taken back once.
		f.checkAlternations(jobs)
		clear(f.alternations)
		f.run(20 * eventloop.Second)
		f.checkAlternations(2)
		before := 0
		for _, n := range f.stopped {
			before += n
		}
		f.run(15 * eventloop.Second)
		after := 0
		for _, n := range f.stopped {
			after += n
		}
		fmt.Println()
		if after != before {
			t.Fatalf("%d tasks are preempted long after the last job arrived", after-before)
		}
		for task, n := range f.stopped {
			if of, _, _ := workers.SplitTask(task); n > f.otherTasks(of) {
				t.Fatalf("%s is preempted %d times, there are %d tasks of other jobs", task, n, f.otherTasks(of))
			}
		}
	})
}

// submit stores a job whose tasks do not complete by themselves.
func (f *preemptionFleet) submit(number int, spec job.Spec) {
	spec.Class, spec.MemoryGB, spec.Image, spec.AnyType, spec.Estimate = "k", 0.1, "i", true, 600*eventloop.Second
	f.specs[fmt.Sprintf("job-%06d", number)] = &spec
	f.acceptJob(number, spec)
}

// The victims of one task together, and not only each by itself, must leave their team its guarantee. A task of five
// CPUs once preempted five tasks of a team that ran three CPUs beyond its guarantee. The same holds for all tasks of
// one pass, and if tasks of lower priority are preempted as well. A job that does not fit into its team's guarantee
// preempts nothing by that guarantee.
func TestPreemptionLeavesTheGuarantee(t *testing.T) {
	type work struct {
		team     string
		priority job.Priority
		tasks    int
		cpus     float64
	}
	for _, c := range []struct {
		name      string
		red, blue float64 // guarantees, with 16 CPUs in total
		running   []work
		comes     work
		stopped   int
	}{
		{"one task larger than the excess", 8, 13, []work{{"blue", job.Normal, 16, 1}}, work{"red", job.Normal, 1, 5}, 0},
		{"one task as large as the excess", 8, 13, []work{{"blue", job.Normal, 16, 1}}, work{"red", job.Normal, 1, 3}, 3},
		{"several tasks, each as large as the excess", 9, 13, []work{{"blue", job.High, 16, 1}}, work{"red", job.High, 3, 3}, 3},
		{"with tasks of lower priority among the victims", 8, 10, []work{{"blue", job.Low, 6, 1}, {"blue", job.Normal, 10, 1}}, work{"red", job.Normal, 1, 8}, 0},
		{"a job larger than the guarantee", 4, 8, []work{{"blue", job.Normal, 16, 1}}, work{"red", job.Normal, 8, 1}, 0},
		{"a job as large as the guarantee", 4, 8, []work{{"blue", job.Normal, 16, 1}}, work{"red", job.Normal, 4, 1}, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newPreemptionFleet(t, []config.Team{{Name: "red", CPUs: c.red, CPUsMax: 100}, {Name: "blue", CPUs: c.blue, CPUsMax: 100}}, 1)
			f.run(100 * eventloop.Millisecond)
			for i, x := range append(c.running, c.comes) {
				f.submit(i, job.Spec{Team: x.team, Priority: x.priority, Tasks: x.tasks, CPUs: x.cpus})
				f.run(2 * eventloop.Second)
			}
			f.run(10 * eventloop.Second)
			if len(f.stopped) != c.stopped {
				t.Errorf("%v are preempted, want %d tasks", f.stopped, c.stopped)
			}
		})
	}
}

// A guarantee is divided among a team's jobs by priority, then by acceptance, until it is used up.
func TestShares(t *testing.T) {
	f := newPreemptionFleet(t, []config.Team{{Name: "red", CPUs: 10, CPUsMax: 100}}, 0)
	for i, spec := range []job.Spec{{Priority: job.Low, Tasks: 4, CPUs: 2}, {Priority: job.High, Tasks: 3, CPUs: 2}, {Priority: job.Low, Tasks: 9, CPUs: 1}} {
		spec.Team = "red"
		f.submit(i, spec)
	}
	f.run(100 * eventloop.Millisecond)
	red := f.scheduler.teams["red"]
	shares := f.scheduler.guaranteeShares(red)
	for id, want := range map[string]float64{"job-000000": 4, "job-000001": 6, "job-000002": 0} {
		if got := shares[red.jobs[id]]; got != want {
			t.Errorf("%s has a share of %v CPUs, want %v", id, got, want)
		}
	}
}
