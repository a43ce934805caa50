package node

import (
	"hash/fnv"
	"slices"

	"cleatpick/internal/loop"
	"cleatpick/internal/reach"
)

// A worker that was sent on, and came back, is sent on once more after a while. By a node that
// has nothing but its workers it is twice within the first ten seconds, and not any more after
// that: each time it may wait in vain for an answer, and where no node has contact that was lost
// from the last moments in which its lease could be kept.
const (
	sendOnAgain = 10 * loop.Second
	sendOnEarly = 5 * loop.Second
	sendOnCut   = 60 * loop.Second
)

// isolate notes since when no peer is heard.
func (n *Node) isolate() {
	if !n.reach.Isolated() {
		n.isolated = 0
	} else if n.isolated == 0 {
		n.isolated = n.loop.Now()
	}
}

// sendOn tells whether workers should report elsewhere, and after how long once more. A node
// that hears no peer sends them on: to the leader, where no node hears another, or else to each
// of the others in turn. Which of these live it knows from the state service, once those that do
// not have lost their leases. It names one, since a worker that is to find one by itself waits 4 s
// for each that is silent: that cost the leases of all that ran, where the others had died.
func (n *Node) sendOn(machine string, before int) (on bool, to string, again loop.Micros) {
	again = sendOnAgain
	contact := n.contact()
	switch lost := n.loop.Now() - n.client.LastContact(); {
	case contact:
	case lost > sendOnAgain:
		again = sendOnCut
	default:
		again = sendOnEarly
	}
	if !n.reach.Isolated() {
		return false, "", again
	}
	others := n.net.Peers()
	if contact {
		proof := loop.Seconds(n.cfg.Operator.NodeLeaseS) + loop.Second - reach.Fresh
		if n.isolated == 0 || n.loop.Now()-n.isolated < proof {
			return false, "", again
		}
		others = slices.DeleteFunc(others, func(l string) bool { return !n.member.Registered(l) })
	}
	if len(others) == 0 {
		return false, "", again
	}
	if n.member.AllAlone() {
		if _, leads := n.member.Leads(); leads {
			return false, "", again
		}
		if o, ok := n.member.Leader(); ok && o.Node != n.cfg.Label {
			return true, o.Node, again
		}
	}
	h := fnv.New32a()
	h.Write([]byte(machine)) // all of a node's workers are spread, and each goes elsewhere the next time
	return true, others[(int(h.Sum32()>>1)+before)%len(others)], again
}
