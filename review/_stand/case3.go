package main

import (
	"fmt"
	"time"
)

func init() { cases["3"] = case3 }

// case3: jobs of a class with many small tasks come several times as often. By their CPUs, the tasks of all of them fit on
// the one machine that the cloud has to give; its report then exceeds the size that the controllers accept.
func case3(folder string, run []string) {
	d := rentanorte()
	d.free = 1
	w := newWorld(folder, run, d)
	w.startAll()
	jobs := 1
	if w.trouble {
		jobs = 5
	}
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("job-%06d", 101+i)
		ids = append(ids, id)
		w.submit(submission{id: id, class: "query-swarm", team: "gestoria-ebro", kind: "batch", urgency: "standard", tasks: 400, cpus: 0.03, ramGB: 0.1, builds: []string{"arrano-64"},
			kit: "img-02", sizeGB: 0.5, loaners: true, expectS: 30, runS: 30})
	}
	over := time.Now()
	w.record("the last job is accepted")
	open := func() (open []string) {
		for _, id := range ids {
			if _, a := w.user("GET", "/work/"+id, nil, 200); a.Standing != "done" {
				open = append(open, id)
			}
		}
		return open
	}
	for time.Since(over) < 92*time.Second && len(open()) > 0 {
		time.Sleep(5 * time.Second)
	}
	left, never := open(), 0
	for _, id := range left {
		started, completed := w.count(id)
		w.record("%s is not done %.0f s after the last submission; its tasks got on a machine %d times and completed %d times", id, time.Since(over).Seconds(), started, completed)
		if completed == 0 {
			never++
		}
	}
	w.verdict(never > 0, "%d of %d accepted jobs have no completed task 90 s after the last submission; a task takes 30 s", never, jobs)
}
