package scheduler

import (
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// A task as large as a machine waits beside small tasks that take all capacity as it becomes free. Once it has waited
// for starvation.MinWait, capacity is reserved for it, no small task takes that, and the task starts. The reservation
// ends with the start, or when its job is over. Another owner that received the reservation drops it once the machine
// lists the task.
func TestCapacityIsReservedForATaskThatFitsNowhere(t *testing.T) {
	g := newRig(100, config.Team{Name: "red", CPUs: 8}, config.Team{Name: "blue"})
	small := g.acceptJob(1, job.Spec{Team: "red", Priority: job.Normal, Tasks: 9000, CPUs: 2, AnyType: true, Estimate: eventloop.Second})
	large := g.acceptJob(2, job.Spec{Team: "blue", Priority: job.Low, Tasks: 1, CPUs: 8, AnyType: true, Estimate: eventloop.Second})
	g.seq = 1
	runUntil := func(d eventloop.Micros, until func() bool) { // tasks on the machine complete one at a time, a second after they began
		for stop := g.Now() + d; g.Now() < stop && !until(); {
			var on []workers.Task
			for _, s := range g.starts {
				on = append(on, workers.Task{Task: s.Task, Attempt: s.Attempt, State: wire.TaskRunning})
			}
			if len(on) >= 4 {
				on[0].State, on[0].Why = wire.TaskExited, wire.WhyDone
			}
			g.deliverView("n-001", "m8", "x", false, on...)
			g.Advance(300 * eventloop.Millisecond)
			if len(on) > 0 && on[0].State == wire.TaskExited {
				g.starts = g.starts[1:]
			}
		}
	}
	began := func() bool {
		for _, s := range g.starts {
			if id, _, _ := workers.SplitTask(s.Task); id == large {
				return true
			}
		}
		return false
	}
	accepted := g.Now()
	runUntil(70*eventloop.Second, began)
	if began() || g.scheduler.fleet.ReservationCount(large) != 0 {
		t.Fatalf("before the waiting time is over: begun %v, capacity reserved for %d tasks", began(), g.scheduler.fleet.ReservationCount(large))
	}
	runUntil(20*eventloop.Second, func() bool { return g.scheduler.fleet.ReservationCount(large) > 0 })
	other := g.scheduler.fleet.Machine("n-001")
	if g.scheduler.fleet.ReservationCount(large) != 1 || len(other.Reservations) != 1 {
		t.Fatalf("capacity reserved for %d tasks, reservations %+v, want one", g.scheduler.fleet.ReservationCount(large), other.Reservations)
	}
	if f, ok := g.scheduler.Facts(large, nil, true); !ok || f.Reserved != 1 {
		t.Errorf("the facts for an explanation are %+v, want one reservation", f)
	}
	for k := 0; !began() && k < 40; k++ { // the small tasks complete, and none takes their place
		var on []workers.Task
		for _, s := range g.starts[min(len(g.starts), k/4+1):] {
			on = append(on, workers.Task{Task: s.Task, Attempt: s.Attempt, State: wire.TaskRunning})
		}
		g.deliverView("n-001", "m8", "x", false, on...)
		g.Advance(300 * eventloop.Millisecond)
	}
	if !began() || g.Now()-accepted > 120*eventloop.Second || g.scheduler.fleet.ReservationCount(large) != 0 {
		t.Errorf("begun %v after %d us, capacity still reserved for %d tasks", began(), g.Now()-accepted, g.scheduler.fleet.ReservationCount(large))
	}
	// The view of another owner that received a reservation: the machine lists the task, or the job ends.
	claim := peer.Reservation{Machine: "n-001", Job: small, Priority: 3, CPUs: 2, Until: g.Wall() + 20*eventloop.Second}
	g.deliverView("n-001", "m8", "x", false)
	g.Advance(eventloop.Second)
	g.scheduler.ReservationsReceived([]peer.Reservation{claim, claim})
	g.deliverView("n-001", "m8", "x", false, workers.Task{Task: small + "/8999", Attempt: 1, State: wire.TaskRunning})
	g.scheduler.fleet.Refresh()
	if n := g.scheduler.fleet.ReservationCount(small); n != 1 {
		t.Errorf("%d of two reservations are left once one task is listed, want 1", n)
	}
	rec := job.Record{Phase: job.Cancelled, AcceptedAt: 1, Tasks: 9000}
	g.mirror.Apply(job.KeyPrefix+small, wire.Marshal(rec), g.state.Put(job.KeyPrefix+small, rec), false)
	if n := g.scheduler.fleet.ReservationCount(small); n != 0 {
		t.Errorf("%d reservations are left of a job that is over", n)
	}
}
