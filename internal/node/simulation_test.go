package node

import (
	"container/heap"
	"errors"
	"fmt"
	"hash"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/failuredetector"
	"cleatpick/internal/fake"
	"cleatpick/internal/job"
	"cleatpick/internal/peer"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// A simulation is a whole cluster under simulated time: real controllers connected to fakes of the state service,
// the cloud and the workers, with injected faults. Invariant checkers that are independent of the product code
// watch what happens. One event queue orders everything, and every random number comes from the seed, so that a
// simulation runs the same each time.

// event is a callback that is due at a time; events of the same time run in the order of seq.
type event struct {
	at       eventloop.Micros
	seq      int
	callback func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulation is a simulated cluster.
type simulation struct {
	t              testing.TB
	rng            *rand.Rand
	now            eventloop.Micros
	seq            int
	queue          eventQueue
	state          *fake.StateService
	cloud          *fake.Cloud
	labels         []string
	nodes          map[string]*simNode
	workers        map[string]*simWorker
	jobs           map[string]*simJob
	linkModes      map[string]linkMode // by connection: "a>b", "a>state", "a>workers"
	running        map[string]string   // the machine of each running task
	completed      map[string]bool     // tasks that have completed
	cpusInUse      map[string]float64  // CPUs in use by team
	cfg            config.Config
	starts         int
	onTaskStart    func(x *simWorker, task string)
	onTaskEnd      func(task, why string)
	onLeaseExpired func(x *simWorker, task string) // called for each task that ends because its machine's lease expired
	zones          []string                        // of the machines; controllers are spread over them in turn
	zoneModes      map[string]linkMode             // zones that are disconnected from all others
	cost           cost
	// settings changes the settings of one controller, as during a gradual change of settings; may be nil.
	settings            func(label string, c *config.Config)
	endReasons          map[string]int // number of tasks that ended, by reason
	duplicateShare      float64        // the share of reports of which a copy arrives late
	seed                uint64
	trace               hash.Hash          // covers every message with its time; nil: disabled
	stateFaults         stateServiceFaults // delays of the state service
	delayedCommandShare float64            // the share of direct commands that are executed seconds later
	rerunCompleted      int                // tasks that started again after they had completed
	startsAfterCancel   []eventloop.Micros // for each task that started after its user had been told that the job is cancelled: how long after
	slowestDone         eventloop.Micros   // the longest time from the end of a job's last task until its user was told
	reliable            bool               // a connection without a fault loses and delays nothing
	unreachableByUsers  string             // a controller that no user reaches
	faultsEndAt         eventloop.Micros   // from when on there are no faults; 0: checks that need this are off
	// slowAnswerShare is the share of the answers to reports that arrive 0.2 to 3.5 s late.
	slowAnswerShare float64
	copyShares      [requestKinds]float64 // by kind, the share of executed requests of which a copy arrives again
	copiesArrived   [requestKinds]int
	frames          frameSizes
	// exemptHungMachines exempts cancelled tasks on machines that hang beyond their lease: no controller can have them
	// deleted while the state service or the cloud is away.
	exemptHungMachines bool
	restartAsNew       bool // machines that restart begin in session 1 and have seen no token
	replayedStarts     int  // number of starts that arrived again after such a restart
	forgetsSent        int  // number sent to workers that would execute them
	segmentsDeleted    int  // number of segments of task logs that were deleted
	// intensePollUntil is until when users poll intensely, see pollIntensely.
	intensePollUntil eventloop.Micros
	openQuestions    map[question]*openQuestion  // questions that a controller has not answered
	ableSince        map[string]eventloop.Micros // since when each controller could answer; 0: it cannot
}

// frameSizes are lower sizes of the frames between controllers, in bytes; 0: those of the product.
type frameSizes struct{ target, largest int }

// cost is what the controllers' own code costs, without the simulation around it.
type cost struct {
	spent  time.Duration // spent in the controllers, without the simulated services
	frames int
	bytes  int
}

// excludeFromCost runs a simulated service on behalf of a controller and excludes it from the controllers' cost.
func excludeFromCost[T any](w *simulation, f func() T) T {
	began := time.Now()
	v := f()
	w.cost.spent -= time.Since(began)
	return v
}

// linkMode is how a connection behaves.
type linkMode int

const (
	connected linkMode = iota
	dropping
	delaying // delivered late; the sender gets no answer
	refusing // answered 503 at once; only the state service does that
)

// simNode is a simulated host of a controller process.
type simNode struct {
	w           *simulation
	label       string
	pauses      *eventloop.PauseDetector // of this incarnation
	n           *Node
	alive       bool
	incarnation int              // the incarnation of the process
	clockOffset eventloop.Micros // of its wall clock
	zone        string
	// paused: the process does not run although its clocks advance; queued holds what arrived during the pause.
	paused bool
	queued []func()
	cost   *cost // of all controllers
	// trigger is called once, after a request of this controller that contains triggerText has been executed.
	triggerText string
	trigger     func()
	answerLag   eventloop.Micros // delay of the answer to the request being made
}

// afterRequest calls f when the controller's next request that contains text has been executed and before the
// controller gets the answer: the worst time for a fault.
func (s *simNode) afterRequest(text string, f func()) { s.triggerText, s.trigger = text, f }

// requestExecuted calls the trigger if the request contains its text.
func (s *simNode) requestExecuted(path string, body []byte) {
	if f := s.trigger; f != nil && (strings.Contains(path, s.triggerText) || strings.Contains(string(body), s.triggerText)) {
		s.trigger = nil
		f()
	}
}

// simWorker is a simulated machine with its worker.
type simWorker struct {
	w            *fake.Worker
	hostIndex    int // index of the controller it reports to
	hanging      bool
	deleted      bool
	unresponsive bool // its reports arrive; answers and commands do not reach it
	cannotReport bool // it cannot connect to any controller; commands reach it and are answered
	// inFlight are the messages with starts that are in flight to it.
	inFlight   map[*startsInFlight]struct{}
	startsSent int // number of messages with starts that were sent to it
	restarts   int // how often it restarted as new
}

// simJob is a job and what its user did and was told.
type simJob struct {
	id              string
	spec            *job.Spec
	run             eventloop.Micros
	broken          bool
	failEvery       int // of a broken job, only every n-th task fails; 0: all fail
	failsAfter      eventloop.Micros
	runTimeStep     eventloop.Micros // added to the run time of each task, compared with the task before
	accepted        bool
	done            bool
	cancelledAt     eventloop.Micros // when its user was first told that it is cancelled
	cancelRequested bool             // its user requested its cancellation
	submittedAt     eventloop.Micros // when it was first submitted
	acceptedAt      eventloop.Micros // when its user was first told that it is accepted
	lastTaskEnd     eventloop.Micros // when the newest of its tasks completed
	doneAt          eventloop.Micros // when its user was first told that it is done
	lastAnswerAt    eventloop.Micros // when its user last got an answer about it
	firstStartAt    eventloop.Micros // when its first task started
	terms           *job.Terms
	starts          int             // number of starts of its tasks
	unusedCapacity  *unusedCapacity // the free capacity that it could use; nil: none
}

// addToTrace adds a message to the simulation's trace.
func (w *simulation) addToTrace(what string, body []byte) {
	if w.trace != nil {
		fmt.Fprintf(w.trace, "%d %s %d ", w.now, what, len(body))
		w.trace.Write(body)
	}
}

// after calls f after a delay.
func (w *simulation) after(d eventloop.Micros, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + max(d, 0) + 1, w.seq, f})
}

