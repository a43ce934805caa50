package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// world is one run of a case: the controllers as processes of the project's own program, and the stand-ins.
type world struct {
	ctx         context.Context
	cancel      context.CancelFunc
	began       time.Time
	dir         string // temporary folder with the settings and logs
	nodes       []*controller
	state       *stateService
	cloud       *cloudService
	lease       time.Duration
	reportEvery time.Duration
	trouble     bool

	mu      sync.Mutex
	out     *os.File
	jobs    map[string]jobSpec
	workers map[string]*worker
	starts  map[string]int                     // by task: how often it got on a machine
	on      map[string]map[string]reportedTask // by task: on which machines an attempt has its image and has not ended
	ended   map[string]int                     // by task: how often it completed
	// onStart is called, without the lock, when a task gets on a machine; others are the machines on which it is already.
	onStart func(task, machine string, others []string)
}

type team struct {
	name         string
	cpus, cpuMax float64
}

// deployment holds what differs between the deployments of the cases.
type deployment struct {
	site                     string
	zones                    []string
	teams                    []team
	reportS, leaseS, cancelS float64
	rps, writeRPS, valueKB   float64
	cloudRPS, lagS           float64
	cores, ramMB             float64
	sockets                  int
	types                    []machineType
	free                     int     // machines that the cloud can rent
	bootS                    float64 // how long a machine takes to boot
}

type controller struct {
	label, client, peer string
	settings            string
	run                 []string
	cmd                 *exec.Cmd
	log                 *os.File
	ended               chan struct{}
}

func (w *world) must(err error) {
	if err != nil {
		w.couldNotRun("%v", err)
	}
}

// couldNotRun ends the run with the code for a case that couldn't run.
func (w *world) couldNotRun(format string, args ...any) {
	w.record("the case could not run: "+format, args...)
	w.close()
	os.Exit(2)
}

// verdict ends the run.
func (w *world) verdict(broken bool, format string, args ...any) {
	word, code := "RULE HELD: ", 0
	if broken {
		word, code = "RULE BROKEN: ", 1
	}
	w.record(word+format, args...)
	fmt.Printf(word+format+"\n", args...)
	w.close()
	os.Exit(code)
}

func (w *world) record(format string, args ...any) {
	line := fmt.Sprintf("%7.2f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.out != nil {
		w.out.WriteString(line)
	}
}

