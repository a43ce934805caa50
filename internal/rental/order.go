package rental

import (
	"fmt"
	"iter"
	"math"
	"slices"
	"sort"
	"strings"

	"cleatpick/internal/agent"
	"cleatpick/internal/fleet"
	"cleatpick/internal/gate"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/member"
	"cleatpick/internal/peer"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// requests collects the unplaced requests of all owners whose demand arrived recently, highest priority first.
func (t *Autoscaler) requests() []peer.Request {
	var all []peer.Request
	now := t.runner.Now()
	for from, y := range loop.Sorted(t.demands) {
		if now-t.demandAt[from] < 4*loop.Second {
			all = append(all, y.Requests...)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Priority > all[j].Priority })
	return all
}

// specOf returns the part of a job's spec that a request carries.
func specOf(w *peer.Request) *job.Spec {
	return &job.Spec{CPUs: w.CPUs, GPUs: w.GPUs, MemoryGB: w.MemoryGB, Types: w.Types, AnyType: w.AnyType, Zone: w.Zone, Spot: w.Spot,
		OneZone: w.OneZone, Spread: w.Spread}
}

// needOf returns what placement will ask of machines for a request. It includes the zones of the job's other
// tasks: without them, machines for a job that is bound to one zone were rented in another, again and again.
func needOf(w *peer.Request) *gate.Need {
	n := &gate.Need{Spec: specOf(w), Tasks: w.Tasks}
	if w.OneZone || w.Spread {
		n.Zones = map[string]int{}
		for _, x := range w.ByZone {
			n.Zones[x.Zone] += x.Tasks
		}
	}
	return n
}

// capacityOf returns the capacity of an empty machine of the type.
func capacityOf(x wire.MachineType) agent.Capacity {
	return agent.Capacity{CPUs: x.CPUs, GPUs: x.GPUs, MemoryGB: x.MemoryGB}
}

// allOffers lists every offer of the catalog: each type in each of its zones, as spot and as standard.
func (t *Autoscaler) allOffers() iter.Seq[offer] {
	return func(yield func(offer) bool) {
		for _, x := range t.types {
			for _, z := range x.Zones {
				if !yield(offer{x.Name, z, true}) || !yield(offer{x.Name, z, false}) {
					return
				}
			}
		}
	}
}

// fitsOffer reports whether a machine of the offer is allowed and large enough for a task with this spec.
func (t *Autoscaler) fitsOffer(o offer, s *job.Spec) bool {
	x, ok := t.byName[o.typ]
	free := capacityOf(x)
	return ok && free.Fits(s) && s.AllowsPlace(o.typ, o.zone, o.spot)
}

// expectedMachines lists the machines that will have capacity soon, which count for unplaced requests already.
func (t *Autoscaler) expectedMachines() []*expectedMachine {
	var out []*expectedMachine
	add := func(typ, zone string, spot bool) {
		if x, ok := t.byName[typ]; ok && !t.cordoned(offer{typ, zone, spot}) {
			out = append(out, &expectedMachine{offer{typ, zone, spot}, capacityOf(x)})
		}
	}
	now := t.runner.Now()
	for _, m := range t.sorted() {
		x := t.byName[m.typ]
		// A machine whose boot takes far longer than usual is not counted on.
		if m.state == Booting && now-m.since < 2*loop.Seconds(x.BootS)+5*loop.Second {
			add(m.typ, m.zone, m.spot)
		}
	}
	// The free capacity of many silent machines comes back with them, or they have failed and their tasks are
	// unplaced: renting for it before that is known would rent the capacity twice.
	t.failures.EachSuspected(now, func(name string) {
		m, v := t.machines[name], t.workers.View(name)
		if m == nil || v == nil || m.state != Up {
			return
		}
		if free, ok := t.workers.FreeCapacity(v, t.byName[m.typ]); ok {
			out = append(out, &expectedMachine{offer{m.typ, m.zone, m.spot}, free})
		}
	})
	for _, o := range loop.Sorted(t.orders) {
		if !o.record.Answered && !o.refused {
			for range o.record.Count {
				add(o.record.Type, o.record.Zone, o.record.Spot)
			}
		}
	}
	return out
}

// cordoned reports whether a machine of the offer would accept no starts.
func (t *Autoscaler) cordoned(o offer) bool {
	return t.deps.Cordoned != nil && t.deps.Cordoned(o.typ, o.zone, o.spot)
}

// planInterval is the time until the next plan after one that found all requests served by expected machines.
// Owners send their demand every 400 ms.
const planInterval = 150 * loop.Millisecond

// recordOrders turns requests that no expected machine will serve into recorded orders.
func (t *Autoscaler) recordOrders() {
	if !t.listed || len(t.types) == 0 {
		return
	}
	now := t.runner.Now()
	for _, o := range t.orders {
		if !o.record.Answered && !o.refused {
			// One at a time: an order that is recorded early waits for its call while demand and refusals
			// change.
			return
		}
	}
	if !t.mayCall(now) || now < t.planAt {
		return
	}
	need := t.plan(now)
	var keys []offer
	for o := range need {
		keys = append(keys, o)
	}
	sort.Slice(keys, func(i, j int) bool { return fmt.Sprint(keys[i]) < fmt.Sprint(keys[j]) })
	if len(keys) > 0 {
		most := slices.MaxFunc(keys, func(a, b offer) int { return need[a] - need[b] })
		t.newOrder(most, min(need[most], 50))
	} else {
		t.planAt = now + planInterval
	}
}

// plan returns how many machines of each offer are missing in addition to the expected ones.
func (t *Autoscaler) plan(now loop.Micros) map[offer]int {
	expected := expectedCapacity{machines: t.expectedMachines(), exhausted: map[fleet.Shape]int{}}
	need := map[offer]int{}
	for _, w := range t.requests() {
		n := needOf(&w)
		left := expected.place(n, w.Count)
		for left > 0 {
			o, per, ok := t.cheapestOffer(n, left, now, need)
			if !ok {
				break
			}
			need[o]++
			c := &expectedMachine{o, capacityOf(t.byName[o.typ])}
			got := c.place(n, left)
			if got == 0 || per == 0 {
				break
			}
			left -= got
			expected.machines = append(expected.machines, c)
		}
	}
	return need
}

// cheapestOffer chooses the offer to rent for tasks of this shape: the lowest current price for each task served,
// leaving out offers that were refused recently, that are cordoned, or that the job's rules forbid.
func (t *Autoscaler) cheapestOffer(n *gate.Need, left int, now loop.Micros, need map[offer]int) (offer, int, bool) {
	s := n.Spec
	var best offer
	bestCost, bestPer := math.Inf(1), 0
	for _, x := range t.types {
		per := 1 << 30
		if s.CPUs > 0 {
			per = min(per, int(x.CPUs/s.CPUs+1e-9))
		}
		if s.GPUs > 0 {
			per = min(per, int(x.GPUs/s.GPUs+1e-9))
		}
		if s.MemoryGB > 0 {
			per = min(per, int(x.MemoryGB/s.MemoryGB+1e-9))
		}
		if per < 1 || !s.AllowsType(x.Name) {
			continue
		}
		for _, z := range x.Zones {
			most := n.MaxInZone(z, left)
			if most == 0 {
				continue
			}
			for _, spot := range []bool{true, false} {
				o := offer{x.Name, z, spot}
				if !s.AllowsPlace(x.Name, z, spot) {
					continue
				}
				if rest := t.offers[o]; (rest != nil && now < rest.until) || t.cordoned(o) {
					continue
				}
				price := x.Price
				if spot {
					price = x.SpotPrice
				}
				// A faster boot is worth a higher price; the last term spreads equal offers over the zones.
				cost := price/float64(min(per, most))*(1+x.BootS/600) + 1e-6*float64(need[o])
				if cost < bestCost {
					best, bestCost, bestPer = o, cost, per
				}
			}
		}
	}
	return best, bestPer, bestPer > 0
}

// newOrder records an order under a name that is never reused. The cloud is asked only after that.
func (t *Autoscaler) newOrder(of offer, count int) {
	t.seq++
	name := fmt.Sprintf("r-%d-%d", t.claim.Epoch, t.seq)
	o := &order{name: name, record: Order{Type: of.typ, Zone: of.zone, Spot: of.spot, Count: count, At: t.runner.Wall()}}
	t.orders[name] = o
	t.storeOrder(o, []wire.Cond{member.LeaderCond(t.claim), {Key: OrderKeys + name, Revision: 0}}, func(ok bool) {
		if ok {
			o.recorded = true
			if t.leads && t.orders[name] == o && t.mayCall(t.runner.Now()) {
				t.send(o)
			}
			return
		}
		delete(t.orders, name) // its name is not reused; if the record is stored late after all, a new leader sends the order once
	})
}

// storeOrder writes an order's record under the given conditions, and passes on whether it was applied.
func (t *Autoscaler) storeOrder(o *order, cond []wire.Cond, done func(ok bool)) {
	t.client.Txn(store.Placements, wire.Txn{If: cond, Then: []wire.Change{{Put: OrderKeys + o.name, Value: o.record}}}, func(r store.Result) {
		if r.Outcome == store.Applied {
			o.revision = r.Revision
		}
		done(r.Outcome == store.Applied)
	})
}

// nextOrder returns the recorded order to send next, or nil if there is none. It drops orders that were answered
// more than a minute ago.
func (t *Autoscaler) nextOrder() *order {
	now := t.runner.Now()
	var first *order
	for _, o := range loop.Sorted(t.orders) {
		if o.finished != 0 && now-o.finished > 60*loop.Second {
			t.dropOrder(o)
			continue
		}
		if o.recorded && !o.record.Answered && !o.busy && !o.refused && now >= o.nextTry && (first == nil || o.name < first.name) {
			first = o
		}
	}
	return first
}

// send asks the cloud for an order's machines and handles the answer.
func (t *Autoscaler) send(o *order) {
	o.busy = true
	o.tries++
	of := offer{o.record.Type, o.record.Zone, o.record.Spot}
	t.call("POST", "/machines", wire.RentRequest{Request: o.name, Type: of.typ, Zone: of.zone, Spot: of.spot, Count: o.record.Count}, 5*loop.Second, func(resp store.Response) {
		o.busy = false
		if !t.leads || t.orders[o.name] != o {
			return
		}
		var got wire.MachineNames
		switch {
		case resp.Err == nil && resp.Status == 200 && wire.Unmarshal(resp.Body, &got) == nil:
			t.log.Info("machines rented", "order", o.name, "type", of.typ, "zone", of.zone, "spot", of.spot, "asked", o.record.Count, "got", len(got.Machines))
			o.record.Answered, o.record.Machines, o.finished = true, got.Machines, t.runner.Now()
			for _, name := range got.Machines {
				if m := t.adopt(name, of.typ, of.zone, of.spot); m != nil && m.state == Booting {
					m.rented = true
				}
			}
			if len(got.Machines) < o.record.Count {
				t.backOffOffer(of)
			} else {
				delete(t.offers, of)
			}
			t.storeOrder(o, []wire.Cond{{Key: OrderKeys + o.name, Revision: o.revision}}, func(bool) {})
		case resp.Err == nil && resp.Status == 503 && strings.Contains(string(resp.Body), "capacity"):
			t.log.Info("cloud has no capacity for the order; the offer is left out for a while", "order", o.name, "type", of.typ, "zone", of.zone, "spot", of.spot)
			t.backOffOffer(of)
			o.refused = true
			t.dropOrder(o)
		case resp.Err == nil && resp.Status == 400:
			t.log.Error("cloud rejected the order as malformed; the order is dropped", "order", o.name)
			t.backOffOffer(of)
			o.refused = true
			t.dropOrder(o)
		default:
			// No answer: machines may have been rented, or may be later. Repeating the same name is safe.
			o.nextTry = t.runner.Now() + loop.Second
		}
	})
}

// backOffOffer leaves an offer out of the choice for a while, longer with each refusal.
func (t *Autoscaler) backOffOffer(of offer) {
	b := t.offers[of]
	if b == nil {
		b = &backoff{wait: 5 * loop.Second}
		t.offers[of] = b
	} else {
		b.wait = min(b.wait*2, 40*loop.Second)
	}
	b.until = t.runner.Now() + b.wait
}

// dropOrder forgets an order and deletes its record.
func (t *Autoscaler) dropOrder(o *order) {
	delete(t.orders, o.name)
	t.client.Txn(store.Background, wire.Txn{If: []wire.Cond{member.LeaderCond(t.claim)}, Then: []wire.Change{{Delete: OrderKeys + o.name}}}, func(r store.Result) {
		if r.Outcome == store.Applied {
			t.mirror.Apply(OrderKeys+o.name, nil, r.Revision, true)
		}
	})
}
