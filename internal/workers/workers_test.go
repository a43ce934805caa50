package workers

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"cleatpick/internal/delivery"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/store"
	"cleatpick/internal/testseed"
	"cleatpick/internal/wire"
)

// The results must be the same in every run, so the seed of the property tests is fixed.
func TestMain(m *testing.M) { testseed.Main(m) }

// manualLoop is an event loop with a clock set by the test; delayed functions run when the test calls runWork.
type manualLoop struct {
	now  eventloop.Micros
	work []func()
}

func (h *manualLoop) Now() eventloop.Micros              { return h.now }
func (h *manualLoop) Wall() eventloop.Micros             { return h.now }
func (h *manualLoop) Post(f func())                      { f() }
func (h *manualLoop) After(d eventloop.Micros, f func()) { h.work = append(h.work, f) }
func (h *manualLoop) Go(f func())                        { f() }

// testRegistry is a registry with one hosted machine, n-1, for whose worker the test acts.
type testRegistry struct {
	*manualLoop
	registry   *Registry
	epoch      uint64
	sent       []wire.Commands
	resp       store.Response
	rejections []Rejection
	// duringDirect is called while a direct command is in flight; it may be nil.
	duringDirect func()
	session      uint64 // of the worker; 0 stands for 1
}

// hostedMachine returns the entry of the hosted machine.
func (g *testRegistry) hostedMachine() *machine { return g.registry.hosted["n-1"] }

// newTestRegistry makes a registry that knows one job of nine tasks and machines with 4 CPUs.
func newTestRegistry() *testRegistry {
	g := &testRegistry{manualLoop: &manualLoop{now: 1000 * eventloop.Second}, epoch: 5}
	spec := &job.Spec{Team: "t", Tasks: 9, CPUs: 2, MemoryGB: 1, AnyType: true}
	j := &job.Job{ID: "job-1", Phase: job.Accepted, Spec: spec, Tasks: 9}
	g.registry = New(g, slog.New(slog.NewTextHandler(io.Discard, nil)), Config{
		Label: "a", MayAnswer: func() (bool, string) { return true, "" }, MayStart: func() bool { return true },
		Redirect: func(string, int) (bool, string, eventloop.Micros) { return false, "", 0 }, Epoch: func() uint64 { return g.epoch },
		RaiseEpoch:  func(done func()) { g.epoch += 2; done() },
		MachineType: func(string) (wire.MachineType, bool) { return wire.MachineType{Name: "m", CPUs: 4, MemoryGB: 8}, true },
		FindJob: func(id string) *job.Job {
			if id == j.ID {
				return j
			}
			return nil
		},
		Publish: func(ViewUpdate) {}, ViewChanged: func(*View, *Changes) {}, SendRejection: func(_ string, d Rejection) { g.rejections = append(g.rejections, d) },
		Clock: delivery.NewClockBounds(0, 6*eventloop.Second),
	}, func(_ string, c wire.Commands, _ time.Duration) store.Response {
		g.sent = append(g.sent, c)
		if g.duringDirect != nil {
			g.duringDirect()
		}
		return g.resp
	})
	g.work = nil
	return g
}

// report delivers a report of the worker and returns the commands of the answer.
func (g *testRegistry) report(t *testing.T, seq, token uint64, tasks ...wire.ReportTask) wire.Commands {
	t.Helper()
	var c wire.Commands
	g.registry.Report(wire.Report{Machine: "n-1", Addr: "x:1", Type: "m", Zone: "z", Session: max(g.session, 1), Seq: seq, Token: token, Tasks: tasks}, func(a Answer) {
		if a.Status != 200 {
			t.Fatalf("report %d is answered %d", seq, a.Status)
		}
		c = a.Body.(wire.Commands)
	})
	return c
}

// runWork runs the functions that are delayed now.
func (g *testRegistry) runWork() {
	w := g.work
	g.work = nil
	for _, f := range w {
		f()
	}
}

