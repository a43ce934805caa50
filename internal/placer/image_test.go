package placer

import (
	"fmt"
	"testing"

	"cleatpick/internal/agent"
	"cleatpick/internal/config"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
)

// Urgent work goes where its image is, though another machine has room: what has just
// begun there is stopped for it, and nothing that would lose more than the fetch takes. It
// waits for that room and takes no other, is no miss meanwhile, and goes to the other
// machine should the room not come.
func TestUrgentWorkGoesToItsImage(t *testing.T) {
	const s = loop.Second
	for _, c := range []struct {
		name   string
		ran    loop.Micros // for how long work of low priority has run on the machine with the image
		image  float64     // GB
		comes  bool        // the stops are carried out
		at     string      // machine on which the urgent tasks end up
		claims int
	}{
		{"it has just begun", s, 2, true, "n-1", 4},
		{"it has run for long", 30 * s, 2, true, "n-2", 0},
		{"a large image is worth more", 30 * s, 20, true, "n-1", 4},
		{"the stops are lost", s, 2, false, "n-2", 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newRig(100, config.Team{Name: "red", CPUs: 64, CPUsMax: 64}, config.Team{Name: "blue", CPUs: 64, CPUsMax: 64})
			var claims []peer.Reservation
			g.p.n.Claims = func(cs []peer.Reservation) { claims = append(claims, cs...) }
			low := g.job(1, job.Spec{Class: "k", Team: "blue", Priority: job.Low, Tasks: 8, CPUs: 2, MemoryGB: 2, Image: "i", AnyType: true, Estimate: 60 * s})
			was := g.job(2, job.Spec{Class: "k", Team: "red", Priority: job.High, Tasks: 1, CPUs: 2, MemoryGB: 2, Image: "u", ImageGB: c.image, AnyType: true, Estimate: 60 * s})
			g.show("n-1", "m16", "x", false, agent.Task{Task: agent.TaskName(was, 0), Attempt: 1, State: wire.TaskRunning}) // so the image is there
			busy := make([]agent.Task, 8)
			for i := range busy {
				busy[i] = agent.Task{Task: agent.TaskName(low, i), Attempt: 1, State: wire.TaskRunning}
			}
			again := func(d loop.Micros, tasks []agent.Task) {
				for end := g.Now() + d; g.Now() < end; {
					g.show("n-1", "m16", "x", false, tasks...)
					g.show("n-2", "m16", "x", false)
					g.Run(200 * loop.Millisecond)
				}
			}
			for _, id := range []string{low, was} { // they are owned elsewhere: only the views tell of them
				g.p.forgetTable(g.p.teams[g.registry.Get(id).Spec.Team].jobs[id])
			}
			again(c.ran, busy)
			g.starts = nil
			id := g.job(3, job.Spec{Class: "k", Team: "red", Priority: job.High, Tasks: 4, CPUs: 2, MemoryGB: 2, Image: "u", ImageGB: c.image, AnyType: true, Estimate: 60 * s})
			g.Run(500 * loop.Millisecond)
			if len(claims) != c.claims {
				t.Fatalf("%d claims, want %d", len(claims), c.claims)
			}
			if c.claims > 0 && len(g.starts) > 0 {
				t.Fatalf("%d tasks went elsewhere meanwhile", len(g.starts))
			}
			for _, w := range g.tally.Requests {
				if w.Priority == int(job.High) {
					t.Errorf("%d urgent tasks are told as missing room", w.Count)
				}
			}
			if c.comes && c.claims > 0 {
				again(600*loop.Millisecond, busy[4:])
			} else {
				again(4*s, busy)
			}
			on := map[string]int{}
			for i := range 4 {
				on[g.p.teams["red"].jobs[id].task(i).machine]++
			}
			if on[c.at] != 4 {
				t.Errorf("the tasks are on %v, want all on %s", fmt.Sprint(on), c.at)
			}
		})
	}
}