// fail ends the test with a message that begins with the simulated time.
func (w *simulation) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("at %.3f s: %s", float64(w.now)/1e6-3600, fmt.Sprintf(format, args...))
}

// runner is the event loop of one incarnation of a controller's process.
type runner struct {
	w           *simulation
	s           *simNode
	incarnation int
	label       string
}

// Rand depends only on the simulation's seed, so that each incarnation behaves the same when it is repeated.
func (r runner) Rand() *rand.Rand {
	return rand.New(rand.NewPCG(uint64(r.incarnation), uint64(r.w.seed)<<16|uint64(slices.Index(r.w.labels, r.label))))
}

// Pauses returns the detector of this incarnation's process pauses.
func (r runner) Pauses() *eventloop.PauseDetector {
	if r.s.pauses == nil {
		r.s.pauses = &eventloop.PauseDetector{}
	}
	return r.s.pauses
}

func (r runner) Now() eventloop.Micros  { return r.w.now }
func (r runner) Wall() eventloop.Micros { return 1_700_000_000_000_000 + r.w.now + r.s.clockOffset }
func (r runner) Post(f func())          { r.After(r.s.answerLag, f) }
func (r runner) After(d eventloop.Micros, f func()) {
	r.w.after(d, func() { r.s.execute(r.incarnation, f) })
}

