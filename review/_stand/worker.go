package main

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// jobSpec is what a worker knows of a job, which its user has uploaded.
type jobSpec struct {
	cpus, ramGB, sizeGB, runS float64
	service                   bool
	kit                       string
	huddleS                   float64 // time to save; used only if saves is set
	saves                     bool
}

type reportedTask struct {
	Snap     string `cbor:"snap"`
	Try      uint64 `cbor:"try"`
	Standing string `cbor:"standing"`
	Call     string `cbor:"call,omitempty"`
	Saved    bool   `cbor:"saved,omitempty"`
}

type workerTask struct {
	reportedTask
	until time.Time // when it has its image, completes, or has saved; zero: never
}

type signalMsg struct {
	Signal   string  `cbor:"signal"`
	Snap     string  `cbor:"snap"`
	Try      uint64  `cbor:"try"`
	Stoppage float64 `cbor:"stoppageS"`
}

type signalsMsg struct {
	Armband *uint64     `cbor:"armband"`
	Shift   *uint64     `cbor:"shift"`
	Signals []signalMsg `cbor:"signals"`
}

// worker is a stand-in for the worker of one machine.
type worker struct {
	w                       *world
	name, addr, build, zone string
	loaners                 bool
	cpus, ramGB, fetch      float64
	stop                    context.CancelFunc
	srv                     *http.Server

	mu       sync.Mutex
	shift    uint64
	down     uint64
	armband  uint64
	tasks    []*workerTask
	results  map[string]bool // tasks that completed here: started again, they end with done at once
	cached   map[string]bool
	leaseAt  time.Time // when the last answered report was sent, or the session began
	changed  bool
	gone     bool
	reportTo int
}

// bootWorker boots a machine's worker after its boot time.
func (w *world) bootWorker(m *cloudMachine, t machineType) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	w.must(err)
	ctx, cancel := context.WithCancel(w.ctx)
	x := &worker{w: w, name: m.name, addr: ln.Addr().String(), build: m.build, zone: m.field, loaners: m.loaners, cpus: t.CPUs, ramGB: t.RAMGB, fetch: t.FetchGBPerS,
		stop: cancel, shift: 1, results: map[string]bool{}, cached: map[string]bool{}, reportTo: rand.IntN(len(w.nodes))}
	x.srv = &http.Server{Handler: x}
	w.mu.Lock()
	w.workers[m.name] = x
	w.mu.Unlock()
	go func() {
		select {
		case <-ctx.Done():
			ln.Close()
			return
		case <-time.After(time.Until(m.upAt)):
		}
		w.record("worker %s: up", x.name)
		x.leaseAt = time.Now()
		go x.srv.Serve(ln)
		go x.tick(ctx)
		x.reports(ctx)
	}()
	return ln.Addr().String()
}

// remove ends the machine with all that is on it.
func (x *worker) remove() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gone = true
	for _, t := range x.tasks {
		x.end(t, "gone")
	}
	x.stop()
	x.srv.Close()
}

func (x *worker) set(t *workerTask, standing string) {
	t.Standing = standing
	x.changed = true
	x.w.taskChanged(x.name, t.reportedTask)
}

func (x *worker) end(t *workerTask, why string) {
	if t.Standing == "ended" {
		return
	}
	t.Call = why
	x.set(t, "ended")
}

// tick moves tasks on and ends the session when the lease is over.
func (x *worker) tick(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
		x.mu.Lock()
		x.expire()
		for _, t := range x.tasks {
			if t.until.IsZero() || time.Now().Before(t.until) {
				continue
			}
			id := t.Snap[:strings.LastIndexByte(t.Snap, '/')]
			j, _ := x.w.job(id)
			switch t.Standing {
			case "pulling":
				x.cached[j.kit] = true
				if x.results[t.Snap] {
					x.end(t, "done")
					continue
				}
				t.until = time.Now().Add(time.Duration(j.runS * float64(time.Second)))
				if j.service {
					t.until = time.Time{}
				}
				x.set(t, "running")
			case "running":
				x.results[t.Snap] = true
				x.end(t, "done")
			case "saving":
				t.Saved = true
				x.end(t, "stopped")
			}
		}
		x.mu.Unlock()
	}
}

// expire begins a new session if the last answered report was sent more than the lease ago.
func (x *worker) expire() {
	if x.gone || time.Since(x.leaseAt) <= x.w.lease {
		return
	}
	for _, t := range x.tasks {
		x.end(t, "lease")
	}
	x.w.record("worker %s: lease over, session %d begins", x.name, x.shift+1)
	x.tasks = nil
	x.shift++
	x.leaseAt = time.Now()
	x.changed = true
}

// report returns the machine's report; the caller holds the lock.
func (x *worker) report() map[string]any {
	x.down++
	tasks := []reportedTask{}
	for _, t := range x.tasks {
		tasks = append(tasks, t.reportedTask)
	}
	return map[string]any{"stall": x.name, "address": x.addr, "build": x.build, "field": x.zone, "loaners": x.loaners,
		"shift": x.shift, "down": x.down, "armband": x.armband, "recallS": nil, "snaps": tasks}
}

