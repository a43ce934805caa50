package node

import (
	"net"
	"sync/atomic"
	"time"

	"cleatpick/internal/loop"

	"github.com/valyala/fasthttp"
)

// sockets keeps a node's connections within what it may have. With several nodes down, one
// may have every machine's connection twice: the worker's for its reports and ours for
// direct commands, both idle for most of the time. Past the limit, users are refused, so
// what is idle goes first.
type sockets struct {
	most   int
	out    atomic.Int64 // ours to workers
	served func() int   // connections that others opened
}

// Parts of the limit above which idle connections are given up.
const (
	closeOut  = 0.55 // ours to workers
	closeBeat = 0.65 // workers', once a report is answered
)

// counted is a connection that is counted while it is open.
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

// above tells whether more than a part of the limit is open.
func (s *sockets) above(part float64) bool {
	if s.most <= 0 || s.served == nil {
		return false
	}
	return float64(s.served())+float64(s.out.Load()) > part*float64(s.most)
}

// watch closes what is idle of ours while too much is open.
func (s *sockets) watch(r loop.Runner, closeIdle func()) {
	loop.Every(r, 500*loop.Millisecond, func() {
		if s.above(closeOut) {
			r.Go(closeIdle)
		}
	})
}
