package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cleatpick/internal/wire"

	"github.com/valyala/fasthttp"
)

const (
	userSockets  = 1000
	submitWithin = 5 * time.Second
	pollWithin   = 2 * time.Second
	userRetry    = time.Second
	memoryPerCPU = 2.0
	imageGB      = 0.5
	images       = 20
)

// jobSpec is a job as its user asks for it.
type jobSpec struct {
	id       string
	team     string
	urgent   bool
	tasks    int
	cpus     float64
	memoryGB float64
	runS     float64
	image    string
}

// users submit, poll and cancel.
type users struct {
	ctx      context.Context
	settings *Settings
	referee  *referee
	nodes    []*controller
	client   *fasthttp.Client
	traffic  Traffic
	running  sync.WaitGroup

	mu       sync.Mutex
	statuses map[int]int
}

func newUsers(ctx context.Context, s *Settings, r *referee, nodes []*controller) *users {
	return &users{ctx: ctx, settings: s, referee: r, nodes: nodes, statuses: map[int]int{},
		client: &fasthttp.Client{MaxConnsPerHost: userSockets, MaxIdleConnDuration: 10 * time.Second, NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1}}
}

// arrive submits jobs at the settings' rate until the context ends.
func (u *users) arrive(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	parts := teamParts(u.settings)
	for no := 0; ; no++ {
		gap := time.Duration(r.ExpFloat64() / u.settings.Load.JobsPerS * float64(time.Second))
		if !sleep(u.ctx, gap) {
			return
		}
		spec := u.draw(r, parts, no)
		cancelAfter := time.Duration(0)
		if r.Float64() < u.settings.Load.Cancelled {
			cancelAfter = time.Duration((1 + 2*r.Float64()*u.settings.Load.RunS) * float64(time.Second))
		}
		u.running.Go(func() { u.follow(spec, cancelAfter) })
	}
}

// draw makes a job: its number of tasks lies between half and three halves of the average.
func (u *users) draw(r *rand.Rand, parts []float64, no int) jobSpec {
	l := &u.settings.Load
	team, at := 0, r.Float64()
	for team < len(parts)-1 && at > parts[team] {
		at -= parts[team]
		team++
	}
	return jobSpec{id: fmt.Sprintf("job-%06d", no), team: teamName(team), urgent: r.Float64() < l.UrgentShare,
		tasks: max(1, l.Tasks/2+r.IntN(l.Tasks+1)), cpus: l.TaskCPUs, memoryGB: l.TaskCPUs * memoryPerCPU,
		runS: l.RunS * (0.5 + r.Float64()), image: fmt.Sprintf("image-%02d", r.IntN(images))}
}

func (s *jobSpec) work() wire.Submission {
	kind, priority, none, no, tasks, size := "batch", "standard", 0.0, false, int64(s.tasks), imageGB
	if s.urgent {
		priority = "high"
	}
	yes := true
	return wire.Submission{ID: &s.id, Class: &priority, Team: &s.team, Kind: &kind, Priority: &priority, Tasks: &tasks, CPUs: &s.cpus, GPUs: &none,
		MemoryGB: &s.memoryGB, Image: &s.image, ImageGB: &size, OneZone: &no, Spread: &no, Spot: &yes, EstimateS: &s.runS, CheckpointS: &none, SaveS: &none}
}

// follow is the life of a job's user.
func (u *users) follow(spec jobSpec, cancelAfter time.Duration) {
	u.referee.submitting(spec, time.Now())
	body := wire.Marshal(spec.work())
	for {
		status, _ := u.ask(spec.id, "POST", "/work", body, submitWithin)
		if status == 200 || status == 201 {
			break
		}
		if status == 400 || status == 422 || !sleep(u.ctx, userRetry) {
			return
		}
	}
	cancelAt := time.Now().Add(cancelAfter)
	for sleep(u.ctx, time.Duration(u.settings.Load.PollS*(0.8+0.4*rand.Float64())*float64(time.Second))) {
		method, path := "GET", "/work/"+spec.id
		if cancelAfter > 0 && time.Now().After(cancelAt) {
			method, path = "POST", path+"/withdraw"
		}
		status, state := u.ask(spec.id, method, path, nil, pollWithin)
		u.referee.polled(status)
		if state == "done" || state == "withdrawn" {
			return
		}
	}
}

// ask sends a request to any controller and hands its answer to the referee.
func (u *users) ask(id, method, path string, body []byte, within time.Duration) (status int, state string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + u.nodes[rand.IntN(len(u.nodes))].users + path)
	req.Header.SetMethod(method)
	req.SetBodyRaw(body)
	if u.client.DoTimeout(req, resp, within) == nil {
		status = resp.StatusCode()
	}
	u.traffic.count(len(body), len(resp.Body()))
	u.mu.Lock()
	u.statuses[status]++
	u.mu.Unlock()
	var answer wire.JobStatus
	if status == 200 || status == 201 {
		wire.Unmarshal(resp.Body(), &answer)
	}
	u.referee.told(id, status, answer.State, time.Now())
	return status, answer.State
}
