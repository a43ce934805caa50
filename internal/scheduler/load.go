package scheduler

import (
	"strconv"
	"strings"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/partition"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// loadRetryDelay is the pause before a log that could not be read completely is read again.
const loadRetryDelay = 300 * eventloop.Millisecond

// storedSegment is a segment as read from the state service.
type storedSegment struct {
	key      string
	revision uint64
	rec      *segmentRecord // nil: it cannot be decoded
	// team owns the log that the segment was read from; empty: the partition's own log.
	team string
}

// loadLog reads what earlier owners recorded. This owner's claim is already stored, and every record is conditional
// on its writer's claim, so no earlier owner can add to the log after this read.
func (sched *Scheduler) loadLog(part *ownedPartition) {
	if !sched.ownsPartition(part) {
		return
	}
	sched.client.Scan(store.Placements, part.log.prefix, func(items []wire.KeyValue, _ uint64, ok bool) {
		if !sched.ownsPartition(part) {
			return
		}
		retry := func() { sched.runner.After(loadRetryDelay, func() { sched.loadLog(part) }) }
		if !ok {
			retry()
			return
		}
		segments := sched.decode(items, part.log.prefix, "")
		names := sched.partitionTeams(part.id)
		if !sched.jobsKnown(segments) || !sched.coversTeams(segments, part.id, names) {
			retry()
			return
		}
		var teams []*team
		for _, name := range names {
			if tm := sched.addTeam(part, name); tm != nil {
				teams = append(teams, tm)
			}
		}
		if _, byTeam := part.id.Team(); byTeam {
			sched.finishLoad(part, teams, segments)
			return
		}
		sched.loadTeamLogs(part, teams, segments)
	})
}

// loadTeamLogs reads what was recorded of teams before their assignment to the numbered partition, then restores them
// from that and from the segments read before. The teams are assigned, so nothing can be added to their own logs
// after this read.
func (sched *Scheduler) loadTeamLogs(part *ownedPartition, teams []*team, segments []storedSegment) {
	if !sched.ownsPartition(part) {
		return
	}
	retry := func() { sched.runner.After(loadRetryDelay, func() { sched.loadTeamLogs(part, teams, segments) }) }
	sched.client.Exists(store.Placements, partition.TeamLogPrefix, func(exists, ok bool) {
		switch {
		case !sched.ownsPartition(part):
		case !ok:
			retry()
		case !exists:
			sched.finishLoad(part, teams, segments)
		default:
			sched.loadNextTeamLog(part, teams, teams, segments)
		}
	})
}

// loadNextTeamLog reads the own logs of the remaining teams, one after the other.
func (sched *Scheduler) loadNextTeamLog(part *ownedPartition, teams, left []*team, segments []storedSegment) {
	if !sched.ownsPartition(part) {
		return
	}
	if len(left) == 0 {
		sched.finishLoad(part, teams, segments)
		for _, name := range sched.deps.Membership.Layout().Teams(part.id, sched.cfg.TeamNames()) {
			sched.scheduleAssignment(name) // some have logs of their own
		}
		return
	}
	retry := func() {
		sched.runner.After(loadRetryDelay, func() { sched.loadNextTeamLog(part, teams, left, segments) })
	}
	name := left[0].cfg.Name
	prefix := partition.ForTeam(name).LogPrefix()
	sched.client.Scan(store.Placements, prefix, func(items []wire.KeyValue, _ uint64, ok bool) {
		if !sched.ownsPartition(part) {
			return
		}
		read := sched.decode(items, prefix, name)
		if !ok || !sched.jobsKnown(read) {
			retry()
			return
		}
		sched.loadNextTeamLog(part, teams, left[1:], append(segments, read...))
	})
}

// decode decodes segment records. One that cannot be decoded is logged with its key and kept with a nil record.
func (sched *Scheduler) decode(items []wire.KeyValue, prefix, team string) []storedSegment {
	segments := make([]storedSegment, 0, len(items))
	for _, it := range items {
		rec := new(segmentRecord)
		if _, err := strconv.Atoi(strings.TrimPrefix(it.Key, prefix)); err != nil || wire.Unmarshal(it.Value, rec) != nil {
			sched.log.Error("corrupt task log record ignored; jobs accepted by its teams are not started", "key", it.Key)
			rec = nil
		}
		segments = append(segments, storedSegment{it.Key, it.Revision, rec, team})
	}
	return segments
}

// jobsKnown reports whether all jobs that the records name are known here. A job is stored before its tasks are, so an
// unknown one only means that the local copy is behind.
func (sched *Scheduler) jobsKnown(segments []storedSegment) bool {
	known := true
	for _, s := range segments {
		if s.rec == nil {
			continue
		}
		for _, e := range s.rec.Jobs {
			if sched.registry.Get(e.ID) == nil {
				known = false
				sched.registry.Refresh(e.ID)
			}
		}
	}
	return known
}

// coversTeams reports whether the teams include all that a numbered partition's records name. A team with records was
// assigned before, so a missing one only means that the local copy is behind.
func (sched *Scheduler) coversTeams(segments []storedSegment, id partition.ID, names []string) bool {
	if _, byTeam := id.Team(); byTeam {
		return true
	}
	in := map[string]bool{}
	for _, name := range names {
		in[name] = true
	}
	for _, s := range segments {
		if s.rec == nil {
			continue
		}
		for _, e := range s.rec.Jobs {
			j := sched.registry.Get(e.ID)
			if j == nil || j.Spec == nil || in[j.Spec.Team] {
				continue
			}
			if _, ok := sched.cfg.FindTeam(j.Spec.Team); ok {
				return false
			}
		}
	}
	return true
}

// finishLoad puts teams whose records have been read into service.
func (sched *Scheduler) finishLoad(part *ownedPartition, teams []*team, segments []storedSegment) {
	sched.restore(part, segments)
	part.loaded, part.loadedAt = true, sched.runner.Now()
	jobs, tasks := 0, 0
	for _, tm := range teams {
		tm.loaded, tm.loadedAt = true, sched.runner.Wall()
		for _, t := range tm.inOrder() {
			sched.JobChanged(t.job) // stops what is over, in a deterministic order
		}
	}
	sched.registry.Each(sched.JobChanged)
	for _, tm := range teams {
		if part.unreadable {
			sched.markDamaged(tm)
		}
		sched.restoreAccounting(tm)
		jobs += len(tm.jobs)
		tasks += tm.inUse()
	}
	sched.log.Info("partition loaded", "partition", part.id, "claim", part.claim.Revision, "epoch", part.claim.Epoch, "teams", len(teams), "jobs", jobs, "tasks", tasks, "segments", len(segments))
	for _, tm := range teams {
		for _, t := range tm.inOrder() {
			sched.completeIfDone(t)
		}
	}
	if len(segments) > 0 { // without records no task of these teams is on any machine
		sched.workers.EachView(func(v *workers.View) { sched.ViewChanged(v, &workers.Changes{All: true}) })
	}
	sched.RequestPass()
}

// markDamaged marks the unfinished jobs of a team as damaged. They are not started, since it is unknown which of their
// tasks are on machines.
func (sched *Scheduler) markDamaged(tm *team) {
	sched.registry.Each(func(j *job.Job) {
		if j.Spec != nil && j.Spec.Team == tm.cfg.Name && !j.Final() {
			sched.tableOf(tm, j).damaged = true
		}
	})
}

// newestEntry is the entry with the newest state of a task, and where it was read.
type newestEntry struct {
	taskEntry
	segment *segment
	machine machineEntry
}

// supersedes reports whether b is at least as new as the entry e. Of two records of the same start, the one that expires
// later counts.
func (b *newestEntry) supersedes(e *taskEntry) bool {
	switch {
	case e.Attempt != b.Attempt:
		return e.Attempt < b.Attempt
	case e.State != b.State:
		return e.State < b.State
	default:
		return e.Expiry <= b.Expiry
	}
}

// restore builds the tables of a partition's teams from their records.
func (sched *Scheduler) restore(part *ownedPartition, segments []storedSegment) {
	newest := map[taskRef]newestEntry{}
	l := &part.log
	for _, s := range segments {
		if no, err := strconv.Atoi(strings.TrimPrefix(s.key, l.prefix)); err == nil {
			l.next = max(l.next, no+1)
		}
		if s.rec == nil {
			sched.handleUnreadable(part, s)
			continue
		}
		seg := &segment{key: s.key, revision: s.revision}
		l.closed[seg.key] = seg
		for _, je := range s.rec.Jobs {
			sched.restoreJob(part, s, seg, je, newest)
		}
	}
	for _, r := range sortedRefs(newest) {
		sched.restoreTask(r, newest[r])
	}
	// Tasks are not recorded in the order of their indexes, so the gaps between recorded tasks are waiting tasks,
	// too. They are counted here and not with the tasks above the highest index; otherwise a job would start tasks
	// that it does not have.
	tables := map[*jobTable]bool{}
	for r := range newest {
		r.table.firstUnplaced = max(r.table.firstUnplaced, r.index+1)
		tables[r.table] = true
	}
	for t := range tables {
		for i := range t.firstUnplaced {
			if _, ok := newest[taskRef{t, i}]; !ok {
				t.requeued = append(t.requeued, i)
			}
		}
	}
}

// handleUnreadable handles a record that cannot be decoded. It is unknown which tasks of its teams are on which
// machine, so jobs that were accepted before are not started.
func (sched *Scheduler) handleUnreadable(part *ownedPartition, s storedSegment) {
	if s.team != "" {
		sched.markDamaged(part.teams[s.team])
		return
	}
	part.unreadable = true
	for _, tm := range eventloop.Sorted(part.teams) {
		sched.markDamaged(tm)
	}
}

// restoreJob collects the newest entries of a job from a record.
func (sched *Scheduler) restoreJob(part *ownedPartition, s storedSegment, seg *segment, je jobEntry, newest map[taskRef]newestEntry) {
	j := sched.registry.Get(je.ID)
	if j.Phase == job.Done || j.Spec == nil {
		return
	}
	tm := part.teams[j.Spec.Team]
	if tm == nil {
		if _, named := sched.cfg.FindTeam(j.Spec.Team); !named {
			seg.live++ // its team is not in these settings but may be in other ones: its record must be kept
		}
		return
	}
	t := sched.tableOf(tm, j)
	invalid := 0
	for _, e := range je.Tasks {
		if e.Index < 0 || e.Index >= j.Tasks || e.Machine < 0 || e.Machine > len(s.rec.Machines) || (e.State == storedPlaced && e.Machine == 0) {
			invalid++
			continue
		}
		if e.Attempt == 0 {
			continue // never started: it waited for a later write
		}
		r := taskRef{t, e.Index}
		seg.refs = append(seg.refs, r)
		if b, ok := newest[r]; ok && b.supersedes(&e) {
			continue
		}
		b := newestEntry{taskEntry: e, segment: seg}
		if e.Machine > 0 {
			b.machine = s.rec.Machines[e.Machine-1]
		}
		newest[r] = b
	}
	if invalid > 0 {
		sched.log.Error("corrupt task log entries ignored; the job is not started", "key", s.key, "job", je.ID, "entries", invalid)
		t.damaged = true
	}
}

// restoreTask sets a task to the state of its newest entry.
func (sched *Scheduler) restoreTask(r taskRef, b newestEntry) {
	x := r.table.task(r.index)
	x.attempt, x.segment = b.Attempt, b.segment
	b.segment.live++
	// The records say that the job was served but not when; jobs that were never served come before it. Without
	// this, each new owner would treat the oldest job of a class as never served and give it everything that is
	// served out of order.
	r.table.servedEarlyAt = sched.runner.Now()
	switch b.State {
	case storedPlaced:
		sched.zoneByMachine[b.machine.Name] = b.machine.Zone
		x.machine, x.session, x.expiry = b.machine.Name, b.Session, b.Expiry
		// Derived from the record. Left at 0, a failure seen now would count as one after an extremely long run, and
		// no task would count as having survived that long.
		x.chosenAt = sched.runner.Now() - max(sched.runner.Wall()+eventloop.Seconds(sched.cfg.Operator.StartLifetimeS)-x.expiry, 0)
		sched.setTask(r.table, r.index, Placed)
	case storedDone:
		sched.setTask(r.table, r.index, Completed)
	default:
		r.table.requeued = append(r.table.requeued, r.index)
	}
}
