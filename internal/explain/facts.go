package explain

import (
	"slices"

	"cleatpick/internal/config"
	"cleatpick/internal/gate"
	"cleatpick/internal/health"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
)

// Facts are what a job's owner knows of why its tasks do not run. The placer gathers
// them; it is asked for no judgement that it does not make itself.
type Facts struct {
	Job     *job.Job
	Gate    gate.Job
	Need    gate.Need
	Team    config.Team
	Within  bool // the job lies within its team's guarantee
	Contact bool // the owner has contact with the state service
	Places  []*gate.Place
	After   loop.Micros // machines must have been heard since
	Now     loop.Micros // steady time
	Wall    loop.Micros
	Fits    int      // waiting tasks that find room now, every other gate left aside
	FitsAll int      // the same if no cordon were there
	Barred  bool     // every place that the job allows is cordoned, rented or not
	Cordons []string // that bar a place that the job allows
	Behind  int      // tasks that would wait for the work ahead alone
	Exact   bool     // Behind is certain: it does not matter which machine takes what
	Sure    bool     // all work ahead was looked at
	Ahead   []Ahead
	Flights []Flight
	Running int
	Done    int
	Held    int               // tasks for which room is kept
	Stopped map[string]string // by machine: the job for which tasks of this one were stopped lately
}

// Flight is a group of tasks on one machine that are neither waiting nor running.
type Flight struct {
	Kind    gate.Kind
	State   string
	Machine string
	Tasks   int
	Since   loop.Micros // time of day; 0: not known
	Settles string
	For     string
}

// Bounds on lists in an answer.
const (
	mostGroups = 40
	mostAhead  = 20
	mostOn     = 20
)

// Judge lists every reason that the owner's facts give, the gates in their order.
func Judge(f *Facts) []Reason {
	var out []Reason
	add := func(k gate.Kind, tasks int) *Reason {
		out = append(out, Reason{Kind: k.String(), Tasks: tasks, BlockedBy: []string{}})
		return &out[len(out)-1]
	}
	n := f.Gate.Waiting
	if n > 0 && !f.Contact {
		r := add(gate.StateContact, n)
		r.State, r.Release = "lost", "the owner reaches the state service again, or another controller takes the team over"
	}
	for _, c := range f.Gate.Causes(nil) {
		f.ownGate(c.Kind, add(c.Kind, c.Tasks))
	}
	if n > 0 {
		f.machines(add)
	}
	f.flights(add)
	return out
}

// ownGate tells the particulars of a job gate that is shut.
func (f *Facts) ownGate(k gate.Kind, r *Reason) {
	switch k {
	case gate.Damaged:
		r.State, r.Release = "setAside", "the damaged record of the job's tasks is repaired; the owner's log names its key"
	case gate.Hold:
		h := f.Gate.Hold
		d := &HoldDetail{Reason: h.Reason, By: h.By, At: Time(h.RequestedAt)}
		r.Detail.Hold, r.State = d, HoldName(h.State)
		r.Release = "an operator releases the job"
		if h.Until != 0 {
			until := Time(h.Until)
			d.Until, r.Until = &until, &until
			left := Span(max(h.Until+f.Gate.ClockTo-f.Wall, 0))
			r.Estimate = &Estimate{Low: left, Likely: left, High: left + Span(loop.Second)}
			r.Release = "the hold ends by itself, or an operator releases the job"
		}
	case gate.Dependency:
		r.State, r.Release = "waiting", "every job named is done"
		withdrawn := false
		for i := range f.Gate.After {
			d := &f.Gate.After[i]
			if f.Gate.Met(d) {
				continue
			}
			b := Before{Job: d.ID, State: PhaseName(d.Phase)}
			if d.Phase == job.Cancelled {
				withdrawn = true
				b.Policy = PolicyName(f.Gate.OnWithdrawn)
			}
			r.Detail.After = append(r.Detail.After, b)
			r.BlockedBy = append(r.BlockedBy, d.ID)
		}
		if withdrawn {
			r.State, r.Release = "withdrawn", "an operator releases the job from what was withdrawn, and the others named are done"
			if f.Gate.OnWithdrawn == job.PolicyCancel {
				r.State, r.Release = "withdrawing", "nothing: the job is being withdrawn, as its user asked"
			}
		}
	case gate.BackOff:
		until := Time(f.Wall + f.Gate.Failing.RestTo - f.Now)
		left := Span(f.Gate.Failing.RestTo - f.Now)
		r.State, r.Until = "resting", &until
		r.Estimate = &Estimate{Low: left, Likely: left, High: left + Span(loop.Second)}
		r.Detail.Failures = f.failing()
		r.Release = "its rest is over; then a few of its tasks try again"
	case gate.Probe:
		r.State, r.Release = "oneAtATime", "a task of the job completes; others follow once it has run for longer than those that failed"
		switch x := &f.Gate.Failing; {
		case x.State == health.Sound || x.State == health.Untried:
			r.State, r.Release = "failedBefore", "tasks that failed before complete; the job's others go on"
		case x.Width > 1:
			r.State = "growing"
		}
		r.Detail.Failures = f.failing()
	case gate.Limit:
		r.State, r.Release = "full", "tasks of the team "+f.Team.Name+" end, or its limit is raised"
		r.Detail.Team = f.team()
	}
}

