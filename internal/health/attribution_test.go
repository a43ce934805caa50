package health

import (
	"fmt"
	"slices"
	"testing"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"

	"pgregory.net/rapid"
)

// ending is the end of a task as a machine reported it.
type ending struct {
	at                 eventloop.Micros
	machine, job, task string
	ok                 bool
}

// historyModel is a model of the failure attribution that keeps the whole history and computes
// every result from it.
type historyModel []ending

// failedOn returns the machines on which the job has failed since a task of it completed.
func (p historyModel) failedOn(job string) (on []string, sound bool) {
	for _, e := range p {
		switch {
		case e.job != job:
		case e.ok:
			on, sound = nil, true
		case !slices.Contains(on, e.machine):
			on = append(on, e.machine)
		}
	}
	return on, sound
}

func (p historyModel) failedElsewhere(task, machine string) bool {
	return slices.ContainsFunc(p, func(e ending) bool { return e.task == task && !e.ok && e.machine != machine })
}

// failsAnywhere reports whether any task of the job failed on several machines.
func (p historyModel) failsAnywhere(job string) bool {
	return slices.ContainsFunc(p, func(e ending) bool { return e.job == job && !e.ok && p.failedElsewhere(e.task, e.machine) })
}

func (p historyModel) atFault(machine string) bool {
	from := 0
	for i, e := range p {
		if e.machine == machine && e.ok {
			from = i + 1
		}
	}
	proven := map[string]bool{} // jobs that failed there
	for _, e := range p[from:] {
		if e.machine == machine && !p.failedElsewhere(e.task, machine) {
			proven[e.job] = proven[e.job] || slices.ContainsFunc(p, func(o ending) bool { return o.task == e.task && o.ok && o.machine != machine })
		}
	}
	weight := 0
	for job, proof := range proven {
		on, sound := p.failedOn(job)
		others := len(slices.DeleteFunc(on, func(m string) bool { return m == machine }))
		switch {
		case proof:
			weight += 6
		case others >= 2 || p.failsAnywhere(job):
		case !sound:
			weight++
		default:
			weight += 2
		}
	}
	return weight >= 6
}

func (p historyModel) failedOnHealthy(job string) (n int) {
	on, _ := p.failedOn(job)
	for _, m := range on {
		if !p.atFault(m) {
			n++
		}
	}
	return n
}

func always(string) bool { return true }

// Machines report tasks of finished jobs for a while. Nothing may be kept of them, or the
// memory would grow with every job ever run.
func TestFinishedJobsAreForgotten(t *testing.T) {
	over := map[string]bool{}
	b := NewAttribution(func(id string) bool { return !over[id] })
	for k := range 50 {
		id := fmt.Sprint("job-", k)
		report(b, ending{eventloop.Second, "a", id, id + "/0", k%2 == 0}, 1)
		over[id] = true
		b.JobFinished(id)
		report(b, ending{eventloop.Second, "b", id, id + "/1", k%2 == 0}, 1)
	}
	if len(b.jobs) != 0 || len(b.machines["b"].byJob) != 0 {
		t.Errorf("%d jobs and evidence of %d jobs against machine b are kept, want none", len(b.jobs), len(b.machines["b"].byJob))
	}
}

// report has a machine report one more ended attempt.
func report(b *Attribution, e ending, attempt uint64) {
	why := wire.WhyError
	if e.ok {
		why = wire.WhyDone
	}
	b.Observe(e.at, &workers.View{Name: e.machine, Tasks: []workers.Task{{Task: e.task, Attempt: attempt, State: wire.TaskExited, Why: why}}}, &workers.Changes{All: true})
}

