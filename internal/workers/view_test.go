package workers

import "testing"

// A report that was delayed on its way must not replace a newer view, and any report of a new session is newer
// than all reports of the previous one.
func TestNewerView(t *testing.T) {
	v := func(session, seq, rev uint64, host string) *View {
		return &View{Session: session, Seq: seq, Rev: rev, Host: host}
	}
	cases := []struct {
		a, b *View
		want bool
	}{
		{v(1, 5, 1, "a"), nil, true},
		{v(1, 5, 1, "a"), v(1, 6, 1, "b"), false},
		{v(2, 1, 1, "a"), v(1, 99, 1, "b"), true},
		{v(1, 99, 9, "a"), v(2, 1, 1, "b"), false},
		{v(1, 5, 2, "a"), v(1, 5, 1, "a"), true},
		{v(1, 5, 2, "b"), v(1, 5, 1, "a"), false},
	}
	for i, c := range cases {
		if got := c.a.newerThan(c.b); got != c.want {
			t.Errorf("case %d: newer is %v, want %v", i, got, c.want)
		}
	}
}

// A stopped attempt stays in the reports beside the next attempt of the same task. Confusing the two once made
// a running task look absent, and it was started on another machine as well.
func TestFindDistinguishesAttempts(t *testing.T) {
	v := &View{Tasks: []Task{{Task: "job-1/4", Attempt: 1, State: "ended", Why: "stopped"}, {Task: "job-1/4", Attempt: 2, State: "running"}}}
	if e := v.Find("job-1/4", 2); e == nil || !e.Active() {
		t.Fatalf("the running attempt is not found: %v", e)
	}
	if e := v.Find("job-1/4", 1); e == nil || e.Active() {
		t.Fatalf("the terminated attempt is not found: %v", e)
	}
	if e := v.Find("job-1/4", 3); e != nil {
		t.Fatalf("an attempt that is not listed is found: %v", e)
	}
}