// A report can be delayed for minutes. Its task list must not count as made at the time of its arrival.
func TestDelayedReportDoesNotRefreshTaskList(t *testing.T) {
	g := newTestRegistry()
	token := g.report(t, 1, 0).Token
	given := g.now
	g.now += 3 * eventloop.Second
	g.report(t, 2, token)
	g.now += 60 * eventloop.Second
	g.report(t, 3, token) // may have been on its way all the time
	if at := g.registry.View("n-1").MadeAfter; at != given {
		t.Fatalf("the list counts as made after %d, but its token was issued at %d", at, given)
	}
	g.resp = store.Response{Status: 200, Body: wire.Marshal(wire.Report{Machine: "n-1", Type: "m", Zone: "z", Session: 1, Seq: 4, Token: token})}
	asked := g.now
	g.registry.RequestTaskList("n-1")
	g.runWork()
	if at := g.registry.View("n-1").MadeAfter; at != asked {
		t.Fatalf("a requested list counts as made after %d, want %d", at, asked)
	}
}

// A worker that has seen a higher token is given a token of a newer epoch, and the view does not count the token
// as confirmed before the worker shows it.
func TestHigherTokenTakesNewEpoch(t *testing.T) {
	g := newTestRegistry()
	c := g.report(t, 1, 9<<counterBits)
	if c.Token <= 9<<counterBits {
		// The first new epoch is 7, which is still too low, so another must be obtained.
		t.Fatalf("token %d is not above the worker's", c.Token)
	}
	if g.registry.View("n-1").TokenConfirmed {
		t.Fatal("the token is confirmed before the worker showed it")
	}
	g.report(t, 2, c.Token)
	if !g.registry.View("n-1").TokenConfirmed {
		t.Fatal("the token is not confirmed although the worker shows it")
	}
}

// After a direct command of unknown outcome its start may be carried out at any time: it stays listed as
// pending, and the token is not confirmed, until the worker shows a higher one.
func TestUnansweredDirectCommand(t *testing.T) {
	g := newTestRegistry()
	token := g.report(t, 1, 0).Token
	g.report(t, 2, token)
	g.resp = store.Response{Err: io.ErrUnexpectedEOF}
	g.registry.Start(Start{Machine: "n-1", Session: 1, Task: "job-1/0", Attempt: 1, Expiry: g.now + 6*eventloop.Second, From: "a"})
	g.runWork()
	if len(g.sent) != 1 || len(g.sent[0].Commands) != 1 {
		t.Fatalf("the start was not sent directly: %v", g.sent)
	}
	g.now += 30 * eventloop.Second // the start has long expired
	c := g.report(t, 3, token)
	if v := g.registry.View("n-1"); v.TokenConfirmed || !v.HasPending("job-1/0", 1) {
		t.Fatalf("token confirmed: %v, start still pending: %v", v.TokenConfirmed, v.HasPending("job-1/0", 1))
	}
	if c.Token != token+1 {
		t.Fatalf("token %d was not raised above %d", c.Token, token)
	}
	g.report(t, 4, c.Token)
	if v := g.registry.View("n-1"); !v.TokenConfirmed || v.HasPending("job-1/0", 1) {
		t.Fatalf("after the higher token was shown: token confirmed: %v, start still pending: %v", v.TokenConfirmed, v.HasPending("job-1/0", 1))
	}
}

