// Package loss decides what became of machines that fell silent: whether they are dead,
// hang, or are merely out of sight. It looks at all of them at once, since a hundred
// machines that fall in one moment have one cause more often than a hundred.
//
// A verdict of Lost proves nothing. It is advice to the leader to have the machine
// deleted, and only the cloud's answer to that proves its tasks off.
package loss

import (
	"cmp"
	"log/slog"
	"slices"

	"cleatpick/internal/loop"
	"cleatpick/internal/metric"
)

// State names where a machine stands.
type State int

// The states of a machine. One that is heard has no entry here.
const (
	Heard    State = iota // its reports come in
	Late                  // it has missed reports; it is asked directly in its turn
	Alive                 // it answers when asked, but its reports reach nobody that this node hears
	Hung                  // it takes connections and answers nothing: it may go on within its lease
	OutOfWay              // no connection comes about, and nothing tells it from a cut on the way
	Dead                  // no connection comes about, while its neighbours answer
	Lost                  // nothing on it can be saved any more
	Deaf                  // its reports come in, and show nothing of what it was told
)

func (s State) String() string {
	return [...]string{"heard", "late", "alive", "hung", "outOfWay", "dead", "lost", "deaf"}[s]
}

// Word is what came of asking a machine directly.
type Word int

// The words of a probe.
const (
	None     Word = iota // not asked yet
	Answered             // it answered
	Mute                 // it took the connection, or refused it, and gave no answer
	NoWay                // no connection came about
)

func (w Word) String() string { return [...]string{"none", "answered", "mute", "noWay"}[w] }

// stray is for how long a machine may answer while its reports reach nobody, or report
// while it is deaf: as long as one that is out of sight is left. A worker that nobody answers has found another node by
// then, or ended its tasks; one that is answered has a host that is cut off from the rest,
// and what runs there is neither seen nor stopped. After that it is given up, whatever
// comes of it: a machine is neither used nor given up for no longer than this.
func (r *Rules) stray() loop.Micros { return r.leaseOver() + r.Out }

// Rules are the times by which is judged.
type Rules struct {
	Report loop.Micros // between reports
	Lease  loop.Micros // after which a worker without an answer ends its tasks
	Out    loop.Micros // how much longer what is out of sight is left alone
	Most   loop.Micros // silence after which a machine is lost in any case; 0: by the rest
	Probes int         // that may be under way at once
}

// late is the silence after which a machine is asked: a report has been missed and a
// moment has passed, but not yet two.
func (r *Rules) late() loop.Micros { return 3*r.Report/2 + 2*loop.Second }

// leaseOver is the silence after which its worker has certainly ended its tasks, or will
// before it does anything else, if nobody answered it meanwhile.
func (r *Rules) leaseOver() loop.Micros { return r.Lease + r.Lease/1000 + loop.Second }

// Facts are what is known of a machine at a look.
type Facts struct {
	Name, Zone, Addr string
	// Heard is when a report of it last showed that it hears, Told when any came. One that
	// only tells may be deaf, or gone: copies of its reports may come for long after it.
	Heard, Told loop.Micros
	Failed      bool // the cloud lists it as failed
	// Worth is for how much longer it is better left alone, since its zone is cut off or
	// was until now: what it takes to have another in its place.
	Worth loop.Micros
}

// Scene is what is known of all.
type Scene struct {
	Now loop.Micros
	// Blind tells that this node hears no peer: to it, everything looks silent.
	Blind bool
	// Unheard tells whether a peer in the zone is not heard: it may go on answering
	// workers that nobody else can see.
	Unheard func(zone string) bool
}

// Verdict is a machine that is lost.
type Verdict struct {
	Name string
	Why  string
}

type machine struct {
	Facts
	state  State
	word   Word
	times  int // that the word came in a row
	asking bool
	asked  loop.Micros
	before loop.Micros // when it was asked the time before
	// answered is when it last answered. That proves that it lives, and not that it serves:
	// taken for a report, it was called back every two seconds, fifty times over, while no
	// owner saw what ran on it.
	answered loop.Micros
}

