package node

import (
	"cleatpick/internal/horizon"
	"cleatpick/internal/loop"
	"cleatpick/internal/store"
)

// overlook wires the judge of how far this node's knowledge of cancellations reaches to what
// moves it: the mirror, the peers, and every way in which a cancellation is learnt here.
func (n *Node) overlook() {
	w := &n.cfg.Cluster.Workers
	grace := horizon.Grace(loop.Seconds(w.LeaseS), loop.Seconds(w.CancelS))
	n.mirror.WatchWait = horizon.WatchWait(grace, n.cfg.Cluster.State.RPS*0.9/float64(max(n.cfg.Cluster.Nodes, 1)))
	n.horizon = horizon.New(n.loop, n.log, n.net.Life, grace, n.net.Peers())
	n.mirror.OnSynced(func(s store.Synced) { n.horizon.RecordSync(s.SentAt, s.Revision) })
	n.horizon.RecordFromPeer = func(o horizon.Cancellation) bool { return n.jobs.ApplyPeerCancellation(o.Job, o.Revision) }
	n.horizon.Discarded = func(string, string) { n.meter.HorizonWord() }
	if grace < 2*contactAge {
		n.log.Warn("cluster.workers.cancel_s is so close to cluster.workers.lease_s that work outlives hardly any outage of the state service",
			"cancel_s", w.CancelS, "lease_s", w.LeaseS, "left_us", grace)
	}
}
