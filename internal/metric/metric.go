// Package metric holds the Prometheus metrics of a controller and writes them in the Prometheus text format. It owns
// the names, labels and buckets of all metrics; the packages that cause the events call its methods. A nil Meter
// records nothing at no cost. The values of each label are a fixed set, so that the number of time series is bounded.
package metric

import (
	"bytes"
	"fmt"
	"strconv"

	"cleatpick/internal/eventloop"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/common/expfmt"
)

// Meter holds the metrics of one controller.
type Meter struct {
	registry           *prometheus.Registry
	passes             prometheus.Histogram
	placed             prometheus.Counter
	starts             prometheus.Counter
	unplaced           prometheus.Counter
	rejections         prometheus.Counter
	waits              *prometheus.HistogramVec
	stateRequests      *prometheus.CounterVec
	stateLatency       prometheus.Histogram
	cloudRequests      *prometheus.CounterVec
	loopLag            prometheus.Histogram
	apiRequests        *prometheus.CounterVec
	explanations       prometheus.Histogram
	answers            *prometheus.CounterVec
	outdatedAnswers    prometheus.Counter
	deferred           *prometheus.CounterVec
	pauses             prometheus.Histogram
	peerStates         *prometheus.CounterVec
	submissions        *prometheus.CounterVec
	queueStates        *prometheus.CounterVec
	attributionStates  *prometheus.CounterVec
	probes             *prometheus.CounterVec
	suspected          prometheus.Gauge
	correlatedFailures *prometheus.HistogramVec
	reruns             prometheus.Histogram
	staleFrames        prometheus.Counter
	watermarkAge       prometheus.Gauge
	invalidWatermarks  prometheus.Counter
	commands           *prometheus.CounterVec
	forgetVerdicts     *prometheus.CounterVec
	reappeared         prometheus.Counter
	preempted          prometheus.Counter
	reserved           prometheus.Counter
	takeovers          prometheus.Histogram
	taskLogWrites      *prometheus.CounterVec
}

// Bucket bounds in seconds: from 10 ms to one hour, and from 0.1 ms to 2.5 s.
var (
	longBuckets  = []float64{.01, .05, .1, .25, .5, 1, 2, 5, 10, 20, 40, 60, 120, 300, 600, 1800, 3600}
	shortBuckets = []float64{.0001, .00025, .0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5}
)

// New returns a meter with all metrics registered.
func New() *Meter {
	m := &Meter{registry: prometheus.NewRegistry()}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "cleatpick", Name: name, Help: help})
		m.registry.MustRegister(c)
		return c
	}
	counters := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "cleatpick", Name: name, Help: help}, labels)
		m.registry.MustRegister(c)
		return c
	}
	histogram := func(name, help string, buckets []float64) prometheus.Histogram {
		h := prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "cleatpick", Name: name, Help: help, Buckets: buckets})
		m.registry.MustRegister(h)
		return h
	}
	m.passes = histogram("pass_seconds", "Duration of a placement pass.", shortBuckets)
	m.placed = counter("placed_total", "Tasks for which a placement pass chose a machine.")
	m.starts = counter("starts_total", "Recorded starts sent to a machine's host controller.")
	m.unplaced = counter("misses_total", "Times that tasks of a job began to be unplaced for lack of free capacity.")
	m.rejections = counter("refusals_total", "Placements that a machine's host controller rejected.")
	m.waits = prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "cleatpick", Name: "wait_seconds",
		Help: "Time for which a cause kept tasks of a job from running, by cause.", Buckets: longBuckets}, []string{"cause"})
	m.registry.MustRegister(m.waits)
	m.stateRequests = counters("state_requests_total", "Requests to the state service by outcome.", "outcome")
	m.stateLatency = histogram("state_request_seconds", "Duration of answered requests to the state service.", shortBuckets)
	m.cloudRequests = counters("cloud_requests_total", "Requests to the cloud by outcome.", "outcome")
	m.loopLag = histogram("loop_lag_seconds", "Delay of a timer of the event loop beyond its due time.", shortBuckets)
	m.apiRequests = counters("api_requests_total", "Requests under /v1/ by status class.", "status")
	m.explanations = histogram("why_seconds", "Time for which gathering one explanation occupied the event loop.", shortBuckets)
	m.answers = counters("answers_total", "Answers to users about one job: to polls or to changes (submissions, cancellations), by the source of the answer, or by the reason why the user was deferred.", "request", "way")
	m.outdatedAnswers = counter("outdated_answers_total", "Answers that were not given because they were older than their requests; the requests waited for newer answers.")
	m.deferred = counters("requests_turned_away_total", "Users' requests that were deferred before they reached any job, by reason.", "reason")
	m.pauses = histogram("stall_seconds", "Duration of pauses in which the process did not run while its clocks went on.", longBuckets)
	m.submissions = counters("submissions_total", "Submissions whose record this controller stored, and submissions that were deferred.", "how")
	m.queueStates = counters("admission_changes_total", "Changes of the load state of the submission queue, by the new state.", "state")
	m.peerStates = counters("peer_changes_total", "Changes of a peer's reachability, by the new state; damped: the reachability changes often, and the peer is given no work for a while.", "state", "damped")
	m.attributionStates = counters("jobs_judged_total", "Changes of a job's state in failure attribution (sound, doubted or broken), by the new state.", "state")
	m.probes = counters("probes_total", "Direct probes of silent machines, by the result.", "word")
	m.suspected = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "cleatpick", Name: "machines_in_doubt", Help: "Suspected machines of which it is not known yet whether they come back; set by the leader."})
	m.correlatedFailures = prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "cleatpick", Name: "moment_machines",
		Help: "Machines suspected at the same time in a correlated failure, and those declared failed in it.", Buckets: prometheus.ExponentialBuckets(5, 2, 11)}, []string{"what"})
	m.registry.MustRegister(m.suspected, m.correlatedFailures)
	m.reruns = histogram("rerun_seconds", "Time from the last report of a failed machine until a task of it ran again.", longBuckets)
	m.staleFrames = counter("earlier_frames_total", "Frames dropped because an earlier incarnation of a peer sent them.")
	m.watermarkAge = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "cleatpick", Name: "horizon_age_seconds", Help: "Age of this controller's cancellation watermark; when it is too old, workers are no longer answered, so that their leases expire."})
	m.registry.MustRegister(m.watermarkAge)
	m.invalidWatermarks = counter("horizon_words_dropped_total", "Invalid messages of peers about cancellations, which were discarded and count as no evidence.")
	m.commands = counters("commands_total", "Commands sent to workers, by operation and path.", "operation", "way")
	m.forgetVerdicts = counters("forgets_judged_total", "Decisions whether a worker may be told to forget an ended attempt, by verdict: allowed, or the reason why not yet.", "verdict")
	m.reappeared = counter("reappeared_attempts_total", "Times that a machine listed an attempt as active after its termination was confirmed.")
	m.preempted = counter("preemptions_total", "Tasks preempted to free capacity for other jobs.")
	m.reserved = counter("held_total", "Tasks for which capacity was reserved without preemption: those of the longest waiting jobs, and those of a team that does not have its guarantee.")
	m.takeovers = histogram("takeover_seconds", "Time from when this controller became the owner of a partition with work until it placed a task of it.", longBuckets)
	m.taskLogWrites = counters("task_log_writes_total", "Answers of the state service to writes of the task log, by outcome: after conflict and invalid the records are composed again, after refused and unknown the same record is sent again.", "outcome")
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// seconds converts a duration to the unit of the metrics.
func seconds(d eventloop.Micros) float64 { return float64(d) / 1e6 }

