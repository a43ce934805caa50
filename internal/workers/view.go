// Package workers is the registry of workers. For the machines whose workers report to this controller, the host
// controller, it answers reports, passes the owners' starts and stops on to the worker, and decides when a
// worker may be told to forget an attempt. For every machine, hosted here or by another controller, it keeps
// the newest view: its tasks, its pending starts and its free capacity.
//
// Which task runs where is decided by the scheduler of the partition's owner, and which machines exist by the
// autoscaler. Whether a machine has failed is left to failure detection.
package workers

import (
	"cmp"
	"strconv"
	"strings"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/wire"
)

// Task is one attempt of a task on a machine, or a start that is on its way to it.
type Task struct {
	Task    string `cbor:"1,keyasint"`
	Attempt uint64 `cbor:"2,keyasint"`
	State   string `cbor:"3,keyasint,omitempty"`
	Why     string `cbor:"4,keyasint,omitempty"`
	Saved   bool   `cbor:"5,keyasint,omitempty"`
}

// Active reports whether the attempt occupies capacity on its machine.
func (t *Task) Active() bool { return t.State != wire.TaskExited }

// View is the state of a machine as its host controller saw it last. A published view never changes.
type View struct {
	Name           string           `cbor:"1,keyasint"`
	Addr           string           `cbor:"2,keyasint"`
	Type           string           `cbor:"3,keyasint"`
	Zone           string           `cbor:"4,keyasint"`
	Spot           bool             `cbor:"5,keyasint"`
	Host           string           `cbor:"6,keyasint"`
	Session        uint64           `cbor:"7,keyasint"`
	Seq            uint64           `cbor:"8,keyasint"`
	Rev            uint64           `cbor:"9,keyasint"`
	TokenConfirmed bool             `cbor:"10,keyasint"`           // the worker has shown its host's token: no command of an earlier host or token can still be carried out
	MadeAfter      eventloop.Micros `cbor:"11,keyasint"`           // wall-clock time after which the task list was certainly made; reports can arrive late
	NoticeAt       eventloop.Micros `cbor:"12,keyasint,omitempty"` // wall-clock time at which the machine is reclaimed, by the notice in its reports; 0: no notice
	ClosedToStarts bool             `cbor:"13,keyasint,omitempty"` // accepts no starts, since the machine is to be deleted
	Tasks          []Task           `cbor:"14,keyasint,omitempty"`
	Pending        []Task           `cbor:"15,keyasint,omitempty"` // starts that may still be carried out
	Incarnation    eventloop.Micros `cbor:"16,keyasint,omitempty"` // incarnation of the host's process that published the view
	// ReportedAt is the wall-clock time at which the host received the newest report. Only an answered report
	// renews the machine's lease: a machine that answers commands may still be unable to report.
	ReportedAt eventloop.Micros `cbor:"17,keyasint,omitempty"`

	// Epoch is the epoch of the newest token that the host gave the machine.
	Epoch uint64 `cbor:"18,keyasint,omitempty"`
	// ShownToken is the highest token that the worker had seen when it made the task list. It is 0 in views of hosts
	// before version 0.9.6.
	ShownToken uint64 `cbor:"19,keyasint,omitempty"`

	jobs     []*job.Job // of Tasks, looked up once; nil where a job is not known here yet
	used     Capacity   // capacity taken by active tasks and pending starts
	resolved bool       // the jobs of all active tasks and pending starts were known here, so used is complete

	// firstListed holds, for each of Tasks, the wall-clock time at which the host first saw the attempt listed. Only
	// the host has it; it is not published.
	firstListed []eventloop.Micros
}

// Silence returns for how long at least the machine has not reported. wall is the wall-clock time here, and
// clockDifference the largest difference between two wall clocks, which is twice the bound on the error of one.
// Silence returns 0 for the view of a host before version 0.8.0, which does not publish ReportedAt.
func (v *View) Silence(wall, clockDifference eventloop.Micros) eventloop.Micros {
	if v.ReportedAt == 0 {
		return 0
	}
	return max(wall-v.ReportedAt-clockDifference, 0)
}

// resolve computes the capacity in use and reports whether all jobs that it needs were known here. It is called
// again while one of them is not, and returns at once when all are.
func (v *View) resolve(find func(id string) *job.Job) bool {
	if v.resolved {
		return true
	}
	all := true
	v.used = Capacity{}
	v.lookUpJobs(find)
	for i := range v.Tasks {
		j := v.jobs[i]
		if !v.Tasks[i].Active() {
			continue
		}
		if j == nil || j.Spec == nil {
			all = false
			continue
		}
		v.used.Add(j.Spec)
	}
	for i := range v.Pending {
		p := &v.Pending[i]
		if v.Find(p.Task, p.Attempt) != nil {
			continue
		}
		id, _, _ := SplitTask(p.Task)
		j := find(id)
		if j == nil || j.Spec == nil {
			all = false
			continue
		}
		v.used.Add(j.Spec)
	}
	v.resolved = all
	return all
}

// lookUpJobs finds the jobs of the tasks; most were already found for an earlier view.
func (v *View) lookUpJobs(find func(id string) *job.Job) {
	if len(v.jobs) != len(v.Tasks) {
		v.jobs = make([]*job.Job, len(v.Tasks))
	}
	for i := range v.Tasks {
		if v.jobs[i] == nil {
			id, _, _ := SplitTask(v.Tasks[i].Task)
			v.jobs[i] = find(id)
		}
	}
}

