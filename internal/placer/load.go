package placer

import (
	"strconv"
	"strings"

	"cleatpick/internal/agent"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/partition"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// loadAgain is the pause before a log is read again that could not be read whole.
const loadAgain = 300 * loop.Millisecond

// storedSegment is a segment as it was read.
type storedSegment struct {
	key     string
	version uint64
	rec     *segmentRecord // nil: it cannot be read
	// team owns the log that it was read from; empty: that is the partition's.
	team string
}

// loadLog reads what earlier owners recorded. The claim was stored before, and every
// record is conditioned on its claim, so nothing can be added behind this read.
func (p *Placer) loadLog(part *ownedPartition) {
	if !p.owns(part) {
		return
	}
	p.c.Scan(store.Placements, part.log.prefix, func(items []wire.Item, _ uint64, ok bool) {
		if !p.owns(part) {
			return
		}
		again := func() { p.r.After(loadAgain, func() { p.loadLog(part) }) }
		if !ok {
			again()
			return
		}
		segments := p.decode(items, part.log.prefix, "")
		names := p.members(part.id)
		if !p.readable(segments) || !p.covers(segments, part.id, names) {
			again()
			return
		}
		var teams []*team
		for _, name := range names {
			if tm := p.enterTeam(part, name); tm != nil {
				teams = append(teams, tm)
			}
		}
		if _, byTeam := part.id.Team(); byTeam {
			p.restored(part, teams, segments)
			return
		}
		p.loadTeamLogs(part, teams, segments)
	})
}

// loadTeamLogs reads what was recorded of teams before they were assigned to their numbered
// partition, then restores them from that and from what was read already. They are
// assigned, so nothing can be added to these logs behind this read.
func (p *Placer) loadTeamLogs(part *ownedPartition, teams []*team, segments []storedSegment) {
	if !p.owns(part) {
		return
	}
	again := func() { p.r.After(loadAgain, func() { p.loadTeamLogs(part, teams, segments) }) }
	p.c.Exists(store.Placements, partition.TeamLogPrefix, func(exists, ok bool) {
		switch {
		case !p.owns(part):
		case !ok:
			again()
		case !exists:
			p.restored(part, teams, segments)
		default:
			p.loadNextTeamLog(part, teams, teams, segments)
		}
	})
}

// loadNextTeamLog reads the logs of the teams that are left, one after the other.
func (p *Placer) loadNextTeamLog(part *ownedPartition, teams, left []*team, segments []storedSegment) {
	if !p.owns(part) {
		return
	}
	if len(left) == 0 {
		p.restored(part, teams, segments)
		for _, name := range p.n.Membership.Layout().Teams(part.id, p.cfg.TeamNames()) {
			p.assignLater(name) // some have logs of their own
		}
		return
	}
	again := func() { p.r.After(loadAgain, func() { p.loadNextTeamLog(part, teams, left, segments) }) }
	name := left[0].cfg.Name
	prefix := partition.ForTeam(name).LogPrefix()
	p.c.Scan(store.Placements, prefix, func(items []wire.Item, _ uint64, ok bool) {
		if !p.owns(part) {
			return
		}
		read := p.decode(items, prefix, name)
		if !ok || !p.readable(read) {
			again()
			return
		}
		p.loadNextTeamLog(part, teams, left[1:], append(segments, read...))
	})
}

// decode reads the records of segments. What cannot be read is set aside with its key.
func (p *Placer) decode(items []wire.Item, prefix, team string) []storedSegment {
	segments := make([]storedSegment, 0, len(items))
	for _, it := range items {
		rec := new(segmentRecord)
		if _, err := strconv.Atoi(strings.TrimPrefix(it.Key, prefix)); err != nil || wire.Unmarshal(it.Value, rec) != nil {
			p.log.Error("corrupt record set aside", "key", it.Key)
			rec = nil
		}
		segments = append(segments, storedSegment{it.Key, it.Mark, rec, team})
	}
	return segments
}

// readable tells whether all jobs that the records name are known here. The records are
// there, so the jobs are: only the copy here lags.
func (p *Placer) readable(segments []storedSegment) bool {
	known := true
	for _, s := range segments {
		if s.rec == nil {
			continue
		}
		for _, e := range s.rec.Jobs {
			if p.registry.Get(e.ID) == nil {
				known = false
				p.registry.Refresh(e.ID)
			}
		}
	}
	return known
}

// covers tells whether the teams take in all that a numbered partition's records name. A
// team with records was assigned before, so where it is missing the copy here lags.
func (p *Placer) covers(segments []storedSegment, id partition.ID, names []string) bool {
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
			j := p.registry.Get(e.ID)
			if j == nil || j.Spec == nil || in[j.Spec.Team] {
				continue
			}
			if _, ok := p.cfg.TeamNamed(j.Spec.Team); ok {
				return false
			}
		}
	}
	return true
}

// restored takes teams into service whose records have been read.
func (p *Placer) restored(part *ownedPartition, teams []*team, segments []storedSegment) {
	p.restore(part, segments)
	part.loaded, part.loadedAt = true, p.r.Now()
	jobs, tasks := 0, 0
	for _, tm := range teams {
		tm.loaded, tm.loadedAt = true, p.r.Wall()
		for _, t := range tm.inOrder() {
			p.Job(t.j) // what is over is stopped, in an order that is always the same
		}
	}
	p.registry.Each(p.Job)
	for _, tm := range teams {
		if part.unreadable {
			p.damage(tm)
		}
		p.restoreTurns(tm)
		jobs += len(tm.jobs)
		tasks += tm.inUse()
	}
	p.log.Info("partition loaded", "partition", part.id, "claim", part.claim.Revision, "epoch", part.claim.Epoch, "teams", len(teams), "jobs", jobs, "tasks", tasks, "segments", len(segments))
	for _, tm := range teams {
		for _, t := range tm.inOrder() {
			p.maybeDone(t)
		}
	}
	if len(segments) > 0 { // without records nothing of these teams is on any machine
		p.agent.Views(func(v *agent.View) { p.View(v, &agent.Changes{All: true}) })
	}
	p.Kick()
}

