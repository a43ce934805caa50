package scale

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime"
	"sync"
	"time"

	"cleatpick/internal/loop"
	"cleatpick/internal/standin"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

const (
	machineType   = "m"
	readyWithin   = 30 * time.Second
	measureEvery  = time.Second
	memoryWarning = "the run uses more memory than it may"
)

// run is all that a run has started.
type run struct {
	settings    *Settings
	began       time.Time
	state       *standin.State
	cloud       *standin.Cloud
	controllers []*controller
	workers     *workers
	users       *users
	referee     *referee
	listeners   []net.Listener
	stateT      Traffic
	cloudT      Traffic
	background  sync.WaitGroup
	mu          sync.Mutex // guards err
	err         error
	// workerSeconds is how long all workers were up, and mostWorkers how many at a time.
	workerSeconds float64
	mostWorkers   int64
}

// Run plays the settings to their end, or until the context ends, and tells what it measured.
func Run(ctx context.Context, s *Settings) (*Report, error) {
	dir, err := os.MkdirTemp("", "scalerun-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, stop := context.WithTimeout(ctx, time.Duration(s.DurationS*float64(time.Second)))
	defer stop()
	r := &run{settings: s, began: time.Now(), referee: newReferee(time.Duration(s.Workers.CancelS * float64(time.Second)))}
	r.referee.timedFrom = r.began.Add(time.Duration(s.WarmupS * float64(time.Second)))
	defer r.close()
	if err := r.start(ctx, dir); err != nil {
		return nil, err
	}
	r.background.Go(func() { r.users.arrive(s.Seed) })
	for _, f := range s.Faults {
		r.background.Go(func() { r.fault(ctx, f) })
	}
	r.watch(ctx, stop)
	stop()
	r.background.Wait()
	r.users.running.Wait()
	report := r.report()
	if r.err != nil {
		return report, r.err
	}
	if report.BrokenRules > 0 {
		return report, fmt.Errorf("%d broken rules", report.BrokenRules)
	}
	return report, nil
}

// start brings up the services and the controllers.
func (r *run) start(ctx context.Context, dir string) error {
	s, clock := r.settings, loop.RealClock()
	r.state = standin.NewState(clock.Now)
	r.state.SetLimits(&standin.Limits{RPS: s.State.RPS, WriteRPS: s.State.WriteRPS, ValueBytes: s.State.ValueKB << 10, TxnOps: s.State.TxnOps})
	var zones []string
	for i := range s.Zones {
		zones = append(zones, zoneName(i))
	}
	r.cloud = standin.NewCloud(wire.MachineType{Name: machineType, CPUs: s.MachineCPUs, MemoryGB: machineMemory, CacheGB: 60, FetchGBPerS: 1, Price: 1, SpotPrice: 0.3, BootS: s.BootS, Zones: zones},
		(s.Machines+s.Zones-1)/s.Zones)
	r.cloud.Now, r.cloud.Lag, r.cloud.Addr = clock.Now, loop.Seconds(listLagS/2), address
	r.workers = newWorkers(ctx, s, clock, r.referee)
	r.cloud.Up, r.cloud.Gone = r.workers.up, r.workers.gone
	state, err := r.serve(&r.stateT, func(m, p string, b []byte) store.Response { return stateRequest(r.state, m, p, b) })
	if err != nil {
		return err
	}
	cloud, err := r.serve(&r.cloudT, func(m, p string, b []byte) store.Response { return r.cloud.Do(m, p, b, 0) })
	if err != nil {
		return err
	}
	if r.controllers, err = newControllers(s, dir, state, cloud); err != nil {
		return err
	}
	r.workers.nodes = r.controllers
	r.users = newUsers(ctx, s, r.referee, r.controllers)
	first := s.Binary
	if s.EarlierBinary != "" {
		first = s.EarlierBinary
	}
	for _, c := range r.controllers {
		if err := c.begin(first); err != nil {
			return err
		}
	}
	for _, c := range r.controllers {
		if err := c.answers(readyWithin); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) serve(t *Traffic, do func(method, path string, body []byte) store.Response) (string, error) {
	ln, err := listen()
	if err != nil {
		return "", err
	}
	r.listeners = append(r.listeners, ln)
	go serveOn(ln, t, do)
	return ln.Addr().String(), nil
}

// fault lets something go wrong at its time.
func (r *run) fault(ctx context.Context, f Fault) {
	if !sleep(ctx, time.Duration(f.AtS*float64(time.Second))) {
		return
	}
	lasts := time.Duration(f.ForS * float64(time.Second))
	switch f.Kind {
	case KillController:
		c := r.controllers[0]
		c.kill()
		if sleep(ctx, lasts) {
			r.note(c.begin(r.settings.Binary))
		}
	case SilenceZone:
		r.workers.silent[f.Zone].Store(true)
		sleep(ctx, lasts)
		r.workers.silent[f.Zone].Store(false)
	case PauseState:
		r.state.SetDown(true)
		sleep(ctx, lasts)
		r.state.SetDown(false)
	case ReplaceAll:
		for _, c := range r.controllers {
			c.kill()
			r.note(c.begin(r.settings.Binary))
			if !sleep(ctx, lasts) {
				return
			}
		}
	}
}

// note keeps the first error of what runs beside.
func (r *run) note(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil && r.err == nil {
		r.err = err
	}
}

// watch measures the processes until the run ends, and ends it where it takes too much memory.
func (r *run) watch(ctx context.Context, stop context.CancelFunc) {
	for sleep(ctx, measureEvery) {
		var own runtime.MemStats
		runtime.ReadMemStats(&own)
		all := float64(own.Sys) / (1 << 20)
		for _, c := range r.controllers {
			c.measure()
			c.mu.Lock()
			all += c.used.PeakMB
			c.mu.Unlock()
		}
		if all > r.settings.MostMemory*1024 {
			r.note(errors.New(memoryWarning))
			stop()
		}
		r.referee.stillCancelled(time.Now())
		alive := r.workers.alive.Load()
		r.workerSeconds += float64(alive) * measureEvery.Seconds()
		r.mostWorkers = max(r.mostWorkers, alive)
	}
}

// close ends everything that was started.
func (r *run) close() {
	for _, c := range r.controllers {
		c.kill()
		if c.logFile != nil {
			c.logFile.Close()
		}
	}
	for _, ln := range r.listeners {
		ln.Close()
	}
	if r.workers != nil {
		r.workers.close()
	}
}
