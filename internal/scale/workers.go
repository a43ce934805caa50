package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/fake"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"

	"github.com/valyala/fasthttp"
)

const (
	workerPort              = 19000 // of every machine; their IP addresses differ
	tickInterval            = 200 * time.Millisecond
	minChangeReportInterval = 500 * time.Millisecond // least time from a report to one that is sent because a task changed
	reportTimeout           = 4 * time.Second
	reportRetryDelay        = time.Second // from a report without a usable answer to the next one
	maxWorkerConns          = 4000        // most connections to each controller
	machineMemoryGB         = 256.0       // GB
)

// simulatedWorkers are the simulated workers of all machines. They run in this process.
type simulatedWorkers struct {
	ctx          context.Context
	settings     *Settings
	clock        eventloop.Clock
	checker      *invariantChecker
	controllers  []*controller
	copies       *commandCopies
	client       *fasthttp.Client
	goroutines   sync.WaitGroup
	reports      Traffic       // as sent by the workers
	commands     Traffic       // as answered by them
	failedStarts atomic.Int64  // workers that could not listen on their address
	alive        atomic.Int64  // workers that report
	silentZones  []atomic.Bool // by zone: whether its workers neither report nor answer

	mu        sync.Mutex
	byMachine map[string]*simulatedWorker // by name of the machine
}

// simulatedWorker is the simulated worker of one machine. It speaks the real protocol but runs no tasks.
type simulatedWorker struct {
	machine  wire.CloudMachine
	zone     int
	cancel   context.CancelFunc
	listener net.Listener

	mu      sync.Mutex
	fake    *fake.Worker // nil until the machine has booted
	changed bool         // a task started or ended since the last report
}

// newSimulatedWorkers returns workers without any machine.
func newSimulatedWorkers(ctx context.Context, s *Settings, clock eventloop.Clock, checker *invariantChecker) *simulatedWorkers {
	return &simulatedWorkers{ctx: ctx, settings: s, clock: clock, checker: checker, copies: newCommandCopies(s.CopiedCommands, s.Seed), silentZones: make([]atomic.Bool, s.Zones), byMachine: map[string]*simulatedWorker{},
		client: &fasthttp.Client{MaxConnsPerHost: maxWorkerConns, MaxIdleConnDuration: time.Minute, NoDefaultUserAgentHeader: true,
			MaxIdemponentCallAttempts: 1, ReadBufferSize: 4096, WriteBufferSize: 4096,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}}
}

// machineAddress returns a machine's address. Each machine has its own IP address in the loopback range 127.0.0.0/8.
func machineAddress(name string) string {
	var no int
	fmt.Sscanf(name, "n-%d", &no)
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+no/62500, no/250%250, 1+no%250, workerPort)
}

// boot boots a rented machine. Its worker starts after a random boot time, between 0.6 and 1.5 times the
// one in the settings.
func (s *simulatedWorkers) boot(m wire.CloudMachine) {
	ctx, stop := context.WithCancel(s.ctx)
	w := &simulatedWorker{machine: m, cancel: stop}
	fmt.Sscanf(m.Zone, "zone-%d", &w.zone)
	s.mu.Lock()
	s.byMachine[m.Name] = w
	s.mu.Unlock()
	s.goroutines.Go(func() {
		bootTime := time.Duration(s.settings.BootS * (0.6 + 0.9*rand.Float64()) * float64(time.Second))
		if sleep(ctx, bootTime) {
			s.runWorker(ctx, w)
		}
	})
}

