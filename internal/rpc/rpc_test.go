package rpc

import (
	"fmt"
	"strings"
	"testing"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/fake"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
)

// testNetwork is three endpoints with a network between them in which the test delivers, loses and repeats messages.
type testNetwork struct {
	*fake.Runner
	endpoints map[string]*Endpoint
	messages  []message
}

// message is a message in flight to a controller.
type message struct {
	to       string
	envelope *peer.Envelope
}

func newTestNetwork() *testNetwork {
	net := &testNetwork{Runner: fake.NewRunner(1000 * eventloop.Second), endpoints: map[string]*Endpoint{}}
	for _, self := range []string{"a", "b", "c"} {
		net.endpoints[self] = New(net, self, 100, func(to string, f func(*peer.Envelope)) {
			e := &peer.Envelope{From: self}
			f(e)
			net.messages = append(net.messages, message{to, e})
		}, func(label string) bool { return net.endpoints[label] != nil })
	}
	net.endpoints["b"].Handle("double", func(body wire.Raw, reply func(any)) {
		var n int
		if wire.Unmarshal(body, &n) == nil {
			reply(2 * n)
		}
	})
	net.endpoints["b"].Handle("large", func(_ wire.Raw, reply func(any)) { reply(strings.Repeat("x", maxBody+1)) })
	return net
}

// deliver delivers all messages in flight, and those that are sent during the delivery, each the given number of times.
func (net *testNetwork) deliver(times int) {
	for len(net.messages) > 0 {
		next := net.messages[0]
		net.messages = net.messages[1:]
		for range times {
			net.endpoints[next.to].Receive(next.envelope)
		}
	}
}

func (net *testNetwork) call(to, topic string, n int, results *[]string) {
	net.endpoints["a"].Call(to, topic, n, eventloop.Second, func(body wire.Raw, ok bool) {
		var got int
		if ok && wire.Unmarshal(body, &got) != nil {
			got = -1
		}
		*results = append(*results, fmt.Sprint(got, ok))
	})
}

// Each request must complete exactly once, by its reply or by its timeout. A lost, late or repeated message, or a reply
// with the right id from another controller, must neither complete it a second time nor with a wrong result.
func TestRequestsCompleteOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(net *testNetwork, results *[]string)
		want string
	}{
		{"answered", func(net *testNetwork, results *[]string) { net.call("b", "double", 4, results); net.deliver(1) }, "[8 true]"},
		{"repeated", func(net *testNetwork, results *[]string) { net.call("b", "double", 4, results); net.deliver(3) }, "[8 true]"},
		{"lost", func(net *testNetwork, results *[]string) { net.call("b", "double", 4, results); net.messages = nil }, "[0 false]"},
		{"late reply", func(net *testNetwork, results *[]string) {
			net.call("b", "double", 4, results)
			net.Advance(2 * eventloop.Second)
			net.deliver(1)
		}, "[0 false]"},
		{"no handler for the topic", func(net *testNetwork, results *[]string) { net.call("c", "double", 4, results); net.deliver(1) }, "[0 false]"},
		{"unknown controller", func(net *testNetwork, results *[]string) { net.call("z", "double", 4, results) }, "[0 false]"},
		{"reply too large", func(net *testNetwork, results *[]string) { net.call("b", "large", 4, results); net.deliver(1) }, "[0 false]"},
		{"reply by another controller", func(net *testNetwork, results *[]string) {
			net.call("b", "double", 4, results)
			net.endpoints["a"].Receive(&peer.Envelope{From: "c", Replies: []peer.Reply{{ID: 101, OK: true, Body: wire.Marshal(7)}}})
			net.deliver(1)
		}, "[8 true]"},
		{"request to itself", func(net *testNetwork, results *[]string) {
			net.endpoints["a"].Handle("double", func(_ wire.Raw, reply func(any)) { reply(5) })
			net.call("a", "double", 4, results)
		}, "[5 true]"},
	} {
		net := newTestNetwork()
		var results []string
		c.run(net, &results)
		net.Advance(3 * eventloop.Second)
		if fmt.Sprint(results) != c.want || net.endpoints["a"].Pending() != 0 {
			t.Errorf("%s: results %v with %d requests pending, want %s with 0", c.name, results, net.endpoints["a"].Pending(), c.want)
		}
	}
	net := newTestNetwork()
	var results []string
	for range MaxPending + 5 {
		net.call("b", "double", 1, &results)
	}
	if len(results) != 5 || net.endpoints["a"].Pending() != MaxPending {
		t.Errorf("%d requests are pending and %d were refused, want %d and 5", net.endpoints["a"].Pending(), len(results), MaxPending)
	}
}
