package scheduler

import (
	"fmt"
	"strings"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/wire"
)

// The state service accepts far fewer changes per second than tasks start and end. A partition's records therefore
// form a log: one write stores everything that happened to any task of any of its teams since the previous write. The
// log is a sequence of segments. The open one is rewritten with its new entries until it is full. A segment is
// deleted, along with a write, once all its tasks are stored in later segments or belong to final jobs.
//
// What is known of the log changes only when the state service confirms a write, in recordStored. A write that was not
// stored, for whatever reason, therefore leaves nothing to be taken back.
//
// An entry with a higher attempt supersedes one with a lower attempt, and of entries with the same attempt one that
// records the end supersedes the others. Of two that record the same start, the one that expires later does. The order
// in which segments are read therefore does not matter.

const (
	// outcomeMinDelay is how long outcomes wait at least before they cause a separate write, while the write limit is
	// mostly unused; after outcomeMaxDelay they are written in any case.
	outcomeMinDelay = 500 * eventloop.Millisecond
	outcomeMaxDelay = 3 * eventloop.Second
	// gatherTime is the minimum time that a start waits for its write. In that time its host controller can report that
	// another owner took the capacity.
	gatherTime = 35 * eventloop.Millisecond
)

func segmentKey(prefix string, no int) string { return fmt.Sprintf("%s%08d", prefix, no) }

// segment is one part of a task log, as it is stored.
type segment struct {
	key      string
	revision uint64    // 0: it was never stored
	refs     []taskRef // entries of its stored record; some are superseded in later segments
	live     int       // tasks whose newest stored record is here
	size     int       // upper bound on the encoded size of its stored record in bytes
}

// taskLog is the log of an owned partition.
type taskLog struct {
	prefix        string // of the segments' keys
	next          int    // number of the next segment
	open          *segment
	closed        map[string]*segment // by key; includes segments of the own logs of teams assigned to the partition
	starts        []taskRef           // machine chosen, waiting to be recorded
	outcomes      []taskRef           // ended, waiting to be recorded
	outcomesSince eventloop.Micros
	writing       bool // a write is in flight or its outcome is uncertain
}

// machineEntry stores a machine's name and zone, which are needed when no reports of the machine arrive any more.
type machineEntry struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Zone string
}

// taskEntry is a task in a stored segment. Machine is a 1-based index into the record's list of machines; 0 means
// none.
type taskEntry struct {
	_       struct{} `cbor:",toarray"`
	Index   int
	State   int
	Attempt uint64
	Machine int
	Session uint64
	Expiry  int64
}

// The states of a task in a stored segment; storedTerminated is an attempt that is confirmed terminated.
const (
	storedTerminated = 0
	storedPlaced     = 1
	storedDone       = 2
)

// jobEntry lists the recorded tasks of one job.
type jobEntry struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	Tasks []taskEntry
}

// segmentRecord is the value of a segment's key. Nonce identifies the write, so that an unanswered one can be
// recognized.
type segmentRecord struct {
	Nonce    uint64         `cbor:"w"`
	Machines []machineEntry `cbor:"m"`
	Jobs     []jobEntry     `cbor:"j"`
}

// Upper bounds on the encoded size, in bytes, of an entry and of the first mention of its job and machine.
const entrySize, namesSize = 28, 24

// write is one transaction on a segment, from its composition until its outcome is certain.
type write struct {
	segment    *segment
	rec        segmentRecord
	jobs       []*jobTable // jobs whose starts it records
	conditions []wire.Cond // conditions on these, as known when the record was composed
	deleted    []*segment  // segments without live entries, which it deletes
	entries    []taskRef   // tasks that it records
	moved      int         // how many of them another segment holds so far
	size       int         // estimate of the size of the record while entries are added
	refs       []refAttempt
	bytes      int // upper bound on the size of the record
}

// refAttempt is a task with its attempt and state in a record.
type refAttempt struct {
	taskRef
	attempt uint64
	state   int
}

func (l *taskLog) openSegment() {
	l.closeSegment()
	l.open = &segment{key: segmentKey(l.prefix, l.next)}
	l.next++
}

// inherited reports whether a segment belongs to the own log of a team that was assigned to the partition.
func (l *taskLog) inherited(s *segment) bool { return !strings.HasPrefix(s.key, l.prefix) }

// hasInherited reports whether such segments remain.
func (l *taskLog) hasInherited() bool {
	for _, s := range l.closed {
		if l.inherited(s) {
			return true
		}
	}
	return false
}

func (l *taskLog) closeSegment() {
	if l.open != nil {
		l.closed[l.open.key] = l.open
		l.open = nil
	}
}
