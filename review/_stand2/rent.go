package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/wire"
)

func init() { scenarios["rent"] = runRent }

// runRent: a service that is bound to a zone loses its machine, which is taken back, while many short tasks start and end in
// another zone. The cloud has machines for it. TROUBLE=quiet: the machine is taken back, but no other work runs.
func runRent(r *record, trouble bool) (bool, string) {
	zones := []string{"santander-1", "bilbao-1", "bilbao-2", "pamplona-1"}
	s := settings{nodes: 3, zones: zones, report: 1, lease: 10, can: 40, rps: 150, writeRPS: 60, valueKB: 16, cloudRPS: 5, listLag: 2, ramMB: 98, sockets: 800,
		types:   []wire.MachineType{{Name: "txori-32", CPUs: 32, MemoryGB: 64, CacheGB: 60, FetchGBPerS: 1, Price: 1.52, SpotPrice: 0.44, BootS: 2, Zones: zones}},
		perZone: 10, bootS: 2}
	s.teams = []config.Team{{Name: "calculo", CPUs: 408, CPUsMax: 1016}, {Name: "ingesta", CPUs: 304, CPUsMax: 1224}, {Name: "presentacion", CPUs: 408, CPUsMax: 1624}, {Name: "clientes", CPUs: 160, CPUsMax: 512}}
	w := newWorld(r, s)
	defer w.close()
	var mu sync.Mutex
	asked := map[string]int{} // by zone: rental requests since the machine was taken back
	w.cloud.onRent = func(q wire.RentRequest, status int, got []string) {
		mu.Lock()
		defer mu.Unlock()
		asked[q.Zone]++
	}
	w.startAll()
	const id = "job-000412"
	w.submit(0, job{id: id, team: "calculo", tasks: 1, daemon: true, runS: 5000, cpus: 2, mem: 4, field: zones[0], loaners: true})
	task := taskName(id, 0)
	where := func() string {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		for m := range w.fleet.on[task] {
			return m
		}
		return ""
	}
	need(until(20*time.Second, func() bool { return where() != "" }), "the service does not start")
	end := r.began.Add(113 * time.Second)
	if os.Getenv("TROUBLE") != "quiet" {
		go func() { // 20 tasks of 1 CPU a second
			for n := 0; time.Now().Before(end.Add(-time.Second)); n++ {
				w.submit(n, job{id: "job-" + six(413+n), team: s.teams[1+n%2].Name, tasks: 20, cpus: 1, mem: 1.5, runS: 4, field: zones[3], loaners: true})
				time.Sleep(time.Second)
			}
		}()
	}
	time.Sleep(time.Until(r.began.Add(18 * time.Second)))
	need(where() != "", "the service ended by itself")
	began := time.Now()
	if trouble {
		mu.Lock()
		clear(asked)
		mu.Unlock()
		for _, name := range w.fleet.names() {
			if m := w.fleet.machine(name); m.info.Zone == zones[0] {
				r.f("cloud: machine %s in %s is taken back (the service is on %s); more can be rented in that zone", name, zones[0], where())
				w.cloud.fake.Reclaim(name)
			}
		}
	}
	for time.Now().Before(end) && (!trouble || where() == "") {
		time.Sleep(200 * time.Millisecond)
	}
	waited := time.Since(began).Seconds()
	mu.Lock()
	n := asked[zones[0]]
	mu.Unlock()
	if where() == "" {
		_, a := w.ask(0, "GET", "/work/"+id, nil)
		return false, fmt.Sprintf("%s has waited for %.0f s and is %s; in this time the cloud, which has %d machines for it, got %d rental requests for zone %s", id, waited, a.State, s.perZone, n, zones[0])
	}
	return true, fmt.Sprintf("%.0f s later %s runs on %s; rental requests for its zone: %d", waited, id, where(), n)
}
