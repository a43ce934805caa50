package rental

import (
	"cleatpick/internal/agent"
	"cleatpick/internal/fleet"
	"cleatpick/internal/gate"
	"cleatpick/internal/job"
)

// comingMachine is a machine on its way, with the room that no request has taken yet.
type comingMachine struct {
	offer offer
	room  agent.Capacity
}

// serve takes the room of up to n tasks of a request, and tells of how many.
func (c *comingMachine) serve(need *gate.Need, n int) int {
	took := c.take(need.Spec, need.Most(c.offer.zone, n))
	if need.Zones != nil {
		need.Zones[c.offer.zone] += took
	}
	return took
}

func (c *comingMachine) take(s *job.Spec, n int) int {
	if !s.AllowsPlace(c.offer.typ, c.offer.zone, c.offer.spot) {
		return 0
	}
	took := 0
	for took < n && c.room.Fits(s) {
		c.room.Subtract(s)
		took++
	}
	return took
}

// supply is the machines on their way, as a plan fills them.
type supply struct {
	machines []*comingMachine
	// used is how many machines, from the first on, have no room left for tasks of a shape: rooms only
	// shrink and machines only join at the end, so later requests of the shape begin there. Without it
	// each request of many went through all machines, in every plan.
	used map[fleet.Shape]int
}

// serve takes the room of up to n tasks of a request, and tells how many are left.
func (s *supply) serve(need *gate.Need, n int) (left int) {
	shape, anywhere := fleet.ShapeOf(need.Spec)
	at := 0
	if anywhere {
		at = s.used[shape]
	}
	for ; at < len(s.machines); at++ {
		if n -= s.machines[at].serve(need, n); n == 0 {
			break // the machine may have room for more
		}
	}
	if anywhere {
		s.used[shape] = at
	}
	return n
}
