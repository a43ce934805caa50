package standin

import (
	"strings"

	"cleatpick/internal/loop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// Limits are the request limits of the state service. A limit of 0 means no limit.
type Limits struct {
	RPS        float64 // requests per second
	WriteRPS   float64 // puts and deletes per second
	ValueBytes int     // the largest value
	TxnOps     int     // the most puts and deletes of a transaction; four times as many conditions are allowed
}

// Counts are the numbers of requests to the state service since its creation, and of the puts and deletes in them.
type Counts struct {
	Requests, Refused, Writes, Invalid int
}

// tokenBucket is a token bucket whose burst is one second of its rate.
type tokenBucket struct {
	rate, available float64
	at              loop.Micros
}

// take refills the bucket up to now and removes n tokens. It reports false, and removes none, if there are fewer.
func (b *tokenBucket) take(n float64, now loop.Micros) bool {
	b.available = min(b.available+float64(now-b.at)/1e6*b.rate, b.rate)
	b.at = now
	if b.available < n {
		return false
	}
	b.available -= n
	return true
}

// limiter is the limits with the state of their token buckets.
type limiter struct {
	Limits
	requests, writes tokenBucket
}

// SetLimits sets the limits for the requests from now on; nil removes them.
func (s *StateService) SetLimits(l *Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l == nil {
		s.limits = nil
		return
	}
	s.limits = &limiter{*l, tokenBucket{l.RPS, l.RPS, s.now()}, tokenBucket{l.WriteRPS, l.WriteRPS, s.now()}}
}

// Counts returns the counts of requests so far.
func (s *StateService) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// admit counts a request and returns the refusal if it exceeds a limit, or nil. A transaction counts
// even if its conditions fail later. The caller holds the lock.
func (s *StateService) admit(method, path string, body []byte) *store.Response {
	s.counts.Requests++
	var txn rawTxn
	if method == "POST" && strings.HasPrefix(path, "/multi") {
		if wire.Unmarshal(body, &txn) != nil {
			return nil // answered as malformed later
		}
	}
	refuse := func(status int, why string) *store.Response {
		r := reply(status, wire.Error{Error: why})
		return &r
	}
	l := s.limits
	if l == nil {
		s.counts.Writes += len(txn.Then)
		return nil
	}
	if l.TxnOps > 0 && (len(txn.Then) > l.TxnOps || len(txn.If) > 4*l.TxnOps) {
		s.counts.Invalid++
		return refuse(400, "too many operations")
	}
	for _, c := range txn.Then {
		if l.ValueBytes > 0 && len(c.Value) > l.ValueBytes {
			s.counts.Invalid++
			return refuse(400, "value too large")
		}
	}
	if l.RPS > 0 && !l.requests.take(1, s.now()) || l.WriteRPS > 0 && !l.writes.take(float64(len(txn.Then)), s.now()) {
		s.counts.Refused++
		return refuse(429, "rate")
	}
	s.counts.Writes += len(txn.Then)
	return nil
}
