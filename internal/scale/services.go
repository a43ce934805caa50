package scale

import (
	"net"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"cleatpick/internal/fake"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"

	"github.com/valyala/fasthttp"
)

// Traffic counts the requests to one service and the bytes of the bodies of requests (in) and answers (out).
type Traffic struct {
	Requests atomic.Int64
	BytesIn  atomic.Int64
	BytesOut atomic.Int64
}

// count adds one request and its answer.
func (t *Traffic) count(in, out int) {
	t.Requests.Add(1)
	t.BytesIn.Add(int64(in))
	t.BytesOut.Add(int64(out))
}

// serveOn answers the HTTP requests of a listener by do until the listener is closed.
func serveOn(ln net.Listener, t *Traffic, do func(method, path string, body []byte) store.Response) {
	s := &fasthttp.Server{NoDefaultServerHeader: true, NoDefaultDate: true, Handler: func(ctx *fasthttp.RequestCtx) {
		body := append([]byte(nil), ctx.PostBody()...)
		r := do(string(ctx.Method()), string(ctx.RequestURI()), body)
		ctx.SetStatusCode(r.Status)
		ctx.SetBody(r.Body)
		t.count(len(body), len(r.Body))
	}}
	s.Serve(ln) // returns when the listener is closed
}

// listen opens a listener on a free loopback port.
func listen() (net.Listener, error) { return net.Listen("tcp4", "127.0.0.1:0") }

// answerStateRequest answers a request to the state service. A watch stays open until there is an event for it or it
// times out.
func answerStateRequest(s *fake.StateService, method, path string, body []byte) store.Response {
	wait := watchTimeout(path)
	if wait == 0 {
		return s.Do(method, path, body, 0)
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	changed := s.Changed()
	r := s.Do(method, path, body, 0)
	for r.Status == 200 && hasNoEvents(r.Body) {
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

// watchTimeout returns for how long a watch may stay open, or 0 if the request is not a watch.
func watchTimeout(path string) time.Duration {
	u, err := url.Parse(path)
	if err != nil || u.Path != "/changes" {
		return 0
	}
	ms, _ := strconv.Atoi(u.Query().Get("waitMs"))
	return time.Duration(ms) * time.Millisecond
}

// hasNoEvents reports whether the answer to a watch has no events.
func hasNoEvents(body []byte) bool {
	var e wire.Events
	return wire.Unmarshal(body, &e) == nil && len(e.Events) == 0
}
