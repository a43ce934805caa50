package scheduler

import (
	"cmp"
	"fmt"
	"slices"

	"cleatpick/internal/cordon"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/explain"
	"cleatpick/internal/fleet"
	"cleatpick/internal/job"
	"cleatpick/internal/peer"
	"cleatpick/internal/predicate"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// Facts collects why the tasks of a job do not run. ok is false if the job's team is not owned and loaded here. A job
// that is finished, or was received only just now, has no table; its facts come from its record alone.
func (sched *Scheduler) Facts(id string, types []wire.MachineType, contact bool) (f *explain.Facts, ok bool) {
	j := sched.registry.Get(id)
	if j == nil || j.Spec == nil {
		return nil, false
	}
	tm := sched.teams[j.Spec.Team]
	if tm == nil || !tm.loaded {
		return nil, false
	}
	now := sched.runner.Now()
	t := tm.jobs[id]
	if t == nil { // it is finished, or was received only just now
		return &explain.Facts{Job: j, JobFacts: predicate.JobFacts{Spec: j.Spec, Hold: &j.Terms.Hold}, Need: predicate.Need{ID: id, Spec: j.Spec, Tasks: j.Tasks}, Team: tm.cfg, StateContact: contact, AheadComplete: true,
			Now: now, Wall: sched.runner.Wall()}, true
	}
	sched.fleet.Refresh()
	f = &explain.Facts{Job: j, JobFacts: sched.facts(t), Need: t.need(), Team: tm.cfg, StateContact: contact, AheadComplete: true, Now: now, Wall: sched.runner.Wall(),
		ReportedAfter: now - sched.staleAfter(), Running: t.running, Done: t.completed}
	f.JobFacts.Now, f.JobFacts.Wall = f.Now, f.Wall
	if n := f.JobFacts.Waiting; n > 0 && !j.Final() {
		f.Machines = make([]*predicate.MachineFacts, len(sched.fleet.All()))
		for i, m := range sched.fleet.All() {
			f.Machines[i] = &m.MachineFacts
		}
		f.Fits = sched.fleet.CountFitting(t.need(), n, sched.fleet.All())
		f.FitsAll = sched.fitsUncordoned(t, n)
		f.AllCordoned, f.Cordons = sched.blockingCordons(j.Spec, types)
		sched.jobsAhead(f, t, types)
	}
	f.InFlight = sched.tasksInFlight(t, f.ReportedAfter)
	f.PreemptedFor, f.Reserved = t.preemptedFor, sched.fleet.ReservationCount(t.job.ID)
	return f, true
}

// fitsUncordoned returns how many of n tasks would fit if there were no cordons.
func (sched *Scheduler) fitsUncordoned(t *jobTable, n int) int {
	if !sched.cordons.Any() {
		return sched.fleet.CountFitting(t.need(), n, sched.fleet.All())
	}
	return sched.fleet.PlaceOnCopies(t.need(), n, sched.fleet.Copies(true))
}

// blockingCordons reports whether cordons block every place that the job allows, and names the cordons that block any.
func (sched *Scheduler) blockingCordons(s *job.Spec, types []wire.MachineType) (all bool, names []string) {
	if len(sched.cordons.All()) == 0 {
		return false, nil
	}
	seen := map[string]bool{}
	addBlocking := func(at cordon.Place) bool {
		by := sched.cordons.Blocking(at)
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
	for _, m := range sched.fleet.All() {
		if m.Cordoned && s.AllowsPlace(m.View.Type, m.View.Zone, m.View.Spot) {
			addBlocking(fleet.CordonPlace(m.View))
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
func (sched *Scheduler) tasksInFlight(t *jobTable, after eventloop.Micros) []explain.InFlight {
	type key struct {
		kind    predicate.Kind
		state   string
		machine string
	}
	groups := map[key]*explain.InFlight{}
	now, wall := sched.runner.Now(), sched.runner.Wall()
	t.each(func(i int, x *task) {
		if !x.inUse() {
			return
		}
		k, state, since := sched.taskInFlight(t, i, x, after, wall)
		if k == 0 {
			return
		}
		at := key{k, state, x.machine}
		g := groups[at]
		if g == nil {
			g = &explain.InFlight{Kind: k, State: state, Machine: x.machine}
			switch {
			case k == predicate.Saving:
				g.PreemptedFor = t.preemptedFor[x.machine]
			case state == "absent":
				left := eventloop.Duration(max(sched.clock.LatestArrival(x.expiry)-wall, 0))
				g.ConfirmedBy = fmt.Sprintf("a new session of its worker, the machine's deletion, or a task list made more than %v from now that its host controller confirms", left)
			case k == predicate.Unconfirmed:
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
func (sched *Scheduler) taskInFlight(t *jobTable, i int, x *task, after, wall eventloop.Micros) (k predicate.Kind, state string, since eventloop.Micros) {
	if x.state == Recording {
		return predicate.Recording, "recording", x.chosenAt
	}
	v, m := sched.workers.View(x.machine), sched.fleet.Machine(x.machine)
	switch {
	case v == nil || m == nil:
		return predicate.Unconfirmed, "neverHeard", 0
	case m.LastReport < after:
		return predicate.Unconfirmed, "silent", m.LastReport
	case x.running:
		return 0, "", 0
	}
	e := v.Find(t.taskName(i), x.attempt)
	switch {
	case e == nil && v.HasPending(t.taskName(i), x.attempt):
		return predicate.Starting, "atItsHost", x.sentAt
	case e == nil && !x.listed && wall < sched.clock.LatestArrival(x.expiry):
		return predicate.Starting, "sent", x.sentAt
	case e == nil:
		return predicate.Unconfirmed, "absent", x.sentAt
	case e.State == wire.TaskFetching:
		return predicate.Fetching, "fetching", x.sentAt
	case e.State == wire.TaskSaving:
		return predicate.Saving, "saving", x.stopSentAt
	}
	return 0, "", 0
}

// causes appends the causes that hold for a job now. It relies on the newest pass and the views and does not scan the
// machines.
func (sched *Scheduler) causes(t *jobTable, out []predicate.Cause, after, wall eventloop.Micros) []predicate.Cause {
	f := sched.facts(t)
	out = f.Causes(out)
	if f.Waiting > 0 && t.unplacedCause != 0 && f.Unblocked() {
		out = append(out, predicate.Cause{Kind: t.unplacedCause, Tasks: f.Waiting})
	}
	if t.inUse <= t.running {
		return out
	}
	var n [predicate.NextPass]int
	t.each(func(i int, x *task) {
		if x.inUse() && !x.running {
			k, _, _ := sched.taskInFlight(t, i, x, after, wall)
			n[k]++
		}
	})
	for _, k := range []predicate.Kind{predicate.Recording, predicate.Starting, predicate.Fetching, predicate.Saving, predicate.Unconfirmed} {
		if n[k] > 0 {
			out = append(out, predicate.Cause{Kind: k, Tasks: n[k]})
		}
	}
	return out
}

// Causes are sent again a few times, since a message may be lost and a peer drops those of a job whose record it has
// not received yet; then rarely, for peers that restarted.
const (
	causesInterval     = 5 * eventloop.Second
	causesRepeats      = 2
	causesLongInterval = 30 * eventloop.Second
)

// updateCauses updates a job's causes. It reports whether to send them: they differ in kind or by half in number from
// those last sent, or a repeat is due.
func (sched *Scheduler) updateCauses(t *jobTable, after, wall eventloop.Micros) bool {
	var buffer [predicate.NextPass]predicate.Cause
	now := sched.causes(t, buffer[:0], after, wall)
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
func (sched *Scheduler) setUnplacedCause(t *jobTable, unplaced bool) {
	if !sched.deps.ReportCauses {
		return
	}
	now := sched.runner.Now()
	switch {
	case !unplaced:
		t.unplacedCause = 0
	case t.job.Spec.Gang:
		t.unplacedCause = predicate.Gang
	case sched.cordons.Any():
		// Another scan of the fleet for each job is expensive, so it is done at most once per second.
		if t.unplacedCause == 0 || now-t.unplacedCauseAt > eventloop.Second {
			t.unplacedCause, t.unplacedCauseAt = predicate.Capacity, now
			if sched.fitsUncordoned(t, 1) > 0 {
				t.unplacedCause = predicate.Cordon
			}
		}
	default:
		t.unplacedCause = predicate.Capacity
	}
}

// OwnsTeam reports whether the team is owned and loaded here.
func (sched *Scheduler) OwnsTeam(team string) bool {
	return sched.teams[team] != nil && sched.teams[team].loaded
}

// EachMachine calls f for every known machine. Machines whose last report is older than after receive no starts.
func (sched *Scheduler) EachMachine(f func(pl *predicate.MachineFacts, after eventloop.Micros)) {
	sched.fleet.Refresh()
	after := sched.runner.Now() - sched.staleAfter()
	for _, m := range sched.fleet.All() {
		f(&m.MachineFacts, after)
	}
}

// PendingStarts returns the number of tasks of owned teams that were chosen or recorded for machines under the named
// cordon and have not been seen running. They may still begin.
func (sched *Scheduler) PendingStarts(name string) int {
	n := 0
	for machine, on := range sched.tasksByMachine {
		m := sched.fleet.Machine(machine)
		if m == nil || !slices.Contains(sched.cordons.Blocking(fleet.CordonPlace(m.View)), name) {
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
func (sched *Scheduler) recordPreempted(c peer.Reservation) {
	for _, name := range c.Victims {
		id, _, ok := workers.SplitTask(name)
		j := sched.registry.Get(id)
		if !ok || j == nil || j.Spec == nil {
			continue
		}
		if tm := sched.teams[j.Spec.Team]; tm != nil && tm.jobs[id] != nil {
			t := tm.jobs[id]
			if t.preemptedFor == nil || len(t.preemptedFor) >= maxPreemptedFor {
				t.preemptedFor = map[string]string{}
			}
			t.preemptedFor[c.Machine] = c.Job
		}
	}
}
