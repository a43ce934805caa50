package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["1"] = case1 }

// case1: a user cancels a job while the transaction that records its start is slow, and all controllers crash later. The
// tasks of other jobs, which have long been running, are started a second time.
func case1(folder string, run []string) {
	w := newWorld(folder, run, rentanorte())
	var mu sync.Mutex
	twice := []string{}
	w.onStart = func(task, machine string, others []string) {
		if len(others) > 0 {
			mu.Lock()
			defer mu.Unlock()
			twice = append(twice, fmt.Sprintf("%s starts on %s while it is on %s", task, machine, strings.Join(others, ", ")))
			w.record("%s", twice[len(twice)-1])
		}
	}
	broken := func() bool { mu.Lock(); defer mu.Unlock(); return len(twice) > 0 }
	slowed := make(chan bool, 1)
	w.state.slow = func(when, apply []string) {
		if key := "c/j/job-000007"; slices.Contains(when, key) && !slices.Contains(apply, key) && len(apply) > 0 {
			w.record("state service: a transaction with a condition on %s takes 300 ms; it changes %v", key, apply)
			select {
			case slowed <- true:
			default:
			}
			time.Sleep(300 * time.Millisecond)
		} else if len(apply) > 0 && strings.HasPrefix(apply[0], "x/") {
			w.record("state service: a transaction changes %v", apply)
		}
	}
	w.startAll()
	running := func(n int, id string) {
		if !w.waitFor(40*time.Second, func() bool { return w.running(id) == n }) {
			w.couldNotRun("of %s %d tasks run", id, w.running(id))
		}
		time.Sleep(2 * time.Second)
	}
	job := func(id string, tasks int, cpus float64, build, kind string) submission {
		return submission{id: id, class: "history-refresh", team: "ingesta", kind: kind, urgency: "standard", tasks: tasks, cpus: cpus, ramGB: 0.45, builds: []string{build}, kit: "img-01", sizeGB: 0.5, expectS: 200, runS: 200}
	}
	for i := range 3 {
		id := fmt.Sprintf("job-00000%d", 1+i)
		w.submit(job(id, 1, 32, "txori-32", "daemon"))
		running(1, id)
	}
	w.submit(job("job-000004", 450, 0.25, "arrano-64", "batch"))
	running(450, "job-000004")
	w.submit(job("job-000005", 450, 0.25, "arrano-64", "batch"))
	running(450, "job-000005")
	w.user("POST", "/work/job-000004/withdraw", nil, 200)
	running(0, "job-000004")
	time.Sleep(2 * time.Second)
	go func() {
		<-slowed
		w.user("POST", "/work/job-000007/withdraw", nil, 200)
	}()
	w.submit(job("job-000007", 1, 0.25, "arrano-64", "batch"))
	time.Sleep(2 * time.Second)
	w.submit(job("job-000008", 1, 0.25, "arrano-64", "batch"))
	running(1, "job-000008")
	if w.trouble {
		for _, n := range w.nodes {
			n.kill()
			w.record("%s: killed", n.label)
		}
		time.Sleep(6 * time.Second)
		for _, n := range w.nodes {
			w.start(n)
		}
	} else {
		time.Sleep(6 * time.Second)
	}
	w.waitFor(25*time.Second, broken)
	time.Sleep(8 * time.Second)
	w.verdict(broken(), "ran_twice: %d tasks got on a second machine while they were on the first", len(twice))
}
