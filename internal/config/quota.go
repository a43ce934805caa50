package config

import (
	"math"
	"strconv"
)

// Limit is the most that a team may use of a resource. The platform's file says 0 for a
// team that has none: read as a limit of nothing, all that such a team submitted was
// refused for good. So it is asked by its methods alone, and never compared.
type Limit float64

// LimitOf reads a limit as the platform's file states it.
func LimitOf(stated float64) Limit { return Limit(max(stated, 0)) }

// slack is what sums of amounts may be off by.
const slack = 1e-9

// Most is the limit; bounded is false where there is none.
func (l Limit) Most() (most float64, bounded bool) { return float64(l), l > 0 }

// Allows tells whether so much may be used.
func (l Limit) Allows(use float64) bool { return l <= 0 || use <= float64(l)+slack }

// Tasks is how many of n tasks that take each so much the limit allows beside what is
// used already.
func (l Limit) Tasks(n int, used, each float64) int {
	if l <= 0 || each <= 0 {
		return n
	}
	return max(min(n, int(min((float64(l)-used+slack)/each, math.MaxInt32))), 0)
}

// String is the limit for people.
func (l Limit) String() string {
	if l <= 0 {
		return "no limit"
	}
	return strconv.FormatFloat(float64(l), 'g', -1, 64) + " at most"
}

// MarshalJSON writes the limit as a number, and null where there is none.
func (l Limit) MarshalJSON() ([]byte, error) {
	if l <= 0 {
		return []byte("null"), nil
	}
	return strconv.AppendFloat(nil, float64(l), 'g', -1, 64), nil
}

// UnmarshalJSON reads what MarshalJSON writes.
func (l *Limit) UnmarshalJSON(b []byte) error {
	if string(b) == "null" {
		*l = 0
		return nil
	}
	most, err := strconv.ParseFloat(string(b), 64)
	*l = LimitOf(most)
	return err
}

// Quota is what the settings promise a team and what they bound it by.
type Quota struct {
	CPUs, GPUs       float64 // guaranteed; 0: nothing is
	CPUsMax, GPUsMax Limit
	// Weight is the part that the team's work has beside that of other teams: its
	// guaranteed CPUs, or a floor for a team without a guarantee, which would otherwise
	// come last for as long as anybody else wants anything.
	Weight float64
}

// floorPart is the part of all guarantees that a team without one counts for.
const floorPart = 0.05

// Quota is what the settings say of a team.
func (c *Config) Quota(t Team) Quota {
	all := 0.0
	for _, o := range c.Cluster.Teams {
		all += o.CPUs
	}
	return Quota{CPUs: t.CPUs, GPUs: t.GPUs, CPUsMax: LimitOf(t.CPUsMax), GPUsMax: LimitOf(t.GPUsMax),
		Weight: max(t.CPUs, floorPart*all, 1)}
}

// Guaranteed tells whether the team is guaranteed anything.
func (q *Quota) Guaranteed() bool { return q.CPUs > 0 || q.GPUs > 0 }

// Covers tells whether so much lies within the guarantee.
func (q *Quota) Covers(cpus, gpus float64) bool {
	return q.Guaranteed() && cpus <= q.CPUs+slack && gpus <= q.GPUs+slack
}

// Allows tells whether so much lies within the limits.
func (q *Quota) Allows(cpus, gpus float64) bool {
	return q.CPUsMax.Allows(cpus) && q.GPUsMax.Allows(gpus)
}

// Tasks is how many of n tasks the limits allow beside what is used already.
func (q *Quota) Tasks(n int, cpusUsed, cpus, gpusUsed, gpus float64) int {
	return q.GPUsMax.Tasks(q.CPUsMax.Tasks(n, cpusUsed, cpus), gpusUsed, gpus)
}
