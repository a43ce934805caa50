// Package member keeps this node's lease, its epoch, and what it owns by lease:
// teams, and the leadership. Everything owned hangs on the node's lease, so it
// falls free when the node does.
package member

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"

	"cleatpick/internal/loop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// The keys of this slice, all under the mirrored prefix.
const (
	Prefix    = "c/"
	nodeKeys  = Prefix + "n/"
	teamKeys  = Prefix + "t/"
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
}

type ownerRecord struct {
	Node  string `cbor:"n"`
	Epoch uint64 `cbor:"e"`
}

type epochRecord struct {
	Epoch uint64 `cbor:"e"`
}

// Owner tells who owns a team or leads, and by which claim.
type Owner struct {
	Node  string
	Epoch uint64
	Mark  uint64 // the version of the claim; conditions of transactions name it
}

// Member is this node's membership.
type Member struct {
	r      loop.Runner
	c      *store.Client
	m      *store.Mirror
	log    *slog.Logger
	label  string
	teams  []string
	ttl    loop.Micros
	state  State
	lease  uint64
	until  loop.Micros // the lease certainly holds until then
	inst   uint64      // the epoch that names this life of the process
	epoch  uint64      // the newest epoch, for tokens
	freeAt map[string]loop.Micros
	asking map[string]bool
	raise  []func()
	// OnOwned is called when this node gains or loses a team.
	OnOwned func(team string, owned bool, claim Owner)
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
	// this one and a node that others hear is broken, and Weight how much work a team
	// brings; all may be nil.
	Fit    func(node string) bool
	Broken func() bool
	Weight func(team string) int
	others map[string]bool // teams that others have owned and that are not named here
	joined loop.Micros     // when the lease that it holds began
	losses int             // leases that ended before they had held for long, in a row
	uneven loop.Micros     // since when this node owns more than its part; 0: it does not
}

// New makes the membership; Start begins it.
func New(r loop.Runner, c *store.Client, m *store.Mirror, log *slog.Logger, label string, teams []string, ttl loop.Micros) *Member {
	return &Member{r: r, c: c, m: m, log: log, label: label, teams: teams, ttl: ttl,
		freeAt: map[string]loop.Micros{}, asking: map[string]bool{}, mine: map[string]Owner{}, nodes: map[string]nodeRecord{}, evicted: map[string]loop.Micros{},
		others: map[string]bool{}}
}

