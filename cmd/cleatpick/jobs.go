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

// send sends one request and prints the answer, as JSON or with show.
func send[T any](flags *apiFlags, method, path string, body any, show func(w io.Writer, v *T)) error {
	c, err := flags.client()
	if err != nil {
		return err
	}
	var raw json.RawMessage
	if err := c.Call(method, path, body, &raw); err != nil {
		return err
	}
	return print(flags, raw, show)
}

// print prints an answer, as JSON or with show.
func print[T any](flags *apiFlags, raw json.RawMessage, show func(w io.Writer, v *T)) error {
	if flags.JSON {
		fmt.Println(string(raw))
		return nil
	}
	v := new(T)
	if err := json.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("cannot decode the answer: %w", err)
	}
	show(os.Stdout, v)
	return nil
}

type submitCmd struct {
	apiFlags
	File        string   `arg:"" optional:"" help:"File with the job in JSON, as for POST /v1/jobs; - for standard input. Flags override its fields."`
	ID          string   `help:"The job's id; generated if absent." placeholder:"JOB"`
	Team        string   `help:"The job's team."`
	Class       string   `help:"The job's class."`
	Tasks       int64    `help:"Number of tasks."`
	CPUs        float64  `name:"cpus" help:"CPUs of each task."`
	Memory      float64  `help:"Memory of each task in GB."`
	Image       string   `help:"The image that the tasks need on their machine."`
	Priority    string   `help:"The job's priority: critical, high, standard or low."`
	Spot        bool     `help:"Allow spot machines."`
	Estimate    float64  `help:"Expected run time of a task, in seconds."`
	After       []string `help:"Jobs that must be done before this one starts." placeholder:"JOB"`
	OnWithdrawn string   `help:"What happens when one of those jobs is cancelled: hold, release or withdraw."`
	Hold        bool     `help:"Submit the job on hold."`
	Reason      string   `help:"Reason of the hold."`
}

// Run submits the job and prints it as the controller accepted it.
func (s *submitCmd) Run() error {
	var p api.Submission
	if s.File != "" {
		in := io.Reader(os.Stdin)
		if s.File != "-" {
			f, err := os.Open(s.File)
			if err != nil {
				return usageError{err}
			}
			defer f.Close()
			in = f
		}
		d := json.NewDecoder(in)
		d.DisallowUnknownFields()
		if err := d.Decode(&p); err != nil {
			return usageError{fmt.Errorf("%s: %w", s.File, err)}
		}
	}
	override(&p.ID, s.ID)
	override(&p.Team, s.Team)
	override(&p.Class, s.Class)
	override(&p.Tasks, s.Tasks)
	override(&p.CPUs, s.CPUs)
	override(&p.MemoryGB, s.Memory)
	override(&p.Image, s.Image)
	override(&p.Priority, s.Priority)
	override(&p.EstimateS, s.Estimate)
	override(&p.OnCancelled, s.OnWithdrawn)
	override(&p.HoldReason, s.Reason)
	override(&p.Spot, s.Spot)
	override(&p.Hold, s.Hold)
	if len(s.After) > 0 {
		p.Dependencies = s.After
	}
	if p.ID == "" {
		p.ID = api.NewJobID()
	}
	return send(&s.apiFlags, "POST", "/v1/jobs", p, showJob)
}

// override replaces a value read from the file by that of a flag, if the flag is given.
func override[T comparable](value *T, flag T) {
	var zero T
	if flag != zero {
		*value = flag
	}
}

type jobsCmd struct {
	apiFlags
	Team       string `help:"Only jobs of this team."`
	Class      string `help:"Only jobs of this class."`
	State      string `help:"Only jobs in this state: pending, running, done, withdrawn, unfinished or any." default:"unfinished"`
	WaitingFor string `help:"Only jobs with tasks that wait for this cause, such as room or hold."`
	After      string `help:"Only jobs with an id after this one." placeholder:"JOB"`
	Limit      int    `help:"Maximum number of jobs to list." default:"100"`
}

// Run lists jobs.
func (s *jobsCmd) Run() error {
	q := url.Values{"team": {s.Team}, "class": {s.Class}, "state": {s.State}, "waitingFor": {s.WaitingFor}, "after": {s.After}, "limit": {strconv.Itoa(s.Limit)}}
	return send(&s.apiFlags, "GET", "/v1/jobs?"+encodeQuery(q), nil, showJobs)
}

// encodeQuery encodes the parameters that are not empty.
func encodeQuery(q url.Values) string {
	for k, v := range q {
		if v[0] == "" {
			delete(q, k)
		}
	}
	return q.Encode()
}

// jobArgument holds the flags of the commands that take one job.
type jobArgument struct {
	apiFlags
	Job string `arg:"" help:"The job's id."`
}

// path returns the path of the job under /v1/, followed by rest.
func (a *jobArgument) path(rest string) string { return "/v1/jobs/" + url.PathEscape(a.Job) + rest }

type holdCmd struct {
	jobArgument
	Reason string `help:"Reason, shown to users who ask." required:""`
	Until  string `help:"When the hold ends by itself: a time (RFC 3339) or a duration such as 90m." placeholder:"TIME"`
	Wait   bool   `help:"Wait until the hold is in force: until no further task of the job can start."`
}

// parseUntil parses a time, or a duration from now.
func parseUntil(s string) (*explain.Time, error) {
	if s == "" {
		return nil, nil
	}
	t, err := time.Parse(time.RFC3339, s)
	if d, bad := time.ParseDuration(s); bad == nil {
		t, err = time.Now().Add(d), nil
	}
	if err != nil {
		return nil, usageError{fmt.Errorf("--until: must be a time (RFC 3339) or a duration, got %q", s)}
	}
	x := explain.Time(t.UnixMicro())
	return &x, nil
}

// Run holds the job.
func (s *holdCmd) Run() error {
	end, err := parseUntil(s.Until)
	if err != nil {
		return err
	}
	body := map[string]any{"reason": s.Reason}
	if end != nil {
		body["until"] = end
	}
	if err := send(&s.apiFlags, "POST", s.path("/hold"), body, showJob); err != nil || !s.Wait {
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

type releaseCmd struct{ jobArgument }

// Run releases the job.
func (s *releaseCmd) Run() error { return send(&s.apiFlags, "POST", s.path("/release"), nil, showJob) }

type withdrawCmd struct{ jobArgument }

// Run cancels the job.
func (s *withdrawCmd) Run() error {
	return send(&s.apiFlags, "POST", s.path("/withdraw"), nil, showJob)
}

type explainCmd struct {
	jobArgument
	Watch bool `help:"Keep running and print each change of the reasons."`
}

// Run explains the job.
func (s *explainCmd) Run() error {
	if !s.Watch {
		return send(&s.apiFlags, "GET", s.path("/why"), nil, showWhy)
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
			return fmt.Errorf("cannot decode the answer: %w", err)
		}
		var now strings.Builder
		fmt.Fprint(&now, a.Status, a.Running, a.Done)
		for _, r := range a.Reasons {
			fmt.Fprint(&now, " ", r.Kind, r.State, r.Tasks)
		}
		if now.String() != last {
			last = now.String()
			if err := print(&s.apiFlags, raw, showWhy); err != nil {
				return err
			}
		}
		if a.Status == "done" || a.Status == "withdrawn" {
			return nil
		}
		time.Sleep(time.Second)
	}
}

type queueCmd struct{ apiFlags }

// Run shows why tasks wait.
func (s *queueCmd) Run() error { return send(&s.apiFlags, "GET", "/v1/queue", nil, showQueue) }
