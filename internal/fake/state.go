// Package fake holds simple in-memory fakes of the state service, the cloud and the workers, and a runner whose
// time the test advances. The fakes follow the wire protocols independently of the product code.
// Faults such as outages, machine failures and rate limits are injected by method calls or fields.
// Tests and load runs connect the fakes to controllers; the package itself opens no sockets, and the invariant
// checkers belong to its callers.
package fake

import (
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// stateKey is the newest version of a key.
type stateKey struct {
	value    wire.Raw
	revision uint64
	lease    uint64 // 0: none
}

// stateLease is a lease; its keys are deleted when it expires or is released.
type stateLease struct {
	ttl, until eventloop.Micros
}

// StateService is a fake of the state service that keeps its keys in memory.
type StateService struct {
	mu                sync.Mutex
	now               func() eventloop.Micros
	storeRevision     uint64 // revision of the newest change of the store
	keys              map[string]stateKey
	leases            map[uint64]*stateLease
	expired           map[uint64]bool // leases that expired
	events            []wire.Event    // the newest, in order
	compactedRevision uint64          // the revision of the newest event that is no longer kept
	change            chan struct{}   // closed at the next change
	lastLease         uint64          // the newest lease ID
	down              bool
	limits            *limiter
	counts            Counts
	// OnPut is called for each put as it is applied; it may be nil.
	OnPut func(key string, value wire.Raw)
}

// NewStateService returns an empty state service that reads the time from now.
func NewStateService(now func() eventloop.Micros) *StateService {
	return &StateService{now: now, keys: map[string]stateKey{}, leases: map[uint64]*stateLease{}, expired: map[uint64]bool{}}
}

// SetDown begins or ends an outage. Leases do not expire during an outage, and at its end each lease gets its
// full duration again.
func (s *StateService) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for _, l := range s.leases {
			l.until = s.now() + l.ttl
		}
	}
	s.down = down
}

// Down reports whether an outage is in progress.
func (s *StateService) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// Value returns the value of a key. It bypasses the protocol, for an invariant checker.
func (s *StateService) Value(key string) (wire.Raw, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.keys[key]
	return k.value, ok
}

// Keys lists the keys with a prefix. It bypasses the protocol, for an invariant checker.
func (s *StateService) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// Put writes a key and returns its revision. It bypasses the protocol, for example to write a damaged record.
func (s *StateService) Put(key string, value any) (revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeRevision++
	s.put(key, wire.Marshal(value), 0)
	return s.storeRevision
}

// minRetainedEvents is how many events are kept at least, for watches that start at an earlier revision.
const minRetainedEvents = 10000

// record stores an event for watches and wakes the waiting ones. The caller holds the lock.
func (s *StateService) record(e wire.Event) {
	s.events = append(s.events, e)
	if n := len(s.events) - minRetainedEvents; n >= minRetainedEvents {
		s.compactedRevision = s.events[n-1].Revision
		s.events = append([]wire.Event(nil), s.events[n:]...)
	}
	if s.change != nil {
		close(s.change)
		s.change = nil
	}
}

// Changed returns a channel that is closed at the next change.
func (s *StateService) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.change == nil {
		s.change = make(chan struct{})
	}
	return s.change
}

// put writes a key at the present store revision. The caller holds the lock.
func (s *StateService) put(key string, v wire.Raw, lease uint64) {
	s.keys[key] = stateKey{v, s.storeRevision, lease}
	s.record(wire.Event{Put: key, Value: v, Revision: s.storeRevision})
	if s.OnPut != nil {
		s.OnPut(key, v)
	}
}

// remove deletes a key, if it exists, at the present store revision. The caller holds the lock.
func (s *StateService) remove(key string) {
	if _, ok := s.keys[key]; ok {
		delete(s.keys, key)
		s.record(wire.Event{Delete: key, Revision: s.storeRevision})
	}
}

// expire ends the leases whose time is over, except during an outage. The caller holds the lock.
func (s *StateService) expire() {
	if s.down {
		return
	}
	for id, l := range s.leases {
		if s.now() >= l.until {
			s.expired[id] = true
			s.endLease(id)
		}
	}
}

// LeaseExpired reports whether a lease expired because it was not renewed in time.
func (s *StateService) LeaseExpired(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.expired[id]
}

