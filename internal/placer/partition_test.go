package placer

import (
	"fmt"
	"slices"
	"testing"

	"cleatpick/internal/agent"
	"cleatpick/internal/config"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/member"
	"cleatpick/internal/partition"
	"cleatpick/internal/standin"
	"cleatpick/internal/wire"
)

// onePartition is a membership in which all teams share one partition, as stored in the rig's state service.
type onePartition struct {
	g     *rig
	delay loop.Micros // until an assignment is known here
	known map[string]bool
}

const onlyID = partition.ID("p/0000")

func (m *onePartition) Layout() partition.Layout  { return partition.Layout{Count: 1} }
func (m *onePartition) Assigned(team string) bool { return m.known[team] }

func (m *onePartition) Assign(_ partition.ID, _ member.Owner, teams []string, done func(bool)) {
	for _, team := range teams {
		m.g.state.Put("c/t/"+team, map[string]any{"n": "", "e": 0, "p": string(onlyID)})
	}
	m.g.After(m.delay, func() {
		for _, team := range teams {
			m.known[team] = true
			m.g.p.Assigned(team)
		}
		done(true)
	})
}

// partitionRig is an owner of a partition that so many teams share, with machines.
func partitionRig(writeRPS float64, teams, machines int) *rig {
	var all []config.Team
	for i := range teams {
		all = append(all, config.Team{Name: fmt.Sprintf("team-%03d", i), CPUs: 8, CPUsMax: 64})
	}
	g := newRig(writeRPS)
	g.p.cfg.Cluster.Teams = all
	g.p.n.Membership = &onePartition{g: g, known: map[string]bool{}}
	g.own()
	for i := range machines {
		g.show(fmt.Sprintf("n-%03d", i), "m8", "x", false)
	}
	return g
}

// own makes this owner's claim of the partition a new one.
func (g *rig) own() {
	mark := g.state.Put(onlyID.ClaimKey(), map[string]any{"n": "a", "e": 1})
	g.p.Owned(onlyID, false, member.Owner{})
	g.p.Owned(onlyID, true, member.Owner{Node: "a", Epoch: 1, Mark: mark})
	g.Run(loop.Second)
}

func small(team string, tasks int) job.Spec {
	return job.Spec{Class: "k", Team: team, Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true, Estimate: loop.Second}
}

