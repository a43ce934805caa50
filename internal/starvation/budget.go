// Package starvation decides which waiting jobs are served ahead of the ordinary order, so that no class, no
// team without a guarantee and no job of any size waits without bound while other jobs keep arriving.
//
// The ordinary order of service puts urgent work first, then guarantees, then small jobs. Each of these can
// continue for ever, and what comes after them would never start. A small part of the CPUs that are freed is
// therefore given out by another rule: the classes are served in turn by fair queueing, and within a class,
// of the jobs that have waited for some time, the one that got nothing by this rule for longest. The package
// keeps the budget of CPUs and what each class received. Finding capacity, placing tasks and reserving
// capacity for them is left to its callers.
package starvation

import (
	"cmp"
	"slices"

	"cleatpick/internal/eventloop"
)

const (
	// MinWait is the time since its acceptance from which a job with waiting tasks is served out of
	// order.
	MinWait = 75 * eventloop.Second
	// Fraction is the fraction of the freed CPUs that is given out by this rule.
	Fraction = 0.08
	// maxSavedTime limits the unused budget to what accrues in this time.
	maxSavedTime = 10 * eventloop.Second
	// maxLeadTime limits, in time of the budget's accrual, how long a class waits for its turn because of what it
	// received in the ordinary order, or under an earlier owner.
	maxLeadTime = 20 * eventloop.Second
	// taskDivisor divides the waiting tasks of a job: it gets this fraction of them at a time. The late jobs
	// of one class share it.
	taskDivisor = 8
	// maxPicks bounds the number of jobs picked at a time.
	maxPicks = 32
)

// Waiter is a job with waiting tasks.
type Waiter struct {
	ID           string
	Class        string           // includes the team; classes are served in turn
	AcceptedAt   eventloop.Micros // when it was accepted, by the monotonic clock
	LastServedAt eventloop.Micros // when it last received CPUs by this rule; AcceptedAt, if it never did
	Tasks        int              // waiting tasks that the job's predicates allow
	CPUs         float64          // of each task
}

// Pick is a job to serve out of order, and the number of its tasks.
type Pick struct {
	Index int // index in the list of waiters
	Tasks int
}

// Budget keeps the number of CPUs that may be used for serving jobs out of order, and what each class
// received.
type Budget struct {
	credit      float64
	earnedAt    eventloop.Micros
	rate        float64            // CPUs freed per second, as last given to Accrue
	turns       map[string]float64 // CPUs that each class received, counted from the value of currentTurn at which it joined
	currentTurn float64            // turn of the class served last, from which new classes start
}

// New returns an empty Budget.
func New() *Budget { return &Budget{turns: map[string]float64{}} }

// Accrue adds to the budget for the time since the last call. rate is the number of CPUs per second that are
// freed for this controller's jobs.
func (b *Budget) Accrue(now eventloop.Micros, rate float64) {
	b.rate = rate
	if b.earnedAt != 0 {
		b.credit += float64(now-b.earnedAt) / 1e6 * rate * Fraction
	}
	b.earnedAt = now
	b.credit = min(b.credit, float64(maxSavedTime)/1e6*rate*Fraction+1)
}

// Available reports whether the budget allows serving a job out of order now.
func (b *Budget) Available() bool { return b.credit > 0 }

// Spend records CPUs that were given to a class out of order, or reserved for it.
func (b *Budget) Spend(class string, cpus float64) {
	b.credit -= cpus
	b.turns[class] += cpus
	b.currentTurn = max(b.currentTurn, b.turns[class]-cpus)
}

// RecordOrdinary records CPUs that a class received in the ordinary order, which delays its turn. The delay is
// bounded: an exceptional job in a class that is served well, such as one far larger than the others, must
// not wait for ever.
func (b *Budget) RecordOrdinary(class string, cpus float64) {
	if turn, waits := b.turns[class]; waits {
		b.turns[class] = max(turn, min(turn+cpus, b.currentTurn+b.maxLead()))
	}
}

// Restore records what a class received under an earlier owner, so that the fair queueing continues from
// there.
func (b *Budget) Restore(class string, cpus float64) {
	if _, known := b.turns[class]; !known {
		b.turns[class] = b.currentTurn + min(cpus, b.maxLead())
	}
}

// Defer records that no capacity could be given to the class whose turn it was, or reserved for it, and moves
// its turn back by one second's budget. Otherwise a job for which there is never capacity would block all
// other classes.
func (b *Budget) Defer(class string) {
	if _, waits := b.turns[class]; waits {
		b.turns[class] += b.rate*Fraction + 1e-3
	}
}

// Refund records that capacity reserved for a class was not used: the class gets its turn back. The budget is
// not refunded.
func (b *Budget) Refund(class string, cpus float64) {
	if _, waits := b.turns[class]; waits {
		b.turns[class] -= cpus
	}
}

// maxLead returns how many CPUs a class's turn may be ahead because of the ordinary order.
func (b *Budget) maxLead() float64 { return float64(maxLeadTime)/1e6*b.rate*Fraction + 1 }

// Pick returns the jobs to serve out of order now, sorted. The last one may overdraw the budget, so
// that a task of any size gets its turn; the overdraft must be earned back before the next pick.
func (b *Budget) Pick(now eventloop.Micros, all []Waiter) (picks []Pick) {
	left := b.credit
	if !b.Available() {
		return nil
	}
	late := map[string][]int{} // by class, the job first that received nothing for longest
	for i := range all {
		if w := &all[i]; w.Tasks > 0 && now-w.AcceptedAt >= MinWait {
			late[w.Class] = append(late[w.Class], i)
		}
	}
	turns, share := map[string]float64{}, map[string]int{}
	for class, waiting := range late {
		share[class] = len(waiting)
		slices.SortFunc(waiting, func(a, b int) int {
			return cmp.Or(cmp.Compare(all[a].LastServedAt, all[b].LastServedAt), cmp.Compare(all[a].ID, all[b].ID))
		})
		if t, ok := b.turns[class]; !ok || t < b.currentTurn {
			b.turns[class] = b.currentTurn // a class does not make up for CPUs that it did not need while it was absent
		}
		turns[class] = b.turns[class]
	}
	for left > 0 && len(picks) < maxPicks && len(late) > 0 {
		class := ""
		for c := range eventloop.Sorted(late) {
			if class == "" || turns[c] < turns[class] {
				class = c
			}
		}
		i := late[class][0]
		if late[class] = late[class][1:]; len(late[class]) == 0 {
			delete(late, class)
		}
		w := &all[i]
		n := max(w.Tasks/(taskDivisor*share[class]), 1)
		if w.CPUs > 0 {
			n = min(n, max(int(left/w.CPUs), 1))
		}
		turns[class] += float64(n) * w.CPUs
		left -= float64(n) * w.CPUs
		picks = append(picks, Pick{Index: i, Tasks: n})
	}
	b.forget(turns)
	return picks
}

// forget drops the classes that have no late job and whose turn is not ahead of the others.
func (b *Budget) forget(kept map[string]float64) {
	for class, t := range b.turns {
		if _, ok := kept[class]; !ok && t <= b.currentTurn {
			delete(b.turns, class)
		}
	}
}
