package member

import (
	"cleatpick/internal/loop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

const (
	// minEpochRetry is the least delay before a controller that got no epoch tries again.
	minEpochRetry = 300 * loop.Millisecond
	// controllersPerSpread is the number of controllers for which the retries are spread over
	// one more minEpochRetry: of all that try at the same time, only one gets the next epoch.
	controllersPerSpread = 4
)

// epochRetry returns the delay before this controller tries again to get an epoch.
func (b *Member) epochRetry() loop.Micros {
	spread := minEpochRetry * loop.Micros(b.Controllers/controllersPerSpread)
	if spread == 0 {
		return minEpochRetry
	}
	return minEpochRetry + b.rand.Int64N(spread)
}

func (b *Member) join() {
	if b.state != Joining {
		return
	}
	sent := b.runner.Now()
	b.client.OpenLease(b.LeaseTTL, func(id uint64) {
		if id == 0 {
			b.runner.After(400*loop.Millisecond, b.join)
			return
		}
		b.lease, b.leaseUntil, b.leaseSince = id, sent+b.LeaseTTL, b.runner.Now()
		b.setState(AwaitingEpoch)
		b.joinWithEpoch(id)
		b.runner.After(b.LeaseTTL/4, func() { b.renew(id) })
	})
}

// joinWithEpoch takes the next epoch and registers the controller under it.
func (b *Member) joinWithEpoch(lease uint64) {
	retry := func() { b.runner.After(b.epochRetry(), func() { b.joinWithEpoch(lease) }) }
	if b.lease != lease {
		return
	}
	b.takeEpoch(func(epoch uint64) {
		if b.lease != lease {
			return
		}
		if epoch == 0 {
			retry()
			return
		}
		b.incarnation = epoch
		b.register(lease, false)
	})
}

// register stores this controller's registration and whether it is isolated. It is called
// again when the stored record is not this incarnation's: a registration sent by an earlier
// incarnation may be applied late, replace this one and vanish with the earlier lease, which
// would leave a running controller unregistered.
func (b *Member) register(lease uint64, alone bool) {
	if b.lease != lease || b.registering {
		return
	}
	b.registering = true
	rec := nodeRecord{Epoch: b.incarnation, Lease: lease, Isolated: alone, Layouts: b.generation()}
	b.client.Txn(store.Leases, wire.Txn{Then: []wire.Change{{Put: nodeKeys + b.Label, Value: rec, Lease: lease}}}, func(r store.Result) {
		b.registering = false
		switch {
		case b.lease != lease:
		case r.Outcome == store.NoLease:
			b.leaseLost()
		case r.Outcome == store.Applied:
			b.registeredIsolated = alone
			b.mirror.Apply(nodeKeys+b.Label, wire.Marshal(rec), r.Revision, false)
			if b.state == AwaitingEpoch {
				b.setState(Active)
				b.tick()
			}
		case b.state == AwaitingEpoch:
			b.runner.After(300*loop.Millisecond, func() { b.register(lease, alone) })
		}
	})
}

// takeEpoch increments the shared epoch counter. The callback gets the new epoch, or 0 if
// none was obtained.
func (b *Member) takeEpoch(callback func(uint64)) {
	b.client.Get(store.Leases, epochKey, func(it wire.KeyValue, found, ok bool) {
		if !ok {
			callback(0)
			return
		}
		var rec epochRecord
		if found && wire.Unmarshal(it.Value, &rec) != nil {
			b.log.Error("corrupt epoch record; this controller cannot get an epoch", "key", epochKey)
			callback(0)
			return
		}
		next := rec.Epoch + 1
		b.client.Txn(store.Leases, wire.Txn{If: []wire.Cond{{Key: epochKey, Revision: it.Revision}},
			Then: []wire.Change{{Put: epochKey, Value: epochRecord{next}}}}, func(r store.Result) {
			if r.Outcome != store.Applied {
				// Without an answer the epoch may have been taken or not. It is never
				// used, and the next attempt takes a later one.
				callback(0)
				return
			}
			b.epoch = max(b.epoch, next)
			callback(next)
		})
	})
}

// RaiseEpoch takes a newer epoch, so that a machine that has seen a higher token accepts
// this controller's commands again. done runs whether or not it succeeds.
func (b *Member) RaiseEpoch(done func()) {
	b.epochWaiters = append(b.epochWaiters, done)
	if len(b.epochWaiters) > 1 {
		return
	}
	b.takeEpoch(func(uint64) {
		all := b.epochWaiters
		b.epochWaiters = nil
		for _, f := range all {
			f()
		}
	})
}

func (b *Member) renew(id uint64) {
	if b.lease != id {
		return
	}
	sent := b.runner.Now()
	next := func() { b.runner.After(b.LeaseTTL/4, func() { b.renew(id) }) }
	b.client.RenewLease(id, func(alive, ok bool) {
		switch {
		case b.lease != id:
		case ok && !alive:
			b.leaseLost()
		case ok:
			b.leaseUntil = sent + b.LeaseTTL
			next()
		default:
			next()
		}
	})
}

// leaseLost drops all claims, because the lease has ended and the claims with it, and joins again.
func (b *Member) leaseLost() {
	b.log.Info("controller lease ended; all claims are lost and the controller joins again", "lease", b.lease)
	if b.runner.Now()-b.leaseSince >= stableAfter {
		b.leaseLosses = 0
	}
	b.leaseLosses++
	b.lease, b.leaseUntil, b.registeredIsolated = 0, 0, false
	for key := range loop.Sorted(b.owned) {
		b.drop(key)
	}
	b.setState(Joining)
	b.join()
}
