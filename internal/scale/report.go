package scale

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"cleatpick/internal/partition"
	"cleatpick/internal/wire"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency summarizes a distribution of times in milliseconds.
type Latency struct {
	Count         int64
	P50, P95, P99 int64
	Max           int64
}

// summarizeLatency summarizes a histogram.
func summarizeLatency(h *hdrhistogram.Histogram) Latency {
	return Latency{h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.ValueAtQuantile(99), h.Max()}
}

// TrafficSummary summarizes the requests to one service and its answers, with the bytes of
// the bodies of requests (BytesIn) and answers (BytesOut).
type TrafficSummary struct {
	Requests  int64
	PerSecond float64
	BytesIn   int64
	BytesOut  int64
}

// ControllerUsage is the resources that one controller used.
type ControllerUsage struct {
	Label string
	Usage
	Cores float64 // on average
	Ends  int     // exits that the load run did not cause
}

// Report is the measurements of a load run.
type Report struct {
	Seconds                                     float64
	Starts                                      int
	StartsPerSecond                             float64
	PeakStarts10s                               float64 // per second, over the busiest ten seconds
	MostRunning                                 int
	Urgent, Other                               Latency
	Jobs, Accepted                              int
	Polls, PollsUnanswered                      int
	UserStatuses                                map[string]int
	BrokenRules                                 int
	Broken                                      []string
	State, Cloud, Reports, Commands, UserRole   TrafficSummary
	StateWrites, StateRefused, StateInvalid     int
	ChangesPerStart, RequestsPerStart           float64
	CopiesOfCommands                            int64   // that reached workers
	Partitions                                  int     // of the stored layout; 0: each team is a partition
	PartitionSegments, TeamSegments             int     // segments of task logs at the end
	ReportBytesPerWorkerS, AnswerBytesPerWorker float64 // per second
	Workers                                     int64
	Controllers                                 []ControllerUsage
	OwnCPUSeconds, OwnMB                        float64
}

// summarizeTraffic summarizes the traffic of a service over the given number of seconds.
func summarizeTraffic(t *Traffic, seconds float64) TrafficSummary {
	return TrafficSummary{t.Requests.Load(), float64(t.Requests.Load()) / seconds, t.BytesIn.Load(), t.BytesOut.Load()}
}

// peakRate returns the highest average of starts per second over the given number of consecutive seconds.
func peakRate(starts map[int64]int, seconds int64) float64 {
	best := 0
	for at := range starts {
		n := 0
		for k := range seconds {
			n += starts[at+k]
		}
		best = max(best, n)
	}
	return float64(best) / float64(seconds)
}

// report collects the measurements while the services still run. It stops the controllers.
func (r *run) report() *Report {
	seconds := time.Since(r.startedAt).Seconds()
	counts := r.state.Counts()
	out := &Report{Seconds: seconds, StateWrites: counts.Writes, StateRefused: counts.Refused, StateInvalid: counts.Invalid, UserStatuses: map[string]int{},
		State: summarizeTraffic(&r.stateTraffic, seconds), Cloud: summarizeTraffic(&r.cloudTraffic, seconds), Reports: summarizeTraffic(&r.workers.reports, seconds),
		Commands: summarizeTraffic(&r.workers.commands, seconds), UserRole: summarizeTraffic(&r.users.traffic, seconds), Workers: r.maxWorkers, CopiesOfCommands: r.workers.copies.arrived.Load()}
	var layout partition.Layout
	if raw, ok := r.state.Value(partition.LayoutKey); ok {
		wire.Unmarshal(raw, &layout)
	}
	out.Partitions, out.TeamSegments = layout.Count, len(r.state.Keys(partition.TeamLogPrefix))
	for _, id := range layout.All(nil) {
		out.PartitionSegments += len(r.state.Keys(id.LogPrefix()))
	}
	r.users.mu.Lock()
	for status, n := range r.users.statuses {
		out.UserStatuses[fmt.Sprint(status)] = n
	}
	r.users.mu.Unlock()
	checker := r.checker
	checker.mu.Lock()
	defer checker.mu.Unlock()
	out.Starts, out.StartsPerSecond, out.MostRunning = checker.starts, float64(checker.starts)/seconds, checker.maxRunning
	out.PeakStarts10s = peakRate(checker.startsBySecond, 10)
	out.Urgent, out.Other = summarizeLatency(checker.urgent), summarizeLatency(checker.other)
	out.Jobs, out.Accepted, out.Polls, out.PollsUnanswered = len(checker.jobs), checker.accepted, checker.polls, checker.failedPolls
	out.BrokenRules, out.Broken = checker.violations, slices.Clone(checker.violationTexts)
	if checker.starts > 0 {
		out.ChangesPerStart = float64(counts.Writes) / float64(checker.starts)
		out.RequestsPerStart = float64(counts.Requests) / float64(checker.starts)
	}
	if n := r.workerSeconds; n > 0 {
		out.ReportBytesPerWorkerS = float64(out.Reports.BytesIn) / n
		out.AnswerBytesPerWorker = float64(out.Reports.BytesOut) / n
	}
	out.stopAndAddUsage(r.controllers, seconds)
	return out
}

