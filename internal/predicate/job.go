// Package predicate holds the scheduling predicates: the conditions that can keep a job's tasks from being placed
// or run. A job predicate returns how many waiting tasks it allows; a machine predicate returns what a
// machine lacks for a task. The predicates only look at facts that their callers collect. The scheduler
// enforces the results, and explanations of waiting jobs evaluate the same predicates, so that the two always
// agree. The package also owns the names of the causes of waiting, which users see.
package predicate

import (
	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/health"
	"cleatpick/internal/job"
	"cleatpick/internal/workers"
)

// Kind is a cause for which a task does not run. The numbers pass between controllers and must not change.
type Kind uint8

// The kinds. Those up to Rank keep a waiting task from being placed, as does NextPass until the next
// pass; the others describe a task on its way to a machine or on it.
const (
	NoOwner      Kind = 1  // no controller owns the job's team
	Loading      Kind = 2  // its owner is reading the team's records
	StateContact Kind = 3  // its owner has no contact with the state service
	Damaged      Kind = 4  // a record of the job's tasks cannot be read
	Hold         Kind = 5  // put on hold by a user or an operator
	Dependency   Kind = 6  // a job that must be done first is not
	BackOff      Kind = 7  // it failed, and waits for the end of its back-off
	Probation    Kind = 8  // it failed, and only a few tasks may try again
	Limit        Kind = 9  // the team's limit
	Gang         Kind = 10 // not enough capacity for all of its tasks at once
	Cordon       Kind = 11 // the machines that could take it are cordoned
	Capacity     Kind = 12 // no machine has the capacity
	Rank         Kind = 13 // jobs before it in the order take the capacity that is freed
	Recording    Kind = 14 // a machine is chosen, and the attempt is being recorded
	Starting     Kind = 15 // recorded; its machine has not reported it yet
	Fetching     Kind = 16 // its machine is fetching the image
	Saving       Kind = 17 // being stopped, and saving its state
	Unconfirmed  Kind = 18 // an earlier attempt is not confirmed terminated
	NextPass     Kind = 19 // capacity is free: the next pass places it
	kindCount    Kind = 20
)

var kindNames = [kindCount]string{NoOwner: "noOwner", Loading: "loading", StateContact: "stateContact", Damaged: "damagedRecord", Hold: "hold",
	Dependency: "dependency", BackOff: "backOff", Probation: "probe", Limit: "teamLimit", Gang: "gang", Cordon: "cordon", Capacity: "room", Rank: "rank",
	Recording: "recording", Starting: "starting", Fetching: "fetching", Saving: "saving", Unconfirmed: "unproven", NextPass: "nextPass"}

// String returns the kind's name in `/v1/`.
func (k Kind) String() string {
	if k < kindCount && kindNames[k] != "" {
		return kindNames[k]
	}
	return "unknown"
}

// KindByName returns the kind with the given name, or 0 if there is none.
func KindByName(name string) Kind {
	for k, n := range kindNames {
		if n == name && n != "" {
			return Kind(k)
		}
	}
	return 0
}

// Names lists the names of all kinds, in the order of the kinds.
func Names() []string {
	var out []string
	for _, n := range kindNames {
		if n != "" {
			out = append(out, n)
		}
	}
	return out
}

// Cause is a kind with the number of tasks that it keeps waiting.
type Cause struct {
	_     struct{} `cbor:",toarray"`
	Kind  Kind
	Tasks int
	Since eventloop.Micros // wall clock time since which it holds; 0: since now
}

// Unlimited stands for no bound: it is more tasks than any job has.
const Unlimited = 1 << 30

// Dep is a job that must be done first, with what is known of it here.
type Dep struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Phase  job.Phase // empty: not known here yet
	Waived bool      // an operator waived this dependency, whose job was cancelled
}

// JobFacts holds the facts that the job predicates evaluate. Machines are not part of them.
type JobFacts struct {
	Spec            *job.Spec
	Hold            *job.Hold
	Dependencies    []Dep
	OnCancelled     job.Policy
	Damaged         bool
	Waiting         int
	InUse           int // tasks that may be on machines
	Failing         FailureState
	TeamUsage       workers.Capacity // memory has no limit
	Quota           config.Quota
	Now, Wall       eventloop.Micros
	ClockDifference eventloop.Micros // the largest difference between two wall clocks: twice the bound on the error of one
}

// FailureState describes a job's recent failures.
type FailureState struct {
	State               health.ProbationState
	ConsecutiveFailures int // a burst of failures counts as one: attempts placed before the newest counted failure do not count again
	Machines            int // machines, not faulty themselves, on which it failed since a task last completed
	BackOffUntil        eventloop.Micros
	MaxInUse            int // tasks that may run at once while the job is on probation
	FailedWaiting       int // waiting tasks that failed before
	ConcurrentRetries   int // how many of these may be retried at once after the back-off
}