// Go runs a request after a random delay. If the process is paused by then, the request either has been sent already
// and is executed, with only its answer waiting, or it waits as well; either is drawn at random.
func (r runner) Go(do func()) {
	f := func() {
		r.s.answerLag = 0
		do()
		r.s.answerLag = 0
	}
	delay := r.w.between(eventloop.Millisecond, 8*eventloop.Millisecond)
	if share := r.w.stateFaults.slowShare; share > 0 && r.w.rng.Float64() < share {
		delay = r.w.between(50*eventloop.Millisecond, 300*eventloop.Millisecond)
	}
	r.w.after(delay, func() {
		if r.s.paused && r.s.alive && r.s.incarnation == r.incarnation && r.w.rng.IntN(2) == 0 {
			f()
			return
		}
		r.s.execute(r.incarnation, f)
	})
}

// execute runs f in that incarnation of the process, or keeps it until the process resumes. It drops f if the
// incarnation has ended.
func (s *simNode) execute(incarnation int, f func()) {
	switch {
	case !s.alive || s.incarnation != incarnation:
	case s.paused:
		s.queued = append(s.queued, func() { s.execute(incarnation, f) })
	default:
		began := time.Now()
		if s.pauses != nil {
			s.pauses.Observe(s.w.now)
		}
		f()
		s.cost.spent += time.Since(began)
	}
}

// between draws a time from a range.
func (w *simulation) between(a, b eventloop.Micros) eventloop.Micros { return a + w.rng.Int64N(b-a+1) }

var errNoAnswer = errors.New("no answer")

// link is a connection to a service. It loses or delays requests according to its mode.
type link struct {
	w    *simulation
	name string
	do   func(method, path string, body []byte) store.Response
}

func (l link) Do(method, path string, body []byte, _ time.Duration) store.Response {
	return excludeFromCost(l.w, func() store.Response {
		return l.w.request(l.name, func() store.Response { return l.do(method, path, body) })
	})
}

// watch is the link for the watch of the state service. It may fail alone, as a watch that delivers nothing.
type watch struct {
	stateLink
	by string
}

func (l watch) Do(method, path string, body []byte, d time.Duration) store.Response {
	if mode := l.w.linkModes[l.by]; mode != connected {
		return excludeFromCost(l.w, func() store.Response {
			return l.w.requestVia(mode, func() store.Response { return l.do(method, path, body) })
		})
	}
	return l.stateLink.Do(method, path, body, d)
}

// request executes a request over the named connection.
func (w *simulation) request(name string, f func() store.Response) store.Response {
	return w.requestVia(w.linkModes[name], f)
}

// workerLinkMode returns the mode of the connection between a controller and a machine.
func (w *simulation) workerLinkMode(label string, x *simWorker) linkMode {
	if m := w.linkModes[label+">workers"]; m != connected {
		return m
	}
	if z := w.nodes[label].zone; z != x.w.Zone {
		return max(w.zoneModes[z], w.zoneModes[x.w.Zone])
	}
	return connected
}

// requestVia executes a request over a connection of the given mode. One without a fault still loses or delays one
// request in eighty, unless the simulation is reliable.
func (w *simulation) requestVia(mode linkMode, f func() store.Response) store.Response {
	switch mode {
	case dropping:
		return store.Response{Err: errNoAnswer}
	case refusing:
		return store.Response{Status: 503}
	case delaying:
		w.after(w.between(eventloop.Second, 40*eventloop.Second), func() { f() }) // executed late, when no caller waits for the answer
		return store.Response{Err: errNoAnswer}
	}
	if w.reliable {
		return f()
	}
	switch p := w.rng.Float64(); {
	case p < 0.004: // the request is lost
		return store.Response{Err: errNoAnswer}
	case p < 0.008: // the answer is lost
		f()
		return store.Response{Err: errNoAnswer}
	case p < 0.012: // it is executed late
		w.after(w.between(eventloop.Second, 20*eventloop.Second), func() { f() })
		return store.Response{Err: errNoAnswer}
	}
	return f()
}

