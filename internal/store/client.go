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

	"cleatpick/internal/eventloop"
	"cleatpick/internal/metric"
	"cleatpick/internal/wire"
)

// Class is the class of a request. The classes share what the limits allow by weights; see fairQueue.
type Class int

// The classes. Leases precede all others and are not weighted.
const (
	Leases     Class = iota
	Answers          // requests for which a user waits
	Inquiries        // reads for polls; limited to inquiryShare of the requests
	Placements       // task logs and orders for machines
	Results          // outcomes of tasks
	Background       // clean-up for which nothing waits
	numClasses
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

func (o Outcome) String() string {
	return [...]string{"applied", "conflict", "refused", "unknown", "no_lease", "invalid"}[o]
}

// Result is the result of a transaction.
type Result struct {
	Outcome    Outcome
	Revision   uint64   // store revision at which it was executed or its conditions were checked
	FailedKeys []string // keys whose conditions failed
}

// request is a request that waits or is in flight.
type request struct {
	class    Class
	writes   int // number of changes that it contains
	method   string
	path     string
	body     []byte
	timeout  eventloop.Micros
	callback func(Response)
}

// Client sends requests to the state service within this controller's share of the service's rate limits. It is
// used on the event loop only.
type Client struct {
	runner        eventloop.Runner
	do            Doer
	log           *slog.Logger
	rps           float64 // the service's limits of requests and changes per second
	writeRPS      float64
	txnOps        int              // largest number of changes in a transaction, as far as is known
	share         float64          // this controller's share of the limits
	pace          float64          // fraction of the share that is used; below 1 after the service has refused requests by rate
	slowedAt      eventloop.Micros // monotonic time of the last slowdown
	requestTokens bucket           // limits all requests
	changeTokens  bucket           // limits changes
	inquiryTokens bucket           // limits Inquiries, to inquiryShare of all requests
	queue         fairQueue
	sequence      Sequence // the newest number that was drawn
	inFlight      int
	pumpScheduled bool             // a call of pump is scheduled
	pausedUntil   eventloop.Micros // monotonic time until which only leases are sent

	// Meter counts requests by outcome; it may be nil.
	Meter *metric.Meter

	unanswered int // transactions and syncs in a row that got no answer in time
	// lastOK is the time at which the newest request was sent that the service answered successfully.
	lastOK eventloop.Micros
	// lastFailure is the time of the newest failure.
	lastFailure eventloop.Micros
}

const (
	maxInFlight = 24
	// inquiryShare is the share of the requests that Inquiries may take, so that even a large excess of polls
	// takes nothing from the starts and outcomes of tasks.
	inquiryShare = 0.25
)

var errQueue = errors.New("too many requests waiting for the state service")

// NewClient makes a client that uses at most 0.9/nodes of the limits.
func NewClient(r eventloop.Runner, do Doer, log *slog.Logger, rps, writeRPS float64, nodes int) *Client {
	c := &Client{runner: r, do: do, log: log, rps: rps, writeRPS: writeRPS, txnOps: defaultTxnOps, pace: 1}
	c.SetShare(0.9 / float64(max(nodes, 1)))
	return c
}

// Share returns the share of the service's limits that this controller uses.
func (c *Client) Share() float64 { return c.share }

// LastContact returns the time at which the newest successfully answered request was sent.
func (c *Client) LastContact() eventloop.Micros { return c.lastOK }

// Healthy reports whether a request that was sent within the last d was answered successfully.
func (c *Client) Healthy(d eventloop.Micros) bool {
	return c.lastOK != 0 && c.runner.Now()-c.lastOK < d
}

// Waiting returns the number of requests queued here.
func (c *Client) Waiting() int { return c.queue.totalWaiting() }

// AvailableChanges returns how many changes of a class could be sent at once. It is 0 if another class is next to
// send changes, or if requests of this class wait already.
func (c *Client) AvailableChanges(class Class) int {
	now := c.runner.Now()
	c.refill(now)
	if !c.maySend(now) || c.queue.waiting(class) > 0 {
		return 0
	}
	if writer, waits := c.queue.writer(); waits && c.queue.startTag(writer) < c.queue.startTag(class) {
		return 0
	}
	return int(c.changeTokens.tokens)
}

// MaxAvailableChanges returns the largest value that AvailableChanges can return.
func (c *Client) MaxAvailableChanges() int { return int(c.changeTokens.burst) }

// Send queues a request; callback is called with the response on the event loop. Except for leases, it fails at once
// if too many requests of the class wait.
func (c *Client) Send(class Class, writes int, method, path string, body any, timeout eventloop.Micros, callback func(Response)) {
	if class != Leases && c.queue.waiting(class) >= maxQueue {
		c.runner.Post(func() { callback(Response{Err: errQueue}) })
		return
	}
	var raw []byte
	if body != nil {
		raw = wire.Marshal(body)
	}
	c.queue.add(request{class, writes, method, path, raw, timeout, callback})
	c.pump()
}

// refill adds to the token buckets what has accrued until now.
func (c *Client) refill(now eventloop.Micros) {
	c.requestTokens.fill(now)
	c.changeTokens.fill(now)
	c.inquiryTokens.fill(now)
}

// maySend reports whether requests other than leases may be sent now.
func (c *Client) maySend(now eventloop.Micros) bool {
	return now >= c.pausedUntil && c.inFlight < maxInFlight && c.requestTokens.tokens >= 1
}

// pump sends the requests that the limits allow now, and schedules itself for the rest.
func (c *Client) pump() {
	now := c.runner.Now()
	c.refill(now)
	for {
		class, found := c.next(now)
		if !found {
			break
		}
		c.send(class, now)
	}
	if c.queue.totalWaiting() > 0 {
		c.schedulePump()
	}
}

// next returns the class whose request is to be sent now. A request with changes waits until enough of them
// have accrued and it is its class's turn; requests without changes overtake it until then.
func (c *Client) next(now eventloop.Micros) (class Class, found bool) {
	if c.queue.waiting(Leases) > 0 {
		return Leases, true
	}
	if !c.maySend(now) {
		return 0, false
	}
	writer, writes := c.queue.writer()
	return c.queue.leastStartTag(func(candidate Class, head *request) bool {
		if candidate == Inquiries && c.inquiryTokens.tokens < 1 {
			return false
		}
		if head.writes == 0 {
			return true
		}
		return writes && candidate == writer && c.changeTokens.tokens >= min(float64(head.writes), c.changeTokens.burst)
	})
}

// cost returns what a request consumes of the limits, measured in changes.
func (c *Client) cost(req *request) float64 {
	if c.rps <= 0 {
		return float64(req.writes)
	}
	return max(float64(req.writes), c.writeRPS/c.rps)
}

// send sends the next request of a class.
func (c *Client) send(class Class, now eventloop.Micros) {
	req := c.queue.take(class, c.cost(c.queue.head(class)))
	c.requestTokens.tokens--
	if class == Inquiries {
		c.inquiryTokens.tokens--
	}
	c.changeTokens.tokens -= float64(req.writes)
	c.inFlight++
	c.runner.Go(func() {
		resp := c.do.Do(req.method, req.path, req.body, eventloop.Duration(req.timeout))
		c.runner.Post(func() { c.handleResponse(req, now, resp) })
	})
}

// schedulePump schedules pump, since waiting requests may be sent when the buckets have filled.
func (c *Client) schedulePump() {
	if c.pumpScheduled {
		return
	}
	c.pumpScheduled = true
	c.runner.After(15*eventloop.Millisecond, func() {
		c.pumpScheduled = false
		c.pump()
	})
}

// handleResponse handles the response to a request.
func (c *Client) handleResponse(req request, sent eventloop.Micros, resp Response) {
	c.inFlight--
	c.recordContact(sent, resp)
	took := c.runner.Now() - sent
	c.Meter.StateRequest(metric.Outcome(resp.Status, resp.Err), took)
	if c.log.Enabled(context.Background(), slog.LevelDebug) {
		c.log.Debug("state service answered a request or the request failed", "method", req.method, "path", req.path, "sent_us", sent, "took_us", took, "status", resp.Status, "err", resp.Err)
	}
	req.callback(resp)
	c.pump()
}

// recordContact updates what is known of this controller's contact with the service.
func (c *Client) recordContact(sent eventloop.Micros, resp Response) {
	switch {
	case resp.Err == nil && resp.Status != 503 && resp.Status != 429:
		c.lastOK = max(c.lastOK, sent)
	case resp.Status == 429:
		c.pausedUntil = c.runner.Now() + 100*eventloop.Millisecond
		c.slowDown()
		c.log.Debug("state service refused a request by rate; only leases are sent for 100 ms and requests are slowed down")
	default:
		c.lastFailure = c.runner.Now()
	}
}

// Failing reports whether the newest response of the service was a failure.
func (c *Client) Failing() bool { return c.lastFailure > c.lastOK }

const (
	// A transaction without an answer is repeated or its outcome is looked up, and its caller is blocked until
	// then. So a transaction does not wait much longer than answers usually take, firstTimeout. Only after
	// lostPerDoubling missing answers in a row does the wait double, up to maxTimeout: the service is slow then,
	// and giving up early would only repeat requests in vain.
	firstTimeout    = 400 * eventloop.Millisecond
	maxTimeout      = 1500 * eventloop.Millisecond
	lostPerDoubling = 3
)

// timeout returns how long to wait for the answer to a transaction.
func (c *Client) timeout() eventloop.Micros {
	return min(firstTimeout<<min(c.unanswered/lostPerDoubling, 4), maxTimeout)
}

// recordAnswer counts the answers in a row that did not arrive in time.
func (c *Client) recordAnswer(resp Response) {
	if resp.Err == nil {
		c.unanswered = 0
	} else if !errors.Is(resp.Err, errQueue) {
		c.unanswered++
	}
}

// Txn executes a transaction and calls callback with its result.
func (c *Client) Txn(class Class, t wire.Txn, callback func(Result)) {
	if t.If == nil {
		t.If = []wire.Cond{}
	}
	c.Send(class, len(t.Then), "POST", "/multi", t, c.timeout(), func(resp Response) {
		c.recordAnswer(resp)
		result := c.resultOf(resp)
		if result.Outcome == Invalid {
			c.handleMalformed(t)
		}
		callback(result)
	})
}

// certainlyNotExecuted reports whether a request was certainly not executed.
func certainlyNotExecuted(resp Response) bool {
	return errors.Is(resp.Err, errQueue) || resp.Status == 429 || resp.Status == 503
}

// resultOf derives the result of a transaction from its response.
func (c *Client) resultOf(resp Response) Result {
	var r wire.TxnResult
	switch {
	case certainlyNotExecuted(resp):
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
		return Result{Outcome: Applied, Revision: r.StoreRevision}
	case resp.Status == 409:
		return Result{Outcome: Conflict, FailedKeys: r.Failed, Revision: r.StoreRevision}
	case r.Error == "no such lease":
		return Result{Outcome: NoLease}
	}
	c.log.Error("state service rejected a transaction as malformed; it was not executed", "err", r.Error)
	return Result{Outcome: Invalid}
}

// Get reads a key. callback is called with found and ok if the key exists, with ok alone if it certainly does not,
// and with neither if there was no answer.
func (c *Client) Get(class Class, key string, callback func(item wire.KeyValue, found, ok bool)) {
	c.Send(class, 0, "GET", "/store/"+key, nil, 1500*eventloop.Millisecond, func(resp Response) {
		var it wire.KeyValue
		switch {
		case resp.Err == nil && resp.Status == 404:
			callback(it, false, true)
		case resp.Err == nil && resp.Status == 200 && wire.Unmarshal(resp.Body, &it) == nil:
			callback(it, true, true)
		default:
			callback(it, false, false)
		}
	})
}

// Exists determines whether there is any key under a prefix; ok is false if there was no answer.
func (c *Client) Exists(class Class, prefix string, callback func(exists, ok bool)) {
	c.Send(class, 0, "GET", "/store?under="+prefix+"&limit=1", nil, 1500*eventloop.Millisecond, func(resp Response) {
		var r wire.Range
		ok := resp.Err == nil && resp.Status == 200 && wire.Unmarshal(resp.Body, &r) == nil
		callback(len(r.Items) > 0, ok)
	})
}

// Scan reads all keys under a prefix, page by page; storeRevision is that of the first page.
func (c *Client) Scan(class Class, prefix string, callback func(items []wire.KeyValue, storeRevision uint64, ok bool)) {
	var all []wire.KeyValue
	var first uint64
	var page func(since string)
	page = func(since string) {
		path := "/store?under=" + prefix + "&limit=500"
		if since != "" {
			path += "&since=" + since
		}
		c.Send(class, 0, "GET", path, nil, 3*eventloop.Second, func(resp Response) {
			var r wire.Range
			if resp.Err != nil || resp.Status != 200 || wire.Unmarshal(resp.Body, &r) != nil {
				callback(nil, 0, false)
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
			callback(all, first, true)
		})
	}
	page("")
}

// OpenLease opens a lease; id 0 means that none was granted.
func (c *Client) OpenLease(ttl eventloop.Micros, callback func(id uint64)) {
	c.Send(Leases, 0, "POST", "/holds", wire.Lease{TTLms: ttl / 1000}, 1500*eventloop.Millisecond, func(resp Response) {
		var l wire.Lease
		if resp.Err != nil || resp.Status != 200 || wire.Unmarshal(resp.Body, &l) != nil {
			callback(0)
			return
		}
		callback(l.ID)
	})
}

// RenewLease renews a lease. callback is called with alive and ok if it was renewed, with ok alone if it has ended,
// and with neither if there was no answer.
func (c *Client) RenewLease(id uint64, callback func(alive, ok bool)) {
	c.Send(Leases, 0, "POST", "/holds/"+strconv.FormatUint(id, 10)+"/extend", nil, 1200*eventloop.Millisecond, func(resp Response) {
		switch {
		case resp.Err == nil && resp.Status == 200:
			callback(true, true)
		case resp.Err == nil && resp.Status == 404:
			callback(false, true)
		default:
			callback(false, false)
		}
	})
}

// EndLease ends a lease at once, if the service can be reached.
func (c *Client) EndLease(id uint64) {
	c.Send(Leases, 0, "DELETE", "/holds/"+strconv.FormatUint(id, 10), nil, 1500*eventloop.Millisecond, func(Response) {})
}
