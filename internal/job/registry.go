// Package job keeps the durable record of every job and answers for its life:
// accepted, done or withdrawn, each stored before anybody is told.
package job

import (
	"log/slog"
	"strings"

	"cleatpick/internal/admission"
	"cleatpick/internal/loop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// Registry holds all jobs known to this node.
type Registry struct {
	runner    loop.Runner
	client    *store.Client
	mirror    *store.Mirror
	log       *slog.Logger
	jobs      map[string]*Job
	damaged   map[string]bool // records that cannot be read, set aside
	creates   map[string]*creation
	line      *admission.Queue // of the creates that wait for their record
	creating  bool
	reads     reads
	overdue   overdue
	refusals  *admission.Refusals
	fromPeers int // jobs that only a peer's word calls withdrawn
	// OnJob is called whenever a job's record is new or has changed.
	OnJob func(*Job)
}

// expireEvery is how often it is looked for requests that waited too long.
const expireEvery = 250 * loop.Millisecond

// NewRegistry makes a registry that knows of no job yet.
func NewRegistry(runner loop.Runner, client *store.Client, mirror *store.Mirror, log *slog.Logger) *Registry {
	registry := &Registry{runner: runner, client: client, mirror: mirror, log: log, jobs: map[string]*Job{}, damaged: map[string]bool{},
		creates: map[string]*creation{}, reads: reads{most: mostWaiting}, overdue: overdue{}, refusals: admission.NewRefusals(log)}
	mirror.On(Keys, registry.learn)
	mirror.OnSynced(registry.synced)
	registry.Admit(func(string) float64 { return 1 }, 40)
	loop.Every(runner, expireEvery, registry.Expire)
	return registry
}

// learn takes in a record from the mirror.
func (r *Registry) learn(key string, e store.Entry) {
	id := strings.TrimPrefix(key, Keys)
	if e.Mark == 0 {
		return // job records are never removed
	}
	var rec Record
	if err := wire.Unmarshal(e.Value, &rec); err != nil || !rec.sound() {
		// A record that makes no sense is set aside: nothing is started on its account. That
		// the job was accepted is certain, and still told: see current.
		r.log.Error("corrupt record set aside", "key", key, "err", err)
		r.damaged[id] = true
		return
	}
	delete(r.damaged, id)
	j := r.jobs[id]
	if j == nil {
		j = &Job{ID: id}
		r.jobs[id] = j
	}
	j.Revision, j.Phase, j.At = e.Mark, rec.Phase, rec.At
	r.applyPeerRevision(j)
	if rec.Spec != nil {
		j.Spec, j.Tasks = rec.Spec, rec.Spec.Tasks
	} else {
		j.Tasks = rec.Tasks
	}
	if j.Final() {
		r.overdue.answered(id)
	}
	j.Terms = Terms{}
	if rec.Terms != nil {
		j.Terms = *rec.Terms
	}
	if r.OnJob != nil {
		r.OnJob(j)
	}
}

func (r *Record) sound() bool {
	switch r.Phase {
	case Accepted:
		return r.Spec != nil && r.Spec.Tasks > 0 && r.Spec.CPUs >= 0 && r.Spec.Team != ""
	case Done, Withdrawn:
		return true
	}
	return false
}

// Admit sets by what weights teams share what is taken, and how many submissions a second
// are expected to be. It is to be called before anything is submitted.
func (r *Registry) Admit(weight func(team string) float64, rate float64) {
	r.line = admission.NewQueue(weight, rate)
	r.line.OnStateChange(func(from, to admission.State) {
		r.client.Meter.Admission(to.String())
		r.log.Info("submissions", "from", from.String(), "to", to.String(), "waiting", r.line.Waiting())
	})
}

// Places are the places of those who were put off since the call before, for the peers;
// LearnPlaces takes in theirs.
func (r *Registry) Places() []admission.Position { return r.line.TakeNewPositions() }
func (r *Registry) LearnPlaces(all []admission.Position) {
	r.line.MergePositions(all, r.runner.Wall())
}

// Get finds a job known here.
func (r *Registry) Get(id string) *Job { return r.jobs[id] }

// Each calls f for every job known here.
func (r *Registry) Each(f func(*Job)) {
	for _, j := range r.jobs {
		f(j)
	}
}

// fetch asks the store itself for a job.
func (r *Registry) fetch(id string, cb func(Answer)) {
	request := r.client.Next()
	r.client.Get(store.Answers, Keys+id, func(it wire.Item, found, ok bool) {
		switch {
		case !ok:
			cb(refusal(id, 503, RefusedState))
		case !found:
			cb(Answer{Code: 404, ID: id, way: WayRead, request: request})
		default:
			r.mirror.Apply(it.Key, it.Value, it.Mark, false)
			cb(r.current(id, 200, WayRead, request))
		}
	})
}

// Poll answers for a job's state; anything that is not final is read anew.
func (r *Registry) Poll(id string, cb func(Answer)) {
	q := r.ask(id, false, cb)
	if j := r.jobs[id]; j != nil && j.Final() {
		r.deliver(q, r.current(id, 200, WayFinal, 0))
		return
	}
	r.read(q)
}

// Expire gives up requests that waited too long: their users are told to come back. It runs
// regularly, and is to be called when the process has stood still, before anything else.
func (r *Registry) Expire() {
	now := r.runner.Now()
	r.expireCreates(now)
	r.expireReads(now)
	r.refusals.LogEnded(now)
}

// TurnAway takes in that a request about a job was told to come back before it got here, for a
// reason of a fixed list.
func (r *Registry) TurnAway(id, reason string) {
	now := r.runner.Now()
	r.client.Meter.TurnedAway(reason)
	r.refusals.Record(reason, now)
	since := r.overdue.since(id, now)
	if j := r.jobs[id]; j != nil && !j.Final() {
		r.overdue.refused(id, since)
	}
	r.log.Debug("turned away", "job", id, "reason", reason, "unanswered_us", now-since)
}

// DoneChange is the change that makes a job done; it goes with DoneCond.
func DoneChange(j *Job) wire.Change {
	return wire.Change{Put: Keys + j.ID, Value: Record{Phase: Done, At: j.At, Tasks: j.Tasks}}
}

// Cond is the condition that the job is as known here.
func Cond(j *Job) wire.Cond { return wire.Cond{Key: Keys + j.ID, Mark: j.Revision} }

// Learn takes in a record that a transaction of this node has stored.
func (r *Registry) Learn(ch wire.Change, tally uint64) {
	r.mirror.Apply(ch.Put, wire.Marshal(ch.Value), tally, false)
}

// Refresh reads a job again after a transaction showed that the copy here is old.
func (r *Registry) Refresh(id string) { r.fetch(id, func(Answer) {}) }
