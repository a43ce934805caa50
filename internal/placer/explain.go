package placer

import (
	"cmp"
	"fmt"
	"slices"

	"cleatpick/internal/agent"
	"cleatpick/internal/cordon"
	"cleatpick/internal/explain"
	"cleatpick/internal/fleet"
	"cleatpick/internal/gate"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
)

// Facts gathers why the tasks of a job do not run. ok is false when its team is not
// loaded here; the job then has no table.
func (p *Placer) Facts(id string, types []wire.MachineType, contact bool) (f *explain.Facts, ok bool) {
	j := p.registry.Get(id)
	if j == nil || j.Spec == nil {
		return nil, false
	}
	tm := p.teams[j.Spec.Team]
	if tm == nil || !tm.loaded {
		return nil, false
	}
	now := p.r.Now()
	t := tm.jobs[id]
	if t == nil { // it is over, or was learnt a moment ago
		return &explain.Facts{Job: j, Gate: gate.Job{Spec: j.Spec, Hold: &j.Terms.Hold}, Need: gate.Need{ID: id, Spec: j.Spec, Tasks: j.Tasks}, Team: tm.cfg, Contact: contact, Sure: true,
			Now: now, Wall: p.r.Wall()}, true
	}
	p.fleet.Refresh()
	f = &explain.Facts{Job: j, Gate: p.facts(t), Need: t.need(), Team: tm.cfg, Contact: contact, Sure: true, Now: now, Wall: p.r.Wall(),
		After: now - p.staleAfter(), Running: t.running, Done: t.completed}
	f.Gate.Now, f.Gate.Wall = f.Now, f.Wall
	if n := f.Gate.Waiting; n > 0 && !j.Final() {
		f.Places = make([]*gate.Place, len(p.fleet.All()))
		for i, sl := range p.fleet.All() {
			f.Places[i] = &sl.Place
		}
		f.Fits = p.fleet.Trial(t.need(), n, p.fleet.All())
		f.FitsAll = p.trialUncordoned(t, n)
		f.Barred, f.Cordons = p.barring(j.Spec, types)
		p.ahead(f, t, types)
	}
	f.Flights = p.flights(t, f.After)
	f.Stopped, f.Held = t.stopped, p.fleet.Held(t.j.ID)
	return f, true
}

// trialUncordoned is trial as it would be if no cordon were there.
func (p *Placer) trialUncordoned(t *table, n int) int {
	if !p.cordons.Any() {
		return p.fleet.Trial(t.need(), n, p.fleet.All())
	}
	return p.fleet.Take(t.need(), n, p.fleet.Copies(true))
}

// barring tells whether cordons bar every place that the job allows, and names those
// that bar any.
func (p *Placer) barring(s *job.Spec, types []wire.MachineType) (all bool, names []string) {
	if len(p.cordons.All()) == 0 {
		return false, nil
	}
	seen := map[string]bool{}
	note := func(at cordon.Place) bool {
		by := p.cordons.Barring(at)
		for _, n := range by {
			seen[n] = true
		}
		return len(by) > 0
	}
	all = len(types) > 0
	for _, typ := range types {
		for _, zone := range typ.Zones {
			for _, spot := range []bool{true, false} {
				if s.AllowsPlace(typ.Name, zone, spot) && fitsType(s, &typ) && !note(cordon.Place{Type: typ.Name, Zone: zone, Spot: spot}) {
					all = false
				}
			}
		}
	}
	for _, sl := range p.fleet.All() {
		if sl.Cordoned && s.AllowsPlace(sl.V.Type, sl.V.Zone, sl.V.Spot) {
			note(fleet.Where(sl.V))
		}
	}
	for n := range seen {
		names = append(names, n)
	}
	slices.Sort(names)
	return all, names
}

func fitsType(s *job.Spec, t *wire.MachineType) bool {
	return s.CPUs <= t.CPUs && s.GPUs <= t.GPUs && s.MemoryGB <= t.MemoryGB
}

// flights groups the tasks that are neither waiting nor running, by machine and state.
func (p *Placer) flights(t *table, after loop.Micros) []explain.Flight {
	type key struct {
		kind    gate.Kind
		state   string
		machine string
	}
	groups := map[key]*explain.Flight{}
	now, wall := p.r.Now(), p.r.Wall()
	t.each(func(i int, x *task) {
		if !x.inUse() {
			return
		}
		k, state, since := p.flight(t, i, x, after, wall)
		if k == 0 {
			return
		}
		at := key{k, state, x.machine}
		g := groups[at]
		if g == nil {
			g = &explain.Flight{Kind: k, State: state, Machine: x.machine}
			switch {
			case k == gate.Saving:
				g.For = t.stopped[x.machine]
			case state == "absent":
				left := loop.Duration(max(p.clock.LatestArrival(x.expiry)-wall, 0))
				g.Settles = fmt.Sprintf("a new session of its worker, the machine's deletion, or a task list made later than %v from now that its host vouches for", left)
			case k == gate.Unproven:
				g.Settles = "a report of the machine, or its deletion by the cloud"
			}
			groups[at] = g
		}
		g.Tasks++
		if since != 0 {
			if s := wall - now + since; g.Since == 0 || s < g.Since {
				g.Since = s
			}
		}
	})
	out := make([]explain.Flight, 0, len(groups))
	for _, g := range groups {
		out = append(out, *g)
	}
	slices.SortFunc(out, func(a, b explain.Flight) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Machine, b.Machine), cmp.Compare(a.State, b.State))
	})
	return out
}

