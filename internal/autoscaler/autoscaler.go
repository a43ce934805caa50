// Package autoscaler is the autoscaler, run by the leading controller. It decides which machines to rent from the
// cloud for unplaced requests, which idle machines to delete after a random standby time, and when an
// unreachable machine has failed and is deleted, which is the only proof that its tasks are terminated.
//
// It owns the records of orders, of deletions and of the catalog in the state service, and all cloud calls.
// Placement of tasks is left to the scheduler, and the choice of the leader to membership.
package autoscaler

import (
	"log/slog"
	"math/rand/v2"
	"strings"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/explain"
	"cleatpick/internal/failuredetector"
	"cleatpick/internal/membership"
	"cleatpick/internal/metric"
	"cleatpick/internal/peer"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// Keys and key prefixes in the state service that this package owns.
const (
	OrderKeys    = "c/o/"
	DeletionKeys = "c/g/"
	CatalogKey   = "c/k"
)

// Order is the record of a rental request. Its name is never reused.
type Order struct {
	Type     string   `cbor:"t"`
	Zone     string   `cbor:"z"`
	Spot     bool     `cbor:"s"`
	Count    int      `cbor:"n"`
	At       int64    `cbor:"at"`
	Machines []string `cbor:"m,omitempty"`
	Answered bool     `cbor:"a,omitempty"`
}

// order is an order with what this leader knows of its progress.
type order struct {
	name     string
	record   Order
	revision uint64
	recorded bool // its record is stored
	busy     bool
	refused  bool
	tries    int
	nextTry  eventloop.Micros
	finished eventloop.Micros
}

// DeletionRecord is the record of deleted machines.
type DeletionRecord struct {
	Machines []string `cbor:"m"`
	At       int64    `cbor:"at"`
}

// catalogRecord is the stored catalog.
type catalogRecord struct {
	Types []wire.MachineType `cbor:"t"`
}

// offer is what one order can ask for: a machine type in a zone, spot or ordinary.
type offer struct {
	typ, zone string
	spot      bool
}

// backoff is the state of an offer that the cloud refused.
type backoff struct {
	until eventloop.Micros
	wait  eventloop.Micros
}

// Dependencies holds what the autoscaler needs from the controller in which it runs.
type Dependencies struct {
	// Close asks a machine's host controller to start nothing on it.
	Close func(host string, c peer.StartBlock)
	// PeerUnreachable reports whether messages of a peer in this zone have stopped arriving: the peer may
	// still be answering workers that no other controller can reach.
	PeerUnreachable func(zone string) bool
	// LeaseValid reports whether this controller's lease certainly holds, and Isolated whether it receives
	// messages from no peer at all.
	LeaseValid func() bool
	Isolated   func() bool
	// Cordoned reports whether all machines of this type, zone and kind are cordoned; it may be nil.
	Cordoned func(typ, zone string, spot bool) bool
	// Faulty reports whether a machine fails tasks of several jobs.
	Faulty func(machine string) bool
	// Probe asks a worker for its report. It blocks, and must not be called on the event loop.
	Probe func(addr string) failuredetector.ProbeResult
	Meter *metric.Meter // may be nil
}

// Autoscaler decides what to rent and what to delete. It acts only while its controller is the leader.
type Autoscaler struct {
	runner         eventloop.Runner
	log            *slog.Logger
	cfg            *config.Config
	client         *store.Client
	mirror         *store.Mirror
	cloud          store.Doer
	workers        *workers.Registry
	deps           Dependencies
	leads          bool
	claim          membership.Owner
	started        eventloop.Micros
	types          []wire.MachineType
	byName         map[string]wire.MachineType
	machines       map[string]*machine
	orders         map[string]*order
	demands        map[string]peer.Demand
	demandAt       map[string]eventloop.Micros
	offers         map[offer]*backoff
	seq            int
	callBudget     float64 // cloud calls that pacing allows now
	callBudgetAt   eventloop.Micros
	pausedUntil    eventloop.Micros
	calling        bool
	listAt         eventloop.Micros
	catalogAt      eventloop.Micros
	listed         bool                        // the list was read since this leadership began
	requestedSince map[requestKey]requestTimes // since when alike requests have been waiting
	drainCheckedAt eventloop.Micros
	checkedAt      eventloop.Micros
	unreachableAt  map[string]eventloop.Micros // when a zone was last seen unreachable
	retaining      bool                        // machines in unreachable zones are retained for longer
	planAt         eventloop.Micros            // earliest time of the next plan
	failures       *failuredetector.Detector
	sortedMachines []*machine // by name; nil: to be rebuilt
	rand           *rand.Rand
	deleting       map[string]*machine // the machines in state Deleting
	// cancelledHolders are the silent machines that hold tasks of cancelled jobs, by name.
	cancelledHolders map[string]*cancelledHolder
	ordersInARow     int                   // orders sent since idle machines were last deleted
	bootTimes        *explain.Distribution // boot times, in units of the types' nominal boot times
	deleted          map[string][]string   // names of deleted machines, by key of their record
	// OnDeleted is called once for every machine that is known to be deleted.
	OnDeleted func(string)
}

// New returns the autoscaler, which keeps its copy of the catalog and the deletions up to date on every
// controller.
func New(r eventloop.Runner, log *slog.Logger, cfg *config.Config, c *store.Client, m *store.Mirror, cloud store.Doer, a *workers.Registry, deps Dependencies) *Autoscaler {
	scaler := &Autoscaler{runner: r, log: log, cfg: cfg, client: c, mirror: m, cloud: cloud, workers: a, deps: deps, byName: map[string]wire.MachineType{}, rand: eventloop.Rand(r),
		demands: map[string]peer.Demand{}, unreachableAt: map[string]eventloop.Micros{}, demandAt: map[string]eventloop.Micros{}, deleted: map[string][]string{}, bootTimes: explain.NewDistribution(), cancelledHolders: map[string]*cancelledHolder{}, requestedSince: map[requestKey]requestTimes{}}
	w := cfg.Cluster.Workers
	scaler.failures = failuredetector.New(failuredetector.Rules{ReportInterval: eventloop.Seconds(w.ReportS), Lease: eventloop.Seconds(w.LeaseS), UnreachableGrace: partitionGrace,
		MaxSilence: eventloop.Seconds(cfg.Operator.SilentDeleteAfterS), MaxProbes: max(min(64, cfg.Cluster.Limits.MaxSockets/20), 4)}, log, deps.Meter, scaler.probe)
	m.OnChange(CatalogKey, func(key string, e store.Entry) {
		var rec catalogRecord
		if e.Revision == 0 {
			return
		}
		if err := wire.Unmarshal(e.Value, &rec); err != nil {
			log.Error("corrupt catalog record ignored", "key", key, "err", err)
			return
		}
		scaler.setCatalog(rec.Types)
	})
	m.OnChange(DeletionKeys, func(key string, e store.Entry) {
		var rec DeletionRecord
		if e.Revision == 0 {
			a.ForgetDeleted(scaler.deleted[key])
			delete(scaler.deleted, key)
			return
		}
		if err := wire.Unmarshal(e.Value, &rec); err != nil {
			log.Error("corrupt deletion record ignored", "key", key, "err", err)
			return
		}
		scaler.deleted[key] = rec.Machines
		for _, name := range rec.Machines {
			scaler.markDeleted(name)
		}
	})
	eventloop.Every(r, 60*eventloop.Second, scaler.removeOldDeletions)
	eventloop.Every(r, 50*eventloop.Millisecond, scaler.tick)
	return scaler
}

// setCatalog replaces the known machine types.
func (a *Autoscaler) setCatalog(types []wire.MachineType) {
	a.types = types
	clear(a.byName)
	for _, x := range types {
		a.byName[x.Name] = x
	}
}

// Types lists the machine types; empty while the catalog is not known.
func (a *Autoscaler) Types() []wire.MachineType { return a.types }

// Type returns a machine type by name.
func (a *Autoscaler) Type(name string) (wire.MachineType, bool) {
	x, ok := a.byName[name]
	return x, ok
}

// SetLeader records that this controller has become or ceased to be the leader.
func (a *Autoscaler) SetLeader(leads bool, claim membership.Owner) {
	a.leads, a.claim = leads, claim
	if !leads {
		return
	}
	// A new leader rebuilds its state from the recorded orders, the machines' reports and the cloud's list.
	a.started = a.runner.Now()
	a.sortedMachines = nil
	a.machines, a.orders, a.offers, a.deleting = map[string]*machine{}, map[string]*order{}, map[offer]*backoff{}, map[string]*machine{}
	a.listAt, a.catalogAt, a.listed = 0, 0, false
	a.seq = 0
	a.failures.Clear()
	clear(a.cancelledHolders)
	clear(a.requestedSince)
	for _, key := range a.mirror.KeysUnder(OrderKeys) {
		e, _ := a.mirror.Get(key)
		var o Order
		if err := wire.Unmarshal(e.Value, &o); err != nil {
			a.log.Error("corrupt order record ignored", "key", key, "err", err)
			continue
		}
		name := strings.TrimPrefix(key, OrderKeys)
		a.orders[name] = &order{name: name, record: o, revision: e.Revision, recorded: true}
		if o.Answered {
			a.orders[name].finished = a.runner.Now()
			for _, m := range o.Machines {
				a.adopt(m, o.Type, o.Zone, o.Spot)
			}
		}
	}
	a.workers.EachView(a.UpdateView)
	a.log.Info("autoscaler started as leader; state rebuilt from records and reports", "orders", len(a.orders), "machines", len(a.machines))
}

// UpdateDemand records an owner's unplaced requests and suspect machines.
func (a *Autoscaler) UpdateDemand(from string, demand peer.Demand) {
	old := a.demands[from]
	maxAge := a.cfg.ClockDifference() + 5*eventloop.Second
	if demand.Wall <= old.Wall || a.runner.Wall()-demand.Wall > maxAge {
		return // a repeated or delayed message
	}
	a.demands[from], a.demandAt[from] = demand, a.runner.Now()
}

// CatalogKnown reports whether the machine types are known, so that submissions can be validated.
func (a *Autoscaler) CatalogKnown() bool { return len(a.types) > 0 }

// partitionGrace is how much longer than its lease an unreachable machine is retained while it may be alive
// behind a network partition.
const partitionGrace = 8 * eventloop.Second

// checkIntervalPerMachine is the part of the interval between two checks of all machines that each machine
// adds, in microseconds.
const checkIntervalPerMachine = 200

// tick checks the machines and makes the next cloud call when each is due.
func (a *Autoscaler) tick() {
	if !a.leads || !a.deps.LeaseValid() {
		// A leader that cannot renew its lease has been replaced, or soon will be: to it all machines look
		// silent, and a delayed deletion request would take effect long afterwards.
		return
	}
	now := a.runner.Now()
	if now-a.checkedAt >= max(200*eventloop.Millisecond, eventloop.Micros(len(a.machines))*checkIntervalPerMachine) {
		a.checkedAt = now
		a.checkMachines()
	}
	if a.mayCall(now) {
		a.perform(a.nextCall(now))
	}
}
