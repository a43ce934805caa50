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
func (o *Turnover) AddFreed(cpus float64) { o.freed += cpus }

// Tick updates the rate; it is to be called a few times per second.
func (o *Turnover) Tick(now eventloop.Micros) {
	if dt := float64(now-o.at) / 1e6; o.at != 0 && dt > 0 {
		o.Rate += (o.freed/dt - o.Rate) * min(dt/5, 1)
	}
	o.freed, o.at = 0, now
}
