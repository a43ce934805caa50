package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// machineTasks holds the tasks of owned teams in use on one machine. Most were listed by the machine and remain as
// its views show them. Unresolved tasks are kept separately, so that the cost of a view, a pass and a tick depends on
// their number and not on the number of running tasks.
type machineTasks struct {
	all        map[taskRef]struct{}
	unresolved map[taskRef]struct{} // not listed by the machine yet, or to be decided by a later view
}

// addInUse adds a task in use to its machine's list.
func (sched *Scheduler) addInUse(r taskRef) {
	x := r.table.task(r.index)
	on := sched.tasksByMachine[x.machine]
	if on == nil {
		on = &machineTasks{all: map[taskRef]struct{}{}, unresolved: map[taskRef]struct{}{}}
		sched.tasksByMachine[x.machine] = on
	}
	on.all[r] = struct{}{}
	if x.isUnresolved() {
		on.unresolved[r] = struct{}{}
	}
}

// sortedRefs lists tasks by name. Work done for each must not depend on map order.
func sortedRefs[V any](m map[taskRef]V) []taskRef {
	out := slices.Collect(maps.Keys(m))
	if len(out) > 1 {
		slices.SortFunc(out, func(a, b taskRef) int {
			return cmp.Or(strings.Compare(a.table.job.ID, b.table.job.ID), cmp.Compare(a.index, b.index))
		})
	}
	return out
}

// removeInUse removes a task from its machine's list.
func (sched *Scheduler) removeInUse(r taskRef) {
	machine := r.table.task(r.index).machine
	on := sched.tasksByMachine[machine]
	if on == nil {
		return
	}
	delete(on.all, r)
	delete(on.unresolved, r)
	if len(on.all) == 0 {
		delete(sched.tasksByMachine, machine)
	}
}

// isUnresolved reports whether every view of the machine must be checked for the task. It was not listed there yet; or
// it is not listed any more, so that its absence may confirm its termination; or it was refused because of another
// attempt, whose end it waits for. If such a task were checked only when its own entry changes, it could wait for
// ever.
func (t *task) isUnresolved() bool { return !t.listed || t.recheck }

// setListed is the only function that changes what a machine has shown of a task in use.
func (sched *Scheduler) setListed(t *jobTable, i int, listed, recheck bool) {
	x := t.task(i)
	if x.listed == listed && x.recheck == recheck {
		return
	}
	x.listed, x.recheck = listed, recheck
	on := sched.tasksByMachine[x.machine]
	if on == nil {
		return
	}
	r := taskRef{t, i}
	if _, in := on.all[r]; in && x.isUnresolved() {
		on.unresolved[r] = struct{}{}
	} else {
		delete(on.unresolved, r)
	}
}

// eachInUse calls f for every task in use on a machine.
func (sched *Scheduler) eachInUse(machine string, f func(r taskRef)) {
	if on := sched.tasksByMachine[machine]; on != nil {
		for _, r := range sortedRefs(on.all) {
			f(r)
		}
	}
}

// eachUnresolved calls f for every task in use on a machine that is not resolved yet.
func (sched *Scheduler) eachUnresolved(machine string, f func(r taskRef)) {
	if on := sched.tasksByMachine[machine]; on != nil {
		for _, r := range sortedRefs(on.unresolved) {
			f(r)
		}
	}
}
