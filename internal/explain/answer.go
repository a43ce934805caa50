// Package explain reports why a job's tasks do not run: every reason, what would end each
// of them, and an estimate of when. It evaluates the same predicates that the scheduler
// obeys, so that an explanation cannot differ from what the scheduler does; it decides
// nothing itself. It owns the timelines of the reasons and the distributions of past waits
// from which it estimates. The facts about a job are gathered by the scheduler of the
// controller that owns the job's team, those about rented machines by the leader.
package explain

import (
	"encoding/json"
	"strconv"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/predicate"
)

// Time is a wall clock time in microseconds, written as RFC 3339 in JSON.
type Time int64

// MarshalJSON writes the time as RFC 3339 with milliseconds, in UTC.
func (t Time) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.UnixMicro(int64(t)).UTC().Format("2006-01-02T15:04:05.000Z07:00"))
}

// UnmarshalJSON reads a time in RFC 3339.
func (t *Time) UnmarshalJSON(b []byte) error {
	var x time.Time
	if err := json.Unmarshal(b, &x); err != nil {
		return err
	}
	*t = Time(x.UnixMicro())
	return nil
}

// Duration is a duration in microseconds, written as seconds in JSON.
type Duration int64

// MarshalJSON writes the duration as a decimal number of seconds.
func (s Duration) MarshalJSON() ([]byte, error) {
	return strconv.AppendFloat(nil, float64(s/1000)/1000, 'f', -1, 64), nil
}

// UnmarshalJSON reads a decimal number of seconds.
func (s *Duration) UnmarshalJSON(b []byte) error {
	f, err := strconv.ParseFloat(string(b), 64)
	*s = Duration(f * 1e6)
	return err
}

// Answer explains why a job's tasks do not run.
type Answer struct {
	Job      string     `json:"job"`
	Status   string     `json:"standing"`
	AsOf     Time       `json:"asOf"`
	Tasks    int        `json:"tasks"`
	Waiting  int        `json:"waiting"`
	Running  int        `json:"running"`
	Done     int        `json:"done"`
	Owner    string     `json:"owner,omitempty"` // the controller that owns its team
	Reasons  []Reason   `json:"reasons"`
	Timeline []Interval `json:"timeline"`
	// The owner knows nothing of the time before TimelineFrom. TimelineDropped counts the
	// oldest entries after it that were dropped to bound the timeline.
	TimelineFrom    *Time    `json:"timelineFrom,omitempty"`
	TimelineDropped int      `json:"timelineDropped,omitempty"`
	Complete        bool     `json:"complete"`
	Missing         []string `json:"missing,omitempty"` // sources that did not answer, and facts that are uncertain
}

// Reason is one cause that keeps tasks from running. Each of a job's reasons blocks its
// number of tasks on its own, whatever the other reasons are.
type Reason struct {
	Kind      string    `json:"kind"`
	Tasks     int       `json:"tasks"`
	Since     *Time     `json:"since,omitempty"`
	State     string    `json:"state"`
	Until     *Time     `json:"until,omitempty"`
	Detail    Detail    `json:"detail"`
	BlockedBy []string  `json:"blockedBy"`
	Release   string    `json:"release"`
	Estimate  *Estimate `json:"estimate"`
}

// Estimate is the time from now until a reason may end: in half of the cases it ends before
// Likely, in about eight of ten between Low and High (see docs/RESULTS.md).
type Estimate struct {
	Low     Duration `json:"lowS"`
	Likely  Duration `json:"likelyS"`
	High    Duration `json:"highS"`
	Samples int      `json:"samples"` // number of past waits that it is computed from
}

// Detail holds the particulars of a reason; which fields are set depends on its kind.
type Detail struct {
	Team         *TeamUse        `json:"team,omitempty"`
	Hold         *HoldDetail     `json:"hold,omitempty"`
	Dependencies []JobDependency `json:"after,omitempty"`
	Failures     *FailureSummary `json:"failures,omitempty"`
	Needs        *Needs          `json:"needs,omitempty"`
	Machines     *Machines       `json:"machines,omitempty"`
	Renting      *Supply         `json:"renting,omitempty"`
	Ahead        []JobAhead      `json:"ahead,omitempty"`
	On           []MachineTasks  `json:"on,omitempty"`
	Cordons      []string        `json:"cordons,omitempty"`
	// PreemptedFor names the jobs for which tasks of this one were recently preempted.
	PreemptedFor []string `json:"stoppedFor,omitempty"`
	// Reserved is the number of its tasks for which capacity is reserved on machines that do not
	// have that capacity free yet.
	Reserved int `json:"roomHeld,omitempty"`
}

// TeamUse holds what a team uses, its limits and its guarantee.
type TeamUse struct {
	Team            string       `json:"team"`
	CPUs            float64      `json:"cpusUsed"`
	CPUsMax         config.Limit `json:"cpusMax"` // null: no limit
	CPUsGuaranteed  float64      `json:"cpusGuaranteed"`
	GPUs            float64      `json:"gpusUsed"`
	GPUsMax         config.Limit `json:"gpusMax"`
	WithinGuarantee bool         `json:"withinGuarantee"` // the job is within its team's guarantee
}

// HoldDetail is who put a job on hold, and why.
type HoldDetail struct {
	Reason string `json:"reason"`
	By     string `json:"by,omitempty"`
	At     Time   `json:"at"`
	Until  *Time  `json:"until,omitempty"`
}

