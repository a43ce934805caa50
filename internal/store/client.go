// Package store speaks to the state service: it paces requests, keeps leases
// ahead of everything else, and mirrors the keys that every node watches.
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

// Prio is the class of a request. Classes share what the limits allow by weights; see fairQueue.
type Prio int

// The classes. Leases go before everything else.
const (
	Leases Prio = iota
	Answers
	Inquiries // what polls need: within a part of the requests
	Placements
	Results
	Background
	prios
)

// Outcome says what is known of a transaction.
type Outcome int

// The outcomes of a transaction.
const (
	Applied  Outcome = iota // executed
	Conflict                // a condition failed; nothing was changed
	Refused                 // certainly not executed: 429, 503
	Unknown                 // no answer: it may have been executed, or may be later
	NoLease                 // a put named a lease that has ended
	Invalid                 // malformed: a fault of ours
)

// Result is the outcome of a transaction.
type Result struct {
	Outcome Outcome
	Tally   uint64
	Failed  []string
}

type request struct {
	prio    Prio
	writes  int
	method  string
	path    string
	body    []byte
	timeout loop.Micros
	cb      func(Response)
}

// Client sends requests to the state service within this node's share of its limits.
type Client struct {
	r        loop.Runner
	do       Doer
	log      *slog.Logger
	rps      float64 // the service's limits
	writeRPS float64
	txnOps   int // the most changes of a transaction, as far as is known
	part     float64
	pace     float64 // the part of that which is used since the service refused requests
	refused  loop.Micros
	reads    bucket
	puts     bucket
	asks     bucket // of the reads, what inquiries may take
	queue    fairQueue
	sequence Sequence // the newest number that was drawn
	inFlight int
	waking   bool
	pauseTo  loop.Micros

	// Meter counts requests by outcome; it may be nil.
	Meter *metric.Meter

	lost int // answers in a row that did not come in time
	// lastOK is when the newest request that was answered well was sent.
	lastOK loop.Micros
	// LastBad is when the newest failure came.
	lastBad loop.Micros
}

const (
	maxInFlight = 24
	// inquiryPart is the part of the requests that inquiries may take, so that polls many
	// times as often as usual take nothing from starts and outcomes.
	inquiryPart = 0.25
)

var errQueue = errors.New("too many requests waiting for the state service")

// NewClient makes a client that keeps to 1/nodes of the limits.
func NewClient(r loop.Runner, do Doer, log *slog.Logger, rps, writeRPS float64, nodes int) *Client {
	c := &Client{r: r, do: do, log: log, rps: rps, writeRPS: writeRPS, txnOps: usualTxnOps, pace: 1}
	c.Use(0.9 / float64(max(nodes, 1)))
	return c
}

// Part is the part of the service's limits that this node uses.
func (c *Client) Part() float64 { return c.part }

// Contact tells when the newest well answered request was sent.
func (c *Client) Contact() loop.Micros { return c.lastOK }

// Healthy tells whether the service answered within d and nothing newer failed for long.
func (c *Client) Healthy(d loop.Micros) bool { return c.lastOK != 0 && c.r.Now()-c.lastOK < d }

// Waiting is the number of requests queued here.
func (c *Client) Waiting() int { return c.queue.all() }

// Writable is how many puts of a class could go out at once: none where it is another's turn to change
// something, or where requests of the class wait already.
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

// Burst is the most that Writable ever tells.
func (c *Client) Burst() int { return int(c.puts.burst) }

// Send queues a request; cb runs on the loop.
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

// fill takes in what the limits allow by now.
func (c *Client) fill(now loop.Micros) {
	c.reads.fill(now)
	c.puts.fill(now)
	c.asks.fill(now)
}

// open tells whether anything but leases may be sent now.
func (c *Client) open(now loop.Micros) bool {
	return now >= c.pauseTo && c.inFlight < maxInFlight && c.reads.have >= 1
}

// pump sends what the limits allow now, and comes back when they allow more.
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

// next is the class whose request is to be sent now. A request that needs changes waits until they are
// there and it is its turn; meanwhile those pass that need none.
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

// cost is what a request takes of the limits, in changes.
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

