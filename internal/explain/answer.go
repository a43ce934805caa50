// Package explain tells why a job's tasks do not run: every reason, what would release
// each, and when that may be. It asks the same gates that the placer obeys; nothing here
// decides anything.
package explain

import (
	"encoding/json"
	"strconv"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/gate"
)

// Time is a time of day in microseconds, RFC 3339 in JSON.
type Time int64

// MarshalJSON writes the time as RFC 3339 with milliseconds, in UTC.
func (t Time) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.UnixMicro(int64(t)).UTC().Format("2006-01-02T15:04:05.000Z07:00"))
}

// UnmarshalJSON reads RFC 3339.
func (t *Time) UnmarshalJSON(b []byte) error {
	var x time.Time
	if err := json.Unmarshal(b, &x); err != nil {
		return err
	}
	*t = Time(x.UnixMicro())
	return nil
}

// Span is a duration in microseconds, seconds in JSON.
type Span int64

// MarshalJSON writes the duration as a decimal number of seconds.
func (s Span) MarshalJSON() ([]byte, error) {
	return strconv.AppendFloat(nil, float64(s/1000)/1000, 'f', -1, 64), nil
}

// UnmarshalJSON reads a decimal number of seconds.
func (s *Span) UnmarshalJSON(b []byte) error {
	f, err := strconv.ParseFloat(string(b), 64)
	*s = Span(f * 1e6)
	return err
}

// Answer is why a job's tasks do not run.
type Answer struct {
	Job      string    `json:"job"`
	Standing string    `json:"standing"`
	AsOf     Time      `json:"asOf"`
	Tasks    int       `json:"tasks"`
	Waiting  int       `json:"waiting"`
	Running  int       `json:"running"`
	Done     int       `json:"done"`
	Owner    string    `json:"owner,omitempty"` // the controller that owns its team
	Reasons  []Reason  `json:"reasons"`
	Timeline []Stretch `json:"timeline"`
	// What was before TimelineFrom is not known to the owner; TimelineDropped counts
	// stretches after it that were dropped as the oldest.
	TimelineFrom    *Time    `json:"timelineFrom,omitempty"`
	TimelineDropped int      `json:"timelineDropped,omitempty"`
	Complete        bool     `json:"complete"`
	Missing         []string `json:"missing,omitempty"` // what could not be asked
}

// Reason is one cause that keeps tasks from running. Each of a job's reasons by itself
// keeps its number of tasks back.
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

// Estimate is when a reason may end, from now on: in half of the cases before Likely, in
// about eight of ten between Low and High (measured, see docs/RESULTS.md).
type Estimate struct {
	Low     Span `json:"lowS"`
	Likely  Span `json:"likelyS"`
	High    Span `json:"highS"`
	Samples int  `json:"samples"` // waits that it rests on
}

// Detail holds the numbers of a reason; which are there depends on its kind.
type Detail struct {
	Team     *TeamUse    `json:"team,omitempty"`
	Hold     *HoldDetail `json:"hold,omitempty"`
	After    []Before    `json:"after,omitempty"`
	Failures *Failing    `json:"failures,omitempty"`
	Needs    *Needs      `json:"needs,omitempty"`
	Machines *Machines   `json:"machines,omitempty"`
	Renting  *Supply     `json:"renting,omitempty"`
	Ahead    []Ahead     `json:"ahead,omitempty"`
	On       []On        `json:"on,omitempty"`
	Cordons  []string    `json:"cordons,omitempty"`
	// StoppedFor names jobs that tasks of this one were stopped for lately.
	StoppedFor []string `json:"stoppedFor,omitempty"`
	// Held is for how many of its tasks room is being kept, on machines that have none yet.
	Held int `json:"roomHeld,omitempty"`
}

// TeamUse is what a team uses, may use and is guaranteed.
type TeamUse struct {
	Team     string       `json:"team"`
	CPUs     float64      `json:"cpusUsed"`
	CPUsMax  config.Limit `json:"cpusMax"` // null: no limit
	CPUsHave float64      `json:"cpusGuaranteed"`
	GPUs     float64      `json:"gpusUsed"`
	GPUsMax  config.Limit `json:"gpusMax"`
	Within   bool         `json:"withinGuarantee"` // the job lies within its team's guarantee
}

// HoldDetail is who holds a job, and why.
type HoldDetail struct {
	Reason string `json:"reason"`
	By     string `json:"by,omitempty"`
	At     Time   `json:"at"`
	Until  *Time  `json:"until,omitempty"`
}

// Before is a job that must be done first.
type Before struct {
	Job    string `json:"job"`
	State  string `json:"state"`
	Policy string `json:"onWithdrawn,omitempty"`
}

