package api

import (
	"cmp"
	"slices"

	"cleatpick/internal/cordon"
	"cleatpick/internal/explain"
	"cleatpick/internal/job"
)

// Machine is a machine as this controller knows it.
type Machine struct {
	Name         string   `json:"name"`
	Type         string   `json:"type"`
	Zone         string   `json:"zone"`
	Kind         string   `json:"kind"`
	ReportsTo    string   `json:"reportsTo"`
	Tasks        int      `json:"tasks"`
	CPUsFree     *float64 `json:"cpusFree,omitempty"` // absent while unknown
	MemoryFreeGB *float64 `json:"memoryFreeGb,omitempty"`
	// BlockedBy names the machine predicates that block the machine for every task.
	BlockedBy     []string      `json:"shut"`
	BackOffUntil  *explain.Time `json:"restsUntil,omitempty"`
	BackOffReason string        `json:"restsBecause,omitempty"`
	ReclaimedAt   *explain.Time `json:"leavesAt,omitempty"` // time at which the cloud reclaims it
	Cordons       []string      `json:"cordons,omitempty"`
}

// Machines is a page of the list of machines. Next is the parameter after of the next page; it is empty on the last page.
type Machines struct {
	Machines []Machine `json:"machines"`
	Next     string    `json:"next,omitempty"`
}

func (a *API) listMachines(c *request) {
	after, limit, ok := c.pageParams()
	if !ok {
		return
	}
	args := c.ctx.QueryArgs()
	zone, typ, kind, shut := string(args.Peek("zone")), string(args.Peek("type")), string(args.Peek("kind")), string(args.Peek("shut"))
	a.onLoop(c, func(done func(outcome)) {
		out := Machines{Machines: []Machine{}}
		for _, m := range a.node.Machines() {
			if m.Name <= after || (zone != "" && m.Zone != zone) || (typ != "" && m.Type != typ) || (kind != "" && m.Kind != kind) ||
				(shut != "" && !slices.Contains(m.BlockedBy, shut)) {
				continue
			}
			if len(out.Machines) == limit {
				out.Next = out.Machines[limit-1].Name
				break
			}
			out.Machines = append(out.Machines, m)
		}
		done(outcome{status: 200, body: out})
	})
}

// Cordon is a cordon in requests and answers.
type Cordon struct {
	Name    string        `json:"name,omitempty"`
	Machine string        `json:"machine,omitempty"`
	Type    string        `json:"type,omitempty"`
	Zone    string        `json:"zone,omitempty"`
	Kind    string        `json:"kind,omitempty"`
	Reason  string        `json:"reason"`
	By      string        `json:"by,omitempty"`
	At      *explain.Time `json:"at,omitempty"`
	Until   *explain.Time `json:"until,omitempty"`
	// PendingStarts counts the starts that were recorded before the cordon and may still take effect; starts recorded
	// later cannot. It is present only in answers about a single cordon, and absent if an owner did not answer.
	PendingStarts *int `json:"unseenStarts,omitempty"`
}

func cordonView(c cordon.Cordon) Cordon {
	at := explain.Time(c.At)
	out := Cordon{Name: c.Name, Machine: c.Machine, Type: c.Type, Zone: c.Zone, Kind: c.Kind, Reason: c.Reason, By: c.By, At: &at}
	if c.Until != 0 {
		until := explain.Time(c.Until)
		out.Until = &until
	}
	return out
}

// Cordons lists all cordons in force.
type Cordons struct {
	Cordons []Cordon `json:"cordons"`
	// Damaged reports that the stored record cannot be decoded; the list shows the version that was read last.
	Damaged bool `json:"damaged,omitempty"`
}

func (a *API) listCordons(c *request) {
	a.onLoop(c, func(done func(outcome)) {
		out := Cordons{Cordons: []Cordon{}, Damaged: a.node.Cordons.Damaged()}
		for _, x := range a.node.Cordons.All() {
			out.Cordons = append(out.Cordons, cordonView(x))
		}
		done(outcome{status: 200, body: out})
	})
}

func (a *API) getCordon(c *request) {
	a.onLoop(c, func(done func(outcome)) { a.singleCordon(c.arg, done) })
}

func (a *API) singleCordon(name string, done func(outcome)) {
	for _, x := range a.node.Cordons.All() {
		if x.Name != name {
			continue
		}
		out := cordonView(x)
		a.node.PendingStarts(name, func(starts int, ok bool) {
			if ok {
				out.PendingStarts = &starts
			}
			done(outcome{status: 200, body: out})
		})
		return
	}
	done(unknownCordon.withDetail("%.80q", name).outcome())
}

