package predicate

import (
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/health"
	"cleatpick/internal/job"
	"cleatpick/internal/testseed"
	"cleatpick/internal/workers"

	"pgregory.net/rapid"
)

// The result must be the same in every run, so the generator's seed is fixed.
func TestMain(m *testing.M) { testseed.Main(m) }

// restatedAllowed restates what each predicate allows, without the helpers of the product code.
func restatedAllowed(j *JobFacts, k Kind) int {
	switch k {
	case Damaged:
		if j.Damaged {
			return 0
		}
	case Hold:
		wall := j.Wall - j.ClockDifference
		if j.Hold.State != job.HoldNone && (j.Hold.Until == 0 || wall < j.Hold.Until) {
			return 0
		}
	case Dependency:
		for _, d := range j.Dependencies {
			over := d.Phase == job.Done || (d.Phase == job.Cancelled && (d.Waived || j.OnCancelled == job.PolicyRelease))
			if !over {
				return 0
			}
		}
	case BackOff:
		some := j.Failing.State == health.Sound || j.Failing.State == health.Untried // only the tasks that failed are in back-off
		if j.Failing.BackOffUntil > j.Now && (!some || j.Spec.Gang || j.Failing.FailedWaiting >= j.Waiting) {
			return 0
		}
	case Probation:
		f := j.Failing
		if f.ConsecutiveFailures == 0 || j.Spec.Gang {
			break
		}
		if f.State == health.Suspected || f.State == health.Broken {
			return max(f.MaxInUse-j.InUse, 0)
		}
		if never := j.Waiting - f.FailedWaiting; never > 0 && f.BackOffUntil > j.Now {
			return never
		}
		return j.Waiting - f.FailedWaiting + f.ConcurrentRetries
	case Limit:
		within := func(used, each float64, most config.Limit) bool {
			m, bounded := most.Max()
			return each == 0 || !bounded || used+each <= m+1e-6
		}
		n := 0
		for n < j.Waiting && within(j.TeamUsage.CPUs+float64(n)*j.Spec.CPUs, j.Spec.CPUs, j.Quota.CPUsMax) && within(j.TeamUsage.GPUs+float64(n)*j.Spec.GPUs, j.Spec.GPUs, j.Quota.GPUsMax) {
			n++
		}
		return n
	}
	return Unlimited
}

// TestPredicatesAgainstPlainRestatement compares every predicate with its plain restatement, on facts at and
// around each threshold.
func TestPredicatesAgainstPlainRestatement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		num := func(name string, from, to int) int { return rapid.IntRange(from, to).Draw(t, name) }
		yes := func(name string) bool { return rapid.Bool().Draw(t, name) }
		j := &JobFacts{Spec: &job.Spec{CPUs: float64(num("cpus", 1, 4)), GPUs: float64(num("gpus", 0, 1)), Gang: num("gang", 0, 3) == 0},
			Hold: &job.Hold{}, Damaged: num("damaged", 0, 5) == 0, Waiting: num("waiting", 0, 9), InUse: num("in use", 0, 3),
			Now: 100, Wall: 200, ClockDifference: eventloop.Micros(num("clock", 0, 3)),
			TeamUsage:   workers.Capacity{CPUs: float64(num("used", 0, 20)), GPUs: float64(num("used gpus", 0, 3))},
			Quota:       config.Quota{CPUsMax: config.NewLimit(float64(num("max", 0, 24))), GPUsMax: config.NewLimit(float64(num("max gpus", 0, 4)))},
			OnCancelled: []job.Policy{job.PolicyHold, job.PolicyRelease, job.PolicyCancel}[num("policy", 0, 2)]}
		if yes("rests") {
			j.Failing.BackOffUntil = 100 + eventloop.Micros(num("rest", -1, 1))
		}
		if yes("fails") {
			j.Failing.State, j.Failing.ConsecutiveFailures, j.Failing.MaxInUse = health.ProbationState(num("state", 0, 3)), num("moments", 0, 3), 1+2*num("survivors", 0, 2)
			j.Failing.FailedWaiting = num("late", 0, j.Waiting)
			j.Failing.ConcurrentRetries = num("late now", 0, j.Failing.FailedWaiting)
		}
		if yes("held") {
			j.Hold.State = job.HoldEffective
			if yes("until") {
				j.Hold.Until = 200 + eventloop.Micros(num("hold", -3, 3))
			}
		}
		for range num("after", 0, 2) {
			j.Dependencies = append(j.Dependencies, Dep{ID: "job-1", Phase: []job.Phase{"", job.Accepted, job.Done, job.Cancelled}[num("phase", 0, 3)], Waived: yes("waived")})
		}
		unblocked := true
		var want []Cause
		for _, k := range []Kind{Damaged, Hold, Dependency, BackOff, Probation, Limit} {
			plain := restatedAllowed(j, k)
			got := j.AllowedTasks(k)
			if min(max(got, 0), j.Waiting) != min(plain, j.Waiting) {
				t.Fatalf("%v allows %d tasks, by the plain restatement %d", k, got, plain)
			}
			if kept := j.Waiting - min(plain, j.Waiting); kept > 0 {
				if j.Spec.Gang {
					kept = j.Waiting
				}
				want = append(want, Cause{Kind: k, Tasks: kept})
			}
			if k <= BackOff && plain == 0 {
				unblocked = false
			}
		}
		if j.Unblocked() != unblocked {
			t.Fatalf("unblocked: %v, by the plain restatement %v", j.Unblocked(), unblocked)
		}
		got := j.Causes(nil)
		if len(got) != len(want) {
			t.Fatalf("causes %v, by the plain restatement %v", got, want)
		}
		for i := range got {
			if got[i].Kind != want[i].Kind || got[i].Tasks != want[i].Tasks {
				t.Fatalf("causes %v, by the plain restatement %v", got, want)
			}
		}
	})
}