// Failing tells of a job whose tasks fail. Failures of one moment count once; machines
// that fail other jobs' tasks as well do not count.
type Failing struct {
	InARow   int    `json:"inARow"` // moments of failure
	Machines int    `json:"machines"`
	Judged   string `json:"judged"` // untried, sound, doubted or broken
	Tasks    int    `json:"tasks"`  // waiting tasks that failed before
}

// Needs is what each task asks of its machine.
type Needs struct {
	CPUs     float64  `json:"cpus"`
	GPUs     float64  `json:"gpus"`
	MemoryGB float64  `json:"memoryGb"`
	Types    []string `json:"types,omitempty"`
	Zone     string   `json:"zone,omitempty"`
	Spot     bool     `json:"spot"`
}

// Machines counts what the machines lacked.
type Machines struct {
	Looked int     `json:"looked"`
	Groups []Group `json:"groups"`
	More   int     `json:"moreGroups,omitempty"`
}

// Group is the machines of one type, zone and kind. A machine may lack several things.
type Group struct {
	Type     string         `json:"type"`
	Zone     string         `json:"zone"`
	Kind     string         `json:"kind"`
	Machines int            `json:"machines"`
	Lacks    map[string]int `json:"lacks"`
	Resting  map[string]int `json:"resting,omitempty"` // why those rest that do
}

// Ahead is work that comes before in the order.
type Ahead struct {
	Job      string  `json:"job"`
	Team     string  `json:"team"`
	Priority string  `json:"priority"`
	Tasks    int     `json:"tasks"`
	CPUs     float64 `json:"cpus"`
}

// On is a machine with tasks that are on their way, or not proven off.
type On struct {
	Machine string `json:"machine"`
	State   string `json:"state"`
	Tasks   int    `json:"tasks"`
	Since   Time   `json:"since,omitempty"`
	Settles string `json:"settles,omitempty"` // what would prove the task off
	For     string `json:"for,omitempty"`     // the job that it was stopped for
}

// Supply is what the leader has asked the cloud for that could take such a task.
type Supply struct {
	Leader   string    `json:"leader,omitempty"`
	State    string    `json:"state"` // booting, ordered, requested, notAsked, refused, nothing, unknown or noLeader
	Missed   int       `json:"missed"`
	Ordered  []Offer   `json:"ordered,omitempty"`
	Booting  []Booting `json:"booting,omitempty"`
	Refused  []Offer   `json:"refused,omitempty"`
	Offers   int       `json:"offers"`             // offers that the job allows and that are not cordoned
	Estimate *Estimate `json:"estimate,omitempty"` // when the first of those that boot is up
}

// Offer is a type, zone and kind of machine that the cloud was asked for.
type Offer struct {
	Type  string `json:"type"`
	Zone  string `json:"zone"`
	Kind  string `json:"kind"`
	Count int    `json:"count,omitempty"`
	Until *Time  `json:"until,omitempty"` // refused until
}

// Booting counts machines that boot.
type Booting struct {
	Offer
	Age     Span `json:"ageS"` // of the oldest
	Nominal Span `json:"nominalS"`
}

// Kind names the kind of a machine.
func Kind(spot bool) string {
	if spot {
		return "spot"
	}
	return "ordinary"
}

// Timeline is how the causes changed over a job's wait.
type Timeline struct {
	Spans   []Stretch `json:"spans"`
	Dropped int       `json:"dropped,omitempty"` // of the oldest, beyond the bound
	From    *Time     `json:"from,omitempty"`    // what was before is not known here
}

// tells puts the timeline into an answer.
func (a *Answer) tells(t Timeline) {
	a.Timeline, a.TimelineFrom, a.TimelineDropped = t.Spans, t.From, t.Dropped
	if a.Timeline == nil {
		a.Timeline = []Stretch{}
	}
}

// Stretch is the time for which one cause held.
type Stretch struct {
	Kind  string `json:"kind"`
	From  Time   `json:"from"`
	To    *Time  `json:"to,omitempty"` // absent: it still holds
	Tasks int    `json:"tasks"`        // the most that it kept at a time
}

// Sum is how many tasks a cause keeps back, for a list of jobs.
type Sum struct {
	Kind  string `json:"kind"`
	Tasks int    `json:"tasks"`
}

// Sums turns causes into their printed form.
func Sums(causes []gate.Cause) []Sum {
	out := make([]Sum, 0, len(causes))
	for _, c := range causes {
		out = append(out, Sum{c.Kind.String(), c.Tasks})
	}
	return out
}
