package fleet

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"strings"

	"cleatpick/internal/agent"
	"cleatpick/internal/gate"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
)

// AddClaim keeps room on a machine for a job.
func (f *Fleet) AddClaim(c peer.Claim) {
	sl := f.slots[c.Machine]
	if sl == nil {
		return // nothing is placed here on a machine that was not heard
	}
	sl.Claims = append(sl.Claims, gate.Claim{Job: c.Job, Priority: c.Priority, Until: c.Until, Had: sl.tasksOf(c.Job),
		Room: agent.Room{CPUs: c.CPUs, GPUs: c.GPUs, MemoryGB: c.MemoryGB}})
	f.claimed[sl] = struct{}{}
	f.held[c.Job]++
}

func (f *Fleet) dropClaim(sl *Slot, i int) {
	id := sl.Claims[i].Job
	if f.held[id]--; f.held[id] <= 0 {
		delete(f.held, id)
	}
	sl.Claims = append(sl.Claims[:i], sl.Claims[i+1:]...)
	if len(sl.Claims) == 0 {
		delete(f.claimed, sl)
	}
}

// UseClaim takes a claim of the job on this machine away, since a task took the room.
func (f *Fleet) UseClaim(sl *Slot, id string) {
	for i := range sl.Claims {
		if sl.Claims[i].Job == id {
			f.dropClaim(sl, i)
			for k := range sl.Claims {
				if sl.Claims[k].Job == id {
					sl.Claims[k].Had++ // the machine will show that task, which used this claim and no other
				}
			}
			return
		}
	}
}

// usedClaims drops the claims whose tasks the machine shows: another owner had them made, and
// its task and its claim would take the room twice.
func (f *Fleet) usedClaims(sl *Slot) {
	for i := 0; i < len(sl.Claims); i++ {
		if id := sl.Claims[i].Job; sl.tasksOf(id) > sl.Claims[i].Had {
			f.UseClaim(sl, id)
			i = -1
		}
	}
}

// Spare drops claims of a job beyond so many: its tasks found room elsewhere, or it is over.
func (f *Fleet) Spare(id string, most int) {
	if f.held[id] <= most {
		return
	}
	var on []*Slot
	for sl := range f.claimed {
		on = append(on, sl)
	}
	slices.SortFunc(on, func(a, b *Slot) int { return strings.Compare(a.V.Name, b.V.Name) })
	for _, sl := range on {
		for i := len(sl.Claims) - 1; i >= 0 && f.held[id] > most; i-- {
			if sl.Claims[i].Job == id {
				f.dropClaim(sl, i)
			}
		}
	}
}

// tasksOf is how many tasks of a job the machine shows, on it or on their way there.
func (sl *Slot) tasksOf(id string) (n int) {
	for _, list := range [...][]agent.Task{sl.V.Tasks, sl.V.Pending} {
		for i := range list {
			if of, _, _ := agent.SplitTask(list[i].Task); of == id && list[i].State != wire.TaskExited {
				n++
			}
		}
	}
	return n
}

// ExpireClaims ends the claims whose time is up.
func (f *Fleet) ExpireClaims() {
	wall := f.r.Wall()
	for sl := range f.claimed {
		for i := len(sl.Claims) - 1; i >= 0; i-- {
			if wall >= sl.Claims[i].Until {
				f.dropClaim(sl, i)
			}
		}
	}
}

// Held is the number of claims of a job: room for so many tasks is being made.
func (f *Fleet) Held(id string) int { return f.held[id] }

// stopping is a task that was asked to stop, and until when that counts.
type stopping struct {
	attempt
	until loop.Micros
}

// isStopping tells whether the task was asked to stop lately.
func (sl *Slot) isStopping(t *agent.Task, now loop.Micros) bool {
	for i := 0; i < len(sl.stopped); i++ {
		switch x := &sl.stopped[i]; {
		case now > x.until:
			sl.stopped = append(sl.stopped[:i], sl.stopped[i+1:]...)
			i--
		case x.no == t.Attempt && x.task == t.Task:
			return true
		}
	}
	return false
}

// victim is a task that may be stopped, and what that loses.
type victim struct {
	task  *agent.Task
	spec  *job.Spec
	loss  float64 // CPU seconds
	grace loop.Micros
}

// mayStop applies the rules of preemption: lower priority gives way to higher; and
// what a team runs beyond its guarantee gives way to another team's guarantee.
func (f *Fleet) mayStop(need *gate.Need, s *job.Spec, within bool, excess map[string]float64) bool {
	if s.Service && s.Priority >= need.Spec.Priority {
		return false
	}
	if s.Priority < need.Spec.Priority {
		return true
	}
	return within && s.Team != need.Spec.Team && excess[s.Team] >= s.CPUs
}

// victims lists what may be stopped on a machine, the least loss first.
func (f *Fleet) victims(out []victim, need *gate.Need, sl *Slot, now loop.Micros, within bool, excess map[string]float64) []victim {
	urgent := need.Spec.Priority >= job.High
	for i := range sl.V.Tasks {
		x := &sl.V.Tasks[i]
		if x.State != wire.TaskRunning && x.State != wire.TaskFetching {
			continue
		}
		j := sl.Jobs[i]
		if j == nil || j.Spec == nil || !f.mayStop(need, j.Spec, within, excess) {
			continue
		}
		if sl.isStopping(x, now) {
			continue
		}
		s := j.Spec
		var ran loop.Micros
		if since := sl.Runs.Since(i); since != 0 {
			ran = now - since
		}
		y := victim{task: x, spec: s}
		switch {
		case s.Checkpoint > 0 && !urgent:
			y.grace = s.Save + loop.Second
			ran = s.Save
		case s.Checkpoint > 0:
			ran %= s.Checkpoint
		}
		y.loss = float64(ran) / 1e6 * s.CPUs
		if s.Priority >= need.Spec.Priority {
			y.loss += 60 * s.CPUs
		}
		out = append(out, y)
	}
	slices.SortStableFunc(out, func(a, b victim) int { return cmp.Compare(a.loss, b.loss) })
	return out
}

