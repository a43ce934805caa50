package autoscaler

import (
	"fmt"
	"iter"
	"math"
	"slices"
	"sort"
	"strings"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/fleet"
	"cleatpick/internal/job"
	"cleatpick/internal/peer"
	"cleatpick/internal/predicate"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// requests collects the unplaced requests of all owners whose demand arrived recently, highest priority first.
func (a *Autoscaler) requests() []peer.Request {
	var all []peer.Request
	now := a.runner.Now()
	for from, y := range eventloop.Sorted(a.demands) {
		if now-a.demandAt[from] < 4*eventloop.Second {
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
func needOf(w *peer.Request) *predicate.Need {
	n := &predicate.Need{Spec: specOf(w), Tasks: w.Tasks}
	if w.OneZone || w.Spread {
		n.Zones = map[string]int{}
		for _, x := range w.ByZone {
			n.Zones[x.Zone] += x.Tasks
		}
	}
	return n
}

// capacityOf returns the capacity of an empty machine of the type.
func capacityOf(x wire.MachineType) workers.Capacity {
	return workers.Capacity{CPUs: x.CPUs, GPUs: x.GPUs, MemoryGB: x.MemoryGB}
}

// allOffers lists every offer of the catalog: each type in each of its zones, as spot and as ordinary machines.
func (a *Autoscaler) allOffers() iter.Seq[offer] {
	return func(yield func(offer) bool) {
		for _, x := range a.types {
			for _, z := range x.Zones {
				if !yield(offer{x.Name, z, true}) || !yield(offer{x.Name, z, false}) {
					return
				}
			}
		}
	}
}

// fitsOffer reports whether a machine of the offer is allowed and large enough for a task with this spec.
func (a *Autoscaler) fitsOffer(o offer, s *job.Spec) bool {
	x, ok := a.byName[o.typ]
	free := capacityOf(x)
	return ok && free.Fits(s) && s.AllowsPlace(o.typ, o.zone, o.spot)
}

// expectedMachines lists the machines that will have capacity soon, which count for unplaced requests already.
func (a *Autoscaler) expectedMachines() []*expectedMachine {
	var out []*expectedMachine
	add := func(typ, zone string, spot bool) {
		if x, ok := a.byName[typ]; ok && !a.cordoned(offer{typ, zone, spot}) {
			out = append(out, &expectedMachine{offer{typ, zone, spot}, capacityOf(x)})
		}
	}
	now := a.runner.Now()
	for _, m := range a.sorted() {
		x := a.byName[m.typ]
		// A machine whose boot takes far longer than usual is not counted on.
		if m.state == Booting && now-m.since < 2*eventloop.Seconds(x.BootS)+5*eventloop.Second {
			add(m.typ, m.zone, m.spot)
		}
	}
	// The free capacity of many silent machines comes back with them, or they have failed and their tasks are
	// unplaced: renting for it before that is known would rent the capacity twice.
	a.failures.EachSuspected(now, func(name string) {
		m, v := a.machines[name], a.workers.View(name)
		if m == nil || v == nil || m.state != Up {
			return
		}
		if free, ok := a.workers.FreeCapacity(v, a.byName[m.typ]); ok {
			out = append(out, &expectedMachine{offer{m.typ, m.zone, m.spot}, free})
		}
	})
	for _, o := range eventloop.Sorted(a.orders) {
		if !o.record.Answered && !o.refused {
			for range o.record.Count {
				add(o.record.Type, o.record.Zone, o.record.Spot)
			}
		}
	}
	return out
}

// cordoned reports whether a machine of the offer would accept no starts.
func (a *Autoscaler) cordoned(o offer) bool {
	return a.deps.Cordoned != nil && a.deps.Cordoned(o.typ, o.zone, o.spot)
}

// planInterval is the time until the next plan after one that found all requests served by expected machines.
// Owners send their demand every 400 ms.
const planInterval = 150 * eventloop.Millisecond

// recordOrders turns requests that no expected machine will serve into recorded orders.
func (a *Autoscaler) recordOrders() {
	if !a.listed || len(a.types) == 0 {
		return
	}
	now := a.runner.Now()
	for _, o := range a.orders {
		if !o.record.Answered && !o.refused {
			// One at a time: an order that is recorded early waits for its call while demand and refusals
			// change.
			return
		}
	}
	if !a.mayCall(now) || now < a.planAt {
		return
	}
	need := a.plan(now)
	var keys []offer
	for o := range need {
		keys = append(keys, o)
	}
	sort.Slice(keys, func(i, j int) bool { return fmt.Sprint(keys[i]) < fmt.Sprint(keys[j]) })
	if len(keys) > 0 {
		most := slices.MaxFunc(keys, func(x, y offer) int { return need[x] - need[y] })
		a.newOrder(most, min(need[most], 50))
	} else {
		a.planAt = now + planInterval
	}
}

// plan returns how many machines of each offer are missing in addition to the expected ones.
func (a *Autoscaler) plan(now eventloop.Micros) map[offer]int {
	expected := expectedCapacity{machines: a.expectedMachines(), exhausted: map[fleet.Shape]int{}}
	need := map[offer]int{}
	for _, w := range a.requests() {
		n := needOf(&w)
		left := expected.place(n, w.Count)
		for left > 0 {
			o, per, ok := a.cheapestOffer(n, left, now, need)
			if !ok {
				break
			}
			need[o]++
			c := &expectedMachine{o, capacityOf(a.byName[o.typ])}
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
func (a *Autoscaler) cheapestOffer(n *predicate.Need, left int, now eventloop.Micros, need map[offer]int) (offer, int, bool) {
	s := n.Spec
	var best offer
	bestCost, bestPer := math.Inf(1), 0
	for _, x := range a.types {
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
				if rest := a.offers[o]; (rest != nil && now < rest.until) || a.cordoned(o) {
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
func (a *Autoscaler) newOrder(of offer, count int) {
	a.seq++
	name := fmt.Sprintf("r-%d-%d", a.claim.Epoch, a.seq)
	o := &order{name: name, record: Order{Type: of.typ, Zone: of.zone, Spot: of.spot, Count: count, At: a.runner.Wall()}}
	a.orders[name] = o
	a.storeOrder(o, func(stored bool) {
		if !stored {
			delete(a.orders, name) // its name is not reused
			return
		}
		o.recorded = true
		if a.mayCall(a.runner.Now()) {
			a.send(o)
		}
	})
}

// nextOrder returns the recorded order to send next, or nil if there is none. It drops orders that were answered
// more than a minute ago.
func (a *Autoscaler) nextOrder() *order {
	now := a.runner.Now()
	var first *order
	for _, o := range eventloop.Sorted(a.orders) {
		if o.finished != 0 && now-o.finished > 60*eventloop.Second {
			a.dropOrder(o)
			continue
		}
		if o.recorded && !o.record.Answered && !o.busy && !o.refused && now >= o.nextTry && (first == nil || o.name < first.name) {
			first = o
		}
	}
	return first
}

// send asks the cloud for an order's machines and handles the answer.
func (a *Autoscaler) send(o *order) {
	o.busy = true
	o.tries++
	of := offer{o.record.Type, o.record.Zone, o.record.Spot}
	a.call("POST", "/machines", wire.RentRequest{Request: o.name, Type: of.typ, Zone: of.zone, Spot: of.spot, Count: o.record.Count}, 5*eventloop.Second, func(resp store.Response) {
		o.busy = false
		if !a.leads || a.orders[o.name] != o {
			return
		}
		var got wire.MachineNames
		switch {
		case resp.Err == nil && resp.Status == 200 && wire.Unmarshal(resp.Body, &got) == nil:
			a.log.Info("machines rented", "order", o.name, "type", of.typ, "zone", of.zone, "spot", of.spot, "asked", o.record.Count, "got", len(got.Machines))
			o.record.Answered, o.record.Machines, o.finished = true, got.Machines, a.runner.Now()
			for _, name := range got.Machines {
				if m := a.adopt(name, of.typ, of.zone, of.spot); m != nil && m.state == Booting {
					m.rented = true
				}
			}
			if len(got.Machines) < o.record.Count {
				a.backOffOffer(of)
			} else {
				delete(a.offers, of)
			}
			a.storeOrder(o, func(bool) {})
		case resp.Err == nil && resp.Status == 503 && strings.Contains(string(resp.Body), "capacity"):
			a.log.Info("cloud has no capacity for the order; the offer is left out for a while", "order", o.name, "type", of.typ, "zone", of.zone, "spot", of.spot)
			a.backOffOffer(of)
			o.refused = true
			a.dropOrder(o)
		case resp.Err == nil && resp.Status == 400:
			a.log.Error("cloud rejected the order as malformed; the order is dropped", "order", o.name)
			a.backOffOffer(of)
			o.refused = true
			a.dropOrder(o)
		default:
			// No answer: machines may have been rented, or may be later. Repeating the same name is safe.
			o.nextTry = a.runner.Now() + eventloop.Second
		}
	})
}

// backOffOffer leaves an offer out of the choice for a while, longer with each refusal.
func (a *Autoscaler) backOffOffer(of offer) {
	b := a.offers[of]
	if b == nil {
		b = &backoff{wait: 5 * eventloop.Second}
		a.offers[of] = b
	} else {
		b.wait = min(b.wait*2, 40*eventloop.Second)
	}
	b.until = a.runner.Now() + b.wait
}
