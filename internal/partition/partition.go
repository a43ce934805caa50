// Package partition maps teams to partitions. A partition is the unit of ownership: one
// controller owns it by a claim in the state service, hands it over as a whole and recovers
// it from one task log.
//
// There are two layouts. In the team layout every team is a separate partition. In the
// numbered layout all teams are distributed by a stable hash over a fixed number of
// partitions, which is stored once for the lifetime of the cluster. The package decides the
// mapping and the keys in the state service; it holds no state and does no I/O.
package partition

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ID identifies a partition: "t/" and a team, or "p/" and a number.
type ID string

const (
	teamPrefix     = "t/"
	numberedPrefix = "p/"
	claimRoot      = "c/"
	teamLogRoot    = "x/"
)

const (
	// ClaimPrefix is the prefix of the claims of numbered partitions.
	ClaimPrefix = claimRoot + numberedPrefix
	// TeamClaimPrefix is the prefix of the claims of single teams.
	TeamClaimPrefix = claimRoot + teamPrefix
	// TeamLogPrefix is the prefix of the task logs of all single teams.
	TeamLogPrefix = teamLogRoot
	// LayoutKey is the key of the stored layout.
	LayoutKey = claimRoot + "partitions"
)

// partitionsPerController is the number of numbered partitions for each controller. Each partition
// writes to the state service on its own, so more partitions cost more of its write rate;
// fewer partitions spread a failed controller's work over fewer of the others.
const partitionsPerController = 2

// Layout maps teams to partitions. The zero value is the team layout.
type Layout struct {
	Count int `cbor:"n"` // number of numbered partitions; 0: the team layout
}

// CountFor returns the number of numbered partitions for a number of controllers.
func CountFor(controllers int) int { return partitionsPerController * max(controllers, 1) }

// Needed reports whether there are more teams than numbered partitions, so that sharing
// partitions costs fewer writes than one partition for each team.
func Needed(teams, controllers int) bool { return teams > CountFor(controllers) }

// Numbered reports whether teams share numbered partitions.
func (l Layout) Numbered() bool { return l.Count > 0 }

// ForTeam returns the partition of a team in the team layout.
func ForTeam(team string) ID { return ID(teamPrefix + team) }

// Of returns the partition of a team.
func (l Layout) Of(team string) ID {
	if !l.Numbered() {
		return ForTeam(team)
	}
	return numberedID(int(xxhash.Sum64String(team) % uint64(l.Count)))
}

func numberedID(no int) ID { return ID(fmt.Sprintf("%s%04d", numberedPrefix, no)) }

// All returns all partitions of the layout, given all teams.
func (l Layout) All(teams []string) []ID {
	var all []ID
	if !l.Numbered() {
		for _, team := range teams {
			all = append(all, ForTeam(team))
		}
		return all
	}
	for no := range l.Count {
		all = append(all, numberedID(no))
	}
	return all
}

// Teams returns those of the given teams that belong to a partition.
func (l Layout) Teams(id ID, teams []string) []string {
	if team, ok := id.Team(); ok {
		if slices.Contains(teams, team) {
			return []string{team}
		}
		return nil
	}
	var out []string
	for _, team := range teams {
		if l.Of(team) == id {
			out = append(out, team)
		}
	}
	return out
}

// Team returns the team of a partition of the team layout; ok is false for a numbered one.
func (id ID) Team() (team string, ok bool) { return strings.CutPrefix(string(id), teamPrefix) }

// ClaimKey returns the key of the partition's claim.
func (id ID) ClaimKey() string { return claimRoot + string(id) }

// FromClaimKey returns the partition whose claim is stored under a key.
func FromClaimKey(key string) ID { return ID(strings.TrimPrefix(key, claimRoot)) }

// LogPrefix returns the prefix of the keys of the partition's task log.
func (id ID) LogPrefix() string {
	if team, ok := id.Team(); ok {
		return teamLogRoot + team + "/"
	}
	return string(id) + "/"
}
