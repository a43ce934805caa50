// Package loss is the failure detector for machines whose reports stopped. It decides which
// of them have stopped, which hang and which are merely unreachable, from the reports, from
// probes of the machines and from probes of their neighbours in the zone. It evaluates all
// machines together, since many failures within a short time mostly have one common cause.
//
// A verdict of Lost proves nothing. It advises the leader to have the machine deleted; only
// the cloud's confirmation of the deletion proves that its tasks are terminated.
package loss

import (
	"cmp"
	"log/slog"
	"slices"

	"cleatpick/internal/loop"
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

// stray is how long a machine may answer probes while its reports reach nobody, or report
// while it is unresponsive to commands: as long as an unreachable one is left alone. By then
// a worker that gets no answers has found another controller or ended its tasks. One that
// does get answers has a host controller that is cut off from the others, and its tasks can
// neither be observed nor stopped. After this time the machine is declared failed, so that
// no machine is unusable without a verdict for longer.
func (r *Rules) stray() loop.Micros { return r.leaseOver() + r.UnreachableGrace }

// Rules holds the limits by which machines are evaluated.
type Rules struct {
	ReportInterval   loop.Micros // interval between reports
	Lease            loop.Micros // time without an answer after which a worker ends its tasks
	UnreachableGrace loop.Micros // additional time for which an unreachable machine is left alone
	MaxSilence       loop.Micros // silence after which a machine is declared failed in any case; 0: no such limit
	MaxProbes        int         // largest number of probes in flight
}

// late is the silence after which a machine is probed: one report and a half are overdue,
// and 2 s have passed for delays on the way.
func (r *Rules) late() loop.Micros { return 3*r.ReportInterval/2 + 2*loop.Second }

// leaseOver is the silence after which the machine's worker has certainly ended its tasks,
// or does so before anything else, if nobody answered it meanwhile.
func (r *Rules) leaseOver() loop.Micros { return r.Lease + r.Lease/1000 + loop.Second }

// Facts holds what is known of a machine at the time of an evaluation.
type Facts struct {
	Name, Zone, Addr string
	// LastConfirmed is the time of its last report that showed that answers reach it, Told that of
	// its last report of any kind. A machine with newer reports of the second kind only may
	// be unresponsive or stopped: delayed copies of its reports may arrive long afterwards.
	LastConfirmed, Told loop.Micros
	Failed              bool // the cloud lists it as failed
	// RetainFor is the additional time for which it is left alone because its zone is, or was
	// until recently, disconnected: the time that it takes to replace the machine.
	RetainFor loop.Micros
}

// ClusterFacts holds what is known of the cluster as a whole at the time of an evaluation.
type ClusterFacts struct {
	Now loop.Micros
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
	state  State
	word   ProbeResult
	times  int // number of consecutive probes with this result
	asking bool
	asked  loop.Micros
	before loop.Micros // when the probe before the last one was sent
	// answered is when it last answered a probe. That proves that it runs, not that it can be
	// used: treated like a report, it would make the machine alternate between available and
	// late while no owner gets the state of its tasks.
	answered loop.Micros
}

// lives returns when the machine was last known to run.
func (m *machine) lives() loop.Micros { return max(m.LastConfirmed, m.answered) }

// zone is what is known of the network path to a zone's machines.
type zone struct {
	heard   int         // number of machines whose reports arrive
	some    []string    // addresses of a few of them, the neighbours to probe
	nearAt  loop.Micros // when one of these was last probed
	open    loop.Micros // since when neighbours have answered without interruption; 0: they do not
	asking  bool
	noWay   int // silent machines to which no connection could be made since then
	unheard bool
}

// Detector evaluates the machines that are silent.
type Detector struct {
	r        Rules
	log      *slog.Logger
	meter    *metric.Meter
	probe    func(addr string, done func(ProbeResult))
	machines map[string]*machine
	zones    map[string]*zone
	probing  int
	moment   moment
}

// New returns a failure detector. probe probes a machine and calls done later, on the event
// loop.
func New(r Rules, log *slog.Logger, meter *metric.Meter, probe func(addr string, done func(ProbeResult))) *Detector {
	return &Detector{r: r, log: log, meter: meter, probe: probe, machines: map[string]*machine{}, zones: map[string]*zone{}}
}

// setState is the only place where a machine's state changes.
func (j *Detector) setState(m *machine, s State, why string) {
	if m.state == s {
		return
	}
	j.log.Debug("state of a silent machine changed", "machine", m.Name, "zone", m.Zone, "from", m.state.String(), "to", s.String(), "why", why)
	m.state = s
}

// Forget removes a deleted machine.
func (j *Detector) Forget(name string) { delete(j.machines, name) }

// Clear resets the detector, as when this controller becomes the leader.
func (j *Detector) Clear() {
	clear(j.machines)
	clear(j.zones)
	j.moment = moment{}
}

// Evaluate evaluates all machines that each yields and returns those that are declared failed.
func (j *Detector) Evaluate(s ClusterFacts, each func(func(*Facts))) []Verdict {
	for _, z := range j.zones {
		z.heard, z.noWay, z.some = 0, 0, z.some[:0]
	}
	fleet := 0
	var silent []*machine
	each(func(f *Facts) {
		fleet++
		z := j.zones[f.Zone]
		if z == nil {
			z = &zone{}
			j.zones[f.Zone] = z
		}
		m := j.machines[f.Name]
		if s.Now-f.LastConfirmed <= j.r.late() && !f.Failed {
			z.heard++
			if len(z.some) < mostNear {
				z.some = append(z.some, f.Addr)
			}
			if m != nil {
				j.setState(m, Reporting, "its reports arrive again")
				j.moment.back()
				delete(j.machines, f.Name)
			}
			return
		}
		if m == nil {
			m = &machine{state: Reporting}
			j.machines[f.Name] = m
		}
		m.Facts = *f
		if m.state == Reporting {
			j.setState(m, Late, "no report")
		}
		if m.word == NoConnection && z.open != 0 && m.asked >= z.open && !m.asking {
			z.noWay++
		}
		if m.state != DeclaredFailed {
			silent = append(silent, m)
		}
	})
	for name, z := range j.zones {
		z.unheard = s.PeerUnreachable != nil && s.PeerUnreachable(name)
	}
	// The machines that have been silent longest come first, since they were probed first;
	// equal ones are ordered by name.
	slices.SortFunc(silent, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(a.LastConfirmed, b.LastConfirmed), cmp.Compare(a.Name, b.Name))
	})
	var out []Verdict
	for _, m := range silent {
		if why := j.judge(s, m); why != "" {
			j.setState(m, DeclaredFailed, why)
			j.moment.lose(m, s.Now, why)
			out = append(out, Verdict{m.Name, why})
		}
	}
	j.ask(s, silent)
	j.follow(s.Now, fleet)
	return out
}