func (c *Client) finished(q request, sent loop.Micros, resp Response) {
	c.inFlight--
	c.note(sent, resp)
	took := c.r.Now() - sent
	c.Meter.State(metric.Outcome(resp.Status, resp.Err), took)
	if c.log.Enabled(context.Background(), slog.LevelDebug) {
		c.log.Debug("state service", "method", q.method, "path", q.path, "sent_us", sent, "took_us", took, "status", resp.Status, "err", resp.Err)
	}
	q.cb(resp)
	c.pump()
}

// note keeps the picture of whether this node has contact with the service.
func (c *Client) note(sent loop.Micros, resp Response) {
	switch {
	case resp.Err == nil && resp.Status != 503 && resp.Status != 429:
		c.lastOK = max(c.lastOK, sent)
	case resp.Status == 429:
		c.pauseTo = c.r.Now() + 100*loop.Millisecond
		c.slowDown()
		c.log.Debug("state service refused by rate")
	default:
		c.lastBad = c.r.Now()
	}
}

// Failing tells whether the newest word from the service was a failure.
func (c *Client) Failing() bool { return c.lastBad > c.lastOK }

const (
	// A transaction whose answer does not come is repeated or asked about, and whoever waits for
	// it stands still meanwhile. So none waits for much longer than answers take, unless several
	// in a row did not come: then the service is slow, and asked in vain.
	soon      = 400 * loop.Millisecond
	atLast    = 1500 * loop.Millisecond
	lostInRow = 3
)

// patience is how long an answer to a transaction is waited for.
func (c *Client) patience() loop.Micros { return min(soon<<min(c.lost/lostInRow, 4), atLast) }

// noteAnswer counts the answers in a row that did not come in time.
func (c *Client) noteAnswer(resp Response) {
	if resp.Err == nil {
		c.lost = 0
	} else if !errors.Is(resp.Err, errQueue) {
		c.lost++
	}
}

// Txn runs a transaction.
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

// refusedUndone tells whether a request was certainly not carried out.
func refusedUndone(resp Response) bool {
	return errors.Is(resp.Err, errQueue) || resp.Status == 429 || resp.Status == 503
}

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
		c.log.Error("state service sent nonsense", "err", err)
		return Result{Outcome: Unknown}
	}
	switch {
	case resp.Status == 200:
		return Result{Outcome: Applied, Tally: r.Tally}
	case resp.Status == 409:
		return Result{Outcome: Conflict, Failed: r.Failed, Tally: r.Tally}
	case r.Error == "no such lease":
		return Result{Outcome: NoLease}
	}
	c.log.Error("state service calls a transaction malformed", "err", r.Error)
	return Result{Outcome: Invalid}
}

// Get reads a key: found, definitely absent (found false, ok true), or no answer (ok false).
func (c *Client) Get(p Prio, key string, cb func(item wire.Item, found, ok bool)) {
	c.Send(p, 0, "GET", "/store/"+key, nil, 1500*loop.Millisecond, func(resp Response) {
		var it wire.Item
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

// Exists asks whether there is any key under a prefix.
func (c *Client) Exists(p Prio, prefix string, cb func(exists, ok bool)) {
	c.Send(p, 0, "GET", "/store?under="+prefix+"&limit=1", nil, 1500*loop.Millisecond, func(resp Response) {
		var r wire.Range
		ok := resp.Err == nil && resp.Status == 200 && wire.Unmarshal(resp.Body, &r) == nil
		cb(len(r.Items) > 0, ok)
	})
}

// Scan reads all keys under a prefix, page by page; tally is that of the first page.
func (c *Client) Scan(p Prio, prefix string, cb func(items []wire.Item, tally uint64, ok bool)) {
	var all []wire.Item
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
				first = r.Tally
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

// Lease opens a lease; id 0 means that none was given.
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

// Extend renews a lease: alive, ended (alive false, ok true), or no answer.
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

// End ends a lease at once, as far as the service can be reached.
func (c *Client) End(id uint64) {
	c.Send(Leases, 0, "DELETE", "/holds/"+strconv.FormatUint(id, 10), nil, 1500*loop.Millisecond, func(Response) {})
}
