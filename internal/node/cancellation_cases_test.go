package node

import (
	"fmt"
	"testing"

	"cleatpick/internal/eventloop"
)

// Jobs are cancelled just as the state service begins to refuse the leader alone, and shortly after that it is down for
// all for longer than cancel_s: the three events in different orders, in most cases half a second apart at most. All
// controllers reach each other, so tasks whose cancellation was confirmed end soon, and no other task is lost.
func TestCancelledAsTheLeaderIsRefused(t *testing.T) {
	const ms, down = eventloop.Millisecond, 60 * eventloop.Second // cancel_s is 46
	for _, cancel := range []eventloop.Micros{-300 * ms, -5 * ms, 0, 5 * ms, 300 * ms} {
		for _, out := range []eventloop.Micros{-100 * ms, 0, 5 * ms, 1000 * ms, 2000 * ms} {
			t.Run(fmt.Sprintf("cancelled %d ms, down %d ms after the refusal", cancel/ms, out/ms), func(t *testing.T) {
				t.Parallel()
				w := slowReportSimulation(t, 3)
				refusal := 400 * ms
				w.after(refusal, func() { w.disconnectFor(14*eventloop.Second, refusing, w.owner("red")+">state") })
				w.outage(refusal+out, down)
				for _, j := range eventloop.Sorted(w.jobs) {
					w.after(refusal+cancel, func() { w.cancel(j) })
				}
				w.run(w.now + 12*eventloop.Second)
				early, sure := w.cancelledJobs(), out-cancel >= 300*ms
				if n := w.cancelledTasksRunning(); n != 0 {
					t.Errorf("%d tasks of cancelled jobs still run, although all controllers reach each other", n)
				}
				if sure && early < 4 {
					t.Errorf("%d jobs are cancelled before the outage, want 4 or more", early)
				}
				w.run(w.now + down + 25*eventloop.Second)
				if w.endReasons["lease"] != 0 || w.endReasons["gone"] != 0 {
					t.Errorf("all controllers reach each other, but tasks were lost; ended tasks by reason: %v", w.endReasons)
				}
				if n := w.cancelledJobs(); n != len(w.jobs) || len(w.running) != 0 {
					t.Errorf("at the end %d jobs are cancelled, %d tasks run", n, len(w.running))
				}
			})
		}
	}
}

// Machines hang, and tasks on them are cancelled before, while or after they begin to hang. They resume within their
// lease, after it, or after cancel_s, with the answer to their last report and commands queued. A machine that hung
// for less than its lease learns of the cancellation with its next report. One that hung for longer ends the task by
// its lease, lease_s after the last answered report, which is before cancel_s.
func TestCancelledWhileItsMachineHangs(t *testing.T) {
	const second = eventloop.Second
	for _, times := range [][3]float64{{5, 26, 46}, {3, 17.5, 47.5}, {1, 10, 13}} {
		lease, cancel := eventloop.Seconds(times[1]), eventloop.Seconds(times[2])
		for _, when := range []eventloop.Micros{-2 * second, -3 * eventloop.Millisecond, 0, 3 * eventloop.Millisecond, 2 * second} {
			for _, long := range []eventloop.Micros{lease - 2*second, lease + 3*second, cancel + 5*second} {
				for _, more := range []string{"", "its host ends", "the state service is out"} {
					if more != "" && when != 0 {
						continue
					}
					t.Run(fmt.Sprintf("%v, cancelled %d ms after, hung for %d s %s", times, when/1000, long/second, more), func(t *testing.T) {
						t.Parallel()
						w := busySimulationWith(t, 3, times[0], times[1], times[2])
						w.duplicateShare = 0.2
						half := w.runningMachines()
						half = half[:len(half)/2]
						w.after(2*second, func() { w.hangMachines(half, long) })
						for _, j := range eventloop.Sorted(w.jobs) {
							w.after(2*second+when, func() { w.cancel(j) })
						}
						switch more {
						case "its host ends":
							w.after(2*second+when, func() { w.restartQuickly(w.labels[:1], 1) })
						case "the state service is out":
							w.exemptHungMachines = true // for longer than cancel_s no leader can confirm that it leads
							w.outage(2*second+when+20*eventloop.Millisecond, cancel)
						}
						w.run(w.now + 2*second + long + cancel + 30*second)
						if n := w.cancelledJobs(); n != len(w.jobs) || len(w.running) != 0 {
							t.Errorf("%d jobs are cancelled, %d tasks run", n, len(w.running))
						}
					})
				}
			}
		}
	}
}
