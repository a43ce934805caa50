package fleet

import (
	"container/heap"
	"math"

	"cleatpick/internal/delivery"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/peer"
	"cleatpick/internal/predicate"
	"cleatpick/internal/workers"
)

// candidate is a set of preemptions on one machine that make capacity for one task, with their cost in CPU
// seconds.
type candidate struct {
	m       *Machine
	victims []victim
	cost    float64
}

// candidateOn finds the cheapest preemptions on a machine that make capacity for a task of the job.
func (f *Fleet) candidateOn(need *predicate.Need, m *Machine, now eventloop.Micros, rights *PreemptionRights) (candidate, bool) {
	s := need.Spec
	o := candidate{m: m}
	if !m.Allowed(need) {
		return o, false
	}
	f.scratch = f.appendVictims(f.scratch[:0], need, m, now, rights)
	if len(f.scratch) == 0 {
		return o, false
	}
	free := m.Unreserved(need)
	if !m.Runs.HasImage(s.Image) {
		o.cost = 20 * s.CPUs
	}
	f.preemptedCPUs.clear()
	for i := range f.scratch {
		if free.Fits(s) {
			break
		}
		v := &f.scratch[i]
		// The victims for one task count together against their team's excess: checked one by one, they took
		// a team below its guarantee.
		if !rights.allows(s, v.spec, f.preemptedCPUs.of(v.spec.Team)) {
			continue
		}
		f.preemptedCPUs.add(v.spec)
		free.Add(v.spec)
		o.cost += v.loss
		o.victims = append(o.victims, *v)
	}
	if len(o.victims) == 0 || !free.Fits(s) {
		return o, false
	}
	return o, true
}

// candidateHeap is a heap with the cheapest candidate first.
type candidateHeap []candidate

func (o candidateHeap) Len() int           { return len(o) }
func (o candidateHeap) Less(i, j int) bool { return o[i].cost < o[j].cost }
func (o candidateHeap) Swap(i, j int)      { o[i], o[j] = o[j], o[i] }
func (o *candidateHeap) Push(x any)        { *o = append(*o, x.(candidate)) }
func (o *candidateHeap) Pop() any {
	old := *o
	x := old[len(old)-1]
	*o = old[:len(old)-1]
	return x
}

// candidatesPerTask is the number of candidates to collect for each one that is wanted.
const candidatesPerTask = 8

// reservationPriority is the priority of the reservations made by preemption; work of higher priority would
// ignore them. It is the highest, so none does: when higher priorities took the capacity freed for a
// guarantee, their tasks were at once preempted for that guarantee again.
const reservationPriority = job.Production

// reservationLife is how long a reservation lasts after its victims' grace periods; imageReservationLife is
// the same where the job's tasks also fit on other machines now.
const (
	reservationLife      = 4 * eventloop.Second
	imageReservationLife = 1500 * eventloop.Millisecond
)

// Preempt stops tasks to make capacity for up to want tasks of a job that did not fit, and returns one
// reservation for each task it made capacity for.
func (f *Fleet) Preempt(need *predicate.Need, want int, rights PreemptionRights) (reservations []peer.Reservation) {
	return f.preempt(need, want, &rights, math.Inf(1), reservationLife, func(*Machine) bool { return true })
}

// PreemptForCachedImage makes capacity for an urgent job's tasks on machines that have its image cached, although
// others have free capacity: there the tasks would wait for the fetch. It stops only tasks that lose less
// than the fetch costs, so that the preemption is no net loss.
func (f *Fleet) PreemptForCachedImage(need *predicate.Need, want int, rights PreemptionRights) []peer.Reservation {
	rate := math.Inf(1)
	for _, m := range f.order {
		if m.typ.FetchGBPerS > 0 {
			rate = min(rate, m.typ.FetchGBPerS)
		}
	}
	most := fetchCostFactor * need.Spec.ImageGB / rate * need.Spec.CPUs
	rights.LowerPriorityOnly = true // the tasks fit elsewhere
	return f.preempt(need, want, &rights, most, imageReservationLife, func(m *Machine) bool { return m.Runs.HasImage(need.Spec.Image) })
}

