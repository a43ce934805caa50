package peer

import (
	"cleatpick/internal/admission"
	"cleatpick/internal/agent"
	"cleatpick/internal/gate"
	"cleatpick/internal/horizon"
	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// Status is what a node tells the others about itself.
type Status struct {
	Wall    loop.Micros `cbor:"1,keyasint"`
	Contact bool        `cbor:"2,keyasint"` // the state service answers it
	// 3 was, before 0.7.0, for how long it had not been answered.
	Hosted int      `cbor:"4,keyasint"`
	Hears  []string `cbor:"5,keyasint"` // peers that it hears; nil from versions that do not tell
}

// Want is a group of alike tasks that found no room, as part of an owner's tally.
type Want struct {
	CPUs     float64  `cbor:"1,keyasint"`
	GPUs     float64  `cbor:"2,keyasint,omitempty"`
	MemoryGB float64  `cbor:"3,keyasint"`
	Types    []string `cbor:"4,keyasint,omitempty"`
	AnyType  bool     `cbor:"5,keyasint,omitempty"`
	Zone     string   `cbor:"6,keyasint,omitempty"`
	Spot     bool     `cbor:"7,keyasint,omitempty"`
	Priority int      `cbor:"8,keyasint"`
	Count    int      `cbor:"9,keyasint"`
	Run      int64    `cbor:"10,keyasint"` // run time expected of one task
	// What binds the tasks to zones, as in the job's spec; and only where one of these counts, how many
	// tasks the job has and how many may be on machines of each zone already.
	OneZone bool     `cbor:"11,keyasint,omitempty"`
	Spread  bool     `cbor:"12,keyasint,omitempty"`
	Tasks   int      `cbor:"13,keyasint,omitempty"`
	In      []InZone `cbor:"14,keyasint,omitempty"`
}

// InZone is how many tasks of a job may be on machines of a zone; by name, so that a frame is
// always written alike.
type InZone struct {
	_     struct{} `cbor:",toarray"`
	Zone  string
	Tasks int
}

// Tally is an owner's whole list of missed requests; the newest replaces the last.
type Tally struct {
	Wall    loop.Micros `cbor:"1,keyasint"`
	Wants   []Want      `cbor:"2,keyasint,omitempty"`
	Suspect []string    `cbor:"3,keyasint,omitempty"` // machines that hold tasks and are not heard
}

// Progress is what an owner tells of a job for display.
type Progress struct {
	Job     string `cbor:"1,keyasint"`
	Done    int64  `cbor:"2,keyasint"`
	Running int64  `cbor:"3,keyasint"`
	// Causes is why its other tasks do not run; told only where that is asked for.
	Causes []gate.Cause `cbor:"4,keyasint,omitempty"`
	// Waits tells that Causes is told, since none is an answer too.
	Waits bool `cbor:"5,keyasint,omitempty"`
	// At is the time of day at which the causes were seen.
	At loop.Micros `cbor:"6,keyasint,omitempty"`
}

// Question is what a node wants to know of another.
type Question struct {
	ID    uint64   `cbor:"1,keyasint"`
	Topic string   `cbor:"2,keyasint"`
	Body  wire.Raw `cbor:"3,keyasint"`
}

// Reply answers a question; it has no body when the node could not tell.
type Reply struct {
	ID   uint64   `cbor:"1,keyasint"`
	OK   bool     `cbor:"2,keyasint"`
	Body wire.Raw `cbor:"3,keyasint,omitempty"`
}

// Usage is what a team uses, for the others' decisions.
type Usage struct {
	Team string  `cbor:"1,keyasint"`
	CPUs float64 `cbor:"2,keyasint"`
	GPUs float64 `cbor:"3,keyasint"`
}

// Close asks a host to keep starts off a machine until a time of day.
type Close struct {
	Machine string      `cbor:"1,keyasint"`
	Until   loop.Micros `cbor:"2,keyasint"`
}

// Claim keeps room on a machine for a job that tasks were stopped for.
type Claim struct {
	Machine  string      `cbor:"1,keyasint"`
	Job      string      `cbor:"2,keyasint"`
	Priority int         `cbor:"3,keyasint"`
	CPUs     float64     `cbor:"4,keyasint"`
	GPUs     float64     `cbor:"5,keyasint,omitempty"`
	MemoryGB float64     `cbor:"6,keyasint"`
	Until    loop.Micros `cbor:"7,keyasint"` // time of day
	// Victims are the tasks that were stopped; told only where explanations are asked for.
	Victims []string `cbor:"8,keyasint,omitempty"`
}

// Envelope is one frame.
type Envelope struct {
	From      string            `cbor:"1,keyasint"`
	Status    *Status           `cbor:"2,keyasint,omitempty"`
	Views     []*agent.View     `cbor:"3,keyasint,omitempty"`
	Starts    []agent.Start     `cbor:"4,keyasint,omitempty"`
	Stops     []agent.Stop      `cbor:"5,keyasint,omitempty"`
	Drops     []agent.Rejection `cbor:"6,keyasint,omitempty"`
	Tally     *Tally            `cbor:"7,keyasint,omitempty"`
	Closes    []Close           `cbor:"8,keyasint,omitempty"`
	Progress  []Progress        `cbor:"9,keyasint,omitempty"`
	Usage     []Usage           `cbor:"10,keyasint,omitempty"`
	Claims    []Claim           `cbor:"11,keyasint,omitempty"`
	Reserves  []agent.Start     `cbor:"12,keyasint,omitempty"`
	Checks    []string          `cbor:"13,keyasint,omitempty"`
	Questions []Question        `cbor:"14,keyasint,omitempty"`
	Replies   []Reply           `cbor:"15,keyasint,omitempty"`
	// Deltas are views told by how they differ from ones told before, and Lost names
	// machines of the receiver's whose full views the sender lacks for that.
	Deltas []*agent.Delta `cbor:"16,keyasint,omitempty"`
	Lost   []string       `cbor:"17,keyasint,omitempty"`
	// Places are those of users who were put off, so that their next try keeps them.
	Places []admission.Place `cbor:"18,keyasint,omitempty"`
	// Life is the time of day at which the sender's process began.
	Life loop.Micros `cbor:"19,keyasint,omitempty"`
	// Horizon is what the sender asks and answers about cancellations.
	Horizon *horizon.Message `cbor:"20,keyasint,omitempty"`
	// Teams are those that the sender's settings name, told to each peer that is reached anew.
	Teams []string `cbor:"21,keyasint,omitempty"`
}
