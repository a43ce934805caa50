package admission

import (
	"math"
	"testing"
)

// Whoever is registered, the parts add up to the same; what absent nodes do not use is
// shared, and nobody's part shrinks as others go.
func TestPartsAddUp(t *testing.T) {
	for nodes := 1; nodes <= 15; nodes++ {
		before := 1.0
		for registered := 0; registered <= nodes; registered++ {
			sum := float64(registered)*Part(registered, nodes, true) + float64(nodes-registered)*Part(registered, nodes, false)
			if registered > 0 && math.Abs(sum-headroom) > 1e-9 || registered == 0 && sum > headroom+1e-9 {
				t.Errorf("%d of %d nodes: the parts add up to %v", registered, nodes, sum)
			}
			if p := Part(registered, nodes, true); registered > 0 && p > before {
				t.Errorf("%d of %d nodes: a part grows to %v as one more is there", registered, nodes, p)
			} else if registered > 0 {
				before = p
			}
		}
		if p := Part(nodes, nodes, true); math.Abs(p-headroom/float64(nodes)) > 1e-9 {
			t.Errorf("%d nodes: each has %v", nodes, p)
		}
	}
	if p := Part(1, 3, true); p < 0.59 {
		t.Errorf("the last of three has %v", p)
	}
}
