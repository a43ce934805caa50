package agent

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// counterBits is the part of a token that counts within an epoch.
const counterBits = 20

// HostState names where a machine stands with this node.
type HostState int

// The states of a machine at a node.
const (
	Elsewhere HostState = iota // another node has newer reports
	Raising                    // its token is above ours: a new epoch is being taken
	Taking                     // our token was sent, but the worker has not shown it
	Held                       // the worker shows our token: nobody else's command can land
)

type key struct {
	task    string
	attempt uint64
}

// sortedKeys lists attempts by name: commands and views must not hang on a map's order.
func sortedKeys[V any](m map[key]V) []key {
	return slices.SortedFunc(maps.Keys(m), func(a, b key) int {
		return cmp.Or(strings.Compare(a.task, b.task), cmp.Compare(a.attempt, b.attempt))
	})
}

// pending is a start that this host took on.
type pending struct {
	s        Start
	direct   bool   // in the direct command under way
	inAnswer bool   // in the answer to the newest report
	limbo    uint64 // sent by a direct command of unknown outcome: may land until this token shows
}

type request struct {
	s     Stop
	until loop.Micros
}

// machine is a machine that reports to this node.
type machine struct {
	view       View
	state      HostState
	token      uint64
	tokenAt    loop.Micros // time of day before which nobody had the token
	check      bool        // an owner asks for a task list that is certainly new
	pending    map[key]*pending
	refused    map[key]loop.Micros // dropped starts, remembered until they have expired
	reserved   map[key]loop.Micros // room that owners have chosen and are still recording, and for how long
	stops      map[key]request
	direct     bool
	flushing   bool
	touching   bool
	closeTo    loop.Micros
	sent       loop.Micros // when the view was last published
	dirty      bool
	told       *View // as last published: what deltas are told against
	publishing bool
}

// Direct sends commands straight to a worker; it blocks, and runs off the loop.
type Direct func(addr string, c wire.Commands, timeout time.Duration) store.Response

// Host is what this slice needs of the node around it.
type Host struct {
	Label string
	// Life names this life of the process: no earlier or later one has the same.
	Life loop.Micros
	// MayAnswer tells whether reports may be answered, else where to send the worker.
	MayAnswer func() (ok bool, coach string)
	// MayStart tells whether new starts may be passed on.
	MayStart func() bool
	// SendOn tells whether a worker should report elsewhere, since what is heard here
	// reaches no owner, where, and after how long once more: it is answered here meanwhile,
	// should it find nobody else. before is how often it was sent on.
	SendOn func(machine string, before int) (on bool, to string, again loop.Micros)
	Epoch  func() uint64
	Raise  func(done func())
	Type   func(name string) (wire.MachineType, bool)
	Job    func(id string) *job.Job
	// Publish hands what changed of hosted machines to the peers.
	Publish func(News)
	// Changed is called for every newer view, of any node, with how it differs from the
	// one of the call before.
	Changed func(*View, *Changes)
	Drop    func(to string, d Drop)
	// Barred tells why no start of the job may reach the machine now, beyond the job
	// being over: a hold, a cordon. It may be nil.
	Barred  func(j *job.Job, v *View) string
	ClockTo loop.Micros // twice the bound on the time of day
}

// Agent is this node's machine room.
type Agent struct {
	r      loop.Runner
	log    *slog.Logger
	h      Host
	direct Direct
	hosted map[string]*machine
	views  map[string]*View
	gone   map[string]bool
	sentOn map[string]sending

	toPublish []*machine
}

// New makes the machine room.
func New(r loop.Runner, log *slog.Logger, h Host, direct Direct) *Agent {
	a := &Agent{r: r, log: log, h: h, direct: direct, hosted: map[string]*machine{}, views: map[string]*View{}, gone: map[string]bool{}, sentOn: map[string]sending{}}
	loop.Every(r, 500*loop.Millisecond, a.tick)
	return a
}

// setState is the one place where a machine's standing with this node changes.
func (a *Agent) setState(m *machine, s HostState) {
	if m.state == s {
		return
	}
	a.log.Debug("machine standing", "machine", m.view.Name, "from", int(m.state), "to", int(s), "token", m.token)
	m.state = s
	m.view.Settled = s == Held
}

// Answer is the response to a report.
type Answer struct {
	Status int
	Body   any
}