func (f *Facts) failing() *Failing {
	x := &f.Gate.Failing
	return &Failing{InARow: x.Moments, Machines: x.Machines, Judged: x.State.String(), Tasks: x.Late}
}

func (f *Facts) team() *TeamUse {
	return &TeamUse{Team: f.Team.Name, CPUs: f.Gate.Used.CPUs, CPUsMax: f.Gate.Quota.CPUsMax, CPUsHave: f.Gate.Quota.CPUs,
		GPUs: f.Gate.Used.GPUs, GPUsMax: f.Gate.Quota.GPUsMax, Within: f.Within}
}

// machines tells why the machines do not take what the job's own gates let on.
func (f *Facts) machines(add func(gate.Kind, int) *Reason) {
	n, s := f.Gate.Waiting, f.Need.Spec
	needs := &Needs{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Types: s.Types, Zone: s.Zone, Spot: s.Spot}
	cordoned := f.FitsAll - f.Fits
	if f.Barred {
		cordoned = n - f.Fits
	}
	if s.Gang {
		cordoned = 0
		if f.FitsAll > f.Fits || (f.Barred && f.Fits < n) {
			cordoned = n
		}
	}
	if cordoned > 0 {
		r := add(gate.Cordon, cordoned)
		r.State, r.Release = "cordoned", "an operator lifts the cordon"
		r.Detail.Cordons, r.Detail.Needs = f.Cordons, needs
		r.BlockedBy = append(r.BlockedBy, f.Cordons...)
	}
	short, kind := n-f.FitsAll, gate.Room
	if s.Gang {
		kind = gate.Gang
		if short > 0 || f.Gate.InUse > 0 {
			short = n
		}
	}
	if short > 0 {
		r := add(kind, short)
		r.State, r.Release = "noRoom", "tasks end, or a machine that allows the job comes up"
		if !f.Within {
			// Work within its guarantee may stop what others run beyond theirs.
			r.State = "nothingToBorrow"
			if !f.Gate.Quota.Guaranteed() {
				r.State = "behindGuarantees" // nothing is stopped for a team that is guaranteed nothing
				r.Release = "tasks end, or a machine that allows the job comes up, beyond what is guaranteed to others"
			}
		}
		if kind == gate.Gang {
			r.State, r.Release = "notAllAtOnce", "there is room for all of its tasks at once"
			if f.Gate.InUse > 0 {
				r.State, r.Release = "leftOver", "the tasks of its earlier start are off their machines"
			}
		}
		r.Detail.Needs, r.Detail.Team, r.Detail.Machines = needs, f.team(), f.lacks()
		r.Detail.Held = f.Held
		for _, by := range f.Stopped {
			if !slices.Contains(r.Detail.StoppedFor, by) {
				r.Detail.StoppedFor = append(r.Detail.StoppedFor, by)
			}
		}
		slices.Sort(r.Detail.StoppedFor)
	}
	if tasks := f.Behind; tasks > 0 {
		if s.Gang {
			tasks = n
		}
		r := add(gate.Rank, tasks)
		r.State = "behind"
		if !f.Exact {
			r.State = "mayBeBehind"
		}
		r.Release = "the work named gets its room, or is withdrawn"
		r.Detail.Ahead = f.Ahead[:min(len(f.Ahead), mostAhead)]
		for _, a := range r.Detail.Ahead {
			r.BlockedBy = append(r.BlockedBy, a.Job)
		}
	} else if cordoned <= 0 && short <= 0 && f.Contact && f.Gate.Open() && f.Gate.Least() > 0 {
		r := add(gate.Recheck, min(n, f.Gate.Least()))
		r.State, r.Release = "due", "nothing: the next pass places it"
		r.Estimate = &Estimate{Low: 0, Likely: Span(50 * loop.Millisecond), High: Span(loop.Second)}
	}
}

