package front

import (
	"log/slog"
	"maps"
	"testing"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/standin"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"

	"github.com/valyala/fasthttp"
)

// still is a moment in which a stand-in for the state service takes everything.
type still struct{}

func (still) Now() loop.Micros          { return 1 }
func (still) Wall() loop.Micros         { return 1 }
func (still) Post(f func())             { f() }
func (still) After(loop.Micros, func()) {}
func (still) Go(f func())               { f() }
func (still) Do(string, string, []byte, time.Duration) store.Response {
	return store.Response{Status: 200, Body: wire.Marshal(map[string]any{"tally": 1})}
}

// A team that only other nodes' settings name, as while a new team is brought in node by
// node, is no reason to refuse its work for good: users never repeat what was answered 422.
func TestTeamThatOthersServe(t *testing.T) {
	c := store.NewClient(still{}, still{}, slog.New(slog.DiscardHandler), 100, 100, 1)
	cfg := &config.Config{}
	cfg.Cluster.Teams = []config.Team{{Name: "red"}}
	f := New(still{}, slog.New(slog.DiscardHandler), cfg, Node{
		Ready:   func() bool { return true },
		Types:   func() []wire.MachineType { return []wire.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 32}} },
		Foreign: func(team string) bool { return team == "guest" },
		Counts:  func(*job.Job) job.Counts { return job.Counts{} },
		Jobs:    job.NewRegistry(still{}, c, store.NewMirror(c, still{}, "c/"), slog.New(slog.DiscardHandler)),
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
		f.handle(&ctx)
		if got, after := ctx.Response.StatusCode(), string(ctx.Response.Header.Peek("Retry-After")); got != x.status || after != x.after {
			t.Errorf("a job of %s gets %d, Retry-After %q: want %d, %q", x.team, got, after, x.status, x.after)
		}
	}
}

// Whatever users repeat or mistake, at a node that has read nothing yet: a job that was accepted is
// told of and never refused, what cannot run or makes no sense is accepted by nobody, a job that is
// done stays done, and one that nobody submitted leaves nothing behind.
func TestOddRequests(t *testing.T) {
	state := standin.NewStateService(func() loop.Micros { return 1 })
	whole := map[string]any{"lineup": "k", "squad": "red", "play": "batch", "urgency": "low", "snaps": 3,
		"cpus": 1.0, "cards": 0.0, "ramGb": 1.0, "kit": "i", "sizeGb": 1.0, "builds": nil, "field": nil, "oneZone": false, "scatter": false,
		"loaners": true, "expectS": 1.0, "timeoutS": 0.0, "huddleS": 0.0, "whistleS": nil}
	spec := &job.Spec{Class: "k", Team: "red", Tasks: 3, CPUs: 1, MemoryGB: 1, Image: "i", AnyType: true}
	state.Put(job.KeyPrefix+"job-1", job.Record{Phase: job.Accepted, AcceptedAt: 1, Spec: spec})
	state.Put(job.KeyPrefix+"job-2", job.Record{Phase: job.Done, AcceptedAt: 1, Tasks: 3})
	state.Put(job.KeyPrefix+"job-3", job.Record{Phase: job.Cancelled, AcceptedAt: 1, Tasks: 3})
	without := func(field string) map[string]any {
		m := maps.Clone(whole)
		delete(m, field)
		return m
	}
	with := func(field string, v any) map[string]any {
		m := maps.Clone(whole)
		m[field] = v
		return m
	}
	for _, x := range []struct {
		name, id, path string
		body           map[string]any
		status         int
		standing       string
	}{
		{"the same again", "job-1", "/work", whole, 200, "pending"},
		{"again without a field", "job-1", "/work", without("cpus"), 200, "pending"},
		{"again of a wrong type", "job-1", "/work", with("snaps", "many"), 200, "pending"},
		{"again for no machine", "job-1", "/work", with("cpus", 99.0), 200, "pending"},
		{"again of an unknown team", "job-1", "/work", with("squad", "nobody"), 200, "pending"},
		{"again once it is done", "job-2", "/work", without("kit"), 200, "done"},
		{"again once it is cancelled", "job-3", "/work", with("cpus", 99.0), 200, "withdrawn"},
		{"new without a field", "job-4", "/work", without("kit"), 400, ""},
		{"new for no machine", "job-5", "/work", with("ramGb", 99.0), 422, ""},
		{"no id", "", "/work", whole, 400, ""},
		{"cancelled once it is done", "job-2", "/work/job-2/withdraw", nil, 200, "done"},
		{"cancelled again", "job-3", "/work/job-3/withdraw", nil, 200, "withdrawn"},
		{"cancelled and unknown", "job-6", "/work/job-6/withdraw", nil, 404, ""},
	} {
		c := store.NewClient(still{}, state, slog.New(slog.DiscardHandler), 100, 100, 1)
		cfg := &config.Config{}
		cfg.Cluster.Teams = []config.Team{{Name: "red"}}
		f := New(still{}, slog.New(slog.DiscardHandler), cfg, Node{
			Ready:   func() bool { return true },
			Types:   func() []wire.MachineType { return []wire.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 32}} },
			Foreign: func(string) bool { return false },
			Counts:  func(*job.Job) job.Counts { return job.Counts{} },
			Jobs:    job.NewRegistry(still{}, c, store.NewMirror(c, state, "c/"), slog.New(slog.DiscardHandler)),
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
		f.handle(&ctx)
		var got wire.Standing
		wire.Unmarshal(ctx.Response.Body(), &got)
		if s := ctx.Response.StatusCode(); s != x.status || got.State != x.standing {
			t.Errorf("%s: answered %d, %q, want %d, %q", x.name, s, got.State, x.status, x.standing)
		}
		for _, id := range []string{"job-4", "job-5", "job-6"} {
			if _, kept := state.Value(job.KeyPrefix + id); kept {
				t.Errorf("%s: %s is kept", x.name, id)
			}
		}
	}
}
