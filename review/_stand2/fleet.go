package main

import (
	"context"
	"math/rand/v2"
	"net"
	"sort"
	"sync"
	"time"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/fake"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"

	"github.com/valyala/fasthttp"
)

type netConn = net.Conn

// jobSpec is what the workers know of a job.
type jobSpec struct {
	cpus, mem, runS float64
	tasks           int
}

// fleet plays all machines and their workers.
type fleet struct {
	w      *world
	mu     sync.Mutex
	all    map[string]*machine
	jobs   map[string]jobSpec
	on     map[string]map[string]time.Time // by task: the machines on which it is, and since when
	ended  map[string]time.Time            // by task: when it completed
	starts map[string]int
	// overlaps are the starts of tasks that were on another machine.
	overlaps []string
	client   *fasthttp.Client
	quiet    bool // starts and ends of tasks are not written to the record
}

// machine is one machine with its worker.
type machine struct {
	info    wire.CloudMachine
	ln      net.Listener
	cancel  context.CancelFunc
	mu      sync.Mutex
	fake    *fake.Worker
	changed bool
	host    int
	lastTok time.Time
	hang    time.Time   // until when the machine hangs
	sent    wire.Report // the newest report that was answered
	gone    bool        // it was deleted or taken back, and answers nothing any more
}

func newFleet(w *world) *fleet {
	return &fleet{w: w, all: map[string]*machine{}, jobs: map[string]jobSpec{}, on: map[string]map[string]time.Time{}, ended: map[string]time.Time{}, starts: map[string]int{},
		client: &fasthttp.Client{MaxConnsPerHost: 4000, MaxIdleConnDuration: time.Minute, NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1, ReadBufferSize: 4096, WriteBufferSize: 4096,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:       func(a string) (net.Conn, error) { return fasthttp.DialTimeout(a, 4*time.Second) }}}
}

// address opens the listener of a new machine and returns its address.
func (f *fleet) address(name string) string {
	m := &machine{ln: listen()}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all[name] = m
	return m.ln.Addr().String()
}

func (f *fleet) machine(name string) *machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.all[name]
}

// names lists the machines that exist.
func (f *fleet) names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for n := range f.all {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

func (f *fleet) taskStarted(task, machine string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for other := range f.on[task] {
		if other != machine {
			line := task + " starts on " + machine + " while it is on " + other
			f.overlaps = append(f.overlaps, line)
			f.w.f("worker: %s", line)
		}
	}
	if f.on[task] == nil {
		f.on[task] = map[string]time.Time{}
	}
	f.on[task][machine] = time.Now()
	f.starts[task]++
	if !f.quiet {
		f.w.f("worker: %s: %s starts", machine, task)
	}
}

func (f *fleet) taskEnded(task, machine, why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.on[task], machine)
	if why == wire.WhyDone {
		f.ended[task] = time.Now()
	}
	if !f.quiet {
		f.w.f("worker: %s: %s ends: %s", machine, task, why)
	}
}

// running returns on how many machines tasks are now, in all.
func (f *fleet) running() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, on := range f.on {
		n += len(on)
	}
	return n
}

// completed returns how many tasks of a job have completed, and when the last of them did.
func (f *fleet) completed(id string) (n int, last time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.jobs[id].tasks {
		if at, ok := f.ended[taskName(id, i)]; ok {
			n++
			if at.After(last) {
				last = at
			}
		}
	}
	return n, last
}

// boot boots a rented machine; its worker reports after the boot time.
func (f *fleet) boot(info wire.CloudMachine) {
	m := f.machine(info.Name)
	ctx, cancel := context.WithCancel(f.w.ctx)
	m.info, m.cancel = info, cancel
	go func() {
		if !sleep(ctx, time.Duration(f.w.s.bootS*(0.8+0.4*rand.Float64())*float64(time.Second))) {
			return
		}
		typ := f.w.s.types[0]
		for _, t := range f.w.s.types {
			if t.Name == info.Type {
				typ = t
			}
		}
		k := fake.NewWorker(f.w.clock.Now(), eventloop.Seconds(f.w.s.lease))
		k.Name, k.Addr, k.Type, k.Zone, k.Spot, k.CPUs, k.MemoryGB = info.Name, info.Addr, info.Type, info.Zone, info.Spot, typ.CPUs, typ.MemoryGB
		k.Job = func(id string) (fake.Job, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			j, ok := f.jobs[id]
			return fake.Job{CPUs: j.cpus, MemoryGB: j.mem, Run: eventloop.Seconds(j.runS), Tasks: j.tasks}, ok
		}
		k.OnTaskStart = func(task, _ string) { m.changed = true; f.taskStarted(task, info.Name) }
		k.OnTaskEnd = func(task, why string) { m.changed = true; f.taskEnded(task, info.Name, why) }
		m.mu.Lock()
		m.fake, m.host = k, rand.IntN(len(f.w.nodes))
		m.mu.Unlock()
		go (&fasthttp.Server{NoDefaultServerHeader: true, ReduceMemoryUsage: true, Handler: func(ctx *fasthttp.RequestCtx) {
			r := f.handle(m, string(ctx.Method()), append([]byte(nil), ctx.PostBody()...))
			if r.Err != nil {
				ctx.HijackSetNoResponse(true)
				ctx.Hijack(func(c netConn) { c.Close() })
				return
			}
			ctx.SetStatusCode(r.Status)
			ctx.SetBody(r.Body)
		}}).Serve(m.ln)
		f.report(ctx, m)
	}()
}

