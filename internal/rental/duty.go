package rental

import "cleatpick/internal/loop"

// duty names what a cloud call is for. Calls are few, and with many machines several
// duties wait for one at any time: what comes first is decided here alone.
type duty int

// The duties.
const (
	readCatalog duty = iota // what can be rented, and for how much
	readList                // what is there
	deleteLost              // proves tasks off that wait for nothing else, and frees capacity
	sendOrder               // rents for misses
	giveBack                // saves money
	plan                    // no call: misses become a recorded order
)

func (d duty) String() string {
	return [...]string{"readCatalog", "readList", "deleteLost", "sendOrder", "giveBack", "plan"}[d]
}

const (
	catalogEvery = 45 * loop.Second
	// gathering is how long machines that are given back wait for others, as long as
	// fewer than a call takes wait: each call for one of them is one less for orders.
	gathering = 500 * loop.Millisecond
	// mostStreak is how many orders may go out in a row while machines wait to be given back.
	mostStreak = 3
)

// agenda is what waits for a call.
type agenda struct {
	now           loop.Micros
	listed        bool // a list was read in this leadership
	listAt, catAt loop.Micros
	listEvery     loop.Micros
	lost          int
	order         bool
	idle          int
	idleSince     loop.Micros
	streak        int
}

// first is the duty that the next call serves.
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
		return readList // a list that is put off for ever hides machines that nobody expects
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

// next gathers what waits, and tells what comes first, with the order that is ready.
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

// perform does one duty; o is the order that is ready.
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
