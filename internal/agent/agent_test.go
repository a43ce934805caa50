package agent

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"cleatpick/internal/delivery"
	"cleatpick/internal/fixed"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// The verdict must be the same every time, so the generator's seed is fixed.
func TestMain(m *testing.M) { fixed.Main(m) }

// hand is time moved by hand; blocking work runs when the test says so.
type hand struct {
	now  loop.Micros
	work []func()
}

func (h *hand) Now() loop.Micros              { return h.now }
func (h *hand) Wall() loop.Micros             { return h.now }
func (h *hand) Post(f func())                 { f() }
func (h *hand) After(d loop.Micros, f func()) { h.work = append(h.work, f) }
func (h *hand) Go(f func())                   { f() }

type rig struct {
	*hand
	a     *Agent
	epoch uint64
	sent  []wire.Commands
	resp  store.Response
	drops []Drop
	// underWay is called while a direct command is under way; it may be nil.
	underWay func()
	session  uint64 // of the worker; 0: its first
}

// m is the machine as its host keeps it.
func (g *rig) m() *machine { return g.a.hosted["n-1"] }

func newRig() *rig {
	g := &rig{hand: &hand{now: 1000 * loop.Second}, epoch: 5}
	spec := &job.Spec{Team: "t", Tasks: 9, CPUs: 2, MemoryGB: 1, AnyType: true}
	j := &job.Job{ID: "job-1", Phase: job.Accepted, Spec: spec, Tasks: 9}
	g.a = New(g, slog.New(slog.NewTextHandler(io.Discard, nil)), Host{
		Label: "a", MayAnswer: func() (bool, string) { return true, "" }, MayStart: func() bool { return true },
		SendOn: func(string, int) (bool, string, loop.Micros) { return false, "", 0 }, Epoch: func() uint64 { return g.epoch },
		Raise: func(done func()) { g.epoch += 2; done() },
		Type:  func(string) (wire.MachineType, bool) { return wire.MachineType{Name: "m", CPUs: 4, MemoryGB: 8}, true },
		Job: func(id string) *job.Job {
			if id == j.ID {
				return j
			}
			return nil
		},
		Publish: func(News) {}, Changed: func(*View, *Changes) {}, Drop: func(_ string, d Drop) { g.drops = append(g.drops, d) },
		Clock: delivery.NewClock(0, 6*loop.Second),
	}, func(_ string, c wire.Commands, _ time.Duration) store.Response {
		g.sent = append(g.sent, c)
		if g.underWay != nil {
			g.underWay()
		}
		return g.resp
	})
	g.work = nil
	return g
}

func (g *rig) beat(t *testing.T, seq, token uint64, tasks ...wire.ReportTask) wire.Commands {
	t.Helper()
	var c wire.Commands
	g.a.Report(wire.Report{Machine: "n-1", Addr: "x:1", Type: "m", Zone: "z", Session: max(g.session, 1), Seq: seq, Token: token, Tasks: tasks}, func(a Answer) {
		if a.Status != 200 {
			t.Fatalf("report %d is answered %d", seq, a.Status)
		}
		c = a.Body.(wire.Commands)
	})
	return c
}

func (g *rig) runWork() {
	w := g.work
	g.work = nil
	for _, f := range w {
		f()
	}
}

// A report can be held back for minutes. Its list must not count as made when it came.
func TestLateReportIsNoFreshList(t *testing.T) {
	g := newRig()
	token := g.beat(t, 1, 0).Token
	given := g.now
	g.now += 3 * loop.Second
	g.beat(t, 2, token)
	g.now += 60 * loop.Second
	g.beat(t, 3, token) // may have been under way all the time
	if at := g.a.View("n-1").At; at != given {
		t.Fatalf("the list counts as made at %d, the token was given out at %d", at, given)
	}
	g.resp = store.Response{Status: 200, Body: wire.Marshal(wire.Report{Machine: "n-1", Type: "m", Zone: "z", Session: 1, Seq: 4, Token: token})}
	asked := g.now
	g.a.Check("n-1")
	g.runWork()
	if at := g.a.View("n-1").At; at != asked {
		t.Fatalf("a list that was asked for counts as made at %d, not at %d", at, asked)
	}
}

// A worker that has seen a higher token gets a newer epoch's, and nothing counts as
// settled before it shows that.
func TestHigherTokenTakesNewEpoch(t *testing.T) {
	g := newRig()
	c := g.beat(t, 1, 9<<counterBits)
	if c.Token <= 9<<counterBits {
		// The first raise gave 7: still too low, so it must have gone on.
		t.Fatalf("token %d does not outrank the worker's", c.Token)
	}
	if g.a.View("n-1").Settled {
		t.Fatal("settled before the worker showed the token")
	}
	g.beat(t, 2, c.Token)
	if !g.a.View("n-1").Settled {
		t.Fatal("not settled although the worker shows the token")
	}
}

