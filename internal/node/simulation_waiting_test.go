package node

import (
	"maps"
	"slices"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/workers"
)

// maxWaitWithCapacity is for how long, after the last fault, a job may wait while the same machine has free capacity
// for one of its tasks all the time and its team is under its limit.
const maxWaitWithCapacity = 90 * eventloop.Second

// unusedCapacity holds the machines on which a job could have started a task all the time since a given one.
type unusedCapacity struct {
	since    eventloop.Micros
	starts   int // of the job, at that time
	machines map[string]bool
}

// checkWaiting fails if a job waits although there is free capacity for it. It uses what actually runs on the
// machines, not what any controller knows.
func (w *simulation) checkWaiting() {
	w.after(eventloop.Second, w.checkWaiting)
	if w.faultsEndAt == 0 || w.now <= w.faultsEndAt {
		return
	}
	cpus, memory, on := map[string]float64{}, map[string]float64{}, map[string]int{}
	zones := map[string]map[string]int{}
	for task, m := range w.running {
		id, _, _ := workers.SplitTask(task)
		s := w.jobs[id].spec
		cpus[m] += s.CPUs
		memory[m] += s.MemoryGB
		on[id]++
		if zones[id] == nil {
			zones[id] = map[string]int{}
		}
		zones[id][w.workers[m].w.Zone]++
	}
	for task := range w.completed {
		if _, is := w.running[task]; !is {
			id, _, _ := workers.SplitTask(task)
			on[id]++
		}
	}
	for _, j := range w.jobs {
		if !j.accepted || j.done || j.cancelRequested || j.broken || j.spec.Gang || on[j.id] >= j.spec.Tasks || !w.underLimit(j) {
			j.unusedCapacity = nil
			continue
		}
		fits := func(name string) bool {
			x := w.workers[name]
			if x.deleted || x.hanging || x.unresponsive || x.cannotReport || x.w.Faulty || !j.spec.AllowsPlace(x.w.Type, x.w.Zone, x.w.Spot) {
				return false
			}
			there := zones[j.id]
			if j.spec.OneZone && len(there) > 0 && there[x.w.Zone] == 0 || j.spec.Spread && there[x.w.Zone] >= (j.spec.Tasks+1)/2 {
				return false
			}
			return cpus[name]+j.spec.CPUs <= x.w.CPUs+1e-9 && memory[name]+j.spec.MemoryGB <= x.w.MemoryGB+1e-9
		}
		b := j.unusedCapacity
		if b == nil || b.starts != j.starts {
			b = &unusedCapacity{since: w.now, starts: j.starts, machines: map[string]bool{}}
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
		if j.unusedCapacity = b; len(b.machines) == 0 {
			j.unusedCapacity = nil
		} else if w.now-b.since > maxWaitWithCapacity {
			w.fail("waiting: %s, with %d of %d tasks running or done, waits although %v have had free capacity since %.3f s", j.id, on[j.id], j.spec.Tasks, slices.Sorted(maps.Keys(b.machines)), float64(b.since)/1e6-3600)
		}
	}
}

// underLimit reports whether the job's team may run one more task of it.
func (w *simulation) underLimit(j *simJob) bool {
	limit, _ := w.cfg.FindTeam(j.spec.Team)
	return limit.CPUsMax == 0 || w.cpusInUse[j.spec.Team]+j.spec.CPUs <= limit.CPUsMax+1e-9
}
