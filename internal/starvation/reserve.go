// Package starvation decides which waiting work goes before its turn, so that no class, no team
// without a guarantee and no job of any size waits without bound while others never stop
// coming. It decides on facts that its caller hands it, and does nothing itself.
//
// The order of service puts urgent work first, then guarantees, then what is small. Each of
// these can go on for ever, and what comes after them would not begin at all. So a small
// part of the room that falls free is given by another rule: of the jobs that have waited for
// some time, the one goes first that has got nothing by it for longest, classes in turn.
package starvation

import (
	"cmp"
	"slices"

	"cleatpick/internal/loop"
)

const (
	// After is how long after its acceptance a job with waiting tasks goes before its turn.
	After = 75 * loop.Second
	// Part is the part of the CPUs that fall free that is given by this rule.
	Part = 0.08
	// saved is for how long of that part may be saved up while nobody waits so long.
	saved = 10 * loop.Second
	// ahead is for how long of that part a class stands back at most for what it got in the ordinary
	// order, or under an owner before.
	ahead = 20 * loop.Second
	// piece is the part of its waiting tasks that a job gets at a time; more of a job's
	// class that wait as long share it.
	piece = 8
	// most bounds what is picked at a time.
	most = 32
)

// Waiter is a job of which tasks wait.
type Waiter struct {
	ID    string
	Class string      // with its team: classes have turns
	At    loop.Micros // steady time at which it was accepted
	Since loop.Micros // when it last got something before its turn; At, if it never did
	Tasks int         // that wait, and that its gates let on
	CPUs  float64     // of each
}

// Pick is a job that goes before its turn, with so many tasks.
type Pick struct {
	At    int // its place in the list of waiters
	Tasks int
}

// Reserve keeps what may be given before its turn, in CPUs, and the turns of the classes.
type Reserve struct {
	credit float64
	at     loop.Micros
	rate   float64            // CPUs a second that fall free, as last told
	turns  map[string]float64 // CPUs that each class got, from where it came in
	now    float64            // the turn of the class served last
}

// New makes a reserve that owes nothing.
func New() *Reserve { return &Reserve{turns: map[string]float64{}} }

// Earn lets the part grow; rate is how many CPUs a second fall free for this node's work.
func (r *Reserve) Earn(now loop.Micros, rate float64) {
	r.rate = rate
	if r.at != 0 {
		r.credit += float64(now-r.at) / 1e6 * rate * Part
	}
	r.at = now
	r.credit = min(r.credit, float64(saved)/1e6*rate*Part+1)
}

// Owes tells whether anything may be given before its turn now.
func (r *Reserve) Owes() bool { return r.credit > 0 }

// Spend takes in that so many CPUs were given to a class before its turn, or are held for it.
func (r *Reserve) Spend(class string, cpus float64) {
	r.credit -= cpus
	r.turns[class] += cpus
	r.now = max(r.now, r.turns[class]-cpus)
}

// Serve takes in that so many CPUs went to a class in the ordinary order. The class gets its turn so
// much the later, but for a bounded time: what is peculiar in a class that is served well, a job far
// larger than the others, must not wait for ever.
func (r *Reserve) Serve(class string, cpus float64) {
	if turn, waits := r.turns[class]; waits {
		r.turns[class] = max(turn, min(turn+cpus, r.now+r.lead()))
	}
}

// Restore takes in what a class got under an owner before, so that its turns go on.
func (r *Reserve) Restore(class string, cpus float64) {
	if _, known := r.turns[class]; !known {
		r.turns[class] = r.now + min(cpus, r.lead())
	}
}

// Defer takes in that no room could be given or held for a class whose turn it was: the others go
// first for a second's worth. A job for which there never is room would otherwise keep all from theirs.
func (r *Reserve) Defer(class string) {
	if _, waits := r.turns[class]; waits {
		r.turns[class] += r.rate*Part + 1e-3
	}
}

// Refund takes in that room that was held for a class came to nothing: it has its turn again. What that
// cost is not given anew.
func (r *Reserve) Refund(class string, cpus float64) {
	if _, waits := r.turns[class]; waits {
		r.turns[class] -= cpus
	}
}

// lead is how far ahead a class may be by what it got in the ordinary order.
func (r *Reserve) lead() float64 { return float64(ahead)/1e6*r.rate*Part + 1 }

// Pick tells who goes before its turn now, in this order. Credit may be overdrawn by one
// piece, so that a task of any size gets its turn; it is made up for before the next.
func (r *Reserve) Pick(now loop.Micros, all []Waiter) (picks []Pick) {
	left := r.credit
	if !r.Owes() {
		return nil
	}
	late := map[string][]int{} // of each class, who waits longest first
	for i := range all {
		if w := &all[i]; w.Tasks > 0 && now-w.At >= After {
			late[w.Class] = append(late[w.Class], i)
		}
	}
	turns, share := map[string]float64{}, map[string]int{}
	for class, line := range late {
		share[class] = len(line)
		slices.SortFunc(line, func(a, b int) int {
			return cmp.Or(cmp.Compare(all[a].Since, all[b].Since), cmp.Compare(all[a].ID, all[b].ID))
		})
		if t, ok := r.turns[class]; !ok || t < r.now {
			r.turns[class] = r.now // what it did not need while it was away is not made up for
		}
		turns[class] = r.turns[class]
	}
	for left > 0 && len(picks) < most && len(late) > 0 {
		class := ""
		for c := range loop.Sorted(late) {
			if class == "" || turns[c] < turns[class] {
				class = c
			}
		}
		i := late[class][0]
		if late[class] = late[class][1:]; len(late[class]) == 0 {
			delete(late, class)
		}
		w := &all[i]
		n := max(w.Tasks/(piece*share[class]), 1)
		if w.CPUs > 0 {
			n = min(n, max(int(left/w.CPUs), 1))
		}
		turns[class] += float64(n) * w.CPUs
		left -= float64(n) * w.CPUs
		picks = append(picks, Pick{At: i, Tasks: n})
	}
	r.forget(turns)
	return picks
}

// forget drops the turns of classes that have none waiting and are behind the others.
func (r *Reserve) forget(kept map[string]float64) {
	for class, t := range r.turns {
		if _, ok := kept[class]; !ok && t <= r.now {
			delete(r.turns, class)
		}
	}
}
