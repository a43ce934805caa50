// Package member keeps this node's lease, its epoch, and what it owns by lease:
// partitions of the teams, and the leadership. Everything owned hangs on the node's
// lease, so it falls free when the node does. It decides with the other nodes which
// layout of partitions is in force; it never places work.
package member

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"

	"cleatpick/internal/loop"
	"cleatpick/internal/partition"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// The keys of this slice, all under the mirrored prefix.
const (
	Prefix    = "c/"
	nodeKeys  = Prefix + "n/"
	teamKeys  = partition.TeamClaimPrefix
	leaderKey = Prefix + "l"
	epochKey  = Prefix + "e"
)

// State names where the node stands.
type State int

// The states of a node.
const (
	Starting State = iota // the mirror is not read yet
	Joining               // asking for a lease
	Numbered              // has a lease, asking for an epoch
	Active                // may own teams and the leadership
)

func (s State) String() string {
	return [...]string{"starting", "joining", "numbered", "active"}[s]
}

type nodeRecord struct {
	Epoch uint64 `cbor:"e"`
	Lease uint64 `cbor:"l"`
	Alone bool   `cbor:"a,omitempty"` // it hears no peer
	// Layouts is the newest generation of layouts that the node's version can work with: 0
	// before 0.9.0, which knows claims of teams alone.
	Layouts int `cbor:"f,omitempty"`
}

type ownerRecord struct {
	Node  string `cbor:"n"`
	Epoch uint64 `cbor:"e"`
	// Partition is set where a team belongs to a numbered partition for good. Such a record
	// names no node and hangs on no lease, so that no version ever claims the team by itself.
	Partition partition.ID `cbor:"p,omitempty"`
}

type epochRecord struct {
	Epoch uint64 `cbor:"e"`
}

// Owner tells who owns a partition or leads, and by which claim.
type Owner struct {
	Node  string
	Epoch uint64
	Mark  uint64 // the version of the claim; conditions of transactions name it
}

// Settings are what a node knows of the cluster at its start.
type Settings struct {
	Label       string
	Teams       []string
	Controllers int         // that the cluster is to have
	LeaseTTL    loop.Micros // of the node's lease
	TeamsOnly   bool        // owns teams one by one, as older versions do, and tells so
}

// Member is this node's membership.
type Member struct {
	r   loop.Runner
	c   *store.Client
	m   *store.Mirror
	log *slog.Logger
	Settings
	state  State
	lease  uint64
	until  loop.Micros // the lease certainly holds until then
	inst   uint64      // the epoch that names this life of the process
	epoch  uint64      // the newest epoch, for tokens
	freeAt map[string]loop.Micros
	asking map[string]bool
	raise  []func()
	// OnOwned is called when this node gains or loses a partition.
	OnOwned func(id partition.ID, owned bool, claim Owner)
	// OnAssigned is called when a team has come to belong to a numbered partition.
	OnAssigned func(team string)
	// OnReleased is called when a node gave up a team that belongs to no partition yet.
	OnReleased func(team string)
	// OnLeader is called when this node gains or loses the leadership.
	OnLeader func(leads bool, claim Owner)
	// Isolated tells whether no peer can be heard, although the state service can.
	Isolated func() bool
	mine     map[string]Owner
	nodes    map[string]nodeRecord
	handed   loop.Micros // when owned keys were last handed over
	alone    bool        // what the others were told of this node's isolation: the state service is the only way left for that
	telling  bool
	evicted  map[string]loop.Micros
	// Fit tells whether another node may be given work, Broken whether the way between
	// this one and a node that others hear is broken, and Weight how much work a partition
	// brings; all may be nil.
	Fit    func(node string) bool
	Broken func() bool
	Weight func(id partition.ID) int
	others map[string]bool // teams that others have owned and that are not named here
	joined loop.Micros     // when the lease that it holds began
	losses int             // leases that ended before they had held for long, in a row
	uneven loop.Micros     // since when this node owns more than its part; 0: it does not
	rand   *rand.Rand      // spreads the retries of nodes that start together

	layout        partition.Layout
	layoutState   layoutState
	storingLayout bool
	converting    bool
	olderSeen     loop.Micros // when a node of an older version was last registered; 0: never
}

// New makes the membership; Start begins it.
func New(r loop.Runner, c *store.Client, m *store.Mirror, log *slog.Logger, settings Settings) *Member {
	return &Member{r: r, c: c, m: m, log: log, Settings: settings, rand: loop.Rand(r),
		freeAt: map[string]loop.Micros{}, asking: map[string]bool{}, mine: map[string]Owner{}, nodes: map[string]nodeRecord{}, evicted: map[string]loop.Micros{},
		others: map[string]bool{}}
}

// Start begins when the mirror has been read.
func (b *Member) Start() {
	b.m.OnChange(nodeKeys, func(key string, e store.Entry) {
		var rec nodeRecord
		name := strings.TrimPrefix(key, nodeKeys)
		if e.Revision == 0 || wire.Unmarshal(e.Value, &rec) != nil {
			delete(b.nodes, name)
			return
		}
		b.nodes[name] = rec
	})
	b.m.OnChange(teamKeys, func(key string, _ store.Entry) {
		b.LearnTeams([]string{strings.TrimPrefix(key, teamKeys)})
		b.review(key)
		b.reviewAssignment(key)
	})
	b.m.OnChange(partition.ClaimPrefix, func(key string, _ store.Entry) { b.review(key) })
	b.m.OnChange(partition.LayoutKey, b.learnLayout)
	b.m.OnChange(leaderKey, func(key string, _ store.Entry) { b.review(key) })
	b.m.OnReady(func() {
		if old, ok := b.nodes[b.Label]; ok {
			// An earlier life of this node ended without a word: its lease
			// only keeps others from taking over.
			b.c.EndLease(old.Lease)
		}
		b.setState(Joining)
		b.join()
	})
	loop.Every(b.r, 300*loop.Millisecond, b.tick)
}

func (b *Member) setState(s State) {
	if s != b.state {
		b.log.Info("node", "from", b.state.String(), "to", s.String(), "epoch", b.epoch)
	}
	b.state = s
}

// Entitled tells whether this node's lease certainly holds.
func (b *Member) Entitled() bool { return b.state == Active && b.r.Now() < b.until }

// Lease is the lease that this node holds, as far as it knows; 0: none.
func (b *Member) Lease() uint64 { return b.lease }

// Epoch is the newest epoch, for tokens; 0 while there is none.
func (b *Member) Epoch() uint64 {
	if b.inst == 0 {
		return 0
	}
	return b.epoch
}

// Active tells whether the node has joined.
func (b *Member) Active() bool { return b.state == Active }

// Registered tells whether a node holds its lease, as far as is known here.
func (b *Member) Registered(node string) bool { _, ok := b.nodes[node]; return ok }

// Nodes is the number of nodes that are registered now.
func (b *Member) Nodes() int { return len(b.nodes) }

func (b *Member) String() string { return fmt.Sprintf("%s/%s/%d", b.Label, b.state, b.inst) }
