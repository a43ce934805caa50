package api

import (
	"slices"

	"cleatpick/internal/explain"
	"cleatpick/internal/job"
	"cleatpick/internal/loop"
	"cleatpick/internal/wire"
)

// Proposal is the body of a submission.
type Proposal struct {
	ID          string        `json:"id"`
	Class       string        `json:"class"`
	Team        string        `json:"team"`
	Kind        string        `json:"kind,omitempty"`
	Priority    string        `json:"priority,omitempty"`
	Tasks       int64         `json:"tasks"`
	CPUs        float64       `json:"cpus"`
	GPUs        float64       `json:"gpus,omitempty"`
	MemoryGB    float64       `json:"memoryGb"`
	Image       string        `json:"image"`
	ImageGB     float64       `json:"imageGb,omitempty"`
	Types       []string      `json:"types,omitempty"`
	Zone        *string       `json:"zone,omitempty"`
	OneZone     bool          `json:"oneZone,omitempty"`
	Scatter     bool          `json:"scatter,omitempty"`
	Spot        bool          `json:"spot,omitempty"`
	EstimateS   float64       `json:"estimateS,omitempty"`
	CheckpointS float64       `json:"checkpointS,omitempty"`
	SaveS       float64       `json:"saveS,omitempty"`
	DeadlineS   *float64      `json:"deadlineS,omitempty"`
	After       []string      `json:"after,omitempty"`
	OnWithdrawn string        `json:"onWithdrawn,omitempty"`
	Hold        bool          `json:"hold,omitempty"`
	HoldUntil   *explain.Time `json:"holdUntil,omitempty"`
	HoldReason  string        `json:"holdReason,omitempty"`
}

var kinds = map[string]string{"": wire.KindArray, "array": wire.KindArray, "service": wire.KindService, "gang": wire.KindGang}

var policies = map[string]job.Policy{"": job.PolicyHold, "hold": job.PolicyHold, "release": job.PolicyRelease, "withdraw": job.PolicyCancel}

// spec is the proposal as the protocol would have brought it: the same checks apply.
func (p *Proposal) spec() (*job.Spec, bool) {
	kind, priority := kinds[p.Kind], p.Priority
	if priority == "" {
		priority = "standard"
	}
	w := wire.Submission{ID: &p.ID, Class: &p.Class, Team: &p.Team, Kind: &kind, Priority: &priority, Tasks: &p.Tasks, CPUs: &p.CPUs, GPUs: &p.GPUs,
		MemoryGB: &p.MemoryGB, Image: &p.Image, ImageGB: &p.ImageGB, Types: p.Types, Zone: p.Zone, OneZone: &p.OneZone, Spread: &p.Scatter,
		Spot: &p.Spot, EstimateS: &p.EstimateS, CheckpointS: &p.CheckpointS, SaveS: &p.SaveS, DeadlineS: p.DeadlineS}
	_, s, ok := job.Parse(wire.Marshal(w))
	return s, ok
}

func (p *Proposal) terms(by string, wall loop.Micros) *job.Terms {
	t := &job.Terms{Dependencies: p.After, OnCancelled: policies[p.OnWithdrawn]}
	if p.Hold || p.HoldUntil != nil {
		// Nothing of a job that is not stored yet can have begun.
		t.Hold = job.Hold{State: job.HoldEffective, Reason: p.HoldReason, By: by, RequestedAt: wall}
		if p.HoldUntil != nil {
			t.Hold.Until = int64(*p.HoldUntil)
		}
	}
	return t
}

func (a *API) propose(c *call) {
	var p Proposal
	if bad := a.schema.read("job", c.ctx.PostBody(), &p); bad != nil {
		fail(c.ctx, *bad)
		return
	}
	spec, ok := p.spec()
	if !ok {
		fail(c.ctx, badBody.with("the job is not valid"))
		return
	}
	if slices.Contains(p.After, p.ID) {
		fail(c.ctx, ownDep.at("/after"))
		return
	}
	a.onLoop(c, func(done func(outcome)) {
		terms := p.terms(c.by, a.r.Wall())
		if terms.Hold.Until != 0 && terms.Hold.Until <= a.r.Wall() {
			done(pastUntil.at("/holdUntil").outcome())
			return
		}
		if a.n.Jobs.Get(p.ID) == nil {
			if types := a.n.Types(); len(types) == 0 {
				done(notReady.with("the machine types are not known yet").outcome())
				return
			} else if !job.Runnable(spec, a.cfg, types) {
				a.n.Jobs.Poll(p.ID, func(x job.Answer) {
					if x.Code == 404 {
						done(cannotRun.outcome())
						return
					}
					a.tell(x, done)
				})
				return
			}
		}
		a.findAll(p.After, func(missing string, code int) {
			switch {
			case code == 404:
				done(unknownDep.with("%s was never accepted", missing).at("/after").outcome())
				return
			case code != 200:
				done(noAnswer.outcome())
				return
			}
			a.n.Jobs.SubmitWithTerms(p.ID, spec, terms, func(x job.Answer) {
				j := a.n.Jobs.Get(p.ID)
				if x.Code == 200 && j != nil && !j.Final() && len(p.After) > 0 && !slices.Equal(j.Terms.Dependencies, p.After) {
					done(otherwise.at("/after").outcome())
					return
				}
				a.tell(x, done)
			})
		})
	})
}

