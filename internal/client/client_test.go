package client

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// startEndpoint starts a server that answers each request with the next of the answers, and repeats the last one. It
// returns the server's address.
func startEndpoint(t *testing.T, answers ...func(*fasthttp.RequestCtx)) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	go fasthttp.Serve(ln, func(ctx *fasthttp.RequestCtx) {
		answers[min(n, len(answers)-1)](ctx)
		n++
	})
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

// refusingAddress returns an address that refuses connections while the test runs: its port is bound, but nothing
// listens on it. A port that a listener has closed would not do, since another endpoint of the same test could then get
// the same port and receive a request too many.
func refusingAddress(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint("127.0.0.1:", at.(*syscall.SockaddrInet4).Port)
}

func unavailable(after string) func(*fasthttp.RequestCtx) {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set("Retry-After", after)
		ctx.SetStatusCode(503)
		ctx.SetBodyString(`{"type":"urn:x","title":"busy","status":503}`)
	}
}

func echoAuthorization(ctx *fasthttp.RequestCtx) {
	fmt.Fprintf(ctx, `{"auth":%q}`, ctx.Request.Header.Peek("Authorization"))
}

// Endpoints are tried in turn. When none of them can answer, the client waits for the longest Retry-After before it
// retries. Other error responses are final.
func TestEndpointFailover(t *testing.T) {
	notFound := func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(404)
		ctx.SetBodyString(`{"type":"urn:x","title":"no such job","status":404,"detail":"job-9","field":"/id"}`)
	}
	for _, c := range []struct {
		what      string
		endpoints []string
		waits     string
		fails     string
	}{
		{"the first endpoint is unreachable", []string{refusingAddress(t), startEndpoint(t, echoAuthorization)}, "[]", ""},
		{"both endpoints are busy once", []string{startEndpoint(t, unavailable("2"), echoAuthorization), startEndpoint(t, unavailable("3"), echoAuthorization)}, "[3s]", ""},
		{"a 404 is final", []string{startEndpoint(t, notFound), startEndpoint(t, echoAuthorization)}, "[]", "no such job: job-9 (/id)"},
		{"the endpoint is always busy", []string{startEndpoint(t, unavailable("400"))}, "[]", "busy"},
		{"the endpoint does not serve /v1/", []string{startEndpoint(t, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(404); ctx.SetBodyString("\xa1") })}, "[]", "does not serve /v1/"},
	} {
		cl, err := New(strings.Join(c.endpoints, ","), "secret")
		if err != nil {
			t.Fatal(err)
		}
		var waits []time.Duration
		now := time.Unix(0, 0)
		cl.now = func() time.Time { return now }
		cl.sleep = func(d time.Duration) {
			waits = append(waits, d)
			now = now.Add(d)
		}
		var out struct{ Auth string }
		err = cl.Call("GET", "/v1/x", nil, &out)
		if c.fails == "" && (err != nil || out.Auth != "Bearer secret") {
			t.Errorf("%s: error %v, authorization %q", c.what, err, out.Auth)
		}
		if c.fails != "" && (err == nil || !strings.Contains(err.Error(), c.fails)) {
			t.Errorf("%s: error %v, want %q", c.what, err, c.fails)
		}
		if fmt.Sprint(waits) != c.waits {
			t.Errorf("%s: waited %v, want %s", c.what, waits, c.waits)
		}
	}
}

// A list without a valid endpoint and a missing key file are errors. White space around a key is not part of the key.
func TestInvalidArguments(t *testing.T) {
	for _, list := range []string{"", " , ", "nowhere", "10.0.0.1"} {
		if _, err := New(list, ""); err == nil {
			t.Errorf("%q is accepted as a list of endpoints", list)
		}
	}
	file := filepath.Join(t.TempDir(), "key")
	if _, err := ReadKey(file); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a missing key file gives error %v, want os.ErrNotExist", err)
	}
	if err := os.WriteFile(file, []byte(" abc\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if key, err := ReadKey(file); key != "abc" || err != nil {
		t.Errorf("the key is read as %q, error %v, want \"abc\"", key, err)
	}
}