// Report takes in a report that came to this node; reply is called once, on the loop.
func (a *Agent) Report(r wire.Report, reply func(Answer)) {
	if ok, coach := a.h.MayAnswer(); !ok {
		reply(Answer{421, wire.ReportTo{Node: coach}})
		return
	}
	was := a.sentOn[r.Machine]
	if on, to, again := a.h.SendOn(r.Machine, was.times); on && a.r.Now()-was.at > again {
		a.sentOn[r.Machine] = sending{a.r.Now(), was.times + 1}
		reply(Answer{421, wire.ReportTo{Node: to}})
		return
	}
	if a.gone[r.Machine] {
		reply(Answer{503, wire.Error{Error: "machine is deleted"}})
		return
	}
	m := a.hosted[r.Machine]
	if known := a.views[r.Machine]; known != nil && !(r.Session > known.Session || (r.Session == known.Session && r.Seq > known.Seq)) {
		// Its task list is as old as itself. Where the answer of a direct command
		// overtook it, the worker waits for this answer and stays; a report that
		// was held back on its way was given up by its worker long ago.
		if m == nil || m.token == 0 || r.Session != m.view.Session {
			reply(Answer{503, wire.Error{Error: "late report"}})
			return
		}
		//
		// It renews the lease like any other, so it ends what is over like any other.
		reply(Answer{200, wire.Commands{Token: m.token, Commands: a.ends(m, []wire.Command{})}})
		return
	}
	if m == nil {
		m = &machine{pending: map[key]*pending{}, refused: map[key]loop.Micros{}, reserved: map[key]loop.Micros{}, stops: map[key]request{}}
		a.hosted[r.Machine] = m
	}
	epoch := a.h.Epoch()
	if r.Token > m.token || m.token == 0 {
		if r.Token>>counterBits < epoch {
			m.token, m.tokenAt = epoch<<counterBits, a.r.Wall()
		} else {
			// The worker follows a higher token than any of ours: only a
			// newer epoch gives commands to it again.
			a.setState(m, Raising)
			before := epoch
			a.h.Raise(func() {
				if a.h.Epoch() <= before {
					reply(Answer{503, wire.Error{Error: "no epoch"}})
					return
				}
				a.Report(r, reply)
			})
			return
		}
	}
	a.take(m, r, true, m.tokenAt)
	reply(Answer{200, wire.Commands{Token: m.token, Commands: a.commands(m, false)}})
	a.touch(m)
}

// sending is when a worker was last sent on, and how often it was.
type sending struct {
	at    loop.Micros
	times int
}

// take brings the machine's view up to a report or to the body of a direct command's answer.
//
// A report may have been held back for minutes, and looks new to a node that heard
// nothing meanwhile. It was certainly made after the token that it shows was given
// out, and the body of a direct answer after its command was sent: that is madeAfter.
func (a *Agent) take(m *machine, r wire.Report, beat bool, madeAfter loop.Micros) {
	wall := a.r.Wall()
	v := &m.view
	if v.Session != 0 && r.Session > v.Session {
		// The worker's lease ran out: all its tasks are killed and forgotten,
		// and commands of the session before are refused.
		a.log.Info("machine began a new session", "machine", r.Machine, "session", r.Session)
		clear(m.pending)
	}
	if r.Token == m.token {
		a.setState(m, Held)
	} else {
		a.setState(m, Taking)
	}
	before := *v
	v.Tasks = make([]Task, 0, len(r.Tasks))
	for _, t := range r.Tasks {
		v.Tasks = append(v.Tasks, Task{t.Task, t.Attempt, t.State, t.Why, t.Saved})
	}
	v.Session = r.Session
	c := v.Since(&before)
	v.inherit(&before, &c)
	if !c.Still || (v.NoticeAt == 0) != (r.NoticeS == nil) {
		m.dirty = true
	}
	v.Name, v.Addr, v.Type, v.Zone, v.Spot, v.Host, v.Life = r.Machine, r.Addr, r.Type, r.Zone, r.Spot, a.h.Label, a.h.Life
	v.Seq = r.Seq
	if beat {
		v.Reported = wall
	}
	if r.Token == m.token {
		v.At = max(v.At, madeAfter)
	}
	v.NoticeAt = 0
	if r.NoticeS != nil {
		v.NoticeAt = wall + loop.Seconds(*r.NoticeS)
	}
	for k, p := range m.pending {
		switch {
		case v.Find(k.task, k.attempt) != nil:
			// Seen. Its direct command may still be under way; the repeat has no effect.
			delete(m.pending, k)
		case p.limbo != 0 && r.Token >= p.limbo:
			p.limbo = 0 // what was sent under the old token can no longer land
		}
		if beat {
			p.inAnswer = false // the worker reports again: the last answer came or never will
		}
	}
	a.expire(m, wall)
}

