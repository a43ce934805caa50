// Package front is the HTTP server of a controller. It serves users' job requests and workers' reports in the CBOR
// protocol, and the health check.
//
// It owns the HTTP routes, the limits of connections and body sizes, and the translation of results into status codes
// and Retry-After headers. It decides nothing about jobs or machines: requests are passed to the job registry and the
// workers' registry on the event loop. Requests under /v1/ and for /metrics are passed on to the JSON API.
package front

import (
	"log/slog"
	"net"
	"strconv"
	"strings"
	"time"

	"cleatpick/internal/agent"
	"cleatpick/internal/config"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/wire"

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
	Counts func(*job.Job) job.Counts
	Jobs   *job.Registry
	Agent  *agent.Registry
	// API serves the paths under /v1/ and /metrics; if nil, these paths do not exist.
	API fasthttp.RequestHandler
}

// Server is the HTTP server of a controller.
type Server struct {
	r   loop.Runner
	log *slog.Logger
	cfg *config.Config
	n   Node
	srv *fasthttp.Server
	// NearConnectionLimit reports whether so many connections are open that a worker's connection is closed after its report is
	// answered. It may be nil.
	NearConnectionLimit func() bool
	// bad counts the malformed reports since badAt, the time at which one was last logged.
	bad   int
	badAt loop.Micros
}

// New returns a server; Serve starts it.
func New(r loop.Runner, log *slog.Logger, cfg *config.Config, n Node) *Server {
	f := &Server{r: r, log: log, cfg: cfg, n: n}
	f.srv = &fasthttp.Server{
		Handler:                       f.handle,
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
		Logger:                        quiet{log},
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			// The request is malformed or too large, so the start of the next request on this connection is unknown.
			ctx.SetConnectionClose()
			if f.n.API != nil && isAPI(string(ctx.Path())) {
				ctx.SetUserValue("broken", err)
				f.n.API(ctx)
				return
			}
			write(ctx, 400, wire.Error{Error: "malformed request"})
		},
	}
	return f
}

// quiet passes the messages of the HTTP library to the log at debug level.
type quiet struct{ log *slog.Logger }

func (q quiet) Printf(format string, args ...any) {
	q.log.Debug("HTTP server", "what", format, "args", args)
}

// OpenConnections returns the number of open incoming connections.
func (f *Server) OpenConnections() int { return int(f.srv.GetOpenConnectionsCount()) }

// Serve accepts and serves connections until the listener is closed.
func (f *Server) Serve(ln net.Listener) error { return f.srv.Serve(ln) }

func write(ctx *fasthttp.RequestCtx, status int, body any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/cbor")
	if body != nil {
		ctx.SetBody(wire.Marshal(body))
	}
}

// later answers with an error status and a Retry-After header.
func later(ctx *fasthttp.RequestCtx, status, seconds int, why string) {
	ctx.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
	write(ctx, status, wire.Error{Error: why})
}

func (f *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	post, get := ctx.IsPost(), ctx.IsGet()
	switch {
	case path == "/healthz" && get:
		ok := ask(f, func(done func(bool)) { done(f.n.Healthy()) })
		if ok != nil && *ok {
			write(ctx, 200, map[string]bool{"ok": true})
		} else {
			later(ctx, 503, 1, "not ready")
		}
	case path == "/agent/beat" && post:
		f.beat(ctx)
	case path == "/work" && post:
		f.submit(ctx)
	case strings.HasPrefix(path, "/work/"):
		id := strings.TrimPrefix(path, "/work/")
		if base, ok := strings.CutSuffix(id, "/withdraw"); ok && post {
			f.named(ctx, base, f.n.Jobs.Cancel)
		} else if get {
			f.named(ctx, id, f.n.Jobs.Poll)
		} else {
			write(ctx, 405, wire.Error{Error: "method not allowed"})
		}
	case f.n.API != nil && isAPI(path):
		f.n.API(ctx)
	default:
		write(ctx, 404, wire.Error{Error: "no such path"})
	}
}

func isAPI(path string) bool { return strings.HasPrefix(path, "/v1/") || path == "/metrics" }

// patience is how long a request waits for its result from the event loop.
const patience = 3 * time.Second

// ask calls run on the event loop and waits for its result. It returns nil if there is none in time.
func ask[T any](f *Server, run func(done func(T))) *T {
	if v, ok := loop.Ask(f.r, patience, run); ok {
		return &v
	}
	return nil
}

