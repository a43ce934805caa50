package explain

import (
	"slices"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/health"
	"cleatpick/internal/job"
	"cleatpick/internal/predicate"
)

// Facts holds what a job's owner knows about why its tasks do not run. The scheduler
// gathers them; they contain no decision that it does not make itself.
type Facts struct {
	Job             *job.Job
	JobFacts        predicate.JobFacts
	Need            predicate.Need
	Team            config.Team
	WithinGuarantee bool // the job is within its team's guarantee
	StateContact    bool // the owner has contact with the state service
	Machines        []*predicate.MachineFacts
	ReportedAfter   eventloop.Micros // a machine's last report must be newer than this
	Now             eventloop.Micros // monotonic clock
	Wall            eventloop.Micros
	Fits            int      // waiting tasks that fit on machines now, all other predicates ignored
	FitsAll         int      // the same with cordons ignored as well
	AllCordoned     bool     // every place that the job allows is cordoned, rented or not
	Cordons         []string // cordons on places that the job allows
	Behind          int      // tasks that only wait for the work ahead
	Exact           bool     // Behind does not depend on which machine takes which task
	AheadComplete   bool     // all work ahead was examined
	Ahead           []JobAhead
	InFlight        []InFlight
	Running         int
	Done            int
	Reserved        int               // tasks for which capacity is reserved
	PreemptedFor    map[string]string // by machine: the job for which tasks of this one were recently preempted
}

// InFlight is a group of tasks on one machine that are neither waiting nor running.
type InFlight struct {
	Kind         predicate.Kind
	State        string
	Machine      string
	Tasks        int
	Since        eventloop.Micros // wall clock; 0: not known
	ConfirmedBy  string
	PreemptedFor string
}

// Bounds on the lists in an answer.
const (
	maxGroups   = 40
	maxAhead    = 20
	maxMachines = 20
)

// Reasons returns every reason that follows from the owner's facts, in the order of the
// predicates.
func Reasons(f *Facts) []Reason {
	var out []Reason
	add := func(k predicate.Kind, tasks int) *Reason {
		out = append(out, Reason{Kind: k.String(), Tasks: tasks, BlockedBy: []string{}})
		return &out[len(out)-1]
	}
	n := f.JobFacts.Waiting
	if n > 0 && !f.StateContact {
		r := add(predicate.StateContact, n)
		r.State, r.Release = "lost", "the owner regains contact with the state service, or another controller takes the team over"
	}
	for _, c := range f.JobFacts.Causes(nil) {
		f.addPredicateDetail(c.Kind, add(c.Kind, c.Tasks))
	}
	if n > 0 {
		f.addMachineReasons(add)
	}
	f.addInFlight(add)
	return out
}

// addPredicateDetail fills in the particulars of a predicate on the job itself that blocks it.
func (f *Facts) addPredicateDetail(k predicate.Kind, r *Reason) {
	switch k {
	case predicate.Damaged:
		r.State, r.Release = "setAside", "the damaged record of the job's tasks is repaired; the owner's log names its key"
	case predicate.Hold:
		h := f.JobFacts.Hold
		d := &HoldDetail{Reason: h.Reason, By: h.By, At: Time(h.RequestedAt)}
		r.Detail.Hold, r.State = d, HoldName(h.State)
		r.Release = "an operator releases the job"
		if h.Until != 0 {
			until := Time(h.Until)
			d.Until, r.Until = &until, &until
			left := Duration(max(h.Until+f.JobFacts.ClockDifference-f.Wall, 0))
			r.Estimate = &Estimate{Low: left, Likely: left, High: left + Duration(eventloop.Second)}
			r.Release = "the hold ends by itself, or an operator releases the job"
		}
	case predicate.Dependency:
		r.State, r.Release = "waiting", "every job named is done"
		withdrawn := false
		for i := range f.JobFacts.Dependencies {
			d := &f.JobFacts.Dependencies[i]
			if f.JobFacts.DependencyMet(d) {
				continue
			}
			b := JobDependency{Job: d.ID, State: PhaseName(d.Phase)}
			if d.Phase == job.Cancelled {
				withdrawn = true
				b.Policy = PolicyName(f.JobFacts.OnCancelled)
			}
			r.Detail.Dependencies = append(r.Detail.Dependencies, b)
			r.BlockedBy = append(r.BlockedBy, d.ID)
		}
		if withdrawn {
			r.State, r.Release = "withdrawn", "an operator releases the job from its dependency on the withdrawn jobs, and the other jobs named are done"
			if f.JobFacts.OnCancelled == job.PolicyCancel {
				r.State, r.Release = "withdrawing", "nothing: the job is being withdrawn, as its onWithdrawn policy says"
			}
		}
	case predicate.BackOff:
		until := Time(f.Wall + f.JobFacts.Failing.BackOffUntil - f.Now)
		left := Duration(f.JobFacts.Failing.BackOffUntil - f.Now)
		r.State, r.Until = "resting", &until
		r.Estimate = &Estimate{Low: left, Likely: left, High: left + Duration(eventloop.Second)}
		r.Detail.Failures = f.failures()
		r.Release = "its back-off ends; then a few of its tasks are tried again"
	case predicate.Probation:
		r.State, r.Release = "oneAtATime", "a task of the job completes; others follow once it has run for longer than those that failed"
		switch x := &f.JobFacts.Failing; {
		case x.State == health.Sound || x.State == health.Untried:
			r.State, r.Release = "failedBefore", "the tasks that failed before complete; the job's other tasks are not held back"
		case x.MaxInUse > 1:
			r.State = "growing"
		}
		r.Detail.Failures = f.failures()
	case predicate.Limit:
		r.State, r.Release = "full", "tasks of the team "+f.Team.Name+" end, or its limit is raised"
		r.Detail.Team = f.teamUse()
	}
}

