// Package failuredetector is the failure detector for machines whose reports stopped. It decides which
// of them have stopped, which hang and which are merely unreachable, from the reports, from
// probes of the machines and from probes of their neighbours in the zone. It evaluates all
// machines together, since many failures within a short time mostly have one common cause.
//
// A verdict proves nothing. It advises the leader to have the machine deleted; only the
// cloud's confirmation of the deletion proves that its tasks are terminated.
package failuredetector

import (
	"cmp"
	"log/slog"
	"slices"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/metric"
)

// State is the state of a machine.
type State int

// The states of a machine. One whose reports arrive has no entry here.
const (
	Reporting      State = iota // its reports arrive
	Late                        // it has missed reports and is waiting to be probed
	Alive                       // it answers probes, but its reports reach no controller reachable from here
	Hung                        // it accepts or refuses connections without an answer; it may resume within its lease
	Unreachable                 // connections fail, which may be a network partition
	Dead                        // connections fail although its neighbours answer probes
	DeclaredFailed              // declared failed: nothing on it can be saved any more
	Unresponsive                // its reports arrive, but show that no answer or command reaches it
)

func (s State) String() string {
	return [...]string{"heard", "late", "alive", "hung", "outOfWay", "dead", "lost", "deaf"}[s]
}

// ProbeResult is the result of a probe of a machine.
type ProbeResult int

// The results of a probe.
const (
	NotProbed    ProbeResult = iota // not probed yet
	Answered                        // the machine answered
	NoAnswer                        // the connection was accepted or refused, but there was no answer
	NoConnection                    // no connection could be made
)

func (w ProbeResult) String() string { return [...]string{"none", "answered", "mute", "noWay"}[w] }

// maxStray is how long a machine may answer probes while its reports reach no controller, or report
// while it is unresponsive to commands: as long as an unreachable one is left alone. By then
// a worker that gets no answers has found another controller or ended its tasks. One that
// does get answers has a host controller that is cut off from the others, and its tasks can
// neither be observed nor stopped. After this time the machine is declared failed, so that
// no machine is unusable without a verdict for longer.
func (r *Rules) maxStray() eventloop.Micros { return r.leaseEnd() + r.UnreachableGrace }

// Rules holds the limits by which machines are evaluated.
type Rules struct {
	ReportInterval   eventloop.Micros // interval between reports
	Lease            eventloop.Micros // time without an answer after which a worker ends its tasks
	UnreachableGrace eventloop.Micros // additional time for which an unreachable machine is left alone
	MaxSilence       eventloop.Micros // silence after which a machine is declared failed in any case; 0: no such limit
	MaxProbes        int              // largest number of probes in flight
}

// lateAfter is the silence after which a machine is probed: a report has been missed, and half
// an interval and 2 s have passed to allow for delays.
func (r *Rules) lateAfter() eventloop.Micros { return 3*r.ReportInterval/2 + 2*eventloop.Second }

// leaseEnd is the silence after which the machine's worker has certainly ended its tasks,
// or does so before anything else, if no controller has answered it since then.
func (r *Rules) leaseEnd() eventloop.Micros { return r.Lease + r.Lease/1000 + eventloop.Second }

// Facts holds what is known of a machine at the time of an evaluation.
type Facts struct {
	Name, Zone, Addr string
	// LastConfirmed is the time of its last report that showed that answers reach it, LastReport that of
	// its last report of any kind. A machine with newer reports of the second kind only may
	// be unresponsive or stopped: delayed copies of its reports may arrive long afterwards.
	LastConfirmed, LastReport eventloop.Micros
	Failed                    bool // the cloud lists it as failed
	// RetainFor is the additional time for which it is left alone because its zone is, or was
	// until recently, disconnected: the time that it takes to replace the machine.
	RetainFor eventloop.Micros
}

// ClusterFacts holds what is known of the cluster as a whole at the time of an evaluation.
type ClusterFacts struct {
	Now eventloop.Micros
	// Isolated says that no peer is reachable from this controller: to it, all machines look
	// silent.
	Isolated bool
	// PeerUnreachable reports whether a controller in the zone is unreachable: it may still answer
	// workers whose reports no other controller gets.
	PeerUnreachable func(zone string) bool
}

// Verdict names a machine that is declared failed, and why.
type Verdict struct {
	Name string
	Why  string
}

type machine struct {
	Facts
	state        State
	result       ProbeResult
	repeats      int // number of consecutive probes with this result
	probing      bool
	probedAt     eventloop.Micros
	prevProbedAt eventloop.Micros // when the probe before the last one was sent
	// answeredAt is when it last answered a probe. That proves that it runs, not that it can be
	// used: when it counted as a report, the machine alternated between available and late
	// every two seconds (50 times in one case) while no owner got the state of its tasks.
	answeredAt eventloop.Micros
}

// lastAlive returns when the machine was last known to run.
func (m *machine) lastAlive() eventloop.Micros { return max(m.LastConfirmed, m.answeredAt) }

