package starvation

import (
	"fmt"
	"testing"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/testseed"

	"pgregory.net/rapid"
)

// The result must be the same in every run, so the generator's seed is fixed.
func TestMain(m *testing.M) { testseed.Main(m) }

// restatedPicks restates the rule, counting up task by task: of the classes with a late job, the one that
// received the least since it joined is next, and within the class the job that received nothing for longest.
func restatedPicks(credit float64, turns map[string]float64, now eventloop.Micros, all []Waiter) map[string]int {
	got := map[string]int{}
	late := func(w *Waiter) bool {
		_, was := got[w.ID]
		return !was && w.Tasks > 0 && now-w.AcceptedAt >= MinWait
	}
	shares := map[string]int{}
	for i := range all {
		if late(&all[i]) {
			shares[all[i].Class]++
		}
	}
	given := map[string]float64{}
	for len(got) < maxPicks && credit > 0 {
		var best *Waiter
		for i := range all {
			w := &all[i]
			if !late(w) {
				continue
			}
			a := turns[w.Class] + given[w.Class]
			if best == nil {
				best = w
				continue
			}
			b := turns[best.Class] + given[best.Class]
			if a < b || a == b && (w.Class < best.Class || w.Class == best.Class && (w.LastServedAt < best.LastServedAt || w.LastServedAt == best.LastServedAt && w.ID < best.ID)) {
				best = w
			}
		}
		if best == nil {
			break
		}
		n := 0
		for n == 0 || n < best.Tasks/(taskDivisor*shares[best.Class]) && float64(n+1)*best.CPUs <= credit {
			n++
		}
		got[best.ID] = n
		given[best.Class] += float64(n) * best.CPUs
		credit -= float64(n) * best.CPUs
	}
	return got
}

// TestPicksAgainstPlainRule compares the picks with the plain rule, under random load.
func TestPicksAgainstPlainRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := New()
		now := 1000 * eventloop.Second
		for range rapid.IntRange(1, 6).Draw(t, "passes") {
			now += eventloop.Micros(rapid.IntRange(1, 30).Draw(t, "later")) * eventloop.Second
			f.Accrue(now, float64(rapid.IntRange(0, 400).Draw(t, "rate")))
			var all []Waiter
			for k := range rapid.IntRange(0, 12).Draw(t, "waiters") {
				all = append(all, Waiter{ID: fmt.Sprint("job-", k), Class: fmt.Sprint("c", rapid.IntRange(0, 3).Draw(t, "class")),
					AcceptedAt: now - eventloop.Micros(rapid.IntRange(60, 90).Draw(t, "age"))*eventloop.Second, LastServedAt: now - eventloop.Micros(rapid.IntRange(0, 90).Draw(t, "waited"))*eventloop.Second, Tasks: rapid.IntRange(0, 200).Draw(t, "tasks"), CPUs: float64(rapid.IntRange(1, 4).Draw(t, "cpus"))})
			}
			credit, turns := f.credit, map[string]float64{}
			for _, w := range all {
				turns[w.Class] = max(f.turns[w.Class], f.currentTurn)
			}
			want := restatedPicks(credit, turns, now, all)
			picks := f.Pick(now, all)
			if len(picks) != len(want) {
				t.Fatalf("%d jobs picked, by the plain rule %v", len(picks), want)
			}
			for _, p := range picks {
				if w := all[p.Index]; want[w.ID] != p.Tasks {
					t.Fatalf("%s is picked with %d tasks, by the plain rule %v", w.ID, p.Tasks, want)
				}
				f.Spend(all[p.Index].Class, float64(p.Tasks)*all[p.Index].CPUs)
			}
		}
	})
}

// While other work takes all freed CPUs in the ordinary order, three kinds of waiting jobs must all start: of 3,000
// single-task jobs that keep arriving for ten minutes, at least 500 within four minutes of their arrival; a job of
// 25,000 tasks and a job whose tasks take a whole machine each, both within two minutes. The CPUs given to jobs out
// of order must stay within Fraction of the freed ones, plus 65 CPUs for an overdraft by one task.
func TestEveryClassStarts(t *testing.T) {
	const rate = 100.0 // CPUs freed per second, all of which other work takes in the ordinary order
	f := New()
	now := 1000 * eventloop.Second
	start := now
	jobs := []Waiter{{ID: "large", Class: "b", AcceptedAt: now, LastServedAt: now, Tasks: 25000, CPUs: 0.25}, {ID: "whole", Class: "c", AcceptedAt: now, LastServedAt: now, Tasks: 50, CPUs: 64}}
	started := map[string]eventloop.Micros{}
	arrived := map[string]eventloop.Micros{"large": now, "whole": now}
	given := 0.0
	for k := range 6000 { // ten minutes
		now += 100 * eventloop.Millisecond
		if k%2 == 0 {
			id := fmt.Sprintf("swarm-%05d", k)
			jobs = append(jobs, Waiter{ID: id, Class: "a", AcceptedAt: now, LastServedAt: now, Tasks: 1, CPUs: 1})
			arrived[id] = now
		}
		f.Accrue(now, rate)
		for _, p := range f.Pick(now, jobs) {
			w := &jobs[p.Index]
			if started[w.ID] == 0 {
				started[w.ID] = now
			}
			given += float64(p.Tasks) * w.CPUs
			f.Spend(w.Class, float64(p.Tasks)*w.CPUs)
			w.LastServedAt, w.Tasks = now, w.Tasks-p.Tasks
		}
	}
	for _, id := range []string{"large", "whole"} {
		if took := started[id] - arrived[id]; started[id] == 0 || took > 120*eventloop.Second {
			t.Errorf("%s starts after %d us, want at most 120 s", id, took)
		}
	}
	if most := float64(now-start)/1e6*rate*Fraction + 65; given > most {
		t.Errorf("%.0f CPUs are given to jobs out of order, want at most %.0f", given, most)
	}
	smallStarted := 0
	for id, at := range started {
		if id[0] == 's' && at-arrived[id] <= 240*eventloop.Second {
			smallStarted++
		}
	}
	if smallStarted < 500 {
		t.Errorf("%d single-task jobs start in time beside the large ones, want at least 500", smallStarted)
	}
}

// A job that was accepted less than MinWait ago is not served out of order.
func TestRecentJobsAreNotPicked(t *testing.T) {
	f := New()
	f.Accrue(1000*eventloop.Second, 100)
	f.Accrue(1100*eventloop.Second, 100)
	if p := f.Pick(1100*eventloop.Second, []Waiter{{ID: "a", Class: "a", AcceptedAt: 1100*eventloop.Second - MinWait + 1, Tasks: 5, CPUs: 1}}); len(p) != 0 {
		t.Errorf("%v is picked, want no pick", p)
	}
}