// reports sends the reports, one at a time.
func (x *worker) reports(ctx context.Context) {
	next, last := time.Now(), time.Time{}
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		x.mu.Lock()
		due := time.Now().After(next) || x.changed && time.Since(last) >= 500*time.Millisecond && time.Now().After(next.Add(-x.w.reportEvery*5/4))
		if !due || x.gone {
			x.mu.Unlock()
			continue
		}
		x.expire()
		x.changed = false
		body, shift, to := encode(x.report()), x.shift, x.reportTo
		x.mu.Unlock()
		sent := time.Now()
		last = sent
		next = sent.Add(time.Duration(float64(x.w.reportEvery) * (0.75 + 0.5*rand.Float64())))
		status, reply := exchange(ctx, x.w.nodes[to].client, "POST", "/agent/beat", body, 4*time.Second)
		if status != 200 && status != 421 {
			x.w.record("worker %s: report of %d bytes (%d in JSON) to %s: status %d", x.name, len(body), jsonSize(body), x.w.nodes[to].label, status)
		}
		x.mu.Lock()
		switch status {
		case 200:
			var in signalsMsg
			if cbor.Unmarshal(reply, &in) == nil && in.Armband != nil && *in.Armband >= x.armband && shift == x.shift && !x.gone {
				x.expire()
				if shift != x.shift {
					break
				}
				if *in.Armband > x.armband {
					x.armband = *in.Armband
					x.changed = true
				}
				x.leaseAt = sent
				x.execute(in.Signals)
			}
		case 421:
			var in struct {
				Coach string `cbor:"coach"`
			}
			cbor.Unmarshal(reply, &in)
			i := slices.IndexFunc(x.w.nodes, func(n *controller) bool { return n.label == in.Coach })
			if i >= 0 && i != to {
				x.reportTo, next = i, time.Now()
			} else {
				x.reportTo, next = (to+1)%len(x.w.nodes), time.Now().Add(time.Second)
			}
		default:
			x.reportTo, next = (to+1)%len(x.w.nodes), time.Now().Add(time.Second)
		}
		x.mu.Unlock()
	}
}

// execute executes commands in order; the caller holds the lock.
func (x *worker) execute(signals []signalMsg) {
	for _, s := range signals {
		x.w.record("worker %s: %s %s try %d", x.name, s.Signal, s.Snap, s.Try)
		i := slices.IndexFunc(x.tasks, func(t *workerTask) bool { return t.Snap == s.Snap && t.Try == s.Try })
		id := s.Snap
		if k := strings.LastIndexByte(id, '/'); k >= 0 {
			id = id[:k]
		}
		j, known := x.w.job(id)
		switch {
		case s.Signal == "start" && i < 0:
			x.start(s, j, known)
		case s.Signal == "kill" && i >= 0:
			t := x.tasks[i]
			switch {
			case t.Standing == "running" && j.saves && s.Stoppage >= j.huddleS:
				t.until = time.Now().Add(time.Duration(j.huddleS * float64(time.Second)))
				x.set(t, "saving")
			case t.Standing == "saving" && s.Stoppage > 0:
			default:
				x.end(t, "stopped")
			}
		case s.Signal == "forget" && i >= 0 && x.tasks[i].Standing == "ended":
			x.tasks = slices.Delete(x.tasks, i, i+1)
			x.changed = true
		}
	}
}

func (x *worker) start(s signalMsg, j jobSpec, known bool) {
	t := &workerTask{reportedTask: reportedTask{Snap: s.Snap, Try: s.Try}}
	cpus, ram, busy := x.cpus, x.ramGB, false
	for _, o := range x.tasks {
		if o.Standing == "ended" {
			continue
		}
		busy = busy || o.Snap == s.Snap
		if oj, ok := x.w.job(o.Snap[:strings.LastIndexByte(o.Snap, '/')]); ok {
			cpus -= oj.cpus
			ram -= oj.ramGB
		}
	}
	x.tasks = append(x.tasks, t)
	switch {
	case !known:
		x.end(t, "no_such")
	case busy:
		x.end(t, "busy")
	case j.cpus > cpus+1e-6 || j.ramGB > ram+1e-6:
		x.end(t, "full")
	default:
		fetch := 0.0
		if !x.cached[j.kit] {
			fetch = j.sizeGB / x.fetch
		}
		t.until = time.Now().Add(time.Duration(fetch * float64(time.Second)))
		x.set(t, "pulling")
	}
}

// ServeHTTP serves direct commands and inspections.
func (x *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	if err != nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.gone {
		return
	}
	x.expire()
	if r.Method == "GET" && r.URL.Path == "/inspect" {
		answer(rw, 200, x.report())
		return
	}
	var in signalsMsg
	if r.Method != "POST" || r.URL.Path != "/commands" || cbor.Unmarshal(body, &in) != nil || in.Armband == nil || in.Shift == nil {
		answer(rw, 400, map[string]string{"error": "malformed"})
		return
	}
	if *in.Armband < x.armband || *in.Shift != x.shift {
		answer(rw, 409, x.report())
		return
	}
	if *in.Armband > x.armband {
		x.armband, x.changed = *in.Armband, true
	}
	x.execute(in.Signals)
	answer(rw, 200, x.report())
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// exchange sends one request; the status is 0 if no response came in time.
func exchange(ctx context.Context, addr, method, path string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/cbor")
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50, IdleConnTimeout: 20 * time.Second},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
