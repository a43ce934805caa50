package node

import (
	"hash/fnv"
	"slices"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/reachability"
)

// How soon a worker that was redirected to another controller and came back is redirected again. A controller that
// reaches only its workers redirects twice within the first ten seconds and then rarely: each redirection may cost the
// worker a wait for an answer that does not come, and where no controller has contact to the state service that time
// is taken from the last seconds in which its lease could be kept.
const (
	redirectInterval         = 10 * eventloop.Second
	earlyRedirectInterval    = 5 * eventloop.Second
	isolatedRedirectInterval = 60 * eventloop.Second
)

// trackIsolation records since when no peer is reachable.
func (n *Node) trackIsolation() {
	if !n.reachability.Isolated() {
		n.isolatedSince = 0
	} else if n.isolatedSince == 0 {
		n.isolatedSince = n.loop.Now()
	}
}

// redirect reports whether a worker should report to another controller, to which one, and after how long it is
// redirected again. Only a controller that reaches no peer redirects its workers: to the leader if no two controllers
// reach each other, and otherwise to the others in turn. If the state service answers, only peers that are
// registered there are used, and only after enough time that crashed ones have lost their leases. The answer names a
// peer, because a worker that searches by itself waits 4 s for each one that does not answer; where the others had
// crashed, that took so long that all leases expired and all running tasks were lost.
func (n *Node) redirect(machine string, before int) (redirected bool, to string, again eventloop.Micros) {
	again = redirectInterval
	contact := n.hasStateContact()
	switch sinceContact := n.loop.Now() - n.client.LastContact(); {
	case contact:
	case sinceContact > redirectInterval:
		again = isolatedRedirectInterval
	default:
		again = earlyRedirectInterval
	}
	if !n.reachability.Isolated() {
		return false, "", again
	}
	others := n.net.Peers()
	if contact {
		leasesExpiredAfter := eventloop.Seconds(n.cfg.Operator.NodeLeaseS) + eventloop.Second - reachability.MaxAge
		if n.isolatedSince == 0 || n.loop.Now()-n.isolatedSince < leasesExpiredAfter {
			return false, "", again
		}
		others = slices.DeleteFunc(others, func(l string) bool { return !n.member.Registered(l) })
	}
	if len(others) == 0 {
		return false, "", again
	}
	if n.member.AllIsolated() {
		if _, leads := n.member.Leads(); leads {
			return false, "", again
		}
		if o, ok := n.member.Leader(); ok && o.Node != n.cfg.Label {
			return true, o.Node, again
		}
	}
	h := fnv.New32a()
	h.Write([]byte(machine)) // spreads the workers over the peers; "before" selects another peer each time
	return true, others[(int(h.Sum32()>>1)+before)%len(others)], again
}
