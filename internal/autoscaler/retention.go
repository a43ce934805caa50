package autoscaler

import (
	"maps"
	"slices"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
)

// unbounded exceeds any wait that the failure detection considers.
const unbounded = 3600 * eventloop.Second

// retention returns a function for how much longer than usual a machine of an unreachable zone is retained.
// Deleting it confirms that its tasks are terminated, and has another machine rented, which must boot and
// fetch images. While the work that waits already would use all capacity available elsewhere, the deletion
// starts no task before the network partition ends, and costs a boot afterwards. How long the partition lasts
// is not known: waiting for as long as the deletion would cost loses at most twice what knowing it would
// lose.
func (a *Autoscaler) retention() func(*machine) eventloop.Micros {
	now := a.runner.Now()
	unreachable := map[string]bool{}
	for _, m := range a.machines {
		if _, known := unreachable[m.zone]; !known {
			if unreachable[m.zone] = a.deps.PeerUnreachable(m.zone); unreachable[m.zone] {
				a.unreachableAt[m.zone] = now
			}
		}
	}
	back := 2*eventloop.Seconds(a.cfg.Cluster.Workers.ReportS) + 3*eventloop.Second
	for zone, at := range a.unreachableAt {
		if now-at > back {
			delete(a.unreachableAt, zone)
		}
	}
	if len(a.unreachableAt) == 0 {
		a.setRetaining(false)
		return func(*machine) eventloop.Micros { return 0 }
	}
	full := !a.offerElsewhere(unreachable) && a.demandExceedsMachine(unreachable)
	a.setRetaining(full)
	return func(m *machine) eventloop.Micros {
		switch _, was := a.unreachableAt[m.zone]; {
		case was && !unreachable[m.zone]:
			// After its zone is reachable again, a machine has the time of two reports to show which tasks
			// run on it: what was retained must not be deleted just when its partition ends. A machine that
			// never reported to this leader does not get this time: see checkBoot.
			return unbounded
		case was && full && !a.runsUrgentTasks(m):
			return eventloop.Seconds(a.byName[m.typ].BootS)
		}
		return 0
	}
}

// setRetaining records whether machines in unreachable zones are retained for longer, and logs each change: it
// tells operators why nothing is deleted.
func (a *Autoscaler) setRetaining(on bool) {
	if a.retaining == on {
		return
	}
	a.retaining = on
	a.log.Info("retention of machines in unreachable zones changed", "spared", on, "zones", slices.Sorted(maps.Keys(a.unreachableAt)))
}

// runsUrgentTasks reports whether urgent tasks were active on a machine in its newest report. Urgent work need
// not queue: once it is confirmed terminated, other work is preempted for it.
func (a *Autoscaler) runsUrgentTasks(m *machine) bool {
	v := a.workers.View(m.name)
	if v == nil {
		return false
	}
	jobs := a.workers.Jobs(v)
	for i := range v.Tasks {
		if j := jobs[i]; v.Tasks[i].Active() && j != nil && !j.Final() && j.Spec != nil && j.Spec.Priority >= job.High {
			return true
		}
	}
	return false
}

// offerElsewhere reports whether anything can be rented in a reachable zone, by the cloud's newest answers: an
// offer that was refused counts as refused until it is granted.
func (a *Autoscaler) offerElsewhere(unreachable map[string]bool) bool {
	for o := range a.allOffers() {
		if !unreachable[o.zone] && a.offers[o] == nil && !a.cordoned(o) {
			return true
		}
	}
	return false
}

// demandExceedsMachine reports whether the unplaced requests that could run in reachable zones exceed the
// largest machine. Tasks that a deletion confirms terminated would only wait together with them.
func (a *Autoscaler) demandExceedsMachine(unreachable map[string]bool) bool {
	most := 0.0
	for _, x := range a.types {
		most = max(most, x.CPUs)
	}
	unplaced := 0.0
	for _, w := range a.requests() {
		if s := specOf(&w); a.fitsReachableZone(s, unreachable) {
			unplaced += w.CPUs * float64(w.Count)
		}
	}
	return most > 0 && unplaced > most
}

// fitsReachableZone reports whether a task may run on some type of machine in a reachable zone.
func (a *Autoscaler) fitsReachableZone(s *job.Spec, unreachable map[string]bool) bool {
	for o := range a.allOffers() {
		if !unreachable[o.zone] && a.fitsOffer(o, s) {
			return true
		}
	}
	return false
}
