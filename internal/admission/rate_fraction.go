package admission

// usableFraction is the fraction of the state service's limits that is used. The rest is left for bursts of
// several controllers at the same time; a request that the service refuses costs a tenth of a second.
const usableFraction = 0.9

// unregisteredWeight is the weight of a controller that is not registered, relative to one that is: it reads,
// requests its lease, and writes nothing else.
const unregisteredWeight = 0.25

// RateFraction returns the fraction of the state service's limits that a controller may use, given the number of
// controllers and how many of them are registered; mine says that this one is. A registration depends on the
// controller's lease, so the fraction is leased, too: what an absent controller does not use, the others do.
// While all controllers see the same registrations, their fractions add up to the same sum, whichever are
// registered. A controller that learns of a change late may use its old fraction for as long as that takes,
// at most the time of a lease: the service then refuses the excess, which is retried.
func RateFraction(registered, nodes int, mine bool) float64 {
	nodes = max(nodes, 1)
	registered = min(max(registered, 0), nodes)
	self := unregisteredWeight
	if mine {
		registered = max(registered, 1)
		self = 1
	}
	return usableFraction * self / (float64(registered) + unregisteredWeight*float64(nodes-registered))
}