// defaultSettings leaves the default settings unchanged.
func defaultSettings(*config.Config) {}

// newSimulation returns a simulation with three controllers and twelve machines in two zones.
func newSimulation(t testing.TB, seed uint64) *simulation {
	return newSimulationWith(t, seed, func(*config.Config) {})
}

// newSimulationWith is newSimulation with changed settings.
func newSimulationWith(t testing.TB, seed uint64, settings func(*config.Config)) *simulation {
	return newSimulationOf(t, seed, clusterSize{nodes: 3, zones: 2, each: 6}, settings)
}

// clusterSize is the size of a simulated cluster: each is the number of machines in each zone.
type clusterSize struct{ nodes, zones, each int }

// newSimulationOf returns a simulation of a given size with changed settings. All its controllers have started.
func newSimulationOf(t testing.TB, seed uint64, z clusterSize, settings func(*config.Config)) *simulation {
	w := &simulation{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), now: 3600 * eventloop.Second, zoneModes: map[string]linkMode{},
		nodes: map[string]*simNode{}, workers: map[string]*simWorker{}, jobs: map[string]*simJob{}, linkModes: map[string]linkMode{},
		openQuestions: map[question]*openQuestion{}, ableSince: map[string]eventloop.Micros{},
		endReasons: map[string]int{}, running: map[string]string{}, completed: map[string]bool{}, cpusInUse: map[string]float64{}}
	for i := range z.nodes {
		w.labels = append(w.labels, string(rune('a'+i)))
	}
	for i := range z.zones {
		w.zones = append(w.zones, []string{"x", "y", "z", "u", "v", "w"}[i])
	}
	c := &w.cfg
	c.Operator = config.Defaults()
	c.Operator.StandbyMeanS, c.Operator.OrdinaryStandbyMeanS = 30, 20
	c.Cluster.Nodes = z.nodes
	c.Cluster.ClockOffMS = 100
	c.Cluster.Teams = []config.Team{{Name: "red", CPUs: 16, CPUsMax: 24}, {Name: "blue", CPUs: 8, CPUsMax: 40}}
	c.Cluster.Workers.ReportS, c.Cluster.Workers.LeaseS, c.Cluster.Workers.CancelS = 1, 10, 30
	c.Cluster.State.RPS, c.Cluster.State.WriteRPS, c.Cluster.State.ValueKB, c.Cluster.State.TxnOps = 600, 300, 16, 16
	c.Cluster.Cloud.RPS, c.Cluster.Cloud.ListLagS = 5, 2
	c.Cluster.Limits.RAMMB, c.Cluster.Limits.MaxSockets = 100, 500
	settings(c)
	w.state = fake.NewStateService(func() eventloop.Micros { return w.now })
	w.cloud = fake.NewCloud(wire.MachineType{Name: "m8", CPUs: 8, MemoryGB: 32, CacheGB: 20, FetchGBPerS: 1, Price: 1, SpotPrice: 0.3, BootS: 4, Zones: w.zones}, z.each)
	w.cloud.Now = func() eventloop.Micros { return w.now }
	w.cloud.OnRented = func(m wire.CloudMachine) {
		w.after(w.between(2*eventloop.Second, 8*eventloop.Second), func() { w.boot(m) })
	}
	w.cloud.OnDeleted = w.destroy
	for i, l := range w.labels {
		w.nodes[l] = &simNode{w: w, label: l, cost: &w.cost, clockOffset: eventloop.Micros(i%3-1) * 90 * eventloop.Millisecond, zone: w.zones[i%len(w.zones)]}
	}
	for _, l := range w.labels {
		w.startNode(l)
	}
	return w
}

// timedWriter prefixes log lines with the simulated time and the controller.
type timedWriter struct {
	w     *simulation
	label string
}

func (l timedWriter) Write(b []byte) (int, error) {
	fmt.Printf("%10.4f %s %s", float64(l.w.now)/1e6-3600, l.label, b)
	return len(b), nil
}

// logHandler returns the log handler of a controller; it prints everything if CLEATPICK_TRACE is set.
func (w *simulation) logHandler(label string) slog.Handler {
	if os.Getenv("CLEATPICK_TRACE") == "" {
		return slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError})
	}
	return slog.NewTextHandler(timedWriter{w, label}, &slog.HandlerOptions{Level: slog.LevelDebug})
}

