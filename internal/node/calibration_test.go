package node

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/explain"
	"cleatpick/internal/gate"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// asker asks random nodes why random jobs wait, and checks every answer by the state
// service's records and by what became of the waits.
type asker struct {
	w         *world
	ids       []string
	asked     int
	answered  int
	partial   int
	changed   map[string]loop.Micros // when a job's record was last stored
	estimates []estimate
}

type estimate struct {
	id, kind  string
	since, at loop.Micros
	e         explain.Estimate
}

// record reads a job past the protocol.
func (w *world) record(id string) (rec job.Record, ok bool) {
	raw, ok := w.state.Value(job.Keys + id)
	return rec, ok && wire.Unmarshal(raw, &rec) == nil
}

// settled tells whether the records that a job's waits rest on are old enough for every
// owner to have heard of them.
func (a *asker) settled(id string) bool {
	rec, ok := a.w.record(id)
	last := a.changed[id]
	if ok && rec.Terms != nil {
		for _, d := range rec.Terms.After {
			last = max(last, a.changed[d])
		}
	}
	return ok && a.w.now-last > 4*loop.Second
}

// blocked tells by the records alone whether a job is held, and waits for others.
func (a *asker) blocked(id string) (held, waits bool) {
	rec, ok := a.w.record(id)
	if !ok || rec.Terms == nil {
		return false, false
	}
	for _, d := range rec.Terms.After {
		switch o, _ := a.w.record(d); {
		case o.Phase == job.Accepted:
			waits = true
		case o.Phase == job.Withdrawn && rec.Terms.OnWithdrawn != job.PolicyRelease && !rec.Terms.WaivedFrom(d):
			waits = true
		}
	}
	return rec.Terms.Hold.State != job.HoldNone, waits
}

func (a *asker) ask() {
	w := a.w
	w.at(w.between(200*loop.Millisecond, 700*loop.Millisecond), a.ask)
	n := w.any()
	if n == nil || len(a.ids) == 0 {
		return
	}
	id := a.ids[w.rng.IntN(len(a.ids))]
	if w.stored(id) != job.Accepted {
		return
	}
	held, waits := a.blocked(id)
	a.asked++
	n.more.desk.Why(id, func(x *explain.Answer, code int) {
		if code != 200 {
			return
		}
		a.answered++
		a.check(id, x, held, waits)
	})
}

func (a *asker) check(id string, x *explain.Answer, held, waits bool) {
	w := a.w
	if !x.Complete {
		a.partial++
		if len(x.Missing) == 0 {
			w.fail("why %s is not complete and does not say what is missing", id)
		}
		return
	}
	if w.stored(id) != job.Accepted || kindsOf(x)["stateContact"] {
		return
	}
	if x.Waiting+x.Running+x.Done > x.Tasks {
		w.fail("why %s counts %d waiting, %d running and %d done of %d", id, x.Waiting, x.Running, x.Done, x.Tasks)
	}
	if x.Waiting > 0 && len(x.Reasons) == 0 {
		w.fail("why %s tells of %d waiting tasks and no reason", id, x.Waiting)
	}
	kinds := kindsOf(x)
	for _, r := range x.Reasons {
		if r.Tasks <= 0 || r.Release == "" || r.State == "" {
			w.fail("why %s has an empty reason %+v", id, r)
		}
		if r.Since != nil && r.Estimate != nil && r.Estimate.Samples > 0 && gate.KindByName(r.Kind) != gate.Rank {
			a.estimates = append(a.estimates, estimate{id, r.Kind, loop.Micros(*r.Since), loop.Micros(x.AsOf), *r.Estimate})
		}
	}
	if !a.settled(id) || x.Waiting == 0 {
		return
	}
	// What held or did not hold before and after the question must be told so.
	heldNow, waitsNow := a.blocked(id)
	if held == heldNow && kinds["hold"] != held {
		w.fail("why %s tells of a hold: %v, its record: %v", id, kinds["hold"], held)
	}
	if waits == waitsNow && kinds["dependency"] != waits {
		w.fail("why %s tells of a dependency: %v, the records: %v", id, kinds["dependency"], waits)
	}
}

