package job

// KeyPrefix is the prefix of the keys of job records.
const KeyPrefix = "c/j/"

// Phase is the lifecycle state of a job. Its values are stored in job records.
type Phase string

// The phases of a job. Done and Cancelled are final.
const (
	Accepted  Phase = "p"
	Done      Phase = "d"
	Cancelled Phase = "w"
)

// Priority orders jobs; jobs of a higher priority are served first.
type Priority int

// The priorities, from the lowest to the highest.
const (
	Low Priority = iota
	Normal
	High
	Production
)

// Spec is what a job's user asked for.
type Spec struct {
	Class      string   `cbor:"c"`
	Team       string   `cbor:"t"`
	Service    bool     `cbor:"sv,omitempty"`
	Gang       bool     `cbor:"ga,omitempty"` // all tasks start together or none does
	Priority   Priority `cbor:"p"`
	Tasks      int      `cbor:"n"`
	CPUs       float64  `cbor:"cp"`
	GPUs       float64  `cbor:"gp,omitempty"`
	MemoryGB   float64  `cbor:"mg"`
	Image      string   `cbor:"im"`
	ImageGB    float64  `cbor:"ig"`
	Types      []string `cbor:"ty,omitempty"`
	AnyType    bool     `cbor:"at,omitempty"`
	Zone       string   `cbor:"z,omitempty"`
	OneZone    bool     `cbor:"oz,omitempty"`
	Spread     bool     `cbor:"sc,omitempty"`
	Spot       bool     `cbor:"sp,omitempty"`
	Estimate   int64    `cbor:"es"`           // expected run time of a task; in microseconds, like all fields that follow
	Checkpoint int64    `cbor:"ck,omitempty"` // interval between a task's checkpoints
	Save       int64    `cbor:"sa,omitempty"` // time that a task needs to save its state when it is stopped
	Deadline   int64    `cbor:"dl,omitempty"` // relative to the submission; 0: none
}

// AllowsType reports whether the job may run on machines of this type.
func (s *Spec) AllowsType(t string) bool {
	if s.AnyType {
		return true
	}
	for _, x := range s.Types {
		if x == t {
			return true
		}
	}
	return false
}

// AllowsPlace reports whether the job may run on machines of this type in this zone, and on spot machines if
// spot is set.
func (s *Spec) AllowsPlace(typ, zone string, spot bool) bool {
	return s.AllowsType(typ) && (s.Zone == "" || s.Zone == zone) && (s.Spot || !spot)
}

// Record is the job record in the state service. The record of a job that is done keeps only its phase, the time
// of its acceptance and its number of tasks.
type Record struct {
	Phase      Phase `cbor:"st"`
	AcceptedAt int64 `cbor:"at,omitempty"` // wall-clock time at which the job was accepted
	// CancelledAt is the wall-clock time at which the cancellation was recorded, before any user was told of it. It is 0
	// in records of versions before 0.9.6.
	CancelledAt int64  `cbor:"ca,omitempty"`
	Spec        *Spec  `cbor:"s,omitempty"`
	Tasks       int    `cbor:"n,omitempty"`
	Terms       *Terms `cbor:"x,omitempty"`
}

// Job is a job as known to this controller.
type Job struct {
	ID         string
	Revision   uint64 // of the newest record that is known here
	Phase      Phase
	AcceptedAt int64
	// CancelledAt is the wall-clock time at which the cancellation was recorded, or at which a peer's message of it
	// arrived; 0: not cancelled, or not known.
	CancelledAt int64
	Spec        *Spec
	Tasks       int
	Terms       Terms
	// PeerRevision is the revision at which a peer knows the job as cancelled, while the record of that
	// revision has not arrived here; 0 otherwise.
	PeerRevision uint64
}

// Final reports whether the job is done or cancelled.
func (j *Job) Final() bool { return j.Phase != Accepted }

// Counts are the numbers of a job's tasks that are shown to users.
type Counts struct{ Done, Running int64 }