// remove deletes a machine and ends the tasks on it.
func (s *simulatedWorkers) remove(name string) {
	s.mu.Lock()
	w := s.byMachine[name]
	delete(s.byMachine, name)
	s.mu.Unlock()
	if w == nil {
		return
	}
	w.cancel()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener != nil {
		w.listener.Close()
	}
	if w.fake != nil {
		w.fake.Destroy()
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

// listenAndStart opens the listener of a machine and starts its worker.
func (s *simulatedWorkers) listenAndStart(ctx context.Context, w *simulatedWorker) error {
	ln, err := net.Listen("tcp4", w.machine.Addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		ln.Close()
		return ctx.Err()
	}
	w.listener = ln
	worker := fake.NewWorker(s.clock.Now(), eventloop.Seconds(s.settings.Workers.LeaseS))
	worker.Name, worker.Addr, worker.Type, worker.Zone, worker.Spot = w.machine.Name, w.machine.Addr, w.machine.Type, w.machine.Zone, w.machine.Spot
	worker.CPUs, worker.MemoryGB = s.settings.MachineCPUs, machineMemoryGB
	worker.Job = func(id string) (fake.Job, bool) {
		spec, ok := s.checker.job(id)
		return fake.Job{CPUs: spec.cpus, MemoryGB: spec.memoryGB, Run: eventloop.Seconds(spec.runS), Tasks: spec.tasks}, ok
	}
	worker.OnTaskStart = func(task, _ string) { w.changed = true; s.checker.taskStarted(task, worker.Name, time.Now()) }
	worker.OnTaskEnd = func(task, _ string) { w.changed = true; s.checker.taskEnded(task, worker.Name) }
	w.fake = worker
	s.goroutines.Go(func() {
		serveOn(ln, &s.commands, func(m, p string, b []byte) store.Response { return s.handleRequest(w, m, p, b) })
	})
	return nil
}

// runWorker runs the worker of a machine until the machine is deleted. It reports to one controller at a time,
// periodically and soon after a task changed.
func (s *simulatedWorkers) runWorker(ctx context.Context, w *simulatedWorker) {
	if err := s.listenAndStart(ctx, w); err != nil {
		s.failedStarts.Add(1)
		return
	}
	s.alive.Add(1)
	defer s.alive.Add(-1)
	current := rand.IntN(len(s.controllers))
	next, last := time.Now(), time.Time{}
	for sleep(ctx, tickInterval-time.Duration(rand.Int64N(int64(tickInterval/4)))) {
		now := time.Now()
		w.mu.Lock()
		w.fake.Tick(s.clock.Now())
		due := now.After(next) || w.changed && now.Sub(last) >= minChangeReportInterval
		w.mu.Unlock()
		if !due {
			continue
		}
		last = now
		next = now.Add(time.Duration(s.settings.Workers.ReportS * (0.75 + 0.5*rand.Float64()) * float64(time.Second)))
		if to, ok := s.sendReport(w, s.controllers[current]); !ok {
			current = s.nextController(current, to)
			if to == "" {
				next = now.Add(reportRetryDelay)
			} else {
				next = now
			}
		}
	}
}

// nextController returns the index of the controller to which a worker reports next: the one named by a redirect, or
// else the next in order.
func (s *simulatedWorkers) nextController(current int, to string) int {
	for i, c := range s.controllers {
		if c.label == to {
			return i
		}
	}
	return (current + 1) % len(s.controllers)
}

// sendReport sends one report and applies the answer. If the controller redirects the worker, to is the label of
// the controller to report to.
func (s *simulatedWorkers) sendReport(w *simulatedWorker, c *controller) (to string, ok bool) {
	if s.silentZones[w.zone].Load() {
		return "", false
	}
	w.mu.Lock()
	sent, report := s.clock.Now(), w.fake.Report()
	w.changed = false
	w.mu.Unlock()
	status, body := s.exchange(c.clientAddr, wire.Marshal(report))
	switch {
	case s.silentZones[w.zone].Load():
		return "", false
	case status == 421:
		var redirect wire.Redirect
		wire.Unmarshal(body, &redirect)
		return redirect.Node, false
	case status != 200:
		return "", false
	}
	var answer wire.Commands
	if wire.Unmarshal(body, &answer) != nil {
		return "", false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fake.HandleAnswer(s.clock.Now(), sent, report.Session, answer)
	return "", true
}

// exchange sends an encoded report and returns the answer. The status is 0 if there is no answer in time.
func (s *simulatedWorkers) exchange(addr string, body []byte) (status int, answer []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + "/agent/beat")
	req.Header.SetMethod("POST")
	req.SetBodyRaw(body)
	if s.client.DoTimeout(req, resp, reportTimeout) != nil {
		s.reports.count(len(body), 0)
		return 0, nil
	}
	answer = append([]byte(nil), resp.Body()...)
	s.reports.count(len(body), len(answer))
	return resp.StatusCode(), answer
}

// handleRequest answers a request to a worker: direct commands, or a GET for its report. In a silent zone, the request
// is answered with 503 after a delay.
func (s *simulatedWorkers) handleRequest(w *simulatedWorker, method, path string, body []byte) store.Response {
	if s.silentZones[w.zone].Load() {
		time.Sleep(reportTimeout)
		return store.Response{Status: 503}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if method == "GET" {
		return store.Response{Status: 200, Body: wire.Marshal(w.fake.Report())}
	}
	var c wire.Commands
	if wire.Unmarshal(body, &c) != nil {
		return store.Response{Status: 400}
	}
	status, report := w.fake.HandleCommands(s.clock.Now(), c)
	s.deliverAgain(w, c)
	return store.Response{Status: status, Body: wire.Marshal(report)}
}

// close deletes all machines and waits until their goroutines have ended.
func (s *simulatedWorkers) close() {
	s.mu.Lock()
	var names []string
	for name := range s.byMachine {
		names = append(names, name)
	}
	s.mu.Unlock()
	for _, name := range names {
		s.remove(name)
	}
	s.client.CloseIdleConnections()
	s.goroutines.Wait()
}
