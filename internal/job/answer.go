package job

import (
	"context"
	"log/slog"

	"cleatpick/internal/loop"
	"cleatpick/internal/store"
)

// Answer is what a user is told.
type Answer struct {
	Code    int // 200, 201, 404, or 429 and 503: ask again
	After   int // seconds after which to ask again; 0: one
	Phase   Phase
	ID      string
	Tasks   int
	Created bool

	way Way
	// request is the number of the request to the state service that the answer rests on; 0:
	// it rests on none.
	request store.Sequence
}

// Way names how an answer was come by, or why a question was refused.
type Way string

// The ways.
const (
	WayFinal   Way = "final"   // from memory: the job is over, which never changes
	WayPeer    Way = "peer"    // from memory: a peer told that the job was cancelled
	WayRead    Way = "read"    // from the copy of the records, brought up to date since the question
	WayStored  Way = "stored"  // a record that was stored since the question
	WayDamaged Way = "damaged" // as WayRead, of a record that cannot be read

	RefusedFull    Way = "full"    // as many users wait as may
	RefusedPutOff  Way = "put off" // the line of submissions is too long
	RefusedExpired Way = "expired" // no answer could be given in time
	RefusedState   Way = "state"   // the state service refuses, or did not answer
)

// refuses tells whether the user is only told to come back.
func (a Answer) refuses() bool { return a.Code == 429 || a.Code == 503 }

// over tells whether the answer is that the job is over, which stays so.
func (a Answer) over() bool {
	return !a.refuses() && (a.Phase == Done || a.Phase == Withdrawn)
}

func refusal(id string, code int, why Way) Answer { return Answer{Code: code, ID: id, way: why} }

// question is a user's request about one job that waits for its answer.
type question struct {
	id     string
	change bool // a submission, a cancellation or another change; polls may be refused for their number
	reply  func(Answer)
	// absent goes on when the job is certain not to be there; nil: the user is told 404.
	absent func()

	rank     rank           // among those that wait
	number   store.Sequence // its place in the order of questions and requests
	asked    loop.Micros
	deadline loop.Micros // after which the user is told to come back
	// since is when questions about the job began to go unanswered here, this one included.
	since loop.Micros
}

func (r *Registry) ask(id string, change bool, reply func(Answer)) *question {
	now := r.runner.Now()
	return &question{id: id, change: change, reply: reply, number: r.client.Next(), asked: now, deadline: now + patience, since: r.overdue.since(id, now)}
}

// current is what the copy of the records says of a job, resting on a request.
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

// deliver is the only way in which a user is answered. It judges whether the answer may be given:
// one that rests on a request to the state service that was made before the question came may be
// older than what another controller has told since, unless it says that the job is over. Such a
// question waits for a newer answer instead.
func (r *Registry) deliver(q *question, a Answer) {
	if !a.refuses() && !a.over() && a.request < q.number {
		r.client.Meter.OutdatedAnswer()
		r.log.Debug("an answer is older than its question", "job", q.id, "way", a.way, "code", a.Code)
		r.read(q)
		return
	}
	r.note(q, a)
	q.reply(a)
}

// note keeps since when a job's questions go unanswered, and tells the operators how this one was
// answered.
func (r *Registry) note(q *question, a Answer) {
	if a.refuses() {
		if j := r.jobs[q.id]; j != nil && !j.Final() {
			r.overdue.refused(q.id, q.since)
		}
		r.refusals.Record(string(a.way), r.runner.Now())
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
	r.log.Debug("answer", "job", q.id, "change", q.change, "way", a.way, "code", a.Code, "phase", a.Phase, "revision", revision,
		"waited_us", now-q.asked, "unanswered_us", now-q.since, "after_s", a.After)
}