// trusted reports whether only the tasks that failed are held back, as opposed to all tasks of the job.
func (f *FailureState) trusted() bool {
	return f.State == health.Untried || f.State == health.Sound
}

// inBackOff reports whether the failed tasks are in back-off.
func (j *JobFacts) inBackOff() bool { return j.Now < j.Failing.BackOffUntil }

// probationTasks returns how many waiting tasks may start, given the job's failures. A gang is retried as a
// whole, since one of its tasks alone would wait for the others.
func (j *JobFacts) probationTasks() int {
	f := &j.Failing
	switch {
	case j.Spec.Gang || f.ConsecutiveFailures == 0:
		return Unlimited
	case !f.trusted():
		return f.MaxInUse - j.InUse
	}
	fresh := j.Waiting - f.FailedWaiting
	if fresh > 0 && j.inBackOff() {
		return fresh
	}
	return fresh + f.ConcurrentRetries
}

// jobWide lists the predicates that allow all of a job's tasks or none.
var jobWide = [...]Kind{Damaged, Hold, Dependency, BackOff}

// counted lists the predicates that allow a number of tasks.
var counted = [...]Kind{Probation, Limit}

// AllowedTasks returns how many of the waiting tasks the predicate allows.
func (j *JobFacts) AllowedTasks(k Kind) int {
	blocked := false
	switch k {
	case Damaged:
		blocked = j.Damaged
	case Hold:
		// Each host controller uses its own wall clock, so the owner waits until the hold has ended by all of
		// them.
		blocked = j.Hold.Blocks(j.Wall - j.ClockDifference)
	case Dependency:
		blocked = j.dependencyUnmet()
	case BackOff:
		// Tasks of a trusted job that never failed do not wait for those that did.
		blocked = j.inBackOff() && (!j.Failing.trusted() || j.Spec.Gang || j.Failing.FailedWaiting >= j.Waiting)
	case Probation:
		return j.probationTasks()
	case Limit:
		return j.limitTasks()
	}
	if blocked {
		return 0
	}
	return Unlimited
}

// Unblocked reports whether no predicate blocks the job as a whole.
func (j *JobFacts) Unblocked() bool {
	for _, k := range jobWide {
		if j.AllowedTasks(k) == 0 {
			return false
		}
	}
	return true
}

// MinAllowedTasks returns how many of the waiting tasks all counted predicates allow.
func (j *JobFacts) MinAllowedTasks() int {
	n := Unlimited
	for _, k := range counted {
		n = min(n, j.AllowedTasks(k))
	}
	return n
}

// limitTasks returns how many waiting tasks fit into the team's limit.
func (j *JobFacts) limitTasks() int {
	return j.Quota.MaxTasks(j.Waiting, j.TeamUsage.CPUs, j.Spec.CPUs, j.TeamUsage.GPUs, j.Spec.GPUs)
}

// dependencyUnmet reports whether a dependency is not met. Done and cancelled are final phases, so a start
// needs no condition on the record of the other job.
func (j *JobFacts) dependencyUnmet() bool {
	for i := range j.Dependencies {
		if !j.DependencyMet(&j.Dependencies[i]) {
			return true
		}
	}
	return false
}

// DependencyMet reports whether the dependency no longer blocks the job.
func (j *JobFacts) DependencyMet(d *Dep) bool {
	switch d.Phase {
	case job.Done:
		return true
	case job.Cancelled:
		return j.OnCancelled == job.PolicyRelease || d.Waived
	}
	return false
}

// MustCancel reports whether the job is to be cancelled because a job that it depends on was.
func (j *JobFacts) MustCancel() bool {
	if j.OnCancelled != job.PolicyCancel {
		return false
	}
	for i := range j.Dependencies {
		if j.Dependencies[i].Phase == job.Cancelled {
			return true
		}
	}
	return false
}

// Causes appends every job predicate that keeps tasks waiting, with the number of these tasks.
func (j *JobFacts) Causes(out []Cause) []Cause {
	if j.Waiting == 0 {
		return out
	}
	for _, k := range jobWide {
		if j.AllowedTasks(k) == 0 {
			out = append(out, Cause{Kind: k, Tasks: j.Waiting})
		}
	}
	for _, k := range counted {
		if n := j.Waiting - max(j.AllowedTasks(k), 0); n > 0 {
			if j.Spec.Gang {
				n = j.Waiting // a gang is placed whole or not at all
			}
			out = append(out, Cause{Kind: k, Tasks: n})
		}
	}
	return out
}
