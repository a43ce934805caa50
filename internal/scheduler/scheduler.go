package scheduler

import (
	"log/slog"

	"cleatpick/internal/config"
	"cleatpick/internal/cordon"
	"cleatpick/internal/delivery"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/fleet"
	"cleatpick/internal/health"
	"cleatpick/internal/job"
	"cleatpick/internal/membership"
	"cleatpick/internal/metric"
	"cleatpick/internal/partition"
	"cleatpick/internal/peer"
	"cleatpick/internal/starvation"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"
)

// Dependencies holds what the scheduler needs from the controller in which it runs. Host parameters
// name a host controller, which may be this one.
type Dependencies struct {
	Label string
	Type  func(string) (wire.MachineType, bool)
	// Start and Stop send a command to the named host controller.
	Start func(host string, s workers.Start)
	Stop  func(host string, s workers.Stop)
	// RequestTaskList asks a machine's host controller for a task list that was certainly made after the request.
	RequestTaskList func(host, machine string)
	// Reserve tells the host controller of a placement whose record is still being stored.
	Reserve func(host string, s workers.Start)
	// SendDemand sends the list of unplaced requests to the leader.
	SendDemand func(peer.Demand)
	// SendProgress sends the task counts of owned jobs to the peers.
	SendProgress func([]peer.Progress)
	// SendUsage sends the resource use of the owned teams to the peers.
	SendUsage func([]peer.Usage)
	// SendReservations sends new reservations of capacity on machines to the peers.
	SendReservations func([]peer.Reservation)
	// ReportCauses reports whether the causes of waiting are tracked and sent to the peers. Meter counts events and
	// may be nil.
	ReportCauses bool
	Meter        *metric.Meter
	// Membership maps teams to partitions. It is nil where every team is a separate partition.
	Membership Membership
}

// Membership is the part of the cluster membership that the scheduler uses.
type Membership interface {
	Layout() partition.Layout
	// Assigned reports whether a team has been assigned to its numbered partition, which is permanent. Assign stores
	// the assignment of those teams that no controller owns.
	Assigned(team string) bool
	Assign(id partition.ID, claim membership.Owner, teams []string, done func(ok bool))
}

// Scheduler schedules the tasks of the owned teams. It runs on one event loop and is not safe for concurrent use.
type Scheduler struct {
	runner   eventloop.Runner
	client   *store.Client
	log      *slog.Logger
	cfg      *config.Config
	deps     Dependencies
	registry *job.Registry
	cordons  *cordon.Registry
	workers  *workers.Registry
	// partitions holds the partitions that this controller owns; teams holds the teams assigned to them, by name.
	partitions     map[partition.ID]*ownedPartition
	teams          map[string]*team
	tasksByMachine map[string]*machineTasks // tasks in use by machine
	attribution    *health.Attribution
	fleet          *fleet.Fleet
	passScheduled  bool
	lastPassTook   eventloop.Micros // duration of the newest pass

	commitAt         eventloop.Micros // when the next commit is due; 0: none is scheduled
	zoneByMachine    map[string]string
	nonce            uint64
	valueLimit       int // limit on the estimated size of a segment, in bytes
	unplacedRequests []peer.Request
	usage            map[string]peer.Usage
	preemption       preemptionState
	turnover         fleet.Turnover
	starvation       *starvation.Budget
	paces            health.Paces
	checkRequestedAt map[string]eventloop.Micros
	reruns           reruns
	nextSweepAt      eventloop.Micros // when all tasks in use are checked next
	clock            delivery.ClockBounds
	expiries         *delivery.Expiries // expiry of each attempt that this owner recorded
}

