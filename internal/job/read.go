package job

import (
	"cmp"
	"slices"

	"cleatpick/internal/loop"
	"cleatpick/internal/store"
)

// Requests about jobs that are not final are answered with linearizable reads. A request waits until the copy
// of the records holds everything that the state service held when the request came, that is, until any answer
// of the state service has been applied whose request was made later: a watch, a scan of all keys, or a Sync,
// which is sent while requests wait. One Sync answers all requests that came before it, however many they are.
// So the number that can be answered need not be estimated, and no wrong estimate can shut out the requests
// that would correct it.
//
// The number of waiting requests is bounded by the connections that they hold. With P connections for them and
// J jobs that are polled, each at an interval of r, a known job is answered within ceil(J/P) periods, each of
// at most readInterval and an answer of the state service, plus r, after its first request here: when all
// places are taken, the job that has gone unanswered longest takes the place of the one that has gone
// unanswered shortest.

const (
	// maxWaitingReads bounds the number of users that wait for a job's state, unless SetMaxWaitingReads sets less.
	maxWaitingReads = 2000
	// answerTimeout is how long a user waits here before being told to retry.
	answerTimeout = 1500 * loop.Millisecond
	// readInterval is the time from the answer to a Sync until the next Sync.
	readInterval = 60 * loop.Millisecond
	// retrySpreadSeconds is the number of seconds over which the retries of users refused together are spread.
	retrySpreadSeconds = 3
)

// readQueue holds the requests that wait for the copy of the records to be synchronized.
type readQueue struct {
	waiting    []*userRequest // sorted by compareRequests
	maxWaiting int            // bound on len(waiting), except for changes
	syncing    bool
	refusals   int // number of refusals so far, by which Retry-After is spread
}

// compareRequests compares two requests by which keeps its place when not all can wait: changes come first, then
// polls for known jobs, those unanswered longest first, then polls for jobs that are not known here.
func compareRequests(a, b *userRequest) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.unansweredSince, b.unansweredSince), cmp.Compare(a.sequence, b.sequence))
}

// rank is the first criterion of compareRequests.
type rank int

const (
	rankChange rank = iota
	rankKnown
	rankUnknown
)

// rankOf returns a request's rank.
func (r *Registry) rankOf(req *userRequest) rank {
	switch {
	case req.change:
		return rankChange
	case r.jobs[req.id] != nil || r.damaged[req.id]:
		return rankKnown
	}
	return rankUnknown
}

// WaitingReads returns the number of users that wait for a job's state.
func (r *Registry) WaitingReads() int { return len(r.reads.waiting) }

// SetMaxWaitingReads bounds the number of users that may wait for a job's state. Each holds a connection, and some
// connections must be left for submissions.
func (r *Registry) SetMaxWaitingReads(n int) { r.reads.maxWaiting = min(max(n, 1), maxWaitingReads) }

// answerWhenCurrent answers a request once the copy of the records is certainly as new as the request.
func (r *Registry) answerWhenCurrent(req *userRequest) {
	w := &r.reads
	req.rank = r.rankOf(req)
	if n := len(w.waiting); !req.change && n >= w.maxWaiting {
		last := w.waiting[n-1]
		if last.change || compareRequests(last, req) < 0 {
			r.refuseFull(req)
			return
		}
		w.waiting = w.waiting[:n-1]
		r.refuseFull(last)
	}
	i, _ := slices.BinarySearchFunc(w.waiting, req, compareRequests)
	w.waiting = slices.Insert(w.waiting, i, req)
	r.sync()
}

// Sync calls callback once the copy of the records holds everything that the state service held when Sync was called.
// It serves answers about many jobs. ok is false if that was not possible in time.
func (r *Registry) Sync(callback func(ok bool)) {
	req := r.newUserRequest("", true, func(a Answer) { callback(!a.refused()) })
	r.answerWhenCurrent(req)
}

// refuseFull tells a user to retry because too many requests wait; places become free with the next answer of
// the state service.
func (r *Registry) refuseFull(req *userRequest) {
	r.reads.refusals++
	a := newRefusal(req.id, 429, RefusedFull)
	a.RetryAfter = 1 + r.reads.refusals%retrySpreadSeconds
	r.deliver(req, a)
}

// sync synchronizes the copy of the records while requests wait, with one Sync at a time.
func (r *Registry) sync() {
	if r.reads.syncing || len(r.reads.waiting) == 0 {
		return
	}
	r.reads.syncing = true
	before := r.client.NextSequence()
	r.mirror.Sync(store.Inquiries, func(outcome store.Outcome) {
		if outcome == store.Refused {
			// The state service cannot be read now: users are told to retry at once.
			r.finishMatching(func(req *userRequest) bool { return req.sequence < before }, func(req *userRequest) {
				r.deliver(req, newRefusal(req.id, 503, RefusedState))
			})
		}
		r.runner.After(readInterval, func() {
			r.reads.syncing = false
			r.sync()
		})
	})
}

// synced answers the requests that came before a request to the state service whose answer has been applied.
func (r *Registry) synced(s store.Synced) {
	r.finishMatching(func(req *userRequest) bool { return req.sequence < s.Request }, func(req *userRequest) {
		a := r.current(req.id, 200, SourceRead, s.Request)
		if a.Code == 404 && req.onAbsent != nil {
			req.onAbsent()
			return
		}
		r.deliver(req, a)
	})
}

// finishMatching removes the requests that match from those that wait, and calls end for each.
func (r *Registry) finishMatching(which func(*userRequest) bool, end func(*userRequest)) {
	var matched, rest []*userRequest
	for _, req := range r.reads.waiting {
		if which(req) {
			matched = append(matched, req)
		} else {
			rest = append(rest, req)
		}
	}
	if len(matched) == 0 {
		return
	}
	r.reads.waiting = rest
	for _, req := range matched {
		end(req)
	}
}

// expireReads gives up requests that have waited too long.
func (r *Registry) expireReads(now loop.Micros) {
	r.finishMatching(func(req *userRequest) bool { return now >= req.deadline }, func(req *userRequest) {
		r.deliver(req, newRefusal(req.id, 503, RefusedExpired))
	})
}
