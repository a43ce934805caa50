package store

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"cleatpick/internal/fixed"
	"cleatpick/internal/loop"
	"cleatpick/internal/wire"

	"pgregory.net/rapid"
)

// The results must be the same in every run, so the seed of the property tests is fixed.
func TestMain(m *testing.M) { fixed.Main(m) }

// manualLoop is an event loop with a clock set by the test; delayed functions are collected and run by the test.
type manualLoop struct {
	now   loop.Micros
	after []func()
}

func (s *manualLoop) Now() loop.Micros              { return s.now }
func (s *manualLoop) Wall() loop.Micros             { return s.now }
func (s *manualLoop) Post(f func())                 { f() }
func (s *manualLoop) After(_ loop.Micros, f func()) { s.after = append(s.after, f) }
func (s *manualLoop) Go(f func())                   { f() }

// countingDoer counts the requests by path and answers each as an applied transaction.
type countingDoer struct{ sent map[string]int }

func (c *countingDoer) Do(method, path string, _ []byte, _ time.Duration) Response {
	c.sent[path]++
	return Response{Status: 200, Body: wire.Marshal(wire.TxnResult{StoreRevision: 1})}
}

// Events, own writes and reads reach the mirror in any order and any number of times. It must end in the state
// that a list of all revisions gives.
func TestMirrorKeepsNewestRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMirror(nil, nil, "c/")
		seen := map[string]uint64{}
		m.OnChange("c/", func(key string, e Entry) {
			if e.Revision != 0 && e.Revision <= seen[key] {
				t.Fatalf("the callback for %s goes back from revision %d to %d", key, seen[key], e.Revision)
			}
			seen[key] = max(seen[key], e.Revision)
		})
		type version struct {
			key     string
			removed bool
		}
		n := rapid.IntRange(1, 30).Draw(t, "versions")
		all := make([]version, n+1)
		for i := 1; i <= n; i++ {
			all[i] = version{fmt.Sprintf("c/%d", rapid.IntRange(0, 3).Draw(t, "key")), rapid.Bool().Draw(t, "gone")}
		}
		model := map[string]int{}
		for _, i := range rapid.SliceOfN(rapid.IntRange(1, n), 1, 60).Draw(t, "arrivals") {
			v := all[i]
			m.Apply(v.key, wire.Marshal(i), uint64(i), v.removed)
			model[v.key] = max(model[v.key], i)
		}
		for key, i := range model {
			e, ok := m.Get(key)
			if ok == all[i].removed || (ok && e.Revision != uint64(i)) {
				t.Fatalf("%s: found %v at revision %d, want revision %d (removed: %v)", key, ok, e.Revision, i, all[i].removed)
			}
		}
	})
}

// slowService is a state service whose answers take some time.
type slowService struct {
	r     *manualLoop
	takes loop.Micros
	resp  func(path string) Response
	asked []time.Duration // timeouts of the requests
}

func (l *slowService) Do(_, path string, _ []byte, limit time.Duration) Response {
	l.r.now += l.takes
	l.asked = append(l.asked, limit)
	return l.resp(path)
}

// An answer proves the state of the service at the time of its request, not at the time of its arrival: a watch
// may have been answered long before. A watch without an answer proves nothing, and the next one gets a longer
// timeout, so that a slow service is not asked in vain for ever.
func TestSyncedCountsFromRequest(t *testing.T) {
	r := &manualLoop{now: 100 * loop.Second}
	storeRevision := uint64(7)
	lost := false
	l := &slowService{r: r, takes: loop.Second, resp: func(path string) Response {
		switch {
		case lost:
			return Response{Err: io.EOF}
		case strings.HasPrefix(path, "/changes"):
			return Response{Status: 200, Body: wire.Marshal(wire.Events{StoreRevision: storeRevision})}
		}
		return Response{Status: 200, Body: wire.Marshal(wire.Range{StoreRevision: storeRevision})}
	}}
	m := NewMirror(NewClient(r, l, slog.New(slog.NewTextHandler(io.Discard, nil)), 100, 100, 1), l, "c/")
	m.WatchWait = 2 * loop.Second
	var got [][2]loop.Micros
	m.OnSynced(func(s Synced) { got = append(got, [2]loop.Micros{s.SentAt, loop.Micros(s.Revision)}) })
	m.Start()
	next := func() {
		f := r.after[len(r.after)-1]
		r.after = nil
		f()
	}
	storeRevision = 9
	next()
	lost = true
	for range 6 {
		next()
	}
	lost, storeRevision = false, 12
	next()
	next()
	s := loop.Second
	want := [][2]loop.Micros{{100 * s, 7}, {101 * s, 7}, {102 * s, 9}, {109 * s, 12}, {110 * s, 12}}
	if !slices.Equal(got, want) {
		t.Errorf("synced as of %v, want %v", got, want)
	}
	var limits []int
	for _, d := range l.asked[1:] {
		limits = append(limits, int(d/time.Second))
	}
	if !slices.Equal(limits, []int{5, 5, 5, 8, 14, 26, 26, 26, 26, 5}) {
		t.Errorf("the watches had timeouts of %v s", limits)
	}
}

