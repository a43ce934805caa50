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

	"cleatpick/internal/loop"
)

// Request is a submission that asks to be admitted.
type Request struct {
	ID, Team, Class string
	Urgent          bool
}

// Place is the queue position of a request: the wall clock time of its first try. A retry, at this controller
// or another one, keeps it.
type Place struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	First loop.Micros
}

// Answer is the decision on a request.
type Answer struct {
	Taken bool
	After int // seconds after which the client should retry, if the request was deferred
	// Instead is the ID of another waiting request that is evicted in favour of this one, because its team
	// holds more than its part of the queue. Its client is to be told After. Empty: none is evicted.
	Instead string
}

const (
	// most bounds the waiting requests.
	most = 600
	// mostPlaces bounds the remembered positions of deferred requests, and placeLife is how long they are
	// remembered: clients give up 60 s after their first try.
	mostPlaces = 2000
	placeLife  = 60 * loop.Second
	// patience is the longest expected wait with which a request is admitted to the queue. A request that
	// would wait longer is deferred at once.
	patience = 1200 * loop.Millisecond
	// longest bounds the seconds after which a deferred client is told to retry.
	longest = 30
	// urgentTurns is the weight of a class of urgent work; another class of its team has the weight 1.
	urgentTurns = 4
	// mostClasses bounds the classes of a team that are scheduled separately. Clients choose the class names,
	// so there may be any number: those beyond the bound share one.
	mostClasses = 64
	otherClass  = "\x00others"
)

// Turn is a waiting request with its queue position.
type Turn struct {
	Request
	First loop.Micros // wall clock time of its first try
}

// flow is the waiting requests of one class, earliest first try first, with the virtual time at which the
// class is served next: each request advances it by the inverse of the class's weight.
type flow struct {
	waiting []*Turn
	turn    float64
}

// teamLine is the waiting requests of one team, by class.
type teamLine struct {
	classes map[string]*flow
	waiting int
	turn    float64
	now     float64 // virtual time of the class served last
}

// Line is the queue of requests that wait to be admitted: weighted fair queueing over the teams, and within a
// team over its classes.
type Line struct {
	weight func(team string) float64
	teams  map[string]*teamLine
	byID   map[string]*Turn
	now    float64 // virtual time of the team served last
	rate   takenRate
	places map[string]loop.Micros
	order  []Place // of places, in the order in which they were recorded
	news   []Place // new positions to be sent to the peers
	over   Overload
	spread int
}

// NewLine returns an empty queue. weight returns a team's weight relative to the others. rate is the number
// of requests per second that are expected to be admitted, used until it has been measured.
func NewLine(weight func(team string) float64, rate float64) *Line {
	return &Line{weight: weight, teams: map[string]*teamLine{}, byID: map[string]*Turn{}, rate: newTakenRate(rate), places: map[string]loop.Micros{}}
}

// Waiting returns the number of requests in the queue.
func (l *Line) Waiting() int { return len(l.byID) }

// Ask queues a request or defers it. now is the monotonic time, wall the wall clock time.
func (l *Line) Ask(r Request, now, wall loop.Micros) Answer {
	l.rate.relax(now)
	l.forget(wall)
	first, was := l.places[r.ID]
	if !was {
		first = wall
	}
	ahead := l.ahead(&r, first)
	a := Answer{Taken: true}
	if wait := float64(ahead+1) / l.share(&r); ahead > 0 && wait > float64(patience)/1e6 {
		a = Answer{After: l.after(wait)}
	} else if len(l.byID) >= most {
		if a.Instead = l.longest(r.Team); a.Instead == "" {
			a = Answer{After: l.after(wait)}
		} else {
			a.After = l.after(wait)
			l.putOff(a.Instead, wall)
		}
	}
	l.over.look(now, a.Taken && a.Instead == "", len(l.byID) > 0)
	if !a.Taken {
		l.keep(Place{ID: r.ID, First: first}, true)
		return a
	}
	e := &Turn{r, first}
	l.byID[r.ID] = e
	l.enter(e)
	return a
}

