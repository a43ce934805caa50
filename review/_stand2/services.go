package main

import (
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/fake"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"

	"github.com/valyala/fasthttp"
)

// stateService plays the state service: the project's own stand-in, with watches that stay open.
type stateService struct {
	w    *world
	fake *fake.StateService
}

func newStateService(w *world) *stateService {
	s := &stateService{w: w, fake: fake.NewStateService(w.clock.Now)}
	s.fake.SetLimits(&fake.Limits{RPS: w.s.rps, WriteRPS: w.s.writeRPS, ValueBytes: int(w.s.valueKB * 1024), TxnOps: 16})
	return s
}

// listen opens the address at which one controller reaches the service.
func (s *stateService) listen() string {
	ln := listen()
	server := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(ctx *fasthttp.RequestCtx) {
		method, path, body := string(ctx.Method()), string(ctx.RequestURI()), append([]byte(nil), ctx.PostBody()...)
		r := s.answer(method, path, body)
		ctx.SetStatusCode(r.Status)
		ctx.SetBody(r.Body)
	}}
	go server.Serve(ln)
	return ln.Addr().String()
}

// answer answers a request; a watch stays open until there is an event for it or its time is up.
func (s *stateService) answer(method, path string, body []byte) store.Response {
	var wait time.Duration
	if u, err := url.Parse(path); err == nil && u.Path == "/changes" {
		ms, _ := strconv.Atoi(u.Query().Get("waitMs"))
		wait = time.Duration(ms) * time.Millisecond
	}
	if wait == 0 {
		return s.fake.Do(method, path, body, 0)
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	changed := s.fake.Changed()
	r := s.fake.Do(method, path, body, 0)
	for {
		var e wire.Events
		if r.Status != 200 || wire.Unmarshal(r.Body, &e) != nil || len(e.Events) > 0 {
			return r
		}
		select {
		case <-deadline.C:
			return r
		case <-changed:
		}
		changed = s.fake.Changed()
		r = s.fake.AnswerAgain(method, path)
	}
}

// cloud plays the cloud.
type cloud struct {
	w    *world
	fake *fake.Cloud
	addr string
	mu   sync.Mutex
	// onRent is called with each rental request and its answer.
	onRent func(r wire.RentRequest, status int, got []string)
	// limit returns how many machines may be rented for a request; nil: as many as there are in the zone.
	limit func(r wire.RentRequest) int
}

func newCloud(w *world) *cloud {
	c := &cloud{w: w, fake: fake.NewCloud(w.s.types[0], w.s.perZone)}
	c.fake.Types = w.s.types
	c.fake.Now, c.fake.ListLag = w.clock.Now, eventloop.Seconds(w.s.listLag)
	c.fake.Addr = func(name string) string { return w.fleet.address(name) }
	c.fake.OnRented = func(m wire.CloudMachine) { w.fleet.boot(m) }
	c.fake.OnDeleted = func(name string) { w.f("cloud: machine %s is deleted", name); w.fleet.remove(name) }
	ln := listen()
	c.addr = ln.Addr().String()
	server := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(ctx *fasthttp.RequestCtx) {
		r := c.do(string(ctx.Method()), string(ctx.RequestURI()), append([]byte(nil), ctx.PostBody()...))
		ctx.SetStatusCode(r.Status)
		ctx.SetBody(r.Body)
	}}
	go server.Serve(ln)
	return c
}

func (c *cloud) do(method, path string, body []byte) store.Response {
	c.mu.Lock()
	onRent, limit := c.onRent, c.limit
	c.mu.Unlock()
	if method == "POST" && path == "/machines" && limit != nil {
		var q wire.RentRequest
		wire.Unmarshal(body, &q)
		n := limit(q)
		if n <= 0 {
			c.w.f("cloud: rental request %s: %d of %s in %s, spot %v -> no capacity", q.Request, q.Count, q.Type, q.Zone, q.Spot)
			return store.Response{Status: 503, Body: wire.Marshal(wire.Error{Error: "no capacity"})}
		}
		q.Count = min(q.Count, n)
		body = wire.Marshal(q)
	}
	r := c.fake.Do(method, path, body, 0)
	if method == "POST" && path == "/machines" {
		var q wire.RentRequest
		var got wire.MachineNames
		wire.Unmarshal(body, &q)
		if r.Status == 200 {
			wire.Unmarshal(r.Body, &got)
		}
		c.w.f("cloud: rental request %s: %d of %s in %s, spot %v -> %d %s", q.Request, q.Count, q.Type, q.Zone, q.Spot, r.Status, strings.Join(short(got.Machines), " "))
		if onRent != nil {
			onRent(q, r.Status, got.Machines)
		}
	}
	return r
}

// short shortens a list for the record.
func short(all []string) []string {
	if len(all) > 6 {
		return append(append([]string{}, all[:5]...), "...", all[len(all)-1])
	}
	return all
}
