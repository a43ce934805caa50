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

// mostBefore bounds the jobs that are tried on the fleet before one that is explained.
const mostBefore = 12

// rival is work that comes before a job and may take the room that it lacks.
type rival struct {
	t     *table
	most  int  // tasks that it would place if nothing came before it
	n     int  // the same once work of its team before it has used its part of the limit
	takes bool // its tasks fit where one task of the job does
	may   bool // whether it takes any of the job's room cannot be told before
}

// lineWith lists the jobs that wait beside this one, in no order, as they stand once no
// gate of this job itself is shut: in its team's guarantee it then comes before later jobs.
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

// rivals lists the jobs that come before this one in the order, or would if no gate of
// its own were shut, and what each would place if there were room.
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
			// All of it or nothing: whether the room that comes, with what is there, is
			// enough for a larger one cannot be told before.
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
			out = append(out, r) // it missed the room that is there, and takes none that comes
			continue
		}
		spoken[o.team] = agent.Room{CPUs: spoken[o.team].CPUs + float64(r.n)*o.j.Spec.CPUs, GPUs: spoken[o.team].GPUs + float64(r.n)*o.j.Spec.GPUs}
		out = append(out, r)
	}
	return out
}

// ahead tells which work would take the room that this job lacks, or has now but for its
// other gates; and how many of its tasks would wait for that alone.
func (p *Placer) ahead(f *explain.Facts, t *table, types []wire.MachineType) {
	n := f.Gate.Waiting
	limited := f.Gate.Passes(gate.Limit) < n
	short := n - f.FitsAll                                        // rooms for one task each that must come
	lifted := f.FitsAll > f.Fits || (f.AllCordoned && f.Fits < n) // a cordon is among its reasons
	q, within := p.lineWith(t)
	self := entryOf{t, within, t.turn()}
	if f.WithinGuarantee = within; short == 0 && !limited && !lifted {
		return // there is room that work before it has missed
	}
	all := p.rivals(q, &self, limited, lifted, short, types)
	coming := 0
	for _, r := range all {
		if r.takes {
			coming += r.n
		}
	}
	f.Behind, f.Exact = min(short, coming), true
	// What is shut for others too may be open for them when it is for this job: the
	// team's limit, and cordons. They then go first to the room that is there.
	if limited || lifted {
		f.AheadComplete = len(all) <= mostBefore
		a, b := p.behind(f, t, all[:min(len(all), mostBefore)], limited, lifted, short)
		// Which machine takes what then matters: it cannot be told for certain.
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

// behind tries how many of the job's tasks lack room once its rivals have theirs: a if
// they take the room there first, b if they take what comes first.
func (p *Placer) behind(f *explain.Facts, t *table, all []rival, limited, lifted bool, short int) (a, b int) {
	n := f.Gate.Waiting
	there, later, fresh := p.fleet.Copies(lifted), p.fleet.Copies(lifted), p.fleet.All()
	if lifted {
		fresh = p.fleet.Copies(true)
	}
	left, first := 0, short // what comes, if the room there is taken first, or last
	var by [2]agent.Room    // what this team's other jobs use of its limit then
	for i := range all {
		r := &all[i]
		if !lifted && r.t.team != t.team {
			// Nothing is open to it that was not: it missed what is there.
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
		// It may also take what work before it leaves.
		r.may = r.may || got > 0 || use[1] > 0 || p.fleet.Trial(r.t.need(), r.most, fresh) > 0
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
	a = n - min(p.fleet.Trial(t.need(), n, there)+max(short-left, 0), most[0])
	b = n - min(p.fleet.Trial(t.need(), n, later)+first, most[1])
	return max(a, 0), max(b, 0)
}

// promoted lists the jobs that stand behind and would come within their team's
// guarantee, and so before this one, when the work ahead is gone.
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

// takeAll takes room for a rival's tasks on copies of the slots; a gang takes all or none.
func (p *Placer) takeAll(r rival, n int, slots []*fleet.Slot) int {
	if n <= 0 || (r.t.j.Spec.Gang && p.fleet.Trial(r.t.need(), n, slots) < n) {
		return 0
	}
	return p.fleet.Take(r.t.need(), n, slots)
}

func (p *Placer) probes(t *table) int {
	f := p.facts(t)
	return f.Passes(gate.Probe)
}

// smaller tells whether a task of o fits where one task of s does.
func smaller(o, s *job.Spec) bool {
	return o.CPUs <= s.CPUs && o.GPUs <= s.GPUs && o.MemoryGB <= s.MemoryGB
}

// meet tells whether some place is allowed to both, and open to starts unless cordons
// are taken as lifted. What is known of no place may be shared.
func (p *Placer) meet(o, s *job.Spec, types []wire.MachineType, lifted bool) bool {
	for i := range types {
		typ := &types[i]
		for _, zone := range typ.Zones {
			for _, spot := range []bool{false, true} {
				if o.AllowsPlace(typ.Name, zone, spot) && s.AllowsPlace(typ.Name, zone, spot) && fitsType(s, typ) &&
					(lifted || !p.cordons.Blocked(cordon.Place{Type: typ.Name, Zone: zone, Spot: spot})) {
					return true
				}
			}
		}
	}
	return len(types) == 0
}
