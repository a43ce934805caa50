package api

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"
)

// problem is an error response in the form of RFC 9457. Its type is part of the interface and never changes.
type problem struct {
	Type        string `json:"type"`
	Title       string `json:"title"`
	Status      int    `json:"status"`
	Detail      string `json:"detail,omitempty"`
	Field       string `json:"field,omitempty"` // the field of the body as a JSON pointer, or the parameter
	retryAfterS int    // seconds in the header Retry-After; 0: no header
}

func newProblem(status int, name, title string) problem {
	return problem{Type: "urn:cleatpick:problem:" + name, Title: title, Status: status}
}

// The problems that the API answers with.
var (
	invalidKey        = newProblem(401, "key", "the request carries no valid key")
	forbidden         = newProblem(403, "role", "the key's role does not allow this")
	unknownPath       = newProblem(404, "path", "the path does not exist")
	methodNotAllowed  = newProblem(405, "method", "the path does not allow this method")
	tooLarge          = newProblem(413, "too-large", "the request is malformed, or its body is larger than 64 KiB")
	invalidBody       = newProblem(400, "body", "the body does not match the schema")
	invalidParameter  = newProblem(400, "query", "a parameter in the path or query is not valid")
	invalidJobID      = newProblem(400, "job-id", "a job's id has the form job-000412")
	unknownJob        = newProblem(404, "unknown-job", "no such job was accepted")
	unknownDependency = newProblem(422, "unknown-after", "a job named in after was never accepted")
	dependsOnItself   = newProblem(422, "after-itself", "a job cannot depend on itself")
	cannotRun         = newProblem(422, "cannot-run", "the job can never run: its team, machine type or limit does not allow it")
	otherDependencies = newProblem(409, "known-otherwise", "the job was accepted earlier with different dependencies")
	jobFinished       = newProblem(409, "job-over", "the job is done or cancelled")
	unknownCordon     = newProblem(404, "unknown-cordon", "no such cordon is in force")
	tooManyCordons    = newProblem(409, "too-many-cordons", "the maximum number of cordons is in force")
	timeInPast        = newProblem(422, "past", "the time is in the past")
	notReady          = newProblem(503, "not-ready", "this controller is not ready to process the request").retryAfter(1)
	unavailable       = newProblem(503, "no-answer", "a component that is needed for the answer did not respond in time").retryAfter(1)
	tooManyRequests   = newProblem(429, "too-many", "this controller receives too many requests").retryAfter(1)
)

// withDetail returns the problem with a detail.
func (p problem) withDetail(format string, args ...any) problem {
	p.Detail = fmt.Sprintf(format, args...)
	return p
}

// inField returns the problem with the field that is at fault.
func (p problem) inField(field string) problem {
	p.Field = field
	return p
}

// retryAfter returns the problem with a Retry-After header.
func (p problem) retryAfter(seconds int) problem {
	p.retryAfterS = seconds
	return p
}

func (p problem) outcome() outcome { return outcome{problem: &p} }

func writeProblem(ctx *fasthttp.RequestCtx, p problem) {
	if p.retryAfterS > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(p.retryAfterS))
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
