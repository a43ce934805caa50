package node

import (
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
)

// This file checks two preconditions of the invariants on answers. They break far more often than the invariants
// themselves, which makes faults easier to find: no answer is older than its question, and no question about a job stays
// unanswered by a controller that could answer it.

// said orders phases by how far a job has come: unknown, accepted, final.
func said(p job.Phase) int {
	switch p {
	case job.Accepted:
		return 1
	case job.Done, job.Cancelled:
		return 2
	}
	return 0
}

// notOutdated fails if an answer is older than what the state service held when the question was asked, whether or not
// any user had been told of that.
func (w *world) notOutdated(j *simJob, held int, a job.Answer) {
	if a.Code != 200 && a.Code != 201 && a.Code != 404 {
		return
	}
	if now := said(a.Phase); now < held {
		w.fail("outdated: %s is answered %d %q, which is older than what the state service held when it was asked for", j.id, a.Code, a.Phase)
	}
}

// unanswered is a job about which a controller was asked.
type unanswered struct{ label, id string }

// owed is since when, and how often, a controller was asked about a job without answering.
type owed struct {
	since  loop.Micros
	newest loop.Micros // when the newest question was asked
	asks   int
	put    int // so many of them were deferred with Retry-After
}

// overdue reports whether the controller has had enough time to answer: it left a question without any reply, or the
// newest question came more than answerWithin after the first and was deferred, too. If all questions came within a
// short time, were deferred, and nobody asked again, no answer is due: seed 22 of TestRulesUnderCloseLooks has four
// questions within half a second of the end of a process pause of 17 s, each answered 429 with Retry-After of one to
// three seconds, and no other for fifteen seconds.
func (o *owed) overdue(now loop.Micros) bool {
	return now-o.since > answerWithin && o.asks >= leastAsks && (o.asks > o.put || o.newest-o.since > answerWithin)
}

// answerWithin is for how long a controller that reaches the state service may leave every question about a job
// unanswered: far longer than two read intervals and the time between two polls.
const answerWithin = 15 * loop.Second

// leastAsks is how many questions must have gone unanswered for a conclusion.
const leastAsks = 3

func (w *world) asks(key unanswered) {
	o := w.owing[key]
	if o == nil {
		o = &owed{since: w.now}
		w.owing[key] = o
	}
	o.asks++
	o.newest = w.now
}

func (w *world) answered(key unanswered, a job.Answer) {
	if a.Code == 200 || a.Code == 404 {
		delete(w.owing, key)
	} else if o := w.owing[key]; o != nil && a.RetryAfter > 0 {
		o.put++
	}
}

// isAble reports whether a controller could answer now, judged from the outside: it runs, and the state service answers
// it in time. What the controller itself reports is not used.
func (w *world) isAble(label string) bool {
	s := w.nodes[label]
	return s.alive && !s.frozen && w.cut[label+">state"] == open && !w.state.Down() && w.late.slow[1] < loop.Second/4
}

// checkOwing fails if a controller answers no question about a job although it could.
func (w *world) checkOwing() {
	for _, label := range w.labels {
		if !w.isAble(label) {
			w.able[label] = 0
			for key := range w.owing {
				if key.label == label {
					delete(w.owing, key)
				}
			}
		} else if w.able[label] == 0 {
			w.able[label] = w.now
		}
	}
	for key, o := range w.owing {
		if w.able[key.label] != 0 && o.overdue(w.now) && w.jobs[key.id].accepted {
			w.fail("owed: %s could answer, but has answered none of %d questions about %s since %.3f s", key.label, o.asks, key.id, float64(o.since)/1e6-3600)
		}
	}
	w.at(loop.Second/5, w.checkOwing)
}

// closeLooks lets users poll intensely for a while: as soon as one is told that a job is accepted or final, it asks all
// controllers again and again within milliseconds, repeats the submission there, and some users cancel at once.
func (w *world) closeLooks(d loop.Micros) { w.closely = w.now + d }

// lookClosely asks all controllers about a job several times within 600 ms.
func (w *world) lookClosely(j *simJob) {
	if w.now >= w.closely {
		return
	}
	const looks, within = 8, 600 * loop.Millisecond
	for _, label := range w.labels {
		s := w.nodes[label]
		for range looks {
			w.at(w.between(0, within), func() {
				switch {
				case !s.alive || !s.n.ready():
				case w.rng.IntN(2) == 0:
					w.pollAt(s, j)
				default:
					reply := w.answer(j)
					s.enter(s.gen, func() { s.n.jobs.Submit(j.id, j.spec, reply) })
				}
			})
		}
	}
	if j.terms == nil && w.rng.IntN(3) == 0 {
		w.at(w.between(0, within/4), func() { w.withdraw(j) })
	}
}
