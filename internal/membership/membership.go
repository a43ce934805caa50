// Package membership maintains this controller's membership in the cluster: its lease in the
// state service, its epoch, and its claims on partitions of teams and on the leadership.
// Every claim is bound to the controller's lease, so that it is released when the
// controller fails. The package decides, together with the other controllers, which layout
// of partitions is in force and which of them owns which partition. It places no work;
// callbacks report which controllers are reachable and fit for work.
package membership

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/partition"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// Keys of this package in the state service, all under the mirrored prefix.
const (
	Prefix    = "c/"
	nodeKeys  = Prefix + "n/"
	teamKeys  = partition.TeamClaimPrefix
	leaderKey = Prefix + "l"
	epochKey  = Prefix + "e"
)

// State is the membership state of a controller.
type State int

// The membership states.
const (
	Starting      State = iota // the mirror of the state service is not loaded yet
	Joining                    // requesting a lease
	AwaitingEpoch              // holds a lease, requesting an epoch
	Active                     // may own partitions and the leadership
)

func (s State) String() string {
	return [...]string{"starting", "joining", "numbered", "active"}[s]
}

type nodeRecord struct {
	Epoch    uint64 `cbor:"e"`
	Lease    uint64 `cbor:"l"`
	Isolated bool   `cbor:"a,omitempty"` // it is isolated: no peer is reachable
	// Layouts is the newest generation of layouts that the controller's version supports. It
	// is 0 before version 0.9.0, which only knows claims of single teams.
	Layouts int `cbor:"f,omitempty"`
}

type ownerRecord struct {
	Node  string `cbor:"n"`
	Epoch uint64 `cbor:"e"`
	// Partition is set where a team permanently belongs to a numbered partition. Such a record
	// names no controller and is bound to no lease, so that no version claims the single team.
	Partition partition.ID `cbor:"p,omitempty"`
}

type epochRecord struct {
	Epoch uint64 `cbor:"e"`
}

// Owner identifies the controller that owns a partition or leads, and its claim.
type Owner struct {
	Node     string
	Epoch    uint64
	Revision uint64 // revision of the claim, for conditions of transactions
}

// Settings holds what a controller knows of the cluster when it starts.
type Settings struct {
	Label       string
	Teams       []string
	Controllers int              // number of controllers that the cluster should have
	LeaseTTL    eventloop.Micros // of the controller's lease
	TeamsOnly   bool             // claim single teams only, and register so, as older versions do
}

// Member is this controller's membership.
type Member struct {
	runner eventloop.Runner
	client *store.Client
	mirror *store.Mirror
	log    *slog.Logger
	Settings
	state        State
	lease        uint64
	leaseUntil   eventloop.Micros // the lease is certainly valid until then
	incarnation  uint64           // the epoch that identifies this incarnation of the process
	epoch        uint64           // the newest epoch, for tokens
	freeAt       map[string]eventloop.Micros
	claiming     map[string]bool
	epochWaiters []func()
	// OnOwned is called when this controller gains or loses a partition.
	OnOwned func(id partition.ID, owned bool, claim Owner)
	// OnAssigned is called when a team has been assigned to a numbered partition.
	OnAssigned func(team string)
	// OnReleased is called when a controller has released a team that is not assigned yet.
	OnReleased func(team string)
	// OnLeader is called when this controller gains or loses the leadership.
	OnLeader func(leads bool, claim Owner)
	// Isolated reports whether no peer is reachable although the state service is.
	Isolated     func() bool
	owned        map[string]Owner
	nodes        map[string]nodeRecord
	handedOverAt eventloop.Micros // when owned keys were last handed over
	registering  bool             // a registration is under way
	evicted      map[string]eventloop.Micros
	// Fit reports whether another controller may be given work, PartlyDisconnected whether
	// the connection between this one and a controller that others reach is broken, and
	// Weight returns how much work a partition brings. All may be nil.
	Fit                func(node string) bool
	PartlyDisconnected func() bool
	Weight             func(id partition.ID) int
	foreignTeams       map[string]bool  // teams known to other controllers that these settings do not name
	leaseSince         eventloop.Micros // when the current lease was granted
	leaseLosses        int              // consecutive leases that ended before stableAfter
	unevenSince        eventloop.Micros // since when this controller owns more than its share; 0: it does not
	rand               *rand.Rand       // spreads the retries of controllers that start together

	layout        partition.Layout
	layoutState   layoutState
	storingLayout bool
	converting    bool
	olderSeen     eventloop.Micros // when a controller of an older version was last registered; 0: never
}

// New returns a membership that does nothing until Start is called.
func New(r eventloop.Runner, c *store.Client, m *store.Mirror, log *slog.Logger, settings Settings) *Member {
	return &Member{runner: r, client: c, mirror: m, log: log, Settings: settings, rand: eventloop.Rand(r),
		freeAt: map[string]eventloop.Micros{}, claiming: map[string]bool{}, owned: map[string]Owner{}, nodes: map[string]nodeRecord{}, evicted: map[string]eventloop.Micros{},
		foreignTeams: map[string]bool{}}
}

// Start registers for changes of the mirror and joins the cluster once the mirror is loaded.
func (m *Member) Start() {
	m.mirror.OnChange(nodeKeys, func(key string, e store.Entry) {
		var rec nodeRecord
		name := strings.TrimPrefix(key, nodeKeys)
		if e.Revision == 0 || wire.Unmarshal(e.Value, &rec) != nil {
			delete(m.nodes, name)
			return
		}
		m.nodes[name] = rec
	})
	m.mirror.OnChange(teamKeys, func(key string, _ store.Entry) {
		m.RecordTeams([]string{strings.TrimPrefix(key, teamKeys)})
		m.reviewClaim(key)
		m.reviewAssignment(key)
	})
	m.mirror.OnChange(partition.ClaimPrefix, func(key string, _ store.Entry) { m.reviewClaim(key) })
	m.mirror.OnChange(partition.LayoutKey, m.applyLayout)
	m.mirror.OnChange(leaderKey, func(key string, _ store.Entry) { m.reviewClaim(key) })
	m.mirror.OnReady(func() {
		if old, ok := m.nodes[m.Label]; ok {
			// An earlier incarnation of this controller crashed. Its lease only delays
			// others that would take over what it owned.
			m.client.EndLease(old.Lease)
		}
		m.setState(Joining)
		m.join()
	})
	eventloop.Every(m.runner, 300*eventloop.Millisecond, m.tick)
}

func (m *Member) setState(s State) {
	if s != m.state {
		m.log.Info("membership state changed", "from", m.state.String(), "to", s.String(), "epoch", m.epoch)
	}
	m.state = s
}

// LeaseValid reports whether this controller's lease is certainly valid.
func (m *Member) LeaseValid() bool { return m.state == Active && m.runner.Now() < m.leaseUntil }

// Lease returns the lease that this controller holds as far as it knows, or 0.
func (m *Member) Lease() uint64 { return m.lease }

// Epoch returns the newest epoch, for tokens, or 0 while there is none.
func (m *Member) Epoch() uint64 {
	if m.incarnation == 0 {
		return 0
	}
	return m.epoch
}

// Active reports whether the controller has joined.
func (m *Member) Active() bool { return m.state == Active }

// Registered reports whether a controller holds its lease as far as this one knows.
func (m *Member) Registered(node string) bool { _, ok := m.nodes[node]; return ok }

// RegisteredCount returns the number of registered controllers.
func (m *Member) RegisteredCount() int { return len(m.nodes) }

func (m *Member) String() string { return fmt.Sprintf("%s/%s/%d", m.Label, m.state, m.incarnation) }
