// Package client sends requests to the HTTP interface of the controllers under /v1/. It owns the choice of the
// endpoint, retries and the API key, and decodes error responses. Paths, bodies and the output of answers are left
// to its callers, the commands of the command line.
package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Client sends requests to its endpoints in turn. Any controller can answer any request.
type Client struct {
	endpoints []string
	key       string
	http      *fasthttp.Client
	// Timeout limits the total time of a call with all its retries: no further round over the
	// endpoints begins after it.
	Timeout time.Duration
	sleep   func(time.Duration)
	now     func() time.Time
}

// Problem is an error response of a controller, as problem details (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Field  string `json:"field"`
}

// Error formats the problem for output to people.
func (p *Problem) Error() string {
	s := p.Title
	if p.Detail != "" {
		s += ": " + p.Detail
	}
	if p.Field != "" {
		s += " (" + p.Field + ")"
	}
	return s
}

// New returns a client. The endpoints are a comma-separated list of HOST:PORT; the key may be empty.
func New(endpoints, key string) (*Client, error) {
	c := &Client{key: key, Timeout: 15 * time.Second, sleep: time.Sleep, now: time.Now, http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       16 << 20,
		NoDefaultUserAgentHeader:  true,
		Dial:                      func(a string) (net.Conn, error) { return fasthttp.DialTimeout(a, time.Second) },
	}}
	for _, e := range strings.Split(endpoints, ",") {
		e = strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(e), "http://"), "/")
		if e == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(e); err != nil {
			return nil, fmt.Errorf("endpoint %q: %w", e, err)
		}
		c.endpoints = append(c.endpoints, e)
	}
	if len(c.endpoints) == 0 {
		return nil, errors.New("no endpoint given: pass --endpoint HOST:PORT[,HOST:PORT...] or set CLEATPICK_ENDPOINT")
	}
	return c, nil
}

// ReadKey reads an API key from a file and trims the white space around it.
func ReadKey(file string) (string, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("key file: %w", err)
	}
	return strings.TrimSpace(string(b)), nil
}

// Call sends a request and decodes the answer into out, which may be nil. If an endpoint is unreachable or answers
// 503 or 429, the next one is tried. After all have been tried, Call waits for the longest Retry-After among their
// answers and starts again. Retries are safe because every request is idempotent: it states the desired result.
func (c *Client) Call(method, path string, body, out any) error {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return err
		}
	}
	deadline := c.now().Add(c.Timeout)
	var lastErr error
	for {
		wait := 500 * time.Millisecond
		for _, e := range c.endpoints {
			retry, retryAfter, err := c.attempt(e, method, path, raw, out)
			if !retry {
				return err
			}
			lastErr = err
			wait = max(wait, retryAfter)
		}
		if c.now().Add(wait).After(deadline) {
			return lastErr
		}
		c.sleep(wait)
	}
}

// attempt sends the request to one endpoint. retry reports whether the request may be retried, and retryAfter is the
// minimum wait before that.
func (c *Client) attempt(endpoint, method, path string, body []byte, out any) (retry bool, retryAfter time.Duration, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + endpoint + path)
	req.Header.SetMethod(method)
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	if err := c.http.DoTimeout(req, resp, 6*time.Second); err != nil {
		return true, 0, fmt.Errorf("%s: %w", endpoint, err)
	}
	code := resp.StatusCode()
	if code >= 200 && code < 300 {
		if out == nil {
			return false, 0, nil
		}
		return false, 0, json.Unmarshal(resp.Body(), out)
	}
	p := &Problem{Status: code, Title: "HTTP " + strconv.Itoa(code)}
	if json.Unmarshal(resp.Body(), p) != nil {
		p.Detail = "the endpoint does not serve /v1/"
	}
	if code == 503 || code == 429 {
		n, _ := strconv.Atoi(string(resp.Header.Peek("Retry-After")))
		return true, min(time.Duration(max(n, 1))*time.Second, 30*time.Second), p
	}
	return false, 0, p
}
