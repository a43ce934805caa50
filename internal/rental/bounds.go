package rental

import "cleatpick/internal/peer"

// bounds is what a want allows of each zone, as placement will judge it: rented anywhere, machines
// for a job that is bound to a zone came up in another, again and again.
type bounds struct {
	together bool
	half     int
	in       map[string]int // tasks that are there or will be, by zone
}

func boundsOf(w *peer.Want) *bounds {
	b := &bounds{together: w.Together, half: w.Half}
	if b.together || b.half > 0 {
		b.in = map[string]int{}
		for _, x := range w.In {
			b.in[x.Zone] += x.Tasks
		}
	}
	return b
}

// most is how many of so many tasks may go to a zone.
func (b *bounds) most(zone string, left int) int {
	if b.together {
		for z, n := range b.in {
			if n > 0 && z != zone {
				return 0
			}
		}
	}
	if b.half > 0 {
		left = min(left, max(b.half-b.in[zone], 0))
	}
	return left
}

// took counts tasks that will go to a zone.
func (b *bounds) took(zone string, n int) {
	if b.in != nil {
		b.in[zone] += n
	}
}
