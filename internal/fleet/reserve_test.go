package fleet

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	"cleatpick/internal/cordon"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/fake"
	"cleatpick/internal/job"
	"cleatpick/internal/predicate"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// newFullFleet returns a fleet of machines of 8 CPUs with nothing free; teams names the team whose task each
// machine runs.
func newFullFleet(clock *fake.Runner, teams ...string) *Fleet {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	client := store.NewClient(clock, nil, log, 100, 100, 1)
	jobs := map[string]*job.Job{}
	f := New(clock, log, Dependencies{Label: "a", StaleAfter: 10 * eventloop.Second,
		Type: func(string) (wire.MachineType, bool) {
			return wire.MachineType{Name: "m8", CPUs: 8, MemoryGB: 32}, true
		},
		FreeCapacity: func(*workers.View, wire.MachineType) (workers.Capacity, bool) {
			return workers.Capacity{MemoryGB: 32}, true
		},
		Jobs: func(v *workers.View) (of []*job.Job) {
			for _, x := range v.Tasks {
				id, _, _ := workers.SplitTask(x.Task)
				of = append(of, jobs[id])
			}
			return of
		},
		EachUnlisted: func(*workers.View, func(*job.Spec)) {},
		Cordons:      cordon.NewRegistry(clock, client, store.NewMirror(client, nil, "c/"), log, 0)})
	for i, team := range teams {
		id := fmt.Sprintf("job-%06d", 100+i)
		jobs[id] = &job.Job{ID: id, Spec: &job.Spec{Team: team, CPUs: 8}}
		f.UpdateView(&workers.View{Name: fmt.Sprint("n-", i), Type: "m8", Zone: "x", TokenConfirmed: true, Tasks: []workers.Task{{Task: workers.TaskName(id, 0), State: wire.TaskRunning}}}, clock.Now(), false)
	}
	f.Refresh()
	return f
}

// Small reservations share machines up to half of each, on machines that run other teams' work; a large task
// gets a machine without reservations.
func TestReserveSharesMachinesAmongSmallTasks(t *testing.T) {
	clock := fake.NewRunner(1000 * eventloop.Second)
	f := newFullFleet(clock, "own", "other", "other", "own")
	hold := func(id string, cpus float64, tasks int) (on []string) {
		spec := &job.Spec{Team: "own", CPUs: cpus, MemoryGB: 1, AnyType: true}
		for _, c := range f.Reserve(&predicate.Need{ID: id, Spec: spec, Tasks: tasks}, tasks, 20*eventloop.Second) {
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
		{"job-2", 2, 1, "[n-1]"}, // shares the machine with job-1
		{"job-3", 2, 1, "[n-2]"}, // half of n-1 is reserved
		{"job-4", 8, 1, "[n-0]"}, // n-1 and n-2 have reservations
		{"job-5", 2, 2, "[n-2 n-2]"},
		{"job-6", 2, 1, "[n-3]"},
	} {
		if got := fmt.Sprint(hold(c.id, c.cpus, c.tasks)); got != c.want {
			t.Errorf("capacity for %d tasks of %v CPUs of %s is reserved on %s, want %s", c.tasks, c.cpus, c.id, got, c.want)
		}
	}
}

// Rights that cover only some tasks of a job end once tasks were preempted for that many of them.
func TestPreemptionRightsAreConsumed(t *testing.T) {
	for tasks, want := range []PreemptionRights{{InTeamShare: true, TeamBelowGuarantee: true}, {InTeamShare: true, TeamBelowGuarantee: true}, {InTeamShare: true}, {}, {}} {
		r := PreemptionRights{InTeamShare: true, TeamBelowGuarantee: true, InTeamShareTasks: 3, TeamBelowGuaranteeTasks: 2}
		r.consume(tasks)
		if r.InTeamShare != want.InTeamShare || r.TeamBelowGuarantee != want.TeamBelowGuarantee {
			t.Errorf("after %d tasks: InTeamShare %v, TeamBelowGuarantee %v, want %v, %v", tasks, r.InTeamShare, r.TeamBelowGuarantee, want.InTeamShare, want.TeamBelowGuarantee)
		}
	}
}
