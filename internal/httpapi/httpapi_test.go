package httpapi

import (
	"log/slog"
	"maps"
	"testing"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/fake"
	"cleatpick/internal/job"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"

	"github.com/valyala/fasthttp"
)

// immediate is a runner that calls posted functions at once and whose time does not advance. It is also a connection to a
// state service that accepts every request.
type immediate struct{}

func (immediate) Now() eventloop.Micros          { return 1 }
func (immediate) Wall() eventloop.Micros         { return 1 }
func (immediate) Post(f func())                  { f() }
func (immediate) After(eventloop.Micros, func()) {}
func (immediate) Go(f func())                    { f() }
func (immediate) Do(string, string, []byte, time.Duration) store.Response {
	return store.Response{Status: 200, Body: wire.Marshal(map[string]any{"tally": 1})}
}

// While a team is being added to the settings of one controller after another, some controllers do not know it. Their
// answer to a submission for it must be 503 with Retry-After: users never repeat a submission that was answered with 422.
func TestSubmissionForTeamServedByOthers(t *testing.T) {
	c := store.NewClient(immediate{}, immediate{}, slog.New(slog.DiscardHandler), 100, 100, 1)
	cfg := &config.Config{}
	cfg.Cluster.Teams = []config.Team{{Name: "red"}}
	server := New(immediate{}, slog.New(slog.DiscardHandler), cfg, Node{
		Ready:   func() bool { return true },
		Types:   func() []wire.MachineType { return []wire.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 32}} },
		Foreign: func(team string) bool { return team == "guest" },
		Counts:  func(*job.Job) job.Counts { return job.Counts{} },
		Jobs:    job.NewRegistry(immediate{}, c, store.NewMirror(c, immediate{}, "c/"), slog.New(slog.DiscardHandler)),
	})
	for _, x := range []struct {
		id, team string
		status   int
		after    string
	}{{"job-1", "red", 201, ""}, {"job-2", "guest", 503, "1"}, {"job-3", "nobody", 422, ""}} {
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.SetMethod("POST")
		ctx.Request.SetRequestURI("/work")
		ctx.Request.SetBody(wire.Marshal(map[string]any{"nameId": x.id, "lineup": "k", "squad": x.team, "play": "batch", "urgency": "low", "snaps": 3,
			"cpus": 1.0, "cards": 0.0, "ramGb": 1.0, "kit": "i", "sizeGb": 1.0, "builds": nil, "field": nil, "oneZone": false, "scatter": false,
			"loaners": true, "expectS": 1.0, "timeoutS": 0.0, "huddleS": 0.0, "whistleS": nil}))
		server.handle(&ctx)
		if got, after := ctx.Response.StatusCode(), string(ctx.Response.Header.Peek("Retry-After")); got != x.status || after != x.after {
			t.Errorf("submission for team %s: status %d, Retry-After %q, want %d, %q", x.team, got, after, x.status, x.after)
		}
	}
}

// Repeated and invalid requests at a controller that has not read any job record yet. A repeated submission of an
// accepted job is answered with its state and never refused, a job that cannot run or whose body is invalid is not
// accepted, a done job stays done, and cancelling an unknown job stores nothing.
func TestRepeatedAndInvalidRequests(t *testing.T) {
	state := fake.NewStateService(func() eventloop.Micros { return 1 })
	complete := map[string]any{"lineup": "k", "squad": "red", "play": "batch", "urgency": "low", "snaps": 3,
		"cpus": 1.0, "cards": 0.0, "ramGb": 1.0, "kit": "i", "sizeGb": 1.0, "builds": nil, "field": nil, "oneZone": false, "scatter": false,
		"loaners": true, "expectS": 1.0, "timeoutS": 0.0, "huddleS": 0.0, "whistleS": nil}
	spec := &job.Spec{Class: "k", Team: "red", Tasks: 3, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true}
	state.Put(job.KeyPrefix+"job-1", job.Record{Phase: job.Accepted, AcceptedAt: 1, Spec: spec})
	state.Put(job.KeyPrefix+"job-2", job.Record{Phase: job.Done, AcceptedAt: 1, Tasks: 3})
	state.Put(job.KeyPrefix+"job-3", job.Record{Phase: job.Cancelled, AcceptedAt: 1, Tasks: 3})
	without := func(field string) map[string]any {
		m := maps.Clone(complete)
		delete(m, field)
		return m
	}
	with := func(field string, v any) map[string]any {
		m := maps.Clone(complete)
		m[field] = v
		return m
	}
	for _, x := range []struct {
		name, id, path string
		body           map[string]any
		status         int
		wantState      string
	}{
		{"repeated", "job-1", "/work", complete, 200, "pending"},
		{"repeated without a field", "job-1", "/work", without("cpus"), 200, "pending"},
		{"repeated with a field of a wrong type", "job-1", "/work", with("snaps", "many"), 200, "pending"},
		{"repeated with more CPUs than any machine has", "job-1", "/work", with("cpus", 99.0), 200, "pending"},
		{"repeated with an unknown team", "job-1", "/work", with("squad", "nobody"), 200, "pending"},
		{"repeated after the job is done", "job-2", "/work", without("kit"), 200, "done"},
		{"repeated after the job is cancelled", "job-3", "/work", with("cpus", 99.0), 200, "withdrawn"},
		{"new without a field", "job-4", "/work", without("kit"), 400, ""},
		{"new with more memory than any machine has", "job-5", "/work", with("ramGb", 99.0), 422, ""},
		{"new without an id", "", "/work", complete, 400, ""},
		{"cancelled after the job is done", "job-2", "/work/job-2/withdraw", nil, 200, "done"},
		{"cancelled again", "job-3", "/work/job-3/withdraw", nil, 200, "withdrawn"},
		{"cancelled though unknown", "job-6", "/work/job-6/withdraw", nil, 404, ""},
	} {
		c := store.NewClient(immediate{}, state, slog.New(slog.DiscardHandler), 100, 100, 1)
		cfg := &config.Config{}
		cfg.Cluster.Teams = []config.Team{{Name: "red"}}
		server := New(immediate{}, slog.New(slog.DiscardHandler), cfg, Node{
			Ready:   func() bool { return true },
			Types:   func() []wire.MachineType { return []wire.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 32}} },
			Foreign: func(string) bool { return false },
			Counts:  func(*job.Job) job.Counts { return job.Counts{} },
			Jobs:    job.NewRegistry(immediate{}, c, store.NewMirror(c, state, "c/"), slog.New(slog.DiscardHandler)),
		})
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.SetMethod("POST")
		ctx.Request.SetRequestURI(x.path)
		if x.body != nil {
			body := maps.Clone(x.body)
			if x.id != "" {
				body["nameId"] = x.id
			}
			ctx.Request.SetBody(wire.Marshal(body))
		}
		server.handle(&ctx)
		var got wire.JobStatus
		wire.Unmarshal(ctx.Response.Body(), &got)
		if s := ctx.Response.StatusCode(); s != x.status || got.State != x.wantState {
			t.Errorf("%s: status %d, state %q, want %d, %q", x.name, s, got.State, x.status, x.wantState)
		}
		for _, id := range []string{"job-4", "job-5", "job-6"} {
			if _, kept := state.Value(job.KeyPrefix + id); kept {
				t.Errorf("%s: record of %s is stored, want none", x.name, id)
			}
		}
	}
}