// TestEachLackIsReportedAlone checks that each unmet condition is reported alone, and none where all are met.
func TestEachLackIsReportedAlone(t *testing.T) {
	spec := &job.Spec{CPUs: 2, GPUs: 1, MemoryGB: 4, AnyType: true, Spot: true}
	for _, c := range []struct {
		name string
		set  func(p *MachineFacts, n *Need)
	}{
		{"", func(*MachineFacts, *Need) {}},
		{"known", func(p *MachineFacts, _ *Need) { p.Known = false }},
		{"heard", func(p *MachineFacts, _ *Need) { p.LastReport = 49 }},
		{"", func(p *MachineFacts, _ *Need) { p.LastReport = 50 }},
		{"heard", func(p *MachineFacts, _ *Need) { p.View.TokenConfirmed = false }},
		{"rested", func(p *MachineFacts, _ *Need) { p.BackOffUntil = 101 }},
		{"", func(p *MachineFacts, _ *Need) { p.BackOffUntil = 100 }},
		{"notice", func(p *MachineFacts, _ *Need) { p.View.NoticeAt = 1 }},
		{"draining", func(p *MachineFacts, _ *Need) { p.View.ClosedToStarts = true }},
		{"cordon", func(p *MachineFacts, _ *Need) { p.Cordoned = true }},
		{"cpus", func(p *MachineFacts, _ *Need) { p.Free.CPUs = 1.9 }},
		{"gpus", func(p *MachineFacts, _ *Need) { p.Free.GPUs = 0 }},
		{"memory", func(p *MachineFacts, _ *Need) { p.Free.MemoryGB = 3 }},
		{"place", func(p *MachineFacts, n *Need) { n.Spec.Zone = "y" }},
		{"place", func(p *MachineFacts, n *Need) { n.Spec.Spot = false }},
		{"oneZone", func(p *MachineFacts, n *Need) { n.Spec.OneZone, n.Zones = true, map[string]int{"y": 1} }},
		{"", func(p *MachineFacts, n *Need) { n.Spec.OneZone, n.Zones = true, map[string]int{"x": 3, "y": 0} }},
		{"scatter", func(p *MachineFacts, n *Need) { n.Spec.Spread, n.Zones = true, map[string]int{"x": 3} }},
		{"", func(p *MachineFacts, n *Need) { n.Spec.Spread, n.Zones = true, map[string]int{"x": 2} }},
		{"claimed", func(p *MachineFacts, _ *Need) {
			p.Reservations = []Reservation{{Job: "other", Priority: 1, Capacity: workers.Capacity{CPUs: 3}}}
		}},
		{"", func(p *MachineFacts, _ *Need) {
			p.Reservations = []Reservation{{Job: "other", Priority: 0, Capacity: workers.Capacity{CPUs: 3}}}
		}},
		{"", func(p *MachineFacts, _ *Need) {
			p.Reservations = []Reservation{{Job: "job-1", Priority: 3, Capacity: workers.Capacity{CPUs: 3}}}
		}},
	} {
		s := *spec
		s.Priority = 1
		p := &MachineFacts{View: &workers.View{Type: "m", Zone: "x", Spot: true, TokenConfirmed: true}, Known: true, LastReport: 99, Free: workers.Capacity{CPUs: 4, GPUs: 1, MemoryGB: 8}}
		n := &Need{ID: "job-1", Spec: &s, Tasks: 5}
		c.set(p, n)
		names := p.Lacks(n, 50, 100).Names()
		if (c.name == "") != (len(names) == 0) || (c.name != "" && (len(names) != 1 || names[0] != c.name)) {
			t.Errorf("machine lacks %v, want only %q", names, c.name)
		}
		if takes := p.AcceptsStarts(50, 100) && p.Fits(n) && !p.Cordoned && p.View.NoticeAt == 0 && !p.View.ClosedToStarts; takes != (c.name == "") {
			t.Errorf("machine that lacks %q: accepted %v", c.name, takes)
		}
	}
}
