package scale

import (
	"fmt"
	"sync"
	"time"

	"cleatpick/internal/workers"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxStartMs        = 600_000 // ms; longer times to start are recorded as this
	significantDigits = 3       // significant digits of the histograms
	maxViolationTexts = 20      // violations whose text is kept
)

// jobState is what the simulated users and workers have observed of a job.
type jobState struct {
	spec      jobSpec
	submitted time.Time
	accepted  time.Time
	cancelled time.Time // when its user first received the answer that it is cancelled
	done      bool
	started   map[int]bool // by index of the task
}

// invariantChecker checks the invariants that are observable to users and workers, independently of the controllers,
// and measures the times to start. Its methods may be called from any goroutine.
type invariantChecker struct {
	cancelWithin time.Duration // how long after its cancellation a job's tasks may still run
	measureFrom  time.Time     // the tasks of jobs submitted earlier are not timed

	mu             sync.Mutex
	jobs           map[string]*jobState
	machineOf      map[string]string // machine of each running task
	startsBySecond map[int64]int     // by Unix second
	starts         int               // of tasks, restarts included
	running        int
	maxRunning     int                     // the most tasks that ran at a time
	urgent         *hdrhistogram.Histogram // ms from submission to start
	other          *hdrhistogram.Histogram
	violationTexts []string // texts of the first violations
	violations     int      // number of violations
	accepted       int      // jobs
	polls          int      // of accepted jobs
	failedPolls    int      // polls that were not answered 200
}

// newInvariantChecker returns a checker that allows tasks to run for cancelWithin after the cancellation of their job.
func newInvariantChecker(cancelWithin time.Duration) *invariantChecker {
	return &invariantChecker{cancelWithin: cancelWithin, jobs: map[string]*jobState{}, machineOf: map[string]string{}, startsBySecond: map[int64]int{},
		urgent: hdrhistogram.New(1, maxStartMs, significantDigits), other: hdrhistogram.New(1, maxStartMs, significantDigits)}
}

// addViolation records a violation. The text begins with the name of the rule. The caller holds the lock.
func (c *invariantChecker) addViolation(format string, args ...any) {
	c.violations++
	if len(c.violationTexts) < maxViolationTexts {
		c.violationTexts = append(c.violationTexts, fmt.Sprintf(format, args...))
	}
}

// taskStarted records that a task started on a machine. It checks that the task runs on no other machine, that its job
// was submitted and that the job was not cancelled too long ago.
func (c *invariantChecker) taskStarted(task, machine string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.machineOf[task]; ok && other != machine {
		c.addViolation("ran_twice: %s started on %s while it runs on %s", task, machine, other)
	}
	c.machineOf[task] = machine
	c.starts++
	c.running++
	c.maxRunning = max(c.maxRunning, c.running)
	c.startsBySecond[now.Unix()]++
	id, index, _ := workers.SplitTask(task)
	j := c.jobs[id]
	if j == nil {
		c.addViolation("invented: %s started, but its job was never submitted", task)
		return
	}
	if !j.cancelled.IsZero() && now.Sub(j.cancelled) > c.cancelWithin {
		c.addViolation("ran_cancelled: %s started %v after the cancellation of its job", task, now.Sub(j.cancelled))
	}
	if j.started[index] {
		return
	}
	j.started[index] = true
	if j.submitted.Before(c.measureFrom) {
		return
	}
	waited := min(now.Sub(j.submitted).Milliseconds(), maxStartMs)
	if j.spec.urgent {
		c.urgent.RecordValue(max(waited, 1))
	} else {
		c.other.RecordValue(max(waited, 1))
	}
}

// taskEnded records that a task ended on a machine.
func (c *invariantChecker) taskEnded(task, machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machineOf[task] == machine {
		delete(c.machineOf, task)
	}
	c.running--
}

// jobSubmitted records that a user is about to submit a job for the first time.
func (c *invariantChecker) jobSubmitted(spec jobSpec, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[spec.id] = &jobState{spec: spec, submitted: now, started: map[int]bool{}}
}

// job returns the description of a submitted job, which simulated workers need to run its tasks
// and get on their own, since start commands don't carry it.
func (c *invariantChecker) job(id string) (jobSpec, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		return jobSpec{}, false
	}
	return j.spec, true
}

// jobAnswered records a controller's answer to the user of a job. It checks that an accepted job stays known and that a
// finished or cancelled job does not change its state again.
func (c *invariantChecker) jobAnswered(id string, status int, state string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if status == 404 && !j.accepted.IsZero() {
		c.addViolation("forgotten: %s was accepted but is now answered with 404", id)
	}
	if status != 200 && status != 201 {
		return
	}
	if j.accepted.IsZero() {
		j.accepted = now
		c.accepted++
	}
	switch state {
	case "withdrawn":
		if j.done {
			c.addViolation("went_back: %s was done but is now withdrawn", id)
		}
		if j.cancelled.IsZero() {
			j.cancelled = now
		}
	case "done":
		if !j.cancelled.IsZero() {
			c.addViolation("went_back: %s was withdrawn but is now done", id)
		}
		j.done = true
	default:
		if j.done || !j.cancelled.IsZero() {
			c.addViolation("went_back: %s was done or withdrawn but is now %s", id, state)
		}
	}
}

// pollAnswered counts the answer to a poll of an accepted job. The status is 0 if there was no answer.
func (c *invariantChecker) pollAnswered(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.polls++
	if status != 200 {
		c.failedPolls++
	}
}

// checkCancelled records a violation for each task that still runs too long after the cancellation of its job.
func (c *invariantChecker) checkCancelled(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, machine := range c.machineOf {
		id, _, _ := workers.SplitTask(task)
		if j := c.jobs[id]; j != nil && !j.cancelled.IsZero() && now.Sub(j.cancelled) > c.cancelWithin {
			c.addViolation("ran_cancelled: %s still runs on %s %v after the cancellation of its job", task, machine, now.Sub(j.cancelled))
		}
	}
}
