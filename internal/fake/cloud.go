package fake

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// Cloud is a fake of the cloud provider's API. It rents out a fixed number of machines per zone and answers
// requests synchronously.
type Cloud struct {
	mu        sync.Mutex
	Types     []wire.MachineType
	Available map[string]int // machines that can still be rented, by zone
	// Limit returns how many machines a request may rent at most; nil: as many as are available.
	Limit        func(wire.RentRequest) int
	requests     map[string][]string
	machines     map[string]wire.CloudMachine
	machineCount int // machines ever rented; numbers their names
	// Now is the clock. If it is set, machine lists show the state of ListLag ago, and failed machines stay listed
	// as running for half a minute.
	Now       func() eventloop.Micros
	ListLag   eventloop.Micros
	createdAt map[string]eventloop.Micros
	failedAt  map[string]eventloop.Micros
	deleted   map[string]deletedMachine // deleted machines that a lagging list still shows
	// OnRented is called for each machine that is rented; the test boots it.
	OnRented func(wire.CloudMachine)
	// Addr returns a machine's address. If it is nil, machines get an address at which nothing answers.
	Addr func(name string) string
	// OnDeleted is called for each machine that is deleted.
	OnDeleted func(name string)
}

// NewCloud returns a cloud that offers one machine type, with the given number of machines in each zone.
func NewCloud(t wire.MachineType, perZone int) *Cloud {
	c := &Cloud{createdAt: map[string]eventloop.Micros{}, failedAt: map[string]eventloop.Micros{}, deleted: map[string]deletedMachine{}, Types: []wire.MachineType{t}, Available: map[string]int{}, requests: map[string][]string{}, machines: map[string]wire.CloudMachine{}}
	for _, z := range t.Zones {
		c.Available[z] = perZone
	}
	return c
}

// Reclaim deletes a machine without notice, as a cloud may do.
func (c *Cloud) Reclaim(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(name)
}

// remove deletes a machine and makes its capacity available again. The caller holds the lock.
func (c *Cloud) remove(name string) {
	m, ok := c.machines[name]
	if !ok {
		return
	}
	delete(c.machines, name)
	c.Available[m.Zone]++
	c.deleted[name] = deletedMachine{m, c.now()}
	c.OnDeleted(name)
}

// deletedMachine is a deleted machine and the time of its deletion.
type deletedMachine struct {
	machine wire.CloudMachine
	at      eventloop.Micros
}

func (c *Cloud) now() eventloop.Micros {
	if c.Now == nil {
		return 0
	}
	return c.Now()
}

// TakeCapacity removes all capacity that is not rented, as in a shortage, and returns it by zone, for AddCapacity.
func (c *Cloud) TakeCapacity() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.Available
	c.Available = map[string]int{}
	return kept
}

// AddCapacity adds capacity that can be rented, by zone.
func (c *Cloud) AddCapacity(capacity map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for z, n := range capacity {
		c.Available[z] += n
	}
}

// Fill rents the given number of machines in each zone, as if orders had been placed earlier, and returns
// their names.
func (c *Cloud) Fill(perZone int) (names []string) {
	for _, z := range c.Types[0].Zones {
		for n := perZone; n > 0; n -= 50 {
			body := wire.Marshal(wire.RentRequest{Request: fmt.Sprint("fill-", z, n), Type: c.Types[0].Name, Zone: z, Count: min(n, 50)})
			var got wire.MachineNames
			if r := c.Do("POST", "/machines", body, 0); wire.Unmarshal(r.Body, &got) == nil {
				names = append(names, got.Machines...)
			}
		}
	}
	return names
}

// Fail makes a machine fail. It stays listed, first as running and later as failed, and no callback is called.
func (c *Cloud) Fail(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAt[name] = c.now()
}

// failureListLag is how long a failed machine is still listed as running.
const failureListLag = 30 * eventloop.Second

// list returns the machines as they were one list lag ago.
func (c *Cloud) list() wire.MachinePage {
	at := c.now() - c.ListLag
	l := wire.MachinePage{Machines: []wire.CloudMachine{}}
	add := func(m wire.CloudMachine) {
		if c.createdAt[m.Name] > at {
			return
		}
		if d, ok := c.failedAt[m.Name]; ok && at > d+failureListLag {
			m.State = "failed"
		}
		l.Machines = append(l.Machines, m)
	}
	for _, m := range c.machines {
		add(m)
	}
	for name, x := range c.deleted {
		if x.at <= at {
			delete(c.deleted, name)
		} else {
			add(x.machine)
		}
	}
	sort.Slice(l.Machines, func(i, j int) bool { return l.Machines[i].Name < l.Machines[j].Name })
	return l
}

// Do answers one request. It ignores the timeout.
func (c *Cloud) Do(method, path string, body []byte, _ time.Duration) store.Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case method == "GET" && path == "/catalog":
		return reply(200, wire.Catalog{Types: c.Types})
	case method == "GET" && strings.HasPrefix(path, "/machines"):
		return reply(200, c.list())
	case path == "/machines/delete":
		var n wire.MachineNames
		if wire.Unmarshal(body, &n) != nil {
			return reply(400, wire.Error{Error: "malformed"})
		}
		for _, name := range n.Machines {
			c.remove(name)
		}
		return reply(200, wire.MachineNames{Machines: []string{}})
	case path == "/machines":
		var r wire.RentRequest
		if wire.Unmarshal(body, &r) != nil || r.Count < 1 {
			return reply(400, wire.Error{Error: "malformed"})
		}
		if got, ok := c.requests[r.Request]; ok {
			return reply(200, wire.MachineNames{Machines: got})
		}
		n := min(r.Count, c.Available[r.Zone])
		if c.Limit != nil {
			n = min(n, c.Limit(r))
		}
		if n <= 0 {
			return reply(503, wire.Error{Error: "no capacity"})
		}
		var got []string
		for range n {
			c.machineCount++
			m := wire.CloudMachine{Name: fmt.Sprintf("n-%06d", c.machineCount), Type: r.Type, Zone: r.Zone, Spot: r.Spot, State: "running"}
			m.Addr = "worker:" + m.Name
			if c.Addr != nil {
				m.Addr = c.Addr(m.Name)
			}
			c.machines[m.Name] = m
			c.createdAt[m.Name] = c.now()
			c.Available[r.Zone]--
			got = append(got, m.Name)
			c.OnRented(m)
		}
		c.requests[r.Request] = got
		return reply(200, wire.MachineNames{Machines: got})
	}
	return reply(400, wire.Error{Error: "unknown request"})
}
