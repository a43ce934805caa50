package fleet

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	"cleatpick/internal/agent"
	"cleatpick/internal/cordon"
	"cleatpick/internal/gate"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/standin"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// full is a fleet of machines of 8 CPUs on which nothing is free; team is whose tasks each runs.
func full(clock *standin.Stepped, teams ...string) *Fleet {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	client := store.NewClient(clock, nil, log, 100, 100, 1)
	jobs := map[string]*job.Job{}
	f := New(clock, log, Node{Label: "a", StaleAfter: 10 * loop.Second,
		Type: func(string) (wire.MachineType, bool) {
			return wire.MachineType{Name: "m8", CPUs: 8, MemoryGB: 32}, true
		},
		Room: func(*agent.View, wire.MachineType) (agent.Room, bool) { return agent.Room{MemoryGB: 32}, true },
		Jobs: func(v *agent.View) (of []*job.Job) {
			for _, x := range v.Tasks {
				id, _, _ := agent.SplitTask(x.Task)
				of = append(of, jobs[id])
			}
			return of
		},
		Unshown: func(*agent.View, func(*job.Spec)) {},
		Cordons: cordon.NewRegistry(clock, client, store.NewMirror(client, nil, "c/"), log, 0)})
	for i, team := range teams {
		id := fmt.Sprintf("job-%06d", 100+i)
		jobs[id] = &job.Job{ID: id, Spec: &job.Spec{Team: team, CPUs: 8}}
		f.View(&agent.View{Name: fmt.Sprint("n-", i), Type: "m8", Zone: "x", Settled: true, Tasks: []agent.Task{{Task: agent.TaskName(id, 0), State: wire.TaskRunning}}}, clock.Now(), false)
	}
	f.Refresh()
	return f
}

// Small tasks share machines up to half of each, where others' work ends; a large one gets one to itself.
func TestHold(t *testing.T) {
	clock := standin.NewStepped(1000 * loop.Second)
	f := full(clock, "own", "other", "other", "own")
	hold := func(id string, cpus float64, tasks int) (on []string) {
		spec := &job.Spec{Team: "own", CPUs: cpus, MemoryGB: 1, AnyType: true}
		for _, c := range f.Hold(&gate.Need{ID: id, Spec: spec, Tasks: tasks}, tasks, 20*loop.Second) {
			on = append(on, c.Machine)
		}
		return on
	}
	for _, c := range []struct {
		id    string
		cpus  float64
		tasks int
		want  string
	}{
		{"job-1", 2, 1, "[n-1]"},
		{"job-2", 2, 1, "[n-1]"}, // beside the other
		{"job-3", 2, 1, "[n-2]"}, // half of n-1 is kept
		{"job-4", 8, 1, "[n-0]"}, // n-1 and n-2 have claims
		{"job-5", 2, 2, "[n-2 n-2]"},
		{"job-6", 2, 1, "[n-3]"},
	} {
		if got := fmt.Sprint(hold(c.id, c.cpus, c.tasks)); got != c.want {
			t.Errorf("room for %d tasks of %v CPUs of %s is held on %s, want %s", c.tasks, c.cpus, c.id, got, c.want)
		}
	}
}

// A right that holds for some tasks of a job is used up by them.
func TestRightIsUsedUp(t *testing.T) {
	for tasks, want := range []Right{{Share: true, Room: true}, {Share: true, Room: true}, {Share: true}, {}, {}} {
		r := Right{Share: true, Room: true, ShareTasks: 3, RoomTasks: 2}
		r.used(tasks)
		if r.Share != want.Share || r.Room != want.Room {
			t.Errorf("after %d tasks: share %v, room %v, want %v, %v", tasks, r.Share, r.Room, want.Share, want.Room)
		}
	}
}
