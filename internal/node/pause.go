package node

import "cleatpick/internal/loop"

// watchPauses handles process pauses, in which the process does not run although its clocks go on. Users whose
// requests timed out during the pause are answered first; only then are requests handled that arrived during it.
func (n *Node) watchPauses() {
	loop.Pauses(n.loop).OnPause(func(s loop.Pause) {
		n.log.Warn("process was paused; requests that timed out meanwhile are refused", "from_us", s.From, "took_us", s.To-s.From)
		n.meter.Pause(s.To - s.From)
		n.jobs.Expire()
	})
}
