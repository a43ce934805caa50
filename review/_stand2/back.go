package main

import (
	"fmt"
	"os"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/wire"
)

func init() { scenarios["back"] = runBack }

// runBack: the machines were up for longer than their lease before the first controller, so they are in session 2. Then all
// machines and controllers are back within a fraction of a second: the workers begin in session 1 again, the controllers know
// nothing of session 2. A service starts. A copy of a report from before arrives. TROUBLE=nocopy: no copy arrives.
func runBack(r *record, trouble bool) (bool, string) {
	zones := []string{"santander-1", "bilbao-1"}
	s := settings{nodes: 3, zones: zones, report: 1, lease: 10, can: 40, rps: 150, writeRPS: 60, valueKB: 16, cloudRPS: 5, listLag: 2, ramMB: 98, sockets: 800,
		types:   []wire.MachineType{{Name: "txori-32", CPUs: 32, MemoryGB: 64, CacheGB: 60, FetchGBPerS: 1, Price: 1.52, SpotPrice: 0.44, BootS: 2, Zones: zones}},
		perZone: 2, bootS: 0.5}
	s.teams = []config.Team{{Name: "calculo", CPUs: 408, CPUsMax: 1016}, {Name: "ingesta", CPUs: 304, CPUsMax: 1224}, {Name: "presentacion", CPUs: 408, CPUsMax: 1624}, {Name: "clientes", CPUs: 160, CPUsMax: 512}}
	w := newWorld(r, s)
	defer w.close()
	for i, z := range zones {
		w.cloud.do("POST", "/machines", wire.Marshal(wire.RentRequest{Request: fmt.Sprint("up-", i), Type: "txori-32", Zone: z, Spot: true, Count: 2}))
	}
	time.Sleep(12500 * time.Millisecond)
	w.startAll()
	const before, after = "job-000412", "job-000413"
	w.submit(0, job{id: before, team: "calculo", tasks: 4, daemon: true, runS: 5000, cpus: 20, mem: 4, loaners: true})
	need(until(20*time.Second, func() bool { return w.fleet.running() == 4 }), "only %d tasks run", w.fleet.running())
	time.Sleep(4 * time.Second)
	old := map[string]wire.Report{}
	for _, name := range w.fleet.names() {
		m := w.fleet.machine(name)
		m.mu.Lock()
		old[name] = m.sent
		m.mu.Unlock()
		r.f("worker: %s is in session %d; report %d", name, old[name].Session, old[name].Seq)
	}
	if trouble {
		for i := range w.nodes {
			w.kill(i)
		}
		for _, name := range w.fleet.names() {
			m := w.fleet.machine(name)
			m.mu.Lock()
			if m.fake != nil {
				m.fake.RestartAsNew(w.clock.Now())
				r.f("worker: %s restarts: session %d, no token seen", name, m.fake.Session())
			}
			m.mu.Unlock()
		}
		time.Sleep(300 * time.Millisecond)
		for i := range w.nodes {
			w.start(i)
		}
		for i := range w.nodes {
			need(until(10*time.Second, func() bool { return w.healthy(i) }), "controller %d is not healthy", i)
		}
	}
	w.submit(1, job{id: after, team: "ingesta", tasks: 4, daemon: true, runS: 5000, cpus: 3, mem: 4, loaners: true})
	on := func(task string) string {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		for m := range w.fleet.on[task] {
			return m
		}
		return ""
	}
	all := func() bool {
		for i := range 4 {
			if on(taskName(after, i)) == "" {
				return false
			}
		}
		return true
	}
	until(8*time.Second, all)
	time.Sleep(2 * time.Second)
	if trouble && os.Getenv("TROUBLE") != "nocopy" {
		for name, rep := range old {
			has := false
			for i := range 4 {
				has = has || on(taskName(after, i)) == name
			}
			if !has {
				continue
			}
			status, _ := exchange(userClient, "POST", w.nodes[1].client, "/agent/beat", wire.Marshal(rep), 4*time.Second)
			r.f("network: a copy of report %d of session %d of %s arrives at %s: %d", rep.Seq, rep.Session, name, w.nodes[1].label, status)
		}
	}
	time.Sleep(12 * time.Second)
	lost := ""
	for i := range 4 {
		if on(taskName(before, i)) == "" {
			lost += " " + taskName(before, i)
		}
	}
	r.f("tasks of %s that are on no machine:%s", before, lost)
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if n := len(w.fleet.overlaps); n > 0 {
		return false, fmt.Sprintf("%d starts of a task that was on another machine; the first: %s", n, w.fleet.overlaps[0])
	}
	return true, "no task started on one machine while it was on another"
}
