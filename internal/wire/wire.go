// Package wire holds the messages of the protocol, with the protocol's own names.
// Nothing outside the adapters uses those names.
package wire

import (
	"github.com/fxamacker/cbor/v2"
)

// Raw is an encoded value that is kept as it came.
type Raw = cbor.RawMessage

var dec = func() cbor.DecMode {
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

var enc = func() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortNone}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Marshal encodes a message.
func Marshal(v any) []byte {
	b, err := enc.Marshal(v)
	if err != nil {
		panic(err) // only our own types are ever encoded
	}
	return b
}

// Unmarshal decodes a message; field names are compared exactly.
func Unmarshal(b []byte, v any) error { return dec.Unmarshal(b, v) }

// IsMap tells whether the encoded value is a map.
func IsMap(b []byte) bool { return len(b) > 0 && b[0]>>5 == 5 }

// Work is a submission. Pointers tell an absent field from a zero.
type Work struct {
	ID        *string  `cbor:"nameId"`
	Class     *string  `cbor:"lineup"`
	Team      *string  `cbor:"squad"`
	Kind      *string  `cbor:"play"`
	Priority  *string  `cbor:"urgency"`
	Tasks     *int64   `cbor:"snaps"`
	CPUs      *float64 `cbor:"cpus"`
	GPUs      *float64 `cbor:"cards"`
	MemoryGB  *float64 `cbor:"ramGb"`
	Image     *string  `cbor:"kit"`
	ImageGB   *float64 `cbor:"sizeGb"`
	Types     []string `cbor:"builds"`
	Zone      *string  `cbor:"field"`
	OneZone   *bool    `cbor:"oneZone"`
	Spread    *bool    `cbor:"scatter"`
	Spot      *bool    `cbor:"loaners"`
	EstimateS *float64 `cbor:"expectS"`
	CheckpntS *float64 `cbor:"timeoutS"`
	SaveS     *float64 `cbor:"huddleS"`
	DeadlineS *float64 `cbor:"whistleS"`
}

// Standing answers a submission, a poll or a withdrawal.
type Standing struct {
	ID      string `cbor:"nameId"`
	State   string `cbor:"standing"`
	Done    int64  `cbor:"done"`
	Running int64  `cbor:"running"`
}

// Error is the body of a refusal.
type Error struct {
	Error string `cbor:"error"`
}

// Report is a worker's account of its machine.
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

// ReportTask is a task on a machine.
type ReportTask struct {
	Task    string `cbor:"snap"`
	Attempt uint64 `cbor:"try"`
	State   string `cbor:"standing"`
	Why     string `cbor:"call,omitempty"`
	Saved   bool   `cbor:"saved,omitempty"`
}

// Command tells a worker to start, stop or forget a task.
type Command struct {
	Op      string   `cbor:"signal"`
	Task    string   `cbor:"snap"`
	Attempt uint64   `cbor:"try"`
	GraceS  *float64 `cbor:"stoppageS,omitempty"`
}

// Commands answers a report, or goes straight to a worker.
type Commands struct {
	Token    uint64    `cbor:"armband"`
	Session  uint64    `cbor:"shift,omitempty"`
	Commands []Command `cbor:"signals"`
}

// ReportTo sends a worker to another node.
type ReportTo struct {
	Node string `cbor:"coach,omitempty"`
}

// The words of the protocol.
const (
	OpStart, OpStop, OpForget = "start", "kill", "forget"

	TaskFetching, TaskRunning, TaskSaving, TaskExited = "pulling", "running", "saving", "ended"

	WhyDone, WhyStopped, WhyError, WhyNoRoom, WhyBusy, WhyUnknown = "done", "stopped", "error", "full", "busy", "no_such"

	JobQueued, JobRunning, JobDone, JobCancelled = "pending", "running", "done", "withdrawn"

	// KindGang is not in the protocol page; the workers know it all the same.
	KindArray, KindService, KindGang = "batch", "daemon", "group"
)

// MachineType is a row of the cloud's catalog.
type MachineType struct {
	Name      string   `cbor:"label"`
	CPUs      float64  `cbor:"cpus"`
	GPUs      float64  `cbor:"cards"`
	MemoryGB  float64  `cbor:"ramGb"`
	CacheGB   float64  `cbor:"cacheGb"`
	FetchGBs  float64  `cbor:"fetchGbPerS"`
	Price     float64  `cbor:"rate"`
	SpotPrice float64  `cbor:"spotPrice"`
	BootS     float64  `cbor:"bootS"`
	Zones     []string `cbor:"fields"`
}

// Catalog lists what the cloud rents.
type Catalog struct {
	Types []MachineType `cbor:"builds"`
}

// Rent asks the cloud for machines.
type Rent struct {
	Request string `cbor:"draft"`
	Type    string `cbor:"build"`
	Zone    string `cbor:"field"`
	Spot    bool   `cbor:"loaners"`
	Count   int    `cbor:"count"`
}

// Names lists machines, rented or to be deleted.
type Names struct {
	Machines []string `cbor:"stalls"`
}

// Listed is a machine as the cloud sees it.
type Listed struct {
	Name  string  `cbor:"nameId"`
	Addr  string  `cbor:"address"`
	Type  string  `cbor:"build"`
	Zone  string  `cbor:"field"`
	Spot  bool    `cbor:"loaners"`
	State string  `cbor:"standing"`
	AgeS  float64 `cbor:"ageS"`
}

// Listing is a page of the cloud's machines.
type Listing struct {
	Machines []Listed `cbor:"stalls"`
	More     bool     `cbor:"truncated"`
}

// Item is a key of the state service.
type Item struct {
	Key   string `cbor:"k"`
	Value Raw    `cbor:"data"`
	Mark  uint64 `cbor:"mark"`
}

// Range is a page of keys.
type Range struct {
	Items []Item `cbor:"entries"`
	More  bool   `cbor:"truncated"`
	Tally uint64 `cbor:"tally"`
}

// Cond demands a version of a key.
type Cond struct {
	Key  string `cbor:"k"`
	Mark uint64 `cbor:"mark"`
}

// Change puts or deletes a key.
type Change struct {
	Put    string `cbor:"put,omitempty"`
	Value  any    `cbor:"data,omitempty"`
	Lease  uint64 `cbor:"hold,omitempty"`
	Delete string `cbor:"remove,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	If   []Cond   `cbor:"when"`
	Then []Change `cbor:"apply,omitempty"`
}

// TxnResult answers a transaction.
type TxnResult struct {
	Tally  uint64   `cbor:"tally"`
	Failed []string `cbor:"failed"`
	Error  string   `cbor:"error"`
}

// Event is a change seen by a watch.
type Event struct {
	Put    string `cbor:"put"`
	Value  Raw    `cbor:"data"`
	Mark   uint64 `cbor:"mark"`
	Delete string `cbor:"remove"`
}

// Events is the answer of a watch.
type Events struct {
	Tally  uint64  `cbor:"tally"`
	Events []Event `cbor:"events"`
}

// Lease is the answer to a request for a lease.
type Lease struct {
	ID    uint64 `cbor:"hold,omitempty"`
	TTLms int64  `cbor:"ttlMs,omitempty"`
}
