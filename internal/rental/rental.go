// Package rental is the leader's: it turns the tally of missed requests into
// orders, gives empty machines back after a random standby, and deletes machines
// that fell silent, which is the only proof that their tasks are gone.
package rental

import (
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/url"
	"sort"
	"strings"

	"cleatpick/internal/agent"
	"cleatpick/internal/config"
	"cleatpick/internal/explain"
	"cleatpick/internal/loop"
	"cleatpick/internal/member"
	"cleatpick/internal/metric"
	"cleatpick/internal/peer"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// The keys of this slice.
const (
	OrderKeys  = "c/o/"
	GoneKeys   = "c/g/"
	CatalogKey = "c/k"
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
	heard    loop.Micros // 0: never by this leader
	listed   string      // the cloud's word for it
	emptyTo  loop.Micros // end of its standby; 0: not empty
	why      string
	probing  bool
	probes   int
	asked    loop.Micros
	firstSaw loop.Micros
	rented   bool        // by this leader, so that since is exact
	spareTo  loop.Micros // end of the standby of a machine that is not needed; 0: needed
}

// Order is a recorded rental request. Its name is never used again.
type Order struct {
	Type     string   `cbor:"t"`
	Zone     string   `cbor:"z"`
	Spot     bool     `cbor:"s"`
	Count    int      `cbor:"n"`
	At       int64    `cbor:"at"`
	Machines []string `cbor:"m,omitempty"`
	Answered bool     `cbor:"a,omitempty"`
}

type order struct {
	name     string
	o        Order
	mark     uint64
	placed   bool // recorded
	busy     bool
	refused  bool
	tries    int
	nextTry  loop.Micros
	finished loop.Micros
}

// GoneRecord lists deleted machines.
type GoneRecord struct {
	Machines []string `cbor:"m"`
	At       int64    `cbor:"at"`
}

type catalogRecord struct {
	Types []wire.MachineType `cbor:"t"`
}

type offer struct {
	typ, zone string
	spot      bool
}

type backoff struct {
	until loop.Micros
	wait  loop.Micros
}

// Node is what this slice needs of the node around it.
type Node struct {
	// Close asks a machine's host to keep starts off it.
	Close func(host string, c peer.Close)
	// Unheard tells whether a peer in this zone was not heard lately: it may go on
	// answering workers that nobody else can see.
	Unheard func(zone string) bool
	// Entitled tells whether this node's lease certainly holds, and Isolated whether
	// it hears no peer at all.
	Entitled func() bool
	Isolated func() bool
	// Cordoned tells whether no machine of this type, zone and kind takes starts; it may be nil.
	Cordoned func(typ, zone string, spot bool) bool
	// Faulty tells whether a machine fails tasks of several jobs.
	Faulty func(machine string) bool
	// Probe asks a worker for its report; it blocks, and runs off the loop.
	Probe func(addr string) bool
	Meter *metric.Meter // may be nil
}

// Rental is the leader's part.
type Rental struct {
	r        loop.Runner
	log      *slog.Logger
	cfg      *config.Config
	c        *store.Client
	m        *store.Mirror
	cloud    store.Doer
	agent    *agent.Agent
	n        Node
	leads    bool
	claim    member.Owner
	started  loop.Micros
	types    []wire.MachineType
	byName   map[string]wire.MachineType
	machines map[string]*machine
	orders   map[string]*order
	tallies  map[string]peer.Tally
	tallyAt  map[string]loop.Micros
	offers   map[offer]*backoff
	seq      int
	allow    float64 // calls that may be made now
	allowAt  loop.Micros
	pauseTo  loop.Micros
	calling  bool
	listAt   loop.Micros
	catAt    loop.Micros
	listed   bool // a list was read in this leadership
	spareAt  loop.Micros
	judged   loop.Micros
	boots    *explain.Dist       // how long machines took to boot, in their nominal times
	deleted  map[string][]string // machines by the record of their deletion
	// OnGone is called once for every machine that is known to be deleted.
	OnGone func(string)
}

// New makes the rental slice.
func New(r loop.Runner, log *slog.Logger, cfg *config.Config, c *store.Client, m *store.Mirror, cloud store.Doer, a *agent.Agent, n Node) *Rental {
	t := &Rental{r: r, log: log, cfg: cfg, c: c, m: m, cloud: cloud, agent: a, n: n, byName: map[string]wire.MachineType{},
		tallies: map[string]peer.Tally{}, tallyAt: map[string]loop.Micros{}, deleted: map[string][]string{}, boots: explain.NewDist()}
	m.On(CatalogKey, func(key string, e store.Entry) {
		var rec catalogRecord
		if e.Mark == 0 {
			return
		}
		if err := wire.Unmarshal(e.Value, &rec); err != nil {
			log.Error("corrupt record set aside", "key", key, "err", err)
			return
		}
		t.setCatalog(rec.Types)
	})
	m.On(GoneKeys, func(key string, e store.Entry) {
		var rec GoneRecord
		if e.Mark == 0 {
			a.Forget(t.deleted[key])
			delete(t.deleted, key)
			return
		}
		if err := wire.Unmarshal(e.Value, &rec); err != nil {
			log.Error("corrupt record set aside", "key", key, "err", err)
			return
		}
		t.deleted[key] = rec.Machines
		for _, name := range rec.Machines {
			t.gone(name)
		}
	})
	loop.Every(r, 60*loop.Second, t.sweep)
	loop.Every(r, 50*loop.Millisecond, t.tick)
	return t
}

func (t *Rental) setCatalog(types []wire.MachineType) {
	t.types = types
	clear(t.byName)
	for _, x := range types {
		t.byName[x.Name] = x
	}
}

// Types lists the machine types, none while the catalog is not known.
func (t *Rental) Types() []wire.MachineType { return t.types }

// Type finds a machine type.
func (t *Rental) Type(name string) (wire.MachineType, bool) {
	x, ok := t.byName[name]
	return x, ok
}

// Lead is told when this node gains or loses the leadership.
func (t *Rental) Lead(leads bool, claim member.Owner) {
	t.leads, t.claim = leads, claim
	if !leads {
		return
	}
	// A new leader rebuilds its picture from recorded orders, reports and the
	// cloud's list.
	t.started = t.r.Now()
	t.machines, t.orders, t.offers = map[string]*machine{}, map[string]*order{}, map[offer]*backoff{}
	t.listAt, t.catAt, t.listed = 0, 0, false
	t.seq = 0
	for _, key := range t.m.Under(OrderKeys) {
		e, _ := t.m.Get(key)
		var o Order
		if err := wire.Unmarshal(e.Value, &o); err != nil {
			t.log.Error("corrupt record set aside", "key", key, "err", err)
			continue
		}
		name := strings.TrimPrefix(key, OrderKeys)
		t.orders[name] = &order{name: name, o: o, mark: e.Mark, placed: true}
		if o.Answered {
			t.orders[name].finished = t.r.Now()
			for _, m := range o.Machines {
				t.adopt(m, o.Type, o.Zone, o.Spot)
			}
		}
	}
	t.agent.Views(t.View)
	t.log.Info("leading", "orders", len(t.orders), "machines", len(t.machines))
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
	}
	return m
}

