package node

import (
	"errors"
	"net"
	"syscall"
	"time"

	"cleatpick/internal/failuredetector"
	"cleatpick/internal/store"

	"github.com/valyala/fasthttp"
)

// Timeouts of a probe: first for the connection, then for the answer.
const (
	probeConnect = time.Second
	probeAnswer  = time.Second
)

// probe asks a machine whether it is alive, over a new connection: with an existing one, a machine without power
// cannot be distinguished from one that hangs.
func probe(addr string) failuredetector.ProbeResult {
	conn, err := fasthttp.DialTimeout(addr, probeConnect)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return failuredetector.NoAnswer
	case err != nil:
		return failuredetector.NoConnection
	}
	defer conn.Close()
	c := &fasthttp.HostClient{Addr: addr, MaxConns: 1, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		MaxResponseBodySize: 256 << 10, Dial: func(string) (net.Conn, error) { return conn, nil }}
	defer c.CloseIdleConnections()
	if r := store.Exchange(c, addr, "GET", "/inspect", nil, probeAnswer); r.Err == nil && r.Status == 200 {
		return failuredetector.Answered
	}
	return failuredetector.NoAnswer
}
