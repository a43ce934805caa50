package store

// weights are the parts of this node's share that the classes of requests have while all of them
// wait. What one does not use goes to the others. Leases have none: they are never kept waiting.
var weights = [prios]float64{Answers: 4, Inquiries: 4, Placements: 4, Results: 2, Background: 1}

// maxQueue bounds the requests of one class that wait.
const maxQueue = 1000

// classQueue is the requests of one class that wait, in the order in which they came.
type classQueue struct {
	waiting []request
	finish  float64 // the finish tag of the newest request that was sent
}

// fairQueue is start-time fair queueing over the classes of requests: each request has a start tag,
// which is the finish tag of the one before it in its class or, where the class was idle, the least start tag
// of those who wait; and the least start tag is served first. A class that keeps asking so gets its
// weight of what is sent, whatever the others ask for, and what a class does not use is the others'.
type fairQueue struct {
	classes [prios]classQueue
	now     float64 // the least start tag of those who waited when the newest request was sent
}

// start is the start tag of the next request of a class.
func (q *fairQueue) start(p Prio) float64 { return max(q.now, q.classes[p].finish) }

func (q *fairQueue) add(r request) {
	q.classes[r.prio].waiting = append(q.classes[r.prio].waiting, r)
}

// head is the next request of a class, nil where none waits.
func (q *fairQueue) head(p Prio) *request {
	if w := q.classes[p].waiting; len(w) > 0 {
		return &w[0]
	}
	return nil
}

// waiting is the number of requests of a class.
func (q *fairQueue) waiting(p Prio) int { return len(q.classes[p].waiting) }

// all is the number of requests.
func (q *fairQueue) all() (n int) {
	for p := range q.classes {
		n += len(q.classes[p].waiting)
	}
	return n
}

// least is the class with the least start tag of those whose head qualifies.
func (q *fairQueue) least(qualifies func(p Prio, head *request) bool) (class Prio, found bool) {
	for p := Leases + 1; p < prios; p++ {
		if head := q.head(p); head != nil && qualifies(p, head) && (!found || q.start(p) < q.start(class)) {
			class, found = p, true
		}
	}
	return class, found
}

// writer is the class whose turn it is to change something. Only this one may, even where less would
// do for another, or a large transaction would wait for ever.
func (q *fairQueue) writer() (class Prio, found bool) {
	return q.least(func(_ Prio, head *request) bool { return head.writes > 0 })
}

// take removes the head of a class, at a cost in changes.
func (q *fairQueue) take(p Prio, cost float64) request {
	if first, waits := q.least(func(Prio, *request) bool { return true }); waits {
		q.now = q.start(first)
	}
	c := &q.classes[p]
	r := c.waiting[0]
	c.waiting = c.waiting[1:]
	if p == Leases {
		return r
	}
	c.finish = q.start(p) + cost/weights[p]
	return r
}
