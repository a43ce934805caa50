package node

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/explain"
	"cleatpick/internal/job"
	"cleatpick/internal/predicate"
	"cleatpick/internal/wire"
)

// explanationChecker asks random controllers why random jobs wait, and checks every answer against the state
// service's records and against how long the waits lasted.
type explanationChecker struct {
	w         *simulation
	ids       []string
	asked     int
	answered  int
	partial   int
	changed   map[string]eventloop.Micros // when a job's record was last stored
	estimates []estimate
}

// estimate is an estimate of when a wait ends, as given in an answer at a time.
type estimate struct {
	id, kind  string
	since, at eventloop.Micros
	e         explain.Estimate
}

// storedRecord reads a job's record directly from the fake state service.
func (w *simulation) storedRecord(id string) (rec job.Record, ok bool) {
	raw, ok := w.state.Value(job.KeyPrefix + id)
	return rec, ok && wire.Unmarshal(raw, &rec) == nil
}

// recordsPropagated reports whether the records that a job's waits depend on are old enough for every owner to have
// received them.
func (a *explanationChecker) recordsPropagated(id string) bool {
	rec, ok := a.w.storedRecord(id)
	last := a.changed[id]
	if ok && rec.Terms != nil {
		for _, d := range rec.Terms.Dependencies {
			last = max(last, a.changed[d])
		}
	}
	return ok && a.w.now-last > 4*eventloop.Second
}

// blocked reports, from the records alone, whether a job is held and whether it waits for other jobs.
func (a *explanationChecker) blocked(id string) (held, waits bool) {
	rec, ok := a.w.storedRecord(id)
	if !ok || rec.Terms == nil {
		return false, false
	}
	for _, d := range rec.Terms.Dependencies {
		switch o, _ := a.w.storedRecord(d); {
		case o.Phase == job.Accepted:
			waits = true
		case o.Phase == job.Cancelled && rec.Terms.OnCancelled != job.PolicyRelease && !rec.Terms.WaivedFrom(d):
			waits = true
		}
	}
	return rec.Terms.Hold.State != job.HoldNone, waits
}

// ask asks one question and schedules the next one.
func (a *explanationChecker) ask() {
	w := a.w
	w.after(w.between(200*eventloop.Millisecond, 700*eventloop.Millisecond), a.ask)
	n := w.any()
	if n == nil || len(a.ids) == 0 {
		return
	}
	id := a.ids[w.rng.IntN(len(a.ids))]
	if w.storedPhase(id) != job.Accepted {
		return
	}
	held, waits := a.blocked(id)
	a.asked++
	n.apiParts.explanations.Why(id, func(x *explain.Answer, code int) {
		if code != 200 {
			return
		}
		a.answered++
		a.check(id, x, held, waits)
	})
}

// check checks an explanation; held and waits are what the records said when it was asked for.
func (a *explanationChecker) check(id string, x *explain.Answer, held, waits bool) {
	w := a.w
	if !x.Complete {
		a.partial++
		if len(x.Missing) == 0 {
			w.fail("the explanation of %s is incomplete and does not say what is missing", id)
		}
		return
	}
	if w.storedPhase(id) != job.Accepted || kindsOf(x)["stateContact"] {
		return
	}
	if x.Waiting+x.Running+x.Done > x.Tasks {
		w.fail("the explanation of %s counts %d waiting, %d running and %d done of %d tasks", id, x.Waiting, x.Running, x.Done, x.Tasks)
	}
	if x.Waiting > 0 && len(x.Reasons) == 0 {
		w.fail("the explanation of %s has %d waiting tasks and no reason", id, x.Waiting)
	}
	kinds := kindsOf(x)
	for _, r := range x.Reasons {
		if r.Tasks <= 0 || r.Release == "" || r.State == "" {
			w.fail("the explanation of %s has an incomplete reason %+v", id, r)
		}
		if r.Since != nil && r.Estimate != nil && r.Estimate.Samples > 0 && predicate.KindByName(r.Kind) != predicate.Rank {
			a.estimates = append(a.estimates, estimate{id, r.Kind, eventloop.Micros(*r.Since), eventloop.Micros(x.AsOf), *r.Estimate})
		}
	}
	if !a.recordsPropagated(id) || x.Waiting == 0 {
		return
	}
	// What was the same before and after the question must be explained accordingly.
	heldNow, waitsNow := a.blocked(id)
	if held == heldNow && kinds["hold"] != held {
		w.fail("the explanation of %s has a hold: %v, its record: %v", id, kinds["hold"], held)
	}
	if waits == waitsNow && kinds["dependency"] != waits {
		w.fail("the explanation of %s has a dependency: %v, the records: %v", id, kinds["dependency"], waits)
	}
}