// startNode starts a new incarnation of a controller, unless one is running.
func (w *simulation) startNode(label string) {
	s := w.nodes[label]
	if s.alive {
		return
	}
	s.alive = true
	s.incarnation++
	s.paused, s.queued, s.trigger = false, nil, nil
	s.pauses = nil
	cfg := w.cfg
	cfg.Label = label
	for _, p := range w.labels {
		if p != label {
			cfg.Known = append(cfg.Known, config.Peer{Label: p, Site: w.nodes[p].zone, Endpoint: p + ":1"})
		}
	}
	if w.settings != nil {
		w.settings(label, &cfg)
	}
	r := runner{w, s, s.incarnation, label}
	state := stateLink{link{w, label + ">state", func(m, p string, b []byte) store.Response {
		w.addToTrace(label+" asks the state service "+m+p, b)
		resp := w.changeState(m, p, b)
		s.requestExecuted(p, b)
		return resp
	}}, s}
	s.n = NewWith(&cfg, slog.New(w.logHandler(label)), Dependencies{Loop: r, State: state, Watch: watch{state, label + ">watch"},
		Cloud: cloudLink{link{w, label + ">cloud", func(m, p string, b []byte) store.Response {
			w.addToTrace(label+" asks the cloud "+m+p, b)
			resp := w.cloud.Do(m, p, b, 0)
			s.requestExecuted(p, b)
			return resp
		}}},
		Workers: func(addr, method, path string, body []byte, _ time.Duration) store.Response {
			return excludeFromCost(w, func() store.Response { return w.direct(label, addr, path, body) })
		}, Probe: func(addr string) failuredetector.ProbeResult { return w.probe(label, addr) }})
	if w.frames.largest != 0 {
		s.n.net.SetFrameSizes(w.frames.target, w.frames.largest)
	}
	s.n.net.Deliver = func(to string, frame []byte) {
		if w.frames.largest != 0 && len(frame) > w.frames.largest {
			w.fail("%s sends a frame of %d bytes; receivers refuse more than %d", label, len(frame), w.frames.largest)
		}
		f := append([]byte(nil), frame...)
		w.addToTrace(label+" to "+to, f)
		w.cost.frames++
		w.cost.bytes += len(f)
		d := w.between(300, 3000)
		switch w.linkModes[label+">"+to] {
		case dropping:
			return
		case delaying:
			d = w.between(eventloop.Second, 60*eventloop.Second)
		}
		w.after(d, func() { w.deliverFrame(to, f) })
		w.copyLater(copiedFrame, func() { w.deliverFrame(to, f) })
	}
	r.Post(s.n.Start)
	if w.frames.largest != 0 {
		w.after(100*eventloop.Millisecond, func() { w.connect(s) })
	}
}

// connect lets a controller that has started and its peers connect to each other, in both directions.
func (w *simulation) connect(s *simNode) {
	for _, label := range w.labels {
		if p := w.nodes[label]; p != s {
			s.execute(s.incarnation, func() { s.n.net.OnConnected(label) })
			p.execute(p.incarnation, func() { p.n.net.OnConnected(s.label) })
		}
	}
}

// deliverFrame delivers a message between controllers.
func (w *simulation) deliverFrame(to string, f []byte) {
	s := w.nodes[to]
	s.execute(s.incarnation, func() {
		e := new(peer.Envelope)
		if err := wire.Unmarshal(f, e); err != nil {
			w.fail("a frame between controllers cannot be decoded: %v", err)
		}
		s.n.net.HandleFrame(e)
	})
}

// kill crashes a controller, which restarts after 2 to 8 s.
func (w *simulation) kill(label string) {
	w.killFor(label, w.between(2*eventloop.Second, 8*eventloop.Second))
}

// killFor crashes a controller, which restarts after a delay.
func (w *simulation) killFor(label string, d eventloop.Micros) {
	s := w.nodes[label]
	s.alive = false
	incarnation := s.incarnation
	w.after(d, func() {
		if s.incarnation == incarnation {
			w.startNode(label)
		}
	})
}

// any picks a controller that accepts requests; nil: the one that was drawn does not.
func (w *simulation) any() *Node {
	if s := w.pickNode(); s != nil {
		return s.n
	}
	return nil
}

