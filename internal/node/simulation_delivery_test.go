package node

import (
	"fmt"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/wire"
)

// reportTimeout is how long a worker waits for the answer to its report.
const reportTimeout = 4 * eventloop.Second

// startsInFlight is a message with starts that a host controller has sent and that has not reached its worker yet.
type startsInFlight struct {
	number  int    // in the order in which they were sent to the machine
	route   string // how it is sent, for failure messages
	token   uint64
	session uint64
	until   eventloop.Micros // the worker drops it after this time; 0: never
	starts  []wire.Command
}

// canArrive reports whether the worker would still execute the message.
func (d *startsInFlight) canArrive(now eventloop.Micros, x *simWorker) bool {
	return d.token >= x.w.Token() && d.session == x.w.Session() && (d.until == 0 || now <= d.until)
}

// commandsSent records that a host controller sends commands to a worker, and checks them. It checks the precondition
// of a task that runs twice and not the second run itself, which is thousands of times rarer: no forget may be sent
// while a start of the same attempt, or a copy of it, would still be executed after the forget. It returns nil if there
// are no starts among the commands.
func (w *simulation) commandsSent(x *simWorker, route string, c wire.Commands, session uint64, until eventloop.Micros) *startsInFlight {
	for old := range x.inFlight {
		if !old.canArrive(w.now, x) {
			delete(x.inFlight, old)
		}
	}
	sent := &startsInFlight{route: route, token: c.Token, session: session, until: until}
	for _, command := range c.Commands {
		switch {
		case command.Op == wire.OpStart:
			sent.starts = append(sent.starts, command)
		case command.Op == wire.OpForget && sent.canArrive(w.now, x):
			w.checkForget(x, sent, command)
		}
	}
	if len(sent.starts) == 0 {
		return nil
	}
	x.startsSent++
	sent.number = x.startsSent
	x.inFlight[sent] = struct{}{}
	return sent
}

// checkForget fails if a start of the attempt would be executed after the forget. The worker has seen the token of the
// message with the forget by then, and refuses what has a lower one.
func (w *simulation) checkForget(x *simWorker, sent *startsInFlight, forget wire.Command) {
	w.forgetsSent++
	for d := range x.inFlight {
		if d.token < sent.token {
			continue
		}
		for _, start := range d.starts {
			if start.Task == forget.Task && start.Attempt == forget.Attempt {
				w.fail("forget of %s attempt %d is sent to %s in %s, while a start of it in %s can still be executed",
					forget.Task, forget.Attempt, x.w.Name, sent.route, d.route)
			}
		}
	}
}

// commandsArrived records that a message has reached the worker, or never will.
func (x *simWorker) commandsArrived(d *startsInFlight) { delete(x.inFlight, d) }

// startedAfterForget fails for a start that arrived after the forget of its attempt.
func (w *simulation) startedAfterForget(x *simWorker, task string, attempt uint64) {
	w.fail("%s starts attempt %d of %s again after it was told to forget it", x.w.Name, attempt, task)
}

// answerDelay draws how long the answer to a report takes. A slow answer stands for lost packets, which are sent again
// after some 200 ms and then after increasing times.
func (w *simulation) answerDelay() eventloop.Micros {
	if w.slowAnswerShare > 0 && w.rng.Float64() < w.slowAnswerShare {
		return w.between(200*eventloop.Millisecond, 3500*eventloop.Millisecond)
	}
	return w.between(300, 2000)
}

func directRoute(from string) string { return fmt.Sprint("a direct command of ", from) }

func answerRoute(from string) string { return fmt.Sprint("an answer of ", from) }
