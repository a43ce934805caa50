package placer

import (
	"slices"
	"sort"

	"cleatpick/internal/agent"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
)

// tick repeats what may have been lost and tells others what they need.
func (p *Placer) tick() {
	now, wall := p.r.Now(), p.r.Wall()
	p.turn.Tick(now)
	p.resend(now, wall)
	if now >= p.sweepAt {
		p.sweepAt = now + sweepEvery
		p.sweep()
		p.tidyLogs()
		p.expiries.Prune(wall)
	}
	p.evict(now, wall)
	var tell []peer.Progress
	var use []peer.Usage
	for _, tm := range loop.Sorted(p.teams) {
		if !tm.loaded {
			continue
		}
		p.settle(tm)
		use = append(use, peer.Usage{Team: tm.cfg.Name, CPUs: tm.cpus, GPUs: tm.gpus})
		misses := false
		for _, t := range tm.inOrder() {
			misses = misses || t.missing != 0
			d, run := int64(t.completed), int64(t.running)
			news := d != t.toldDone || run != t.toldRun
			if p.n.Tells && !t.j.Final() && p.newCauses(t, now-p.staleAfter(), wall) {
				news = true
			}
			if news {
				t.toldDone, t.toldRun = d, run
				news := peer.Progress{Job: t.j.ID, Done: d, Running: run}
				if p.n.Tells {
					news.Causes, news.HasCauses, news.At = t.causes, true, wall
				}
				tell = append(tell, news)
			}
		}
		p.followGuarantee(tm, misses, now)
	}
	if len(tell) > 0 {
		p.n.Tell(tell)
	}
	if len(use) > 0 {
		p.n.Usage(use)
	}
	p.Kick()
	p.sendTally()
}

// resend sends starts again that no view shows after a while.
func (p *Placer) resend(now, wall loop.Micros) {
	var open []string
	for m, on := range p.on {
		if len(on.open) > 0 {
			open = append(open, m)
		}
	}
	slices.Sort(open)
	for _, m := range open {
		v := p.agent.View(m)
		if v == nil {
			continue
		}
		for _, r := range sortedRefs(p.on[m].open) {
			x := r.t.task(r.i)
			if x.state == Placed && x.ours && !x.seen && !r.t.j.Final() && wall < x.expiry && now-x.sentAt > 800*loop.Millisecond &&
				!v.Holds(r.t.name(r.i), x.attempt) && v.Find(r.t.name(r.i), x.attempt) == nil {
				p.sendStart(r.t, r.i)
			}
		}
	}
}

// sweepEvery is how often all tasks in use are gone through. What a view, a deletion or
// the end of a job tells is acted upon at once; this repeats what was lost.
const sweepEvery = 2 * loop.Second

// sweep repeats stops of jobs that are over, and frees what was on deleted machines.
func (p *Placer) sweep() {
	for m, on := range loop.Sorted(p.on) {
		gone := p.agent.IsGone(m)
		due := map[ref]struct{}{} // little of what runs is ever due
		for r := range on.all {
			if gone || r.t.j.Final() {
				due[r] = struct{}{}
			}
		}
		for _, r := range sortedRefs(due) {
			if r.t.task(r.i).state != Placed {
				continue
			}
			if gone {
				p.provenOff(r.t, r.i, "machine gone")
			} else {
				p.stop(r.t, r.i, 0)
			}
		}
	}
}

// tidyLogs has the logs that teams brought into their partitions moved into those of the
// partitions, also where nothing happens: while there are any, each load reads them.
func (p *Placer) tidyLogs() {
	for _, part := range p.partitions {
		if part.log.inherits() {
			p.commitSoon(0)
			return
		}
	}
}

// evict lets tasks save before a spot machine is taken, or one that is not needed is given back.
func (p *Placer) evict(now, wall loop.Micros) {
	p.agent.Views(func(v *agent.View) {
		if v.NoticeAt == 0 && !v.Closed {
			return
		}
		p.eachInUse(v.Name, func(r ref) {
			s := r.t.j.Spec
			x := r.t.task(r.i)
			if v.NoticeAt == 0 {
				// The machine is not needed: what can save itself moves, unless
				// its start would then have been of no use, or it ends soon anyway.
				ran := now - x.since
				if s.Checkpoint > 0 && x.running && ran > 30*loop.Second && s.Estimate-ran > 20*loop.Second {
					p.stop(r.t, r.i, s.Save+loop.Second)
				}
				return
			}
			if s.Checkpoint > 0 && x.seen && v.NoticeAt-wall < s.Save+3*loop.Second {
				p.stop(r.t, r.i, s.Save+loop.Second)
			}
		})
	})
}

func (p *Placer) sendTally() {
	t := peer.Demand{Wall: p.r.Wall(), Requests: p.lastWant}
	now := p.r.Now()
	for m := range p.on {
		if sl := p.fleet.Slot(m); sl == nil || now-sl.Heard > p.staleAfter() {
			t.Suspect = append(t.Suspect, m)
		}
	}
	sort.Strings(t.Suspect)
	p.n.Tally(t)
}
