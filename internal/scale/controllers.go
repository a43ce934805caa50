package scale

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// controller is a controller that can be started and killed several times. At most one process of it runs at a time.
type controller struct {
	label        string
	clientAddr   string // address for users and workers
	peerAddr     string // address for other controllers
	settingsFile string // path of the settings file
	logFile      *os.File

	mu              sync.Mutex
	process         *exec.Cmd
	exited          chan struct{} // closed when the process has exited
	unexpectedExits int           // exits that the load run did not cause
	usage           Usage
}

// Usage is the resources that the processes of a controller used.
type Usage struct {
	CPUSeconds float64 // of the processes that the load run killed
	PeakMB     float64
	ReadBytes  int64 // of the newest process, by system calls, including on sockets
	WroteBytes int64 // likewise
}

// freeLoopbackAddress returns a loopback address whose port is free at present.
func freeLoopbackAddress() (string, error) {
	ln, err := listen()
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// newControllers prepares the controllers of a run and writes their settings to dir. It does not start them.
func newControllers(s *Settings, dir, state, cloud string) ([]*controller, error) {
	var all []*controller
	for i := range s.Controllers {
		clientAddr, err := freeLoopbackAddress()
		if err != nil {
			return nil, err
		}
		peerAddr, err := freeLoopbackAddress()
		if err != nil {
			return nil, err
		}
		all = append(all, &controller{label: fmt.Sprintf("controller-%d", i), clientAddr: clientAddr, peerAddr: peerAddr})
	}
	for i, c := range all {
		raw, err := toml.Marshal(controllerSettings(s, all, i, state, cloud))
		if err != nil {
			return nil, err
		}
		c.settingsFile = filepath.Join(dir, c.label+".toml")
		if err := os.WriteFile(c.settingsFile, raw, 0o600); err != nil {
			return nil, err
		}
		if c.logFile, err = os.Create(filepath.Join(dir, c.label+".log")); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// start starts a process of the given binary, unless one is running.
func (c *controller) start(binary string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process != nil {
		return nil
	}
	p := exec.Command(binary, "--config", c.settingsFile)
	p.Stderr = c.logFile
	p.Env = append(os.Environ(), "LOG_LEVEL=info")
	if err := p.Start(); err != nil {
		return fmt.Errorf("%s: %w", c.label, err)
	}
	c.process, c.exited = p, make(chan struct{})
	go c.wait(p, c.exited)
	return nil
}

// wait waits for the process to exit and counts the exit as unexpected unless kill caused it.
func (c *controller) wait(p *exec.Cmd, exited chan struct{}) {
	p.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == p {
		c.process = nil
		c.unexpectedExits++
	}
	close(exited)
}

// kill kills the process, waits for its exit and adds up the processor time that it used.
func (c *controller) kill() {
	c.measure()
	c.mu.Lock()
	p, exited := c.process, c.exited
	c.process = nil
	c.mu.Unlock()
	if p == nil {
		return
	}
	p.Process.Kill()
	<-exited
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := p.ProcessState; t != nil {
		c.usage.CPUSeconds += (t.UserTime() + t.SystemTime()).Seconds()
	}
}

// measure updates the usage from the files of the running process in /proc.
func (c *controller) measure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil {
		return
	}
	dir := fmt.Sprintf("/proc/%d/", c.process.Process.Pid)
	if status, err := os.ReadFile(dir + "status"); err == nil {
		c.usage.PeakMB = max(c.usage.PeakMB, float64(procField(status, "VmHWM:"))/1024)
	}
	if io, err := os.ReadFile(dir + "io"); err == nil {
		c.usage.ReadBytes, c.usage.WroteBytes = procField(io, "rchar:"), procField(io, "wchar:")
	}
}

// procField returns the number that follows a name at the start of a line of a /proc file, or 0.
func procField(file []byte, name string) int64 {
	for line := range bytes.Lines(file) {
		if rest, ok := strings.CutPrefix(string(line), name); ok {
			n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n
		}
	}
	return 0
}

// waitReady waits until the controller accepts connections, and returns an error if it does not within the given time.
func (c *controller) waitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if conn, err := net.DialTimeout("tcp4", c.clientAddr, time.Second); err == nil {
			return conn.Close()
		}
	}
	return errors.New(c.label + " does not accept connections")
}
