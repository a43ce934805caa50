package placer

import (
	"sort"

	"cleatpick/internal/agent"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
)

// preemptor remembers what was stopped for whom.
type preemptor struct {
	claims  []peer.Claim
	stopped map[attempt]loop.Micros // task and attempt: asked to stop, and until when that counts
	nextRun loop.Micros
	news    []peer.Claim
}

// runs remembers since when each task of a machine was seen running.
type runs map[string]runSince

type runSince struct {
	attempt uint64
	since   loop.Micros
}

// noteRuns follows a view; what a stop would lose is judged by it.
func (p *Placer) noteRuns(v *agent.View) {
	old := p.runs[v.Name]
	now := p.r.Now()
	fresh := runs{}
	for i := range v.Tasks {
		t := &v.Tasks[i]
		if t.State != wire.TaskRunning {
			continue
		}
		if o, ok := old[t.Task]; ok && o.attempt == t.Attempt {
			fresh[t.Task] = o
		} else {
			fresh[t.Task] = runSince{t.Attempt, now}
		}
	}
	p.runs[v.Name] = fresh
}

// LearnClaims takes in what other owners stopped tasks for.
func (p *Placer) LearnClaims(cs []peer.Claim) {
	p.pre.claims = append(p.pre.claims, cs...)
}

// roomFor is what a machine has free for a job beside the room that is kept for
// other jobs of at least its priority.
func (p *Placer) roomFor(sl *slot, t *table) agent.Room {
	r := sl.room
	for i := range p.pre.claims {
		c := &p.pre.claims[i]
		if c.Machine == sl.v.Name && c.Job != t.j.ID && c.Priority >= int(t.j.Spec.Priority) {
			r.CPUs -= c.CPUs
			r.GPUs -= c.GPUs
			r.MemoryGB -= c.MemoryGB
		}
	}
	return r
}

// useClaim takes a claim of the job on this machine away, since a task took the room.
func (p *Placer) useClaim(machine, id string) {
	for i := range p.pre.claims {
		if c := &p.pre.claims[i]; c.Machine == machine && c.Job == id {
			p.pre.claims = append(p.pre.claims[:i], p.pre.claims[i+1:]...)
			return
		}
	}
}

func (p *Placer) expireClaims() {
	wall, now := p.r.Wall(), p.r.Now()
	kept := p.pre.claims[:0]
	for _, c := range p.pre.claims {
		if wall < c.Until {
			kept = append(kept, c)
		}
	}
	p.pre.claims = kept
	for k, until := range p.pre.stopped {
		if now > until {
			delete(p.pre.stopped, k)
		}
	}
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
func (p *Placer) victims(t *table, v *agent.View, within bool, excess map[string]float64) []victim {
	var out []victim
	now := p.r.Now()
	urgent := t.j.Spec.Priority >= job.High
	for i := range v.Tasks {
		x := &v.Tasks[i]
		if x.State != wire.TaskRunning && x.State != wire.TaskFetching {
			continue
		}
		if _, was := p.pre.stopped[attemptOf(x)]; was {
			continue
		}
		s := p.specOf(x.Task)
		if s == nil || !p.mayStop(t, s, within, excess) {
			continue
		}
		var ran loop.Micros
		if r, ok := p.runs[v.Name][x.Task]; ok && r.attempt == x.Attempt {
			ran = now - r.since
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
	sort.SliceStable(out, func(a, b int) bool { return out[a].loss < out[b].loss })
	return out
}

// attempt names one try of a task.
type attempt struct {
	task string
	no   uint64
}

func attemptOf(t *agent.Task) attempt { return attempt{t.Task, t.Attempt} }

// preempt makes room for the waiting tasks of a job that found none.
func (p *Placer) preempt(t *table, slots []*slot, want int, within bool, excess map[string]float64) {
	for i := range p.pre.claims {
		if p.pre.claims[i].Job == t.j.ID {
			want-- // room for it is being made already
		}
	}
	s := t.j.Spec
	for ; want > 0; want-- {
		var best *slot
		var bestSet []victim
		bestCost := 1e18
		for _, sl := range slots {
			if !allowed(t, sl.v) {
				continue
			}
			room := p.roomFor(sl, t)
			cost := 0.0
			if _, ok := p.images[sl.v.Name][s.Image]; !ok {
				cost = 20 * s.CPUs
			}
			var set []victim
			for _, y := range p.victims(t, sl.v, within, excess) {
				if room.Fits(s) {
					break
				}
				room.Give(y.spec)
				cost += y.loss
				set = append(set, y)
			}
			if len(set) > 0 && room.Fits(s) && cost < bestCost {
				best, bestSet, bestCost = sl, set, cost
			}
		}
		if best == nil {
			return
		}
		wait := loop.Micros(0)
		for _, y := range bestSet {
			wait = max(wait, y.grace)
			excess[y.spec.Team] -= y.spec.CPUs
			best.room.Give(y.spec)
			p.pre.stopped[attemptOf(y.task)] = p.r.Now() + y.grace + 5*loop.Second
			p.log.Debug("preempt", "task", y.task.Task, "machine", best.v.Name, "for", t.j.ID, "grace_us", y.grace)
			p.n.Stop(best.v.Host, agent.Stop{Machine: best.v.Name, Task: y.task.Task, Attempt: y.task.Attempt, Grace: y.grace})
		}
		best.room.Take(s)
		c := peer.Claim{Machine: best.v.Name, Job: t.j.ID, Priority: int(s.Priority), CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB,
			Until: p.r.Wall() + wait + 4*loop.Second}
		p.pre.claims = append(p.pre.claims, c)
		p.pre.news = append(p.pre.news, c)
	}
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
func (p *Placer) guaranteed(tm *team) map[*table]bool {
	all := make([]*table, 0, len(tm.jobs))
	for _, t := range tm.jobs {
		if !t.j.Final() {
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
