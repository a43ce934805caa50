package placer

import (
	"cleatpick/internal/fleet"
	"cleatpick/internal/floor"
	"cleatpick/internal/gate"
	"cleatpick/internal/loop"
)

const (
	// holdLife is how long room is held for a task that goes before its turn and finds none:
	// on a machine that is in use throughout, some task ends in that time. Then it is looked
	// for anew.
	holdLife = 20 * loop.Second
	// mostHeld bounds the tasks of one job for which room is held at once.
	mostHeld = 8
)

// before gives a part of what falls free to the work that has waited longest, whatever comes
// before it in the order. Where it finds no room, room is held for it: small tasks would
// otherwise fill whatever falls free before a large one fits. Nothing is stopped for it.
func (p *Placer) before(q []entryOf, open []*fleet.Slot, chosen *[]hostStart) {
	now := p.r.Now()
	if p.floor.Earn(now, p.turn.Rate*p.share()); !p.floor.Owes() {
		return // as most of the time, when so much waits that looking through it costs
	}
	late := q[:0:0]
	var all []floor.Waiter
	for _, e := range q {
		if now-e.t.at < floor.After {
			continue
		}
		f := p.facts(e.t)
		if n := min(f.Passes(gate.Probe), f.Passes(gate.Limit), e.t.waiting()); n > 0 {
			s := e.t.j.Spec
			late = append(late, e)
			all = append(all, floor.Waiter{ID: e.t.j.ID, Class: s.Team + "\x00" + s.Class, At: e.t.at, Since: e.t.pieceAt, Tasks: n, CPUs: s.CPUs})
		}
	}
	if len(all) == 0 {
		return
	}
	for _, x := range p.floor.Pick(now, all) {
		t, w := late[x.At].t, &all[x.At]
		// One before it may have used what was left of their team's limit.
		f := p.facts(t)
		n, got, held := min(x.Tasks, f.Passes(gate.Limit)), 0, p.fleet.Held(w.ID)
		if t.j.Spec.Gang {
			n = min(t.waiting(), f.Passes(gate.Limit))
		}
		if n <= 0 {
			continue
		}
		if !t.j.Spec.Gang || p.gangFits(t) {
			got = p.fill(t, n, open, chosen)
		}
		given := got - (held - p.fleet.Held(w.ID)) // what was held is paid for
		if got == 0 && held == 0 {
			need := t.need()
			if !t.j.Spec.Gang {
				n = min(n, mostHeld)
			}
			claims := p.fleet.Hold(&need, n, holdLife)
			given = len(claims)
			p.claimed(claims)
			p.log.Debug("room held", "job", w.ID, "tasks", len(claims), "waits_us", now-w.At)
		}
		if given > 0 {
			p.floor.Spend(w.Class, float64(given)*w.CPUs)
		}
		t.pieceAt = now
	}
}
