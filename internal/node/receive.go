package node

import (
	"cleatpick/internal/job"
	"cleatpick/internal/peer"
	"cleatpick/internal/reachability"
)

// receive applies a message of a peer.
func (n *Node) receive(e *peer.Envelope) {
	if s := e.Status; s != nil {
		n.reach.Receive(e.From, reachability.Message{Wall: s.Wall, StateContact: s.Contact, ReceivesFrom: s.Reachable})
	}
	n.watermark.Receive(e.From, e.Incarnation, e.Watermark)
	n.member.RecordTeams(e.Teams)
	for _, v := range e.Views {
		if v != nil && v.Name != "" {
			n.agent.ApplyView(v)
		}
	}
	n.applyDeltas(e)
	for _, c := range e.StartBlocks {
		n.agent.CloseToStarts(c.Machine, c.Until)
	}
	for _, s := range e.Stops {
		n.agent.Stop(s)
	}
	for _, name := range e.Checks {
		n.agent.RequestTaskList(name)
	}
	for _, s := range e.Reserves {
		n.agent.Reserve(s)
	}
	for _, s := range e.Starts {
		n.agent.Start(s)
	}
	for _, d := range e.Drops {
		n.placer.StartRejected(e.From, d)
	}
	if e.Demand != nil {
		n.rental.UpdateDemand(e.From, *e.Demand)
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
	n.jobs.ApplyQueuePositions(e.Places)
	n.placer.UsageReceived(e.Usage)
	n.placer.ReservationsReceived(e.Reservations)
}

// applyDeltas applies the incremental changes of machines that a peer sent, and requests the full view of each
// machine for which this controller lacks the base. It also sends the full views that the peer requests.
func (n *Node) applyDeltas(e *peer.Envelope) {
	var lost []string
	for _, d := range e.Deltas {
		if d != nil && d.Name != "" && n.agent.ApplyDelta(e.From, d) {
			lost = append(lost, d.Name)
		}
	}
	if len(lost) > 0 {
		n.net.Send(e.From, func(o *peer.Envelope) { o.MissingViews = append(o.MissingViews, lost...) })
	}
	if views := n.agent.FullViews(e.MissingViews); len(views) > 0 {
		n.net.Send(e.From, func(o *peer.Envelope) { o.Views = append(o.Views, views...) })
	}
}