// share returns how many requests of the class are admitted per second while all classes that wait now keep
// waiting.
func (l *Line) share(r *Request) float64 {
	all := l.weightOf(r.Team)
	for name, t := range loop.Sorted(l.teams) {
		if t.waiting > 0 && name != r.Team {
			all += l.weightOf(name)
		}
	}
	part := l.weightOf(r.Team) / all
	turns, mine := 0.0, turnsOf(r.Urgent)
	if t := l.teams[r.Team]; t != nil {
		for name, f := range loop.Sorted(t.classes) {
			if len(f.waiting) > 0 && name != t.key(r.Class) {
				turns += turnsOf(f.waiting[0].Urgent)
			}
		}
	}
	return max(l.rate.perSecond*part*mine/(turns+mine), 1e-3)
}

func (l *Line) weightOf(team string) float64 { return max(l.weight(team), 1e-6) }

func turnsOf(urgent bool) float64 {
	if urgent {
		return urgentTurns
	}
	return 1
}

// ahead returns how many requests of the class come before one with the given first try.
func (l *Line) ahead(r *Request, first loop.Micros) int {
	t := l.teams[r.Team]
	if t == nil {
		return 0
	}
	f := t.classes[t.key(r.Class)]
	if f == nil {
		return 0
	}
	i, _ := slices.BinarySearchFunc(f.waiting, &Turn{*r, first}, byPlace)
	return i
}

func byPlace(a, b *Turn) int { return cmp.Or(cmp.Compare(a.First, b.First), cmp.Compare(a.ID, b.ID)) }

// after returns the seconds after which to retry: when the class's share is free again, spread so that not
// all clients retry in the same second.
func (l *Line) after(wait float64) int {
	l.spread++
	return min(1+int(wait)+l.spread%3, longest)
}

// key returns the name under which a class is scheduled.
func (t *teamLine) key(class string) string {
	if t.classes[class] != nil || len(t.classes) < mostClasses {
		return class
	}
	return otherClass
}

// enter inserts a request at its position among those of its class.
func (l *Line) enter(e *Turn) {
	t := l.teams[e.Team]
	if t == nil {
		t = &teamLine{classes: map[string]*flow{}}
		l.teams[e.Team] = t
	}
	if t.waiting == 0 {
		t.turn = max(t.turn, l.now) // a team does not make up for what it did not use while absent
	}
	t.waiting++
	name := t.key(e.Class)
	f := t.classes[name]
	if f == nil {
		f = &flow{}
		t.classes[name] = f
	}
	if len(f.waiting) == 0 {
		f.turn = max(f.turn, t.now)
	}
	i, _ := slices.BinarySearchFunc(f.waiting, e, byPlace)
	f.waiting = slices.Insert(f.waiting, i, e)
}

// Next removes up to n requests from the queue, in the order in which their teams and classes are scheduled.
func (l *Line) Next(n int) (turns []Turn) {
	for len(turns) < n && len(l.byID) > 0 {
		name, t := first(l.teams, func(t *teamLine) (bool, float64) { return t.waiting > 0, t.turn })
		l.now = t.turn
		t.turn += 1 / l.weightOf(name)
		class, f := first(t.classes, func(f *flow) (bool, float64) { return len(f.waiting) > 0, f.turn })
		t.now = f.turn
		e := f.waiting[0]
		f.turn += 1 / turnsOf(e.Urgent)
		l.leave(t, class, 0)
		delete(l.places, e.ID)
		turns = append(turns, *e)
	}
	return turns
}

// first returns the waiting element with the least virtual time; equal ones are ordered by name.
func first[T any](all map[string]T, at func(T) (waits bool, turn float64)) (name string, one T) {
	best, found := 0.0, false
	for k, x := range all {
		if waits, turn := at(x); waits && (!found || turn < best || turn == best && k < name) {
			name, one, best, found = k, x, turn, true
		}
	}
	return name, one
}

// leave removes the i-th request of a class from the queue. A team without waiting requests keeps no classes.
func (l *Line) leave(t *teamLine, class string, i int) {
	f := t.classes[class]
	delete(l.byID, f.waiting[i].ID)
	f.waiting = slices.Delete(f.waiting, i, i+1)
	t.waiting--
	if t.waiting == 0 {
		clear(t.classes)
		t.now = 0
	}
}

