package fleet

import "cleatpick/internal/job"

// PreemptionRights says which tasks may be preempted for a job. The protocol allows two kinds of preemption:
// lower priority yields to higher, and what a team runs beyond its guarantee yields to another team's
// guarantee. Combined freely they undo each other without end: work beyond a guarantee preempts
// lower-priority work within another guarantee, whose team then reclaims the capacity. The guarantee
// therefore takes precedence here, which orders all preemptions: first by guarantee, then by priority.
type PreemptionRights struct {
	// WithinGuarantee: the task's job fits into its team's guarantee, and the task still fits together with
	// everything the team runs. It may preempt what other teams run beyond their guarantee, at any priority.
	WithinGuarantee bool
	// InTeamShare: taking the team's work by priority up to its guarantee, the task is part of it, even where the
	// job as a whole does not fit into the guarantee. It may preempt lower-priority work of its own team.
	InTeamShare bool
	// TeamBelowGuarantee: the team's usage is below its guarantee by at least one task. With InTeamShare, the
	// task may preempt lower-priority work of any team.
	TeamBelowGuarantee bool
	// InTeamShareTasks and TeamBelowGuaranteeTasks are the numbers of tasks of the job for which InTeamShare
	// and TeamBelowGuarantee hold: preemption for one task leaves less of the guarantee to the next.
	InTeamShareTasks, TeamBelowGuaranteeTasks int
	// LowerPriorityOnly: only tasks of lower priority may be preempted.
	LowerPriorityOnly bool
	// Excess is each team's usage beyond its guarantee in CPUs; it is negative for a team below its
	// guarantee.
	Excess map[string]float64
}

// allows reports whether the victim may be preempted for the claimant. stopped is the number of CPUs of the
// victim's team that are preempted for the same claimant already: without it, several victims together would
// take a team below its guarantee.
func (r *PreemptionRights) allows(claimant, victim *job.Spec, stopped float64) bool {
	borrowed := r.Excess[victim.Team]-stopped >= victim.CPUs
	sameTeam := victim.Team == claimant.Team
	if victim.Priority < claimant.Priority {
		return borrowed || r.InTeamShare && (r.TeamBelowGuarantee || sameTeam)
	}
	return r.WithinGuarantee && borrowed && !sameTeam && !victim.Service && !r.LowerPriorityOnly
}

// consume updates the rights after preemptions for the given number of the job's tasks.
func (r *PreemptionRights) consume(tasks int) {
	r.InTeamShare = r.InTeamShare && tasks < r.InTeamShareTasks
	r.TeamBelowGuarantee = r.TeamBelowGuarantee && tasks < r.TeamBelowGuaranteeTasks
}

// anyOtherExcess reports whether any other team's usage exceeds its guarantee.
func (r *PreemptionRights) anyOtherExcess(team string) bool {
	for name, x := range r.Excess {
		if name != team && x > 0 {
			return true
		}
	}
	return false
}

// teamCPUs counts CPUs by team; a slice is enough for the few teams on one machine.
type teamCPUs []struct {
	team string
	cpus float64
}

func (c *teamCPUs) clear() { *c = (*c)[:0] }

func (c *teamCPUs) of(team string) float64 {
	for i := range *c {
		if (*c)[i].team == team {
			return (*c)[i].cpus
		}
	}
	return 0
}

func (c *teamCPUs) add(s *job.Spec) {
	for i := range *c {
		if (*c)[i].team == s.Team {
			(*c)[i].cpus += s.CPUs
			return
		}
	}
	*c = append(*c, struct {
		team string
		cpus float64
	}{s.Team, s.CPUs})
}
