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
	workerPort    = 19000 // of every machine; their IP addresses differ
	tickEvery     = 200 * time.Millisecond
	changeGap     = 500 * time.Millisecond // least time from a report to one that is sent because a task changed
	answerWithin  = 4 * time.Second
	retryNode     = time.Second // from a report without a usable answer to the next one
	workerSockets = 4000        // most connections to each controller
	machineMemory = 256.0       // GB
)

// workers are the simulated workers of all machines. They run in this process.
type workers struct {
	ctx      context.Context
	settings *Settings
	clock    loop.Clock
	referee  *referee
	nodes    []*controller
	client   *fasthttp.Client
	running  sync.WaitGroup
	reports  Traffic       // as sent by the workers
	commands Traffic       // as answered by them
	failed   atomic.Int64  // workers that could not listen on their address
	alive    atomic.Int64  // workers that report
	silent   []atomic.Bool // by zone: whether its workers neither report nor answer

	mu  sync.Mutex
	all map[string]*hollowWorker // by name of the machine
}

// hollowWorker is the simulated worker of one machine. It speaks the real protocol but runs no tasks.
type hollowWorker struct {
	listed wire.CloudMachine
	zone   int
	stop   context.CancelFunc
	server net.Listener

	mu      sync.Mutex
	w       *standin.Worker // nil until the machine has booted
	changed bool            // a task started or ended since the last report
}

// newWorkers returns workers without any machine.
func newWorkers(ctx context.Context, s *Settings, clock loop.Clock, r *referee) *workers {
	return &workers{ctx: ctx, settings: s, clock: clock, referee: r, silent: make([]atomic.Bool, s.Zones), all: map[string]*hollowWorker{},
		client: &fasthttp.Client{MaxConnsPerHost: workerSockets, MaxIdleConnDuration: time.Minute, NoDefaultUserAgentHeader: true,
			MaxIdemponentCallAttempts: 1, ReadBufferSize: 4096, WriteBufferSize: 4096,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}}
}

// address returns a machine's address. Each machine has its own IP address in the loopback range 127.0.0.0/8.
func address(name string) string {
	var no int
	fmt.Sscanf(name, "n-%d", &no)
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+no/62500, no/250%250, 1+no%250, workerPort)
}

// up boots a rented machine. Its worker starts after a random boot time, which is
// between 0.6 and 1.5 times the one in the settings.
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

// gone deletes a machine and ends the tasks on it.
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

// sleep waits for d. It reports false if the context ended earlier.
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

// begin opens the listener of a machine and starts its worker.
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
	x.OnTaskStart = func(task, _ string) { w.changed = true; a.referee.began(task, x.Name, time.Now()) }
	x.OnTaskEnd = func(task, _ string) { w.changed = true; a.referee.left(task, x.Name) }
	w.w = x
	a.running.Go(func() {
		serveOn(ln, &a.commands, func(m, p string, b []byte) store.Response { return a.command(w, m, p, b) })
	})
	return nil
}

// work runs the worker of a machine until the machine is deleted. It reports to one controller at a time,
// periodically and soon after a task changed.
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

// nextNode returns the index of the controller to which a worker reports next: the one named by a redirect, or else
// the next in order.
func (a *workers) nextNode(node int, to string) int {
	for i, c := range a.nodes {
		if c.label == to {
			return i
		}
	}
	return (node + 1) % len(a.nodes)
}

// report sends one report and applies the answer. If the controller redirects the worker, to is the label of the
// controller to report to.
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
	w.w.HandleAnswer(a.clock.Now(), sent, report.Session, answer)
	return "", true
}

// exchange sends an encoded report and returns the answer. The status is 0 if there is no answer in time.
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

// command answers a request to a worker: direct commands, or a GET for its report. In a silent zone, the request is
// answered with 503 after a delay.
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
	status, report := w.w.HandleCommands(a.clock.Now(), c)
	return store.Response{Status: status, Body: wire.Marshal(report)}
}

// close deletes all machines and waits until their goroutines have ended.
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
