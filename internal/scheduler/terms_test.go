package scheduler

import (
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/cordon"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

func (g *rig) stored(id string) job.Record {
	raw, _ := g.state.Value(job.KeyPrefix + id)
	var rec job.Record
	if wire.Unmarshal(raw, &rec) != nil {
		panic("corrupt record")
	}
	return rec
}

// A start that was recorded before a hold may run long after it, since a direct command can be delayed for minutes.
// The hold must therefore stay pending until every such start has run or is confirmed terminated. Completing holds at
// once broke them in one of a hundred simulated clusters.
func TestHoldCompletesOnlyOnceNoStartCanRun(t *testing.T) {
	g := newRig(100, config.Team{Name: "red", CPUs: 50, CPUsMax: 50})
	g.deliverView("n-001", "m8", "x", false)
	id := g.acceptJob(1, job.Spec{Class: "k", Team: "red", Tasks: 3, CPUs: 4, MemoryGB: 1, Image: "i", AnyType: true, Estimate: eventloop.Second})
	g.Advance(500 * eventloop.Millisecond)
	if len(g.starts) < 2 {
		t.Fatalf("%d starts were sent, want 2", len(g.starts))
	}
	answers := 0
	g.registry.Hold(id, job.Hold{Reason: "r"}, func(a job.Answer) { answers++ })
	g.Advance(20 * eventloop.Second)
	if s := g.stored(id).Terms.Hold.State; s != job.HoldPending || answers != 1 {
		t.Fatalf("the hold is %q after %d answers, while two starts may be in flight", s, answers)
	}
	// One task is fetching its image and must be confirmed terminated first. The other is running and continues.
	run := workers.Task{Task: "job-000001/0", Attempt: 1, State: wire.TaskRunning}
	g.deliverView("n-001", "m8", "x", false, run, workers.Task{Task: "job-000001/1", Attempt: 1, State: wire.TaskFetching})
	g.Advance(3 * eventloop.Second)
	if s := g.stored(id).Terms.Hold.State; s != job.HoldPending {
		t.Fatalf("the hold is %q while a task of the job fetches its image", s)
	}
	g.deliverView("n-001", "m8", "x", false, run, workers.Task{Task: "job-000001/1", Attempt: 1, State: wire.TaskExited, Why: wire.WhyStopped})
	g.Advance(3 * eventloop.Second)
	if s := g.stored(id).Terms.Hold.State; s != job.HoldEffective {
		t.Fatalf("the hold is %q although no task can begin any more", s)
	}
	g.starts = nil
	g.Advance(5 * eventloop.Second)
	if len(g.starts) != 0 {
		t.Fatalf("a held job started %v", g.starts)
	}
	g.registry.Release(id, func(job.Answer) {})
	g.Advance(2 * eventloop.Second)
	if len(g.starts) == 0 || g.stored(id).Terms != nil {
		t.Fatalf("after the release %d starts were sent, terms %v", len(g.starts), g.stored(id).Terms)
	}
}

// A record composed before a hold or a cordon must fail even if the owner has not received either: its mirror is not
// updated in this test.
func TestRecordsAreConditionedOnTerms(t *testing.T) {
	for _, what := range []string{"hold", "cordon"} {
		g := newRig(100, config.Team{Name: "red", CPUs: 50, CPUsMax: 50})
		g.deliverView("n-001", "m8", "x", false)
		id := g.acceptJob(1, job.Spec{Class: "k", Team: "red", Tasks: 1, CPUs: 4, MemoryGB: 1, Image: "i", AnyType: true, Estimate: eventloop.Second})
		for g.scheduler.teams["red"].jobs[id].task(0).state != Recording {
			g.Advance(eventloop.Millisecond)
		}
		if what == "hold" {
			rec := g.stored(id)
			rec.Terms = &job.Terms{Hold: job.Hold{State: job.HoldPending}}
			g.state.Put(job.KeyPrefix+id, rec)
		} else {
			g.state.Put(cordon.Key, map[string]any{"f": 1, "c": []cordon.Cordon{{Name: "c", Zone: "x", Reason: "r"}}})
		}
		g.Advance(10 * eventloop.Second)
		if x := g.scheduler.teams["red"].jobs[id].task(0); len(g.starts) != 0 || x.state != Waiting {
			t.Errorf("%s: %d starts were sent; the task is in state %d, want waiting", what, len(g.starts), x.state)
		}
	}
}

// When a job that another depends on is cancelled, the dependent job is released, is cancelled as well, or waits for
// an operator, by its policy.
func TestCancelledDependencies(t *testing.T) {
	for _, c := range []struct {
		policy  job.Policy
		started bool
		phase   job.Phase
	}{{job.PolicyHold, false, job.Accepted}, {job.PolicyRelease, true, job.Accepted}, {job.PolicyCancel, false, job.Cancelled}} {
		g := newRig(100, config.Team{Name: "red", CPUs: 50, CPUsMax: 50})
		g.deliverView("n-001", "m8", "x", false)
		spec := job.Spec{Class: "k", Team: "red", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true, Estimate: eventloop.Second}
		other := spec
		other.Team = "blue" // owned by another controller
		first := g.acceptJob(1, other)
		g.registry.SubmitWithTerms("job-000002", &spec, &job.Terms{Dependencies: []string{first}, OnCancelled: c.policy}, func(job.Answer) {})
		g.Advance(2 * eventloop.Second)
		if len(g.starts) != 0 {
			t.Fatalf("%q: %v were started before %s was done", c.policy, g.starts, first)
		}
		g.registry.Cancel(first, func(job.Answer) {})
		g.Advance(3 * eventloop.Second)
		if got := g.stored("job-000002").Phase; (len(g.starts) > 0) != c.started || got != c.phase {
			t.Errorf("%q: %d starts and phase %q, want started: %v and phase %q", c.policy, len(g.starts), got, c.started, c.phase)
		}
		if c.policy != job.PolicyHold {
			continue
		}
		g.registry.Release("job-000002", func(job.Answer) {})
		g.Advance(2 * eventloop.Second)
		if len(g.starts) == 0 {
			t.Errorf("no start after the operator's release")
		}
	}
}

// A hold with an end time ends by itself, and not before every controller's wall clock has passed that time.
func TestHoldUntil(t *testing.T) {
	g := newRig(100, config.Team{Name: "red", CPUs: 50, CPUsMax: 50})
	g.scheduler.cfg.Cluster.ClockOffMS = 500
	g.deliverView("n-001", "m8", "x", false)
	spec := job.Spec{Class: "k", Team: "red", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true, Estimate: eventloop.Second}
	until := g.Wall() + 4*eventloop.Second
	g.registry.SubmitWithTerms("job-000001", &spec, &job.Terms{Hold: job.Hold{State: job.HoldEffective, Until: until}}, func(job.Answer) {})
	for g.Wall() < until+900*eventloop.Millisecond {
		g.Advance(100 * eventloop.Millisecond)
		g.deliverView("n-001", "m8", "x", false)
	}
	if len(g.starts) != 0 {
		t.Fatalf("%v were started before the hold had ended by every clock", g.starts)
	}
	g.Advance(1500 * eventloop.Millisecond)
	if len(g.starts) == 0 {
		t.Fatal("nothing started after the hold had ended")
	}
}

// The owner of preempted tasks records for which job they were preempted, whichever controller preempted them.
func TestPreemptingJobIsRecorded(t *testing.T) {
	g := newRig(100, config.Team{Name: "red", CPUs: 8, CPUsMax: 50}, config.Team{Name: "blue", CPUs: 8, CPUsMax: 50})
	g.scheduler.deps.ReportCauses = true
	g.deliverView("n-001", "m8", "x", false)
	spec := job.Spec{Class: "k", Team: "red", Priority: job.Low, Tasks: 2, CPUs: 4, MemoryGB: 1, Image: "i", AnyType: true, Estimate: eventloop.Second, Checkpoint: eventloop.Second, Save: 5 * eventloop.Second}
	low := g.acceptJob(1, spec)
	g.Advance(500 * eventloop.Millisecond)
	var on []workers.Task
	for i := range 2 {
		on = append(on, workers.Task{Task: workers.TaskName(low, i), Attempt: 1, State: wire.TaskRunning})
	}
	g.deliverView("n-001", "m8", "x", false, on...)
	g.Advance(2 * eventloop.Second)
	spec.Team, spec.Priority, spec.Tasks = "blue", job.High, 1
	high := g.acceptJob(2, spec)
	g.Advance(500 * eventloop.Millisecond)
	for i := range on {
		on[i].State = wire.TaskSaving
	}
	g.deliverView("n-001", "m8", "x", false, on...)
	f, ok := g.scheduler.Facts(low, nil, true)
	if !ok || len(f.InFlight) != 1 || f.InFlight[0].PreemptedFor != high || f.PreemptedFor["n-001"] != high {
		t.Fatalf("the facts of the preempted job are %+v, want a task that saves for %s", f, high)
	}
}

// A start that is refused because another attempt of its task is on the machine is freed once that attempt has ended,
// even if the stop was lost and the refusal is unchanged in later views.
func TestBusyTaskIsFreedLater(t *testing.T) {
	g := newRig(100, config.Team{Name: "red", CPUs: 8, CPUsMax: 50})
	g.deliverView("n-001", "m8", "x", false)
	id := g.acceptJob(1, job.Spec{Class: "k", Team: "red", Tasks: 1, CPUs: 4, MemoryGB: 1, Image: "i", AnyType: true, Estimate: eventloop.Second})
	g.Advance(500 * eventloop.Millisecond)
	name := workers.TaskName(id, 0)
	busy := workers.Task{Task: name, Attempt: 1, State: wire.TaskExited, Why: wire.WhyBusy}
	g.deliverView("n-001", "m8", "x", false, workers.Task{Task: name, Attempt: 7, State: wire.TaskRunning}, busy)
	g.Advance(500 * eventloop.Millisecond)
	if x := g.scheduler.teams["red"].jobs[id].task(0); x.state != Placed || x.attempt != 1 {
		t.Fatalf("the task is freed while another attempt of it is on the machine (state %d, attempt %d)", x.state, x.attempt)
	}
	g.deliverView("n-001", "m8", "x", false, busy)
	g.Advance(500 * eventloop.Millisecond)
	if x := g.scheduler.teams["red"].jobs[id].task(0); x.attempt != 2 {
		t.Fatalf("the task still waits (state %d, attempt %d)", x.state, x.attempt)
	}
}

// The outage of a task on a failed machine is measured from the last report of that machine. If this owner never
// received a report of it, nothing is measured; the time of another machine's report was once used.
func TestOutageCountsFromTheMachinesOwnLastReport(t *testing.T) {
	for _, known := range []bool{true, false} {
		g := newRig(100, config.Team{Name: "red", CPUs: 8, CPUsMax: 50})
		g.deliverView("n-001", "m8", "x", false)
		g.acceptJob(1, job.Spec{Class: "k", Team: "red", Tasks: 1, CPUs: 8, MemoryGB: 1, Image: "i", AnyType: true, Estimate: eventloop.Second})
		g.Advance(500 * eventloop.Millisecond)
		if !known {
			g.scheduler.fleet.Remove("n-001")
		}
		g.deliverView("n-002", "m8", "x", false)
		g.deliverView("n-002", "m8", "x", false)
		g.seq++
		g.workers.ApplyView(&workers.View{Name: "n-001", Type: "m8", Zone: "x", Host: "b", Session: 2, Seq: g.seq, TokenConfirmed: true, MadeAfter: g.Now()})
		if counted := g.scheduler.reruns.pending == 1; counted != known {
			t.Errorf("machine known before: %v, outage measured: %v", known, counted)
		}
	}
}
