package membership

import (
	"slices"

	"cleatpick/internal/eventloop"
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
	layoutWait = 2500 * eventloop.Millisecond
	// upgradeWait replaces it where single teams are claimed or an older version was seen: a
	// controller that is being replaced during an upgrade is absent for a while.
	upgradeWait = 60 * eventloop.Second
)

// Layout returns the layout in force as far as this controller knows.
func (m *Member) Layout() partition.Layout { return m.layout }

func (m *Member) setLayout(s layoutState, l partition.Layout) {
	if s == m.layoutState && l == m.layout {
		return
	}
	m.log.Info("partition layout changed", "from", m.layoutState.String(), "to", s.String(), "partitions", l.Count)
	m.layoutState, m.layout = s, l
}

// generation is the generation of layouts that this controller registers.
func (m *Member) generation() int {
	if m.TeamsOnly {
		return 0
	}
	return layoutGeneration
}

// applyLayout applies the stored layout. A corrupt record changes nothing.
func (m *Member) applyLayout(key string, e store.Entry) {
	if e.Revision == 0 || key != partition.LayoutKey || m.TeamsOnly {
		return
	}
	var l partition.Layout
	if err := wire.Unmarshal(e.Value, &l); err != nil || !l.Numbered() {
		m.log.Error("corrupt partition layout record ignored; the layout known so far stays in force", "key", key, "err", err)
		return
	}
	m.setLayout(layoutNumbered, l)
}

// decideLayout stores the numbered layout once there are enough teams for it and every
// controller supports it. Until then single teams are claimed, as older versions do.
func (m *Member) decideLayout(now eventloop.Micros) {
	if m.layoutState == layoutNumbered || m.storingLayout {
		return
	}
	if m.TeamsOnly || !partition.Needed(len(m.Teams), m.Controllers) {
		m.setLayout(layoutByTeam, partition.Layout{})
		return
	}
	if m.olderVersionRegistered() {
		m.olderSeen = now
		m.setLayout(layoutByTeam, partition.Layout{})
		return
	}
	wait := layoutWait
	if m.olderSeen != 0 || m.teamClaimed() {
		wait = upgradeWait
	}
	if len(m.nodes) >= m.Controllers || now-max(m.olderSeen, m.leaseSince) >= wait {
		m.storeLayout()
	}
}

func (m *Member) olderVersionRegistered() bool {
	for _, rec := range m.nodes {
		if rec.Layouts < layoutGeneration {
			return true
		}
	}
	return false
}

// teamClaimed reports whether any controller holds the claim of a single team.
func (m *Member) teamClaimed() bool {
	return slices.ContainsFunc(m.Teams, func(team string) bool {
		rec, _, ok := m.claimRecord(teamKeys + team)
		return ok && rec.Partition == ""
	})
}

// storeLayout stores the layout unless one is stored already. The first one stored is final.
func (m *Member) storeLayout() {
	m.storingLayout = true
	l := partition.Layout{Count: partition.CountFor(m.Controllers)}
	m.client.Txn(store.Leases, wire.Txn{If: []wire.Cond{{Key: partition.LayoutKey, Revision: 0}},
		Then: []wire.Change{{Put: partition.LayoutKey, Value: l}}}, func(r store.Result) {
		retry := func() { m.storingLayout = false }
		if r.Outcome == store.Applied {
			m.mirror.Apply(partition.LayoutKey, wire.Marshal(l), r.Revision, false)
			retry()
			return
		}
		m.runner.After(claimRetry, retry) // a layout stored by another controller arrives through the mirror
	})
}

// Assigned reports whether a team permanently belongs to its numbered partition. Until then
// a controller of an older version may claim it.
func (m *Member) Assigned(team string) bool {
	rec, _, ok := m.claimRecord(teamKeys + team)
	return ok && rec.Partition != ""
}

func assignment(l partition.Layout, team string) wire.Change {
	return wire.Change{Put: teamKeys + team, Value: ownerRecord{Partition: l.Of(team)}}
}

// Assign assigns teams that no controller claims to a partition that this controller owns. done is
// called with whether that was stored.
func (m *Member) Assign(id partition.ID, claim Owner, teams []string, done func(ok bool)) {
	txn := wire.Txn{If: []wire.Cond{ClaimCond(id, claim)}}
	for _, team := range teams {
		txn.If = append(txn.If, wire.Cond{Key: teamKeys + team, Revision: 0})
		txn.Then = append(txn.Then, assignment(m.layout, team))
	}
	m.client.Txn(store.Answers, txn, func(r store.Result) {
		if r.Outcome == store.Applied {
			m.applyAssignments(txn.Then, r.Revision)
		}
		done(r.Outcome == store.Applied)
	})
}

// convertTeams replaces this controller's claims of single teams by assignments once the
// layout is numbered. Transactions conditioned on such a claim fail from then on.
func (m *Member) convertTeams() {
	if !m.layout.Numbered() || m.converting {
		return
	}
	var txn wire.Txn
	for _, team := range m.Teams {
		o, ok := m.owned[teamKeys+team]
		if !ok || len(txn.Then) >= m.client.MaxChanges() {
			continue
		}
		txn.If = append(txn.If, wire.Cond{Key: teamKeys + team, Revision: o.Revision})
		txn.Then = append(txn.Then, assignment(m.layout, team))
	}
	if len(txn.Then) == 0 {
		return
	}
	m.converting = true
	m.client.Txn(store.Leases, txn, func(r store.Result) {
		m.converting = false
		if r.Outcome == store.Applied {
			m.applyAssignments(txn.Then, r.Revision)
			m.convertTeams()
		}
	})
}

func (m *Member) applyAssignments(changes []wire.Change, storeRevision uint64) {
	for _, ch := range changes {
		m.mirror.Apply(ch.Put, wire.Marshal(ch.Value), storeRevision, false)
	}
}

// reviewAssignment calls OnAssigned for a team that has been assigned to its partition, and
// OnReleased for one that no controller claims any more.
func (m *Member) reviewAssignment(key string) {
	if !m.layout.Numbered() {
		return
	}
	team := key[len(teamKeys):]
	rec, _, held := m.claimRecord(key)
	switch {
	case !held && m.OnReleased != nil:
		m.OnReleased(team)
	case rec.Partition != "" && m.OnAssigned != nil:
		m.OnAssigned(team)
	}
}
