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
	// mostWaiting bounds the number of users that wait for a job's state, unless MostAsking sets less.
	mostWaiting = 2000
	// patience is how long a user waits here before being told to retry.
	patience = 1500 * loop.Millisecond
	// readInterval is the time from the answer to a Sync until the next Sync.
	readInterval = 60 * loop.Millisecond
	// spreadSeconds is the number of seconds over which the retries of users refused together are spread.
	spreadSeconds = 3
)

// reads holds the requests that wait for the copy of the records to be synchronized.
type reads struct {
	waiting []*question // sorted by order
	most    int         // bound on len(waiting), except for changes
	syncing bool
	refused int // number of refusals so far, by which Retry-After is spread
}

// order compares two requests by which keeps its place when not all can wait: changes come first, then polls
// for known jobs, those unanswered longest first, then polls for jobs that are not known here.
func order(p, q *question) int {
	return cmp.Or(cmp.Compare(p.rank, q.rank), cmp.Compare(p.since, q.since), cmp.Compare(p.number, q.number))
}

// rank is the first criterion of order.
type rank int

const (
	rankChange rank = iota
	rankKnown
	rankUnknown
)

// rankOf returns a request's rank.
func (r *Registry) rankOf(q *question) rank {
	switch {
	case q.change:
		return rankChange
	case r.jobs[q.id] != nil || r.damaged[q.id]:
		return rankKnown
	}
	return rankUnknown
}

// Asking returns the number of users that wait for a job's state.
func (r *Registry) Asking() int { return len(r.reads.waiting) }

// MostAsking bounds the number of users that may wait for a job's state. Each holds a connection, and some
// connections must be left for submissions.
func (r *Registry) MostAsking(n int) { r.reads.most = min(max(n, 1), mostWaiting) }

// read answers a request once the copy of the records is certainly as new as the request.
func (r *Registry) read(q *question) {
	w := &r.reads
	q.rank = r.rankOf(q)
	if n := len(w.waiting); !q.change && n >= w.most {
		last := w.waiting[n-1]
		if last.change || order(last, q) < 0 {
			r.refuseFull(q)
			return
		}
		w.waiting = w.waiting[:n-1]
		r.refuseFull(last)
	}
	i, _ := slices.BinarySearchFunc(w.waiting, q, order)
	w.waiting = slices.Insert(w.waiting, i, q)
	r.sync()
}

// Sync calls cb once the copy of the records holds everything that the state service held when Sync was called.
// It serves answers about many jobs. ok is false if that was not possible in time.
func (r *Registry) Sync(cb func(ok bool)) {
	q := r.ask("", true, func(a Answer) { cb(!a.refuses()) })
	r.read(q)
}

// refuseFull tells a user to retry because too many requests wait; places become free with the next answer of
// the state service.
func (r *Registry) refuseFull(q *question) {
	r.reads.refused++
	a := refusal(q.id, 429, RefusedFull)
	a.After = 1 + r.reads.refused%spreadSeconds
	r.deliver(q, a)
}

// sync synchronizes the copy of the records while requests wait, with one Sync at a time.
func (r *Registry) sync() {
	if r.reads.syncing || len(r.reads.waiting) == 0 {
		return
	}
	r.reads.syncing = true
	before := r.client.Next()
	r.mirror.Sync(store.Inquiries, func(outcome store.Outcome) {
		if outcome == store.Refused {
			// The state service cannot be read now: users are told to retry at once.
			r.settle(func(q *question) bool { return q.number < before }, func(q *question) {
				r.deliver(q, refusal(q.id, 503, RefusedState))
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
	r.settle(func(q *question) bool { return q.number < s.Request }, func(q *question) {
		a := r.current(q.id, 200, WayRead, s.Request)
		if a.Code == 404 && q.absent != nil {
			q.absent()
			return
		}
		r.deliver(q, a)
	})
}

// settle removes the requests that match from those that wait, and calls end for each.
func (r *Registry) settle(which func(*question) bool, end func(*question)) {
	var settled, rest []*question
	for _, q := range r.reads.waiting {
		if which(q) {
			settled = append(settled, q)
		} else {
			rest = append(rest, q)
		}
	}
	if len(settled) == 0 {
		return
	}
	r.reads.waiting = rest
	for _, q := range settled {
		end(q)
	}
}

// expireReads gives up requests that have waited too long.
func (r *Registry) expireReads(now loop.Micros) {
	r.settle(func(q *question) bool { return now >= q.deadline }, func(q *question) {
		r.deliver(q, refusal(q.id, 503, RefusedExpired))
	})
}
