package workers

import (
	"testing"

	"cleatpick/internal/delivery"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/wire"
)

// goneAfterRestart exchanges reports until the view shows, with the worker's token confirmed, that attempt 1 is gone, and
// fails if a copy of its start is executed then.
func (g *copyRig) goneAfterRestart(reports int) {
	g.t.Helper()
	command := g.sent[len(g.sent)-1]
	for range reports {
		g.exchange()
		v := g.registry.View("n-1")
		if v.Find("job-1/0", 1) == nil && v.TokenConfirmed {
			g.arrivesAgain(command)
			return
		}
	}
	g.t.Fatalf("attempt 1 is not known to be gone after %d reports; the view is %+v", reports, g.registry.View("n-1"))
}

// A task of a machine that restarted as new counts as gone only once copies of its start are refused.
func TestTaskOfRestartedMachineIsGoneOnceItsStartIsRefused(t *testing.T) {
	const reports = 20
	for name, restart := range map[string]func(g *copyRig){
		"reports only": func(g *copyRig) { g.worker.RestartAsNew(g.now) },
		"a direct command comes first": func(g *copyRig) {
			g.worker.RestartAsNew(g.now)
			start := g.sent[len(g.sent)-1]
			g.registry.RequestTaskList("n-1")
			g.runWork()
			if g.registry.View("n-1").TokenConfirmed {
				g.t.Error("the token counts as shown although the answer proves the restart")
			}
			g.sent = append(g.sent, start)
		},
		"another copy comes first": func(g *copyRig) {
			g.worker.RestartAsNew(g.now)
			stale := g.sent[len(g.sent)-1]
			stale.Commands = nil
			g.worker.HandleCommands(g.now, stale)
		},
		"it reports to another host in between": func(g *copyRig) {
			seen := g.registry.View("n-1")
			g.registry.ApplyView(&View{Name: "n-1", Host: "b", Session: 1, Seq: seen.Seq + 1, Epoch: EpochOf(g.worker.Token()) - 1})
			g.worker.RestartAsNew(g.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newCopyRig(t)
			g.start(1)
			g.exchange()
			restart(g)
			g.goneAfterRestart(reports)
		})
	}
}

// A machine whose worker has restarted and shows no token gets one above those of the host before, whose commands may
// arrive again.
func TestHostTakesEpochAboveThatOfTheHostBefore(t *testing.T) {
	g := newTestRegistry()
	const before = 8
	g.registry.ApplyView(&View{Name: "n-1", Host: "b", Session: 1, Seq: 1, Epoch: before})
	if token := g.report(t, 2, 0).Token; EpochOf(token) <= before {
		t.Errorf("the machine gets a token of epoch %d, want one above %d", EpochOf(token), before)
	}
}

// The answers to reports that are no newer than another one would keep a restarted worker's lease alive without its tasks
// being known.
func TestReportsOfRestartedWorkerAreNotAnsweredBeforeTheyAreNew(t *testing.T) {
	g := newCopyRig(t)
	for range 10 {
		g.exchange()
	}
	known := g.registry.View("n-1").Seq
	g.worker.RestartAsNew(g.now)
	restartedAt := g.now
	for g.worker.Report().Seq < known-1 {
		if g.exchange(); g.worker.LastAnswered() > restartedAt {
			t.Fatalf("a report is answered before the sequence numbers have caught up with %d", known)
		}
	}
	g.exchange()
	g.now += eventloop.Second
	if g.exchange(); g.worker.LastAnswered() == restartedAt {
		t.Error("no report is answered after the sequence numbers have caught up")
	}
}

// An attempt that is missing since the worker was told to forget it proves no restart: the machine stays available.
func TestForgottenAttemptProvesNoRestart(t *testing.T) {
	g := newCopyRig(t)
	g.start(1)
	g.stop(1)
	for range forgetWithin + 2 {
		g.registry.Stop(Stop{Machine: "n-1", Task: "job-1/0", Attempt: 1, Forget: true})
		if g.exchange(); !g.registry.View("n-1").TokenConfirmed {
			t.Fatalf("the token does not count as shown; the view is %+v", g.registry.View("n-1"))
		}
	}
	if listed := g.worker.Report().Tasks; len(listed) > 0 {
		t.Errorf("the worker still lists %v", listed)
	}
}

// hijackedByEarlierReport returns a rig whose worker has restarted in session 1 and executed the direct start of attempt 1,
// after which a copy of a report of session 2 from before the restart arrived.
func hijackedByEarlierReport(t *testing.T) *copyRig {
	g := newCopyRig(t)
	g.worker.Tick(g.now + 200*eventloop.Second) // its lease expires
	earlier := g.worker.Report()
	if earlier.Session != 2 {
		t.Fatalf("the worker is in session %d, want 2", earlier.Session)
	}
	g.worker.RestartAsNew(g.now)
	g.registry.MarkDeleted("n-1") // this host has restarted, too, and knows nothing of the machine
	g.registry.ForgetDeleted([]string{"n-1"})
	g.exchange()
	g.exchange()
	g.start(1)
	g.registry.Report(earlier, func(Answer) {})
	return g
}