// A start that does not fit, has expired or is meant for another session is rejected, and the rejection is sent to
// its owner.
func TestRejectedStarts(t *testing.T) {
	g := newTestRegistry()
	token := g.report(t, 1, 0).Token
	g.report(t, 2, token, wire.ReportTask{Task: "job-1/8", Attempt: 1, State: wire.TaskRunning})
	expiry := g.now + 6*eventloop.Second
	g.registry.Start(Start{Machine: "n-1", Session: 1, Task: "job-1/0", Attempt: 1, Expiry: expiry, From: "a"}) // fits
	g.registry.Start(Start{Machine: "n-1", Session: 1, Task: "job-1/1", Attempt: 1, Expiry: expiry, From: "a"}) // full
	g.registry.Start(Start{Machine: "n-1", Session: 2, Task: "job-1/2", Attempt: 1, Expiry: expiry, From: "a"})
	g.registry.Start(Start{Machine: "n-1", Session: 1, Task: "job-1/3", Attempt: 1, Expiry: g.now - 1, From: "a"})
	if len(g.rejections) != 3 || g.rejections[0].Task != "job-1/1" {
		t.Fatalf("rejected: %v, want three, the first of them job-1/1", g.rejections)
	}
	g.registry.Start(Start{Machine: "n-1", Session: 1, Task: "job-1/1", Attempt: 1, Expiry: expiry, From: "a"})
	if len(g.rejections) != 4 || g.registry.View("n-1").HasPending("job-1/1", 1) {
		t.Fatal("a rejected start was accepted later")
	}
}

// A host that restarts at once does not know which starts its previous incarnation passed on. It must not
// reject them, since a rejection says that the start will never be carried out.
func TestStartForAnEarlierIncarnation(t *testing.T) {
	g := newTestRegistry()
	g.registry.config.Incarnation = 2
	token := g.report(t, 1, 0).Token
	g.report(t, 2, token)
	start := Start{Machine: "n-1", Session: 9, Task: "job-1/0", Attempt: 1, Expiry: g.now + 6*eventloop.Second, From: "a", Incarnation: 1}
	g.registry.Start(start)
	if len(g.rejections) != 0 {
		t.Fatalf("a start for another incarnation is rejected: %v", g.rejections)
	}
	start.Incarnation = 2
	g.registry.Start(start)
	if len(g.rejections) != 1 || g.rejections[0].Incarnation != 2 {
		t.Fatalf("rejections of a start for another session: %v, want one by incarnation 2", g.rejections)
	}
}

// A duplicate of a report proves no more than the report did. Whether it reaches a host that knows the machine,
// a host that has just restarted, or one that knows the machine as deleted, it must not confirm the token,
// restore an older task list or move the machine away from the host to which it reports. The same holds for
// duplicates of duplicates and in reverse order.
func TestDuplicateReports(t *testing.T) {
	report := func(session, seq, token uint64, running ...string) wire.Report {
		r := wire.Report{Machine: "n-1", Addr: "x:1", Type: "m", Zone: "z", Session: session, Seq: seq, Token: token}
		for _, x := range running {
			r.Tasks = append(r.Tasks, wire.ReportTask{Task: x, Attempt: 1, State: wire.TaskRunning})
		}
		return r
	}
	status := 0
	take := func(g *testRegistry, r wire.Report) int {
		g.registry.Report(r, func(a Answer) { status = a.Status })
		return status
	}
	// A host that knows the machine.
	g := newTestRegistry()
	token := g.report(t, 1, 0).Token
	g.report(t, 2, token, wire.ReportTask{Task: "job-1/0", Attempt: 1, State: wire.TaskRunning})
	g.report(t, 3, token)
	before := *g.registry.View("n-1")
	for _, r := range []wire.Report{report(1, 3, token), report(1, 2, token, "job-1/0"), report(1, 1, 0), report(1, 2, token, "job-1/0")} {
		g.now += 20 * eventloop.Second
		take(g, r)
		if v := g.registry.View("n-1"); v.Seq != 3 || v.Session != 1 || v.MadeAfter != before.MadeAfter || len(v.Tasks) != 0 {
			t.Fatalf("a duplicate of report %d changes the view to %+v", r.Seq, v)
		}
	}
	// A duplicate from the previous session.
	take(g, report(2, 1, token))
	if take(g, report(1, 9, token, "job-1/0")); g.registry.View("n-1").Session != 2 || len(g.registry.View("n-1").Tasks) != 0 || status != 503 {
		t.Fatalf("a duplicate from an earlier session is answered %d and changes the view to %+v", status, g.registry.View("n-1"))
	}
	// A host that has just restarted, with duplicates in any order, and then a host to which the machine does
	// not report.
	g = newTestRegistry()
	g.epoch = 9
	for _, r := range []wire.Report{report(1, 7, token, "job-1/0"), report(1, 8, token), report(1, 7, token, "job-1/0"), report(1, 8, token)} {
		take(g, r)
		if v := g.registry.View("n-1"); v.TokenConfirmed || v.MadeAfter != 0 {
			t.Fatalf("after a duplicate of report %d: token confirmed: %v, list made after %d", r.Seq, v.TokenConfirmed, v.MadeAfter)
		}
	}
	g.registry.ApplyView(&View{Name: "n-1", Host: "b", Session: 1, Seq: 9, TokenConfirmed: true, MadeAfter: g.now})
	if take(g, report(1, 8, token)); status != 503 || g.registry.View("n-1").Host != "b" || g.registry.HostedCount() != 0 {
		t.Fatalf("a duplicate is answered %d, and the machine's host is %q", status, g.registry.View("n-1").Host)
	}
	// After the machine was deleted.
	g.registry.MarkDeleted("n-1")
	if take(g, report(1, 10, token)); status != 503 || g.registry.View("n-1") != nil {
		t.Fatalf("a duplicate makes a deleted machine known again: %+v", g.registry.View("n-1"))
	}
}

