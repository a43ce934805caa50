package node

import (
	"maps"
	"slices"

	"cleatpick/internal/agent"
	"cleatpick/internal/loop"
)

// waitsBeside is for how long, once all troubles are over, no job is left waiting while one and the
// same machine has room for a task of it all the time, and its team is under its limit.
const waitsBeside = 90 * loop.Second

// beside is what a job could have begun on since a time.
type beside struct {
	since    loop.Micros
	starts   int // of the job, at that time
	machines map[string]bool
}

// checkWaiting looks for jobs that wait beside free room. It judges by what is on the machines, not
// by what any node believes.
func (w *world) checkWaiting() {
	w.at(loop.Second, w.checkWaiting)
	if w.calm == 0 || w.now <= w.calm {
		return
	}
	cpus, memory, on := map[string]float64{}, map[string]float64{}, map[string]int{}
	zones := map[string]map[string]int{}
	for task, m := range w.active {
		id, _, _ := agent.SplitTask(task)
		s := w.jobs[id].spec
		cpus[m] += s.CPUs
		memory[m] += s.MemoryGB
		on[id]++
		if zones[id] == nil {
			zones[id] = map[string]int{}
		}
		zones[id][w.workers[m].w.Zone]++
	}
	for task := range w.doneT {
		if _, is := w.active[task]; !is {
			id, _, _ := agent.SplitTask(task)
			on[id]++
		}
	}
	for _, j := range w.jobs {
		if !j.accepted || j.done || j.asked || j.broken || j.spec.Gang || on[j.id] >= j.spec.Tasks || !w.underLimit(j) {
			j.beside = nil
			continue
		}
		fits := func(name string) bool {
			x := w.workers[name]
			if x.gone || x.hanging || x.deaf || x.mute || x.w.Faulty || !j.spec.AllowsPlace(x.w.Type, x.w.Zone, x.w.Spot) {
				return false
			}
			there := zones[j.id]
			if j.spec.OneZone && len(there) > 0 && there[x.w.Zone] == 0 || j.spec.Spread && there[x.w.Zone] >= (j.spec.Tasks+1)/2 {
				return false
			}
			return cpus[name]+j.spec.CPUs <= x.w.CPUs+1e-9 && memory[name]+j.spec.MemoryGB <= x.w.MemoryGB+1e-9
		}
		b := j.beside
		if b == nil || b.starts != j.starts {
			b = &beside{since: w.now, starts: j.starts, machines: map[string]bool{}}
			for name := range w.workers {
				if fits(name) {
					b.machines[name] = true
				}
			}
		}
		for name := range b.machines {
			if !fits(name) {
				delete(b.machines, name)
			}
		}
		if j.beside = b; len(b.machines) == 0 {
			j.beside = nil
		} else if w.now-b.since > waitsBeside {
			w.fail("waiting: %s, with %d of %d tasks begun or done, waits beside the room on %v since %.3f s", j.id, on[j.id], j.spec.Tasks, slices.Sorted(maps.Keys(b.machines)), float64(b.since)/1e6-3600)
		}
	}
}

// underLimit tells whether the job's team may run one task of it more.
func (w *world) underLimit(j *simJob) bool {
	limit, _ := w.cfg.TeamNamed(j.spec.Team)
	return limit.CPUsMax == 0 || w.teams[j.spec.Team]+j.spec.CPUs <= limit.CPUsMax+1e-9
}
