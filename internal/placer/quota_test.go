package placer

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"cleatpick/internal/agent"
	"cleatpick/internal/config"
	"cleatpick/internal/explain"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
)

// showRunning shows every machine with the tasks running that were started on it.
func (g *rig) showRunning(machines ...string) {
	on := map[string][]agent.Task{}
	for _, s := range g.starts {
		on[s.Machine] = append(on[s.Machine], agent.Task{Task: s.Task, Attempt: s.Attempt, State: wire.TaskRunning})
	}
	for _, m := range machines {
		g.show(m, "m16", "x", false, on[m]...)
	}
}

// A team with and without a guarantee and a limit, from the submission to the explanation.
// A limit of 0 was once read as a limit of nothing: a visiting team's work was refused for
// good.
func TestGuaranteeAndLimit(t *testing.T) {
	for _, c := range []struct {
		have, most  float64
		runnable    bool // a task of 16 CPUs
		placed      int  // of 40 tasks on 48 CPUs
		limited     int
		room        string // the state of its wait for room, when another team holds it all
		stops       bool   // then others are stopped for it
		most1, says string // the limit in JSON, and for people
	}{
		{0, 0, true, 40, 0, "behindGuarantees", false, `"cpusMax":null`, "no limit"},
		{8, 0, true, 40, 0, "noRoom", true, `"cpusMax":null`, "no limit"},
		{0, 12, false, 12, 28, "behindGuarantees", false, `"cpusMax":12`, "12 at most"},
		{8, 12, false, 12, 28, "noRoom", true, `"cpusMax":12`, "12 at most"},
	} {
		t.Run(fmt.Sprint(c.have, " of ", c.most), func(t *testing.T) {
			red, blue := config.Team{Name: "red", CPUs: c.have, CPUsMax: c.most}, config.Team{Name: "blue", CPUs: 16, CPUsMax: 0}
			settings := &config.Config{}
			settings.Cluster.Teams = []config.Team{red, blue}
			spec := job.Spec{Class: "k", Team: "red", Priority: job.Normal, Tasks: 40, CPUs: 1, MemoryGB: 0.5, Image: "i", AnyType: true, Estimate: 60 * loop.Second}
			large := spec
			large.CPUs = 16
			if got := job.Runnable(&large, settings, []wire.MachineType{types["m16"]}); got != c.runnable || !job.Runnable(&spec, settings, []wire.MachineType{types["m16"]}) {
				t.Errorf("a task of 16 CPUs can run: %v", got)
			}

			machines := []string{"n-1", "n-2", "n-3"}
			g := newRig(100, red, blue)
			g.showRunning(machines...)
			id := g.job(1, spec)
			g.Run(600 * loop.Millisecond) // what is not shown by then is sent again
			if len(g.starts) != c.placed {
				t.Errorf("%d tasks are started, want %d", len(g.starts), c.placed)
			}
			f, _ := g.p.Facts(id, []wire.MachineType{types["m16"]}, true)
			limited := 0
			for _, r := range explain.Judge(f) {
				if r.Kind == "teamLimit" {
					limited = r.Tasks
				}
			}
			if limited != c.limited {
				t.Errorf("the limit keeps %d tasks, want %d", limited, c.limited)
			}

			g = newRig(100, red, blue)
			var claims []peer.Reservation
			g.p.n.Claims = func(cs []peer.Reservation) { claims = append(claims, cs...) }
			g.showRunning(machines...)
			other := spec
			other.Team, other.Tasks = "blue", 48
			g.job(1, other)
			g.Run(600 * loop.Millisecond)
			g.showRunning(machines...)
			if len(g.starts) != 48 {
				t.Fatalf("%d of 48 tasks fill the fleet", len(g.starts))
			}
			own := spec
			own.Tasks = 4
			id = g.job(2, own)
			g.Run(6 * loop.Second) // turnover is hoped for first
			if (len(claims) > 0) != c.stops {
				t.Errorf("%d tasks of others are stopped", len(claims))
			}
			f, _ = g.p.Facts(id, []wire.MachineType{types["m16"]}, true)
			for _, r := range explain.Judge(f) {
				if r.Kind != "room" {
					continue
				}
				raw, err := json.Marshal(r.Detail.Team)
				if r.State != c.room || err != nil || !strings.Contains(string(raw), c.most1) || r.Detail.Team.CPUsMax.String() != c.says {
					t.Errorf("it waits for room as %s, %s, %v", r.State, raw, r.Detail.Team.CPUsMax)
				}
				return
			}
			t.Error("nothing says that it waits for room")
		})
	}
}
