package node

import (
	"net"
	"sync/atomic"
	"time"

	"cleatpick/internal/eventloop"

	"github.com/valyala/fasthttp"
)

// sockets keeps a controller's connections within its socket limit. If several controllers are down, the remaining
// one may have two connections to every machine: the worker's for its reports and its own for direct commands, both
// mostly idle. Beyond the limit users are refused, so idle connections are closed before it is reached.
type sockets struct {
	limit    int
	outgoing atomic.Int64 // connections that this controller opened to workers
	incoming func() int   // number of connections that others opened
}

// Shares of the limit above which idle connections are closed.
const (
	closeOutgoingAbove = 0.55 // those that this controller opened to workers
	closeReportsAbove  = 0.65 // those of workers, after their report is answered
)

// countedConn is a connection that counts itself while it is open.
type countedConn struct {
	net.Conn
	count *atomic.Int64
	once  atomic.Bool
}

func (c *countedConn) Close() error {
	if c.once.CompareAndSwap(false, true) {
		c.count.Add(-1)
	}
	return c.Conn.Close()
}

func (s *sockets) dial(addr string) (net.Conn, error) {
	c, err := fasthttp.DialTimeout(addr, time.Second)
	if err != nil {
		return nil, err
	}
	s.outgoing.Add(1)
	return &countedConn{Conn: c, count: &s.outgoing}, nil
}

// above reports whether more than a share of the limit is open.
func (s *sockets) above(part float64) bool {
	if s.limit <= 0 || s.incoming == nil {
		return false
	}
	return float64(s.incoming())+float64(s.outgoing.Load()) > part*float64(s.limit)
}

// watch closes idle connections to workers while more than closeOutgoingAbove of the limit is open.
func (s *sockets) watch(r eventloop.Runner, closeIdle func()) {
	eventloop.Every(r, 500*eventloop.Millisecond, func() {
		if s.above(closeOutgoingAbove) {
			r.Go(closeIdle)
		}
	})
}
