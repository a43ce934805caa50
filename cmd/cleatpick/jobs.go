package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"cleatpick/internal/api"
	"cleatpick/internal/explain"
)

// call makes one call and prints its answer, as JSON or by show.
func call[T any](r *remote, method, path string, body any, show func(w io.Writer, v *T)) error {
	c, err := r.client()
	if err != nil {
		return err
	}
	var raw json.RawMessage
	if err := c.Call(method, path, body, &raw); err != nil {
		return err
	}
	return print(r, raw, show)
}

func print[T any](r *remote, raw json.RawMessage, show func(w io.Writer, v *T)) error {
	if r.JSON {
		fmt.Println(string(raw))
		return nil
	}
	v := new(T)
	if err := json.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("the answer cannot be read: %w", err)
	}
	show(os.Stdout, v)
	return nil
}

type submitCmd struct {
	remote
	File        string   `arg:"" optional:"" help:"A file with the job in JSON, as POST /v1/jobs takes it; - for standard input. Flags go before it."`
	ID          string   `help:"The job's id; absent: one is drawn." placeholder:"JOB"`
	Team        string   `help:"Its team."`
	Class       string   `help:"Its class."`
	Tasks       int64    `help:"How many tasks."`
	CPUs        float64  `name:"cpus" help:"CPUs of each task."`
	Memory      float64  `help:"Memory of each task in GB."`
	Image       string   `help:"The image that its machines need."`
	Priority    string   `help:"critical, high, standard or low."`
	Spot        bool     `help:"It may run on spot machines."`
	Estimate    float64  `help:"Run time expected of a task, in seconds."`
	After       []string `help:"Jobs that must be done first." placeholder:"JOB"`
	OnWithdrawn string   `help:"hold, release or withdraw: what happens when one of those is withdrawn."`
	Hold        bool     `help:"Submit it held."`
	Reason      string   `help:"Why it is held."`
}

// Run submits the job and prints it as accepted.
func (s *submitCmd) Run() error {
	var p api.Submission
	if s.File != "" {
		in := io.Reader(os.Stdin)
		if s.File != "-" {
			f, err := os.Open(s.File)
			if err != nil {
				return usage{err}
			}
			defer f.Close()
			in = f
		}
		d := json.NewDecoder(in)
		d.DisallowUnknownFields()
		if err := d.Decode(&p); err != nil {
			return usage{fmt.Errorf("%s: %w", s.File, err)}
		}
	}
	set(&p.ID, s.ID)
	set(&p.Team, s.Team)
	set(&p.Class, s.Class)
	set(&p.Tasks, s.Tasks)
	set(&p.CPUs, s.CPUs)
	set(&p.MemoryGB, s.Memory)
	set(&p.Image, s.Image)
	set(&p.Priority, s.Priority)
	set(&p.EstimateS, s.Estimate)
	set(&p.OnCancelled, s.OnWithdrawn)
	set(&p.HoldReason, s.Reason)
	set(&p.Spot, s.Spot)
	set(&p.Hold, s.Hold)
	if len(s.After) > 0 {
		p.Dependencies = s.After
	}
	if p.ID == "" {
		p.ID = api.NewJobID()
	}
	return call(&s.remote, "POST", "/v1/jobs", p, showJob)
}

// set takes a flag that was given in the place of what a file says.
func set[T comparable](to *T, flag T) {
	var none T
	if flag != none {
		*to = flag
	}
}

type jobsCmd struct {
	remote
	Team       string `help:"Only of this team."`
	Class      string `help:"Only of this class."`
	State      string `help:"pending, running, done, withdrawn, unfinished or any." default:"unfinished"`
	WaitingFor string `help:"Only those that wait for this cause, such as room or hold."`
	After      string `help:"Only those behind this id." placeholder:"JOB"`
	Limit      int    `help:"At most so many." default:"100"`
}

// Run lists jobs.
func (s *jobsCmd) Run() error {
	q := url.Values{"team": {s.Team}, "class": {s.Class}, "state": {s.State}, "waitingFor": {s.WaitingFor}, "after": {s.After}, "limit": {strconv.Itoa(s.Limit)}}
	return call(&s.remote, "GET", "/v1/jobs?"+query(q), nil, showJobs)
}

func query(q url.Values) string {
	for k, v := range q {
		if v[0] == "" {
			delete(q, k)
		}
	}
	return q.Encode()
}

type one struct {
	remote
	Job string `arg:"" help:"The job's id."`
}

func (o *one) path(rest string) string { return "/v1/jobs/" + url.PathEscape(o.Job) + rest }

type holdCmd struct {
	one
	Reason string `help:"Why, for those who ask." required:""`
	Until  string `help:"When it ends by itself: a time (RFC 3339), or a duration such as 90m." placeholder:"TIME"`
	Wait   bool   `help:"Wait until it is held: until no task of the job can begin any more."`
}

// until reads a time, or a duration from now.
func until(s string) (*explain.Time, error) {
	if s == "" {
		return nil, nil
	}
	t, err := time.Parse(time.RFC3339, s)
	if d, bad := time.ParseDuration(s); bad == nil {
		t, err = time.Now().Add(d), nil
	}
	if err != nil {
		return nil, usage{fmt.Errorf("--until: %q is neither a time nor a duration", s)}
	}
	x := explain.Time(t.UnixMicro())
	return &x, nil
}

// Run holds the job.
func (s *holdCmd) Run() error {
	end, err := until(s.Until)
	if err != nil {
		return err
	}
	body := map[string]any{"reason": s.Reason}
	if end != nil {
		body["until"] = end
	}
	if err := call(&s.remote, "POST", s.path("/hold"), body, showJob); err != nil || !s.Wait {
		return err
	}
	c, err := s.client()
	if err != nil {
		return err
	}
	for {
		var j api.Job
		if err := c.Call("GET", s.path(""), nil, &j); err != nil {
			return err
		}
		if j.Hold.State != "settling" {
			fmt.Println(j.ID, "hold:", j.Hold.State)
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
}

type releaseCmd struct{ one }

// Run releases the job.
func (s *releaseCmd) Run() error { return call(&s.remote, "POST", s.path("/release"), nil, showJob) }

type withdrawCmd struct{ one }

// Run withdraws the job.
func (s *withdrawCmd) Run() error { return call(&s.remote, "POST", s.path("/withdraw"), nil, showJob) }

type explainCmd struct {
	one
	Watch bool `help:"Go on, and print each change of the causes."`
}

// Run explains the job.
func (s *explainCmd) Run() error {
	if !s.Watch {
		return call(&s.remote, "GET", s.path("/why"), nil, showWhy)
	}
	c, err := s.client()
	if err != nil {
		return err
	}
	last := ""
	for {
		var raw json.RawMessage
		if err := c.Call("GET", s.path("/why"), nil, &raw); err != nil {
			return err
		}
		var a explain.Answer
		if err := json.Unmarshal(raw, &a); err != nil {
			return fmt.Errorf("the answer cannot be read: %w", err)
		}
		var now strings.Builder
		fmt.Fprint(&now, a.Status, a.Running, a.Done)
		for _, r := range a.Reasons {
			fmt.Fprint(&now, " ", r.Kind, r.State, r.Tasks)
		}
		if now.String() != last {
			last = now.String()
			if err := print(&s.remote, raw, showWhy); err != nil {
				return err
			}
		}
		if a.Status == "done" || a.Status == "withdrawn" {
			return nil
		}
		time.Sleep(time.Second)
	}
}

type queueCmd struct{ remote }

// Run tells why work waits.
func (s *queueCmd) Run() error { return call(&s.remote, "GET", "/v1/queue", nil, showQueue) }