// New returns a scheduler that owns no partition yet and schedules its periodic work on r.
func New(r eventloop.Runner, c *store.Client, log *slog.Logger, cfg *config.Config, deps Dependencies, registry *job.Registry, a *workers.Registry, cordons *cordon.Registry) *Scheduler {
	sched := &Scheduler{runner: r, cordons: cordons, client: c, log: log, cfg: cfg, deps: deps, registry: registry, workers: a, partitions: map[partition.ID]*ownedPartition{}, teams: map[string]*team{},
		valueLimit:     int(cfg.Cluster.State.ValueKB * 1024 * valueFraction),
		tasksByMachine: map[string]*machineTasks{},
		attribution:    health.NewAttribution(func(id string) bool { j := registry.Get(id); return j != nil && !j.Final() }), zoneByMachine: map[string]string{}, nonce: eventloop.Rand(r).Uint64() >> 1, usage: map[string]peer.Usage{},

		checkRequestedAt: map[string]eventloop.Micros{}, paces: health.Paces{}, starvation: starvation.New()}
	sched.clock = delivery.NewClockBounds(cfg.ClockDifference(), eventloop.Seconds(cfg.Operator.StartLifetimeS))
	sched.expiries = delivery.NewExpiries(sched.clock)
	sched.fleet = fleet.New(r, log, fleet.Dependencies{Label: deps.Label, Type: deps.Type, FreeCapacity: a.FreeCapacity, Jobs: a.Jobs, EachUnlisted: sched.eachUnlisted, Stop: deps.Stop,
		Cordons: cordons, StaleAfter: sched.staleAfter()})
	eventloop.Every(r, 400*eventloop.Millisecond, sched.tick)
	eventloop.Every(r, 60*eventloop.Second, func() {
		for m := range sched.zoneByMachine { // of deleted machines, once no task is counted there
			if sched.tasksByMachine[m] == nil && sched.fleet.Machine(m) == nil {
				delete(sched.zoneByMachine, m)
			}
		}
	})
	return sched
}

// forgetJob removes a job's table and everything that refers to its tasks.
func (sched *Scheduler) forgetJob(t *jobTable) {
	t.each(func(i int, x *task) {
		sched.recordRerun(x, false)
		if x.inUse() {
			sched.removeInUse(taskRef{t, i})
		}
		if x.segment != nil {
			x.segment.live--
			x.segment = nil
		}
	})
	t.team.removeJob(t)
}

// tableOf returns the table of a job, which it creates if necessary.
func (sched *Scheduler) tableOf(tm *team, j *job.Job) *jobTable {
	t := tm.jobs[j.ID]
	if t == nil {
		t = &jobTable{job: j, team: tm, blocks: make([]*[blockSize]task, (j.Tasks+blockSize-1)/blockSize), zones: map[string]int{}}
		t.acceptedAt = sched.runner.Now() - max(sched.runner.Wall()-j.AcceptedAt, 0)
		t.servedEarlyAt = t.acceptedAt
		sched.trackFailures(t)
		tm.addJob(t)
	}
	return t
}

// JobChanged applies a new or changed job record.
func (sched *Scheduler) JobChanged(j *job.Job) {
	if j.Final() {
		delete(sched.paces, j.ID)
		sched.fleet.TrimReservations(j.ID, 0)
		sched.attribution.JobFinished(j.ID)
	}
	if j.Spec == nil {
		return
	}
	tm := sched.teams[j.Spec.Team]
	if tm == nil && !j.Final() {
		sched.scheduleAssignment(j.Spec.Team)
	}
	if tm == nil || !tm.loaded {
		return
	}
	t := tm.jobs[j.ID]
	if t == nil {
		if j.Final() {
			return
		}
		sched.tableOf(tm, j)
		sched.RequestPass()
		return
	}
	if j.Final() {
		sched.cleanUpFinal(t)
	}
}

