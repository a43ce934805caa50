package autoscaler

import "cleatpick/internal/eventloop"

// callPurpose is the purpose of a cloud call. Calls are scarce, and with many machines several purposes wait
// for one at any time; pendingCalls.next alone decides which comes first.
type callPurpose int

// The purposes.
const (
	readCatalog  callPurpose = iota // machine types and prices
	readList                        // existing machines
	deleteFailed                    // confirms that the tasks on failed machines are terminated, and frees cloud capacity
	sendOrder                       // rents machines for unplaced requests
	deleteIdle                      // deletes idle machines, to save cost
	plan                            // no call: unplaced requests become a recorded order
)

func (d callPurpose) String() string {
	return [...]string{"readCatalog", "readList", "deleteLost", "sendOrder", "giveBack", "plan"}[d]
}

const (
	// catalogInterval is the age from which the catalog is read again.
	catalogInterval = 45 * eventloop.Second
	// idleBatchDelay is how long machines that are no longer needed wait for others to be deleted in the same
	// call, while they are fewer than one call takes: each such call is one call less for orders.
	idleBatchDelay = 500 * eventloop.Millisecond
	// maxOrdersInARow is the number of orders that may be sent in a row while idle machines wait for deletion.
	maxOrdersInARow = 3
)

// pendingCalls is the work that waits for a cloud call.
type pendingCalls struct {
	now               eventloop.Micros
	listed            bool // the list was read since this leadership began
	listAt, catalogAt eventloop.Micros
	listEvery         eventloop.Micros
	failed            int
	order             bool
	idle              int
	idleSince         eventloop.Micros
	ordersInARow      int
}

// next returns the purpose of the next call.
func (a *pendingCalls) next() callPurpose {
	overdue := a.now-a.listAt > 3*a.listEvery
	idle := a.idle > 0 && (a.idle >= maxDeletionsPerCall || a.now-a.idleSince >= idleBatchDelay)
	switch {
	case a.catalogAt == 0:
		return readCatalog
	case !a.listed:
		return readList
	case a.failed > 0 && !overdue:
		return deleteFailed
	case overdue:
		return readList // a list that is never read hides machines that were rented unknowingly
	case a.order && !(idle && a.ordersInARow >= maxOrdersInARow):
		return sendOrder
	case a.now-a.listAt > a.listEvery:
		return readList
	case a.now-a.catalogAt > catalogInterval:
		return readCatalog
	case idle:
		return deleteIdle
	}
	return plan
}

// nextCall collects the work that waits, and returns what comes first, with the order that is ready.
func (a *Autoscaler) nextCall(now eventloop.Micros) (callPurpose, *order) {
	o := a.nextOrder()
	calls := pendingCalls{now: now, listed: a.listed, listAt: a.listAt, catalogAt: a.catalogAt, ordersInARow: a.ordersInARow, order: o != nil,
		listEvery: max(5*eventloop.Second, eventloop.Seconds(a.cfg.Cluster.Cloud.ListLagS))}
	for _, m := range a.deleting {
		if m.failed {
			calls.failed++
			continue
		}
		if calls.idle++; calls.idleSince == 0 || m.deleteAt < calls.idleSince {
			calls.idleSince = m.deleteAt
		}
	}
	return calls.next(), o
}

// perform makes one call or plan; o is the order that is ready.
func (a *Autoscaler) perform(d callPurpose, o *order) {
	switch d {
	case readCatalog:
		a.fetchCatalog()
	case readList:
		a.list("", nil)
	case deleteFailed, deleteIdle:
		a.ordersInARow = 0
		a.deleteNext()
	case sendOrder:
		a.ordersInARow++
		a.send(o)
	case plan:
		a.recordOrders()
	}
}
