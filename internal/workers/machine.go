package workers

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"cleatpick/internal/delivery"
	"cleatpick/internal/eventloop"
)

// HostingState is the state of a machine at the controller to which it reports.
type HostingState int

// The states of a machine. Only in the state TokenShown can no other controller's command be carried out.
const (
	HostedElsewhere HostingState = iota // another controller has newer reports
	RaisingEpoch                        // the worker shows a token above ours: a newer epoch is being obtained
	AwaitingToken                       // our token was sent, but the worker has not shown it yet
	TokenShown                          // the worker shows the token that it must: no other controller's command can be carried out
)

// sortedAttempts returns the attempts of a map sorted by name, so that the order of commands and views does not
// depend on the order of Go's maps.
func sortedAttempts[V any](m map[delivery.Attempt]V) []delivery.Attempt {
	return slices.SortedFunc(maps.Keys(m), func(a, b delivery.Attempt) int {
		return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
	})
}

// pendingStart is a start that this host has accepted and that the worker has not listed yet.
type pendingStart struct {
	start  Start
	direct bool // part of the direct command in flight
	// untilToken, if not 0, means that the start was sent in a direct command of unknown outcome. It may be carried
	// out until the worker shows this token.
	untilToken uint64
}

// stopRequest is a stop or a forget that an owner requested.
type stopRequest struct {
	stop  Stop
	until eventloop.Micros // monotonic time at which the request is dropped
}

// machine is the state of a machine that reports to this controller.
type machine struct {
	view  View
	state HostingState
	token uint64 // of the next message to the worker
	// requiredToken is the lowest token that the worker must show: commands of unknown outcome have lower ones.
	requiredToken uint64
	issuedBefore  uint64           // highest token that was issued while the machine was hosted here before
	tokenIssuedAt eventloop.Micros // wall-clock time before which the token did not exist
	wantTaskList  bool             // an owner requested a task list that is certainly new
	pending       map[delivery.Attempt]*pendingStart
	// reportSession and reportSeq identify the newest report. startsInAnswer holds the starts in the answer to it,
	// which may be in flight until the worker reports again.
	reportSession, reportSeq uint64
	startsInAnswer           map[delivery.Attempt]struct{}
	// directStarts holds the token of the newest direct command with a start of the attempt, for listed and pending
	// attempts.
	directStarts map[delivery.Attempt]uint64
	forgetsSent  map[delivery.Attempt]struct{} // the listed attempts that the worker was told to forget
	// reservations holds the capacity reserved for starts whose attempts owners are still recording, and until when.
	reservations     map[delivery.Attempt]eventloop.Micros
	stops            map[delivery.Attempt]stopRequest
	directInFlight   bool             // a direct command is in flight
	sendScheduled    bool             // sendCommands is scheduled
	updateScheduled  bool             // updateView is scheduled
	closedUntil      eventloop.Micros // wall-clock time until which the machine accepts no starts
	publishedAt      eventloop.Micros // monotonic time at which the view was last published
	dirty            bool             // the view has changed in a way that peers must learn soon
	published        *View            // the view as last published, from which the next delta is computed
	publishScheduled bool             // in Registry.toPublish
}

// newMachine makes the entry of a machine that reports here for the first time.
func newMachine() *machine {
	return &machine{pending: map[delivery.Attempt]*pendingStart{}, startsInAnswer: map[delivery.Attempt]struct{}{}, directStarts: map[delivery.Attempt]uint64{}, forgetsSent: map[delivery.Attempt]struct{}{},
		reservations: map[delivery.Attempt]eventloop.Micros{}, stops: map[delivery.Attempt]stopRequest{}}
}

// setState changes a machine's state. No other function does.
func (a *Registry) setState(m *machine, s HostingState) {
	if m.state == s {
		return
	}
	a.log.Debug("hosting state of machine changed", "machine", m.view.Name, "from", m.state, "to", s, "token", m.token, "session", m.view.Session)
	m.state = s
	m.view.TokenConfirmed = s == TokenShown
}

// isNewestReport reports whether a report is newer than all reports that were recorded.
func (m *machine) isNewestReport(session, seq uint64) bool {
	return session > m.reportSession || session == m.reportSession && seq > m.reportSeq
}

// recordReport records that a worker made a report. A worker has one report in flight at a time, so the answers to
// all earlier reports have arrived or never will. A duplicate of a report proves nothing new.
func (m *machine) recordReport(session, seq uint64) {
	if !m.isNewestReport(session, seq) {
		return
	}
	m.reportSession, m.reportSeq = session, seq
	clear(m.startsInAnswer)
}

// String returns the state's name in logs.
func (s HostingState) String() string {
	return [...]string{"elsewhere", "raising", "taking", "held"}[s]
}
