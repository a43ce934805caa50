package fleet

import "cleatpick/internal/eventloop"

// Turnover estimates how many CPUs per second completing tasks free in the whole fleet. Urgent work need not
// preempt for capacity that turnover frees in time; with a large fleet that is most of it.
type Turnover struct {
	freed float64
	at    eventloop.Micros
	// Rate is the smoothed estimate, in CPUs per second.
	Rate float64
}

// AddFreed counts CPUs that a completed task freed.
func (t *Turnover) AddFreed(cpus float64) { t.freed += cpus }

// Tick updates the rate; it is to be called a few times per second.
func (t *Turnover) Tick(now eventloop.Micros) {
	if dt := float64(now-t.at) / 1e6; t.at != 0 && dt > 0 {
		t.Rate += (t.freed/dt - t.Rate) * min(dt/5, 1)
	}
	t.freed, t.at = 0, now
}
