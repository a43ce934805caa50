package main

import (
	"fmt"
	"time"
)

func init() { scenarios["standing"] = runStanding }

// runStanding: each team has a service whose tasks run all the time. One controller crashes and is back 6 s later. Users then ask
// all controllers about the services.
func runStanding(r *record, trouble bool) (bool, string) {
	w := newWorld(r, smallSettings())
	defer w.close()
	w.startAll()
	var ids []string
	for i, t := range w.s.teams {
		id := "job-" + six(412+i)
		w.submit(i, job{id: id, team: t.Name, tasks: 3, daemon: true, cpus: 2, mem: 3, runS: 5000, loaners: true})
		ids = append(ids, id)
	}
	need(until(30*time.Second, func() bool { return w.fleet.running() == 12 }), "only %d of 12 tasks run", w.fleet.running())
	time.Sleep(20 * time.Second)
	lastRun := time.Now() // since then, at the latest, all tasks run
	if trouble {
		w.kill(1)
		time.Sleep(6 * time.Second)
		w.start(1)
		need(until(20*time.Second, func() bool { return w.healthy(1) }), "controller 1 is not healthy again")
	}
	back := time.Now()
	wrong := ""
	for time.Since(back) < 60*time.Second {
		time.Sleep(5 * time.Second)
		wrong = ""
		for i, n := range w.nodes {
			for _, id := range ids {
				status, a := w.ask(i, "GET", "/work/"+id, nil)
				r.f("user: %s: %s: %d %s, done %d, running %d", n.label, id, status, a.State, a.Done, a.Running)
				if status == 200 && a.State == "pending" && time.Since(back) > 10*time.Second {
					wrong += fmt.Sprintf(" %s at %s", id, n.label)
				}
			}
		}
		if w.fleet.running() != 12 || w.fleet.startCount() != 12 {
			need(false, "%d tasks run after %d starts; the tasks did not run all the time", w.fleet.running(), w.fleet.startCount())
		}
	}
	if wrong != "" {
		return false, fmt.Sprintf("all 3 tasks of each service have run without a break for %.0f s, and controller 1 has been back for %.0f s, but these answers say that no task runs (pending):%s",
			time.Since(lastRun).Seconds(), time.Since(back).Seconds(), wrong)
	}
	return true, "all controllers say that the services run"
}

// startCount returns how many starts there were in all.
func (f *fleet) startCount() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range f.starts {
		n += k
	}
	return n
}
