package scale

import (
	"fmt"
	"sync"
	"time"

	"cleatpick/internal/agent"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longestStart = 600_000 // ms; longer times to start are recorded as this
	digits       = 3       // significant digits of the histograms
	mostBreaks   = 20      // violations whose text is kept
)

// jobState is what the simulated users and workers have observed of a job.
type jobState struct {
	spec      jobSpec
	submitted time.Time
	accepted  time.Time
	cancelled time.Time // when its user was first told that it is cancelled
	done      bool
	started   map[int]bool // by index of the task
}

// referee checks the invariants that are observable to users and workers, independently of the controllers, and
// measures the times to start. Its methods may be called from any goroutine.
type referee struct {
	cancelWithin time.Duration // how long after its cancellation a job's tasks may still run
	timedFrom    time.Time     // the tasks of jobs submitted earlier are not timed

	mu       sync.Mutex
	jobs     map[string]*jobState
	on       map[string]string // machine of each running task
	starts   map[int64]int     // by Unix second
	total    int               // starts
	running  int
	most     int                     // the most tasks that ran at a time
	urgent   *hdrhistogram.Histogram // ms from submission to start
	other    *hdrhistogram.Histogram
	broken   []string // texts of the first violations
	breaks   int      // number of violations
	accepted int      // jobs
	polls    int      // of accepted jobs
	unknown  int      // polls that were not answered 200
}

// newReferee returns a checker that allows tasks to run for cancelWithin after the cancellation of their job.
func newReferee(cancelWithin time.Duration) *referee {
	return &referee{cancelWithin: cancelWithin, jobs: map[string]*jobState{}, on: map[string]string{}, starts: map[int64]int{},
		urgent: hdrhistogram.New(1, longestStart, digits), other: hdrhistogram.New(1, longestStart, digits)}
}

// violated records a violation. The text begins with the name of the rule. The caller holds the lock.
func (r *referee) violated(format string, args ...any) {
	r.breaks++
	if len(r.broken) < mostBreaks {
		r.broken = append(r.broken, fmt.Sprintf(format, args...))
	}
}

// began records that a task started on a machine. It checks that the task runs on no other machine, that its job was
// submitted and that the job was not cancelled too long ago.
func (r *referee) began(task, machine string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if was, ok := r.on[task]; ok && was != machine {
		r.violated("ran_twice: %s started on %s while it runs on %s", task, machine, was)
	}
	r.on[task] = machine
	r.total++
	r.running++
	r.most = max(r.most, r.running)
	r.starts[now.Unix()]++
	id, index, _ := agent.SplitTask(task)
	j := r.jobs[id]
	if j == nil {
		r.violated("invented: %s started, but its job was never submitted", task)
		return
	}
	if !j.cancelled.IsZero() && now.Sub(j.cancelled) > r.cancelWithin {
		r.violated("ran_cancelled: %s started %v after the cancellation of its job", task, now.Sub(j.cancelled))
	}
	if j.started[index] {
		return
	}
	j.started[index] = true
	if j.submitted.Before(r.timedFrom) {
		return
	}
	waited := min(now.Sub(j.submitted).Milliseconds(), longestStart)
	if j.spec.urgent {
		r.urgent.RecordValue(max(waited, 1))
	} else {
		r.other.RecordValue(max(waited, 1))
	}
}

// left records that a task ended on a machine.
func (r *referee) left(task, machine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.on[task] == machine {
		delete(r.on, task)
	}
	r.running--
}

// submitting records that a user is about to submit a job for the first time.
func (r *referee) submitting(spec jobSpec, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[spec.id] = &jobState{spec: spec, submitted: now, started: map[int]bool{}}
}

// job returns the description of a submitted job, which simulated workers need to run its tasks.
func (r *referee) job(id string) (jobSpec, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if j == nil {
		return jobSpec{}, false
	}
	return j.spec, true
}

// told records a controller's answer to the user of a job. It checks that an accepted job stays known and that a
// finished or cancelled job does not change its state again.
func (r *referee) told(id string, status int, state string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if status == 404 && !j.accepted.IsZero() {
		r.violated("forgotten: %s was accepted but is now answered with 404", id)
	}
	if status != 200 && status != 201 {
		return
	}
	if j.accepted.IsZero() {
		j.accepted = now
		r.accepted++
	}
	switch state {
	case "withdrawn":
		if j.done {
			r.violated("went_back: %s was done but is now withdrawn", id)
		}
		if j.cancelled.IsZero() {
			j.cancelled = now
		}
	case "done":
		if !j.cancelled.IsZero() {
			r.violated("went_back: %s was withdrawn but is now done", id)
		}
		j.done = true
	default:
		if j.done || !j.cancelled.IsZero() {
			r.violated("went_back: %s was done or withdrawn but is now %s", id, state)
		}
	}
}

// polled counts the answer to a poll of an accepted job. The status is 0 if there was no answer.
func (r *referee) polled(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.polls++
	if status != 200 {
		r.unknown++
	}
}

// stillCancelled records a violation for each task that still runs too long after the cancellation of its job.
func (r *referee) stillCancelled(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, machine := range r.on {
		id, _, _ := agent.SplitTask(task)
		if j := r.jobs[id]; j != nil && !j.cancelled.IsZero() && now.Sub(j.cancelled) > r.cancelWithin {
			r.violated("ran_cancelled: %s still runs on %s %v after the cancellation of its job", task, machine, now.Sub(j.cancelled))
		}
	}
}
