// Command stand2 runs the cases 4 to 8 of the review: it starts the controllers as separate processes, with the commands of
// the deploy file, and plays the state service, the cloud, the workers and the users on loopback addresses.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/wire"

	"github.com/pelletier/go-toml/v2"
)

// record is the file in which a run writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) f(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// settings are the settings of a case, in the terms of the platform's settings file.
type settings struct {
	nodes              int
	zones              []string
	teams              []config.Team
	report, lease, can float64
	rps, writeRPS      float64
	valueKB            float64
	cloudRPS, listLag  float64
	ramMB              float64
	sockets            int
	types              []wire.MachineType
	perZone            int // machines that can be rented in each zone
	bootS              float64
}

// world is everything around the controllers, and the controllers' processes.
type world struct {
	*record
	s     settings
	clock eventloop.Clock
	dir   string
	ctx   context.Context
	stop  context.CancelFunc
	state *stateService
	cloud *cloud
	fleet *fleet
	nodes []*node
}

// node is a controller's process.
type node struct {
	label, client, peer, settingsFile string
	log                               *os.File
	mu                                sync.Mutex
	cmd                               *exec.Cmd
	exited                            chan struct{}
}

var deployRun = regexp.MustCompile(`(?m)^run\s*=\s*"([^"]*)"`)

// runCommand reads the command that starts a controller from the deploy file.
func runCommand() ([]string, error) {
	raw, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	m := deployRun.FindSubmatch(raw)
	if m == nil {
		return nil, errors.New("deploy/service.toml has no run command")
	}
	return strings.Fields(string(m[1])), nil
}

func listen() net.Listener {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	return ln
}

// broken ends the run with exit code 2: the case could not run.
type broken struct{ why string }

func check(err error) {
	if err != nil {
		panic(broken{err.Error()})
	}
}

func need(ok bool, format string, args ...any) {
	if !ok {
		panic(broken{fmt.Sprintf(format, args...)})
	}
}

// newWorld starts the stand-ins and prepares the controllers without starting them.
func newWorld(r *record, s settings) *world {
	dir, err := os.MkdirTemp("", "review2-")
	check(err)
	ctx, stop := context.WithCancel(context.Background())
	w := &world{record: r, s: s, clock: eventloop.RealClock(), dir: dir, ctx: ctx, stop: stop}
	current = w
	w.state = newStateService(w)
	w.cloud = newCloud(w)
	w.fleet = newFleet(w)
	var free []net.Listener
	for i := range s.nodes {
		c, p := listen(), listen()
		free = append(free, c, p)
		w.nodes = append(w.nodes, &node{label: fmt.Sprintf("stall-%d", i), client: c.Addr().String(), peer: p.Addr().String()})
	}
	for i, n := range w.nodes {
		raw, err := toml.Marshal(w.platform(i))
		check(err)
		n.settingsFile = filepath.Join(dir, n.label+".toml")
		check(os.WriteFile(n.settingsFile, raw, 0o600))
		n.log, err = os.Create(filepath.Join(dir, n.label+".log"))
		check(err)
	}
	for _, ln := range free {
		ln.Close()
	}
	return w
}

// platform is the settings file of a controller.
func (w *world) platform(i int) config.Platform {
	var p config.Platform
	n := w.nodes[i]
	zone := func(i int) string { return w.s.zones[i%len(w.s.zones)] }
	p.Label, p.Site, p.ClientListen, p.PeerListen = n.label, zone(i), n.client, n.peer
	p.Outside.State, p.Outside.Cloud = w.state.listen(), w.cloud.addr
	for j, o := range w.nodes {
		if j != i {
			p.Known = append(p.Known, config.Peer{Label: o.label, Site: zone(j), Endpoint: o.peer})
		}
	}
	c := &p.Cluster
	c.Nodes, c.Zones, c.ClockOffMS, c.Teams = w.s.nodes, w.s.zones, 100, w.s.teams
	c.Workers.ReportS, c.Workers.LeaseS, c.Workers.CancelS = w.s.report, w.s.lease, w.s.can
	c.State.RPS, c.State.WriteRPS, c.State.ValueKB, c.State.TxnOps = w.s.rps, w.s.writeRPS, w.s.valueKB, 16
	c.Cloud.RPS, c.Cloud.ListLagS = w.s.cloudRPS, w.s.listLag
	c.Limits.Cores, c.Limits.RAMMB, c.Limits.MaxSockets = 0.42, w.s.ramMB, w.s.sockets
	return p
}

// start starts a controller's process.
func (w *world) start(i int) {
	n := w.nodes[i]
	args, err := runCommand()
	check(err)
	args = append(args, n.settingsFile)
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Stderr = n.log
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	w.f("controller %s started", n.label)
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	go func() {
		cmd.Wait()
		close(exited)
	}()
}

func logLevel() string {
	if l := os.Getenv("LOG_LEVEL"); l != "" {
		return l
	}
	return "info"
}

// kill kills a controller's process and waits for its end.
func (w *world) kill(i int) {
	n := w.nodes[i]
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.cmd = nil
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	w.f("controller %s killed", n.label)
	cmd.Process.Kill()
	<-exited
}

// close ends all processes that the run started.
func (w *world) close() {
	for i := range w.nodes {
		w.kill(i)
	}
	w.stop()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", w.dir)
		return
	}
	os.RemoveAll(w.dir)
}

// logged counts the lines of the controllers' logs that match.
func (w *world) logged(i int, re string) []string {
	raw, _ := os.ReadFile(filepath.Join(w.dir, w.nodes[i].label+".log"))
	var out []string
	x := regexp.MustCompile(re)
	for line := range strings.Lines(string(raw)) {
		if x.MatchString(line) {
			out = append(out, strings.TrimSpace(line))
		}
	}
	return out
}

// peak returns the most memory that a controller's process has used so far, as the system tells it, or "unknown".
func (w *world) peak(i int) string {
	n := w.nodes[i]
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
		if m := regexp.MustCompile(`VmHWM:\s*(\d+ kB)`).FindSubmatch(raw); m != nil {
			return string(m[1])
		}
	}
	return "unknown"
}

// until polls a condition and reports whether it came true in time.
func until(within time.Duration, cond func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if cond() {
			return true
		}
	}
	return cond()
}

// startAll starts all controllers and waits until all are healthy.
func (w *world) startAll() {
	for i := range w.nodes {
		w.start(i)
	}
	for i := range w.nodes {
		need(until(20*time.Second, func() bool { return w.healthy(i) }), "controller %d is not healthy", i)
	}
}