// After each of a random sequence of task ends, the failure attribution, which keeps a summary
// only, must agree with the model that computes everything from the whole history.
func TestAttributionAgainstHistory(t *testing.T) {
	verdicts := 0
	rapid.Check(t, func(t *rapid.T) {
		b := NewAttribution(always)
		var p historyModel
		now := eventloop.Micros(eventloop.Second)
		attempts := map[string]uint64{}
		done := map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "ends") {
			now += eventloop.Micros(rapid.SampledFrom([]int{0, 100, 1999, 2000, 9000}).Draw(t, "later")) * eventloop.Millisecond
			job := fmt.Sprint("job-", rapid.IntRange(1, 6).Draw(t, "job"))
			e := ending{now, fmt.Sprint("n-", rapid.IntRange(1, 5).Draw(t, "machine")), job,
				fmt.Sprint(job, "/", rapid.IntRange(0, 4).Draw(t, "task")), rapid.IntRange(0, 4).Draw(t, "ok") == 0}
			if done[e.task] {
				continue
			}
			done[e.task] = e.ok
			attempts[e.task]++
			report(b, e, attempts[e.task])
			report(b, e, attempts[e.task]) // the same end is reported twice
			p = append(p, e)
			for k := 1; k <= 6; k++ {
				m, j := fmt.Sprint("n-", k), fmt.Sprint("job-", k)
				want := p.atFault(m)
				if got := b.AtFault(m); got != want {
					t.Fatalf("machine %s is at fault: %v, want %v by its history; ends so far: %v", m, got, want, p)
				}
				if want {
					verdicts++
				}
				if got, want := b.FailedOnHealthy(j), p.failedOnHealthy(j); got != want {
					t.Fatalf("%d machines not at fault failed %s, want %d by its history; ends so far: %v", got, j, want, p)
				}
				if b.BackOffUntil(m) > now && !want && b.BackOffUntil(m) > now+120*eventloop.Second {
					t.Fatalf("machine %s is in back-off until %d, for longer than the bound of 120 s", m, b.BackOffUntil(m))
				}
			}
		}
	})
	if verdicts == 0 {
		t.Error("no machine was ever at fault: the test covers nothing")
	}
}