// endLease deletes a lease and its keys. The caller holds the lock.
func (s *StateService) endLease(id uint64) {
	delete(s.leases, id)
	s.storeRevision++
	var keys []string
	for k, v := range s.keys {
		if v.lease == id {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		s.remove(k)
	}
}

// Do answers one request. It ignores the timeout, and a watch is answered at once, even without events.
func (s *StateService) Do(method, path string, body []byte, timeout time.Duration) store.Response {
	return s.do(method, path, body)
}

// reply encodes a response.
func reply(status int, v any) store.Response {
	return store.Response{Status: status, Body: wire.Marshal(v)}
}

// rawChange is a put or delete of a transaction, with the value still encoded.
type rawChange struct {
	Put    string   `cbor:"put"`
	Value  wire.Raw `cbor:"data"`
	Lease  uint64   `cbor:"hold"`
	Delete string   `cbor:"remove"`
}

// rawTxn is a transaction as it is received: its changes are applied if all conditions hold.
type rawTxn struct {
	If   []wire.Cond `cbor:"when"`
	Then []rawChange `cbor:"apply"`
}

// do counts a request, applies the limits to it and answers it.
func (s *StateService) do(method, path string, body []byte) store.Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return reply(503, wire.Error{Error: "outage"})
	}
	s.expire()
	if refused := s.admit(method, path, body); refused != nil {
		return *refused
	}
	return s.answer(method, path, body)
}

// AnswerAgain answers a request again that was already counted, for a watch that waited for a change. It neither counts
// the request nor applies the limits to it.
func (s *StateService) AnswerAgain(method, path string) store.Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.answer(method, path, nil)
}

// answer carries out a request that was admitted. The caller holds the lock.
func (s *StateService) answer(method, path string, body []byte) store.Response {
	u, err := url.Parse(path)
	if err != nil {
		return reply(400, wire.Error{Error: "path"})
	}
	q := u.Query()
	switch {
	case method == "GET" && strings.HasPrefix(u.Path, "/store/"):
		key := strings.TrimPrefix(u.Path, "/store/")
		k, ok := s.keys[key]
		if !ok {
			return reply(404, map[string]uint64{"tally": s.storeRevision})
		}
		return reply(200, wire.KeyValue{Key: key, Value: k.value, Revision: k.revision})
	case method == "GET" && u.Path == "/store":
		var keys []string
		for k := range s.keys {
			if strings.HasPrefix(k, q.Get("under")) && k > q.Get("since") {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		limit, _ := strconv.Atoi(q.Get("limit"))
		r := wire.Range{Items: []wire.KeyValue{}, StoreRevision: s.storeRevision}
		for _, k := range keys {
			if len(r.Items) == limit {
				r.More = true
				break
			}
			r.Items = append(r.Items, wire.KeyValue{Key: k, Value: s.keys[k].value, Revision: s.keys[k].revision})
		}
		return reply(200, r)
	case method == "GET" && u.Path == "/changes":
		since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
		if since < s.compactedRevision {
			return reply(410, wire.Error{Error: "too old"})
		}
		ev := wire.Events{StoreRevision: s.storeRevision, Events: []wire.Event{}}
		from := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > since })
		for _, e := range s.events[from:] {
			if strings.HasPrefix(e.Put+e.Delete, q.Get("under")) {
				ev.Events = append(ev.Events, e)
			}
		}
		return reply(200, ev)
	case method == "POST" && u.Path == "/multi":
		return s.multi(body)
	case method == "POST" && u.Path == "/holds":
		var l wire.Lease
		if wire.Unmarshal(body, &l) != nil || l.TTLms < 100 {
			return reply(400, wire.Error{Error: "ttl"})
		}
		s.lastLease++
		ttl := l.TTLms * eventloop.Millisecond
		s.leases[s.lastLease] = &stateLease{ttl, s.now() + ttl}
		return reply(200, wire.Lease{ID: s.lastLease})
	case strings.HasPrefix(u.Path, "/holds/"):
		rest := strings.TrimSuffix(strings.TrimPrefix(u.Path, "/holds/"), "/extend")
		id, _ := strconv.ParseUint(rest, 10, 64)
		l := s.leases[id]
		if l == nil {
			return reply(404, wire.Error{Error: "no such lease"})
		}
		if method == "DELETE" {
			s.endLease(id)
		} else {
			l.until = s.now() + l.ttl
		}
		return reply(200, wire.Lease{ID: id})
	}
	return reply(400, wire.Error{Error: "unknown request"})
}

// multi carries out a transaction. The caller holds the lock.
func (s *StateService) multi(body []byte) store.Response {
	var t rawTxn
	if wire.Unmarshal(body, &t) != nil {
		return reply(400, wire.Error{Error: "malformed"})
	}
	for _, c := range t.Then {
		if c.Put != "" && c.Lease != 0 && s.leases[c.Lease] == nil {
			return reply(400, wire.TxnResult{Error: "no such lease"})
		}
	}
	failed := []string{}
	for _, c := range t.If {
		if s.keys[c.Key].revision != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return reply(409, wire.TxnResult{Failed: failed, StoreRevision: s.storeRevision})
	}
	if len(t.Then) > 0 {
		s.storeRevision++
	}
	for _, c := range t.Then {
		if c.Put != "" {
			s.put(c.Put, c.Value, c.Lease)
		} else {
			s.remove(c.Delete)
		}
	}
	return reply(200, wire.TxnResult{StoreRevision: s.storeRevision})
}
