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
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/loss"
	"cleatpick/internal/peer"
	"cleatpick/internal/standin"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// A world is the whole deployment under hand-driven time: real nodes wired to
// stand-ins, with a referee that knows the rules and nothing of the code.

type event struct {
	at  loop.Micros
	seq int
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type world struct {
	t       testing.TB
	rng     *rand.Rand
	now     loop.Micros
	seq     int
	queue   events
	state   *standin.State
	cloud   *standin.Cloud
	labels  []string
	nodes   map[string]*simNode
	workers map[string]*simWorker
	jobs    map[string]*simJob
	cut     map[string]cutMode // "a>b", "a>state", "a>workers"
	active  map[string]string  // task: machine
	doneT   map[string]bool
	teams   map[string]float64 // use by team
	cfg     config.Config
	starts  int
	onBegan func(x *simWorker, task string)
	onLeft  func(task, why string)
	onLease func(x *simWorker, task string) // is called for each task that ends by its machine's lease
	zones   []string                        // of the machines; nodes stand in them in turn
	zoneCut map[string]cutMode              // zones that are cut off from all others
	cost    cost
	// settings changes the settings of one node, as while they are brought in; may be nil.
	settings func(label string, c *config.Config)
	whys     map[string]int // of tasks that left their machines
	copies   float64        // the part of all reports of which a copy comes late
	seed     uint64
	messages hash.Hash // of every message with its time; nil: none is kept
	late     lateness
	heldUp   float64       // the part of all direct commands that are carried out seconds later
	redone   int           // tasks that began once more after they had completed
	vain     []loop.Micros // for each task that began after its user had been told that its job is cancelled, how long after
	slowest  loop.Micros   // the longest time from a job's last end until its user was told
	sure     bool          // what crosses no cut is neither lost nor late
	shunned  string        // a node that no user reaches
	calm     loop.Micros   // when all troubles are over; 0: that is not judged
	// slowAnswers is the part of the answers to reports that come 0.2 to 3.5 s late.
	slowAnswers float64
	forgets     int // that left a host for a worker that would carry them out
	// closely: users look closely until then, see closeLooks.
	closely loop.Micros
	owing   map[unanswered]*owed // questions that a node has not answered
	able    map[string]loop.Micros
}

// cost is what the nodes' own code takes, told from the world around it.
type cost struct {
	own    time.Duration // in the nodes, less what they ask of the world
	frames int
	bytes  int
}

// outside runs what the world does for a node, and leaves it out of the node's cost.
func outside[T any](w *world, f func() T) T {
	began := time.Now()
	v := f()
	w.cost.own -= time.Since(began)
	return v
}

type cutMode int

const (
	open cutMode = iota
	dropping
	holding  // delivered when the cut ends
	refusing // answered 503 at once; only the state service does that
)

type simNode struct {
	w      *world
	label  string
	stalls *loop.StallDetector // of this life
	n      *Node
	alive  bool
	gen    int
	off    loop.Micros
	zone   string
	// frozen: the process stands still while its clocks run on; held is what came meanwhile.
	frozen bool
	held   []func()
	cost   *cost // of all nodes
	// then is called once when a request of its that holds words has been carried out.
	words string
	then  func()
	lag   loop.Micros // by which the answer to the request being made is late
}

// after calls f when the node's next request with these words has been carried out, and
// before it gets the answer: the worst moment to stand still.
func (s *simNode) after(words string, f func()) { s.words, s.then = words, f }

func (s *simNode) carried(path string, body []byte) {
	if f := s.then; f != nil && (strings.Contains(path, s.words) || strings.Contains(string(body), s.words)) {
		s.then = nil
		f()
	}
}

type simWorker struct {
	w       *standin.Worker
	at      int // index of the node it reports to
	hanging bool
	gone    bool
	deaf    bool // its reports arrive; answers and commands do not reach it
	mute    bool // it can open no connection to any node; commands reach it, and are answered
	// flights are the messages with starts that are under way to it.
	flights map[*flight]struct{}
}

type simJob struct {
	id        string
	spec      *job.Spec
	run       loop.Micros
	broken    bool
	every     int // of a broken job, only each so manieth task fails
	failsIn   loop.Micros
	later     loop.Micros // by which each task runs longer than the one before
	accepted  bool
	done      bool
	withdrawn loop.Micros
	asked     bool        // its user asked to cancel it
	first     loop.Micros // when it was first submitted
	told      loop.Micros // when its user was first told that it is accepted
	ended     loop.Micros // when the newest of its tasks completed
	over      loop.Micros // when its user was first told that it is done
	heard     loop.Micros // when its user was last told of it
	began     loop.Micros // when its first task did
	terms     *job.Terms
	starts    int     // of its tasks
	beside    *beside // the room that it waits beside; nil: none
}

// note puts a message into the world's record.
func (w *world) note(what string, body []byte) {
	if w.messages != nil {
		fmt.Fprintf(w.messages, "%d %s %d ", w.now, what, len(body))
		w.messages.Write(body)
	}
}

func (w *world) at(d loop.Micros, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + max(d, 0) + 1, w.seq, f})
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("at %.3f s: %s", float64(w.now)/1e6-3600, fmt.Sprintf(format, args...))
}

