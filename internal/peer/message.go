package peer

import (
	"cleatpick/internal/admission"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/predicate"
	"cleatpick/internal/watermark"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// Status is what a controller periodically reports about itself to its peers.
type Status struct {
	Wall    eventloop.Micros `cbor:"1,keyasint"`
	Contact bool             `cbor:"2,keyasint"` // the state service answers this controller
	// Key 3 was used before 0.7.0, for how long the state service had not answered.
	Hosted    int      `cbor:"4,keyasint"`
	Reachable []string `cbor:"5,keyasint"` // peers whose messages arrive; nil from versions that do not send it
}

// Request is a group of alike tasks for which there is no free capacity, as part of an owner's demand.
type Request struct {
	CPUs     float64  `cbor:"1,keyasint"`
	GPUs     float64  `cbor:"2,keyasint,omitempty"`
	MemoryGB float64  `cbor:"3,keyasint"`
	Types    []string `cbor:"4,keyasint,omitempty"`
	AnyType  bool     `cbor:"5,keyasint,omitempty"`
	Zone     string   `cbor:"6,keyasint,omitempty"`
	Spot     bool     `cbor:"7,keyasint,omitempty"`
	Priority int      `cbor:"8,keyasint"`
	Count    int      `cbor:"9,keyasint"`  // number of tasks
	RunTime  int64    `cbor:"10,keyasint"` // expected run time of one task
	// OneZone and Spread bind the tasks to zones, as in the job's spec. Only if one of them is set, Tasks is the
	// number of tasks of the job, and ByZone how many of them may already be on machines of each zone.
	OneZone bool        `cbor:"11,keyasint,omitempty"`
	Spread  bool        `cbor:"12,keyasint,omitempty"`
	Tasks   int         `cbor:"13,keyasint,omitempty"`
	ByZone  []ZoneTasks `cbor:"14,keyasint,omitempty"`
}

// ZoneTasks is the number of tasks of a job that may be on machines of a zone. A list of these, sorted by zone, is used
// instead of a map so that the same message is always encoded to the same bytes.
type ZoneTasks struct {
	_     struct{} `cbor:",toarray"`
	Zone  string
	Tasks int
}

// Demand is an owner's complete demand: all tasks for which there is no free capacity. Each one replaces the one
// before.
type Demand struct {
	Wall     eventloop.Micros `cbor:"1,keyasint"`
	Requests []Request        `cbor:"2,keyasint,omitempty"`
	Suspect  []string         `cbor:"3,keyasint,omitempty"` // machines that have tasks and whose reports do not arrive
	// Cancelled names the suspect machines that hold tasks of cancelled jobs.
	Cancelled []CancelledTasks `cbor:"4,keyasint,omitempty"`
}

// CancelledTasks says that a machine whose reports do not arrive holds tasks of cancelled jobs.
type CancelledTasks struct {
	_       struct{} `cbor:",toarray"`
	Machine string
	Since   eventloop.Micros // wall-clock time of the earliest of the cancellations
}

// Progress is what an owner reports about a job, for display only.
type Progress struct {
	Job     string `cbor:"1,keyasint"`
	Done    int64  `cbor:"2,keyasint"`
	Running int64  `cbor:"3,keyasint"`
	// Causes is why the other tasks do not run; sent only if /v1/ is enabled.
	Causes []predicate.Cause `cbor:"4,keyasint,omitempty"`
	// HasCauses is whether Causes was sent, since an empty list is a valid value.
	HasCauses bool `cbor:"5,keyasint,omitempty"`
	// At is the wall clock time at which the causes were determined.
	At eventloop.Micros `cbor:"6,keyasint,omitempty"`
}

// Question is a request to a peer, which answers it with a Reply of the same ID.
type Question struct {
	ID    uint64   `cbor:"1,keyasint"`
	Topic string   `cbor:"2,keyasint"`
	Body  wire.Raw `cbor:"3,keyasint"`
}

// Reply answers a question. It has no body if the controller could not answer.
type Reply struct {
	ID   uint64   `cbor:"1,keyasint"`
	OK   bool     `cbor:"2,keyasint"`
	Body wire.Raw `cbor:"3,keyasint,omitempty"`
}

// Usage is what a team uses, sent by its owner to all others for their decisions.
type Usage struct {
	Team string  `cbor:"1,keyasint"`
	CPUs float64 `cbor:"2,keyasint"`
	GPUs float64 `cbor:"3,keyasint"`
}

// StartBlock asks a machine's host controller to start nothing on the machine until a wall clock time.
type StartBlock struct {
	Machine string           `cbor:"1,keyasint"`
	Until   eventloop.Micros `cbor:"2,keyasint"`
}

// Reservation keeps capacity on a machine for a job for which tasks were preempted there.
type Reservation struct {
	Machine  string           `cbor:"1,keyasint"`
	Job      string           `cbor:"2,keyasint"`
	Priority int              `cbor:"3,keyasint"`
	CPUs     float64          `cbor:"4,keyasint"`
	GPUs     float64          `cbor:"5,keyasint,omitempty"`
	MemoryGB float64          `cbor:"6,keyasint"`
	Until    eventloop.Micros `cbor:"7,keyasint"` // wall clock
	// Victims lists the tasks that were preempted; sent only if /v1/ is enabled.
	Victims []string `cbor:"8,keyasint,omitempty"`
}

// Envelope is one message between controllers, sent as one frame. It combines everything that is due for a peer.
type Envelope struct {
	From              string              `cbor:"1,keyasint"`
	Status            *Status             `cbor:"2,keyasint,omitempty"`
	Views             []*workers.View     `cbor:"3,keyasint,omitempty"`
	Starts            []workers.Start     `cbor:"4,keyasint,omitempty"`
	Stops             []workers.Stop      `cbor:"5,keyasint,omitempty"`
	Rejections        []workers.Rejection `cbor:"6,keyasint,omitempty"`
	Demand            *Demand             `cbor:"7,keyasint,omitempty"`
	StartBlocks       []StartBlock        `cbor:"8,keyasint,omitempty"`
	Progress          []Progress          `cbor:"9,keyasint,omitempty"`
	Usage             []Usage             `cbor:"10,keyasint,omitempty"`
	Reservations      []Reservation       `cbor:"11,keyasint,omitempty"`
	StartReservations []workers.Start     `cbor:"12,keyasint,omitempty"`
	TaskListRequests  []string            `cbor:"13,keyasint,omitempty"`
	Questions         []Question          `cbor:"14,keyasint,omitempty"`
	Replies           []Reply             `cbor:"15,keyasint,omitempty"`
	// Deltas are views of machines as differences from views that were sent before. MissingViews names machines of
	// the receiver whose full views the sender needs because it cannot apply a delta.
	Deltas       []*workers.Delta `cbor:"16,keyasint,omitempty"`
	MissingViews []string         `cbor:"17,keyasint,omitempty"`
	// QueuePositions are those of users who were deferred, so that they keep them when they retry with any controller.
	QueuePositions []admission.Position `cbor:"18,keyasint,omitempty"`
	// Incarnation identifies the incarnation of the sender: the wall clock time at which its process started.
	Incarnation eventloop.Micros `cbor:"19,keyasint,omitempty"`
	// Watermark holds the sender's questions and answers about cancellations, for the cancellation watermark.
	Watermark *watermark.Message `cbor:"20,keyasint,omitempty"`
	// Teams are the teams in the sender's settings, sent to a peer after each new connection.
	Teams []string `cbor:"21,keyasint,omitempty"`
}
