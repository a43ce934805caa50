package scheduler

import (
	"slices"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/membership"
	"cleatpick/internal/partition"
)

// ownedPartition is a partition whose ownership claim this controller holds, together with its task log.
//
// In the numbered layout a team joins its partition when it is assigned, which is permanent. Before the assignment no
// record of its tasks is in the partition's log; afterwards nothing is added to the team's own log.
type ownedPartition struct {
	// ownedAt is when this controller became the owner. It is reset to 0 by the first placement.
	ownedAt  eventloop.Micros
	loadedAt eventloop.Micros // when its log had been read
	id       partition.ID
	claim    membership.Owner
	loaded   bool // its log has been read
	teams    map[string]*team
	log      taskLog
	// unreadable is set when a record of the log cannot be decoded. Jobs that its teams had accepted by then are not
	// started, since their tasks may already be on machines.
	unreadable bool
	unassigned map[string]bool // teams waiting to be assigned
	assigning  bool
	toLoad     []string // assigned teams that are to be loaded together
}

const (
	// assignDelay is the delay that collects several teams into one assignment transaction.
	assignDelay = 20 * eventloop.Millisecond
	// assignRetryDelay is the pause before the assignment of teams that another controller owns is retried.
	assignRetryDelay = eventloop.Second
)

// ownsPartition reports whether this controller still owns the partition, under the same claim.
func (sched *Scheduler) ownsPartition(part *ownedPartition) bool {
	return sched.partitions[part.id] == part
}

// ownsJob reports whether the table belongs to a team that is owned now and to a job that is still known.
func (sched *Scheduler) ownsJob(t *jobTable) bool {
	return sched.teams[t.team.cfg.Name] == t.team && t.team.jobs[t.job.ID] == t
}

// OwnershipChanged handles the gain or loss of a partition.
func (sched *Scheduler) OwnershipChanged(id partition.ID, owned bool, claim membership.Owner) {
	if !owned {
		sched.removePartition(id)
		return
	}
	part := &ownedPartition{id: id, claim: claim, ownedAt: sched.runner.Now(), teams: map[string]*team{}, unassigned: map[string]bool{},
		log: taskLog{prefix: id.LogPrefix(), closed: map[string]*segment{}}}
	sched.partitions[id] = part
	sched.loadLog(part)
}

// removePartition forgets a partition that was lost, with its teams.
func (sched *Scheduler) removePartition(id partition.ID) {
	part := sched.partitions[id]
	if part == nil {
		return
	}
	delete(sched.partitions, id)
	for name, tm := range eventloop.Sorted(part.teams) {
		for _, t := range tm.inOrder() {
			sched.forgetJob(t)
		}
		if sched.teams[name] == tm {
			delete(sched.teams, name)
		}
	}
}

// addTeam adds a team to a partition. The team counts as loaded only after its records have been read.
func (sched *Scheduler) addTeam(part *ownedPartition, name string) *team {
	cfg, ok := sched.cfg.FindTeam(name)
	if !ok {
		return nil
	}
	tm := &team{cfg: cfg, quota: sched.cfg.Quota(cfg), partition: part, jobs: map[string]*jobTable{}}
	part.teams[name], sched.teams[name] = tm, tm
	return tm
}

// partitionTeams lists the teams that currently belong to a partition.
func (sched *Scheduler) partitionTeams(id partition.ID) []string {
	if team, ok := id.Team(); ok {
		return []string{team}
	}
	return slices.DeleteFunc(sched.deps.Membership.Layout().Teams(id, sched.cfg.TeamNames()), func(team string) bool {
		return !sched.deps.Membership.Assigned(team)
	})
}

// numberedPartition returns the numbered partition of a team if it is owned and loaded here, else nil.
func (sched *Scheduler) numberedPartition(name string) *ownedPartition {
	if sched.deps.Membership == nil || !sched.deps.Membership.Layout().Numbered() {
		return nil
	}
	part := sched.partitions[sched.deps.Membership.Layout().Of(name)]
	if part == nil || !part.loaded {
		return nil
	}
	return part
}

// TeamReleased handles the message that no controller owns a team which is not assigned to a partition yet. Its
// recorded tasks are to be taken over even if none of its jobs waits.
func (sched *Scheduler) TeamReleased(name string) { sched.scheduleAssignment(name) }

// scheduleAssignment schedules the assignment of a team to its partition, if that is owned here.
func (sched *Scheduler) scheduleAssignment(name string) {
	part := sched.numberedPartition(name)
	if part == nil || part.unassigned[name] || sched.teams[name] != nil {
		return
	}
	if _, ok := sched.cfg.FindTeam(name); !ok {
		return
	}
	part.unassigned[name] = true
	sched.assignAfter(part, assignDelay)
}

// assignAfter schedules assign, unless it is scheduled or running already.
func (sched *Scheduler) assignAfter(part *ownedPartition, d eventloop.Micros) {
	if part.assigning {
		return
	}
	part.assigning = true
	sched.runner.After(d, func() {
		part.assigning = false
		if sched.ownsPartition(part) {
			sched.assign(part)
		}
	})
}

// assign requests the assignment of waiting teams, several in one transaction.
func (sched *Scheduler) assign(part *ownedPartition) {
	var names []string
	for name := range eventloop.Sorted(part.unassigned) {
		switch {
		case sched.teams[name] != nil:
			delete(part.unassigned, name)
		case sched.deps.Membership.Assigned(name):
			sched.TeamAssigned(name)
		case len(names) < sched.client.MaxChanges():
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return
	}
	part.assigning = true
	sched.deps.Membership.Assign(part.id, part.claim, names, func(ok bool) {
		part.assigning = false
		if !sched.ownsPartition(part) {
			return
		}
		pause := assignDelay
		if !ok {
			pause = assignRetryDelay
		}
		if len(part.unassigned) > 0 {
			sched.assignAfter(part, pause)
		}
	})
}

// TeamAssigned handles the assignment of a team to its numbered partition. Teams that are assigned within a short time
// are loaded together.
func (sched *Scheduler) TeamAssigned(name string) {
	part := sched.numberedPartition(name)
	if part == nil || sched.teams[name] != nil || slices.Contains(part.toLoad, name) {
		return
	}
	delete(part.unassigned, name)
	part.toLoad = append(part.toLoad, name)
	if len(part.toLoad) > 1 {
		return
	}
	sched.runner.After(assignDelay, func() {
		if sched.ownsPartition(part) {
			sched.loadAssignedTeams(part)
		}
	})
}

// loadAssignedTeams loads the teams that were assigned since the last call.
func (sched *Scheduler) loadAssignedTeams(part *ownedPartition) {
	var teams []*team
	for _, name := range part.toLoad {
		if sched.teams[name] != nil {
			continue
		}
		if tm := sched.addTeam(part, name); tm != nil {
			teams = append(teams, tm)
		}
	}
	part.toLoad = nil
	if len(teams) > 0 {
		sched.loadTeamLogs(part, teams, nil)
	}
}
