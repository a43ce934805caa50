package placer

import (
	"slices"

	"cleatpick/internal/agent"
	"cleatpick/internal/cordon"
	"cleatpick/internal/explain"
	"cleatpick/internal/fleet"
	"cleatpick/internal/gate"
	"cleatpick/internal/job"
	"cleatpick/internal/wire"
)

// mostBefore bounds the number of earlier jobs whose placement is simulated to explain one job.
const mostBefore = 12

// rival is a job that is served before the explained one and may take the capacity that it lacks.
type rival struct {
	t     *table
	most  int  // tasks that it would place if no job came before it
	n     int  // the same after earlier jobs of its team used their part of the limit
	takes bool // a task of it fits where one task of the explained job does
	may   bool // undecidable in advance whether it takes any capacity that the explained job needs
}

// lineWith lists the jobs that wait beside t, unordered, as they would rank if no predicate blocked t itself: t then
// comes before later jobs within its team's guarantee.
func (p *Placer) lineWith(t *table) (q []entryOf, within bool) {
	q = p.waiting()
	mine := p.guaranteed(t.team, t)
	for i := range q {
		if q[i].t.team == t.team {
			q[i].within = mine[q[i].t]
		}
	}
	return slices.DeleteFunc(q, func(e entryOf) bool { return e.t == t }), mine[t]
}

// rivals lists the jobs that are served before self, or would be if no predicate blocked self, and how many tasks
// each would place if there were capacity.
func (p *Placer) rivals(q []entryOf, self *entryOf, limited, lifted bool, short int, types []wire.MachineType) (out []rival) {
	t := self.t
	spoken := map[*team]agent.Room{}
	q = slices.DeleteFunc(slices.Clone(q), func(e entryOf) bool { return !e.before(self) || !p.meet(e.t.j.Spec, t.j.Spec, types, lifted) })
	slices.SortFunc(q, compare)
	for i := range q {
		o := q[i].t
		n := p.missed(o)
		if limited && o.team == t.team {
			n = o.waiting() // it waits for the same limit
		}
		r := rival{t: o, most: min(n, p.probes(o)), takes: smaller(o.j.Spec, t.j.Spec)}
		if r.n = r.most; !limited || o.team != t.team {
			g := p.facts(o)
			g.Used.CPUs += spoken[o.team].CPUs
			g.Used.GPUs += spoken[o.team].GPUs
			r.n = min(r.n, g.Passes(gate.Limit))
		}
		if r.most <= 0 {
			continue
		}
		if o.j.Spec.Gang {
			// A gang places all its tasks or none. For a larger one it cannot be decided in advance whether future
			// capacity, together with what is free, is enough.
			if r.most < o.waiting() || o.inUse > 0 {
				continue
			}
			if r.n < r.most {
				r.n = 0
			}
			if r.most > short {
				r.may, r.takes = r.may || short > 0, false
			}
		}
		if !r.takes && !limited && !lifted {
			out = append(out, r) // the free capacity does not fit it, and it takes none of the future capacity
			continue
		}
		spoken[o.team] = agent.Room{CPUs: spoken[o.team].CPUs + float64(r.n)*o.j.Spec.CPUs, GPUs: spoken[o.team].GPUs + float64(r.n)*o.j.Spec.GPUs}
		out = append(out, r)
	}
	return out
}

// ahead determines which jobs would take the capacity that this job lacks, or that it has and cannot use because of
// other predicates, and how many of its tasks would wait for that reason alone.
func (p *Placer) ahead(f *explain.Facts, t *table, types []wire.MachineType) {
	n := f.Gate.Waiting
	limited := f.Gate.Passes(gate.Limit) < n
	short := n - f.FitsAll                                        // single-task units of capacity that must become free
	lifted := f.FitsAll > f.Fits || (f.AllCordoned && f.Fits < n) // one of its reasons is a cordon
	q, within := p.lineWith(t)
	self := entryOf{t, within, t.turn()}
	if f.WithinGuarantee = within; short == 0 && !limited && !lifted {
		return // there is capacity that the jobs before it cannot use
	}
	all := p.rivals(q, &self, limited, lifted, short, types)
	coming := 0
	for _, r := range all {
		if r.takes {
			coming += r.n
		}
	}
	f.Behind, f.Exact = min(short, coming), true
	// If the team's limit or a cordon stopped blocking this job, it might stop blocking others, too. Those would be
	// served first from the capacity that is free now.
	if limited || lifted {
		f.AheadComplete = len(all) <= mostBefore
		a, b := p.behind(f, t, all[:min(len(all), mostBefore)], limited, lifted, short)
		// The result then depends on which machine takes which task, so it is not certain.
		f.Behind, f.Exact = min(a, b), false
		if f.Behind == 0 {
			f.Behind = max(a, b)
		}
	}
	maybe := 0
	for _, r := range all {
		if r.n < r.most || r.may {
			f.Exact = false
			maybe += r.most
		}
	}
	if f.Behind == 0 {
		f.Behind = min(n, maybe)
	}
	if !limited && !lifted && coming >= short {
		f.Exact = true
	}
	if f.Behind == 0 {
		return
	}
	for _, r := range append(all, p.promoted(q, &self, all, types)...) {
		if r.takes || r.may || r.n < r.most {
			f.Ahead = append(f.Ahead, explain.JobAhead{Job: r.t.j.ID, Team: r.t.team.cfg.Name, Priority: explain.PriorityName(r.t.j.Spec.Priority),
				Tasks: r.most, CPUs: float64(r.most) * r.t.j.Spec.CPUs})
		}
	}
}

