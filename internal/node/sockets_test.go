package node

import (
	"net"
	"sync/atomic"
	"testing"

	"cleatpick/internal/loop"
	"cleatpick/internal/standin"
)

// With 3,024 machines and one node left, 3,129 sockets were full of idle connections and
// users were refused: what is idle is given up before that.
func TestIdleConnectionsAreGivenUp(t *testing.T) {
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
		t.Fatal("54 of 100 sockets count as too many")
	}
	served = 42
	if !s.above(closeOutgoingAbove) || s.above(closeReportsAbove) {
		t.Fatal("56 of 100 sockets: ours must go, workers' must not yet")
	}
	clock := standin.NewStepped(0)
	var closed atomic.Int32
	s.watch(clock, func() {
		closed.Add(1)
		for _, c := range open {
			c.Close()
			c.Close() // twice, as a pool may
		}
	})
	clock.Run(3 * loop.Second)
	if closed.Load() != 1 || s.outgoing.Load() != 0 {
		t.Fatalf("closed %d times, %d are counted as open", closed.Load(), s.outgoing.Load())
	}
	served = 66
	if !s.above(closeReportsAbove) {
		t.Fatal("66 of 100 sockets of others: workers' must go")
	}
	if (&sockets{incoming: s.incoming}).above(closeOutgoingAbove) {
		t.Fatal("without a limit nothing is too much")
	}
}
