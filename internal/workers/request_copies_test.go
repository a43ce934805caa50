package workers

import (
	"fmt"
	"testing"
	"time"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/fake"
	"cleatpick/internal/job"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// copyRig is a registry whose direct commands and answers reach a simulated worker at once.
type copyRig struct {
	*testRegistry
	t      *testing.T
	worker *fake.Worker
	starts int // number of starts that the worker executed
	sent   []wire.Commands
}

// newCopyRig returns a rig whose worker has shown the registry's token.
func newCopyRig(t *testing.T) *copyRig {
	g := &copyRig{testRegistry: newTestRegistry(), t: t}
	g.worker = fake.NewWorker(g.now, 100*eventloop.Second)
	g.worker.Name, g.worker.Addr, g.worker.Type, g.worker.Zone, g.worker.CPUs, g.worker.MemoryGB = "n-1", "x:1", "m", "z", 4, 8
	g.worker.Job = func(string) (fake.Job, bool) {
		return fake.Job{CPUs: 1, MemoryGB: 1, Run: 3600 * eventloop.Second, Tasks: 9}, true
	}
	g.worker.OnTaskStart = func(string, string) { g.starts++ }
	g.worker.OnTaskEnd = func(string, string) {}
	g.connect()
	g.exchange()
	g.exchange()
	return g
}

// connect directs the registry's commands to the worker.
func (g *copyRig) connect() {
	g.registry.sendDirect = func(_ string, c wire.Commands, _ time.Duration) store.Response {
		g.sent = append(g.sent, c)
		status, report := g.worker.HandleCommands(g.now, c)
		return store.Response{Status: status, Body: wire.Marshal(report)}
	}
}

// exchange sends the worker's next report to the registry and the answer back.
func (g *copyRig) exchange() {
	g.now += eventloop.Second
	g.worker.Tick(g.now)
	report := g.worker.Report()
	g.registry.Report(report, func(a Answer) {
		if c, ok := a.Body.(wire.Commands); ok && a.Status == 200 {
			g.worker.HandleAnswer(g.now, g.now, report.Session, c)
		}
	})
	for range 4 {
		g.runWork()
	}
}

// start has the registry send the start of an attempt directly, and returns the command.
func (g *copyRig) start(attempt uint64) wire.Commands {
	g.t.Helper()
	g.registry.Start(Start{Machine: "n-1", Session: g.worker.Session(), Task: "job-1/0", Attempt: attempt, Expiry: g.now + 6*eventloop.Second, From: "a"})
	for range 4 {
		g.runWork()
	}
	command := g.sent[len(g.sent)-1]
	if len(command.Commands) == 0 || command.Commands[len(command.Commands)-1].Op != wire.OpStart {
		g.t.Fatalf("the start was not sent directly: %v", g.sent)
	}
	return command
}

// stop has the registry stop an attempt.
func (g *copyRig) stop(attempt uint64) {
	g.registry.Stop(Stop{Machine: "n-1", Task: "job-1/0", Attempt: attempt})
	for range 4 {
		g.runWork()
	}
}

// untilForgotten exchanges reports while the owner requests the forget, until the worker lists no attempt. It fails
// after the given number of reports.
func (g *copyRig) untilForgotten(attempt uint64, reports int) {
	g.t.Helper()
	for range reports {
		g.registry.Stop(Stop{Machine: "n-1", Task: "job-1/0", Attempt: attempt, Forget: true})
		if g.exchange(); len(g.worker.Report().Tasks) == 0 {
			return
		}
	}
	g.t.Fatalf("the worker still lists %v after %d reports", g.worker.Report().Tasks, reports)
}

// arrivesAgain delivers a copy of an executed command. It fails if the worker starts a task.
func (g *copyRig) arrivesAgain(c wire.Commands) {
	g.t.Helper()
	before := g.starts
	if g.worker.HandleCommands(g.now, c); g.starts != before {
		g.t.Fatalf("a copy of the command with token %d starts its task again; the worker's token is %d", c.Token, g.worker.Token())
	}
}

// forgetWithin is the number of reports within which an ended attempt must be forgotten here: its start can be sent for
// 6 s and be in an answer for 4.2 s, and reports are 1 s apart.
const forgetWithin = 14

// A copy of an executed start is refused from the moment at which the worker forgets the attempt, however the attempt
// ended.
func TestCopyOfExecutedStartIsRefusedAfterForget(t *testing.T) {
	for name, end := range map[string]func(g *copyRig){
		"moved":     func(g *copyRig) { g.stop(1) },
		"cancelled": func(g *copyRig) { g.registry.jobOf("job-1/0").Phase = job.Cancelled },
	} {
		for _, again := range []eventloop.Micros{100 * eventloop.Millisecond, 12 * eventloop.Second, 200 * eventloop.Second} {
			t.Run(fmt.Sprintf("%s, %d ms later", name, again/eventloop.Millisecond), func(t *testing.T) {
				g := newCopyRig(t)
				command := g.start(1)
				end(g)
				g.untilForgotten(1, forgetWithin)
				g.arrivesAgain(command)
				for until := g.now + again; g.now < until; {
					g.exchange()
				}
				g.arrivesAgain(command)
			})
		}
	}
}

// The same holds if the host restarts, or the machine moves to another host and back, between the start and the forget
// or between the forget and the copy.
func TestCopyOfExecutedStartIsRefusedAfterHostChange(t *testing.T) {
	restart := func(g *copyRig) {
		next := newTestRegistry()
		next.epoch, next.now = g.epoch+1, g.now
		g.testRegistry = next
		g.connect()
	}
	moveAndBack := func(g *copyRig) {
		seen := g.registry.View("n-1")
		g.registry.ApplyView(&View{Name: "n-1", Host: "b", Session: seen.Session, Seq: seen.Seq + 1})
		g.worker.Report()
		g.worker.Report()
	}
	for name, change := range map[string]func(g *copyRig){"the host restarts": restart, "the machine moves and returns": moveAndBack} {
		t.Run(name+" after the forget", func(t *testing.T) {
			g := newCopyRig(t)
			command := g.start(1)
			g.stop(1)
			g.untilForgotten(1, forgetWithin)
			change(g)
			g.arrivesAgain(command)
			for range 3 {
				g.exchange()
				g.arrivesAgain(command)
			}
		})
		t.Run(name+" before the forget", func(t *testing.T) {
			g := newCopyRig(t)
			command := g.start(1)
			g.stop(1)
			change(g)
			g.untilForgotten(1, forgetWithin)
			g.arrivesAgain(command)
		})
	}
}

// A machine whose counter of tokens is used up gets a token of a newer epoch, never one that the next epoch of another
// controller contains, and its ended attempts are forgotten all the same.
func TestTokensOfAnEpochAreUsedUp(t *testing.T) {
	g := newCopyRig(t)
	last := (g.epoch+1)<<counterBits - 1
	g.hostedMachine().token = last
	g.exchange()
	g.exchange()
	command := g.start(1)
	if command.Token != last {
		t.Fatalf("the start has token %d, want %d", command.Token, last)
	}
	g.stop(1)
	g.untilForgotten(1, forgetWithin+2)
	if token := g.worker.Token(); EpochOf(token) != g.epoch || token <= last {
		t.Errorf("the worker has token %d of epoch %d, want one above %d of epoch %d", token, EpochOf(token), last, g.epoch)
	}
	g.arrivesAgain(command)
}
