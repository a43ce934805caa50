package member

import (
	"cleatpick/internal/loop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// anyFit tells whether a node that may be given work is registered.
func (b *Member) anyFit() bool {
	for node := range b.nodes {
		if node != b.Label && b.Fit != nil && b.Fit(node) {
			return true
		}
	}
	return false
}

const (
	// A node that lost its lease twice and more claims later than others do, by backward
	// doubled each time up to mostBackward: it would lose its teams once more.
	backward     = loop.Second
	mostBackward = 8 * loop.Second
	// goodFor is for how long it must hold its lease to be as any other.
	goodFor = 60 * loop.Second
)

// damped is how much later than others this node claims what is free.
func (b *Member) damped(now loop.Micros) loop.Micros {
	if b.losses < 2 || now-b.joined >= goodFor {
		return 0
	}
	return min(backward<<min(b.losses-2, 10), mostBackward)
}

// uneven ownership is borne for this long before it is evened out.
const unevenFor = 8 * loop.Second

// share gives a partition to a node that owns at least two keys fewer, as after that node
// has returned: each node has only its own part of a core and of the state service.
func (b *Member) share(now loop.Micros) {
	counts := map[string]int{}
	for _, key := range b.keys() {
		if o, ok := b.owner(key); ok {
			counts[o.Node]++
		} else {
			b.uneven = 0 // something is free, and may even it out
			return
		}
	}
	mine, poorer := len(b.mine), false
	for node := range b.nodes {
		if counts[node] > mine || (counts[node] == mine && node < b.Label) {
			b.uneven = 0 // another one gives first
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
			b.giveBack(best, "another node owns less")
		}
	}
}

// handOver gives everything owned back, so that others may claim it.
func (b *Member) handOver(why string) {
	for key := range loop.Sorted(b.mine) {
		b.giveBack(key, why)
	}
}

// giveBack ends a claim of this node.
func (b *Member) giveBack(key, why string) {
	b.log.Info("hands over", "key", key, "why", why)
	b.c.Txn(store.Leases, wire.Txn{If: []wire.Cond{{Key: key, Mark: b.mine[key].Mark}}, Then: []wire.Change{{Delete: key}}}, func(r store.Result) {
		if r.Outcome == store.Applied {
			b.m.Apply(key, nil, r.Revision, true)
		}
	})
}