// attempt names one try of a task.
type attempt struct {
	task string
	no   uint64
}

// option is what making room for one task on a machine takes.
type option struct {
	sl   *Slot
	set  []victim
	cost float64
}

// optionOn finds the cheapest stops on a machine that make room for a task of the job.
func (f *Fleet) optionOn(need *gate.Need, sl *Slot, now loop.Micros, within bool, excess map[string]float64) (option, bool) {
	s := need.Spec
	o := option{sl: sl}
	if !sl.Allowed(need) {
		return o, false
	}
	f.scratch = f.victims(f.scratch[:0], need, sl, now, within, excess)
	if len(f.scratch) == 0 {
		return o, false
	}
	room := sl.Beside(need)
	if !sl.Runs.HasImage(s.Image) {
		o.cost = 20 * s.CPUs
	}
	n := 0
	for n < len(f.scratch) && !room.Fits(s) {
		room.Give(f.scratch[n].spec)
		o.cost += f.scratch[n].loss
		n++
	}
	if n == 0 || !room.Fits(s) {
		return o, false
	}
	o.set = slices.Clone(f.scratch[:n])
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

// anyExcess tells whether another team runs more than its guarantee.
func anyExcess(excess map[string]float64, team string) bool {
	for name, x := range excess {
		if name != team && x > 0 {
			return true
		}
	}
	return false
}

// claimLife is how long room that is being made is kept; atImageLife is the same where
// other room is there meanwhile.
const (
	claimLife   = 4 * loop.Second
	atImageLife = 1500 * loop.Millisecond
)

// Preempt makes room for the waiting tasks of a job that found none, and tells where: a
// claim for each. excess is what each team runs beyond its guarantee.
func (f *Fleet) Preempt(need *gate.Need, want int, within bool, excess map[string]float64) (claims []peer.Claim) {
	return f.preempt(need, want, within, excess, math.Inf(1), claimLife, func(*Slot) bool { return true })
}

// PreemptAtImage makes room for an urgent job's tasks on machines that have its image,
// though others have room: there the tasks would wait for the fetch. It stops only work
// of which it loses less than the fetch would cost, so that nothing is wasted by it.
func (f *Fleet) PreemptAtImage(need *gate.Need, want int) []peer.Claim {
	rate := math.Inf(1)
	for _, sl := range f.order {
		if sl.typ.FetchGBs > 0 {
			rate = min(rate, sl.typ.FetchGBs)
		}
	}
	most := fetchWorth * need.Spec.ImageGB / rate * need.Spec.CPUs
	return f.preempt(need, want, false, map[string]float64{}, most, atImageLife, func(sl *Slot) bool { return sl.Runs.HasImage(need.Spec.Image) })
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

// Claimed tells whether room is kept on the machine for the job.
func (sl *Slot) Claimed(id string) bool {
	return slices.ContainsFunc(sl.Claims, func(c gate.Claim) bool { return c.Job == id })
}

// preempt goes through the machines that are of use once, until there is enough to choose
// from; only the one that was chosen is looked at again. Each claim costs at most so many
// CPU seconds.
func (f *Fleet) preempt(need *gate.Need, want int, within bool, excess map[string]float64, most float64, life loop.Micros, of func(*Slot) bool) (claims []peer.Claim) {
	s := need.Spec
	now := f.r.Now()
	after := now - f.n.StaleAfter
	var all options
	borrowed := within && anyExcess(excess, s.Team)
	// Any of many machines will do about as well as the best of all: the look begins where
	// the last one ended, and is over once there is enough to choose from.
	for k := 0; k < len(f.order) && len(all) < choices*(want+8); k++ {
		f.from = (f.from + 1) % len(f.order)
		sl := f.order[f.from]
		if (sl.lowest >= s.Priority && !borrowed) || !of(sl) || !sl.Open(after, now) {
			continue // nothing there gives way
		}
		if o, ok := f.optionOn(need, sl, now, within, excess); ok && o.cost <= most {
			all = append(all, o)
		}
	}
	heap.Init(&all)
	made := 0
	for made < want && len(all) > 0 {
		best := all[0]
		// What was stopped since for this job may have used up another team's excess.
		o, ok := f.optionOn(need, best.sl, now, within, excess)
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
			excess[y.spec.Team] -= y.spec.CPUs
			o.sl.Room.Give(y.spec)
			o.sl.stopped = append(o.sl.stopped, stopping{attempt{y.task.Task, y.task.Attempt}, now + y.grace + 5*loop.Second})
			f.log.Debug("preempt", "task", y.task.Task, "machine", o.sl.V.Name, "for", need.ID, "grace_us", y.grace)
			f.n.Stop(o.sl.V.Host, agent.Stop{Machine: o.sl.V.Name, Task: y.task.Task, Attempt: y.task.Attempt, Grace: y.grace})
		}
		o.sl.Room.Take(s)
		f.Touch(o.sl)
		c := peer.Claim{Machine: o.sl.V.Name, Job: need.ID, Priority: int(s.Priority), CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB,
			Until: f.r.Wall() + wait + life}
		for _, y := range o.set {
			c.Victims = append(c.Victims, y.task.Task)
		}
		f.AddClaim(c)
		claims = append(claims, c)
		if again, ok := f.optionOn(need, o.sl, now, within, excess); ok {
			all[0] = again
			heap.Fix(&all, 0)
		} else {
			heap.Pop(&all)
		}
	}
	return claims
}