// After a direct command of unknown outcome the start may land at any time: it stays
// listed, and no list settles anything, until the worker shows a higher token.
func TestUnansweredDirectCommand(t *testing.T) {
	g := newRig()
	token := g.beat(t, 1, 0).Token
	g.beat(t, 2, token)
	g.resp = store.Response{Err: io.ErrUnexpectedEOF}
	g.a.Start(Start{Machine: "n-1", Session: 1, Task: "job-1/0", Attempt: 1, Expiry: g.now + 6*loop.Second, From: "a"})
	g.runWork()
	if len(g.sent) != 1 || len(g.sent[0].Commands) != 1 {
		t.Fatalf("the start did not go out directly: %v", g.sent)
	}
	g.now += 30 * loop.Second // long expired
	c := g.beat(t, 3, token)
	if v := g.a.View("n-1"); v.Settled || !v.Holds("job-1/0", 1) {
		t.Fatalf("settled %v, still listed %v", v.Settled, v.Holds("job-1/0", 1))
	}
	if c.Token != token+1 {
		t.Fatalf("token %d was not raised above %d", c.Token, token)
	}
	g.beat(t, 4, c.Token)
	if v := g.a.View("n-1"); !v.Settled || v.Holds("job-1/0", 1) {
		t.Fatalf("settled %v, still listed %v after the higher token was shown", v.Settled, v.Holds("job-1/0", 1))
	}
}

// What does not fit, is too old or meant another session is dropped, and said so.
func TestStartsThatAreDropped(t *testing.T) {
	g := newRig()
	token := g.beat(t, 1, 0).Token
	g.beat(t, 2, token, wire.ReportTask{Task: "job-1/8", Attempt: 1, State: wire.TaskRunning})
	life := g.now + 6*loop.Second
	g.a.Start(Start{Machine: "n-1", Session: 1, Task: "job-1/0", Attempt: 1, Expiry: life, From: "a"}) // fits
	g.a.Start(Start{Machine: "n-1", Session: 1, Task: "job-1/1", Attempt: 1, Expiry: life, From: "a"}) // full
	g.a.Start(Start{Machine: "n-1", Session: 2, Task: "job-1/2", Attempt: 1, Expiry: life, From: "a"})
	g.a.Start(Start{Machine: "n-1", Session: 1, Task: "job-1/3", Attempt: 1, Expiry: g.now - 1, From: "a"})
	if len(g.drops) != 3 || g.drops[0].Task != "job-1/1" {
		t.Fatalf("dropped: %v", g.drops)
	}
	g.a.Start(Start{Machine: "n-1", Session: 1, Task: "job-1/1", Attempt: 1, Expiry: life, From: "a"})
	if len(g.drops) != 4 || g.a.View("n-1").Holds("job-1/1", 1) {
		t.Fatal("a dropped start was taken on later")
	}
}

// A host that was ended and is back at once knows nothing of the starts that its life before
// passed on. It must not refuse them, since a refusal says that nothing will land.
func TestStartForAnEarlierLife(t *testing.T) {
	g := newRig()
	g.a.h.Life = 2
	token := g.beat(t, 1, 0).Token
	g.beat(t, 2, token)
	start := Start{Machine: "n-1", Session: 9, Task: "job-1/0", Attempt: 1, Expiry: g.now + 6*loop.Second, From: "a", Life: 1}
	g.a.Start(start)
	if len(g.drops) != 0 {
		t.Fatalf("a start for another life is refused: %v", g.drops)
	}
	start.Life = 2
	g.a.Start(start)
	if len(g.drops) != 1 || g.drops[0].Life != 2 {
		t.Fatalf("a start of another session is refused as %v, want once by life 2", g.drops)
	}
}

