package autoscaler

import (
	"bytes"
	"errors"
	"slices"
	"testing"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/membership"
	"cleatpick/internal/peer"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// storedOrders returns the orders in the state service, by key.
func (g *rig) storedOrders(t *testing.T) map[string]Order {
	t.Helper()
	orders := map[string]Order{}
	for _, key := range g.state.Keys(OrderKeys) {
		raw, _ := g.state.Value(key)
		var o Order
		if err := wire.Unmarshal(raw, &o); err != nil {
			t.Fatalf("order %s: %v", key, err)
		}
		orders[key] = o
	}
	return orders
}

// sendDemand keeps up a demand for machines for a while.
func (g *rig) sendDemand(d eventloop.Micros) {
	for end := g.Now() + d; g.Now() < end; {
		g.scaler.UpdateDemand("b", peer.Demand{Wall: g.Now(), Requests: []peer.Request{{CPUs: 8, MemoryGB: 1, AnyType: true, Spot: true, Count: 1}}})
		g.Advance(400 * eventloop.Millisecond)
	}
}

// takeOver makes the controller the leader once more, under a new claim.
func (g *rig) takeOver() {
	revision := g.state.Put("c/l", map[string]any{"n": "a", "e": 2})
	g.Advance(eventloop.Second)
	g.scaler.SetLeader(false, membership.Owner{})
	g.scaler.SetLeader(true, membership.Owner{Node: "a", Epoch: 2, Revision: revision})
}

// Guards against machines that are rented for demand that is long over: the records of orders whose writes were
// refused, got no answer or were executed late were left behind, and the next leader sent the orders again.
func TestNoAnswerLeavesOrdersBehind(t *testing.T) {
	unanswered := &store.Response{Err: errors.New("no answer")}
	isOrder := func(path string, body []byte, what string) bool {
		return path == "/multi" && bytes.Contains(body, []byte(what)) && bytes.Contains(body, []byte(OrderKeys))
	}
	for _, c := range []struct {
		name     string
		machines int // that the cloud has in each zone
		answer   func(g *rig, attempt int, path string, body []byte) *store.Response
	}{
		{"an order is stored without an answer", 4, func(g *rig, attempt int, path string, body []byte) *store.Response {
			if attempt > 1 || !isOrder(path, body, "put") {
				return nil
			}
			g.state.Do("POST", path, body, 0)
			return unanswered
		}},
		{"an order is stored late", 4, func(g *rig, attempt int, path string, body []byte) *store.Response {
			if attempt > 1 || !isOrder(path, body, "put") {
				return nil
			}
			late := slices.Clone(body)
			g.After(2*eventloop.Second, func() { g.state.Do("POST", path, late, 0) })
			return unanswered
		}},
		{"the answer of the cloud is refused", 4, func(_ *rig, attempt int, path string, body []byte) *store.Response {
			if attempt < 2 || attempt > 4 || !isOrder(path, body, "put") {
				return nil
			}
			return &store.Response{Status: 503}
		}},
		{"the removal of an order without capacity is refused", 0, func(_ *rig, attempt int, path string, body []byte) *store.Response {
			if attempt < 2 || attempt > 4 || !isOrder(path, body, "remove") {
				return nil
			}
			return &store.Response{Status: 503}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newRig(t, c.machines)
			attempts := 0
			g.onState = func(_, path string, body []byte) *store.Response {
				if isOrder(path, body, "") {
					attempts++
				}
				return c.answer(g, attempts, path, body)
			}
			g.sendDemand(4 * eventloop.Second)
			if attempts < 2 {
				t.Fatalf("%d transactions on orders were sent; the test is not meaningful", attempts)
			}
			g.Advance(8 * eventloop.Second) // the demand is over
			for key, o := range g.storedOrders(t) {
				if !o.Answered {
					t.Errorf("the order %s is left behind as unanswered", key)
				}
			}
			rented := len(g.booted)
			g.cloud.Available["x"], g.cloud.Available["y"] = 4, 4
			g.takeOver()
			g.Advance(8 * eventloop.Second)
			if n := len(g.booted) - rented; n > 0 {
				t.Errorf("the next leader rents %d machines without demand", n)
			}
		})
	}
}
