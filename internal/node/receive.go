package node

import (
	"cleatpick/internal/job"
	"cleatpick/internal/peer"
	"cleatpick/internal/reach"
)

// receive applies a message of a peer.
func (n *Node) receive(e *peer.Envelope) {
	if s := e.Status; s != nil {
		n.reach.Hear(e.From, reach.Word{Wall: s.Wall, Contact: s.Contact, Hears: s.Reachable})
	}
	n.watermark.Hear(e.From, e.Incarnation, e.Watermark)
	n.member.LearnTeams(e.Teams)
	for _, v := range e.Views {
		if v != nil && v.Name != "" {
			n.agent.Learn(v)
		}
	}
	n.applyDeltas(e)
	for _, c := range e.StartBlocks {
		n.agent.Close(c.Machine, c.Until)
	}
	for _, s := range e.Stops {
		n.agent.Stop(s)
	}
	for _, name := range e.Checks {
		n.agent.Check(name)
	}
	for _, s := range e.Reserves {
		n.agent.Reserve(s)
	}
	for _, s := range e.Starts {
		n.agent.Start(s)
	}
	for _, d := range e.Drops {
		n.placer.Drop(e.From, d)
	}
	if e.Demand != nil {
		n.rental.Tally(e.From, *e.Demand)
	}
	for _, p := range e.Progress {
		if j := n.jobs.Get(p.Job); j == nil || !j.Final() {
			n.progress[p.Job] = job.Counts{Done: p.Done, Running: p.Running}
		}
	}
	n.applyCauses(e.Progress, false)
	if n.apiParts != nil {
		n.apiParts.questions.Take(e)
	}
	n.jobs.LearnPlaces(e.Places)
	n.placer.Learn(e.Usage)
	n.placer.LearnClaims(e.Reservations)
}

// applyDeltas applies the incremental changes of machines that a peer sent, and requests the full view of each
// machine for which this controller lacks the base. It also sends the full views that the peer requests.
func (n *Node) applyDeltas(e *peer.Envelope) {
	var lost []string
	for _, d := range e.Deltas {
		if d != nil && d.Name != "" && n.agent.LearnDelta(e.From, d) {
			lost = append(lost, d.Name)
		}
	}
	if len(lost) > 0 {
		n.net.Send(e.From, func(o *peer.Envelope) { o.MissingViews = append(o.MissingViews, lost...) })
	}
	if views := n.agent.Full(e.MissingViews); len(views) > 0 {
		n.net.Send(e.From, func(o *peer.Envelope) { o.Views = append(o.Views, views...) })
	}
}
