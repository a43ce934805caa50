package job

import (
	"slices"

	"cleatpick/internal/loop"
)

// HoldState names where a job's hold stands.
type HoldState string

// The states of a hold. What was recorded as started before the hold was stored may
// still begin while it settles; once it is set, nothing of the job begins.
const (
	HoldNone     HoldState = ""
	HoldSettling HoldState = "s"
	HoldSet      HoldState = "h"
)

// Hold keeps a job's tasks from being started; what runs goes on.
type Hold struct {
	State  HoldState `cbor:"s,omitempty"`
	Until  int64     `cbor:"u,omitempty"` // time of day at which it ends by itself; 0: never
	Reason string    `cbor:"r,omitempty"`
	By     string    `cbor:"b,omitempty"` // the name of the key that asked for it
	At     int64     `cbor:"a,omitempty"` // time of day
}

// Shut tells whether the hold keeps starts back at a time of day.
func (h *Hold) Shut(wall loop.Micros) bool {
	return h.State != HoldNone && (h.Until == 0 || wall < h.Until)
}

// Policy says what becomes of a job when one that must be done first is withdrawn.
type Policy string

// The policies. With PolicyHold the job waits until an operator releases it.
const (
	PolicyHold     Policy = ""
	PolicyRelease  Policy = "r"
	PolicyWithdraw Policy = "w"
)

// MaxAfter bounds the jobs that one job can wait for.
const MaxAfter = 64

// Terms are what a job's user may say beyond the protocol. They stand in the job's
// record, so that every start, which is conditioned on that record's version, is bound
// by them.
type Terms struct {
	Hold        Hold     `cbor:"h,omitempty"`
	After       []string `cbor:"a,omitempty"`
	OnWithdrawn Policy   `cbor:"o,omitempty"`
	Waived      []string `cbor:"w,omitempty"` // of After, withdrawn, and released from by an operator
}

func (t *Terms) empty() bool {
	return t.Hold.State == HoldNone && len(t.After) == 0
}

// stored is the form of the terms in a record: nil where there are none.
func (t *Terms) stored() *Terms {
	if t.empty() {
		return nil
	}
	c := *t
	return &c
}

// WaivedFrom tells whether the job was released from waiting for this one.
func (t *Terms) WaivedFrom(id string) bool { return slices.Contains(t.Waived, id) }
