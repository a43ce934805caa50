package node

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
)

// loseControllers lets controllers crash within the time that a cancellation has: the leader, several times in a row, or
// all controllers at once.
func (w *simulation) loseControllers(r *rand.Rand) {
	cancel := eventloop.Seconds(w.cfg.Cluster.Workers.CancelS)
	back := w.between(200*eventloop.Millisecond, 6*eventloop.Second)
	switch r.IntN(4) {
	case 0:
		w.after(w.between(0, cancel*2/3), func() { w.killFor(w.leader(), back) })
	case 1:
		for k := range 1 + r.IntN(4) {
			w.after(eventloop.Micros(k)*w.between(5*eventloop.Second, 10*eventloop.Second), func() { w.killFor(w.leader(), back) })
		}
	case 2:
		w.after(w.between(0, cancel/2), func() {
			for _, label := range w.labels {
				w.killFor(label, back)
			}
		})
	}
}

// The tasks of cancelled jobs are gone within cancel_s though their machines hang for longer than that and the controllers
// that confirmed the cancellations, or led then, crash. The time that was promised once began anew with each leader.
func TestCancelledTasksOnHungMachinesAreGoneInTime(t *testing.T) {
	from, to := seedRange(t, 1, 16)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 7002))
			w, jobs := randomSimulation(t, seed, r, func(c *config.Config) {
				if r.IntN(2) == 0 {
					c.Cluster.Workers.ReportS, c.Cluster.Workers.LeaseS, c.Cluster.Workers.CancelS = 5, 26.5, 46.5
				}
			})
			for i := range jobs {
				w.after(w.between(eventloop.Second, 120*eventloop.Second), func() {
					j := w.makeJob(i)
					j.run += w.between(0, 60*eventloop.Second)
					w.simulateUser(j)
				})
			}
			cancel := eventloop.Seconds(w.cfg.Cluster.Workers.CancelS)
			w.repeatFaults(15*eventloop.Second, cancel, 2*cancel, func() {
				w.hangMachines(w.someMachines(0.4*w.rng.Float64()), w.between(cancel/2, 2*cancel))
				w.cancelSome(1.5, 2*eventloop.Second)
				w.loseControllers(r)
			})
			w.startChecks(260 * eventloop.Second)
			w.run(3600*eventloop.Second + 1400*eventloop.Second) // its jobs run for up to 80 s a task, on as few as two machines
			w.checkCompleted(20)
		})
	}
}
