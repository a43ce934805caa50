package standin

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"cleatpick/internal/loop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// Cloud rents machines out of a fixed number for each zone.
type Cloud struct {
	mu       sync.Mutex
	Types    []wire.MachineType
	Left     map[string]int // by zone
	requests map[string][]string
	machines map[string]wire.CloudMachine
	next     int
	// Now, if it is set, lets lists lag by Lag, and machines that died stay listed as
	// running for half a minute.
	Now  func() loop.Micros
	Lag  loop.Micros
	born map[string]loop.Micros
	died map[string]loop.Micros
	left map[string]leftover // machines that are gone, as a list that lags still shows them
	// Up and Gone tell the test to bring a machine up, or that it is deleted.
	Up func(wire.CloudMachine)
	// Addr gives a machine's address; nil: one that nobody answers at.
	Addr func(name string) string
	Gone func(name string)
}

// NewCloud makes a cloud with so many machines of one type in each zone.
func NewCloud(t wire.MachineType, each int) *Cloud {
	c := &Cloud{born: map[string]loop.Micros{}, died: map[string]loop.Micros{}, left: map[string]leftover{}, Types: []wire.MachineType{t}, Left: map[string]int{}, requests: map[string][]string{}, machines: map[string]wire.CloudMachine{}}
	for _, z := range t.Zones {
		c.Left[z] = each
	}
	return c
}

// Lose takes a machine back with no notice.
func (c *Cloud) Lose(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop(name)
}

func (c *Cloud) drop(name string) {
	m, ok := c.machines[name]
	if !ok {
		return
	}
	delete(c.machines, name)
	c.Left[m.Zone]++
	c.left[name] = leftover{m, c.now()}
	c.Gone(name)
}

type leftover struct {
	m  wire.CloudMachine
	at loop.Micros
}

func (c *Cloud) now() loop.Micros {
	if c.Now == nil {
		return 0
	}
	return c.Now()
}

// Take takes all that is left to rent away and tells what it was; Give brings it back.
func (c *Cloud) Take() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.Left
	c.Left = map[string]int{}
	return kept
}

// Give adds to what is left to rent.
func (c *Cloud) Give(more map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for z, n := range more {
		c.Left[z] += n
	}
}

// Fill rents so many machines in each zone at once, as if orders had been placed before,
// and tells their names.
func (c *Cloud) Fill(each int) (names []string) {
	for _, z := range c.Types[0].Zones {
		for n := each; n > 0; n -= 50 {
			body := wire.Marshal(wire.RentRequest{Request: fmt.Sprint("fill-", z, n), Type: c.Types[0].Name, Zone: z, Count: min(n, 50)})
			var got wire.MachineNames
			if r := c.Do("POST", "/machines", body, 0); wire.Unmarshal(r.Body, &got) == nil {
				names = append(names, got.Machines...)
			}
		}
	}
	return names
}

// Die lets a machine stop by itself: it stays listed, and nobody is told.
func (c *Cloud) Die(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.died[name] = c.now()
}

// deadListed is how long a dead machine is still listed as running.
const deadListed = 30 * loop.Second

// list describes the machines as they were a while ago.
func (c *Cloud) list() wire.MachinePage {
	at := c.now() - c.Lag
	l := wire.MachinePage{Machines: []wire.CloudMachine{}}
	add := func(m wire.CloudMachine) {
		if c.born[m.Name] > at {
			return
		}
		if d, ok := c.died[m.Name]; ok && at > d+deadListed {
			m.State = "failed"
		}
		l.Machines = append(l.Machines, m)
	}
	for _, m := range c.machines {
		add(m)
	}
	for name, x := range c.left {
		if x.at <= at {
			delete(c.left, name)
		} else {
			add(x.m)
		}
	}
	sort.Slice(l.Machines, func(i, j int) bool { return l.Machines[i].Name < l.Machines[j].Name })
	return l
}

// Do answers one request.
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
			c.drop(name)
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
		n := min(r.Count, c.Left[r.Zone])
		if n <= 0 {
			return reply(503, wire.Error{Error: "no capacity"})
		}
		var got []string
		for range n {
			c.next++
			m := wire.CloudMachine{Name: fmt.Sprintf("n-%06d", c.next), Type: r.Type, Zone: r.Zone, Spot: r.Spot, State: "running"}
			m.Addr = "worker:" + m.Name
			if c.Addr != nil {
				m.Addr = c.Addr(m.Name)
			}
			c.machines[m.Name] = m
			c.born[m.Name] = c.now()
			c.Left[r.Zone]--
			got = append(got, m.Name)
			c.Up(m)
		}
		c.requests[r.Request] = got
		return reply(200, wire.MachineNames{Machines: got})
	}
	return reply(400, wire.Error{Error: "unknown request"})
}
