package placer

import (
	"log/slog"

	"cleatpick/internal/agent"
	"cleatpick/internal/config"
	"cleatpick/internal/cordon"
	"cleatpick/internal/delivery"
	"cleatpick/internal/fleet"
	"cleatpick/internal/health"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/member"
	"cleatpick/internal/metric"
	"cleatpick/internal/partition"
	"cleatpick/internal/peer"
	"cleatpick/internal/starvation"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// Node is what this slice needs of the node around it.
type Node struct {
	Label string
	Type  func(string) (wire.MachineType, bool)
	// Start, Stop reach the named host, which may be this node.
	Start func(host string, s agent.Start)
	Stop  func(host string, s agent.Stop)
	// Check asks a machine's host for a task list that is certainly new.
	Check func(host, machine string)
	// Reserve tells the host of a choice that is still being recorded.
	Reserve func(host string, s agent.Start)
	// Tally hands the list of misses to the leader.
	Tally func(peer.Tally)
	// Tell hands the counts of owned jobs to the peers.
	Tell func([]peer.Progress)
	// Usage hands the owned teams' use to the peers.
	Usage func([]peer.Usage)
	// Claims hands the peers the room that is kept for preempting jobs.
	Claims func([]peer.Claim)
	// Tells tells whether causes of waits are followed and told; Meter counts what is
	// done, and may be nil.
	Tells bool
	Meter *metric.Meter
	// Membership tells to which partitions teams belong.
	Membership Membership
}

// Membership is what this slice asks of the membership.
type Membership interface {
	Layout() partition.Layout
	// Assigned tells whether a team belongs to its numbered partition for good; Assign
	// makes it so where nobody holds the team.
	Assigned(team string) bool
	Assign(id partition.ID, claim member.Owner, teams []string, done func(ok bool))
}

// Placer owns the tables of the owned teams.
type Placer struct {
	r        loop.Runner
	c        *store.Client
	log      *slog.Logger
	cfg      *config.Config
	n        Node
	registry *job.Registry
	cordons  *cordon.Book
	agent    *agent.Registry
	// partitions are those that this node owns, and teams what was assigned to them.
	partitions map[partition.ID]*ownedPartition
	teams      map[string]*team
	on         map[string]*machineTasks // tasks in use by machine
	blame      *health.Blame
	fleet      *fleet.Fleet
	placing    bool
	took       loop.Micros // how long the newest pass took

	commitAt   loop.Micros // when the next commit is due; 0: none
	zoneMemo   map[string]string
	nonce      uint64
	valueLimit int // the most bytes of a segment, as estimated
	lastWant   []peer.Want
	usage      map[string]peer.Usage
	pre        preemptor
	turn       fleet.Turnover
	reserve    *starvation.Reserve
	paces      health.Paces
	checked    map[string]loop.Micros
	reruns     reruns
	sweepAt    loop.Micros // when all tasks in use are gone through next
	clock      delivery.Clock
	expiries   *delivery.Expiries // of the attempts recorded by this owner
}

// New makes the placer.
func New(r loop.Runner, c *store.Client, log *slog.Logger, cfg *config.Config, n Node, registry *job.Registry, a *agent.Registry, cordons *cordon.Book) *Placer {
	p := &Placer{r: r, cordons: cordons, c: c, log: log, cfg: cfg, n: n, registry: registry, agent: a, partitions: map[partition.ID]*ownedPartition{}, teams: map[string]*team{},
		valueLimit: int(cfg.Cluster.State.ValueKB * 1024 * valuePart),
		on:         map[string]*machineTasks{},
		blame:      health.NewBlame(func(id string) bool { j := registry.Get(id); return j != nil && !j.Final() }), zoneMemo: map[string]string{}, nonce: loop.Rand(r).Uint64() >> 1, usage: map[string]peer.Usage{},

		checked: map[string]loop.Micros{}, paces: health.Paces{}, reserve: starvation.New()}
	p.clock = delivery.NewClock(cfg.ClockDifference(), loop.Seconds(cfg.Operator.StartLifeS))
	p.expiries = delivery.NewExpiries(p.clock)
	p.fleet = fleet.New(r, log, fleet.Node{Label: n.Label, Type: n.Type, Room: a.FreeCapacity, Jobs: a.Jobs, Unshown: p.unshown, Stop: n.Stop,
		Cordons: cordons, StaleAfter: p.staleAfter()})
	loop.Every(r, 400*loop.Millisecond, p.tick)
	loop.Every(r, 60*loop.Second, func() {
		for m := range p.zoneMemo { // of machines that are gone, once nothing counts there
			if p.on[m] == nil && p.fleet.Slot(m) == nil {
				delete(p.zoneMemo, m)
			}
		}
	})
	return p
}

func (p *Placer) forgetTable(t *table) {
	t.each(func(i int, x *task) {
		p.noteRerun(x, false)
		if x.inUse() {
			p.removeInUse(ref{t, i})
		}
		if x.seg != nil {
			x.seg.live--
			x.seg = nil
		}
	})
	t.team.drop(t)
}

func (p *Placer) tableOf(tm *team, j *job.Job) *table {
	t := tm.jobs[j.ID]
	if t == nil {
		t = &table{j: j, team: tm, blocks: make([]*[blockSize]task, (j.Tasks+blockSize-1)/blockSize), zones: map[string]int{}}
		t.at = p.r.Now() - max(p.r.Wall()-j.AcceptedAt, 0)
		t.pieceAt = t.at
		p.watch(t)
		tm.enter(t)
	}
	return t
}

// Job takes in that a job's record is new or has changed.
func (p *Placer) Job(j *job.Job) {
	if j.Final() {
		delete(p.paces, j.ID)
		p.fleet.Spare(j.ID, 0)
		p.blame.Over(j.ID)
	}
	if j.Spec == nil {
		return
	}
	tm := p.teams[j.Spec.Team]
	if tm == nil && !j.Final() {
		p.assignLater(j.Spec.Team)
	}
	if tm == nil || !tm.loaded {
		return
	}
	t := tm.jobs[j.ID]
	if t == nil {
		if j.Final() {
			return
		}
		p.tableOf(tm, j)
		p.Kick()
		return
	}
	if j.Final() {
		p.final(t)
	}
}

// final winds a job up that is over: what may still be on a machine is stopped,
// and counts until it is proven off.
func (p *Placer) final(t *table) {
	t.each(func(i int, x *task) {
		if x.state == Recording || (x.state == Placed && x.ours && x.sentTo == "") {
			p.setTask(t, i, Waiting) // no start was ever sent
		} else if x.state == Placed {
			p.stop(t, i, 0)
		}
	})
	p.dropIfOver(t)
	p.Kick()
}

// dropIfOver forgets the table of a job that is over once nothing of it can be on a machine.
func (p *Placer) dropIfOver(t *table) {
	if t.j.Final() && t.inUse == 0 {
		p.forgetTable(t)
	}
}

func (p *Placer) stop(t *table, i int, grace loop.Micros) {
	x := t.task(i)
	now := p.r.Now()
	if x.stopAt != 0 && now-x.stopAt < loop.Second {
		return
	}
	if v := p.agent.View(x.machine); v != nil {
		x.stopAt = now
		p.n.Stop(v.Host, agent.Stop{Machine: x.machine, Task: t.name(i), Attempt: x.attempt, Grace: grace})
	}
}

// Drop takes in that a host will never pass a start on.
func (p *Placer) Drop(from string, d agent.Rejection) {
	id, i, ok := agent.SplitTask(d.Task)
	if !ok {
		return
	}
	j := p.registry.Get(id)
	if j == nil || j.Spec == nil {
		return
	}
	tm := p.teams[j.Spec.Team]
	if tm == nil || tm.jobs[id] == nil || i >= j.Tasks {
		return
	}
	t := tm.jobs[id]
	x := t.task(i)
	if x.attempt != d.Attempt || x.machine != d.Machine {
		return
	}
	if d.OnlyReservation {
		// Another owner took the room first. Where no record was taken yet, none is
		// needed. Afterwards the refusal proves nothing: the start may be on its way,
		// and taking one for the other let tasks run twice.
		if x.state == Recording && x.expiry == 0 {
			p.n.Meter.Refusal()
			p.shut(d.Machine)
			p.provenOff(t, i, "reservation refused: "+d.Why)
			p.Kick()
		}
		return
	}
	if x.state != Placed {
		return
	}
	// Proof only if no other host was ever given this start, and no other life of this one.
	if x.ours && !x.spread && x.sentTo == from && x.life == d.Incarnation && !x.seen {
		p.shut(d.Machine)
		p.provenOff(t, i, "dropped: "+d.Why)
		p.Kick()
	}
}

func (p *Placer) sendStart(t *table, i int) {
	x := t.task(i)
	v := p.agent.View(x.machine)
	if v == nil || p.r.Wall() >= x.expiry {
		if x.sentTo == "" && x.ours {
			p.provenOff(t, i, "not sent in time")
			p.Kick()
		}
		return
	}
	if why := p.barred(t, x.machine); why != "" {
		// What was sent may still begin; what never was does not any more.
		if x.sentTo == "" && x.ours {
			p.provenOff(t, i, why)
		}
		return
	}
	if x.sentTo != "" && (x.sentTo != v.Host || x.life != v.Incarnation) {
		x.spread = true
	}
	if x.sentTo == "" {
		p.n.Meter.Start()
	}
	x.sentTo, x.life, x.sentAt = v.Host, v.Incarnation, p.r.Now()
	p.n.Start(v.Host, agent.Start{Machine: x.machine, Session: x.session, Task: t.name(i), Attempt: x.attempt, Expiry: x.expiry, From: p.n.Label, Incarnation: v.Incarnation})
}

// maybeDone stores a job's completion once all its tasks have completed.
func (p *Placer) maybeDone(t *table) {
	if t.closing || t.j.Final() || t.j.Spec.Service || t.completed < t.j.Tasks || !t.team.loaded {
		return
	}
	t.closing = true
	p.finish(t)
}

func (p *Placer) finish(t *table) {
	if p.teams[t.team.cfg.Name] != t.team || t.j.Final() {
		return
	}
	ch := job.DoneChange(t.j)
	part := t.team.part
	txn := wire.Txn{If: []wire.Cond{member.ClaimCond(part.id, part.claim), job.RevisionCond(t.j)}, Then: []wire.Change{ch}}
	p.c.Txn(store.Answers, txn, func(r store.Result) {
		if p.teams[t.team.cfg.Name] != t.team {
			return
		}
		switch r.Outcome {
		case store.Applied:
			p.log.Debug("job done", "job", t.j.ID, "class", t.j.Spec.Class, "tasks", t.j.Tasks, "took_us", p.r.Wall()-t.j.AcceptedAt, "estimate_us", t.j.Spec.Estimate)
			p.registry.ApplyStored(ch, r.Revision)
			p.forgetTable(t)
		case store.Conflict:
			p.registry.Refresh(t.j.ID)
			p.r.After(250*loop.Millisecond, func() { p.finish(t) })
		default:
			p.r.After(150*loop.Millisecond, func() { p.finish(t) })
		}
	})
}

// shut keeps a machine out of the choice for a moment, until its newer view is here.
func (p *Placer) shut(machine string) {
	if sl := p.fleet.Slot(machine); sl != nil {
		sl.Rest(p.r.Now()+300*loop.Millisecond, "its host refused a start")
	}
}

// Counts are a job's counts when its team is owned here.
func (p *Placer) Counts(j *job.Job) (job.Counts, bool) {
	if j.Spec == nil {
		return job.Counts{}, false
	}
	tm := p.teams[j.Spec.Team]
	if tm == nil || tm.jobs[j.ID] == nil {
		return job.Counts{}, false
	}
	t := tm.jobs[j.ID]
	return job.Counts{Done: int64(t.completed), Running: int64(t.running)}, true
}

// InUse is the number of an owned partition's tasks that may be on machines.
func (p *Placer) InUse(id partition.ID) int {
	n := 0
	if part := p.partitions[id]; part != nil {
		for _, tm := range part.teams {
			n += tm.inUse()
		}
	}
	return n
}

// Learn takes in what other owners' teams use.
func (p *Placer) Learn(u []peer.Usage) {
	for _, x := range u {
		p.usage[x.Team] = x
	}
}

// passEvery is the least time between two passes. In a large fleet something falls free
// all the time, and a pass for each of it would look through the same queue every time.
const passEvery = 80 * loop.Millisecond

// Kick asks for a placement pass soon; many causes share one, the more the longer a
// pass takes, so that passes leave most of the node's time to everything else.
func (p *Placer) Kick() {
	if p.placing {
		return
	}
	p.placing = true
	p.r.After(min(passEvery+10*p.took, 400*loop.Millisecond), func() {
		p.placing = false
		p.place()
	})
}
