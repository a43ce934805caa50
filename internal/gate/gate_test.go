package gate

import (
	"testing"

	"cleatpick/internal/agent"
	"cleatpick/internal/config"
	"cleatpick/internal/fixed"
	"cleatpick/internal/health"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"

	"pgregory.net/rapid"
)

// The verdict must be the same every time, so the generator's seed is fixed.
func TestMain(m *testing.M) { fixed.Main(m) }

// plainPasses says in words what each gate lets on, without the gates' own helpers.
func plainPasses(j *Job, k Kind) int {
	switch k {
	case Damaged:
		if j.Damaged {
			return 0
		}
	case Hold:
		wall := j.Wall - j.ClockTo
		if j.Hold.State != job.HoldNone && (j.Hold.Until == 0 || wall < j.Hold.Until) {
			return 0
		}
	case Dependency:
		for _, d := range j.After {
			over := d.Phase == job.Done || (d.Phase == job.Withdrawn && (d.Waived || j.OnWithdrawn == job.PolicyRelease))
			if !over {
				return 0
			}
		}
	case BackOff:
		some := j.Failing.State == health.Sound || j.Failing.State == health.Untried // only what failed rests
		if j.Failing.RestTo > j.Now && (!some || j.Spec.Gang || j.Failing.Late >= j.Waiting) {
			return 0
		}
	case Probe:
		f := j.Failing
		if f.Moments == 0 || j.Spec.Gang {
			break
		}
		if f.State == health.Suspected || f.State == health.Broken {
			return max(f.Width-j.InUse, 0)
		}
		if never := j.Waiting - f.Late; never > 0 && f.RestTo > j.Now {
			return never
		}
		return j.Waiting - f.Late + f.LateNow
	case Limit:
		within := func(used, each float64, most config.Limit) bool {
			m, bounded := most.Most()
			return each == 0 || !bounded || used+each <= m+1e-6
		}
		n := 0
		for n < j.Waiting && within(j.Used.CPUs+float64(n)*j.Spec.CPUs, j.Spec.CPUs, j.Quota.CPUsMax) && within(j.Used.GPUs+float64(n)*j.Spec.GPUs, j.Spec.GPUs, j.Quota.GPUsMax) {
			n++
		}
		return n
	}
	return Everything
}

// Every gate against the plain words, on facts at and around each threshold.
func TestGatesAgainstPlainWords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		num := func(name string, from, to int) int { return rapid.IntRange(from, to).Draw(t, name) }
		yes := func(name string) bool { return rapid.Bool().Draw(t, name) }
		j := &Job{Spec: &job.Spec{CPUs: float64(num("cpus", 1, 4)), GPUs: float64(num("gpus", 0, 1)), Gang: num("gang", 0, 3) == 0},
			Hold: &job.Hold{}, Damaged: num("damaged", 0, 5) == 0, Waiting: num("waiting", 0, 9), InUse: num("in use", 0, 3),
			Now: 100, Wall: 200, ClockTo: loop.Micros(num("clock", 0, 3)),
			Used:        agent.Room{CPUs: float64(num("used", 0, 20)), GPUs: float64(num("used gpus", 0, 3))},
			Quota:       config.Quota{CPUsMax: config.LimitOf(float64(num("max", 0, 24))), GPUsMax: config.LimitOf(float64(num("max gpus", 0, 4)))},
			OnWithdrawn: []job.Policy{job.PolicyHold, job.PolicyRelease, job.PolicyWithdraw}[num("policy", 0, 2)]}
		if yes("rests") {
			j.Failing.RestTo = 100 + loop.Micros(num("rest", -1, 1))
		}
		if yes("fails") {
			j.Failing.State, j.Failing.Moments, j.Failing.Width = health.ProbationState(num("state", 0, 3)), num("moments", 0, 3), 1+2*num("survivors", 0, 2)
			j.Failing.Late = num("late", 0, j.Waiting)
			j.Failing.LateNow = num("late now", 0, j.Failing.Late)
		}
		if yes("held") {
			j.Hold.State = job.HoldSet
			if yes("until") {
				j.Hold.Until = 200 + loop.Micros(num("hold", -3, 3))
			}
		}
		for range num("after", 0, 2) {
			j.After = append(j.After, Dep{ID: "job-1", Phase: []job.Phase{"", job.Accepted, job.Done, job.Withdrawn}[num("phase", 0, 3)], Waived: yes("waived")})
		}
		open := true
		var want []Cause
		for _, k := range []Kind{Damaged, Hold, Dependency, BackOff, Probe, Limit} {
			plain := plainPasses(j, k)
			got := j.Passes(k)
			if min(max(got, 0), j.Waiting) != min(plain, j.Waiting) {
				t.Fatalf("%v lets %d on, in plain words %d", k, got, plain)
			}
			if kept := j.Waiting - min(plain, j.Waiting); kept > 0 {
				if j.Spec.Gang {
					kept = j.Waiting
				}
				want = append(want, Cause{Kind: k, Tasks: kept})
			}
			if k <= BackOff && plain == 0 {
				open = false
			}
		}
		if j.Open() != open {
			t.Fatalf("open: %v, in plain words %v", j.Open(), open)
		}
		got := j.Causes(nil)
		if len(got) != len(want) {
			t.Fatalf("causes %v, in plain words %v", got, want)
		}
		for i := range got {
			if got[i].Kind != want[i].Kind || got[i].Tasks != want[i].Tasks {
				t.Fatalf("causes %v, in plain words %v", got, want)
			}
		}
	})
}

