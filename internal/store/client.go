// Package store is the client of the state service, the linearizable key-value store that all controllers
// share. It keeps this controller's requests within its share of the service's rate limits, divides that share
// fairly among classes of requests, and sends renewals of leases ahead of everything else. It also maintains a
// mirror, a local copy of the keys under a prefix that follows the service by watches.
//
// What is stored under which key, and what to do after a conflict or an unknown outcome, is left to the
// callers.
package store

import (
	"context"
	"errors"
	"log/slog"
	"strconv"

	"cleatpick/internal/loop"
	"cleatpick/internal/metric"
	"cleatpick/internal/wire"
)

// Prio is the class of a request. The classes share what the limits allow by weights; see fairQueue.
type Prio int

// The classes. Leases precede all others and are not weighted.
const (
	Leases Prio = iota
	Answers
	Inquiries // reads for polls; limited to inquiryPart of the requests
	Placements
	Results
	Background
	prios
)

// Outcome is what is known of a transaction.
type Outcome int

// The outcomes of a transaction.
const (
	Applied  Outcome = iota // executed
	Conflict                // a condition failed; nothing was changed
	Refused                 // certainly not executed: status 429 or 503
	Unknown                 // no answer: it may have been executed, or may be executed later
	NoLease                 // a put named a lease that has ended
	Invalid                 // malformed, which is a bug in the caller, or too large for the service
)

// Result is the result of a transaction.
type Result struct {
	Outcome Outcome
	Tally   uint64   // store revision at which it was executed or its conditions were checked
	Failed  []string // keys whose conditions failed
}

// request is a request that waits or is in flight.
type request struct {
	prio    Prio
	writes  int // number of changes that it contains
	method  string
	path    string
	body    []byte
	timeout loop.Micros
	cb      func(Response)
}

// Client sends requests to the state service within this controller's share of the service's rate limits. It is
// used on the event loop only.
type Client struct {
	r        loop.Runner
	do       Doer
	log      *slog.Logger
	rps      float64 // the service's limits of requests and changes per second
	writeRPS float64
	txnOps   int         // largest number of changes in a transaction, as far as is known
	part     float64     // this controller's part of the limits
	pace     float64     // fraction of the part that is used; below 1 after the service has refused requests by rate
	refused  loop.Micros // monotonic time of the last slowdown
	reads    bucket      // limits all requests
	puts     bucket      // limits changes
	asks     bucket      // limits Inquiries, to a part of all requests
	queue    fairQueue
	sequence Sequence // the newest number that was drawn
	inFlight int
	waking   bool        // a call of pump is scheduled
	pauseTo  loop.Micros // monotonic time until which only leases are sent

	// Meter counts requests by outcome; it may be nil.
	Meter *metric.Meter

	lost int // transactions and syncs in a row that got no answer in time
	// lastOK is the time at which the newest request was sent that the service answered successfully.
	lastOK loop.Micros
	// lastBad is the time of the newest failure.
	lastBad loop.Micros
}

const (
	maxInFlight = 24
	// inquiryPart is the part of the requests that Inquiries may take, so that even a large excess of polls
	// takes nothing from the starts and outcomes of tasks.
	inquiryPart = 0.25
)

var errQueue = errors.New("too many requests waiting for the state service")

// NewClient makes a client that uses at most 0.9/nodes of the limits.
func NewClient(r loop.Runner, do Doer, log *slog.Logger, rps, writeRPS float64, nodes int) *Client {
	c := &Client{r: r, do: do, log: log, rps: rps, writeRPS: writeRPS, txnOps: usualTxnOps, pace: 1}
	c.Use(0.9 / float64(max(nodes, 1)))
	return c
}

// Part returns the part of the service's limits that this controller uses.
func (c *Client) Part() float64 { return c.part }

// Contact returns the time at which the newest successfully answered request was sent.
func (c *Client) Contact() loop.Micros { return c.lastOK }

// Healthy reports whether a request that was sent within the last d was answered successfully.
func (c *Client) Healthy(d loop.Micros) bool { return c.lastOK != 0 && c.r.Now()-c.lastOK < d }

// Waiting returns the number of requests queued here.
func (c *Client) Waiting() int { return c.queue.all() }

// Writable returns how many changes of a class could be sent at once. It is 0 if another class is next to send
// changes, or if requests of this class wait already.
func (c *Client) Writable(p Prio) int {
	now := c.r.Now()
	c.fill(now)
	if !c.open(now) || c.queue.waiting(p) > 0 {
		return 0
	}
	if writer, waits := c.queue.writer(); waits && c.queue.start(writer) < c.queue.start(p) {
		return 0
	}
	return int(c.puts.have)
}

// Burst returns the largest value that Writable can return.
func (c *Client) Burst() int { return int(c.puts.burst) }

// Send queues a request; cb is called with the response on the event loop. Except for leases, it fails at once
// if too many requests of the class wait.
func (c *Client) Send(p Prio, writes int, method, path string, body any, timeout loop.Micros, cb func(Response)) {
	if p != Leases && c.queue.waiting(p) >= maxQueue {
		c.r.Post(func() { cb(Response{Err: errQueue}) })
		return
	}
	var raw []byte
	if body != nil {
		raw = wire.Marshal(body)
	}
	c.queue.add(request{p, writes, method, path, raw, timeout, cb})
	c.pump()
}

