package rental

import (
	"maps"
	"slices"

	"cleatpick/internal/job"
	"cleatpick/internal/loop"
)

// unbounded exceeds any wait that the failure detection considers.
const unbounded = 3600 * loop.Second

// retention returns a function for how much longer than usual a machine of an unreachable zone is retained.
// Deleting it confirms that its tasks are terminated, and has another machine rented, which must boot and
// fetch images. While the work that waits already would use all capacity available elsewhere, the deletion
// starts no task before the network partition ends, and costs a boot afterwards. How long the partition lasts
// is not known: waiting for as long as the deletion would cost loses at most twice what knowing it would
// lose.
func (t *Autoscaler) retention() func(*machine) loop.Micros {
	now := t.runner.Now()
	unreachable := map[string]bool{}
	for _, m := range t.machines {
		if _, known := unreachable[m.zone]; !known {
			if unreachable[m.zone] = t.deps.PeerUnreachable(m.zone); unreachable[m.zone] {
				t.unreachableAt[m.zone] = now
			}
		}
	}
	back := 2*loop.Seconds(t.cfg.Cluster.Workers.ReportS) + 3*loop.Second
	for zone, at := range t.unreachableAt {
		if now-at > back {
			delete(t.unreachableAt, zone)
		}
	}
	if len(t.unreachableAt) == 0 {
		t.setRetaining(false)
		return func(*machine) loop.Micros { return 0 }
	}
	full := !t.offerElsewhere(unreachable) && t.demandExceedsMachine(unreachable)
	t.setRetaining(full)
	return func(m *machine) loop.Micros {
		switch _, was := t.unreachableAt[m.zone]; {
		case was && !unreachable[m.zone]:
			// After its zone is reachable again, a machine has the time of two reports to show which tasks
			// run on it: what was retained must not be deleted just when its partition ends. A machine that
			// never reported to this leader does not get this time: see checkBoot.
			return unbounded
		case was && full && !t.runsUrgentTasks(m):
			return loop.Seconds(t.byName[m.typ].BootS)
		}
		return 0
	}
}

// setRetaining records whether machines in unreachable zones are retained for longer, and logs each change: it
// tells operators why nothing is deleted.
func (t *Autoscaler) setRetaining(on bool) {
	if t.retaining == on {
		return
	}
	t.retaining = on
	t.log.Info("retention of machines in unreachable zones changed", "spared", on, "zones", slices.Sorted(maps.Keys(t.unreachableAt)))
}

// runsUrgentTasks reports whether urgent tasks were active on a machine in its newest report. Urgent work need
// not queue: once it is confirmed terminated, other work is preempted for it.
func (t *Autoscaler) runsUrgentTasks(m *machine) bool {
	v := t.workers.View(m.name)
	if v == nil {
		return false
	}
	jobs := t.workers.Jobs(v)
	for i := range v.Tasks {
		if j := jobs[i]; v.Tasks[i].Active() && j != nil && !j.Final() && j.Spec != nil && j.Spec.Priority >= job.High {
			return true
		}
	}
	return false
}

// offerElsewhere reports whether anything can be rented in a reachable zone, by the cloud's newest answers: an
// offer that was refused counts as refused until it is granted.
func (t *Autoscaler) offerElsewhere(unreachable map[string]bool) bool {
	for o := range t.allOffers() {
		if !unreachable[o.zone] && t.offers[o] == nil && !t.cordoned(o) {
			return true
		}
	}
	return false
}

// demandExceedsMachine reports whether the unplaced requests that could run in reachable zones exceed the
// largest machine. Tasks that a deletion confirms terminated would only wait together with them.
func (t *Autoscaler) demandExceedsMachine(unreachable map[string]bool) bool {
	most := 0.0
	for _, x := range t.types {
		most = max(most, x.CPUs)
	}
	unplaced := 0.0
	for _, w := range t.requests() {
		if s := specOf(&w); t.fitsReachableZone(s, unreachable) {
			unplaced += w.CPUs * float64(w.Count)
		}
	}
	return most > 0 && unplaced > most
}

// fitsReachableZone reports whether a task may run on some type of machine in a reachable zone.
func (t *Autoscaler) fitsReachableZone(s *job.Spec, unreachable map[string]bool) bool {
	for o := range t.allOffers() {
		if !unreachable[o.zone] && t.fitsOffer(o, s) {
			return true
		}
	}
	return false
}
