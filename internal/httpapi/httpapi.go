// Package httpapi is the HTTP server of a controller. It serves users' job requests and workers' reports in the CBOR
// protocol, and the health check.
//
// It owns the HTTP routes, the limits of connections and body sizes, and the translation of results into status codes
// and Retry-After headers. It decides nothing about jobs or machines: requests are passed to the job registry and the
// workers' registry on the event loop. Requests under /v1/ and for /metrics are passed on to the JSON API.
package httpapi

import (
	"log/slog"
	"net"
	"strconv"
	"strings"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/job"
	"cleatpick/internal/wire"
	"cleatpick/internal/workers"

	"github.com/valyala/fasthttp"
)

// maxBody is the largest request body in bytes.
const maxBody = 64 << 10

// Node holds what the server needs from the rest of the controller. Its functions, except API, are called on the event
// loop.
type Node struct {
	// Healthy reports whether the health check passes.
	Healthy func() bool
	// Ready reports whether users' requests can be decided now.
	Ready func() bool
	// Types returns the known machine types, none before the catalog was read.
	Types func() []wire.MachineType
	// Foreign reports whether a team that is missing from this controller's settings is served by other controllers.
	Foreign func(team string) bool
	// Counts returns the job's numbers of running and done tasks.
	Counts  func(*job.Job) job.Counts
	Jobs    *job.Registry
	Workers *workers.Registry
	// API serves the paths under /v1/ and /metrics; if nil, these paths do not exist.
	API fasthttp.RequestHandler
}

// Server is the HTTP server of a controller.
type Server struct {
	runner eventloop.Runner
	log    *slog.Logger
	cfg    *config.Config
	node   Node
	srv    *fasthttp.Server
	// NearConnectionLimit reports whether so many connections are open that a worker's connection is closed after its
	// report is answered. It may be nil.
	NearConnectionLimit func() bool
	// malformedCount counts the malformed reports since malformedLoggedAt, the time at which one was last logged.
	malformedCount    int
	malformedLoggedAt eventloop.Micros
}

// New returns a server; Serve starts it.
func New(r eventloop.Runner, log *slog.Logger, cfg *config.Config, n Node) *Server {
	s := &Server{runner: r, log: log, cfg: cfg, node: n}
	s.srv = &fasthttp.Server{
		Handler:                       s.handle,
		MaxRequestBodySize:            maxBody,
		Concurrency:                   max(cfg.Cluster.Limits.MaxSockets*6/10, 16),
		ReadBufferSize:                4096,
		WriteBufferSize:               4096,
		IdleTimeout:                   90 * time.Second,
		ReadTimeout:                   60 * time.Second,
		WriteTimeout:                  10 * time.Second,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		DisableHeaderNamesNormalizing: false,
		ReduceMemoryUsage:             true,
		CloseOnShutdown:               true,
		Logger:                        debugLogger{log},
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			// The request is malformed or too large, so the start of the next request on this connection is unknown.
			ctx.SetConnectionClose()
			if s.node.API != nil && isAPI(string(ctx.Path())) {
				ctx.SetUserValue("broken", err)
				s.node.API(ctx)
				return
			}
			write(ctx, 400, wire.Error{Error: "malformed request"})
		},
	}
	return s
}

// debugLogger passes the messages of the HTTP library to the log at debug level.
type debugLogger struct{ log *slog.Logger }

func (l debugLogger) Printf(format string, args ...any) {
	l.log.Debug("HTTP server", "what", format, "args", args)
}

// OpenConnections returns the number of open incoming connections.
func (s *Server) OpenConnections() int { return int(s.srv.GetOpenConnectionsCount()) }

// Serve accepts and serves connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error { return s.srv.Serve(ln) }

func write(ctx *fasthttp.RequestCtx, status int, body any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/cbor")
	if body != nil {
		ctx.SetBody(wire.Marshal(body))
	}
}

// writeRetryAfter answers with an error status and a Retry-After header.
func writeRetryAfter(ctx *fasthttp.RequestCtx, status, retryAfterS int, reason string) {
	ctx.Response.Header.Set("Retry-After", strconv.Itoa(retryAfterS))
	write(ctx, status, wire.Error{Error: reason})
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	post, get := ctx.IsPost(), ctx.IsGet()
	switch {
	case path == "/healthz" && get:
		ok := onLoop(s, func(done func(bool)) { done(s.node.Healthy()) })
		if ok != nil && *ok {
			write(ctx, 200, map[string]bool{"ok": true})
		} else {
			writeRetryAfter(ctx, 503, 1, "not ready")
		}
	case path == "/agent/beat" && post:
		s.report(ctx)
	case path == "/work" && post:
		s.submit(ctx)
	case strings.HasPrefix(path, "/work/"):
		id := strings.TrimPrefix(path, "/work/")
		if base, ok := strings.CutSuffix(id, "/withdraw"); ok && post {
			s.jobRequest(ctx, base, s.node.Jobs.Cancel)
		} else if get {
			s.jobRequest(ctx, id, s.node.Jobs.Poll)
		} else {
			write(ctx, 405, wire.Error{Error: "method not allowed"})
		}
	case s.node.API != nil && isAPI(path):
		s.node.API(ctx)
	default:
		write(ctx, 404, wire.Error{Error: "no such path"})
	}
}

func isAPI(path string) bool { return strings.HasPrefix(path, "/v1/") || path == "/metrics" }

// requestTimeout is how long a request waits for its result from the event loop.
const requestTimeout = 3 * time.Second

// onLoop calls run on the event loop and waits for its result. It returns nil if there is none in time.
func onLoop[T any](s *Server, run func(done func(T))) *T {
	if v, ok := eventloop.Call(s.runner, requestTimeout, run); ok {
		return &v
	}
	return nil
}

