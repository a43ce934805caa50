package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/fake"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"

	"github.com/valyala/fasthttp"
)

// serve serves a fake over HTTP on loopback.
func serve(t *testing.T, do func(method, path string, body []byte) store.Response) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		r := do(string(ctx.Method()), string(ctx.RequestURI()), append([]byte(nil), ctx.PostBody()...))
		ctx.SetStatusCode(r.Status)
		ctx.SetBody(r.Body)
	}}
	go s.Serve(ln)
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

// requestsOf adapts a fake for serve.
func requestsOf(d store.Doer) func(method, path string, body []byte) store.Response {
	return func(m, p string, b []byte) store.Response { return d.Do(m, p, b, 0) }
}

// onLoopback returns a controller's settings for fakes on this machine.
func onLoopback(t *testing.T, label, state, cloud string, nodes int) *config.Config {
	c := &config.Config{Operator: config.Defaults()}
	c.Label, c.ClientListen, c.PeerListen = label, freePort(t), freePort(t)
	c.Outside.State, c.Outside.Cloud = state, cloud
	c.Cluster.Nodes = nodes
	c.Cluster.Teams = []config.Team{{Name: "red", CPUs: 16, CPUsMax: 32}}
	c.Cluster.Workers.ReportS, c.Cluster.Workers.LeaseS, c.Cluster.Workers.CancelS = 0.5, 10, 30
	c.Cluster.State.RPS, c.Cluster.State.WriteRPS, c.Cluster.State.ValueKB, c.Cluster.State.TxnOps = 60, 20, 16, 16
	c.Cluster.Cloud.RPS, c.Cluster.Cloud.ListLagS = 20, 1
	c.Cluster.Limits.RAMMB, c.Cluster.Limits.MaxSockets = 100, 800
	return c
}

