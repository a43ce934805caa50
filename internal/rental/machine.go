package rental

import (
	"cleatpick/internal/agent"
	"cleatpick/internal/loop"
	"cleatpick/internal/loss"
	"cleatpick/internal/peer"
	"maps"
	"slices"
	"strings"
)

// MachineState names where a rented machine stands.
type MachineState int

// The states of a machine.
const (
	Booting  MachineState = iota // rented, not heard yet
	Up                           // heard
	Draining                     // not needed: takes no starts, what can save itself moves
	Closing                      // its host is asked to keep starts off it
	Deleting                     // the cloud is asked to delete it
	Gone                         // the cloud has deleted it
)

func (s MachineState) String() string {
	return [...]string{"booting", "up", "draining", "closing", "deleting", "gone"}[s]
}

type machine struct {
	name     string
	typ      string
	zone     string
	spot     bool
	state    MachineState
	since    loop.Micros // when it was rented, as far as known
	heard    loop.Micros // when it last showed that it hears; 0: it never told this leader anything
	told     loop.Micros // when any report of it came
	listed   string      // the cloud's word for it
	emptyTo  loop.Micros // end of its standby; 0: not empty
	why      string
	deleteAt loop.Micros // since when it waits for its deletion
	lost     bool        // what ran on it is to be proven off by that
	asked    loop.Micros
	firstSaw loop.Micros
	rented   bool        // by this leader, so that since is exact
	spareTo  loop.Micros // end of the standby of a machine that is not needed; 0: needed
}

func (t *Rental) adopt(name, typ, zone string, spot bool) *machine {
	if t.agent.IsGone(name) {
		return nil
	}
	m := t.machines[name]
	if m == nil {
		now := t.r.Now()
		m = &machine{name: name, typ: typ, zone: zone, spot: spot, since: now, firstSaw: now}
		t.machines[name] = m
		t.byOrder = nil
	}
	if m.typ == "" {
		// An owner that misses it named it first, and knows nothing else of it. A new leader
		// once took 408 machines behind a cut for machines of no zone, and had them deleted
		// two seconds before the cut was over.
		m.typ, m.zone, m.spot = typ, zone, spot
	}
	return m
}

// sorted lists the machines by name.
func (t *Rental) sorted() []*machine {
	if t.byOrder == nil {
		t.byOrder = slices.SortedFunc(maps.Values(t.machines), func(a, b *machine) int { return strings.Compare(a.name, b.name) })
	}
	return t.byOrder
}

// setState is the one place where a machine changes state.
func (t *Rental) setState(m *machine, s MachineState, why string) {
	if m.state == s {
		return
	}
	t.log.Info("machine", "name", m.name, "type", m.typ, "zone", m.zone, "spot", m.spot, "from", m.state.String(), "to", s.String(), "why", why)
	m.state, m.why = s, why
	delete(t.deleting, m.name)
	if s == Deleting {
		m.deleteAt = t.r.Now()
		t.deleting[m.name] = m
	}
}

// lose has a machine deleted that is lost.
func (t *Rental) lose(m *machine, why string) {
	m.lost = true
	t.setState(m, Deleting, why)
}

// View takes in that a machine was heard, as far as it reported: to a new leader the first sight
// of one is as good as a report, since it was not there to get any.
func (t *Rental) View(v *agent.View) {
	if !t.leads {
		return
	}
	m := t.adopt(v.Name, v.Type, v.Zone, v.Spot)
	if m == nil {
		return
	}
	at := max(t.r.Now()-v.Silence(t.r.Wall(), t.cfg.ClockDifference()), t.started)
	m.told = max(m.told, at)
	if v.Settled || m.heard == 0 {
		m.heard = max(m.heard, at)
	}
	if m.state == Booting {
		if typ, ok := t.byName[m.typ]; ok && typ.BootS > 0 && m.rented {
			// In boot times, so that types can share what is known: one is a second.
			t.boots.Add(loop.Micros(float64(t.r.Now()-m.since) / typ.BootS))
		}
		t.setState(m, Up, "heard")
	}
	if empty(v) {
		if m.emptyTo == 0 {
			m.emptyTo = t.r.Now() + t.standby(m)
		}
	} else {
		m.emptyTo = 0
		if m.state == Closing && m.why == "idle" && !v.Closed {
			t.setState(m, Up, "in use again")
		}
	}
}

