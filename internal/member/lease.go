package member

import (
	"cleatpick/internal/loop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

const (
	// retryEpoch is the least time until a node that did not get an epoch tries again.
	retryEpoch = 300 * loop.Millisecond
	// spreadEvery is the number of controllers for each retryEpoch over which their retries
	// are spread: of all that try at a time, one gets the next epoch.
	spreadEvery = 4
)

// epochRetry is the time until this node tries again to get an epoch.
func (b *Member) epochRetry() loop.Micros {
	spread := retryEpoch * loop.Micros(b.Controllers/spreadEvery)
	if spread == 0 {
		return retryEpoch
	}
	return retryEpoch + b.rand.Int64N(spread)
}

func (b *Member) join() {
	if b.state != Joining {
		return
	}
	sent := b.r.Now()
	b.c.OpenLease(b.LeaseTTL, func(id uint64) {
		if id == 0 {
			b.r.After(400*loop.Millisecond, b.join)
			return
		}
		b.lease, b.until, b.joined = id, sent+b.LeaseTTL, b.r.Now()
		b.setState(Numbered)
		b.number(id)
		b.r.After(b.LeaseTTL/4, func() { b.renew(id) })
	})
}

// number takes the next epoch and registers the node under it.
func (b *Member) number(lease uint64) {
	again := func() { b.r.After(b.epochRetry(), func() { b.number(lease) }) }
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
	rec := nodeRecord{Epoch: b.inst, Lease: lease, Alone: alone, Layouts: b.generation()}
	b.c.Txn(store.Leases, wire.Txn{Then: []wire.Change{{Put: nodeKeys + b.Label, Value: rec, Lease: lease}}}, func(r store.Result) {
		b.telling = false
		switch {
		case b.lease != lease:
		case r.Outcome == store.NoLease:
			b.lost()
		case r.Outcome == store.Applied:
			b.alone = alone
			b.m.Apply(nodeKeys+b.Label, wire.Marshal(rec), r.Revision, false)
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
	next := func() { b.r.After(b.LeaseTTL/4, func() { b.renew(id) }) }
	b.c.RenewLease(id, func(alive, ok bool) {
		switch {
		case b.lease != id:
		case ok && !alive:
			b.lost()
		case ok:
			b.until = sent + b.LeaseTTL
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
