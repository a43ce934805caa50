package placer

import (
	"cmp"
	"container/heap"
	"slices"
	"sort"

	"cleatpick/internal/agent"
	"cleatpick/internal/gate"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
)

// preemptor remembers what was stopped for whom.
type preemptor struct {
	claimed map[*slot]struct{} // machines with claims
	held    map[string]int     // claims by job
	nextRun loop.Micros
	news    []peer.Claim
}

// turnover follows how many CPUs a second fall free on the whole fleet by tasks that
// complete: what is urgent need not stop anything that turnover frees in time. With a
// large fleet that is most of it.
type turnover struct {
	freed float64
	at    loop.Micros
	rate  float64
}

func (o *turnover) tick(now loop.Micros) {
	if dt := float64(now-o.at) / 1e6; o.at != 0 && dt > 0 {
		o.rate += (o.freed/dt - o.rate) * min(dt/5, 1)
	}
	o.freed, o.at = 0, now
}

// withinPatience is how long work within a guarantee waits for turnover before others
// are stopped for it. What is urgent does not wait: it is little, and its limits are short.
const withinPatience = 3 * loop.Second

// rentPatience is how many seconds of turnover are set against misses before machines
// are rented for them: with a large fleet some task has always missed a moment ago.
const rentPatience = 1.0

// mostStops bounds the stops of one pass: each is followed by commands, reports and views.
const mostStops = 64

// addClaim keeps room on a machine for a job.
func (p *Placer) addClaim(c peer.Claim) {
	sl := p.fleet.slots[c.Machine]
	if sl == nil {
		return // nothing is placed here on a machine that was not heard
	}
	sl.Claims = append(sl.Claims, gate.Claim{Job: c.Job, Priority: c.Priority, Until: c.Until,
		Room: agent.Room{CPUs: c.CPUs, GPUs: c.GPUs, MemoryGB: c.MemoryGB}})
	p.pre.claimed[sl] = struct{}{}
	p.pre.held[c.Job]++
}

func (p *Placer) dropClaim(sl *slot, i int) {
	id := sl.Claims[i].Job
	if p.pre.held[id]--; p.pre.held[id] <= 0 {
		delete(p.pre.held, id)
	}
	sl.Claims = append(sl.Claims[:i], sl.Claims[i+1:]...)
	if len(sl.Claims) == 0 {
		delete(p.pre.claimed, sl)
	}
}

// LearnClaims takes in what other owners stopped tasks for.
func (p *Placer) LearnClaims(cs []peer.Claim) {
	for _, c := range cs {
		p.addClaim(c)
		p.stoppedFor(c)
	}
}

// useClaim takes a claim of the job on this machine away, since a task took the room.
func (p *Placer) useClaim(sl *slot, id string) {
	for i := range sl.Claims {
		if sl.Claims[i].Job == id {
			p.dropClaim(sl, i)
			return
		}
	}
}

func (p *Placer) expireClaims() {
	wall := p.r.Wall()
	for sl := range p.pre.claimed {
		for i := len(sl.Claims) - 1; i >= 0; i-- {
			if wall >= sl.Claims[i].Until {
				p.dropClaim(sl, i)
			}
		}
	}
}

// stopping is a task that was asked to stop, and until when that counts.
type stopping struct {
	attempt
	until loop.Micros
}