// judge returns the reason why a machine is declared failed, or "" if it is not.
func (j *Detector) judge(s ClusterFacts, m *machine) string {
	if m.Failed {
		return "failed" // the cloud's statement suffices, whether or not it is silent
	}
	if s.Isolated {
		return ""
	}
	silence := s.Now - m.lives()
	// A last probe after the lease finds a machine that resumed just before its lease ended.
	last := m.Addr == "" || (!m.asking && m.asked >= m.lives()+j.r.Lease)
	if j.r.MaxSilence > 0 && silence > j.r.MaxSilence {
		return "silent"
	}
	if m.Told > m.LastConfirmed && s.Now-m.Told <= max(j.r.late(), unanswered) {
		// Its worker's lease expires, which ends its tasks, time and again. If answers reach
		// it again before the limit it is available as before. A probe would show nothing new.
		j.setState(m, Unresponsive, "it reports, but no answer or command reaches it")
		if s.Now-m.LastConfirmed > j.r.stray()+m.RetainFor {
			return "hears nobody"
		}
		return ""
	}
	if m.state == Unresponsive {
		j.setState(m, Late, "no report")
	}
	z := j.zones[m.Zone]
	over := j.r.leaseOver()
	switch m.word {
	case Answered:
		if s.Now-m.LastConfirmed > j.r.stray()+m.RetainFor {
			return "its reports reach nobody"
		}
		return ""
	case NoAnswer:
		// It is not powered off. If it resumes within its lease, its tasks have lost nothing.
		j.setState(m, Hung, "it accepts or refuses connections without an answer")
		if silence > over && last {
			return "hung beyond its lease"
		}
		return ""
	case NoConnection:
		if j.dead(s.Now, m, z) {
			j.setState(m, Dead, "connections fail while its neighbours answer")
			return "dead"
		}
		j.setState(m, Unreachable, "connections fail")
	}
	if z.heard == 0 || z.unheard || m.word == NoConnection {
		over += j.r.UnreachableGrace
	}
	over += m.RetainFor
	if silence > over && last {
		return "silent beyond its lease"
	}
	return ""
}

