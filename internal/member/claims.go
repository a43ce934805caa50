package member

import (
	"slices"

	"cleatpick/internal/loop"
	"cleatpick/internal/partition"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

func (b *Member) drop(key string) {
	was, ok := b.owned[key]
	if !ok {
		return
	}
	delete(b.owned, key)
	b.log.Info("ownership claim lost or released; this controller stops acting as the owner", "key", key)
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

// claimRecord reads a claim and its revision from the mirror. A corrupt record is returned
// as one that names no owner.
func (b *Member) claimRecord(key string) (rec ownerRecord, version uint64, ok bool) {
	e, ok := b.mirror.Get(key)
	if !ok {
		return ownerRecord{}, 0, false
	}
	if err := wire.Unmarshal(e.Value, &rec); err != nil {
		b.log.Error("corrupt ownership claim; treated as held by no known controller", "key", key, "err", err)
		return ownerRecord{}, 0, true
	}
	return rec, e.Revision, true
}

// claimOwner reads the holder of a claim from the mirror.
func (b *Member) claimOwner(key string) (Owner, bool) {
	rec, version, ok := b.claimRecord(key)
	return Owner{rec.Node, rec.Epoch, version}, ok
}

// maxForeignTeams bounds the set of teams that only other controllers know.
const maxForeignTeams = 1000

// RecordTeams records the names of teams that other controllers know.
func (b *Member) RecordTeams(teams []string) {
	for _, team := range teams {
		if !slices.Contains(b.Teams, team) && len(b.foreignTeams) < maxForeignTeams {
			b.foreignTeams[team] = true
		}
	}
}

// Foreign reports whether other controllers know or own a team that these settings do not
// name, as happens while the settings are changed on one controller after another.
func (b *Member) Foreign(team string) bool { return b.foreignTeams[team] }

// reviewClaim updates what this controller owns from a claim in the mirror.
func (b *Member) reviewClaim(key string) {
	o, ok := b.claimOwner(key)
	mine := ok && b.state == Active && o.Node == b.Label && o.Epoch == b.incarnation
	have, had := b.owned[key]
	if had && (!mine || have.Revision != o.Revision) {
		b.drop(key)
		had = false
	}
	if mine && !had {
		b.owned[key] = o
		b.log.Info("ownership claim acquired", "key", key, "claim", o.Revision, "epoch", o.Epoch)
		b.notify(key, true, o)
	}
	if ok {
		delete(b.freeAt, key)
	}
}

// tick claims free keys and hands over what others serve better. A controller that owns
// much waits a little before it claims more, so that work spreads over the controllers.
func (b *Member) tick() {
	if b.state != Active || !b.LeaseValid() {
		return
	}
	now := b.runner.Now()
	isolated := b.Isolated != nil && len(b.nodes) > 1 && b.Isolated()
	if isolated != b.registeredIsolated || b.nodes[b.Label].Lease != b.lease {
		b.register(b.lease, isolated)
	}
	leaderOwnsAll := isolated && b.AllIsolated()
	_, leads := b.owned[leaderKey]
	if leaderOwnsAll && !leads && len(b.owned) > 0 {
		// No controller reaches another. Several owners would each see a part of the
		// machines only, so the leader takes all partitions over.
		if _, ok := b.Leader(); ok && now-b.handedOverAt > 2*loop.Second {
			b.handedOverAt = now
			b.handOver("no peer is reachable")
		}
	}
	if isolated && !leaderOwnsAll && len(b.owned) > 0 && (b.handedOverAt == 0 || now-b.handedOverAt > 30*loop.Second) {
		// The lease is valid, but nothing decided here reaches a machine that reports to
		// another controller: controllers that reach each other should own it instead.
		// What no other controller claims is claimed again below and kept for a while.
		b.handedOverAt = now
		b.handOver("no peer is reachable")
	}
	broken := !isolated && b.PartlyDisconnected != nil && b.PartlyDisconnected()
	if broken && len(b.owned) > 0 && (b.handedOverAt == 0 || now-b.handedOverAt > 30*loop.Second) && b.anyFit() {
		// This owner neither gets the reports of machines at the unreachable controller nor
		// sends them commands. A controller that reaches all the others should own instead.
		b.handedOverAt = now
		b.handOver("a controller that others reach is unreachable from here")
	}
	b.decideLayout(now)
	b.convertTeams()
	b.rebalance(now)
	var delay loop.Micros // of all claims of this controller
	if isolated && !leaderOwnsAll || broken {
		delay += isolatedDelay
	}
	b.claimFree(now, leaderOwnsAll, leads, delay)
}

// isolatedDelay is the additional delay of the claims of a controller that is isolated, or that
// cannot reach a controller that others reach.
const isolatedDelay = 4 * loop.Second

// claimFree claims the free keys whose delay has passed, in as few transactions as possible.
// Where no controller reaches another, the leader claims everything and the others claim
// only the leadership.
func (b *Member) claimFree(now loop.Micros, leaderOwnsAll, leads bool, delay loop.Micros) {
	free := b.freeKeys(now)
	if len(free) == 0 {
		return
	}
	preferred := b.preferred(free)
	owned := len(b.owned)
	damping := loop.Micros(0)
	if len(b.nodes) > 1 {
		damping = b.claimDamping(now)
	}
	var due []string
	for _, key := range free {
		wait := b.claimWait(owned, preferred[key]) + delay
		switch {
		case leaderOwnsAll && leads:
			wait = 0
		case leaderOwnsAll && key != leaderKey:
			continue
		}
		if now-b.freeAt[key] >= wait+damping {
			owned++
			due = append(due, key)
		}
	}
	batch := 1 // single teams are few: with one claim each, a conflict on one affects no other
	if b.layout.Numbered() {
		batch = b.client.MaxChanges()
	}
	for len(due) > 0 {
		n := min(len(due), batch)
		b.claim(due[:n])
		due = due[n:]
	}
}

// freeKeys lists, in order, the keys that no controller claims and that this controller is not claiming.
func (b *Member) freeKeys(now loop.Micros) []string {
	var free []string
	for _, key := range b.claimKeys() {
		if _, taken := b.mirror.Get(key); taken || b.claiming[key] {
			continue
		}
		if _, known := b.freeAt[key]; !known {
			b.freeAt[key] = now
		}
		free = append(free, key)
	}
	return free
}

// preferred assigns each free key to the registered controller that then holds the fewest.
// Controllers that see the same registrations and claims come to the same result, so that
// they seldom claim the same key; where they do, one of their transactions fails.
func (b *Member) preferred(free []string) map[string]string {
	held := map[string]int{}
	for _, key := range b.claimKeys() {
		if o, ok := b.claimOwner(key); ok {
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
	// claimDelayStep is the delay of a claim for each key that the controller already holds, so
	// that controllers that start a little later get their share; maxClaimDelay bounds it.
	claimDelayStep = 250 * loop.Millisecond
	maxClaimDelay  = 1200 * loop.Millisecond
	// claimYield is how long a key is left to its preferred controller.
	claimYield = 400 * loop.Millisecond
)

// claimWait returns for how long a key must have been free before this controller, which
// holds owned keys, claims it; preferred is the controller that should get the key.
func (b *Member) claimWait(owned int, preferred string) loop.Micros {
	mine := !b.layout.Numbered() || preferred == b.Label
	if b.layout.Numbered() && mine && len(b.nodes) >= b.Controllers {
		return 0 // all controllers are registered, so no other one should get the key
	}
	fair := (len(b.claimKeys()) - 1 + len(b.nodes)) / max(len(b.nodes), 1)
	wait := loop.Micros(owned) * claimDelayStep
	if owned >= fair {
		wait = maxClaimDelay
	}
	if !mine {
		wait += claimYield
	}
	return wait
}

// claimKeys returns the keys of all claims: those of the layout's partitions and the leadership.
func (b *Member) claimKeys() []string {
	var keys []string
	if b.layoutState != layoutUndecided {
		for _, id := range b.layout.All(b.Teams) {
			keys = append(keys, id.ClaimKey())
		}
	}
	return append(keys, leaderKey)
}

// AllIsolated reports whether no controller reaches another, by what each has registered.
func (b *Member) AllIsolated() bool {
	for _, rec := range b.nodes {
		if !rec.Isolated {
			return false
		}
	}
	return len(b.nodes) > 1
}

// evictInterval is the least time between two evictions of the same controller.
const evictInterval = 60 * loop.Second

// Evict ends the lease of a controller that refuses connections and sends no messages. This
// does not prove that it failed, and need not: all it records is conditioned on its claims,
// so one that still runs merely joins again.
func (b *Member) Evict(label string) {
	rec, ok := b.nodes[label]
	now := b.runner.Now()
	if !ok || label == b.Label || !b.LeaseValid() {
		return
	}
	if at, was := b.evicted[label]; was && now-at < evictInterval {
		// It joined again and still refuses connections from here: a packet filter lies
		// between. To end its lease again and again would leave its teams without an owner.
		return
	}
	b.evicted[label] = now
	b.log.Info("controller refuses connections; ending its lease so that others take over its partitions", "node", label, "lease", rec.Lease)
	b.client.EndLease(rec.Lease)
}

// claimRetry is the delay before a key is claimed again after another controller held it.
const claimRetry = loop.Second

// claim claims keys in one transaction: all of them or none.
func (b *Member) claim(keys []string) {
	lease := b.lease
	rec := ownerRecord{Node: b.Label, Epoch: b.incarnation}
	var txn wire.Txn
	for _, key := range keys {
		b.claiming[key] = true
		txn.If = append(txn.If, wire.Cond{Key: key, Revision: 0})
		txn.Then = append(txn.Then, wire.Change{Put: key, Value: rec, Lease: lease})
	}
	b.client.Txn(store.Leases, txn, func(r store.Result) {
		for _, key := range keys {
			delete(b.claiming, key)
		}
		switch {
		case r.Outcome == store.NoLease && lease == b.lease:
			b.leaseLost()
		case r.Outcome == store.Conflict && len(keys) > 1:
			for _, key := range r.FailedKeys {
				b.freeAt[key] = b.runner.Now() + claimRetry
			}
		case r.Outcome == store.Applied && lease == b.lease:
			for _, key := range keys {
				b.mirror.Apply(key, wire.Marshal(rec), r.Revision, false)
			}
		}
	})
}

// TeamOwner returns the owner of a team as far as this controller knows.
func (b *Member) TeamOwner(team string) (Owner, bool) {
	key := teamKeys + team
	if b.layout.Numbered() {
		if rec, _, ok := b.claimRecord(key); !ok || rec.Partition != "" {
			key = b.layout.Of(team).ClaimKey()
		}
	}
	return b.claimOwner(key)
}

// Leader returns the leader as far as this controller knows.
func (b *Member) Leader() (Owner, bool) { return b.claimOwner(leaderKey) }

// Leads reports whether this controller leads, and its claim.
func (b *Member) Leads() (Owner, bool) {
	o, ok := b.owned[leaderKey]
	return o, ok
}

// ClaimCond returns the condition that the partition is still owned under this claim.
func ClaimCond(id partition.ID, claim Owner) wire.Cond {
	return wire.Cond{Key: id.ClaimKey(), Revision: claim.Revision}
}

// LeaderCond returns the condition that this claim still holds the leadership.
func LeaderCond(claim Owner) wire.Cond { return wire.Cond{Key: leaderKey, Revision: claim.Revision} }