// fetchCostFactor is how many times the cost of a fetch may be lost to avoid it: while the image is fetched, an
// urgent task occupies its own capacity and its users wait.
const fetchCostFactor = 3

// CountFittingWithImage counts how many of n tasks of the job fit on machines that have its image cached.
func (f *Fleet) CountFittingWithImage(need predicate.Need, n int, machines []*Machine) int {
	var there []*Machine
	for _, m := range machines {
		if m.Runs.HasImage(need.Spec.Image) {
			there = append(there, m)
		}
	}
	if len(there) == 0 {
		return 0
	}
	return f.CountFitting(need, n, there)
}

// preempt computes candidates on the machines for which eligible returns true, once for each, until it has
// enough to choose from. After that it recomputes only the chosen machine. Each task may cost at most maxCost
// CPU seconds.
func (f *Fleet) preempt(need *predicate.Need, want int, rights *PreemptionRights, maxCost float64, life eventloop.Micros, eligible func(*Machine) bool) (reservations []peer.Reservation) {
	s := need.Spec
	now := f.runner.Now()
	after := now - f.deps.StaleAfter
	var all candidateHeap
	borrowed := rights.WithinGuarantee && !rights.LowerPriorityOnly && rights.anyOtherExcess(s.Team)
	// With many machines, any few of them are about as good as the best of all: the search starts where the
	// last one ended, and stops once there are enough candidates.
	for k := 0; k < len(f.order) && len(all) < candidatesPerTask*(want+8); k++ {
		f.nextScan = (f.nextScan + 1) % len(f.order)
		m := f.order[f.nextScan]
		if (m.lowestPriority >= s.Priority && !borrowed) || !eligible(m) || !m.AcceptsStarts(after, now) {
			continue // no task there may be preempted
		}
		if o, ok := f.candidateOn(need, m, now, rights); ok && o.cost <= maxCost {
			all = append(all, o)
		}
	}
	heap.Init(&all)
	made := 0
	for made < want && len(all) > 0 {
		best := all[0]
		// Preemptions made for this job since may have used up another team's excess.
		o, ok := f.candidateOn(need, best.m, now, rights)
		if !ok || o.cost > maxCost {
			heap.Pop(&all)
			continue
		}
		if o.cost > best.cost {
			all[0] = o
			heap.Fix(&all, 0)
			continue
		}
		made++
		wait := eventloop.Micros(0)
		for _, y := range o.victims {
			wait = max(wait, y.grace)
			rights.Excess[y.spec.Team] -= y.spec.CPUs
			o.m.Free.Add(y.spec)
			o.m.preempted = append(o.m.preempted, pendingPreemption{delivery.Attempt{Task: y.task.Task, Number: y.task.Attempt}, now + y.grace + 5*eventloop.Second})
			f.log.Debug("preempting task to make capacity for another job", "task", y.task.Task, "machine", o.m.View.Name, "for", need.ID, "grace_us", y.grace)
			f.deps.Stop(o.m.View.Host, workers.Stop{Machine: o.m.View.Name, Task: y.task.Task, Attempt: y.task.Attempt, Grace: y.grace})
		}
		o.m.Free.Subtract(s)
		f.MarkStale(o.m)
		c := peer.Reservation{Machine: o.m.View.Name, Job: need.ID, Priority: int(reservationPriority), CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB,
			Until: f.runner.Wall() + wait + life}
		for _, y := range o.victims {
			c.Victims = append(c.Victims, y.task.Task)
		}
		f.AddReservation(c)
		reservations = append(reservations, c)
		rights.consume(made)
		if again, ok := f.candidateOn(need, o.m, now, rights); ok {
			all[0] = again
			heap.Fix(&all, 0)
		} else {
			heap.Pop(&all)
		}
	}
	return reservations
}