// runner is one life of a node's process.
type runner struct {
	w     *world
	s     *simNode
	gen   int
	label string
}

// Rand is drawn from the world's seed alone, so that each life plays the same again.
func (r runner) Rand() *rand.Rand {
	return rand.New(rand.NewPCG(uint64(r.gen), uint64(r.w.seed)<<16|uint64(slices.Index(r.w.labels, r.label))))
}

// Stalls are the standstills of that life.
func (r runner) Stalls() *loop.StallDetector {
	if r.s.stalls == nil {
		r.s.stalls = &loop.StallDetector{}
	}
	return r.s.stalls
}

func (r runner) Now() loop.Micros  { return r.w.now }
func (r runner) Wall() loop.Micros { return 1_700_000_000_000_000 + r.w.now + r.s.off }
func (r runner) Post(f func())     { r.After(r.s.lag, f) }
func (r runner) After(d loop.Micros, f func()) {
	r.w.at(d, func() { r.s.enter(r.gen, f) })
}

// Go lets a request take its time. One that is on its way when the process freezes is
// carried out, and only its answer waits; one that is not waits too.
func (r runner) Go(do func()) {
	f := func() {
		r.s.lag = 0
		do()
		r.s.lag = 0
	}
	r.w.at(r.w.between(loop.Millisecond, 8*loop.Millisecond), func() {
		if r.s.frozen && r.s.alive && r.s.gen == r.gen && r.w.rng.IntN(2) == 0 {
			f()
			return
		}
		r.s.enter(r.gen, f)
	})
}

// enter runs f in that life of the process, or keeps it until the process wakes.
func (s *simNode) enter(gen int, f func()) {
	switch {
	case !s.alive || s.gen != gen:
	case s.frozen:
		s.held = append(s.held, func() { s.enter(gen, f) })
	default:
		began := time.Now()
		if s.stalls != nil {
			s.stalls.Turn(s.w.now)
		}
		f()
		s.cost.own += time.Since(began)
	}
}

func (w *world) between(a, b loop.Micros) loop.Micros { return a + w.rng.Int64N(b-a+1) }

var errLost = errors.New("no answer")

// link is a connection that loses, or carries out late, what crosses a cut.
type link struct {
	w    *world
	name string
	do   func(method, path string, body []byte) store.Response
}

func (l link) Do(method, path string, body []byte, _ time.Duration) store.Response {
	return outside(l.w, func() store.Response {
		return l.w.cross(l.name, func() store.Response { return l.do(method, path, body) })
	})
}

// watch is a link to the state service that may be lost by itself, as a watch that is silent.
type watch struct {
	stateLink
	by string
}

func (l watch) Do(method, path string, body []byte, d time.Duration) store.Response {
	if mode := l.w.cut[l.by]; mode != open {
		return outside(l.w, func() store.Response {
			return l.w.crossBy(mode, func() store.Response { return l.do(method, path, body) })
		})
	}
	return l.stateLink.Do(method, path, body, d)
}

func (w *world) cross(name string, f func() store.Response) store.Response {
	return w.crossBy(w.cut[name], f)
}

// toWorker is how a node and a machine reach each other.
func (w *world) toWorker(label string, x *simWorker) cutMode {
	if m := w.cut[label+">workers"]; m != open {
		return m
	}
	if z := w.nodes[label].zone; z != x.w.Zone {
		return max(w.zoneCut[z], w.zoneCut[x.w.Zone])
	}
	return open
}

