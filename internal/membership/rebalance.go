package membership

import (
	"cleatpick/internal/eventloop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// anyFit reports whether another controller that may be given work is registered.
func (m *Member) anyFit() bool {
	for node := range m.nodes {
		if node != m.Label && m.Fit != nil && m.Fit(node) {
			return true
		}
	}
	return false
}

const (
	// A controller that lost its lease twice or more is likely to lose it again, so it claims
	// later than others: by claimBackoff, doubled with each further loss up to maxClaimBackoff.
	claimBackoff    = eventloop.Second
	maxClaimBackoff = 8 * eventloop.Second
	// stableAfter is how long it must hold its lease before this delay ends.
	stableAfter = 60 * eventloop.Second
)

// claimDamping returns how much later than others this controller claims free keys because of
// lost leases.
func (m *Member) claimDamping(now eventloop.Micros) eventloop.Micros {
	if m.leaseLosses < 2 || now-m.leaseSince >= stableAfter {
		return 0
	}
	return min(claimBackoff<<min(m.leaseLosses-2, 10), maxClaimBackoff)
}

// rebalanceAfter is how long an uneven distribution of partitions must last before one is moved.
const rebalanceAfter = 8 * eventloop.Second

// rebalance releases a partition if another fit controller owns at least two keys fewer, as
// after that one has restarted. Each controller has a limited share of a core and of the state
// service's request rate, so the partitions should be spread evenly.
func (m *Member) rebalance(now eventloop.Micros) {
	counts := map[string]int{}
	for _, key := range m.claimKeys() {
		if o, ok := m.claimOwner(key); ok {
			counts[o.Node]++
		} else {
			m.unevenSince = 0 // a free key may even out the distribution when it is claimed
			return
		}
	}
	mine, poorer := len(m.owned), false
	for node := range m.nodes {
		if counts[node] > mine || (counts[node] == mine && node < m.Label) {
			m.unevenSince = 0 // a controller that owns more releases first
			return
		}
		poorer = poorer || (counts[node]+2 <= mine && m.Fit != nil && m.Fit(node))
	}
	switch {
	case !poorer:
		m.unevenSince = 0
	case m.unevenSince == 0:
		m.unevenSince = now
	case now-m.unevenSince >= rebalanceAfter:
		m.unevenSince = 0
		best, least := "", 0
		for _, id := range m.layout.All(m.Teams) {
			key := id.ClaimKey()
			if _, ok := m.owned[key]; !ok {
				continue
			}
			w := 0
			if m.Weight != nil {
				w = m.Weight(id)
			}
			if best == "" || w < least {
				best, least = key, w
			}
		}
		if best != "" {
			m.release(best, "another controller owns fewer partitions")
		}
	}
}

// handOver releases all claims, so that other controllers may take them.
func (m *Member) handOver(why string) {
	for key := range eventloop.Sorted(m.owned) {
		m.release(key, why)
	}
}

// release releases a claim of this controller.
func (m *Member) release(key, why string) {
	m.log.Info("releasing ownership claim so that another controller can take it", "key", key, "why", why)
	m.client.Txn(store.Leases, wire.Txn{If: []wire.Cond{{Key: key, Revision: m.owned[key].Revision}}, Then: []wire.Change{{Delete: key}}}, func(r store.Result) {
		if r.Outcome == store.Applied {
			m.mirror.Apply(key, nil, r.Revision, true)
		}
	})
}