// pickNode picks the controller that a user's request is sent to; nil: the one that was drawn does not accept it. A
// paused controller accepts it, too, and handles it when it resumes.
func (w *simulation) pickNode() *simNode {
	l := w.labels[w.rng.IntN(len(w.labels))]
	s := w.nodes[l]
	if !s.alive || !s.n.ready() || l == w.unreachableByUsers {
		return nil
	}
	return s
}

// submit submits a job repeatedly until it is accepted.
func (w *simulation) submit(j *simJob) {
	if j.submittedAt == 0 {
		j.submittedAt = w.now
	}
	if s := w.pickNode(); s != nil {
		request := func(n *Node, answer func(job.Answer)) {
			if j.terms == nil {
				n.jobs.Submit(j.id, j.spec, answer)
			} else {
				n.jobs.SubmitWithTerms(j.id, j.spec, j.terms, answer)
			}
		}
		s.execute(s.incarnation, func() { request(s.n, w.answerChecker(j)) })
		w.copyUserRequest(request)
	}
	w.after(w.between(2*eventloop.Second, 4*eventloop.Second), func() {
		if !j.accepted {
			w.submit(j)
		}
	})
}

// answerChecker returns a callback that checks the answer to a question that is asked now.
func (w *simulation) answerChecker(j *simJob) func(job.Answer) {
	asked, held := w.now, phaseOrder(w.storedPhase(j.id))
	return func(a job.Answer) {
		w.checkNotOutdated(j, held, a)
		w.checkAnswer(j, asked, a)
	}
}

// pollAt asks a controller about a job.
func (w *simulation) pollAt(s *simNode, j *simJob) {
	reply := w.answerChecker(j)
	key := question{s.label, j.id}
	w.questionAsked(key)
	s.execute(s.incarnation, func() {
		s.n.jobs.Poll(j.id, func(a job.Answer) {
			w.questionAnswered(key, a)
			reply(a)
		})
	})
}

// poll asks about a job every 2 to 5 s.
func (w *simulation) poll(j *simJob) {
	if s := w.pickNode(); s != nil {
		w.pollAt(s, j)
	}
	w.after(w.between(2*eventloop.Second, 5*eventloop.Second), func() { w.poll(j) })
}

// cancel requests a job's cancellation repeatedly until its user is told that it is cancelled or done.
func (w *simulation) cancel(j *simJob) {
	j.cancelRequested = true
	if j.cancelledAt != 0 || j.done {
		return
	}
	if s := w.pickNode(); s != nil {
		request := func(n *Node, answer func(job.Answer)) { n.jobs.Cancel(j.id, answer) }
		s.execute(s.incarnation, func() { request(s.n, w.answerChecker(j)) })
		w.copyUserRequest(request)
	}
	w.after(2*eventloop.Second, func() { w.cancel(j) })
}

func (w *simulation) addJob(i int) { w.simulateUser(w.makeJob(i)) }

// makeJob draws a job.
func (w *simulation) makeJob(i int) *simJob {
	r := w.rng
	s := &job.Spec{Class: "k", Team: []string{"red", "blue"}[r.IntN(2)], Priority: job.Priority(r.IntN(3)), Tasks: 1 + r.IntN(8),
		CPUs: float64(1 + r.IntN(3)), MemoryGB: 2, Image: "i", ImageGB: 1, AnyType: true, Spot: r.IntN(2) == 0, Estimate: 8 * eventloop.Second}
	switch r.IntN(6) {
	case 0:
		s.Zone = w.zones[len(w.zones)-1]
	case 1:
		s.OneZone = true
	case 2:
		s.Spread = true
	}
	return &simJob{id: fmt.Sprintf("job-%06d", i), spec: s, run: w.between(eventloop.Second, 20*eventloop.Second), broken: r.IntN(25) == 0}
}

// simulateUser simulates a job's user, who submits it, polls it and perhaps cancels it.
func (w *simulation) simulateUser(j *simJob) {
	w.jobs[j.id] = j
	w.submit(j)
	w.after(3*eventloop.Second, func() { w.poll(j) })
	if j.broken || w.rng.IntN(8) == 0 {
		w.after(w.between(2*eventloop.Second, 30*eventloop.Second), func() { w.cancel(j) })
	}
}

// run handles all events up to a time.
func (w *simulation) run(until eventloop.Micros) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.callback()
	}
	w.now = until
}
