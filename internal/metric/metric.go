// Package metric counts what a controller does, in the published text format. A nil
// meter counts nothing and costs nothing. All label sets are bounded by the code.
package metric

import (
	"bytes"
	"fmt"
	"strconv"

	"cleatpick/internal/loop"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/common/expfmt"
)

// Meter holds one controller's figures.
type Meter struct {
	reg       *prometheus.Registry
	passes    prometheus.Histogram
	placed    prometheus.Counter
	starts    prometheus.Counter
	misses    prometheus.Counter
	refusals  prometheus.Counter
	waits     *prometheus.HistogramVec
	state     *prometheus.CounterVec
	stateLag  prometheus.Histogram
	cloud     *prometheus.CounterVec
	lag       prometheus.Histogram
	requests  *prometheus.CounterVec
	whys      prometheus.Histogram
	answers   *prometheus.CounterVec
	outdated  prometheus.Counter
	turnedOff *prometheus.CounterVec
	stalls    prometheus.Histogram
	peers     *prometheus.CounterVec
	submits   *prometheus.CounterVec
	admits    *prometheus.CounterVec
	trials    *prometheus.CounterVec
	probes    *prometheus.CounterVec
	doubtful  prometheus.Gauge
	moments   *prometheus.HistogramVec
	reruns    prometheus.Histogram
	earlier   prometheus.Counter
	horizon   prometheus.Gauge
	words     prometheus.Counter
	commands  *prometheus.CounterVec
	forgets   *prometheus.CounterVec
	stops     prometheus.Counter
	held      prometheus.Counter
	takeovers prometheus.Histogram
}

// Seconds from a millisecond to an hour, and from a tenth of a millisecond to seconds.
var (
	longBuckets  = []float64{.01, .05, .1, .25, .5, 1, 2, 5, 10, 20, 40, 60, 120, 300, 600, 1800, 3600}
	shortBuckets = []float64{.0001, .00025, .0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5}
)

// New makes a meter.
func New() *Meter {
	m := &Meter{reg: prometheus.NewRegistry()}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "cleatpick", Name: name, Help: help})
		m.reg.MustRegister(c)
		return c
	}
	counters := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cleatpick", Name: name, Help: help}, labels)
		m.reg.MustRegister(c)
		return c
	}
	histogram := func(name, help string, buckets []float64) prometheus.Histogram {
		h := prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "cleatpick", Name: name, Help: help, Buckets: buckets})
		m.reg.MustRegister(h)
		return h
	}
	m.passes = histogram("pass_seconds", "How long a placement pass took.", shortBuckets)
	m.placed = counter("placed_total", "Tasks for which a pass chose a machine.")
	m.starts = counter("starts_total", "Recorded starts handed to a machine's host.")
	m.misses = counter("misses_total", "Times that a job's tasks began to find no room.")
	m.refusals = counter("refusals_total", "Choices that a machine's host refused.")
	m.waits = prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "cleatpick", Name: "wait_seconds",
		Help: "How long a cause kept tasks of a job from running, by cause.", Buckets: longBuckets}, []string{"cause"})
	m.reg.MustRegister(m.waits)
	m.state = counters("state_requests_total", "Requests to the state service by outcome.", "outcome")
	m.stateLag = histogram("state_request_seconds", "How long answered requests to the state service took.", shortBuckets)
	m.cloud = counters("cloud_requests_total", "Requests to the cloud by outcome.", "outcome")
	m.lag = histogram("loop_lag_seconds", "How much later than asked a timer of the loop ran.", shortBuckets)
	m.requests = counters("api_requests_total", "Requests under /v1/ by status class.", "status")
	m.whys = histogram("why_seconds", "How long gathering one explanation held the loop.", shortBuckets)
	m.answers = counters("answers_total", "Answers to users about one job: to polls or to changes (submissions, cancellations), by the way in which they were come by, or by why the user was told to come back.", "request", "way")
	m.outdated = counter("outdated_answers_total", "Answers that were not given since they were older than their questions; the questions waited for newer ones.")
	m.turnedOff = counters("requests_turned_away_total", "Users' requests that were told to come back before they reached any job, by reason.", "reason")
	m.stalls = histogram("stall_seconds", "How long the process stood still while its clocks ran on.", longBuckets)
	m.submits = counters("submissions_total", "Submissions whose record was stored here, and those told to come back.", "how")
	m.admits = counters("admission_changes_total", "Changes of how crowded the line of submissions is, by the new state.", "state")
	m.peers = counters("peer_changes_total", "Changes of how a peer is reached, by the new state; damped: it came and went, and is not given work for a while.", "state", "damped")
	m.trials = counters("jobs_judged_total", "Jobs that came to be judged sound, doubted or broken by who fails where.", "state")
	m.probes = counters("probes_total", "Silent machines that were asked directly, by what came of it.", "word")
	m.doubtful = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "cleatpick", Name: "machines_in_doubt", Help: "Silent machines of which nobody can tell yet whether they come back; told by the leader."})
	m.moments = prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "cleatpick", Name: "moment_machines",
		Help: "Machines that fell silent together, and those of them that were lost.", Buckets: prometheus.ExponentialBuckets(5, 2, 11)}, []string{"what"})
	m.reg.MustRegister(m.doubtful, m.moments)
	m.reruns = histogram("rerun_seconds", "From the last word of a machine that was lost until a task of it ran again.", longBuckets)
	m.earlier = counter("earlier_frames_total", "Frames dropped since an earlier life of a peer's process had sent them.")
	m.horizon = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "cleatpick", Name: "horizon_age_seconds", Help: "How old this node's knowledge of cancellations is; workers are let go when it is too old."})
	m.reg.MustRegister(m.horizon)
	m.words = counter("horizon_words_dropped_total", "Peers' words on cancellations that made no sense, and proved nothing.")
	m.commands = counters("commands_total", "Commands that left for workers, by operation and way.", "operation", "way")
	m.forgets = counters("forgets_judged_total", "Judgements whether a worker may be told to forget an ended attempt: allowed, or why not yet.", "verdict")
	m.stops = counter("preemptions_total", "Tasks that were asked to stop so that others have room.")
	m.held = counter("held_total", "Tasks for which room was held, stopping nothing: the longest waiting, and those of a team that lacks its guarantee.")
	m.takeovers = histogram("takeover_seconds", "From when a partition with work came to be owned here until a task of it was placed.", longBuckets)
	m.reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func seconds(d loop.Micros) float64 { return float64(d) / 1e6 }