// JobDependency is a job that must be done before this one may start.
type JobDependency struct {
	Job    string `json:"job"`
	State  string `json:"state"`
	Policy string `json:"onWithdrawn,omitempty"`
}

// FailureSummary describes a job whose tasks fail. Failures close together in time count as one,
// and machines on which other jobs' tasks fail as well do not count.
type FailureSummary struct {
	ConsecutiveFailures int    `json:"inARow"` // consecutive failures, those close together in time counted once
	Machines            int    `json:"machines"`
	Verdict             string `json:"judged"` // untried, sound, doubted or broken
	Tasks               int    `json:"tasks"`  // waiting tasks that have failed at least once
}

// Needs holds what each task requires of its machine.
type Needs struct {
	CPUs     float64  `json:"cpus"`
	GPUs     float64  `json:"gpus"`
	MemoryGB float64  `json:"memoryGb"`
	Types    []string `json:"types,omitempty"`
	Zone     string   `json:"zone,omitempty"`
	Spot     bool     `json:"spot"`
}

// Machines counts what the machines lack for the job's tasks.
type Machines struct {
	Examined   int            `json:"looked"`
	Groups     []MachineGroup `json:"groups"`
	MoreGroups int            `json:"moreGroups,omitempty"`
}

// MachineGroup describes the machines of one type, zone and kind. A machine may lack several things.
type MachineGroup struct {
	Type      string         `json:"type"`
	Zone      string         `json:"zone"`
	Kind      string         `json:"kind"`
	Machines  int            `json:"machines"`
	Lacks     map[string]int `json:"lacks"`
	InBackOff map[string]int `json:"resting,omitempty"` // machines that take no new tasks for a while, by cause
}

// JobAhead is a job that precedes this one in the order of service.
type JobAhead struct {
	Job      string  `json:"job"`
	Team     string  `json:"team"`
	Priority string  `json:"priority"`
	Tasks    int     `json:"tasks"`
	CPUs     float64 `json:"cpus"`
}

// MachineTasks is a machine with tasks that are being started or saved, or not confirmed terminated.
type MachineTasks struct {
	Machine      string `json:"machine"`
	State        string `json:"state"`
	Tasks        int    `json:"tasks"`
	Since        Time   `json:"since,omitempty"`
	ConfirmedBy  string `json:"settles,omitempty"` // what would confirm that the tasks are terminated
	PreemptedFor string `json:"for,omitempty"`     // the job for which the tasks were preempted
}

// Supply describes the machines that the leader has requested from the cloud and on which
// the job's tasks could run.
type Supply struct {
	Leader   string    `json:"leader,omitempty"`
	State    string    `json:"state"` // booting, ordered, requested, notAsked, refused, nothing, unknown or noLeader
	Unplaced int       `json:"missed"`
	Ordered  []Offer   `json:"ordered,omitempty"`
	Booting  []Booting `json:"booting,omitempty"`
	Refused  []Offer   `json:"refused,omitempty"`
	Offers   int       `json:"offers"`             // offers that the job allows and that are not cordoned
	Estimate *Estimate `json:"estimate,omitempty"` // when the first of the booting machines is up
}

// Offer is a type, zone and kind of machine that was requested from the cloud.
type Offer struct {
	Type  string `json:"type"`
	Zone  string `json:"zone"`
	Kind  string `json:"kind"`
	Count int    `json:"count,omitempty"`
	Until *Time  `json:"until,omitempty"` // of a refused offer: not requested again before this time
}

// Booting counts the machines of one offer that are booting.
type Booting struct {
	Offer
	Age     Duration `json:"ageS"`     // since the oldest of them was ordered
	Nominal Duration `json:"nominalS"` // the expected boot time
}

// MachineKind returns the name of a machine's kind: spot or ordinary.
func MachineKind(spot bool) string {
	if spot {
		return "spot"
	}
	return "ordinary"
}

// Timeline lists the causes that blocked a job and the time for which each of them held.
type Timeline struct {
	Intervals []Interval `json:"spans"`
	Dropped   int        `json:"dropped,omitempty"` // number of oldest entries dropped to bound the timeline
	From      *Time      `json:"from,omitempty"`    // nothing is known of the time before
}

// setTimeline copies the timeline into the answer.
func (a *Answer) setTimeline(t Timeline) {
	a.Timeline, a.TimelineFrom, a.TimelineDropped = t.Intervals, t.From, t.Dropped
	if a.Timeline == nil {
		a.Timeline = []Interval{}
	}
}

// Interval is an interval for which one cause held.
type Interval struct {
	Kind  string `json:"kind"`
	From  Time   `json:"from"`
	To    *Time  `json:"to,omitempty"` // absent: it still holds
	Tasks int    `json:"tasks"`        // the largest number of tasks that it blocked at a time
}

// CauseCount is the number of tasks that a cause blocks, as printed in a list of jobs.
type CauseCount struct {
	Kind  string `json:"kind"`
	Tasks int    `json:"tasks"`
}

// CauseCounts converts causes to their printed form.
func CauseCounts(causes []predicate.Cause) []CauseCount {
	out := make([]CauseCount, 0, len(causes))
	for _, c := range causes {
		out = append(out, CauseCount{c.Kind.String(), c.Tasks})
	}
	return out
}
