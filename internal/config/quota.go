package config

import (
	"math"
	"strconv"
)

// Limit is the maximum amount of a resource that a team may use. The platform's file states 0 for a team
// without a limit. Read as a limit of zero, it would permanently refuse all jobs of such a team. Therefore use
// only the methods of Limit and do not compare its value.
type Limit float64

// NewLimit returns the limit that the platform's file states; 0 or less means no limit.
func NewLimit(stated float64) Limit { return Limit(max(stated, 0)) }

// tolerance allows for rounding errors in sums of resource amounts.
const tolerance = 1e-9

// Max returns the maximum amount; bounded is false if there is no limit.
func (l Limit) Max() (most float64, bounded bool) { return float64(l), l > 0 }

// Allows reports whether the given total use is within the limit.
func (l Limit) Allows(use float64) bool { return l <= 0 || use <= float64(l)+tolerance }

// MaxTasks returns how many of n tasks, each of which uses the given amount, fit within the limit in addition to the
// amount already used.
func (l Limit) MaxTasks(n int, used, each float64) int {
	if l <= 0 || each <= 0 {
		return n
	}
	return max(min(n, int(min((float64(l)-used+tolerance)/each, math.MaxInt32))), 0)
}

// String formats the limit for output to people.
func (l Limit) String() string {
	if l <= 0 {
		return "no limit"
	}
	return strconv.FormatFloat(float64(l), 'g', -1, 64) + " at most"
}

// MarshalJSON encodes the limit as a number, or null if there is no limit.
func (l Limit) MarshalJSON() ([]byte, error) {
	if l <= 0 {
		return []byte("null"), nil
	}
	return strconv.AppendFloat(nil, float64(l), 'g', -1, 64), nil
}

// UnmarshalJSON decodes the encoding of MarshalJSON.
func (l *Limit) UnmarshalJSON(b []byte) error {
	if string(b) == "null" {
		*l = 0
		return nil
	}
	most, err := strconv.ParseFloat(string(b), 64)
	*l = NewLimit(most)
	return err
}

// Quota is a team's guarantee, limits and weight.
type Quota struct {
	CPUs, GPUs       float64 // guaranteed amounts; 0 means no guarantee
	CPUsMax, GPUsMax Limit
	// Weight is the team's weight in the fair order of service between teams: its guaranteed CPUs, but no less
	// than a minimum, since a team without a guarantee would otherwise be served only when no other team has
	// work waiting.
	Weight float64
}

// minWeightFraction is the minimum weight of a team, as a fraction of the sum of all guaranteed CPUs.
const minWeightFraction = 0.05

// Quota returns the quota of a team.
func (c *Config) Quota(t Team) Quota {
	all := 0.0
	for _, o := range c.Cluster.Teams {
		all += o.CPUs
	}
	return Quota{CPUs: t.CPUs, GPUs: t.GPUs, CPUsMax: NewLimit(t.CPUsMax), GPUsMax: NewLimit(t.GPUsMax),
		Weight: max(t.CPUs, minWeightFraction*all, 1)}
}

// Guaranteed reports whether the team has a guarantee.
func (q *Quota) Guaranteed() bool { return q.CPUs > 0 || q.GPUs > 0 }

// Covers reports whether the given total use is within the guarantee.
func (q *Quota) Covers(cpus, gpus float64) bool {
	return q.Guaranteed() && cpus <= q.CPUs+tolerance && gpus <= q.GPUs+tolerance
}

// Allows reports whether the given total use is within the limits.
func (q *Quota) Allows(cpus, gpus float64) bool {
	return q.CPUsMax.Allows(cpus) && q.GPUsMax.Allows(gpus)
}

// MaxTasks returns how many of n tasks, each of which uses the given CPUs and GPUs, fit within the limits in addition to
// the amounts already used.
func (q *Quota) MaxTasks(n int, cpusUsed, cpus, gpusUsed, gpus float64) int {
	return q.GPUsMax.MaxTasks(q.CPUsMax.MaxTasks(n, cpusUsed, cpus), gpusUsed, gpus)
}