// Watch follows how late the loop's timers run.
func (m *Meter) Watch(r loop.Runner) {
	if m == nil {
		return
	}
	const every = 250 * loop.Millisecond
	due := r.Now() + every
	loop.Every(r, every, func() {
		now := r.Now()
		m.lag.Observe(seconds(max(now-due, 0)))
		due = now + every
	})
}

// Pass counts a placement pass.
func (m *Meter) Pass(took loop.Micros, placed int) {
	if m != nil {
		m.passes.Observe(seconds(took))
		m.placed.Add(float64(placed))
	}
}

// Command counts a command that left for a worker.
func (m *Meter) Command(operation, way string) {
	if m != nil {
		m.commands.WithLabelValues(operation, way).Inc()
	}
}

// Forget counts a judgement whether a worker may be told to forget an attempt.
func (m *Meter) Forget(verdict string) {
	if m != nil {
		m.forgets.WithLabelValues(verdict).Inc()
	}
}

// Preempted counts tasks that were asked to stop so that others have room.
func (m *Meter) Preempted(tasks int) {
	if m != nil {
		m.stops.Add(float64(tasks))
	}
}

// Held counts tasks for which room was held without stopping anything.
func (m *Meter) Held(tasks int) {
	if m != nil {
		m.held.Add(float64(tasks))
	}
}

// Takeover counts the time until the first placement under a new owner.
func (m *Meter) Takeover(took loop.Micros) {
	if m != nil {
		m.takeovers.Observe(seconds(took))
	}
}

// EarlierFrame counts a frame that an earlier life of a peer had sent.
func (m *Meter) EarlierFrame() {
	if m != nil {
		m.earlier.Inc()
	}
}

// Horizon sets how old the knowledge of cancellations is.
func (m *Meter) Horizon(age loop.Micros) {
	if m != nil {
		m.horizon.Set(seconds(age))
	}
}

// HorizonWord counts a peer's word on cancellations that made no sense.
func (m *Meter) HorizonWord() {
	if m != nil {
		m.words.Inc()
	}
}

// Start counts a start that was handed on.
func (m *Meter) Start() {
	if m != nil {
		m.starts.Inc()
	}
}

// Miss counts a job whose tasks begin to find no room.
func (m *Meter) Miss() {
	if m != nil {
		m.misses.Inc()
	}
}

