// Package config loads a controller's settings: the file that the platform provides, which describes the
// cluster, and the operators' own file, which tunes the scheduler and is optional. It fills in the defaults of
// the operators' settings, validates both files and reports every invalid setting at once. It also derives
// each team's quota (guarantee, limits and weight) from the settings. Enforcing quotas, checking API keys and
// all other use of the settings is left to the packages that read them.
package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"

	"cleatpick/internal/eventloop"

	"github.com/pelletier/go-toml/v2"
)

// Peer is another controller.
type Peer struct {
	Label    string `toml:"label"`
	Site     string `toml:"site"`
	Endpoint string `toml:"endpoint"`
}

// Team is the guaranteed and the maximum CPUs and GPUs of a team. A maximum of 0 means that there is none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service level objective that the users state.
type Objective struct {
	Kind     string  `toml:"kind"`
	Class    string  `toml:"class"`
	WithinS  float64 `toml:"within_s"`
	WithinMS float64 `toml:"within_ms"`
	Share    float64 `toml:"share"`
}

// Platform is the settings file that the platform provides. Unknown fields are ignored.
type Platform struct {
	Label        string `toml:"label"`
	Site         string `toml:"site"`
	ClientListen string `toml:"client_listen"`
	PeerListen   string `toml:"peer_listen"`
	Known        []Peer `toml:"known"`
	Outside      struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"outside"`
	Cluster struct {
		Nodes      int         `toml:"nodes"`
		Zones      []string    `toml:"zones"`
		ClockOffMS float64     `toml:"clock_off_ms"`
		Teams      []Team      `toml:"teams"`
		Objectives []Objective `toml:"objectives"`
		Workers    struct {
			ReportS float64 `toml:"report_s"`
			LeaseS  float64 `toml:"lease_s"`
			CancelS float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			RPS      float64 `toml:"rps"`
			WriteRPS float64 `toml:"write_rps"`
			ValueKB  float64 `toml:"value_kb"`
			TxnOps   int     `toml:"txn_ops"`
		} `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Limits struct {
			Cores      float64 `toml:"cores"`
			RAMMB      float64 `toml:"ram_mb"`
			MaxSockets int     `toml:"max_sockets"`
		} `toml:"limits"`
	} `toml:"cluster"`
}

// Operator is the operators' own settings file. Defaults returns the values of settings that it does not set.
type Operator struct {
	// StandbyMeanS is the mean of the exponentially distributed time for which an empty spot machine is
	// retained before it is deleted.
	StandbyMeanS float64 `toml:"standby_mean_s"`
	// OrdinaryStandbyMeanS is the same mean for an ordinary machine, which costs more than a spot machine.
	OrdinaryStandbyMeanS float64 `toml:"ordinary_standby_mean_s"`
	// CloudCallIntervalS is the minimum interval between two cloud API calls of the leader; 0 derives it from the
	// cloud's request limit.
	CloudCallIntervalS float64 `toml:"cloud_call_s"`
	// NodeLeaseS is the time without a heartbeat after which other controllers take over a controller's partitions.
	NodeLeaseS float64 `toml:"node_lease_s"`
	// StartLifetimeS is the time after which a recorded start expires and may no longer be executed.
	StartLifetimeS float64 `toml:"start_life_s"`
	// SilentDeleteAfterS is the time without a report after which the leader deletes a machine, so that its tasks
	// can run elsewhere; 0 derives it from the workers' lease.
	SilentDeleteAfterS float64 `toml:"silent_delete_s"`
	// BootTimeoutFactor is the boot timeout of a machine as a multiple of its type's nominal boot time. A machine
	// that has not reported by then is replaced.
	BootTimeoutFactor float64 `toml:"boot_stuck_times"`
	// NumberedPartitions allows the layout of numbered partitions, each of which many teams share. The cluster
	// changes to it once all controllers allow it, and cannot change back. While one controller does not
	// allow it, each team is a separate partition, as in versions before 0.9.0.
	NumberedPartitions bool `toml:"numbered_partitions"`
	// API configures the HTTP interface under /v1/, which exists in addition to the CBOR protocol of users and workers.
	API API `toml:"api"`
}

// Key is an API key for the interface under /v1/. The settings hold only the hash of the key.
type Key struct {
	Name   string `toml:"name"`
	Role   string `toml:"role"`   // read, submit or operate
	SHA256 string `toml:"sha256"` // hash of the key, in hexadecimal
}

// API is the settings section of the interface under /v1/, which is disabled by default.
type API struct {
	Enabled bool  `toml:"enabled"`
	Keys    []Key `toml:"keys"`
}

// Config holds all settings of a controller.
type Config struct {
	Platform
	Operator Operator
}

// Defaults returns the operators' settings that apply where their file sets nothing.
func Defaults() Operator {
	return Operator{
		StandbyMeanS:         60,
		OrdinaryStandbyMeanS: 15,
		NodeLeaseS:           4,
		StartLifetimeS:       6,
		BootTimeoutFactor:    3.5,
		NumberedPartitions:   true,
	}
}

// Load reads and validates the platform's file and the operators' file. The operators' file name may be empty.
// The error lists every invalid setting, one per line.
func Load(platform, operator string) (*Config, error) {
	c := &Config{Operator: Defaults()}
	raw, err := os.ReadFile(platform)
	if err != nil {
		return nil, fmt.Errorf("platform settings: %w", err)
	}
	if err := toml.Unmarshal(raw, &c.Platform); err != nil {
		return nil, describeDecodeError(platform, err)
	}
	if operator != "" {
		raw, err := os.ReadFile(operator)
		if err != nil {
			return nil, fmt.Errorf("operator settings: %w", err)
		}
		if err := toml.Unmarshal(raw, &c.Operator); err != nil {
			return nil, describeDecodeError(operator, err)
		}
	}
	if err := c.Check(); err != nil {
		return nil, err
	}
	return c, nil
}

