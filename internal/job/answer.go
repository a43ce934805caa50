package job

import (
	"context"
	"log/slog"

	"cleatpick/internal/loop"
	"cleatpick/internal/store"
)

// Answer is the result of a user's request about a job.
type Answer struct {
	Code    int // HTTP status: 200, 201, 404, or 429 and 503 for a refusal that is to be retried
	After   int // Retry-After in seconds; 0 stands for 1
	Phase   Phase
	ID      string
	Tasks   int
	Created bool

	way Way
	// request is the sequence number of the request to the state service on which the answer is based; 0 if it
	// is based on none.
	request store.Sequence
}

// Way names the source of an answer, or the reason of a refusal.
type Way string

// The sources of answers and the reasons of refusals.
const (
	WayFinal   Way = "final"   // memory: the job is final, which never changes
	WayPeer    Way = "peer"    // memory: a peer reported that the job was cancelled
	WayRead    Way = "read"    // the copy of the records, synchronized since the request came
	WayStored  Way = "stored"  // a record that was stored since the request came
	WayDamaged Way = "damaged" // as WayRead, but the newest record cannot be decoded

	RefusedFull    Way = "full"    // the maximum number of users is waiting
	RefusedPutOff  Way = "put off" // the queue of submissions is too long
	RefusedExpired Way = "expired" // no answer could be given in time
	RefusedState   Way = "state"   // the state service refused the request or did not answer
)

// refuses reports whether the user is told to retry.
func (a Answer) refuses() bool { return a.Code == 429 || a.Code == 503 }

// over reports whether the answer says that the job is final, which can't become outdated.
func (a Answer) over() bool {
	return !a.refuses() && (a.Phase == Done || a.Phase == Withdrawn)
}

// refusal returns the answer that refuses a request.
func refusal(id string, code int, why Way) Answer { return Answer{Code: code, ID: id, way: why} }

// question is a user's request about one job that waits for its answer.
type question struct {
	id     string
	change bool // a submission, a cancellation or another change; only polls are refused when too many requests wait
	reply  func(Answer)
	// absent continues the request if the job certainly does not exist; if nil, the user is answered 404.
	absent func()

	rank     rank           // priority among the requests that wait
	number   store.Sequence // its place in the order of users' requests and requests to the state service
	asked    loop.Micros
	deadline loop.Micros // monotonic time after which the user is told to retry
	// since is the time since which requests about the job have gone unanswered here, this one included.
	since loop.Micros
}

// ask makes the question for a user's request that came now.
func (r *Registry) ask(id string, change bool, reply func(Answer)) *question {
	now := r.runner.Now()
	return &question{id: id, change: change, reply: reply, number: r.client.Next(), asked: now, deadline: now + patience, since: r.overdue.since(id, now)}
}

// current returns the answer that the copy of the records gives for a job; request is the request to the state
// service on which the copy's content is based.
func (r *Registry) current(id string, code int, way Way, request store.Sequence) Answer {
	if r.damaged[id] {
		way = WayDamaged
	}
	j := r.jobs[id]
	switch {
	case j != nil && j.PeerRevision != 0:
		way = WayPeer
	case j == nil && r.damaged[id]:
		return Answer{Code: 200, Phase: Accepted, ID: id, way: way, request: request}
	case j == nil:
		return Answer{Code: 404, ID: id, way: way, request: request}
	}
	return Answer{Code: code, Phase: j.Phase, ID: j.ID, Tasks: j.Tasks, way: way, request: request}
}

// deliver is the only way in which a user is answered. An answer based on a request to the state service that
// was made before the user's request came may be older than what another controller has told a user since,
// unless it says that the job is final. It is not given; the user's request waits for a newer one instead.
func (r *Registry) deliver(q *question, a Answer) {
	if !a.refuses() && !a.over() && a.request < q.number {
		r.client.Meter.OutdatedAnswer()
		r.log.Debug("answer is older than the user's request and is not given; the state is read again", "job", q.id, "way", a.way, "code", a.Code)
		r.read(q)
		return
	}
	r.note(q, a)
	q.reply(a)
}

// note updates the time since which requests about the job have gone unanswered, and records the answer in
// metrics and logs.
func (r *Registry) note(q *question, a Answer) {
	if a.refuses() {
		if j := r.jobs[q.id]; j != nil && !j.Final() {
			r.overdue.refused(q.id, q.since)
		}
		r.refusals.Refuse(string(a.way), r.runner.Now())
	} else {
		r.overdue.answered(q.id)
	}
	r.client.Meter.Answer(q.change, string(a.way))
	if !r.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	revision := uint64(0)
	if j := r.jobs[q.id]; j != nil {
		revision = j.Revision
	}
	now := r.runner.Now()
	r.log.Debug("request about a job answered", "job", q.id, "change", q.change, "way", a.way, "code", a.Code, "phase", a.Phase, "revision", revision,
		"waited_us", now-q.asked, "unanswered_us", now-q.since, "after_s", a.After)
}