// freePort returns an address on loopback that is free now.
func freePort(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// Three controllers on loopback, over real connections: a job is submitted, the controller that accepted it is stopped,
// and the others complete the job and report it as done.
func TestLoopbackWithControllerKill(t *testing.T) {
	clock := eventloop.RealClock()
	state := fake.NewStateService(clock.Now)
	cloud := fake.NewCloud(wire.MachineType{Name: "m8", CPUs: 8, MemoryGB: 32, CacheGB: 9, FetchGBPerS: 1, Price: 1, SpotPrice: 0.3, BootS: 1, Zones: []string{"x"}}, 4)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var mu sync.Mutex
	on := map[string]string{}
	var nodes []string
	var wg sync.WaitGroup
	cloud.OnDeleted = func(string) {}
	cloud.OnRented = func(l wire.CloudMachine) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			worker(ctx, t, clock, l, nodes, func(task, machine string) {
				mu.Lock()
				defer mu.Unlock()
				if was, ok := on[task]; ok && machine != "" {
					t.Errorf("ran_twice: %s runs on %s and %s", task, was, machine)
				}
				if on[task] = machine; machine == "" {
					delete(on, task)
				}
			})
		}()
	}
	stateAddr, cloudAddr := serve(t, requestsOf(state)), serve(t, requestsOf(cloud))
	var cfgs []*config.Config
	for i := range 3 {
		c := onLoopback(t, fmt.Sprintf("s-%d", i), stateAddr, cloudAddr, 3)
		c.Cluster.State.RPS, c.Cluster.State.WriteRPS = 600, 300
		cfgs = append(cfgs, c)
		nodes = append(nodes, c.ClientListen)
	}
	var stopNode []context.CancelFunc
	for i, c := range cfgs {
		for k, o := range cfgs {
			if k != i {
				c.Known = append(c.Known, config.Peer{Label: o.Label, Endpoint: o.PeerListen})
			}
		}
		nctx, end := context.WithCancel(ctx)
		stopNode = append(stopNode, end)
		wg.Add(1)
		go func() {
			defer wg.Done()
			New(c, slog.New(slog.DiscardHandler)).Run(nctx)
		}()
	}
	ask := func(node, method, path string, body any) (int, wire.JobStatus) {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + node + path)
		req.Header.SetMethod(method)
		if body != nil {
			req.SetBody(wire.Marshal(body))
		}
		var s wire.JobStatus
		if fasthttp.DoTimeout(req, resp, 4*time.Second) != nil {
			return 0, s
		}
		if resp.StatusCode() == 503 && len(resp.Header.Peek("Retry-After")) == 0 {
			t.Error("a 503 has no Retry-After header")
		}
		wire.Unmarshal(resp.Body(), &s)
		return resp.StatusCode(), s
	}
	until := func(what string, f func() bool) {
		t.Helper()
		deadline := time.After(60 * time.Second)
		for !f() {
			select {
			case <-deadline:
				t.Fatal("timed out: " + what)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	work := map[string]any{"nameId": "job-000001", "lineup": "k", "squad": "red", "play": "batch", "urgency": "high", "snaps": 6,
		"cpus": 2.0, "cards": 0.0, "ramGb": 1.0, "kit": "i", "sizeGb": 1.0, "oneZone": false, "scatter": false, "loaners": true,
		"expectS": 1.0, "timeoutS": 0.0, "huddleS": 0.0}
	until("accepted", func() bool {
		code, s := ask(nodes[0], "POST", "/work", work)
		return code == 201 && s.State == wire.JobQueued
	})
	stopNode[0]()
	until("a repeated submission is recognized by another controller", func() bool { code, _ := ask(nodes[1], "POST", "/work", work); return code == 200 })
	until("done", func() bool {
		_, s := ask(nodes[2], "GET", "/work/job-000001", nil)
		return s.State == wire.JobDone && s.Done == 6
	})
	until("done everywhere", func() bool { _, s := ask(nodes[1], "GET", "/work/job-000001", nil); return s.State == wire.JobDone })
	if code, s := ask(nodes[1], "POST", "/work/job-000001/withdraw", nil); code != 200 || s.State != wire.JobDone {
		t.Errorf("cancelling a job that is done gives %d %q, want 200 and done", code, s.State)
	}
	if code, _ := ask(nodes[1], "GET", "/work/job-000009", nil); code != 404 {
		t.Errorf("an unknown job gives %d, want 404", code)
	}
	if code, _ := ask(nodes[2], "POST", "/work", map[string]any{"nameId": 3}); code != 400 {
		t.Errorf("a malformed job gives %d, want 400", code)
	}
	if code, _ := ask(nodes[2], "POST", "/work", strings.Repeat("x", 70000)); code != 400 {
		t.Errorf("an oversized body gives %d, want 400", code)
	}
	work["nameId"], work["cpus"] = "job-000002", 9.0
	if code, _ := ask(nodes[2], "POST", "/work", work); code != 422 {
		t.Errorf("a task that fits no machine type gives %d, want 422", code)
	}
	stop()
	wg.Wait()
}

// worker runs a simulated worker that reports over HTTP, and moves to the next controller as the protocol specifies.
func worker(ctx context.Context, t *testing.T, clock eventloop.Clock, l wire.CloudMachine, nodes []string, moved func(task, machine string)) {
	w := fake.NewWorker(clock.Now(), 10*eventloop.Second)
	w.Name, w.Addr, w.Type, w.Zone, w.Spot, w.CPUs, w.MemoryGB = l.Name, "127.0.0.1:1", l.Type, l.Zone, l.Spot, 8, 32
	w.Job = func(string) (fake.Job, bool) {
		return fake.Job{CPUs: 2, MemoryGB: 1, Run: eventloop.Second, Tasks: 6}, true
	}
	w.OnTaskStart = func(task, _ string) { moved(task, l.Name) }
	w.OnTaskEnd = func(task, _ string) { moved(task, "") }
	at := 0
	for ctx.Err() == nil {
		w.Tick(clock.Now())
		if !beat(clock, w, nodes[at%len(nodes)]) {
			at++
		}
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// beat sends one report and applies its answer; false: the worker tries the next controller.
func beat(clock eventloop.Clock, w *fake.Worker, node string) bool {
	sent, r := clock.Now(), w.Report()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + node + "/agent/beat")
	req.Header.SetMethod("POST")
	req.SetBody(wire.Marshal(r))
	var c wire.Commands
	if fasthttp.DoTimeout(req, resp, 4*time.Second) != nil || resp.StatusCode() != 200 || wire.Unmarshal(resp.Body(), &c) != nil {
		return false
	}
	w.HandleAnswer(clock.Now(), sent, r.Session, c)
	return true
}