// newerThan reports whether v is a newer view of the same machine than old.
func (v *View) newerThan(old *View) bool {
	if old == nil {
		return true
	}
	if order := compareMessages(v.ShownToken, v.Session, v.Seq, old); order != 0 {
		return order > 0
	}
	return v.Host == old.Host && v.Rev > old.Rev
}

// compareMessages compares a message of a worker with the one from which a view of its machine was made: a positive
// result means that the message is newer. The tokens that a worker shows only rise, so they tell the messages of
// its life before a restart, in which its sessions may have been higher, from those after it. A worker that has not been
// answered since it restarted shows 0, which tells nothing.
func compareMessages(token, session, seq uint64, known *View) int {
	if token != known.ShownToken && token != 0 && known.ShownToken != 0 {
		return cmp.Compare(token, known.ShownToken)
	}
	return cmp.Or(cmp.Compare(session, known.Session), cmp.Compare(seq, known.Seq))
}

// Find returns one attempt of a task on the machine, nil if it is not listed. A terminated attempt stays in the
// reports until the worker forgets it, so several attempts of one task may be listed.
func (v *View) Find(task string, attempt uint64) *Task {
	if i := v.index(task, attempt); i >= 0 {
		return &v.Tasks[i]
	}
	return nil
}

// index returns the position of an attempt in Tasks, -1 if it is not listed.
func (v *View) index(task string, attempt uint64) int {
	for i := range v.Tasks {
		if v.Tasks[i].Attempt == attempt && v.Tasks[i].Task == task {
			return i
		}
	}
	return -1
}

// HasPending reports whether a start of this attempt may still be carried out.
func (v *View) HasPending(task string, attempt uint64) bool {
	for i := range v.Pending {
		if v.Pending[i].Task == task && v.Pending[i].Attempt == attempt {
			return true
		}
	}
	return false
}

// Start is an owner's order to run a recorded attempt on a machine.
type Start struct {
	Machine string           `cbor:"1,keyasint"`
	Session uint64           `cbor:"2,keyasint"`
	Task    string           `cbor:"3,keyasint"`
	Attempt uint64           `cbor:"4,keyasint"`
	Expiry  eventloop.Micros `cbor:"5,keyasint"` // wall-clock time after which the worker may not carry it out
	From    string           `cbor:"6,keyasint"`
	// Incarnation is the incarnation of the host's process for which the start is meant. A host that has restarted
	// does not know which starts it passed on before.
	Incarnation eventloop.Micros `cbor:"7,keyasint,omitempty"`
}

// Stop orders a task to be stopped, with or without time to save its state, or to be forgotten.
type Stop struct {
	Machine string           `cbor:"1,keyasint"`
	Task    string           `cbor:"2,keyasint"`
	Attempt uint64           `cbor:"3,keyasint"`
	Grace   eventloop.Micros `cbor:"4,keyasint,omitempty"` // time to save; 0: the task is killed at once
	Forget  bool             `cbor:"5,keyasint,omitempty"` // forget the attempt instead: its result is recorded
}

// Rejection tells an owner that this host did not and will never pass its start on. With OnlyReservation it
// says only that no capacity is reserved for the start, and proves nothing about the start itself: it may follow, and
// may fit.
type Rejection struct {
	Machine         string `cbor:"1,keyasint"`
	Task            string `cbor:"2,keyasint"`
	Attempt         uint64 `cbor:"3,keyasint"`
	Why             string `cbor:"4,keyasint"`
	OnlyReservation bool   `cbor:"5,keyasint,omitempty"`
	// Incarnation is the incarnation of the host's process that will never pass the start on.
	Incarnation eventloop.Micros `cbor:"6,keyasint,omitempty"`
}

// SplitTask splits a task's name into its job's id and its index.
func SplitTask(task string) (id string, index int, ok bool) {
	i := strings.LastIndexByte(task, '/')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(task[i+1:])
	if err != nil || n < 0 {
		return "", 0, false
	}
	return task[:i], n, true
}

// TaskName returns the name of a task.
func TaskName(id string, index int) string { return id + "/" + strconv.Itoa(index) }

// Capacity is an amount of capacity on a machine.
type Capacity struct{ CPUs, GPUs, MemoryGB float64 }

// tolerance is the tolerance for rounding errors in sums of capacities.
const tolerance = 1e-6

// Fits reports whether a task of the job fits into the capacity.
func (c *Capacity) Fits(s *job.Spec) bool {
	return s.CPUs <= c.CPUs+tolerance && s.GPUs <= c.GPUs+tolerance && s.MemoryGB <= c.MemoryGB+tolerance
}

// Subtract subtracts the capacity that a task of the job needs.
func (c *Capacity) Subtract(s *job.Spec) {
	c.CPUs -= s.CPUs
	c.GPUs -= s.GPUs
	c.MemoryGB -= s.MemoryGB
}

// Minus returns the capacity that remains when used is subtracted.
func (c Capacity) Minus(used Capacity) Capacity {
	return Capacity{c.CPUs - used.CPUs, c.GPUs - used.GPUs, c.MemoryGB - used.MemoryGB}
}

// Add adds the capacity that a task of the job needs.
func (c *Capacity) Add(s *job.Spec) {
	c.CPUs += s.CPUs
	c.GPUs += s.GPUs
	c.MemoryGB += s.MemoryGB
}
