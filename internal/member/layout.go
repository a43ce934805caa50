package member

import (
	"slices"

	"cleatpick/internal/loop"
	"cleatpick/internal/partition"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// layoutGeneration is what this version tells of the layouts that it can work with.
const layoutGeneration = 1

// layoutState names what is known of the layout.
type layoutState int

// The states of the layout. It becomes numbered at most once, and stays so.
const (
	layoutUndecided layoutState = iota // only the leadership is claimed
	layoutByTeam                       // each team has a claim of its own
	layoutNumbered                     // stored in the state service
)

func (s layoutState) String() string { return [...]string{"undecided", "by team", "numbered"}[s] }

const (
	// layoutWait is for how long a node that starts waits for the others to register, so that
	// one of an older version is seen before the layout is stored.
	layoutWait = 2500 * loop.Millisecond
	// upgradeWait is the same where teams are claimed one by one, or an older version was seen:
	// a node that is being replaced is away for a while.
	upgradeWait = 60 * loop.Second
)

// Layout is the layout in force, as far as is known here.
func (b *Member) Layout() partition.Layout { return b.layout }

func (b *Member) setLayout(s layoutState, l partition.Layout) {
	if s == b.layoutState && l == b.layout {
		return
	}
	b.log.Info("layout of partitions", "from", b.layoutState.String(), "to", s.String(), "partitions", l.Count)
	b.layoutState, b.layout = s, l
}

// generation is what this node tells of the layouts that it works with.
func (b *Member) generation() int {
	if b.TeamsOnly {
		return 0
	}
	return layoutGeneration
}

// learnLayout takes in the stored layout. One that cannot be read changes nothing.
func (b *Member) learnLayout(key string, e store.Entry) {
	if e.Revision == 0 || key != partition.LayoutKey || b.TeamsOnly {
		return
	}
	var l partition.Layout
	if err := wire.Unmarshal(e.Value, &l); err != nil || !l.Numbered() {
		b.log.Error("corrupt record", "key", key, "err", err)
		return
	}
	b.setLayout(layoutNumbered, l)
}

// decideLayout stores the numbered layout once it is of use and every node can work with it.
// Until then teams are claimed one by one, as older versions do.
func (b *Member) decideLayout(now loop.Micros) {
	if b.layoutState == layoutNumbered || b.storingLayout {
		return
	}
	if b.TeamsOnly || !partition.Needed(len(b.Teams), b.Controllers) {
		b.setLayout(layoutByTeam, partition.Layout{})
		return
	}
	if b.olderVersionRegistered() {
		b.olderSeen = now
		b.setLayout(layoutByTeam, partition.Layout{})
		return
	}
	wait := layoutWait
	if b.olderSeen != 0 || b.teamClaimed() {
		wait = upgradeWait
	}
	if len(b.nodes) >= b.Controllers || now-max(b.olderSeen, b.joined) >= wait {
		b.storeLayout()
	}
}

func (b *Member) olderVersionRegistered() bool {
	for _, rec := range b.nodes {
		if rec.Layouts < layoutGeneration {
			return true
		}
	}
	return false
}

// teamClaimed tells whether a node holds the claim of a team.
func (b *Member) teamClaimed() bool {
	return slices.ContainsFunc(b.Teams, func(team string) bool {
		rec, _, ok := b.claimRecord(teamKeys + team)
		return ok && rec.Partition == ""
	})
}

// storeLayout stores the layout unless one is stored. The first to do so decides for good.
func (b *Member) storeLayout() {
	b.storingLayout = true
	l := partition.Layout{Count: partition.CountFor(b.Controllers)}
	b.c.Txn(store.Leases, wire.Txn{If: []wire.Cond{{Key: partition.LayoutKey, Mark: 0}},
		Then: []wire.Change{{Put: partition.LayoutKey, Value: l}}}, func(r store.Result) {
		again := func() { b.storingLayout = false }
		if r.Outcome == store.Applied {
			b.m.Apply(partition.LayoutKey, wire.Marshal(l), r.Revision, false)
			again()
			return
		}
		b.r.After(claimAgain, again) // the mirror brings what another node has stored
	})
}

// Assigned tells whether a team belongs to its numbered partition for good. Until then a
// node of an older version may claim it.
func (b *Member) Assigned(team string) bool {
	rec, _, ok := b.claimRecord(teamKeys + team)
	return ok && rec.Partition != ""
}

func assignment(l partition.Layout, team string) wire.Change {
	return wire.Change{Put: teamKeys + team, Value: ownerRecord{Partition: l.Of(team)}}
}

// Assign makes teams that nobody holds belong to a partition that this node owns. done
// tells whether they do now.
func (b *Member) Assign(id partition.ID, claim Owner, teams []string, done func(ok bool)) {
	txn := wire.Txn{If: []wire.Cond{ClaimCond(id, claim)}}
	for _, team := range teams {
		txn.If = append(txn.If, wire.Cond{Key: teamKeys + team, Mark: 0})
		txn.Then = append(txn.Then, assignment(b.layout, team))
	}
	b.c.Txn(store.Answers, txn, func(r store.Result) {
		if r.Outcome == store.Applied {
			b.applyAssignments(txn.Then, r.Revision)
		}
		done(r.Outcome == store.Applied)
	})
}

// convertTeams turns this node's claims of teams into assignments, once the layout is
// numbered. Whatever was to be recorded under such a claim fails from then on.
func (b *Member) convertTeams() {
	if !b.layout.Numbered() || b.converting {
		return
	}
	var txn wire.Txn
	for _, team := range b.Teams {
		o, ok := b.mine[teamKeys+team]
		if !ok || len(txn.Then) >= b.c.MaxChanges() {
			continue
		}
		txn.If = append(txn.If, wire.Cond{Key: teamKeys + team, Mark: o.Mark})
		txn.Then = append(txn.Then, assignment(b.layout, team))
	}
	if len(txn.Then) == 0 {
		return
	}
	b.converting = true
	b.c.Txn(store.Leases, txn, func(r store.Result) {
		b.converting = false
		if r.Outcome == store.Applied {
			b.applyAssignments(txn.Then, r.Revision)
			b.convertTeams()
		}
	})
}

func (b *Member) applyAssignments(changes []wire.Change, tally uint64) {
	for _, ch := range changes {
		b.m.Apply(ch.Put, wire.Marshal(ch.Value), tally, false)
	}
}

// reviewAssignment tells of a team that has come to belong to its partition, or that nobody
// holds any more.
func (b *Member) reviewAssignment(key string) {
	if !b.layout.Numbered() {
		return
	}
	team := key[len(teamKeys):]
	rec, _, held := b.claimRecord(key)
	switch {
	case !held && b.OnReleased != nil:
		b.OnReleased(team)
	case rec.Partition != "" && b.OnAssigned != nil:
		b.OnAssigned(team)
	}
}
