package api

import (
	"slices"

	"cleatpick/internal/eventloop"
	"cleatpick/internal/explain"
	"cleatpick/internal/job"
	"cleatpick/internal/wire"
)

// Submission is the body of a job submission. The schema has the allowed values and defaults.
type Submission struct {
	ID           string        `json:"id"`
	Class        string        `json:"class"`
	Team         string        `json:"team"`
	Kind         string        `json:"kind,omitempty"`
	Priority     string        `json:"priority,omitempty"`
	Tasks        int64         `json:"tasks"`
	CPUs         float64       `json:"cpus"`
	GPUs         float64       `json:"gpus,omitempty"`
	MemoryGB     float64       `json:"memoryGb"`
	Image        string        `json:"image"`
	ImageGB      float64       `json:"imageGb,omitempty"`
	Types        []string      `json:"types,omitempty"`
	Zone         *string       `json:"zone,omitempty"`
	OneZone      bool          `json:"oneZone,omitempty"`
	Spread       bool          `json:"scatter,omitempty"`
	Spot         bool          `json:"spot,omitempty"`
	EstimateS    float64       `json:"estimateS,omitempty"`
	CheckpointS  float64       `json:"checkpointS,omitempty"`
	SaveS        float64       `json:"saveS,omitempty"`
	DeadlineS    *float64      `json:"deadlineS,omitempty"`
	Dependencies []string      `json:"after,omitempty"`
	OnCancelled  string        `json:"onWithdrawn,omitempty"`
	Hold         bool          `json:"hold,omitempty"`
	HoldUntil    *explain.Time `json:"holdUntil,omitempty"`
	HoldReason   string        `json:"holdReason,omitempty"`
}

// kinds maps the kinds of jobs in a submission to those of the protocol.
var kinds = map[string]string{"": wire.KindArray, "array": wire.KindArray, "service": wire.KindService, "gang": wire.KindGang}

// policies maps the values of onWithdrawn to what happens to a job when a job that it depends on is cancelled.
var policies = map[string]job.Policy{"": job.PolicyHold, "hold": job.PolicyHold, "release": job.PolicyRelease, "withdraw": job.PolicyCancel}

// spec returns the job's specification, and false if it is invalid. It encodes the submission as the CBOR protocol does,
// so that the same checks apply.
func (p *Submission) spec() (*job.Spec, bool) {
	kind, priority := kinds[p.Kind], p.Priority
	if priority == "" {
		priority = "standard"
	}
	w := wire.Submission{ID: &p.ID, Class: &p.Class, Team: &p.Team, Kind: &kind, Priority: &priority, Tasks: &p.Tasks, CPUs: &p.CPUs, GPUs: &p.GPUs,
		MemoryGB: &p.MemoryGB, Image: &p.Image, ImageGB: &p.ImageGB, Types: p.Types, Zone: p.Zone, OneZone: &p.OneZone, Spread: &p.Spread,
		Spot: &p.Spot, EstimateS: &p.EstimateS, CheckpointS: &p.CheckpointS, SaveS: &p.SaveS, DeadlineS: p.DeadlineS}
	_, s, ok := job.Parse(wire.Marshal(w))
	return s, ok
}

// terms returns the job's dependencies and its hold, set by the named key.
func (p *Submission) terms(keyName string, wall eventloop.Micros) *job.Terms {
	t := &job.Terms{Dependencies: p.Dependencies, OnCancelled: policies[p.OnCancelled]}
	if p.Hold || p.HoldUntil != nil {
		// No task of a job that is not stored yet can have started, so the hold is effective at once.
		t.Hold = job.Hold{State: job.HoldEffective, Reason: p.HoldReason, By: keyName, RequestedAt: wall}
		if p.HoldUntil != nil {
			t.Hold.Until = int64(*p.HoldUntil)
		}
	}
	return t
}

