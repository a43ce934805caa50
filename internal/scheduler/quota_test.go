package scheduler

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/explain"
	"cleatpick/internal/job"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// showRunning delivers views in which all tasks started on each machine are running.
func (g *rig) showRunning(machines ...string) {
	on := map[string][]workers.Task{}
	for _, s := range g.starts {
		on[s.Machine] = append(on[s.Machine], workers.Task{Task: s.Task, Attempt: s.Attempt, State: wire.TaskRunning})
	}
	for _, m := range machines {
		g.deliverView(m, "m16", "x", false, on[m]...)
	}
}

// The test follows teams with and without a guarantee and a limit from submission to explanation. A limit of 0 means
// no limit; it was once read as a limit of nothing, and all work of a team without a limit was refused for good.
func TestGuaranteeAndLimit(t *testing.T) {
	for _, c := range []struct {
		guarantee, limit     float64
		runnable             bool // whether a task of 16 CPUs can run
		placed               int  // of 40 tasks on 48 CPUs
		limited              int
		waitState            string // state of its wait for capacity, when another team uses all of it
		preempts             bool   // whether tasks of others are then preempted
		limitJSON, limitText string // the limit in JSON, and in text for people
	}{
		{0, 0, true, 40, 0, "behindGuarantees", false, `"cpusMax":null`, "no limit"},
		{8, 0, true, 40, 0, "noRoom", true, `"cpusMax":null`, "no limit"},
		{0, 12, false, 12, 28, "behindGuarantees", false, `"cpusMax":12`, "12 at most"},
		{8, 12, false, 12, 28, "noRoom", true, `"cpusMax":12`, "12 at most"},
	} {
		t.Run(fmt.Sprint(c.guarantee, " of ", c.limit), func(t *testing.T) {
			red, blue := config.Team{Name: "red", CPUs: c.guarantee, CPUsMax: c.limit}, config.Team{Name: "blue", CPUs: 16, CPUsMax: 0}
			settings := &config.Config{}
			settings.Cluster.Teams = []config.Team{red, blue}
			spec := job.Spec{Class: "k", Team: "red", Priority: job.Normal, Tasks: 40, CPUs: 1, MemoryGB: 0.5, Image: "i", AnyType: true, Estimate: 60 * eventloop.Second}
			large := spec
			large.CPUs = 16
			if got := job.Runnable(&large, settings, []wire.MachineType{types["m16"]}); got != c.runnable || !job.Runnable(&spec, settings, []wire.MachineType{types["m16"]}) {
				t.Errorf("a task of 16 CPUs can run: %v, or one of 1 CPU cannot", got)
			}

			machines := []string{"n-1", "n-2", "n-3"}
			g := newRig(100, red, blue)
			g.showRunning(machines...)
			id := g.acceptJob(1, spec)
			g.Advance(600 * eventloop.Millisecond) // starts that no view shows by then are sent again
			if len(g.starts) != c.placed {
				t.Errorf("%d tasks are started, want %d", len(g.starts), c.placed)
			}
			f, _ := g.scheduler.Facts(id, []wire.MachineType{types["m16"]}, true)
			limited := 0
			for _, r := range explain.Reasons(f) {
				if r.Kind == "teamLimit" {
					limited = r.Tasks
				}
			}
			if limited != c.limited {
				t.Errorf("the limit blocks %d tasks, want %d", limited, c.limited)
			}

			g = newRig(100, red, blue)
			var claims []peer.Reservation
			g.scheduler.deps.SendReservations = func(cs []peer.Reservation) { claims = append(claims, cs...) }
			g.showRunning(machines...)
			other := spec
			other.Team, other.Tasks = "blue", 48
			g.acceptJob(1, other)
			g.Advance(600 * eventloop.Millisecond)
			g.showRunning(machines...)
			if len(g.starts) != 48 {
				t.Fatalf("%d tasks are started to fill the cluster, want 48", len(g.starts))
			}
			own := spec
			own.Tasks = 4
			id = g.acceptJob(2, own)
			g.Advance(6 * eventloop.Second) // capacity freed by completing tasks is awaited first
			if (len(claims) > 0) != c.preempts {
				t.Errorf("%d tasks of others are preempted", len(claims))
			}
			f, _ = g.scheduler.Facts(id, []wire.MachineType{types["m16"]}, true)
			for _, r := range explain.Reasons(f) {
				if r.Kind != "room" {
					continue
				}
				raw, err := json.Marshal(r.Detail.Team)
				if r.State != c.waitState || err != nil || !strings.Contains(string(raw), c.limitJSON) || r.Detail.Team.CPUsMax.String() != c.limitText {
					t.Errorf("its wait for capacity is reported as %s, %s, %v", r.State, raw, r.Detail.Team.CPUsMax)
				}
				return
			}
			t.Error("no reason says that it waits for capacity")
		})
	}
}