func empty(v *agent.View) bool {
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

// standby draws how long an empty machine is kept.
func (t *Rental) standby(m *machine) loop.Micros {
	mean := t.cfg.Operator.StandbyMeanS
	if !m.spot {
		mean = t.cfg.Operator.OrdinaryStandbyMeanS
	}
	return loop.Seconds(t.rand.ExpFloat64() * mean)
}

// judge looks over all machines: who has booted for too long, who is lost, who is empty
// and past its standby.
func (t *Rental) judge() {
	now := t.r.Now()
	suspects := t.suspects(now)
	t.spare(now)
	worth := t.worth()
	t.judgeSilent(now, worth)
	for _, m := range t.sorted() {
		switch m.state {
		case Booting:
			t.judgeBoot(m, now, suspects[m.name], worth)
		case Up:
			switch v := t.agent.View(m.name); {
			case t.n.Faulty(m.name):
				t.setState(m, Closing, "fails tasks")
			case m.emptyTo != 0 && now > m.emptyTo && v != nil && empty(v):
				t.setState(m, Closing, "idle")
			}
		case Draining, Closing:
			t.judgeClosing(m, now)
		}
	}
}

// suspects are machines that hold tasks and that the tasks' owners do not hear.
func (t *Rental) suspects(now loop.Micros) map[string]bool {
	out := map[string]bool{}
	for from, y := range t.tallies {
		if now-t.tallyAt[from] < 5*loop.Second {
			for _, name := range y.Suspect {
				out[name] = true
			}
		}
	}
	for name := range out {
		t.adopt(name, "", "", false)
	}
	return out
}

// judgeSilent has all machines that were heard before judged at once.
func (t *Rental) judgeSilent(now loop.Micros, worth func(*machine) loop.Micros) {
	scene := loss.Scene{Now: now, Blind: t.n.Isolated() || now-t.started < 2*loop.Second, Unheard: t.n.Unheard}
	for _, x := range t.losses.Look(scene, func(yield func(*loss.Facts)) {
		for _, m := range t.sorted() {
			if m.state != Up && m.state != Draining && m.state != Closing {
				continue
			}
			f := loss.Facts{Name: m.name, Zone: m.zone, Heard: m.heard, Told: m.told, Failed: m.listed == "failed", Worth: worth(m)}
			if v := t.agent.View(m.name); v != nil {
				f.Addr = v.Addr
			}
			yield(&f)
		}
	}) {
		t.lose(t.machines[x.Name], x.Why)
	}
}

func (t *Rental) judgeBoot(m *machine, now loop.Micros, suspect bool, worth func(*machine) loop.Micros) {
	report, lease := loop.Seconds(t.cfg.Cluster.Workers.ReportS), loop.Seconds(t.cfg.Cluster.Workers.LeaseS)
	typ, known := t.byName[m.typ]
	boot := loop.Seconds(typ.BootS)
	if !known {
		boot = 60 * loop.Second
	}
	limit := loop.Micros(float64(boot)*t.cfg.Operator.BootStuckTimes) + 5*loop.Second
	switch {
	case m.listed == "failed":
		t.lose(m, "failed")
	case m.listed == "booting" || (m.listed == "" && !suspect):
		if now-m.since > limit && now-t.started > 5*loop.Second {
			t.setState(m, Deleting, "never came up")
		}
	default:
		// Listed as running, or holding tasks, yet never heard by this
		// leader: its worker gets the time to find a new host. In a zone that is out of
		// sight it gets what a machine gets that was heard before: a leader that began
		// during a cut deleted half a fleet two seconds before the cut was over.
		limit := max(lease, 2*report+8*loop.Second) + 3*loop.Second
		if t.n.Unheard(m.zone) {
			limit += outOfSight + worth(m)
		}
		if now-m.firstSaw > limit {
			t.lose(m, "not heard")
		}
	}
}

func (t *Rental) judgeClosing(m *machine, now loop.Micros) {
	v := t.agent.View(m.name)
	if v == nil {
		t.setState(m, Deleting, m.why)
		return
	}
	if now-m.asked > loop.Second {
		m.asked = now
		t.n.Close(v.Host, peer.StartBlock{Machine: m.name, Until: t.r.Wall() + 12*loop.Second})
	}
	if v.Closed && empty(v) && now-m.heard < 2*loop.Seconds(t.cfg.Cluster.Workers.ReportS)+2*loop.Second {
		t.setState(m, Deleting, m.why)
	}
}

// probe asks a machine directly.
func (t *Rental) probe(addr string, done func(loss.Word)) {
	t.r.Go(func() {
		w := t.n.Probe(addr)
		t.r.Post(func() { done(w) })
	})
}
