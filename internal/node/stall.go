package node

import "cleatpick/internal/loop"

// watchStalls sees to what cannot wait when the process stood still while its clocks ran on. What
// came meanwhile is handled after it: users whose time is over are told so before anybody who
// asked later is answered.
func (n *Node) watchStalls() {
	loop.Stalls(n.loop).OnStall(func(s loop.Stall) {
		n.log.Warn("the process stood still", "from_us", s.From, "took_us", s.To-s.From)
		n.meter.Stall(s.To - s.From)
		n.jobs.Expire()
	})
}