// lacks counts what the machines lack, by type, zone and kind.
func (f *Facts) lacks() *Machines {
	type key struct {
		typ, zone string
		spot      bool
	}
	at := map[key]int{}
	m := &Machines{Groups: []Group{}}
	for _, p := range f.Places {
		m.Looked++
		k := key{p.V.Type, p.V.Zone, p.V.Spot}
		i, ok := at[k]
		if !ok {
			if len(m.Groups) >= mostGroups {
				m.More++
				continue
			}
			i = len(m.Groups)
			at[k] = i
			m.Groups = append(m.Groups, Group{Type: k.typ, Zone: k.zone, Kind: Kind(k.spot), Lacks: map[string]int{}})
		}
		g := &m.Groups[i]
		g.Machines++
		l := p.Lacks(&f.Need, f.After, f.Now)
		l.Each(func(name string) { g.Lacks[name]++ })
		if l&gate.LackRested != 0 {
			if g.Resting == nil {
				g.Resting = map[string]int{}
			}
			g.Resting[p.ShutWhy]++
		}
	}
	return m
}

// flights tells of the tasks that are on their way.
func (f *Facts) flights(add func(gate.Kind, int) *Reason) {
	for _, k := range []gate.Kind{gate.Recording, gate.Starting, gate.Fetching, gate.Saving, gate.Unproven} {
		var r *Reason
		for i := range f.Flights {
			x := &f.Flights[i]
			if x.Kind != k {
				continue
			}
			if r == nil {
				r = add(k, 0)
				r.State, r.Release = x.State, flightEnds[k]
			}
			if x.State != r.State {
				r.State = "several"
			}
			r.Tasks += x.Tasks
			if len(r.Detail.On) < mostOn {
				r.Detail.On = append(r.Detail.On, On{Machine: x.Machine, State: x.State, Tasks: x.Tasks, Since: Time(x.Since), Settles: x.Settles, For: x.For})
			}
			if x.For != "" {
				r.BlockedBy = append(r.BlockedBy, x.For)
			}
		}
	}
}

var flightEnds = map[gate.Kind]string{
	gate.Recording: "the attempt is stored",
	gate.Starting:  "the machine shows the task",
	gate.Fetching:  "the machine has the image",
	gate.Saving:    "the task has saved; then it is placed again",
	gate.Unproven:  "a proof that the task is off the machine named, or the machine is heard again",
}

// HoldName is the printed form of a hold's state.
func HoldName(s job.HoldState) string {
	switch s {
	case job.HoldPending:
		return "settling"
	case job.HoldEffective:
		return "held"
	}
	return "none"
}

// PhaseName is the printed form of a job's phase.
func PhaseName(p job.Phase) string {
	switch p {
	case job.Done:
		return "done"
	case job.Cancelled:
		return "withdrawn"
	case job.Accepted:
		return "unfinished"
	}
	return "unknown"
}

// PolicyName is the printed form of a policy.
func PolicyName(p job.Policy) string {
	switch p {
	case job.PolicyRelease:
		return "release"
	case job.PolicyCancel:
		return "withdraw"
	}
	return "hold"
}

// PriorityName is the printed form of a priority.
func PriorityName(p job.Priority) string {
	switch p {
	case job.Production:
		return "critical"
	case job.High:
		return "high"
	case job.Normal:
		return "standard"
	}
	return "low"
}