// findAll makes sure that jobs were accepted. A record that was found once stays.
func (a *API) findAll(ids []string, cb func(missing string, code int)) {
	if len(ids) == 0 {
		cb("", 200)
		return
	}
	a.n.Jobs.Exists(ids[0], func(code int) {
		if code != 200 {
			cb(ids[0], code)
			return
		}
		a.findAll(ids[1:], cb)
	})
}

// tell answers with a job as it stands.
func (a *API) tell(x job.Answer, done func(outcome)) {
	j := a.n.Jobs.Get(x.ID)
	switch {
	case x.Code == 404:
		done(unknownJob.with("%s", x.ID).outcome())
	case x.Code == 429:
		done(tooMany.after(max(x.RetryAfter, 1)).outcome())
	case (x.Code == 200 || x.Code == 201) && j != nil:
		done(outcome{status: x.Code, body: a.show(j)})
	default:
		done(noAnswer.after(max(x.RetryAfter, 1)).outcome())
	}
}

// Job is a job as it is shown.
type Job struct {
	ID          string                 `json:"id"`
	State       string                 `json:"state"` // pending, running, done or withdrawn
	Class       string                 `json:"class,omitempty"`
	Team        string                 `json:"team,omitempty"`
	Priority    string                 `json:"priority,omitempty"`
	Tasks       int                    `json:"tasks"`
	Running     int                    `json:"running"`
	Done        int                    `json:"done"`
	CPUs        float64                `json:"cpus,omitempty"`
	MemoryGB    float64                `json:"memoryGb,omitempty"`
	Image       string                 `json:"image,omitempty"`
	SubmittedAt *explain.Time          `json:"submittedAt,omitempty"`
	DeadlineAt  *explain.Time          `json:"deadlineAt,omitempty"`
	Hold        Hold                   `json:"hold"`
	After       []explain.Prerequisite `json:"after,omitempty"`
	OnWithdrawn string                 `json:"onWithdrawn,omitempty"`
	WaitingFor  []explain.CauseCount   `json:"waitingFor,omitempty"`
}

// Hold is a job's hold as it is shown. Once it is held, no task of the job begins.
type Hold struct {
	State string `json:"state"` // none, settling or held
	*explain.HoldDetail
}

func (a *API) show(j *job.Job) Job {
	out := Job{ID: j.ID, Tasks: j.Tasks, Hold: Hold{State: "none"}}
	counts := a.n.Counts(j)
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
		causes := a.n.Desk.Timelines.Causes(j.ID)
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
	if h := j.Terms.Hold; h.Blocks(a.r.Wall()) {
		d := explain.HoldDetail{Reason: h.Reason, By: h.By, At: explain.Time(h.RequestedAt)}
		if h.Until != 0 {
			until := explain.Time(h.Until)
			d.Until = &until
		}
		out.Hold = Hold{explain.HoldName(h.State), &d}
	}
	for _, id := range j.Terms.Dependencies {
		phase := job.Phase("")
		if o := a.n.Jobs.Get(id); o != nil {
			phase = o.Phase
		}
		out.After = append(out.After, explain.Prerequisite{Job: id, State: explain.PhaseName(phase)})
	}
	if len(out.After) > 0 {
		out.OnWithdrawn = explain.PolicyName(j.Terms.OnCancelled)
	}
	return out
}

// named checks the id in the path.
func (c *call) named() bool {
	if job.ValidID(c.arg) {
		return true
	}
	fail(c.ctx, badID.with("%.80q is no job's id", c.arg))
	return false
}

func (a *API) job(c *call) {
	if c.named() {
		a.onLoop(c, func(done func(outcome)) {
			a.n.Jobs.Poll(c.arg, func(x job.Answer) { a.tell(x, done) })
		})
	}
}

func (a *API) hold(c *call) {
	var body struct {
		Reason string        `json:"reason"`
		Until  *explain.Time `json:"until"`
	}
	if !c.named() {
		return
	}
	if bad := a.schema.read("hold", c.ctx.PostBody(), &body); bad != nil {
		fail(c.ctx, *bad)
		return
	}
	a.onLoop(c, func(done func(outcome)) {
		h := job.Hold{Reason: body.Reason, By: c.by}
		if body.Until != nil {
			if h.Until = int64(*body.Until); h.Until <= a.r.Wall() {
				done(pastUntil.at("/until").outcome())
				return
			}
		}
		a.n.Jobs.Hold(c.arg, h, a.unlessOver(done))
	})
}

func (a *API) release(c *call) {
	if c.named() {
		a.onLoop(c, func(done func(outcome)) { a.n.Jobs.Release(c.arg, a.unlessOver(done)) })
	}
}

func (a *API) withdraw(c *call) {
	if c.named() {
		a.onLoop(c, func(done func(outcome)) {
			a.n.Jobs.Cancel(c.arg, func(x job.Answer) { a.tell(x, done) })
		})
	}
}

func (a *API) unlessOver(done func(outcome)) func(job.Answer) {
	return func(x job.Answer) {
		if x.Code == 200 && x.Phase != job.Accepted {
			done(jobOver.with("%s is %s", x.ID, explain.PhaseName(x.Phase)).outcome())
			return
		}
		a.tell(x, done)
	}
}

func (a *API) why(c *call) {
	if c.named() {
		a.onLoop(c, func(done func(outcome)) {
			a.n.Desk.Why(c.arg, func(w *explain.Answer, code int) {
				switch code {
				case 200:
					done(outcome{status: 200, body: w})
				default:
					a.tell(job.Answer{Code: code, ID: c.arg}, done)
				}
			})
		})
	}
}
