package node

import (
	"cleatpick/internal/agent"
	"cleatpick/internal/fleet"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
)

const contactAge = 2500 * loop.Millisecond

// contact tells whether the state service answers this node.
func (n *Node) contact() bool { return n.client.Healthy(contactAge) }

// freshPeer tells what a peer said of itself within the last moments; held-back
// words are told by their time of day.
func (n *Node) freshPeer(label string) (peer.Status, bool) {
	k := n.net.Known(label)
	age := n.loop.Now() - k.Heard
	late := n.loop.Wall() - k.Status.Wall
	off := n.cfg.ClockDifference()
	return k.Status, k.Heard != 0 && age < 2500*loop.Millisecond && late < 3*loop.Second+off
}

// mayStart: without state contact no new start is made, since a cancellation
// may have been told meanwhile.
func (n *Node) mayStart() bool { return n.member.LeaseValid() && n.contact() }

// barred tells why a start that was taken on must not reach its machine any more.
func (n *Node) barred(j *job.Job, v *agent.View) string {
	switch {
	case j.Terms.Hold.State != job.HoldNone && j.Terms.Hold.Shut(n.loop.Wall()):
		return "held"
	case n.cordons.Blocked(fleet.Where(v)):
		return "cordoned"
	}
	return ""
}

// mayAnswer tells whether reports may be answered, else where to send the worker. Each answer
// holds a lease, so how far the knowledge of cancellations reaches decides, and nothing else.
func (n *Node) mayAnswer() (bool, string) {
	if n.member.Epoch() == 0 {
		return false, n.coach()
	}
	if !n.contact() {
		if to := n.coach(); to != "" {
			return false, to
		}
	}
	if !n.horizon.Holds() {
		return false, n.coach()
	}
	return true, ""
}

// coach names a peer that has state contact: one that is trusted, if there is any. The
// others too would do, but all workers would follow one that comes and goes.
func (n *Node) coach() string {
	best, least, trusted := "", 0, false
	for _, label := range n.net.Peers() {
		s, fresh := n.freshPeer(label)
		if !fresh || !s.Contact {
			continue
		}
		if fit := n.reach.Fit(label); best == "" || fit && !trusted || fit == trusted && s.Hosted < least {
			best, least, trusted = label, s.Hosted, fit
		}
	}
	return best
}

// ready tells whether users' requests can be decided here.
func (n *Node) ready() bool {
	return n.mirror.Ready() && (n.contact() || !n.client.Failing())
}

// healthy: a node that alone has lost the state service sends its users to the
// others; when nobody has it, they stay and are told to come back.
func (n *Node) healthy() bool {
	if !n.mirror.Ready() || !n.rental.Asked() {
		return false
	}
	return n.contact() || n.coach() == ""
}
