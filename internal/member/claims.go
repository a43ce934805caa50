package member

import (
	"slices"

	"cleatpick/internal/loop"
	"cleatpick/internal/partition"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

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
		b.OnOwned(partition.FromClaimKey(key), owned, o)
	}
}

// claimRecord reads a claim from the mirror, with its version. A record that cannot be
// read names nobody.
func (b *Member) claimRecord(key string) (rec ownerRecord, version uint64, ok bool) {
	e, ok := b.m.Get(key)
	if !ok {
		return ownerRecord{}, 0, false
	}
	if err := wire.Unmarshal(e.Value, &rec); err != nil {
		b.log.Error("corrupt record", "key", key, "err", err)
		return ownerRecord{}, 0, true
	}
	return rec, e.Revision, true
}

// owner reads from the mirror who holds a claim.
func (b *Member) owner(key string) (Owner, bool) {
	rec, version, ok := b.claimRecord(key)
	return Owner{rec.Node, rec.Epoch, version}, ok
}

// mostOthers bounds the teams of others that are remembered.
const mostOthers = 1000

// LearnTeams takes in the names of teams that others know.
func (b *Member) LearnTeams(teams []string) {
	for _, team := range teams {
		if !slices.Contains(b.Teams, team) && len(b.others) < mostOthers {
			b.others[team] = true
		}
	}
}

// Foreign tells whether others know or own a team that these settings do not name,
// as while the settings are changed node by node.
func (b *Member) Foreign(team string) bool { return b.others[team] }

