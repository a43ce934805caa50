// Package health evaluates machines and jobs by the states of their tasks: it attributes
// failures to a machine or to a job, finds slow machines, records since when each task has
// been running, and limits the retries of failing jobs. Every controller receives the same
// views of the machines and so comes to the same results without talking to others. The
// package only evaluates; where tasks are placed is decided by the scheduler.
package health

import (
	"cleatpick/internal/eventloop"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// Attribution attributes failures of tasks either to machines or to jobs that cannot succeed. A
// machine is at fault when tasks of several jobs fail on it that do not fail elsewhere. A job
// is at fault when its tasks fail on several machines against which no other job's failures
// are evidence. A mere count of consecutive failures on a machine is not enough: when two in
// a row put a machine in back-off, a broken job did so with every machine on which it was tried.
type Attribution struct {
	machines   map[string]*machineEvidence
	jobs       map[string]*jobEvidence
	unfinished func(id string) bool
	// version grows with every change that may affect the evidence against any machine.
	version uint64
}

// Weights and thresholds of the evidence.
const (
	// Weight of a job's failures as evidence against the machine: of a job of which a task
	// has completed somewhere, of a job of which none has, and of a job of which a task that
	// failed there has completed elsewhere, which suffices alone.
	soundWeight, freshWeight, conclusiveWeight = 2, 1, 6
	// faultThreshold is the weight at which a machine is at fault: three jobs that have completed
	// tasks, or six that have not. The failures of two jobs are not sufficient, since two jobs
	// with some broken tasks do meet on one machine.
	faultThreshold = 6
	// maxOtherMachines is the number of other machines on which a job must have failed since it last
	// completed a task for its failures to be no evidence against any machine.
	maxOtherMachines = 2
	// BrokenOn is the number of machines not at fault on which a job must have failed,
	// without a success since, to be considered broken.
	BrokenOn = 3
	// maxFailures bounds the failures that are kept of a job.
	maxFailures = 256
)

// machineEvidence is the evidence against a machine.
type machineEvidence struct {
	counted      map[string]uint64   // ended attempts that were counted
	byJob        map[string]evidence // by job, since the last success on the machine
	backOffUntil eventloop.Micros    // nothing is placed before this time
	backOffs     int                 // consecutive back-offs
	// weight is the cached weight of the evidence as of weightVersion: a scheduling
	// pass asks for it many times.
	weight        int
	weightVersion uint64
}

// evidence is the evidence of one job's failures against a machine: the tasks that failed there
// and nowhere else. The value is true for a task that completed elsewhere afterwards.
type evidence map[string]bool

func (w evidence) conclusive() bool {
	for _, done := range w {
		if done {
			return true
		}
	}
	return false
}

// jobEvidence is what is known of a job's tasks.
type jobEvidence struct {
	sound       bool                // a task of it has completed
	failedOn    map[string]struct{} // machines on which it has failed since then
	failedTasks map[string]string   // machine on which each task failed last
	// failsAnywhere says that a task of the job failed on several machines. Then some tasks of the
	// job cannot succeed, and it is unknown which: its failures are evidence against no machine.
	failsAnywhere bool
}

// NewAttribution returns an empty failure attribution. unfinished reports whether a job is known and
// unfinished: tasks of other jobs that machines still report are ignored, so that memory does
// not grow with every job ever run.
func NewAttribution(unfinished func(id string) bool) *Attribution {
	return &Attribution{machines: map[string]*machineEvidence{}, jobs: map[string]*jobEvidence{}, unfinished: unfinished, version: 1}
}

// Observe records the changes in a machine's newest view.
func (a *Attribution) Observe(now eventloop.Micros, v *workers.View, c *workers.Changes) {
	if c.Unchanged {
		return
	}
	for i := range v.Tasks {
		t := &v.Tasks[i]
		if c.Kept(i) || t.Active() || (t.Why != wire.WhyDone && t.Why != wire.WhyError) {
			continue // counted before, or not an end that says anything about its run
		}
		m := a.machines[v.Name]
		if m == nil {
			m = &machineEvidence{counted: map[string]uint64{}, byJob: map[string]evidence{}}
			a.machines[v.Name] = m
		}
		if m.counted[t.Task] >= t.Attempt {
			continue
		}
		if len(m.counted) > 64+2*len(v.Tasks) {
			m.forgetUnreported(v) // bounds the memory for a machine that runs for long
		}
		m.counted[t.Task] = t.Attempt
		if id, _, ok := workers.SplitTask(t.Task); ok && t.Why == wire.WhyDone {
			a.completed(v.Name, id, t.Task)
		} else if ok {
			a.failed(now, v.Name, id, t.Task)
		}
	}
}

// forgetUnreported removes the attempts that the machine does not report any more.
func (m *machineEvidence) forgetUnreported(v *workers.View) {
	kept := map[string]uint64{}
	for i := range v.Tasks {
		if n, ok := m.counted[v.Tasks[i].Task]; ok {
			kept[v.Tasks[i].Task] = n
		}
	}
	m.counted = kept
}

func (a *Attribution) job(id string) *jobEvidence {
	j := a.jobs[id]
	if j == nil {
		j = &jobEvidence{failedOn: map[string]struct{}{}, failedTasks: map[string]string{}}
		a.jobs[id] = j
	}
	return j
}

// completed records that a task has completed: neither its machine nor its job fails every
// task. If it failed on another machine before, that stays as evidence against that machine.
func (a *Attribution) completed(machine, id, task string) {
	if m := a.machines[machine]; m != nil {
		if len(m.byJob) > 0 {
			a.version++
			clear(m.byJob)
		}
		m.backOffs = 0
	}
	if !a.unfinished(id) {
		return
	}
	j := a.job(id)
	if !j.sound || len(j.failedOn) > 0 {
		a.version++
		j.sound = true
		clear(j.failedOn)
	}
	if was, ok := j.failedTasks[task]; ok && was != machine {
		if m := a.machines[was]; m != nil && m.byJob[id] != nil {
			if _, stands := m.byJob[id][task]; stands {
				a.version++
				m.byJob[id][task] = true
			}
		}
	}
	delete(j.failedTasks, task)
}

// severalMachines replaces the machine's name for a task that has failed on several machines.
const severalMachines = "*"

// failed records that a task has failed. A machine at fault is in back-off after it, even if this
// task is no evidence against the machine: otherwise a task that has failed elsewhere, too,
// would be started on the faulty machine again and again (166 times in one case).
func (a *Attribution) failed(now eventloop.Micros, machine, id, task string) {
	if !a.unfinished(id) {
		return
	}
	m := a.machines[machine]
	a.addEvidence(m, machine, id, task)
	if now >= m.backOffUntil && a.AtFault(machine) {
		m.backOffUntil = now + min(120*eventloop.Second, 15*eventloop.Second<<min(m.backOffs, 3))
		m.backOffs++
	}
}

// addEvidence records a failure as evidence against its machine if it is any.
func (a *Attribution) addEvidence(m *machineEvidence, machine, id, task string) {
	a.version++
	j := a.job(id)
	if len(j.failedOn) < maxFailures {
		j.failedOn[machine] = struct{}{}
	}
	was, before := j.failedTasks[task]
	if before && was != machine {
		// The task fails on every machine and is evidence against none of them.
		j.failedTasks[task], j.failsAnywhere = severalMachines, true
		a.removeEvidence(was, id, task)
		return
	}
	if len(j.failedTasks) < maxFailures {
		j.failedTasks[task] = machine
	}
	w := m.byJob[id]
	if w == nil {
		w = evidence{}
		m.byJob[id] = w
	}
	w[task] = false
}

// removeEvidence removes a task's failure from the evidence against a machine.
func (a *Attribution) removeEvidence(machine, id, task string) {
	m := a.machines[machine]
	if m == nil {
		return
	}
	delete(m.byJob[id], task)
	if len(m.byJob[id]) == 0 {
		delete(m.byJob, id)
	}
}

// AtFault reports whether a machine fails tasks that other machines would not.
func (a *Attribution) AtFault(machine string) bool {
	m := a.machines[machine]
	if m == nil {
		return false
	}
	if m.weightVersion != a.version {
		m.weight, m.weightVersion = a.weigh(machine, m), a.version
	}
	return m.weight >= faultThreshold
}

// weigh returns the weight of the evidence against a machine.
func (a *Attribution) weigh(machine string, m *machineEvidence) (weight int) {
	for id, w := range m.byJob {
		j := a.jobs[id]
		if j == nil {
			weight += freshWeight
			continue
		}
		others := len(j.failedOn)
		if _, here := j.failedOn[machine]; here {
			others--
		}
		switch {
		case w.conclusive():
			weight += conclusiveWeight
		case others >= maxOtherMachines || j.failsAnywhere:
		case !j.sound:
			weight += freshWeight
		default:
			weight += soundWeight
		}
	}
	return weight
}

// FailedOnHealthy returns the number of machines, not at fault themselves, on which the job has
// failed since a task of it last completed.
func (a *Attribution) FailedOnHealthy(id string) int {
	j := a.jobs[id]
	if j == nil {
		return 0
	}
	n := 0
	for machine := range j.failedOn {
		if !a.AtFault(machine) {
			n++
		}
	}
	return n
}

// AvoidedMachines returns the machines on which the job has failed since a task of it last completed;
// its next task should run elsewhere. The caller must not change the map.
func (a *Attribution) AvoidedMachines(id string) map[string]struct{} {
	if j := a.jobs[id]; j != nil {
		return j.failedOn
	}
	return nil
}

// MachineDeleted removes a deleted machine.
func (a *Attribution) MachineDeleted(machine string) {
	a.version++
	delete(a.machines, machine)
	for _, j := range a.jobs {
		delete(j.failedOn, machine)
	}
}

// JobFinished removes a finished job.
func (a *Attribution) JobFinished(id string) {
	j := a.jobs[id]
	if j == nil {
		return
	}
	for machine := range j.failedOn {
		if m := a.machines[machine]; m != nil {
			delete(m.byJob, id)
		}
	}
	delete(a.jobs, id)
	a.version++
}

// BackOffUntil returns the time from which tasks may be placed on the machine again.
func (a *Attribution) BackOffUntil(machine string) eventloop.Micros {
	if m := a.machines[machine]; m != nil {
		return m.backOffUntil
	}
	return 0
}

// ShouldReplace reports whether a machine should be replaced: it is at fault, by at least three
// tasks of at least two jobs.
func (a *Attribution) ShouldReplace(machine string) bool {
	m := a.machines[machine]
	if m == nil || len(m.byJob) < 2 || !a.AtFault(machine) {
		return false
	}
	tasks := 0
	for _, w := range m.byJob {
		tasks += len(w)
	}
	return tasks >= 3
}
