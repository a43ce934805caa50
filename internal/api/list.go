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
	defaultPageSize = 100 // without the parameter limit
	maxPageSize     = 500 // the largest limit
)

// pageParams reads the parameters after and limit of a list, and answers with an error if limit is out of range.
func (c *request) pageParams() (after string, limit int, ok bool) {
	args := c.ctx.QueryArgs()
	limit = defaultPageSize
	if raw := string(args.Peek("limit")); raw != "" {
		n, err := strconv.Atoi(raw)
		if err != nil || n < 1 || n > maxPageSize {
			writeProblem(c.ctx, invalidParameter.withDetail("limit must be an integer from 1 to %d", maxPageSize).inField("limit"))
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

// listJobs lists the jobs that match the query. Without the parameter state it lists the unfinished jobs. Task counts and
// causes of waiting of other owners' jobs may be a second or two old; the records of the jobs are current.
func (a *API) listJobs(c *request) {
	after, limit, ok := c.pageParams()
	if !ok {
		return
	}
	args := c.ctx.QueryArgs()
	team, class := string(args.Peek("team")), string(args.Peek("class"))
	state, waitingFor := string(args.Peek("state")), string(args.Peek("waitingFor"))
	if !slices.Contains([]string{"", "pending", "running", "done", "withdrawn", "unfinished", "any"}, state) {
		writeProblem(c.ctx, invalidParameter.withDetail("state must be pending, running, done, withdrawn, unfinished or any").inField("state"))
		return
	}
	cause := gate.KindByName(waitingFor)
	if waitingFor != "" && cause == 0 {
		writeProblem(c.ctx, invalidParameter.withDetail("waitingFor must be one of %s", strings.Join(gate.Names(), ", ")).inField("waitingFor"))
		return
	}
	a.onLoop(c, func(done func(outcome)) {
		// The copy of the jobs' records is brought up to date first, so that the list does not contradict an answer that
		// a user has already received from another controller, such as that of a cancellation.
		a.node.Jobs.Sync(func(ok bool) {
			if !ok {
				done(unavailable.outcome())
				return
			}
			done(outcome{status: 200, body: a.jobPage(filter{team, class, state, cause}, after, limit)})
		})
	})
}

// filter selects the jobs of a list. An empty field selects all, except that an empty state selects unfinished jobs.
type filter struct {
	team, class, state string
	cause              gate.Kind
}

// jobPage returns up to limit matching jobs with ids greater than after, sorted by id.
func (a *API) jobPage(f filter, after string, limit int) Jobs {
	var ids []string
	a.node.Jobs.Each(func(j *job.Job) {
		if j.ID > after && a.matches(&f, j) {
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
		out.Jobs = append(out.Jobs, a.jobView(a.node.Jobs.Get(id)))
	}
	return out
}

// matches reports whether a job matches the filter.
func (a *API) matches(f *filter, j *job.Job) bool {
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
	running := a.node.Counts(j).Running > 0
	return !(f.state == "pending" && running) && !(f.state == "running" && !running)
}

func (a *API) waitsFor(id string, k gate.Kind) bool {
	return slices.ContainsFunc(a.node.Explanations.Timelines.Causes(id), func(c gate.Cause) bool { return c.Kind == k })
}
