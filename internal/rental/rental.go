// Package rental is the leader's: it turns the tally of missed requests into
// orders, gives empty machines back after a random standby, and deletes machines
// that fell silent, which is the only proof that their tasks are gone.
package rental

import (
	"log/slog"
	"math/rand/v2"
	"strings"

	"cleatpick/internal/agent"
	"cleatpick/internal/config"
	"cleatpick/internal/explain"
	"cleatpick/internal/loop"
	"cleatpick/internal/loss"
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
	Probe func(addr string) loss.Word
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
	agent    *agent.Registry
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
	darkAt   map[string]loop.Micros // when a zone was last out of sight
	sparing  bool                   // machines behind a cut are left alone for longer
	planAt   loop.Micros            // misses are not looked at before
	losses   *loss.Judge
	byOrder  []*machine // by name; nil: to be made anew
	rand     *rand.Rand
	deleting map[string]*machine // those of machines that wait for their deletion
	streak   int                 // calls for orders since idle machines were given back
	boots    *explain.Dist       // how long machines took to boot, in their nominal times
	deleted  map[string][]string // machines by the record of their deletion
	// OnGone is called once for every machine that is known to be deleted.
	OnGone func(string)
}

// New makes the rental slice.
func New(r loop.Runner, log *slog.Logger, cfg *config.Config, c *store.Client, m *store.Mirror, cloud store.Doer, a *agent.Registry, n Node) *Rental {
	t := &Rental{r: r, log: log, cfg: cfg, c: c, m: m, cloud: cloud, agent: a, n: n, byName: map[string]wire.MachineType{}, rand: loop.Rand(r),
		tallies: map[string]peer.Tally{}, darkAt: map[string]loop.Micros{}, tallyAt: map[string]loop.Micros{}, deleted: map[string][]string{}, boots: explain.NewDist()}
	w := cfg.Cluster.Workers
	t.losses = loss.New(loss.Rules{Report: loop.Seconds(w.ReportS), Lease: loop.Seconds(w.LeaseS), Out: outOfSight,
		Most: loop.Seconds(cfg.Operator.SilentDeleteS), Probes: max(min(64, cfg.Cluster.Limits.MaxSockets/20), 4)}, log, n.Meter, t.probe)
	m.OnChange(CatalogKey, func(key string, e store.Entry) {
		var rec catalogRecord
		if e.Revision == 0 {
			return
		}
		if err := wire.Unmarshal(e.Value, &rec); err != nil {
			log.Error("corrupt record set aside", "key", key, "err", err)
			return
		}
		t.setCatalog(rec.Types)
	})
	m.OnChange(GoneKeys, func(key string, e store.Entry) {
		var rec GoneRecord
		if e.Revision == 0 {
			a.ForgetDeleted(t.deleted[key])
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
	t.byOrder = nil
	t.machines, t.orders, t.offers, t.deleting = map[string]*machine{}, map[string]*order{}, map[offer]*backoff{}, map[string]*machine{}
	t.listAt, t.catAt, t.listed = 0, 0, false
	t.seq = 0
	t.losses.Clear()
	for _, key := range t.m.KeysUnder(OrderKeys) {
		e, _ := t.m.Get(key)
		var o Order
		if err := wire.Unmarshal(e.Value, &o); err != nil {
			t.log.Error("corrupt record set aside", "key", key, "err", err)
			continue
		}
		name := strings.TrimPrefix(key, OrderKeys)
		t.orders[name] = &order{name: name, o: o, mark: e.Revision, placed: true}
		if o.Answered {
			t.orders[name].finished = t.r.Now()
			for _, m := range o.Machines {
				t.adopt(m, o.Type, o.Zone, o.Spot)
			}
		}
	}
	t.agent.EachView(t.View)
	t.log.Info("leading", "orders", len(t.orders), "machines", len(t.machines))
}

// Tally takes in an owner's list of misses.
func (t *Rental) Tally(from string, y peer.Tally) {
	old := t.tallies[from]
	off := t.cfg.ClockDifference() + 5*loop.Second
	if y.Wall <= old.Wall || t.r.Wall()-y.Wall > off {
		return // repeated, or held back on its way
	}
	t.tallies[from], t.tallyAt[from] = y, t.r.Now()
}

// Asked tells whether the machine types are known, so that submissions can be judged.
func (t *Rental) Asked() bool { return len(t.types) > 0 }

// outOfSight is how much longer than its lease a machine is left alone that nothing tells
// from one behind a cut.
const outOfSight = 8 * loop.Second

// judgeEach spaces the looks over all machines out with their number.
const judgeEach = 200

func (t *Rental) tick() {
	if !t.leads || !t.n.Entitled() {
		// A leader that cannot renew its lease has been replaced, or soon will be:
		// to it the whole fleet looks silent, and a deletion held on its way would
		// be carried out long after.
		return
	}
	now := t.r.Now()
	if now-t.judged >= max(200*loop.Millisecond, loop.Micros(len(t.machines))*judgeEach) {
		t.judged = now
		t.judge()
	}
	if t.mayCall(now) {
		t.perform(t.next(now))
	}
}
