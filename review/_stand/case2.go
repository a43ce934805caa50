package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["2"] = case2 }

// case2: the tasks of a team named i+d run, and the controllers are restarted one after the other.
func case2(folder string, run []string) {
	w := newWorld(folder, run, podpisna(team{"pecet", 136, 320}, team{"i+d", 112, 272}))
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
	w.startAll()
	w.submit(submission{id: "job-000001", class: "archive-revalidate", team: "i+d", kind: "batch", urgency: "low", tasks: 8, cpus: 2, ramGB: 2.3, kit: "img-01", sizeGB: 2, expectS: 300, runS: 300})
	if !w.waitFor(30*time.Second, func() bool { return w.running("job-000001") == 8 }) {
		w.couldNotRun("the tasks did not start")
	}
	time.Sleep(3 * time.Second)
	for _, n := range w.nodes {
		if w.trouble {
			n.kill()
			w.record("%s: killed", n.label)
		}
		time.Sleep(6 * time.Second)
		if w.trouble {
			w.start(n)
			w.waitFor(10*time.Second, n.healthy)
		}
		time.Sleep(8 * time.Second)
		if broken() {
			break
		}
	}
	w.waitFor(15*time.Second, broken)
	w.verdict(broken(), "ran_twice: %d tasks got on a second machine while they were on the first", len(twice))
}
