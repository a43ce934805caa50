// Package admission decides which submissions are admitted, and in which order, when more arrive than can be
// processed. It also computes the controller's share of the state service's rate limits, and reports overload
// and refusals to operators. It owns the queue of waiting submissions and the queue positions of deferred
// ones. Recording the admitted submissions and answering clients are left to its callers.
//
// Every controller decides by itself, with the same weights from the settings. No bound here depends on the
// state of other controllers. The queue positions that controllers exchange only preserve a client's position
// when it retries at another controller.
package admission

import (
	"cmp"
	"slices"

	"cleatpick/internal/eventloop"
)

// Request is a submission that asks to be admitted.
type Request struct {
	ID, Team, Class string
	Urgent          bool
}

// Position is the queue position of a request: the wall clock time of its first try. A retry, at this controller
// or another one, keeps it.
type Position struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	FirstTry eventloop.Micros
}

// Decision is the decision on a request.
type Decision struct {
	Queued     bool
	RetryAfter int // seconds after which the client should retry, if the request was deferred; see also Evicted
	// Evicted is the ID of another waiting request that is evicted in favour of this one, because its team
	// holds more than its part of the queue. RetryAfter is then for the client of the evicted request. Empty: none
	// is evicted.
	Evicted string
}

const (
	// maxWaiting bounds the waiting requests.
	maxWaiting = 600
	// maxPositions bounds the remembered positions of deferred requests, and positionLife is how long they are
	// remembered: clients give up 60 s after their first try.
	maxPositions = 2000
	positionLife = 60 * eventloop.Second
	// maxWait is the longest expected wait with which a request is queued. A request that
	// would wait longer is deferred at once.
	maxWait = 1200 * eventloop.Millisecond
	// maxRetryAfter bounds the seconds after which a deferred client is told to retry.
	maxRetryAfter = 30
	// urgentWeight is the weight of a class of urgent work; another class of its team has the weight 1.
	urgentWeight = 4
	// maxClasses bounds the classes of a team that are scheduled separately. Clients choose the class names,
	// so there may be any number: those beyond the bound share one.
	maxClasses  = 64
	sharedClass = "\x00others"
)

// Entry is a waiting request with its queue position.
type Entry struct {
	Request
	FirstTry eventloop.Micros // wall clock time of its first try
}

// classQueue is the waiting requests of one class, earliest first try first, with the virtual time at which the
// class is served next: each request advances it by the inverse of the class's weight.
type classQueue struct {
	waiting []*Entry
	turn    float64
}

// teamQueue is the waiting requests of one team, by class.
type teamQueue struct {
	classes     map[string]*classQueue
	waiting     int
	turn        float64
	virtualTime float64 // virtual time of the class served last
}

// Queue is the queue of requests that wait to be admitted: weighted fair queueing over the teams, and within a
// team over its classes.
type Queue struct {
	weight        func(team string) float64
	teams         map[string]*teamQueue
	byID          map[string]*Entry
	virtualTime   float64 // virtual time of the team served last
	rate          admissionRate
	positions     map[string]eventloop.Micros
	positionOrder []Position // of positions, in the order in which they were recorded
	newPositions  []Position // new positions to be sent to the peers
	overload      LoadTracker
	spread        int
}

// NewQueue returns an empty queue. weight returns a team's weight relative to the others. rate is the number
// of requests per second that are expected to be admitted, used until it has been measured.
func NewQueue(weight func(team string) float64, rate float64) *Queue {
	return &Queue{weight: weight, teams: map[string]*teamQueue{}, byID: map[string]*Entry{}, rate: newAdmissionRate(rate), positions: map[string]eventloop.Micros{}}
}

// Waiting returns the number of requests in the queue.
func (q *Queue) Waiting() int { return len(q.byID) }

// Enqueue queues a request or defers it. now is the monotonic time, wall the wall clock time.
func (q *Queue) Enqueue(r Request, now, wall eventloop.Micros) Decision {
	q.rate.decay(now)
	q.forgetExpired(wall)
	first, was := q.positions[r.ID]
	if !was {
		first = wall
	}
	ahead := q.ahead(&r, first)
	a := Decision{Queued: true}
	if wait := float64(ahead+1) / q.classRate(&r); ahead > 0 && wait > float64(maxWait)/1e6 {
		a = Decision{RetryAfter: q.retryAfter(wait)}
	} else if len(q.byID) >= maxWaiting {
		if a.Evicted = q.evictionCandidate(r.Team); a.Evicted == "" {
			a = Decision{RetryAfter: q.retryAfter(wait)}
		} else {
			a.RetryAfter = q.retryAfter(wait)
			q.deferWaiting(a.Evicted, wall)
		}
	}
	q.overload.update(now, a.Queued && a.Evicted == "", len(q.byID) > 0)
	if !a.Queued {
		q.rememberPosition(Position{ID: r.ID, FirstTry: first}, true)
		return a
	}
	e := &Entry{r, first}
	q.byID[r.ID] = e
	q.insert(e)
	return a
}

