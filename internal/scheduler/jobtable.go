// Package scheduler schedules the tasks of the teams that this controller owns. It decides the order in which jobs are
// served, chooses machines, decides which tasks are preempted, and reserves capacity for tasks that do not fit
// anywhere yet.
//
// Every attempt of a task is recorded in the state service before its start is sent, so that the next owner knows
// what may be on which machine. The package owns these task logs and the state of all tasks, which it derives from
// the logs and from the machines' views. An attempt counts as in use until its termination is confirmed.
//
// Sending commands to workers, storing job records, renting machines and electing owners are left to other packages;
// package fleet holds free capacity and the choice of a machine.
package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/health"
	"cleatpick/internal/job"
	"cleatpick/internal/predicate"
	"cleatpick/internal/workers"
)

// TaskState is the state of a task in its owner's table.
type TaskState uint8

// The states of a task.
const (
	Waiting   TaskState = iota // can be placed
	Recording                  // a machine was chosen; the record is not stored yet
	Placed                     // recorded; may be on its machine until confirmed terminated
	Ended                      // completed on its machine; not recorded yet
	Completed                  // completed, and recorded
)

// blockSize is how many tasks of a job are allocated at once. Of the largest jobs only a part of the tasks is active
// at any time.
const blockSize = 128

// task is the owner's state of one task: its newest attempt and what is known of it.
type task struct {
	state             TaskState
	attempt           uint64
	machine           string
	session           uint64
	expiry            eventloop.Micros // wall-clock time after which no controller passes the start on
	recordedHere      bool             // recorded by this owner, which therefore knows where the start was sent
	sentTo            string           // host controller to which the start was sent last
	sentToIncarnation eventloop.Micros // incarnation of that host controller
	sentToSeveral     bool             // sent to more than one host controller, or to more than one incarnation
	sentAt            eventloop.Micros
	chosenAt          eventloop.Micros // when its machine was chosen
	failed            bool             // the previous attempt ended in an error
	listed            bool             // its machine has listed it
	recheck           bool             // further views are needed to decide whether it is terminated
	running           bool
	runningSince      eventloop.Micros // when it was first seen running
	stopSentAt        eventloop.Micros // when a stop was last sent
	lostSince         eventloop.Micros // time of the last report from its failed machine; 0: runs again, or its machine never failed
	segment           *segment         // segment that holds its newest stored record; nil: none is stored
	composedIn        uint64           // nonce of the newest write that was composed with it
}

// inUse reports whether the task counts against its team's limit.
func (t *task) inUse() bool { return t.state == Recording || t.state == Placed }

// jobTable holds a job's tasks and their counts, at the owner of its team.
type jobTable struct {
	job             *job.Job
	team            *team
	blocks          []*[blockSize]task
	firstUnplaced   int   // this task and all above it were never placed
	requeued        []int // tasks to be placed again
	inUse           int
	completed       int // tasks in state Ended or Completed
	recorded        int // tasks in state Completed
	running         int
	zones           map[string]int // tasks in use by zone
	completing      bool           // the job's completion is being stored
	failedTasks     []int          // failed tasks, to be placed again after all others
	probation       health.Probation
	avoid           map[string]struct{} // machines on which it failed recently
	damaged         bool                // a record of its tasks cannot be decoded
	nextAmendAt     eventloop.Micros    // its record is not amended again before this time
	unplacedCause   predicate.Kind      // machine predicate that left its tasks unplaced in the newest pass; 0: none
	unplacedCauseAt eventloop.Micros
	preemptedFor    map[string]string // by machine: the job for which tasks of this job were preempted there
	causes          []predicate.Cause // as last sent to the peers
	causesSentAt    eventloop.Micros  // wall-clock time at which they were sent; 0: never by this owner
	causesSentTimes int               // how often they were sent since they last changed
	acceptedAt      eventloop.Micros  // when it was accepted, by the monotonic clock
	servedEarlyAt   eventloop.Micros  // when it was last served out of order; acceptedAt if never
	reservedCPUs    float64           // CPUs reserved for it out of order and not used yet
	reservedClass   string            // class in the starvation budget that was charged for them
	unplacedSince   eventloop.Micros  // since when tasks of it are unplaced; 0: none is
	sentDone        int64
	sentRunning     int64
}

// team holds the jobs of an owned team and the resources that their tasks use.
type team struct {
	cfg       config.Team
	quota     config.Quota
	partition *ownedPartition
	loaded    bool // its records have been read
	// loadedAt is the wall-clock time at which its records had been read. Every record of other owners is older.
	loadedAt  eventloop.Micros
	jobs      map[string]*jobTable
	order     []*jobTable // jobs in order of acceptance; nil: to be rebuilt
	cpus      float64
	gpus      float64
	shortfall shortfall
}

