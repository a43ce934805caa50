package api

import (
	"slices"
	"strconv"
	"strings"

	"cleatpick/internal/gate"
	"cleatpick/internal/job"
)

// Numbers of items on a page of a list.
const (
	usualPage = 100 // without the parameter limit
	mostPage  = 500 // the largest limit
)

// page reads the parameters after and limit of a list, and answers with an error if limit is out of range.
func (c *call) page() (after string, limit int, ok bool) {
	args := c.ctx.QueryArgs()
	limit = usualPage
	if raw := string(args.Peek("limit")); raw != "" {
		n, err := strconv.Atoi(raw)
		if err != nil || n < 1 || n > mostPage {
			fail(c.ctx, badQuery.with("limit must be an integer from 1 to %d", mostPage).at("limit"))
			return "", 0, false
		}
		limit = n
	}
	return string(args.Peek("after")), limit, true
}

// Jobs is a page of the list of jobs. Next is the parameter after of the next page; it is empty on the last page.
type Jobs struct {
	Jobs []Job  `json:"jobs"`
	Next string `json:"next,omitempty"`
}

// list lists the jobs that match the query. Without the parameter state it lists the unfinished jobs. Task counts and
// causes of waiting of other owners' jobs may be a second or two old; the records of the jobs are current.
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
		// The copy of the jobs' records is brought up to date first, so that the list does not contradict an answer that
		// a user has already received from another controller, such as that of a cancellation.
		a.n.Jobs.Sync(func(ok bool) {
			if !ok {
				done(noAnswer.outcome())
				return
			}
			done(outcome{status: 200, body: a.jobsOf(filter{team, class, state, cause}, after, limit)})
		})
	})
}

// filter selects the jobs of a list. An empty field selects all, except that an empty state selects unfinished jobs.
type filter struct {
	team, class, state string
	cause              gate.Kind
}

// jobsOf returns up to limit matching jobs with ids greater than after, sorted by id.
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

// selects reports whether a job matches the filter.
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
	return slices.ContainsFunc(a.n.Explanations.Timelines.Causes(id), func(c gate.Cause) bool { return c.Kind == k })
}
