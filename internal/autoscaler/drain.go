package autoscaler

import (
	"sort"
	"strings"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/fleet"
	"cleatpick/internal/job"
	"cleatpick/internal/peer"
	"cleatpick/internal/predicate"
	"cleatpick/internal/workers"
)

const (
	// freeFraction is the free capacity, as a fraction of the capacity in use, that is kept for upcoming work
	// before a machine counts as not needed.
	freeFraction = 0.2
	// maxWaitBesideFree is how long a request may wait although there seems to be free capacity for it. After that
	// draining machines are returned to use for it as if there were none: its owner has some reason not to use that
	// capacity which is not known here.
	maxWaitBesideFree = 30 * eventloop.Second
	// requestGap is for how long a request may be missing without counting as a new one.
	requestGap = 4 * eventloop.Second
)

// drainCandidate is a machine with its usage and price.
type drainCandidate struct {
	m    *machine
	v    *workers.View
	used float64
	free workers.Capacity
	cost float64 // price per CPU
}

// drainUnneeded drains machines whose capacity is not needed. Such a machine would become empty only when the last of its
// tasks ends, which takes long. After a separate standby time it takes no more starts, and tasks that can save their
// state move away. A draining machine is returned to use when a request waits that fits on it and for which there is no
// other capacity, and when the sum of the free capacity falls short; in both cases as many as are needed and no
// more: with many jobs there are always some new requests, and returning all draining machines for them kept a third of
// the machines idle.
func (a *Autoscaler) drainUnneeded(now eventloop.Micros) {
	if now-a.drainCheckedAt < eventloop.Second {
		return
	}
	a.drainCheckedAt = now
	all := a.drainCandidates()
	requests := a.requests()
	a.trackRequests(requests, now)
	a.returnForRequests(all, requests, now)
	free, used, wanted := 0.0, 0.0, 0.0
	for _, w := range requests {
		wanted += w.CPUs * float64(w.Count)
	}
	for _, x := range all {
		used += x.used
		if x.m.state == Up {
			free += x.free.CPUs
		} else {
			free -= x.used // its tasks need capacity elsewhere
		}
	}
	need := freeFraction*used + wanted
	// The cheapest and fullest draining machines are returned to use first.
	for i := len(all) - 1; i >= 0 && free < need; i-- {
		if x := all[i]; x.m.state == Draining {
			free += x.free.CPUs + x.used
			a.returnToUse(x)
		}
	}
	a.drain(all, free-need, now)
}

// drainCandidates lists the machines in use or draining, the most expensive and, among those, the emptiest first.
func (a *Autoscaler) drainCandidates() (all []drainCandidate) {
	for _, m := range a.sorted() {
		typ, ok := a.byName[m.typ]
		v := a.workers.View(m.name)
		if !ok || v == nil || v.NoticeAt != 0 || (m.state != Up && m.state != Draining) {
			continue
		}
		left, ok := a.workers.FreeCapacity(v, typ)
		if !ok {
			continue
		}
		x := drainCandidate{m, v, typ.CPUs - left.CPUs, left, typ.Price / typ.CPUs}
		if m.spot {
			x.cost = typ.SpotPrice / typ.CPUs
		}
		all = append(all, x)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].cost != all[j].cost {
			return all[i].cost > all[j].cost
		}
		if all[i].used != all[j].used {
			return all[i].used < all[j].used
		}
		return all[i].m.name < all[j].m.name
	})
	return all
}

// drain drains machines in use whose standby time is over, as far as the spare capacity, in CPUs, allows and their movable
// tasks fit on other machines.
func (a *Autoscaler) drain(all []drainCandidate, spare float64, now eventloop.Micros) {
	var targets *moveTargets
	for _, x := range all {
		if x.m.state != Up || x.used == 0 {
			continue
		}
		if spare < x.free.CPUs+x.used {
			x.m.drainAt = 0
			continue
		}
		spare -= x.free.CPUs + x.used
		if x.m.drainAt == 0 {
			x.m.drainAt = now + a.standby(x.m)
			continue
		}
		if now <= x.m.drainAt {
			continue
		}
		if targets == nil {
			targets = newMoveTargets(all)
		}
		if !targets.moveAway(x, a.workers.Jobs(x.v)) {
			x.m.drainAt = 0
			continue
		}
		a.setState(x.m, Draining, "not needed")
	}
}

