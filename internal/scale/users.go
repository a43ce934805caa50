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
	maxUserConns     = 1000 // most connections to each controller
	submitTimeout    = 5 * time.Second
	pollTimeout      = 2 * time.Second
	submitRetryDelay = time.Second
	memoryGBPerCPU   = 2.0 // GB
	imageGB          = 0.5
	imageCount       = 20 // number of different images
)

// jobSpec is the description of a job.
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

// users are the simulated users. There is one user per job, who submits it, polls its state and perhaps cancels it.
type users struct {
	ctx         context.Context
	settings    *Settings
	checker     *invariantChecker
	controllers []*controller
	client      *fasthttp.Client
	traffic     Traffic
	goroutines  sync.WaitGroup

	mu       sync.Mutex
	statuses map[int]int // answers by HTTP status; 0: no answer
}

// newUsers returns users that submit no jobs yet.
func newUsers(ctx context.Context, s *Settings, checker *invariantChecker, controllers []*controller) *users {
	return &users{ctx: ctx, settings: s, checker: checker, controllers: controllers, statuses: map[int]int{},
		client: &fasthttp.Client{MaxConnsPerHost: maxUserConns, MaxIdleConnDuration: 10 * time.Second, NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1}}
}

// submitJobs submits jobs at the rate in the settings, as a Poisson process, until the context ends.
func (u *users) submitJobs(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	shares := teamShares(u.settings)
	for number := 0; ; number++ {
		gap := time.Duration(r.ExpFloat64() / u.settings.Load.JobsPerS * float64(time.Second))
		if !sleep(u.ctx, gap) {
			return
		}
		spec := u.drawJob(r, shares, number)
		cancelAfter := time.Duration(0)
		if r.Float64() < u.settings.Load.CancelledShare {
			cancelAfter = time.Duration((1 + 2*r.Float64()*u.settings.Load.RunS) * float64(time.Second))
		}
		u.goroutines.Go(func() { u.runUser(spec, cancelAfter) })
	}
}

// drawJob returns a random job. Its number of tasks and its run time are between 0.5 and 1.5 times their averages.
func (u *users) drawJob(r *rand.Rand, shares []float64, number int) jobSpec {
	l := &u.settings.Load
	team, at := 0, r.Float64()
	for team < len(shares)-1 && at > shares[team] {
		at -= shares[team]
		team++
	}
	return jobSpec{id: fmt.Sprintf("job-%06d", number), team: teamName(team), urgent: r.Float64() < l.UrgentShare,
		tasks: max(1, l.Tasks/2+r.IntN(l.Tasks+1)), cpus: l.TaskCPUs, memoryGB: l.TaskCPUs * memoryGBPerCPU,
		runS: l.RunS * (0.5 + r.Float64()), image: fmt.Sprintf("image-%02d", r.IntN(imageCount))}
}

// submission returns the submission of the job.
func (s *jobSpec) submission() wire.Submission {
	kind, priority, none, no, tasks, size := "batch", "standard", 0.0, false, int64(s.tasks), imageGB
	if s.urgent {
		priority = "high"
	}
	yes := true
	return wire.Submission{ID: &s.id, Class: &priority, Team: &s.team, Kind: &kind, Priority: &priority, Tasks: &tasks, CPUs: &s.cpus, GPUs: &none,
		MemoryGB: &s.memoryGB, Image: &s.image, ImageGB: &size, OneZone: &no, Spread: &no, Spot: &yes, EstimateS: &s.runS, CheckpointS: &none, SaveS: &none}
}

// runUser acts as the user of a job: it submits the job, again after a failure other than 400 and 422, and then
// polls it until it is done or cancelled. If cancelAfter is not 0, it requests the cancellation from then on.
func (u *users) runUser(spec jobSpec, cancelAfter time.Duration) {
	u.checker.jobSubmitted(spec, time.Now())
	body := wire.Marshal(spec.submission())
	for {
		status, _ := u.send(spec.id, "POST", "/work", body, submitTimeout)
		if status == 200 || status == 201 {
			break
		}
		if status == 400 || status == 422 || !sleep(u.ctx, submitRetryDelay) {
			return
		}
	}
	cancelAt := time.Now().Add(cancelAfter)
	for sleep(u.ctx, time.Duration(u.settings.Load.PollS*(0.8+0.4*rand.Float64())*float64(time.Second))) {
		method, path := "GET", "/work/"+spec.id
		if cancelAfter > 0 && time.Now().After(cancelAt) {
			method, path = "POST", path+"/withdraw"
		}
		status, state := u.send(spec.id, method, path, nil, pollTimeout)
		u.checker.pollAnswered(status)
		if state == "done" || state == "withdrawn" {
			return
		}
	}
}

// send sends a request to a random controller and passes the answer to the invariant checker. The status is 0 if there
// is no answer within the given time.
func (u *users) send(id, method, path string, body []byte, within time.Duration) (status int, state string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + u.controllers[rand.IntN(len(u.controllers))].clientAddr + path)
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
	u.checker.jobAnswered(id, status, answer.State, time.Now())
	return status, answer.State
}
