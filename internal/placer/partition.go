package placer

import (
	"slices"

	"cleatpick/internal/loop"
	"cleatpick/internal/member"
	"cleatpick/internal/partition"
)

// ownedPartition is a partition whose claim this node holds, with its task log.
//
// In the numbered layout a team takes part once it was assigned for good: no record of its
// tasks is in the partition's log before, and nobody adds to the team's own log afterwards.
type ownedPartition struct {
	// ownedAt is when it came to be owned here; 0 once a task of it was placed since.
	ownedAt  loop.Micros
	loadedAt loop.Micros // when its log had been read
	id       partition.ID
	claim    member.Owner
	loaded   bool // its log has been read
	teams    map[string]*team
	log      taskLog
	// unreadable is set when a record of the log cannot be read: what its teams had accepted
	// by then is not started on the account of it.
	unreadable bool
	unassigned map[string]bool // teams that are to be assigned
	assigning  bool
	entering   []string // teams that were assigned and are to be loaded together
}

const (
	// assignSoon gathers the teams that are assigned in one transaction.
	assignSoon = 20 * loop.Millisecond
	// assignAgain is the pause before teams that another node holds are tried again.
	assignAgain = loop.Second
)

// owns tells whether the partition is still this node's business.
func (p *Placer) owns(part *ownedPartition) bool { return p.partitions[part.id] == part }

// knows tells whether the table belongs to what is owned now.
func (p *Placer) knows(t *table) bool {
	return p.teams[t.team.cfg.Name] == t.team && t.team.jobs[t.j.ID] == t
}

// Owned is told when a partition is gained or lost.
func (p *Placer) Owned(id partition.ID, owned bool, claim member.Owner) {
	if !owned {
		p.disown(id)
		return
	}
	part := &ownedPartition{id: id, claim: claim, ownedAt: p.r.Now(), teams: map[string]*team{}, unassigned: map[string]bool{},
		log: taskLog{prefix: id.LogPrefix(), closed: map[string]*segment{}}}
	p.partitions[id] = part
	p.loadLog(part)
}

func (p *Placer) disown(id partition.ID) {
	part := p.partitions[id]
	if part == nil {
		return
	}
	delete(p.partitions, id)
	for name, tm := range loop.Sorted(part.teams) {
		for _, t := range tm.inOrder() {
			p.forgetTable(t)
		}
		if p.teams[name] == tm {
			delete(p.teams, name)
		}
	}
}

// enterTeam makes a team part of a partition; its records are to be read before it is loaded.
func (p *Placer) enterTeam(part *ownedPartition, name string) *team {
	cfg, ok := p.cfg.TeamNamed(name)
	if !ok {
		return nil
	}
	tm := &team{cfg: cfg, quota: p.cfg.Quota(cfg), part: part, jobs: map[string]*table{}}
	part.teams[name], p.teams[name] = tm, tm
	return tm
}

// members lists the teams of a partition that take part in it now.
func (p *Placer) members(id partition.ID) []string {
	if team, ok := id.Team(); ok {
		return []string{team}
	}
	return slices.DeleteFunc(p.n.Membership.Layout().Teams(id, p.cfg.TeamNames()), func(team string) bool {
		return !p.n.Membership.Assigned(team)
	})
}

// numberedOwner is the owned and loaded partition of the numbered layout that a team belongs to.
func (p *Placer) numberedOwner(name string) *ownedPartition {
	if p.n.Membership == nil || !p.n.Membership.Layout().Numbered() {
		return nil
	}
	part := p.partitions[p.n.Membership.Layout().Of(name)]
	if part == nil || !part.loaded {
		return nil
	}
	return part
}

// Released takes in that no node holds a team that belongs to no partition yet: what was
// recorded of it is to be taken over, also where none of its jobs waits.
func (p *Placer) Released(name string) { p.assignLater(name) }

// assignLater has a team assigned to its partition, if that is owned here.
func (p *Placer) assignLater(name string) {
	part := p.numberedOwner(name)
	if part == nil || part.unassigned[name] || p.teams[name] != nil {
		return
	}
	if _, ok := p.cfg.TeamNamed(name); !ok {
		return
	}
	part.unassigned[name] = true
	p.assignAfter(part, assignSoon)
}

func (p *Placer) assignAfter(part *ownedPartition, d loop.Micros) {
	if part.assigning {
		return
	}
	part.assigning = true
	p.r.After(d, func() {
		part.assigning = false
		if p.owns(part) {
			p.assign(part)
		}
	})
}

// assign asks for the assignment of teams that wait for it, several at a time.
func (p *Placer) assign(part *ownedPartition) {
	var names []string
	for name := range loop.Sorted(part.unassigned) {
		switch {
		case p.teams[name] != nil:
			delete(part.unassigned, name)
		case p.n.Membership.Assigned(name):
			p.Assigned(name)
		case len(names) < p.c.MaxChanges():
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return
	}
	part.assigning = true
	p.n.Membership.Assign(part.id, part.claim, names, func(ok bool) {
		part.assigning = false
		if !p.owns(part) {
			return
		}
		pause := assignSoon
		if !ok {
			pause = assignAgain
		}
		if len(part.unassigned) > 0 {
			p.assignAfter(part, pause)
		}
	})
}

// Assigned takes in that a team belongs to its numbered partition for good. Teams that are
// assigned together are loaded together.
func (p *Placer) Assigned(name string) {
	part := p.numberedOwner(name)
	if part == nil || p.teams[name] != nil || slices.Contains(part.entering, name) {
		return
	}
	delete(part.unassigned, name)
	part.entering = append(part.entering, name)
	if len(part.entering) > 1 {
		return
	}
	p.r.After(assignSoon, func() {
		if p.owns(part) {
			p.loadEntering(part)
		}
	})
}

func (p *Placer) loadEntering(part *ownedPartition) {
	var teams []*team
	for _, name := range part.entering {
		if p.teams[name] != nil {
			continue
		}
		if tm := p.enterTeam(part, name); tm != nil {
			teams = append(teams, tm)
		}
	}
	part.entering = nil
	if len(teams) > 0 {
		p.loadTeamLogs(part, teams, nil)
	}
}
