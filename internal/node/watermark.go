package node

import (
	"cleatpick/internal/horizon"
	"cleatpick/internal/loop"
	"cleatpick/internal/store"
)

// setUpWatermark sets up the cancellation watermark, the latest time up to which this controller knows all
// cancellations, and connects it to everything that advances it: the mirror of the state service, messages of peers,
// and every way in which this controller learns of a cancellation.
func (n *Node) setUpWatermark() {
	w := &n.cfg.Cluster.Workers
	grace := horizon.Grace(loop.Seconds(w.LeaseS), loop.Seconds(w.CancelS))
	n.mirror.WatchWait = horizon.WatchWait(grace, n.cfg.Cluster.State.RPS*0.9/float64(max(n.cfg.Cluster.Nodes, 1)))
	n.watermark = horizon.New(n.loop, n.log, n.net.Incarnation, grace, n.net.Peers())
	n.mirror.OnSynced(func(s store.Synced) { n.watermark.RecordSync(s.SentAt, s.Revision) })
	n.watermark.RecordFromPeer = func(o horizon.Cancellation) bool { return n.jobs.ApplyPeerCancellation(o.Job, o.Revision) }
	n.watermark.Discarded = func(string, string) { n.meter.InvalidWatermark() }
	if grace < 2*maxContactAge {
		n.log.Warn("cluster.workers.cancel_s barely exceeds cluster.workers.lease_s; running tasks survive only very short outages of the state service",
			"cancel_s", w.CancelS, "lease_s", w.LeaseS, "left_us", grace)
	}
}