// setState is the one place where a machine changes state.
func (t *Rental) setState(m *machine, s MachineState, why string) {
	if m.state == s {
		return
	}
	t.log.Info("machine", "name", m.name, "type", m.typ, "zone", m.zone, "spot", m.spot, "from", m.state.String(), "to", s.String(), "why", why)
	m.state, m.why = s, why
}

// View takes in that a machine was heard.
func (t *Rental) View(v *agent.View) {
	if !t.leads {
		return
	}
	m := t.adopt(v.Name, v.Type, v.Zone, v.Spot)
	if m == nil {
		return
	}
	m.heard, m.probes = t.r.Now(), 0
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
	return loop.Seconds(rand.ExpFloat64() * mean)
}

// Tally takes in an owner's list of misses.
func (t *Rental) Tally(from string, y peer.Tally) {
	old := t.tallies[from]
	off := loop.Micros(t.cfg.Cluster.ClockOffMS*2*1000) + 5*loop.Second
	if y.Wall <= old.Wall || t.r.Wall()-y.Wall > off {
		return // repeated, or held back on its way
	}
	t.tallies[from], t.tallyAt[from] = y, t.r.Now()
}

// Asked tells whether the machine types are known, so that submissions can be judged.
func (t *Rental) Asked() bool { return len(t.types) > 0 }