// flight tells what a task in use does other than run; kind 0 when it runs.
func (p *Placer) flight(t *table, i int, x *task, after, wall loop.Micros) (k gate.Kind, state string, since loop.Micros) {
	if x.state == Recording {
		return gate.Recording, "recording", x.chosen
	}
	v, sl := p.agent.View(x.machine), p.fleet.Slot(x.machine)
	switch {
	case v == nil || sl == nil:
		return gate.Unproven, "neverHeard", 0
	case sl.Heard < after:
		return gate.Unproven, "silent", sl.Heard
	case x.running:
		return 0, "", 0
	}
	e := v.Find(t.name(i), x.attempt)
	switch {
	case e == nil && v.Holds(t.name(i), x.attempt):
		return gate.Starting, "atItsHost", x.sentAt
	case e == nil && !x.seen && wall < p.clock.LatestArrival(x.expiry):
		return gate.Starting, "sent", x.sentAt
	case e == nil:
		return gate.Unproven, "absent", x.sentAt
	case e.State == wire.TaskFetching:
		return gate.Fetching, "fetching", x.sentAt
	case e.State == wire.TaskSaving:
		return gate.Saving, "saving", x.stopAt
	}
	return 0, "", 0
}

// causes are the kinds that hold for a job now, as far as the newest pass and the views
// tell without looking at all machines again.
func (p *Placer) causes(t *table, out []gate.Cause, after, wall loop.Micros) []gate.Cause {
	f := p.facts(t)
	out = f.Causes(out)
	if f.Waiting > 0 && t.short != 0 && f.Open() {
		out = append(out, gate.Cause{Kind: t.short, Tasks: f.Waiting})
	}
	if t.inUse <= t.running {
		return out
	}
	var n [gate.Recheck]int
	t.each(func(i int, x *task) {
		if x.inUse() && !x.running {
			k, _, _ := p.flight(t, i, x, after, wall)
			n[k]++
		}
	})
	for _, k := range []gate.Kind{gate.Recording, gate.Starting, gate.Fetching, gate.Saving, gate.Unproven} {
		if n[k] > 0 {
			out = append(out, gate.Cause{Kind: k, Tasks: n[k]})
		}
	}
	return out
}

// Causes are told again a few times, since a frame may be lost, and a peer drops what it
// hears of a job whose record has not reached it yet; then rarely, for peers that began
// anew.
const (
	tellAgain  = 5 * loop.Second
	tellOften  = 2
	tellRarely = 30 * loop.Second
)

// newCauses brings a job's causes up to date, and tells whether they differ in kind, or
// by half in number, from those last told, or are to be told again.
func (p *Placer) newCauses(t *table, after, wall loop.Micros) bool {
	var room [gate.Recheck]gate.Cause
	now := p.causes(t, room[:0], after, wall)
	same := len(now) == len(t.causes)
	for i := 0; same && i < len(now); i++ {
		a, b := now[i], t.causes[i]
		same = a.Kind == b.Kind && 2*a.Tasks <= 3*b.Tasks && 2*b.Tasks <= 3*a.Tasks
	}
	if !same {
		t.toldTimes = 0
	}
	wait := tellAgain
	if t.toldTimes > tellOften {
		wait = tellRarely
	}
	if same && (wall-t.toldAt < wait || (t.toldTimes > tellOften && len(now) == 0)) {
		return false
	}
	t.toldAt = wall
	t.toldTimes++
	t.causes = slices.Clone(now)
	return true
}

// setShort notes by which gate of the machines a job's tasks found no room in a pass.
func (p *Placer) setShort(t *table, missing bool) {
	if !p.n.Tells {
		return
	}
	now := p.r.Now()
	switch {
	case !missing:
		t.short = 0
	case t.j.Spec.Gang:
		t.short = gate.Gang
	case p.cordons.Any():
		// Going through the fleet once more for each job is dear: now and then will do.
		if t.short == 0 || now-t.shortAt > loop.Second {
			t.short, t.shortAt = gate.Room, now
			if p.trialUncordoned(t, 1) > 0 {
				t.short = gate.Cordon
			}
		}
	default:
		t.short = gate.Room
	}
}

// Owns tells whether the team is owned and loaded here.
func (p *Placer) Owns(team string) bool { return p.teams[team] != nil && p.teams[team].loaded }

// Places calls f for every machine heard; a machine not heard since after takes no starts.
func (p *Placer) Places(f func(pl *gate.Place, after loop.Micros)) {
	p.fleet.Refresh()
	after := p.r.Now() - p.staleAfter()
	for _, sl := range p.fleet.All() {
		f(&sl.Place, after)
	}
}

// Unseen counts the tasks of owned teams that were chosen or recorded for machines behind
// the cordon and have not been seen running: they may still begin.
func (p *Placer) Unseen(name string) int {
	n := 0
	for machine, on := range p.on {
		sl := p.fleet.Slot(machine)
		if sl == nil || !slices.Contains(p.cordons.Barring(fleet.Where(sl.V)), name) {
			continue
		}
		for r := range on.all {
			if r.t.task(r.i).since == 0 {
				n++
			}
		}
	}
	return n
}

// mostStopped bounds what is remembered of a job's stopped tasks.
const mostStopped = 64

// stoppedFor remembers for which job a task of this owner was stopped.
func (p *Placer) stoppedFor(c peer.Reservation) {
	for _, name := range c.Victims {
		id, _, ok := agent.SplitTask(name)
		j := p.registry.Get(id)
		if !ok || j == nil || j.Spec == nil {
			continue
		}
		if tm := p.teams[j.Spec.Team]; tm != nil && tm.jobs[id] != nil {
			t := tm.jobs[id]
			if t.stopped == nil || len(t.stopped) >= mostStopped {
				t.stopped = map[string]string{}
			}
			t.stopped[c.Machine] = c.Job
		}
	}
}