func (s *Server) report(ctx *fasthttp.RequestCtx) {
	r, err := wire.ReadReport(ctx.PostBody())
	if err != nil {
		s.runner.Post(func() { s.logMalformed(r.Machine, err) })
		write(ctx, 400, wire.Error{Error: "malformed report: " + err.Error()})
		return
	}
	if s.NearConnectionLimit != nil && s.NearConnectionLimit() {
		ctx.SetConnectionClose()
	}
	a := onLoop(s, func(done func(workers.Answer)) { s.node.Workers.Report(r, done) })
	if a == nil {
		writeRetryAfter(ctx, 503, 1, "the controller did not answer in time")
		return
	}
	write(ctx, a.Status, a.Body)
}

// logMalformed logs a report that cannot be decoded, at most once per second because the worker sends its report again
// and again.
func (s *Server) logMalformed(machine string, err error) {
	s.malformedCount++
	if now := s.runner.Now(); s.malformedLoggedAt == 0 || now-s.malformedLoggedAt >= eventloop.Second {
		s.log.Error("worker's report is malformed; it was not applied and answered with status 400",
			"machine", machine, "fault", err.Error(), "since_last", s.malformedCount)
		s.malformedLoggedAt, s.malformedCount = now, 0
	}
}

// refuse answers a request about a job with Retry-After before the job registry has seen it, and has the registry
// count the refusal. The reason is also the value of a metric label.
func (s *Server) refuse(done func(result), id, reason string) {
	s.node.Jobs.RecordRefusal(id, reason)
	done(result{status: 503, reason: reason})
}

// result is the result of a request about a job: a status with an error text, or the registry's answer.
type result struct {
	status int // 0 if a holds the result
	reason string
	answer job.Answer
	counts job.Counts
}

func (s *Server) reply(ctx *fasthttp.RequestCtx, v *result) {
	switch {
	case v == nil:
		writeRetryAfter(ctx, 503, 1, "the controller did not answer in time")
	case v.status == 503 || v.status == 429:
		writeRetryAfter(ctx, v.status, 1, v.reason)
	case v.answer.Code == 429:
		writeRetryAfter(ctx, 429, max(v.answer.RetryAfter, 1), "too many requests at once")
	case v.status != 0:
		write(ctx, v.status, wire.Error{Error: v.reason})
	case v.answer.Code == 200 || v.answer.Code == 201:
		write(ctx, v.answer.Code, jobStatus(v.answer, v.counts))
	case v.answer.Code == 404:
		write(ctx, 404, wire.Error{Error: "no such job"})
	default:
		writeRetryAfter(ctx, v.answer.Code, max(v.answer.RetryAfter, 1), "state service does not answer")
	}
}

func jobStatus(a job.Answer, c job.Counts) wire.JobStatus {
	s := wire.JobStatus{ID: a.ID, Done: c.Done, Running: c.Running}
	switch a.Phase {
	case job.Done:
		s.State, s.Done, s.Running = wire.JobDone, int64(a.Tasks), 0
	case job.Cancelled:
		s.State, s.Running = wire.JobCancelled, 0
	default:
		s.State = wire.JobQueued
		if c.Running > 0 {
			s.State = wire.JobRunning
		}
	}
	return s
}

// withCounts returns a callback for the job registry that adds the numbers of tasks to the answer.
func (s *Server) withCounts(done func(result)) func(job.Answer) {
	return func(a job.Answer) {
		v := result{answer: a}
		if j := s.node.Jobs.Get(a.ID); j != nil {
			v.counts = s.node.Counts(j)
		}
		done(v)
	}
}

func (s *Server) submit(ctx *fasthttp.RequestCtx) {
	id, spec, ok := job.Parse(ctx.PostBody())
	if id == "" {
		write(ctx, 400, wire.Error{Error: "malformed submission"})
		return
	}
	// A repeated submission of an accepted job is never refused, whatever its body says now. This holds even if this
	// controller has not read the job's record yet, so the registry is queried before the refusal is sent.
	refuseUnlessKnown := func(done func(result), refusal result) {
		s.node.Jobs.Poll(id, func(a job.Answer) {
			if a.Code == 404 {
				done(refusal)
				return
			}
			s.withCounts(done)(a)
		})
	}
	s.reply(ctx, onLoop(s, func(done func(result)) {
		if !s.node.Ready() {
			s.refuse(done, id, "not ready")
			return
		}
		if !ok {
			refuseUnlessKnown(done, result{status: 400, reason: "malformed submission"})
			return
		}
		if s.node.Jobs.Get(id) == nil {
			types := s.node.Types()
			if len(types) == 0 {
				s.refuse(done, id, "machine types not known yet")
				return
			}
			if s.node.Foreign(spec.Team) {
				// The settings are being changed one controller after another. A client does not repeat a submission
				// that was answered with 422, so the submission is deferred instead.
				s.refuse(done, id, "the team is not known here yet")
				return
			}
			if !job.Runnable(spec, s.cfg, types) {
				refuseUnlessKnown(done, result{status: 422, reason: "the job can never run"})
				return
			}
		}
		s.node.Jobs.Submit(id, spec, s.withCounts(done))
	}))
}

// jobRequest passes a request about one job to the job registry and answers with its result.
func (s *Server) jobRequest(ctx *fasthttp.RequestCtx, id string, request func(id string, done func(job.Answer))) {
	if !job.ValidID(id) {
		write(ctx, 404, wire.Error{Error: "no such job"})
		return
	}
	s.reply(ctx, onLoop(s, func(done func(result)) {
		if !s.node.Ready() {
			s.refuse(done, id, "not ready")
			return
		}
		request(id, s.withCounts(done))
	}))
}