// Refusal counts a choice that a host refused.
func (m *Meter) Refusal() {
	if m != nil {
		m.refusals.Inc()
	}
}

// Answer counts an answer to a user about one job; the ways are a fixed list.
func (m *Meter) Answer(change bool, way string) {
	if m != nil {
		m.answers.WithLabelValues(map[bool]string{true: "change", false: "poll"}[change], way).Inc()
	}
}

// OutdatedAnswer counts an answer that was older than its question.
func (m *Meter) OutdatedAnswer() {
	if m != nil {
		m.outdated.Inc()
	}
}

// TurnedAway counts a user's request that was told to come back; the reasons are a fixed list.
func (m *Meter) TurnedAway(reason string) {
	if m != nil {
		m.turnedOff.WithLabelValues(reason).Inc()
	}
}

// Stall counts a time in which the process stood still.
func (m *Meter) Stall(took loop.Micros) {
	if m != nil {
		m.stalls.Observe(seconds(took))
	}
}

// Submission counts a submission; how it went is a fixed list.
func (m *Meter) Submission(how string) {
	if m != nil {
		m.submits.WithLabelValues(how).Inc()
	}
}

// Admission counts a change of how crowded the line of submissions is.
func (m *Meter) Admission(state string) {
	if m != nil {
		m.admits.WithLabelValues(state).Inc()
	}
}

// Peer counts a change of how a peer is reached; the states are a fixed list.
func (m *Meter) Peer(state string, damped bool) {
	if m != nil {
		m.peers.WithLabelValues(state, strconv.FormatBool(damped)).Inc()
	}
}

// Trial counts a job that came to be judged; the states are a fixed list.
func (m *Meter) Trial(state string) {
	if m != nil {
		m.trials.WithLabelValues(state).Inc()
	}
}

// Probe counts a silent machine that was asked directly; the words are a fixed list.
func (m *Meter) Probe(word string) {
	if m != nil {
		m.probes.WithLabelValues(word).Inc()
	}
}

// Doubtful tells how many machines are in doubt now.
func (m *Meter) Doubtful(n int) {
	if m != nil {
		m.doubtful.Set(float64(n))
	}
}

// Moment counts a fall of many machines that is over.
func (m *Meter) Moment(silent, lost int) {
	if m != nil {
		m.moments.WithLabelValues("silent").Observe(float64(silent))
		m.moments.WithLabelValues("lost").Observe(float64(lost))
	}
}

// Rerun counts a task of a lost machine that runs again.
func (m *Meter) Rerun(took loop.Micros) {
	if m != nil {
		m.reruns.Observe(seconds(took))
	}
}

// Wait counts a cause that has ended; the causes are a fixed list.
func (m *Meter) Wait(cause string, took loop.Micros) {
	if m != nil {
		m.waits.WithLabelValues(cause).Observe(seconds(took))
	}
}

// Outcome sorts an exchange into one of a few words.
func Outcome(status int, err error) string {
	switch {
	case err != nil:
		return "unanswered"
	case status == 429:
		return "limited"
	case status == 503:
		return "unavailable"
	case status == 409:
		return "conflict"
	case status >= 200 && status < 300, status == 404:
		return "ok"
	}
	return "refused"
}

// State counts a request to the state service.
func (m *Meter) State(outcome string, took loop.Micros) {
	if m != nil {
		m.state.WithLabelValues(outcome).Inc()
		m.stateLag.Observe(seconds(took))
	}
}

// Cloud counts a request to the cloud.
func (m *Meter) Cloud(outcome string) {
	if m != nil {
		m.cloud.WithLabelValues(outcome).Inc()
	}
}

// Request counts an answer under /v1/.
func (m *Meter) Request(status int) {
	if m != nil {
		m.requests.WithLabelValues(fmt.Sprintf("%dxx", status/100)).Inc()
	}
}

// Why counts an explanation by the time that it held the loop.
func (m *Meter) Why(took loop.Micros) {
	if m != nil {
		m.whys.Observe(seconds(took))
	}
}

// ContentType is the media type of Text.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// Text is all figures in the published text format.
func (m *Meter) Text() ([]byte, error) {
	all, err := m.reg.Gather()
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	enc := expfmt.NewEncoder(&b, expfmt.NewFormat(expfmt.TypeTextPlain))
	for _, f := range all {
		if err := enc.Encode(f); err != nil {
			return nil, err
		}
	}
	return b.Bytes(), nil
}