// review compares a claim in the mirror with what this node believes to own.
func (b *Member) review(key string) {
	o, ok := b.owner(key)
	mine := ok && b.state == Active && o.Node == b.Label && o.Epoch == b.inst
	have, had := b.mine[key]
	if had && (!mine || have.Mark != o.Mark) {
		b.drop(key)
		had = false
	}
	if mine && !had {
		b.mine[key] = o
		b.log.Info("owns", "key", key, "claim", o.Mark, "epoch", o.Epoch)
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
	if isolated != b.alone || b.nodes[b.Label].Lease != b.lease {
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
	b.decideLayout(now)
	b.convertTeams()
	b.share(now)
	var delay loop.Micros // of all claims of this node
	if isolated && !gather || broken {
		delay += aloneDelay
	}
	b.claimFree(now, gather, leads, delay)
}

// aloneDelay is how much later a node claims that cannot reach all of those that others hear.
const aloneDelay = 4 * loop.Second

// claimFree claims what is free and due, in as few transactions as it fits into. Where no
// node hears another, the leader gathers everything, and the others claim only its place.
func (b *Member) claimFree(now loop.Micros, gather, leads bool, delay loop.Micros) {
	free := b.free(now)
	if len(free) == 0 {
		return
	}
	preferred := b.preferred(free)
	owned := len(b.mine)
	damped := loop.Micros(0)
	if len(b.nodes) > 1 {
		damped = b.damped(now)
	}
	var due []string
	for _, key := range free {
		wait := b.claimWait(owned, preferred[key]) + delay
		switch {
		case gather && leads:
			wait = 0
		case gather && key != leaderKey:
			continue
		}
		if now-b.freeAt[key] >= wait+damped {
			owned++
			due = append(due, key)
		}
	}
	together := 1 // the few claims of teams stand alone, so that one that is lost loses no other
	if b.layout.Numbered() {
		together = b.c.MaxChanges()
	}
	for len(due) > 0 {
		n := min(len(due), together)
		b.claim(due[:n])
		due = due[n:]
	}
}

// free lists the keys that nobody holds and this node does not ask for, in order.
func (b *Member) free(now loop.Micros) []string {
	var free []string
	for _, key := range b.keys() {
		if _, taken := b.m.Get(key); taken || b.asking[key] {
			continue
		}
		if _, known := b.freeAt[key]; !known {
			b.freeAt[key] = now
		}
		free = append(free, key)
	}
	return free
}

// preferred assigns each free key to the registered node that would then hold the fewest.
// Nodes that see the same registrations and claims come to the same result, so that they
// seldom ask for the same key; where they do, one of their transactions fails.
func (b *Member) preferred(free []string) map[string]string {
	held := map[string]int{}
	for _, key := range b.keys() {
		if o, ok := b.owner(key); ok {
			held[o.Node]++
		}
	}
	var nodes []string
	for node := range loop.Sorted(b.nodes) {
		if node == b.Label || b.Fit == nil || b.Fit(node) {
			nodes = append(nodes, node)
		}
	}
	out := map[string]string{}
	for _, key := range free {
		for _, node := range nodes {
			if best, ok := out[key]; !ok || held[node] < held[best] {
				out[key] = node
			}
		}
		held[out[key]]++
	}
	return out
}

const (
	// claimStep is how much longer a node waits with a claim for each that it holds, so that
	// nodes that start a little later get their part, and claimMost the most for it.
	claimStep = 250 * loop.Millisecond
	claimMost = 1200 * loop.Millisecond
	// claimYield is how long a key is left to the node that it is assigned to.
	claimYield = 400 * loop.Millisecond
)

// claimWait is for how long a key must have been free until this node, which holds so many,
// claims it.
func (b *Member) claimWait(owned int, preferred string) loop.Micros {
	mine := !b.layout.Numbered() || preferred == b.Label
	if b.layout.Numbered() && mine && len(b.nodes) >= b.Controllers {
		return 0 // all are here: nobody else is to have it
	}
	fair := (len(b.keys()) - 1 + len(b.nodes)) / max(len(b.nodes), 1)
	wait := loop.Micros(owned) * claimStep
	if owned >= fair {
		wait = claimMost
	}
	if !mine {
		wait += claimYield
	}
	return wait
}

// keys are all that nodes own by lease.
func (b *Member) keys() []string {
	var keys []string
	if b.layoutState != layoutUndecided {
		for _, id := range b.layout.All(b.Teams) {
			keys = append(keys, id.ClaimKey())
		}
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
	if !ok || label == b.Label || !b.Entitled() {
		return
	}
	if at, was := b.evicted[label]; was && now-at < evictAgain {
		// It came back and is still refused: a packet filter lies between, and
		// to end its lease over and over would keep its teams from being served.
		return
	}
	b.evicted[label] = now
	b.log.Info("ends the lease of a node that refuses connections", "node", label, "lease", rec.Lease)
	b.c.EndLease(rec.Lease)
}

// claimAgain is for how long a key is left alone after another node was found to hold it.
const claimAgain = loop.Second

// claim asks for keys, all of them or none.
func (b *Member) claim(keys []string) {
	lease := b.lease
	rec := ownerRecord{Node: b.Label, Epoch: b.inst}
	var txn wire.Txn
	for _, key := range keys {
		b.asking[key] = true
		txn.If = append(txn.If, wire.Cond{Key: key, Mark: 0})
		txn.Then = append(txn.Then, wire.Change{Put: key, Value: rec, Lease: lease})
	}
	b.c.Txn(store.Leases, txn, func(r store.Result) {
		for _, key := range keys {
			delete(b.asking, key)
		}
		switch {
		case r.Outcome == store.NoLease && lease == b.lease:
			b.lost()
		case r.Outcome == store.Conflict && len(keys) > 1:
			for _, key := range r.FailedKeys {
				b.freeAt[key] = b.r.Now() + claimAgain
			}
		case r.Outcome == store.Applied && lease == b.lease:
			for _, key := range keys {
				b.m.Apply(key, wire.Marshal(rec), r.Revision, false)
			}
		}
	})
}

// TeamOwner tells who owns a team, as far as is known here.
func (b *Member) TeamOwner(team string) (Owner, bool) {
	key := teamKeys + team
	if b.layout.Numbered() {
		if rec, _, ok := b.claimRecord(key); !ok || rec.Partition != "" {
			key = b.layout.Of(team).ClaimKey()
		}
	}
	return b.owner(key)
}

// Leader tells who leads, as far as is known here.
func (b *Member) Leader() (Owner, bool) { return b.owner(leaderKey) }

// Leads tells whether this node leads, and by which claim.
func (b *Member) Leads() (Owner, bool) {
	o, ok := b.mine[leaderKey]
	return o, ok
}

// ClaimCond is the condition that the partition is still owned by this claim.
func ClaimCond(id partition.ID, claim Owner) wire.Cond {
	return wire.Cond{Key: id.ClaimKey(), Mark: claim.Mark}
}

// LeaderCond is the condition that this claim still leads.
func LeaderCond(claim Owner) wire.Cond { return wire.Cond{Key: leaderKey, Mark: claim.Mark} }
