// Package wire defines the messages that a controller exchanges with users, workers, the cloud and the state
// service, and their CBOR encoding. The struct tags and the constants hold the names of the protocol (a machine is
// a "stall", a revision a "mark"), which differ from the terms of this code base; the controller's other
// packages do not use them. The package also validates the reports of workers. Validation of submissions, and the
// transport of messages, are left to the packages that receive and send them.
package wire

import (
	"github.com/fxamacker/cbor/v2"
)

// Raw is an encoded value that is kept undecoded.
type Raw = cbor.RawMessage

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		DupMapKey:         cbor.DupMapKeyQuiet,
		MaxNestedLevels:   32,
		MaxArrayElements:  1 << 20,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

var encMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortNone}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Marshal encodes a message. It panics if v cannot be encoded.
func Marshal(v any) []byte {
	b, err := encMode.Marshal(v)
	if err != nil {
		panic(err) // a programming error: all encoded types are defined in this module
	}
	return b
}

// Unmarshal decodes a message. Field names are case-sensitive.
func Unmarshal(b []byte, v any) error { return decMode.Unmarshal(b, v) }

// IsMap reports whether the encoded value is a map.
func IsMap(b []byte) bool { return len(b) > 0 && b[0]>>5 == 5 }

// Submission is a job that a user submits. Its scalar fields are pointers to tell an absent field from a zero value.
type Submission struct {
	ID          *string  `cbor:"nameId"`
	Class       *string  `cbor:"lineup"`
	Team        *string  `cbor:"squad"`
	Kind        *string  `cbor:"play"`
	Priority    *string  `cbor:"urgency"`
	Tasks       *int64   `cbor:"snaps"`
	CPUs        *float64 `cbor:"cpus"`
	GPUs        *float64 `cbor:"cards"`
	MemoryGB    *float64 `cbor:"ramGb"`
	Image       *string  `cbor:"kit"`
	ImageGB     *float64 `cbor:"sizeGb"`
	Types       []string `cbor:"builds"`
	Zone        *string  `cbor:"field"`
	OneZone     *bool    `cbor:"oneZone"`
	Spread      *bool    `cbor:"scatter"`
	Spot        *bool    `cbor:"loaners"`
	EstimateS   *float64 `cbor:"expectS"`
	CheckpointS *float64 `cbor:"timeoutS"`
	SaveS       *float64 `cbor:"huddleS"`
	DeadlineS   *float64 `cbor:"whistleS"`
}

// JobStatus is the answer to a submission, a poll or a cancellation.
type JobStatus struct {
	ID      string `cbor:"nameId"`
	State   string `cbor:"standing"`
	Done    int64  `cbor:"done"`
	Running int64  `cbor:"running"`
}

// Error is the body of an error response.
type Error struct {
	Error string `cbor:"error"`
}

// Report is the state of a machine and its tasks, which the machine's worker sends periodically.
type Report struct {
	Machine string       `cbor:"stall"`
	Addr    string       `cbor:"address"`
	Type    string       `cbor:"build"`
	Zone    string       `cbor:"field"`
	Spot    bool         `cbor:"loaners"`
	Session uint64       `cbor:"shift"`
	Seq     uint64       `cbor:"down"`
	Token   uint64       `cbor:"armband"`
	NoticeS *float64     `cbor:"recallS"`
	Tasks   []ReportTask `cbor:"snaps"`
}

// ReportTask is the state of an attempt of a task on the reporting machine.
type ReportTask struct {
	Task    string `cbor:"snap"`
	Attempt uint64 `cbor:"try"`
	State   string `cbor:"standing"`
	Why     string `cbor:"call,omitempty"`
	Saved   bool   `cbor:"saved,omitempty"`
}

// Command instructs a worker to start, stop or forget an attempt of a task.
type Command struct {
	Op      string   `cbor:"signal"`
	Task    string   `cbor:"snap"`
	Attempt uint64   `cbor:"try"`
	GraceS  *float64 `cbor:"stoppageS,omitempty"`
}

// Commands is a list of commands. It is the answer to a report, or is sent to a worker directly.
type Commands struct {
	Token    uint64    `cbor:"armband"`
	Session  uint64    `cbor:"shift,omitempty"`
	Commands []Command `cbor:"signals"`
}

// Redirect redirects a worker to another controller.
type Redirect struct {
	Node string `cbor:"coach,omitempty"`
}

