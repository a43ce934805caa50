package rental

import (
	"maps"
	"slices"

	"cleatpick/internal/job"
	"cleatpick/internal/loop"
)

// hour exceeds any wait that the failure detection considers.
const hour = 3600 * loop.Second

// worth returns a function for how much longer than usual a machine of an unreachable zone is retained.
// Deleting it confirms that its tasks are terminated, and has another machine rented, which must boot and
// fetch images. While the work that waits already would use all capacity available elsewhere, the deletion
// helps nobody before the network partition ends, and costs a boot afterwards. How long the partition lasts
// is not known: waiting for as long as the deletion would cost loses at most twice what knowing it would
// lose.
func (t *Rental) worth() func(*machine) loop.Micros {
	now := t.r.Now()
	dark := map[string]bool{}
	for _, m := range t.machines {
		if _, known := dark[m.zone]; !known {
			if dark[m.zone] = t.n.Unheard(m.zone); dark[m.zone] {
				t.darkAt[m.zone] = now
			}
		}
	}
	back := 2*loop.Seconds(t.cfg.Cluster.Workers.ReportS) + 3*loop.Second
	for zone, at := range t.darkAt {
		if now-at > back {
			delete(t.darkAt, zone)
		}
	}
	if len(t.darkAt) == 0 {
		t.setSparing(false)
		return func(*machine) loop.Micros { return 0 }
	}
	full := !t.elsewhere(dark) && t.crowded(dark)
	t.setSparing(full)
	return func(m *machine) loop.Micros {
		switch _, was := t.darkAt[m.zone]; {
		case was && !dark[m.zone]:
			// After its zone is reachable again, a machine has the time of two reports to show which tasks
			// run on it: what was retained must not be deleted just when its partition ends. A machine that
			// never reported to this leader does not get this time: see judgeBoot.
			return hour
		case was && full && !t.holdsUrgent(m):
			return loop.Seconds(t.byName[m.typ].BootS)
		}
		return 0
	}
}

// setSparing records whether machines in unreachable zones are retained for longer, and logs each change: it
// tells operators why nothing is deleted.
func (t *Rental) setSparing(on bool) {
	if t.sparing == on {
		return
	}
	t.sparing = on
	t.log.Info("retention of machines in unreachable zones changed", "spared", on, "zones", slices.Sorted(maps.Keys(t.darkAt)))
}

// holdsUrgent reports whether urgent tasks were active on a machine in its newest report. Urgent work need
// not queue: once it is confirmed terminated, other work is preempted for it.
func (t *Rental) holdsUrgent(m *machine) bool {
	v := t.agent.View(m.name)
	if v == nil {
		return false
	}
	jobs := t.agent.Jobs(v)
	for i := range v.Tasks {
		if j := jobs[i]; v.Tasks[i].Active() && j != nil && !j.Final() && j.Spec != nil && j.Spec.Priority >= job.High {
			return true
		}
	}
	return false
}

// elsewhere reports whether anything can be rented in a reachable zone, by the cloud's newest answers: an
// offer that was refused counts as refused until it is granted.
func (t *Rental) elsewhere(dark map[string]bool) bool {
	for o := range t.all() {
		if !dark[o.zone] && t.offers[o] == nil && !t.cordoned(o) {
			return true
		}
	}
	return false
}

// crowded reports whether the unplaced requests that could run in reachable zones exceed the largest machine.
// Tasks that a deletion confirms terminated would only queue beside them.
func (t *Rental) crowded(dark map[string]bool) bool {
	most := 0.0
	for _, x := range t.types {
		most = max(most, x.CPUs)
	}
	missed := 0.0
	for _, w := range t.wants() {
		if s := specOf(&w); t.inSight(s, dark) {
			missed += w.CPUs * float64(w.Count)
		}
	}
	return most > 0 && missed > most
}

// inSight reports whether a task may run on some type of machine in a reachable zone.
func (t *Rental) inSight(s *job.Spec, dark map[string]bool) bool {
	for o := range t.all() {
		if !dark[o.zone] && t.takes(o, s) {
			return true
		}
	}
	return false
}
