package scale

import (
	"net"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"cleatpick/internal/standin"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"

	"github.com/valyala/fasthttp"
)

// Traffic is what a role was sent and answered, in requests and bytes of bodies.
type Traffic struct {
	Requests atomic.Int64
	BytesIn  atomic.Int64
	BytesOut atomic.Int64
}

func (t *Traffic) count(in, out int) {
	t.Requests.Add(1)
	t.BytesIn.Add(int64(in))
	t.BytesOut.Add(int64(out))
}

// serveOn answers the requests of a listener until it is closed.
func serveOn(ln net.Listener, t *Traffic, do func(method, path string, body []byte) store.Response) {
	s := &fasthttp.Server{NoDefaultServerHeader: true, NoDefaultDate: true, Handler: func(ctx *fasthttp.RequestCtx) {
		body := append([]byte(nil), ctx.PostBody()...)
		r := do(string(ctx.Method()), string(ctx.RequestURI()), body)
		ctx.SetStatusCode(r.Status)
		ctx.SetBody(r.Body)
		t.count(len(body), len(r.Body))
	}}
	s.Serve(ln) // it ends when the listener is closed
}

func listen() (net.Listener, error) { return net.Listen("tcp4", "127.0.0.1:0") }

// stateRequest answers a request to the state service; watches stay open until something
// changes or their time is up.
func stateRequest(s *standin.StateService, method, path string, body []byte) store.Response {
	wait := watchTime(path)
	if wait == 0 {
		return s.Do(method, path, body, 0)
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	changed := s.Changed()
	r := s.Do(method, path, body, 0)
	for r.Status == 200 && noEvents(r.Body) {
		select {
		case <-deadline.C:
			return r
		case <-changed:
		}
		changed = s.Changed()
		r = s.AnswerAgain(method, path)
	}
	return r
}

// watchTime is for how long a request may wait; 0 where it is no watch.
func watchTime(path string) time.Duration {
	u, err := url.Parse(path)
	if err != nil || u.Path != "/changes" {
		return 0
	}
	ms, _ := strconv.Atoi(u.Query().Get("waitMs"))
	return time.Duration(ms) * time.Millisecond
}

func noEvents(body []byte) bool {
	var e wire.Events
	return wire.Unmarshal(body, &e) == nil && len(e.Events) == 0
}
