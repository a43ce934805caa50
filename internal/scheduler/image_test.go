package scheduler

import (
	"fmt"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// Urgent tasks go to the machine that holds their image even if another machine has free capacity. Tasks that have
// just begun there are preempted for them, but none that would lose more than the fetch takes. The urgent tasks wait
// for that capacity, use no other and do not count as unplaced while they wait. If the capacity does not become free, they
// go to the other machine.
func TestUrgentWorkGoesToItsImage(t *testing.T) {
	const s = eventloop.Second
	for _, c := range []struct {
		name        string
		ran         eventloop.Micros // how long tasks of low priority have run on the machine with the image
		image       float64          // size in GB
		stopsArrive bool             // the preempted tasks stop
		placedOn    string           // machine on which the urgent tasks are placed in the end
		claims      int
	}{
		{"the running tasks have just begun", s, 2, true, "n-1", 4},
		{"the running tasks have run for long", 30 * s, 2, true, "n-2", 0},
		{"a large image justifies stopping long-running tasks", 30 * s, 20, true, "n-1", 4},
		{"the stop commands are lost", s, 2, false, "n-2", 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newRig(100, config.Team{Name: "red", CPUs: 64, CPUsMax: 64}, config.Team{Name: "blue", CPUs: 64, CPUsMax: 64})
			var claims []peer.Reservation
			g.scheduler.deps.SendReservations = func(cs []peer.Reservation) { claims = append(claims, cs...) }
			low := g.acceptJob(1, job.Spec{Class: "k", Team: "blue", Priority: job.Low, Tasks: 8, CPUs: 2, MemoryGB: 2, Image: "i", AnyType: true, Estimate: 60 * s})
			earlier := g.acceptJob(2, job.Spec{Class: "k", Team: "red", Priority: job.High, Tasks: 1, CPUs: 2, MemoryGB: 2, Image: "u", ImageGB: c.image, AnyType: true, Estimate: 60 * s})
			g.deliverView("n-1", "m16", "x", false, workers.Task{Task: workers.TaskName(earlier, 0), Attempt: 1, State: wire.TaskRunning}) // the machine therefore has the image
			busy := make([]workers.Task, 8)
			for i := range busy {
				busy[i] = workers.Task{Task: workers.TaskName(low, i), Attempt: 1, State: wire.TaskRunning}
			}
			deliverViews := func(d eventloop.Micros, tasks []workers.Task) {
				for end := g.Now() + d; g.Now() < end; {
					g.deliverView("n-1", "m16", "x", false, tasks...)
					g.deliverView("n-2", "m16", "x", false)
					g.Advance(200 * eventloop.Millisecond)
				}
			}
			for _, id := range []string{low, earlier} { // owned by another controller; known here only from the views
				g.scheduler.forgetJob(g.scheduler.teams[g.registry.Get(id).Spec.Team].jobs[id])
			}
			deliverViews(c.ran, busy)
			g.starts = nil
			id := g.acceptJob(3, job.Spec{Class: "k", Team: "red", Priority: job.High, Tasks: 4, CPUs: 2, MemoryGB: 2, Image: "u", ImageGB: c.image, AnyType: true, Estimate: 60 * s})
			g.Advance(500 * eventloop.Millisecond)
			if len(claims) != c.claims {
				t.Fatalf("%d reservations, want %d", len(claims), c.claims)
			}
			if c.claims > 0 && len(g.starts) > 0 {
				t.Fatalf("%d tasks were placed elsewhere before the preempted tasks stopped", len(g.starts))
			}
			for _, w := range g.demand.Requests {
				if w.Priority == int(job.High) {
					t.Errorf("%d urgent tasks are published as unplaced", w.Count)
				}
			}
			if c.stopsArrive && c.claims > 0 {
				deliverViews(600*eventloop.Millisecond, busy[4:])
			} else {
				deliverViews(4*s, busy)
			}
			on := map[string]int{}
			for i := range 4 {
				on[g.scheduler.teams["red"].jobs[id].task(i).machine]++
			}
			if on[c.placedOn] != 4 {
				t.Errorf("the tasks are on %v, want all on %s", fmt.Sprint(on), c.placedOn)
			}
		})
	}
}
