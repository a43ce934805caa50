package placer

import (
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
)

// How long work waits for turnover before others are stopped for it: what lies within a
// guarantee, and what is urgent. With a large fleet, hundreds of CPUs fall free each
// second, and owners leave them to what is urgent: most of what was stopped for that was
// stopped in vain.
const (
	withinPatience = 3 * loop.Second
	urgentPatience = 300 * loop.Millisecond
)

const (
	// promptly is the part of a stated time to start that may be spent on waiting for
	// turnover, and slackPart the part of what a deadline leaves beside the run itself.
	promptly  = 0.1
	slackPart = 0.125
)

// patience is how long tasks of a job may wait for turnover: the less, the sooner the
// users want its class to start, or the nearer its deadline is.
func (p *Placer) patience(s *job.Spec) loop.Micros {
	if s.Priority < job.High {
		return withinPatience
	}
	d := urgentPatience
	for i := range p.cfg.Cluster.Objectives {
		if o := &p.cfg.Cluster.Objectives[i]; o.Kind == "wait" && o.Class == s.Class && o.WithinS > 0 {
			d = min(d, loop.Micros(promptly*float64(loop.Seconds(o.WithinS))))
		}
	}
	if s.Deadline > 0 {
		d = min(d, max(loop.Micros(slackPart*float64(s.Deadline-s.Estimate)), 0))
	}
	return d
}
