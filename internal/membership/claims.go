package membership

import (
	"slices"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/partition"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

func (m *Member) drop(key string) {
	was, ok := m.owned[key]
	if !ok {
		return
	}
	delete(m.owned, key)
	m.log.Info("ownership claim lost or released; this controller stops acting as the owner", "key", key)
	m.notify(key, false, was)
}

func (m *Member) notify(key string, owned bool, o Owner) {
	if key == leaderKey {
		if m.OnLeader != nil {
			m.OnLeader(owned, o)
		}
	} else if m.OnOwned != nil {
		m.OnOwned(partition.FromClaimKey(key), owned, o)
	}
}

// claimRecord reads a claim and its revision from the mirror. A corrupt record is returned
// as one that names no owner.
func (m *Member) claimRecord(key string) (rec ownerRecord, version uint64, ok bool) {
	e, ok := m.mirror.Get(key)
	if !ok {
		return ownerRecord{}, 0, false
	}
	if err := wire.Unmarshal(e.Value, &rec); err != nil {
		m.log.Error("corrupt ownership claim; treated as held by no known controller", "key", key, "err", err)
		return ownerRecord{}, 0, true
	}
	return rec, e.Revision, true
}

// claimOwner reads the holder of a claim from the mirror.
func (m *Member) claimOwner(key string) (Owner, bool) {
	rec, version, ok := m.claimRecord(key)
	return Owner{rec.Node, rec.Epoch, version}, ok
}

// maxForeignTeams bounds the set of teams that only other controllers know.
const maxForeignTeams = 1000

// RecordTeams records the names of teams that other controllers know.
func (m *Member) RecordTeams(teams []string) {
	for _, team := range teams {
		if !slices.Contains(m.Teams, team) && len(m.foreignTeams) < maxForeignTeams {
			m.foreignTeams[team] = true
		}
	}
}

// Foreign reports whether other controllers know or own a team that these settings do not
// name, as happens while the settings are changed on one controller after another.
func (m *Member) Foreign(team string) bool { return m.foreignTeams[team] }

// reviewClaim updates what this controller owns from a claim in the mirror.
func (m *Member) reviewClaim(key string) {
	o, ok := m.claimOwner(key)
	mine := ok && m.state == Active && o.Node == m.Label && o.Epoch == m.incarnation
	have, had := m.owned[key]
	if had && (!mine || have.Revision != o.Revision) {
		m.drop(key)
		had = false
	}
	if mine && !had {
		m.owned[key] = o
		m.log.Info("ownership claim acquired", "key", key, "claim", o.Revision, "epoch", o.Epoch)
		m.notify(key, true, o)
	}
	if ok {
		delete(m.freeAt, key)
	}
}

// tick claims free keys and hands over what others serve better. A controller that owns
// much waits a little before it claims more, so that work spreads over the controllers; the
// wait is bounded by maxClaimDelay, so that no key stays free for long because of it.
func (m *Member) tick() {
	if m.state != Active || !m.LeaseValid() {
		return
	}
	now := m.runner.Now()
	isolated := m.Isolated != nil && len(m.nodes) > 1 && m.Isolated()
	if stored := m.nodes[m.Label]; stored.Isolated != isolated || stored.Lease != m.lease {
		m.register(m.lease, isolated)
	}
	leaderOwnsAll := isolated && m.AllIsolated()
	_, leads := m.owned[leaderKey]
	if leaderOwnsAll && !leads && len(m.owned) > 0 {
		// No controller reaches another. Several owners would each see a part of the
		// machines only, so the leader takes all partitions over.
		if _, ok := m.Leader(); ok && now-m.handedOverAt > 2*eventloop.Second {
			m.handedOverAt = now
			m.handOver("no peer is reachable")
		}
	}
	if isolated && !leaderOwnsAll && len(m.owned) > 0 && (m.handedOverAt == 0 || now-m.handedOverAt > 30*eventloop.Second) {
		// The lease is valid, but nothing decided here reaches a machine that reports to
		// another controller: controllers that reach each other should own it instead.
		// What no other controller claims is claimed again below and kept for a while.
		m.handedOverAt = now
		m.handOver("no peer is reachable")
	}
	broken := !isolated && m.PartlyDisconnected != nil && m.PartlyDisconnected()
	if broken && len(m.owned) > 0 && (m.handedOverAt == 0 || now-m.handedOverAt > 30*eventloop.Second) && m.anyFit() {
		// This owner neither gets the reports of machines at the unreachable controller nor
		// sends them commands. A controller that reaches all the others should own instead.
		m.handedOverAt = now
		m.handOver("a controller that others reach is unreachable from here")
	}
	m.decideLayout(now)
	m.convertTeams()
	m.rebalance(now)
	var delay eventloop.Micros // of all claims of this controller
	if isolated && !leaderOwnsAll || broken {
		delay += isolatedDelay
	}
	m.claimFree(now, leaderOwnsAll, leads, delay)
}

// isolatedDelay is the additional delay of the claims of a controller that is isolated, or that
// cannot reach a controller that others reach.
const isolatedDelay = 4 * eventloop.Second

// claimFree claims the free keys whose delay has passed, in as few transactions as possible.
// Where no controller reaches another, the leader claims everything and the others claim
// only the leadership.
func (m *Member) claimFree(now eventloop.Micros, leaderOwnsAll, leads bool, delay eventloop.Micros) {
	free := m.freeKeys(now)
	if len(free) == 0 {
		return
	}
	preferred := m.preferred(free)
	owned := len(m.owned)
	damping := eventloop.Micros(0)
	if len(m.nodes) > 1 {
		damping = m.claimDamping(now)
	}
	var due []string
	for _, key := range free {
		wait := m.claimWait(owned, preferred[key]) + delay
		switch {
		case leaderOwnsAll && leads:
			wait = 0
		case leaderOwnsAll && key != leaderKey:
			continue
		}
		if now-m.freeAt[key] >= wait+damping {
			owned++
			due = append(due, key)
		}
	}
	batch := 1 // single teams are few: with one claim each, a conflict on one affects no other
	if m.layout.Numbered() {
		batch = m.client.MaxChanges()
	}
	for len(due) > 0 {
		n := min(len(due), batch)
		m.claim(due[:n])
		due = due[n:]
	}
}

// freeKeys lists, in order, the keys that no controller claims and that this controller is not claiming.
func (m *Member) freeKeys(now eventloop.Micros) []string {
	var free []string
	for _, key := range m.claimKeys() {
		if _, taken := m.mirror.Get(key); taken || m.claiming[key] {
			continue
		}
		if _, known := m.freeAt[key]; !known {
			m.freeAt[key] = now
		}
		free = append(free, key)
	}
	return free
}

// preferred assigns each free key to the registered controller that then holds the fewest.
// Controllers that see the same registrations and claims come to the same result, so that
// they seldom claim the same key; where they do, one of their transactions fails.
func (m *Member) preferred(free []string) map[string]string {
	held := map[string]int{}
	for _, key := range m.claimKeys() {
		if o, ok := m.claimOwner(key); ok {
			held[o.Node]++
		}
	}
	var nodes []string
	for node := range eventloop.Sorted(m.nodes) {
		if node == m.Label || m.Fit == nil || m.Fit(node) {
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
	claimDelayStep = 250 * eventloop.Millisecond
	maxClaimDelay  = 1200 * eventloop.Millisecond
	// claimYield is how long a key is left to its preferred controller.
	claimYield = 400 * eventloop.Millisecond
)

// claimWait returns for how long a key must have been free before this controller, which
// holds owned keys, claims it; preferred is the controller that should get the key.
func (m *Member) claimWait(owned int, preferred string) eventloop.Micros {
	mine := !m.layout.Numbered() || preferred == m.Label
	if m.layout.Numbered() && mine && len(m.nodes) >= m.Controllers {
		return 0 // all controllers are registered, so no other one should get the key
	}
	fair := (len(m.claimKeys()) - 1 + len(m.nodes)) / max(len(m.nodes), 1)
	wait := eventloop.Micros(owned) * claimDelayStep
	if owned >= fair {
		wait = maxClaimDelay
	}
	if !mine {
		wait += claimYield
	}
	return wait
}

// claimKeys returns the keys of all claims: those of the layout's partitions and the leadership.
func (m *Member) claimKeys() []string {
	var keys []string
	if m.layoutState != layoutUndecided {
		for _, id := range m.layout.All(m.Teams) {
			keys = append(keys, id.ClaimKey())
		}
	}
	return append(keys, leaderKey)
}

// AllIsolated reports whether no controller reaches another, by what each has registered.
func (m *Member) AllIsolated() bool {
	for _, rec := range m.nodes {
		if !rec.Isolated {
			return false
		}
	}
	return len(m.nodes) > 1
}

// evictInterval is the least time between two evictions of the same controller.
const evictInterval = 60 * eventloop.Second

// Evict ends the lease of a controller that refuses connections and sends no messages. This
// does not prove that it failed, and need not: all it records is conditioned on its claims,
// so one that still runs merely joins again.
func (m *Member) Evict(label string) {
	rec, ok := m.nodes[label]
	now := m.runner.Now()
	if !ok || label == m.Label || !m.LeaseValid() {
		return
	}
	if at, was := m.evicted[label]; was && now-at < evictInterval {
		// It joined again and still refuses connections from here: a packet filter lies
		// between. To end its lease again and again would leave its teams without an owner.
		return
	}
	m.evicted[label] = now
	m.log.Info("controller refuses connections; ending its lease so that others take over its partitions", "node", label, "lease", rec.Lease)
	m.client.EndLease(rec.Lease)
}

// claimRetry is the delay before a key is claimed again after another controller held it.
const claimRetry = eventloop.Second

// claim claims keys in one transaction: all of them or none.
func (m *Member) claim(keys []string) {
	lease := m.lease
	rec := ownerRecord{Node: m.Label, Epoch: m.incarnation}
	var txn wire.Txn
	for _, key := range keys {
		m.claiming[key] = true
		txn.If = append(txn.If, wire.Cond{Key: key, Revision: 0})
		txn.Then = append(txn.Then, wire.Change{Put: key, Value: rec, Lease: lease})
	}
	m.client.Txn(store.Leases, txn, func(r store.Result) {
		for _, key := range keys {
			delete(m.claiming, key)
		}
		switch {
		case r.Outcome == store.NoLease && lease == m.lease:
			m.leaseLost()
		case r.Outcome == store.Conflict && len(keys) > 1:
			for _, key := range r.FailedKeys {
				m.freeAt[key] = m.runner.Now() + claimRetry
			}
		case r.Outcome == store.Applied && lease == m.lease:
			for _, key := range keys {
				m.mirror.Apply(key, wire.Marshal(rec), r.Revision, false)
			}
		}
	})
}

// TeamOwner returns the owner of a team as far as this controller knows.
func (m *Member) TeamOwner(team string) (Owner, bool) {
	key := teamKeys + team
	if m.layout.Numbered() {
		if rec, _, ok := m.claimRecord(key); !ok || rec.Partition != "" {
			key = m.layout.Of(team).ClaimKey()
		}
	}
	return m.claimOwner(key)
}

// Leader returns the leader as far as this controller knows.
func (m *Member) Leader() (Owner, bool) { return m.claimOwner(leaderKey) }

// Leads reports whether this controller leads, and its claim.
func (m *Member) Leads() (Owner, bool) {
	o, ok := m.owned[leaderKey]
	return o, ok
}

// ClaimCond returns the condition that the partition is still owned under this claim.
func ClaimCond(id partition.ID, claim Owner) wire.Cond {
	return wire.Cond{Key: id.ClaimKey(), Revision: claim.Revision}
}

// LeaderCond returns the condition that this claim still holds the leadership.
func LeaderCond(claim Owner) wire.Cond { return wire.Cond{Key: leaderKey, Revision: claim.Revision} }