// touch renews what others see of the machine.
func (a *Agent) touch(m *machine) {
	now := a.r.Now()
	v := &m.view
	old := a.views[v.Name]
	closed := a.r.Wall() < m.closeTo
	a.listPending(m)
	if closed != v.Closed || (old != nil && len(v.Pending) != len(old.Pending)) {
		m.dirty = true
	}
	if old == nil || old.Settled != v.Settled || old.Host != v.Host {
		m.dirty = true
	}
	v.Closed = closed
	v.Rev++
	c := *v
	c.resolved = false
	if m.dirty || now-m.sent > 2*loop.Second {
		m.dirty = false
		a.publishSoon(m)
	}
	a.renew(&c)
}

// renew makes v the newest view of its machine.
func (a *Agent) renew(v *View) {
	old := a.views[v.Name]
	c := v.Since(old)
	if v.jobs == nil {
		v.inherit(old, &c)
	}
	a.views[v.Name] = v
	a.h.Changed(v, &c)
}

// Learn takes in a view of a machine that reports to another node.
func (a *Agent) Learn(v *View) {
	if a.gone[v.Name] || v.Host == a.h.Label || !v.newer(a.views[v.Name]) {
		return
	}
	if m := a.hosted[v.Name]; m != nil {
		a.setState(m, Elsewhere)
		delete(a.hosted, v.Name)
	}
	a.renew(v)
}

// Republish hands all hosted machines' views out, as after a peer came back.
func (a *Agent) Republish() {
	for _, m := range loop.Sorted(a.hosted) {
		m.told = nil
		a.publishSoon(m)
	}
}

// Check asks a hosted machine for a task list that is certainly new.
func (a *Agent) Check(name string) {
	if m := a.hosted[name]; m != nil {
		m.check = true
		a.flushSoon(m)
	}
}

// Close keeps starts off a machine until a time of day; a past one opens it again.
func (a *Agent) Close(name string, until loop.Micros) {
	m := a.hosted[name]
	if m == nil {
		return
	}
	m.closeTo = until
	if m.view.Closed != (a.r.Wall() < until) {
		m.dirty = true
		a.touch(m)
	}
}

func (a *Agent) tick() {
	wall := a.r.Wall()
	for _, m := range loop.Sorted(a.hosted) {
		a.expire(m, wall)
		if m.view.Closed != (wall < m.closeTo) {
			m.dirty = true
			a.touch(m)
		}
	}
}

// Gone takes in that a machine was deleted, with everything that was on it.
func (a *Agent) Gone(name string) {
	if a.gone[name] {
		return
	}
	a.gone[name] = true
	delete(a.sentOn, name)
	delete(a.hosted, name)
	delete(a.views, name)
}

// Forget drops the memory of deleted machines. Should one of them turn up in a message
// that was held back, it is found silent and deleted once more.
func (a *Agent) Forget(names []string) {
	for _, name := range names {
		delete(a.gone, name)
	}
}

// IsGone tells whether the machine is known to be deleted.
func (a *Agent) IsGone(name string) bool { return a.gone[name] }

// View is the newest view of a machine, nil if it was never heard.
func (a *Agent) View(name string) *View { return a.views[name] }

// Room is what is free on a machine; ok is false where that is not known.
func (a *Agent) Room(v *View, t wire.MachineType) (Room, bool) {
	ok := v.resolve(a.h.Job)
	return Room{t.CPUs, t.GPUs, t.MemoryGB}.Less(v.used), ok
}

// Jobs are the jobs of a view's tasks, in their order; nil where one is not known here.
func (a *Agent) Jobs(v *View) []*job.Job {
	v.lookUp(a.h.Job)
	return v.jobs
}

// Views calls f for every machine heard and not gone.
func (a *Agent) Views(f func(*View)) {
	for _, v := range loop.Sorted(a.views) {
		f(v)
	}
}

// Hosted is the number of machines that report here.
func (a *Agent) Hosted() int { return len(a.hosted) }
