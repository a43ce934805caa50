package fleet

import "cleatpick/internal/job"

// Right is what a job may stop others' tasks for. The protocol allows two things: lower priority
// gives way to higher, and what a team runs beyond its guarantee gives way to another team's
// guarantee. Where the two meet they undo each other without end: work beyond a guarantee stops
// work of lower priority within another one, whose team takes the room back by right. So the
// guarantee counts for more here, and what may stop what is an order: first by guarantee, then by
// priority.
type Right struct {
	// Guarantee: the task's job fits into its team's guarantee, and the task does beside all that the
	// team runs. It may stop what other teams run beyond theirs, of any priority.
	Guarantee bool
	// Share: the task is of what comes first in its team, by priority, up to the guarantee, also where its
	// job does not fit into that as a whole. It may stop work of lower priority of its own team.
	Share bool
	// Room: the team runs less than its guarantee, by a task at least. With Share, the task may stop
	// work of lower priority of any team.
	Room bool
	// ShareTasks and RoomTasks are for how many tasks of the job Share and Room hold: each is true of the
	// first of them, and what is stopped for one leaves less to the next.
	ShareTasks, RoomTasks int
	// LowerOnly: nothing of the same priority or of a higher one is stopped.
	LowerOnly bool
	// Excess is what each team runs beyond its guarantee; negative: so much is left of it.
	Excess map[string]float64
}

// allows applies the rules to one victim, where so many CPUs of its team are stopped for the same
// claimant already: each victim by itself would take a team below its guarantee.
func (r *Right) allows(claimant, victim *job.Spec, stopped float64) bool {
	borrowed := r.Excess[victim.Team]-stopped >= victim.CPUs
	sameTeam := victim.Team == claimant.Team
	if victim.Priority < claimant.Priority {
		return borrowed || r.Share && (r.Room || sameTeam)
	}
	return r.Guarantee && borrowed && !sameTeam && !victim.Service && !r.LowerOnly
}

// used takes in for how many tasks of the job something was stopped since the right was judged.
func (r *Right) used(tasks int) {
	r.Share = r.Share && tasks < r.ShareTasks
	r.Room = r.Room && tasks < r.RoomTasks
}

// anyExcess tells whether another team runs more than its guarantee.
func (r *Right) anyExcess(team string) bool {
	for name, x := range r.Excess {
		if name != team && x > 0 {
			return true
		}
	}
	return false
}

// teamCPUs counts CPUs by team, for the few teams of one machine.
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