// cleanUpFinal cleans up after a job in a final phase. Tasks that may still be on a machine are stopped, and
// count as in use until they are confirmed terminated.
func (sched *Scheduler) cleanUpFinal(t *jobTable) {
	t.each(func(i int, x *task) {
		if x.state == Recording || (x.state == Placed && x.recordedHere && x.sentTo == "") {
			sched.setTask(t, i, Waiting) // no start was sent
		} else if x.state == Placed {
			sched.stop(t, i, 0)
		}
	})
	sched.forgetIfTerminated(t)
	sched.RequestPass()
}

// forgetIfTerminated forgets the table of a job in a final phase once none of its tasks can be on a machine.
func (sched *Scheduler) forgetIfTerminated(t *jobTable) {
	if t.job.Final() && t.inUse == 0 {
		sched.forgetJob(t)
	}
}

// stop sends a stop for a task's attempt, at most once per second. With a grace period the task may save first.
func (sched *Scheduler) stop(t *jobTable, i int, grace eventloop.Micros) {
	x := t.task(i)
	now := sched.runner.Now()
	if x.stopSentAt != 0 && now-x.stopSentAt < eventloop.Second {
		return
	}
	if v := sched.workers.View(x.machine); v != nil {
		x.stopSentAt = now
		sched.deps.Stop(v.Host, workers.Stop{Machine: x.machine, Task: t.taskName(i), Attempt: x.attempt, Grace: grace})
	}
}

// StartRejected handles a host controller's message that it will never pass a start on to the worker.
func (sched *Scheduler) StartRejected(from string, d workers.Rejection) {
	id, i, ok := workers.SplitTask(d.Task)
	if !ok {
		return
	}
	j := sched.registry.Get(id)
	if j == nil || j.Spec == nil {
		return
	}
	tm := sched.teams[j.Spec.Team]
	if tm == nil || tm.jobs[id] == nil || i >= j.Tasks {
		return
	}
	t := tm.jobs[id]
	x := t.task(i)
	if x.attempt != d.Attempt || x.machine != d.Machine {
		return
	}
	if d.OnlyReservation {
		// Another owner reserved the capacity first. The refusal frees the task only while no record of the start was
		// attempted. Afterwards it is no evidence: the start may be in flight, and freeing the task then would let it
		// run twice.
		if x.state == Recording && x.expiry == 0 {
			sched.deps.Meter.Rejection()
			sched.excludeBriefly(d.Machine)
			sched.confirmTerminated(t, i, "reservation refused: "+d.Why)
			sched.RequestPass()
		}
		return
	}
	if x.state != Placed {
		return
	}
	// The refusal is evidence only if the start was sent to no other host controller and to no other incarnation of
	// this one.
	if x.recordedHere && !x.sentToSeveral && x.sentTo == from && x.sentToIncarnation == d.Incarnation && !x.listed {
		sched.excludeBriefly(d.Machine)
		sched.confirmTerminated(t, i, "dropped: "+d.Why)
		sched.RequestPass()
	}
}

// sendStart sends the start of a recorded task, or takes the task back if the start cannot be sent any more.
func (sched *Scheduler) sendStart(t *jobTable, i int) {
	x := t.task(i)
	v := sched.workers.View(x.machine)
	if v == nil || sched.runner.Wall() >= x.expiry {
		if x.sentTo == "" && x.recordedHere {
			sched.confirmTerminated(t, i, "not sent in time")
			sched.RequestPass()
		}
		return
	}
	if why := sched.startBlockedBy(t, x.machine); why != "" {
		// A start that was already sent may still run. One that was never sent can be taken back.
		if x.sentTo == "" && x.recordedHere {
			sched.confirmTerminated(t, i, why)
		}
		return
	}
	if x.sentTo != "" && (x.sentTo != v.Host || x.sentToIncarnation != v.Incarnation) {
		x.sentToSeveral = true
	}
	if x.sentTo == "" {
		sched.deps.Meter.Start()
	}
	x.sentTo, x.sentToIncarnation, x.sentAt = v.Host, v.Incarnation, sched.runner.Now()
	sched.deps.Start(v.Host, workers.Start{Machine: x.machine, Session: x.session, Task: t.taskName(i), Attempt: x.attempt, Expiry: x.expiry, From: sched.deps.Label, Incarnation: v.Incarnation})
}

