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

	"cleatpick/internal/eventloop"
	"cleatpick/internal/fake"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

const (
	machineType     = "m"
	readyTimeout    = 30 * time.Second
	measureInterval = time.Second
	memoryExceeded  = "load run stopped: controllers and load run use more memory than most_memory allows"
)

// run is a load run in progress, with everything that it started.
type run struct {
	settings     *Settings
	startedAt    time.Time
	state        *fake.StateService
	cloud        *fake.Cloud
	controllers  []*controller
	workers      *simulatedWorkers
	users        *users
	checker      *invariantChecker
	listeners    []net.Listener
	stateTraffic Traffic
	cloudTraffic Traffic
	background   sync.WaitGroup
	mu           sync.Mutex // guards err
	err          error
	// workerSeconds is the sum of the times that the workers were up, and maxWorkers the most that were up at a time.
	workerSeconds float64
	maxWorkers    int64
}

// Run executes a load run for the duration in the settings, or until the context ends, and returns its measurements.
// It returns an error, possibly together with the report, if the run could not start, stopped early for lack of memory, could
// not restart a controller or found invariant violations.
func Run(ctx context.Context, s *Settings) (*Report, error) {
	dir, err := os.MkdirTemp("", "scalerun-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, stop := context.WithTimeout(ctx, time.Duration(s.DurationS*float64(time.Second)))
	defer stop()
	r := &run{settings: s, startedAt: time.Now(), checker: newInvariantChecker(time.Duration(s.Workers.CancelS * float64(time.Second)))}
	r.checker.measureFrom = r.startedAt.Add(time.Duration(s.WarmupS * float64(time.Second)))
	defer r.close()
	if err := r.start(ctx, dir); err != nil {
		return nil, err
	}
	r.background.Go(func() { r.users.submitJobs(s.Seed) })
	for _, f := range s.Faults {
		r.background.Go(func() { r.injectFault(ctx, f) })
	}
	r.monitor(ctx, stop)
	stop()
	r.background.Wait()
	r.users.goroutines.Wait()
	report := r.report()
	if r.err != nil {
		return report, r.err
	}
	if report.BrokenRules > 0 {
		return report, fmt.Errorf("load run found %d invariant violations", report.BrokenRules)
	}
	return report, nil
}

// start starts the fake services, the simulated workers and users and the controllers, and waits until the
// controllers accept connections.
func (r *run) start(ctx context.Context, dir string) error {
	s, clock := r.settings, eventloop.RealClock()
	r.state = fake.NewStateService(clock.Now)
	r.state.SetLimits(&fake.Limits{RPS: s.State.RPS, WriteRPS: s.State.WriteRPS, ValueBytes: s.State.ValueKB << 10, TxnOps: s.State.TxnOps})
	var zones []string
	for i := range s.Zones {
		zones = append(zones, zoneName(i))
	}
	r.cloud = fake.NewCloud(wire.MachineType{Name: machineType, CPUs: s.MachineCPUs, MemoryGB: machineMemoryGB, CacheGB: 60, FetchGBPerS: 1, Price: 1, SpotPrice: 0.3, BootS: s.BootS, Zones: zones},
		(s.Machines+s.Zones-1)/s.Zones)
	r.cloud.Now, r.cloud.ListLag, r.cloud.Addr = clock.Now, eventloop.Seconds(listLagS/2), machineAddress
	r.workers = newSimulatedWorkers(ctx, s, clock, r.checker)
	r.cloud.OnRented, r.cloud.OnDeleted = r.workers.boot, r.workers.remove
	state, err := r.serve(&r.stateTraffic, func(m, p string, b []byte) store.Response { return answerStateRequest(r.state, m, p, b) })
	if err != nil {
		return err
	}
	cloud, err := r.serve(&r.cloudTraffic, func(m, p string, b []byte) store.Response { return r.cloud.Do(m, p, b, 0) })
	if err != nil {
		return err
	}
	if r.controllers, err = newControllers(s, dir, state, cloud); err != nil {
		return err
	}
	r.workers.controllers = r.controllers
	r.users = newUsers(ctx, s, r.checker, r.controllers)
	first := s.Binary
	if s.EarlierBinary != "" {
		first = s.EarlierBinary
	}
	for _, c := range r.controllers {
		if err := c.start(first); err != nil {
			return err
		}
	}
	for _, c := range r.controllers {
		if err := c.waitReady(readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

// serve starts a fake service on a loopback address and returns the address.
func (r *run) serve(t *Traffic, do func(method, path string, body []byte) store.Response) (string, error) {
	ln, err := listen()
	if err != nil {
		return "", err
	}
	r.listeners = append(r.listeners, ln)
	go serveOn(ln, t, do)
	return ln.Addr().String(), nil
}

// injectFault injects a fault at its time and ends it after its duration.
func (r *run) injectFault(ctx context.Context, f Fault) {
	if !sleep(ctx, time.Duration(f.AtS*float64(time.Second))) {
		return
	}
	duration := time.Duration(f.ForS * float64(time.Second))
	switch f.Kind {
	case KillController:
		c := r.controllers[0]
		c.kill()
		if sleep(ctx, duration) {
			r.recordError(c.start(r.settings.Binary))
		}
	case SilenceZone:
		r.workers.silentZones[f.Zone].Store(true)
		sleep(ctx, duration)
		r.workers.silentZones[f.Zone].Store(false)
	case PauseState:
		r.state.SetDown(true)
		sleep(ctx, duration)
		r.state.SetDown(false)
	case ReplaceAll:
		for _, c := range r.controllers {
			c.kill()
			r.recordError(c.start(r.settings.Binary))
			if !sleep(ctx, duration) {
				return
			}
		}
	}
}

// recordError records an error of a background goroutine, unless there was one before or err is nil.
func (r *run) recordError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil && r.err == nil {
		r.err = err
	}
}

// monitor measures the processes and checks invariants periodically until the run ends. It stops the run if the
// processes use too much memory.
func (r *run) monitor(ctx context.Context, stop context.CancelFunc) {
	for sleep(ctx, measureInterval) {
		var own runtime.MemStats
		runtime.ReadMemStats(&own)
		all := float64(own.Sys) / (1 << 20)
		for _, c := range r.controllers {
			c.measure()
			c.mu.Lock()
			all += c.usage.PeakMB
			c.mu.Unlock()
		}
		if all > r.settings.MaxMemoryGiB*1024 {
			r.recordError(errors.New(memoryExceeded))
			stop()
		}
		r.checker.checkCancelled(time.Now())
		alive := r.workers.alive.Load()
		r.workerSeconds += float64(alive) * measureInterval.Seconds()
		r.maxWorkers = max(r.maxWorkers, alive)
	}
}

// close stops the controllers, services and workers.
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
