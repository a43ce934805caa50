// Package api serves /v1/, the JSON interface over HTTP for users, operators and their tools, and /metrics. Requests
// are authenticated with bearer keys, each of which has a role, and request bodies are checked against a published JSON
// schema. Errors have the form of RFC 9457.
//
// The package owns the routes, the keys and the JSON types. It decides nothing about jobs: submissions, holds and
// cancellations go through the same job registry and the same checks as requests in the CBOR protocol.
package api

import (
	"log/slog"
	"strings"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/cordon"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/explain"
	"cleatpick/internal/job"
	"cleatpick/internal/metric"
	"cleatpick/internal/wire"

	"github.com/valyala/fasthttp"
)

// Node holds what the API needs from the rest of the controller. Its functions and the methods of its registries are
// called on the event loop.
type Node struct {
	// Ready reports whether users' requests can be decided now.
	Ready func() bool
	// Types returns the known machine types, none before the catalog was read.
	Types func() []wire.MachineType
	// Counts returns the job's numbers of running and done tasks.
	Counts func(*job.Job) job.Counts
	// Machines returns the reachable machines, sorted by name.
	Machines func() []Machine
	// StaleOwners describes the owners that are unreachable and the teams without an owner; the causes of waiting that
	// are known of their jobs may be outdated.
	StaleOwners func() []string
	Jobs        *job.Registry
	Cordons     *cordon.Registry
	// PendingStarts counts the starts that were recorded before the named cordon and may still take effect on the machines
	// that it blocks. ok is false if an owner did not answer.
	PendingStarts func(name string, callback func(starts int, ok bool))
	// Explanations explains why jobs wait.
	Explanations *explain.Service
}

// API answers requests under /v1/ and for /metrics.
type API struct {
	runner eventloop.Runner
	log    *slog.Logger
	cfg    *config.Config
	node   Node
	keys   []key
	schema *schema
	meter  *metric.Meter
}

// New returns the API. The meter may be nil; /metrics does not exist then.
func New(r eventloop.Runner, log *slog.Logger, cfg *config.Config, n Node, m *metric.Meter) *API {
	return &API{runner: r, log: log, cfg: cfg, node: n, keys: readKeys(cfg.Operator.API.Keys), schema: loadSchema(), meter: m}
}

// requestTimeout is how long a request waits for its result, including the time for requests to other controllers.
const requestTimeout = 4 * time.Second

// route is the handler of a path and method, with the lowest role that may use it.
type route struct {
	minRank int
	handle  func(a *API, c *request)
}

// request is one authenticated request.
type request struct {
	ctx     *fasthttp.RequestCtx
	keyName string // name of the key that the request carries
	arg     string // the variable part of the path
}

// Handle answers one request. It runs outside the event loop.
func (a *API) Handle(ctx *fasthttp.RequestCtx) {
	defer func() { a.meter.APIRequest(ctx.Response.StatusCode()) }()
	if ctx.UserValue("broken") != nil {
		writeProblem(ctx, tooLarge)
		return
	}
	r, arg, known, methods := findRoute(string(ctx.Method()), string(ctx.Path()))
	k, ok := a.authenticate(ctx)
	switch {
	case !ok:
		ctx.Response.Header.Set("WWW-Authenticate", "Bearer")
		writeProblem(ctx, invalidKey)
	case !known:
		writeProblem(ctx, unknownPath)
	case r == nil:
		ctx.Response.Header.Set("Allow", strings.Join(methods, ", "))
		writeProblem(ctx, methodNotAllowed)
	case k.rank < r.minRank:
		writeProblem(ctx, forbidden.withDetail("the key %q does not have the required role", k.name))
	default:
		r.handle(a, &request{ctx, k.name, arg})
	}
}

// The ranks of the roles, as config.RoleRank returns them. A role includes all roles of lower rank.
const (
	rankRead    = 1
	rankSubmit  = 2
	rankOperate = 3
)

// routes maps each path and method to its route; {} stands for the variable part of a path.
var routes = map[string]map[string]route{
	"/v1/jobs":             {"POST": {rankSubmit, (*API).submitJob}, "GET": {rankRead, (*API).listJobs}},
	"/v1/jobs/{}":          {"GET": {rankRead, (*API).showJob}},
	"/v1/jobs/{}/hold":     {"POST": {rankOperate, (*API).holdJob}},
	"/v1/jobs/{}/release":  {"POST": {rankOperate, (*API).releaseJob}},
	"/v1/jobs/{}/withdraw": {"POST": {rankSubmit, (*API).cancelJob}},
	"/v1/jobs/{}/why":      {"GET": {rankRead, (*API).explainJob}},
	"/v1/machines":         {"GET": {rankRead, (*API).listMachines}},
	"/v1/cordons":          {"GET": {rankRead, (*API).listCordons}},
	"/v1/cordons/{}": {"GET": {rankRead, (*API).getCordon}, "PUT": {rankOperate, (*API).putCordon},
		"DELETE": {rankOperate, (*API).removeCordon}},
	"/v1/queue":  {"GET": {rankRead, (*API).showQueue}},
	"/v1/schema": {"GET": {rankRead, (*API).showSchema}},
	"/metrics":   {"GET": {rankRead, (*API).showMetrics}},
}

// findRoute looks up the route of a request. arg is the variable part of the path, known reports whether the path exists,
// and methods are those that it allows. r is nil if the path does not allow this method.
func findRoute(method, path string) (r *route, arg string, known bool, methods []string) {
	key := path
	parts := strings.Split(path, "/")
	if len(parts) >= 4 && parts[3] != "" {
		arg = parts[3]
		parts[3] = "{}"
		key = strings.Join(parts, "/")
	}
	all, known := routes[key]
	for m, x := range all {
		methods = append(methods, m)
		if m == method {
			r = &x
		}
	}
	return r, arg, known, methods
}

// outcome is the result of a request: a problem, or a body with its status.
type outcome struct {
	problem *problem
	status  int
	body    any
}

// onLoop calls f on the event loop, waits for its outcome and writes it. The response is an error if this controller is
// not ready or if there is no outcome in time.
func (a *API) onLoop(c *request, f func(done func(outcome))) {
	o, ok := eventloop.Call(a.runner, requestTimeout, func(done func(outcome)) {
		if !a.node.Ready() {
			done(outcome{problem: &notReady})
			return
		}
		f(done)
	})
	switch {
	case !ok:
		writeProblem(c.ctx, unavailable)
	case o.problem != nil:
		writeProblem(c.ctx, *o.problem)
	default:
		write(c.ctx, o.status, o.body)
	}
}

func (a *API) showSchema(c *request) {
	c.ctx.SetContentType("application/schema+json")
	c.ctx.SetBody(schemaFile)
}

func (a *API) showMetrics(c *request) {
	if a.meter == nil {
		writeProblem(c.ctx, unknownPath)
		return
	}
	b, err := a.meter.Text()
	if err != nil {
		a.log.Error("metrics could not be encoded; the request was answered with status 503", "err", err)
		writeProblem(c.ctx, unavailable)
		return
	}
	c.ctx.SetContentType(metric.ContentType)
	c.ctx.SetBody(b)
}