// completeIfDone stores a job's completion once all its tasks have completed.
func (sched *Scheduler) completeIfDone(t *jobTable) {
	if t.completing || t.job.Final() || t.job.Spec.Service || t.completed < t.job.Tasks || !t.team.loaded {
		return
	}
	t.completing = true
	sched.storeCompletion(t)
}

// storeCompletion stores that a job is done, and retries until the answer is certain.
func (sched *Scheduler) storeCompletion(t *jobTable) {
	if sched.teams[t.team.cfg.Name] != t.team || t.job.Final() {
		return
	}
	ch := job.DoneChange(t.job)
	part := t.team.partition
	txn := wire.Txn{If: []wire.Cond{membership.ClaimCond(part.id, part.claim), job.RevisionCond(t.job)}, Then: []wire.Change{ch}}
	sched.client.Txn(store.Answers, txn, func(r store.Result) {
		if sched.teams[t.team.cfg.Name] != t.team {
			return
		}
		switch r.Outcome {
		case store.Applied:
			sched.log.Debug("job done", "job", t.job.ID, "class", t.job.Spec.Class, "tasks", t.job.Tasks, "took_us", sched.runner.Wall()-t.job.AcceptedAt, "estimate_us", t.job.Spec.Estimate)
			sched.registry.ApplyStored(ch, r.Revision)
			sched.forgetJob(t)
		case store.Conflict:
			sched.registry.Refresh(t.job.ID)
			sched.runner.After(250*eventloop.Millisecond, func() { sched.storeCompletion(t) })
		default:
			sched.runner.After(150*eventloop.Millisecond, func() { sched.storeCompletion(t) })
		}
	})
}

// excludeBriefly excludes a machine from placement for 300 ms, until a newer view of it has arrived.
func (sched *Scheduler) excludeBriefly(machine string) {
	if m := sched.fleet.Machine(machine); m != nil {
		m.BackOff(sched.runner.Now()+300*eventloop.Millisecond, "its host controller refused a start")
	}
}

// JobCounts returns the task counts of a job whose team is owned here. ok is false for other jobs.
func (sched *Scheduler) JobCounts(j *job.Job) (job.Counts, bool) {
	if j.Spec == nil {
		return job.Counts{}, false
	}
	tm := sched.teams[j.Spec.Team]
	if tm == nil || tm.jobs[j.ID] == nil {
		return job.Counts{}, false
	}
	t := tm.jobs[j.ID]
	return job.Counts{Done: int64(t.completed), Running: int64(t.running)}, true
}

// TasksInUse returns the number of tasks of an owned partition that may be on machines.
func (sched *Scheduler) TasksInUse(id partition.ID) int {
	n := 0
	if part := sched.partitions[id]; part != nil {
		for _, tm := range part.teams {
			n += tm.inUse()
		}
	}
	return n
}

// UsageReceived records the resource use of teams that other controllers own.
func (sched *Scheduler) UsageReceived(u []peer.Usage) {
	for _, x := range u {
		sched.usage[x.Team] = x
	}
}

// minPassInterval is the minimum time between two passes. In a large cluster capacity becomes free continuously, and
// a pass for each such event would scan the same queue every time.
const minPassInterval = 80 * eventloop.Millisecond

// RequestPass schedules a placement pass. Calls that arrive before the pass starts share it. The delay grows with the
// duration of the newest pass, so that passes leave most of the controller's time to other work.
func (sched *Scheduler) RequestPass() {
	if sched.passScheduled {
		return
	}
	sched.passScheduled = true
	sched.runner.After(min(minPassInterval+10*sched.lastPassTook, 400*eventloop.Millisecond), func() {
		sched.passScheduled = false
		sched.place()
	})
}
