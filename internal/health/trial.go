package health

import "cleatpick/internal/loop"

// TrialState names what is known of whether a job can succeed at all.
type TrialState uint8

// The states of a job's trial.
const (
	Untried TrialState = iota // no task has ended yet
	Sound                     // a task has completed, and failures do not speak against the job
	Doubted                   // tasks failed and none has completed
	Broken                    // it fails on several machines that are not at fault
)

func (s TrialState) String() string {
	return [...]string{"untried", "sound", "doubted", "broken"}[s]
}

// Trial follows one job's failures at its owner. Failures of one moment count once,
// however many tasks fell in it: each failure of a burst once doubled the rest, so that a
// job was sent to rest for half a minute by a single millisecond.
type Trial struct {
	State   TrialState
	Moments int         // in a row
	RestTo  loop.Micros // tasks that failed, or all of a job that is not sound, wait until then
	took    loop.Micros // the longest time from the choice of a machine to a failure
	since   loop.Micros // when the newest moment was counted
	// Changed is called for every change of the state; it may be nil.
	Changed func(from, to TrialState)
}

const (
	firstRest = loop.Second
	// survived is for how much longer than failures took a task must have run for its job
	// to be trusted with more at once.
	survived = 2 * loop.Second
)

// setState is the one place where a trial changes state.
func (t *Trial) setState(s TrialState) {
	if t.State == s {
		return
	}
	from := t.State
	t.State = s
	if t.Changed != nil {
		t.Changed(from, s)
	}
}

// RestFor is how long a job rests after so many moments of failure in a row.
func RestFor(moments int) loop.Micros { return firstRest << min(max(moments-1, 0), 5) }

// Fail takes in a failure that speaks against the job: of an attempt whose machine was
// chosen at a time, on one of so many machines that are not at fault. What was chosen
// before the newest moment was counted belongs to it.
func (t *Trial) Fail(now, chosen loop.Micros, against int) {
	if t.Moments == 0 || chosen >= t.since {
		t.Moments++
		t.since = now
		t.RestTo = now + RestFor(t.Moments)
		t.took = 0
	}
	t.took = max(t.took, now-chosen)
	switch {
	case against >= BrokenOn:
		t.setState(Broken)
	case t.State == Untried:
		t.setState(Doubted)
	}
}

// Complete takes in that a task has completed. One that failed before, or the first of a
// job that was not trusted, ends the row; others of a sound job say nothing of those that fail.
func (t *Trial) Complete(failedBefore bool) {
	if failedBefore || t.State != Sound {
		t.Moments, t.RestTo, t.took = 0, 0, 0
	}
	t.setState(Sound)
}

// Survives tells whether a task whose machine was chosen at a time, and which has not
// failed, has run for longer than the failures took.
func (t *Trial) Survives(now, chosen loop.Micros) bool { return now-chosen > t.took+survived }

// Trusted tells whether as many tasks may be under way as there is room for.
func (t *Trial) Trusted() bool { return t.State == Untried || t.State == Sound }

// Width is how many tasks of a job that is not trusted may be under way, while so many
// have survived: it grows from one that probes.
func Width(survivors int) int { return 1 + 2*survivors }

// Late is how many of a trusted job's waiting tasks that failed before may be tried at
// once after a rest: half as many at each moment, but always one.
func (t *Trial) Late(waiting int) int { return max(min(waiting, 1), waiting>>min(t.Moments, 30)) }
