package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cleatpick/internal/loop"
	"cleatpick/internal/standin"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"

	"github.com/valyala/fasthttp"
)

const (
	workerPort    = 19000
	tickEvery     = 200 * time.Millisecond
	changeGap     = 500 * time.Millisecond // between two reports that something changed
	answerWithin  = 4 * time.Second
	retryNode     = time.Second
	workerSockets = 4000
	machineMemory = 256.0
)

// workers are all hollow workers; they share this process.
type workers struct {
	ctx      context.Context
	settings *Settings
	clock    loop.Clock
	referee  *referee
	nodes    []*controller
	client   *fasthttp.Client
	running  sync.WaitGroup
	reports  Traffic // as sent by the workers
	commands Traffic // as answered by them
	failed   atomic.Int64
	alive    atomic.Int64
	silent   []atomic.Bool // by zone

	mu  sync.Mutex
	all map[string]*hollowWorker
}

// hollowWorker is a machine that runs nothing, and speaks as if it did.
type hollowWorker struct {
	listed wire.CloudMachine
	zone   int
	stop   context.CancelFunc
	server net.Listener

	mu      sync.Mutex
	w       *standin.Worker
	changed bool
}

func newWorkers(ctx context.Context, s *Settings, clock loop.Clock, r *referee) *workers {
	return &workers{ctx: ctx, settings: s, clock: clock, referee: r, silent: make([]atomic.Bool, s.Zones), all: map[string]*hollowWorker{},
		client: &fasthttp.Client{MaxConnsPerHost: workerSockets, MaxIdleConnDuration: time.Minute, NoDefaultUserAgentHeader: true,
			MaxIdemponentCallAttempts: 1, ReadBufferSize: 4096, WriteBufferSize: 4096,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}}
}

// address is a machine's address: each has one of its own in the loopback range.
func address(name string) string {
	var no int
	fmt.Sscanf(name, "n-%d", &no)
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+no/62500, no/250%250, 1+no%250, workerPort)
}

// up brings a machine up after its boot time.
func (a *workers) up(m wire.CloudMachine) {
	ctx, stop := context.WithCancel(a.ctx)
	w := &hollowWorker{listed: m, stop: stop}
	fmt.Sscanf(m.Zone, "zone-%d", &w.zone)
	a.mu.Lock()
	a.all[m.Name] = w
	a.mu.Unlock()
	a.running.Go(func() {
		boot := time.Duration(a.settings.BootS * (0.6 + 0.9*rand.Float64()) * float64(time.Second))
		if sleep(ctx, boot) {
			a.work(ctx, w)
		}
	})
}

// gone ends a machine with all that is on it.
func (a *workers) gone(name string) {
	a.mu.Lock()
	w := a.all[name]
	delete(a.all, name)
	a.mu.Unlock()
	if w == nil {
		return
	}
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server != nil {
		w.server.Close()
	}
	if w.w != nil {
		w.w.Destroy()
	}
}

// sleep waits; false: the context ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// begin makes the machine's worker and its listener.
func (a *workers) begin(ctx context.Context, w *hollowWorker) error {
	ln, err := net.Listen("tcp4", w.listed.Addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		ln.Close()
		return ctx.Err()
	}
	w.server = ln
	x := standin.NewWorker(a.clock.Now(), loop.Seconds(a.settings.Workers.LeaseS))
	x.Name, x.Addr, x.Type, x.Zone, x.Spot = w.listed.Name, w.listed.Addr, w.listed.Type, w.listed.Zone, w.listed.Spot
	x.CPUs, x.MemoryGB = a.settings.MachineCPUs, machineMemory
	x.Job = func(id string) (standin.Job, bool) {
		spec, ok := a.referee.job(id)
		return standin.Job{CPUs: spec.cpus, MemoryGB: spec.memoryGB, Run: loop.Seconds(spec.runS), Tasks: spec.tasks}, ok
	}
	x.Began = func(task, _ string) { w.changed = true; a.referee.began(task, x.Name, time.Now()) }
	x.Left = func(task, _ string) { w.changed = true; a.referee.left(task, x.Name) }
	w.w = x
	a.running.Go(func() {
		serveOn(ln, &a.commands, func(m, p string, b []byte) store.Response { return a.command(w, m, p, b) })
	})
	return nil
}