// Start begins when the mirror has been read.
func (b *Member) Start() {
	b.m.On(nodeKeys, func(key string, e store.Entry) {
		var rec nodeRecord
		name := strings.TrimPrefix(key, nodeKeys)
		if e.Mark == 0 || wire.Unmarshal(e.Value, &rec) != nil {
			delete(b.nodes, name)
			return
		}
		b.nodes[name] = rec
	})
	b.m.On(teamKeys, func(key string, _ store.Entry) {
		if team := strings.TrimPrefix(key, teamKeys); !slices.Contains(b.teams, team) && len(b.others) < mostOthers {
			b.others[team] = true
		}
		b.review(key)
	})
	b.m.On(leaderKey, func(key string, _ store.Entry) { b.review(key) })
	b.m.OnReady(func() {
		if old, ok := b.nodes[b.label]; ok {
			// An earlier life of this node ended without a word: its lease
			// only keeps others from taking over.
			b.c.End(old.Lease)
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

func (b *Member) join() {
	if b.state != Joining {
		return
	}
	sent := b.r.Now()
	b.c.Lease(b.ttl, func(id uint64) {
		if id == 0 {
			b.r.After(400*loop.Millisecond, b.join)
			return
		}
		b.lease, b.until, b.joined = id, sent+b.ttl, b.r.Now()
		b.setState(Numbered)
		b.number(id)
		b.r.After(b.ttl/4, func() { b.renew(id) })
	})
}

// number takes the next epoch and registers the node under it.
func (b *Member) number(lease uint64) {
	again := func() { b.r.After(300*loop.Millisecond, func() { b.number(lease) }) }
	if b.lease != lease {
		return
	}
	b.takeEpoch(func(epoch uint64) {
		if b.lease != lease {
			return
		}
		if epoch == 0 {
			again()
			return
		}
		b.inst = epoch
		b.register(lease, false)
	})
}

// register stores that this node is there, and whether it hears any other. It is asked for
// again when the record is not its own any more: what an earlier life had sent, carried out
// late, once took its place and went with that life's lease, so that a node that served was
// counted by nobody.
func (b *Member) register(lease uint64, alone bool) {
	if b.lease != lease || b.telling {
		return
	}
	b.telling = true
	rec := nodeRecord{Epoch: b.inst, Lease: lease, Alone: alone}
	b.c.Txn(store.Leases, wire.Txn{Then: []wire.Change{{Put: nodeKeys + b.label, Value: rec, Lease: lease}}}, func(r store.Result) {
		b.telling = false
		switch {
		case b.lease != lease:
		case r.Outcome == store.NoLease:
			b.lost()
		case r.Outcome == store.Applied:
			b.alone = alone
			b.m.Apply(nodeKeys+b.label, wire.Marshal(rec), r.Tally, false)
			if b.state == Numbered {
				b.setState(Active)
				b.tick()
			}
		case b.state == Numbered:
			b.r.After(300*loop.Millisecond, func() { b.register(lease, alone) })
		}
	})
}

// takeEpoch raises the shared counter by one; 0 means that it did not come about.
func (b *Member) takeEpoch(cb func(uint64)) {
	b.c.Get(store.Leases, epochKey, func(it wire.Item, found, ok bool) {
		if !ok {
			cb(0)
			return
		}
		var rec epochRecord
		if found && wire.Unmarshal(it.Value, &rec) != nil {
			b.log.Error("corrupt record", "key", epochKey)
			cb(0)
			return
		}
		next := rec.Epoch + 1
		b.c.Txn(store.Leases, wire.Txn{If: []wire.Cond{{Key: epochKey, Mark: it.Mark}},
			Then: []wire.Change{{Put: epochKey, Value: epochRecord{next}}}}, func(r store.Result) {
			if r.Outcome != store.Applied {
				// After no answer the number may be taken or not: it is
				// never used, and the next try takes a later one.
				cb(0)
				return
			}
			b.epoch = max(b.epoch, next)
			cb(next)
		})
	})
}

// RaiseEpoch takes a newer epoch, so that a machine that has seen a higher
// token follows this node again. done runs in either case.
func (b *Member) RaiseEpoch(done func()) {
	b.raise = append(b.raise, done)
	if len(b.raise) > 1 {
		return
	}
	b.takeEpoch(func(uint64) {
		all := b.raise
		b.raise = nil
		for _, f := range all {
			f()
		}
	})
}

func (b *Member) renew(id uint64) {
	if b.lease != id {
		return
	}
	sent := b.r.Now()
	next := func() { b.r.After(b.ttl/4, func() { b.renew(id) }) }
	b.c.Extend(id, func(alive, ok bool) {
		switch {
		case b.lease != id:
		case ok && !alive:
			b.lost()
		case ok:
			b.until = sent + b.ttl
			next()
		default:
			next()
		}
	})
}

// lost gives up everything: the lease has ended, and with it all that hung on it.
func (b *Member) lost() {
	b.log.Info("node lease ended", "lease", b.lease)
	if b.r.Now()-b.joined >= goodFor {
		b.losses = 0
	}
	b.losses++
	b.lease, b.until, b.alone = 0, 0, false
	for key := range loop.Sorted(b.mine) {
		b.drop(key)
	}
	b.setState(Joining)
	b.join()
}

func (b *Member) drop(key string) {
	was, ok := b.mine[key]
	if !ok {
		return
	}
	delete(b.mine, key)
	b.log.Info("gave up", "key", key)
	b.notify(key, false, was)
}

func (b *Member) notify(key string, owned bool, o Owner) {
	if key == leaderKey {
		if b.OnLeader != nil {
			b.OnLeader(owned, o)
		}
	} else if b.OnOwned != nil {
		b.OnOwned(strings.TrimPrefix(key, teamKeys), owned, o)
	}
}

// owner reads a claim from the mirror.
func (b *Member) owner(key string) (Owner, bool) {
	e, ok := b.m.Get(key)
	if !ok {
		return Owner{}, false
	}
	var rec ownerRecord
	if err := wire.Unmarshal(e.Value, &rec); err != nil {
		b.log.Error("corrupt record", "key", key, "err", err)
		return Owner{}, true
	}
	return Owner{rec.Node, rec.Epoch, e.Mark}, true
}

// mostOthers bounds the teams of others that are remembered.
const mostOthers = 1000

// Foreign tells whether others own or have owned a team that these settings do not name,
// as while the settings are changed node by node.
func (b *Member) Foreign(team string) bool { return b.others[team] }

// review compares a claim in the mirror with what this node believes to own.
func (b *Member) review(key string) {
	o, ok := b.owner(key)
	mine := ok && b.state == Active && o.Node == b.label && o.Epoch == b.inst
	have, had := b.mine[key]
	if had && (!mine || have.Mark != o.Mark) {
		b.drop(key)
		had = false
	}
	if mine && !had {
		b.mine[key] = o
		b.log.Info("owns", "key", key, "claim", o.Mark)
		b.notify(key, true, o)
	}
	if ok {
		delete(b.freeAt, key)
	}
}

// tick claims what is free. A node that owns much waits a little, so that work
// spreads over the nodes; nobody waits for long.
func (b *Member) tick() {
	if b.state != Active || !b.Entitled() {
		return
	}
	now := b.r.Now()
	isolated := b.Isolated != nil && len(b.nodes) > 1 && b.Isolated()
	if isolated != b.alone || b.nodes[b.label].Lease != b.lease {
		b.register(b.lease, isolated)
	}
	gather := isolated && b.AllAlone()
	_, leads := b.mine[leaderKey]
	if gather && !leads && len(b.mine) > 0 {
		// The nodes cannot speak to each other at all. What is owned in several
		// places then sees a part of the machines each: the leader takes it all.
		if _, ok := b.Leader(); ok && now-b.handed > 2*loop.Second {
			b.handed = now
			b.handOver("no peer is heard")
		}
	}
	if isolated && !gather && len(b.mine) > 0 && (b.handed == 0 || now-b.handed > 30*loop.Second) {
		// The lease holds, but nothing decided here reaches a machine that
		// reports elsewhere: those who hear each other should own what it owns.
		// Should nobody take it, it is claimed again below, and kept for a while.
		b.handed = now
		b.handOver("no peer is heard")
	}
	broken := !isolated && b.Broken != nil && b.Broken()
	if broken && len(b.mine) > 0 && (b.handed == 0 || now-b.handed > 30*loop.Second) && b.anyFit() {
		// What reports to the node that is not reached is neither seen nor reached by this
		// owner; one that reaches all of them should own what it owns.
		b.handed = now
		b.handOver("a node that others hear is not reached")
	}
	b.share(now)
	owned := len(b.mine)
	nodes := max(len(b.nodes), 1)
	fair := (len(b.teams) + nodes) / nodes
	for _, key := range b.keys() {
		if _, taken := b.m.Get(key); taken || b.asking[key] {
			continue
		}
		at, ok := b.freeAt[key]
		if !ok {
			at = now
			b.freeAt[key] = now
		}
		wait := loop.Micros(owned) * 250 * loop.Millisecond
		if owned >= fair {
			wait = 1200 * loop.Millisecond
		}
		switch {
		case gather && leads:
			wait = 0
		case gather && key != leaderKey:
			continue
		case isolated && !gather, broken:
			wait += 4 * loop.Second
		}
		if len(b.nodes) > 1 {
			wait += b.damped(now)
		}
		if now-at >= wait {
			owned++
			b.claim(key)
		}
	}
}

// keys are all that nodes own by lease.
func (b *Member) keys() []string {
	keys := make([]string, 0, len(b.teams)+1)
	for i := range b.teams {
		keys = append(keys, teamKeys+b.teams[i])
	}
	return append(keys, leaderKey)
}

// AllAlone tells whether no node hears another, by what each has told.
func (b *Member) AllAlone() bool {
	for _, rec := range b.nodes {
		if !rec.Alone {
			return false
		}
	}
	return len(b.nodes) > 1
}

// evictAgain is how long a node that was evicted is left alone.
const evictAgain = 60 * loop.Second

// Evict ends the lease of a node that refuses connections and is not heard. That is
// no proof that it is dead, and need not be: all it records is conditioned on its
// claims, so one that lives merely joins again.
func (b *Member) Evict(label string) {
	rec, ok := b.nodes[label]
	now := b.r.Now()
	if !ok || label == b.label || !b.Entitled() {
		return
	}
	if at, was := b.evicted[label]; was && now-at < evictAgain {
		// It came back and is still refused: a packet filter lies between, and
		// to end its lease over and over would keep its teams from being served.
		return
	}
	b.evicted[label] = now
	b.log.Info("ends the lease of a node that refuses connections", "node", label, "lease", rec.Lease)
	b.c.End(rec.Lease)
}

func (b *Member) claim(key string) {
	b.asking[key] = true
	lease := b.lease
	rec := ownerRecord{b.label, b.inst}
	b.c.Txn(store.Leases, wire.Txn{If: []wire.Cond{{Key: key, Mark: 0}},
		Then: []wire.Change{{Put: key, Value: rec, Lease: lease}}}, func(r store.Result) {
		delete(b.asking, key)
		switch {
		case r.Outcome == store.NoLease && lease == b.lease:
			b.lost()
		case r.Outcome == store.Applied && lease == b.lease:
			b.m.Apply(key, wire.Marshal(rec), r.Tally, false)
		}
	})
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

// TeamOwner tells who owns a team, as far as is known here.
func (b *Member) TeamOwner(team string) (Owner, bool) { return b.owner(teamKeys + team) }

// Leader tells who leads, as far as is known here.
func (b *Member) Leader() (Owner, bool) { return b.owner(leaderKey) }

// Leads tells whether this node leads, and by which claim.
func (b *Member) Leads() (Owner, bool) {
	o, ok := b.mine[leaderKey]
	return o, ok
}

// ClaimCond is the condition that the team is still owned by this claim.
func ClaimCond(team string, claim Owner) wire.Cond {
	return wire.Cond{Key: teamKeys + team, Mark: claim.Mark}
}

// LeaderCond is the condition that this claim still leads.
func LeaderCond(claim Owner) wire.Cond { return wire.Cond{Key: leaderKey, Mark: claim.Mark} }

// Registered tells whether a node holds its lease, as far as is known here.
func (b *Member) Registered(node string) bool { _, ok := b.nodes[node]; return ok }

// Nodes is the number of nodes that are registered now.
func (b *Member) Nodes() int { return len(b.nodes) }

func (b *Member) String() string { return fmt.Sprintf("%s/%s/%d", b.label, b.state, b.inst) }