func (f *Server) beat(ctx *fasthttp.RequestCtx) {
	r, err := wire.ReadReport(ctx.PostBody())
	if err != nil {
		f.r.Post(func() { f.malformed(r.Machine, err) })
		write(ctx, 400, wire.Error{Error: "malformed report: " + err.Error()})
		return
	}
	if f.NearConnectionLimit != nil && f.NearConnectionLimit() {
		ctx.SetConnectionClose()
	}
	a := ask(f, func(done func(agent.Answer)) { f.n.Agent.Report(r, done) })
	if a == nil {
		later(ctx, 503, 1, "the controller did not answer in time")
		return
	}
	write(ctx, a.Status, a.Body)
}

// malformed logs a report that cannot be decoded, at most once per second because the worker sends its report again
// and again.
func (f *Server) malformed(machine string, err error) {
	f.bad++
	if now := f.r.Now(); f.badAt == 0 || now-f.badAt >= loop.Second {
		f.log.Error("worker's report is malformed; it was not applied and answered with status 400",
			"machine", machine, "fault", err.Error(), "since_last", f.bad)
		f.badAt, f.bad = now, 0
	}
}

// turnAway answers a request about a job with Retry-After before the job registry has seen it, and has the registry
// count the refusal. why is also a metric label.
func (f *Server) turnAway(done func(verdict), id, why string) {
	f.n.Jobs.RecordRefusal(id, why)
	done(verdict{status: 503, why: why})
}

// verdict is the result of a request about a job: a status with an error text, or the registry's answer.
type verdict struct {
	status int // 0 if a holds the result
	why    string
	a      job.Answer
	counts job.Counts
}

func (f *Server) reply(ctx *fasthttp.RequestCtx, v *verdict) {
	switch {
	case v == nil:
		later(ctx, 503, 1, "the controller did not answer in time")
	case v.status == 503 || v.status == 429:
		later(ctx, v.status, 1, v.why)
	case v.a.Code == 429:
		later(ctx, 429, max(v.a.RetryAfter, 1), "too many requests at once")
	case v.status != 0:
		write(ctx, v.status, wire.Error{Error: v.why})
	case v.a.Code == 200 || v.a.Code == 201:
		write(ctx, v.a.Code, standing(v.a, v.counts))
	case v.a.Code == 404:
		write(ctx, 404, wire.Error{Error: "no such job"})
	default:
		later(ctx, v.a.Code, max(v.a.RetryAfter, 1), "state service does not answer")
	}
}

func standing(a job.Answer, c job.Counts) wire.Standing {
	s := wire.Standing{ID: a.ID, Done: c.Done, Running: c.Running}
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

// settle returns a callback for the job registry that adds the numbers of tasks to the answer.
func (f *Server) settle(done func(verdict)) func(job.Answer) {
	return func(a job.Answer) {
		v := verdict{a: a}
		if j := f.n.Jobs.Get(a.ID); j != nil {
			v.counts = f.n.Counts(j)
		}
		done(v)
	}
}

func (f *Server) submit(ctx *fasthttp.RequestCtx) {
	id, spec, ok := job.Parse(ctx.PostBody())
	if id == "" {
		write(ctx, 400, wire.Error{Error: "malformed submission"})
		return
	}
	// A repeated submission of an accepted job is never refused, whatever its body says now. This holds even if this
	// controller has not read the job's record yet, so the registry is asked before the refusal is sent.
	unless := func(done func(verdict), no verdict) {
		f.n.Jobs.Poll(id, func(a job.Answer) {
			if a.Code == 404 {
				done(no)
				return
			}
			f.settle(done)(a)
		})
	}
	f.reply(ctx, ask(f, func(done func(verdict)) {
		if !f.n.Ready() {
			f.turnAway(done, id, "not ready")
			return
		}
		if !ok {
			unless(done, verdict{status: 400, why: "malformed submission"})
			return
		}
		if f.n.Jobs.Get(id) == nil {
			types := f.n.Types()
			if len(types) == 0 {
				f.turnAway(done, id, "machine types not known yet")
				return
			}
			if f.n.Foreign(spec.Team) {
				// The settings are being changed one controller after another. A client does not repeat a submission
				// that was answered with 422, so the submission is deferred instead.
				f.turnAway(done, id, "the team is not known here yet")
				return
			}
			if !job.Runnable(spec, f.cfg, types) {
				unless(done, verdict{status: 422, why: "the job can never run"})
				return
			}
		}
		f.n.Jobs.Submit(id, spec, f.settle(done))
	}))
}

// named passes a request about one job to the job registry and answers with its result.
func (f *Server) named(ctx *fasthttp.RequestCtx, id string, request func(id string, cb func(job.Answer))) {
	if !job.ValidID(id) {
		write(ctx, 404, wire.Error{Error: "no such job"})
		return
	}
	f.reply(ctx, ask(f, func(done func(verdict)) {
		if !f.n.Ready() {
			f.turnAway(done, id, "not ready")
			return
		}
		request(id, f.settle(done))
	}))
}
