package placer

import (
	"cleatpick/internal/delivery"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/store"
)

// recordStart puts a chosen task in line for its record.
func (p *Placer) recordStart(t *table, i int) {
	p.placedFirst(t.team.part)
	l := &t.team.part.log
	l.starts = append(l.starts, ref{t, i})
	p.commitSoon(gather)
}

// placedFirst tells how long a partition waited for its first placement under this owner, where its
// records showed that there was work before.
func (p *Placer) placedFirst(part *ownedPartition) {
	if part.ownedAt == 0 {
		return
	}
	now := p.r.Now()
	if len(part.log.closed) > 0 {
		p.n.Meter.Takeover(now - part.ownedAt)
		p.log.Info("first placement under a new owner", "partition", part.id, "claim", part.claim.Mark, "since_owned_us", now-part.ownedAt, "since_loaded_us", now-part.loadedAt)
	}
	part.ownedAt = 0
}

// recordOutcome puts an ended task in line. Its machine keeps the result, so this may wait.
func (p *Placer) recordOutcome(t *table, i int) {
	l := &t.team.part.log
	if len(l.outcomes) == 0 {
		l.since = p.r.Now()
	}
	l.outcomes = append(l.outcomes, ref{t, i})
	p.commitSoon(outcomeSoon)
}

func (p *Placer) commitSoon(d loop.Micros) {
	due := p.r.Now() + d
	if p.commitAt != 0 && p.commitAt <= due {
		return
	}
	p.commitAt = due
	p.r.After(d, func() {
		if p.commitAt != due {
			return
		}
		p.commitAt = 0
		again := loop.Micros(0)
		for _, part := range loop.Sorted(p.partitions) {
			if wait := p.commit(part); wait > 0 && (again == 0 || wait < again) {
				again = wait
			}
		}
		if again > 0 {
			p.commitSoon(again)
		}
	})
}

// writableSoon is after how long the state service is looked at again that takes nothing now.
const writableSoon = 15 * loop.Millisecond

// commit stores what is due of a partition's teams, as far as the state service takes it
// now. It tells after how long to try again, 0 when there is nothing to do.
func (p *Placer) commit(part *ownedPartition) loop.Micros {
	l := &part.log
	if l.busy || !part.loaded {
		return 0 // its end asks again
	}
	n := p.c.AvailableChanges(store.Placements)
	if n < 1 && len(l.starts)+len(l.outcomes) > 0 {
		return writableSoon // before the lines are gone through, which may be long by then
	}
	l.starts = p.due(l.starts, Recording)
	l.starts = p.unbarred(l.starts)
	l.outcomes = p.due(l.outcomes, Ended)
	if len(l.starts)+len(l.outcomes) == 0 {
		if l.inherits() && 2*n > p.c.MaxAvailableChanges() {
			p.store(part, p.compose(part, n, 0))
		}
		return 0 // the sweep asks again for what is inherited
	}
	ripe := 0 // they stand in the order in which they were chosen
	for ripe < len(l.starts) && p.r.Now()-l.starts[ripe].t.task(l.starts[ripe].i).chosen >= gather {
		ripe++
	}
	if ripe == 0 {
		age := p.r.Now() - l.since
		if len(l.outcomes) == 0 || (!(2*n > p.c.MaxAvailableChanges() && age >= outcomeSoon) && age < outcomeLate) {
			if len(l.starts) > 0 {
				return 8 * loop.Millisecond
			}
			return 200 * loop.Millisecond
		}
	}
	p.store(part, p.compose(part, n, ripe))
	return 0
}

// due drops what changed its state while it waited in line.
func (p *Placer) due(line []ref, s TaskState) []ref {
	kept := line[:0]
	for _, r := range line {
		if p.current(r.t) && !r.t.closing && r.t.task(r.i).state == s {
			kept = append(kept, r)
		}
	}
	clear(line[len(kept):])
	return kept
}

// unbarred drops the choices that a hold or a cordon has overtaken.
func (p *Placer) unbarred(line []ref) []ref {
	kept := line[:0]
	for _, r := range line {
		if p.barred(r.t, r.t.task(r.i).machine) == "" {
			kept = append(kept, r)
			continue
		}
		p.setTask(r.t, r.i, Waiting)
	}
	clear(line[len(kept):])
	return kept
}

// current tells whether the table is still this node's business.
func (p *Placer) current(t *table) bool {
	tm := t.team
	return p.teams[tm.cfg.Name] == tm && tm.jobs[t.j.ID] == t && !t.j.Final()
}

