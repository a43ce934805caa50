package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cleatpick/internal/api"
	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/explain"
	"cleatpick/internal/fake"
	"cleatpick/internal/wire"

	"github.com/valyala/fasthttp"
)

// cluster is three controllers with /v1/ on loopback, connected to fakes.
type cluster struct {
	t            *testing.T
	nodes        []string // addresses
	stopNode     []context.CancelFunc
	keys         map[string]string // by role
	notReporting sync.Map          // machines that do not report
	bootBlocked  atomic.Bool       // machines that are created do not boot yet
	stop         func()
}

// runs is how jobs behave on workers: run time, and whether they fail.
var runs = map[string]fake.Job{
	"job-000001": {CPUs: 2, MemoryGB: 1, Run: 1 << 50, Tasks: 16}, // uses all capacity
	"job-000008": {CPUs: 2, MemoryGB: 1, Run: eventloop.Second, Tasks: 4, Broken: true},
	"job-000009": {CPUs: 2, MemoryGB: 1, Run: 1 << 50, Tasks: 1},
}

// newCluster starts three controllers and their fakes.
func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, keys: map[string]string{}}
	clock := eventloop.RealClock()
	state := fake.NewStateService(clock.Now)
	cloud := fake.NewCloud(wire.MachineType{Name: "m8", CPUs: 8, MemoryGB: 32, CacheGB: 9, FetchGBPerS: 1, Price: 1, SpotPrice: 0.3, BootS: 1, Zones: []string{"x", "y"}}, 2)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	deleted := sync.Map{}
	cloud.OnDeleted = func(name string) { deleted.Store(name, true) }
	c.bootBlocked.Store(true)
	cloud.OnRented = func(l wire.CloudMachine) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			report(ctx, clock, l, c.nodes, func() bool {
				_, notReporting := c.notReporting.Load(l.Name)
				return notReporting || c.bootBlocked.Load()
			},
				func() bool { _, g := deleted.Load(l.Name); return g })
		}()
	}
	stateAddr, cloudAddr := serve(t, requestsOf(state)), serve(t, requestsOf(cloud))
	var entries []config.Key
	for _, role := range []string{"read", "submit", "operate"} {
		token, k := api.NewKey("the "+role+" key", role)
		c.keys[role] = token
		entries = append(entries, k)
	}
	var cfgs []*config.Config
	for i := range 3 {
		x := onLoopback(t, fmt.Sprintf("s-%d", i), stateAddr, cloudAddr, 3)
		x.Cluster.Teams = []config.Team{{Name: "blue", CPUs: 64, CPUsMax: 64}, {Name: "red", CPUs: 0, CPUsMax: 6}}
		x.Cluster.State.RPS, x.Cluster.State.WriteRPS = 900, 600
		x.Operator.API = config.API{Enabled: true, Keys: entries}
		cfgs = append(cfgs, x)
		c.nodes = append(c.nodes, x.ClientListen)
	}
	for i, x := range cfgs {
		for k, o := range cfgs {
			if k != i {
				x.Known = append(x.Known, config.Peer{Label: o.Label, Endpoint: o.PeerListen})
			}
		}
		if err := x.Check(); err != nil {
			t.Fatal(err)
		}
		nctx, end := context.WithCancel(ctx)
		c.stopNode = append(c.stopNode, end)
		wg.Add(1)
		go func() {
			defer wg.Done()
			New(x, slog.New(slog.DiscardHandler)).Run(nctx)
		}()
	}
	c.stop = func() { stop(); wg.Wait() }
	return c
}

