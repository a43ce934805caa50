// Package job keeps the durable record of every job: its specification, its hold and its dependencies, and
// whether it is accepted, done or cancelled. It validates and stores submissions, cancellations and other
// changes, and answers users' requests about a job. A user is answered only once the state service holds what
// the answer says.
//
// It decides in which order submissions are stored (by package admission) and which requests are refused under
// load. Placing tasks and detecting that a job is done are left to the scheduler, HTTP and the protocol's
// encoding to the packages that call it.
package job

import (
	"log/slog"
	"strings"

	"cleatpick/internal/admission"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// Registry holds all jobs that this controller knows. It is used on the event loop only.
type Registry struct {
	runner     eventloop.Runner
	client     *store.Client
	mirror     *store.Mirror
	log        *slog.Logger
	jobs       map[string]*Job
	damaged    map[string]bool // jobs whose newest record cannot be decoded
	pending    map[string]*creation
	queue      *admission.Queue // submissions that wait for their record to be stored
	storing    bool
	reads      readQueue
	unanswered unansweredJobs
	refusals   *admission.Refusals
	peerOnly   int // jobs known to be cancelled only from a peer's message
	// OnJob is called whenever a job's record is new or has changed.
	OnJob func(*Job)
}

// expireInterval is the interval at which requests that have waited too long are given up.
const expireInterval = 250 * eventloop.Millisecond

// NewRegistry makes an empty registry and subscribes it to the job records of the mirror.
func NewRegistry(runner eventloop.Runner, client *store.Client, mirror *store.Mirror, log *slog.Logger) *Registry {
	registry := &Registry{runner: runner, client: client, mirror: mirror, log: log, jobs: map[string]*Job{}, damaged: map[string]bool{},
		pending: map[string]*creation{}, reads: readQueue{maxWaiting: maxWaitingReads}, unanswered: unansweredJobs{}, refusals: admission.NewRefusals(log)}
	mirror.OnChange(KeyPrefix, registry.applyRecord)
	mirror.OnSynced(registry.synced)
	registry.ConfigureAdmission(func(string) float64 { return 1 }, 40)
	eventloop.Every(runner, expireInterval, registry.Expire)
	return registry
}

// applyRecord applies a record that the mirror received.
func (r *Registry) applyRecord(key string, e store.Entry) {
	id := strings.TrimPrefix(key, KeyPrefix)
	if e.Revision == 0 {
		return // job records are never removed
	}
	var rec Record
	if err := wire.Unmarshal(e.Value, &rec); err != nil || !rec.valid() {
		// A corrupt record is set aside and none of its tasks is started. The job was certainly accepted, and
		// users are still answered so; see current.
		r.log.Error("job record is corrupt and set aside; none of its tasks will be started", "key", key, "err", err)
		r.damaged[id] = true
		return
	}
	delete(r.damaged, id)
	j := r.jobs[id]
	if j == nil {
		j = &Job{ID: id}
		r.jobs[id] = j
	}
	j.Revision, j.Phase, j.AcceptedAt = e.Revision, rec.Phase, rec.AcceptedAt
	r.applyPeerRevision(j)
	if rec.Phase == Cancelled {
		j.CancelledAt = rec.CancelledAt
	}
	if rec.Spec != nil {
		j.Spec, j.Tasks = rec.Spec, rec.Spec.Tasks
	} else {
		j.Tasks = rec.Tasks
	}
	if j.Final() {
		r.unanswered.recordAnswer(id)
	}
	j.Terms = Terms{}
	if rec.Terms != nil {
		j.Terms = *rec.Terms
	}
	if r.OnJob != nil {
		r.OnJob(j)
	}
}

// valid reports whether a decoded record is consistent.
func (r *Record) valid() bool {
	switch r.Phase {
	case Accepted:
		return r.Spec != nil && r.Spec.Tasks > 0 && r.Spec.CPUs >= 0 && r.Spec.Team != ""
	case Done, Cancelled:
		return true
	}
	return false
}

// ConfigureAdmission sets the weights by which teams share the admission of submissions, and the expected number of
// submissions per second. It must be called before anything is submitted.
func (r *Registry) ConfigureAdmission(weight func(team string) float64, rate float64) {
	r.queue = admission.NewQueue(weight, rate)
	r.queue.OnStateChange(func(from, to admission.State) {
		r.client.Meter.QueueState(to.String())
		r.log.Info("load state of the submission queue changed", "from", from.String(), "to", to.String(), "waiting", r.queue.Waiting())
	})
}

// TakeQueuePositions returns the queue positions of clients deferred since the previous call, to be sent to the
// peers.
func (r *Registry) TakeQueuePositions() []admission.Position { return r.queue.TakeNewPositions() }

// ApplyQueuePositions applies the queue positions that a peer sent.
func (r *Registry) ApplyQueuePositions(all []admission.Position) {
	r.queue.MergePositions(all, r.runner.Wall())
}

// Get returns a job known here, nil if there is none.
func (r *Registry) Get(id string) *Job { return r.jobs[id] }

// Each calls f for every job known here.
func (r *Registry) Each(f func(*Job)) {
	for _, j := range r.jobs {
		f(j)
	}
}

// fetch reads a job from the state service.
func (r *Registry) fetch(id string, callback func(Answer)) {
	sequence := r.client.NextSequence()
	r.client.Get(store.Answers, KeyPrefix+id, func(it wire.KeyValue, found, ok bool) {
		switch {
		case !ok:
			callback(newRefusal(id, 503, RefusedState))
		case !found:
			callback(Answer{Code: 404, ID: id, source: SourceRead, basedOn: sequence})
		default:
			r.mirror.Apply(it.Key, it.Value, it.Revision, false)
			callback(r.current(id, 200, SourceRead, sequence))
		}
	})
}

// Poll answers a request for a job's state. A final state is answered from memory; any other is read from the
// state service first.
func (r *Registry) Poll(id string, callback func(Answer)) {
	req := r.newUserRequest(id, false, callback)
	if j := r.jobs[id]; j != nil && j.Final() {
		r.deliver(req, r.current(id, 200, SourceFinal, 0))
		return
	}
	r.answerWhenCurrent(req)
}

// Expire gives up requests that have waited too long; their users are told to retry. It runs regularly, and
// must be called first after a pause of the process, before anything else runs.
func (r *Registry) Expire() {
	now := r.runner.Now()
	r.expireCreates(now)
	r.expireReads(now)
	r.refusals.LogEnded(now)
}

// RecordRefusal records that a request about a job was refused with Retry-After before it reached the registry. The
// reason is one of a fixed list.
func (r *Registry) RecordRefusal(id, reason string) {
	now := r.runner.Now()
	r.client.Meter.Deferred(reason)
	r.refusals.Record(reason, now)
	since := r.unanswered.since(id, now)
	if j := r.jobs[id]; j != nil && !j.Final() {
		r.unanswered.recordRefusal(id, since)
	}
	r.log.Debug("request refused before it reached the job registry", "job", id, "reason", reason, "unanswered_us", now-since)
}

// DoneChange returns the change that marks a job done. Its transaction must be conditioned on RevisionCond of
// the same job.
func DoneChange(j *Job) wire.Change {
	return wire.Change{Put: KeyPrefix + j.ID, Value: Record{Phase: Done, AcceptedAt: j.AcceptedAt, Tasks: j.Tasks}}
}

// RevisionCond returns the condition that the job's record still has the revision known here.
func RevisionCond(j *Job) wire.Cond { return wire.Cond{Key: KeyPrefix + j.ID, Revision: j.Revision} }

// ApplyStored applies a record that a transaction of this controller has stored.
func (r *Registry) ApplyStored(ch wire.Change, revision uint64) {
	r.mirror.Apply(ch.Put, wire.Marshal(ch.Value), revision, false)
}

// Refresh reads a job again after a transaction showed that the copy here is out of date.
func (r *Registry) Refresh(id string) { r.fetch(id, func(Answer) {}) }