// compose puts what waits into the open segment and takes its record.
func (p *Placer) compose(part *ownedPartition, writable, ripe int) *write {
	l := &part.log
	limit := p.valueLimit
	if l.open == nil || l.open.size+4*(entrySize+namesSize) > limit {
		l.openSegment()
	}
	w := &write{seg: l.open}
	jobs := map[*table]bool{}
	most := p.mostJobs() / 2
	put := func(line []ref, starts bool) []ref {
		for k, r := range line {
			if (starts && k >= ripe) || w.seg.size+entrySize+2*namesSize > limit || (starts && !jobs[r.t] && len(jobs) >= most) {
				return append(line[:0], line[k:]...)
			}
			if starts {
				jobs[r.t] = true
			}
			w.move(r)
		}
		return line[:0]
	}
	l.starts = put(l.starts, true)
	l.outcomes = put(l.outcomes, false)
	// What is left of nearly empty segments, and of teams' own logs, moves on, so that they can go.
	for _, s := range loop.Sorted(l.closed) {
		if len(w.dead) >= min(writable-1, p.c.MaxChanges()-1) {
			break
		}
		fits := w.seg.size+s.live*(entrySize+namesSize) < limit
		if s.live > 0 && (4*s.live < len(s.refs) && fits || l.inherited(s)) {
			w.moveFrom(s, limit)
		}
		if s.live == 0 {
			w.dead = append(w.dead, s)
		}
	}
	p.record(w)
	return w
}

// mostJobs is how many jobs' versions one transaction can compare, beside those of the
// claim, the segment and the cordons.
func (p *Placer) mostJobs() int { return p.c.MaxConditions() - 3 }

// move makes the written segment the place of a task's newest record.
func (w *write) move(r ref) {
	x, s := r.t.task(r.i), w.seg
	if x.seg == s {
		return
	}
	w.moves = append(w.moves, move{r, x.seg})
	if x.seg != nil {
		x.seg.live--
	} else {
		s.size += namesSize // perhaps the first mention of its job
	}
	x.seg = s
	s.live++
	s.refs = append(s.refs, r)
	s.size += entrySize + namesSize
}

// moveFrom moves what is live in a segment, as far as there is room for it.
func (w *write) moveFrom(s *segment, limit int) {
	for _, r := range s.refs {
		if w.seg.size+entrySize+namesSize >= limit {
			return
		}
		if r.t.task(r.i).seg == s {
			w.move(r)
		}
	}
}

// record takes the record of a write's segment. Its starts may be carried out for a while from now.
func (p *Placer) record(w *write) {
	p.nonce++
	expiry := p.r.Wall() + loop.Seconds(p.cfg.Operator.StartLifeS)
	w.rec = segmentRecord{Nonce: p.nonce, Machines: []machineEntry{}, Jobs: []jobEntry{}}
	machines, jobs := map[string]int{}, map[*table]int{}
	kept := w.seg.refs[:0]
	size := 0
	starts := map[*table]bool{}
	for _, r := range w.seg.refs {
		x := r.t.task(r.i)
		if x.seg != w.seg {
			// Recorded later elsewhere, or of a job that is over and off all machines.
			// While a withdrawn job's task may still run, it stays in the log: a next
			// owner that did not know of it went beyond the team's limit.
			continue
		}
		kept = append(kept, r)
		size += entrySize
		e := taskEntry{Index: r.i, Attempt: x.attempt}
		if x.state == Recording && !starts[r.t] && len(w.jobs) < p.mostJobs() {
			starts[r.t] = true
			w.jobs = append(w.jobs, r.t)
		}
		switch {
		case x.state == Recording && !starts[r.t]:
			// Its job's version cannot be compared in this write: it waits for the
			// next. The attempt before this one is proven off.
			e.Attempt--
		case x.state == Recording || x.state == Placed:
			if x.state == Recording {
				x.expiry = expiry
				p.expiries.Record(delivery.Attempt{Task: r.t.name(r.i), Number: x.attempt}, expiry)
			}
			no, ok := machines[x.machine]
			if !ok {
				w.rec.Machines = append(w.rec.Machines, machineEntry{Name: x.machine, Zone: p.zoneOf(x.machine)})
				no = len(w.rec.Machines)
				machines[x.machine] = no
				size += len(x.machine) + 12
			}
			e.State, e.Machine, e.Session, e.Expiry = storedPlaced, no, x.session, x.expiry
		case x.state == Ended || x.state == Completed:
			e.State = storedDone
		}
		k, ok := jobs[r.t]
		if !ok {
			k = len(w.rec.Jobs)
			jobs[r.t] = k
			w.rec.Jobs = append(w.rec.Jobs, jobEntry{ID: r.t.j.ID})
			size += len(r.t.j.ID) + 8
		}
		w.rec.Jobs[k].Tasks = append(w.rec.Jobs[k].Tasks, e)
		w.refs = append(w.refs, refAttempt{r, e.Attempt, e.State})
	}
	clear(w.seg.refs[len(kept):])
	w.seg.refs, w.seg.size, w.bytes = kept, size, size
	// Taken now and not at each try: a hold or a cordon that is stored meanwhile must
	// make the record fail, however late it is carried out.
	w.cond = nil
	for _, t := range w.jobs {
		w.cond = append(w.cond, job.RevisionCond(t.j))
	}
	if len(w.jobs) > 0 {
		w.cond = append(w.cond, p.cordons.Cond())
	}
}
