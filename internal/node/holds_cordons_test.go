package node

import (
	"fmt"
	"testing"

	"cleatpick/internal/cordon"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// termsChecker is the invariant checker of holds, dependencies and cordons. It uses only what users were told, what
// the state service stored and which tasks workers started.
type termsChecker struct {
	w          *simulation
	held       map[string]bool             // users were told that the hold is set, and have not requested a release
	released   map[string]bool             // a release was requested
	recorded   map[string]eventloop.Micros // when the newest attempt of a task was recorded as placed
	attempts   map[string]uint64
	cordons    map[string]cordon.Cordon
	cordonedAt map[string]eventloop.Micros // when its user was told that the cordon is stored
	checked    struct{ holds, deps, cordons, holdsSet int }
}

func newTermsChecker(w *simulation) *termsChecker {
	r := &termsChecker{w: w, held: map[string]bool{}, released: map[string]bool{}, recorded: map[string]eventloop.Micros{}, attempts: map[string]uint64{},
		cordons: map[string]cordon.Cordon{}, cordonedAt: map[string]eventloop.Micros{}}
	w.state.OnPut = r.stored
	w.onTaskStart = r.taskStarted
	return r
}

// stored follows the teams' logs as the state service stores them.
func (r *termsChecker) stored(key string, value wire.Raw) {
	var seg struct {
		Jobs []struct {
			_     struct{} `cbor:",toarray"`
			ID    string
			Tasks []struct {
				_            struct{} `cbor:",toarray"`
				Index, State int
				Attempt      uint64
				Machine      int
				Session      uint64
				Expiry       int64
			}
		} `cbor:"j"`
	}
	if key[:2] != "x/" || wire.Unmarshal(value, &seg) != nil {
		return
	}
	for _, j := range seg.Jobs {
		for _, e := range j.Tasks {
			name := workers.TaskName(j.ID, e.Index)
			if e.State == 1 && e.Attempt > r.attempts[name] {
				r.attempts[name], r.recorded[name] = e.Attempt, r.w.now
			}
		}
	}
}

// taskStarted checks a task that starts.
func (r *termsChecker) taskStarted(x *simWorker, task string) {
	id, _, _ := workers.SplitTask(task)
	if r.held[id] {
		r.w.fail("began_held: %s starts on %s after users were told that its hold is set", task, x.w.Name)
	}
	if j := r.w.jobs[id]; j.terms != nil {
		for _, d := range j.terms.Dependencies {
			r.checked.deps++
			phase := r.w.storedPhase(d)
			if phase == job.Done || (phase == job.Cancelled && (j.terms.OnCancelled == job.PolicyRelease || r.released[id])) {
				continue
			}
			r.w.fail("began_early: %s starts while %s, which must be done first, is %q", task, d, phase)
		}
	}
	for name, c := range r.cordons {
		if c.Matches(cordon.Place{Machine: x.w.Name, Type: x.w.Type, Zone: x.w.Zone, Spot: x.w.Spot}) {
			if r.checked.cordons++; r.recorded[task] > r.cordonedAt[name] {
				r.w.fail("began_cordoned: %s starts on %s and was recorded after cordon %s was stored", task, x.w.Name, name)
			}
		}
	}
}

// hold requests a hold, polls until its user is told that it is set, and releases the job a while later.
func (r *termsChecker) hold(id string) {
	w := r.w
	if n := w.any(); n != nil {
		n.jobs.Hold(id, job.Hold{Reason: "r", By: "op"}, func(a job.Answer) {
			if a.Code == 200 && a.Phase == job.Accepted {
				r.checked.holds++
				w.after(w.between(0, eventloop.Second), func() { r.untilSet(id) })
				w.after(w.between(10*eventloop.Second, 50*eventloop.Second), func() { r.release(id) })
			}
		})
	}
}

// untilSet polls a job every second until its hold is set.
func (r *termsChecker) untilSet(id string) {
	w := r.w
	if r.released[id] {
		return
	}
	if n := w.any(); n != nil {
		n.jobs.Poll(id, func(a job.Answer) {
			if j := n.jobs.Get(id); a.Code == 200 && a.Phase == job.Accepted && !r.released[id] && j.Terms.Hold.State == job.HoldEffective {
				r.held[id] = true
				r.checked.holdsSet++
			}
		})
	}
	if !r.held[id] {
		w.after(eventloop.Second, func() { r.untilSet(id) })
	}
}

// release requests a release until it is confirmed.
func (r *termsChecker) release(id string) {
	w := r.w
	r.released[id] = true
	delete(r.held, id)
	again := func() { w.after(2*eventloop.Second, func() { r.release(id) }) }
	n := w.any()
	if n == nil {
		again()
		return
	}
	answered := false
	n.jobs.Release(id, func(a job.Answer) {
		answered = true
		if a.Code != 200 {
			again()
		}
	})
	w.after(5*eventloop.Second, func() {
		if !answered {
			r.release(id) // the controller crashed before it answered
		}
	})
}

// cordon puts a random cordon and removes it a while later.
func (r *termsChecker) cordon(no int) {
	w := r.w
	c := cordon.Cordon{Name: fmt.Sprint("c", no), Reason: "r"}
	switch w.rng.IntN(3) {
	case 0:
		c.Zone = []string{"x", "y"}[w.rng.IntN(2)]
	case 1:
		c.Kind = cordon.Spot
	default:
		c.Machine = fmt.Sprintf("n-%06d", 1+w.rng.IntN(12))
	}
	if n := w.any(); n != nil {
		n.cordons.Put(c, func(o cordon.Outcome) {
			if o == cordon.Stored {
				r.cordons[c.Name], r.cordonedAt[c.Name] = c, w.now
			}
		})
	}
	w.after(w.between(5*eventloop.Second, 25*eventloop.Second), func() { r.uncordon(c.Name) })
}

// uncordon removes a cordon until that is confirmed.
func (r *termsChecker) uncordon(name string) {
	w := r.w
	delete(r.cordons, name)
	answered := false
	if n := w.any(); n != nil {
		n.cordons.Remove(name, func(o cordon.Outcome) { answered = o == cordon.Stored || o == cordon.NotFound })
	}
	w.after(4*eventloop.Second, func() {
		if !answered {
			r.uncordon(name)
		}
	})
}

// Holds, dependencies and cordons under crashes, network partitions, outages and late transactions: no task starts
// after users were told that its hold is set, before the jobs that it waits for are done, or on a cordoned machine if
// its start was recorded after the cordon. After the last fault all jobs complete.
func TestHoldsDependenciesAndCordonsUnderFaults(t *testing.T) {
	from, to := seedRange(t, 1, 8)
	var holds, holdsSet, deps, cordons int
	for seed := from; seed <= to; seed++ {
		w := newSimulation(t, seed)
		r := newTermsChecker(w)
		for i := range 45 {
			w.after(w.between(eventloop.Second, 140*eventloop.Second), func() {
				var known []string
				for k := range i {
					if j := w.jobs[fmt.Sprintf("job-%06d", k)]; j != nil && j.accepted && !j.broken {
						known = append(known, j.id)
					}
				}
				j := w.makeJob(i)
				if len(known) > 0 && w.rng.IntN(2) == 0 {
					j.terms = &job.Terms{OnCancelled: []job.Policy{job.PolicyHold, job.PolicyRelease, job.PolicyCancel}[w.rng.IntN(3)]}
					for range 1 + w.rng.IntN(2) {
						j.terms.Dependencies = append(j.terms.Dependencies, known[w.rng.IntN(len(known))])
					}
				}
				w.simulateUser(j)
				if w.rng.IntN(3) == 0 {
					w.after(w.between(0, 12*eventloop.Second), func() { r.hold(j.id) })
				}
			})
		}
		for i := range 8 {
			w.after(w.between(10*eventloop.Second, 140*eventloop.Second), func() { r.cordon(i) })
		}
		w.after(12*eventloop.Second, w.randomFault)
		w.after(0, w.tickWorkers)
		w.after(0, w.checkCancelled)
		// Jobs that still wait for a cancelled job are released at the end.
		for k := range 6 {
			w.after(eventloop.Micros(240+40*k)*eventloop.Second, func() {
				for i := range 45 {
					if j := w.jobs[fmt.Sprintf("job-%06d", i)]; !j.done && j.cancelledAt == 0 && w.storedPhase(j.id) == job.Accepted {
						r.release(j.id)
					}
				}
			})
		}
		w.run(3600*eventloop.Second + 700*eventloop.Second)
		for i := range 45 {
			j := w.jobs[fmt.Sprintf("job-%06d", i)]
			if !j.done && j.cancelledAt == 0 && !j.broken {
				t.Errorf("seed %d: %s is not done at the end of the simulation (terms %v)", seed, j.id, j.terms)
			}
		}
		holds, holdsSet, deps, cordons = holds+r.checked.holds, holdsSet+r.checked.holdsSet, deps+r.checked.deps, cordons+r.checked.cordons
	}
	t.Logf("%d holds stored, %d told as set; %d starts of jobs with a dependency, %d on machines that a cordon covers", holds, holdsSet, deps, cordons)
	if holds == 0 || holdsSet < holds/2 || deps == 0 {
		t.Errorf("too few samples: %d holds stored, %d told as set, %d starts of jobs with a dependency", holds, holdsSet, deps)
	}
}
