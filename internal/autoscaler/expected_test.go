package autoscaler

import (
	"slices"
	"testing"

	"cleatpick/internal/fleet"
	"cleatpick/internal/job"
	"cleatpick/internal/predicate"
	"cleatpick/internal/workers"

	"pgregory.net/rapid"
)

// The capacity that requests take is compared with the plain rule, by which each request goes through all
// expected machines from the first one on.
func TestExpectedCapacityAgainstPlainRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var plain []*expectedMachine
		s := expectedCapacity{exhausted: map[fleet.Shape]int{}}
		join := func() {
			c := expectedMachine{offer{"m", rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"), rapid.Bool().Draw(t, "spot")}, workers.Capacity{CPUs: float64(rapid.IntRange(0, 8).Draw(t, "cpus")), MemoryGB: 16}}
			again := c
			plain = append(plain, &c)
			s.machines = append(s.machines, &again)
		}
		for range rapid.IntRange(0, 6).Draw(t, "machines") {
			join()
		}
		for range rapid.IntRange(1, 12).Draw(t, "requests") {
			spec := &job.Spec{Tasks: 20, CPUs: float64(rapid.IntRange(1, 3).Draw(t, "each")), MemoryGB: float64(rapid.IntRange(1, 2).Draw(t, "memory")), AnyType: true,
				Spot: rapid.Bool().Draw(t, "may be spot"), Zone: rapid.SampledFrom([]string{"", "x"}).Draw(t, "only zone"), Spread: rapid.Bool().Draw(t, "spread")}
			count := rapid.IntRange(0, 6).Draw(t, "tasks")
			one, two := &predicate.Need{Spec: spec, Tasks: 20, Zones: map[string]int{}}, &predicate.Need{Spec: spec, Tasks: 20, Zones: map[string]int{}}
			left := count
			for _, c := range plain {
				left -= c.place(one, left)
			}
			if got := s.place(two, count); got != left {
				t.Fatalf("%d of %d tasks are left over, by the plain rule %d", got, count, left)
			}
			if rapid.Bool().Draw(t, "one more joins") {
				join()
			}
		}
		if !slices.EqualFunc(plain, s.machines, func(a, b *expectedMachine) bool { return *a == *b }) {
			t.Fatal("the capacity taken from the machines differs from that by the plain rule")
		}
	})
}