// WatchLoopLag starts to measure periodically how late the event loop runs its timers.
func (m *Meter) WatchLoopLag(runner eventloop.Runner) {
	if m == nil {
		return
	}
	const interval = 250 * eventloop.Millisecond
	due := runner.Now() + interval
	eventloop.Every(runner, interval, func() {
		now := runner.Now()
		m.loopLag.Observe(seconds(max(now-due, 0)))
		due = now + interval
	})
}

// PlacementPass records a placement pass and the number of tasks that it placed.
func (m *Meter) PlacementPass(took eventloop.Micros, placed int) {
	if m != nil {
		m.passes.Observe(seconds(took))
		m.placed.Add(float64(placed))
	}
}

// Command counts a command sent to a worker.
func (m *Meter) Command(operation, path string) {
	if m != nil {
		m.commands.WithLabelValues(operation, path).Inc()
	}
}

// ForgetVerdict counts a decision whether a worker may be told to forget an attempt.
func (m *Meter) ForgetVerdict(verdict string) {
	if m != nil {
		m.forgetVerdicts.WithLabelValues(verdict).Inc()
	}
}

// ReappearedAttempt counts an attempt that is listed as active after its termination was confirmed.
func (m *Meter) ReappearedAttempt() {
	if m != nil {
		m.reappeared.Inc()
	}
}

// Preempted counts tasks that are preempted to free capacity for other jobs.
func (m *Meter) Preempted(tasks int) {
	if m != nil {
		m.preempted.Add(float64(tasks))
	}
}

// Reserved counts tasks for which capacity is reserved without preemption.
func (m *Meter) Reserved(tasks int) {
	if m != nil {
		m.reserved.Add(float64(tasks))
	}
}

// TaskLogWrite records the outcome of one attempt to write the task log.
func (m *Meter) TaskLogWrite(outcome string) {
	if m != nil {
		m.taskLogWrites.WithLabelValues(outcome).Inc()
	}
}

// Takeover records the time from a change of a partition's owner until the first placement.
func (m *Meter) Takeover(took eventloop.Micros) {
	if m != nil {
		m.takeovers.Observe(seconds(took))
	}
}

// StaleFrame counts a dropped frame that an earlier incarnation of a peer sent.
func (m *Meter) StaleFrame() {
	if m != nil {
		m.staleFrames.Inc()
	}
}

// WatermarkAge sets the age of the cancellation watermark.
func (m *Meter) WatermarkAge(age eventloop.Micros) {
	if m != nil {
		m.watermarkAge.Set(seconds(age))
	}
}

