package fleet

import (
	"testing"

	"cleatpick/internal/job"
)

// TestPreemptionRights checks the preemption rules case by case, for a claimant of team red and a victim of
// two CPUs.
func TestPreemptionRights(t *testing.T) {
	all := PreemptionRights{WithinGuarantee: true, InTeamShare: true, TeamBelowGuarantee: true}
	beyond := PreemptionRights{}                                           // the claimant is beyond its team's guarantee
	large := PreemptionRights{InTeamShare: true, TeamBelowGuarantee: true} // the claimant's job does not fit into the guarantee, its first tasks do
	full := PreemptionRights{InTeamShare: true}                            // the team's other work fills the guarantee
	image := PreemptionRights{WithinGuarantee: true, InTeamShare: true, TeamBelowGuarantee: true, LowerPriorityOnly: true}
	for _, c := range []struct {
		name     string
		right    PreemptionRights
		claimant job.Priority
		victim   job.Priority
		team     string
		service  bool
		excess   float64 // of the victim's team, in CPUs beyond its guarantee
		stopped  float64 // CPUs of the victim's team preempted already
		want     bool
	}{
		{"lower, within its guarantee", all, job.High, job.Low, "blue", false, -4, 0, true},
		{"lower, within its guarantee, for a claimant beyond one", beyond, job.High, job.Low, "blue", false, -4, 0, false},
		{"lower, beyond its guarantee, for a claimant beyond one", beyond, job.High, job.Low, "blue", false, 2, 0, true},
		{"lower, beyond by less than the victim's CPUs", beyond, job.High, job.Low, "blue", false, 1, 0, false},
		{"lower, beyond, excess used up by earlier preemptions", beyond, job.High, job.Low, "blue", false, 3, 2, false},
		{"lower, for the first tasks of a large job", large, job.High, job.Low, "blue", false, -4, 0, true},
		{"lower, for a full team", full, job.High, job.Low, "blue", false, -4, 0, false},
		{"lower, of the own team, for a full team", full, job.High, job.Low, "red", false, 0, 0, true},
		{"lower, of the own team, for a claimant beyond its share", beyond, job.High, job.Low, "red", false, 0, 0, false},
		{"equal, beyond", all, job.Normal, job.Normal, "blue", false, 2, 0, true},
		{"higher, beyond", all, job.Low, job.High, "blue", false, 2, 0, true},
		{"equal, beyond, excess used up by earlier preemptions", all, job.Normal, job.Normal, "blue", false, 3, 2, false},
		{"equal, within its guarantee", all, job.Normal, job.Normal, "blue", false, 1, 0, false},
		{"equal, of the own team", all, job.Normal, job.Normal, "red", false, 9, 0, false},
		{"equal, beyond, for a claimant beyond a guarantee", beyond, job.Normal, job.Normal, "blue", false, 9, 0, false},
		{"equal, beyond, for the first tasks of a large job", large, job.Normal, job.Normal, "blue", false, 9, 0, false},
		{"equal, beyond, where the claimant fits elsewhere", image, job.Normal, job.Normal, "blue", false, 9, 0, false},
		{"lower, where the claimant fits elsewhere", image, job.High, job.Low, "blue", false, 0, 0, true},
		{"service replica of equal priority, beyond", all, job.Normal, job.Normal, "blue", true, 9, 0, false},
		{"service replica of lower priority", all, job.High, job.Low, "blue", true, 0, 0, true},
	} {
		right := c.right
		right.Excess = map[string]float64{c.team: c.excess}
		claimant := &job.Spec{Team: "red", Priority: c.claimant, CPUs: 1}
		victim := &job.Spec{Team: c.team, Priority: c.victim, CPUs: 2, Service: c.service}
		if got := right.allows(claimant, victim, c.stopped); got != c.want {
			t.Errorf("%s: preemption allowed is %v, want %v", c.name, got, c.want)
		}
	}
}
