package health

import "cleatpick/internal/eventloop"

// ProbationState is what is known about whether a job can succeed at all.
type ProbationState uint8

// The probation states of a job.
const (
	Untried   ProbationState = iota // no task has ended yet
	Sound                           // a task has completed, so failures do not mean that the job is broken
	Suspected                       // tasks have failed and none has completed
	Broken                          // it fails on several machines that are not at fault
)

func (s ProbationState) String() string {
	return [...]string{"untried", "sound", "doubted", "broken"}[s]
}

// Probation is the probation of one job at its owner: it limits the retries after failures. A
// burst of failures counts once, however many tasks fail in it. If each failure doubled the
// back-off, the simultaneous failure of many tasks would cause a back-off of half a minute.
type Probation struct {
	State               ProbationState
	ConsecutiveFailures int              // a burst of failures counts as one
	BackOffUntil        eventloop.Micros // tasks that failed, or all of a job that is not trusted, wait until then
	longestFailure      eventloop.Micros // the longest time from the choice of a machine to a failure
	burstAt             eventloop.Micros // when the newest burst was counted
	// OnChange is called for every change of the state. It may be nil.
	OnChange func(from, to ProbationState)
}

const (
	initialBackOff = eventloop.Second // back-off after the first burst of failures
	// survivalMargin is how much longer than the failures took a task must have run for the job to
	// be allowed more tasks at once.
	survivalMargin = 2 * eventloop.Second
)

// setState is the only place where the state changes.
func (t *Probation) setState(s ProbationState) {
	if t.State == s {
		return
	}
	from := t.State
	t.State = s
	if t.OnChange != nil {
		t.OnChange(from, s)
	}
}

// BackOff returns the back-off of a job after a number of consecutive failures, a burst counted as one.
func BackOff(failures int) eventloop.Micros { return initialBackOff << min(max(failures-1, 0), 5) }

// Fail records a failure that is attributed to the job. chosen is when the attempt's machine
// was chosen, healthyMachines the number of machines not at fault on which the job has failed. An
// attempt whose machine was chosen before the newest burst was counted belongs to that burst.
func (t *Probation) Fail(now, chosen eventloop.Micros, healthyMachines int) {
	if t.ConsecutiveFailures == 0 || chosen >= t.burstAt {
		t.ConsecutiveFailures++
		t.burstAt = now
		t.BackOffUntil = now + BackOff(t.ConsecutiveFailures)
		t.longestFailure = 0
	}
	t.longestFailure = max(t.longestFailure, now-chosen)
	switch {
	case healthyMachines >= BrokenOn:
		t.setState(Broken)
	case t.State == Untried:
		t.setState(Suspected)
	}
}

// Complete records that a task has completed. A task that failed before, or any task of a job
// that was not sound, resets the back-off; other tasks of a sound job are no evidence that
// those that fail can succeed.
func (t *Probation) Complete(failedBefore bool) {
	if failedBefore || t.State != Sound {
		t.ConsecutiveFailures, t.BackOffUntil, t.longestFailure = 0, 0, 0
	}
	t.setState(Sound)
}

// Survives reports whether a task that has not failed, and whose machine was chosen at the
// given time, has run for longer than the failures took.
func (t *Probation) Survives(now, chosen eventloop.Micros) bool {
	return now-chosen > t.longestFailure+survivalMargin
}

// Trusted reports whether the number of the job's running tasks is not limited.
func (t *Probation) Trusted() bool { return t.State == Untried || t.State == Sound }

// MaxInUse returns how many tasks of a job that is not trusted may run at once, given how many
// of them have survived: it starts with a single canary task.
func MaxInUse(survivors int) int { return 1 + 2*survivors }

// ConcurrentRetries returns how many of a trusted job's waiting tasks that failed before may be retried at
// once after the back-off: half as many after each burst of failures, but at least one.
func (t *Probation) ConcurrentRetries(waiting int) int {
	return max(min(waiting, 1), waiting>>min(t.ConsecutiveFailures, 30))
}
