package fleet

import "cleatpick/internal/loop"

// Turnover follows how many CPUs a second fall free on the whole fleet by tasks that
// complete: what is urgent need not stop anything that turnover frees in time. With a
// large fleet that is most of it.
type Turnover struct {
	freed float64
	at    loop.Micros
	// Rate is in CPUs a second.
	Rate float64
}

// Free takes in that CPUs fell free.
func (o *Turnover) Free(cpus float64) { o.freed += cpus }

// Tick follows the rate; it is called a few times a second.
func (o *Turnover) Tick(now loop.Micros) {
	if dt := float64(now-o.at) / 1e6; o.at != 0 && dt > 0 {
		o.Rate += (o.freed/dt - o.Rate) * min(dt/5, 1)
	}
	o.freed, o.at = 0, now
}
