package autoscaler

import (
	"cleatpick/internal/eventloop"
	"cleatpick/internal/failuredetector"
	"cleatpick/internal/workers"
)

// The tasks of a cancelled job must be gone within cancel_s of its cancellation. A machine that reports is told to stop
// them, and a worker that gets no answer ends them with its lease. Only the tasks of a machine that hangs stay, until it
// is deleted. The time by which that must happen is part of the job's record: it does not begin anew with each leader,
// as the failure detector's time for a silent machine does.

const (
	// cancelledProbeInterval is the least time between two probes of a silent machine with cancelled tasks.
	cancelledProbeInterval = 1200 * eventloop.Millisecond
	// hungAfterProbes is the number of successive probes without an answer after which a machine counts as hung.
	hungAfterProbes = 2
)

// cancelledHolder is a silent machine that holds tasks of cancelled jobs.
type cancelledHolder struct {
	since     eventloop.Micros // wall-clock time of the earliest cancellation
	probing   bool
	probedAt  eventloop.Micros
	result    failuredetector.ProbeResult
	noAnswers int // number of successive probes without an answer
}

// checkCancelledTasks has silent machines deleted in time that hold tasks of cancelled jobs. A leader that reaches no peer
// does so, too: it cannot hear the machines that report to others, but its own probes tell which of them hang.
func (a *Autoscaler) checkCancelledTasks(now eventloop.Micros) {
	a.updateCancelledHolders(now)
	wall := a.runner.Wall()
	for name, h := range eventloop.Sorted(a.cancelledHolders) {
		m := a.adopt(name, "", "", false)
		if m == nil || m.state == Deleting || !a.isSilent(a.workers.View(name)) || wall < h.since+a.leaseEnd() {
			continue
		}
		if h.mustBeDeleted(wall, a.cancelDeadline(h.since)) {
			a.markFailed(m, "silent with cancelled tasks")
			continue
		}
		a.probeCancelledHolder(now, name, h)
	}
}

// mustBeDeleted reports whether the machine has to be deleted for the sake of its cancelled tasks. If it hangs, its lease
// is over, unless it was answered after the cancellation. If no connection can be made, it may be alive behind a
// network partition, where its tasks end with its lease, so it is kept until the deadline. If it answers, so they do.
func (h *cancelledHolder) mustBeDeleted(wall, deadline eventloop.Micros) bool {
	switch h.result {
	case failuredetector.Answered, failuredetector.NotProbed:
		return false
	case failuredetector.NoAnswer:
		return h.noAnswers >= hungAfterProbes || wall >= deadline
	}
	return wall >= deadline
}

// leaseEnd is how long after the newest report that was answered a worker has certainly ended its tasks, unless it hangs.
func (a *Autoscaler) leaseEnd() eventloop.Micros {
	lease := eventloop.Seconds(a.cfg.Cluster.Workers.LeaseS)
	return lease + lease/1000 + eventloop.Second + a.cfg.ClockDifference()
}

// cancelDeadline returns the wall-clock time by which the deletion of a machine has to begin for it to be gone within
// cancel_s of a cancellation: a quarter of the time between a lease and cancel_s remains for the deletion itself.
func (a *Autoscaler) cancelDeadline(since eventloop.Micros) eventloop.Micros {
	w := a.cfg.Cluster.Workers
	return since + eventloop.Seconds(w.CancelS-(w.CancelS-w.LeaseS)/4) - a.cfg.ClockDifference()
}

// isSilent reports whether no report of a machine has arrived at any controller for so long that one was missed.
func (a *Autoscaler) isSilent(v *workers.View) bool {
	report := eventloop.Seconds(a.cfg.Cluster.Workers.ReportS)
	return v == nil || v.Silence(a.runner.Wall(), a.cfg.ClockDifference()) > 3*report/2+2*eventloop.Second
}

// updateCancelledHolders takes over which machines the owners name.
func (a *Autoscaler) updateCancelledHolders(now eventloop.Micros) {
	named := map[string]eventloop.Micros{}
	for from, demand := range a.demands {
		if now-a.demandAt[from] >= demandLifetime {
			continue
		}
		for _, c := range demand.Cancelled {
			if since, known := named[c.Machine]; !known || c.Since < since {
				named[c.Machine] = c.Since
			}
		}
	}
	for name := range a.cancelledHolders {
		if _, still := named[name]; !still {
			delete(a.cancelledHolders, name)
		}
	}
	for name, since := range named {
		if a.cancelledHolders[name] == nil {
			a.cancelledHolders[name] = &cancelledHolder{}
		}
		a.cancelledHolders[name].since = since
	}
}

// probeCancelledHolder probes a machine whose address is known, unless it was probed recently.
func (a *Autoscaler) probeCancelledHolder(now eventloop.Micros, name string, h *cancelledHolder) {
	addr := a.addressOf(name)
	if addr == "" || h.probing || h.result != failuredetector.NotProbed && now-h.probedAt < cancelledProbeInterval {
		return
	}
	h.probing, h.probedAt = true, now
	a.probe(addr, func(result failuredetector.ProbeResult) {
		h.probing, h.result = false, result
		if result == failuredetector.NoAnswer {
			h.noAnswers++
		} else {
			h.noAnswers = 0
		}
	})
}

// addressOf returns the address of a machine from its view or from the cloud's list; it is empty if neither names one.
func (a *Autoscaler) addressOf(name string) string {
	if v := a.workers.View(name); v != nil {
		return v.Addr
	}
	if m := a.machines[name]; m != nil {
		return m.addr
	}
	return ""
}
