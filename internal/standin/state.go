// Package standin holds plain stand-ins for the state service, the cloud and the
// workers, written to the protocol, for tests.
package standin

import (
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"cleatpick/internal/loop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

type stateKey struct {
	value wire.Raw
	mark  uint64
	lease uint64
}

type stateLease struct {
	ttl, until loop.Micros
}

// State is the state service, held in memory.
type State struct {
	mu     sync.Mutex
	now    func() loop.Micros
	tally  uint64
	keys   map[string]stateKey
	leases map[uint64]*stateLease
	lapsed map[uint64]bool
	events []wire.Event  // the newest, in order
	lost   uint64        // the revision of the newest change that is no longer kept
	change chan struct{} // closed at the next change
	last   uint64
	down   bool
	limits *limiter
	counts Counts
	// Stored is told of every put as it is carried out; it may be nil.
	Stored func(key string, value wire.Raw)
}

// NewState makes an empty state service on a clock.
func NewState(now func() loop.Micros) *State {
	return &State{now: now, keys: map[string]stateKey{}, leases: map[uint64]*stateLease{}, lapsed: map[uint64]bool{}}
}

// SetDown begins or ends an outage; after it every lease has its full time again.
func (s *State) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for _, l := range s.leases {
			l.until = s.now() + l.ttl
		}
	}
	s.down = down
}

// Down tells whether there is an outage.
func (s *State) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// Value reads a key past the protocol, for a referee.
func (s *State) Value(key string) (wire.Raw, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.keys[key]
	return k.value, ok
}

// Keys lists the keys under a prefix past the protocol, for a referee.
func (s *State) Keys(prefix string) []string {
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

// Put writes a key past the protocol, as damage would.
func (s *State) Put(key string, value any) (mark uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally++
	s.put(key, wire.Marshal(value), 0)
	return s.tally
}

// keptChanges is how many changes watches can begin behind.
const keptChanges = 10000

// record keeps a change for watches and wakes those that wait.
func (s *State) record(e wire.Event) {
	s.events = append(s.events, e)
	if n := len(s.events) - keptChanges; n >= keptChanges {
		s.lost = s.events[n-1].Revision
		s.events = append([]wire.Event(nil), s.events[n:]...)
	}
	if s.change != nil {
		close(s.change)
		s.change = nil
	}
}

// Changed gives a channel that is closed at the next change.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.change == nil {
		s.change = make(chan struct{})
	}
	return s.change
}

func (s *State) put(key string, v wire.Raw, lease uint64) {
	s.keys[key] = stateKey{v, s.tally, lease}
	s.record(wire.Event{Put: key, Value: v, Revision: s.tally})
	if s.Stored != nil {
		s.Stored(key, v)
	}
}

func (s *State) remove(key string) {
	if _, ok := s.keys[key]; ok {
		delete(s.keys, key)
		s.record(wire.Event{Delete: key, Revision: s.tally})
	}
}

func (s *State) expire() {
	if s.down {
		return
	}
	for id, l := range s.leases {
		if s.now() >= l.until {
			s.lapsed[id] = true
			s.end(id)
		}
	}
}

// Lapsed tells whether a lease ended because nobody renewed it in time.
func (s *State) Lapsed(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.lapsed[id]
}

func (s *State) end(id uint64) {
	delete(s.leases, id)
	s.tally++
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

// Do answers one request.
func (s *State) Do(method, path string, body []byte, timeout time.Duration) store.Response {
	return s.do(method, path, body)
}

func reply(status int, v any) store.Response {
	return store.Response{Status: status, Body: wire.Marshal(v)}
}

type rawChange struct {
	Put    string   `cbor:"put"`
	Value  wire.Raw `cbor:"data"`
	Lease  uint64   `cbor:"hold"`
	Delete string   `cbor:"remove"`
}

type rawTxn struct {
	If   []wire.Cond `cbor:"when"`
	Then []rawChange `cbor:"apply"`
}

func (s *State) do(method, path string, body []byte) store.Response {
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

// Look answers a request that was counted before, as for a watch that has waited.
func (s *State) Look(method, path string) store.Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.answer(method, path, nil)
}

func (s *State) answer(method, path string, body []byte) store.Response {
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
			return reply(404, map[string]uint64{"tally": s.tally})
		}
		return reply(200, wire.KeyValue{Key: key, Value: k.value, Revision: k.mark})
	case method == "GET" && u.Path == "/store":
		var keys []string
		for k := range s.keys {
			if strings.HasPrefix(k, q.Get("under")) && k > q.Get("since") {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		limit, _ := strconv.Atoi(q.Get("limit"))
		r := wire.Range{Items: []wire.KeyValue{}, StoreRevision: s.tally}
		for _, k := range keys {
			if len(r.Items) == limit {
				r.More = true
				break
			}
			r.Items = append(r.Items, wire.KeyValue{Key: k, Value: s.keys[k].value, Revision: s.keys[k].mark})
		}
		return reply(200, r)
	case method == "GET" && u.Path == "/changes":
		since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
		if since < s.lost {
			return reply(410, wire.Error{Error: "too old"})
		}
		ev := wire.Events{StoreRevision: s.tally, Events: []wire.Event{}}
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
		s.last++
		ttl := l.TTLms * loop.Millisecond
		s.leases[s.last] = &stateLease{ttl, s.now() + ttl}
		return reply(200, wire.Lease{ID: s.last})
	case strings.HasPrefix(u.Path, "/holds/"):
		rest := strings.TrimSuffix(strings.TrimPrefix(u.Path, "/holds/"), "/extend")
		id, _ := strconv.ParseUint(rest, 10, 64)
		l := s.leases[id]
		if l == nil {
			return reply(404, wire.Error{Error: "no such lease"})
		}
		if method == "DELETE" {
			s.end(id)
		} else {
			l.until = s.now() + l.ttl
		}
		return reply(200, wire.Lease{ID: id})
	}
	return reply(400, wire.Error{Error: "unknown request"})
}

func (s *State) multi(body []byte) store.Response {
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
		if s.keys[c.Key].mark != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return reply(409, wire.TxnResult{Failed: failed, StoreRevision: s.tally})
	}
	if len(t.Then) > 0 {
		s.tally++
	}
	for _, c := range t.Then {
		if c.Put != "" {
			s.put(c.Put, c.Value, c.Lease)
		} else {
			s.remove(c.Delete)
		}
	}
	return reply(200, wire.TxnResult{StoreRevision: s.tally})
}
