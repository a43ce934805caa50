package membership

import (
	"cleatpick/internal/eventloop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

const (
	// minEpochRetry is the least delay before a controller that got no epoch tries again.
	minEpochRetry = 300 * eventloop.Millisecond
	// controllersPerSpread is the number of controllers for which the retries are spread over
	// one more minEpochRetry: of all that try at the same time, only one gets the next epoch.
	controllersPerSpread = 4
)

// epochRetry returns the delay before this controller tries again to get an epoch.
func (m *Member) epochRetry() eventloop.Micros {
	spread := minEpochRetry * eventloop.Micros(m.Controllers/controllersPerSpread)
	if spread == 0 {
		return minEpochRetry
	}
	return minEpochRetry + m.rand.Int64N(spread)
}

func (m *Member) join() {
	if m.state != Joining {
		return
	}
	sent := m.runner.Now()
	m.client.OpenLease(m.LeaseTTL, func(id uint64) {
		if id == 0 {
			m.runner.After(400*eventloop.Millisecond, m.join)
			return
		}
		m.lease, m.leaseUntil, m.leaseSince = id, sent+m.LeaseTTL, m.runner.Now()
		m.setState(AwaitingEpoch)
		m.joinWithEpoch(id)
		m.runner.After(m.LeaseTTL/4, func() { m.renew(id) })
	})
}

// joinWithEpoch takes the next epoch and registers the controller under it.
func (m *Member) joinWithEpoch(lease uint64) {
	retry := func() { m.runner.After(m.epochRetry(), func() { m.joinWithEpoch(lease) }) }
	if m.lease != lease {
		return
	}
	m.takeEpoch(func(epoch uint64) {
		if m.lease != lease {
			return
		}
		if epoch == 0 {
			retry()
			return
		}
		m.incarnation = epoch
		m.register(lease, false)
	})
}

// register stores this controller's registration and whether it is isolated. It is called
// again when the stored record is another one: a registration that was sent earlier may be
// applied late and replace this one. One of an earlier incarnation would then vanish with the
// earlier lease, which would leave a running controller unregistered.
func (m *Member) register(lease uint64, alone bool) {
	if m.lease != lease || m.registering {
		return
	}
	m.registering = true
	rec := nodeRecord{Epoch: m.incarnation, Lease: lease, Isolated: alone, Layouts: m.generation()}
	m.client.Txn(store.Leases, wire.Txn{Then: []wire.Change{{Put: nodeKeys + m.Label, Value: rec, Lease: lease}}}, func(r store.Result) {
		m.registering = false
		switch {
		case m.lease != lease:
		case r.Outcome == store.NoLease:
			m.leaseLost()
		case r.Outcome == store.Applied:
			m.mirror.Apply(nodeKeys+m.Label, wire.Marshal(rec), r.Revision, false)
			if m.state == AwaitingEpoch {
				m.setState(Active)
				m.tick()
			}
		case m.state == AwaitingEpoch:
			m.runner.After(300*eventloop.Millisecond, func() { m.register(lease, alone) })
		}
	})
}

// takeEpoch increments the shared epoch counter. The callback gets the new epoch, or 0 if
// none was obtained.
func (m *Member) takeEpoch(callback func(uint64)) {
	m.client.Get(store.Leases, epochKey, func(it wire.KeyValue, found, ok bool) {
		if !ok {
			callback(0)
			return
		}
		var rec epochRecord
		if found && wire.Unmarshal(it.Value, &rec) != nil {
			m.log.Error("corrupt epoch record; this controller cannot get an epoch", "key", epochKey)
			callback(0)
			return
		}
		next := rec.Epoch + 1
		m.client.Txn(store.Leases, wire.Txn{If: []wire.Cond{{Key: epochKey, Revision: it.Revision}},
			Then: []wire.Change{{Put: epochKey, Value: epochRecord{next}}}}, func(r store.Result) {
			if r.Outcome != store.Applied {
				// Without an answer the epoch may have been taken or not. It is never
				// used, and the next attempt takes a later one.
				callback(0)
				return
			}
			m.epoch = max(m.epoch, next)
			callback(next)
		})
	})
}

// RaiseEpoch takes a newer epoch, so that a machine that has seen a higher token accepts
// this controller's commands again. done runs whether or not it succeeds.
func (m *Member) RaiseEpoch(done func()) {
	m.epochWaiters = append(m.epochWaiters, done)
	if len(m.epochWaiters) > 1 {
		return
	}
	m.takeEpoch(func(uint64) {
		all := m.epochWaiters
		m.epochWaiters = nil
		for _, f := range all {
			f()
		}
	})
}

func (m *Member) renew(id uint64) {
	if m.lease != id {
		return
	}
	sent := m.runner.Now()
	next := func() { m.runner.After(m.LeaseTTL/4, func() { m.renew(id) }) }
	m.client.RenewLease(id, func(alive, ok bool) {
		switch {
		case m.lease != id:
		case ok && !alive:
			m.leaseLost()
		case ok:
			m.leaseUntil = sent + m.LeaseTTL
			next()
		default:
			next()
		}
	})
}

// leaseLost drops all claims, because the lease has ended and the claims with it, and joins again.
func (m *Member) leaseLost() {
	m.log.Info("controller lease ended; all claims are lost and the controller joins again", "lease", m.lease)
	if m.runner.Now()-m.leaseSince >= stableAfter {
		m.leaseLosses = 0
	}
	m.leaseLosses++
	m.lease, m.leaseUntil = 0, 0
	for key := range eventloop.Sorted(m.owned) {
		m.drop(key)
	}
	m.setState(Joining)
	m.join()
}
