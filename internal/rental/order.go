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

// wants gathers the missed requests of all owners that were heard lately.
func (t *Rental) wants() []peer.Want {
	var all []peer.Want
	now := t.r.Now()
	for from, y := range loop.Sorted(t.tallies) {
		if now-t.tallyAt[from] < 4*loop.Second {
			all = append(all, y.Wants...)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Priority > all[j].Priority })
	return all
}

func specOf(w *peer.Want) *job.Spec {
	return &job.Spec{CPUs: w.CPUs, GPUs: w.GPUs, MemoryGB: w.MemoryGB, Types: w.Types, AnyType: w.AnyType, Zone: w.Zone, Spot: w.Spot,
		OneZone: w.OneZone, Spread: w.Spread}
}

// needOf is what placement will ask of machines for a want. Rented anywhere, machines for a job that
// is bound to a zone came up in another, again and again.
func needOf(w *peer.Want) *gate.Need {
	n := &gate.Need{Spec: specOf(w), Tasks: w.Tasks}
	if w.OneZone || w.Spread {
		n.Zones = map[string]int{}
		for _, x := range w.In {
			n.Zones[x.Zone] += x.Tasks
		}
	}
	return n
}

// roomOf is what an empty machine of the type has free.
func roomOf(x wire.MachineType) agent.Capacity {
	return agent.Capacity{CPUs: x.CPUs, GPUs: x.GPUs, MemoryGB: x.MemoryGB}
}

// all lists every offer of the catalog.
func (t *Rental) all() iter.Seq[offer] {
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

// takes tells whether a machine of the offer may and can take a task of the kind.
func (t *Rental) takes(o offer, s *job.Spec) bool {
	x, ok := t.byName[o.typ]
	room := roomOf(x)
	return ok && room.Fits(s) && s.AllowsPlace(o.typ, o.zone, o.spot)
}

// expected lists the machines on their way, which serve requests already.
func (t *Rental) expected() []*comingMachine {
	var out []*comingMachine
	add := func(typ, zone string, spot bool) {
		if x, ok := t.byName[typ]; ok && !t.cordoned(offer{typ, zone, spot}) {
			out = append(out, &comingMachine{offer{typ, zone, spot}, roomOf(x)})
		}
	}
	now := t.r.Now()
	for _, m := range t.sorted() {
		x := t.byName[m.typ]
		// One that takes far longer than usual is not counted on any more.
		if m.state == Booting && now-m.since < 2*loop.Seconds(x.BootS)+5*loop.Second {
			add(m.typ, m.zone, m.spot)
		}
	}
	// What many silent machines have free comes back with them, or they are lost and what
	// ran there misses: to rent for it before that is known is to rent a second fleet.
	t.losses.Doubtful(now, func(name string) {
		m, v := t.machines[name], t.agent.View(name)
		if m == nil || v == nil || m.state != Up {
			return
		}
		if room, ok := t.agent.FreeCapacity(v, t.byName[m.typ]); ok {
			out = append(out, &comingMachine{offer{m.typ, m.zone, m.spot}, room})
		}
	})
	for _, o := range loop.Sorted(t.orders) {
		if !o.o.Answered && !o.refused {
			for range o.o.Count {
				add(o.o.Type, o.o.Zone, o.o.Spot)
			}
		}
	}
	return out
}

// cordoned tells whether what is rented there would take no starts.
func (t *Rental) cordoned(o offer) bool {
	return t.n.Cordoned != nil && t.n.Cordoned(o.typ, o.zone, o.spot)
}

// planEvery is how long after misses that all machines on their way will serve they are
// looked at again: owners tell theirs every 400 ms.
const planEvery = 150 * loop.Millisecond

// recordOrders turns misses that no machine on its way will serve into recorded orders.
func (t *Rental) recordOrders() {
	if !t.listed || len(t.types) == 0 {
		return
	}
	now := t.r.Now()
	for _, o := range t.orders {
		if !o.o.Answered && !o.refused {
			// One at a time: what is recorded early waits for its call while
			// misses and refusals move on.
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
		t.planAt = now + planEvery
	}
}

// plan tells how many machines of each offer are missing beside those on their way.
func (t *Rental) plan(now loop.Micros) map[offer]int {
	coming := supply{machines: t.expected(), used: map[fleet.Shape]int{}}
	need := map[offer]int{}
	for _, w := range t.wants() {
		n := needOf(&w)
		left := coming.serve(n, w.Count)
		for left > 0 {
			o, per, ok := t.cheapest(n, left, now, need)
			if !ok {
				break
			}
			need[o]++
			c := &comingMachine{o, roomOf(t.byName[o.typ])}
			got := c.serve(n, left)
			if got == 0 || per == 0 {
				break
			}
			left -= got
			coming.machines = append(coming.machines, c)
		}
	}
	return need
}

// cheapest chooses what to rent for tasks of this shape: the lowest price for each
// task served, at the current prices, leaving out what was refused lately, and where none may go.
func (t *Rental) cheapest(n *gate.Need, left int, now loop.Micros, need map[offer]int) (offer, int, bool) {
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
			most := n.Most(z, left)
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
				// What boots sooner serves sooner; spread over zones evenly.
				cost := price/float64(min(per, most))*(1+x.BootS/600) + 1e-6*float64(need[o])
				if cost < bestCost {
					best, bestCost, bestPer = o, cost, per
				}
			}
		}
	}
	return best, bestPer, bestPer > 0
}