func (t *Rental) tick() {
	if !t.leads || !t.n.Entitled() {
		// A leader that cannot renew its lease has been replaced, or soon will be:
		// to it the whole fleet looks silent, and a deletion held on its way would
		// be carried out long after.
		return
	}
	if now := t.r.Now(); now-t.judged >= 200*loop.Millisecond {
		t.judged = now
		t.judge()
	}
	now := t.r.Now()
	if !t.mayCall(now) {
		return
	}
	switch {
	case t.catAt == 0 || now-t.catAt > 45*loop.Second:
		t.fetchCatalog()
	case !t.listed:
		t.list("", nil)
	case t.deleteSome():
	case t.sendOrder():
	case now-t.listAt > max(5*loop.Second, loop.Seconds(t.cfg.Cluster.Cloud.ListLagS)):
		t.list("", nil)
	default:
		t.recordOrders()
	}
}

// mayCall tells whether the pacing lets a cloud call go out now. The cloud allows
// bursts worth two seconds; when all machines are to be rented at once, these count.
func (t *Rental) mayCall(now loop.Micros) bool {
	rate := 0.95 * t.cfg.Cluster.Cloud.RPS
	if gap := t.cfg.Operator.CloudCallS; gap > 0 {
		rate = 1 / gap
	}
	if t.allowAt != 0 {
		t.allow += float64(now-t.allowAt) / 1e6 * rate
	}
	if most := max(1.8*rate-1, 1); t.allow > most || t.allowAt == 0 {
		t.allow = most
	}
	t.allowAt = now
	return !t.calling && now >= t.pauseTo && t.allow >= 1
}

// call makes one paced cloud call.
func (t *Rental) call(method, path string, body any, timeout loop.Micros, cb func(store.Response)) {
	t.calling = true
	t.allow--
	var raw []byte
	if body != nil {
		raw = wire.Marshal(body)
	}
	t.r.Go(func() {
		resp := t.cloud.Do(method, path, raw, loop.Duration(timeout))
		t.r.Post(func() {
			t.calling = false
			if resp.Err != nil || resp.Status == 429 || (resp.Status == 503 && !strings.Contains(string(resp.Body), "capacity")) {
				t.pauseTo = t.r.Now() + 600*loop.Millisecond
			}
			t.n.Meter.Cloud(metric.Outcome(resp.Status, resp.Err))
			cb(resp)
		})
	})
}

func (t *Rental) fetchCatalog() {
	t.call("GET", "/catalog", nil, 4*loop.Second, func(resp store.Response) {
		var c wire.Catalog
		if resp.Err != nil || resp.Status != 200 || wire.Unmarshal(resp.Body, &c) != nil || len(c.Types) == 0 {
			t.log.Info("no catalog", "status", resp.Status, "err", resp.Err)
			return
		}
		good := c.Types[:0:0]
		for _, x := range c.Types {
			if x.Name == "" || !(x.CPUs > 0) || x.MemoryGB < 0 || !(x.Price > 0) || len(x.Zones) == 0 || math.IsInf(x.CPUs, 0) {
				t.log.Error("catalog entry set aside", "type", x.Name)
				continue
			}
			good = append(good, x)
		}
		t.catAt = t.r.Now()
		t.setCatalog(good)
		ch := wire.Change{Put: CatalogKey, Value: catalogRecord{good}}
		t.c.Txn(store.Background, wire.Txn{If: []wire.Cond{member.LeaderCond(t.claim)}, Then: []wire.Change{ch}}, func(r store.Result) {
			if r.Outcome == store.Applied {
				t.m.Apply(CatalogKey, wire.Marshal(ch.Value), r.Tally, false)
			}
		})
	})
}

