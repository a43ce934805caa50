package autoscaler

import (
	"slices"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/membership"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// orderRetryDelay is the pause before a write of an order's record is repeated.
const orderRetryDelay = 300 * eventloop.Millisecond

// orderWrite is a change of one order's record in the state service. It is repeated until its outcome is certain, or
// until this controller no longer leads under the claim with which it was begun: a record that is stored although the
// leader takes it for lost, or lost although it takes it for stored, would be carried out once more by the next leader.
type orderWrite struct {
	order     *order
	claim     membership.Owner
	class     store.Class
	change    wire.Change
	uncertain bool // an attempt got no answer; it may have been executed, or may be executed later
	done      func(stored bool)
}

// storeOrder stores an order's record. done is called with whether it is stored, once that is certain.
func (a *Autoscaler) storeOrder(o *order, done func(stored bool)) {
	a.tryOrderWrite(&orderWrite{order: o, claim: a.claim, class: store.Placements, change: wire.Change{Put: OrderKeys + o.name, Value: o.record}, done: done})
}

// dropOrder forgets an order and deletes its record.
func (a *Autoscaler) dropOrder(o *order) {
	delete(a.orders, o.name)
	a.tryOrderWrite(&orderWrite{order: o, claim: a.claim, class: store.Background, change: wire.Change{Delete: OrderKeys + o.name}, done: func(bool) {}})
}

// wanted reports whether the write is still to be made.
func (a *Autoscaler) wanted(w *orderWrite) bool {
	return a.leads && a.claim == w.claim && (w.change.Delete != "" || a.orders[w.order.name] == w.order)
}

// tryOrderWrite makes one attempt of a write.
func (a *Autoscaler) tryOrderWrite(w *orderWrite) {
	if !a.wanted(w) {
		return
	}
	txn := wire.Txn{If: []wire.Cond{membership.LeaderCond(w.claim)}, Then: []wire.Change{w.change}}
	if w.change.Put != "" {
		txn.If = append(txn.If, wire.Cond{Key: w.change.Put, Revision: w.order.revision})
	}
	a.client.Txn(w.class, txn, func(r store.Result) {
		if a.wanted(w) {
			a.handleOrderWrite(w, r)
		}
	})
}

// handleOrderWrite handles the answer to an attempt.
func (a *Autoscaler) handleOrderWrite(w *orderWrite, r store.Result) {
	switch {
	case r.Outcome == store.Applied:
		w.order.revision = r.Revision
		if w.change.Delete != "" {
			a.mirror.Apply(w.change.Delete, nil, r.Revision, true)
		}
		w.done(true)
	case r.Outcome == store.Conflict && w.change.Put != "" && slices.Contains(r.FailedKeys, w.change.Put):
		a.readOrder(w) // an earlier attempt was executed
	case r.Outcome == store.Conflict, r.Outcome == store.Invalid:
		w.done(false) // the leadership is lost, or the service does not accept the record
	case r.Outcome == store.Refused && w.order.revision == 0 && !w.uncertain:
		w.done(false) // nothing is stored, so the order can be planned anew
	default:
		w.uncertain = w.uncertain || r.Outcome == store.Unknown
		a.runner.After(orderRetryDelay, func() { a.tryOrderWrite(w) })
	}
}

// readOrder reads the record that an earlier attempt of a write has stored.
func (a *Autoscaler) readOrder(w *orderWrite) {
	a.client.Get(w.class, w.change.Put, func(it wire.KeyValue, found, ok bool) {
		var have Order
		switch {
		case !a.wanted(w):
		case !ok || found && wire.Unmarshal(it.Value, &have) != nil:
			a.runner.After(orderRetryDelay, func() { a.readOrder(w) })
		case !found || !have.sameRequest(&w.order.record):
			w.done(false) // the key holds another order, which is kept
		case have.Answered == w.order.record.Answered:
			w.order.revision = it.Revision
			w.done(true)
		default:
			w.order.revision = it.Revision
			a.tryOrderWrite(w)
		}
	})
}

// sameRequest reports whether two records are of the same rental request, answered or not.
func (o *Order) sameRequest(x *Order) bool {
	return o.Type == x.Type && o.Zone == x.Zone && o.Spot == x.Spot && o.Count == x.Count && o.At == x.At
}
