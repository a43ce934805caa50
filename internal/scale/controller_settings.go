package scale

import (
	"fmt"
	"math"

	"cleatpick/internal/config"
)

const (
	limitPerGuarantee  = 4.0 // ratio of a team's limit to its guarantee
	minJobsInLimit     = 3.0 // a team's limit is at least the CPUs of this many average jobs
	guaranteedShare    = 0.6 // share of all CPUs that is guaranteed to the teams
	maxSockets         = 8000
	clockOffMS         = 50
	listLagS           = 2.0
	coresPerController = 1.0 // core limit in each controller's settings
	teamNameWidth      = 3
)

// teamName returns the name of a team.
func teamName(i int) string { return fmt.Sprintf("team-%0*d", teamNameWidth, i) }

// teamShares returns the teams' shares of all work. They fall with the team's number by a power law, whose
// exponent is the skew in the settings, and add up to 1.
func teamShares(s *Settings) []float64 {
	shares, sum := make([]float64, s.Teams), 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -s.Load.Skew)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// controllerSettings returns the contents of the settings file of the controller with index self.
func controllerSettings(s *Settings, all []*controller, self int, state, cloud string) config.Platform {
	var p config.Platform
	p.Label, p.Site = all[self].label, zoneName(self%s.Zones)
	p.ClientListen, p.PeerListen = all[self].clientAddr, all[self].peerAddr
	p.Outside.State, p.Outside.Cloud = state, cloud
	for i, c := range all {
		if i != self {
			p.Known = append(p.Known, config.Peer{Label: c.label, Site: zoneName(i % s.Zones), Endpoint: c.peerAddr})
		}
	}
	c := &p.Cluster
	c.Nodes, c.ClockOffMS = s.Controllers, clockOffMS
	for i := range s.Zones {
		c.Zones = append(c.Zones, zoneName(i))
	}
	cpus := float64(s.Machines) * s.MachineCPUs
	for i, share := range teamShares(s) {
		guarantee := math.Round(cpus*guaranteedShare*share*10) / 10
		c.Teams = append(c.Teams, config.Team{Name: teamName(i), CPUs: guarantee, CPUsMax: max(limitPerGuarantee*guarantee, minJobsInLimit*float64(s.Load.Tasks)*s.Load.TaskCPUs)})
	}
	c.Workers.ReportS, c.Workers.LeaseS, c.Workers.CancelS = s.Workers.ReportS, s.Workers.LeaseS, s.Workers.CancelS
	c.State.RPS, c.State.WriteRPS = s.State.RPS, s.State.WriteRPS
	c.State.ValueKB, c.State.TxnOps = float64(s.State.ValueKB), s.State.TxnOps
	c.Cloud.RPS, c.Cloud.ListLagS = s.CloudRPS, listLagS
	c.Limits.Cores, c.Limits.RAMMB, c.Limits.MaxSockets = coresPerController, s.ControllerMemoryMB, maxSockets
	return p
}
