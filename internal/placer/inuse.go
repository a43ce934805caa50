package placer

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
	all  map[ref]struct{}
	open map[ref]struct{} // not listed by the machine yet, or to be decided by a later view
}

// addInUse adds a task in use to its machine's list.
func (p *Placer) addInUse(r ref) {
	x := r.t.task(r.i)
	on := p.on[x.machine]
	if on == nil {
		on = &machineTasks{all: map[ref]struct{}{}, open: map[ref]struct{}{}}
		p.on[x.machine] = on
	}
	on.all[r] = struct{}{}
	if x.unsettled() {
		on.open[r] = struct{}{}
	}
}

// sortedRefs lists tasks by name. Work done for each must not depend on map order.
func sortedRefs[V any](m map[ref]V) []ref {
	out := slices.Collect(maps.Keys(m))
	if len(out) > 1 {
		slices.SortFunc(out, func(a, b ref) int { return cmp.Or(strings.Compare(a.t.j.ID, b.t.j.ID), cmp.Compare(a.i, b.i)) })
	}
	return out
}

// removeInUse removes a task from its machine's list.
func (p *Placer) removeInUse(r ref) {
	machine := r.t.task(r.i).machine
	on := p.on[machine]
	if on == nil {
		return
	}
	delete(on.all, r)
	delete(on.open, r)
	if len(on.all) == 0 {
		delete(p.on, machine)
	}
}

// unsettled reports whether every view of the machine must be checked for the task. It was not listed there yet; or
// it is not listed any more, so that its absence may confirm its termination; or it was refused beside another
// attempt, whose end it waits for. If such a task were checked only when its own entry changes, it could wait for
// ever.
func (t *task) unsettled() bool { return !t.seen || t.pending }

// setSighting is the only function that changes what a machine has shown of a task in use.
func (p *Placer) setSighting(t *table, i int, seen, pending bool) {
	x := t.task(i)
	if x.seen == seen && x.pending == pending {
		return
	}
	x.seen, x.pending = seen, pending
	on := p.on[x.machine]
	if on == nil {
		return
	}
	r := ref{t, i}
	if _, in := on.all[r]; in && x.unsettled() {
		on.open[r] = struct{}{}
	} else {
		delete(on.open, r)
	}
}

// eachInUse calls f for every task in use on a machine.
func (p *Placer) eachInUse(machine string, f func(r ref)) {
	if on := p.on[machine]; on != nil {
		for _, r := range sortedRefs(on.all) {
			f(r)
		}
	}
}

// eachUnsettled calls f for every task in use on a machine that is not resolved yet.
func (p *Placer) eachUnsettled(machine string, f func(r ref)) {
	if on := p.on[machine]; on != nil {
		for _, r := range sortedRefs(on.open) {
			f(r)
		}
	}
}
