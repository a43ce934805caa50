package predicate

import (
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/workers"
)

// Lack is a set of conditions that a machine does not meet for a task, one bit for each.
type Lack uint32

// The conditions.
const (
	LackKnown        Lack = 1 << iota // its type, or the job of a task on it, is not known here yet
	LackNotice                        // the cloud has announced that it takes the machine away
	LackDraining                      // the machine is to be deleted or replaced
	LackRecentReport                  // no recent report, or none that confirms the newest token of its host controller: a message to it may be lost
	LackBackOffOver                   // it is in back-off
	LackCordon                        // it is cordoned
	LackCPUs
	LackGPUs
	LackMemory
	LackPlace      // the job does not allow its type, zone or kind
	LackOneZone    // the job's tasks must share a zone, and the others are in another one
	LackSpread     // its zone already has the half of the job's tasks that may be in one zone
	LackUnreserved // its free capacity is reserved for other jobs
)

var lackNames = []string{"known", "notice", "draining", "heard", "rested", "cordon", "cpus", "gpus", "memory", "place", "oneZone", "scatter", "claimed"}

// Names lists the conditions by name.
func (l Lack) Names() []string {
	var out []string
	for i, n := range lackNames {
		if l&(1<<i) != 0 {
			out = append(out, n)
		}
	}
	return out
}

// Each calls f with the name of each condition.
func (l Lack) Each(f func(name string)) {
	for i, n := range lackNames {
		if l&(1<<i) != 0 {
			f(n)
		}
	}
}

// Need is what a task of a job requires of a machine, including what depends on the job's other tasks.
type Need struct {
	ID    string
	Spec  *job.Spec
	Tasks int
	Zones map[string]int // tasks that may be on machines, by zone
	// Avoid names machines on which the job failed; they are chosen only if no other machine fits.
	Avoid map[string]struct{}
}

// MachineFacts holds the facts about a machine that the machine predicates evaluate.
type MachineFacts struct {
	View          *workers.View
	Known         bool             // its type and the jobs of its tasks are known here
	Free          workers.Capacity // free capacity, reservations not subtracted
	LastReport    eventloop.Micros
	BackOffUntil  eventloop.Micros // end of its back-off
	BackOffReason string
	Cordoned      bool
	Reservations  []Reservation
}

// Reservation is capacity on a machine that is reserved for one job.
type Reservation struct {
	Job        string
	Priority   int
	Capacity   workers.Capacity
	Until      eventloop.Micros // wall clock time
	KnownTasks int              // the job's tasks that the machine reported when the reservation was made, and those that consumed other reservations since
}

// Blocking returns the conditions that keep every task off the machine. after is the time since which a report
// must have arrived.
func (m *MachineFacts) Blocking(after, now eventloop.Micros) Lack {
	return m.blocking(after, now, true)
}

// blocking computes Blocking; with all false it may stop at the first conditions found, as AcceptsStarts
// needs only to know if there are any.
func (m *MachineFacts) blocking(after, now eventloop.Micros, all bool) (l Lack) {
	add := func(x Lack, is bool) {
		if is {
			l |= x
		}
	}
	add(LackKnown, !m.Known)
	add(LackRecentReport, m.LastReport < after || !m.View.TokenConfirmed)
	add(LackBackOffOver, now < m.BackOffUntil)
	if l != 0 && !all {
		return l
	}
	add(LackNotice, m.View.NoticeAt != 0)
	add(LackDraining, m.View.ClosedToStarts)
	add(LackCordon, m.Cordoned)
	return l
}

// AcceptsStarts reports whether tasks may be placed on the machine now, if they fit.
func (m *MachineFacts) AcceptsStarts(after, now eventloop.Micros) bool {
	return m.blocking(after, now, false) == 0
}

// Allowed reports whether the job's rules on types and zones let a task of it run on this machine. All of its
// tasks that may be on machines count.
func (m *MachineFacts) Allowed(n *Need) bool { return m.unmetRules(n) == 0 }

// unmetRules returns the rules of the job that the machine does not meet.
func (m *MachineFacts) unmetRules(n *Need) (l Lack) {
	s := n.Spec
	if !s.AllowsPlace(m.View.Type, m.View.Zone, m.View.Spot) {
		l |= LackPlace
	}
	if n.boundElsewhere(m.View.Zone) {
		l |= LackOneZone
	}
	if n.allowedBySpread(m.View.Zone, 1) == 0 {
		l |= LackSpread
	}
	return l
}

// boundElsewhere reports whether the job's tasks must share a zone and some of them are in another zone than
// this.
func (n *Need) boundElsewhere(zone string) bool {
	if n.Spec.OneZone {
		for z, k := range n.Zones {
			if k > 0 && z != zone {
				return true
			}
		}
	}
	return false
}

// allowedBySpread returns how many of the given number of additional tasks may run in a zone if no more than
// half may share one.
func (n *Need) allowedBySpread(zone string, more int) int {
	if n.Spec.Spread {
		return min(more, max((n.Tasks+1)/2-n.Zones[zone], 0))
	}
	return more
}

// MaxInZone returns how many of the given number of additional tasks the job's zone rules allow in a zone.
func (n *Need) MaxInZone(zone string, more int) int {
	if n.boundElsewhere(zone) {
		return 0
	}
	return n.allowedBySpread(zone, more)
}

// missingResources returns which resources the capacity lacks for a task.
func missingResources(free *workers.Capacity, s *job.Spec) (l Lack) {
	if free.Fits(s) {
		return 0
	}
	for _, x := range [...]struct {
		l    Lack
		task job.Spec
	}{{LackCPUs, job.Spec{CPUs: s.CPUs}}, {LackGPUs, job.Spec{GPUs: s.GPUs}}, {LackMemory, job.Spec{MemoryGB: s.MemoryGB}}} {
		r := workers.Capacity{CPUs: max(free.CPUs, 0), GPUs: max(free.GPUs, 0), MemoryGB: max(free.MemoryGB, 0)}
		if !r.Fits(&x.task) {
			l |= x.l
		}
	}
	if l == 0 {
		l = LackCPUs // overcommitted in a resource that the task does not request
	}
	return l
}

// Fits reports whether a machine that accepts starts may take a task of the job now.
func (m *MachineFacts) Fits(n *Need) bool {
	if !m.Free.Fits(n.Spec) || !m.Allowed(n) {
		return false
	}
	if len(m.Reservations) == 0 {
		return true
	}
	room := m.Unreserved(n)
	return room.Fits(n.Spec)
}

// Unreserved returns the machine's free capacity less what is reserved for other jobs at the job's priority or
// higher.
func (m *MachineFacts) Unreserved(n *Need) workers.Capacity {
	r := m.Free
	for i := range m.Reservations {
		if c := &m.Reservations[i]; c.Job != n.ID && c.Priority >= int(n.Spec.Priority) {
			r = r.Minus(c.Capacity)
		}
	}
	return r
}

// Lacks returns every condition that keeps a task of the job off the machine; 0 if it may take one.
func (m *MachineFacts) Lacks(n *Need, after, now eventloop.Micros) Lack {
	l := m.Blocking(after, now) | m.unmetRules(n)
	if x := missingResources(&m.Free, n.Spec); x != 0 {
		return l | x
	}
	if room := m.Unreserved(n); !room.Fits(n.Spec) {
		l |= LackUnreserved
	}
	return l
}
