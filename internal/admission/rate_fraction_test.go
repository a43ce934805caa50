package admission

import (
	"math"
	"testing"
)

// The fractions must add up to the same sum whichever controllers are registered, share what absent
// controllers do not use, and never shrink as other controllers leave.
func TestRateFractionsAddUp(t *testing.T) {
	for nodes := 1; nodes <= 15; nodes++ {
		before := 1.0
		for registered := 0; registered <= nodes; registered++ {
			sum := float64(registered)*RateFraction(registered, nodes, true) + float64(nodes-registered)*RateFraction(registered, nodes, false)
			if registered > 0 && math.Abs(sum-usableFraction) > 1e-9 || registered == 0 && sum > usableFraction+1e-9 {
				t.Errorf("%d of %d controllers registered: the fractions add up to %v", registered, nodes, sum)
			}
			if p := RateFraction(registered, nodes, true); registered > 0 && p > before {
				t.Errorf("%d of %d controllers registered: the fraction grows to %v with one more registered", registered, nodes, p)
			} else if registered > 0 {
				before = p
			}
		}
		if p := RateFraction(nodes, nodes, true); math.Abs(p-usableFraction/float64(nodes)) > 1e-9 {
			t.Errorf("%d controllers, all registered: the fraction of each is %v", nodes, p)
		}
	}
	if p := RateFraction(1, 3, true); p < 0.59 {
		t.Errorf("the fraction of the last of three controllers is %v, want at least 0.59", p)
	}
}
