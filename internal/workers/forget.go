package workers

import (
	"maps"

	"cleatpick/internal/delivery"
	"cleatpick/internal/eventloop"
)

// forgetVerdict says whether a worker may forget a terminated attempt, or why not yet.
type forgetVerdict string

// The verdicts, as named in metrics.
const (
	forgetAllowed     forgetVerdict = "allowed"
	forgetUnconfirmed forgetVerdict = "unsettled" // commands or answers under an older token may be in flight
	forgetDirect      forgetVerdict = "direct"    // a direct command is in flight
	forgetPending     forgetVerdict = "pending"   // this host may still pass a start of the attempt on
	forgetAnswer      forgetVerdict = "answer"    // a start of the attempt is in an answer in flight
	forgetUnexpired   forgetVerdict = "unexpired" // another host may still pass a start of the attempt on
	forgetCopied      forgetVerdict = "copied"    // a copy of a direct command with a start of the attempt would be executed
)

// judgeForget returns the verdict for the terminated attempt at a position of the task list.
func (a *Registry) judgeForget(m *machine, i int) forgetVerdict {
	t := &m.view.Tasks[i]
	attempt := delivery.Attempt{Task: t.Task, Number: t.Attempt}
	switch {
	case m.state != TokenShown:
		return forgetUnconfirmed
	case m.directInFlight:
		return forgetDirect
	case m.pending[attempt] != nil:
		return forgetPending
	case m.inAnswer(attempt):
		return forgetAnswer
	case a.runner.Wall() <= a.config.Clock.LatestArrivalOfRecorded(m.view.firstListed[i]):
		return forgetUnexpired
	case m.directStarts[attempt] >= m.token:
		return forgetCopied
	}
	return forgetAllowed
}

// mayForget reports whether the worker may be told now to forget the attempt at a position of the task list:
// whether no start of the attempt can arrive any more. A worker that has forgotten an attempt would run it
// again if such a start arrived. Every forget that a host sends has passed this check, whoever requested it.
//
//   - Starts that this host sent directly: no direct command is in flight, and the message with the forget has a
//     higher token, so the worker refuses whatever copy of the command arrives after it. That the command was
//     answered proves that it was executed, not that it cannot arrive again.
//   - Starts that this host sent in an answer: the worker has reported since. It drops whatever answer to an earlier
//     report arrives later.
//   - Starts that were sent by another host or an earlier incarnation of this one: a worker that shows this host's
//     token rejects them.
//   - Starts that another host, to which the worker moves next, may still pass on: no host does so after the
//     start has expired. The attempt was recorded before a task list showed it, so the time at which this host
//     first saw it listed bounds the expiry, without relying on its owner's messages or clock.
func (a *Registry) mayForget(m *machine, i int) bool {
	if m.view.Tasks[i].Active() {
		return false
	}
	verdict := a.judgeForget(m, i)
	a.config.Meter.ForgetVerdict(string(verdict))
	return verdict == forgetAllowed
}

// forgetNeedsToken reports whether a forget that is wanted now only lacks a higher token than the attempt's start.
//
// Only the answer to a report raises the token for that: the answers before it have arrived or never will, so none of
// them, which renew the worker's lease, is refused for its lower token.
func (a *Registry) forgetNeedsToken(m *machine) bool {
	jobs := a.Jobs(&m.view)
	for i := range m.view.Tasks {
		t := &m.view.Tasks[i]
		attempt := delivery.Attempt{Task: t.Task, Number: t.Attempt}
		if t.Active() || m.directStarts[attempt] < m.token {
			continue
		}
		wanted := m.stops[attempt].stop.Forget || jobs[i] != nil && jobs[i].Final()
		if wanted && a.judgeForget(m, i) == forgetCopied {
			return true
		}
	}
	return false
}

// inAnswer reports whether a start of the attempt is in the answer to the newest report.
func (m *machine) inAnswer(attempt delivery.Attempt) bool {
	_, in := m.startsInAnswer[attempt]
	return in
}

// firstListed returns the wall-clock time at which this host first saw the attempt listed; 0: it is not listed.
func (m *machine) firstListed(task string, attempt uint64) eventloop.Micros {
	if i := m.view.index(task, attempt); i >= 0 {
		return m.view.firstListed[i]
	}
	return 0
}

// dropUnlisted removes what is known of attempts that are neither listed nor pending: the worker has forgotten them, or
// refuses their starts.
func (m *machine) dropUnlisted() {
	unlisted := func(attempt delivery.Attempt) bool { return m.view.index(attempt.Task, attempt.Number) < 0 }
	maps.DeleteFunc(m.directStarts, func(attempt delivery.Attempt, _ uint64) bool { return m.pending[attempt] == nil && unlisted(attempt) })
	maps.DeleteFunc(m.forgetsSent, func(attempt delivery.Attempt, _ struct{}) bool { return unlisted(attempt) })
}

// firstListedTimes returns, for each task of the view, the time at which this host first saw that attempt listed.
// before is the machine's previous view, and c the differences between the two.
func (v *View) firstListedTimes(before *View, c *Changes, wall eventloop.Micros) []eventloop.Micros {
	known := len(before.firstListed) == len(before.Tasks) && !c.All
	if known && c.Unchanged {
		return before.firstListed
	}
	listed := make([]eventloop.Micros, len(v.Tasks))
	for i := range v.Tasks {
		listed[i] = wall
		if !known {
			continue
		}
		if c.Kept(i) {
			listed[i] = before.firstListed[c.OldIndexOf(i)]
		} else if was := before.index(v.Tasks[i].Task, v.Tasks[i].Attempt); was >= 0 {
			listed[i] = before.firstListed[was]
		}
	}
	return listed
}
