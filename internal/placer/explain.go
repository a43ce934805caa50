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

// Facts collects why the tasks of a job do not run. ok is false if the job's team is not owned and loaded here.
func (p *Scheduler) Facts(id string, types []wire.MachineType, contact bool) (f *explain.Facts, ok bool) {
	j := p.registry.Get(id)
	if j == nil || j.Spec == nil {
		return nil, false
	}
	tm := p.teams[j.Spec.Team]
	if tm == nil || !tm.loaded {
		return nil, false
	}
	now := p.runner.Now()
	t := tm.jobs[id]
	if t == nil { // it is finished, or was received only just now
		return &explain.Facts{Job: j, JobFacts: gate.JobFacts{Spec: j.Spec, Hold: &j.Terms.Hold}, Need: gate.Need{ID: id, Spec: j.Spec, Tasks: j.Tasks}, Team: tm.cfg, StateContact: contact, AheadComplete: true,
			Now: now, Wall: p.runner.Wall()}, true
	}
	p.fleet.Refresh()
	f = &explain.Facts{Job: j, JobFacts: p.facts(t), Need: t.need(), Team: tm.cfg, StateContact: contact, AheadComplete: true, Now: now, Wall: p.runner.Wall(),
		ReportedAfter: now - p.staleAfter(), Running: t.running, Done: t.completed}
	f.JobFacts.Now, f.JobFacts.Wall = f.Now, f.Wall
	if n := f.JobFacts.Waiting; n > 0 && !j.Final() {
		f.Machines = make([]*gate.MachineFacts, len(p.fleet.All()))
		for i, sl := range p.fleet.All() {
			f.Machines[i] = &sl.MachineFacts
		}
		f.Fits = p.fleet.CountFitting(t.need(), n, p.fleet.All())
		f.FitsAll = p.fitsUncordoned(t, n)
		f.AllCordoned, f.Cordons = p.blockingCordons(j.Spec, types)
		p.jobsAhead(f, t, types)
	}
	f.InFlight = p.tasksInFlight(t, f.ReportedAfter)
	f.PreemptedFor, f.Reserved = t.preemptedFor, p.fleet.ReservationCount(t.job.ID)
	return f, true
}

// fitsUncordoned returns how many of n tasks would fit if there were no cordons.
func (p *Scheduler) fitsUncordoned(t *jobTable, n int) int {
	if !p.cordons.Any() {
		return p.fleet.CountFitting(t.need(), n, p.fleet.All())
	}
	return p.fleet.PlaceOnCopies(t.need(), n, p.fleet.Copies(true))
}

// blockingCordons reports whether cordons block every place that the job allows, and names the cordons that block any.
func (p *Scheduler) blockingCordons(s *job.Spec, types []wire.MachineType) (all bool, names []string) {
	if len(p.cordons.All()) == 0 {
		return false, nil
	}
	seen := map[string]bool{}
	addBlocking := func(at cordon.Place) bool {
		by := p.cordons.Blocking(at)
		for _, n := range by {
			seen[n] = true
		}
		return len(by) > 0
	}
	all = len(types) > 0
	for _, typ := range types {
		for _, zone := range typ.Zones {
			for _, spot := range []bool{true, false} {
				if s.AllowsPlace(typ.Name, zone, spot) && fitsType(s, &typ) && !addBlocking(cordon.Place{Type: typ.Name, Zone: zone, Spot: spot}) {
					all = false
				}
			}
		}
	}
	for _, sl := range p.fleet.All() {
		if sl.Cordoned && s.AllowsPlace(sl.View.Type, sl.View.Zone, sl.View.Spot) {
			addBlocking(fleet.CordonPlace(sl.View))
		}
	}
	for n := range seen {
		names = append(names, n)
	}
	slices.Sort(names)
	return all, names
}

// fitsType reports whether a task fits on an empty machine of the type.
func fitsType(s *job.Spec, t *wire.MachineType) bool {
	return s.CPUs <= t.CPUs && s.GPUs <= t.GPUs && s.MemoryGB <= t.MemoryGB
}