// describeDecodeError adds the file name, and the position and field if they are known, to a TOML decoding error.
func describeDecodeError(file string, err error) error {
	var d *toml.DecodeError
	if errors.As(err, &d) {
		row, col := d.Position()
		key := ""
		if k := d.Key(); len(k) > 0 {
			key = fmt.Sprintf(" (field %v)", k)
		}
		return fmt.Errorf("%s:%d:%d: %s%s", file, row, col, d.Error(), key)
	}
	return fmt.Errorf("%s: %w", file, err)
}

// Check validates the settings. The error lists every invalid setting, one per line.
func (c *Config) Check() error {
	var faults []error
	invalid := func(field, why string) { faults = append(faults, fmt.Errorf("%s: %s", field, why)) }
	required := func(field, v string) {
		if v == "" {
			invalid(field, "is missing")
		}
	}
	address := func(field, v string) {
		if v == "" {
			invalid(field, "is missing")
		} else if _, _, err := net.SplitHostPort(v); err != nil {
			invalid(field, "must be HOST:PORT, got "+v)
		}
	}
	positive := func(field string, v float64) {
		if !(v > 0) || math.IsInf(v, 0) {
			invalid(field, fmt.Sprintf("must be finite and greater than 0, got %v", v))
		}
	}
	notNegative := func(field string, v float64) {
		if !(v >= 0) || math.IsInf(v, 0) {
			invalid(field, fmt.Sprintf("must be finite and 0 or greater, got %v", v))
		}
	}
	required("label", c.Label)
	address("client_listen", c.ClientListen)
	address("peer_listen", c.PeerListen)
	address("outside.cloud", c.Outside.Cloud)
	address("outside.state", c.Outside.State)
	seen := map[string]bool{c.Label: true}
	for i, p := range c.Known {
		f := fmt.Sprintf("known[%d].", i)
		required(f+"label", p.Label)
		address(f+"endpoint", p.Endpoint)
		if seen[p.Label] {
			invalid(f+"label", "duplicate node label: "+p.Label)
		}
		seen[p.Label] = true
	}
	if len(c.Cluster.Teams) == 0 {
		invalid("cluster.teams", "is missing")
	}
	teams := map[string]bool{}
	for i, t := range c.Cluster.Teams {
		f := fmt.Sprintf("cluster.teams[%d].", i)
		required(f+"name", t.Name)
		if teams[t.Name] {
			invalid(f+"name", "duplicate team name: "+t.Name)
		}
		teams[t.Name] = true
		notNegative(f+"cpus", t.CPUs)
		notNegative(f+"cpus_max", t.CPUsMax)
		notNegative(f+"gpus", t.GPUs)
		notNegative(f+"gpus_max", t.GPUsMax)
	}
	notNegative("cluster.clock_off_ms", c.Cluster.ClockOffMS)
	positive("cluster.workers.report_s", c.Cluster.Workers.ReportS)
	positive("cluster.workers.lease_s", c.Cluster.Workers.LeaseS)
	positive("cluster.workers.cancel_s", c.Cluster.Workers.CancelS)
	if c.Cluster.Workers.CancelS <= c.Cluster.Workers.LeaseS {
		invalid("cluster.workers.cancel_s", "must be greater than lease_s: a task on an unreachable machine stops only when its lease expires")
	}
	positive("cluster.state.rps", c.Cluster.State.RPS)
	positive("cluster.state.write_rps", c.Cluster.State.WriteRPS)
	positive("cluster.state.value_kb", c.Cluster.State.ValueKB)
	if c.Cluster.State.TxnOps < 2 {
		invalid("cluster.state.txn_ops", "must be 2 or greater")
	}
	positive("cluster.cloud.rps", c.Cluster.Cloud.RPS)
	notNegative("cluster.cloud.list_lag_s", c.Cluster.Cloud.ListLagS)
	positive("cluster.limits.ram_mb", c.Cluster.Limits.RAMMB)
	if c.Cluster.Limits.MaxSockets < 32 {
		invalid("cluster.limits.max_sockets", "must be 32 or greater")
	}
	positive("operator standby_mean_s", c.Operator.StandbyMeanS)
	positive("operator ordinary_standby_mean_s", c.Operator.OrdinaryStandbyMeanS)
	notNegative("operator cloud_call_s", c.Operator.CloudCallIntervalS)
	positive("operator start_life_s", c.Operator.StartLifetimeS)
	notNegative("operator silent_delete_s", c.Operator.SilentDeleteAfterS)
	positive("operator boot_stuck_times", c.Operator.BootTimeoutFactor)
	if c.Operator.NodeLeaseS < 0.5 || c.Operator.NodeLeaseS > 600 {
		invalid("operator node_lease_s", "must be between 0.5 and 600")
	}
	c.Operator.API.check(invalid)
	return errors.Join(faults...)
}

// ClockDifference returns the maximum difference between the wall clocks of two processes: each may be off by
// clock_off_ms in either direction.
func (c *Config) ClockDifference() eventloop.Micros {
	return eventloop.Micros(c.Cluster.ClockOffMS * 2000)
}

// TeamNames returns the names of all teams in the order of the settings.
func (c *Config) TeamNames() []string {
	names := make([]string, 0, len(c.Cluster.Teams))
	for _, t := range c.Cluster.Teams {
		names = append(names, t.Name)
	}
	return names
}

// FindTeam returns the settings of a team and whether the team exists.
func (c *Config) FindTeam(name string) (Team, bool) {
	for _, t := range c.Cluster.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}