// report runs a machine's worker, which reports until the machine is deleted.
func report(ctx context.Context, clock eventloop.Clock, l wire.CloudMachine, nodes []string, notReporting, deleted func() bool) {
	w := fake.NewWorker(clock.Now(), 10*eventloop.Second)
	w.Name, w.Addr, w.Type, w.Zone, w.Spot, w.CPUs, w.MemoryGB = l.Name, "127.0.0.1:1", l.Type, l.Zone, l.Spot, 8, 32
	w.Job = func(id string) (fake.Job, bool) {
		if j, ok := runs[id]; ok {
			return j, true
		}
		return fake.Job{CPUs: 2, MemoryGB: 1, Run: eventloop.Second, Tasks: 100}, true
	}
	w.OnTaskStart, w.OnTaskEnd = func(string, string) {}, func(string, string) {}
	for at := 0; ctx.Err() == nil && !deleted(); {
		if !notReporting() {
			w.Tick(clock.Now())
			if !beat(clock, w, nodes[at%len(nodes)]) {
				at++
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(150 * time.Millisecond):
		}
	}
}

// do makes one request under /v1/.
func (c *cluster) do(node int, role, method, path string, body any, out any) (int, string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + c.nodes[node] + path)
	req.Header.SetMethod(method)
	if role != "" {
		req.Header.Set("Authorization", "Bearer "+c.keys[role])
	}
	switch b := body.(type) {
	case nil:
	case string:
		req.SetBodyString(b)
	default:
		raw, err := json.Marshal(b)
		if err != nil {
			c.t.Fatal(err)
		}
		req.SetBody(raw)
	}
	if err := fasthttp.DoTimeout(req, resp, 6*time.Second); err != nil {
		return 0, err.Error()
	}
	if resp.StatusCode() < 300 && out != nil {
		if err := json.Unmarshal(resp.Body(), out); err != nil {
			c.t.Fatalf("%s %s: %v in %s", method, path, err, resp.Body())
		}
	}
	return resp.StatusCode(), string(resp.Body())
}

// must repeats a request while it gets no answer or 503, and fails if the answer is not the wanted one.
func (c *cluster) must(code int, node int, method, path string, body, out any) {
	c.t.Helper()
	var got int
	var text string
	c.until(fmt.Sprintf("%s %s gives %d", method, path, code), func() bool {
		got, text = c.do(node, "operate", method, path, body, out)
		return got == code || (got != 503 && got != 0)
	})
	if got != code {
		c.t.Fatalf("%s %s gives %d, want %d: %s", method, path, got, code, text)
	}
}

// until waits for a condition.
func (c *cluster) until(what string, f func() bool) {
	c.t.Helper()
	deadline := time.After(60 * time.Second)
	for !f() {
		select {
		case <-deadline:
			c.t.Fatal("timed out: " + what)
		case <-time.After(40 * time.Millisecond):
		}
	}
}

// proposal returns a job whose tasks use 2 CPUs.
func proposal(no int, team string, tasks int64) api.Submission {
	return api.Submission{ID: fmt.Sprintf("job-%06d", no), Class: "k", Team: team, Tasks: tasks, CPUs: 2, MemoryGB: 1, Image: "i", ImageGB: 1, Spot: true, EstimateS: 1}
}

// why returns the explanation of a job by a controller that does not own it.
func (c *cluster) why(id string) *explain.Answer {
	a := new(explain.Answer)
	node := 0
	c.until("why "+id, func() bool {
		code, _ := c.do(node, "read", "GET", "/v1/jobs/"+id+"/why", nil, a)
		if code != 200 {
			node = (node + 1) % 3
			return false
		}
		if a.Owner == fmt.Sprintf("s-%d", node) {
			node = (node + 1) % 3
			*a = explain.Answer{}
			return false
		}
		return true
	})
	return a
}

// reasonsOf formats the reasons of an explanation.
func reasonsOf(a *explain.Answer) string {
	var out []string
	for _, r := range a.Reasons {
		out = append(out, fmt.Sprintf("%s/%s:%d", r.Kind, r.State, r.Tasks))
	}
	return strings.Join(out, " ")
}

// reason waits until a job's explanation has a reason of a kind for which more, if it is given, returns true.
func (c *cluster) reason(id, kind string, more func(a *explain.Answer, r *explain.Reason) bool) *explain.Answer {
	c.t.Helper()
	var last *explain.Answer
	deadline := time.After(40 * time.Second)
	for {
		last = c.why(id)
		for i := range last.Reasons {
			if r := &last.Reasons[i]; r.Kind == kind && (more == nil || more(last, r)) {
				return last
			}
		}
		select {
		case <-deadline:
			c.t.Fatalf("%s: no matching reason %s, got %s (complete %v, missing %v)", id, kind, reasonsOf(last), last.Complete, last.Missing)
		case <-time.After(40 * time.Millisecond):
		}
	}
}

