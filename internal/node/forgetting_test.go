package node

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/delivery"
	"cleatpick/internal/eventloop"
)

// exitedAttempt is an attempt that has exited and is still listed, in one session of a machine and at one host.
type exitedAttempt struct {
	machine string
	session uint64
	host    int // index of the controller to which the machine reports
	task    string
	attempt uint64
}

// forgetBound is how long an ended attempt stays in the reports of a machine that keeps its host, if no message is lost:
// until no start of it can arrive from another host, and three reports and a write of the task log later. The first report
// shows its end, the second that its outcome is recorded, and the answer to the third contains the forget.
func (w *simulation) forgetBound() eventloop.Micros {
	const logWrite = 2 * eventloop.Second
	clock := delivery.NewClockBounds(w.cfg.ClockDifference(), eventloop.Seconds(w.cfg.Operator.StartLifetimeS))
	reports := eventloop.Seconds(3 * 1.25 * w.cfg.Cluster.Workers.ReportS)
	return clock.LatestArrivalOfRecorded(0) + reports + logWrite
}

// checkAttemptsForgotten fails if an ended attempt stays in the reports for longer than forgetBound. It counts from the first call
// on, and returns the longest time that it has seen.
func (w *simulation) checkAttemptsForgotten(longest *eventloop.Micros) {
	since := map[exitedAttempt]eventloop.Micros{}
	var check func()
	check = func() {
		listed := map[exitedAttempt]eventloop.Micros{}
		for name, x := range eventloop.Sorted(w.workers) {
			if x.deleted {
				continue
			}
			for _, c := range x.w.Exited() {
				a := exitedAttempt{name, x.w.Session(), x.hostIndex, c.Task, c.Attempt}
				listed[a] = w.now
				if first, ok := since[a]; ok {
					listed[a] = first
				}
				age := w.now - listed[a]
				*longest = max(*longest, age)
				if age > w.forgetBound() {
					w.fail("%s still lists attempt %d of %s %.1f s after its end; the bound is %.1f s", name, a.attempt, a.task, float64(age)/1e6, float64(w.forgetBound())/1e6)
				}
			}
		}
		since = listed
		w.after(200*eventloop.Millisecond, check)
	}
	check()
}

// Under constant starts and stops and copies of all requests, and after machines did not hear or reach any controller and
// answers were lost, ended attempts leave the reports within forgetBound.
func TestEndedAttemptsAreForgotten(t *testing.T) {
	const faultsEnd, loadEnd = 80 * eventloop.Second, 200 * eventloop.Second
	from, to := seedRange(t, 1, 12)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 6402))
			w, jobs := randomSimulation(t, seed, r, func(*config.Config) {})
			w.copyAll(0.1)
			for i := range 3 * jobs {
				w.after(w.between(eventloop.Second, loadEnd), func() { w.addJob(i) })
			}
			w.after(0, w.tickWorkers)
			w.after(0, w.checkCancelled)
			var inject func()
			inject = func() {
				names := w.someMachines(0.3)
				d := w.between(2*eventloop.Second, 15*eventloop.Second)
				if r.IntN(2) == 0 {
					w.ignoreCommands(names, d)
				} else {
					w.blockReports(names, d)
				}
				if w.now < 3600*eventloop.Second+faultsEnd-20*eventloop.Second {
					w.after(w.between(3*eventloop.Second, 8*eventloop.Second), inject)
				}
			}
			w.after(15*eventloop.Second, inject)
			var longest eventloop.Micros
			w.after(faultsEnd, func() { w.reliable = true })
			// By then each machine that was cut off is in a new session or was answered.
			w.after(faultsEnd+2*eventloop.Seconds(w.cfg.Cluster.Workers.LeaseS), func() { w.checkAttemptsForgotten(&longest) })
			w.run(3600*eventloop.Second + loadEnd + 60*eventloop.Second)
			if longest == 0 || w.forgetsSent < 20 {
				t.Errorf("%d forgets were sent, the longest time to one was %d us", w.forgetsSent, longest)
			}
			t.Logf("longest %.1f s of %.1f s", float64(longest)/1e6, float64(w.forgetBound())/1e6)
		})
	}
}
