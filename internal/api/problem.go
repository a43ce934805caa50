package api

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"
)

// problem is an error response in the form of RFC 9457. Its type is part of the interface and never changes.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Field  string `json:"field,omitempty"` // the field of the body as a JSON pointer, or the parameter
	retry  int    // seconds in the header Retry-After; 0: no header
}

func newProblem(status int, name, title string) problem {
	return problem{Type: "urn:cleatpick:problem:" + name, Title: title, Status: status}
}

// The problems that the API answers with.
var (
	badKey     = newProblem(401, "key", "the request carries no valid key")
	badRole    = newProblem(403, "role", "the key's role does not allow this")
	noPath     = newProblem(404, "path", "the path does not exist")
	badMethod  = newProblem(405, "method", "the path does not allow this method")
	tooLarge   = newProblem(413, "too-large", "the request is malformed, or its body is larger than 64 KiB")
	badBody    = newProblem(400, "body", "the body does not match the schema")
	badQuery   = newProblem(400, "query", "a parameter in the path or query is not valid")
	badID      = newProblem(400, "job-id", "a job's id has the form job-000412")
	unknownJob = newProblem(404, "unknown-job", "no such job was accepted")
	unknownDep = newProblem(422, "unknown-after", "a job named in after was never accepted")
	ownDep     = newProblem(422, "after-itself", "a job cannot depend on itself")
	cannotRun  = newProblem(422, "cannot-run", "the job can never run: its team, machine type or limit does not allow it")
	otherwise  = newProblem(409, "known-otherwise", "the job was accepted earlier with different dependencies")
	jobOver    = newProblem(409, "job-over", "the job is done or cancelled")
	noCordon   = newProblem(404, "unknown-cordon", "no such cordon is in force")
	fullCordon = newProblem(409, "too-many-cordons", "the maximum number of cordons is in force")
	pastUntil  = newProblem(422, "past", "the time is in the past")
	notReady   = newProblem(503, "not-ready", "this controller is not ready to process the request").after(1)
	noAnswer   = newProblem(503, "no-answer", "a component that is needed for the answer did not respond in time").after(1)
	tooMany    = newProblem(429, "too-many", "this controller receives too many requests").after(1)
)

// with returns the problem with a detail.
func (p problem) with(format string, args ...any) problem {
	p.Detail = fmt.Sprintf(format, args...)
	return p
}

// at returns the problem with the field that is at fault.
func (p problem) at(field string) problem {
	p.Field = field
	return p
}

// after returns the problem with a Retry-After header.
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
		panic(err) // a problem can always be encoded
	}
	ctx.SetStatusCode(p.Status)
	ctx.SetContentType("application/problem+json")
	ctx.SetBody(body)
}

func write(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types of the answers can always be encoded
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