// fill adds to the token buckets what has accrued until now.
func (c *Client) fill(now loop.Micros) {
	c.reads.fill(now)
	c.puts.fill(now)
	c.asks.fill(now)
}

// open reports whether requests other than leases may be sent now.
func (c *Client) open(now loop.Micros) bool {
	return now >= c.pauseTo && c.inFlight < maxInFlight && c.reads.have >= 1
}

// pump sends the requests that the limits allow now, and schedules itself for the rest.
func (c *Client) pump() {
	now := c.r.Now()
	c.fill(now)
	for {
		p, found := c.next(now)
		if !found {
			break
		}
		c.send(p, now)
	}
	if c.queue.all() > 0 {
		c.wakeLater()
	}
}

// next returns the class whose request is to be sent now. A request with changes waits until enough of them
// have accrued and it is its class's turn; requests without changes overtake it meanwhile.
func (c *Client) next(now loop.Micros) (class Prio, found bool) {
	if c.queue.waiting(Leases) > 0 {
		return Leases, true
	}
	if !c.open(now) {
		return 0, false
	}
	writer, writes := c.queue.writer()
	return c.queue.least(func(p Prio, head *request) bool {
		if p == Inquiries && c.asks.have < 1 {
			return false
		}
		if head.writes == 0 {
			return true
		}
		return writes && p == writer && c.puts.have >= min(float64(head.writes), c.puts.burst)
	})
}

// cost returns what a request consumes of the limits, measured in changes.
func (c *Client) cost(q *request) float64 {
	if c.rps <= 0 {
		return float64(q.writes)
	}
	return max(float64(q.writes), c.writeRPS/c.rps)
}

// send sends the next request of a class.
func (c *Client) send(p Prio, now loop.Micros) {
	q := c.queue.take(p, c.cost(c.queue.head(p)))
	c.reads.have--
	if p == Inquiries {
		c.asks.have--
	}
	c.puts.have -= float64(q.writes)
	c.inFlight++
	c.r.Go(func() {
		resp := c.do.Do(q.method, q.path, q.body, loop.Duration(q.timeout))
		c.r.Post(func() { c.finished(q, now, resp) })
	})
}

// wakeLater schedules pump, since waiting requests may be sent when the buckets have filled.
func (c *Client) wakeLater() {
	if c.waking {
		return
	}
	c.waking = true
	c.r.After(15*loop.Millisecond, func() {
		c.waking = false
		c.pump()
	})
}

// finished handles the response to a request.
func (c *Client) finished(q request, sent loop.Micros, resp Response) {
	c.inFlight--
	c.note(sent, resp)
	took := c.r.Now() - sent
	c.Meter.StateRequest(metric.Outcome(resp.Status, resp.Err), took)
	if c.log.Enabled(context.Background(), slog.LevelDebug) {
		c.log.Debug("state service answered a request or the request failed", "method", q.method, "path", q.path, "sent_us", sent, "took_us", took, "status", resp.Status, "err", resp.Err)
	}
	q.cb(resp)
	c.pump()
}

// note updates what is known of this controller's contact with the service.
func (c *Client) note(sent loop.Micros, resp Response) {
	switch {
	case resp.Err == nil && resp.Status != 503 && resp.Status != 429:
		c.lastOK = max(c.lastOK, sent)
	case resp.Status == 429:
		c.pauseTo = c.r.Now() + 100*loop.Millisecond
		c.slowDown()
		c.log.Debug("state service refused a request by rate; only leases are sent for 100 ms and requests are slowed down")
	default:
		c.lastBad = c.r.Now()
	}
}

// Failing reports whether the newest response of the service was a failure.
func (c *Client) Failing() bool { return c.lastBad > c.lastOK }

const (
	// A transaction without an answer is repeated or its outcome is looked up, and its caller is blocked until
	// then. So a transaction does not wait much longer than answers usually take, soon. Only after lostInRow
	// missing answers in a row does the wait double, up to atLast: the service is slow then, and giving up
	// early would only repeat requests in vain.
	soon      = 400 * loop.Millisecond
	atLast    = 1500 * loop.Millisecond
	lostInRow = 3
)

// patience returns how long to wait for the answer to a transaction.
func (c *Client) patience() loop.Micros { return min(soon<<min(c.lost/lostInRow, 4), atLast) }

// noteAnswer counts the answers in a row that did not arrive in time.
func (c *Client) noteAnswer(resp Response) {
	if resp.Err == nil {
		c.lost = 0
	} else if !errors.Is(resp.Err, errQueue) {
		c.lost++
	}
}