// returnToUse lets a draining machine accept starts again.
func (a *Autoscaler) returnToUse(x drainCandidate) {
	x.m.drainAt = 0
	a.setState(x.m, Up, "needed again")
	a.deps.Close(x.v.Host, peer.StartBlock{Machine: x.m.name})
}

// returnForRequests returns draining machines to use for the requests that fit on them and for which there is no other
// capacity: neither free on a machine in use nor expected soon. The cheapest and fullest machines come first.
func (a *Autoscaler) returnForRequests(all []drainCandidate, requests []peer.Request, now eventloop.Micros) {
	var draining []drainCandidate
	var closed []*expectedMachine
	open := expectedCapacity{machines: a.expectedMachines(), exhausted: map[fleet.Shape]int{}}
	for i := len(all) - 1; i >= 0; i-- {
		c := &expectedMachine{offer{all[i].m.typ, all[i].m.zone, all[i].m.spot}, all[i].free}
		if all[i].m.state == Draining {
			draining, closed = append(draining, all[i]), append(closed, c)
		} else if !all[i].v.ClosedToStarts {
			open.machines = append(open.machines, c)
		}
	}
	if len(draining) == 0 {
		return
	}
	returned := make([]bool, len(draining))
	for i := range requests {
		need, left := needOf(&requests[i]), requests[i].Count
		if now-a.requestedSince[keyOf(&requests[i])].since < maxWaitBesideFree {
			left = open.place(need, left)
		}
		for k := 0; k < len(draining) && left > 0; k++ {
			if took := closed[k].place(need, left); took > 0 {
				left -= took
				returned[k] = true
			}
		}
	}
	for k, x := range draining {
		if returned[k] {
			a.returnToUse(x)
		}
	}
}

// moveTargets is the free capacity of the machines in use, as far as tasks that move away do not take it.
type moveTargets struct {
	capacity expectedCapacity
	byName   map[string]*expectedMachine
}

// newMoveTargets returns the free capacity of the machines in use among the candidates.
func newMoveTargets(all []drainCandidate) *moveTargets {
	t := &moveTargets{capacity: expectedCapacity{exhausted: map[fleet.Shape]int{}}, byName: map[string]*expectedMachine{}}
	for _, x := range all {
		if x.m.state == Up {
			c := &expectedMachine{offer{x.m.typ, x.m.zone, x.m.spot}, x.free}
			t.byName[x.m.name] = c
			t.capacity.machines = append(t.capacity.machines, c)
		}
	}
	return t
}

// moveAway reports whether all tasks of a machine that move away when it drains fit on others, and assigns them there.
// Tasks that cannot save their state stay until they end.
func (t *moveTargets) moveAway(x drainCandidate, jobs []*job.Job) bool {
	t.byName[x.m.name].capacity = workers.Capacity{}
	for i := range x.v.Tasks {
		j := jobs[i]
		if !x.v.Tasks[i].Active() || j == nil || j.Spec == nil || j.Final() || j.Spec.Checkpoint <= 0 {
			continue
		}
		if t.capacity.place(&predicate.Need{Spec: moveSpec(j.Spec, x.m.zone), Tasks: j.Tasks}, 1) > 0 {
			return false
		}
	}
	return true
}

// moveSpec returns what a task needs of another machine. Of a job whose tasks must be in one zone, it stays in its zone.
func moveSpec(s *job.Spec, zone string) *job.Spec {
	if !s.OneZone {
		return s
	}
	bound := *s
	bound.Zone = zone
	return &bound
}

// requestKey identifies requests for alike tasks.
type requestKey struct {
	cpus, gpus, memoryGB float64
	types, zone          string
	anyType, spot        bool
	oneZone, spread      bool
}

// requestTimes are when a request first arrived, without a gap since, and when it last did.
type requestTimes struct{ since, last eventloop.Micros }

func keyOf(w *peer.Request) requestKey {
	return requestKey{w.CPUs, w.GPUs, w.MemoryGB, strings.Join(w.Types, " "), w.Zone, w.AnyType, w.Spot, w.OneZone, w.Spread}
}

// trackRequests records since when each request has been waiting.
func (a *Autoscaler) trackRequests(requests []peer.Request, now eventloop.Micros) {
	for i := range requests {
		key := keyOf(&requests[i])
		times, known := a.requestedSince[key]
		if !known {
			times.since = now
		}
		times.last = now
		a.requestedSince[key] = times
	}
	for key, times := range a.requestedSince {
		if now-times.last > requestGap {
			delete(a.requestedSince, key)
		}
	}
}
