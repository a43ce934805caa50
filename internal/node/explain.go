package node

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"cleatpick/internal/api"
	"cleatpick/internal/ask"
	"cleatpick/internal/explain"
	"cleatpick/internal/fleet"
	"cleatpick/internal/gate"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/peer"
	"cleatpick/internal/reach"
	"cleatpick/internal/wire"
)

// explaining is what a node has when its operators' file switches /v1/ on.
type explaining struct {
	asks *ask.Desk
	desk *explain.Service
	api  *api.API
}

// topicUnseen asks an owner how many starts may still begin behind a cordon.
const topicUnseen = "unseen"

const unseenPatience = 700 * loop.Millisecond

// explain wires what tells why jobs wait, and /v1/ on top of it.
func (n *Node) explain() {
	l := n.loop
	x := &explaining{}
	n.more = x
	x.asks = ask.New(l, n.cfg.Label, rand.Uint64()>>1, n.net.To, func(label string) bool { return slices.Contains(n.net.Peers(), label) })
	owner := func(team string) string {
		o, _ := n.member.TeamOwner(team)
		return o.Node
	}
	x.desk = explain.NewService(l, explain.Dependencies{
		Label: n.cfg.Label,
		Poll:  n.jobs.Poll,
		Job:   n.jobs.Get,
		Owner: owner,
		Leader: func() string {
			o, _ := n.member.Leader()
			return o.Node
		},
		Facts:  func(id string) (*explain.Facts, bool) { return n.placer.Facts(id, n.rental.Types(), n.mayStart()) },
		Supply: n.rental.Supply,
		Counts: n.counts,
		Ask:    x.asks.Ask,
		Handle: x.asks.Handle,
		Meter:  n.meter,
	})
	x.asks.Handle(topicUnseen, func(body wire.Raw, reply func(any)) {
		var name string
		if wire.Unmarshal(body, &name) != nil {
			name = ""
		}
		reply(n.placer.Unseen(name))
	})
	x.api = api.New(l, n.log, n.cfg, api.Node{
		Ready:    n.ready,
		Types:    n.rental.Types,
		Counts:   n.counts,
		Machines: n.machines,
		Unheard:  n.unheard,
		Jobs:     n.jobs,
		Cordons:  n.cordons,
		Unseen:   n.unseen,
		Desk:     x.desk,
	}, n.meter)
	n.meter.Watch(l)
	loop.Every(l, loop.Second, n.noteUnowned)
}

// counts are a job's counts, of its owner's word where it is owned elsewhere.
func (n *Node) counts(j *job.Job) job.Counts {
	if c, ok := n.placer.Counts(j); ok {
		return c
	}
	return n.progress[j.ID]
}

// told follows the causes that an owner tells of.
func (n *Node) told(all []peer.Progress, own bool) {
	if n.more == nil {
		return
	}
	for _, p := range all {
		if j := n.jobs.Get(p.Job); p.Waits && j != nil && !j.Final() {
			n.more.desk.Timelines.Set(p.Job, p.Causes, p.At, own)
			if own {
				n.more.desk.Timelines.SetSince(p.Job, p.Causes) // for the peers, whom this goes to next
			}
		}
	}
}

// noteUnowned follows the waits of jobs whose team nobody owns.
func (n *Node) noteUnowned() {
	free := map[string]bool{}
	for _, t := range n.cfg.Cluster.Teams {
		if _, ok := n.member.TeamOwner(t.Name); !ok {
			free[t.Name] = true
		}
	}
	if len(free) == 0 || !n.mirror.Ready() {
		return
	}
	wall := n.loop.Wall()
	n.jobs.Each(func(j *job.Job) {
		if !j.Final() && j.Spec != nil && free[j.Spec.Team] {
			c := n.progress[j.ID]
			// What was told last holds as far as anybody knows: the next owner goes on with it.
			last := n.more.desk.Timelines.Causes(j.ID)
			causes := slices.DeleteFunc(slices.Clone(last), func(c gate.Cause) bool { return c.Kind == gate.NoOwner })
			causes = append(causes, gate.Cause{Kind: gate.NoOwner, Tasks: j.Tasks - int(c.Done+c.Running)})
			n.more.desk.Timelines.Set(j.ID, causes, wall, false)
		}
	})
}

// unheard names the owners whose word may be old.
func (n *Node) unheard() (out []string) {
	for _, t := range n.cfg.Cluster.Teams {
		o, ok := n.member.TeamOwner(t.Name)
		if !ok {
			out = append(out, "the team "+t.Name+" has no owner"+n.damped())
		} else if o.Node != n.cfg.Label {
			switch n.reach.State(o.Node) {
			case reach.Silent:
				out = append(out, "the owner "+o.Node+" of the team "+t.Name+" is silent; others take the team over once its lease is over")
			case reach.OneWay:
				out = append(out, "the owner "+o.Node+" of the team "+t.Name+" does not hear this node")
			}
		}
	}
	return out
}

// damped names the nodes that are there and get no work yet, since they came and went.
func (n *Node) damped() string {
	var out []string
	for _, label := range n.net.Peers() {
		if d := n.reach.DampedFor(label); d > 0 {
			out = append(out, fmt.Sprintf("%s gets no work for another %d s, since it came and went", label, (d+loop.Second-1)/loop.Second))
		}
	}
	if len(out) == 0 {
		return ""
	}
	slices.Sort(out)
	return " (" + strings.Join(out, "; ") + ")"
}

// machines lists all machines heard, by name.
func (n *Node) machines() []api.Machine {
	var out []api.Machine
	now, wall := n.loop.Now(), n.loop.Wall()
	n.placer.Places(func(p *gate.Place, after loop.Micros) {
		v := p.V
		m := api.Machine{Name: v.Name, Type: v.Type, Zone: v.Zone, Kind: explain.MachineKind(v.Spot), ReportsTo: v.Host, Shut: []string{}}
		for i := range v.Tasks {
			if v.Tasks[i].Active() {
				m.Tasks++
			}
		}
		if p.Known {
			cpus, memory := p.Room.CPUs, p.Room.MemoryGB
			m.CPUsFree, m.MemoryFreeGB = &cpus, &memory
		}
		lacks := p.Closed(after, now)
		m.Shut = append(m.Shut, lacks.Names()...)
		if lacks&gate.LackRested != 0 {
			until := explain.Time(wall + p.Shut - now)
			m.RestsUntil, m.RestsSince = &until, p.ShutWhy
		}
		if v.NoticeAt != 0 {
			at := explain.Time(v.NoticeAt)
			m.LeavesAt = &at
		}
		m.Cordons = n.cordons.Blocking(fleet.Where(v))
		out = append(out, m)
	})
	slices.SortFunc(out, func(a, b api.Machine) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// unseen asks every owner how many starts may still begin behind a cordon.
func (n *Node) unseen(name string, cb func(starts int, ok bool)) {
	owners := map[string]bool{}
	sure := true
	for _, t := range n.cfg.Cluster.Teams {
		o, ok := n.member.TeamOwner(t.Name)
		if sure = sure && ok; ok {
			owners[o.Node] = true
		}
	}
	left, sum := len(owners), 0
	if left == 0 {
		cb(0, false)
		return
	}
	for label := range owners {
		n.more.asks.Ask(label, topicUnseen, name, unseenPatience, func(body wire.Raw, ok bool) {
			var starts int
			if !ok || wire.Unmarshal(body, &starts) != nil || starts < 0 {
				sure = false
			} else {
				sum += starts
			}
			if left--; left == 0 {
				cb(sum, sure)
			}
		})
	}
}