// A copy of a report proves no more than the report did: whatever it meets, a host that knows
// the machine, one that has just begun and remembers nothing, or the machine's deletion, it
// settles nothing, brings no older list back, and takes no machine from the node that it
// reports to. Copies of copies and copies in reverse order are the same.
func TestCopiesOfReports(t *testing.T) {
	report := func(session, seq, token uint64, running ...string) wire.Report {
		r := wire.Report{Machine: "n-1", Addr: "x:1", Type: "m", Zone: "z", Session: session, Seq: seq, Token: token}
		for _, x := range running {
			r.Tasks = append(r.Tasks, wire.ReportTask{Task: x, Attempt: 1, State: wire.TaskRunning})
		}
		return r
	}
	status := 0
	take := func(g *rig, r wire.Report) int {
		g.a.Report(r, func(a Answer) { status = a.Status })
		return status
	}
	// A host that knows the machine.
	g := newRig()
	token := g.beat(t, 1, 0).Token
	g.beat(t, 2, token, wire.ReportTask{Task: "job-1/0", Attempt: 1, State: wire.TaskRunning})
	g.beat(t, 3, token)
	before := *g.a.View("n-1")
	for _, r := range []wire.Report{report(1, 3, token), report(1, 2, token, "job-1/0"), report(1, 1, 0), report(1, 2, token, "job-1/0")} {
		g.now += 20 * loop.Second
		take(g, r)
		if v := g.a.View("n-1"); v.Seq != 3 || v.Session != 1 || v.At != before.At || len(v.Tasks) != 0 {
			t.Fatalf("a copy of report %d brings %+v about", r.Seq, v)
		}
	}
	// One of a session before.
	take(g, report(2, 1, token))
	if take(g, report(1, 9, token, "job-1/0")); g.a.View("n-1").Session != 2 || len(g.a.View("n-1").Tasks) != 0 || status != 503 {
		t.Fatalf("a copy of an earlier session is answered %d and brings %+v about", status, g.a.View("n-1"))
	}
	// A host that has just begun, in any order, and one that the machine does not report to.
	g = newRig()
	g.epoch = 9
	for _, r := range []wire.Report{report(1, 7, token, "job-1/0"), report(1, 8, token), report(1, 7, token, "job-1/0"), report(1, 8, token)} {
		take(g, r)
		if v := g.a.View("n-1"); v.Settled || v.At != 0 {
			t.Fatalf("a copy of report %d counts as settled %v, made after %d", r.Seq, v.Settled, v.At)
		}
	}
	g.a.Learn(&View{Name: "n-1", Host: "b", Session: 1, Seq: 9, Settled: true, At: g.now})
	if take(g, report(1, 8, token)); status != 503 || g.a.View("n-1").Host != "b" || g.a.Hosted() != 0 {
		t.Fatalf("a copy is answered %d and moves the machine to %q", status, g.a.View("n-1").Host)
	}
	// After the machine's deletion.
	g.a.Gone("n-1")
	if take(g, report(1, 10, token)); status != 503 || g.a.View("n-1") != nil {
		t.Fatalf("a copy brings a deleted machine back: %+v", g.a.View("n-1"))
	}
}

// A direct answer overtakes a report, whose answer still renews the lease: it ends what is over
// like any other, or a task of a cancelled job would live on by answers that say nothing.
func TestOvertakenReportEndsWhatIsOver(t *testing.T) {
	g := newRig()
	run := wire.ReportTask{Task: "job-1/0", Attempt: 1, State: wire.TaskRunning}
	token := g.beat(t, 1, 0).Token
	g.beat(t, 2, token, run)
	g.resp = store.Response{Status: 200, Body: wire.Marshal(wire.Report{Machine: "n-1", Type: "m", Zone: "z", Session: 1, Seq: 4, Token: token, Tasks: []wire.ReportTask{run}})}
	g.a.Check("n-1")
	g.runWork()
	if c := g.beat(t, 3, token, run); len(c.Commands) != 0 {
		t.Fatalf("%v, while the job is wanted", c.Commands)
	}
	g.a.job("job-1/0").Phase = job.Cancelled
	if c := g.beat(t, 3, token, run); len(c.Commands) != 1 || c.Commands[0].Op != wire.OpStop || *c.Commands[0].GraceS != 0 {
		t.Fatalf("the overtaken report is answered with %v", c.Commands)
	}
}

// A start that was taken on is looked at once more by each command and each answer that could
// carry it: its job may have been cancelled since, and its user told so.
func TestPendingStartOfACancelledJob(t *testing.T) {
	g := newRig()
	token := g.beat(t, 1, 0).Token
	g.beat(t, 2, token)
	g.a.Start(Start{Machine: "n-1", Session: 1, Task: "job-1/0", Attempt: 1, Expiry: g.now + 6*loop.Second, From: "a"})
	if !g.a.View("n-1").Holds("job-1/0", 1) && len(g.work) == 0 {
		t.Fatal("the start was not taken on")
	}
	g.a.job("job-1/0").Phase = job.Cancelled
	g.resp = store.Response{Status: 200, Body: wire.Marshal(wire.Report{Machine: "n-1", Type: "m", Zone: "z", Session: 1, Seq: 3, Token: token})}
	g.a.Check("n-1")
	g.runWork()
	for _, c := range g.sent {
		if len(c.Commands) != 0 {
			t.Errorf("the machine is sent %v", c.Commands)
		}
	}
	if c := g.beat(t, 4, token); len(c.Commands) != 0 || len(g.sent) == 0 {
		t.Errorf("the report is answered with %v, after %d commands", c.Commands, len(g.sent))
	}
}
