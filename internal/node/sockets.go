package node

import (
	"net"
	"sync/atomic"
	"time"

	"cleatpick/internal/loop"

	"github.com/valyala/fasthttp"
)

// sockets keeps a controller's connections within its socket limit. If several controllers are down, the remaining
// one may have two connections to every machine: the worker's for its reports and its own for direct commands, both
// mostly idle. Beyond the limit users are refused, so idle connections are closed before it is reached.
type sockets struct {
	most   int
	out    atomic.Int64 // connections that this controller opened to workers
	served func() int   // number of connections that others opened
}

// Shares of the limit above which idle connections are closed.
const (
	closeOut  = 0.55 // those that this controller opened to workers
	closeBeat = 0.65 // those of workers, after their report is answered
)

// counted is a connection that counts itself while it is open.
type counted struct {
	net.Conn
	n    *atomic.Int64
	once atomic.Bool
}

func (c *counted) Close() error {
	if c.once.CompareAndSwap(false, true) {
		c.n.Add(-1)
	}
	return c.Conn.Close()
}

func (s *sockets) dial(addr string) (net.Conn, error) {
	c, err := fasthttp.DialTimeout(addr, time.Second)
	if err != nil {
		return nil, err
	}
	s.out.Add(1)
	return &counted{Conn: c, n: &s.out}, nil
}

// above reports whether more than a share of the limit is open.
func (s *sockets) above(part float64) bool {
	if s.most <= 0 || s.served == nil {
		return false
	}
	return float64(s.served())+float64(s.out.Load()) > part*float64(s.most)
}

// watch closes idle connections to workers while more than closeOut of the limit is open.
func (s *sockets) watch(r loop.Runner, closeIdle func()) {
	loop.Every(r, 500*loop.Millisecond, func() {
		if s.above(closeOut) {
			r.Go(closeIdle)
		}
	})
}
