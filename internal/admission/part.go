package admission

// headroom is the part of the state service's limits that is used: bursts of several nodes
// may meet, and what is refused there costs a tenth of a second.
const headroom = 0.9

// absentWeight is what a node that is not registered counts for, beside one that is: it
// reads, and asks for its lease, and writes nothing else.
const absentWeight = 0.25

// Part is the part of the state service's limits that a node may use, of so many nodes, of
// which so many are registered. A node's registration hangs on its lease, so a part is
// a lease as well: what a node that is away does not use, the others do. While all know
// the same of who is registered, the parts of all add up to the same, whoever is. A node that
// learns of a change later than the others may use its old part for as long as that takes,
// at most a node's lease: the service then refuses what is too much, which is tried again.
func Part(registered, nodes int, mine bool) float64 {
	nodes = max(nodes, 1)
	registered = min(max(registered, 0), nodes)
	self := absentWeight
	if mine {
		registered = max(registered, 1)
		self = 1
	}
	return headroom * self / (float64(registered) + absentWeight*float64(nodes-registered))
}
