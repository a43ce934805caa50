package node

import (
	"slices"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
)

// This file checks two preconditions of the invariants on answers. They break far more often than the invariants
// themselves, which makes faults easier to find: no answer is older than its question, and no question about a job
// stays unanswered by a controller that could answer it.

// phaseOrder orders phases by how far a job has come: unknown, accepted, final.
func phaseOrder(p job.Phase) int {
	switch p {
	case job.Accepted:
		return 1
	case job.Done, job.Cancelled:
		return 2
	}
	return 0
}

// checkNotOutdated fails if an answer is older than what the state service held when the question was asked, whether
// or not any user had been told of that.
func (w *simulation) checkNotOutdated(j *simJob, known int, a job.Answer) {
	if a.Code != 200 && a.Code != 201 && a.Code != 404 {
		return
	}
	if now := phaseOrder(a.Phase); now < known {
		w.fail("outdated: %s is answered %d %q, which is older than what the state service held when it was asked for", j.id, a.Code, a.Phase)
	}
}

// question is a job about which a controller was asked.
type question struct{ label, id string }

// openQuestion is when a controller was asked about a job without answering.
type openQuestion struct {
	asked    []eventloop.Micros // in order
	deferred int                // so many of them were deferred with Retry-After
}

// userTimeout is how long a user waits for the answer to a question.
const userTimeout = 2 * eventloop.Second

// due returns the questions whose users no longer wait.
func (o *openQuestion) due(now eventloop.Micros) []eventloop.Micros {
	n, _ := slices.BinarySearch(o.asked, now-userTimeout)
	return o.asked[:n]
}

// overdue reports whether the controller has had enough time to answer: it left a question without any reply, or the
// newest question came more than answerWithin after the first and was deferred, too. If all questions came within a
// short time, were deferred, and no user asked again, no answer is due: seed 22 of TestInvariantsUnderIntensePolling
// has four questions within half a second of the end of a process pause of 17 s, each answered 429 with Retry-After
// of one to three seconds, and no other for fifteen seconds. A question whose user still waits says nothing yet.
func (o *openQuestion) overdue(now eventloop.Micros) bool {
	due := o.due(now)
	return len(due) >= minQuestions && now-due[0] > answerWithin && (len(due) > o.deferred || due[len(due)-1]-due[0] > answerWithin)
}

// answerWithin is for how long a controller that reaches the state service may leave every question about a job
// unanswered: far longer than two read intervals and the time between two polls.
const answerWithin = 15 * eventloop.Second

// minQuestions is how many questions must have gone unanswered for a conclusion.
const minQuestions = 3

func (w *simulation) questionAsked(key question) {
	o := w.openQuestions[key]
	if o == nil {
		o = &openQuestion{}
		w.openQuestions[key] = o
	}
	o.asked = append(o.asked, w.now)
}

func (w *simulation) questionAnswered(key question, a job.Answer) {
	if a.Code == 200 || a.Code == 404 {
		delete(w.openQuestions, key)
	} else if o := w.openQuestions[key]; o != nil && a.RetryAfter > 0 {
		o.deferred++
	}
}

// canAnswer reports whether a controller could answer now, judged from the outside: it runs, and the state service
// answers it in time. What the controller itself reports is not used.
func (w *simulation) canAnswer(label string) bool {
	s := w.nodes[label]
	return s.alive && !s.paused && w.linkModes[label+">state"] == connected && !w.state.Down() && w.stateFaults.answerDelay[1] < eventloop.Second/4
}

// checkOpenQuestions fails if a controller answers no question about a job although it could.
func (w *simulation) checkOpenQuestions() {
	for _, label := range w.labels {
		if !w.canAnswer(label) {
			w.ableSince[label] = 0
			for key := range w.openQuestions {
				if key.label == label {
					delete(w.openQuestions, key)
				}
			}
		} else if w.ableSince[label] == 0 {
			w.ableSince[label] = w.now
		}
	}
	for key, o := range w.openQuestions {
		if w.ableSince[key.label] != 0 && o.overdue(w.now) && w.jobs[key.id].accepted {
			w.fail("owed: %s could answer, but has answered none of %d questions about %s since %.3f s", key.label, len(o.asked), key.id, float64(o.asked[0])/1e6-3600)
		}
	}
	w.after(eventloop.Second/5, w.checkOpenQuestions)
}

// pollIntensely lets users poll intensely for a while: as soon as a user is told that a job is accepted or final, all
// controllers are polled repeatedly within milliseconds, the submission is repeated there, and some users cancel at
// once.
func (w *simulation) pollIntensely(d eventloop.Micros) { w.intensePollUntil = w.now + d }

// pollEverywhere asks all controllers about a job several times within 600 ms.
func (w *simulation) pollEverywhere(j *simJob) {
	if w.now >= w.intensePollUntil {
		return
	}
	const polls, within = 8, 600 * eventloop.Millisecond
	for _, label := range w.labels {
		s := w.nodes[label]
		for range polls {
			w.after(w.between(0, within), func() {
				switch {
				case !s.alive || !s.n.ready():
				case w.rng.IntN(2) == 0:
					w.pollAt(s, j)
				default:
					reply := w.answerChecker(j)
					s.execute(s.incarnation, func() { s.n.jobs.Submit(j.id, j.spec, reply) })
				}
			})
		}
	}
	if j.terms == nil && w.rng.IntN(3) == 0 {
		w.after(w.between(0, within/4), func() { w.cancel(j) })
	}
}