// stopAndAddUsage stops the controllers and adds their usage and that of this process to the report.
func (out *Report) stopAndAddUsage(all []*controller, seconds float64) {
	for _, c := range all {
		c.kill()
		out.Controllers = append(out.Controllers, ControllerUsage{Label: c.label, Usage: c.usage, Cores: c.usage.CPUSeconds / seconds, Ends: c.unexpectedExits})
	}
	var own syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &own) == nil {
		out.OwnCPUSeconds = float64(own.Utime.Nano()+own.Stime.Nano()) / 1e9
	}
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	out.OwnMB = float64(mem.Sys) / (1 << 20)
}

// Print writes the report as text.
func (out *Report) Print(w io.Writer) {
	line := func(format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) }
	line("%.0f s, at most %d workers, %d jobs, %d accepted", out.Seconds, out.Workers, out.Jobs, out.Accepted)
	line("starts: %d, %.1f per second, %.1f per second over the busiest 10 s; at most %d tasks running", out.Starts, out.StartsPerSecond, out.PeakStarts10s, out.MostRunning)
	for _, x := range []struct {
		name string
		l    Latency
	}{{"urgent", out.Urgent}, {"other", out.Other}} {
		line("time to start, %s jobs: %d tasks, p50 %d, p95 %d, p99 %d, max %d ms", x.name, x.l.Count, x.l.P50, x.l.P95, x.l.P99, x.l.Max)
	}
	for _, x := range []struct {
		name string
		r    TrafficSummary
	}{{"state service", out.State}, {"cloud", out.Cloud}, {"reports", out.Reports}, {"direct commands", out.Commands}, {"users", out.UserRole}} {
		line("%s: %d requests, %.1f per second, %d bytes in, %d out", x.name, x.r.Requests, x.r.PerSecond, x.r.BytesIn, x.r.BytesOut)
	}
	line("copies of executed commands that reached workers: %d", out.CopiesOfCommands)
	line("state service: %d changes, %.3f per start; %.3f requests per start; %d refused, %d malformed", out.StateWrites, out.ChangesPerStart, out.RequestsPerStart, out.StateRefused, out.StateInvalid)
	line("task logs: %d partitions with %d segments, %d segments of teams' own logs", out.Partitions, out.PartitionSegments, out.TeamSegments)
	line("per worker: %.0f bytes per second sent, %.0f received", out.ReportBytesPerWorkerS, out.AnswerBytesPerWorker)
	line("polls: %d, of which %d were not answered with status 200; answers to users by status: %v", out.Polls, out.PollsUnanswered, out.UserStatuses)
	for _, c := range out.Controllers {
		line("%s: %.3f cores, at most %.1f MB, %d bytes read, %d written, %d unexpected exits", c.Label, c.Cores, c.PeakMB, c.ReadBytes, c.WroteBytes, c.Ends)
	}
	line("load run itself: %.0f s of CPU time, %.0f MB", out.OwnCPUSeconds, out.OwnMB)
	line("invariant violations: %d", out.BrokenRules)
	if len(out.Broken) > 0 {
		line("%s", strings.Join(out.Broken, "\n"))
	}
}
