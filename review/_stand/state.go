package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// stateService is a stand-in for the state service, as PROTOCOL describes it: an in-memory key-value store with
// leases, transactions, watches and the limits of the settings.
type stateService struct {
	mu        sync.Mutex
	tally     uint64
	keys      map[string]*stateKey
	holds     map[uint64]*stateHold
	lastHold  uint64
	events    []stateEvent
	compacted uint64
	changed   chan struct{}
	requests  bucket
	writes    bucket
	valueKB   float64
	txnOps    int
	// slow is called, without the lock, before a transaction is carried out, with the keys of its conditions and changes.
	// It may wait for a few hundred milliseconds, as the service does now and then; it may be nil.
	slow func(when, apply []string)
}

type stateKey struct {
	data cbor.RawMessage
	mark uint64
	hold uint64
}

type stateHold struct {
	ttl   time.Duration
	until time.Time
}

type stateEvent struct {
	Put    string          `cbor:"put,omitempty"`
	Data   cbor.RawMessage `cbor:"data,omitempty"`
	Remove string          `cbor:"remove,omitempty"`
	Mark   uint64          `cbor:"mark"`
}

type stateEntry struct {
	K    string          `cbor:"k"`
	Data cbor.RawMessage `cbor:"data"`
	Mark uint64          `cbor:"mark"`
	Hold uint64          `cbor:"hold,omitempty"`
}

// bucket is a rate limit with a burst of one second.
type bucket struct {
	rate, have float64
	at         time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	if b.at.IsZero() {
		b.have = b.rate
	} else {
		b.have = min(b.have+now.Sub(b.at).Seconds()*b.rate, b.rate)
	}
	b.at = now
	if b.have < n {
		return false
	}
	b.have -= n
	return true
}

func newStateService(rps, writeRPS, valueKB float64, txnOps int) *stateService {
	return &stateService{keys: map[string]*stateKey{}, holds: map[uint64]*stateHold{}, changed: make(chan struct{}),
		requests: bucket{rate: rps}, writes: bucket{rate: writeRPS}, valueKB: valueKB, txnOps: txnOps}
}

const keptEvents = 10000

func (s *stateService) record(e stateEvent) {
	s.events = append(s.events, e)
	if len(s.events) >= 2*keptEvents {
		s.compacted = s.events[keptEvents-1].Mark
		s.events = append([]stateEvent(nil), s.events[keptEvents:]...)
	}
}

func (s *stateService) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stateService) endHold(id uint64) {
	delete(s.holds, id)
	var names []string
	for k, v := range s.keys {
		if v.hold == id {
			names = append(names, k)
		}
	}
	if len(names) == 0 {
		return
	}
	sort.Strings(names)
	s.tally++
	for _, k := range names {
		delete(s.keys, k)
		s.record(stateEvent{Remove: k, Mark: s.tally})
	}
	s.wake()
}

// expire ends the leases whose time is over. It runs every 20 ms, so that a lease ends late by less than 100 ms.
func (s *stateService) expire() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, h := range s.holds {
			if time.Now().After(h.until) {
				s.endHold(id)
			}
		}
		s.mu.Unlock()
	}
}

// jsonSize is the size of a CBOR value in its JSON form.
func jsonSize(raw []byte) int {
	var v any
	if cbor.Unmarshal(raw, &v) != nil {
		return 1 << 30
	}
	b, err := json.Marshal(plain(v))
	if err != nil {
		return 1 << 30
	}
	return len(b)
}

func plain(v any) any {
	switch x := v.(type) {
	case map[any]any:
		m := map[string]any{}
		for k, e := range x {
			if name, ok := k.(string); ok {
				m[name] = plain(e)
			}
		}
		return m
	case []any:
		for i := range x {
			x[i] = plain(x[i])
		}
	}
	return v
}

func (s *stateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 65<<10))
	if err != nil {
		return
	}
	if s.slow != nil && r.URL.Path == "/multi" {
		s.slow(txnKeys(body))
	}
	s.mu.Lock()
	if !s.requests.take(1) {
		s.mu.Unlock()
		answer(w, 429, map[string]string{"error": "rate"})
		return
	}
	status, reply := 400, any(map[string]string{"error": "unknown request"})
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case r.Method == "GET" && path == "/changes":
		s.mu.Unlock()
		s.watch(w, r)
		return
	case r.Method == "GET" && path == "/store":
		status, reply = s.list(q.Get("under"), q.Get("since"), q.Get("limit"))
	case r.Method == "GET" && strings.HasPrefix(path, "/store/"):
		key := strings.TrimPrefix(path, "/store/")
		if e := s.keys[key]; e != nil {
			status, reply = 200, stateEntry{key, e.data, e.mark, e.hold}
		} else {
			status, reply = 404, map[string]uint64{"tally": s.tally}
		}
	case r.Method == "POST" && path == "/multi":
		status, reply = s.multi(body)
	case r.Method == "POST" && path == "/holds":
		var in struct {
			TTL int64 `cbor:"ttlMs"`
		}
		if cbor.Unmarshal(body, &in) == nil && in.TTL >= 100 && in.TTL <= 600000 {
			s.lastHold++
			ttl := time.Duration(in.TTL) * time.Millisecond
			s.holds[s.lastHold] = &stateHold{ttl, time.Now().Add(ttl)}
			status, reply = 200, map[string]uint64{"hold": s.lastHold}
		}
	case strings.HasPrefix(path, "/holds/"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(path, "/holds/"), "/extend"), 10, 64)
		h := s.holds[id]
		switch {
		case h == nil:
			status, reply = 404, map[string]string{"error": "no such lease"}
		case r.Method == "DELETE":
			s.endHold(id)
			status, reply = 200, map[string]uint64{"hold": id}
		default:
			h.until = time.Now().Add(h.ttl)
			status, reply = 200, map[string]uint64{"hold": id}
		}
	}
	s.mu.Unlock()
	answer(w, status, reply)
}

