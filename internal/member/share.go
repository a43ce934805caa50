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
	// later than others: by backward, doubled with each further loss up to mostBackward.
	backward     = loop.Second
	mostBackward = 8 * loop.Second
	// goodFor is how long it must hold its lease before this delay ends.
	goodFor = 60 * loop.Second
)

// damped returns how much later than others this controller claims free keys because of
// lost leases.
func (b *Member) damped(now loop.Micros) loop.Micros {
	if b.losses < 2 || now-b.joined >= goodFor {
		return 0
	}
	return min(backward<<min(b.losses-2, 10), mostBackward)
}

// unevenFor is how long an uneven distribution of partitions must last before one is moved.
const unevenFor = 8 * loop.Second

// share releases a partition if another fit controller owns at least two keys fewer, as after
// it has restarted. Each controller has a limited share of a core and of the state service's
// request rate, so the partitions should be spread evenly.
func (b *Member) share(now loop.Micros) {
	counts := map[string]int{}
	for _, key := range b.keys() {
		if o, ok := b.owner(key); ok {
			counts[o.Node]++
		} else {
			b.uneven = 0 // a free key may even out the distribution when it is claimed
			return
		}
	}
	mine, poorer := len(b.mine), false
	for node := range b.nodes {
		if counts[node] > mine || (counts[node] == mine && node < b.Label) {
			b.uneven = 0 // a controller that owns more releases first
			return
		}
		poorer = poorer || (counts[node]+2 <= mine && b.Fit != nil && b.Fit(node))
	}
	switch {
	case !poorer:
		b.uneven = 0
	case b.uneven == 0:
		b.uneven = now
	case now-b.uneven >= unevenFor:
		b.uneven = 0
		best, least := "", 0
		for _, id := range b.layout.All(b.Teams) {
			key := id.ClaimKey()
			if _, ok := b.mine[key]; !ok {
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
			b.giveBack(best, "another controller owns fewer partitions")
		}
	}
}

// handOver releases all claims, so that other controllers may take them.
func (b *Member) handOver(why string) {
	for key := range loop.Sorted(b.mine) {
		b.giveBack(key, why)
	}
}

// giveBack releases a claim of this controller.
func (b *Member) giveBack(key, why string) {
	b.log.Info("releasing ownership claim so that another controller can take it", "key", key, "why", why)
	b.c.Txn(store.Leases, wire.Txn{If: []wire.Cond{{Key: key, Mark: b.mine[key].Revision}}, Then: []wire.Change{{Delete: key}}}, func(r store.Result) {
		if r.Outcome == store.Applied {
			b.m.Apply(key, nil, r.Tally, true)
		}
	})
}