func (w *world) crossBy(mode cutMode, f func() store.Response) store.Response {
	switch mode {
	case dropping:
		return store.Response{Err: errLost}
	case refusing:
		return store.Response{Status: 503}
	case holding:
		w.at(w.between(loop.Second, 40*loop.Second), func() { f() }) // late, with nobody listening
		return store.Response{Err: errLost}
	}
	if w.sure {
		return f()
	}
	switch p := w.rng.Float64(); {
	case p < 0.004: // the request is lost
		return store.Response{Err: errLost}
	case p < 0.008: // the answer is lost
		f()
		return store.Response{Err: errLost}
	case p < 0.012: // it is carried out late
		w.at(w.between(loop.Second, 20*loop.Second), func() { f() })
		return store.Response{Err: errLost}
	}
	return f()
}

// nothing leaves the settings as they are.
func nothing(*config.Config) {}

func newWorld(t testing.TB, seed uint64) *world {
	return newWorldWith(t, seed, func(*config.Config) {})
}

func newWorldWith(t testing.TB, seed uint64, settings func(*config.Config)) *world {
	return newWorldOf(t, seed, size{nodes: 3, zones: 2, each: 6}, settings)
}

// size is how large a world is: each is the number of machines in each zone.
type size struct{ nodes, zones, each int }

func newWorldOf(t testing.TB, seed uint64, z size, settings func(*config.Config)) *world {
	w := &world{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), now: 3600 * loop.Second, zoneCut: map[string]cutMode{},
		nodes: map[string]*simNode{}, workers: map[string]*simWorker{}, jobs: map[string]*simJob{}, cut: map[string]cutMode{},
		owing: map[unanswered]*owed{}, able: map[string]loop.Micros{},
		whys: map[string]int{}, active: map[string]string{}, doneT: map[string]bool{}, teams: map[string]float64{}}
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
	w.state = standin.NewState(func() loop.Micros { return w.now })
	w.cloud = standin.NewCloud(wire.MachineType{Name: "m8", CPUs: 8, MemoryGB: 32, CacheGB: 20, FetchGBs: 1, Price: 1, SpotPrice: 0.3, BootS: 4, Zones: w.zones}, z.each)
	w.cloud.Now = func() loop.Micros { return w.now }
	w.cloud.Up = func(m wire.Listed) { w.at(w.between(2*loop.Second, 8*loop.Second), func() { w.boot(m) }) }
	w.cloud.Gone = w.destroy
	for i, l := range w.labels {
		w.nodes[l] = &simNode{w: w, label: l, cost: &w.cost, off: loop.Micros(i%3-1) * 90 * loop.Millisecond, zone: w.zones[i%len(w.zones)]}
	}
	for _, l := range w.labels {
		w.startNode(l)
	}
	return w
}

type timed struct {
	w     *world
	label string
}

func (l timed) Write(b []byte) (int, error) {
	fmt.Printf("%10.4f %s %s", float64(l.w.now)/1e6-3600, l.label, b)
	return len(b), nil
}

func (w *world) logs(label string) slog.Handler {
	if os.Getenv("CLEATPICK_TRACE") == "" {
		return slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError})
	}
	return slog.NewTextHandler(timed{w, label}, &slog.HandlerOptions{Level: slog.LevelDebug})
}

func (w *world) startNode(label string) {
	s := w.nodes[label]
	if s.alive {
		return
	}
	s.alive = true
	s.gen++
	s.frozen, s.held, s.then = false, nil, nil
	s.stalls = nil
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
	r := runner{w, s, s.gen, label}
	state := stateLink{link{w, label + ">state", func(m, p string, b []byte) store.Response {
		w.note(label+" asks the state service "+m+p, b)
		resp := w.state.Do(m, p, b, 0)
		s.carried(p, b)
		return resp
	}}, s}
	s.n = Wire(&cfg, slog.New(w.logs(label)), Outside{Loop: r, State: state, Watch: watch{state, label + ">watch"},
		Cloud: link{w, label + ">cloud", func(m, p string, b []byte) store.Response {
			w.note(label+" asks the cloud "+m+p, b)
			resp := w.cloud.Do(m, p, b, 0)
			s.carried(p, b)
			return resp
		}},
		Workers: func(addr, method, path string, body []byte, _ time.Duration) store.Response {
			return outside(w, func() store.Response { return w.direct(label, addr, path, body) })
		}, Probe: func(addr string) loss.ProbeResult { return w.probe(label, addr) }})
	s.n.net.Deliver = func(to string, frame []byte) {
		f := append([]byte(nil), frame...)
		w.note(label+" to "+to, f)
		w.cost.frames++
		w.cost.bytes += len(f)
		d := w.between(300, 3000)
		switch w.cut[label+">"+to] {
		case dropping:
			return
		case holding:
			d = w.between(loop.Second, 60*loop.Second)
		}
		w.at(d, func() { w.frame(to, f) })
	}
	r.Post(s.n.Begin)
}