func names(starts []agent.Start) []string {
	var out []string
	for _, s := range starts {
		out = append(out, s.Task)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// The starts of many teams share writes: with ten changes a second, forty teams' are recorded in
// little more than what one team's take.
func TestTeamsShareWrites(t *testing.T) {
	g := partitionRig(10, 40, 60)
	for i := range 40 {
		g.job(i, small(fmt.Sprintf("team-%03d", i), 5))
	}
	before := g.writes
	g.Run(3 * loop.Second)
	if n := len(names(g.starts)); n != 200 {
		t.Fatalf("%d of 200 tasks were started", n)
	}
	if w := g.writes - before; w > 20 { // one for each team was needed when each had a log
		t.Errorf("%d changes for the starts of 40 teams", w)
	}
}

// An owner that lost its partition and does not know yet stores nothing and starts nothing.
func TestFormerOwnerRecordsNothing(t *testing.T) {
	g := partitionRig(100, 4, 10)
	g.job(1, small("team-000", 2))
	g.Run(loop.Second)
	if len(names(g.starts)) != 2 {
		t.Fatalf("started %v", names(g.starts))
	}
	g.state.Put(onlyID.ClaimKey(), map[string]any{"n": "b", "e": 2}) // another node's claim; nobody tells
	keys := g.state.Keys(onlyID.LogPrefix())
	g.job(2, small("team-001", 3))
	g.job(3, small("team-000", 3))
	g.Run(3 * loop.Second)
	if n := len(names(g.starts)); n != 2 {
		t.Errorf("a former owner started %v", names(g.starts))
	}
	if now := g.state.Keys(onlyID.LogPrefix()); !slices.Equal(now, keys) {
		t.Errorf("a former owner's log grew from %v to %v", keys, now)
	}
}

// One job that is withdrawn within a write of many teams keeps the others' starts for a moment only.
func TestWithdrawnWithinACommitOfMany(t *testing.T) {
	g := partitionRig(100, 30, 40)
	for i := range 30 {
		g.job(i, small(fmt.Sprintf("team-%03d", i), 2))
	}
	id := "job-000007"
	rec := job.Record{Phase: job.Cancelled, AcceptedAt: g.Now(), Tasks: 2}
	mark := g.state.Put(job.KeyPrefix+id, rec) // stored, and not yet known here
	g.After(loop.Second, func() { g.mirror.Apply(job.KeyPrefix+id, wire.Marshal(rec), mark, false) })
	g.Run(4 * loop.Second)
	started := names(g.starts)
	if len(started) != 58 {
		t.Errorf("%d of 58 tasks were started", len(started))
	}
	if slices.Contains(started, id+"/0") || slices.Contains(started, id+"/1") {
		t.Errorf("a withdrawn job was started")
	}
}

// A next owner finds all teams' tasks in the partition's log, however many segments it has, and
// begins none of them anew; also while it does not know yet that some of the teams are assigned.
func TestNextOwnerReadsAllTeams(t *testing.T) {
	for _, lags := range []bool{false, true} {
		g := partitionRig(100, 30, 80)
		for i := range 30 {
			g.job(i, small(fmt.Sprintf("team-%03d", i), 12))
		}
		g.Run(5 * loop.Second)
		if n := len(names(g.starts)); n != 360 {
			t.Fatalf("%d of 360 tasks were started", n)
		}
		if n := len(g.state.Keys(onlyID.LogPrefix())); n < 3 {
			t.Fatalf("only %d segments: nothing is tried", n)
		}
		m := g.p.n.Membership.(*onePartition)
		if lags {
			for _, team := range []string{"team-003", "team-020"} {
				m.known[team] = false
			}
			g.After(2*loop.Second, func() {
				for _, team := range []string{"team-003", "team-020"} {
					m.known[team] = true
					g.p.Assigned(team)
				}
			})
		}
		g.starts = nil
		g.own()
		g.Run(6 * loop.Second)
		used := g.p.InUse(onlyID)
		if began := names(g.starts); used != 360 || len(began) > 0 {
			t.Errorf("lagging %v: the next owner knows %d of 360 tasks, and began %d anew", lags, used, len(began))
		}
	}
}

// A team's own log is read before anything of it starts, and moves into the partition's. The
// owner after that finds all of it there.
func TestOwnLogIsTakenOver(t *testing.T) {
	const tasks = 200
	g := newRig(100, config.Team{Name: "team-000", CPUs: 8, CPUsMax: 2 * tasks})
	for i := range tasks / 8 {
		g.show(fmt.Sprintf("n-%03d", i), "m8", "x", false)
	}
	g.job(1, small("team-000", tasks))
	g.Run(3 * loop.Second)
	own := partition.ForTeam("team-000")
	if n, logs := len(names(g.starts)), len(g.state.Keys(own.LogPrefix())); n != tasks || logs < 2 {
		t.Fatalf("%d of %d tasks were started, with %d segments", n, tasks, logs)
	}
	g.state.Put(own.ClaimKey(), map[string]any{"n": "", "e": 0, "p": string(onlyID)})
	g.p.Owned(own, false, member.Owner{})
	g.p.n.Membership = &onePartition{g: g, known: map[string]bool{"team-000": true}}
	g.starts = nil
	for _, owner := range []string{"the first owner", "the next one"} {
		g.own()
		g.Run(12 * loop.Second)
		if began := names(g.starts); len(began) > 0 {
			t.Fatalf("%s begins %d tasks anew", owner, len(began))
		}
		if tm := g.p.teams["team-000"]; tm == nil || tm.inUse() != tasks {
			t.Fatalf("%s does not know the tasks of its team", owner)
		}
		if left := g.state.Keys(own.LogPrefix()); len(left) > 0 {
			t.Errorf("%s leaves segments of the team's own log: %v", owner, left)
		}
	}
}

// Values that become too large in the middle of a log lose none of its tasks.
func TestSegmentsBecomeSmaller(t *testing.T) {
	g := partitionRig(100, 20, 80)
	for i := range 20 {
		g.job(i, small(fmt.Sprintf("team-%03d", i), 15))
		if i == 10 {
			g.Run(2 * loop.Second)
			g.state.SetLimits(&standin.Limits{ValueBytes: 1024, TxnOps: 5})
		}
	}
	g.Run(8 * loop.Second)
	if n := len(names(g.starts)); n != 300 {
		t.Fatalf("%d of 300 tasks were started", n)
	}
	if g.state.Counts().Invalid == 0 {
		t.Fatal("no record was too large: nothing is tried")
	}
	g.starts = nil
	g.own()
	g.Run(4 * loop.Second)
	if used := g.p.InUse(onlyID); used != 300 {
		t.Errorf("the next owner knows %d of 300 tasks", used)
	}
}

// What a refused write was to move out of another segment stands where it stood, which is so
// kept until it is stored elsewhere, and what waited for its record waits again.
func TestRefusedWriteMovesNothing(t *testing.T) {
	g := partitionRig(100, 1, 4)
	id := g.job(1, small("team-000", 4))
	g.Run(2 * loop.Second)
	part := g.p.partitions[onlyID]
	tb := g.p.teams["team-000"].jobs[id]
	old := tb.task(0).seg
	if old == nil || old.live != 4 {
		t.Fatalf("the tasks' records stand in %+v", old)
	}
	part.log.openSegment()
	w := &write{seg: part.log.open, bytes: 3000}
	w.move(ref{tb, 1})
	w.move(ref{tb, 2})
	if old.live != 2 || w.seg.live != 2 {
		t.Fatalf("%d and %d live records before", old.live, w.seg.live)
	}
	g.p.shrink(part, w)
	if old.live != 4 || w.seg.live != 0 || len(w.seg.refs) != 0 || tb.task(1).seg != old || tb.task(2).seg != old {
		t.Errorf("%d records are live where they are stored, %d where they are not", old.live, w.seg.live)
	}
	if part.log.open != nil || g.p.valueLimit >= 3000 {
		t.Errorf("the next write goes into %+v, of at most %d bytes", part.log.open, g.p.valueLimit)
	}
}
