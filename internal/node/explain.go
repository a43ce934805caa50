package node

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"cleatpick/internal/api"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/explain"
	"cleatpick/internal/fleet"
	"cleatpick/internal/job"
	"cleatpick/internal/peer"
	"cleatpick/internal/predicate"
	"cleatpick/internal/reachability"
	"cleatpick/internal/rpc"
	"cleatpick/internal/wire"
)

// apiParts holds what a controller needs for /v1/; it exists only if the operators' settings enable /v1/.
type apiParts struct {
	questions    *rpc.Endpoint
	explanations *explain.Service
	api          *api.API
}

// topicPendingStarts is the topic of a question to an owner: how many starts may still take effect on machines that a
// cordon blocks.
const topicPendingStarts = "unseen"

const pendingStartsTimeout = 700 * eventloop.Millisecond

// setUpAPI sets up the explanations of why jobs wait, and /v1/, which serves them.
func (n *Node) setUpAPI() {
	l := n.loop
	x := &apiParts{}
	n.apiParts = x
	x.questions = rpc.New(l, n.cfg.Label, rand.Uint64()>>1, n.net.Send, func(label string) bool { return slices.Contains(n.net.Peers(), label) })
	owner := func(team string) string {
		o, _ := n.member.TeamOwner(team)
		return o.Node
	}
	x.explanations = explain.NewService(l, explain.Dependencies{
		Label: n.cfg.Label,
		Poll:  n.jobs.Poll,
		Job:   n.jobs.Get,
		Owner: owner,
		Leader: func() string {
			o, _ := n.member.Leader()
			return o.Node
		},
		Facts: func(id string) (*explain.Facts, bool) {
			return n.scheduler.Facts(id, n.autoscaler.Types(), n.mayStart())
		},
		Supply: n.autoscaler.Supply,
		Counts: n.counts,
		Ask:    x.questions.Call,
		Handle: x.questions.Handle,
		Meter:  n.meter,
	})
	x.questions.Handle(topicPendingStarts, func(body wire.Raw, reply func(any)) {
		var name string
		if wire.Unmarshal(body, &name) != nil {
			name = ""
		}
		reply(n.scheduler.PendingStarts(name))
	})
	x.api = api.New(l, n.log, n.cfg, api.Node{
		Ready:         n.ready,
		Types:         n.autoscaler.Types,
		Counts:        n.counts,
		Machines:      n.machines,
		StaleOwners:   n.staleOwners,
		Jobs:          n.jobs,
		Cordons:       n.cordons,
		PendingStarts: n.pendingStarts,
		Explanations:  x.explanations,
	}, n.meter)
	n.meter.WatchLoopLag(l)
	eventloop.Every(l, eventloop.Second, n.recordUnowned)
}

// counts returns a job's task counts: its own for a job that this controller owns, and otherwise those that the
// owner sent last.
func (n *Node) counts(j *job.Job) job.Counts {
	if c, ok := n.scheduler.JobCounts(j); ok {
		return c
	}
	return n.progress[j.ID]
}

// applyCauses records the causes of waiting that an owner reported.
func (n *Node) applyCauses(all []peer.Progress, own bool) {
	if n.apiParts == nil {
		return
	}
	for _, p := range all {
		if j := n.jobs.Get(p.Job); p.HasCauses && j != nil && !j.Final() {
			n.apiParts.explanations.Timelines.Set(p.Job, p.Causes, p.At, own)
			if own {
				n.apiParts.explanations.Timelines.SetSince(p.Job, p.Causes) // the same values are sent to the peers next
			}
		}
	}
}

// recordUnowned adds the cause "no owner" to the unfinished jobs of teams that no controller owns.
func (n *Node) recordUnowned() {
	unowned := map[string]bool{}
	for _, t := range n.cfg.Cluster.Teams {
		if _, ok := n.member.TeamOwner(t.Name); !ok {
			unowned[t.Name] = true
		}
	}
	if len(unowned) == 0 || !n.mirror.Ready() {
		return
	}
	wall := n.loop.Wall()
	n.jobs.Each(func(j *job.Job) {
		if !j.Final() && j.Spec != nil && unowned[j.Spec.Team] {
			c := n.progress[j.ID]
			// The causes that were reported last are kept: the next owner continues from them.
			last := n.apiParts.explanations.Timelines.Causes(j.ID)
			causes := slices.DeleteFunc(slices.Clone(last), func(c predicate.Cause) bool { return c.Kind == predicate.NoOwner })
			causes = append(causes, predicate.Cause{Kind: predicate.NoOwner, Tasks: j.Tasks - int(c.Done+c.Running)})
			n.apiParts.explanations.Timelines.Set(j.ID, causes, wall, false)
		}
	})
}