// remove deletes a machine with all that is on it.
func (f *fleet) remove(name string) {
	m := f.machine(name)
	if m == nil {
		return
	}
	f.mu.Lock()
	delete(f.all, name)
	f.mu.Unlock()
	if m.cancel != nil {
		m.cancel()
	}
	m.ln.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gone = true
	if m.fake != nil {
		m.fake.Destroy()
	}
}

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

// report sends the reports of a worker until its machine is gone: every report interval, plus or minus a quarter, and when
// something has changed, but no more often than every half second.
func (f *fleet) report(ctx context.Context, m *machine) {
	next, last := time.Now(), time.Time{}
	for sleep(ctx, 100*time.Millisecond) {
		now := time.Now()
		m.mu.Lock()
		if m.gone || now.Before(m.hang) {
			m.mu.Unlock()
			continue
		}
		m.fake.Tick(f.w.clock.Now())
		due := now.After(next) || m.changed && now.Sub(last) >= 500*time.Millisecond && now.After(next.Add(-time.Duration(1.25*f.w.s.report*float64(time.Second))))
		m.mu.Unlock()
		if !due {
			continue
		}
		last = now
		next = now.Add(time.Duration(f.w.s.report * (0.75 + 0.5*rand.Float64()) * float64(time.Second)))
		to, ok := f.send(m)
		if ok {
			continue
		}
		m.mu.Lock()
		m.changed = true
		m.host = (m.host + 1) % len(f.w.nodes)
		named := false
		for i, n := range f.w.nodes {
			if n.label == to && i != (m.host+len(f.w.nodes)-1)%len(f.w.nodes) {
				m.host, named = i, true
			}
		}
		m.mu.Unlock()
		if !named && !sleep(ctx, time.Second) {
			return
		}
		next, last = time.Now(), time.Time{}
	}
}

// send sends one report and applies its answer; to is the controller that the answer names.
func (f *fleet) send(m *machine) (to string, ok bool) {
	m.mu.Lock()
	sent, rep, host := f.w.clock.Now(), m.fake.Report(), m.host
	m.changed = false
	m.mu.Unlock()
	status, body := exchange(f.client, "POST", f.w.nodes[host].client, "/agent/beat", wire.Marshal(rep), 4*time.Second)
	if status == 421 {
		var r wire.Redirect
		wire.Unmarshal(body, &r)
		return r.Node, false
	}
	var a wire.Commands
	if status != 200 || wire.Unmarshal(body, &a) != nil {
		return "", false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.Token > m.fake.Token() && time.Since(m.lastTok).Seconds() > f.w.s.lease/2 {
		m.lastTok, m.changed = time.Now(), true
	}
	if !m.gone {
		m.sent = rep
		m.fake.HandleAnswer(f.w.clock.Now(), sent, rep.Session, a)
	}
	return "", true
}

// handle answers a request to a worker.
func (f *fleet) handle(m *machine, method string, body []byte) store.Response {
	var c wire.Commands
	if method != "GET" && (wire.Unmarshal(body, &c) != nil || c.Token == 0 || c.Session == 0) {
		return store.Response{Status: 400}
	}
	m.mu.Lock()
	for time.Now().Before(m.hang) && !m.gone {
		m.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		m.mu.Lock()
	}
	defer m.mu.Unlock()
	if m.gone {
		return store.Response{Err: net.ErrClosed}
	}
	m.fake.Tick(f.w.clock.Now())
	if method == "GET" {
		return store.Response{Status: 200, Body: wire.Marshal(m.fake.Report())}
	}
	if c.Token > m.fake.Token() && time.Since(m.lastTok).Seconds() > f.w.s.lease/2 {
		m.lastTok, m.changed = time.Now(), true
	}
	status, r := m.fake.HandleCommands(f.w.clock.Now(), c)
	return store.Response{Status: status, Body: wire.Marshal(r)}
}

// exchange makes one HTTP request; status 0 stands for no answer.
func exchange(c *fasthttp.Client, method, addr, path string, body []byte, timeout time.Duration) (int, []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	if body != nil {
		req.Header.SetContentType("application/cbor")
		req.SetBodyRaw(body)
	}
	if c.DoTimeout(req, resp, timeout) != nil {
		return 0, nil
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...)
}
