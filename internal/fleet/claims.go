package fleet

import (
	"cmp"
	"slices"
	"strings"

	"cleatpick/internal/agent"
	"cleatpick/internal/gate"
	"cleatpick/internal/peer"
	"cleatpick/internal/wire"
)

// mostEarly bounds the claims that are kept for machines that were not heard yet.
const mostEarly = 1000

// AddClaim keeps room on a machine for a job. Where the machine was not heard yet, nothing is placed on
// it, and the claim counts from when it is.
func (f *Fleet) AddClaim(c peer.Reservation) {
	sl := f.slots[c.Machine]
	if sl == nil {
		if len(f.early) < mostEarly {
			f.early = append(f.early, c)
		}
		return
	}
	sl.Claims = append(sl.Claims, gate.Claim{Job: c.Job, Priority: c.Priority, Until: c.Until, Had: sl.tasksOf(c.Job),
		Room: agent.Room{CPUs: c.CPUs, GPUs: c.GPUs, MemoryGB: c.MemoryGB}})
	f.claimed[sl] = struct{}{}
	f.held[c.Job]++
}

// claimEarly keeps the room on a machine for which claims came before it was heard.
func (f *Fleet) claimEarly(machine string) {
	var here []peer.Reservation
	f.early = slices.DeleteFunc(f.early, func(c peer.Reservation) bool {
		if c.Machine == machine {
			here = append(here, c)
		}
		return c.Machine == machine
	})
	for _, c := range here {
		if f.r.Wall() < c.Until {
			f.AddClaim(c)
		}
	}
}

// ClaimsOf lists the claims in force of the jobs for which own is true, for a peer that does not know them.
func (f *Fleet) ClaimsOf(own func(job string) bool) (claims []peer.Reservation) {
	for sl := range f.claimed {
		for _, c := range sl.Claims {
			if own(c.Job) {
				claims = append(claims, peer.Reservation{Machine: sl.V.Name, Job: c.Job, Priority: c.Priority, CPUs: c.Room.CPUs, GPUs: c.Room.GPUs, MemoryGB: c.Room.MemoryGB, Until: c.Until})
			}
		}
	}
	slices.SortStableFunc(claims, func(a, b peer.Reservation) int {
		return cmp.Or(strings.Compare(a.Machine, b.Machine), strings.Compare(a.Job, b.Job), cmp.Compare(a.Until, b.Until))
	})
	return claims
}

func (f *Fleet) dropClaim(sl *Slot, i int) {
	id := sl.Claims[i].Job
	if f.held[id]--; f.held[id] <= 0 {
		delete(f.held, id)
	}
	sl.Claims = append(sl.Claims[:i], sl.Claims[i+1:]...)
	if len(sl.Claims) == 0 {
		delete(f.claimed, sl)
	}
}

// UseClaim takes a claim of the job on this machine away, since a task took the room.
func (f *Fleet) UseClaim(sl *Slot, id string) {
	for i := range sl.Claims {
		if sl.Claims[i].Job == id {
			f.dropClaim(sl, i)
			for k := range sl.Claims {
				if sl.Claims[k].Job == id {
					sl.Claims[k].Had++ // the machine will show that task, which used this claim and no other
				}
			}
			return
		}
	}
}

// usedClaims drops the claims whose tasks the machine shows: another owner had them made, and
// its task and its claim would take the room twice.
func (f *Fleet) usedClaims(sl *Slot) {
	for i := 0; i < len(sl.Claims); i++ {
		if id := sl.Claims[i].Job; sl.tasksOf(id) > sl.Claims[i].Had {
			f.UseClaim(sl, id)
			i = -1
		}
	}
}

// Spare drops claims of a job beyond so many: its tasks found room elsewhere, or it is over.
func (f *Fleet) Spare(id string, most int) {
	if f.held[id] <= most {
		return
	}
	var on []*Slot
	for sl := range f.claimed {
		on = append(on, sl)
	}
	slices.SortFunc(on, func(a, b *Slot) int { return strings.Compare(a.V.Name, b.V.Name) })
	for _, sl := range on {
		for i := len(sl.Claims) - 1; i >= 0 && f.held[id] > most; i-- {
			if sl.Claims[i].Job == id {
				f.dropClaim(sl, i)
			}
		}
	}
}

// tasksOf is how many tasks of a job the machine shows, on it or on their way there.
func (sl *Slot) tasksOf(id string) (n int) {
	for _, list := range [...][]agent.Task{sl.V.Tasks, sl.V.Pending} {
		for i := range list {
			if of, _, _ := agent.SplitTask(list[i].Task); of == id && list[i].State != wire.TaskExited {
				n++
			}
		}
	}
	return n
}

// ExpireClaims ends the claims whose time is up.
func (f *Fleet) ExpireClaims() {
	wall := f.r.Wall()
	f.early = slices.DeleteFunc(f.early, func(c peer.Reservation) bool { return wall >= c.Until })
	for sl := range f.claimed {
		for i := len(sl.Claims) - 1; i >= 0; i-- {
			if wall >= sl.Claims[i].Until {
				f.dropClaim(sl, i)
			}
		}
	}
}

// Held is the number of claims of a job: room for so many tasks is being made.
func (f *Fleet) Held(id string) int { return f.held[id] }

// HeldJobs are the numbers of claims by job. The map is the fleet's own.
func (f *Fleet) HeldJobs() map[string]int { return f.held }

// Claimed tells whether room is kept on the machine for the job.
func (sl *Slot) Claimed(id string) bool {
	return slices.ContainsFunc(sl.Claims, func(c gate.Claim) bool { return c.Job == id })
}