// isStopping tells whether the task was asked to stop lately.
func (sl *slot) isStopping(t *agent.Task, now loop.Micros) bool {
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
func (p *Placer) mayStop(t *table, s *job.Spec, within bool, excess map[string]float64) bool {
	if s.Service && s.Priority >= t.j.Spec.Priority {
		return false
	}
	if s.Priority < t.j.Spec.Priority {
		return true
	}
	return within && s.Team != t.j.Spec.Team && excess[s.Team] >= s.CPUs
}

// victims lists what may be stopped on a machine, the least loss first.
func (p *Placer) victims(out []victim, t *table, sl *slot, now loop.Micros, within bool, excess map[string]float64) []victim {
	urgent := t.j.Spec.Priority >= job.High
	for i := range sl.V.Tasks {
		x := &sl.V.Tasks[i]
		if x.State != wire.TaskRunning && x.State != wire.TaskFetching {
			continue
		}
		j := sl.jobs[i]
		if j == nil || j.Spec == nil || !p.mayStop(t, j.Spec, within, excess) {
			continue
		}
		if sl.isStopping(x, now) {
			continue
		}
		s := j.Spec
		var ran loop.Micros
		if sl.runs.Since[i] != 0 {
			ran = now - sl.runs.Since[i]
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
		if s.Priority >= t.j.Spec.Priority {
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
	sl   *slot
	set  []victim
	cost float64
}

// optionOn finds the cheapest stops on a machine that make room for a task of the job.
func (p *Placer) optionOn(t *table, sl *slot, now loop.Micros, within bool, excess map[string]float64) (option, bool) {
	s := t.j.Spec
	o := option{sl: sl}
	need := t.need()
	if !sl.Allowed(&need) {
		return o, false
	}
	p.scratch = p.victims(p.scratch[:0], t, sl, now, within, excess)
	if len(p.scratch) == 0 {
		return o, false
	}
	room := sl.Beside(&need)
	if !sl.runs.HasImage(s.Image) {
		o.cost = 20 * s.CPUs
	}
	n := 0
	for n < len(p.scratch) && !room.Fits(s) {
		room.Give(p.scratch[n].spec)
		o.cost += p.scratch[n].loss
		n++
	}
	if n == 0 || !room.Fits(s) {
		return o, false
	}
	o.set = slices.Clone(p.scratch[:n])
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

// preempt makes room for the waiting tasks of a job that found none, and tells for how
// many. The machines are gone through once; only the one that was chosen is looked at
// again.
func (p *Placer) preempt(t *table, want int, within bool, excess map[string]float64) int {
	s := t.j.Spec
	now := p.r.Now()
	after := now - p.staleAfter()
	var all options
	for _, sl := range p.fleet.order {
		if !sl.Open(after, now) {
			continue
		}
		if o, ok := p.optionOn(t, sl, now, within, excess); ok {
			all = append(all, o)
		}
	}
	heap.Init(&all)
	made := 0
	for made < want && len(all) > 0 {
		best := all[0]
		// What was stopped since for this job may have used up another team's excess.
		o, ok := p.optionOn(t, best.sl, now, within, excess)
		if !ok {
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
			p.log.Debug("preempt", "task", y.task.Task, "machine", o.sl.V.Name, "for", t.j.ID, "grace_us", y.grace)
			p.n.Stop(o.sl.V.Host, agent.Stop{Machine: o.sl.V.Name, Task: y.task.Task, Attempt: y.task.Attempt, Grace: y.grace})
		}
		o.sl.Room.Take(s)
		p.fleet.touch(o.sl)
		c := peer.Claim{Machine: o.sl.V.Name, Job: t.j.ID, Priority: int(s.Priority), CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB,
			Until: p.r.Wall() + wait + 4*loop.Second}
		if p.n.Tells {
			for _, y := range o.set {
				c.Victims = append(c.Victims, y.task.Task)
			}
			p.stoppedFor(c)
		}
		p.addClaim(c)
		p.pre.news = append(p.pre.news, c)
		if again, ok := p.optionOn(t, o.sl, now, within, excess); ok {
			all[0] = again
			heap.Fix(&all, 0)
		} else {
			heap.Pop(&all)
		}
	}
	return made
}

// excesses tells how much each other team runs beyond its guarantee.
func (p *Placer) excesses() map[string]float64 {
	out := map[string]float64{}
	for _, c := range p.cfg.Cluster.Teams {
		u := p.usage[c.Name].CPUs
		if tm := p.teams[c.Name]; tm != nil {
			u = tm.cpus
		}
		out[c.Name] = u - c.CPUs
	}
	return out
}

// guaranteed lists the jobs of an owned team that fit into its guarantee together
// with the team's earlier unfinished jobs.
func (p *Placer) guaranteed(tm *team, also *table) map[*table]bool {
	all := make([]*table, 0, len(tm.jobs))
	for _, t := range tm.jobs {
		if !t.j.Final() && (t == also || !p.resting(t)) {
			all = append(all, t)
		}
	}
	sort.Slice(all, func(a, b int) bool {
		if all[a].j.At != all[b].j.At {
			return all[a].j.At < all[b].j.At
		}
		return all[a].j.ID < all[b].j.ID
	})
	out := map[*table]bool{}
	cpus, gpus := 0.0, 0.0
	for _, t := range all {
		n := float64(t.j.Tasks - t.completed)
		cpus += n * t.j.Spec.CPUs
		gpus += n * t.j.Spec.GPUs
		if cpus > tm.cfg.CPUs+1e-9 || gpus > tm.cfg.GPUs+1e-9 {
			break
		}
		out[t] = true
	}
	return out
}
