// Package gate holds what may keep a job's tasks from going on. A gate looks at plain
// facts and answers how many tasks it lets on, or what a machine lacks for one. The
// placer asks the gates and obeys; an explanation asks the same gates and prints.
package gate

import (
	"cleatpick/internal/agent"
	"cleatpick/internal/config"
	"cleatpick/internal/health"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
)

// Kind names a cause for which a task does not run. The numbers pass between
// controllers and must not change.
type Kind uint8

// The kinds. Those up to Rank keep a waiting task from being placed; the rest tell of
// a task on its way to or on a machine.
const (
	NoOwner      Kind = 1  // no controller owns the job's team
	Loading      Kind = 2  // its owner reads the team's records
	StateContact Kind = 3  // its owner has no contact with the state service
	Damaged      Kind = 4  // a record of the job's tasks cannot be read
	Hold         Kind = 5  // held by a user or an operator
	Dependency   Kind = 6  // another job must be done first
	BackOff      Kind = 7  // it failed, and rests
	Probe        Kind = 8  // it failed, and only a few tasks try again
	Limit        Kind = 9  // the team's limit
	Gang         Kind = 10 // no room for all of its tasks at once
	Cordon       Kind = 11 // an operator keeps starts off the machines that could take it
	Room         Kind = 12 // no machine has room
	Rank         Kind = 13 // work before it in the order takes what falls free
	Recording    Kind = 14 // a machine is chosen, and the attempt is being recorded
	Starting     Kind = 15 // recorded; its machine has not shown it yet
	Fetching     Kind = 16 // its machine fetches the image
	Saving       Kind = 17 // it was told to stop, and saves
	Unproven     Kind = 18 // an earlier attempt is not proven off its machine
	Recheck      Kind = 19 // room is there: the next pass places it
	kinds        Kind = 20
)

var names = [kinds]string{NoOwner: "noOwner", Loading: "loading", StateContact: "stateContact", Damaged: "damagedRecord", Hold: "hold",
	Dependency: "dependency", BackOff: "backOff", Probe: "probe", Limit: "teamLimit", Gang: "gang", Cordon: "cordon", Room: "room", Rank: "rank",
	Recording: "recording", Starting: "starting", Fetching: "fetching", Saving: "saving", Unproven: "unproven", Recheck: "nextPass"}

// String is the kind's name in `/v1/`.
func (k Kind) String() string {
	if k < kinds && names[k] != "" {
		return names[k]
	}
	return "unknown"
}

// Named finds a kind by its name; 0 when there is none.
func Named(name string) Kind {
	for k, n := range names {
		if n == name && n != "" {
			return Kind(k)
		}
	}
	return 0
}

// Names lists all kinds' names in the order of the kinds.
func Names() []string {
	var out []string
	for _, n := range names {
		if n != "" {
			out = append(out, n)
		}
	}
	return out
}

// Cause is a kind with the number of tasks that it keeps.
type Cause struct {
	_     struct{} `cbor:",toarray"`
	Kind  Kind
	Tasks int
	Since loop.Micros // time of day since which it holds; 0: since now
}

// Everything is more tasks than any job has.
const Everything = 1 << 30

// Dep is a job that must be done first, as far as it is known.
type Dep struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Phase  job.Phase // empty: not known here yet
	Waived bool      // an operator released the job from this one, which was withdrawn
}

// Job are the facts by which a job's own gates judge, all its machines left aside.
type Job struct {
	Spec        *job.Spec
	Hold        *job.Hold
	After       []Dep
	OnWithdrawn job.Policy
	Damaged     bool
	Waiting     int
	InUse       int // tasks that may be on machines
	Failing     Failing
	Used        agent.Room // by its team; memory is not limited
	Quota       config.Quota
	Now, Wall   loop.Micros
	ClockTo     loop.Micros // twice the bound on the time of day
}

// Failing is what is known of a job's failures.
type Failing struct {
	State    health.ProbationState
	Moments  int // of failure, in a row
	Machines int // on which it failed, not at fault themselves, since a task completed
	RestTo   loop.Micros
	Width    int // tasks that may be under way while the job is not trusted
	Late     int // waiting tasks that failed before
	LateNow  int // of these, how many are tried at once after a rest
}

