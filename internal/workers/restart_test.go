package workers

import (
	"testing"

	"cleatpick/internal/eventloop"
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