// zone is what is known of the network path to a zone's machines.
type zone struct {
	reporting         int              // number of machines whose reports arrive
	neighbours        []string         // addresses of a few of them, the neighbours to probe
	neighbourProbedAt eventloop.Micros // when one of these was last probed
	reachableSince    eventloop.Micros // since when neighbours have answered without interruption; 0: they do not
	probing           bool
	noConnection      int // silent machines to which no connection could be made since then
	peerUnreachable   bool
}

// Detector evaluates the machines that are silent.
type Detector struct {
	rules      Rules
	log        *slog.Logger
	meter      *metric.Meter
	probe      func(addr string, done func(ProbeResult))
	machines   map[string]*machine
	zones      map[string]*zone
	inFlight   int
	correlated correlatedFailure
}

// New returns a failure detector. probe probes a machine and calls done later, on the event
// loop.
func New(r Rules, log *slog.Logger, meter *metric.Meter, probe func(addr string, done func(ProbeResult))) *Detector {
	return &Detector{rules: r, log: log, meter: meter, probe: probe, machines: map[string]*machine{}, zones: map[string]*zone{}}
}

// setState is the only place where a machine's state changes.
func (d *Detector) setState(m *machine, s State, why string) {
	if m.state == s {
		return
	}
	d.log.Debug("state of a silent machine changed", "machine", m.Name, "zone", m.Zone, "from", m.state.String(), "to", s.String(), "why", why)
	m.state = s
}

// Forget removes a deleted machine.
func (d *Detector) Forget(name string) { delete(d.machines, name) }

// Clear resets the detector, as when this controller becomes the leader.
func (d *Detector) Clear() {
	clear(d.machines)
	clear(d.zones)
	d.correlated = correlatedFailure{}
}

// Evaluate evaluates all machines that each yields and returns those that are declared failed.
func (d *Detector) Evaluate(s ClusterFacts, each func(func(*Facts))) []Verdict {
	for _, z := range d.zones {
		z.reporting, z.noConnection, z.neighbours = 0, 0, z.neighbours[:0]
	}
	fleet := 0
	var silent []*machine
	each(func(f *Facts) {
		fleet++
		z := d.zones[f.Zone]
		if z == nil {
			z = &zone{}
			d.zones[f.Zone] = z
		}
		m := d.machines[f.Name]
		if s.Now-f.LastConfirmed <= d.rules.lateAfter() && !f.Failed {
			z.reporting++
			if len(z.neighbours) < maxNeighbours {
				z.neighbours = append(z.neighbours, f.Addr)
			}
			if m != nil {
				d.setState(m, Reporting, "its reports arrive again")
				d.correlated.addReturned()
				delete(d.machines, f.Name)
			}
			return
		}
		if m == nil {
			m = &machine{state: Reporting}
			d.machines[f.Name] = m
		}
		m.Facts = *f
		if m.state == Reporting {
			d.setState(m, Late, "no report")
		}
		if m.result == NoConnection && z.reachableSince != 0 && m.probedAt >= z.reachableSince && !m.probing {
			z.noConnection++
		}
		if m.state != DeclaredFailed {
			silent = append(silent, m)
		}
	})
	for name, z := range d.zones {
		z.peerUnreachable = s.PeerUnreachable != nil && s.PeerUnreachable(name)
	}
	// The machines that have been silent longest come first, since they were probed first;
	// equal ones are ordered by name.
	slices.SortFunc(silent, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(a.LastConfirmed, b.LastConfirmed), cmp.Compare(a.Name, b.Name))
	})
	var out []Verdict
	for _, m := range silent {
		if why := d.evaluate(s, m); why != "" {
			d.setState(m, DeclaredFailed, why)
			d.correlated.addFailed(m, s.Now, why)
			out = append(out, Verdict{m.Name, why})
		}
	}
	d.sendProbes(s, silent)
	d.trackCorrelated(s.Now, fleet)
	return out
}

// evaluate returns the reason why a machine is declared failed, or "" if it is not.
func (d *Detector) evaluate(s ClusterFacts, m *machine) string {
	if m.Failed {
		return "failed" // the cloud's statement suffices, whether or not it is silent
	}
	if s.Isolated {
		return ""
	}
	silence := s.Now - m.lastAlive()
	// A last probe after the lease finds a machine that resumed just before its lease ended.
	last := m.Addr == "" || (!m.probing && m.probedAt >= m.lastAlive()+d.rules.Lease)
	if d.rules.MaxSilence > 0 && silence > d.rules.MaxSilence {
		return "silent"
	}
	if m.LastReport > m.LastConfirmed && s.Now-m.LastReport <= max(d.rules.lateAfter(), maxReportGap) {
		// Its worker's lease expires, which ends its tasks, time and again. If answers reach
		// it again before the limit it is available as before. A probe would show nothing new.
		d.setState(m, Unresponsive, "it reports, but no answer or command reaches it")
		if s.Now-m.LastConfirmed > d.rules.maxStray()+m.RetainFor {
			return "hears nobody"
		}
		return ""
	}
	if m.state == Unresponsive {
		d.setState(m, Late, "no report")
	}
	z := d.zones[m.Zone]
	over := d.rules.leaseEnd()
	switch m.result {
	case Answered:
		if s.Now-m.LastConfirmed > d.rules.maxStray()+m.RetainFor {
			return "its reports reach nobody"
		}
		return ""
	case NoAnswer:
		// It is not powered off. If it resumes within its lease, its tasks have lost nothing.
		d.setState(m, Hung, "it accepts or refuses connections without an answer")
		if silence > over && last {
			return "hung beyond its lease"
		}
		return ""
	case NoConnection:
		if d.dead(s.Now, m, z) {
			d.setState(m, Dead, "connections fail while its neighbours answer")
			return "dead"
		}
		d.setState(m, Unreachable, "connections fail")
	}
	if z.reporting == 0 || z.peerUnreachable || m.result == NoConnection {
		over += d.rules.UnreachableGrace
	}
	over += m.RetainFor
	if silence > over && last {
		return "silent beyond its lease"
	}
	return ""
}

