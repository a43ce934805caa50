package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/fake"
	"cleatpick/internal/job"
	"cleatpick/internal/membership"
	"cleatpick/internal/partition"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// onePartition is a membership in which all teams share one partition, stored in the rig's state service.
type onePartition struct {
	g     *rig
	delay eventloop.Micros // until an assignment is known here
	known map[string]bool
}

const onlyID = partition.ID("p/0000")

func (m *onePartition) Layout() partition.Layout  { return partition.Layout{Count: 1} }
func (m *onePartition) Assigned(team string) bool { return m.known[team] }

func (m *onePartition) Assign(_ partition.ID, _ membership.Owner, teams []string, done func(bool)) {
	for _, team := range teams {
		m.g.state.Put("c/t/"+team, map[string]any{"n": "", "e": 0, "p": string(onlyID)})
	}
	m.g.After(m.delay, func() {
		for _, team := range teams {
			m.known[team] = true
			m.g.scheduler.TeamAssigned(team)
		}
		done(true)
	})
}

// partitionRig returns an owner of one partition that the given number of teams share, with machines.
func partitionRig(writeRPS float64, teams, machines int) *rig {
	var all []config.Team
	for i := range teams {
		all = append(all, config.Team{Name: fmt.Sprintf("team-%03d", i), CPUs: 8, CPUsMax: 64})
	}
	g := newRig(writeRPS)
	g.scheduler.cfg.Cluster.Teams = all
	g.scheduler.deps.Membership = &onePartition{g: g, known: map[string]bool{}}
	g.acquirePartition()
	for i := range machines {
		g.deliverView(fmt.Sprintf("n-%03d", i), "m8", "x", false)
	}
	return g
}

// acquirePartition makes this controller the owner of the partition under a new claim.
func (g *rig) acquirePartition() {
	mark := g.state.Put(onlyID.ClaimKey(), map[string]any{"n": "a", "e": 1})
	g.scheduler.OwnershipChanged(onlyID, false, membership.Owner{})
	g.scheduler.OwnershipChanged(onlyID, true, membership.Owner{Node: "a", Epoch: 1, Revision: mark})
	g.Advance(eventloop.Second)
}

func smallJob(team string, tasks int) job.Spec {
	return job.Spec{Class: "k", Team: team, Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true, Estimate: eventloop.Second}
}

