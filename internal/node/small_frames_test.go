package node

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
)

// What is due for a peer is divided into frames that it accepts, and no invariant rests on its arriving in one. The frames
// are so small here that a few machines exceed one, as a thousand exceed one of the product.
func TestInvariantsWithSmallFrames(t *testing.T) {
	from, to := seedRange(t, 1, 12)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 7003))
			w, jobs := randomSimulation(t, seed, r, func(*config.Config) {})
			w.frames = frameSizes{target: 256 << r.IntN(3), largest: 1 << 10}
			for _, label := range w.labels {
				w.nodes[label].n.net.SetFrameSizes(w.frames.target, w.frames.largest) // they have started
			}
			for i := range jobs {
				w.after(w.between(eventloop.Second, 120*eventloop.Second), func() { w.addJob(i) })
			}
			w.injectFaults(r, isolationFaults)
			w.startChecks(260 * eventloop.Second)
			w.run(3600*eventloop.Second + 700*eventloop.Second)
			w.checkCompleted(20)
			w.checkHalfServed()
		})
	}
}