// close ends all processes that the run started.
func (w *world) close() {
	w.cancel()
	for _, n := range w.nodes {
		n.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs are in", w.dir)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.out.Close()
	w.out = nil
}

func freeAddress() string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// newWorld prepares a run: the stand-ins serve, and the settings of three controllers are written.
func newWorld(folder string, run []string, d deployment) *world {
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{ctx: ctx, cancel: cancel, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0",
		lease: time.Duration(d.leaseS * float64(time.Second)), reportEvery: time.Duration(d.reportS * float64(time.Second)),
		jobs: map[string]jobSpec{}, workers: map[string]*worker{}, on: map[string]map[string]reportedTask{}, ended: map[string]int{}, starts: map[string]int{}}
	var err error
	if w.out, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w.dir, err = os.MkdirTemp("", "review-")
	w.must(err)
	w.record("site %s, disruption: %v", d.site, w.trouble)
	w.endOnSignal()
	time.AfterFunc(117*time.Second, func() { w.couldNotRun("the time is over") })
	w.state = newStateService(d.rps, d.writeRPS, d.valueKB, 16)
	go w.state.expire()
	w.cloud = newCloud(d.cloudRPS, d.lagS, d.free, d.bootS, d.types...)
	w.cloud.record = w.record
	w.cloud.onRent = func(m *cloudMachine) string {
		for _, t := range d.types {
			if t.Label == m.build {
				return w.bootWorker(m, t)
			}
		}
		return ""
	}
	w.cloud.onDelete = func(name string) {
		w.mu.Lock()
		x := w.workers[name]
		w.mu.Unlock()
		x.remove()
	}
	state, cloud := w.serve(w.state), w.serve(w.cloud)
	for i := range 3 {
		w.nodes = append(w.nodes, &controller{label: fmt.Sprintf("stall-%d", i), client: freeAddress(), peer: freeAddress(), run: run})
	}
	for i, n := range w.nodes {
		var b strings.Builder
		fmt.Fprintf(&b, "label = %q\nsite = %q\nclient_listen = %q\npeer_listen = %q\n", n.label, d.zones[i%len(d.zones)], n.client, n.peer)
		for k, o := range w.nodes {
			if k != i {
				fmt.Fprintf(&b, "\n[[known]]\nlabel = %q\nsite = %q\nendpoint = %q\n", o.label, d.zones[k%len(d.zones)], o.peer)
			}
		}
		fmt.Fprintf(&b, "\n[outside]\ncloud = %q\nstate = %q\n", cloud, state)
		fmt.Fprintf(&b, "\n[cluster]\nnodes = 3\nzones = [\"%s\"]\nclock_off_ms = 100.0\n", strings.Join(d.zones, "\", \""))
		for _, t := range d.teams {
			fmt.Fprintf(&b, "\n[[cluster.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", t.name, t.cpus, t.cpuMax)
		}
		fmt.Fprintf(&b, "\n[cluster.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 30.0\ngang_peer_s = 8.0\ncancel_s = %.1f\n", d.reportS, d.leaseS, d.cancelS)
		fmt.Fprintf(&b, "\n[cluster.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = 16\n", d.rps, d.writeRPS, d.valueKB)
		fmt.Fprintf(&b, "\n[cluster.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", d.cloudRPS, d.lagS)
		fmt.Fprintf(&b, "\n[cluster.limits]\ncores = %.2f\nram_mb = %.1f\nmax_sockets = %d\n", d.cores, d.ramMB, d.sockets)
		n.settings = filepath.Join(w.dir, n.label+".toml")
		w.must(os.WriteFile(n.settings, []byte(b.String()), 0o600))
		n.log, err = os.Create(filepath.Join(w.dir, n.label+".log"))
		w.must(err)
	}
	return w
}

func (w *world) serve(h http.Handler) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	w.must(err)
	go (&http.Server{Handler: h}).Serve(ln)
	return ln.Addr().String()
}

// start starts a controller with the command of the deploy file, its settings file appended.
func (w *world) start(n *controller) {
	n.cmd = exec.Command(n.run[0], append(append([]string{}, n.run[1:]...), n.settings)...)
	n.cmd.Stderr = n.log
	n.cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	w.must(n.cmd.Start())
	n.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		c.Wait()
		close(ended)
	}(n.cmd, n.ended)
	w.record("%s: started", n.label)
}

func logLevel() string {
	if l := os.Getenv("LOG_LEVEL"); l != "" {
		return l
	}
	return "info"
}

func (n *controller) kill() {
	if n.cmd != nil && n.cmd.Process != nil {
		n.cmd.Process.Signal(syscall.SIGCONT)
		n.cmd.Process.Kill()
		<-n.ended
		n.cmd = nil
	}
}

func (n *controller) healthy() bool {
	status, _ := exchange(context.Background(), n.client, "GET", "/healthz", nil, time.Second)
	return status == 200
}

// waitFor waits until a condition holds, and reports whether it did in time.
func (w *world) waitFor(limit time.Duration, cond func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if cond() {
			return true
		}
	}
	return false
}

func (w *world) job(id string) (jobSpec, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	return j, ok
}

