// Package front is the adapter between HTTP and the slices: users, workers and
// health checks come in here.
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

const maxBody = 64 << 10

// Node is what this slice needs of the node around it.
type Node struct {
	Healthy func() bool
	// Ready tells whether users' requests can be decided now.
	Ready func() bool
	Types func() []wire.MachineType
	// Foreign tells whether a team that these settings do not name is served by others.
	Foreign func(team string) bool
	Counts  func(*job.Job) job.Counts
	Jobs    *job.Registry
	Agent   *agent.Registry
	// API serves what stands beside the protocol: /v1/ and /metrics; nil: nothing does.
	API fasthttp.RequestHandler
}

// Front serves HTTP.
type Front struct {
	r   loop.Runner
	log *slog.Logger
	cfg *config.Config
	n   Node
	srv *fasthttp.Server
	// Crowded tells whether so many connections are open that workers' are not kept; it
	// may be nil.
	Crowded func() bool
	// bad counts the malformed reports since badAt, when one was last told of.
	bad   int
	badAt loop.Micros
}

// New makes the server.
func New(r loop.Runner, log *slog.Logger, cfg *config.Config, n Node) *Front {
	f := &Front{r: r, log: log, cfg: cfg, n: n}
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
			// Oversized or broken: the rest of the stream cannot be trusted.
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

type quiet struct{ log *slog.Logger }

func (q quiet) Printf(format string, args ...any) { q.log.Debug("http", "what", format, "args", args) }

// Open is the number of connections that others have opened.
func (f *Front) Open() int { return int(f.srv.GetOpenConnectionsCount()) }

// Serve works until the listener is closed.
func (f *Front) Serve(ln net.Listener) error { return f.srv.Serve(ln) }

func write(ctx *fasthttp.RequestCtx, status int, body any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/cbor")
	if body != nil {
		ctx.SetBody(wire.Marshal(body))
	}
}

// later tells a client at once when to come back.
func later(ctx *fasthttp.RequestCtx, status, seconds int, why string) {
	ctx.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
	write(ctx, status, wire.Error{Error: why})
}

func (f *Front) handle(ctx *fasthttp.RequestCtx) {
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

// patience is how long a request waits for the loop.
const patience = 3 * time.Second

// ask runs f on the loop and waits for its answer; nil when none came in time.
func ask[T any](f *Front, run func(done func(T))) *T {
	if v, ok := loop.Ask(f.r, patience, run); ok {
		return &v
	}
	return nil
}

func (f *Front) beat(ctx *fasthttp.RequestCtx) {
	r, err := wire.ReadReport(ctx.PostBody())
	if err != nil {
		f.r.Post(func() { f.malformed(r.Machine, err) })
		write(ctx, 400, wire.Error{Error: "malformed report: " + err.Error()})
		return
	}
	if f.Crowded != nil && f.Crowded() {
		ctx.SetConnectionClose()
	}
	a := ask(f, func(done func(agent.Answer)) { f.n.Agent.Report(r, done) })
	if a == nil {
		later(ctx, 503, 1, "no answer")
		return
	}
	write(ctx, a.Status, a.Body)
}

// malformed tells the operators of a report that makes no sense, at most once a second: the
// worker sends it again and again.
func (f *Front) malformed(machine string, err error) {
	f.bad++
	if now := f.r.Now(); f.badAt == 0 || now-f.badAt >= loop.Second {
		f.log.Error("malformed report", "machine", machine, "fault", err.Error(), "since_last", f.bad)
		f.badAt, f.bad = now, 0
	}
}

// turnAway tells the user of a job to come back, before anything is known of the request.
func (f *Front) turnAway(done func(verdict), id, why string) {
	f.n.Jobs.RecordRefusal(id, why)
	done(verdict{status: 503, why: why})
}

type verdict struct {
	status int // 0: see answer
	why    string
	a      job.Answer
	counts job.Counts
}

func (f *Front) reply(ctx *fasthttp.RequestCtx, v *verdict) {
	switch {
	case v == nil:
		later(ctx, 503, 1, "no answer")
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

func standing(a job.Answer, c job.Counts) wire.JobStatus {
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

// settle adds the counts for display to an answer.
func (f *Front) settle(done func(verdict)) func(job.Answer) {
	return func(a job.Answer) {
		v := verdict{a: a}
		if j := f.n.Jobs.Get(a.ID); j != nil {
			v.counts = f.n.Counts(j)
		}
		done(v)
	}
}

func (f *Front) submit(ctx *fasthttp.RequestCtx) {
	id, spec, ok := job.Parse(ctx.PostBody())
	if id == "" {
		write(ctx, 400, wire.Error{Error: "malformed submission"})
		return
	}
	// A job that was accepted is never refused, whatever is asked for now, also where this node
	// has not read of it yet.
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
				// The settings are being changed node by node. A no would be for good.
				f.turnAway(done, id, "the team is not known here yet")
				return
			}
			if !job.Runnable(spec, f.cfg, types) {
				unless(done, verdict{status: 422, why: "can never run"})
				return
			}
		}
		f.n.Jobs.Submit(id, spec, f.settle(done))
	}))
}

// named answers a request about one job by way of the registry.
func (f *Front) named(ctx *fasthttp.RequestCtx, id string, request func(id string, cb func(job.Answer))) {
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
