// Package placer keeps the tasks of the teams that this node owns: it places
// them on machines, records every attempt before it starts, and learns from the
// machines' views what became of it.
package placer

import (
	"cmp"
	"maps"
	"slices"

	"cleatpick/internal/agent"
	"cleatpick/internal/config"
	"cleatpick/internal/gate"
	"cleatpick/internal/health"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
)

// TaskState names where a task stands.
type TaskState uint8

// The states of a task.
const (
	Waiting   TaskState = iota // free to be placed
	Recording                  // a machine was chosen; the record is not stored yet
	Placed                     // recorded; may be on its machine until proven off
	Ended                      // completed on its machine; not recorded yet
	Completed                  // completed, and recorded
)

// blockSize is how many tasks of a job get their memory at once: of the largest arrays,
// only a part is under way at any time.
const blockSize = 128

type task struct {
	state   TaskState
	attempt uint64
	machine string
	session uint64
	expiry  loop.Micros // time of day after which nobody carries the start out
	ours    bool        // recorded in this ownership: we know where the start was sent
	sentTo  string      // the only host that it was sent to
	life    loop.Micros // and the only life of that host's process
	spread  bool        // it was sent to more than one host, or to more than one life
	sentAt  loop.Micros
	chosen  loop.Micros // when its machine was chosen
	failed  bool        // the attempt before ended in an error
	seen    bool        // its machine has shown it
	pending bool        // and more views are needed to judge it
	running bool
	since   loop.Micros // when it was first seen running
	stopAt  loop.Micros // when a stop was last asked for
	fellAt  loop.Micros // when its machine, which was lost, was last heard; 0: it runs again or never fell
	seg     *segment    // where its newest record stands; nil: never recorded
}

// inUse tells whether the task counts against its team's limit.
func (t *task) inUse() bool { return t.state == Recording || t.state == Placed }

type table struct {
	j         *job.Job
	team      *team
	blocks    []*[blockSize]task
	next      int   // this task and all above it were never touched
	back      []int // tasks to be placed again
	inUse     int
	completed int // ended or completed
	recorded  int // completed
	running   int
	zones     map[string]int // tasks in use by zone
	closing   bool           // the job's completion is being stored
	late      []int          // tasks that failed, to be placed again after all others
	trial     health.Probation
	shun      map[string]struct{} // machines on which it failed lately
	damaged   bool                // a record of its tasks cannot be read
	amendAt   loop.Micros         // its record is not amended again before
	short     gate.Kind           // by which gate of the machines its tasks found no room in the newest pass; 0: none
	shortAt   loop.Micros
	stopped   map[string]string // by machine: the job for which tasks of it were stopped
	causes    []gate.Cause      // as last told
	toldAt    loop.Micros       // time of day at which they were told; 0: never by this owner
	toldTimes int               // since they last changed
	at        loop.Micros       // when it was accepted, by the steady clock
	pieceAt   loop.Micros       // when it last got something before its turn; at, if it never did
	heldCPUs  float64           // for which room is held before its turn that it has not taken
	heldFor   string            // by the class in the reserve that paid for it
	missing   loop.Micros       // since when tasks of it find no room; 0: none does
	toldDone  int64
	toldRun   int64
}

type team struct {
	cfg    config.Team
	quota  config.Quota
	part   *ownedPartition
	loaded bool // its records have been read
	// loadedAt is the time of day at which they had been: whatever others recorded was recorded before.
	loadedAt loop.Micros
	jobs     map[string]*table
	order    []*table // jobs in the order of their acceptance; nil: to be made anew
	cpus     float64
	gpus     float64
	short    shortfall
}

// inUse is the number of its tasks that may be on machines.
func (tm *team) inUse() int {
	n := 0
	for _, t := range tm.jobs {
		n += t.inUse
	}
	return n
}

// inOrder lists the team's jobs in the order of their acceptance. Passes ask for it far
// more often than jobs come and go.
func (tm *team) inOrder() []*table {
	if tm.order == nil {
		tm.order = slices.SortedFunc(maps.Values(tm.jobs), accepted)
	}
	return tm.order
}

func accepted(a, b *table) int {
	return cmp.Or(cmp.Compare(a.j.At, b.j.At), cmp.Compare(a.j.ID, b.j.ID))
}

// enter and drop keep the order: to sort all jobs anew whenever one came or went cost a
// fiftieth of a large node's time. The list is copied, since it may be gone through.
func (tm *team) enter(t *table) {
	tm.jobs[t.j.ID] = t
	if tm.order != nil {
		i, _ := slices.BinarySearchFunc(tm.order, t, accepted)
		tm.order = slices.Concat(tm.order[:i], []*table{t}, tm.order[i:])
	}
}

func (tm *team) drop(t *table) {
	delete(tm.jobs, t.j.ID)
	if i, ok := slices.BinarySearchFunc(tm.order, t, accepted); ok {
		tm.order = slices.Concat(tm.order[:i], tm.order[i+1:])
	}
}

type ref struct {
	t *table
	i int
}

func (t *table) task(i int) *task {
	b := t.blocks[i/blockSize]
	if b == nil {
		b = new([blockSize]task)
		t.blocks[i/blockSize] = b
	}
	return &b[i%blockSize]
}

// each calls f for the tasks that have memory.
func (t *table) each(f func(i int, x *task)) {
	for n, b := range t.blocks {
		if b == nil {
			continue
		}
		for k := range b {
			if i := n*blockSize + k; i < t.j.Tasks {
				f(i, &b[k])
			}
		}
	}
}

func (t *table) name(i int) string { return agent.TaskName(t.j.ID, i) }

// waiting is the number of tasks free to be placed.
func (t *table) waiting() int { return len(t.back) + len(t.late) + t.j.Tasks - t.next }

// pop takes the next waiting task; those that ran before go first, and those that failed last.
func (t *table) pop() int {
	if n := len(t.back); n > 0 {
		i := t.back[n-1]
		t.back = t.back[:n-1]
		return i
	}
	if t.next < t.j.Tasks {
		t.next++
		return t.next - 1
	}
	i := t.late[0]
	t.late = t.late[1:]
	return i
}

// setTask is the one place where a task changes state. It keeps the team's use,
// the counts of the job and the list of what each machine holds.
func (p *Placer) setTask(t *table, i int, s TaskState) {
	x := t.task(i)
	was, wasIn := x.state, x.inUse()
	x.state = s
	spec := t.j.Spec
	zone := p.zoneOf(x.machine)
	if in := x.inUse(); in != wasIn {
		sign := 1
		if wasIn {
			sign = -1
		}
		t.inUse += sign
		t.team.cpus += float64(sign) * spec.CPUs
		t.team.gpus += float64(sign) * spec.GPUs
		t.zones[zone] += sign
		p.fleet.Touch(p.fleet.Slot(x.machine))
		r := ref{t, i}
		if in {
			p.addInUse(r)
		} else {
			p.removeInUse(r)
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
		x.seen, x.pending, x.ours, x.sentTo, x.life, x.spread, x.sentAt, x.stopAt = false, false, false, "", 0, false, 0, 0
		if x.failed {
			t.late = append(t.late, i)
		} else {
			t.back = append(t.back, i)
		}
	}
}

// zoneOf is remembered beyond a machine's life, since counts by zone must not
// change while a task is in use.
func (p *Placer) zoneOf(machine string) string { return p.zoneMemo[machine] }