// classRate returns how many requests of the class are admitted per second while all classes that wait now keep
// waiting.
func (q *Queue) classRate(r *Request) float64 {
	all := q.weightOf(r.Team)
	for name, t := range eventloop.Sorted(q.teams) {
		if t.waiting > 0 && name != r.Team {
			all += q.weightOf(name)
		}
	}
	part := q.weightOf(r.Team) / all
	turns, mine := 0.0, classWeight(r.Urgent)
	if t := q.teams[r.Team]; t != nil {
		for name, f := range eventloop.Sorted(t.classes) {
			if len(f.waiting) > 0 && name != t.classKey(r.Class) {
				turns += classWeight(f.waiting[0].Urgent)
			}
		}
	}
	return max(q.rate.perSecond*part*mine/(turns+mine), 1e-3)
}

func (q *Queue) weightOf(team string) float64 { return max(q.weight(team), 1e-6) }

func classWeight(urgent bool) float64 {
	if urgent {
		return urgentWeight
	}
	return 1
}

// ahead returns how many requests of the class come before one with the given first try.
func (q *Queue) ahead(r *Request, first eventloop.Micros) int {
	t := q.teams[r.Team]
	if t == nil {
		return 0
	}
	f := t.classes[t.classKey(r.Class)]
	if f == nil {
		return 0
	}
	i, _ := slices.BinarySearchFunc(f.waiting, &Entry{*r, first}, compareFirstTry)
	return i
}

func compareFirstTry(a, b *Entry) int {
	return cmp.Or(cmp.Compare(a.FirstTry, b.FirstTry), cmp.Compare(a.ID, b.ID))
}

// retryAfter returns the seconds after which to retry: when the class's share is free again, spread so that not
// all clients retry in the same second.
func (q *Queue) retryAfter(wait float64) int {
	q.spread++
	return min(1+int(wait)+q.spread%3, maxRetryAfter)
}

// classKey returns the name under which a class is scheduled.
func (t *teamQueue) classKey(class string) string {
	if t.classes[class] != nil || len(t.classes) < maxClasses {
		return class
	}
	return sharedClass
}

// insert inserts a request at its position among those of its class.
func (q *Queue) insert(e *Entry) {
	t := q.teams[e.Team]
	if t == nil {
		t = &teamQueue{classes: map[string]*classQueue{}}
		q.teams[e.Team] = t
	}
	if t.waiting == 0 {
		t.turn = max(t.turn, q.virtualTime) // a team does not make up for what it did not use while absent
	}
	t.waiting++
	name := t.classKey(e.Class)
	f := t.classes[name]
	if f == nil {
		f = &classQueue{}
		t.classes[name] = f
	}
	if len(f.waiting) == 0 {
		f.turn = max(f.turn, t.virtualTime)
	}
	i, _ := slices.BinarySearchFunc(f.waiting, e, compareFirstTry)
	f.waiting = slices.Insert(f.waiting, i, e)
}

// Next removes up to n requests from the queue, in the order in which their teams and classes are scheduled.
func (q *Queue) Next(n int) (entries []Entry) {
	for len(entries) < n && len(q.byID) > 0 {
		name, t := leastTurn(q.teams, func(t *teamQueue) (bool, float64) { return t.waiting > 0, t.turn })
		q.virtualTime = t.turn
		t.turn += 1 / q.weightOf(name)
		class, f := leastTurn(t.classes, func(f *classQueue) (bool, float64) { return len(f.waiting) > 0, f.turn })
		t.virtualTime = f.turn
		e := f.waiting[0]
		f.turn += 1 / classWeight(e.Urgent)
		q.remove(t, class, 0)
		delete(q.positions, e.ID)
		entries = append(entries, *e)
	}
	return entries
}

// leastTurn returns the waiting element with the least virtual time; equal ones are ordered by name.
func leastTurn[T any](all map[string]T, at func(T) (waits bool, turn float64)) (name string, one T) {
	best, found := 0.0, false
	for k, x := range all {
		if waits, turn := at(x); waits && (!found || turn < best || turn == best && k < name) {
			name, one, best, found = k, x, turn, true
		}
	}
	return name, one
}

// remove removes the i-th request of a class from the queue. A team without waiting requests keeps no classes.
func (q *Queue) remove(t *teamQueue, class string, i int) {
	f := t.classes[class]
	delete(q.byID, f.waiting[i].ID)
	f.waiting = slices.Delete(f.waiting, i, i+1)
	t.waiting--
	if t.waiting == 0 {
		clear(t.classes)
		t.virtualTime = 0
	}
}

