package member

import (
	"cleatpick/internal/loop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// anyFit reports whether another controller that may be given work is registered.
func (b *Member) anyFit() bool {
	for node := range b.nodes {
		if node != b.Label && b.Fit != nil && b.Fit(node) {
			return true
		}
	}
	return false
}

const (
	// A controller that lost its lease twice or more is likely to lose it again, so it claims
	// later than others: by claimBackoff, doubled with each further loss up to maxClaimBackoff.
	claimBackoff    = loop.Second
	maxClaimBackoff = 8 * loop.Second
	// stableAfter is how long it must hold its lease before this delay ends.
	stableAfter = 60 * loop.Second
)

// claimDamping returns how much later than others this controller claims free keys because of
// lost leases.
func (b *Member) claimDamping(now loop.Micros) loop.Micros {
	if b.leaseLosses < 2 || now-b.leaseSince >= stableAfter {
		return 0
	}
	return min(claimBackoff<<min(b.leaseLosses-2, 10), maxClaimBackoff)
}

// rebalanceAfter is how long an uneven distribution of partitions must last before one is moved.
const rebalanceAfter = 8 * loop.Second

// rebalance releases a partition if another fit controller owns at least two keys fewer, as
// after that one has restarted. Each controller has a limited share of a core and of the state
// service's request rate, so the partitions should be spread evenly.
func (b *Member) rebalance(now loop.Micros) {
	counts := map[string]int{}
	for _, key := range b.claimKeys() {
		if o, ok := b.claimOwner(key); ok {
			counts[o.Node]++
		} else {
			b.unevenSince = 0 // a free key may even out the distribution when it is claimed
			return
		}
	}
	mine, poorer := len(b.owned), false
	for node := range b.nodes {
		if counts[node] > mine || (counts[node] == mine && node < b.Label) {
			b.unevenSince = 0 // a controller that owns more releases first
			return
		}
		poorer = poorer || (counts[node]+2 <= mine && b.Fit != nil && b.Fit(node))
	}
	switch {
	case !poorer:
		b.unevenSince = 0
	case b.unevenSince == 0:
		b.unevenSince = now
	case now-b.unevenSince >= rebalanceAfter:
		b.unevenSince = 0
		best, least := "", 0
		for _, id := range b.layout.All(b.Teams) {
			key := id.ClaimKey()
			if _, ok := b.owned[key]; !ok {
				continue
			}
			w := 0
			if b.Weight != nil {
				w = b.Weight(id)
			}
			if best == "" || w < least {
				best, least = key, w
			}
		}
		if best != "" {
			b.release(best, "another controller owns fewer partitions")
		}
	}
}

// handOver releases all claims, so that other controllers may take them.
func (b *Member) handOver(why string) {
	for key := range loop.Sorted(b.owned) {
		b.release(key, why)
	}
}

// release releases a claim of this controller.
func (b *Member) release(key, why string) {
	b.log.Info("releasing ownership claim so that another controller can take it", "key", key, "why", why)
	b.client.Txn(store.Leases, wire.Txn{If: []wire.Cond{{Key: key, Revision: b.owned[key].Revision}}, Then: []wire.Change{{Delete: key}}}, func(r store.Result) {
		if r.Outcome == store.Applied {
			b.mirror.Apply(key, nil, r.Revision, true)
		}
	})
}
