package workers

import (
	"log/slog"
	"time"

	"cleatpick/internal/delivery"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/metric"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// DirectSender sends commands straight to a worker, outside the answer to a report. It blocks and is called off the
// event loop.
type DirectSender func(addr string, c wire.Commands, timeout time.Duration) store.Response

// Config holds the settings and callbacks that the registry needs from its controller.
type Config struct {
	Label string // name of this controller
	// Incarnation is the incarnation of this process; no earlier or later run has the same.
	Incarnation eventloop.Micros
	// MayAnswer reports whether reports may be answered; if not, it returns the controller to which the worker
	// is sent.
	MayAnswer func() (ok bool, controller string)
	// MayStart reports whether new starts may be passed on.
	MayStart func() bool
	// Redirect reports whether a worker should report to another controller, because reports that arrive here do
	// not reach the owners, and to which one. If the worker finds no other controller, it is answered here
	// until again has passed since it was last redirected. before is how often it was redirected.
	Redirect func(machine string, before int) (on bool, to string, again eventloop.Micros)
	// Epoch returns the current epoch of this controller, the high part of the tokens that it issues.
	Epoch func() uint64
	// RaiseEpoch obtains a newer epoch from the state service and calls done, also when it fails.
	RaiseEpoch func(done func())
	// MachineType finds a machine type of the catalog.
	MachineType func(name string) (wire.MachineType, bool)
	// FindJob finds a job known here, nil if there is none.
	FindJob func(id string) *job.Job
	// Publish sends the changes of hosted machines to the peers.
	Publish func(ViewUpdate)
	// ViewChanged is called for every newer view, from any controller, with its differences from the view of the
	// previous call for that machine.
	ViewChanged func(*View, *Changes)
	// SendRejection sends a rejection to the owner whose start is rejected.
	SendRejection func(to string, d Rejection)
	// StartBlocked returns why no start of the job may reach the machine now, apart from the job being final, for
	// example a hold or a cordon; it is empty if none is. It may be nil.
	StartBlocked func(j *job.Job, v *View) string
	// ClockDifference is the largest difference between two wall clocks: twice the bound on the error of one.
	ClockDifference eventloop.Micros
	// Clock determines until when a start can still arrive.
	Clock delivery.ClockBounds
	// Meter counts commands and decisions about forgetting attempts; it may be nil.
	Meter *metric.Meter
}

// Registry is the registry of workers of one controller. It is used on the event loop only.
type Registry struct {
	runner     eventloop.Runner
	log        *slog.Logger
	config     Config
	sendDirect DirectSender
	hosted     map[string]*machine
	views      map[string]*View
	deleted    map[string]bool     // machines known to be deleted
	redirects  map[string]redirect // workers that were sent to another controller
	// issuedTokens holds the highest token issued to each machine that was hosted here and now is not.
	issuedTokens map[string]uint64
	// passedOn and rejected hold the starts that were passed on to workers and those that were rejected, until no copy of
	// them can arrive. They outlive the entry of a machine that reports to another host for a while: a start that was
	// passed on is not rejected, and one that was rejected is not accepted.
	passedOn, rejected *delivery.Expiries

	toPublish []*machine
}

// New makes an empty registry.
func New(r eventloop.Runner, log *slog.Logger, h Config, direct DirectSender) *Registry {
	a := &Registry{runner: r, log: log, config: h, sendDirect: direct, hosted: map[string]*machine{}, views: map[string]*View{}, deleted: map[string]bool{}, redirects: map[string]redirect{}, issuedTokens: map[string]uint64{},
		passedOn: delivery.NewExpiries(h.Clock), rejected: delivery.NewExpiries(h.Clock)}
	eventloop.Every(r, 500*eventloop.Millisecond, a.tick)
	return a
}

// ApplyView applies a view of a machine that reports to another controller.
func (a *Registry) ApplyView(v *View) {
	if a.deleted[v.Name] || v.Host == a.config.Label || !v.newerThan(a.views[v.Name]) {
		return
	}
	if m := a.hosted[v.Name]; m != nil {
		a.setState(m, HostedElsewhere)
		delete(a.hosted, v.Name)
		a.issuedTokens[v.Name] = max(m.token, m.issuedBefore)
	}
	a.setView(v)
}

// RequestTaskList asks a hosted machine's worker for a task list that is certainly made after this call.
func (a *Registry) RequestTaskList(name string) {
	if m := a.hosted[name]; m != nil {
		m.wantTaskList = true
		a.sendCommandsSoon(m)
	}
}

// CloseToStarts blocks starts on a hosted machine until a wall-clock time; a time in the past allows them again.
func (a *Registry) CloseToStarts(name string, until eventloop.Micros) {
	m := a.hosted[name]
	if m == nil {
		return
	}
	m.closedUntil = until
	if m.view.ClosedToStarts != (a.runner.Wall() < until) {
		m.dirty = true
		a.updateView(m)
	}
}

func (a *Registry) tick() {
	wall := a.runner.Wall()
	a.passedOn.Prune(wall)
	a.rejected.Prune(wall)
	for _, m := range eventloop.Sorted(a.hosted) {
		a.expireStarts(m, wall)
		if m.view.ClosedToStarts != (wall < m.closedUntil) {
			m.dirty = true
			a.updateView(m)
		}
	}
}

// MarkDeleted records that a machine was deleted, with everything that ran on it.
func (a *Registry) MarkDeleted(name string) {
	if a.deleted[name] {
		return
	}
	a.deleted[name] = true
	delete(a.redirects, name)
	delete(a.hosted, name)
	delete(a.views, name)
	delete(a.issuedTokens, name)
}

// host makes the entry of a machine that reports here and did not before.
func (a *Registry) host(name string) *machine {
	m := newMachine()
	m.view.Name = name
	m.issuedBefore = a.issuedTokens[name]
	delete(a.issuedTokens, name)
	a.hosted[name] = m
	return m
}

// ForgetDeleted drops the memory of deleted machines. If a delayed message makes one of them known again, it is found
// not to report and is deleted once more.
func (a *Registry) ForgetDeleted(names []string) {
	for _, name := range names {
		delete(a.deleted, name)
	}
}

// IsDeleted reports whether the machine is known to be deleted.
func (a *Registry) IsDeleted(name string) bool { return a.deleted[name] }

// View returns the newest view of a machine, nil if none ever arrived.
func (a *Registry) View(name string) *View { return a.views[name] }

// FreeCapacity returns the free capacity of a machine of type t; ok is false if it is not known, since a job on it is
// not known here.
func (a *Registry) FreeCapacity(v *View, t wire.MachineType) (Capacity, bool) {
	ok := v.resolve(a.config.FindJob)
	return Capacity{t.CPUs, t.GPUs, t.MemoryGB}.Minus(v.used), ok
}

// Jobs returns the jobs of a view's tasks, in their order; nil where one is not known here.
func (a *Registry) Jobs(v *View) []*job.Job {
	v.lookUpJobs(a.config.FindJob)
	return v.jobs
}

// EachView calls f for the newest view of every machine that is not deleted, in the order of names.
func (a *Registry) EachView(f func(*View)) {
	for _, v := range eventloop.Sorted(a.views) {
		f(v)
	}
}

// HostedCount returns the number of machines that report to this controller.
func (a *Registry) HostedCount() int { return len(a.hosted) }