// Requeue returns requests that were removed by Next to their positions in the queue.
func (q *Queue) Requeue(all []Entry) {
	for i := range all {
		if e := &all[i]; q.byID[e.ID] == nil {
			q.byID[e.ID] = e
			q.insert(e)
		}
	}
}

// TimeOut removes a request that waited too long, remembers its position for its next try, and returns the
// seconds after which the client should retry.
func (q *Queue) TimeOut(id string, wall eventloop.Micros) (after int) {
	e := q.byID[id]
	if e == nil {
		return 1
	}
	wait := float64(q.ahead(&e.Request, e.FirstTry)+1) / q.classRate(&e.Request)
	q.deferWaiting(id, wall)
	return q.retryAfter(wait)
}

// deferWaiting removes a waiting request and remembers its position.
func (q *Queue) deferWaiting(id string, wall eventloop.Micros) {
	e := q.byID[id]
	t := q.teams[e.Team]
	class := t.classKey(e.Class)
	if i := slices.Index(t.classes[class].waiting, e); i >= 0 {
		q.remove(t, class, i)
		q.rememberPosition(Position{ID: id, FirstTry: e.FirstTry}, true)
	}
}

// evictionCandidate returns the newest request of the team that holds most of the queue for its weight, or
// none if that is the given team itself.
func (q *Queue) evictionCandidate(self string) string {
	name, most := self, 0.0
	if t := q.teams[self]; t != nil {
		most = float64(t.waiting+1) / q.weightOf(self)
	}
	for n, t := range eventloop.Sorted(q.teams) {
		if x := float64(t.waiting) / q.weightOf(n); x > most || x == most && n < name && n != self && name != self {
			name, most = n, x
		}
	}
	if name == self {
		return ""
	}
	var newest *Entry
	for _, f := range q.teams[name].classes {
		if n := len(f.waiting); n > 0 && (newest == nil || compareFirstTry(f.waiting[n-1], newest) > 0) {
			newest = f.waiting[n-1]
		}
	}
	return newest.ID
}

// rememberPosition remembers a position. own says that it was assigned by this controller, which then
// sends it to the peers.
func (q *Queue) rememberPosition(p Position, own bool) {
	if old, ok := q.positions[p.ID]; ok {
		q.positions[p.ID] = min(old, p.FirstTry)
		return
	}
	if len(q.positions) >= maxPositions {
		return // not remembered: its next try ranks behind the remembered ones and ahead of none
	}
	q.positions[p.ID] = p.FirstTry
	q.positionOrder = append(q.positionOrder, p)
	if own && len(q.newPositions) < maxNewPositions {
		q.newPositions = append(q.newPositions, p)
	}
}

// maxNewPositions bounds the positions sent to or accepted from a peer at once.
const maxNewPositions = 256

// TakeNewPositions returns the positions recorded here since the last call, to be sent to the peers.
func (q *Queue) TakeNewPositions() []Position {
	out := q.newPositions
	q.newPositions = nil
	return out
}

// MergePositions records positions from a peer. Positions that have expired, or lie in the future, are ignored.
func (q *Queue) MergePositions(all []Position, wall eventloop.Micros) {
	for _, p := range all[:min(len(all), maxNewPositions)] {
		if p.ID != "" && p.FirstTry > wall-positionLife && p.FirstTry <= wall+eventloop.Second && q.byID[p.ID] == nil {
			q.rememberPosition(p, false)
		}
	}
}

// forgetExpired drops the remembered positions that have expired.
func (q *Queue) forgetExpired(wall eventloop.Micros) {
	for len(q.positionOrder) > 0 && (q.positionOrder[0].FirstTry <= wall-positionLife || len(q.positionOrder) > 2*maxPositions) {
		if p := q.positionOrder[0]; q.positions[p.ID] <= wall-positionLife {
			delete(q.positions, p.ID)
		}
		q.positionOrder = q.positionOrder[1:]
	}
}

// RecordAdmitted records that n requests were admitted, for the estimate of the rate. busy says that others keep
// waiting.
func (q *Queue) RecordAdmitted(n int, now eventloop.Micros, busy bool) {
	q.rate.recordAdmitted(n, now, busy)
}

// State returns the load state of the queue.
func (q *Queue) State(now eventloop.Micros) State {
	q.overload.update(now, true, len(q.byID) > 0)
	return q.overload.state
}

// OnStateChange registers a function to be called for every change of the state.
func (q *Queue) OnStateChange(f func(from, to State)) { q.overload.changed = f }
