package store

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Response is the result of one HTTP exchange. Status and Body are set only if Err is nil.
type Response struct {
	Status int
	Body   []byte
	Err    error
}

// Doer performs one HTTP exchange. Do blocks and is called off the event loop.
type Doer interface {
	Do(method, path string, body []byte, timeout time.Duration) Response
}

// httpDoer is a Doer for one address.
type httpDoer struct{ c *fasthttp.HostClient }

// NewDoer makes a Doer for one address with a limited number of connections.
func NewDoer(addr string, conns int) Doer {
	return httpDoer{&fasthttp.HostClient{
		Addr: addr, MaxConns: conns, MaxConnWaitTimeout: time.Second,
		Dial: func(a string) (c net.Conn, err error) {
			return fasthttp.DialTimeout(a, 700*time.Millisecond)
		},
		MaxIdleConnDuration:           30 * time.Second,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: true,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false // the callers decide whether to repeat a request
		},
		MaxResponseBodySize: 32 << 20,
	}}
}

func (h httpDoer) Do(method, path string, body []byte, timeout time.Duration) Response {
	return Exchange(h.c, h.c.Addr, method, path, body, timeout)
}

// Exchange performs one HTTP exchange with an address through a client.
func Exchange(c interface {
	DoTimeout(*fasthttp.Request, *fasthttp.Response, time.Duration) error
}, addr, method, path string, body []byte, timeout time.Duration) Response {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	if body != nil {
		req.Header.SetContentType("application/cbor")
		req.SetBodyRaw(body)
	}
	if err := c.DoTimeout(req, resp, timeout); err != nil {
		return Response{Err: err}
	}
	return Response{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
}
