package scheduler

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"cleatpick/internal/cordon"
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
	batch []string        // jobs that are no services
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
	id := g.acceptJob(g.jobs, s)
	if !service {
		g.batch = append(g.batch, id)
	}
	return id
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

// storedAttempts returns the newest attempt of each task in the stored segments.
func (g *logRig) storedAttempts() map[string]uint64 {
	newest := map[string]uint64{}
	for _, key := range g.state.Keys(onlyID.LogPrefix()) {
		raw, _ := g.state.Value(key)
		var rec segmentRecord
		if err := wire.Unmarshal(raw, &rec); err != nil {
			g.t.Fatalf("segment %s: %v", key, err)
		}
		for _, j := range rec.Jobs {
			for _, x := range j.Tasks {
				name := workers.TaskName(j.ID, x.Index)
				newest[name] = max(newest[name], x.Attempt)
			}
		}
	}
	return newest
}

// checkRecords fails if a task that was started and may run is in no stored segment.
func (g *logRig) checkRecords() {
	g.t.Helper()
	stored := g.storedAttempts()
	for _, s := range g.starts {
		if id, _, _ := workers.SplitTask(s.Task); !g.ended[id] && stored[s.Task] < s.Attempt {
			g.t.Fatalf("attempt %d of %s runs and is in no stored segment", s.Attempt, s.Task)
		}
	}
}

// pass lets time pass while the machines report what was started on them.
func (g *logRig) pass(d eventloop.Micros) {
	g.t.Helper()
	const interval = 100 * eventloop.Millisecond
	for end := g.Now() + d; g.Now() < end; {
		g.Advance(interval)
		g.checkRecords()
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

// endBatch ends all jobs but the services, so that every segment becomes nearly empty, and runs others until they have
// closed two more segments.
func (g *logRig) endBatch() {
	g.t.Helper()
	for _, id := range g.batch {
		if !g.ended[id] {
			g.setPhase(id, job.Cancelled)
			g.ended[id] = true
		}
	}
	g.pass(12 * eventloop.Second)
	for end := g.scheduler.partitions[onlyID].log.next + 2; g.scheduler.partitions[onlyID].log.next < end; {
		g.runJob(20, false)
	}
}

// Guards against tasks that run twice: whatever a write that moves records is answered, and whenever it is executed,
// the records of running tasks stay in the log.
func TestNoAnswerLosesRecords(t *testing.T) {
	unanswered := &store.Response{Err: errors.New("no answer")}
	tooLarge := &store.Response{Status: 400, Body: wire.Marshal(wire.TxnResult{Error: "value too large"})}
	executeLate := func(delay eventloop.Micros) func(*logRig, int, []byte) *store.Response {
		return func(g *logRig, attempt int, body []byte) *store.Response {
			switch attempt {
			case 1:
				late := slices.Clone(body)
				g.After(delay, func() { g.state.Do("POST", "/multi", late, 0) })
				return unanswered
			case 2:
				return tooLarge
			}
			return nil
		}
	}
	for _, c := range []struct {
		name string
		// answer handles an attempt of the first write, counted from 1, or of a later one.
		answer func(g *logRig, attempt int, body []byte) *store.Response
	}{
		{"the cordons have changed", func(g *logRig, attempt int, _ []byte) *store.Response {
			if attempt == 1 {
				g.state.Put(cordon.Key, map[string]any{"format": 1})
			}
			return nil
		}},
		{"refused", func(_ *logRig, attempt int, _ []byte) *store.Response {
			if attempt <= 3 {
				return &store.Response{Status: 503}
			}
			return nil
		}},
		{"too large", func(_ *logRig, attempt int, _ []byte) *store.Response {
			if attempt == 1 {
				return tooLarge
			}
			return nil
		}},
		{"executed without an answer", func(g *logRig, attempt int, body []byte) *store.Response {
			if attempt == 1 {
				g.state.Do("POST", "/multi", body, 0)
				return unanswered
			}
			return nil
		}},
		{"executed twice without an answer", func(g *logRig, attempt int, body []byte) *store.Response {
			if attempt <= 2 {
				g.state.Do("POST", "/multi", body, 0)
				return unanswered
			}
			return nil
		}},
		{"not executed and without an answer", func(_ *logRig, attempt int, _ []byte) *store.Response {
			if attempt <= 2 {
				return unanswered
			}
			return nil
		}},
		{"too large, and an earlier attempt is executed before the next write", executeLate(250 * eventloop.Millisecond)},
		{"too large, and an earlier attempt is executed after the next write", executeLate(3 * eventloop.Second)},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newLogRig(t)
			attempts := 0
			g.onLogWrite = func(body []byte) *store.Response {
				attempts++
				return c.answer(g, attempts, body)
			}
			g.runJob(1, false)
			if attempts < 2 {
				t.Fatal("no write was attempted again, so the test is not meaningful")
			}
			g.pass(4 * eventloop.Second)
			g.endBatch()
			g.checkNextOwner()
		})
	}
}

// Guards against tasks that run twice: if a start is recorded twice, since a write that was refused is executed late
// nevertheless, the next owner has to wait until the later of the two expires.
func TestLaterExpiryOfAnAttemptHolds(t *testing.T) {
	g := newLogRig(t)
	attempts := 0
	g.onLogWrite = func(body []byte) *store.Response {
		if attempts++; attempts > 2 {
			return nil
		}
		if attempts == 2 {
			return &store.Response{Status: 400, Body: wire.Marshal(wire.TxnResult{Error: "value too large"})}
		}
		late := slices.Clone(body)
		g.After(eventloop.Second, func() { g.state.Do("POST", "/multi", late, 0) })
		return &store.Response{Err: errors.New("no answer")}
	}
	id := g.runJob(1, false)
	sent := g.starts[len(g.starts)-1]
	g.acquirePartition()
	x := g.scheduler.teams[logTeam].jobs[id].task(0)
	if x.state != Placed || x.attempt != sent.Attempt {
		t.Fatalf("the next owner has the task in state %d and attempt %d, want placed and attempt %d", x.state, x.attempt, sent.Attempt)
	}
	if x.expiry < sent.Expiry {
		t.Errorf("the next owner takes the start for expired %v us before it expires", sent.Expiry-x.expiry)
	}
}