// Each case is a typical pattern of failures with the expected attribution: a healthy machine
// must never be in back-off because of broken jobs, and a job that can succeed must not be counted as
// failing on machines that are at fault.
func TestAttributionByFailurePattern(t *testing.T) {
	const s = eventloop.Second
	run := func(list ...ending) *Attribution {
		b := NewAttribution(always)
		attempts := map[string]uint64{}
		for _, e := range list {
			e.task = e.job + "/" + e.task
			attempts[e.task]++
			report(b, e, attempts[e.task])
		}
		return b
	}
	fails := func(at eventloop.Micros, machine, job string, from, n int) (out []ending) {
		for i := range n {
			out = append(out, ending{at, machine, job, fmt.Sprint(from + i), false})
		}
		return out
	}
	ok := func(at eventloop.Micros, machine, job string, no int) []ending {
		return []ending{{at, machine, job, fmt.Sprint(no), true}}
	}
	for _, c := range []struct {
		name    string
		ends    [][]ending
		faulty  []string       // machines in back-off
		against map[string]int // machines not at fault on which each job has failed
	}{
		{"all tasks of a broken job fail at once", [][]ending{fails(s, "a", "job-1", 0, 8), fails(s, "b", "job-1", 8, 8), fails(s, "c", "job-1", 16, 8), fails(s, "d", "job-1", 24, 8)},
			nil, map[string]int{"job-1": 4}},
		{"a broken job's task fails on one machine after another", [][]ending{fails(s, "a", "job-1", 0, 1), fails(4*s, "b", "job-1", 0, 1), fails(9*s, "c", "job-1", 0, 1), fails(19*s, "a", "job-1", 0, 1)},
			nil, map[string]int{"job-1": 3}},
		{"three broken jobs on one healthy machine", [][]ending{fails(s, "a", "job-1", 0, 4), fails(s, "a", "job-2", 0, 4), fails(s, "a", "job-3", 0, 4)},
			nil, map[string]int{"job-1": 1, "job-2": 1, "job-3": 1}},
		{"a machine fails every task", [][]ending{ok(s, "b", "job-1", 0), ok(s, "b", "job-2", 0), ok(s, "b", "job-3", 0), fails(2*s, "a", "job-1", 1, 4), fails(3*s, "a", "job-2", 1, 4), fails(4*s, "a", "job-3", 1, 4)},
			[]string{"a"}, map[string]int{"job-1": 0, "job-2": 0, "job-3": 0}},
		{"a task that failed there completes elsewhere", [][]ending{fails(2*s, "a", "job-1", 1, 8), ok(5*s, "b", "job-1", 1), fails(6*s, "a", "job-1", 10, 1)},
			[]string{"a"}, map[string]int{"job-1": 0}},
		{"a machine at fault fails a task that failed elsewhere, too", [][]ending{fails(2*s, "c", "job-1", 1, 1), fails(3*s, "a", "job-1", 2, 1), ok(4*s, "b", "job-1", 2), fails(5*s, "a", "job-1", 1, 1)},
			[]string{"a"}, map[string]int{"job-1": 0}},
		{"two jobs with some broken tasks", [][]ending{ok(s, "b", "job-1", 0), ok(s, "b", "job-2", 0), fails(2*s, "a", "job-1", 1, 3), fails(3*s, "a", "job-2", 1, 3), fails(9*s, "a", "job-1", 1, 3)},
			nil, map[string]int{"job-1": 1, "job-2": 1}},
		{"a new job on three machines that fail everything", [][]ending{ok(s, "x", "job-7", 0), ok(s, "x", "job-8", 0),
			ok(s, "x", "job-9", 0), fails(2*s, "a", "job-7", 1, 2), fails(2*s, "a", "job-8", 1, 2), fails(2*s, "a", "job-9", 1, 2), ok(3*s, "x", "job-7", 5), ok(3*s, "x", "job-8", 5), ok(3*s, "x", "job-9", 5),
			fails(4*s, "b", "job-7", 10, 2), fails(4*s, "b", "job-8", 10, 2), fails(4*s, "b", "job-9", 10, 2), ok(5*s, "x", "job-7", 6), ok(5*s, "x", "job-8", 6), ok(5*s, "x", "job-9", 6),
			fails(6*s, "c", "job-7", 20, 2), fails(6*s, "c", "job-8", 20, 2), fails(6*s, "c", "job-9", 20, 2),
			fails(7*s, "a", "job-1", 0, 8), fails(7*s, "b", "job-1", 8, 8), fails(7*s, "c", "job-1", 16, 8)},
			[]string{"a", "b", "c"}, map[string]int{"job-1": 0}},
		{"a job with some broken tasks", [][]ending{ok(s, "a", "job-1", 0), fails(2*s, "a", "job-1", 1, 1), fails(4*s, "b", "job-1", 1, 1), ok(5*s, "b", "job-1", 2),
			fails(7*s, "c", "job-1", 1, 1), fails(12*s, "a", "job-1", 1, 1), fails(22*s, "b", "job-1", 1, 1)},
			nil, map[string]int{"job-1": 3}},
	} {
		b := run(slices.Concat(c.ends...)...)
		for _, m := range []string{"a", "b", "c", "d", "x"} {
			if rests := b.BackOffUntil(m) > 0; rests != slices.Contains(c.faulty, m) {
				t.Errorf("%s: machine %s is in back-off: %v, want the opposite", c.name, m, rests)
			}
		}
		for job, want := range c.against {
			if got := b.FailedOnHealthy(job); got != want {
				t.Errorf("%s: %d machines not at fault failed %s, want %d", c.name, got, job, want)
			}
		}
	}
}