func (s *stateService) list(under, since, limit string) (int, any) {
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, under) && k > since {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	most, err := strconv.Atoi(limit)
	if err != nil || most > 1000 || most < 1 {
		most = 1000
	}
	entries, size, truncated := []stateEntry{}, 0, false
	for _, k := range names {
		e := s.keys[k]
		size += jsonSize(e.data) + len(k) + 60
		if len(entries) == most || len(entries) > 0 && size > 512<<10 {
			truncated = true
			break
		}
		entries = append(entries, stateEntry{k, e.data, e.mark, e.hold})
	}
	return 200, map[string]any{"entries": entries, "truncated": truncated, "tally": s.tally}
}

func (s *stateService) multi(body []byte) (int, any) {
	var in struct {
		When []struct {
			K    string `cbor:"k"`
			Mark uint64 `cbor:"mark"`
		} `cbor:"when"`
		Apply []struct {
			Put    string          `cbor:"put"`
			Data   cbor.RawMessage `cbor:"data"`
			Hold   uint64          `cbor:"hold"`
			Remove string          `cbor:"remove"`
		} `cbor:"apply"`
	}
	if cbor.Unmarshal(body, &in) != nil || len(in.Apply) > s.txnOps || len(in.When) > 4*s.txnOps || jsonSize(body) > 64<<10 {
		return 400, map[string]string{"error": "malformed"}
	}
	for _, a := range in.Apply {
		key := a.Put + a.Remove
		if len(key) == 0 || len(key) > 200 || strings.Contains(key, " ") || a.Put != "" && float64(jsonSize(a.Data)) > s.valueKB*1024 {
			return 400, map[string]string{"error": "malformed"}
		}
	}
	if !s.writes.take(float64(len(in.Apply))) {
		return 429, map[string]string{"error": "rate"}
	}
	for _, a := range in.Apply {
		if a.Put != "" && a.Hold != 0 && s.holds[a.Hold] == nil {
			return 400, map[string]string{"error": "no such lease"}
		}
	}
	failed := []string{}
	for _, c := range in.When {
		mark := uint64(0)
		if e := s.keys[c.K]; e != nil {
			mark = e.mark
		}
		if mark != c.Mark {
			failed = append(failed, c.K)
		}
	}
	if len(failed) > 0 {
		return 409, map[string]any{"failed": failed, "tally": s.tally}
	}
	if len(in.Apply) > 0 {
		s.tally++
		for _, a := range in.Apply {
			if a.Put != "" {
				s.keys[a.Put] = &stateKey{a.Data, s.tally, a.Hold}
				s.record(stateEvent{Put: a.Put, Data: a.Data, Mark: s.tally})
			} else if s.keys[a.Remove] != nil {
				delete(s.keys, a.Remove)
				s.record(stateEvent{Remove: a.Remove, Mark: s.tally})
			}
		}
		s.wake()
	}
	return 200, map[string]uint64{"tally": s.tally}
}

// watch answers GET /changes.
func (s *stateService) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	under := q.Get("under")
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.Now().Add(time.Duration(min(ms, 60000)) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, tally := s.changed, s.tally
		if since < s.compacted {
			s.mu.Unlock()
			answer(w, 410, map[string]string{"error": "too old"})
			return
		}
		events := []stateEvent{}
		from := sort.Search(len(s.events), func(i int) bool { return s.events[i].Mark > since })
		for _, e := range s.events[from:] {
			if strings.HasPrefix(e.Put+e.Remove, under) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || !time.Now().Before(deadline) {
			answer(w, 200, map[string]any{"tally": tally, "events": events})
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-r.Context().Done():
			return
		}
	}
}

// answer writes a CBOR response.
func answer(w http.ResponseWriter, status int, v any) {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/cbor")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	w.Write(b)
}

// txnKeys returns the keys in a transaction's conditions and changes.
func txnKeys(body []byte) (when, apply []string) {
	var in struct {
		When []struct {
			K string `cbor:"k"`
		} `cbor:"when"`
		Apply []struct {
			Put    string `cbor:"put"`
			Remove string `cbor:"remove"`
		} `cbor:"apply"`
	}
	cbor.Unmarshal(body, &in)
	for _, c := range in.When {
		when = append(when, c.K)
	}
	for _, a := range in.Apply {
		apply = append(apply, a.Put+a.Remove)
	}
	return when, apply
}
