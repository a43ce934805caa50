package api

import (
	"slices"
	"strconv"
	"strings"

	"cleatpick/internal/gate"
	"cleatpick/internal/job"
)

// Bounds on a page.
const (
	usualPage = 100
	mostPage  = 500
)

// page reads the parameters that all lists have.
func (c *call) page() (after string, limit int, ok bool) {
	args := c.ctx.QueryArgs()
	limit = usualPage
	if raw := string(args.Peek("limit")); raw != "" {
		n, err := strconv.Atoi(raw)
		if err != nil || n < 1 || n > mostPage {
			fail(c.ctx, badQuery.with("limit must lie between 1 and %d", mostPage).at("limit"))
			return "", 0, false
		}
		limit = n
	}
	return string(args.Peek("after")), limit, true
}

// Jobs is a page of jobs. Next is the after of the next page; empty: there is none.
type Jobs struct {
	Jobs []Job  `json:"jobs"`
	Next string `json:"next,omitempty"`
}

// list shows jobs as this node knows them, which may lag by a second or two. Without a
// state it lists those that are not over.
func (a *API) list(c *call) {
	after, limit, ok := c.page()
	if !ok {
		return
	}
	args := c.ctx.QueryArgs()
	team, class := string(args.Peek("team")), string(args.Peek("class"))
	state, waits := string(args.Peek("state")), string(args.Peek("waitingFor"))
	if !slices.Contains([]string{"", "pending", "running", "done", "withdrawn", "unfinished", "any"}, state) {
		fail(c.ctx, badQuery.with("state must be pending, running, done, withdrawn, unfinished or any").at("state"))
		return
	}
	cause := gate.KindByName(waits)
	if waits != "" && cause == 0 {
		fail(c.ctx, badQuery.with("waitingFor must be one of %s", strings.Join(gate.Names(), ", ")).at("waitingFor"))
		return
	}
	a.onLoop(c, func(done func(outcome)) {
		// What another controller has told since is not taken back by a list either.
		a.n.Jobs.Sync(func(ok bool) {
			if !ok {
				done(noAnswer.outcome())
				return
			}
			done(outcome{status: 200, body: a.jobsOf(filter{team, class, state, cause}, after, limit)})
		})
	})
}

// filter says which jobs a list shows; what is empty selects all.
type filter struct {
	team, class, state string
	cause              gate.Kind
}

// jobsOf lists up to limit jobs behind an id.
func (a *API) jobsOf(f filter, after string, limit int) Jobs {
	var ids []string
	a.n.Jobs.Each(func(j *job.Job) {
		if j.ID > after && a.selects(&f, j) {
			ids = append(ids, j.ID)
		}
	})
	slices.Sort(ids)
	out := Jobs{Jobs: []Job{}}
	if len(ids) > limit {
		ids = ids[:limit]
		out.Next = ids[limit-1]
	}
	for _, id := range ids {
		out.Jobs = append(out.Jobs, a.show(a.n.Jobs.Get(id)))
	}
	return out
}

// selects tells whether a filter shows a job.
func (a *API) selects(f *filter, j *job.Job) bool {
	switch f.state {
	case "any":
	case "done":
		if j.Phase != job.Done {
			return false
		}
	case "withdrawn":
		if j.Phase != job.Cancelled {
			return false
		}
	default:
		if j.Final() {
			return false
		}
	}
	if (f.team != "" || f.class != "") && (j.Spec == nil || (f.team != "" && j.Spec.Team != f.team) || (f.class != "" && j.Spec.Class != f.class)) {
		return false
	}
	if f.cause != 0 && !a.waitsFor(j.ID, f.cause) {
		return false
	}
	runs := a.n.Counts(j).Running > 0
	return !(f.state == "pending" && runs) && !(f.state == "running" && !runs)
}

func (a *API) waitsFor(id string, k gate.Kind) bool {
	return slices.ContainsFunc(a.n.Desk.Timelines.Causes(id), func(c gate.Cause) bool { return c.Kind == k })
}
