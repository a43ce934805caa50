package node

import (
	"cleatpick/internal/job"
	"cleatpick/internal/peer"
	"cleatpick/internal/reachability"
)

// receive applies a message of a peer.
func (n *Node) receive(e *peer.Envelope) {
	if s := e.Status; s != nil {
		n.reachability.Receive(e.From, reachability.Message{Wall: s.Wall, StateContact: s.Contact, ReceivesFrom: s.Reachable})
	}
	n.watermark.Receive(e.From, e.Incarnation, e.Watermark)
	n.member.RecordTeams(e.Teams)
	for _, v := range e.Views {
		if v != nil && v.Name != "" {
			n.workers.ApplyView(v)
		}
	}
	n.applyDeltas(e)
	for _, c := range e.StartBlocks {
		n.workers.CloseToStarts(c.Machine, c.Until)
	}
	for _, s := range e.Stops {
		n.workers.Stop(s)
	}
	for _, name := range e.TaskListRequests {
		n.workers.RequestTaskList(name)
	}
	for _, s := range e.StartReservations {
		n.workers.Reserve(s)
	}
	for _, s := range e.Starts {
		n.workers.Start(s)
	}
	for _, d := range e.Rejections {
		n.scheduler.StartRejected(e.From, d)
	}
	if e.Demand != nil {
		n.autoscaler.UpdateDemand(e.From, *e.Demand)
	}
	for _, p := range e.Progress {
		if j := n.jobs.Get(p.Job); j == nil || !j.Final() {
			n.progress[p.Job] = job.Counts{Done: p.Done, Running: p.Running}
		}
	}
	n.applyCauses(e.Progress, false)
	if n.apiParts != nil {
		n.apiParts.questions.Receive(e)
	}
	n.jobs.ApplyQueuePositions(e.QueuePositions)
	n.scheduler.UsageReceived(e.Usage)
	n.scheduler.ReservationsReceived(e.Reservations)
}

// applyDeltas applies the incremental changes of machines that a peer sent, and requests the full view of each
// machine for which this controller lacks the base. It also sends the full views that the peer requests.
func (n *Node) applyDeltas(e *peer.Envelope) {
	var missing []string
	for _, d := range e.Deltas {
		if d != nil && d.Name != "" && n.workers.ApplyDelta(e.From, d) {
			missing = append(missing, d.Name)
		}
	}
	if len(missing) > 0 {
		n.net.Send(e.From, func(o *peer.Envelope) { o.MissingViews = append(o.MissingViews, missing...) })
	}
	if views := n.workers.FullViews(e.MissingViews); len(views) > 0 {
		n.net.Send(e.From, func(o *peer.Envelope) { o.Views = append(o.Views, views...) })
	}
}
