package rental

import (
	"cleatpick/internal/agent"
	"cleatpick/internal/fleet"
	"cleatpick/internal/gate"
	"cleatpick/internal/job"
)

// comingMachine is a machine that is expected soon, with the capacity that no request has been assigned yet.
type comingMachine struct {
	offer offer
	room  agent.Room
}

// serve assigns up to n tasks of a request to the machine, and returns how many fit.
func (c *comingMachine) serve(need *gate.Need, n int) int {
	took := c.take(need.Spec, need.Most(c.offer.zone, n))
	if need.Zones != nil {
		need.Zones[c.offer.zone] += took
	}
	return took
}

// take subtracts up to n tasks from the machine's capacity, and returns how many fit. It does not check the
// job's rules about zones.
func (c *comingMachine) take(s *job.Spec, n int) int {
	if !s.AllowsPlace(c.offer.typ, c.offer.zone, c.offer.spot) {
		return 0
	}
	took := 0
	for took < n && c.room.Fits(s) {
		c.room.Take(s)
		took++
	}
	return took
}

// supply is the expected machines and how far requests have filled them during one plan.
type supply struct {
	machines []*comingMachine
	// used counts, for each shape, the machines at the start of the list that have no capacity left for tasks
	// of that shape. Capacities only shrink and machines are only appended, so later requests of the shape
	// start there. Without it, each of many requests went through all machines in every plan.
	used map[fleet.Shape]int
}

// serve assigns up to n tasks of a request to the machines, and returns how many are left over.
func (s *supply) serve(need *gate.Need, n int) (left int) {
	shape, anywhere := fleet.ShapeOf(need.Spec)
	at := 0
	if anywhere {
		at = s.used[shape]
	}
	for ; at < len(s.machines); at++ {
		if n -= s.machines[at].serve(need, n); n == 0 {
			break // the machine may have capacity left
		}
	}
	if anywhere {
		s.used[shape] = at
	}
	return n
}