// Txn executes a transaction and calls cb with its result.
func (c *Client) Txn(p Prio, t wire.Txn, cb func(Result)) {
	if t.If == nil {
		t.If = []wire.Cond{}
	}
	c.Send(p, len(t.Then), "POST", "/multi", t, c.patience(), func(resp Response) {
		c.noteAnswer(resp)
		result := c.outcome(resp)
		if result.Outcome == Invalid {
			c.refusedAsMalformed(t)
		}
		cb(result)
	})
}

// refusedUndone reports whether a request was certainly not executed.
func refusedUndone(resp Response) bool {
	return errors.Is(resp.Err, errQueue) || resp.Status == 429 || resp.Status == 503
}

// outcome derives the result of a transaction from its response.
func (c *Client) outcome(resp Response) Result {
	var r wire.TxnResult
	switch {
	case refusedUndone(resp):
		return Result{Outcome: Refused}
	case resp.Err != nil:
		return Result{Outcome: Unknown}
	case resp.Status != 200 && resp.Status != 409 && resp.Status != 400:
		return Result{Outcome: Unknown}
	}
	if err := wire.Unmarshal(resp.Body, &r); err != nil {
		c.log.Error("answer of the state service to a transaction cannot be decoded; the outcome is unknown", "err", err)
		return Result{Outcome: Unknown}
	}
	switch {
	case resp.Status == 200:
		return Result{Outcome: Applied, Tally: r.StoreRevision}
	case resp.Status == 409:
		return Result{Outcome: Conflict, Failed: r.Failed, Tally: r.StoreRevision}
	case r.Error == "no such lease":
		return Result{Outcome: NoLease}
	}
	c.log.Error("state service rejected a transaction as malformed; it was not executed", "err", r.Error)
	return Result{Outcome: Invalid}
}

// Get reads a key. cb is called with found and ok if the key exists, with ok alone if it certainly does not,
// and with neither if there was no answer.
func (c *Client) Get(p Prio, key string, cb func(item wire.KeyValue, found, ok bool)) {
	c.Send(p, 0, "GET", "/store/"+key, nil, 1500*loop.Millisecond, func(resp Response) {
		var it wire.KeyValue
		switch {
		case resp.Err == nil && resp.Status == 404:
			cb(it, false, true)
		case resp.Err == nil && resp.Status == 200 && wire.Unmarshal(resp.Body, &it) == nil:
			cb(it, true, true)
		default:
			cb(it, false, false)
		}
	})
}

// Exists determines whether there is any key under a prefix; ok is false if there was no answer.
func (c *Client) Exists(p Prio, prefix string, cb func(exists, ok bool)) {
	c.Send(p, 0, "GET", "/store?under="+prefix+"&limit=1", nil, 1500*loop.Millisecond, func(resp Response) {
		var r wire.Range
		ok := resp.Err == nil && resp.Status == 200 && wire.Unmarshal(resp.Body, &r) == nil
		cb(len(r.Items) > 0, ok)
	})
}

// Scan reads all keys under a prefix, page by page; tally is the store revision of the first page.
func (c *Client) Scan(p Prio, prefix string, cb func(items []wire.KeyValue, tally uint64, ok bool)) {
	var all []wire.KeyValue
	var first uint64
	var page func(since string)
	page = func(since string) {
		path := "/store?under=" + prefix + "&limit=500"
		if since != "" {
			path += "&since=" + since
		}
		c.Send(p, 0, "GET", path, nil, 3*loop.Second, func(resp Response) {
			var r wire.Range
			if resp.Err != nil || resp.Status != 200 || wire.Unmarshal(resp.Body, &r) != nil {
				cb(nil, 0, false)
				return
			}
			if since == "" {
				first = r.StoreRevision
			}
			all = append(all, r.Items...)
			if r.More && len(r.Items) > 0 {
				page(r.Items[len(r.Items)-1].Key)
				return
			}
			cb(all, first, true)
		})
	}
	page("")
}

// Lease opens a lease; id 0 means that none was granted.
func (c *Client) Lease(ttl loop.Micros, cb func(id uint64)) {
	c.Send(Leases, 0, "POST", "/holds", wire.Lease{TTLms: ttl / 1000}, 1500*loop.Millisecond, func(resp Response) {
		var l wire.Lease
		if resp.Err != nil || resp.Status != 200 || wire.Unmarshal(resp.Body, &l) != nil {
			cb(0)
			return
		}
		cb(l.ID)
	})
}

// Extend renews a lease. cb is called with alive and ok if it was renewed, with ok alone if it has ended, and
// with neither if there was no answer.
func (c *Client) Extend(id uint64, cb func(alive, ok bool)) {
	c.Send(Leases, 0, "POST", "/holds/"+strconv.FormatUint(id, 10)+"/extend", nil, 1200*loop.Millisecond, func(resp Response) {
		switch {
		case resp.Err == nil && resp.Status == 200:
			cb(true, true)
		case resp.Err == nil && resp.Status == 404:
			cb(false, true)
		default:
			cb(false, false)
		}
	})
}

// End ends a lease at once, if the service can be reached.
func (c *Client) End(id uint64) {
	c.Send(Leases, 0, "DELETE", "/holds/"+strconv.FormatUint(id, 10), nil, 1500*loop.Millisecond, func(Response) {})
}
