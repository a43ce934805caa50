package job

import (
	"context"
	"log/slog"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/store"
)

// Answer is the result of a user's request about a job.
type Answer struct {
	Code       int // HTTP status: 200, 201, 404, or 429 and 503 for a refusal that is to be retried
	RetryAfter int // Retry-After in seconds; 0 stands for 1
	Phase      Phase
	ID         string
	Tasks      int
	Created    bool

	source Source
	// basedOn is the sequence number of the request to the state service on which the answer is based; 0 if it
	// is based on none.
	basedOn store.Sequence
}

// Source names the source of an answer, or the reason of a refusal.
type Source string

// The sources of answers and the reasons of refusals.
const (
	SourceFinal   Source = "final"   // memory: the job is final, which never changes
	SourcePeer    Source = "peer"    // memory: a peer reported that the job was cancelled
	SourceRead    Source = "read"    // the copy of the records, synchronized since the request came
	SourceStored  Source = "stored"  // a record that was stored since the request came
	SourceDamaged Source = "damaged" // as SourceRead, but the newest record cannot be decoded

	RefusedFull     Source = "full"    // the maximum number of users is waiting
	RefusedDeferred Source = "put off" // the queue of submissions is too long
	RefusedExpired  Source = "expired" // no answer could be given in time
	RefusedState    Source = "state"   // the state service refused the request or did not answer
)

// refused reports whether the user is asked to retry.
func (a Answer) refused() bool { return a.Code == 429 || a.Code == 503 }

// final reports whether the answer says that the job is final, which can't become outdated.
func (a Answer) final() bool {
	return !a.refused() && (a.Phase == Done || a.Phase == Cancelled)
}

// newRefusal returns the answer that refuses a request.
func newRefusal(id string, code int, why Source) Answer {
	return Answer{Code: code, ID: id, source: why}
}

// userRequest is a user's request about one job that waits for its answer.
type userRequest struct {
	id     string
	change bool // a submission, a cancellation or another change; only polls are refused when too many requests wait
	reply  func(Answer)
	// onAbsent continues the request if the job certainly does not exist; if nil, the user is answered 404.
	onAbsent func()

	rank       rank           // priority among the requests that wait
	sequence   store.Sequence // its place in the order of users' requests and requests to the state service
	receivedAt eventloop.Micros
	deadline   eventloop.Micros // monotonic time after which the user is told to retry
	// unansweredSince is the time since which requests about the job have gone unanswered here, this one included.
	unansweredSince eventloop.Micros
}

// newUserRequest makes the entry of a user's request that came now.
func (r *Registry) newUserRequest(id string, change bool, reply func(Answer)) *userRequest {
	now := r.runner.Now()
	return &userRequest{id: id, change: change, reply: reply, sequence: r.client.NextSequence(), receivedAt: now, deadline: now + answerTimeout, unansweredSince: r.unanswered.since(id, now)}
}

// current returns the answer that the copy of the records gives for a job; sequence is that of the request to the
// state service on which the copy's content is based.
func (r *Registry) current(id string, code int, source Source, sequence store.Sequence) Answer {
	if r.damaged[id] {
		source = SourceDamaged
	}
	j := r.jobs[id]
	switch {
	case j != nil && j.PeerRevision != 0:
		source = SourcePeer
	case j == nil && r.damaged[id]:
		return Answer{Code: 200, Phase: Accepted, ID: id, source: source, basedOn: sequence}
	case j == nil:
		return Answer{Code: 404, ID: id, source: source, basedOn: sequence}
	}
	return Answer{Code: code, Phase: j.Phase, ID: j.ID, Tasks: j.Tasks, source: source, basedOn: sequence}
}

// deliver is the only way in which a user is answered. An answer based on a request to the state service that
// was made before the user's request came may be older than what another controller has told a user since,
// unless it says that the job is final. It is not given; the user's request waits for a newer one instead.
func (r *Registry) deliver(req *userRequest, a Answer) {
	if !a.refused() && !a.final() && a.basedOn < req.sequence {
		r.client.Meter.OutdatedAnswer()
		r.log.Debug("answer is older than the user's request and is not given; the state is read again", "job", req.id, "way", a.source, "code", a.Code)
		r.answerWhenCurrent(req)
		return
	}
	r.recordAnswer(req, a)
	req.reply(a)
}

// recordAnswer updates the time since which requests about the job have gone unanswered, and records the answer in
// metrics and logs.
func (r *Registry) recordAnswer(req *userRequest, a Answer) {
	if a.refused() {
		if j := r.jobs[req.id]; j != nil && !j.Final() {
			r.unanswered.recordRefusal(req.id, req.unansweredSince)
		}
		r.refusals.Record(string(a.source), r.runner.Now())
	} else {
		r.unanswered.recordAnswer(req.id)
	}
	r.client.Meter.Answer(req.change, string(a.source))
	if !r.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	revision := uint64(0)
	if j := r.jobs[req.id]; j != nil {
		revision = j.Revision
	}
	now := r.runner.Now()
	r.log.Debug("request about a job answered", "job", req.id, "change", req.change, "way", a.source, "code", a.Code, "phase", a.Phase, "revision", revision,
		"waited_us", now-req.receivedAt, "unanswered_us", now-req.unansweredSince, "after_s", a.RetryAfter)
}