// lives is when the machine was last known to live.
func (m *machine) lives() loop.Micros { return max(m.Heard, m.answered) }

// zone is what is known of the way to a zone's machines.
type zone struct {
	heard   int         // machines that are heard
	some    []string    // addresses of a few of them
	nearAt  loop.Micros // when one of these was last asked
	open    loop.Micros // since when neighbours answer without a break; 0: they do not
	asking  bool
	noWay   int // silent machines to which no connection came about since then
	unheard bool
}

// Judge follows the machines that are silent.
type Judge struct {
	r        Rules
	log      *slog.Logger
	meter    *metric.Meter
	probe    func(addr string, done func(Word))
	machines map[string]*machine
	zones    map[string]*zone
	probing  int
	moment   moment
}

// New makes a judge. probe asks a machine and calls done later, on the loop.
func New(r Rules, log *slog.Logger, meter *metric.Meter, probe func(addr string, done func(Word))) *Judge {
	return &Judge{r: r, log: log, meter: meter, probe: probe, machines: map[string]*machine{}, zones: map[string]*zone{}}
}

// setState is the one place where a machine's standing changes.
func (j *Judge) setState(m *machine, s State, why string) {
	if m.state == s {
		return
	}
	j.log.Debug("silent machine", "machine", m.Name, "zone", m.Zone, "from", m.state.String(), "to", s.String(), "why", why)
	m.state = s
}

// Forget drops what is known of a machine that is gone.
func (j *Judge) Forget(name string) { delete(j.machines, name) }

// Clear forgets everything, as when this node begins to lead.
func (j *Judge) Clear() {
	clear(j.machines)
	clear(j.zones)
	j.moment = moment{}
}

// Look judges all machines that each hands over, and tells which are lost.
func (j *Judge) Look(s Scene, each func(func(*Facts))) []Verdict {
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
		if s.Now-f.Heard <= j.r.late() && !f.Failed {
			z.heard++
			if len(z.some) < mostNear {
				z.some = append(z.some, f.Addr)
			}
			if m != nil {
				j.setState(m, Heard, "it reports")
				j.moment.back()
				delete(j.machines, f.Name)
			}
			return
		}
		if m == nil {
			m = &machine{state: Heard}
			j.machines[f.Name] = m
		}
		m.Facts = *f
		if m.state == Heard {
			j.setState(m, Late, "no report")
		}
		if m.word == NoWay && z.open != 0 && m.asked >= z.open && !m.asking {
			z.noWay++
		}
		if m.state != Lost {
			silent = append(silent, m)
		}
	})
	for name, z := range j.zones {
		z.unheard = s.Unheard != nil && s.Unheard(name)
	}
	// The longest silent first, by name where that is the same: they were asked first.
	slices.SortFunc(silent, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(a.Heard, b.Heard), cmp.Compare(a.Name, b.Name))
	})
	var out []Verdict
	for _, m := range silent {
		if why := j.judge(s, m); why != "" {
			j.setState(m, Lost, why)
			j.moment.lose(m, s.Now, why)
			out = append(out, Verdict{m.Name, why})
		}
	}
	j.ask(s, silent)
	j.follow(s.Now, fleet)
	return out
}

