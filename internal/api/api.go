// Package api serves `/v1/`, the interface for people and programs beside the protocol:
// JSON over HTTP, with keys, roles and a published schema. It decides nothing about
// jobs: what comes in here goes the same ways as what comes in by the protocol.
package api

import (
	"log/slog"
	"strings"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/cordon"
	"cleatpick/internal/explain"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/metric"
	"cleatpick/internal/wire"

	"github.com/valyala/fasthttp"
)

// Node is what this slice needs of the node around it. All is called on the loop.
type Node struct {
	Ready    func() bool
	Types    func() []wire.MachineType
	Counts   func(*job.Job) job.Counts
	Machines func() []Machine
	// Unheard names the owners of teams that were not heard lately, and teams that
	// nobody owns: what is told of them may be old.
	Unheard func() []string
	Jobs    *job.Registry
	Cordons *cordon.Registry
	// Unseen counts starts that were recorded earlier and may still begin where a cordon
	// bars them; ok is false where an owner could not be asked.
	Unseen func(name string, cb func(starts int, ok bool))
	Desk   *explain.Service
}

// API answers requests under /v1/ and for /metrics.
type API struct {
	r      loop.Runner
	log    *slog.Logger
	cfg    *config.Config
	n      Node
	keys   []key
	schema *schema
	meter  *metric.Meter
}

// New makes the interface. The meter may be nil; then /metrics is not there.
func New(r loop.Runner, log *slog.Logger, cfg *config.Config, n Node, m *metric.Meter) *API {
	return &API{r: r, log: log, cfg: cfg, n: n, keys: readKeys(cfg.Operator.API.Keys), schema: loadSchema(), meter: m}
}

// patience is how long a request waits for the loop and for other nodes.
const patience = 4 * time.Second

// route is what a path and method lead to.
type route struct {
	role int
	do   func(a *API, c *call)
}

// call is one request.
type call struct {
	ctx *fasthttp.RequestCtx
	by  string // the key's name
	arg string // the variable part of the path
}

// Handle answers one request, off the loop.
func (a *API) Handle(ctx *fasthttp.RequestCtx) {
	defer func() { a.meter.APIRequest(ctx.Response.StatusCode()) }()
	if ctx.UserValue("broken") != nil {
		fail(ctx, tooLarge)
		return
	}
	r, arg, known, methods := find(string(ctx.Method()), string(ctx.Path()))
	k, ok := a.authenticate(ctx)
	switch {
	case !ok:
		ctx.Response.Header.Set("WWW-Authenticate", "Bearer")
		fail(ctx, badKey)
	case !known:
		fail(ctx, noPath)
	case r == nil:
		ctx.Response.Header.Set("Allow", strings.Join(methods, ", "))
		fail(ctx, badMethod)
	case k.rank < r.role:
		fail(ctx, badRole.with("the key %q may not do this", k.name))
	default:
		r.do(a, &call{ctx, k.name, arg})
	}
}

const (
	read    = 1
	submit  = 2
	operate = 3
)

// table holds all routes; {} stands for the variable part of a path.
var table = map[string]map[string]route{
	"/v1/jobs":             {"POST": {submit, (*API).propose}, "GET": {read, (*API).list}},
	"/v1/jobs/{}":          {"GET": {read, (*API).job}},
	"/v1/jobs/{}/hold":     {"POST": {operate, (*API).hold}},
	"/v1/jobs/{}/release":  {"POST": {operate, (*API).release}},
	"/v1/jobs/{}/withdraw": {"POST": {submit, (*API).withdraw}},
	"/v1/jobs/{}/why":      {"GET": {read, (*API).why}},
	"/v1/machines":         {"GET": {read, (*API).machines}},
	"/v1/cordons":          {"GET": {read, (*API).cordons}},
	"/v1/cordons/{}":       {"GET": {read, (*API).cordon}, "PUT": {operate, (*API).putCordon}, "DELETE": {operate, (*API).dropCordon}},
	"/v1/queue":            {"GET": {read, (*API).queue}},
	"/v1/schema":           {"GET": {read, (*API).showSchema}},
	"/metrics":             {"GET": {read, (*API).metrics}},
}

// find looks a path up; methods are those that the path has.
func find(method, path string) (r *route, arg string, known bool, methods []string) {
	key := path
	parts := strings.Split(path, "/")
	if len(parts) >= 4 && parts[3] != "" {
		arg = parts[3]
		parts[3] = "{}"
		key = strings.Join(parts, "/")
	}
	all, known := table[key]
	for m, x := range all {
		methods = append(methods, m)
		if m == method {
			r = &x
		}
	}
	return r, arg, known, methods
}

// outcome is what the loop came to: a problem, or a body with its status.
type outcome struct {
	problem *problem
	status  int
	body    any
}

// onLoop lets f decide on the loop and writes what it came to.
func (a *API) onLoop(c *call, f func(done func(outcome))) {
	o, ok := loop.Ask(a.r, patience, func(done func(outcome)) {
		if !a.n.Ready() {
			done(outcome{problem: &notReady})
			return
		}
		f(done)
	})
	switch {
	case !ok:
		fail(c.ctx, noAnswer)
	case o.problem != nil:
		fail(c.ctx, *o.problem)
	default:
		write(c.ctx, o.status, o.body)
	}
}

func (a *API) showSchema(c *call) {
	c.ctx.SetContentType("application/schema+json")
	c.ctx.SetBody(schemaFile)
}

func (a *API) metrics(c *call) {
	if a.meter == nil {
		fail(c.ctx, noPath)
		return
	}
	b, err := a.meter.Text()
	if err != nil {
		a.log.Error("metrics", "err", err)
		fail(c.ctx, noAnswer)
		return
	}
	c.ctx.SetContentType(metric.ContentType)
	c.ctx.SetBody(b)
}