func kindsOf(x *explain.Answer) map[string]bool {
	out := map[string]bool{}
	for _, r := range x.Reasons {
		out[r.Kind] = true
	}
	return out
}

// calibration counts the waits that ended within what was estimated, by kind.
func (a *asker) calibration(in, all map[string]int) {
	ends := map[string]loop.Micros{}
	for _, label := range a.w.labels {
		for _, id := range a.ids {
			for _, s := range a.w.nodes[label].n.more.desk.Lines.Of(id).Spans {
				if s.To != nil {
					ends[fmt.Sprint(id, s.Kind, s.From)] = loop.Micros(*s.To)
				}
			}
		}
	}
	for _, e := range a.estimates {
		end, ok := ends[fmt.Sprint(e.id, e.kind, e.since)]
		if !ok {
			continue // dropped from the timeline, or stretched by a flap
		}
		all[e.kind]++
		if left := explain.Span(end - e.at); left >= e.e.Low-explain.Span(50*loop.Millisecond) && left <= e.e.High+explain.Span(50*loop.Millisecond) {
			in[e.kind]++
		} else if left > e.e.High {
			in["above "+e.kind]++
		}
	}
}

// playWhy plays one world in which random nodes are asked why random jobs wait.
func playWhy(t *testing.T, seed uint64) *asker {
	w := newWorldWith(t, seed, func(c *config.Config) { c.Operator.API.Enabled = true })
	r := newTerms(w)
	a := &asker{w: w, changed: map[string]loop.Micros{}}
	w.state.Stored = func(key string, value wire.Raw) {
		r.stored(key, value)
		if id, ok := strings.CutPrefix(key, job.Keys); ok {
			a.changed[id] = w.now
		}
	}
	for i := range 160 {
		w.at(w.between(loop.Second, 300*loop.Second), func() {
			j := w.makeJob(i)
			if len(a.ids) > 0 && w.rng.IntN(5) == 0 {
				if d := w.jobs[a.ids[w.rng.IntN(len(a.ids))]]; d.accepted && !d.broken {
					j.terms = &job.Terms{After: []string{d.id}, OnWithdrawn: job.PolicyRelease}
				}
			}
			w.enter(j)
			a.ids = append(a.ids, j.id)
			if w.rng.IntN(6) == 0 {
				w.at(w.between(0, 10*loop.Second), func() { r.hold(j.id) })
			}
		})
	}
	if seed%2 == 0 {
		w.at(60*loop.Second, w.trouble)
	}
	w.at(0, w.live)
	w.at(0, w.checkCancelled)
	w.at(5*loop.Second, a.ask)
	w.run(3600*loop.Second + 360*loop.Second)
	return a
}

// Explanations under crashes, cuts, outages and late messages: each is right by the
// records, or says what it could not ask; and waits end within what was estimated.
func TestWhyUnderTroubles(t *testing.T) {
	from, to := seeds(t, 1, 24)
	in, all := map[string]int{}, map[string]int{}
	var asked, answered, partial int
	var mu sync.Mutex
	t.Run("worlds", func(t *testing.T) {
		for seed := from; seed <= to; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				a := playWhy(t, seed)
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
	t.Logf("%d asked, %d answered, %d not complete; %d of %d (%.0f%%) ended between lowS and highS", asked, answered, partial, sumIn, sumAll, 100*share)
	if answered < asked*8/10 || sumAll < 100 {
		t.Errorf("too little was tried: %d asked, %d answered, %d estimates", asked, answered, sumAll)
	}
	if share < 0.70 || share > 0.95 {
		t.Errorf("%.0f%% of the waits ended within their estimates, want 70%% to 95%%", 100*share)
	}
}
