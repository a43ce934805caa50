package node

import (
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
)

// What is watched here are preconditions of the rules on answers, which break far more often than
// the rules themselves: an answer that is older than its question, and a job that is owed one.

// said is how much a phase says: nothing, accepted, over.
func said(p job.Phase) int {
	switch p {
	case job.Accepted:
		return 1
	case job.Done, job.Cancelled:
		return 2
	}
	return 0
}

// notOutdated: an answer never says less than the state service held when its question came,
// whether or not anybody was told of that.
func (w *world) notOutdated(j *simJob, held int, a job.Answer) {
	if a.Code != 200 && a.Code != 201 && a.Code != 404 {
		return
	}
	if now := said(a.Phase); now < held {
		w.fail("outdated: %s is told as %d %q, which was so before its question came", j.id, a.Code, a.Phase)
	}
}

// unanswered is a job of which a node was asked.
type unanswered struct{ label, id string }

// owed is since when, and how often, a node was asked of a job without answering.
type owed struct {
	since  loop.Micros
	newest loop.Micros // when the newest question came
	asks   int
	put    int // of them, so many were told to come back later
}

// overdue tells whether the node has had its time: a question that it has told nothing, or one that
// came as late as that and was told once more to come back. Where all came in one moment, were told to
// come back, and nobody did, nothing is owed: seed 22 of TestRulesUnderCloseLooks has four within half a
// second of the end of a standstill of 17 s, each told 429 with one to three seconds, and no other for
// fifteen.
func (o *owed) overdue(now loop.Micros) bool {
	return now-o.since > answerWithin && o.asks >= leastAsks && (o.asks > o.put || o.newest-o.since > answerWithin)
}

// answerWithin is for how long a node that has the state service may leave every question about a
// job unanswered: far longer than two intervals of reads and the time between two polls.
const answerWithin = 15 * loop.Second

// leastAsks is how many questions must have gone unanswered to tell anything.
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

// isAble tells whether a node could answer now, by what surrounds it: it runs, and the state
// service answers it in time. It looks at nothing that the node itself says.
func (w *world) isAble(label string) bool {
	s := w.nodes[label]
	return s.alive && !s.frozen && w.cut[label+">state"] == open && !w.state.Down() && w.late.slow[1] < loop.Second/4
}

// checkOwing looks for jobs of which a node answers no question although it could.
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
			w.fail("owed: %s has answered none of %d questions about %s since %.3f s", key.label, o.asks, key.id, float64(o.since)/1e6-3600)
		}
	}
	w.at(loop.Second/5, w.checkOwing)
}

// closeLooks lets users look closely for a while: as soon as one is told that a job is accepted or
// over, it asks all nodes again and again within milliseconds, repeats the submission there, and
// some cancel at once.
func (w *world) closeLooks(d loop.Micros) { w.closely = w.now + d }

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