// A copy of a report of a higher session from before a worker's restart says nothing of what is on the machine now.
func TestReportOfHigherSessionIsNoEvidenceBeforeItsTokenIsShown(t *testing.T) {
	g := hijackedByEarlierReport(t)
	if v := g.registry.View("n-1"); v.Session != 2 || v.TokenConfirmed || v.MadeAfter != 0 {
		t.Errorf("after the copy: session %d, token confirmed: %v, list made after %d; want session 2 without evidence", v.Session, v.TokenConfirmed, v.MadeAfter)
	}
	if !g.worker.Active("job-1/0", 1) {
		t.Fatal("the attempt does not run")
	}
}

// A start that was passed on is never rejected, whatever session a later report shows: its owner takes a rejection for
// proof that it will not run.
func TestPassedOnStartIsNotRejected(t *testing.T) {
	for name, until := range map[string]func(g *copyRig){
		"a copy of an earlier report came": func(*copyRig) {},
		"the machine reported elsewhere in between": func(g *copyRig) {
			g.registry.ApplyView(&View{Name: "n-1", Host: "b", Session: 3, Seq: 1, Epoch: g.epoch + 1})
			g.session = 4
			g.report(t, 1, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := hijackedByEarlierReport(t)
			until(g)
			g.registry.Start(Start{Machine: "n-1", Session: 1, Task: "job-1/0", Attempt: 1, Expiry: g.now + 3*eventloop.Second, From: "a"})
			if len(g.rejections) > 0 {
				t.Errorf("the start that runs is rejected: %+v", g.rejections)
			}
		})
	}
}

// A rejected start is not accepted when its machine reports here again after it reported elsewhere.
func TestRejectionOutlivesHosting(t *testing.T) {
	g := newTestRegistry()
	token := g.report(t, 1, 0).Token
	g.report(t, 2, token)
	start := Start{Machine: "n-1", Session: 1, Task: "job-1/0", Attempt: 1, Expiry: g.now + 6*eventloop.Second, From: "a"}
	g.registry.CloseToStarts("n-1", g.now+eventloop.Second)
	g.registry.Start(start)
	if len(g.rejections) != 1 {
		t.Fatalf("rejections: %+v, want one", g.rejections)
	}
	g.registry.ApplyView(&View{Name: "n-1", Host: "b", Session: 1, Seq: 3})
	g.report(t, 4, token)
	g.registry.Start(start)
	if g.hostedMachine().pending[delivery.Attempt{Task: "job-1/0", Number: 1}] != nil {
		t.Error("a rejected start is accepted after the machine has come back")
	}
}

// A copy of a report of a higher session from before a worker's restart is refused by a controller that knows a view of
// the time since, and does not displace the host to which the worker reports: the worker would lose its lease, and its
// tasks. A controller that received the copy first takes over the view of the worker's host.
func TestReportFromBeforeRestartDisplacesNoHost(t *testing.T) {
	const before, since = 5 << counterBits, 9 << counterBits
	earlier := wire.Report{Machine: "n-1", Addr: "x:1", Type: "m", Zone: "z", Session: 2, Seq: 40, Token: before}
	present := View{Name: "n-1", Host: "b", Session: 1, Seq: 3, ShownToken: since, Epoch: 9, TokenConfirmed: true}
	for _, first := range []string{"view", "copy"} {
		t.Run("first the "+first, func(t *testing.T) {
			g := newTestRegistry()
			g.epoch = 8
			status := 0
			arrive := func() { g.registry.Report(earlier, func(a Answer) { status = a.Status }) }
			if first == "copy" {
				arrive()
			}
			g.registry.ApplyView(&present)
			arrive()
			if v := g.registry.View("n-1"); status != 503 || v.Host != "b" || v.Session != 1 || g.registry.HostedCount() != 0 {
				t.Errorf("the copy is answered %d; the view is of host %q and session %d", status, v.Host, v.Session)
			}
			copied := View{Name: "n-1", Host: "c", Session: 2, Seq: 40, ShownToken: before, Epoch: 5}
			if g.registry.ApplyView(&copied); g.registry.View("n-1").Host != "b" {
				t.Error("the view that another controller made from the copy displaces the host")
			}
			// The worker's lease expires: a higher session with the same token is newer.
			expired := View{Name: "n-1", Host: "c", Session: 2, Seq: 1, ShownToken: since, Epoch: 9}
			if g.registry.ApplyView(&expired); g.registry.View("n-1").Host != "c" {
				t.Error("the view of the worker's next session is refused")
			}
		})
	}
}
