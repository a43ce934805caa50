package node

import (
	"bytes"
	"strings"

	"cleatpick/internal/job"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// The checker below reads the task logs in the state service on its own. It checks the precondition of a task that runs
// twice after a change of owner and not the second run itself, which needs a crash at the right time: a segment may be
// deleted only if other stored segments hold all that it holds.

// loggedMachine is a machine in a stored segment.
type loggedMachine struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Zone string
}

// loggedTask is a task in a stored segment.
type loggedTask struct {
	_       struct{} `cbor:",toarray"`
	Index   int
	State   int
	Attempt uint64
	Machine int
	Session uint64
	Expiry  int64
}

// loggedDone is the state of a task that has completed.
const loggedDone = 2

// loggedJob lists the tasks of one job in a stored segment.
type loggedJob struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	Tasks []loggedTask
}

// loggedSegment is the value of a segment's key.
type loggedSegment struct {
	Nonce    uint64          `cbor:"w"`
	Machines []loggedMachine `cbor:"m"`
	Jobs     []loggedJob     `cbor:"j"`
}

// logRoots are the prefixes of the keys of all task logs: those of single teams and those of numbered partitions.
var logRoots = []string{"x/", "p/"}

func isSegment(key string) bool {
	for _, root := range logRoots {
		if strings.HasPrefix(key, root) {
			return true
		}
	}
	return false
}

// changeState has the state service execute a request. If that deletes segments of a task log, it checks that nothing
// is lost with them.
func (w *simulation) changeState(method, path string, body []byte) store.Response {
	deleted := w.segmentsToDelete(path, body)
	resp := w.state.Do(method, path, body, 0)
	if len(deleted) > 0 && resp.Status == 200 {
		w.checkDeletedSegments(deleted)
	}
	return resp
}

// segmentsToDelete returns the stored segments that a transaction deletes, by key.
func (w *simulation) segmentsToDelete(path string, body []byte) map[string]loggedSegment {
	if path != "/multi" || !bytes.Contains(body, []byte("remove")) {
		return nil
	}
	var txn struct {
		Then []struct {
			Delete string `cbor:"remove"`
		} `cbor:"apply"`
	}
	if err := wire.Unmarshal(body, &txn); err != nil {
		w.fail("a transaction cannot be decoded: %v", err)
	}
	deleted := map[string]loggedSegment{}
	for _, ch := range txn.Then {
		if s, ok := w.storedSegment(ch.Delete); ok {
			deleted[ch.Delete] = s
		}
	}
	return deleted
}

// storedSegment reads a segment; ok is false if the key holds none.
func (w *simulation) storedSegment(key string) (s loggedSegment, ok bool) {
	if !isSegment(key) {
		return s, false
	}
	raw, ok := w.state.Value(key)
	if !ok {
		return s, false
	}
	if err := wire.Unmarshal(raw, &s); err != nil {
		w.fail("the task log segment %s cannot be decoded: %v", key, err)
	}
	return s, true
}

// loggedState is how far the stored segments know a task.
type loggedState struct {
	attempt uint64
	done    bool
}

// checkDeletedSegments fails if a task whose record was in a deleted segment is in no stored one, or only with an
// earlier attempt.
func (w *simulation) checkDeletedSegments(deleted map[string]loggedSegment) {
	w.segmentsDeleted += len(deleted)
	known := w.loggedTasks()
	for key, s := range deleted {
		for _, j := range s.Jobs {
			for _, x := range j.Tasks {
				task := workers.TaskName(j.ID, x.Index)
				if x.Attempt == 0 || !w.needsRecord(j.ID, task) {
					continue
				}
				if have := known[task]; have.attempt < x.Attempt || x.State == loggedDone && !have.done {
					w.fail("the segment %s is deleted, and with it the only record of attempt %d of %s (state %d); stored is attempt %d",
						key, x.Attempt, task, x.State, have.attempt)
				}
			}
		}
	}
}

// loggedTasks returns the newest state of all tasks in the stored segments.
func (w *simulation) loggedTasks() map[string]loggedState {
	known := map[string]loggedState{}
	for _, root := range logRoots {
		for _, key := range w.state.Keys(root) {
			s, _ := w.storedSegment(key)
			for _, j := range s.Jobs {
				for _, x := range j.Tasks {
					task := workers.TaskName(j.ID, x.Index)
					have := known[task]
					known[task] = loggedState{max(have.attempt, x.Attempt), have.done || x.State == loggedDone}
				}
			}
		}
	}
	return known
}

// needsRecord reports whether the next owner has to know a task: its job is unfinished, or was cancelled while the task
// is on a machine, where it counts against its team's limit.
func (w *simulation) needsRecord(id, task string) bool {
	switch w.storedPhase(id) {
	case job.Done:
		return false
	case job.Cancelled:
		machine, on := w.running[task]
		return on && !w.workers[machine].hungPastLease(w.now)
	}
	return true
}
