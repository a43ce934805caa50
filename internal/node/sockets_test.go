package node

import (
	"net"
	"sync/atomic"
	"testing"

	"cleatpick/internal/loop"
	"cleatpick/internal/standin"
)

// With 3,024 machines and one controller left, idle connections used up all 3,129 sockets, and users were refused. Idle
// connections must be closed before that.
func TestIdleConnectionsAreClosed(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	served := 40
	s := &sockets{limit: 100, incoming: func() int { return served }}
	var open []net.Conn
	for range 14 {
		c, err := s.dial(ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
	}
	if s.above(closeOutgoingAbove) {
		t.Fatal("54 of 100 sockets count as above the share for outgoing connections")
	}
	served = 42
	if !s.above(closeOutgoingAbove) || s.above(closeReportsAbove) {
		t.Fatal("56 of 100 sockets: outgoing connections must be closed, those of workers not yet")
	}
	clock := standin.NewRunner(0)
	var closed atomic.Int32
	s.watch(clock, func() {
		closed.Add(1)
		for _, c := range open {
			c.Close()
			c.Close() // twice, as a connection pool may
		}
	})
	clock.Advance(3 * loop.Second)
	if closed.Load() != 1 || s.outgoing.Load() != 0 {
		t.Fatalf("idle connections were closed %d times, %d count as open, want 1 and 0", closed.Load(), s.outgoing.Load())
	}
	served = 66
	if !s.above(closeReportsAbove) {
		t.Fatal("66 of 100 sockets opened by others: those of workers must be closed")
	}
	if (&sockets{incoming: s.incoming}).above(closeOutgoingAbove) {
		t.Fatal("without a limit no share may count as exceeded")
	}
}
