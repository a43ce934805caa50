package store

// weights are the parts of this controller's share that the classes of requests get while all of them have
// requests waiting. What one class does not use goes to the others. Leases have no weight, since they never
// wait.
var weights = [numClasses]float64{Answers: 4, Inquiries: 4, Placements: 4, Results: 2, Background: 1}

// maxQueue bounds the number of waiting requests of one class.
const maxQueue = 1000

// classQueue holds the waiting requests of one class, in the order of their arrival.
type classQueue struct {
	waiting   []request
	finishTag float64 // finish tag of the newest request that was sent
}

// fairQueue implements start-time fair queueing over the classes of requests. Each request has a start tag: the
// finish tag of the previous request of its class or, if the class was idle, the least start tag of the waiting
// requests. The request with the least start tag is served first. So a class that always has requests waiting
// gets its weight of what is sent, whatever the other classes ask for, and the others get what a class does not
// use.
type fairQueue struct {
	classes     [numClasses]classQueue
	virtualTime float64 // the least start tag of the waiting requests when the newest request was sent
}

// startTag returns the start tag of the next request of a class.
func (q *fairQueue) startTag(p Class) float64 { return max(q.virtualTime, q.classes[p].finishTag) }

// add appends a request to its class.
func (q *fairQueue) add(r request) {
	q.classes[r.class].waiting = append(q.classes[r.class].waiting, r)
}

// head returns the next request of a class, nil if none waits.
func (q *fairQueue) head(p Class) *request {
	if w := q.classes[p].waiting; len(w) > 0 {
		return &w[0]
	}
	return nil
}

// waiting returns the number of waiting requests of a class.
func (q *fairQueue) waiting(p Class) int { return len(q.classes[p].waiting) }

// totalWaiting returns the number of waiting requests of all classes.
func (q *fairQueue) totalWaiting() (n int) {
	for p := range q.classes {
		n += len(q.classes[p].waiting)
	}
	return n
}

// leastStartTag returns the class with the least start tag among those whose head qualifies. Leases are left out.
func (q *fairQueue) leastStartTag(qualifies func(p Class, head *request) bool) (class Class, found bool) {
	for p := Leases + 1; p < numClasses; p++ {
		if head := q.head(p); head != nil && qualifies(p, head) && (!found || q.startTag(p) < q.startTag(class)) {
			class, found = p, true
		}
	}
	return class, found
}

// writer returns the class whose turn it is to send changes. No other class may, even if fewer changes would
// suffice for it; otherwise a large transaction could wait for ever.
func (q *fairQueue) writer() (class Class, found bool) {
	return q.leastStartTag(func(_ Class, head *request) bool { return head.writes > 0 })
}

// take removes the head of a class and charges the class for it; cost is measured in changes.
func (q *fairQueue) take(p Class, cost float64) request {
	if first, waits := q.leastStartTag(func(Class, *request) bool { return true }); waits {
		q.virtualTime = q.startTag(first)
	}
	c := &q.classes[p]
	r := c.waiting[0]
	c.waiting = c.waiting[1:]
	if p == Leases {
		return r
	}
	c.finishTag = q.startTag(p) + cost/weights[p]
	return r
}