// Requests about leases are sent first and are never paced; all others keep to this controller's share.
func TestLeasesAreNotPaced(t *testing.T) {
	r := &manualLoop{now: loop.Second}
	c := &countingDoer{sent: map[string]int{}}
	cl := NewClient(r, c, slog.New(slog.NewTextHandler(io.Discard, nil)), 30, 30, 3)
	for range 100 {
		cl.Send(Results, 1, "POST", "/multi", wire.Txn{}, loop.Second, func(Response) {})
	}
	burst := c.sent["/multi"]
	if burst == 0 || burst > 10 {
		t.Fatalf("%d of 100 requests were sent at once with a share of 9 per second", burst)
	}
	for range 5 {
		cl.RenewLease(7, func(bool, bool) {})
	}
	if c.sent["/holds/7/extend"] != 5 {
		t.Fatalf("%d of 5 lease renewals were sent at once", c.sent["/holds/7/extend"])
	}
	for range 20 { // two seconds in steps of 100 ms
		r.now += 100 * loop.Millisecond
		due := r.after
		r.after = nil
		for _, f := range due {
			f()
		}
	}
	if n := c.sent["/multi"] - burst; n < 8 || n > 20 {
		t.Fatalf("%d more requests were sent in two seconds, want 8 to 20", n)
	}
}

// The outcome of a transaction is Applied, Conflict or Refused only if the response proves it; otherwise it is
// Unknown.
func TestOutcomes(t *testing.T) {
	cl := NewClient(&manualLoop{}, nil, slog.New(slog.NewTextHandler(io.Discard, nil)), 1, 1, 1)
	body := func(r wire.TxnResult) []byte { return wire.Marshal(r) }
	for _, c := range []struct {
		resp Response
		want Outcome
	}{
		{Response{Status: 200, Body: body(wire.TxnResult{StoreRevision: 4})}, Applied},
		{Response{Status: 409, Body: body(wire.TxnResult{Failed: []string{"a"}})}, Conflict},
		{Response{Status: 503}, Refused},
		{Response{Status: 429}, Refused},
		{Response{Err: io.EOF}, Unknown},
		{Response{Status: 500}, Unknown},
		{Response{Status: 200, Body: []byte{0xff}}, Unknown},
		{Response{Status: 400, Body: body(wire.TxnResult{Error: "no such lease"})}, NoLease},
		{Response{Status: 400, Body: body(wire.TxnResult{Error: "malformed"})}, Invalid},
	} {
		if got := cl.resultOf(c.resp); got.Outcome != c.want {
			t.Errorf("the outcome of response %+v is %d, want %d", c.resp, got.Outcome, c.want)
		}
	}
}

// The caller of a transaction is blocked until its answer. So the client gives up on a lost answer soon, and
// waits longer only while several answers in a row do not arrive, since the service is slow then.
func TestLostAnswersTimeOutSoon(t *testing.T) {
	r := &manualLoop{now: 100 * loop.Second}
	lost := func(n int) bool { return n%3 != 0 } // two of three answers are lost
	n := 0
	l := &slowService{r: r, takes: 2 * loop.Second, resp: func(string) Response {
		if n++; lost(n) {
			return Response{Err: io.EOF}
		}
		return Response{Status: 200, Body: wire.Marshal(wire.TxnResult{StoreRevision: 1})}
	}}
	c := NewClient(r, l, slog.New(slog.NewTextHandler(io.Discard, nil)), 1000, 1000, 1)
	waits := func(times int) (out []int) {
		l.asked = nil
		for range times {
			c.Txn(Answers, wire.Txn{}, func(Result) {})
		}
		for _, d := range l.asked {
			out = append(out, int(d/time.Millisecond))
		}
		return out
	}
	if got := waits(12); !slices.Equal(got, []int{400, 400, 400, 400, 400, 400, 400, 400, 400, 400, 400, 400}) {
		t.Errorf("with two of three answers lost, the timeouts are %v ms", got)
	}
	lost = func(int) bool { return true }
	if got := waits(9); !slices.Equal(got, []int{400, 400, 400, 800, 800, 800, 1500, 1500, 1500}) {
		t.Errorf("with all answers lost, the timeouts are %v ms", got)
	}
	lost = func(int) bool { return false }
	if got := waits(2); !slices.Equal(got, []int{1500, 400}) {
		t.Errorf("once answers arrive again, the timeouts are %v ms", got)
	}
}
