package node

import "cleatpick/internal/eventloop"

// watchPauses handles process pauses, in which the process does not run although its clocks advance. Users whose
// requests timed out during the pause are answered first; only then are requests handled that arrived during it.
func (n *Node) watchPauses() {
	eventloop.Pauses(n.loop).OnPause(func(s eventloop.Pause) {
		n.log.Warn("process was paused; requests that timed out during the pause are refused", "from_us", s.From, "took_us", s.To-s.From)
		n.meter.Pause(s.To - s.From)
		n.jobs.Expire()
	})
}