// newOrder records an order under a name that is never used again; only then is
// the cloud asked.
func (t *Rental) newOrder(of offer, count int) {
	t.seq++
	name := fmt.Sprintf("r-%d-%d", t.claim.Epoch, t.seq)
	o := &order{name: name, o: Order{Type: of.typ, Zone: of.zone, Spot: of.spot, Count: count, At: t.r.Wall()}}
	t.orders[name] = o
	t.storeOrder(o, []wire.Cond{member.LeaderCond(t.claim), {Key: OrderKeys + name, Mark: 0}}, func(ok bool) {
		if ok {
			o.placed = true
			if t.leads && t.orders[name] == o && t.mayCall(t.r.Now()) {
				t.send(o)
			}
			return
		}
		delete(t.orders, name) // its name is not used again; should it be stored late, a new leader asks for it once
	})
}

func (t *Rental) storeOrder(o *order, cond []wire.Cond, cb func(ok bool)) {
	t.c.Txn(store.Placements, wire.Txn{If: cond, Then: []wire.Change{{Put: OrderKeys + o.name, Value: o.o}}}, func(r store.Result) {
		if r.Outcome == store.Applied {
			o.mark = r.Revision
		}
		cb(r.Outcome == store.Applied)
	})
}

// ready is the recorded order that the cloud is to be asked for next; nil: none is. What
// was answered long ago is dropped.
func (t *Rental) ready() *order {
	now := t.r.Now()
	var first *order
	for _, o := range loop.Sorted(t.orders) {
		if o.finished != 0 && now-o.finished > 60*loop.Second {
			t.dropOrder(o)
			continue
		}
		if o.placed && !o.o.Answered && !o.busy && !o.refused && now >= o.nextTry && (first == nil || o.name < first.name) {
			first = o
		}
	}
	return first
}

func (t *Rental) send(o *order) {
	o.busy = true
	o.tries++
	of := offer{o.o.Type, o.o.Zone, o.o.Spot}
	t.call("POST", "/machines", wire.Rent{Request: o.name, Type: of.typ, Zone: of.zone, Spot: of.spot, Count: o.o.Count}, 5*loop.Second, func(resp store.Response) {
		o.busy = false
		if !t.leads || t.orders[o.name] != o {
			return
		}
		var got wire.Names
		switch {
		case resp.Err == nil && resp.Status == 200 && wire.Unmarshal(resp.Body, &got) == nil:
			t.log.Info("rented", "order", o.name, "type", of.typ, "zone", of.zone, "spot", of.spot, "asked", o.o.Count, "got", len(got.Machines))
			o.o.Answered, o.o.Machines, o.finished = true, got.Machines, t.r.Now()
			for _, name := range got.Machines {
				if m := t.adopt(name, of.typ, of.zone, of.spot); m != nil && m.state == Booting {
					m.rented = true
				}
			}
			if len(got.Machines) < o.o.Count {
				t.refuse(of)
			} else {
				delete(t.offers, of)
			}
			t.storeOrder(o, []wire.Cond{{Key: OrderKeys + o.name, Mark: o.mark}}, func(bool) {})
		case resp.Err == nil && resp.Status == 503 && strings.Contains(string(resp.Body), "capacity"):
			t.log.Info("no capacity", "order", o.name, "type", of.typ, "zone", of.zone, "spot", of.spot)
			t.refuse(of)
			o.refused = true
			t.dropOrder(o)
		case resp.Err == nil && resp.Status == 400:
			t.log.Error("order malformed", "order", o.name)
			t.refuse(of)
			o.refused = true
			t.dropOrder(o)
		default:
			// No answer: it may have rented, or may yet. The same name asks again.
			o.nextTry = t.r.Now() + loop.Second
		}
	})
}

// refuse keeps an offer out of the choice for a while, longer each time.
func (t *Rental) refuse(of offer) {
	b := t.offers[of]
	if b == nil {
		b = &backoff{wait: 5 * loop.Second}
		t.offers[of] = b
	} else {
		b.wait = min(b.wait*2, 40*loop.Second)
	}
	b.until = t.r.Now() + b.wait
}

func (t *Rental) dropOrder(o *order) {
	delete(t.orders, o.name)
	t.c.Txn(store.Background, wire.Txn{If: []wire.Cond{member.LeaderCond(t.claim)}, Then: []wire.Change{{Delete: OrderKeys + o.name}}}, func(r store.Result) {
		if r.Outcome == store.Applied {
			t.m.Apply(OrderKeys+o.name, nil, r.Revision, true)
		}
	})
}
