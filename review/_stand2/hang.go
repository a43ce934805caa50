package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"cleatpick/internal/wire"
)

func init() { scenarios["hang"] = runHang }

// runHang: a machine hangs, a job with tasks there is cancelled, and the leader crashes before it has the machine deleted.
// TROUBLE=hang: the machine hangs, but no controller crashes.
func runHang(r *record, trouble bool) (bool, string) {
	s := smallSettings()
	s.report, s.lease, s.can = 5, 26.5, 46.5
	s.rps, s.writeRPS, s.cloudRPS, s.ramMB, s.sockets = 180, 70, 3, 322, 3129
	w := newWorld(r, s)
	defer w.close()
	w.startAll()
	who, claim := w.nextLeader(0, 10*time.Second)
	for i, t := range s.teams {
		w.submit(i, job{id: "job-" + six(412+i), team: t.Name, tasks: 4, cpus: 8, mem: 10, runS: 300, loaners: true})
	}
	need(until(30*time.Second, func() bool { return w.fleet.running() == 16 }), "only %d tasks run", w.fleet.running())
	time.Sleep(6 * time.Second)
	const id = "job-000412"
	tasksOn := func() map[string][]string { // by machine: the job's tasks on it
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		out := map[string][]string{}
		for task, on := range w.fleet.on {
			for m := range on {
				if strings.HasPrefix(task, id+"/") {
					out[m] = append(out[m], task)
				}
			}
		}
		return out
	}
	hung := ""
	for m := range tasksOn() {
		if hung == "" || m < hung {
			hung = m
		}
	}
	if trouble {
		m := w.fleet.machine(hung)
		m.mu.Lock()
		m.hang = time.Now().Add(75 * time.Second)
		m.mu.Unlock()
		r.f("machine %s hangs, with %v", hung, tasksOn()[hung])
	}
	var told time.Time
	for n := 0; ; n++ {
		status, a := w.ask(n%3, "POST", "/work/"+id+"/withdraw", nil)
		r.f("user: %s: cancellation of %s: %d %s", w.nodes[n%3].label, id, status, a.State)
		if status == 200 && a.State == wire.JobCancelled {
			told = time.Now()
			break
		}
		need(n < 10, "%s cannot be cancelled", id)
		time.Sleep(time.Second)
	}
	if trouble && os.Getenv("TROUBLE") != "hang" {
		time.Sleep(time.Until(told.Add(19 * time.Second)))
		if now, _ := w.leader(); now != who {
			who = now
		}
		w.kill(who)
		go func() {
			time.Sleep(6 * time.Second)
			w.start(who)
		}()
		next, _ := w.nextLeader(claim, 15*time.Second)
		r.f("%s leads %.1f s after the cancellation", w.nodes[next].label, time.Since(told).Seconds())
	}
	bound := time.Duration(s.can*1e9) + 500*time.Millisecond // with some time for the measurement itself
	for time.Since(told) < bound {
		time.Sleep(100 * time.Millisecond)
	}
	left := tasksOn()
	after := time.Since(told).Seconds()
	r.f("%.1f s after the cancellation, tasks of %s are on: %v", after, id, left)
	until(10*time.Second, func() bool { return len(tasksOn()) == 0 })
	r.f("%.1f s after the cancellation, tasks of %s are on: %v", time.Since(told).Seconds(), id, tasksOn())
	if len(left) > 0 {
		return false, fmt.Sprintf("%.1f s after the user was told that %s is cancelled, tasks of it are on machines: %v", after, id, left)
	}
	return true, fmt.Sprintf("%.1f s after the cancellation of %s no task of it is on a machine", after, id)
}