func (w *world) frame(to string, f []byte) {
	s := w.nodes[to]
	s.enter(s.gen, func() {
		e := new(peer.Envelope)
		if err := wire.Unmarshal(f, e); err != nil {
			w.fail("a frame cannot be read: %v", err)
		}
		s.n.net.Take(e)
	})
}

func (w *world) kill(label string) { w.killFor(label, w.between(2*loop.Second, 8*loop.Second)) }

// killFor ends a node's process, which is back after a while.
func (w *world) killFor(label string, d loop.Micros) {
	s := w.nodes[label]
	s.alive = false
	gen := s.gen
	w.at(d, func() {
		if s.gen == gen {
			w.startNode(label)
		}
	})
}

// any picks a node that takes requests.
func (w *world) any() *Node {
	if s := w.door(); s != nil {
		return s.n
	}
	return nil
}

// door picks where a request goes in. A node that stands still takes it too, and handles
// it when it wakes.
func (w *world) door() *simNode {
	l := w.labels[w.rng.IntN(len(w.labels))]
	s := w.nodes[l]
	if !s.alive || !s.n.ready() || l == w.shunned {
		return nil
	}
	return s
}

func (w *world) submit(j *simJob) {
	if j.first == 0 {
		j.first = w.now
	}
	if s := w.door(); s != nil {
		s.enter(s.gen, func() {
			if j.terms == nil {
				s.n.jobs.Submit(j.id, j.spec, w.answer(j))
			} else {
				s.n.jobs.Propose(j.id, j.spec, j.terms, w.answer(j))
			}
		})
	}
	w.at(w.between(2*loop.Second, 4*loop.Second), func() {
		if !j.accepted {
			w.submit(j)
		}
	})
}

// answer takes in the answer to a question that is asked now.
func (w *world) answer(j *simJob) func(job.Answer) {
	asked, held := w.now, said(w.stored(j.id))
	return func(a job.Answer) {
		w.notOutdated(j, held, a)
		w.told(j, asked, a)
	}
}

// pollAt asks a node of a job.
func (w *world) pollAt(s *simNode, j *simJob) {
	reply := w.answer(j)
	key := unanswered{s.label, j.id}
	w.asks(key)
	s.enter(s.gen, func() {
		s.n.jobs.Poll(j.id, func(a job.Answer) {
			w.answered(key, a)
			reply(a)
		})
	})
}

func (w *world) poll(j *simJob) {
	if s := w.door(); s != nil {
		w.pollAt(s, j)
	}
	w.at(w.between(2*loop.Second, 5*loop.Second), func() { w.poll(j) })
}

func (w *world) withdraw(j *simJob) {
	j.asked = true
	if j.withdrawn != 0 || j.done {
		return
	}
	if s := w.door(); s != nil {
		s.enter(s.gen, func() { s.n.jobs.Withdraw(j.id, w.answer(j)) })
	}
	w.at(2*loop.Second, func() { w.withdraw(j) })
}

func (w *world) addJob(i int) { w.enter(w.makeJob(i)) }

func (w *world) makeJob(i int) *simJob {
	r := w.rng
	s := &job.Spec{Class: "k", Team: []string{"red", "blue"}[r.IntN(2)], Priority: job.Priority(r.IntN(3)), Tasks: 1 + r.IntN(8),
		CPUs: float64(1 + r.IntN(3)), MemoryGB: 2, Image: "i", ImageGB: 1, AnyType: true, Spot: r.IntN(2) == 0, Estimate: 8 * loop.Second}
	switch r.IntN(6) {
	case 0:
		s.Zone = w.zones[len(w.zones)-1]
	case 1:
		s.OneZone = true
	case 2:
		s.Spread = true
	}
	return &simJob{id: fmt.Sprintf("job-%06d", i), spec: s, run: w.between(loop.Second, 20*loop.Second), broken: r.IntN(25) == 0}
}

// enter lets a job's user submit it, poll it and perhaps cancel it.
func (w *world) enter(j *simJob) {
	w.jobs[j.id] = j
	w.submit(j)
	w.at(3*loop.Second, func() { w.poll(j) })
	if j.broken || w.rng.IntN(8) == 0 {
		w.at(w.between(2*loop.Second, 30*loop.Second), func() { w.withdraw(j) })
	}
}

func (w *world) run(until loop.Micros) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.f()
	}
	w.now = until
}
