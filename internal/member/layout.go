package member

import (
	"slices"

	"cleatpick/internal/loop"
	"cleatpick/internal/partition"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// layoutGeneration is the newest generation of layouts that this version supports.
const layoutGeneration = 1

// layoutState is what this controller knows of the layout in force.
type layoutState int

// The states of the layout. It becomes numbered at most once and never changes after that.
const (
	layoutUndecided layoutState = iota // only the leadership is claimed
	layoutByTeam                       // each team has a separate claim
	layoutNumbered                     // stored in the state service
)

func (s layoutState) String() string { return [...]string{"undecided", "by team", "numbered"}[s] }

const (
	// layoutWait is how long a controller that starts waits for the others to register, so
	// that one of an older version is seen before the layout is stored.
	layoutWait = 2500 * loop.Millisecond
	// upgradeWait replaces it where single teams are claimed or an older version was seen: a
	// controller that is being replaced during an upgrade is absent for a while.
	upgradeWait = 60 * loop.Second
)

// Layout returns the layout in force as far as this controller knows.
func (b *Member) Layout() partition.Layout { return b.layout }

func (b *Member) setLayout(s layoutState, l partition.Layout) {
	if s == b.layoutState && l == b.layout {
		return
	}
	b.log.Info("partition layout changed", "from", b.layoutState.String(), "to", s.String(), "partitions", l.Count)
	b.layoutState, b.layout = s, l
}

// generation is the generation of layouts that this controller registers.
func (b *Member) generation() int {
	if b.TeamsOnly {
		return 0
	}
	return layoutGeneration
}

// applyLayout applies the stored layout. A corrupt record changes nothing.
func (b *Member) applyLayout(key string, e store.Entry) {
	if e.Revision == 0 || key != partition.LayoutKey || b.TeamsOnly {
		return
	}
	var l partition.Layout
	if err := wire.Unmarshal(e.Value, &l); err != nil || !l.Numbered() {
		b.log.Error("corrupt partition layout record ignored; the layout known so far stays in force", "key", key, "err", err)
		return
	}
	b.setLayout(layoutNumbered, l)
}

// decideLayout stores the numbered layout once there are enough teams for it and every
// controller supports it. Until then single teams are claimed, as older versions do.
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
	if len(b.nodes) >= b.Controllers || now-max(b.olderSeen, b.leaseSince) >= wait {
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

// teamClaimed reports whether any controller holds the claim of a single team.
func (b *Member) teamClaimed() bool {
	return slices.ContainsFunc(b.Teams, func(team string) bool {
		rec, _, ok := b.claimRecord(teamKeys + team)
		return ok && rec.Partition == ""
	})
}

// storeLayout stores the layout unless one is stored already. The first one stored is final.
func (b *Member) storeLayout() {
	b.storingLayout = true
	l := partition.Layout{Count: partition.CountFor(b.Controllers)}
	b.client.Txn(store.Leases, wire.Txn{If: []wire.Cond{{Key: partition.LayoutKey, Revision: 0}},
		Then: []wire.Change{{Put: partition.LayoutKey, Value: l}}}, func(r store.Result) {
		retry := func() { b.storingLayout = false }
		if r.Outcome == store.Applied {
			b.mirror.Apply(partition.LayoutKey, wire.Marshal(l), r.Revision, false)
			retry()
			return
		}
		b.runner.After(claimRetry, retry) // a layout stored by another controller arrives through the mirror
	})
}

// Assigned reports whether a team permanently belongs to its numbered partition. Until then
// a controller of an older version may claim it.
func (b *Member) Assigned(team string) bool {
	rec, _, ok := b.claimRecord(teamKeys + team)
	return ok && rec.Partition != ""
}

func assignment(l partition.Layout, team string) wire.Change {
	return wire.Change{Put: teamKeys + team, Value: ownerRecord{Partition: l.Of(team)}}
}

// Assign assigns teams that no controller claims to a partition that this controller owns. done is
// called with whether that was stored.
func (b *Member) Assign(id partition.ID, claim Owner, teams []string, done func(ok bool)) {
	txn := wire.Txn{If: []wire.Cond{ClaimCond(id, claim)}}
	for _, team := range teams {
		txn.If = append(txn.If, wire.Cond{Key: teamKeys + team, Revision: 0})
		txn.Then = append(txn.Then, assignment(b.layout, team))
	}
	b.client.Txn(store.Answers, txn, func(r store.Result) {
		if r.Outcome == store.Applied {
			b.applyAssignments(txn.Then, r.Revision)
		}
		done(r.Outcome == store.Applied)
	})
}

// convertTeams replaces this controller's claims of single teams by assignments once the
// layout is numbered. Transactions conditioned on such a claim fail from then on.
func (b *Member) convertTeams() {
	if !b.layout.Numbered() || b.converting {
		return
	}
	var txn wire.Txn
	for _, team := range b.Teams {
		o, ok := b.owned[teamKeys+team]
		if !ok || len(txn.Then) >= b.client.MaxChanges() {
			continue
		}
		txn.If = append(txn.If, wire.Cond{Key: teamKeys + team, Revision: o.Revision})
		txn.Then = append(txn.Then, assignment(b.layout, team))
	}
	if len(txn.Then) == 0 {
		return
	}
	b.converting = true
	b.client.Txn(store.Leases, txn, func(r store.Result) {
		b.converting = false
		if r.Outcome == store.Applied {
			b.applyAssignments(txn.Then, r.Revision)
			b.convertTeams()
		}
	})
}

func (b *Member) applyAssignments(changes []wire.Change, storeRevision uint64) {
	for _, ch := range changes {
		b.mirror.Apply(ch.Put, wire.Marshal(ch.Value), storeRevision, false)
	}
}

// reviewAssignment calls OnAssigned for a team that has been assigned to its partition, and
// OnReleased for one that no controller claims any more.
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
