package node

import (
	"fmt"
	"slices"
	"testing"

	"cleatpick/internal/job"
	"cleatpick/internal/loop"
)

// mute lets machines open no connection to any node for a while; commands go on reaching them.
func (w *world) mute(names []string, d loop.Micros) {
	for _, name := range names {
		x := w.workers[name]
		x.mute = true
		w.at(d, func() { x.mute = false })
	}
}

// emptier is the half of all machines that has the most room, where work is given.
func (w *world) emptier() []string {
	names, on := w.present(), map[string]int{}
	for _, m := range w.active {
		on[m]++
	}
	slices.SortStableFunc(names, func(a, b string) int { return on[a] - on[b] })
	return names[:len(names)/2]
}

// A machine that cannot report answers commands and probes, and its lease runs out all the same.
// Taken for one that serves, it was given work until its lease ended, lost it, and was given more
// in its next session, again and again. It takes starts for no longer than any silent machine,
// what is cancelled there is stopped at once, what its lease ends runs again elsewhere, and what
// comes back in time has lost nothing. No second fleet is rented for it.
func TestMachinesThatCannotReport(t *testing.T) {
	const second = loop.Second
	for _, c := range []struct {
		name string
		d    loop.Micros
		who  func(w *world) []string
		more func(w *world)
		kept bool // all leases
	}{
		{"half of all for less than a lease", 18 * second, (*world).emptier, nil, true},
		{"half of all for three leases", 75 * second, (*world).emptier, nil, false},
		{"a zone for two leases", 50 * second, func(w *world) []string { return w.inZone("x") }, nil, false},
		{"all for two leases", 50 * second, (*world).present, nil, false},
		{"half, and the leader ends", 75 * second, (*world).emptier,
			func(w *world) { w.kill(w.leader()) }, false},
		{"half, and the owner is back at once", 75 * second, (*world).emptier,
			func(w *world) { w.backAtOnce([]string{w.owner("red")}, 2) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := handWorldOf(t, 3, 1, 26, 46)
			names := c.who(w)
			began, late, had := w.now, 0, len(w.workers)
			w.sure = true // a command that was sent before may otherwise be carried out 20 s later
			// A machine that has missed two reports takes no starts; what was recorded before that
			// may be on its way for 6 s more. Its lease of 26 s ends later.
			deadline := began + 13*second
			w.onBegan = func(x *simWorker, _ string) {
				if x.mute && w.now > deadline && slices.Contains(names, x.w.Name) {
					late++
				}
			}
			w.mute(names, c.d)
			if c.more != nil {
				w.at(3*second, func() { c.more(w) })
			}
			short := int(c.d / (150 * loop.Millisecond)) // so many that each machine is given something every few seconds
			for k := range short {
				w.at(loop.Micros(k)*150*loop.Millisecond, func() {
					w.enter(&simJob{id: fmt.Sprintf("job-%06d", 100+k), run: 3 * second, spec: &job.Spec{Class: "short", Team: []string{"red", "blue"}[k%2],
						Priority: job.Normal, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true, Estimate: 2 * loop.Second}})
				})
			}
			gone := w.jobs["job-000003"]
			w.at(second, func() { w.withdraw(gone) })
			w.run(began + 6*second)
			for task, m := range w.active {
				if task[:len(gone.id)] == gone.id && c.more == nil {
					t.Errorf("%s is still on %s, which commands reach", task, m)
				}
			}
			w.run(began + c.d + 95*second)
			if late > 0 {
				t.Errorf("%d tasks began on machines that had not reported for so long that their leases are as good as over", late)
			}
			if c.kept != (w.whys["lease"] == 0) {
				t.Errorf("tasks end by %v", w.whys)
			}
			if n := len(w.workers) - had; n > len(names)+8 {
				t.Errorf("%d machines were rented for %d that cannot report", n, len(names))
			}
			for k := range short {
				if j := w.jobs[fmt.Sprintf("job-%06d", 100+k)]; !j.asked && (j.began == 0 || j.began > j.first+60*second) {
					t.Errorf("%s began %d us after it was submitted", j.id, j.began-j.first)
				}
			}
			w.run(w.now + 400*second)
			w.settled(100)
			t.Logf("%d late starts, tasks end by %v, %d machines more", late, w.whys, len(w.workers)-had)
		})
	}
}
