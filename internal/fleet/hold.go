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

// small is the part of a machine up to which a task shares what is held.
const small = 4

// Hold keeps room for up to want tasks of a job on machines that have none now, and tells
// where. It stops nothing: the room comes about as tasks there end, and meanwhile nobody
// else's tasks take it. What is kept on a machine already is left of it, and small claims share one:
// each on a machine of its own, they once left none for tasks as large as a machine, nor for gangs.
// For a gang all is held or nothing, since a part of it is of no use.
func (f *Fleet) Hold(need *gate.Need, want int, life loop.Micros) (claims []peer.Reservation) {
	n := *need
	if n.Zones = maps.Clone(need.Zones); n.Zones == nil {
		n.Zones = map[string]int{}
	}
	now := f.r.Now()
	after := now - f.n.StaleAfter
	type place struct {
		sl   *Slot
		left agent.Room // of an empty machine, beside what is kept there
		own  int        // tasks of the team there
	}
	var fit []place
	s := need.Spec
	for _, sl := range f.order {
		if sl.typ.CPUs > 0 && sl.Open(after, now) && sl.Allowed(&n) {
			left := agent.Room{CPUs: sl.typ.CPUs, GPUs: sl.typ.GPUs, MemoryGB: sl.typ.MemoryGB}
			for i := range sl.Claims {
				left = left.Less(sl.Claims[i].Room)
			}
			if left.Fits(s) {
				fit = append(fit, place{sl, left, sl.tasksOfTeam(s.Team)})
			}
		}
	}
	// What is large goes where nothing is kept, what is small where most is kept already, up to half of a
	// machine and not beside what is large: each waits for what is kept beside it. Then where least of its
	// own team runs, which would leave the room to the team anyway, and where most is free, since the rest
	// comes soonest.
	rank := func(x *place) int {
		claims := x.sl.Claims
		switch {
		case small*s.CPUs > x.sl.typ.CPUs:
			return len(claims)
		case 2*x.left.CPUs <= x.sl.typ.CPUs, slices.ContainsFunc(claims, func(c gate.Claim) bool { return small*c.Room.CPUs > x.sl.typ.CPUs }):
			return 1
		}
		return -len(claims)
	}
	slices.SortStableFunc(fit, func(a, b place) int {
		return cmp.Or(cmp.Compare(rank(&a), rank(&b)), cmp.Compare(a.own, b.own), cmp.Compare(b.sl.Room.CPUs, a.sl.Room.CPUs))
	})
	for _, x := range fit {
		sl, room := x.sl, x.left
		for len(claims) < want && room.Fits(s) && sl.Allowed(&n) {
			room.Take(s)
			n.Zones[sl.V.Zone]++
			c := peer.Reservation{Machine: sl.V.Name, Job: need.ID, Priority: int(job.Production), CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Until: f.r.Wall() + life}
			claims = append(claims, c)
		}
		if len(claims) == want {
			break
		}
	}
	if s.Gang && len(claims) < want {
		return nil
	}
	for _, c := range claims {
		f.AddClaim(c)
	}
	return claims
}

// tasksOfTeam is how many tasks of a team the machine shows.
func (sl *Slot) tasksOfTeam(team string) (n int) {
	for i, j := range sl.Jobs {
		if j != nil && j.Spec != nil && j.Spec.Team == team && i < len(sl.V.Tasks) && sl.V.Tasks[i].Active() {
			n++
		}
	}
	return n
}
