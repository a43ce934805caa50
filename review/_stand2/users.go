package main

import (
	"fmt"
	"time"

	"cleatpick/internal/wire"

	"github.com/valyala/fasthttp"
)

var userClient = &fasthttp.Client{MaxConnsPerHost: 500, MaxIdleConnDuration: 10 * time.Second, MaxIdemponentCallAttempts: 1,
	RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}

func taskName(id string, i int) string { return fmt.Sprintf("%s/%d", id, i) }

// ask makes a user's request to a controller.
func (w *world) ask(i int, method, path string, body any) (int, wire.JobStatus) {
	var raw []byte
	if body != nil {
		raw = wire.Marshal(body)
	}
	timeout := 5 * time.Second
	if method == "GET" {
		timeout = 2 * time.Second
	}
	status, b := exchange(userClient, method, w.nodes[i].client, path, raw, timeout)
	var s wire.JobStatus
	wire.Unmarshal(b, &s)
	return status, s
}

func (w *world) healthy(i int) bool {
	status, _ := exchange(userClient, "GET", w.nodes[i].client, "/healthz", nil, time.Second)
	return status == 200
}

// job is a submission.
type job struct {
	id, team, urgency string
	tasks             int
	cpus, mem, runS   float64
	field             any
	daemon            bool
	loaners           bool
}

func (j job) body() map[string]any {
	play, expect := "batch", j.runS
	if j.daemon {
		play, expect = "daemon", 0
	}
	if j.urgency == "" {
		j.urgency = "standard"
	}
	return map[string]any{"nameId": j.id, "lineup": "timestamp-renew", "squad": j.team, "play": play, "urgency": j.urgency, "snaps": j.tasks,
		"cpus": j.cpus, "cards": 0.0, "ramGb": j.mem, "kit": "img-07", "sizeGb": 0.5, "builds": nil, "field": j.field, "oneZone": false, "scatter": false, "loaners": j.loaners,
		"expectS": expect, "timeoutS": 0.0, "huddleS": 0.0, "whistleS": nil}
}

// submit submits a job as a user does: for up to 60 s, at one controller after the other.
func (w *world) submit(first int, j job) {
	w.fleet.mu.Lock()
	w.fleet.jobs[j.id] = jobSpec{j.cpus, j.mem, j.runS, j.tasks}
	w.fleet.mu.Unlock()
	end := time.Now().Add(60 * time.Second)
	for n := first; time.Now().Before(end); n++ {
		i := n % len(w.nodes)
		status, s := w.ask(i, "POST", "/work", j.body())
		if status == 200 || status == 201 {
			w.f("user: %s: %s is accepted: %d %s (%d tasks of %v CPUs)", w.nodes[i].label, j.id, status, s.State, j.tasks, j.cpus)
			return
		}
		w.f("user: %s: submission of %s: %d", w.nodes[i].label, j.id, status)
		time.Sleep(time.Second)
	}
	need(false, "%s was never accepted", j.id)
}