// A burst of failures must count once, the back-off must double from one burst to the next up
// to its bound, and only tasks that have run for longer than the failures took may allow a
// job more tasks at once.
func TestProbation(t *testing.T) {
	const s = eventloop.Second
	var tr Probation
	var states []string
	tr.OnChange = func(_, to ProbationState) { states = append(states, to.String()) }
	now := 100 * s
	for i := range 33 { // one burst
		tr.Fail(now+eventloop.Micros(i), 95*s, min(1+i/8, BrokenOn))
	}
	if tr.ConsecutiveFailures != 1 || tr.BackOffUntil != now+s || tr.State != Broken {
		t.Fatalf("after one burst: %d bursts are counted, back-off %d us, state %v; want 1, 1 s, broken", tr.ConsecutiveFailures, tr.BackOffUntil-now, tr.State)
	}
	for k, want := range []eventloop.Micros{2 * s, 4 * s, 8 * s, 16 * s, 32 * s, 32 * s, 32 * s} {
		now += 60 * s
		tr.Fail(now, now-50*s, 4) // a minute to fail
		if got := tr.BackOffUntil - now; got != want || tr.ConsecutiveFailures != k+2 {
			t.Errorf("burst %d: the back-off is %d us, want %d", tr.ConsecutiveFailures, got, want)
		}
	}
	if tr.Survives(now, now-52*s) || !tr.Survives(now, now-52*s-1) || MaxInUse(0) != 1 || MaxInUse(3) != 7 {
		t.Error("a task must survive a failure that took 50 s exactly when it has run for more than 52 s")
	}
	tr.Complete(false)
	if tr.ConsecutiveFailures != 0 || tr.BackOffUntil != 0 || !tr.Trusted() {
		t.Errorf("after a success: %d bursts, state %v; want none and a trusted job", tr.ConsecutiveFailures, tr.State)
	}
	now += 60 * s
	tr.Fail(now, now-s, 1)
	tr.Fail(now+3*s, now+2*s, 1)
	tr.Complete(false) // of a task that never failed
	if tr.ConsecutiveFailures != 2 || tr.State != Sound || tr.ConcurrentRetries(8) != 2 || tr.ConcurrentRetries(1) != 1 || tr.ConcurrentRetries(0) != 0 {
		t.Errorf("a sound job with failures: %d bursts, state %v, %d of 8 tasks are retried; want 2, sound, 2", tr.ConsecutiveFailures, tr.State, tr.ConcurrentRetries(8))
	}
	tr.Complete(true)
	if tr.ConsecutiveFailures != 0 || fmt.Sprint(states) != "[doubted broken sound]" {
		t.Errorf("in the end %d bursts are counted and the states were %v, want none and [doubted broken sound]", tr.ConsecutiveFailures, states)
	}
}

// The weight of the evidence against a machine is cached. After any event, including deleted
// machines and finished jobs, the cached weight must give the same result as a new sum.
func TestCachedWeightIsCurrent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		over := map[string]bool{}
		b := NewAttribution(func(id string) bool { return !over[id] })
		job := func() string { return fmt.Sprintf("job-%06d", rapid.IntRange(0, 4).Draw(t, "job")) }
		attempt, now := uint64(0), eventloop.Second
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += eventloop.Second
			machine := fmt.Sprint("n-", rapid.IntRange(0, 3).Draw(t, "machine"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				b.MachineDeleted(machine)
			case 1:
				id := job()
				over[id] = true
				b.JobFinished(id)
			default:
				attempt++
				why := rapid.SampledFrom([]string{wire.WhyError, wire.WhyError, wire.WhyDone}).Draw(t, "why")
				task := workers.Task{Task: workers.TaskName(job(), rapid.IntRange(0, 2).Draw(t, "task")), Attempt: attempt, State: wire.TaskExited, Why: why}
				b.Observe(now, &workers.View{Name: machine, Tasks: []workers.Task{task}}, &workers.Changes{All: true})
			}
			for name, m := range b.machines {
				if got, want := b.AtFault(name), b.weigh(name, m) >= faultThreshold; got != want {
					t.Fatalf("machine %s is at fault: %v by the cached weight, %v by a new sum", name, got, want)
				}
			}
		}
	})
}
