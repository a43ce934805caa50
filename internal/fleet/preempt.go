package fleet

import (
	"container/heap"
	"math"

	"cleatpick/internal/agent"
	"cleatpick/internal/delivery"
	"cleatpick/internal/gate"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
)

// option is what making room for one task on a machine takes.
type option struct {
	sl   *Slot
	set  []victim
	cost float64
}

// optionOn finds the cheapest stops on a machine that make room for a task of the job.
func (f *Fleet) optionOn(need *gate.Need, sl *Slot, now loop.Micros, by *Right) (option, bool) {
	s := need.Spec
	o := option{sl: sl}
	if !sl.Allowed(need) {
		return o, false
	}
	f.scratch = f.victims(f.scratch[:0], need, sl, now, by)
	if len(f.scratch) == 0 {
		return o, false
	}
	room := sl.Beside(need)
	if !sl.Runs.HasImage(s.Image) {
		o.cost = 20 * s.CPUs
	}
	f.stops.clear()
	for i := range f.scratch {
		if room.Fits(s) {
			break
		}
		v := &f.scratch[i]
		// What is stopped for one task counts together: each by itself, they once took a team
		// below its guarantee.
		if !by.allows(s, v.spec, f.stops.of(v.spec.Team)) {
			continue
		}
		f.stops.add(v.spec)
		room.Give(v.spec)
		o.cost += v.loss
		o.set = append(o.set, *v)
	}
	if len(o.set) == 0 || !room.Fits(s) {
		return o, false
	}
	return o, true
}

// options is a heap, the cheapest first.
type options []option

func (o options) Len() int           { return len(o) }
func (o options) Less(i, j int) bool { return o[i].cost < o[j].cost }
func (o options) Swap(i, j int)      { o[i], o[j] = o[j], o[i] }
func (o *options) Push(x any)        { *o = append(*o, x.(option)) }
func (o *options) Pop() any {
	old := *o
	x := old[len(old)-1]
	*o = old[:len(old)-1]
	return x
}

// choices is how many options are looked for, for each that is wanted.
const choices = 8

// claimPriority is the priority up to which others leave alone the room that is made: all do. Work
// of higher priority once took the room of a guarantee at once, and was stopped for it again.
const claimPriority = job.Production

// claimLife is how long room that is being made is kept; atImageLife is the same where
// other room is there meanwhile.
const (
	claimLife   = 4 * loop.Second
	atImageLife = 1500 * loop.Millisecond
)

// Preempt makes room for the waiting tasks of a job that found none, and tells where: a
// claim for each.
func (f *Fleet) Preempt(need *gate.Need, want int, by Right) (claims []peer.Reservation) {
	return f.preempt(need, want, &by, math.Inf(1), claimLife, func(*Slot) bool { return true })
}

// PreemptAtImage makes room for an urgent job's tasks on machines that have its image,
// though others have room: there the tasks would wait for the fetch. It stops only work
// of which it loses less than the fetch would cost, so that nothing is wasted by it.
func (f *Fleet) PreemptAtImage(need *gate.Need, want int, by Right) []peer.Reservation {
	rate := math.Inf(1)
	for _, sl := range f.order {
		if sl.typ.FetchGBs > 0 {
			rate = min(rate, sl.typ.FetchGBs)
		}
	}
	most := fetchWorth * need.Spec.ImageGB / rate * need.Spec.CPUs
	by.LowerOnly = true // the tasks have room elsewhere
	return f.preempt(need, want, &by, most, atImageLife, func(sl *Slot) bool { return sl.Runs.HasImage(need.Spec.Image) })
}

// fetchWorth is how many times what a fetch takes may be lost to avoid it: an urgent task
// holds its own room for the fetch, and its users wait for as long.
const fetchWorth = 3

// AtImage is how many of n tasks of the job find room on machines that have its image.
func (f *Fleet) AtImage(need gate.Need, n int, slots []*Slot) int {
	var there []*Slot
	for _, sl := range slots {
		if sl.Runs.HasImage(need.Spec.Image) {
			there = append(there, sl)
		}
	}
	if len(there) == 0 {
		return 0
	}
	return f.Trial(need, n, there)
}

// preempt goes through the machines that are of use once, until there is enough to choose
// from; only the one that was chosen is looked at again. Each claim costs at most so many
// CPU seconds.
func (f *Fleet) preempt(need *gate.Need, want int, by *Right, most float64, life loop.Micros, of func(*Slot) bool) (claims []peer.Reservation) {
	s := need.Spec
	now := f.r.Now()
	after := now - f.n.StaleAfter
	var all options
	borrowed := by.Guarantee && !by.LowerOnly && by.anyExcess(s.Team)
	// Any of many machines will do about as well as the best of all: the look begins where
	// the last one ended, and is over once there is enough to choose from.
	for k := 0; k < len(f.order) && len(all) < choices*(want+8); k++ {
		f.from = (f.from + 1) % len(f.order)
		sl := f.order[f.from]
		if (sl.lowest >= s.Priority && !borrowed) || !of(sl) || !sl.Open(after, now) {
			continue // nothing there gives way
		}
		if o, ok := f.optionOn(need, sl, now, by); ok && o.cost <= most {
			all = append(all, o)
		}
	}
	heap.Init(&all)
	made := 0
	for made < want && len(all) > 0 {
		best := all[0]
		// What was stopped since for this job may have used up another team's excess.
		o, ok := f.optionOn(need, best.sl, now, by)
		if !ok || o.cost > most {
			heap.Pop(&all)
			continue
		}
		if o.cost > best.cost {
			all[0] = o
			heap.Fix(&all, 0)
			continue
		}
		made++
		wait := loop.Micros(0)
		for _, y := range o.set {
			wait = max(wait, y.grace)
			by.Excess[y.spec.Team] -= y.spec.CPUs
			o.sl.Room.Give(y.spec)
			o.sl.stopped = append(o.sl.stopped, stopping{delivery.Attempt{Task: y.task.Task, Number: y.task.Attempt}, now + y.grace + 5*loop.Second})
			f.log.Debug("preempt", "task", y.task.Task, "machine", o.sl.V.Name, "for", need.ID, "grace_us", y.grace)
			f.n.Stop(o.sl.V.Host, agent.Stop{Machine: o.sl.V.Name, Task: y.task.Task, Attempt: y.task.Attempt, Grace: y.grace})
		}
		o.sl.Room.Take(s)
		f.Touch(o.sl)
		c := peer.Reservation{Machine: o.sl.V.Name, Job: need.ID, Priority: int(claimPriority), CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB,
			Until: f.r.Wall() + wait + life}
		for _, y := range o.set {
			c.Victims = append(c.Victims, y.task.Task)
		}
		f.AddClaim(c)
		claims = append(claims, c)
		by.used(made)
		if again, ok := f.optionOn(need, o.sl, now, by); ok {
			all[0] = again
			heap.Fix(&all, 0)
		} else {
			heap.Pop(&all)
		}
	}
	return claims
}
