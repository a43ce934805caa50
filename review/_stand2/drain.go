package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/wire"
)

func init() { scenarios["drain"] = runDrain }

// runDrain: in each of three zones there are an ordinary and a cheap machine. The cheap ones are taken back. After that, a job bound
// to such a zone fits only on the ordinary machine there, which the controllers no longer give any work.
func runDrain(r *record, trouble bool) (bool, string) {
	zones := []string{"santander-1", "bilbao-1", "bilbao-2", "pamplona-1"}
	s := settings{nodes: 3, zones: zones, report: 1, lease: 10, can: 40, rps: 150, writeRPS: 60, valueKB: 16, cloudRPS: 5, listLag: 2, ramMB: 98, sockets: 800,
		types:   []wire.MachineType{{Name: "txori-32", CPUs: 32, MemoryGB: 64, CacheGB: 60, FetchGBPerS: 1, Price: 1.52, SpotPrice: 0.44, BootS: 2, Zones: zones}},
		perZone: 20, bootS: 1}
	s.teams = []config.Team{{Name: "calculo", CPUs: 408, CPUsMax: 1016}, {Name: "ingesta", CPUs: 304, CPUsMax: 1224}, {Name: "presentacion", CPUs: 408, CPUsMax: 1624}, {Name: "clientes", CPUs: 160, CPUsMax: 512}}
	w := newWorld(r, s)
	defer w.close()
	// The capacity: one ordinary and one cheap machine in each of the first three zones, six cheap ones in the last. A cheap
	// machine that was taken back is not offered again.
	type kind struct {
		zone string
		spot bool
	}
	var mu sync.Mutex
	rented := map[kind][]string{}
	left := map[kind]int{{zones[3], true}: 6}
	for _, z := range zones[:3] {
		left[kind{z, true}], left[kind{z, false}] = 1, 1
	}
	w.cloud.limit = func(q wire.RentRequest) int {
		mu.Lock()
		defer mu.Unlock()
		return left[kind{q.Zone, q.Spot}]
	}
	w.cloud.onRent = func(q wire.RentRequest, status int, got []string) {
		mu.Lock()
		defer mu.Unlock()
		k := kind{q.Zone, q.Spot}
		left[k] -= len(got)
		rented[k] = append(rented[k], got...)
	}
	of := func(zone string, spot bool) string {
		mu.Lock()
		defer mu.Unlock()
		if m := rented[kind{zone, spot}]; len(m) > 0 {
			return m[0]
		}
		return "none"
	}
	w.startAll()
	n := 411
	submit := func(j job) string {
		n++
		j.id = "job-" + six(n)
		w.submit(n, j)
		return j.id
	}
	running := func(least int) {
		need(until(12*time.Second, func() bool { return w.fleet.running() >= least }), "only %d tasks run", w.fleet.running())
	}
	onOrdinary, onCheap := map[string]string{}, map[string]string{} // by zone: the services on the two machines
	for _, z := range zones[:3] {
		onOrdinary[z] = submit(job{team: "calculo", urgency: "high", tasks: 1, daemon: true, runS: 5000, cpus: 4, mem: 8, field: z})
	}
	submit(job{team: "presentacion", tasks: 6, daemon: true, runS: 5000, cpus: 1, mem: 40, field: zones[3], loaners: true})
	for _, z := range zones[:3] {
		onCheap[z] = submit(job{team: "ingesta", tasks: 1, daemon: true, runS: 5000, cpus: 2, mem: 60, field: z, loaners: true})
	}
	running(9)
	taken := map[string]time.Time{}
	end := r.began.Add(114 * time.Second)
	waits := map[string]time.Time{} // by zone: since when its job waits
	ids := map[string]string{}
	const patience = 90 * time.Second
	drained := func(z string) bool {
		for i := range w.nodes {
			if len(w.logged(i, "name="+of(z, false)+" .*to=draining")) > len(w.logged(i, "name="+of(z, false)+" .*from=draining")) {
				return true
			}
		}
		return false
	}
	ran := func(id string) bool {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		return w.fleet.starts[taskName(id, 0)] > 0
	}
	started := func(z string) bool { return ran(ids[z]) }
	isOn := func(id, machine string) bool {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		_, on := w.fleet.on[taskName(id, 0)][machine]
		return on
	}
	for time.Now().Before(end) {
		time.Sleep(500 * time.Millisecond)
		if !trouble && len(ids) > 0 && !slices.ContainsFunc(slices.Collect(maps.Keys(ids)), func(z string) bool { return !started(z) }) {
			break
		}
		for _, z := range zones[:3] {
			if taken[z].IsZero() && len(ids) == 0 && isOn(onOrdinary[z], of(z, false)) && isOn(onCheap[z], of(z, true)) {
				taken[z] = time.Now()
				if trouble {
					r.f("cloud: the cheap machine %s in %s is taken back", of(z, true), z)
					w.cloud.fake.Reclaim(of(z, true))
				}
			}
			if ids[z] == "" && !taken[z].IsZero() && time.Since(taken[z]) > 7*time.Second && drained(z) && (time.Until(end) > patience+time.Second || !trouble && time.Until(end) > 10*time.Second) {
				r.f("machine %s in %s: given no more work: %v", of(z, false), z, drained(z))
				ids[z] = submit(job{team: "clientes", tasks: 1, cpus: 2, mem: 2, runS: 10, field: z, loaners: true})
				waits[z] = time.Now()
			}
			if ids[z] == "" || started(z) {
				continue
			}
			m := w.fleet.machine(of(z, false))
			if m == nil {
				need(false, "the ordinary machine in %s is gone", z)
			}
			if time.Since(waits[z]) <= patience {
				continue
			}
			m.mu.Lock()
			var on []string
			for _, t := range m.fake.Report().Tasks {
				on = append(on, t.Task+" "+t.State)
			}
			m.mu.Unlock()
			_, a := w.ask(0, "GET", "/work/"+ids[z], nil)
			return false, fmt.Sprintf("%s (2 CPUs, 2 GB, zone %s) has waited for %.0f s and is %s, while %s in that zone has room: of 32 CPUs and 64 GB only 4 and 8 are used (%s)",
				ids[z], z, time.Since(waits[z]).Seconds(), a.State, of(z, false), strings.Join(on, ", "))
		}
	}
	need(len(ids) > 0, "no ordinary machine was given no more work in time")
	out := ""
	for z, id := range ids {
		out += fmt.Sprintf(" %s in %s started: %v", id, z, started(z))
	}
	return true, "no job waited for 90 s:" + out
}
