package fleet

import (
	"cmp"
	"slices"
	"strings"

	"cleatpick/internal/peer"
	"cleatpick/internal/predicate"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// maxPendingReservations bounds the reservations that are kept for machines whose first report has not arrived.
const maxPendingReservations = 1000

// AddReservation records a reservation of capacity on a machine for a job. While no report of the machine has
// arrived, nothing is placed on it; the reservation is stored and takes effect with the first report.
func (f *Fleet) AddReservation(c peer.Reservation) {
	m := f.machines[c.Machine]
	if m == nil {
		if len(f.pendingReservations) < maxPendingReservations {
			f.pendingReservations = append(f.pendingReservations, c)
		}
		return
	}
	m.Reservations = append(m.Reservations, predicate.Reservation{Job: c.Job, Priority: c.Priority, Until: c.Until, KnownTasks: m.taskCount(c.Job),
		Capacity: workers.Capacity{CPUs: c.CPUs, GPUs: c.GPUs, MemoryGB: c.MemoryGB}})
	f.reserved[m] = struct{}{}
	f.reservationCounts[c.Job]++
}

// applyPendingReservations applies the reservations that arrived before the machine's first report and have
// not expired.
func (f *Fleet) applyPendingReservations(machine string) {
	var here []peer.Reservation
	f.pendingReservations = slices.DeleteFunc(f.pendingReservations, func(c peer.Reservation) bool {
		if c.Machine == machine {
			here = append(here, c)
		}
		return c.Machine == machine
	})
	for _, c := range here {
		if f.runner.Wall() < c.Until {
			f.AddReservation(c)
		}
	}
}

// ReservationsOf lists the unexpired reservations of the jobs for which own returns true, so that a peer that
// does not know them can be sent them.
func (f *Fleet) ReservationsOf(own func(job string) bool) (reservations []peer.Reservation) {
	for m := range f.reserved {
		for _, c := range m.Reservations {
			if own(c.Job) {
				reservations = append(reservations, peer.Reservation{Machine: m.View.Name, Job: c.Job, Priority: c.Priority, CPUs: c.Capacity.CPUs, GPUs: c.Capacity.GPUs, MemoryGB: c.Capacity.MemoryGB, Until: c.Until})
			}
		}
	}
	slices.SortStableFunc(reservations, func(a, b peer.Reservation) int {
		return cmp.Or(strings.Compare(a.Machine, b.Machine), strings.Compare(a.Job, b.Job), cmp.Compare(a.Until, b.Until))
	})
	return reservations
}

func (f *Fleet) dropReservation(m *Machine, i int) {
	id := m.Reservations[i].Job
	if f.reservationCounts[id]--; f.reservationCounts[id] <= 0 {
		delete(f.reservationCounts, id)
	}
	m.Reservations = append(m.Reservations[:i], m.Reservations[i+1:]...)
	if len(m.Reservations) == 0 {
		delete(f.reserved, m)
	}
}

// ConsumeReservation removes one reservation of the job on this machine, because a task of the job now uses its
// capacity.
func (f *Fleet) ConsumeReservation(m *Machine, id string) {
	for i := range m.Reservations {
		if m.Reservations[i].Job == id {
			f.dropReservation(m, i)
			for k := range m.Reservations {
				if m.Reservations[k].Job == id {
					m.Reservations[k].KnownTasks++ // the machine will report that task, which consumed this reservation only
				}
			}
			return
		}
	}
}

// dropConsumedReservations drops the reservations whose tasks the machine reports. They were made by the
// job's owner on another controller, whose task and reservation would otherwise count the same capacity
// twice.
func (f *Fleet) dropConsumedReservations(m *Machine) {
	for i := 0; i < len(m.Reservations); i++ {
		if id := m.Reservations[i].Job; m.taskCount(id) > m.Reservations[i].KnownTasks {
			f.ConsumeReservation(m, id)
			i = -1
		}
	}
}

// TrimReservations drops the reservations of a job beyond the given number: its tasks were placed elsewhere,
// or the job is finished.
func (f *Fleet) TrimReservations(id string, most int) {
	if f.reservationCounts[id] <= most {
		return
	}
	var on []*Machine
	for m := range f.reserved {
		on = append(on, m)
	}
	slices.SortFunc(on, func(a, b *Machine) int { return strings.Compare(a.View.Name, b.View.Name) })
	for _, m := range on {
		for i := len(m.Reservations) - 1; i >= 0 && f.reservationCounts[id] > most; i-- {
			if m.Reservations[i].Job == id {
				f.dropReservation(m, i)
			}
		}
	}
}

// taskCount counts the job's tasks that the machine reports, running there or on their way to it.
func (m *Machine) taskCount(id string) (n int) {
	for _, list := range [...][]workers.Task{m.View.Tasks, m.View.Pending} {
		for i := range list {
			if of, _, _ := workers.SplitTask(list[i].Task); of == id && list[i].State != wire.TaskExited {
				n++
			}
		}
	}
	return n
}

// ExpireReservations drops the reservations whose time has passed.
func (f *Fleet) ExpireReservations() {
	wall := f.runner.Wall()
	f.pendingReservations = slices.DeleteFunc(f.pendingReservations, func(c peer.Reservation) bool { return wall >= c.Until })
	for m := range f.reserved {
		for i := len(m.Reservations) - 1; i >= 0; i-- {
			if wall >= m.Reservations[i].Until {
				f.dropReservation(m, i)
			}
		}
	}
}

// ReservationCount returns the number of reservations of a job, each for one task.
func (f *Fleet) ReservationCount(id string) int { return f.reservationCounts[id] }

// ReservationCounts returns the number of reservations of every job that has any. The caller must not change
// the map.
func (f *Fleet) ReservationCounts() map[string]int { return f.reservationCounts }

// HasReservation reports whether capacity on the machine is reserved for the job.
func (m *Machine) HasReservation(id string) bool {
	return slices.ContainsFunc(m.Reservations, func(c predicate.Reservation) bool { return c.Job == id })
}