func (f *Facts) failures() *FailureSummary {
	x := &f.JobFacts.Failing
	return &FailureSummary{ConsecutiveFailures: x.ConsecutiveFailures, Machines: x.Machines, Verdict: x.State.String(), Tasks: x.FailedWaiting}
}

func (f *Facts) teamUse() *TeamUse {
	return &TeamUse{Team: f.Team.Name, CPUs: f.JobFacts.TeamUsage.CPUs, CPUsMax: f.JobFacts.Quota.CPUsMax, CPUsGuaranteed: f.JobFacts.Quota.CPUs,
		GPUs: f.JobFacts.TeamUsage.GPUs, GPUsMax: f.JobFacts.Quota.GPUsMax, WithinGuarantee: f.WithinGuarantee}
}

// addMachineReasons adds the reasons why the machines do not take the waiting tasks that the
// job's own predicates allow.
func (f *Facts) addMachineReasons(add func(predicate.Kind, int) *Reason) {
	n, s := f.JobFacts.Waiting, f.Need.Spec
	needs := &Needs{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Types: s.Types, Zone: s.Zone, Spot: s.Spot}
	cordoned := f.FitsAll - f.Fits
	if f.AllCordoned {
		cordoned = n - f.Fits
	}
	if s.Gang {
		cordoned = 0
		if f.FitsAll > f.Fits || (f.AllCordoned && f.Fits < n) {
			cordoned = n
		}
	}
	if cordoned > 0 {
		r := add(predicate.Cordon, cordoned)
		r.State, r.Release = "cordoned", "an operator lifts the cordon"
		r.Detail.Cordons, r.Detail.Needs = f.Cordons, needs
		r.BlockedBy = append(r.BlockedBy, f.Cordons...)
	}
	short, kind := n-f.FitsAll, predicate.Capacity
	if s.Gang {
		kind = predicate.Gang
		if short > 0 || f.JobFacts.InUse > 0 {
			short = n
		}
	}
	if short > 0 {
		r := add(kind, short)
		r.State, r.Release = "noRoom", "tasks end, or a machine that allows the job comes up"
		if !f.WithinGuarantee {
			// Only work within its team's guarantee may preempt what others run beyond theirs.
			r.State = "nothingToBorrow"
			if !f.JobFacts.Quota.Guaranteed() {
				r.State = "behindGuarantees" // nothing is preempted for a team without a guarantee
				r.Release = "tasks end, or a machine that allows the job comes up, beyond what is guaranteed to others"
			}
		}
		if kind == predicate.Gang {
			r.State, r.Release = "notAllAtOnce", "there is free capacity for all of its tasks at once"
			if f.JobFacts.InUse > 0 {
				r.State, r.Release = "leftOver", "the tasks of its earlier start have terminated"
			}
		}
		r.Detail.Needs, r.Detail.Team, r.Detail.Machines = needs, f.teamUse(), f.countLacks()
		r.Detail.Reserved = f.Reserved
		for _, by := range f.PreemptedFor {
			if !slices.Contains(r.Detail.PreemptedFor, by) {
				r.Detail.PreemptedFor = append(r.Detail.PreemptedFor, by)
			}
		}
		slices.Sort(r.Detail.PreemptedFor)
	}
	if tasks := f.Behind; tasks > 0 {
		if s.Gang {
			tasks = n
		}
		r := add(predicate.Rank, tasks)
		r.State = "behind"
		if !f.Exact {
			r.State = "mayBeBehind"
		}
		r.Release = "the jobs named are placed, or are withdrawn"
		r.Detail.Ahead = f.Ahead[:min(len(f.Ahead), maxAhead)]
		for _, a := range r.Detail.Ahead {
			r.BlockedBy = append(r.BlockedBy, a.Job)
		}
	} else if cordoned <= 0 && short <= 0 && f.StateContact && f.JobFacts.Unblocked() && f.JobFacts.MinAllowedTasks() > 0 {
		r := add(predicate.NextPass, min(n, f.JobFacts.MinAllowedTasks()))
		r.State, r.Release = "due", "nothing: the next scheduling pass places it"
		r.Estimate = &Estimate{Low: 0, Likely: Duration(50 * eventloop.Millisecond), High: Duration(eventloop.Second)}
	}
}

