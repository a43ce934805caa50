// Package health judges machines and jobs by what tasks show: which fail and where, which
// are slow, and since when each task runs. Every node sees the same views and judges alike.
package health

import (
	"cleatpick/internal/agent"
	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// Blame tells machines that fail every task from jobs that were submitted with a mistake,
// by who fails where: a machine is at fault when tasks of several jobs fail on it that do
// not fail elsewhere, a job when its tasks fail on several machines that nobody else
// speaks against. Every node sees the same views and judges alike.
//
// Once, two failures in a row put a machine to rest, whoever failed: a job with a mistake
// rested every machine that it touched.
type Blame struct {
	machines map[string]*accused
	jobs     map[string]*accuser
	live     func(id string) bool
	// version rises with whatever may change what is known against any machine.
	version uint64
}

// The thresholds.
const (
	// A job whose tasks failed there speaks against a machine by so much: one of which a
	// task has completed somewhere, one of which nothing is known, or one of which a task
	// that failed there has completed elsewhere, which proves it alone.
	soundWord, freshWord, proof = 2, 1, 6
	// enough words put a machine at fault: three sound jobs, or six that are not known.
	// Two were enough at first, and two jobs broken in some of their tasks do meet.
	enough = 6
	// othersToo is on how many other machines a job must have failed since it last
	// completed a task for its failures to say nothing of a machine.
	othersToo = 2
	// BrokenOn is on how many machines that are not at fault a job must have failed,
	// with no success since, to be called broken.
	BrokenOn = 3
	// mostFailed bounds what is remembered of a job's failures.
	mostFailed = 256
)

// accused is what is known against a machine.
type accused struct {
	counted map[string]uint64 // ended attempts that were counted
	words   map[string]word   // by job, since the last success on it
	until   loop.Micros       // nothing is placed before
	rests   int               // in a row
	// against is the sum of the words at a version: a placement pass asks for it time and again.
	against   int
	againstAt uint64
}

// word is what a job's failures say against a machine: the tasks that failed there and
// nowhere else; true for one that completed elsewhere afterwards.
type word map[string]bool

func (w word) proves() bool {
	for _, done := range w {
		if done {
			return true
		}
	}
	return false
}

// accuser is what is known of a job's tasks.
type accuser struct {
	sound  bool                // a task of it has completed
	on     map[string]struct{} // machines that it failed on since then
	failed map[string]string   // machine on which each task failed last
	// roams: a task of it failed on several machines. Some of the job's tasks cannot
	// succeed, and which cannot be told from where they fail: it speaks against nobody.
	roams bool
}

// NewBlame makes an empty judgement. live tells whether a job is known and not over: what
// machines still show of others is not kept, or every job ever run would be.
func NewBlame(live func(id string) bool) *Blame {
	return &Blame{machines: map[string]*accused{}, jobs: map[string]*accuser{}, live: live, version: 1}
}

// View takes in a machine's newer view.
func (b *Blame) View(now loop.Micros, v *agent.View, c *agent.Changes) {
	if c.Unchanged {
		return
	}
	for i := range v.Tasks {
		t := &v.Tasks[i]
		if c.Kept(i) || t.Active() || (t.Why != wire.WhyDone && t.Why != wire.WhyError) {
			continue // counted when it was new, or no word of its run
		}
		m := b.machines[v.Name]
		if m == nil {
			m = &accused{counted: map[string]uint64{}, words: map[string]word{}}
			b.machines[v.Name] = m
		}
		if m.counted[t.Task] >= t.Attempt {
			continue
		}
		if len(m.counted) > 64+2*len(v.Tasks) {
			m.forget(v) // a machine may live for long
		}
		m.counted[t.Task] = t.Attempt
		if id, _, ok := agent.SplitTask(t.Task); ok && t.Why == wire.WhyDone {
			b.completed(v.Name, id, t.Task)
		} else if ok {
			b.failed(now, v.Name, id, t.Task)
		}
	}
}

// forget drops what the machine does not report any more.
func (m *accused) forget(v *agent.View) {
	kept := map[string]uint64{}
	for i := range v.Tasks {
		if n, ok := m.counted[v.Tasks[i].Task]; ok {
			kept[v.Tasks[i].Task] = n
		}
	}
	m.counted = kept
}

func (b *Blame) job(id string) *accuser {
	j := b.jobs[id]
	if j == nil {
		j = &accuser{on: map[string]struct{}{}, failed: map[string]string{}}
		b.jobs[id] = j
	}
	return j
}

// completed takes in that a task has ended well: neither its machine nor its job fails
// everything. A machine on which it failed before keeps that word against it.
func (b *Blame) completed(machine, id, task string) {
	if m := b.machines[machine]; m != nil {
		if len(m.words) > 0 {
			b.version++
			clear(m.words)
		}
		m.rests = 0
	}
	if !b.live(id) {
		return
	}
	j := b.job(id)
	if !j.sound || len(j.on) > 0 {
		b.version++
		j.sound = true
		clear(j.on)
	}
	if was, ok := j.failed[task]; ok && was != machine {
		if m := b.machines[was]; m != nil && m.words[id] != nil {
			if _, stands := m.words[id][task]; stands {
				b.version++
				m.words[id][task] = true
			}
		}
	}
	delete(j.failed, task)
}

// anywhere stands for the machine of a task that has failed on several.
const anywhere = "*"

// failed takes in that a task has failed. A machine at fault rests for it, whether or not the
// task itself speaks against it: a proven one was once offered the same task 166 times, since
// that one had failed elsewhere too.
func (b *Blame) failed(now loop.Micros, machine, id, task string) {
	if !b.live(id) {
		return
	}
	m := b.machines[machine]
	b.accuse(m, machine, id, task)
	if now >= m.until && b.AtFault(machine) {
		m.until = now + min(120*loop.Second, 15*loop.Second<<min(m.rests, 3))
		m.rests++
	}
}

// accuse takes a failure for a word against its machine, where it is one.
func (b *Blame) accuse(m *accused, machine, id, task string) {
	b.version++
	j := b.job(id)
	if len(j.on) < mostFailed {
		j.on[machine] = struct{}{}
	}
	was, before := j.failed[task]
	if before && was != machine {
		// It fails wherever it runs, and says nothing of any machine.
		j.failed[task], j.roams = anywhere, true
		b.takeBack(was, id, task)
		return
	}
	if len(j.failed) < mostFailed {
		j.failed[task] = machine
	}
	w := m.words[id]
	if w == nil {
		w = word{}
		m.words[id] = w
	}
	w[task] = false
}

// takeBack drops a task's word against a machine.
func (b *Blame) takeBack(machine, id, task string) {
	m := b.machines[machine]
	if m == nil {
		return
	}
	delete(m.words[id], task)
	if len(m.words[id]) == 0 {
		delete(m.words, id)
	}
}

// AtFault tells whether a machine fails tasks that others would not.
func (b *Blame) AtFault(machine string) bool {
	m := b.machines[machine]
	if m == nil {
		return false
	}
	if m.againstAt != b.version {
		m.against, m.againstAt = b.against(machine, m), b.version
	}
	return m.against >= enough
}

func (b *Blame) against(machine string, m *accused) (words int) {
	for id, w := range m.words {
		j := b.jobs[id]
		if j == nil {
			words += freshWord
			continue
		}
		others := len(j.on)
		if _, here := j.on[machine]; here {
			others--
		}
		switch {
		case w.proves():
			words += proof
		case others >= othersToo || j.roams:
		case !j.sound:
			words += freshWord
		default:
			words += soundWord
		}
	}
	return words
}

// Against is the number of machines that are not at fault themselves on which the job
// has failed since a task of it last completed.
func (b *Blame) Against(id string) int {
	j := b.jobs[id]
	if j == nil {
		return 0
	}
	n := 0
	for machine := range j.on {
		if !b.AtFault(machine) {
			n++
		}
	}
	return n
}

// Shuns lists machines on which the job failed since a task of it last completed: its
// next task had better go elsewhere. The map is the judge's own.
func (b *Blame) Shuns(id string) map[string]struct{} {
	if j := b.jobs[id]; j != nil {
		return j.on
	}
	return nil
}

// Gone forgets a machine that was deleted.
func (b *Blame) Gone(machine string) {
	b.version++
	delete(b.machines, machine)
	for _, j := range b.jobs {
		delete(j.on, machine)
	}
}

// Over forgets a job that is over.
func (b *Blame) Over(id string) {
	j := b.jobs[id]
	if j == nil {
		return
	}
	for machine := range j.on {
		if m := b.machines[machine]; m != nil {
			delete(m.words, id)
		}
	}
	delete(b.jobs, id)
	b.version++
}

// Until is when something may be placed on the machine again.
func (b *Blame) Until(machine string) loop.Micros {
	if m := b.machines[machine]; m != nil {
		return m.until
	}
	return 0
}

// Faulty tells whether a machine should be replaced: it is at fault, and by the tasks of
// several jobs.
func (b *Blame) Faulty(machine string) bool {
	m := b.machines[machine]
	if m == nil || len(m.words) < 2 || !b.AtFault(machine) {
		return false
	}
	tasks := 0
	for _, w := range m.words {
		tasks += len(w)
	}
	return tasks >= 3
}