// inUse returns the number of the team's tasks that may be on machines.
func (tm *team) inUse() int {
	n := 0
	for _, t := range tm.jobs {
		n += t.inUse
	}
	return n
}

// inOrder lists the team's jobs in order of acceptance. The list is cached, because passes ask for it far more often
// than jobs are added or removed.
func (tm *team) inOrder() []*jobTable {
	if tm.order == nil {
		tm.order = slices.SortedFunc(maps.Values(tm.jobs), byAcceptance)
	}
	return tm.order
}

func byAcceptance(a, b *jobTable) int {
	return cmp.Or(cmp.Compare(a.job.AcceptedAt, b.job.AcceptedAt), cmp.Compare(a.job.ID, b.job.ID))
}

// addJob adds a job and keeps the cached order; removeJob removes one. Sorting all jobs at each change took 2% of a
// large controller's time. Both copy the list, since a caller may be iterating over it.
func (tm *team) addJob(t *jobTable) {
	tm.jobs[t.job.ID] = t
	if tm.order != nil {
		i, _ := slices.BinarySearchFunc(tm.order, t, byAcceptance)
		tm.order = slices.Concat(tm.order[:i], []*jobTable{t}, tm.order[i:])
	}
}

func (tm *team) removeJob(t *jobTable) {
	delete(tm.jobs, t.job.ID)
	if i, ok := slices.BinarySearchFunc(tm.order, t, byAcceptance); ok {
		tm.order = slices.Concat(tm.order[:i], tm.order[i+1:])
	}
}

// taskRef identifies a task by its table and its index.
type taskRef struct {
	table *jobTable
	index int
}

func (t *jobTable) task(i int) *task {
	b := t.blocks[i/blockSize]
	if b == nil {
		b = new([blockSize]task)
		t.blocks[i/blockSize] = b
	}
	return &b[i%blockSize]
}

// each calls f for the tasks whose block is allocated.
func (t *jobTable) each(f func(i int, x *task)) {
	for n, b := range t.blocks {
		if b == nil {
			continue
		}
		for k := range b {
			if i := n*blockSize + k; i < t.job.Tasks {
				f(i, &b[k])
			}
		}
	}
}

func (t *jobTable) taskName(i int) string { return workers.TaskName(t.job.ID, i) }

// waiting returns the number of tasks that can be placed.
func (t *jobTable) waiting() int {
	return len(t.requeued) + len(t.failedTasks) + t.job.Tasks - t.firstUnplaced
}

// popWaiting removes and returns the next waiting task: first tasks that ran before, then new ones, then those that
// failed.
func (t *jobTable) popWaiting() int {
	if n := len(t.requeued); n > 0 {
		i := t.requeued[n-1]
		t.requeued = t.requeued[:n-1]
		return i
	}
	if t.firstUnplaced < t.job.Tasks {
		t.firstUnplaced++
		return t.firstUnplaced - 1
	}
	i := t.failedTasks[0]
	t.failedTasks = t.failedTasks[1:]
	return i
}

// setTask is the only function that changes a task's state. It keeps the team's use, the job's counts and the list of
// tasks on each machine up to date.
func (sched *Scheduler) setTask(t *jobTable, i int, s TaskState) {
	x := t.task(i)
	was, wasIn := x.state, x.inUse()
	x.state = s
	spec := t.job.Spec
	zone := sched.zoneOf(x.machine)
	if in := x.inUse(); in != wasIn {
		sign := 1
		if wasIn {
			sign = -1
		}
		t.inUse += sign
		t.team.cpus += float64(sign) * spec.CPUs
		t.team.gpus += float64(sign) * spec.GPUs
		t.zones[zone] += sign
		sched.fleet.MarkStale(sched.fleet.Machine(x.machine))
		r := taskRef{t, i}
		if in {
			sched.addInUse(r)
		} else {
			sched.removeInUse(r)
		}
	}
	if x.running && s != Placed {
		x.running = false
		t.running--
	}
	if s == Ended && was != Ended {
		t.completed++
	}
	if s == Completed && was != Completed {
		t.recorded++
		if was != Ended {
			t.completed++
		}
	}
	if s == Waiting && was != Waiting {
		x.listed, x.recheck, x.recordedHere, x.sentTo, x.sentToIncarnation, x.sentToSeveral, x.sentAt, x.stopSentAt = false, false, false, "", 0, false, 0, 0
		if x.failed {
			t.failedTasks = append(t.failedTasks, i)
		} else {
			t.requeued = append(t.requeued, i)
		}
	}
}

// zoneOf returns the zone of a machine. It is kept after the machine's deletion, because the counts by zone must not
// change while a task is in use.
func (sched *Scheduler) zoneOf(machine string) string { return sched.zoneByMachine[machine] }