// list reads the cloud's list of machines, page by page. The list lags, so a
// missing machine proves nothing; a listed one is there.
func (t *Rental) list(since string, all []wire.Listed) {
	path := "/machines?limit=500"
	if since != "" {
		path += "&since=" + url.QueryEscape(since)
	}
	t.call("GET", path, nil, 4*loop.Second, func(resp store.Response) {
		var l wire.Listing
		if !t.leads || resp.Err != nil || resp.Status != 200 || wire.Unmarshal(resp.Body, &l) != nil {
			return
		}
		all = append(all, l.Machines...)
		if l.More && len(l.Machines) > 0 {
			t.list(l.Machines[len(l.Machines)-1].Name, all)
			return
		}
		t.listAt, t.listed = t.r.Now(), true
		for _, x := range all {
			m := t.adopt(x.Name, x.Type, x.Zone, x.Spot)
			if m == nil {
				continue
			}
			m.listed = x.State
			if x.AgeS >= 0 && x.AgeS < 1e8 {
				m.since = min(m.since, t.r.Now()-loop.Seconds(x.AgeS))
			}
		}
	})
}

// judge looks over all machines: who has booted for too long, who is silent, who
// is empty and past its standby.
func (t *Rental) judge() {
	now, wall := t.r.Now(), t.r.Wall()
	report, lease := loop.Seconds(t.cfg.Cluster.Workers.ReportS), loop.Seconds(t.cfg.Cluster.Workers.LeaseS)
	suspects := map[string]bool{}
	for from, y := range t.tallies {
		if now-t.tallyAt[from] < 5*loop.Second {
			for _, name := range y.Suspect {
				suspects[name] = true
			}
		}
	}
	for name := range suspects {
		t.adopt(name, "", "", false)
	}
	t.spare(now)
	for _, m := range t.machines {
		typ, known := t.byName[m.typ]
		switch m.state {
		case Booting:
			boot := loop.Seconds(typ.BootS)
			if !known {
				boot = 60 * loop.Second
			}
			limit := loop.Micros(float64(boot)*t.cfg.Operator.BootStuckTimes) + 5*loop.Second
			switch {
			case m.listed == "failed":
				t.setState(m, Deleting, "failed")
			case m.listed == "booting" || (m.listed == "" && !suspects[m.name]):
				if now-m.since > limit && now-t.started > 5*loop.Second {
					t.setState(m, Deleting, "never came up")
				}
			default:
				// Listed as running, or holding tasks, yet never heard by this
				// leader: its worker gets the time to find a new host.
				if now-m.firstSaw > max(lease, 2*report+8*loop.Second)+3*loop.Second {
					t.setState(m, Deleting, "not heard")
				}
			}
		case Up:
			silent := now - m.heard
			limit := 2*report + 6*loop.Second
			if t.n.Unheard(m.zone) {
				limit = lease + 8*loop.Second
			}
			if s := loop.Seconds(t.cfg.Operator.SilentDeleteS); s > 0 {
				limit = s
			}
			v := t.agent.View(m.name)
			switch {
			case m.listed == "failed":
				t.setState(m, Deleting, "failed")
			case silent > limit && now-t.started > limit && !t.n.Isolated():
				if m.probes >= 2 || v == nil {
					t.setState(m, Deleting, "silent")
				} else {
					t.probe(m, v.Addr)
				}
			case t.n.Faulty(m.name):
				t.setState(m, Closing, "fails tasks")
			case m.emptyTo != 0 && now > m.emptyTo && v != nil && empty(v):
				t.setState(m, Closing, "idle")
			}
		case Draining, Closing:
			v := t.agent.View(m.name)
			if v == nil {
				t.setState(m, Deleting, m.why)
				continue
			}
			if now-m.asked > loop.Second {
				m.asked = now
				t.n.Close(v.Host, peer.Close{Machine: m.name, Until: wall + 12*loop.Second})
			}
			if v.Closed && empty(v) && now-m.heard < 2*report+2*loop.Second {
				t.setState(m, Deleting, m.why)
			} else if now-m.heard > lease+8*loop.Second && !t.n.Isolated() {
				t.setState(m, Deleting, "silent")
			}
		}
	}
}

