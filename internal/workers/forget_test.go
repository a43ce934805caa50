package workers

import (
	"fmt"
	"io"
	"testing"

	"cleatpick/internal/delivery"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// answersDirect makes the worker answer the next direct commands with a report.
func (g *testRegistry) answersDirect(seq, token uint64, tasks ...wire.ReportTask) {
	g.resp = store.Response{Status: 200, Body: wire.Marshal(wire.Report{Machine: "n-1", Type: "m", Zone: "z", Session: 1, Seq: seq, Token: token, Tasks: tasks})}
}

// forgetsOf counts the forget commands in messages.
func forgetsOf(messages ...wire.Commands) (n int) {
	for _, message := range messages {
		for _, command := range message.Commands {
			if command.Op == wire.OpForget {
				n++
			}
		}
	}
	return n
}

// The messages are those of an incident. A start is sent in the answer to a report and, at the same time, in a
// direct command. The direct command arrives first, and the attempt is started and stopped while the answer is
// delayed by a lost packet. Its owner then requests that the attempt is forgotten. Until the worker has reported
// again, the answer can still arrive; after a forget it would start the attempt again.
func TestForgetWaitsForAnswerInFlight(t *testing.T) {
	g := newTestRegistry()
	token := g.report(t, 1, 0).Token
	g.registry.Start(Start{Machine: "n-1", Session: 1, Task: "job-1/0", Attempt: 5, Expiry: g.now + 6*eventloop.Second, From: "a"})
	if c := g.report(t, 2, token); len(c.Commands) != 1 || c.Commands[0].Op != wire.OpStart {
		t.Fatalf("the answer contains %v, want the start", c.Commands)
	}
	g.answersDirect(3, token, wire.ReportTask{Task: "job-1/0", Attempt: 5, State: wire.TaskRunning})
	g.runWork()
	if len(g.sent) != 1 || len(g.sent[0].Commands) != 1 {
		t.Fatalf("sent directly: %v, want the start as well", g.sent)
	}
	g.now += 45 * eventloop.Millisecond
	g.answersDirect(4, token, wire.ReportTask{Task: "job-1/0", Attempt: 5, State: wire.TaskExited, Why: wire.WhyStopped})
	g.registry.Stop(Stop{Machine: "n-1", Task: "job-1/0", Attempt: 5})
	g.runWork()
	seq := uint64(4)
	forget := func(after eventloop.Micros) {
		g.now += after
		seq++
		g.answersDirect(seq, token, terminated(5))
		g.registry.Stop(Stop{Machine: "n-1", Task: "job-1/0", Attempt: 5, Forget: true})
		g.registry.RequestTaskList("n-1")
		g.runWork()
	}
	forget(130 * eventloop.Millisecond)
	if n := forgetsOf(g.sent...); n != 0 {
		t.Fatalf("%d forgets are sent while the answer with the start is in flight", n)
	}
	// Elapsed time does not prove that the answer has arrived: the process may have paused before sending it.
	forget(60 * eventloop.Second)
	if n := forgetsOf(g.sent...); n != 0 {
		t.Fatalf("%d forgets are sent while nothing proves that the answer has arrived", n)
	}
	g.now += eventloop.Second
	g.registry.Stop(Stop{Machine: "n-1", Task: "job-1/0", Attempt: 5, Forget: true})
	c := g.report(t, 9, token, wire.ReportTask{Task: "job-1/0", Attempt: 5, State: wire.TaskExited, Why: wire.WhyStopped})
	if n := forgetsOf(c); n != 1 || c.Token <= token {
		t.Fatalf("%d forgets with token %d after the worker has reported again and the start has expired, want one with a token above %d", n, c.Token, token)
	}
}

// terminated is a terminated attempt as a report lists it.
func terminated(number uint64) wire.ReportTask {
	return wire.ReportTask{Task: "job-1/0", Attempt: number, State: wire.TaskExited, Why: wire.WhyStopped}
}

// Each way in which a start of a terminated attempt can still arrive blocks its forget by itself, both when an
// owner requests it and when the job is final; nothing else blocks it.
func TestWhatBlocksAForget(t *testing.T) {
	const startLifetime = 6 * eventloop.Second
	long := startLifetime + delivery.AnswerLifetime + eventloop.Second
	for _, c := range []struct {
		name string
		// messages brings the machine to the point at which the forget would be sent, and returns the messages.
		messages func(g *testRegistry, token uint64) []wire.Commands
		want     int
	}{
		{"nothing", func(g *testRegistry, token uint64) []wire.Commands {
			g.now += long
			return []wire.Commands{g.report(t, 3, token, terminated(1))}
		}, 1},
		{"another host may pass its start on", func(g *testRegistry, token uint64) []wire.Commands {
			g.now += startLifetime + delivery.AnswerLifetime
			return []wire.Commands{g.report(t, 3, token, terminated(1))}
		}, 0},
		{"listed in another state before", func(g *testRegistry, token uint64) []wire.Commands {
			g.report(t, 3, token, terminated(1), wire.ReportTask{Task: "job-1/0", Attempt: 2, State: wire.TaskRunning})
			g.now += long
			return []wire.Commands{g.report(t, 4, token, terminated(1), terminated(2))}
		}, 2},
		{"listed beside an earlier attempt", func(g *testRegistry, token uint64) []wire.Commands {
			g.now += long
			return []wire.Commands{g.report(t, 3, token, terminated(1), terminated(2))}
		}, 1},
		{"a new session", func(g *testRegistry, token uint64) []wire.Commands {
			g.now += long
			g.session = 2
			return []wire.Commands{g.report(t, 1, token, terminated(1))}
		}, 0},
		{"the worker shows a lower token", func(g *testRegistry, token uint64) []wire.Commands {
			g.resp = store.Response{Err: io.ErrUnexpectedEOF}
			g.registry.RequestTaskList("n-1")
			g.runWork() // the outcome is unknown, so the token is raised
			g.now += long
			return []wire.Commands{g.report(t, 3, token, terminated(1))}
		}, 0},
		{"the worker shows the raised token", func(g *testRegistry, token uint64) []wire.Commands {
			g.resp = store.Response{Err: io.ErrUnexpectedEOF}
			g.registry.RequestTaskList("n-1")
			g.runWork()
			g.now += long
			return []wire.Commands{g.report(t, 3, token+1, terminated(1))}
		}, 1},
		{"a direct command is in flight", func(g *testRegistry, token uint64) (out []wire.Commands) {
			g.now += long
			g.answersDirect(4, token, terminated(1))
			g.duringDirect = func() { out = append(out, g.report(t, 3, token, terminated(1))) }
			g.registry.RequestTaskList("n-1")
			g.sent = nil
			g.runWork()
			return out // without the commands of the direct command itself
		}, 0},
		{"a duplicate of an earlier report", func(g *testRegistry, token uint64) []wire.Commands {
			g.now += long
			g.hostedMachine().startsInAnswer[delivery.Attempt{Task: "job-1/0", Number: 1}] = struct{}{}
			g.registry.Report(wire.Report{Machine: "n-1", Addr: "x:1", Type: "m", Zone: "z", Session: 1, Seq: 2, Token: token, Tasks: []wire.ReportTask{terminated(1)}}, func(a Answer) {
				if a.Status != 503 {
					t.Errorf("the duplicate is answered %d, want 503", a.Status)
				}
			})
			g.answersDirect(3, token, terminated(1))
			g.registry.RequestTaskList("n-1")
			g.runWork()
			return g.sent
		}, 0},
		{"its start is in an answer, and a direct answer has overtaken the next report", func(g *testRegistry, token uint64) []wire.Commands {
			g.now += long
			g.hostedMachine().startsInAnswer[delivery.Attempt{Task: "job-1/0", Number: 1}] = struct{}{}
			g.answersDirect(5, token, terminated(1))
			g.registry.RequestTaskList("n-1")
			g.runWork()
			before := len(g.sent)
			late := g.report(t, 4, token, terminated(1)) // proves that the answer arrived
			return append(g.sent[:before:before], late)
		}, -1},
		{"its start was sent directly, and a direct command is due", func(g *testRegistry, token uint64) []wire.Commands {
			g.now += long
			g.hostedMachine().directStarts[delivery.Attempt{Task: "job-1/0", Number: 1}] = token
			g.answersDirect(3, token, terminated(1))
			g.registry.RequestTaskList("n-1")
			g.sent = nil
			g.runWork()
			return g.sent
		}, 0},
		{"its start was sent directly under a lower token, and a direct command is due", func(g *testRegistry, token uint64) []wire.Commands {
			g.now += long
			g.hostedMachine().directStarts[delivery.Attempt{Task: "job-1/0", Number: 1}] = token - 1
			g.answersDirect(3, token, terminated(1))
			g.registry.RequestTaskList("n-1")
			g.sent = nil
			g.runWork()
			return g.sent
		}, 1},
		{"its start was sent directly, and the answer to a report has a higher token", func(g *testRegistry, token uint64) []wire.Commands {
			g.now += long
			g.hostedMachine().directStarts[delivery.Attempt{Task: "job-1/0", Number: 1}] = token
			c := g.report(t, 3, token, terminated(1))
			if c.Token <= token {
				t.Errorf("the answer has token %d, want more than %d", c.Token, token)
			}
			return []wire.Commands{c}
		}, 1},
		{"its start is pending", func(g *testRegistry, token uint64) []wire.Commands {
			g.now += long
			g.hostedMachine().pending[delivery.Attempt{Task: "job-1/0", Number: 1}] = &pendingStart{untilToken: token}
			return []wire.Commands{{Commands: g.registry.commands(g.hostedMachine(), pathAnswer)}}
		}, 0},
	} {
		for _, final := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/job final %v", c.name, final), func(t *testing.T) {
				g := newTestRegistry()
				token := g.report(t, 1, 0).Token
				g.report(t, 2, token, terminated(1))
				if final {
					g.registry.jobOf("job-1/0").Phase = job.Cancelled
				} else {
					for number := range uint64(3) {
						g.hostedMachine().stops[delivery.Attempt{Task: "job-1/0", Number: number}] = stopRequest{Stop{Forget: true}, g.now + 100*eventloop.Second}
					}
				}
				want := c.want
				if want < 0 { // only the answer to the late report may contain a forget, and only if the job is final
					want = 0
					if final {
						want = 1
					}
				}
				if n := forgetsOf(c.messages(g, token)...); n != want {
					t.Errorf("%d forgets are sent, want %d", n, want)
				}
			})
		}
	}
}
