package placer

import (
	"fmt"
	"strings"

	"cleatpick/internal/cordon"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/member"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// The state service takes far fewer changes a second than tasks start and end. So a
// team's records form a log: one write stores whatever happened to any of its tasks
// since the write before. The log is a row of segments. The open one is written anew
// with what is added to it until it is full; a segment whose tasks are all recorded
// later, or belong to jobs that are over, is deleted along with a write.
//
// An entry with a higher attempt says more than one with a lower, and one that tells
// the end more than one of the same attempt that does not: so the order in which
// segments are read does not matter.

const (
	outcomeSoon = 500 * loop.Millisecond
	outcomeLate = 3 * loop.Second
	// gather is how long a start waits for its write at least; meanwhile its host can say
	// that the room was taken by another owner.
	gather = 35 * loop.Millisecond
)

const tableKeys = "x/"

func segmentKey(team string, no int) string { return fmt.Sprintf("%s%s/%08d", tableKeys, team, no) }

// segment is a part of a team's log.
type segment struct {
	no   int
	mark uint64
	refs []ref // what was put into it, some of which is recorded later elsewhere
	live int   // tasks whose newest record is here
	size int   // a bound on its bytes
}

// journal is a team's log as this owner keeps it.
type journal struct {
	next     int // the number of the next segment
	open     *segment
	closed   map[int]*segment
	starts   []ref // chosen, and waiting for their record
	outcomes []ref // ended, and to be recorded
	since    loop.Micros
	busy     bool // a write is under way or its outcome uncertain
}

// machineEntry names a machine and its zone, for tasks whose machine is not heard any more.
type machineEntry struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Zone string
}

// taskEntry is a task in a stored segment. Machine counts from 1 in the record's list.
type taskEntry struct {
	_       struct{} `cbor:",toarray"`
	Index   int
	State   int
	Attempt uint64
	Machine int
	Session uint64
	Expiry  int64
}

const (
	storedOff    = 0
	storedPlaced = 1
	storedDone   = 2
)

type jobEntry struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	Tasks []taskEntry
}

type segmentRecord struct {
	Nonce    uint64         `cbor:"w"`
	Machines []machineEntry `cbor:"m"`
	Jobs     []jobEntry     `cbor:"j"`
}

// Bounds on what an entry, and the first mention of its job and machine, take.
const entrySize, namesSize = 28, 24

// write is one transaction on its way.
type write struct {
	seg  *segment
	rec  segmentRecord
	jobs []*table    // whose starts it records
	cond []wire.Cond // that these are as known when the record was taken
	dead []*segment
	refs []refAttempt // what it records
}

// refAttempt is a task at the attempt that was recorded.
type refAttempt struct {
	ref
	attempt uint64
	state   int
}

// recordStart puts a chosen task in line for its record.
func (p *Placer) recordStart(t *table, i int) {
	l := &t.team.log
	l.starts = append(l.starts, ref{t, i})
	p.commitSoon(gather)
}

// recordOutcome puts an ended task in line. Its machine keeps the result, so this may wait.
func (p *Placer) recordOutcome(t *table, i int) {
	l := &t.team.log
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
		for _, tm := range loop.Sorted(p.teams) {
			if wait := p.commit(tm); wait > 0 && (again == 0 || wait < again) {
				again = wait
			}
		}
		if again > 0 {
			p.commitSoon(again)
		}
	})
}

