package placer

import (
	"strconv"
	"strings"

	"cleatpick/internal/agent"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// load reads what earlier owners recorded. The claim was stored before, and every
// record is conditioned on its claim, so nothing can be added behind this read.
func (p *Placer) load(tm *team) {
	if p.teams[tm.cfg.Name] != tm {
		return
	}
	prefix := tableKeys + tm.cfg.Name + "/"
	p.c.Scan(store.Placements, prefix, func(items []wire.Item, _ uint64, ok bool) {
		if p.teams[tm.cfg.Name] != tm {
			return
		}
		again := func() { p.r.After(300*loop.Millisecond, func() { p.load(tm) }) }
		if !ok {
			again()
			return
		}
		recs := make([]*segmentRecord, len(items))
		missing := false
		for k, it := range items {
			rec := new(segmentRecord)
			if _, err := strconv.Atoi(strings.TrimPrefix(it.Key, prefix)); err != nil || wire.Unmarshal(it.Value, rec) != nil {
				p.log.Error("corrupt record set aside", "key", it.Key)
				continue
			}
			recs[k] = rec
			for _, e := range rec.Jobs {
				if p.book.Get(e.ID) == nil {
					// Its record is there, so the job is: only the copy here lags.
					missing = true
					p.book.Refresh(e.ID)
				}
			}
		}
		if missing {
			again()
			return
		}
		p.restore(tm, prefix, items, recs)
		tm.loaded = true
		for _, t := range tm.inOrder() {
			p.Job(t.j) // what is over is stopped, in an order that is always the same
		}
		p.book.Each(p.Job)
		n := 0
		for _, t := range tm.jobs {
			n += t.inUse
		}
		p.log.Info("team loaded", "team", tm.cfg.Name, "jobs", len(tm.jobs), "tasks", n, "segments", len(items))
		for _, t := range tm.inOrder() {
			p.maybeDone(t)
		}
		p.agent.Views(func(v *agent.View) { p.View(v, &agent.Changes{All: true}) })
		p.Kick()
	})
}

// restore builds the team's tables from its log.
func (p *Placer) restore(tm *team, prefix string, items []wire.Item, recs []*segmentRecord) {
	type best struct {
		e   taskEntry
		seg *segment
		m   machineEntry
	}
	newest := map[ref]best{}
	l := &tm.log
	for k, it := range items {
		no, err := strconv.Atoi(strings.TrimPrefix(it.Key, prefix))
		if err == nil {
			l.next = max(l.next, no+1)
		}
		if recs[k] == nil {
			// Nobody can tell what of the team is on which machine: what was accepted
			// before is not started on the account of a log that cannot be read.
			p.book.Each(func(j *job.Job) {
				if j.Spec != nil && j.Spec.Team == tm.cfg.Name && !j.Final() {
					p.tableOf(tm, j).damaged = true
				}
			})
			continue
		}
		seg := &segment{no: no, mark: it.Mark}
		l.closed[no] = seg
		for _, je := range recs[k].Jobs {
			j := p.book.Get(je.ID)
			if j.Phase == job.Done || j.Spec == nil || j.Spec.Team != tm.cfg.Name {
				continue
			}
			t := p.tableOf(tm, j)
			bad := 0
			for _, e := range je.Tasks {
				if e.Index < 0 || e.Index >= j.Tasks || e.Machine < 0 || e.Machine > len(recs[k].Machines) || (e.State == storedPlaced && e.Machine == 0) {
					bad++
					continue
				}
				if e.Attempt == 0 {
					continue // never started: it waited for a later write
				}
				r := ref{t, e.Index}
				seg.refs = append(seg.refs, r)
				b, ok := newest[r]
				if ok && (e.Attempt < b.e.Attempt || (e.Attempt == b.e.Attempt && e.State <= b.e.State)) {
					continue
				}
				b = best{e: e, seg: seg}
				if e.Machine > 0 {
					b.m = recs[k].Machines[e.Machine-1]
				}
				newest[r] = b
			}
			if bad > 0 {
				p.log.Error("corrupt entries set aside", "key", it.Key, "job", je.ID, "entries", bad)
				t.damaged = true
			}
		}
	}
	for _, r := range sortedRefs(newest) {
		b := newest[r]
		x := r.t.task(r.i)
		x.attempt, x.seg = b.e.Attempt, b.seg
		b.seg.live++
		// When it got something is not recorded, but that it did: what has got nothing yet comes before
		// it. Begun anew by each owner, the oldest of a class got all that went before its turn.
		r.t.pieceAt = p.r.Now()
		switch b.e.State {
		case storedPlaced:
			p.zoneMemo[b.m.Name] = b.m.Zone
			x.machine, x.session, x.expiry = b.m.Name, b.e.Session, b.e.Expiry
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
	// Tasks are not recorded in their order: what lies between recorded ones waits too.
	// Counted with those above them, they once let a job start tasks that it does not have.
	for r := range newest {
		r.t.next = max(r.t.next, r.i+1)
	}
	for _, t := range tm.jobs {
		for i := range t.next {
			if _, ok := newest[ref{t, i}]; !ok {
				t.back = append(t.back, i)
			}
		}
	}
}