func (a *API) putCordon(c *request) {
	var body Cordon
	if bad := a.schema.read("cordon", c.ctx.PostBody(), &body); bad != nil {
		writeProblem(c.ctx, *bad)
		return
	}
	if !cordon.ValidName(c.arg) {
		writeProblem(c.ctx, invalidParameter.withDetail(
			"a cordon's name consists of 1 to %d letters, digits, dots, dashes and underscores", cordon.MaxName))
		return
	}
	a.onLoop(c, func(done func(outcome)) {
		x := cordon.Cordon{Name: c.arg, Machine: body.Machine, Type: body.Type, Zone: body.Zone, Kind: body.Kind, Reason: body.Reason, By: c.keyName}
		if body.Until != nil {
			if x.Until = int64(*body.Until); x.Until <= a.runner.Wall() {
				done(timeInPast.inField("/until").outcome())
				return
			}
		}
		a.node.Cordons.Put(x, func(o cordon.Outcome) { a.cordonOutcome(c.arg, o, done) })
	})
}

func (a *API) removeCordon(c *request) {
	a.onLoop(c, func(done func(outcome)) {
		a.node.Cordons.Remove(c.arg, func(o cordon.Outcome) {
			if o == cordon.Stored {
				done(outcome{status: 200, body: map[string]string{"name": c.arg, "state": "lifted"}})
				return
			}
			a.cordonOutcome(c.arg, o, done)
		})
	})
}

// cordonOutcome answers a request that changed the cordons.
func (a *API) cordonOutcome(name string, o cordon.Outcome, done func(outcome)) {
	switch o {
	case cordon.Stored:
		a.singleCordon(name, done)
	case cordon.TooMany:
		done(tooManyCordons.withDetail("at most %d", cordon.MaxCordons).outcome())
	case cordon.NotFound:
		done(unknownCordon.withDetail("%.80q", name).outcome())
	default:
		done(unavailable.outcome())
	}
}

// WaitSummary summarizes why the tasks of one team, class and priority wait.
type WaitSummary struct {
	Team        string         `json:"team"`
	Class       string         `json:"class"`
	Priority    string         `json:"priority"`
	Jobs        int            `json:"jobs"`    // unfinished jobs
	WaitingJobs int            `json:"waiting"` // jobs with at least one cause of waiting
	Causes      []CauseSummary `json:"causes"`
}

// CauseSummary summarizes one cause of waiting.
type CauseSummary struct {
	Kind    string           `json:"kind"`
	Jobs    int              `json:"jobs"`
	Tasks   int              `json:"tasks"`
	Longest explain.Duration `json:"longestS"`
}

// Queue summarizes why tasks wait, by the causes that the owners reported last.
type Queue struct {
	AsOf     explain.Time  `json:"asOf"`
	Queue    []WaitSummary `json:"queue"`
	Complete bool          `json:"complete"`
	Missing  []string      `json:"missing,omitempty"` // why the summary may be outdated or incomplete
}

func (a *API) showQueue(c *request) {
	a.onLoop(c, func(done func(outcome)) {
		type key struct {
			team, class string
			priority    job.Priority
		}
		type summary struct {
			WaitSummary
			byKind map[string]*CauseSummary
		}
		all := map[key]*summary{}
		wall := a.runner.Wall()
		a.node.Jobs.Each(func(j *job.Job) {
			if j.Final() || j.Spec == nil {
				return
			}
			k := key{j.Spec.Team, j.Spec.Class, j.Spec.Priority}
			s := all[k]
			if s == nil {
				s = &summary{WaitSummary: WaitSummary{Team: k.team, Class: k.class, Priority: explain.PriorityName(k.priority),
					Causes: []CauseSummary{}}, byKind: map[string]*CauseSummary{}}
				all[k] = s
			}
			s.Jobs++
			causes := a.node.Explanations.Timelines.Causes(j.ID)
			if len(causes) > 0 {
				s.WaitSummary.WaitingJobs++
			}
			for _, x := range causes {
				h := s.byKind[x.Kind.String()]
				if h == nil {
					h = &CauseSummary{Kind: x.Kind.String()}
					s.byKind[h.Kind] = h
				}
				h.Jobs++
				h.Tasks += x.Tasks
				if since := a.node.Explanations.Timelines.Since(j.ID, x.Kind); since != 0 {
					h.Longest = max(h.Longest, explain.Duration(wall-since))
				}
			}
		})
		out := Queue{AsOf: explain.Time(wall), Queue: []WaitSummary{}, Missing: a.node.StaleOwners()}
		out.Complete = len(out.Missing) == 0
		for _, s := range all {
			for _, h := range s.byKind {
				s.Causes = append(s.Causes, *h)
			}
			slices.SortFunc(s.Causes, func(x, y CauseSummary) int { return cmp.Or(cmp.Compare(y.Tasks, x.Tasks), cmp.Compare(x.Kind, y.Kind)) })
			out.Queue = append(out.Queue, s.WaitSummary)
		}
		slices.SortFunc(out.Queue, func(x, y WaitSummary) int {
			return cmp.Or(cmp.Compare(x.Team, y.Team), cmp.Compare(x.Class, y.Class), cmp.Compare(x.Priority, y.Priority))
		})
		done(outcome{status: 200, body: out})
	})
}