// judge tells why a machine is lost; empty while it may not be.
func (j *Judge) judge(s Scene, m *machine) string {
	if m.Failed {
		return "failed" // the cloud's word, which needs no silence
	}
	if s.Blind {
		return ""
	}
	silence := s.Now - m.lives()
	// Whoever goes on just before its lease is over is found by a last question.
	last := m.Addr == "" || (!m.asking && m.asked >= m.lives()+j.r.Lease)
	if j.r.Most > 0 && silence > j.r.Most {
		return "silent"
	}
	if m.Told > m.Heard && s.Now-m.Told <= max(j.r.late(), unanswered) {
		// Its worker's lease runs out, and what it runs ends with that, again and again. One
		// that hears again before is as good as before; asking it would tell nothing.
		j.setState(m, Deaf, "it reports, and shows nothing of what it was told")
		if s.Now-m.Heard > j.r.stray()+m.Worth {
			return "hears nobody"
		}
		return ""
	}
	if m.state == Deaf {
		j.setState(m, Late, "no report")
	}
	z := j.zones[m.Zone]
	over := j.r.leaseOver()
	switch m.word {
	case Answered:
		if s.Now-m.Heard > j.r.stray()+m.Worth {
			return "its reports reach nobody"
		}
		return ""
	case Mute:
		// It has power. Should it go on within its lease, its tasks have lost nothing.
		j.setState(m, Hung, "it takes connections")
		if silence > over && last {
			return "hung beyond its lease"
		}
		return ""
	case NoWay:
		if j.dead(s.Now, m, z) {
			j.setState(m, Dead, "its neighbours answer")
			return "dead"
		}
		j.setState(m, OutOfWay, "no way to it")
	}
	if z.heard == 0 || z.unheard || m.word == NoWay {
		over += j.r.Out
	}
	over += m.Worth
	if silence > over && last {
		return "silent beyond its lease"
	}
	return ""
}

const (
	// unanswered is the longest time between two reports of a worker that nobody answers: it
	// waits 4 s, and tries the next node a second later. What is silent for less may be deaf,
	// and is not called dead for not taking connections; nor is what was deaf when last heard of.
	unanswered = 6 * loop.Second
	// several is how many machines of a zone must have fallen together for one vain
	// attempt at each to do: they bear each other out.
	several = 5
	// nearFresh is for how long a neighbour's answer tells of the way to its zone.
	nearFresh = 5 * loop.Second
	mostNear  = 3
	again     = 1200 * loop.Millisecond
)

// dead tells whether a machine to which no connection came about has stopped: its zone
// must be in sight, by the reports of others there and by one that answered just now; and
// it must have been asked since the zone came into sight. What was asked in vain during a
// cut says nothing once the cut is over.
func (j *Judge) dead(now loop.Micros, m *machine, z *zone) bool {
	if z.heard == 0 || z.unheard || z.open == 0 || now-z.nearAt > nearFresh || m.asked < z.open || m.asking || now-m.Heard < unanswered || m.Told > m.Heard {
		return false
	}
	return m.times >= 2 || z.noWay >= several
}

// ask sends probes: to silent machines, never more than a few at once, and to a
// neighbour wherever a connection did not come about.
func (j *Judge) ask(s Scene, silent []*machine) {
	if s.Blind {
		return
	}
	for _, m := range silent {
		if m.state == Lost || m.state == Deaf || m.asking || m.Addr == "" || s.Now-m.asked < again && m.word != None {
			continue
		}
		if m.word == NoWay {
			j.askNear(s.Now, m.Zone)
		}
		if m.word == Mute && m.times >= 2 && (s.Now-m.lives() <= j.r.Lease || m.asked > m.lives()+j.r.Lease) && s.Now-m.asked < 5*loop.Second {
			continue // it hangs, and reports by itself once it goes on
		}
		if m.word == Answered && s.Now-m.asked < j.r.Report {
			continue // asked as often as it would report
		}
		if j.probing >= j.r.Probes {
			return
		}
		j.probing++
		m.asking, m.before, m.asked = true, m.asked, s.Now
		j.probe(m.Addr, func(w Word) {
			j.probing--
			m.asking = false
			j.answer(m, w)
		})
	}
}

// answer takes in what came of asking a machine.
func (j *Judge) answer(m *machine, w Word) {
	if z := j.zones[m.Zone]; m.word == w && !(w == NoWay && z != nil && m.before < z.open) {
		m.times++
	} else {
		m.word, m.times = w, 1
	}
	j.meter.Probe(w.String())
	if w == Answered {
		m.answered = m.asked
		j.setState(m, Alive, "it answers")
	}
}

func (j *Judge) askNear(now loop.Micros, name string) {
	z := j.zones[name]
	if z.asking || len(z.some) == 0 || now-z.nearAt < again {
		return
	}
	if now-z.nearAt > nearFresh {
		z.open = 0 // nothing is known of the time between
	}
	z.asking = true
	addr := z.some[int(now/again)%len(z.some)]
	j.probe(addr, func(w Word) {
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
