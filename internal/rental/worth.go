package rental

import (
	"maps"
	"slices"

	"cleatpick/internal/job"
	"cleatpick/internal/loop"
)

// hour is longer than anything that is waited for here.
const hour = 3600 * loop.Second

// worth tells for how much longer a machine of a zone that is cut off is left alone. Its
// deletion proves its tasks off and has another rented, which boots and fetches images
// anew. Where what waits already would take all that could be had elsewhere, that helps
// nobody before the cut ends, and costs a boot when it does. How long the cut lasts is not
// known: to wait for as long as what the deletion would cost loses at most twice what
// knowing it would have lost.
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
			// In sight again, it has two reports' time to show what lives there: what was
			// spared must not be deleted in the moment in which its cut is over. A machine
			// that this leader never heard has no such time: see judgeBoot.
			return hour
		case was && full && !t.holdsUrgent(m):
			return loop.Seconds(t.byName[m.typ].BootS)
		}
		return 0
	}
}

// setSparing notes whether machines behind a cut are left alone for longer, and tells the
// operators, who otherwise wonder why nothing is deleted.
func (t *Rental) setSparing(on bool) {
	if t.sparing == on {
		return
	}
	t.sparing = on
	t.log.Info("machines behind a cut", "spared", on, "zones", slices.Sorted(maps.Keys(t.darkAt)))
}

// holdsUrgent tells whether urgent work ran on a machine when it was last heard. What is
// urgent need not queue: once it is proven off, other work gives way to it.
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

// elsewhere tells whether anything can be rented in a zone that is in sight, by the
// cloud's last word: what it refused stays refused until it was granted once.
func (t *Rental) elsewhere(dark map[string]bool) bool {
	for o := range t.all() {
		if !dark[o.zone] && t.offers[o] == nil && !t.cordoned(o) {
			return true
		}
	}
	return false
}

// crowded tells whether requests that could be served in sight miss more than the largest
// machine holds. What a deletion proves off would only wait beside them.
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

// inSight tells whether a task may run on some kind of machine in a zone that is in sight.
func (t *Rental) inSight(s *job.Spec, dark map[string]bool) bool {
	for o := range t.all() {
		if !dark[o.zone] && t.takes(o, s) {
			return true
		}
	}
	return false
}
