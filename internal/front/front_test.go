package front

import (
	"log/slog"
	"testing"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
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
		Book:    job.NewBook(still{}, c, store.NewMirror(c, still{}, "c/"), slog.New(slog.DiscardHandler), 16),
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
