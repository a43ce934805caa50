package rental

import (
	"sort"

	"cleatpick/internal/agent"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
)

// reserve is the part of what is in use that is kept free for what comes next,
// before a machine counts as not needed.
const reserve = 0.2

type sized struct {
	m    *machine
	v    *agent.View
	used float64
	free float64
	cost float64 // price by CPU
}

// spare finds machines whose work would fit into what is free elsewhere. Such a
// machine would fall empty only when the last of its tasks ends, which takes long.
// After a standby of its own it takes no more starts, and what can save itself
// moves away. Misses take that back for as many machines as they need: with many jobs
// there is always one that has missed a moment ago, and taking all back for it kept a
// third of the fleet idle.
func (t *Rental) spare(now loop.Micros) {
	if now-t.spareAt < loop.Second {
		return
	}
	t.spareAt = now
	wanted := 0.0
	for _, w := range t.wants() {
		wanted += w.CPUs * float64(w.Count)
	}
	var all []sized
	free, used := 0.0, 0.0
	for _, m := range t.sorted() {
		typ, ok := t.byName[m.typ]
		v := t.agent.View(m.name)
		if !ok || v == nil || v.NoticeAt != 0 || (m.state != Up && m.state != Draining) {
			continue
		}
		room, ok := t.agent.Room(v, typ)
		if !ok {
			continue
		}
		x := sized{m, v, typ.CPUs - room.CPUs, room.CPUs, typ.Price / typ.CPUs}
		if m.spot {
			x.cost = typ.SpotPrice / typ.CPUs
		}
		used += x.used
		if m.state == Up {
			free += x.free
		} else {
			free -= x.used // what drains needs room elsewhere
		}
		all = append(all, x)
	}
	// The dearest and, among them, the emptiest first.
	sort.Slice(all, func(i, j int) bool {
		if all[i].cost != all[j].cost {
			return all[i].cost > all[j].cost
		}
		if all[i].used != all[j].used {
			return all[i].used < all[j].used
		}
		return all[i].m.name < all[j].m.name
	})
	need := reserve*used + wanted
	// The cheapest and fullest of those that drain serve misses first.
	for i := len(all) - 1; i >= 0 && free < need; i-- {
		if x := all[i]; x.m.state == Draining {
			free += x.free + x.used
			x.m.spareTo = 0
			t.setState(x.m, Up, "needed again")
			t.n.Close(x.v.Host, peer.StartBlock{Machine: x.m.name})
		}
	}
	for _, x := range all {
		if x.m.state != Up || x.used == 0 {
			continue
		}
		if free-x.free-x.used < need {
			x.m.spareTo = 0
			continue
		}
		free -= x.free + x.used
		if x.m.spareTo == 0 {
			x.m.spareTo = now + t.standby(x.m)
		} else if now > x.m.spareTo {
			t.setState(x.m, Draining, "not needed")
		}
	}
}
