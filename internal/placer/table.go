// Package placer keeps the tasks of the teams that this node owns: it places
// them on machines, records every attempt before it starts, and learns from the
// machines' views what became of it.
package placer

import (
	"fmt"

	"cleatpick/internal/agent"
	"cleatpick/internal/config"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/member"
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

const chunkSize = 50

type task struct {
	state   TaskState
	attempt uint64
	machine string
	session uint64
	expiry  loop.Micros // time of day after which nobody carries the start out
	ours    bool        // recorded in this ownership: we know where the start was sent
	sentTo  string      // the only host that it was sent to
	spread  bool        // it was sent to more than one host
	sentAt  loop.Micros
	seen    bool // its machine has shown it
	running bool
	since   loop.Micros // when it was first seen running
	stopAt  loop.Micros // when a stop was last asked for
}

// inUse tells whether the task counts against its team's limit.
func (t *task) inUse() bool { return t.state == Recording || t.state == Placed }

type chunkState uint8

const (
	chunkClean chunkState = iota
	chunkDirty
	chunkWriting
	chunkWritingDirty // changed again while being written
)

type chunk struct {
	no    int
	tasks [chunkSize]task
	mark  uint64
	nonce uint64
	state chunkState
	due   loop.Micros
}

type table struct {
	j         *job.Job
	team      *team
	chunks    map[int]*chunk
	next      int   // the lowest task that was never touched
	back      []int // tasks to be placed again
	inUse     int
	completed int // ended or completed
	recorded  int // completed
	running   int
	zones     map[string]int // tasks in use by zone
	closing   bool           // the job's completion is being stored
	failedOn  map[string]bool
	failures  int
	holdOff   loop.Micros
	toldDone  int64
	toldRun   int64
}

type team struct {
	cfg    config.Team
	claim  member.Owner
	loaded bool
	jobs   map[string]*table
	cpus   float64
	gpus   float64
}

type ref struct {
	t *table
	i int
}

func (t *table) chunkOf(i int) *chunk {
	n := i / chunkSize
	c := t.chunks[n]
	if c == nil {
		c = &chunk{no: n}
		t.chunks[n] = c
	}
	return c
}

func (t *table) task(i int) *task { return &t.chunkOf(i).tasks[i%chunkSize] }

func (t *table) name(i int) string { return agent.TaskName(t.j.ID, i) }

// waiting is the number of tasks free to be placed.
func (t *table) waiting() int { return len(t.back) + t.j.Tasks - t.next }

// pop takes the next waiting task; those that ran before go first.
func (t *table) pop() int {
	if n := len(t.back); n > 0 {
		i := t.back[n-1]
		t.back = t.back[:n-1]
		return i
	}
	i := t.next
	t.next++
	// Skip what was recorded before this ownership began.
	for t.next < t.j.Tasks && t.touched(t.next) {
		t.next++
	}
	return i
}

func (t *table) touched(i int) bool {
	c := t.chunks[i/chunkSize]
	return c != nil && (c.tasks[i%chunkSize].state != Waiting || c.tasks[i%chunkSize].attempt > 0)
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
		r := ref{t, i}
		if in {
			on := p.on[x.machine]
			if on == nil {
				on = map[ref]struct{}{}
				p.on[x.machine] = on
			}
			on[r] = struct{}{}
		} else {
			delete(p.on[x.machine], r)
			if len(p.on[x.machine]) == 0 {
				delete(p.on, x.machine)
			}
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
		x.seen, x.ours, x.sentTo, x.spread, x.sentAt, x.stopAt = false, false, "", false, 0, 0
		t.back = append(t.back, i)
	}
}

// zoneOf is remembered beyond a machine's life, since counts by zone must not
// change while a task is in use.
func (p *Placer) zoneOf(machine string) string { return p.zoneMemo[machine] }

// entry is a task in a stored chunk: index, state, attempt, machine, session, expiry.
type entry struct {
	_       struct{} `cbor:",toarray"`
	Index   int
	State   int
	Attempt uint64
	Machine string
	Session uint64
	Expiry  int64
}

const (
	storedPlaced = 1
	storedDone   = 2
)

type chunkRecord struct {
	Nonce uint64  `cbor:"w"`
	Zone  []zoned `cbor:"z"`
	Tasks []entry `cbor:"t"`
}

// zoned names a machine's zone, for tasks whose machine is not heard any more.
type zoned struct {
	_       struct{} `cbor:",toarray"`
	Machine string
	Zone    string
}

const tableKeys = "x/"

func chunkKey(team, id string, no int) string {
	return fmt.Sprintf("%s%s/%s/%05d", tableKeys, team, id, no)
}

func (p *Placer) snapshot(t *table, c *chunk) chunkRecord {
	rec := chunkRecord{Nonce: c.nonce, Zone: []zoned{}, Tasks: []entry{}}
	named := map[string]bool{}
	for i := range c.tasks {
		x := &c.tasks[i]
		e := entry{Index: i, Attempt: x.attempt}
		switch x.state {
		case Recording, Placed:
			e.State, e.Machine, e.Session, e.Expiry = storedPlaced, x.machine, x.session, x.expiry
			if !named[x.machine] {
				named[x.machine] = true
				rec.Zone = append(rec.Zone, zoned{Machine: x.machine, Zone: p.zoneOf(x.machine)})
			}
		case Ended, Completed:
			e.State = storedDone
		default:
			if x.attempt == 0 {
				continue
			}
		}
		rec.Tasks = append(rec.Tasks, e)
	}
	return rec
}
