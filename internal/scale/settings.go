// Package scale executes load runs: it runs real controllers as processes and simulates everything else in its own
// process, on loopback addresses. It simulates thousands of workers that speak the real protocol but run no tasks, users
// that submit, poll and cancel jobs, and a state service and a cloud. The state service enforces the rate limits
// in the settings. A run injects faults, measures the traffic and resource usage of each part, and checks the
// invariants that are observable to users and workers.
//
// It is a tool for developers and not part of the service. A run stops everything that it started.
package scale

import (
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// FaultKind is a kind of injected fault.
type FaultKind string

// The kinds of faults; for_s is the duration in the settings.
const (
	KillController FaultKind = "kill_controller" // the first controller is killed and restarted after for_s
	SilenceZone    FaultKind = "silence_zone"    // for for_s, the workers of a zone neither report nor answer
	PauseState     FaultKind = "pause_state"     // for for_s, the state service answers 503
	ReplaceAll     FaultKind = "replace_all"     // controllers of the earlier binary are replaced one by one, for_s apart
)

// Fault is a fault and the time at which it begins, counted from when all controllers accept connections.
type Fault struct {
	AtS  float64   `toml:"at_s"`
	ForS float64   `toml:"for_s"`
	Kind FaultKind `toml:"kind"`
	Zone int       `toml:"zone"` // for SilenceZone: number of the zone, from 0
}

// Settings are the settings of a load run: its size, load, limits and faults. Times are in seconds.
type Settings struct {
	Seed        uint64  `toml:"seed"`
	DurationS   float64 `toml:"duration_s"`
	WarmupS     float64 `toml:"warmup_s"` // tasks of jobs submitted during the warm-up are not timed
	Controllers int     `toml:"controllers"`
	Teams       int     `toml:"teams"`
	Machines    int     `toml:"machines"`
	Zones       int     `toml:"zones"`
	MachineCPUs float64 `toml:"machine_cpus"`
	BootS       float64 `toml:"boot_s"`
	// Binary is the path of the controllers' program. If EarlierBinary is set, the controllers are first started from
	// that path.
	Binary        string `toml:"binary"`
	EarlierBinary string `toml:"earlier_binary"`
	Load          struct {
		JobsPerS       float64 `toml:"jobs_per_s"`
		Tasks          int     `toml:"tasks"` // average number of tasks of a job
		TaskCPUs       float64 `toml:"task_cpus"`
		RunS           float64 `toml:"run_s"`
		UrgentShare    float64 `toml:"urgent_share"`
		CancelledShare float64 `toml:"cancelled"` // share of the jobs that their users cancel
		Skew           float64 `toml:"skew"`      // exponent of the power law of the teams' shares of the work; 0: equal shares
		PollS          float64 `toml:"poll_s"`
	} `toml:"load"`
	Workers struct {
		ReportS float64 `toml:"report_s"`
		LeaseS  float64 `toml:"lease_s"`
		CancelS float64 `toml:"cancel_s"`
	} `toml:"workers"`
	State struct {
		RPS      float64 `toml:"rps"`
		WriteRPS float64 `toml:"write_rps"`
		ValueKB  int     `toml:"value_kb"`
		TxnOps   int     `toml:"txn_ops"`
	} `toml:"state"`
	// CopiedCommands is the share of executed direct commands of which a copy reaches the worker again.
	CopiedCommands     float64 `toml:"copied_commands"`
	CloudRPS           float64 `toml:"cloud_rps"`
	ControllerMemoryMB float64 `toml:"memory_mb"`   // memory limit in each controller's settings
	MaxMemoryGiB       float64 `toml:"most_memory"` // of the controllers and the load run together; the run stops beyond it
	Faults             []Fault `toml:"faults"`
}

// Load reads and checks a settings file. A missing most_memory is 11 GiB.
func Load(file string) (*Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Settings{MaxMemoryGiB: 11}
	if err := toml.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, s.check()
}

const (
	maxControllers = 40
	maxMachines    = 5000
	maxDurationS   = 900
	maxMemoryGiB   = 11.5
)

// check returns an error that names every invalid setting, or nil.
func (s *Settings) check() error {
	var errs []error
	checkRange := func(field string, v, least, most float64) {
		if !(v >= least && v <= most) {
			errs = append(errs, fmt.Errorf("%s: must be between %v and %v, is %v", field, least, most, v))
		}
	}
	checkRange("duration_s", s.DurationS, 5, maxDurationS)
	checkRange("warmup_s", s.WarmupS, 0, s.DurationS)
	checkRange("controllers", float64(s.Controllers), 1, maxControllers)
	checkRange("teams", float64(s.Teams), 1, 1000)
	checkRange("machines", float64(s.Machines), 1, maxMachines)
	checkRange("zones", float64(s.Zones), 1, 20)
	checkRange("machine_cpus", s.MachineCPUs, 1, 1000)
	checkRange("boot_s", s.BootS, 0, 120)
	checkRange("load.jobs_per_s", s.Load.JobsPerS, 0.01, 1000)
	checkRange("load.tasks", float64(s.Load.Tasks), 1, 10000)
	checkRange("load.task_cpus", s.Load.TaskCPUs, 0.01, s.MachineCPUs)
	checkRange("load.run_s", s.Load.RunS, 0.1, 3600)
	checkRange("load.urgent_share", s.Load.UrgentShare, 0, 1)
	checkRange("load.cancelled", s.Load.CancelledShare, 0, 1)
	checkRange("load.skew", s.Load.Skew, 0, 3)
	checkRange("load.poll_s", s.Load.PollS, 0.5, 60)
	checkRange("workers.report_s", s.Workers.ReportS, 0.5, 60)
	checkRange("workers.lease_s", s.Workers.LeaseS, 2, 600)
	checkRange("workers.cancel_s", s.Workers.CancelS, s.Workers.LeaseS+1, 900)
	checkRange("state.rps", s.State.RPS, 1, 1e6)
	checkRange("state.write_rps", s.State.WriteRPS, 1, 1e6)
	checkRange("state.value_kb", float64(s.State.ValueKB), 2, 1024)
	checkRange("state.txn_ops", float64(s.State.TxnOps), 5, 1000)
	checkRange("copied_commands", s.CopiedCommands, 0, 1)
	checkRange("cloud_rps", s.CloudRPS, 0.1, 1000)
	checkRange("memory_mb", s.ControllerMemoryMB, 32, 4096)
	checkRange("most_memory", s.MaxMemoryGiB, 0.1, maxMemoryGiB)
	if s.Binary == "" {
		errs = append(errs, errors.New("binary: must name a program, is empty"))
	}
	for i, f := range s.Faults {
		switch f.Kind {
		case KillController, SilenceZone, PauseState, ReplaceAll:
		default:
			errs = append(errs, fmt.Errorf("faults[%d].kind: unknown kind %q; must be kill_controller, silence_zone, pause_state or replace_all", i, f.Kind))
		}
		if f.Zone < 0 || f.Zone >= max(s.Zones, 1) {
			errs = append(errs, fmt.Errorf("faults[%d].zone: must be from 0 to less than zones, is %d", i, f.Zone))
		}
		if f.Kind == ReplaceAll && s.EarlierBinary == "" {
			errs = append(errs, fmt.Errorf("faults[%d]: replace_all needs earlier_binary, which is empty", i))
		}
	}
	return errors.Join(errs...)
}

// zoneName returns the name of a zone.
func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i) }