func (a *API) submitJob(c *request) {
	var p Submission
	if bad := a.schema.read("job", c.ctx.PostBody(), &p); bad != nil {
		writeProblem(c.ctx, *bad)
		return
	}
	spec, ok := p.spec()
	if !ok {
		writeProblem(c.ctx, invalidBody.withDetail("the job's specification is not valid"))
		return
	}
	if slices.Contains(p.Dependencies, p.ID) {
		writeProblem(c.ctx, dependsOnItself.inField("/after"))
		return
	}
	a.onLoop(c, func(done func(outcome)) {
		terms := p.terms(c.keyName, a.runner.Wall())
		if terms.Hold.Until != 0 && terms.Hold.Until <= a.runner.Wall() {
			done(timeInPast.inField("/holdUntil").outcome())
			return
		}
		if a.node.Jobs.Get(p.ID) == nil {
			if types := a.node.Types(); len(types) == 0 {
				done(notReady.withDetail("the machine types are not known yet").outcome())
				return
			} else if !job.Runnable(spec, a.cfg, types) {
				a.node.Jobs.Poll(p.ID, func(x job.Answer) {
					if x.Code == 404 {
						done(cannotRun.outcome())
						return
					}
					a.jobOutcome(x, done)
				})
				return
			}
		}
		a.checkAccepted(p.Dependencies, func(missing string, code int) {
			switch {
			case code == 404:
				done(unknownDependency.withDetail("%s was never accepted", missing).inField("/after").outcome())
				return
			case code != 200:
				done(unavailable.outcome())
				return
			}
			a.node.Jobs.SubmitWithTerms(p.ID, spec, terms, func(x job.Answer) {
				j := a.node.Jobs.Get(p.ID)
				if x.Code == 200 && j != nil && !j.Final() && len(p.Dependencies) > 0 && !slices.Equal(j.Terms.Dependencies, p.Dependencies) {
					done(otherDependencies.inField("/after").outcome())
					return
				}
				a.jobOutcome(x, done)
			})
		})
	})
}

// checkAccepted checks that all named jobs were accepted. done receives 200, or the first job for which that is not the
// case and the code 404 or 503. Records of jobs are never removed, so a job that was found still exists when the next
// one is found.
func (a *API) checkAccepted(ids []string, done func(missing string, code int)) {
	if len(ids) == 0 {
		done("", 200)
		return
	}
	a.node.Jobs.Exists(ids[0], func(code int) {
		if code != 200 {
			done(ids[0], code)
			return
		}
		a.checkAccepted(ids[1:], done)
	})
}

// jobOutcome turns the job registry's answer into an outcome; a success shows the job in its current state.
func (a *API) jobOutcome(x job.Answer, done func(outcome)) {
	j := a.node.Jobs.Get(x.ID)
	switch {
	case x.Code == 404:
		done(unknownJob.withDetail("%s", x.ID).outcome())
	case x.Code == 429:
		done(tooManyRequests.retryAfter(max(x.RetryAfter, 1)).outcome())
	case (x.Code == 200 || x.Code == 201) && j != nil:
		done(outcome{status: x.Code, body: a.jobView(j)})
	default:
		done(unavailable.retryAfter(max(x.RetryAfter, 1)).outcome())
	}
}

// Job is a job in answers.
type Job struct {
	ID           string                  `json:"id"`
	State        string                  `json:"state"` // pending, running, done or withdrawn
	Class        string                  `json:"class,omitempty"`
	Team         string                  `json:"team,omitempty"`
	Priority     string                  `json:"priority,omitempty"`
	Tasks        int                     `json:"tasks"`
	Running      int                     `json:"running"`
	Done         int                     `json:"done"`
	CPUs         float64                 `json:"cpus,omitempty"`
	MemoryGB     float64                 `json:"memoryGb,omitempty"`
	Image        string                  `json:"image,omitempty"`
	SubmittedAt  *explain.Time           `json:"submittedAt,omitempty"`
	DeadlineAt   *explain.Time           `json:"deadlineAt,omitempty"`
	Hold         Hold                    `json:"hold"`
	Dependencies []explain.JobDependency `json:"after,omitempty"`
	OnCancelled  string                  `json:"onWithdrawn,omitempty"`
	WaitingFor   []explain.CauseCount    `json:"waitingFor,omitempty"`
}

// Hold is a job's hold in answers. While the state is settling, tasks whose starts were recorded earlier may still start;
// while it is held, no task of the job starts.
type Hold struct {
	State string `json:"state"` // none, settling or held
	*explain.HoldDetail
}