// tasksInFlight groups the tasks that are neither waiting nor running by machine and state.
func (p *Scheduler) tasksInFlight(t *jobTable, after loop.Micros) []explain.InFlight {
	type key struct {
		kind    gate.Kind
		state   string
		machine string
	}
	groups := map[key]*explain.InFlight{}
	now, wall := p.runner.Now(), p.runner.Wall()
	t.each(func(i int, x *task) {
		if !x.inUse() {
			return
		}
		k, state, since := p.taskInFlight(t, i, x, after, wall)
		if k == 0 {
			return
		}
		at := key{k, state, x.machine}
		g := groups[at]
		if g == nil {
			g = &explain.InFlight{Kind: k, State: state, Machine: x.machine}
			switch {
			case k == gate.Saving:
				g.PreemptedFor = t.preemptedFor[x.machine]
			case state == "absent":
				left := loop.Duration(max(p.clock.LatestArrival(x.expiry)-wall, 0))
				g.ConfirmedBy = fmt.Sprintf("a new session of its worker, the machine's deletion, or a task list made more than %v from now that its host controller confirms", left)
			case k == gate.Unconfirmed:
				g.ConfirmedBy = "a report of the machine, or its deletion by the cloud"
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
	out := make([]explain.InFlight, 0, len(groups))
	for _, g := range groups {
		out = append(out, *g)
	}
	slices.SortFunc(out, func(a, b explain.InFlight) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Machine, b.Machine), cmp.Compare(a.State, b.State))
	})
	return out
}

// taskInFlight returns what a task in use is doing; kind 0 means that it runs.
func (p *Scheduler) taskInFlight(t *jobTable, i int, x *task, after, wall loop.Micros) (k gate.Kind, state string, since loop.Micros) {
	if x.state == Recording {
		return gate.Recording, "recording", x.chosenAt
	}
	v, sl := p.agent.View(x.machine), p.fleet.Machine(x.machine)
	switch {
	case v == nil || sl == nil:
		return gate.Unconfirmed, "neverHeard", 0
	case sl.LastReport < after:
		return gate.Unconfirmed, "silent", sl.LastReport
	case x.running:
		return 0, "", 0
	}
	e := v.Find(t.taskName(i), x.attempt)
	switch {
	case e == nil && v.HasPending(t.taskName(i), x.attempt):
		return gate.Starting, "atItsHost", x.sentAt
	case e == nil && !x.listed && wall < p.clock.LatestArrival(x.expiry):
		return gate.Starting, "sent", x.sentAt
	case e == nil:
		return gate.Unconfirmed, "absent", x.sentAt
	case e.State == wire.TaskFetching:
		return gate.Fetching, "fetching", x.sentAt
	case e.State == wire.TaskSaving:
		return gate.Saving, "saving", x.stopSentAt
	}
	return 0, "", 0
}

// causes appends the causes that hold for a job now. It relies on the newest pass and the views and does not scan the
// machines.
func (p *Scheduler) causes(t *jobTable, out []gate.Cause, after, wall loop.Micros) []gate.Cause {
	f := p.facts(t)
	out = f.Causes(out)
	if f.Waiting > 0 && t.unplacedCause != 0 && f.Unblocked() {
		out = append(out, gate.Cause{Kind: t.unplacedCause, Tasks: f.Waiting})
	}
	if t.inUse <= t.running {
		return out
	}
	var n [gate.NextPass]int
	t.each(func(i int, x *task) {
		if x.inUse() && !x.running {
			k, _, _ := p.taskInFlight(t, i, x, after, wall)
			n[k]++
		}
	})
	for _, k := range []gate.Kind{gate.Recording, gate.Starting, gate.Fetching, gate.Saving, gate.Unconfirmed} {
		if n[k] > 0 {
			out = append(out, gate.Cause{Kind: k, Tasks: n[k]})
		}
	}
	return out
}

// Causes are sent again a few times, since a message may be lost and a peer drops those of a job whose record it has
// not received yet; then rarely, for peers that restarted.
const (
	causesInterval     = 5 * loop.Second
	causesRepeats      = 2
	causesLongInterval = 30 * loop.Second
)

// updateCauses updates a job's causes. It reports whether to send them: they differ in kind or by half in number from
// those last sent, or a repeat is due.
func (p *Scheduler) updateCauses(t *jobTable, after, wall loop.Micros) bool {
	var buffer [gate.NextPass]gate.Cause
	now := p.causes(t, buffer[:0], after, wall)
	same := len(now) == len(t.causes)
	for i := 0; same && i < len(now); i++ {
		a, b := now[i], t.causes[i]
		same = a.Kind == b.Kind && 2*a.Tasks <= 3*b.Tasks && 2*b.Tasks <= 3*a.Tasks
	}
	if !same {
		t.causesSentTimes = 0
	}
	wait := causesInterval
	if t.causesSentTimes > causesRepeats {
		wait = causesLongInterval
	}
	if same && (wall-t.causesSentAt < wait || (t.causesSentTimes > causesRepeats && len(now) == 0)) {
		return false
	}
	t.causesSentAt = wall
	t.causesSentTimes++
	t.causes = slices.Clone(now)
	return true
}

// setUnplacedCause records which machine predicate left a job's tasks unplaced in a pass.
func (p *Scheduler) setUnplacedCause(t *jobTable, unplaced bool) {
	if !p.deps.ReportCauses {
		return
	}
	now := p.runner.Now()
	switch {
	case !unplaced:
		t.unplacedCause = 0
	case t.job.Spec.Gang:
		t.unplacedCause = gate.Gang
	case p.cordons.Any():
		// Another scan of the fleet for each job is expensive, so it is done at most once per second.
		if t.unplacedCause == 0 || now-t.unplacedCauseAt > loop.Second {
			t.unplacedCause, t.unplacedCauseAt = gate.Capacity, now
			if p.fitsUncordoned(t, 1) > 0 {
				t.unplacedCause = gate.Cordon
			}
		}
	default:
		t.unplacedCause = gate.Capacity
	}
}

// OwnsTeam reports whether the team is owned and loaded here.
func (p *Scheduler) OwnsTeam(team string) bool { return p.teams[team] != nil && p.teams[team].loaded }

// EachMachine calls f for every known machine. Machines whose last report is older than after receive no starts.
func (p *Scheduler) EachMachine(f func(pl *gate.MachineFacts, after loop.Micros)) {
	p.fleet.Refresh()
	after := p.runner.Now() - p.staleAfter()
	for _, sl := range p.fleet.All() {
		f(&sl.MachineFacts, after)
	}
}

// PendingStarts returns the number of tasks of owned teams that were chosen or recorded for machines under the named
// cordon and have not been seen running. They may still begin.
func (p *Scheduler) PendingStarts(name string) int {
	n := 0
	for machine, on := range p.tasksByMachine {
		sl := p.fleet.Machine(machine)
		if sl == nil || !slices.Contains(p.cordons.Blocking(fleet.CordonPlace(sl.View)), name) {
			continue
		}
		for r := range on.all {
			if r.table.task(r.index).runningSince == 0 {
				n++
			}
		}
	}
	return n
}

// maxPreemptedFor bounds the number of machines for which a job's preemptions are remembered.
const maxPreemptedFor = 64

// recordPreempted records for which job tasks of this owner were preempted.
func (p *Scheduler) recordPreempted(c peer.Reservation) {
	for _, name := range c.Victims {
		id, _, ok := agent.SplitTask(name)
		j := p.registry.Get(id)
		if !ok || j == nil || j.Spec == nil {
			continue
		}
		if tm := p.teams[j.Spec.Team]; tm != nil && tm.jobs[id] != nil {
			t := tm.jobs[id]
			if t.preemptedFor == nil || len(t.preemptedFor) >= maxPreemptedFor {
				t.preemptedFor = map[string]string{}
			}
			t.preemptedFor[c.Machine] = c.Job
		}
	}
}
