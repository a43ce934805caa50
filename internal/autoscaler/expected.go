package autoscaler

import (
	"cleatpick/internal/fleet"
	"cleatpick/internal/job"
	"cleatpick/internal/predicate"
	"cleatpick/internal/workers"
)

// expectedMachine is a machine that is expected soon, with the capacity that no request has been assigned yet.
type expectedMachine struct {
	offer    offer
	capacity workers.Capacity
}

// place assigns up to n tasks of a request to the machine, and returns how many fit.
func (c *expectedMachine) place(need *predicate.Need, n int) int {
	took := c.placeIgnoringZones(need.Spec, need.MaxInZone(c.offer.zone, n))
	if need.Zones != nil {
		need.Zones[c.offer.zone] += took
	}
	return took
}

// placeIgnoringZones subtracts up to n tasks from the machine's capacity, and returns how many fit. It does
// not check the job's rules about zones.
func (c *expectedMachine) placeIgnoringZones(s *job.Spec, n int) int {
	if !s.AllowsPlace(c.offer.typ, c.offer.zone, c.offer.spot) {
		return 0
	}
	took := 0
	for took < n && c.capacity.Fits(s) {
		c.capacity.Subtract(s)
		took++
	}
	return took
}

// expectedCapacity is the expected machines and how far requests have filled them during one plan.
type expectedCapacity struct {
	machines []*expectedMachine
	// exhausted counts, for each shape, the machines at the start of the list that have no capacity left for
	// tasks of that shape. Capacities only shrink and machines are only appended, so later requests of the
	// shape start there. Without it, each of many requests went through all machines in every plan.
	exhausted map[fleet.Shape]int
}

// place assigns up to n tasks of a request to the machines, and returns how many are left over.
func (s *expectedCapacity) place(need *predicate.Need, n int) (left int) {
	shape, anywhere := fleet.ShapeOf(need.Spec)
	at := 0
	if anywhere {
		at = s.exhausted[shape]
	}
	for ; at < len(s.machines); at++ {
		if n -= s.machines[at].place(need, n); n == 0 {
			break // the machine may have capacity left
		}
	}
	if anywhere {
		s.exhausted[shape] = at
	}
	return n
}
