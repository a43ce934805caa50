package main

import (
	"fmt"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/wire"
)

func init() { scenarios["frame"] = runFrame }

// runFrame: the controllers are restarted one after the other, each back after 6 s. The workers of a controller that ends go to
// the next one, so that in the end nearly all machines report to one controller. Some jobs' tasks complete after that; their
// users must be told so.
func runFrame(r *record, trouble bool) (bool, string) {
	s := settings{nodes: 3, zones: []string{"bilbao-1", "bilbao-2"}, report: 3, lease: 17.5, can: 47.5, rps: 500, writeRPS: 200, valueKB: 16, cloudRPS: 10, listLag: 3, ramMB: 322, sockets: 2593,
		types:   []wire.MachineType{{Name: "arrano-64", CPUs: 64, MemoryGB: 256, CacheGB: 60, FetchGBPerS: 1, Price: 3.42, SpotPrice: 0.94, BootS: 2, Zones: []string{"bilbao-1", "bilbao-2"}}},
		perZone: 470, bootS: 2}
	s.teams = []config.Team{{Name: "calculo", CPUs: 7000, CPUsMax: 18000}, {Name: "ingesta", CPUs: 5000, CPUsMax: 20000}, {Name: "presentacion", CPUs: 7000, CPUsMax: 30000}, {Name: "clientes", CPUs: 3000, CPUsMax: 9000}}
	w := newWorld(r, s)
	defer w.close()
	w.fleet.quiet = true
	w.startAll()
	n, all := 0, 0
	submit := func(team string, jobs int, runS float64) (ids []string) {
		for range jobs {
			n++
			id := "job-" + six(412+n)
			w.submit(n, job{id: id, team: team, tasks: 960, cpus: 1, mem: 1.9, runS: runS, loaners: true})
			ids = append(ids, id)
			all += 960
		}
		return ids
	}
	var short []string
	for _, t := range []struct {
		team string
		long int
	}{{"calculo", 13}, {"ingesta", 13}, {"presentacion", 16}, {"clientes", 7}} {
		submit(t.team, t.long, 300)
		short = append(short, submit(t.team, 2, 60)...)
	}
	until(25*time.Second, func() bool { return w.fleet.running() == all })
	r.f("machines %d, running tasks %d of %d", len(w.fleet.names()), w.fleet.running(), all)
	need(w.fleet.running() > all*9/10, "only %d of %d tasks run", w.fleet.running(), all)
	if trouble {
		go func() {
			for i := range w.nodes {
				w.kill(i)
				time.Sleep(6 * time.Second)
				w.start(i)
				time.Sleep(14 * time.Second)
			}
		}()
	}
	end := r.began.Add(108 * time.Second)
	done := map[string]bool{}
	for time.Now().Before(end) && len(done) < len(short) {
		time.Sleep(3 * time.Second)
		hosts := make([]int, 3)
		for _, name := range w.fleet.names() {
			if m := w.fleet.machine(name); m != nil {
				m.mu.Lock()
				hosts[m.host]++
				m.mu.Unlock()
			}
		}
		r.f("machines %d (by the controller to which they report: %v), running tasks %d; log lines on too large messages: %d %d %d", len(w.fleet.names()), hosts, w.fleet.running(),
			len(w.logged(0, "exceeds the size")), len(w.logged(1, "exceeds the size")), len(w.logged(2, "exceeds the size")))
		for _, id := range short {
			for i := range w.nodes {
				status, a := w.ask(i, "GET", "/work/"+id, nil)
				ended, last := w.fleet.completed(id)
				if ended == 960 && !done[id] {
					r.f("user: %s: %s: %d %s, done %d, running %d; its last task completed %.1f s ago", w.nodes[i].label, id, status, a.State, a.Done, a.Running, time.Since(last).Seconds())
				}
				if status == 200 && a.State == wire.JobDone {
					done[id] = true
				}
			}
		}
	}
	for i, n := range w.nodes {
		r.f("%s: peak memory %s", n.label, w.peak(i))
	}
	late, least := "", time.Hour
	for _, id := range short {
		ended, last := w.fleet.completed(id)
		r.f("%s: %d of 960 tasks completed; done: %v", id, ended, done[id])
		if ended == 960 && !done[id] {
			late += " " + id
			least = min(least, time.Since(last))
		}
	}
	if late != "" && least > 3*time.Second {
		return false, fmt.Sprintf("no controller calls these jobs done, though their last tasks completed at least %.0f s ago:%s", least.Seconds(), late)
	}
	return true, "all jobs whose tasks completed are called done"
}
