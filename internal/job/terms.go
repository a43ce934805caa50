package job

import (
	"slices"

	"cleatpick/internal/eventloop"
)

// HoldState is the state of a job's hold.
type HoldState string

// The states of a hold. While a hold is pending, tasks whose start was recorded before the hold was stored may still
// begin; once it is effective, no task of the job begins.
const (
	HoldNone      HoldState = ""
	HoldPending   HoldState = "s"
	HoldEffective HoldState = "h"
)

// Hold prevents a job's tasks from being started; tasks that run continue.
type Hold struct {
	State       HoldState `cbor:"s,omitempty"`
	Until       int64     `cbor:"u,omitempty"` // wall-clock time at which the hold ends by itself; 0: never
	Reason      string    `cbor:"r,omitempty"`
	By          string    `cbor:"b,omitempty"` // name of the API key that requested the hold
	RequestedAt int64     `cbor:"a,omitempty"` // wall-clock time of the request
}

// Blocks reports whether the hold blocks starts at a wall-clock time.
func (h *Hold) Blocks(wall eventloop.Micros) bool {
	return h.State != HoldNone && (h.Until == 0 || wall < h.Until)
}

// Policy says what becomes of a job when a job that it depends on is cancelled.
type Policy string

// The policies. With PolicyHold the job waits until an operator releases it.
const (
	PolicyHold    Policy = ""
	PolicyRelease Policy = "r"
	PolicyCancel  Policy = "w"
)

// MaxDependencies is the largest number of jobs that one job can depend on.
const MaxDependencies = 64

// Terms are the conditions on a job's starts that are not part of the wire protocol of submissions: its hold
// and its dependencies. They are part of the job's record. Every start is conditioned on that record's
// revision, and so obeys them.
type Terms struct {
	Hold         Hold     `cbor:"h,omitempty"`
	Dependencies []string `cbor:"a,omitempty"`
	OnCancelled  Policy   `cbor:"o,omitempty"`
	Waived       []string `cbor:"w,omitempty"` // dependencies that were cancelled and that an operator released this job from
}

func (t *Terms) empty() bool {
	return t.Hold.State == HoldNone && len(t.Dependencies) == 0
}

// stored returns the terms as they are written to a record: nil if there are none.
func (t *Terms) stored() *Terms {
	if t.empty() {
		return nil
	}
	c := *t
	return &c
}

// WaivedFrom reports whether the job was released from waiting for the given job.
func (t *Terms) WaivedFrom(id string) bool { return slices.Contains(t.Waived, id) }
