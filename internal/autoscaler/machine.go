package autoscaler

import (
	"cleatpick/internal/eventloop"
	"cleatpick/internal/failuredetector"
	"cleatpick/internal/peer"
	"cleatpick/internal/workers"
	"maps"
	"slices"
	"strings"
)

// MachineState is the state of a rented machine in its lifecycle.
type MachineState int

// The states of a machine.
const (
	Booting  MachineState = iota // rented, no report yet
	Up                           // has reported
	Draining                     // not needed: takes no starts, and tasks that can save their state move away
	Closing                      // its host controller is asked to start nothing on it
	Deleting                     // waits for its deletion by the cloud
	Deleted                      // the cloud has confirmed its deletion
)

func (s MachineState) String() string {
	return [...]string{"booting", "up", "draining", "closing", "deleting", "gone"}[s]
}

type machine struct {
	name         string
	typ          string
	zone         string
	addr         string // from the cloud's list; empty: not listed yet
	spot         bool
	state        MachineState
	since        eventloop.Micros // when it was rented, as far as known
	confirmedAt  eventloop.Micros // newest report that proves that it receives messages; 0: it never reported to this leader
	reportedAt   eventloop.Micros // newest report of any kind
	listed       string           // its state in the cloud's list
	standbyUntil eventloop.Micros // end of its standby time; 0: not empty
	why          string
	deleteAt     eventloop.Micros // when its state became Deleting
	failed       bool             // proven failed: its deletion confirms that the tasks on it are terminated
	closeAskedAt eventloop.Micros
	firstSeen    eventloop.Micros
	rented       bool             // by this leader, so that since is exact
	drainAt      eventloop.Micros // end of the standby time of a machine that is not needed; 0: it is needed
}

// adopt returns the record of a machine, creating it if needed; nil if the machine is known to be deleted.
func (a *Autoscaler) adopt(name, typ, zone string, spot bool) *machine {
	if a.workers.IsDeleted(name) {
		return nil
	}
	m := a.machines[name]
	if m == nil {
		now := a.runner.Now()
		m = &machine{name: name, typ: typ, zone: zone, spot: spot, since: now, firstSeen: now}
		a.machines[name] = m
		a.sortedMachines = nil
	}
	if m.typ == "" {
		// An owner named the machine as suspect before anything else was known of it. While these fields
		// stayed empty, a new leader treated 408 machines behind a network partition as machines of no zone,
		// and had them deleted two seconds before the partition ended.
		m.typ, m.zone, m.spot = typ, zone, spot
	}
	return m
}

// sorted lists the machines by name. The list is cached until a machine joins or leaves.
func (a *Autoscaler) sorted() []*machine {
	if a.sortedMachines == nil {
		a.sortedMachines = slices.SortedFunc(maps.Values(a.machines), func(x, y *machine) int { return strings.Compare(x.name, y.name) })
	}
	return a.sortedMachines
}

// setState changes a machine's state and logs it; no other function changes the state.
func (a *Autoscaler) setState(m *machine, s MachineState, why string) {
	if m.state == s {
		return
	}
	a.log.Info("machine changed state", "name", m.name, "type", m.typ, "zone", m.zone, "spot", m.spot, "from", m.state.String(), "to", s.String(), "why", why)
	m.state, m.why = s, why
	delete(a.deleting, m.name)
	if s == Deleting {
		m.deleteAt = a.runner.Now()
		a.deleting[m.name] = m
	}
}

// markFailed queues a failed machine for deletion.
func (a *Autoscaler) markFailed(m *machine, why string) {
	m.failed = true
	a.setState(m, Deleting, why)
}

// UpdateView records a machine's view, with the time of its newest report. For a new leader the first view of a
// machine counts like a report that proves that the machine receives messages, since this leader was sent none
// before. No report counts as older than the leadership.
func (a *Autoscaler) UpdateView(v *workers.View) {
	if !a.leads {
		return
	}
	m := a.adopt(v.Name, v.Type, v.Zone, v.Spot)
	if m == nil {
		return
	}
	at := max(a.runner.Now()-v.Silence(a.runner.Wall(), a.cfg.ClockDifference()), a.started)
	m.reportedAt = max(m.reportedAt, at)
	if v.TokenConfirmed || m.confirmedAt == 0 {
		m.confirmedAt = max(m.confirmedAt, at)
	}
	if m.state == Booting {
		if typ, ok := a.byName[m.typ]; ok && typ.BootS > 0 && m.rented {
			// In units of the nominal boot time, so that types share one distribution: one boot time counts
			// as a second.
			a.bootTimes.Add(eventloop.Micros(float64(a.runner.Now()-m.since) / typ.BootS))
		}
		a.setState(m, Up, "heard")
	}
	if empty(v) {
		if m.standbyUntil == 0 {
			m.standbyUntil = a.runner.Now() + a.standby(m)
		}
	} else {
		m.standbyUntil = 0
		if m.state == Closing && m.why == "idle" && !v.ClosedToStarts {
			a.setState(m, Up, "in use again")
		}
	}
}

// empty reports whether no task is active on the machine or on its way to it.
func empty(v *workers.View) bool {
	if len(v.Pending) > 0 {
		return false
	}
	for i := range v.Tasks {
		if v.Tasks[i].Active() {
			return false
		}
	}
	return true
}