const (
	// maxReportGap is the longest time between two reports of a worker that gets no answers: it
	// waits 4 s for an answer and tries the next controller a second later. A machine silent
	// for less may be unresponsive to commands, and is not declared dead because connections
	// fail; nor is one that was unresponsive when its last report arrived.
	maxReportGap = 6 * eventloop.Second
	// minCorrelated is the number of machines of a zone that must be unreachable together for one
	// failed connection to each to suffice: they confirm each other.
	minCorrelated = 5
	// neighbourEvidenceFor is how long a neighbour's answer is evidence that its zone is reachable.
	neighbourEvidenceFor = 5 * eventloop.Second
	maxNeighbours        = 3                            // neighbours of a zone that are probed in turn
	probeInterval        = 1200 * eventloop.Millisecond // least time between two probes of one target
)

// dead reports whether a machine to which no connection can be made has stopped. Its zone
// must be reachable, as shown by the reports of other machines there and by a neighbour that
// has just answered a probe, and the machine must have been probed since the zone became
// reachable: a connection that failed during a network partition is no evidence after it.
func (d *Detector) dead(now eventloop.Micros, m *machine, z *zone) bool {
	if z.reporting == 0 || z.peerUnreachable || z.reachableSince == 0 || now-z.neighbourProbedAt > neighbourEvidenceFor || m.probedAt < z.reachableSince || m.probing || now-m.LastConfirmed < maxReportGap || m.LastReport > m.LastConfirmed {
		return false
	}
	return m.repeats >= 2 || z.noConnection >= minCorrelated
}

// sendProbes sends probes: to silent machines, with a bound on those in flight, and to a neighbour
// wherever a connection failed.
func (d *Detector) sendProbes(s ClusterFacts, silent []*machine) {
	if s.Isolated {
		return
	}
	for _, m := range silent {
		if m.state == DeclaredFailed || m.state == Unresponsive || m.probing || m.Addr == "" || s.Now-m.probedAt < probeInterval && m.result != NotProbed {
			continue
		}
		if m.result == NoConnection {
			d.probeNeighbour(s.Now, m.Zone)
		}
		if m.result == NoAnswer && m.repeats >= 2 && (s.Now-m.lastAlive() <= d.rules.Lease || m.probedAt > m.lastAlive()+d.rules.Lease) && s.Now-m.probedAt < 5*eventloop.Second {
			continue // it hangs, and reports on its own once it resumes
		}
		if m.result == Answered && s.Now-m.probedAt < d.rules.ReportInterval {
			continue // it is probed as often as it would report
		}
		if d.inFlight >= d.rules.MaxProbes {
			return
		}
		d.inFlight++
		m.probing, m.prevProbedAt, m.probedAt = true, m.probedAt, s.Now
		d.probe(m.Addr, func(w ProbeResult) {
			d.inFlight--
			m.probing = false
			d.recordResult(m, w)
		})
	}
}

// recordResult records the result of a probe.
func (d *Detector) recordResult(m *machine, w ProbeResult) {
	if z := d.zones[m.Zone]; m.result == w && !(w == NoConnection && z != nil && m.prevProbedAt < z.reachableSince) {
		m.repeats++
	} else {
		m.result, m.repeats = w, 1
	}
	d.meter.Probe(w.String())
	if w == Answered {
		m.answeredAt = m.probedAt
		d.setState(m, Alive, "it answers probes")
	}
}

// probeNeighbour probes one of a zone's machines whose reports arrive, to learn whether the zone is
// reachable from this controller.
func (d *Detector) probeNeighbour(now eventloop.Micros, name string) {
	z := d.zones[name]
	if z.probing || len(z.neighbours) == 0 || now-z.neighbourProbedAt < probeInterval {
		return
	}
	if now-z.neighbourProbedAt > neighbourEvidenceFor {
		z.reachableSince = 0 // whether the zone was reachable in between is unknown
	}
	z.probing = true
	addr := z.neighbours[int(now/probeInterval)%len(z.neighbours)]
	d.probe(addr, func(w ProbeResult) {
		z.probing = false
		z.neighbourProbedAt = now
		switch {
		case w != Answered:
			z.reachableSince = 0
		case z.reachableSince == 0:
			z.reachableSince = now
		}
	})
}
