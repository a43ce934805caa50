package config

import (
	"encoding/json"
	"testing"

	"cleatpick/internal/fixed"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { fixed.Main(m) }

// Quotas agree with a model that adds one task at a time while the limits allow it.
func TestLimitAgainstCounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := func(name string, to int) float64 { return float64(rapid.IntRange(0, to).Draw(t, name)) / 4 }
		team := Team{CPUs: amount("cpus", 40), CPUsMax: amount("cpus max", 40), GPUs: amount("gpus", 8), GPUsMax: amount("gpus max", 8)}
		cpusUsed, gpusUsed, cpusEach, gpusEach := amount("cpus used", 60), amount("gpus used", 9), amount("cpu", 12), amount("gpu", 4)
		n := rapid.IntRange(0, 30).Draw(t, "tasks")
		c := &Config{}
		c.Cluster.Teams = []Team{team, {CPUs: 40}}
		q := c.Quota(team)
		fits := func(k int) bool {
			use := func(used, each, most float64) bool { return each == 0 || most == 0 || used+float64(k)*each <= most }
			return use(cpusUsed, cpusEach, team.CPUsMax) && use(gpusUsed, gpusEach, team.GPUsMax)
		}
		want := 0
		for want < n && fits(want+1) {
			want++
		}
		if got := q.MaxTasks(n, cpusUsed, cpusEach, gpusUsed, gpusEach); got != want {
			t.Fatalf("%d of %d tasks fit within the limits, by counting %d", got, n, want)
		}
		if got, want := q.Allows(cpusUsed, gpusUsed), (team.CPUsMax == 0 || cpusUsed <= team.CPUsMax) && (team.GPUsMax == 0 || gpusUsed <= team.GPUsMax); got != want {
			t.Fatalf("allowed: %v, by direct comparison %v", got, want)
		}
		if got, want := q.Covers(cpusUsed, gpusUsed), (team.CPUs > 0 || team.GPUs > 0) && cpusUsed <= team.CPUs && gpusUsed <= team.GPUs; got != want {
			t.Fatalf("covered by the guarantee: %v, by direct comparison %v", got, want)
		}
		if least := minWeightFraction * (team.CPUs + 40); q.Weight < least || q.Weight < team.CPUs {
			t.Fatalf("the weight of the team is %v, below its guarantee or the minimum", q.Weight)
		}
		raw, err := json.Marshal(q.CPUsMax)
		var back Limit
		if _, bounded := q.CPUsMax.Max(); err != nil || (string(raw) == "null") == bounded || json.Unmarshal(raw, &back) != nil || back != q.CPUsMax {
			t.Fatalf("the JSON %s is decoded as %v, want %v", raw, back, q.CPUsMax)
		}
	})
}