// The answer to a report that a direct answer has overtaken still renews the worker's lease. So it must stop
// the tasks of final jobs like any other answer; otherwise answers without commands would keep a cancelled
// job's task alive.
func TestOvertakenReportStopsTasksOfFinalJobs(t *testing.T) {
	run := wire.ReportTask{Task: "job-1/0", Attempt: 1, State: wire.TaskRunning}
	// overtaken returns the answer to a report that the answer to a direct command has overtaken.
	overtaken := func(phase job.Phase) wire.Commands {
		g := newTestRegistry()
		token := g.report(t, 1, 0).Token
		g.report(t, 2, token, run)
		g.resp = store.Response{Status: 200, Body: wire.Marshal(wire.Report{Machine: "n-1", Type: "m", Zone: "z", Session: 1, Seq: 4, Token: token, Tasks: []wire.ReportTask{run}})}
		g.registry.RequestTaskList("n-1")
		g.runWork()
		g.registry.jobOf("job-1/0").Phase = phase
		return g.report(t, 3, token, run)
	}
	if c := overtaken(job.Accepted); len(c.Commands) != 0 {
		t.Fatalf("the overtaken report is answered with %v although the job is not final", c.Commands)
	}
	if c := overtaken(job.Cancelled); len(c.Commands) != 1 || c.Commands[0].Op != wire.OpStop || *c.Commands[0].GraceS != 0 {
		t.Fatalf("the overtaken report is answered with %v", c.Commands)
	}
}

// An accepted start is checked again for every message that could carry it: its job may have been cancelled
// since, and the cancellation confirmed to its user.
func TestPendingStartOfACancelledJob(t *testing.T) {
	g := newTestRegistry()
	token := g.report(t, 1, 0).Token
	g.report(t, 2, token)
	g.registry.Start(Start{Machine: "n-1", Session: 1, Task: "job-1/0", Attempt: 1, Expiry: g.now + 6*eventloop.Second, From: "a"})
	if !g.registry.View("n-1").HasPending("job-1/0", 1) && len(g.work) == 0 {
		t.Fatal("the start was not accepted")
	}
	g.registry.jobOf("job-1/0").Phase = job.Cancelled
	g.resp = store.Response{Status: 200, Body: wire.Marshal(wire.Report{Machine: "n-1", Type: "m", Zone: "z", Session: 1, Seq: 3, Token: token})}
	g.registry.RequestTaskList("n-1")
	g.runWork()
	for _, c := range g.sent {
		if len(c.Commands) != 0 {
			t.Errorf("the machine is sent %v", c.Commands)
		}
	}
	if c := g.report(t, 4, token); len(c.Commands) != 0 || len(g.sent) == 0 {
		t.Errorf("the report is answered with %v, after %d commands", c.Commands, len(g.sent))
	}
}
