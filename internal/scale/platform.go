package scale

import (
	"fmt"
	"math"

	"cleatpick/internal/config"
)

const (
	limitFactor   = 4.0 // ratio of a team's limit to its guarantee
	leastJobs     = 3.0 // a team's limit is at least the CPUs of this many average jobs
	guaranteed    = 0.6 // share of all CPUs that is guaranteed to the teams
	maxSockets    = 8000
	clockOffMS    = 50
	listLagS      = 2.0
	coresOfOne    = 1.0 // core limit in each controller's settings
	teamNameWidth = 3
)

// teamName returns the name of a team.
func teamName(i int) string { return fmt.Sprintf("team-%0*d", teamNameWidth, i) }

// teamParts returns the teams' shares of all work. They fall with the team's number by a power law, whose
// exponent is the skew in the settings, and add up to 1.
func teamParts(s *Settings) []float64 {
	parts, sum := make([]float64, s.Teams), 0.0
	for i := range parts {
		parts[i] = math.Pow(float64(i+1), -s.Load.Skew)
		sum += parts[i]
	}
	for i := range parts {
		parts[i] /= sum
	}
	return parts
}

// platformSettings returns the contents of the settings file of the controller with index self.
func platformSettings(s *Settings, all []*controller, self int, state, cloud string) config.Platform {
	var p config.Platform
	p.Label, p.Site = all[self].label, zoneName(self%s.Zones)
	p.ClientListen, p.PeerListen = all[self].users, all[self].peers
	p.Outside.State, p.Outside.Cloud = state, cloud
	for i, c := range all {
		if i != self {
			p.Known = append(p.Known, config.Peer{Label: c.label, Site: zoneName(i % s.Zones), Endpoint: c.peers})
		}
	}
	c := &p.Cluster
	c.Nodes, c.ClockOffMS = s.Controllers, clockOffMS
	for i := range s.Zones {
		c.Zones = append(c.Zones, zoneName(i))
	}
	cpus := float64(s.Machines) * s.MachineCPUs
	for i, part := range teamParts(s) {
		guarantee := math.Round(cpus*guaranteed*part*10) / 10
		c.Teams = append(c.Teams, config.Team{Name: teamName(i), CPUs: guarantee, CPUsMax: max(limitFactor*guarantee, leastJobs*float64(s.Load.Tasks)*s.Load.TaskCPUs)})
	}
	c.Workers.ReportS, c.Workers.LeaseS, c.Workers.CancelS = s.Workers.ReportS, s.Workers.LeaseS, s.Workers.CancelS
	c.State.RPS, c.State.WriteRPS = s.State.RPS, s.State.WriteRPS
	c.State.ValueKB, c.State.TxnOps = float64(s.State.ValueKB), s.State.TxnOps
	c.Cloud.RPS, c.Cloud.ListLagS = s.CloudRPS, listLagS
	c.Limits.Cores, c.Limits.RAMMB, c.Limits.MaxSockets = coresOfOne, s.ControllerMemoryMB, maxSockets
	return p
}