func (a *API) jobView(j *job.Job) Job {
	out := Job{ID: j.ID, Tasks: j.Tasks, Hold: Hold{State: "none"}}
	counts := a.node.Counts(j)
	out.Running, out.Done = int(counts.Running), int(counts.Done)
	switch j.Phase {
	case job.Done:
		out.State, out.Done, out.Running = "done", j.Tasks, 0
	case job.Cancelled:
		out.State, out.Running = "withdrawn", 0
	default:
		out.State = "pending"
		if out.Running > 0 {
			out.State = "running"
		}
		causes := a.node.Explanations.Timelines.Causes(j.ID)
		out.WaitingFor = explain.CauseCounts(causes)
	}
	if j.AcceptedAt != 0 {
		at := explain.Time(j.AcceptedAt)
		out.SubmittedAt = &at
	}
	s := j.Spec
	if s == nil {
		return out
	}
	out.Class, out.Team, out.Priority = s.Class, s.Team, explain.PriorityName(s.Priority)
	out.CPUs, out.MemoryGB, out.Image = s.CPUs, s.MemoryGB, s.Image
	if s.Deadline > 0 {
		at := explain.Time(j.AcceptedAt + s.Deadline)
		out.DeadlineAt = &at
	}
	if j.Final() {
		return out
	}
	if h := j.Terms.Hold; h.Blocks(a.runner.Wall()) {
		d := explain.HoldDetail{Reason: h.Reason, By: h.By, At: explain.Time(h.RequestedAt)}
		if h.Until != 0 {
			until := explain.Time(h.Until)
			d.Until = &until
		}
		out.Hold = Hold{explain.HoldName(h.State), &d}
	}
	for _, id := range j.Terms.Dependencies {
		phase := job.Phase("")
		if o := a.node.Jobs.Get(id); o != nil {
			phase = o.Phase
		}
		out.Dependencies = append(out.Dependencies, explain.JobDependency{Job: id, State: explain.PhaseName(phase)})
	}
	if len(out.Dependencies) > 0 {
		out.OnCancelled = explain.PolicyName(j.Terms.OnCancelled)
	}
	return out
}

// checkJobID reports whether the id in the path has the form of a job's id, and answers with an error if not.
func (c *request) checkJobID() bool {
	if job.ValidID(c.arg) {
		return true
	}
	writeProblem(c.ctx, invalidJobID.withDetail("%.80q is not a valid job id", c.arg))
	return false
}

func (a *API) showJob(c *request) {
	if c.checkJobID() {
		a.onLoop(c, func(done func(outcome)) {
			a.node.Jobs.Poll(c.arg, func(x job.Answer) { a.jobOutcome(x, done) })
		})
	}
}

func (a *API) holdJob(c *request) {
	var body struct {
		Reason string        `json:"reason"`
		Until  *explain.Time `json:"until"`
	}
	if !c.checkJobID() {
		return
	}
	if bad := a.schema.read("hold", c.ctx.PostBody(), &body); bad != nil {
		writeProblem(c.ctx, *bad)
		return
	}
	a.onLoop(c, func(done func(outcome)) {
		h := job.Hold{Reason: body.Reason, By: c.keyName}
		if body.Until != nil {
			if h.Until = int64(*body.Until); h.Until <= a.runner.Wall() {
				done(timeInPast.inField("/until").outcome())
				return
			}
		}
		a.node.Jobs.Hold(c.arg, h, a.unlessFinished(done))
	})
}

func (a *API) releaseJob(c *request) {
	if c.checkJobID() {
		a.onLoop(c, func(done func(outcome)) { a.node.Jobs.Release(c.arg, a.unlessFinished(done)) })
	}
}

func (a *API) cancelJob(c *request) {
	if c.checkJobID() {
		a.onLoop(c, func(done func(outcome)) {
			a.node.Jobs.Cancel(c.arg, func(x job.Answer) { a.jobOutcome(x, done) })
		})
	}
}

// unlessFinished returns a callback that answers a change of a job: with an error if the job is done or cancelled.
func (a *API) unlessFinished(done func(outcome)) func(job.Answer) {
	return func(x job.Answer) {
		if x.Code == 200 && x.Phase != job.Accepted {
			done(jobFinished.withDetail("%s is %s", x.ID, explain.PhaseName(x.Phase)).outcome())
			return
		}
		a.jobOutcome(x, done)
	}
}

func (a *API) explainJob(c *request) {
	if c.checkJobID() {
		a.onLoop(c, func(done func(outcome)) {
			a.node.Explanations.Why(c.arg, func(w *explain.Answer, code int) {
				switch code {
				case 200:
					done(outcome{status: 200, body: w})
				default:
					a.jobOutcome(job.Answer{Code: code, ID: c.arg}, done)
				}
			})
		})
	}
}
