package rental

import "cleatpick/internal/loop"

// duty is the purpose of a cloud call. Calls are scarce, and with many machines several purposes wait for one
// at any time; agenda.first alone decides which comes first.
type duty int

// The purposes.
const (
	readCatalog duty = iota // machine types and prices
	readList                // existing machines
	deleteLost              // confirms that the tasks on failed machines are terminated, and frees cloud capacity
	sendOrder               // rents machines for unplaced requests
	giveBack                // deletes idle machines, to save cost
	plan                    // no call: unplaced requests become a recorded order
)

func (d duty) String() string {
	return [...]string{"readCatalog", "readList", "deleteLost", "sendOrder", "giveBack", "plan"}[d]
}

const (
	// catalogEvery is the age from which the catalog is read again.
	catalogEvery = 45 * loop.Second
	// gathering is how long machines that are no longer needed wait for others to be deleted in the same
	// call, while they are fewer than one call takes: each such call is one call less for orders.
	gathering = 500 * loop.Millisecond
	// mostStreak is the number of orders that may be sent in a row while idle machines wait for deletion.
	mostStreak = 3
)

// agenda is the work that waits for a cloud call.
type agenda struct {
	now           loop.Micros
	listed        bool // the list was read since this leadership began
	listAt, catAt loop.Micros
	listEvery     loop.Micros
	lost          int
	order         bool
	idle          int
	idleSince     loop.Micros
	streak        int
}

// first returns the purpose of the next call.
func (a *agenda) first() duty {
	overdue := a.now-a.listAt > 3*a.listEvery
	idle := a.idle > 0 && (a.idle >= mostDeleted || a.now-a.idleSince >= gathering)
	switch {
	case a.catAt == 0:
		return readCatalog
	case !a.listed:
		return readList
	case a.lost > 0 && !overdue:
		return deleteLost
	case overdue:
		return readList // a list that is never read hides machines that were rented unknowingly
	case a.order && !(idle && a.streak >= mostStreak):
		return sendOrder
	case a.now-a.listAt > a.listEvery:
		return readList
	case a.now-a.catAt > catalogEvery:
		return readCatalog
	case idle:
		return giveBack
	}
	return plan
}

// next collects the work that waits, and returns what comes first, with the order that is ready.
func (t *Rental) next(now loop.Micros) (duty, *order) {
	o := t.ready()
	a := agenda{now: now, listed: t.listed, listAt: t.listAt, catAt: t.catAt, streak: t.streak, order: o != nil,
		listEvery: max(5*loop.Second, loop.Seconds(t.cfg.Cluster.Cloud.ListLagS))}
	for _, m := range t.deleting {
		if m.lost {
			a.lost++
			continue
		}
		if a.idle++; a.idleSince == 0 || m.deleteAt < a.idleSince {
			a.idleSince = m.deleteAt
		}
	}
	return a.first(), o
}

// perform makes one call or plan; o is the order that is ready.
func (t *Rental) perform(d duty, o *order) {
	switch d {
	case readCatalog:
		t.fetchCatalog()
	case readList:
		t.list("", nil)
	case deleteLost, giveBack:
		t.streak = 0
		t.deleteSome()
	case sendOrder:
		t.streak++
		t.send(o)
	case plan:
		t.recordOrders()
	}
}