// staleOwners describes the owners whose reported data may be outdated, and the teams without an owner.
func (n *Node) staleOwners() (out []string) {
	for _, t := range n.cfg.Cluster.Teams {
		o, ok := n.member.TeamOwner(t.Name)
		if !ok {
			out = append(out, "the team "+t.Name+" has no owner"+n.dampedPeers())
		} else if o.Node != n.cfg.Label {
			switch n.reachability.State(o.Node) {
			case reachability.Silent:
				out = append(out, "the owner "+o.Node+" of the team "+t.Name+" is unreachable; other controllers take the team over when its lease expires")
			case reachability.OneWay:
				out = append(out, "the owner "+o.Node+" of the team "+t.Name+" receives no messages from this controller")
			}
		}
	}
	return out
}

// dampedPeers describes the peers that are reachable and get no work yet, because their connection flapped.
func (n *Node) dampedPeers() string {
	var out []string
	for _, label := range n.net.Peers() {
		if d := n.reachability.DampedFor(label); d > 0 {
			out = append(out, fmt.Sprintf("%s gets no work for another %d s, because its connection flapped", label, (d+eventloop.Second-1)/eventloop.Second))
		}
	}
	if len(out) == 0 {
		return ""
	}
	slices.Sort(out)
	return " (" + strings.Join(out, "; ") + ")"
}

// machines lists all machines whose reports arrive, sorted by name.
func (n *Node) machines() []api.Machine {
	var out []api.Machine
	now, wall := n.loop.Now(), n.loop.Wall()
	n.scheduler.EachMachine(func(p *predicate.MachineFacts, after eventloop.Micros) {
		v := p.View
		m := api.Machine{Name: v.Name, Type: v.Type, Zone: v.Zone, Kind: explain.MachineKind(v.Spot), ReportsTo: v.Host, BlockedBy: []string{}}
		for i := range v.Tasks {
			if v.Tasks[i].Active() {
				m.Tasks++
			}
		}
		if p.Known {
			cpus, memory := p.Free.CPUs, p.Free.MemoryGB
			m.CPUsFree, m.MemoryFreeGB = &cpus, &memory
		}
		lacks := p.Blocking(after, now)
		m.BlockedBy = append(m.BlockedBy, lacks.Names()...)
		if lacks&predicate.LackBackOffOver != 0 {
			until := explain.Time(wall + p.BackOffUntil - now)
			m.BackOffUntil, m.BackOffReason = &until, p.BackOffReason
		}
		if v.NoticeAt != 0 {
			at := explain.Time(v.NoticeAt)
			m.ReclaimedAt = &at
		}
		m.Cordons = n.cordons.Blocking(fleet.CordonPlace(v))
		out = append(out, m)
	})
	slices.SortFunc(out, func(a, b api.Machine) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// pendingStarts asks every owner how many starts may still take effect on machines that the named cordon blocks. It
// calls callback with the sum; ok is false if a team has no owner or an owner did not answer.
func (n *Node) pendingStarts(name string, callback func(starts int, ok bool)) {
	owners := map[string]bool{}
	complete := true
	for _, t := range n.cfg.Cluster.Teams {
		o, ok := n.member.TeamOwner(t.Name)
		if complete = complete && ok; ok {
			owners[o.Node] = true
		}
	}
	left, sum := len(owners), 0
	if left == 0 {
		callback(0, false)
		return
	}
	for label := range owners {
		n.apiParts.questions.Call(label, topicPendingStarts, name, pendingStartsTimeout, func(body wire.Raw, ok bool) {
			var starts int
			if !ok || wire.Unmarshal(body, &starts) != nil || starts < 0 {
				complete = false
			} else {
				sum += starts
			}
			if left--; left == 0 {
				callback(sum, complete)
			}
		})
	}
}