// kindsOf returns the kinds of an explanation's reasons.
func kindsOf(x *explain.Answer) map[string]bool {
	out := map[string]bool{}
	for _, r := range x.Reasons {
		out[r.Kind] = true
	}
	return out
}

// calibration counts the waits that ended within their estimates, by kind.
func (a *explanationChecker) calibration(in, all map[string]int) {
	ends := map[string]eventloop.Micros{}
	for _, label := range a.w.labels {
		for _, id := range a.ids {
			for _, s := range a.w.nodes[label].n.apiParts.explanations.Timelines.Get(id).Intervals {
				if s.To != nil {
					ends[fmt.Sprint(id, s.Kind, s.From)] = eventloop.Micros(*s.To)
				}
			}
		}
	}
	for _, e := range a.estimates {
		end, ok := ends[fmt.Sprint(e.id, e.kind, e.since)]
		if !ok {
			continue // dropped from the timeline, or extended because the cause came back soon
		}
		all[e.kind]++
		if left := explain.Duration(end - e.at); left >= e.e.Low-explain.Duration(50*eventloop.Millisecond) && left <= e.e.High+explain.Duration(50*eventloop.Millisecond) {
			in[e.kind]++
		} else if left > e.e.High {
			in["above "+e.kind]++
		}
	}
}

// simulateExplanations runs one simulation in which random controllers are asked why random jobs wait.
func simulateExplanations(t *testing.T, seed uint64) *explanationChecker {
	w := newSimulationWith(t, seed, func(c *config.Config) { c.Operator.API.Enabled = true })
	r := newTermsChecker(w)
	a := &explanationChecker{w: w, changed: map[string]eventloop.Micros{}}
	w.state.OnPut = func(key string, value wire.Raw) {
		r.stored(key, value)
		if id, ok := strings.CutPrefix(key, job.KeyPrefix); ok {
			a.changed[id] = w.now
		}
	}
	for i := range 160 {
		w.after(w.between(eventloop.Second, 300*eventloop.Second), func() {
			j := w.makeJob(i)
			if len(a.ids) > 0 && w.rng.IntN(5) == 0 {
				if d := w.jobs[a.ids[w.rng.IntN(len(a.ids))]]; d.accepted && !d.broken {
					j.terms = &job.Terms{Dependencies: []string{d.id}, OnCancelled: job.PolicyRelease}
				}
			}
			w.simulateUser(j)
			a.ids = append(a.ids, j.id)
			if w.rng.IntN(6) == 0 {
				w.after(w.between(0, 10*eventloop.Second), func() { r.hold(j.id) })
			}
		})
	}
	if seed%2 == 0 {
		w.after(60*eventloop.Second, w.randomFault)
	}
	w.after(0, w.tickWorkers)
	w.after(0, w.checkCancelled)
	w.after(5*eventloop.Second, a.ask)
	w.run(3600*eventloop.Second + 360*eventloop.Second)
	return a
}

// Explanations under crashes, network partitions, outages and delayed messages: each agrees with the records or says
// which information is missing, and most waits end within their estimates.
func TestExplanationsUnderFaults(t *testing.T) {
	from, to := seedRange(t, 1, 24)
	in, all := map[string]int{}, map[string]int{}
	var asked, answered, partial int
	var mu sync.Mutex
	t.Run("simulations", func(t *testing.T) {
		for seed := from; seed <= to; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				a := simulateExplanations(t, seed)
				mu.Lock()
				defer mu.Unlock()
				a.calibration(in, all)
				asked, answered, partial = asked+a.asked, answered+a.answered, partial+a.partial
			})
		}
	})
	sumIn, sumAll := 0, 0
	for k, n := range all {
		sumIn, sumAll = sumIn+in[k], sumAll+n
		t.Logf("%-12s %4d of %4d waits ended within their estimate, %d after", k, in[k], n, in["above "+k])
	}
	share := float64(sumIn) / float64(max(sumAll, 1))
	t.Logf("%d asked, %d answered, %d incomplete; %d of %d (%.0f%%) waits ended between lowS and highS", asked, answered, partial, sumIn, sumAll, 100*share)
	if answered < asked*8/10 || sumAll < 100 {
		t.Errorf("too few samples: %d asked, %d answered, %d estimates", asked, answered, sumAll)
	}
	if share < 0.70 || share > 0.95 {
		t.Errorf("%.0f%% of the waits ended within their estimates, want 70%% to 95%%", 100*share)
	}
}