// standby draws the time for which an empty machine is kept, at random around the operator's mean.
func (a *Autoscaler) standby(m *machine) eventloop.Micros {
	mean := a.cfg.Operator.StandbyMeanS
	if !m.spot {
		mean = a.cfg.Operator.OrdinaryStandbyMeanS
	}
	return eventloop.Seconds(a.rand.ExpFloat64() * mean)
}

// checkMachines checks all machines: for boots that take too long, failures, faulty machines, and empty machines
// whose standby time is over.
func (a *Autoscaler) checkMachines() {
	now := a.runner.Now()
	suspects := a.suspects(now)
	a.drainUnneeded(now)
	retention := a.retention()
	a.detectFailures(now, retention)
	a.checkCancelledTasks(now)
	for _, m := range a.sorted() {
		switch m.state {
		case Booting:
			a.checkBoot(m, now, suspects[m.name], retention)
		case Up:
			switch v := a.workers.View(m.name); {
			case a.deps.Faulty(m.name):
				a.setState(m, Closing, "fails tasks")
			case m.standbyUntil != 0 && now > m.standbyUntil && v != nil && empty(v):
				a.setState(m, Closing, "idle")
			}
		case Draining, Closing:
			a.checkClosing(m, now)
		}
	}
}

// demandLifetime is how long after its arrival a demand counts. Owners send it several times per second.
const demandLifetime = 5 * eventloop.Second

// suspects lists the machines that hold tasks and whose reports do not reach the owners of those tasks.
func (a *Autoscaler) suspects(now eventloop.Micros) map[string]bool {
	out := map[string]bool{}
	for from, y := range a.demands {
		if now-a.demandAt[from] < demandLifetime {
			for _, name := range y.Suspect {
				out[name] = true
			}
		}
	}
	for name := range out {
		a.adopt(name, "", "", false)
	}
	return out
}

// detectFailures runs failure detection over all machines that have reported before, and queues the failed ones
// for deletion.
func (a *Autoscaler) detectFailures(now eventloop.Micros, retention func(*machine) eventloop.Micros) {
	scene := failuredetector.ClusterFacts{Now: now, Isolated: a.deps.Isolated() || now-a.started < 2*eventloop.Second, PeerUnreachable: a.deps.PeerUnreachable}
	for _, x := range a.failures.Evaluate(scene, func(yield func(*failuredetector.Facts)) {
		for _, m := range a.sorted() {
			if m.state != Up && m.state != Draining && m.state != Closing {
				continue
			}
			f := failuredetector.Facts{Name: m.name, Zone: m.zone, LastConfirmed: m.confirmedAt, LastReport: m.reportedAt, Failed: m.listed == "failed", RetainFor: retention(m)}
			if v := a.workers.View(m.name); v != nil {
				f.Addr = v.Addr
			}
			yield(&f)
		}
	}) {
		a.markFailed(a.machines[x.Name], x.Why)
	}
}

// checkBoot checks a machine that has not reported to this leader: whether it failed, or takes too long to
// boot.
func (a *Autoscaler) checkBoot(m *machine, now eventloop.Micros, suspect bool, retention func(*machine) eventloop.Micros) {
	report, lease := eventloop.Seconds(a.cfg.Cluster.Workers.ReportS), eventloop.Seconds(a.cfg.Cluster.Workers.LeaseS)
	typ, known := a.byName[m.typ]
	boot := eventloop.Seconds(typ.BootS)
	if !known {
		boot = 60 * eventloop.Second
	}
	limit := eventloop.Micros(float64(boot)*a.cfg.Operator.BootTimeoutFactor) + 5*eventloop.Second
	switch {
	case m.listed == "failed":
		a.markFailed(m, "failed")
	case m.listed == "booting" || (m.listed == "" && !suspect):
		if now-m.since > limit && now-a.started > 5*eventloop.Second {
			a.setState(m, Deleting, "never came up")
		}
	default:
		// The cloud lists it as running, or it holds tasks, but it has not reported to this leader: its
		// worker gets the time that it needs to find a new host controller. In an unreachable zone it gets as
		// long as a machine that reported before: a leader that started during a network partition deleted
		// half of the machines two seconds before the partition ended.
		limit := max(lease, 2*report+8*eventloop.Second) + 3*eventloop.Second
		if a.deps.PeerUnreachable(m.zone) {
			limit += partitionGrace + retention(m)
		}
		if now-m.firstSeen > limit {
			a.markFailed(m, "not heard")
		}
	}
}

// checkClosing asks the machine's host controller to start nothing on it, and has it deleted once a recent
// report shows that it is closed and empty.
func (a *Autoscaler) checkClosing(m *machine, now eventloop.Micros) {
	v := a.workers.View(m.name)
	if v == nil {
		a.setState(m, Deleting, m.why)
		return
	}
	if now-m.closeAskedAt > eventloop.Second {
		m.closeAskedAt = now
		a.deps.Close(v.Host, peer.StartBlock{Machine: m.name, Until: a.runner.Wall() + 12*eventloop.Second})
	}
	if v.ClosedToStarts && empty(v) && now-m.confirmedAt < 2*eventloop.Seconds(a.cfg.Cluster.Workers.ReportS)+2*eventloop.Second {
		a.setState(m, Deleting, m.why)
	}
}

// probe asks a machine's worker directly, and calls done on the event loop.
func (a *Autoscaler) probe(addr string, done func(failuredetector.ProbeResult)) {
	a.runner.Go(func() {
		w := a.deps.Probe(addr)
		a.runner.Post(func() { done(w) })
	})
}
