package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

type machineType struct {
	Label       string   `cbor:"label"`
	CPUs        float64  `cbor:"cpus"`
	Cards       float64  `cbor:"cards"`
	RAMGB       float64  `cbor:"ramGb"`
	CacheGB     float64  `cbor:"cacheGb"`
	FetchGBPerS float64  `cbor:"fetchGbPerS"`
	Rate        float64  `cbor:"rate"`
	SpotPrice   float64  `cbor:"spotPrice"`
	BootS       float64  `cbor:"bootS"`
	Fields      []string `cbor:"fields"`
}

type rentRequest struct {
	Draft   string `cbor:"draft"`
	Build   string `cbor:"build"`
	Field   string `cbor:"field"`
	Loaners bool   `cbor:"loaners"`
	Count   int    `cbor:"count"`
}

// rental is a request that was answered with 200.
type rental struct {
	request rentRequest
	names   []string
	at      time.Time
}

type cloudMachine struct {
	name, addr, build, field string
	loaners                  bool
	rentedAt, upAt, goneAt   time.Time
}

// cloudService is a stand-in for the cloud, as PROTOCOL describes it.
type cloudService struct {
	mu       sync.Mutex
	types    []machineType
	lag      time.Duration
	free     int // machines that it can still rent
	boot     time.Duration
	rps      bucket
	drafts   map[string]*rental
	machines []*cloudMachine // in the order of names
	record   func(format string, args ...any)
	// onRent boots a machine and returns its address; onDelete ends it and all that is on it.
	onRent   func(m *cloudMachine) string
	onDelete func(name string)
	// onRepeat is called for a draft that was answered with 200 before; it may be nil.
	onRepeat func(first *rental, now rentRequest)
}

func newCloud(rps, lagS float64, free int, bootS float64, types ...machineType) *cloudService {
	return &cloudService{types: types, lag: time.Duration(lagS * float64(time.Second)), free: free, boot: time.Duration(bootS * float64(time.Second)), rps: bucket{rate: 2 * rps}, drafts: map[string]*rental{}}
}

func (c *cloudService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 65<<10))
	if err != nil {
		return
	}
	c.mu.Lock()
	status, reply := c.handle(r, body)
	c.mu.Unlock()
	answer(w, status, reply)
}

func (c *cloudService) handle(r *http.Request, body []byte) (int, any) {
	if !c.rps.take(1) {
		return 429, map[string]string{"error": "rate"}
	}
	switch {
	case r.Method == "GET" && r.URL.Path == "/catalog":
		return 200, map[string]any{"builds": c.types}
	case r.Method == "GET" && r.URL.Path == "/machines":
		return c.list(r.URL.Query().Get("since"), r.URL.Query().Get("limit"))
	case r.Method == "POST" && r.URL.Path == "/machines":
		return c.rent(body)
	case r.Method == "POST" && r.URL.Path == "/machines/delete":
		var in struct {
			Stalls []string `cbor:"stalls"`
		}
		if cbor.Unmarshal(body, &in) != nil || len(in.Stalls) > 100 {
			return 400, map[string]string{"error": "malformed"}
		}
		for _, m := range c.machines {
			if m.goneAt.IsZero() && slices.Contains(in.Stalls, m.name) {
				m.goneAt = time.Now()
				c.free++
				c.record("cloud: deleted %s", m.name)
				c.onDelete(m.name)
			}
		}
		return 200, map[string]any{}
	}
	return 400, map[string]string{"error": "unknown request"}
}

func (c *cloudService) rent(body []byte) (int, any) {
	var in rentRequest
	if cbor.Unmarshal(body, &in) != nil || in.Draft == "" || in.Count < 1 || in.Count > 50 {
		return 400, map[string]string{"error": "malformed"}
	}
	if !slices.ContainsFunc(c.types, func(t machineType) bool { return t.Label == in.Build && slices.Contains(t.Fields, in.Field) }) {
		return 400, map[string]string{"error": "malformed"}
	}
	if was := c.drafts[in.Draft]; was != nil {
		c.record("cloud: draft %s came again: %+v; answered as before: %v", in.Draft, in, was.names)
		if c.onRepeat != nil {
			c.onRepeat(was, in)
		}
		return 200, map[string]any{"stalls": was.names}
	}
	n := min(in.Count, c.free)
	if n == 0 {
		return 503, map[string]string{"error": "no capacity"}
	}
	names := []string{}
	for range n {
		m := &cloudMachine{name: fmt.Sprintf("n-%06d", len(c.machines)+1), build: in.Build, field: in.Field, loaners: in.Loaners, rentedAt: time.Now()}
		m.upAt = m.rentedAt.Add(c.boot)
		c.machines = append(c.machines, m)
		c.free--
		names = append(names, m.name)
		m.addr = c.onRent(m)
	}
	c.drafts[in.Draft] = &rental{in, names, time.Now()}
	c.record("cloud: draft %s: %+v; rented %v", in.Draft, in, names)
	return 200, map[string]any{"stalls": names}
}

func (c *cloudService) list(since, limit string) (int, any) {
	most, err := strconv.Atoi(limit)
	if err != nil || most > 500 {
		most = 500
	}
	at := time.Now().Add(-c.lag)
	out := []map[string]any{}
	for _, m := range c.machines {
		if m.name <= since || m.rentedAt.After(at) || !m.goneAt.IsZero() && !m.goneAt.After(at) {
			continue
		}
		if len(out) == most {
			return 200, map[string]any{"stalls": out, "truncated": true}
		}
		standing := "running"
		if m.upAt.After(at) {
			standing = "booting"
		}
		out = append(out, map[string]any{"nameId": m.name, "address": m.addr, "build": m.build, "field": m.field, "loaners": m.loaners,
			"standing": standing, "ageS": at.Sub(m.rentedAt).Seconds()})
	}
	return 200, map[string]any{"stalls": out, "truncated": false}
}
