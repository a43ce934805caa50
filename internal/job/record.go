package job

// Keys is the prefix of the job records.
const Keys = "c/j/"

// Phase is where a job stands.
type Phase string

// The phases of a job. The last two are final.
const (
	Accepted  Phase = "p"
	Done      Phase = "d"
	Withdrawn Phase = "w"
)

// Priority orders jobs; higher goes first.
type Priority int

// The priorities.
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
	Estimate   int64    `cbor:"es"` // microseconds, like all that follow
	Checkpoint int64    `cbor:"ck,omitempty"`
	Save       int64    `cbor:"sa,omitempty"`
	Deadline   int64    `cbor:"dl,omitempty"` // after the submission; 0: none
}

// AllowsType tells whether the job may run on machines of this type.
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

// AllowsPlace tells whether the job may run on this type, zone and kind.
func (s *Spec) AllowsPlace(typ, zone string, spot bool) bool {
	return s.AllowsType(typ) && (s.Zone == "" || s.Zone == zone) && (s.Spot || !spot)
}

// Record is what the state service holds of a job. A job that is over keeps only its phase.
type Record struct {
	Phase Phase  `cbor:"st"`
	At    int64  `cbor:"at,omitempty"` // time of day of the acceptance
	Spec  *Spec  `cbor:"s,omitempty"`
	Tasks int    `cbor:"n,omitempty"`
	Terms *Terms `cbor:"x,omitempty"`
}

// Job is a job as known here.
type Job struct {
	ID       string
	Revision uint64 // of the newest record that is known here
	Phase    Phase
	At       int64
	Spec     *Spec
	Tasks    int
	Terms    Terms
	// PeerRevision is that in which a peer knows the job as withdrawn, while it is only known
	// here by that; 0: it is not.
	PeerRevision uint64
}

// Final tells whether the job is over.
func (j *Job) Final() bool { return j.Phase != Accepted }

// Counts are a job's tasks for display.
type Counts struct{ Done, Running int64 }