// taskChanged keeps on which machines each task is: from when it has its image until it ends.
func (w *world) taskChanged(machine string, t reportedTask) {
	w.record("worker %s: %s try %d is %s %s", machine, t.Snap, t.Try, t.Standing, t.Call)
	w.mu.Lock()
	on := w.on[t.Snap]
	if on == nil {
		on = map[string]reportedTask{}
		w.on[t.Snap] = on
	}
	if t.Call == "done" {
		w.ended[t.Snap]++
	}
	var others []string
	was, is := on[machine].Snap != "", t.Standing == "running" || t.Standing == "saving"
	switch {
	case is && !was:
		for m := range on {
			others = append(others, m)
		}
		on[machine] = t
		w.starts[t.Snap]++
	case t.Standing == "ended" && was && on[machine].Try == t.Try:
		delete(on, machine)
	}
	f := w.onStart
	w.mu.Unlock()
	if is && !was && f != nil {
		f(t.Snap, machine, others)
	}
}

// running counts the tasks of a job that are on machines.
func (w *world) running(id string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, on := range w.on {
		if strings.HasPrefix(task, id+"/") {
			n += len(on)
		}
	}
	return n
}

// submission is what a user submits.
type submission struct {
	id, class, team, kind, urgency string
	tasks                          int
	cpus, ramGB                    float64
	kit                            string
	sizeGB                         float64
	builds, field                  any
	loaners                        bool
	expectS                        float64
	runS                           float64
}

// user sends a user's request to the nodes in turn until it gets one of the wanted statuses, as users do.
func (w *world) user(method, path string, body []byte, want ...int) (int, jobAnswer) {
	end := time.Now().Add(60 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		n := w.nodes[i%len(w.nodes)]
		status, reply := exchange(w.ctx, n.client, method, path, body, 5*time.Second)
		var a jobAnswer
		cbor.Unmarshal(reply, &a)
		w.record("user: %s %s at %s: %d %+v", method, path, n.label, status, a)
		for _, s := range want {
			if status == s {
				return status, a
			}
		}
		time.Sleep(time.Second)
	}
	return 0, jobAnswer{}
}

type jobAnswer struct {
	ID       string `cbor:"nameId"`
	Standing string `cbor:"standing"`
	Done     int    `cbor:"done"`
	Running  int    `cbor:"running"`
}

// submit submits a job, whose description the user has uploaded before.
func (w *world) submit(s submission) {
	w.mu.Lock()
	w.jobs[s.id] = jobSpec{cpus: s.cpus, ramGB: s.ramGB, sizeGB: s.sizeGB, runS: s.runS, service: s.kind == "daemon", kit: s.kit}
	w.mu.Unlock()
	body := encode(map[string]any{"nameId": s.id, "lineup": s.class, "squad": s.team, "play": s.kind, "urgency": s.urgency, "snaps": s.tasks,
		"cpus": s.cpus, "cards": 0.0, "ramGb": s.ramGB, "kit": s.kit, "sizeGb": s.sizeGB, "builds": s.builds, "field": s.field, "oneZone": false, "scatter": false,
		"loaners": s.loaners, "expectS": s.expectS, "timeoutS": 0.0, "huddleS": 0.0, "whistleS": nil})
	if status, _ := w.user("POST", "/work", body, 200, 201); status == 0 {
		w.couldNotRun("%s was not accepted", s.id)
	}
}

// startAll starts the controllers and waits until all are healthy.
func (w *world) startAll() {
	for _, n := range w.nodes {
		w.start(n)
	}
	w.awaitHealthy(20 * time.Second)
}

func (w *world) awaitHealthy(limit time.Duration) {
	if !w.waitFor(limit, func() bool {
		for _, n := range w.nodes {
			if !n.healthy() {
				return false
			}
		}
		return true
	}) {
		w.couldNotRun("the controllers did not become healthy")
	}
	w.record("all controllers are healthy")
}

func init() {
	runtime.LockOSThread() // controllers end with the thread that started them
}

// count returns how often tasks of a job got on a machine, and how often they completed.
func (w *world) count(id string) (started, completed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, n := range w.ended {
		if strings.HasPrefix(task, id+"/") {
			completed += n
		}
	}
	for task, n := range w.starts {
		if strings.HasPrefix(task, id+"/") {
			started += n
		}
	}
	return started, completed
}
