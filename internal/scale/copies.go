package scale

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cleatpick/internal/wire"
)

// The times after which a copy of an executed command arrives.
const (
	minCopyDelay = 100 * time.Millisecond
	maxCopyDelay = 30 * time.Second
)

// commandCopies decides from a seed which executed commands arrive again at their worker, and when. Its methods may be
// called from any goroutine.
type commandCopies struct {
	share   float64      // of the executed commands
	arrived atomic.Int64 // copies that reached their worker

	mu     sync.Mutex
	random *rand.Rand
}

// newCommandCopies returns copies of the given share of commands.
func newCommandCopies(share float64, seed uint64) *commandCopies {
	return &commandCopies{share: share, random: rand.New(rand.NewPCG(seed, 1))}
}

// draw decides whether a command arrives again, and after which delay. Short delays are as likely as long ones.
func (c *commandCopies) draw() (delay time.Duration, again bool) {
	if c.share == 0 {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.random.Float64() >= c.share {
		return 0, false
	}
	longest := minCopyDelay
	for longest < maxCopyDelay && c.random.IntN(5) > 0 {
		longest = min(2*longest, maxCopyDelay)
	}
	return minCopyDelay + time.Duration(c.random.Int64N(int64(longest))), true
}

// deliverAgain delivers a copy of an executed command after a delay, unless the load run ends before.
func (s *simulatedWorkers) deliverAgain(w *simulatedWorker, command wire.Commands) {
	delay, again := s.copies.draw()
	if !again {
		return
	}
	s.goroutines.Go(func() {
		if !sleep(s.ctx, delay) || s.silentZones[w.zone].Load() {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if !s.exists(w) {
			return
		}
		s.copies.arrived.Add(1)
		w.fake.HandleCommands(s.clock.Now(), command)
	})
}

// exists reports whether the worker's machine was not deleted.
func (s *simulatedWorkers) exists(w *simulatedWorker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byMachine[w.machine.Name] == w
}