// damage keeps back what a team has accepted: nobody can tell what of it is on which machine.
func (p *Placer) damage(tm *team) {
	p.registry.Each(func(j *job.Job) {
		if j.Spec != nil && j.Spec.Team == tm.cfg.Name && !j.Final() {
			p.tableOf(tm, j).damaged = true
		}
	})
}

// newestEntry is the entry that says most of a task, and where it was read.
type newestEntry struct {
	taskEntry
	seg     *segment
	machine machineEntry
}

// outdoes tells whether an entry says more than this one.
func (b *newestEntry) outdoes(e *taskEntry) bool {
	return e.Attempt < b.Attempt || (e.Attempt == b.Attempt && e.State <= b.State)
}

// restore builds the tables of a partition's teams from their records.
func (p *Placer) restore(part *ownedPartition, segments []storedSegment) {
	newest := map[ref]newestEntry{}
	l := &part.log
	for _, s := range segments {
		if no, err := strconv.Atoi(strings.TrimPrefix(s.key, l.prefix)); err == nil {
			l.next = max(l.next, no+1)
		}
		if s.rec == nil {
			p.setAside(part, s)
			continue
		}
		seg := &segment{key: s.key, mark: s.version}
		l.closed[seg.key] = seg
		for _, je := range s.rec.Jobs {
			p.restoreJob(part, s, seg, je, newest)
		}
	}
	for _, r := range sortedRefs(newest) {
		p.restoreTask(r, newest[r])
	}
	// Tasks are not recorded in their order: what lies between recorded ones waits too.
	// Counted with those above them, they once let a job start tasks that it does not have.
	tables := map[*table]bool{}
	for r := range newest {
		r.t.next = max(r.t.next, r.i+1)
		tables[r.t] = true
	}
	for t := range tables {
		for i := range t.next {
			if _, ok := newest[ref{t, i}]; !ok {
				t.back = append(t.back, i)
			}
		}
	}
}

// setAside takes in that a record cannot be read. Nobody can tell what of its teams is on
// which machine: what was accepted before is not started on the account of such a log.
func (p *Placer) setAside(part *ownedPartition, s storedSegment) {
	if s.team != "" {
		p.damage(part.teams[s.team])
		return
	}
	part.unreadable = true
	for _, tm := range loop.Sorted(part.teams) {
		p.damage(tm)
	}
}

// restoreJob gathers the newest entries of a job from a record.
func (p *Placer) restoreJob(part *ownedPartition, s storedSegment, seg *segment, je jobEntry, newest map[ref]newestEntry) {
	j := p.registry.Get(je.ID)
	if j.Phase == job.Done || j.Spec == nil {
		return
	}
	tm := part.teams[j.Spec.Team]
	if tm == nil {
		if _, named := p.cfg.TeamNamed(j.Spec.Team); !named {
			seg.live++ // of a team that only other settings name: its record must stay
		}
		return
	}
	t := p.tableOf(tm, j)
	bad := 0
	for _, e := range je.Tasks {
		if e.Index < 0 || e.Index >= j.Tasks || e.Machine < 0 || e.Machine > len(s.rec.Machines) || (e.State == storedPlaced && e.Machine == 0) {
			bad++
			continue
		}
		if e.Attempt == 0 {
			continue // never started: it waited for a later write
		}
		r := ref{t, e.Index}
		seg.refs = append(seg.refs, r)
		if b, ok := newest[r]; ok && b.outdoes(&e) {
			continue
		}
		b := newestEntry{taskEntry: e, seg: seg}
		if e.Machine > 0 {
			b.machine = s.rec.Machines[e.Machine-1]
		}
		newest[r] = b
	}
	if bad > 0 {
		p.log.Error("corrupt entries set aside", "key", s.key, "job", je.ID, "entries", bad)
		t.damaged = true
	}
}

// restoreTask makes a task what its newest entry says.
func (p *Placer) restoreTask(r ref, b newestEntry) {
	x := r.t.task(r.i)
	x.attempt, x.seg = b.Attempt, b.seg
	b.seg.live++
	// When it got something is not recorded, but that it did: what has got nothing yet comes before
	// it. Begun anew by each owner, the oldest of a class got all that went before its turn.
	r.t.pieceAt = p.r.Now()
	switch b.State {
	case storedPlaced:
		p.zoneMemo[b.machine.Name] = b.machine.Zone
		x.machine, x.session, x.expiry = b.machine.Name, b.Session, b.Expiry
		// By its record: taken for chosen at the beginning of time, a failure that is seen
		// now would have taken as long as that, and no task would ever outlive it.
		x.chosen = p.r.Now() - max(p.r.Wall()+loop.Seconds(p.cfg.Operator.StartLifeS)-x.expiry, 0)
		p.setTask(r.t, r.i, Placed)
	case storedDone:
		p.setTask(r.t, r.i, Completed)
	default:
		r.t.back = append(r.t.back, r.i)
	}
}
