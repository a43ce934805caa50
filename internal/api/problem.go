package api

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"
)

// problem is an error in the form of RFC 9457. Its type never changes.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Field  string `json:"field,omitempty"` // where in the body, as a JSON pointer
	retry  int
}

func newProblem(status int, name, title string) problem {
	return problem{Type: "urn:cleatpick:problem:" + name, Title: title, Status: status}
}

// The problems.
var (
	badKey     = newProblem(401, "key", "the request shows no key that is known here")
	badRole    = newProblem(403, "role", "the key's role does not allow this")
	noPath     = newProblem(404, "path", "there is no such path")
	badMethod  = newProblem(405, "method", "the path does not have this method")
	tooLarge   = newProblem(413, "too-large", "the request is broken, or its body is above 64 KiB")
	badBody    = newProblem(400, "body", "the body does not match the schema")
	badQuery   = newProblem(400, "query", "a parameter of the path is not valid")
	badID      = newProblem(400, "job-id", "a job's id has the form job-000412")
	unknownJob = newProblem(404, "unknown-job", "no such job was accepted")
	unknownDep = newProblem(422, "unknown-after", "a job named in after was never accepted")
	ownDep     = newProblem(422, "after-itself", "a job cannot wait for itself")
	cannotRun  = newProblem(422, "cannot-run", "the job can never run: its team, machine type or limit does not allow it")
	otherwise  = newProblem(409, "known-otherwise", "the job is known already, with other jobs to wait for")
	jobOver    = newProblem(409, "job-over", "the job is over")
	noCordon   = newProblem(404, "unknown-cordon", "there is no such cordon")
	fullCordon = newProblem(409, "too-many-cordons", "as many cordons as can be are in force")
	pastUntil  = newProblem(422, "past", "the time lies in the past")
	notReady   = newProblem(503, "not-ready", "this controller cannot decide it now").after(1)
	noAnswer   = newProblem(503, "no-answer", "what is needed for the answer could not be reached in time").after(1)
	tooMany    = newProblem(429, "too-many", "too much is being asked of this controller").after(1)
)

func (p problem) with(format string, args ...any) problem {
	p.Detail = fmt.Sprintf(format, args...)
	return p
}

func (p problem) at(field string) problem {
	p.Field = field
	return p
}

func (p problem) after(seconds int) problem {
	p.retry = seconds
	return p
}

func (p problem) outcome() outcome { return outcome{problem: &p} }

func fail(ctx *fasthttp.RequestCtx, p problem) {
	if p.retry > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(p.retry))
	}
	body, err := json.Marshal(p)
	if err != nil {
		panic(err) // only our own type is ever encoded
	}
	ctx.SetStatusCode(p.Status)
	ctx.SetContentType("application/problem+json")
	ctx.SetBody(body)
}

func write(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