// Every cause of waiting that can be produced through the interfaces, on three real controllers over real
// connections, as explained by a controller that does not own the job.
func TestExplanationsOnLoopback(t *testing.T) {
	c := newCluster(t)
	defer c.stop()

	// No machine runs yet: they were created and boot.
	c.must(201, 0, "POST", "/v1/jobs", proposal(1, "blue", 16), nil)
	c.reason("job-000001", "room", func(a *explain.Answer, r *explain.Reason) bool {
		s := r.Detail.Renting
		return r.Tasks == 16 && s != nil && s.State == "booting" && len(s.Booting) > 0 && a.Complete
	})
	c.bootBlocked.Store(false)
	c.until("everything is full", func() bool { return c.why("job-000001").Running == 16 })
	full := c.why("job-000001")
	if len(full.Reasons) != 0 || full.Status != "running" || !full.Complete {
		t.Errorf("a job whose tasks all run has the reasons %s", reasonsOf(full))
	}
	var kinds []string
	for _, s := range full.Timeline {
		kinds = append(kinds, s.Kind)
	}
	if !slices.Contains(kinds, "room") || !slices.Contains(kinds, "fetching") {
		t.Errorf("the timeline of a job that waited for capacity and for its image is %v", kinds)
	}

	// No free capacity, and the cloud refuses more machines.
	c.must(201, 1, "POST", "/v1/jobs", proposal(2, "red", 1), nil)
	c.reason("job-000002", "room", func(_ *explain.Answer, r *explain.Reason) bool {
		lacks := 0
		for _, g := range r.Detail.Machines.Groups {
			lacks += g.Lacks["cpus"]
		}
		s := r.Detail.Renting
		return r.Tasks == 1 && r.Detail.Machines.Examined == 4 && lacks == 4 && s != nil && s.State == "refused" && len(s.Refused) == 4
	})
	// Beyond the team's limit, and ranked behind the job before.
	c.must(201, 1, "POST", "/v1/jobs", proposal(3, "red", 5), nil)
	c.reason("job-000003", "teamLimit", func(_ *explain.Answer, r *explain.Reason) bool {
		return r.Tasks == 2 && r.Detail.Team.CPUsMax == config.NewLimit(6)
	})
	c.reason("job-000003", "rank", func(_ *explain.Answer, r *explain.Reason) bool {
		return r.Tasks == 1 && slices.Equal(r.BlockedBy, []string{"job-000002"})
	})
	// Blocked by five causes at the same time, which are then removed one after the other.
	p := proposal(4, "red", 5)
	p.Dependencies, p.Hold, p.HoldReason = []string{"job-000002"}, true, "an auditor looks at it"
	c.must(201, 2, "POST", "/v1/jobs", p, nil)
	all := c.reason("job-000004", "hold", func(_ *explain.Answer, r *explain.Reason) bool {
		return r.State == "held" && r.Detail.Hold.Reason == p.HoldReason && r.Detail.Hold.By == "the operate key"
	})
	if got, want := reasonsOf(all), "hold/held:5 dependency/waiting:5 teamLimit/full:2 room/behindGuarantees:5 rank/mayBeBehind:5"; got != want {
		t.Errorf("the reasons are %s, want %s", got, want)
	}
	c.must(200, 0, "POST", "/v1/jobs/job-000004/release", nil, nil)
	c.must(200, 0, "POST", "/v1/jobs/job-000002/withdraw", nil, nil)
	c.reason("job-000004", "dependency", func(a *explain.Answer, r *explain.Reason) bool {
		return r.State == "withdrawn" && !strings.Contains(reasonsOf(a), "hold/")
	})
	c.must(200, 1, "POST", "/v1/jobs/job-000004/release", nil, nil)
	c.until("the dependency is released", func() bool { return !strings.Contains(reasonsOf(c.why("job-000004")), "dependency") })
	// A gang whose tasks do not all fit at the same time.
	p = proposal(5, "blue", 3)
	p.Kind = "gang"
	c.must(201, 2, "POST", "/v1/jobs", p, nil)
	c.reason("job-000005", "gang", func(_ *explain.Answer, r *explain.Reason) bool { return r.Tasks == 3 })
	// A cordon on the whole zone that the job asks for.
	c.must(200, 2, "PUT", "/v1/cordons/all-x", api.Cordon{Zone: "x", Reason: "new racks"}, nil)
	p = proposal(6, "blue", 2)
	zone := "x"
	p.Zone = &zone
	c.must(201, 2, "POST", "/v1/jobs", p, nil)
	c.reason("job-000006", "cordon", func(a *explain.Answer, r *explain.Reason) bool {
		return r.Tasks == 2 && slices.Equal(r.BlockedBy, []string{"all-x"}) && strings.Contains(reasonsOf(a), "room/")
	})
	var machines api.Machines
	c.must(200, 1, "GET", "/v1/machines?shut=cordon", nil, &machines)
	if len(machines.Machines) != 2 || machines.Machines[0].Cordons[0] != "all-x" {
		t.Errorf("the machines that the cordon blocks are %v", machines.Machines)
	}
	// The capacity is freed: the job waits only for the cordon, and completes after its removal.
	for _, id := range []string{"job-000001", "job-000003", "job-000004", "job-000005"} {
		c.must(200, 0, "POST", "/v1/jobs/"+id+"/withdraw", nil, nil)
	}
	c.until("only the cordon is left", func() bool {
		a := c.why("job-000006")
		return len(a.Reasons) == 1 && a.Reasons[0].Kind == "cordon"
	})
	c.must(200, 0, "DELETE", "/v1/cordons/all-x", nil, nil)
	c.until("it is done", func() bool {
		var j api.Job
		code, _ := c.do(1, "read", "GET", "/v1/jobs/job-000006", nil, &j)
		return code == 200 && j.State == "done" && j.Done == 2
	})
	// A job that fails wherever it runs.
	p = proposal(8, "blue", 4)
	c.must(201, 2, "POST", "/v1/jobs", p, nil)
	// The job backs off after each group of failures, on however few machines; no machine is blocked because of it.
	c.until("its failures are told", func() bool {
		for _, r := range c.why("job-000008").Reasons {
			switch r.Kind {
			case "backOff", "probe":
				// It is judged broken after it failed on three machines; fewer of them may be left by now.
				x := r.Detail.Failures
				if (x.Verdict == "broken") != (x.Machines >= 3) || x.Verdict != "broken" && x.Verdict != "doubted" {
					t.Errorf("after failures on %d machines the job is judged %s", x.Machines, x.Verdict)
				}
				if r.Kind == "backOff" {
					return x.ConsecutiveFailures >= 2 && r.Until != nil && r.Estimate != nil
				}
			}
		}
		return false
	})
	c.must(200, 0, "POST", "/v1/jobs/job-000008/withdraw", nil, nil)
	// The reports of a machine with a running task stop.
	c.must(201, 2, "POST", "/v1/jobs", proposal(9, "blue", 1), nil)
	c.until("it runs", func() bool { return c.why("job-000009").Running == 1 })
	c.must(200, 1, "GET", "/v1/machines?limit=500", nil, &machines)
	for _, m := range machines.Machines {
		if m.Tasks > 0 {
			c.notReporting.Store(m.Name, true)
		}
	}
	c.reason("job-000009", "unproven", func(_ *explain.Answer, r *explain.Reason) bool {
		return r.State == "silent" && len(r.Detail.On) == 1 && r.Detail.On[0].ConfirmedBy != ""
	})

	t.Run("holds survive an owner", func(t *testing.T) {
		p := proposal(10, "red", 1)
		p.Hold, p.HoldReason = true, "kept"
		c.must(201, 2, "POST", "/v1/jobs", p, nil)
		explanation := c.reason("job-000010", "hold", func(a *explain.Answer, _ *explain.Reason) bool { return len(a.Timeline) > 0 })
		owner, before := explanation.Owner, explanation.Timeline
		c.until("the peers know the timeline", func() bool {
			var q api.Jobs
			n := 0
			for i := range 3 {
				if code, _ := c.do(i, "read", "GET", "/v1/jobs?waitingFor=hold", nil, &q); code == 200 && len(q.Jobs) == 1 {
					n++
				}
			}
			return n == 3
		})
		dead := int(owner[2] - '0')
		c.stopNode[dead]()
		ask := (dead + 1) % 3
		var a explain.Answer
		c.until("another owner explains it", func() bool {
			code, _ := c.do(ask, "read", "GET", "/v1/jobs/job-000010/why", nil, &a)
			if code == 200 && !a.Complete && len(a.Missing) == 0 {
				t.Error("an incomplete explanation does not say what is missing")
			}
			return code == 200 && a.Complete && a.Owner != owner && len(a.Timeline) > 0 && strings.Contains(reasonsOf(&a), "hold/held:1")
		})
		// The peers knew the timeline, so that the hold did not begin again with the next owner.
		if i := slices.IndexFunc(a.Timeline, func(s explain.Interval) bool { return s.Kind == "hold" }); i < 0 || a.Timeline[i].From != before[0].From {
			t.Errorf("the timeline was %v, and is %v at the next owner", before, a.Timeline)
		}
	})
}
