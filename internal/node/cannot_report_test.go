package node

import (
	"fmt"
	"slices"
	"testing"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
)

// blockReports makes machines unable to report for a while: they cannot connect to any controller, but commands reach
// them.
func (w *simulation) blockReports(names []string, d eventloop.Micros) {
	for _, name := range names {
		x := w.workers[name]
		x.cannotReport = true
		w.after(d, func() { x.cannotReport = false })
	}
}

// emptierHalf returns the half of all machines that runs the fewest tasks, where new tasks are placed.
func (w *simulation) emptierHalf() []string {
	names, on := w.runningMachines(), map[string]int{}
	for _, m := range w.running {
		on[m]++
	}
	slices.SortStableFunc(names, func(a, b string) int { return on[a] - on[b] })
	return names[:len(names)/2]
}

// A machine that cannot report answers commands and probes, and its lease expires all the same. The fault: it counted
// as available, was given tasks until its lease expired, lost them, and was given more in its next session, repeatedly.
// It must get starts for no longer than any machine whose reports stopped; cancelled tasks on it are stopped at once;
// tasks that its lease ends run again elsewhere; a machine that reports again in time has lost nothing; and the
// autoscaler does not create a second fleet, but at most one machine for each that cannot report and a few more.
func TestMachinesThatCannotReport(t *testing.T) {
	const second = eventloop.Second
	for _, c := range []struct {
		name string
		d    eventloop.Micros
		who  func(w *simulation) []string
		more func(w *simulation)
		kept bool // all leases
	}{
		{"half of all for less than a lease", 18 * second, (*simulation).emptierHalf, nil, true},
		{"half of all for three leases", 75 * second, (*simulation).emptierHalf, nil, false},
		{"a zone for two leases", 50 * second, func(w *simulation) []string { return w.machinesInZone("x") }, nil, false},
		{"all for two leases", 50 * second, (*simulation).runningMachines, nil, false},
		{"half, and the leader crashes", 75 * second, (*simulation).emptierHalf,
			func(w *simulation) { w.kill(w.leader()) }, false},
		{"half, and the owner restarts at once", 75 * second, (*simulation).emptierHalf,
			func(w *simulation) { w.restartQuickly([]string{w.owner("red")}, 2) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := busySimulationWith(t, 3, 1, 26, 46)
			names := c.who(w)
			began, late, had := w.now, 0, len(w.workers)
			w.reliable = true // otherwise a command that was sent before may be executed 20 s later
			// A machine that has missed two reports gets no starts; one that was recorded before that may be in
			// flight for 6 s more. The machine's lease of 26 s ends later.
			deadline := began + 13*second
			w.onTaskStart = func(x *simWorker, _ string) {
				if x.cannotReport && w.now > deadline && slices.Contains(names, x.w.Name) {
					late++
				}
			}
			w.blockReports(names, c.d)
			if c.more != nil {
				w.after(3*second, func() { c.more(w) })
			}
			short := int(c.d / (150 * eventloop.Millisecond)) // so many that each machine is given a task every few seconds
			for k := range short {
				w.after(eventloop.Micros(k)*150*eventloop.Millisecond, func() {
					w.simulateUser(&simJob{id: fmt.Sprintf("job-%06d", 100+k), run: 3 * second, spec: &job.Spec{Class: "short", Team: []string{"red", "blue"}[k%2],
						Priority: job.Normal, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true, Estimate: 2 * eventloop.Second}})
				})
			}
			cancelledJob := w.jobs["job-000003"]
			w.after(second, func() { w.cancel(cancelledJob) })
			w.run(began + 6*second)
			for task, m := range w.running {
				if task[:len(cancelledJob.id)] == cancelledJob.id && c.more == nil {
					t.Errorf("%s of a cancelled job still runs on %s, which commands reach", task, m)
				}
			}
			w.run(began + c.d + 95*second)
			if late > 0 {
				t.Errorf("%d tasks started on machines that had not reported for more than 13 s", late)
			}
			if c.kept != (w.endReasons["lease"] == 0) {
				t.Errorf("ended tasks by reason: %v", w.endReasons)
			}
			if n := len(w.workers) - had; n > len(names)+8 {
				t.Errorf("%d machines were created while %d could not report", n, len(names))
			}
			for k := range short {
				if j := w.jobs[fmt.Sprintf("job-%06d", 100+k)]; !j.cancelRequested && (j.firstStartAt == 0 || j.firstStartAt > j.submittedAt+60*second) {
					t.Errorf("%s started %d us after it was submitted", j.id, j.firstStartAt-j.submittedAt)
				}
			}
			w.run(w.now + 400*second)
			w.checkCompleted(100)
			t.Logf("%d late starts; ended tasks by reason: %v; %d machines created", late, w.endReasons, len(w.workers)-had)
		})
	}
}