// Back returns requests that were removed by Next to their positions in the queue.
func (l *Line) Back(all []Turn) {
	for i := range all {
		if e := &all[i]; l.byID[e.ID] == nil {
			l.byID[e.ID] = e
			l.enter(e)
		}
	}
}

// Drop removes a request that waited too long, remembers its position for its next try, and returns the
// seconds after which the client should retry.
func (l *Line) Drop(id string, wall loop.Micros) (after int) {
	e := l.byID[id]
	if e == nil {
		return 1
	}
	wait := float64(l.ahead(&e.Request, e.First)+1) / l.share(&e.Request)
	l.putOff(id, wall)
	return l.after(wait)
}

// putOff removes a waiting request and remembers its position.
func (l *Line) putOff(id string, wall loop.Micros) {
	e := l.byID[id]
	t := l.teams[e.Team]
	class := t.key(e.Class)
	if i := slices.Index(t.classes[class].waiting, e); i >= 0 {
		l.leave(t, class, i)
		l.keep(Place{ID: id, First: e.First}, true)
	}
}

// longest returns the newest request of the team that holds most of the queue for its weight, or none if that
// is the given team itself.
func (l *Line) longest(self string) string {
	name, most := self, 0.0
	if t := l.teams[self]; t != nil {
		most = float64(t.waiting+1) / l.weightOf(self)
	}
	for n, t := range loop.Sorted(l.teams) {
		if x := float64(t.waiting) / l.weightOf(n); x > most || x == most && n < name && n != self && name != self {
			name, most = n, x
		}
	}
	if name == self {
		return ""
	}
	var newest *Turn
	for _, f := range l.teams[name].classes {
		if n := len(f.waiting); n > 0 && (newest == nil || byPlace(f.waiting[n-1], newest) > 0) {
			newest = f.waiting[n-1]
		}
	}
	return newest.ID
}

// keep remembers a position. own says that it was given here, so that the peers are told.
func (l *Line) keep(p Place, own bool) {
	if old, ok := l.places[p.ID]; ok {
		l.places[p.ID] = min(old, p.First)
		return
	}
	if len(l.places) >= mostPlaces {
		return // not remembered: its next try ranks behind the remembered ones and ahead of none
	}
	l.places[p.ID] = p.First
	l.order = append(l.order, p)
	if own && len(l.news) < mostNews {
		l.news = append(l.news, p)
	}
}

// mostNews bounds the positions sent to or accepted from a peer at once.
const mostNews = 256

// News returns the positions recorded here since the last call, to be sent to the peers.
func (l *Line) News() []Place {
	out := l.news
	l.news = nil
	return out
}

// Learn records positions from a peer. Positions that have expired, or lie in the future, are ignored.
func (l *Line) Learn(all []Place, wall loop.Micros) {
	for _, p := range all[:min(len(all), mostNews)] {
		if p.ID != "" && p.First > wall-placeLife && p.First <= wall+loop.Second && l.byID[p.ID] == nil {
			l.keep(p, false)
		}
	}
}

// forget drops the remembered positions that have expired.
func (l *Line) forget(wall loop.Micros) {
	for len(l.order) > 0 && (l.order[0].First <= wall-placeLife || len(l.order) > 2*mostPlaces) {
		if p := l.order[0]; l.places[p.ID] <= wall-placeLife {
			delete(l.places, p.ID)
		}
		l.order = l.order[1:]
	}
}

// Served records that n requests were admitted, for the estimate of the rate. busy says that others keep
// waiting.
func (l *Line) Served(n int, now loop.Micros, busy bool) { l.rate.served(n, now, busy) }

// State returns the load state of the queue.
func (l *Line) State(now loop.Micros) State {
	l.over.look(now, true, len(l.byID) > 0)
	return l.over.state
}

// OnState registers a function to be called for every change of the state.
func (l *Line) OnState(f func(from, to State)) { l.over.changed = f }
