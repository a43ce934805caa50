package scheduler

import (
	"slices"

	"cleatpick/internal/cordon"
	"cleatpick/internal/explain"
	"cleatpick/internal/fleet"
	"cleatpick/internal/job"
	"cleatpick/internal/predicate"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// maxSimulated bounds the number of earlier jobs whose placement is simulated to explain one job.
const maxSimulated = 12

// rival is a job that is served before the explained one and may take the capacity that it lacks.
type rival struct {
	table       *jobTable
	maxTasks    int  // tasks that it would place if no job came before it
	tasks       int  // the same after earlier jobs of its team used their part of the limit
	takesFuture bool // a task of it fits where one task of the explained job does
	uncertain   bool // undecidable in advance whether it takes any capacity that the explained job needs
}

// competitors lists the jobs that compete with t for capacity, unordered, as they would rank if no predicate blocked
// t itself: t then comes before later jobs within its team's guarantee.
func (sched *Scheduler) competitors(t *jobTable) (q []queueEntry, within bool) {
	q = sched.waitingJobs()
	mine := sched.jobsWithinGuarantee(t.team, t)
	for i := range q {
		if q[i].table.team == t.team {
			q[i].withinGuarantee = mine[q[i].table]
		}
	}
	return slices.DeleteFunc(q, func(e queueEntry) bool { return e.table == t }), mine[t]
}

// rivals lists the jobs that are served before self, or would be if no predicate blocked self, and how many tasks
// each would place if there were capacity.
func (sched *Scheduler) rivals(q []queueEntry, self *queueEntry, limited, ignoreCordons bool, lacking int, types []wire.MachineType) (out []rival) {
	t := self.table
	usedByTeam := map[*team]workers.Capacity{}
	q = slices.DeleteFunc(slices.Clone(q), func(e queueEntry) bool {
		return !e.precedes(self) || !sched.sharePlace(e.table.job.Spec, t.job.Spec, types, ignoreCordons)
	})
	slices.SortFunc(q, compareEntries)
	for i := range q {
		o := q[i].table
		n := sched.waitingForCapacity(o)
		if limited && o.team == t.team {
			n = o.waiting() // it waits for the same limit
		}
		r := rival{table: o, maxTasks: min(n, sched.probationTasks(o)), takesFuture: fitsWherever(o.job.Spec, t.job.Spec)}
		if r.tasks = r.maxTasks; !limited || o.team != t.team {
			g := sched.facts(o)
			g.TeamUsage.CPUs += usedByTeam[o.team].CPUs
			g.TeamUsage.GPUs += usedByTeam[o.team].GPUs
			r.tasks = min(r.tasks, g.AllowedTasks(predicate.Limit))
		}
		if r.maxTasks <= 0 {
			continue
		}
		if o.job.Spec.Gang {
			// A gang places all its tasks or none. For a larger one it cannot be decided in advance whether future
			// capacity, together with what is free, is enough.
			if r.maxTasks < o.waiting() || o.inUse > 0 {
				continue
			}
			if r.tasks < r.maxTasks {
				r.tasks = 0
			}
			if r.maxTasks > lacking {
				r.uncertain, r.takesFuture = r.uncertain || lacking > 0, false
			}
		}
		if !r.takesFuture && !limited && !ignoreCordons {
			out = append(out, r) // the free capacity does not fit it, and it takes none of the future capacity
			continue
		}
		usedByTeam[o.team] = workers.Capacity{CPUs: usedByTeam[o.team].CPUs + float64(r.tasks)*o.job.Spec.CPUs, GPUs: usedByTeam[o.team].GPUs + float64(r.tasks)*o.job.Spec.GPUs}
		out = append(out, r)
	}
	return out
}

// jobsAhead determines which jobs would take the capacity that this job lacks, or that it has and cannot use because of
// other predicates, and how many of its tasks would wait for that reason alone.
func (sched *Scheduler) jobsAhead(f *explain.Facts, t *jobTable, types []wire.MachineType) {
	n := f.JobFacts.Waiting
	limited := f.JobFacts.AllowedTasks(predicate.Limit) < n
	lacking := n - f.FitsAll                                             // single-task units of capacity that must become free
	ignoreCordons := f.FitsAll > f.Fits || (f.AllCordoned && f.Fits < n) // one of its reasons is a cordon
	q, within := sched.competitors(t)
	self := queueEntry{t, within, t.queuedAt()}
	if f.WithinGuarantee = within; lacking == 0 && !limited && !ignoreCordons {
		return // there is capacity that the jobs before it cannot use
	}
	all := sched.rivals(q, &self, limited, ignoreCordons, lacking, types)
	future := 0
	for _, r := range all {
		if r.takesFuture {
			future += r.tasks
		}
	}
	f.Behind, f.Exact = min(lacking, future), true
	// If the team's limit or a cordon stopped blocking this job, it might stop blocking others, too. Those would be
	// served first from the capacity that is free now.
	if limited || ignoreCordons {
		f.AheadComplete = len(all) <= maxSimulated
		a, b := sched.simulateBehind(f, t, all[:min(len(all), maxSimulated)], limited, ignoreCordons, lacking)
		// The result then depends on which machine takes which task, so it is not certain.
		f.Behind, f.Exact = min(a, b), false
		if f.Behind == 0 {
			f.Behind = max(a, b)
		}
	}
	maybe := 0
	for _, r := range all {
		if r.tasks < r.maxTasks || r.uncertain {
			f.Exact = false
			maybe += r.maxTasks
		}
	}
	if f.Behind == 0 {
		f.Behind = min(n, maybe)
	}
	if !limited && !ignoreCordons && future >= lacking {
		f.Exact = true
	}
	if f.Behind == 0 {
		return
	}
	for _, r := range append(all, sched.promoted(q, &self, all, types)...) {
		if r.takesFuture || r.uncertain || r.tasks < r.maxTasks {
			f.Ahead = append(f.Ahead, explain.JobAhead{Job: r.table.job.ID, Team: r.table.team.cfg.Name, Priority: explain.PriorityName(r.table.job.Spec.Priority),
				Tasks: r.maxTasks, CPUs: float64(r.maxTasks) * r.table.job.Spec.CPUs})
		}
	}
}

// simulateBehind simulates how many of the job's tasks lack capacity once its rivals are placed: a if they use the free
// capacity first, b if they use the future capacity first.
func (sched *Scheduler) simulateBehind(f *explain.Facts, t *jobTable, all []rival, limited, ignoreCordons bool, lacking int) (a, b int) {
	n := f.JobFacts.Waiting
	freeFirst, futureFirst, untouched := sched.fleet.Copies(ignoreCordons), sched.fleet.Copies(ignoreCordons), sched.fleet.All()
	if ignoreCordons {
		untouched = sched.fleet.Copies(true)
	}
	futureLeft, futureRest := 0, lacking // future capacity, if rivals use the free capacity first, or last
	var by [2]workers.Capacity           // what this team's other jobs use of its limit in each case
	for i := range all {
		r := &all[i]
		if !ignoreCordons && r.table.team != t.team {
			// No predicate changes for it, so it cannot use the free capacity.
			if r.takesFuture {
				futureLeft, futureRest = futureLeft+r.tasks, futureRest-min(futureRest, r.tasks)
			}
			continue
		}
		got := sched.takeAll(*r, r.tasks, freeFirst)
		use := [2]int{got, 0}
		if r.takesFuture {
			futureLeft += r.tasks - got
			use[1] = min(futureRest, r.tasks)
			futureRest -= use[1]
		}
		use[1] += sched.takeAll(*r, r.tasks-use[1], futureFirst)
		// It may also use what earlier jobs leave.
		r.uncertain = r.uncertain || got > 0 || use[1] > 0 || sched.fleet.CountFitting(r.table.need(), r.maxTasks, untouched) > 0
		if r.table.team == t.team && !limited {
			for i, k := range use {
				by[i].CPUs += float64(k) * r.table.job.Spec.CPUs
				by[i].GPUs += float64(k) * r.table.job.Spec.GPUs
			}
		}
	}
	g := f.JobFacts
	var most [2]int
	for i := range most {
		g.TeamUsage = workers.Capacity{CPUs: f.JobFacts.TeamUsage.CPUs + by[i].CPUs, GPUs: f.JobFacts.TeamUsage.GPUs + by[i].GPUs}
		if most[i] = n; !limited {
			most[i] = g.AllowedTasks(predicate.Limit)
		}
	}
	a = n - min(sched.fleet.CountFitting(t.need(), n, freeFirst)+max(lacking-futureLeft, 0), most[0])
	b = n - min(sched.fleet.CountFitting(t.need(), n, futureFirst)+futureRest, most[1])
	return max(a, 0), max(b, 0)
}

// promoted lists the later jobs that would move into their team's guarantee, and so before this job, once the earlier
// work is done.
func (sched *Scheduler) promoted(q []queueEntry, self *queueEntry, ahead []rival, types []wire.MachineType) (out []rival) {
	teams := map[*team]bool{}
	for _, r := range ahead {
		teams[r.table.team] = true
	}
	for _, o := range q {
		if o.withinGuarantee || !teams[o.table.team] || o.precedes(self) {
			continue
		}
		o.withinGuarantee = true
		if o.precedes(self) && sched.sharePlace(o.table.job.Spec, self.table.job.Spec, types, true) {
			out = append(out, rival{table: o.table, maxTasks: o.table.waiting(), uncertain: true})
		}
	}
	return out
}

// takeAll places a rival's tasks on copies of the machines; a gang places all or none.
func (sched *Scheduler) takeAll(r rival, n int, machines []*fleet.Machine) int {
	if n <= 0 || (r.table.job.Spec.Gang && sched.fleet.CountFitting(r.table.need(), n, machines) < n) {
		return 0
	}
	return sched.fleet.PlaceOnCopies(r.table.need(), n, machines)
}

// probationTasks returns how many waiting tasks the job's failures allow to start.
func (sched *Scheduler) probationTasks(t *jobTable) int {
	f := sched.facts(t)
	return f.AllowedTasks(predicate.Probation)
}

// fitsWherever reports whether a task of o fits wherever a task of s does.
func fitsWherever(o, s *job.Spec) bool {
	return o.CPUs <= s.CPUs && o.GPUs <= s.GPUs && o.MemoryGB <= s.MemoryGB
}

// sharePlace reports whether both jobs allow some common place that is open to starts, or any place if ignoreCordons
// is set. It is true while no machine types are known.
func (sched *Scheduler) sharePlace(o, s *job.Spec, types []wire.MachineType, ignoreCordons bool) bool {
	for i := range types {
		typ := &types[i]
		for _, zone := range typ.Zones {
			for _, spot := range []bool{false, true} {
				if o.AllowsPlace(typ.Name, zone, spot) && s.AllowsPlace(typ.Name, zone, spot) && fitsType(s, typ) &&
					(ignoreCordons || !sched.cordons.Blocked(cordon.Place{Type: typ.Name, Zone: zone, Spot: spot})) {
					return true
				}
			}
		}
	}
	return len(types) == 0
}
