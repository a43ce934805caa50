package autoscaler

import (
	"sort"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/peer"
	"cleatpick/internal/workers"
)

// freeFraction is the free capacity, as a fraction of the capacity in use, that is kept for upcoming work
// before a machine counts as not needed.
const freeFraction = 0.2

// drainCandidate is a machine with its usage and price.
type drainCandidate struct {
	m    *machine
	v    *workers.View
	used float64
	free float64
	cost float64 // price per CPU
}

// drainUnneeded drains machines whose tasks would fit into free capacity elsewhere. Such a machine would
// become empty only when the last of its tasks ends, which takes long. After a separate standby time it
// takes no more starts, and tasks that can save their state move away. Unplaced requests return as many
// draining machines to use as they need, and no more: with many jobs there are always some new requests, and
// returning all draining machines for them kept a third of the machines idle.
func (a *Autoscaler) drainUnneeded(now eventloop.Micros) {
	if now-a.drainCheckedAt < eventloop.Second {
		return
	}
	a.drainCheckedAt = now
	wanted := 0.0
	for _, w := range a.requests() {
		wanted += w.CPUs * float64(w.Count)
	}
	var all []drainCandidate
	free, used := 0.0, 0.0
	for _, m := range a.sorted() {
		typ, ok := a.byName[m.typ]
		v := a.workers.View(m.name)
		if !ok || v == nil || v.NoticeAt != 0 || (m.state != Up && m.state != Draining) {
			continue
		}
		left, ok := a.workers.FreeCapacity(v, typ)
		if !ok {
			continue
		}
		x := drainCandidate{m, v, typ.CPUs - left.CPUs, left.CPUs, typ.Price / typ.CPUs}
		if m.spot {
			x.cost = typ.SpotPrice / typ.CPUs
		}
		used += x.used
		if m.state == Up {
			free += x.free
		} else {
			free -= x.used // its tasks need capacity elsewhere
		}
		all = append(all, x)
	}
	// The most expensive and, among those, the emptiest first.
	sort.Slice(all, func(i, j int) bool {
		if all[i].cost != all[j].cost {
			return all[i].cost > all[j].cost
		}
		if all[i].used != all[j].used {
			return all[i].used < all[j].used
		}
		return all[i].m.name < all[j].m.name
	})
	need := freeFraction*used + wanted
	// The cheapest and fullest draining machines are returned to use first.
	for i := len(all) - 1; i >= 0 && free < need; i-- {
		if x := all[i]; x.m.state == Draining {
			free += x.free + x.used
			x.m.drainAt = 0
			a.setState(x.m, Up, "needed again")
			a.deps.Close(x.v.Host, peer.StartBlock{Machine: x.m.name})
		}
	}
	for _, x := range all {
		if x.m.state != Up || x.used == 0 {
			continue
		}
		if free-x.free-x.used < need {
			x.m.drainAt = 0
			continue
		}
		free -= x.free + x.used
		if x.m.drainAt == 0 {
			x.m.drainAt = now + a.standby(x.m)
		} else if now > x.m.drainAt {
			a.setState(x.m, Draining, "not needed")
		}
	}
}