// trusted tells whether nothing but the tasks that failed is held back.
func (f *Failing) trusted() bool {
	return f.State == health.Untried || f.State == health.Sound
}

// resting tells whether what failed waits for the end of a rest.
func (j *Job) resting() bool { return j.Now < j.Failing.RestTo }

// probes is how many waiting tasks its failures let a job have under way. A gang is tried
// as a whole: one of its tasks alone would wait for the others.
func (j *Job) probes() int {
	f := &j.Failing
	switch {
	case j.Spec.Gang || f.Moments == 0:
		return Everything
	case !f.trusted():
		return f.Width - j.InUse
	}
	fresh := j.Waiting - f.Late
	if fresh > 0 && j.resting() {
		return fresh
	}
	return fresh + f.LateNow
}

// whole are the gates that let all of a job's tasks on or none.
var whole = [...]Kind{Damaged, Hold, Dependency, BackOff}

// counted are the gates that let a number of tasks on.
var counted = [...]Kind{Probe, Limit}

// Passes is how many of the waiting tasks the gate lets on.
func (j *Job) Passes(k Kind) int {
	shut := false
	switch k {
	case Damaged:
		shut = j.Damaged
	case Hold:
		// Hosts go by their own clocks, so the owner waits until all of them agree.
		shut = j.Hold.Shut(j.Wall - j.ClockTo)
	case Dependency:
		shut = j.unmet()
	case BackOff:
		// Tasks of a sound job that never failed do not wait for those that did.
		shut = j.resting() && (!j.Failing.trusted() || j.Spec.Gang || j.Failing.Late >= j.Waiting)
	case Probe:
		return j.probes()
	case Limit:
		return j.limit()
	}
	if shut {
		return 0
	}
	return Everything
}

// Open tells whether no gate shuts the whole job.
func (j *Job) Open() bool {
	for _, k := range whole {
		if j.Passes(k) == 0 {
			return false
		}
	}
	return true
}

// Least is how many of the waiting tasks all counted gates let on.
func (j *Job) Least() int {
	n := Everything
	for _, k := range counted {
		n = min(n, j.Passes(k))
	}
	return n
}

// limit is how many waiting tasks the team's limit leaves room for.
func (j *Job) limit() int {
	return j.Quota.Tasks(j.Waiting, j.Used.CPUs, j.Spec.CPUs, j.Used.GPUs, j.Spec.GPUs)
}

// unmet tells whether a job that must be done first is not. What was read as done or
// withdrawn stays so, so that no condition on its record is needed at a start.
func (j *Job) unmet() bool {
	for i := range j.After {
		if !j.Met(&j.After[i]) {
			return true
		}
	}
	return false
}

// Met tells whether a dependency does not hold the job any more.
func (j *Job) Met(d *Dep) bool {
	switch d.Phase {
	case job.Done:
		return true
	case job.Withdrawn:
		return j.OnWithdrawn == job.PolicyRelease || d.Waived
	}
	return false
}

// MustWithdraw tells whether the job is to be withdrawn since one before it was.
func (j *Job) MustWithdraw() bool {
	if j.OnWithdrawn != job.PolicyWithdraw {
		return false
	}
	for i := range j.After {
		if j.After[i].Phase == job.Withdrawn {
			return true
		}
	}
	return false
}

// Causes lists every job gate that keeps waiting tasks back, and how many each keeps.
func (j *Job) Causes(out []Cause) []Cause {
	if j.Waiting == 0 {
		return out
	}
	for _, k := range whole {
		if j.Passes(k) == 0 {
			out = append(out, Cause{Kind: k, Tasks: j.Waiting})
		}
	}
	for _, k := range counted {
		if n := j.Waiting - max(j.Passes(k), 0); n > 0 {
			if j.Spec.Gang {
				n = j.Waiting // all of a gang or none
			}
			out = append(out, Cause{Kind: k, Tasks: n})
		}
	}
	return out
}