// What a machine lacks, thing by thing: each fault alone is named alone, and none is not.
func TestEachLackAlone(t *testing.T) {
	spec := &job.Spec{CPUs: 2, GPUs: 1, MemoryGB: 4, AnyType: true, Spot: true}
	for _, c := range []struct {
		name string
		set  func(p *Place, n *Need)
	}{
		{"", func(*Place, *Need) {}},
		{"known", func(p *Place, _ *Need) { p.Known = false }},
		{"heard", func(p *Place, _ *Need) { p.Heard = 49 }},
		{"", func(p *Place, _ *Need) { p.Heard = 50 }},
		{"heard", func(p *Place, _ *Need) { p.V.Settled = false }},
		{"rested", func(p *Place, _ *Need) { p.Shut = 101 }},
		{"", func(p *Place, _ *Need) { p.Shut = 100 }},
		{"notice", func(p *Place, _ *Need) { p.V.NoticeAt = 1 }},
		{"draining", func(p *Place, _ *Need) { p.V.Closed = true }},
		{"cordon", func(p *Place, _ *Need) { p.Cordoned = true }},
		{"cpus", func(p *Place, _ *Need) { p.Room.CPUs = 1.9 }},
		{"gpus", func(p *Place, _ *Need) { p.Room.GPUs = 0 }},
		{"memory", func(p *Place, _ *Need) { p.Room.MemoryGB = 3 }},
		{"place", func(p *Place, n *Need) { n.Spec.Zone = "y" }},
		{"place", func(p *Place, n *Need) { n.Spec.Spot = false }},
		{"oneZone", func(p *Place, n *Need) { n.Spec.OneZone, n.Zones = true, map[string]int{"y": 1} }},
		{"", func(p *Place, n *Need) { n.Spec.OneZone, n.Zones = true, map[string]int{"x": 3, "y": 0} }},
		{"scatter", func(p *Place, n *Need) { n.Spec.Spread, n.Zones = true, map[string]int{"x": 3} }},
		{"", func(p *Place, n *Need) { n.Spec.Spread, n.Zones = true, map[string]int{"x": 2} }},
		{"claimed", func(p *Place, _ *Need) {
			p.Claims = []Claim{{Job: "other", Priority: 1, Room: agent.Room{CPUs: 3}}}
		}},
		{"", func(p *Place, _ *Need) { p.Claims = []Claim{{Job: "other", Priority: 0, Room: agent.Room{CPUs: 3}}} }},
		{"", func(p *Place, _ *Need) { p.Claims = []Claim{{Job: "job-1", Priority: 3, Room: agent.Room{CPUs: 3}}} }},
	} {
		s := *spec
		s.Priority = 1
		p := &Place{V: &agent.View{Type: "m", Zone: "x", Spot: true, Settled: true}, Known: true, Heard: 99, Room: agent.Room{CPUs: 4, GPUs: 1, MemoryGB: 8}}
		n := &Need{ID: "job-1", Spec: &s, Tasks: 5}
		c.set(p, n)
		names := p.Lacks(n, 50, 100).Names()
		if (c.name == "") != (len(names) == 0) || (c.name != "" && (len(names) != 1 || names[0] != c.name)) {
			t.Errorf("lacks %v, want only %q", names, c.name)
		}
		if takes := p.Open(50, 100) && p.Takes(n) && !p.Cordoned && p.V.NoticeAt == 0 && !p.V.Closed; takes != (c.name == "") {
			t.Errorf("%q lacking: taken %v", c.name, takes)
		}
	}
}
