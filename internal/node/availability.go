package node

import (
	"cleatpick/internal/eventloop"
	"cleatpick/internal/fleet"
	"cleatpick/internal/job"
	"cleatpick/internal/peer"
	"cleatpick/internal/workers"
)

// maxContactAge is how old the last answer of the state service may be for this controller to count as connected to it.
const maxContactAge = 2500 * eventloop.Millisecond

// hasStateContact reports whether the state service answers this controller.
func (n *Node) hasStateContact() bool { return n.client.Healthy(maxContactAge) }

// freshStatus returns the newest status of a peer, and whether it is recent. A message that was delayed in the network
// is detected by the wall clock time it carries.
func (n *Node) freshStatus(label string) (peer.Status, bool) {
	k := n.net.State(label)
	age := n.loop.Now() - k.ReceivedAt
	late := n.loop.Wall() - k.Status.Wall
	off := n.cfg.ClockDifference()
	return k.Status, k.ReceivedAt != 0 && age < 2500*eventloop.Millisecond && late < 3*eventloop.Second+off
}

// mayStart reports whether new tasks may be started. Without contact to the state service none are, since another
// controller may have confirmed a cancellation in the meantime.
func (n *Node) mayStart() bool { return n.member.LeaseValid() && n.hasStateContact() }

// startBlocked returns why a start that was already accepted must no longer be sent to its machine; empty: it may be
// sent.
func (n *Node) startBlocked(j *job.Job, v *workers.View) string {
	switch {
	case j.Terms.Hold.State != job.HoldNone && j.Terms.Hold.Blocks(n.loop.Wall()):
		return "held"
	case n.cordons.Blocked(fleet.CordonPlace(v)):
		return "cordoned"
	}
	return ""
}

// mayAnswer reports whether workers' reports may be answered, and otherwise which peer the worker should report to.
// Each answer renews a worker's lease, so the only criterion is how recent the cancellation watermark is.
func (n *Node) mayAnswer() (bool, string) {
	if n.member.Epoch() == 0 {
		return false, n.redirectTarget()
	}
	if !n.hasStateContact() {
		if to := n.redirectTarget(); to != "" {
			return false, to
		}
	}
	if !n.watermark.MayAnswerReports() {
		return false, n.redirectTarget()
	}
	return true, ""
}

// redirectTarget returns a peer that has contact to the state service, preferring one that reachability counts as
// stable, and then the one with the fewest workers; empty: there is none. An unstable peer is only the last choice,
// because all workers would move to it and back each time its connection flaps.
func (n *Node) redirectTarget() string {
	best, least, trusted := "", 0, false
	for _, label := range n.net.Peers() {
		s, fresh := n.freshStatus(label)
		if !fresh || !s.Contact {
			continue
		}
		if fit := n.reachability.Fit(label); best == "" || fit && !trusted || fit == trusted && s.Hosted < least {
			best, least, trusted = label, s.Hosted, fit
		}
	}
	return best
}

// ready reports whether users' requests can be decided here.
func (n *Node) ready() bool {
	return n.mirror.Ready() && (n.hasStateContact() || !n.client.Failing())
}

// healthy reports whether users should be routed to this controller. One that alone has lost the state service is
// unhealthy, so that its users go to the others. If no controller has contact, users stay and are deferred.
func (n *Node) healthy() bool {
	if !n.mirror.Ready() || !n.autoscaler.CatalogKnown() {
		return false
	}
	return n.hasStateContact() || n.redirectTarget() == ""
}
