package node

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
)

// beginWithin is how soon the largest jobs of a class must begin, whatever comes beside them.
const beginWithin = 240 * loop.Second

// largestBegan checks that the largest tenth of each class, at least one job, has begun in
// time, of those that have been there for so long and that their users did not cancel; and that
// half of each class and each team have, but for what is asked for twice over by itself.
func (w *world) largestBegan(beyond ...string) {
	w.t.Helper()
	groups := map[string][]*simJob{}
	for _, j := range loop.Sorted(w.jobs) {
		if !j.asked && !j.broken && w.now-j.first >= beginWithin {
			groups["class "+j.spec.Class] = append(groups["class "+j.spec.Class], j)
			groups["team "+j.spec.Team] = append(groups["team "+j.spec.Team], j)
		}
	}
	late := func(j *simJob) bool { return j.began == 0 || j.began-j.first > beginWithin }
	for of, all := range loop.Sorted(groups) {
		n := 0
		for _, j := range all {
			if late(j) {
				n++
			}
		}
		if 2*n > len(all) && !slices.Contains(beyond, of) {
			w.t.Errorf("%s: %d of %d jobs did not begin within %d s", of, n, len(all), beginWithin/loop.Second)
		}
		slices.SortStableFunc(all, func(a, b *simJob) int {
			return cmp.Compare(float64(b.spec.Tasks)*b.spec.CPUs, float64(a.spec.Tasks)*a.spec.CPUs)
		})
		for _, j := range all[:(len(all)+9)/10] {
			if of[0] == 'c' && late(j) {
				w.t.Errorf("%s: %s of %d tasks of %v CPUs, one of the largest, began after %d s", of, j.id, j.spec.Tasks, j.spec.CPUs, max(j.began-j.first, 0)/loop.Second)
			}
		}
	}
}

// Small work within a guarantee that never stops coming, urgent work beside it, and behind them
// all that could be kept waiting for ever: arrays of thousands, tasks as large as a machine,
// jobs of one zone and spread ones, a team without a guarantee. Nothing else goes wrong, or
// nodes come and go; what can be served is.
func TestNothingStarves(t *testing.T) {
	type load struct {
		name     string
		load     float64 // what is asked for, by what there is, of the small work alone
		troubles bool
		seed     uint64
	}
	cases := []load{{"as much as there is", 1, false, 41}, {"five times what there is", 5, false, 41}}
	for seed := uint64(41); seed <= 48; seed++ {
		cases = append(cases, load{fmt.Sprint("twice, and nodes end ", seed), 2, true, seed})
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const cpus, span = 8 * 2 * 8, 380
			w := newWorldOf(t, c.seed, size{nodes: 3, zones: 2, each: 8}, func(cfg *config.Config) {
				cfg.Cluster.Teams = []config.Team{{Name: "red", CPUs: 0.6 * cpus}, {Name: "blue", CPUs: 0.3 * cpus}, {Name: "guest"}}
			})
			no := 0
			add := func(at loop.Micros, class, team string, p job.Priority, tasks int, each float64, run loop.Micros, more func(*job.Spec)) {
				no++
				s := &job.Spec{Class: class, Team: team, Priority: p, Tasks: tasks, CPUs: each, MemoryGB: 1, Image: "i", ImageGB: 1, AnyType: true, Spot: true, Estimate: run}
				if more != nil {
					more(s)
				}
				id := fmt.Sprintf("job-%06d", no)
				w.at(at, func() { w.enter(&simJob{id: id, spec: s, run: run}) })
			}
			every := loop.Micros(4 * 8 * 1e6 / (c.load * cpus)) // four tasks of a CPU for 8 s
			for at := 5 * loop.Second; at < span*loop.Second; at += every {
				add(at, "small", []string{"red", "red", "blue"}[no%3], job.Normal, 4, 1, 8*loop.Second, nil)
			}
			for at := 10 * loop.Second; at < span*loop.Second; at += 10 * loop.Second {
				add(at, "urgent", "red", job.High, 8, 1, 3*loop.Second, nil)
			}
			for k, at := range []loop.Micros{20 * loop.Second, 60 * loop.Second, 110 * loop.Second} {
				add(at, "array", "blue", job.Normal, 1000*(k+1), 0.25, 2*loop.Second, nil)
				add(at, "whole", "blue", job.Low, 6, 8, 6*loop.Second, nil)
				add(at, "tidy", "guest", job.Low, 100*(k+1), 0.5, 4*loop.Second, nil)
				add(at, "onezone", "blue", job.Low, 12, 2, 5*loop.Second, func(s *job.Spec) { s.OneZone = true })
				add(at, "spread", "guest", job.Normal, 9, 2, 5*loop.Second, func(s *job.Spec) { s.Spread = true })
				add(at, "gang", "blue", job.Low, 4, 4, 5*loop.Second, func(s *job.Spec) { s.Gang = true })
			}
			if c.troubles {
				for at := 30 * loop.Second; at < span*loop.Second; at += 45 * loop.Second {
					w.at(at, func() { w.kill(w.anyLabel()) })
				}
			}
			w.at(0, w.live)
			w.at(0, w.checkCancelled)
			w.run(3600*loop.Second + span*loop.Second)
			if c.load > 2 {
				w.largestBegan("class small", "team red", "team blue")
			} else {
				w.largestBegan()
			}
		})
	}
}