// InvalidWatermark counts an invalid message of a peer about its cancellation watermark.
func (m *Meter) InvalidWatermark() {
	if m != nil {
		m.invalidWatermarks.Inc()
	}
}

// Start counts a recorded start that is sent to a host controller.
func (m *Meter) Start() {
	if m != nil {
		m.starts.Inc()
	}
}

// Unplaced counts a job whose tasks begin to be unplaced for lack of free capacity.
func (m *Meter) Unplaced() {
	if m != nil {
		m.unplaced.Inc()
	}
}

// Rejection counts a placement that a host controller rejected.
func (m *Meter) Rejection() {
	if m != nil {
		m.rejections.Inc()
	}
}

// Answer counts an answer to a user about one job. change is true for a submission or a cancellation and false for a
// poll; source is one of a fixed list.
func (m *Meter) Answer(change bool, source string) {
	if m != nil {
		m.answers.WithLabelValues(map[bool]string{true: "change", false: "poll"}[change], source).Inc()
	}
}

// OutdatedAnswer counts an answer that is not given because it is older than its request.
func (m *Meter) OutdatedAnswer() {
	if m != nil {
		m.outdatedAnswers.Inc()
	}
}

// Deferred counts a user's request that is deferred before it reaches any job; the reason is one of a fixed list.
func (m *Meter) Deferred(reason string) {
	if m != nil {
		m.deferred.WithLabelValues(reason).Inc()
	}
}

// Pause records a pause in which the process did not run.
func (m *Meter) Pause(took eventloop.Micros) {
	if m != nil {
		m.pauses.Observe(seconds(took))
	}
}

// Submission counts a submission; its result is one of a fixed list.
func (m *Meter) Submission(result string) {
	if m != nil {
		m.submissions.WithLabelValues(result).Inc()
	}
}

// QueueState counts a change of the load state of the submission queue.
func (m *Meter) QueueState(state string) {
	if m != nil {
		m.queueStates.WithLabelValues(state).Inc()
	}
}

// PeerState counts a change of a peer's reachability; the state is one of a fixed list.
func (m *Meter) PeerState(state string, damped bool) {
	if m != nil {
		m.peerStates.WithLabelValues(state, strconv.FormatBool(damped)).Inc()
	}
}

// AttributionState counts a change of a job's probation state; the state is one of a fixed list.
func (m *Meter) AttributionState(state string) {
	if m != nil {
		m.attributionStates.WithLabelValues(state).Inc()
	}
}

// Probe counts a direct probe of a silent machine; the result is one of a fixed list.
func (m *Meter) Probe(result string) {
	if m != nil {
		m.probes.WithLabelValues(result).Inc()
	}
}

// Suspected sets the number of suspected machines that may still come back.
func (m *Meter) Suspected(machines int) {
	if m != nil {
		m.suspected.Set(float64(machines))
	}
}

// CorrelatedFailure records a correlated failure that has ended: the largest number of machines suspected at the same
// time, and the number of those declared failed.
func (m *Meter) CorrelatedFailure(mostSuspected, failed int) {
	if m != nil {
		m.correlatedFailures.WithLabelValues("silent").Observe(float64(mostSuspected))
		m.correlatedFailures.WithLabelValues("lost").Observe(float64(failed))
	}
}

// Rerun records that a task of a failed machine runs again.
func (m *Meter) Rerun(took eventloop.Micros) {
	if m != nil {
		m.reruns.Observe(seconds(took))
	}
}

// WaitCause records a cause that no longer keeps tasks from running; the cause is one of a fixed list.
func (m *Meter) WaitCause(cause string, took eventloop.Micros) {
	if m != nil {
		m.waits.WithLabelValues(cause).Observe(seconds(took))
	}
}

// Outcome classifies a response for the label outcome.
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

// StateRequest records a request to the state service.
func (m *Meter) StateRequest(outcome string, took eventloop.Micros) {
	if m != nil {
		m.stateRequests.WithLabelValues(outcome).Inc()
		m.stateLatency.Observe(seconds(took))
	}
}

// CloudRequest counts a request to the cloud.
func (m *Meter) CloudRequest(outcome string) {
	if m != nil {
		m.cloudRequests.WithLabelValues(outcome).Inc()
	}
}

// APIRequest counts a request under /v1/ by its status class.
func (m *Meter) APIRequest(status int) {
	if m != nil {
		m.apiRequests.WithLabelValues(fmt.Sprintf("%dxx", status/100)).Inc()
	}
}

// Explanation records the time for which gathering an explanation occupied the event loop.
func (m *Meter) Explanation(took eventloop.Micros) {
	if m != nil {
		m.explanations.Observe(seconds(took))
	}
}

// ContentType is the media type of the result of Text.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// Text returns all metrics in the Prometheus text format.
func (m *Meter) Text() ([]byte, error) {
	families, err := m.registry.Gather()
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	enc := expfmt.NewEncoder(&b, expfmt.NewFormat(expfmt.TypeTextPlain))
	for _, family := range families {
		if err := enc.Encode(family); err != nil {
			return nil, err
		}
	}
	return b.Bytes(), nil
}