// work reports until the machine ends.
func (a *workers) work(ctx context.Context, w *hollowWorker) {
	if err := a.begin(ctx, w); err != nil {
		a.failed.Add(1)
		return
	}
	a.alive.Add(1)
	defer a.alive.Add(-1)
	node := rand.IntN(len(a.nodes))
	next, last := time.Now(), time.Time{}
	for sleep(ctx, tickEvery-time.Duration(rand.Int64N(int64(tickEvery/4)))) {
		now := time.Now()
		w.mu.Lock()
		w.w.Tick(a.clock.Now())
		due := now.After(next) || w.changed && now.Sub(last) >= changeGap
		w.mu.Unlock()
		if !due {
			continue
		}
		last = now
		next = now.Add(time.Duration(a.settings.Workers.ReportS * (0.75 + 0.5*rand.Float64()) * float64(time.Second)))
		if to, ok := a.report(w, a.nodes[node]); !ok {
			node = a.nextNode(node, to)
			if to == "" {
				next = now.Add(retryNode)
			} else {
				next = now
			}
		}
	}
}

// nextNode is where a worker goes that was sent on or got no answer.
func (a *workers) nextNode(node int, to string) int {
	for i, c := range a.nodes {
		if c.label == to {
			return i
		}
	}
	return (node + 1) % len(a.nodes)
}

// report sends one report and takes its answer in; to names the node to go to, if any.
func (a *workers) report(w *hollowWorker, c *controller) (to string, ok bool) {
	if a.silent[w.zone].Load() {
		return "", false
	}
	w.mu.Lock()
	sent, report := a.clock.Now(), w.w.Report()
	w.changed = false
	w.mu.Unlock()
	status, body := a.exchange(c.users, wire.Marshal(report))
	switch {
	case a.silent[w.zone].Load():
		return "", false
	case status == 421:
		var coach wire.Redirect
		wire.Unmarshal(body, &coach)
		return coach.Node, false
	case status != 200:
		return "", false
	}
	var answer wire.Commands
	if wire.Unmarshal(body, &answer) != nil {
		return "", false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.w.Answered(a.clock.Now(), sent, report.Session, answer)
	return "", true
}

func (a *workers) exchange(addr string, body []byte) (status int, answer []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + "/agent/beat")
	req.Header.SetMethod("POST")
	req.SetBodyRaw(body)
	if a.client.DoTimeout(req, resp, answerWithin) != nil {
		a.reports.count(len(body), 0)
		return 0, nil
	}
	answer = append([]byte(nil), resp.Body()...)
	a.reports.count(len(body), len(answer))
	return resp.StatusCode(), answer
}

// command answers a direct command.
func (a *workers) command(w *hollowWorker, method, path string, body []byte) store.Response {
	if a.silent[w.zone].Load() {
		time.Sleep(answerWithin)
		return store.Response{Status: 503}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if method == "GET" {
		return store.Response{Status: 200, Body: wire.Marshal(w.w.Report())}
	}
	var c wire.Commands
	if wire.Unmarshal(body, &c) != nil {
		return store.Response{Status: 400}
	}
	status, report := w.w.Command(a.clock.Now(), c)
	return store.Response{Status: status, Body: wire.Marshal(report)}
}

// close ends all machines and waits for them.
func (a *workers) close() {
	a.mu.Lock()
	var names []string
	for name := range a.all {
		names = append(names, name)
	}
	a.mu.Unlock()
	for _, name := range names {
		a.gone(name)
	}
	a.client.CloseIdleConnections()
	a.running.Wait()
}
