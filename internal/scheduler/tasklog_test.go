package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// logRig is an owner whose task log has a closed segment that is nearly empty, and an open one that is nearly full.
type logRig struct {
	*rig
	t     testing.TB
	jobs  int             // number of jobs accepted
	ended map[string]bool // jobs whose tasks are on no machine any more
}

const logTeam = "team-000"

// newLogRig returns a rig in which the closed segment holds the tasks of three services and the open one has room for
// few more entries before it is closed.
func newLogRig(t testing.TB) *logRig {
	t.Helper()
	g := &logRig{rig: partitionRig(100, 1, 4), t: t, ended: map[string]bool{}}
	for range 3 {
		g.runJob(1, true)
	}
	ending := g.runJob(40, false)
	part := g.scheduler.partitions[onlyID]
	part.log.closeSegment()
	for part.log.open == nil || part.log.open.size < g.scheduler.valueLimit-4*(entrySize+namesSize)-100 {
		g.runJob(3, false)
	}
	g.setPhase(ending, job.Cancelled)
	g.ended[ending] = true
	g.pass(12 * eventloop.Second)
	if n := len(g.state.Keys(onlyID.LogPrefix())); n != 2 {
		t.Fatalf("the log has %d segments, want 2", n)
	}
	return g
}

// acceptTiny accepts a job whose tasks fit on a machine by the hundred.
func (g *logRig) acceptTiny(tasks int, service bool) string {
	g.jobs++
	s := smallJob(logTeam, tasks)
	s.CPUs, s.MemoryGB, s.Service = 0.01, 0.01, service
	return g.acceptJob(g.jobs, s)
}

// runJob accepts a job and waits until its tasks run.
func (g *logRig) runJob(tasks int, service bool) string {
	g.t.Helper()
	id := g.acceptTiny(tasks, service)
	g.pass(2 * eventloop.Second)
	if n := len(g.startedTasks(id)); n != tasks {
		g.t.Fatalf("%d of %d tasks of %s were started", n, tasks, id)
	}
	return id
}

// startedTasks lists the tasks of a job that were started.
func (g *logRig) startedTasks(id string) []string {
	return slices.DeleteFunc(taskNames(g.starts), func(task string) bool {
		of, _, _ := workers.SplitTask(task)
		return of != id
	})
}

// pass lets time pass while the machines report what was started on them.
func (g *logRig) pass(d eventloop.Micros) {
	const interval = 500 * eventloop.Millisecond
	for end := g.Now() + d; g.Now() < end; {
		g.Advance(interval)
		on := map[string][]workers.Task{}
		for _, s := range g.starts {
			id, _, _ := workers.SplitTask(s.Task)
			x := workers.Task{Task: s.Task, Attempt: s.Attempt, State: wire.TaskRunning}
			if !g.ended[id] && !slices.Contains(on[s.Machine], x) {
				on[s.Machine] = append(on[s.Machine], x)
			}
		}
		for i := range 4 {
			name := fmt.Sprintf("n-%03d", i)
			g.deliverView(name, "m8", "x", false, on[name]...)
		}
	}
}

// setPhase stores another phase of a job, which becomes known here at once.
func (g *logRig) setPhase(id string, phase job.Phase) {
	rec := g.stored(id)
	rec.Phase = phase
	mark := g.state.Put(job.KeyPrefix+id, rec)
	g.mirror.Apply(job.KeyPrefix+id, wire.Marshal(rec), mark, false)
}

// checkNextOwner fails if the owner after this one starts any task again.
func (g *logRig) checkNextOwner() {
	g.t.Helper()
	running := taskNames(g.starts)
	g.starts = nil
	g.acquirePartition()
	g.Advance(3 * eventloop.Second)
	again := slices.DeleteFunc(taskNames(g.starts), func(task string) bool { return !slices.Contains(running, task) })
	if len(again) > 0 {
		g.t.Errorf("the next owner starts tasks that run already: %v", again)
	}
}

// cancelDuringWrite makes a job known as cancelled after the record of its start was composed and before the state
// service gets it. It returns whether that has happened.
func (g *logRig) cancelDuringWrite() (happened func() bool) {
	cancelled := g.acceptTiny(1, false)
	g.onLogWrite = func([]byte) *store.Response {
		if !g.ended[cancelled] {
			g.setPhase(cancelled, job.Cancelled)
			g.ended[cancelled] = true
		}
		return nil
	}
	return func() bool { return g.ended[cancelled] }
}

// Guards against tasks that run twice (review case 1): after a write that failed since a job was cancelled meanwhile,
// the records that it was to move were deleted.
func TestConflictLosesNoRecords(t *testing.T) {
	g := newLogRig(t)
	failed := g.cancelDuringWrite()
	g.pass(2 * eventloop.Second)
	if !failed() {
		t.Fatal("no write failed")
	}
	for g.scheduler.partitions[onlyID].log.next < 3 { // until the open segment is closed
		g.runJob(1, false)
	}
	g.checkNextOwner()
}