// countLacks counts what the machines lack, by type, zone and kind.
func (f *Facts) countLacks() *Machines {
	type key struct {
		typ, zone string
		spot      bool
	}
	at := map[key]int{}
	m := &Machines{Groups: []MachineGroup{}}
	for _, p := range f.Machines {
		m.Examined++
		k := key{p.View.Type, p.View.Zone, p.View.Spot}
		i, ok := at[k]
		if !ok {
			if len(m.Groups) >= maxGroups {
				m.MoreGroups++
				continue
			}
			i = len(m.Groups)
			at[k] = i
			m.Groups = append(m.Groups, MachineGroup{Type: k.typ, Zone: k.zone, Kind: MachineKind(k.spot), Lacks: map[string]int{}})
		}
		g := &m.Groups[i]
		g.Machines++
		l := p.Lacks(&f.Need, f.ReportedAfter, f.Now)
		l.Each(func(name string) { g.Lacks[name]++ })
		if l&predicate.LackBackOffOver != 0 {
			if g.InBackOff == nil {
				g.InBackOff = map[string]int{}
			}
			g.InBackOff[p.BackOffReason]++
		}
	}
	return m
}

// addInFlight adds the reasons of tasks that are neither waiting nor running.
func (f *Facts) addInFlight(add func(predicate.Kind, int) *Reason) {
	for _, k := range []predicate.Kind{predicate.Recording, predicate.Starting, predicate.Fetching, predicate.Saving, predicate.Unconfirmed} {
		var r *Reason
		for i := range f.InFlight {
			x := &f.InFlight[i]
			if x.Kind != k {
				continue
			}
			if r == nil {
				r = add(k, 0)
				r.State, r.Release = x.State, inFlightRelease[k]
			}
			if x.State != r.State {
				r.State = "several"
			}
			r.Tasks += x.Tasks
			if len(r.Detail.On) < maxMachines {
				r.Detail.On = append(r.Detail.On, MachineTasks{Machine: x.Machine, State: x.State, Tasks: x.Tasks, Since: Time(x.Since), ConfirmedBy: x.ConfirmedBy, PreemptedFor: x.PreemptedFor})
			}
			if x.PreemptedFor != "" {
				r.BlockedBy = append(r.BlockedBy, x.PreemptedFor)
			}
		}
	}
}

var inFlightRelease = map[predicate.Kind]string{
	predicate.Recording:   "the attempt is stored in the state service",
	predicate.Starting:    "the machine reports the task",
	predicate.Fetching:    "the machine has fetched the image",
	predicate.Saving:      "the task has saved its checkpoint; then it is placed again",
	predicate.Unconfirmed: "the task is confirmed terminated, or reports of the machine named arrive again",
}

// HoldName returns the printed form of a hold's state.
func HoldName(s job.HoldState) string {
	switch s {
	case job.HoldPending:
		return "settling"
	case job.HoldEffective:
		return "held"
	}
	return "none"
}

// PhaseName returns the printed form of a job's phase.
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

// PolicyName returns the printed form of a policy.
func PolicyName(p job.Policy) string {
	switch p {
	case job.PolicyRelease:
		return "release"
	case job.PolicyCancel:
		return "withdraw"
	}
	return "hold"
}

// PriorityName returns the printed form of a priority.
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