func taskNames(starts []workers.Start) []string {
	var out []string
	for _, s := range starts {
		out = append(out, s.Task)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// The starts of many teams share writes: with ten changes per second, recording the starts of 40 teams takes little
// more than for one team.
func TestTeamsShareWrites(t *testing.T) {
	g := partitionRig(10, 40, 60)
	for i := range 40 {
		g.acceptJob(i, smallJob(fmt.Sprintf("team-%03d", i), 5))
	}
	before := g.writes
	g.Advance(3 * eventloop.Second)
	if n := len(taskNames(g.starts)); n != 200 {
		t.Fatalf("%d tasks were started, want 200", n)
	}
	if w := g.writes - before; w > 20 { // with a log per team, each team needed a write of its own
		t.Errorf("recording the starts of 40 teams took %d changes, want at most 20", w)
	}
}

// A controller that lost its partition without knowing it yet records nothing and starts nothing.
func TestFormerOwnerRecordsNothing(t *testing.T) {
	g := partitionRig(100, 4, 10)
	g.acceptJob(1, smallJob("team-000", 2))
	g.Advance(eventloop.Second)
	if len(taskNames(g.starts)) != 2 {
		t.Fatalf("started %v, want two tasks", taskNames(g.starts))
	}
	g.state.Put(onlyID.ClaimKey(), map[string]any{"n": "b", "e": 2}) // another controller's claim, of which this one receives no message
	keys := g.state.Keys(onlyID.LogPrefix())
	g.acceptJob(2, smallJob("team-001", 3))
	g.acceptJob(3, smallJob("team-000", 3))
	g.Advance(3 * eventloop.Second)
	if n := len(taskNames(g.starts)); n != 2 {
		t.Errorf("a former owner started %v", taskNames(g.starts))
	}
	if now := g.state.Keys(onlyID.LogPrefix()); !slices.Equal(now, keys) {
		t.Errorf("a former owner's log grew from %v to %v", keys, now)
	}
}

// A job that is cancelled while many teams' starts are written together delays the others' starts only briefly.
func TestCancelledJobInAWriteOfManyTeams(t *testing.T) {
	g := partitionRig(100, 30, 40)
	for i := range 30 {
		g.acceptJob(i, smallJob(fmt.Sprintf("team-%03d", i), 2))
	}
	id := "job-000007"
	rec := job.Record{Phase: job.Cancelled, AcceptedAt: g.Now(), Tasks: 2}
	mark := g.state.Put(job.KeyPrefix+id, rec) // stored, and not known here yet
	g.After(eventloop.Second, func() { g.mirror.Apply(job.KeyPrefix+id, wire.Marshal(rec), mark, false) })
	g.Advance(4 * eventloop.Second)
	started := taskNames(g.starts)
	if len(started) != 58 {
		t.Errorf("%d tasks were started, want 58", len(started))
	}
	if slices.Contains(started, id+"/0") || slices.Contains(started, id+"/1") {
		t.Errorf("a cancelled job was started")
	}
}

// The next owner finds all teams' tasks in the partition's log, over any number of segments, and starts none of them
// again. That holds also while it does not know yet that some of the teams are assigned to the partition.
func TestNextOwnerReadsAllTeams(t *testing.T) {
	for _, lags := range []bool{false, true} {
		g := partitionRig(100, 30, 80)
		for i := range 30 {
			g.acceptJob(i, smallJob(fmt.Sprintf("team-%03d", i), 12))
		}
		g.Advance(5 * eventloop.Second)
		if n := len(taskNames(g.starts)); n != 360 {
			t.Fatalf("%d tasks were started, want 360", n)
		}
		if n := len(g.state.Keys(onlyID.LogPrefix())); n < 3 {
			t.Fatalf("got %d segments, want at least 3 for the test to be meaningful", n)
		}
		m := g.scheduler.deps.Membership.(*onePartition)
		if lags {
			for _, team := range []string{"team-003", "team-020"} {
				m.known[team] = false
			}
			g.After(2*eventloop.Second, func() {
				for _, team := range []string{"team-003", "team-020"} {
					m.known[team] = true
					g.scheduler.TeamAssigned(team)
				}
			})
		}
		g.starts = nil
		g.acquirePartition()
		g.Advance(6 * eventloop.Second)
		used := g.scheduler.TasksInUse(onlyID)
		if began := taskNames(g.starts); used != 360 || len(began) > 0 {
			t.Errorf("lagging %v: the next owner knows %d of 360 tasks and started %d again", lags, used, len(began))
		}
	}
}

// A team's own log is read before any of its tasks starts, and its entries move into the partition's log. The owner
// after that finds all of them there.
func TestOwnLogIsTakenOver(t *testing.T) {
	const tasks = 200
	g := newRig(100, config.Team{Name: "team-000", CPUs: 8, CPUsMax: 2 * tasks})
	for i := range tasks / 8 {
		g.deliverView(fmt.Sprintf("n-%03d", i), "m8", "x", false)
	}
	g.acceptJob(1, smallJob("team-000", tasks))
	g.Advance(3 * eventloop.Second)
	own := partition.ForTeam("team-000")
	if n, logs := len(taskNames(g.starts)), len(g.state.Keys(own.LogPrefix())); n != tasks || logs < 2 {
		t.Fatalf("%d of %d tasks were started, with %d segments, want all and at least 2 segments", n, tasks, logs)
	}
	g.state.Put(own.ClaimKey(), map[string]any{"n": "", "e": 0, "p": string(onlyID)})
	g.scheduler.OwnershipChanged(own, false, membership.Owner{})
	g.scheduler.deps.Membership = &onePartition{g: g, known: map[string]bool{"team-000": true}}
	g.starts = nil
	for _, owner := range []string{"the first owner", "the next one"} {
		g.acquirePartition()
		g.Advance(12 * eventloop.Second)
		if began := taskNames(g.starts); len(began) > 0 {
			t.Fatalf("%s starts %d tasks again", owner, len(began))
		}
		if tm := g.scheduler.teams["team-000"]; tm == nil || tm.inUse() != tasks {
			t.Fatalf("%s does not know all tasks of its team", owner)
		}
		if left := g.state.Keys(own.LogPrefix()); len(left) > 0 {
			t.Errorf("%s leaves segments of the team's own log: %v", owner, left)
		}
	}
}

// No task is lost if the state service lowers its limit on value size while a log is being written.
func TestSegmentsBecomeSmaller(t *testing.T) {
	g := partitionRig(100, 20, 80)
	for i := range 20 {
		g.acceptJob(i, smallJob(fmt.Sprintf("team-%03d", i), 15))
		if i == 10 {
			g.Advance(2 * eventloop.Second)
			g.state.SetLimits(&fake.Limits{ValueBytes: 1024, TxnOps: 5})
		}
	}
	g.Advance(8 * eventloop.Second)
	if n := len(taskNames(g.starts)); n != 300 {
		t.Fatalf("%d tasks were started, want 300", n)
	}
	if g.state.Counts().Invalid == 0 {
		t.Fatal("no record was refused as too large, so the test is not meaningful")
	}
	g.starts = nil
	g.acquirePartition()
	g.Advance(4 * eventloop.Second)
	if used := g.scheduler.TasksInUse(onlyID); used != 300 {
		t.Errorf("the next owner knows %d of 300 tasks", used)
	}
}

// Entries that a write is to move count as recorded in the segment in which they are stored, until the write is stored
// and also after it was refused, so that this segment is kept; starts that waited for the write wait again.
func TestRefusedWriteMovesNothing(t *testing.T) {
	g := partitionRig(100, 1, 4)
	id := g.acceptJob(1, smallJob("team-000", 4))
	g.Advance(2 * eventloop.Second)
	part := g.scheduler.partitions[onlyID]
	tb := g.scheduler.teams["team-000"].jobs[id]
	old := tb.task(0).segment
	if old == nil || old.live != 4 {
		t.Fatalf("the tasks' records are in segment %+v, want 4 live ones", old)
	}
	part.log.openSegment()
	w := newWrite(part.log.open, 1)
	w.add(taskRef{tb, 1})
	w.add(taskRef{tb, 2})
	g.scheduler.buildRecord(w)
	w.bytes = 3000
	check := func(when string) {
		t.Helper()
		if old.live != 4 || w.segment.live != 0 || len(w.segment.refs) != 0 || tb.task(1).segment != old || tb.task(2).segment != old {
			t.Errorf("%s %d records are live in the stored segment and %d in the other one, want 4 and 0", when, old.live, w.segment.live)
		}
	}
	if len(w.refs) != 2 || w.moved != 2 {
		t.Fatalf("the write records %d tasks and moves %d, want 2 and 2", len(w.refs), w.moved)
	}
	check("before the refusal")
	g.scheduler.shrinkSegments(part, w)
	check("after the refusal")
	if part.log.open != nil || g.scheduler.valueLimit >= 3000 {
		t.Errorf("the next write goes into segment %+v with at most %d bytes, want a new segment below 3000 bytes", part.log.open, g.scheduler.valueLimit)
	}
}