// The values of enumerations in the protocol.
const (
	OpStart, OpStop, OpForget = "start", "kill", "forget"

	TaskFetching, TaskRunning, TaskSaving, TaskExited = "pulling", "running", "saving", "ended"

	WhyDone, WhyStopped, WhyError, WhyNoCapacity, WhyBusy, WhyUnknown = "done", "stopped", "error", "full", "busy", "no_such"

	JobQueued, JobRunning, JobDone, JobCancelled = "pending", "running", "done", "withdrawn"

	// KindGang is missing from the protocol's documentation, but workers support it.
	KindArray, KindService, KindGang = "batch", "daemon", "group"
)

// MachineType is an entry of the cloud's catalog.
type MachineType struct {
	Name        string   `cbor:"label"`
	CPUs        float64  `cbor:"cpus"`
	GPUs        float64  `cbor:"cards"`
	MemoryGB    float64  `cbor:"ramGb"`
	CacheGB     float64  `cbor:"cacheGb"`
	FetchGBPerS float64  `cbor:"fetchGbPerS"`
	Price       float64  `cbor:"rate"`
	SpotPrice   float64  `cbor:"spotPrice"`
	BootS       float64  `cbor:"bootS"`
	Zones       []string `cbor:"fields"`
}

// Catalog lists the machine types that the cloud offers.
type Catalog struct {
	Types []MachineType `cbor:"builds"`
}

// RentRequest is a request to the cloud for new machines.
type RentRequest struct {
	Request string `cbor:"draft"`
	Type    string `cbor:"build"`
	Zone    string `cbor:"field"`
	Spot    bool   `cbor:"loaners"`
	Count   int    `cbor:"count"`
}

// MachineNames is a list of machine names: those that the cloud has created, or those that it is to delete.
type MachineNames struct {
	Machines []string `cbor:"stalls"`
}

// CloudMachine is a machine in the cloud's list of machines.
type CloudMachine struct {
	Name  string  `cbor:"nameId"`
	Addr  string  `cbor:"address"`
	Type  string  `cbor:"build"`
	Zone  string  `cbor:"field"`
	Spot  bool    `cbor:"loaners"`
	State string  `cbor:"standing"`
	AgeS  float64 `cbor:"ageS"`
}

// MachinePage is a page of the cloud's list of machines.
type MachinePage struct {
	Machines []CloudMachine `cbor:"stalls"`
	More     bool           `cbor:"truncated"`
}

// KeyValue is a key of the state service with its value and revision.
type KeyValue struct {
	Key      string `cbor:"k"`
	Value    Raw    `cbor:"data"`
	Revision uint64 `cbor:"mark"`
}

// Range is a page of a range of keys, with the store revision at which it was read.
type Range struct {
	Items         []KeyValue `cbor:"entries"`
	More          bool       `cbor:"truncated"`
	StoreRevision uint64     `cbor:"tally"`
}

// Cond is a condition of a transaction: the key must be at this revision, where 0 means that it must not exist.
type Cond struct {
	Key      string `cbor:"k"`
	Revision uint64 `cbor:"mark"`
}

// Change is an operation of a transaction that puts or deletes a key.
type Change struct {
	Put    string `cbor:"put,omitempty"`
	Value  any    `cbor:"data,omitempty"`
	Lease  uint64 `cbor:"hold,omitempty"`
	Delete string `cbor:"remove,omitempty"`
}

// Txn is a transaction: its changes are applied together if all conditions hold.
type Txn struct {
	If   []Cond   `cbor:"when"`
	Then []Change `cbor:"apply,omitempty"`
}

// TxnResult is the answer to a transaction: the store revision, and the keys whose conditions failed.
type TxnResult struct {
	StoreRevision uint64   `cbor:"tally"`
	Failed        []string `cbor:"failed"`
	Error         string   `cbor:"error"`
}

// Event is a change of a key that a watch returns.
type Event struct {
	Put      string `cbor:"put"`
	Value    Raw    `cbor:"data"`
	Revision uint64 `cbor:"mark"`
	Delete   string `cbor:"remove"`
}

// Events is the answer to a watch.
type Events struct {
	StoreRevision uint64  `cbor:"tally"`
	Events        []Event `cbor:"events"`
}

// Lease is the answer to a request for a lease.
type Lease struct {
	ID    uint64 `cbor:"hold,omitempty"`
	TTLms int64  `cbor:"ttlMs,omitempty"`
}