// behind simulates how many of the job's tasks lack capacity once its rivals are placed: a if they use the free
// capacity first, b if they use the future capacity first.
func (p *Placer) behind(f *explain.Facts, t *table, all []rival, limited, lifted bool, short int) (a, b int) {
	n := f.Gate.Waiting
	there, later, fresh := p.fleet.Copies(lifted), p.fleet.Copies(lifted), p.fleet.All()
	if lifted {
		fresh = p.fleet.Copies(true)
	}
	left, first := 0, short // future capacity, if rivals use the free capacity first, or last
	var by [2]agent.Room    // what this team's other jobs use of its limit in each case
	for i := range all {
		r := &all[i]
		if !lifted && r.t.team != t.team {
			// No predicate changes for it, so it cannot use the free capacity.
			if r.takes {
				left, first = left+r.n, first-min(first, r.n)
			}
			continue
		}
		got := p.takeAll(*r, r.n, there)
		use := [2]int{got, 0}
		if r.takes {
			left += r.n - got
			use[1] = min(first, r.n)
			first -= use[1]
		}
		use[1] += p.takeAll(*r, r.n-use[1], later)
		// It may also use what earlier jobs leave.
		r.may = r.may || got > 0 || use[1] > 0 || p.fleet.CountFitting(r.t.need(), r.most, fresh) > 0
		if r.t.team == t.team && !limited {
			for i, k := range use {
				by[i].CPUs += float64(k) * r.t.j.Spec.CPUs
				by[i].GPUs += float64(k) * r.t.j.Spec.GPUs
			}
		}
	}
	g := f.Gate
	var most [2]int
	for i := range most {
		g.Used = agent.Room{CPUs: f.Gate.Used.CPUs + by[i].CPUs, GPUs: f.Gate.Used.GPUs + by[i].GPUs}
		if most[i] = n; !limited {
			most[i] = g.Passes(gate.Limit)
		}
	}
	a = n - min(p.fleet.CountFitting(t.need(), n, there)+max(short-left, 0), most[0])
	b = n - min(p.fleet.CountFitting(t.need(), n, later)+first, most[1])
	return max(a, 0), max(b, 0)
}

// promoted lists the later jobs that would move into their team's guarantee, and so before this job, once the earlier
// work is done.
func (p *Placer) promoted(q []entryOf, self *entryOf, ahead []rival, types []wire.MachineType) (out []rival) {
	teams := map[*team]bool{}
	for _, r := range ahead {
		teams[r.t.team] = true
	}
	for _, o := range q {
		if o.within || !teams[o.t.team] || o.before(self) {
			continue
		}
		o.within = true
		if o.before(self) && p.meet(o.t.j.Spec, self.t.j.Spec, types, true) {
			out = append(out, rival{t: o.t, most: o.t.waiting(), may: true})
		}
	}
	return out
}

// takeAll places a rival's tasks on copies of the slots; a gang places all or none.
func (p *Placer) takeAll(r rival, n int, slots []*fleet.Machine) int {
	if n <= 0 || (r.t.j.Spec.Gang && p.fleet.CountFitting(r.t.need(), n, slots) < n) {
		return 0
	}
	return p.fleet.PlaceOnCopies(r.t.need(), n, slots)
}

func (p *Placer) probes(t *table) int {
	f := p.facts(t)
	return f.Passes(gate.Probe)
}

// smaller reports whether a task of o fits wherever a task of s does.
func smaller(o, s *job.Spec) bool {
	return o.CPUs <= s.CPUs && o.GPUs <= s.GPUs && o.MemoryGB <= s.MemoryGB
}

// meet reports whether both jobs allow some common place that is open to starts; lifted ignores cordons. It is true
// while no machine types are known.
func (p *Placer) meet(o, s *job.Spec, types []wire.MachineType, lifted bool) bool {
	for i := range types {
		typ := &types[i]
		for _, zone := range typ.Zones {
			for _, spot := range []bool{false, true} {
				if o.AllowsPlace(typ.Name, zone, spot) && s.AllowsPlace(typ.Name, zone, spot) && fitsType(s, typ) &&
					(lifted || !p.cordons.Barred(cordon.Place{Type: typ.Name, Zone: zone, Spot: spot})) {
					return true
				}
			}
		}
	}
	return len(types) == 0
}
