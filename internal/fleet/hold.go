package fleet

import (
	"cmp"
	"maps"
	"slices"

	"cleatpick/internal/agent"
	"cleatpick/internal/gate"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
)

// Hold keeps room for up to want tasks of a job on machines that have none now, and tells
// where. It stops nothing: the room comes about as tasks there end, and meanwhile nobody
// else's tasks take it. Where room is kept already, none is held beside it.
func (f *Fleet) Hold(need *gate.Need, want int, life loop.Micros) (claims []peer.Claim) {
	n := *need
	if n.Zones = maps.Clone(need.Zones); n.Zones == nil {
		n.Zones = map[string]int{}
	}
	now := f.r.Now()
	after := now - f.n.StaleAfter
	var fit []*Slot
	for _, sl := range f.order {
		if len(sl.Claims) == 0 && sl.typ.CPUs > 0 && sl.Open(after, now) && sl.Allowed(&n) {
			fit = append(fit, sl)
		}
	}
	// Where most is free, the rest comes soonest.
	slices.SortStableFunc(fit, func(a, b *Slot) int { return cmp.Compare(b.Room.CPUs, a.Room.CPUs) })
	s := need.Spec
	for _, sl := range fit {
		room := agent.Room{CPUs: sl.typ.CPUs, GPUs: sl.typ.GPUs, MemoryGB: sl.typ.MemoryGB}
		for len(claims) < want && room.Fits(s) && sl.Allowed(&n) {
			room.Take(s)
			n.Zones[sl.V.Zone]++
			c := peer.Claim{Machine: sl.V.Name, Job: need.ID, Priority: int(job.Production), CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Until: f.r.Wall() + life}
			f.AddClaim(c)
			claims = append(claims, c)
		}
		if len(claims) == want {
			break
		}
	}
	return claims
}
