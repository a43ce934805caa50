package placer

import (
	"cmp"
	"fmt"
	"slices"
	"sort"

	"cleatpick/internal/agent"
	"cleatpick/internal/cordon"
	"cleatpick/internal/explain"
	"cleatpick/internal/gate"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
)

// Facts gathers why the tasks of a job do not run. ok is false when its team is not
// loaded here; the job then has no table.
func (p *Placer) Facts(id string, types []wire.MachineType, contact bool) (f *explain.Facts, ok bool) {
	j := p.book.Get(id)
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
	p.refresh()
	f = &explain.Facts{Job: j, Gate: p.facts(t), Need: t.need(), Team: tm.cfg, Contact: contact, Sure: true, Now: now, Wall: p.r.Wall(),
		After: now - p.staleAfter(), Running: t.running, Done: t.completed}
	f.Gate.Now, f.Gate.Wall = f.Now, f.Wall
	if n := f.Gate.Waiting; n > 0 && !j.Final() {
		f.Places = make([]*gate.Place, len(p.fleet.order))
		for i, sl := range p.fleet.order {
			f.Places[i] = &sl.Place
		}
		f.Fits = p.trial(t, n, p.fleet.order)
		f.FitsAll = p.trialUncordoned(t, n)
		f.Barred, f.Cordons = p.barring(j.Spec, types)
		p.ahead(f, t, types)
	}
	f.Flights = p.flights(t, f.After)
	f.Stopped = t.stopped
	return f, true
}

// copies are the fleet's slots to be tried on; lifted: as if no cordon were there.
func (p *Placer) copies(lifted bool) []*slot {
	out := copied(p.fleet.order)
	for _, sl := range out {
		sl.Cordoned = sl.Cordoned && !lifted
	}
	return out
}

// trialUncordoned is trial as it would be if no cordon were there.
func (p *Placer) trialUncordoned(t *table, n int) int {
	if !p.cordons.Any() {
		return p.trial(t, n, p.fleet.order)
	}
	return p.take(t, n, p.copies(true))
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
	for _, sl := range p.fleet.order {
		if sl.Cordoned && s.AllowsPlace(sl.V.Type, sl.V.Zone, sl.V.Spot) {
			note(placeOf(sl.V))
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
	sort.Slice(q, func(a, b int) bool { return q[a].before(&q[b]) })
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
	short := n - f.FitsAll                                   // rooms for one task each that must come
	lifted := f.FitsAll > f.Fits || (f.Barred && f.Fits < n) // a cordon is among its reasons
	q, within := p.lineWith(t)
	self := entryOf{t, within, t.turn()}
	all := p.rivals(q, &self, limited, lifted, short, types)
	coming := 0
	for _, r := range all {
		if r.takes {
			coming += r.n
		}
	}
	if f.Within = within; short == 0 && !limited && !lifted {
		return // there is room that work before it has missed
	}
	f.Behind, f.Exact = min(short, coming), true
	// What is shut for others too may be open for them when it is for this job: the
	// team's limit, and cordons. They then go first to the room that is there.
	if limited || lifted {
		f.Sure = len(all) <= mostBefore
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
			f.Ahead = append(f.Ahead, explain.Ahead{Job: r.t.j.ID, Team: r.t.team.cfg.Name, Priority: explain.PriorityName(r.t.j.Spec.Priority),
				Tasks: r.most, CPUs: float64(r.most) * r.t.j.Spec.CPUs})
		}
	}
}

// behind tries how many of the job's tasks lack room once its rivals have theirs: a if
// they take the room there first, b if they take what comes first.
func (p *Placer) behind(f *explain.Facts, t *table, all []rival, limited, lifted bool, short int) (a, b int) {
	n := f.Gate.Waiting
	there, later, fresh := p.copies(lifted), p.copies(lifted), p.fleet.order
	if lifted {
		fresh = p.copies(true)
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
		r.may = r.may || got > 0 || use[1] > 0 || p.trial(r.t, r.most, fresh) > 0
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
	a = n - min(p.trial(t, n, there)+max(short-left, 0), most[0])
	b = n - min(p.trial(t, n, later)+first, most[1])
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
func (p *Placer) takeAll(r rival, n int, slots []*slot) int {
	if n <= 0 || (r.t.j.Spec.Gang && p.trial(r.t, n, slots) < n) {
		return 0
	}
	return p.take(r.t, n, slots)
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
					(lifted || !p.cordons.Barred(cordon.Place{Type: typ.Name, Zone: zone, Spot: spot})) {
					return true
				}
			}
		}
	}
	return len(types) == 0
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
				left := loop.Duration(max(x.expiry+p.clockTo()+answerLife-wall, 0))
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
	v, sl := p.agent.View(x.machine), p.fleet.slots[x.machine]
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
	case e == nil && !x.seen && wall < x.expiry+p.clockTo()+answerLife:
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

// newCauses brings a job's causes up to date, and tells whether they differ in kind, or
// by half in number, from those last told.
func (p *Placer) newCauses(t *table, after, wall loop.Micros) bool {
	var room [gate.Recheck]gate.Cause
	now := p.causes(t, room[:0], after, wall)
	same := len(now) == len(t.causes)
	for i := 0; same && i < len(now); i++ {
		a, b := now[i], t.causes[i]
		same = a.Kind == b.Kind && 2*a.Tasks <= 3*b.Tasks && 2*b.Tasks <= 3*a.Tasks
	}
	if same && t.toldCauses {
		return false
	}
	t.toldCauses = true
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
	p.refresh()
	after := p.r.Now() - p.staleAfter()
	for _, sl := range p.fleet.order {
		f(&sl.Place, after)
	}
}

// Unseen counts the tasks of owned teams that were chosen or recorded for machines behind
// the cordon and have not been seen running: they may still begin.
func (p *Placer) Unseen(name string) int {
	n := 0
	for machine, on := range p.on {
		sl := p.fleet.slots[machine]
		if sl == nil || !slices.Contains(p.cordons.Barring(placeOf(sl.V)), name) {
			continue
		}
		for r := range on {
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
func (p *Placer) stoppedFor(c peer.Claim) {
	for _, name := range c.Victims {
		id, _, ok := agent.SplitTask(name)
		j := p.book.Get(id)
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
