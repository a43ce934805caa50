package fleet

import (
	"cmp"
	"maps"
	"slices"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/peer"
	"cleatpick/internal/predicate"
	"cleatpick/internal/workers"
)

// smallTaskDivisor is the divisor that separates small tasks from large ones: a task of up to a
// quarter of a machine's CPUs shares machines with other reservations.
const smallTaskDivisor = 4

// Reserve reserves capacity for up to want tasks of a job on machines that have none free now, and returns the
// reservations. It preempts nothing: capacity is freed as tasks there end, and meanwhile no other job's tasks
// take it. Capacity that is reserved already is subtracted first, and small reservations share a machine:
// when each had a separate machine, none was left for gangs or for tasks as large as a machine. For a gang
// it reserves everything or nothing, since a part of a gang cannot run.
func (f *Fleet) Reserve(need *predicate.Need, want int, life eventloop.Micros) (reservations []peer.Reservation) {
	n := *need
	if n.Zones = maps.Clone(need.Zones); n.Zones == nil {
		n.Zones = map[string]int{}
	}
	now := f.runner.Now()
	after := now - f.deps.StaleAfter
	type place struct {
		m    *Machine
		left workers.Capacity // of the empty machine, less its reservations
		own  int              // number of the team's tasks there
	}
	var fit []place
	s := need.Spec
	for _, m := range f.order {
		if m.typ.CPUs > 0 && m.AcceptsStarts(after, now) && m.Allowed(&n) {
			left := workers.Capacity{CPUs: m.typ.CPUs, GPUs: m.typ.GPUs, MemoryGB: m.typ.MemoryGB}
			for i := range m.Reservations {
				left = left.Minus(m.Reservations[i].Capacity)
			}
			if left.Fits(s) {
				fit = append(fit, place{m, left, m.teamTaskCount(s.Team)})
			}
		}
	}
	// A large task goes where nothing is reserved. A small one goes where most is reserved already, up to
	// half of a machine, but not on a machine with a reservation for a large task: each of them must wait until
	// the capacity reserved for the others there is free, too. Next come machines with the fewest tasks of the
	// job's own team, since what those free is left to the team anyway, and then those with the most free CPUs, where
	// the rest is freed soonest.
	rank := func(x *place) int {
		reservations := x.m.Reservations
		switch {
		case smallTaskDivisor*s.CPUs > x.m.typ.CPUs:
			return len(reservations)
		case 2*x.left.CPUs <= x.m.typ.CPUs, slices.ContainsFunc(reservations, func(c predicate.Reservation) bool { return smallTaskDivisor*c.Capacity.CPUs > x.m.typ.CPUs }):
			return 1
		}
		return -len(reservations)
	}
	slices.SortStableFunc(fit, func(a, b place) int {
		return cmp.Or(cmp.Compare(rank(&a), rank(&b)), cmp.Compare(a.own, b.own), cmp.Compare(b.m.Free.CPUs, a.m.Free.CPUs))
	})
	for _, x := range fit {
		m, free := x.m, x.left
		for len(reservations) < want && free.Fits(s) && m.Allowed(&n) {
			free.Subtract(s)
			n.Zones[m.View.Zone]++
			c := peer.Reservation{Machine: m.View.Name, Job: need.ID, Priority: int(job.Production), CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Until: f.runner.Wall() + life}
			reservations = append(reservations, c)
		}
		if len(reservations) == want {
			break
		}
	}
	if s.Gang && len(reservations) < want {
		return nil
	}
	for _, c := range reservations {
		f.AddReservation(c)
	}
	return reservations
}

// teamTaskCount counts the active tasks of a team that the machine reports.
func (m *Machine) teamTaskCount(team string) (n int) {
	for i, j := range m.Jobs {
		if j != nil && j.Spec != nil && j.Spec.Team == team && i < len(m.View.Tasks) && m.View.Tasks[i].Active() {
			n++
		}
	}
	return n
}
