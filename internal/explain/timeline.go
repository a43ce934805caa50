package explain

import (
	"cleatpick/internal/eventloop"
	"cleatpick/internal/predicate"
)

// Bounds on the timelines.
const (
	maxIntervals = 24  // ended intervals of each job
	maxFinished  = 256 // finished jobs whose timelines are kept
)

// maxInterruption is the longest interruption of a cause that does not end its interval.
const maxInterruption = 1500 * eventloop.Millisecond

type interval struct {
	kind     predicate.Kind
	from, to eventloop.Micros // wall clock; to is 0 while the cause holds
	tasks    int              // the largest number of tasks that it blocked at a time
}

// jobTimeline is a job's timeline as this controller keeps it.
type jobTimeline struct {
	intervals []interval // ended ones first, then those that still hold
	dropped   int
	from      eventloop.Micros
	causes    []predicate.Cause
	finished  bool
}

// Timelines records the causes that block all unfinished jobs, from the messages of their
// owners. Every controller keeps them in memory, so that they survive the failure of an
// owner; they are not stored anywhere else.
type Timelines struct {
	jobs     map[string]*jobTimeline
	finished []string
	// OnIntervalEnd is called for every interval that ends; own reports whether this controller owns
	// the job.
	OnIntervalEnd func(job string, k predicate.Kind, took eventloop.Micros, own bool)
}

// NewTimelines returns an empty set of timelines.
func NewTimelines() *Timelines { return &Timelines{jobs: map[string]*jobTimeline{}} }

// Set records the causes that hold now; own says whether this controller owns the job. It
// reports whether their kinds differ from those before.
func (t *Timelines) Set(id string, causes []predicate.Cause, wall eventloop.Micros, own bool) (changed bool) {
	l := t.jobs[id]
	if l == nil {
		if len(causes) == 0 {
			return false
		}
		l = &jobTimeline{from: wall}
		t.jobs[id] = l
	}
	if l.finished {
		return false
	}
	open := l.open()
	for _, c := range causes {
		if c.Tasks <= 0 {
			continue
		}
		if s := l.find(c.Kind, open); s != nil {
			s.tasks = max(s.tasks, c.Tasks)
			continue
		}
		changed = true
		l.begin(c, wall, &open)
	}
	for i := len(l.intervals) - 1; i >= open; i-- {
		if s := l.intervals[i]; !holds(causes, s.kind) {
			changed = true
			if t.OnIntervalEnd != nil {
				t.OnIntervalEnd(id, s.kind, wall-s.from, own)
			}
			l.end(i, open, wall)
			open++
		}
	}
	if drop := open - maxIntervals; drop > 0 {
		l.intervals = append(l.intervals[:0], l.intervals[drop:]...)
		l.dropped += drop
	}
	l.causes = append(l.causes[:0], causes...)
	return changed
}

func holds(causes []predicate.Cause, k predicate.Kind) bool {
	for _, c := range causes {
		if c.Kind == k && c.Tasks > 0 {
			return true
		}
	}
	return false
}

// open returns the index of the first interval that still holds.
func (l *jobTimeline) open() int {
	i := len(l.intervals)
	for i > 0 && l.intervals[i-1].to == 0 {
		i--
	}
	return i
}

func (l *jobTimeline) find(k predicate.Kind, open int) *interval {
	for i := open; i < len(l.intervals); i++ {
		if l.intervals[i].kind == k {
			return &l.intervals[i]
		}
	}
	return nil
}

// begin opens an interval, or continues one that ended less than maxInterruption ago.
func (l *jobTimeline) begin(c predicate.Cause, wall eventloop.Micros, open *int) {
	s := interval{kind: c.Kind, from: wall, tasks: c.Tasks}
	if c.Since != 0 && c.Since < wall {
		s.from = c.Since // the owner has known the cause for longer than this controller
	}
	for i := *open - 1; i >= 0 && wall-l.intervals[i].to < maxInterruption; i-- {
		if l.intervals[i].kind == c.Kind {
			s.from, s.tasks = min(s.from, l.intervals[i].from), max(l.intervals[i].tasks, c.Tasks)
			l.intervals = append(l.intervals[:i], l.intervals[i+1:]...)
			*open--
			break
		}
	}
	l.intervals = append(l.intervals, s)
}

// end closes interval i and moves it before those that still hold.
func (l *jobTimeline) end(i, open int, wall eventloop.Micros) {
	s := l.intervals[i]
	s.to = wall
	copy(l.intervals[open+1:i+1], l.intervals[open:i])
	l.intervals[open] = s
}

// Finish closes a finished job's timeline. The newest closed timelines are kept, up to a bound.
func (t *Timelines) Finish(id string, wall eventloop.Micros, own bool) {
	l := t.jobs[id]
	if l == nil || l.finished {
		return
	}
	t.Set(id, nil, wall, own)
	l.finished, l.causes = true, nil
	t.finished = append(t.finished, id)
	if len(t.finished) > maxFinished {
		delete(t.jobs, t.finished[0])
		t.finished = append(t.finished[:0], t.finished[1:]...)
	}
}

// Since returns the time since which a cause holds, or 0 if it does not hold as far as this
// controller knows.
func (t *Timelines) Since(id string, k predicate.Kind) eventloop.Micros {
	if l := t.jobs[id]; l != nil {
		if s := l.find(k, l.open()); s != nil {
			return s.from
		}
	}
	return 0
}

// SetSince sets the start times of causes, for controllers that receive them later.
func (t *Timelines) SetSince(id string, causes []predicate.Cause) []predicate.Cause {
	for i := range causes {
		causes[i].Since = t.Since(id, causes[i].Kind)
	}
	return causes
}

// Causes returns the causes last recorded for a job.
func (t *Timelines) Causes(id string) []predicate.Cause {
	if l := t.jobs[id]; l != nil {
		return l.causes
	}
	return nil
}

// Get returns a job's timeline in its printed form.
func (t *Timelines) Get(id string) Timeline {
	out := Timeline{Intervals: []Interval{}}
	l := t.jobs[id]
	if l == nil {
		return out
	}
	from := Time(l.from)
	out.From, out.Dropped = &from, l.dropped
	for _, s := range l.intervals {
		x := Interval{Kind: s.kind.String(), From: Time(s.from), Tasks: s.tasks}
		if s.to != 0 {
			to := Time(s.to)
			x.To = &to
		}
		out.Intervals = append(out.Intervals, x)
	}
	return out
}