// commit stores what is due of a team, as far as the state service takes it now. It
// tells after how long to try again, 0 when there is nothing to do.
func (p *Placer) commit(tm *team) loop.Micros {
	l := &tm.log
	if l.busy || !tm.loaded {
		return 0 // its end asks again
	}
	l.starts = p.due(l.starts, Recording)
	l.starts = p.unbarred(l.starts)
	l.outcomes = p.due(l.outcomes, Ended)
	if len(l.starts)+len(l.outcomes) == 0 {
		return 0
	}
	n := p.c.Writable()
	ripe := 0 // they stand in the order in which they were chosen
	for ripe < len(l.starts) && p.r.Now()-l.starts[ripe].t.task(l.starts[ripe].i).chosen >= gather {
		ripe++
	}
	if ripe == 0 {
		age := p.r.Now() - l.since
		if len(l.outcomes) == 0 || (!(2*n > p.c.Burst() && age >= outcomeSoon) && age < outcomeLate) {
			if len(l.starts) > 0 {
				return 8 * loop.Millisecond
			}
			return 200 * loop.Millisecond
		}
	}
	if n < 1 {
		return 15 * loop.Millisecond
	}
	p.store(tm, p.compose(tm, n, ripe))
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

// compose puts what waits into the open segment and takes its record.
func (p *Placer) compose(tm *team, writable, ripe int) *write {
	l := &tm.log
	limit := int(p.cfg.Cluster.State.ValueKB * 1024 * 0.8)
	if l.open == nil || l.open.size+4*(entrySize+namesSize) > limit {
		p.openSegment(tm)
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
			p.move(r, w.seg)
		}
		return line[:0]
	}
	l.starts = put(l.starts, true)
	l.outcomes = put(l.outcomes, false)
	// What is left of nearly empty segments moves on, so that they can go.
	for _, s := range loop.Sorted(l.closed) {
		if len(w.dead) >= min(writable-1, p.cfg.Cluster.State.TxnOps-1) {
			break
		}
		if s.live > 0 && 4*s.live < len(s.refs) && w.seg.size+s.live*(entrySize+namesSize) < limit {
			for _, r := range s.refs {
				if r.t.task(r.i).seg == s {
					p.move(r, w.seg)
				}
			}
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
func (p *Placer) mostJobs() int { return 4*p.cfg.Cluster.State.TxnOps - 3 }

func (p *Placer) openSegment(tm *team) {
	l := &tm.log
	if l.open != nil {
		l.closed[l.open.no] = l.open
	}
	l.open = &segment{no: l.next}
	l.next++
}

// move makes a segment the place of a task's newest record.
func (p *Placer) move(r ref, s *segment) {
	x := r.t.task(r.i)
	if x.seg == s {
		return
	}
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
	w.seg.refs, w.seg.size = kept, size
	// Taken now and not at each try: a hold or a cordon that is stored meanwhile must
	// make the record fail, however late it is carried out.
	w.cond = nil
	for _, t := range w.jobs {
		w.cond = append(w.cond, job.Cond(t.j))
	}
	if len(w.jobs) > 0 {
		w.cond = append(w.cond, p.cordons.Cond())
	}
}

// current tells whether the table is still this node's business.
func (p *Placer) current(t *table) bool {
	tm := t.team
	return p.teams[tm.cfg.Name] == tm && tm.jobs[t.j.ID] == t && !t.j.Final()
}

// store carries a write out on the conditions that this node still owns the team, that
// the jobs whose starts it records are as known here, and that nothing else was written.
func (p *Placer) store(tm *team, w *write) {
	if p.teams[tm.cfg.Name] != tm {
		return
	}
	tm.log.busy = true
	key := segmentKey(tm.cfg.Name, w.seg.no)
	txn := wire.Txn{If: []wire.Cond{member.ClaimCond(tm.cfg.Name, tm.claim), {Key: key, Mark: w.seg.mark}},
		Then: []wire.Change{{Put: key, Value: w.rec}}}
	txn.If = append(txn.If, w.cond...)
	for _, s := range w.dead {
		txn.Then = append(txn.Then, wire.Change{Delete: segmentKey(tm.cfg.Name, s.no)})
	}
	sent := p.r.Now()
	p.c.Txn(store.Placements, txn, func(r store.Result) {
		if p.teams[tm.cfg.Name] != tm {
			return
		}
		again := func(d loop.Micros) { p.r.After(d, func() { p.store(tm, w) }) }
		p.log.Debug("records", "team", tm.cfg.Name, "segment", w.seg.no, "entries", len(w.refs), "jobs", len(w.jobs), "outcome", int(r.Outcome), "took_us", p.r.Now()-sent,
			"starts_wait", len(tm.log.starts), "outcomes_wait", len(tm.log.outcomes), "segments", len(tm.log.closed)+1)
		switch r.Outcome {
		case store.Applied:
			w.seg.mark = r.Tally
			p.stored(tm, w)
		case store.Conflict:
			for _, k := range r.Failed {
				if k == key {
					p.reread(tm, w)
					return
				}
			}
			// Versions only rise, so no earlier try of the same transaction can be
			// carried out any more; and none was, since the segment is unchanged.
			known := false
			for _, k := range r.Failed {
				if id, ok := strings.CutPrefix(k, job.Keys); ok {
					known = true
					p.book.Refresh(id)
				}
				if k == cordon.Key {
					known = true
					p.cordons.Refresh()
				}
			}
			if !known {
				again(250 * loop.Millisecond) // the claim: this node is about to learn that it lost the team
				return
			}
			p.release(tm, w, 60*loop.Millisecond)
		case store.Invalid:
			p.log.Error("team record refused", "key", key, "entries", len(w.refs))
			again(5 * loop.Second)
		default:
			// It may have been stored, or may be later: only this same record
			// is tried until the answer is certain.
			again(150 * loop.Millisecond)
		}
	})
}

// release puts starts in line again whose record is certainly not stored.
func (p *Placer) release(tm *team, w *write, after loop.Micros) {
	for _, r := range w.refs {
		switch x := r.t.task(r.i); {
		case x.attempt != r.attempt || !p.current(r.t):
		case x.state == Recording && p.barred(r.t, x.machine) != "":
			x.expiry = 0
			p.setTask(r.t, r.i, Waiting)
		case x.state == Recording:
			x.expiry = 0
			tm.log.starts = append(tm.log.starts, r.ref)
		case x.state == Ended:
			tm.log.outcomes = append(tm.log.outcomes, r.ref)
		}
	}
	p.r.After(after, func() {
		tm.log.busy = false
		p.commitSoon(0)
	})
}

// reread finds out whether an unanswered write of this record was carried out after all.
func (p *Placer) reread(tm *team, w *write) {
	p.c.Get(store.Placements, segmentKey(tm.cfg.Name, w.seg.no), func(it wire.Item, found, ok bool) {
		if p.teams[tm.cfg.Name] != tm {
			return
		}
		var have segmentRecord
		switch {
		case !ok || (found && wire.Unmarshal(it.Value, &have) != nil):
			p.r.After(200*loop.Millisecond, func() { p.reread(tm, w) })
		case found && have.Nonce == w.rec.Nonce:
			w.seg.mark = it.Mark
			p.stored(tm, w)
		default:
			w.seg.mark = it.Mark // 0 when absent
			p.store(tm, w)
		}
	})
}

// stored takes in that a write is in the store: now its starts may go out.
func (p *Placer) stored(tm *team, w *write) {
	l := &tm.log
	l.busy = false
	l.since = p.r.Now()
	for _, s := range w.dead {
		delete(l.closed, s.no)
	}
	for _, r := range w.refs {
		if tm.jobs[r.t.j.ID] != r.t {
			continue
		}
		x := r.t.task(r.i)
		switch {
		case r.state == storedPlaced && x.state == Recording && x.attempt == r.attempt:
			x.ours = true
			p.setTask(r.t, r.i, Placed)
			if r.t.j.Final() {
				p.setTask(r.t, r.i, Waiting)
			} else {
				p.sendStart(r.t, r.i)
			}
		case r.state == storedDone && x.state == Ended:
			p.setTask(r.t, r.i, Completed)
			p.maybeDone(r.t)
		}
	}
	p.commitSoon(0)
}
