package job

import (
	"cmp"
	"slices"

	"cleatpick/internal/loop"
	"cleatpick/internal/store"
)

// Questions about jobs that are not over are linearizable reads. They wait until the copy of the
// records holds whatever the state service held after they came: until any answer of the state
// service has been taken in whose request was made later (a watch, a reading of all keys, or a
// Sync, which is sent where questions wait). One request answers all that waited before it,
// however many they are, so that no estimate of how many can be answered is needed: nothing here
// could shut out the very questions that would correct it.
//
// What bounds the questions is the connections that they hold. With room for P of them and J jobs
// that are asked about, each again within r, a known job is answered within ceil(J/P) intervals
// of at most readInterval and an answer of the state service, and r, of its first question here:
// where there is no room, whoever has waited longest takes the place of who has waited least.

const (
	// mostWaiting bounds the users that wait to be told of a job, unless MostAsking says less.
	mostWaiting = 2000
	// patience is how long a user waits here before being told to come back.
	patience = 1500 * loop.Millisecond
	// readInterval is the time from the answer to a Sync until the next one.
	readInterval = 60 * loop.Millisecond
	// spreadSeconds is over how many seconds those come back who are refused together.
	spreadSeconds = 3
)

// reads are the questions that wait for the copy of the records to be brought up to date.
type reads struct {
	waiting []*question // by order
	most    int         // bounds waiting, but for changes
	syncing bool
	refused int // so far, to spread when users come back
}

// order is who keeps its place where there is none for all: changes, then polls for known jobs
// by who has waited longest, then polls for jobs that are not known here.
func order(p, q *question) int {
	return cmp.Or(cmp.Compare(p.rank, q.rank), cmp.Compare(p.since, q.since), cmp.Compare(p.number, q.number))
}

// rank is the first thing in the order of questions.
type rank int

const (
	rankChange rank = iota
	rankKnown
	rankUnknown
)

func (r *Registry) rankOf(q *question) rank {
	switch {
	case q.change:
		return rankChange
	case r.jobs[q.id] != nil || r.damaged[q.id]:
		return rankKnown
	}
	return rankUnknown
}

// Asking is the number of users that wait to be told of a job's state.
func (r *Registry) Asking() int { return len(r.reads.waiting) }

// MostAsking bounds the users that may wait to be told of a job's state: each holds a connection,
// and some must be left to submissions.
func (r *Registry) MostAsking(n int) { r.reads.most = min(max(n, 1), mostWaiting) }

// read answers a question once the copy of the records is certain to be as new as it needs.
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

// Sync calls cb once the copy of the records holds whatever the state service held when it was
// called, for answers about many jobs; ok is false where that cannot be had in time.
func (r *Registry) Sync(cb func(ok bool)) {
	q := r.ask("", true, func(a Answer) { cb(!a.refuses()) })
	r.read(q)
}

// refuseFull tells a user to come back; the room is free again after the next answer.
func (r *Registry) refuseFull(q *question) {
	r.reads.refused++
	a := refusal(q.id, 429, RefusedFull)
	a.After = 1 + r.reads.refused%spreadSeconds
	r.deliver(q, a)
}

// sync brings the copy up to date while questions wait, one request at a time.
func (r *Registry) sync() {
	if r.reads.syncing || len(r.reads.waiting) == 0 {
		return
	}
	r.reads.syncing = true
	before := r.client.Next()
	r.mirror.Sync(store.Inquiries, func(outcome store.Outcome) {
		if outcome == store.Refused {
			// Nothing can be told now: users are told at once when to come back.
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

// synced answers the questions that came before a request whose answer has been taken in.
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

// settle takes questions out of those that wait, and ends each.
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

// expireReads gives up what has waited too long.
func (r *Registry) expireReads(now loop.Micros) {
	r.settle(func(q *question) bool { return now >= q.deadline }, func(q *question) {
		r.deliver(q, refusal(q.id, 503, RefusedExpired))
	})
}