func (t *Rental) probe(m *machine, addr string) {
	if m.probing {
		return
	}
	m.probing = true
	t.r.Go(func() {
		ok := t.n.Probe(addr)
		t.r.Post(func() {
			m.probing = false
			if ok {
				// It lives, and only its reports go astray: its own lease decides.
				m.heard, m.probes = t.r.Now(), 0
			} else {
				m.probes++
			}
		})
	})
}

// deleteSome deletes machines that wait for it; true if a call was made.
func (t *Rental) deleteSome() bool {
	var names []string
	for _, m := range t.machines {
		if m.state == Deleting && len(names) < 100 {
			names = append(names, m.name)
		}
	}
	if len(names) == 0 {
		return false
	}
	sort.Strings(names)
	// Only who leads now may delete; the cloud cannot tell.
	t.calling = true
	t.c.Txn(store.Placements, wire.Txn{If: []wire.Cond{member.LeaderCond(t.claim)}}, func(r store.Result) {
		t.calling = false
		if r.Outcome == store.Applied && t.leads {
			t.delete(names)
		}
	})
	return true
}

func (t *Rental) delete(names []string) {
	t.call("POST", "/machines/delete", wire.Names{Machines: names}, 4*loop.Second, func(resp store.Response) {
		if resp.Err != nil || resp.Status != 200 {
			return // asked again: deleting what is gone does no harm
		}
		// The answer is the proof that the machines and all that was on them are
		// gone. It is recorded, so that every owner learns of it.
		t.seq++
		ch := wire.Change{Put: fmt.Sprintf("%s%d-%d", GoneKeys, t.claim.Epoch, t.seq), Value: GoneRecord{names, t.r.Wall()}}
		for _, name := range names {
			t.gone(name)
		}
		t.record(ch, 0)
	})
}

func (t *Rental) record(ch wire.Change, tries int) {
	t.c.Txn(store.Placements, wire.Txn{Then: []wire.Change{ch}}, func(r store.Result) {
		if r.Outcome != store.Applied && r.Outcome != store.Invalid && tries < 200 {
			t.r.After(300*loop.Millisecond, func() { t.record(ch, tries+1) })
		}
	})
}

// keepGone is how long deletions stay on record. An owner that meets a task on a machine
// whose record is gone calls it suspect, and the leader proves it deleted again.
const keepGone = 30 * 60 * loop.Second

// sweep removes records of deletions that are long over.
func (t *Rental) sweep() {
	if !t.leads || !t.n.Entitled() {
		return
	}
	txn := wire.Txn{If: []wire.Cond{member.LeaderCond(t.claim)}}
	for _, key := range t.m.Under(GoneKeys) {
		var rec GoneRecord
		if e, ok := t.m.Get(key); ok && wire.Unmarshal(e.Value, &rec) == nil && t.r.Wall()-rec.At > keepGone &&
			len(txn.Then) < t.cfg.Cluster.State.TxnOps {
			txn.Then = append(txn.Then, wire.Change{Delete: key})
		}
	}
	if len(txn.Then) == 0 {
		return
	}
	t.c.Txn(store.Background, txn, func(r store.Result) {
		if r.Outcome == store.Applied {
			for _, ch := range txn.Then {
				t.m.Apply(ch.Delete, nil, r.Tally, true)
			}
		}
	})
}

func (t *Rental) gone(name string) {
	if m := t.machines[name]; m != nil {
		t.setState(m, Gone, m.why)
		delete(t.machines, name)
	}
	if !t.agent.IsGone(name) {
		t.agent.Gone(name)
		if t.OnGone != nil {
			t.OnGone(name)
		}
	}
}