const (
	// unanswered is the longest time between two reports of a worker that gets no answers: it
	// waits 4 s for an answer and tries the next controller a second later. A machine silent
	// for less may be unresponsive to commands, and is not declared dead because connections
	// fail; nor is one that was unresponsive when its last report arrived.
	unanswered = 6 * loop.Second
	// several is the number of machines of a zone that must be unreachable together for one
	// failed connection to each to suffice: they confirm each other.
	several = 5
	// nearFresh is how long a neighbour's answer is evidence that its zone is reachable.
	nearFresh = 5 * loop.Second
	mostNear  = 3                       // neighbours of a zone that are probed in turn
	again     = 1200 * loop.Millisecond // least time between two probes of one target
)

// dead reports whether a machine to which no connection can be made has stopped. Its zone
// must be reachable, as shown by the reports of other machines there and by a neighbour that
// has just answered a probe, and the machine must have been probed since the zone became
// reachable: a connection that failed during a network partition is no evidence after it.
func (j *Detector) dead(now loop.Micros, m *machine, z *zone) bool {
	if z.heard == 0 || z.unheard || z.open == 0 || now-z.nearAt > nearFresh || m.asked < z.open || m.asking || now-m.LastConfirmed < unanswered || m.Told > m.LastConfirmed {
		return false
	}
	return m.times >= 2 || z.noWay >= several
}

// ask sends probes: to silent machines, with a bound on those in flight, and to a neighbour
// wherever a connection failed.
func (j *Detector) ask(s ClusterFacts, silent []*machine) {
	if s.Isolated {
		return
	}
	for _, m := range silent {
		if m.state == DeclaredFailed || m.state == Unresponsive || m.asking || m.Addr == "" || s.Now-m.asked < again && m.word != NotProbed {
			continue
		}
		if m.word == NoConnection {
			j.askNear(s.Now, m.Zone)
		}
		if m.word == NoAnswer && m.times >= 2 && (s.Now-m.lives() <= j.r.Lease || m.asked > m.lives()+j.r.Lease) && s.Now-m.asked < 5*loop.Second {
			continue // it hangs, and reports on its own once it resumes
		}
		if m.word == Answered && s.Now-m.asked < j.r.ReportInterval {
			continue // it is probed as often as it would report
		}
		if j.probing >= j.r.MaxProbes {
			return
		}
		j.probing++
		m.asking, m.before, m.asked = true, m.asked, s.Now
		j.probe(m.Addr, func(w ProbeResult) {
			j.probing--
			m.asking = false
			j.answer(m, w)
		})
	}
}

// answer records the result of a probe.
func (j *Detector) answer(m *machine, w ProbeResult) {
	if z := j.zones[m.Zone]; m.word == w && !(w == NoConnection && z != nil && m.before < z.open) {
		m.times++
	} else {
		m.word, m.times = w, 1
	}
	j.meter.Probe(w.String())
	if w == Answered {
		m.answered = m.asked
		j.setState(m, Alive, "it answers probes")
	}
}

// askNear probes one of a zone's machines whose reports arrive, to learn whether the zone is
// reachable from this controller.
func (j *Detector) askNear(now loop.Micros, name string) {
	z := j.zones[name]
	if z.asking || len(z.some) == 0 || now-z.nearAt < again {
		return
	}
	if now-z.nearAt > nearFresh {
		z.open = 0 // whether the zone was reachable in between is unknown
	}
	z.asking = true
	addr := z.some[int(now/again)%len(z.some)]
	j.probe(addr, func(w ProbeResult) {
		z.asking = false
		z.nearAt = now
		switch {
		case w != Answered:
			z.open = 0
		case z.open == 0:
			z.open = now
		}
	})
}
