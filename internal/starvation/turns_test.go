package starvation

import (
	"testing"

	"cleatpick/internal/eventloop"
)

// twoClasses returns a Budget with one late job in each of two classes, and a function that returns which is
// picked first.
func twoClasses() (f *Budget, first func() string) {
	now := 1000 * eventloop.Second
	f = New()
	f.Accrue(now, 100)
	return f, func() string {
		f.credit = 1 // the budget is not tested here
		now += eventloop.Second
		f.Accrue(now, 100)
		waiters := []Waiter{{ID: "job-1", Class: "a", AcceptedAt: now - 2*MinWait, LastServedAt: now - 2*MinWait, Tasks: 1, CPUs: 1}, {ID: "job-2", Class: "b", AcceptedAt: now - 2*MinWait, LastServedAt: now - 2*MinWait, Tasks: 1, CPUs: 1}}
		return waiters[f.Pick(now, waiters)[0].Index].Class
	}
}

// TestClassTurns checks how each event changes which of two equal classes has its turn first.
func TestClassTurns(t *testing.T) {
	for _, c := range []struct {
		name  string
		event func(f *Budget)
		first string
	}{
		{"nothing", func(*Budget) {}, "a"},
		{"a was served out of order", func(f *Budget) { f.Spend("a", 2) }, "b"},
		{"a was served in the ordinary order", func(f *Budget) { f.RecordOrdinary("a", 2) }, "b"},
		{"a was served out of order, then refunded", func(f *Budget) { f.Spend("a", 2); f.Refund("a", 2) }, "a"},
		{"no capacity could be reserved for a", func(f *Budget) { f.Defer("a") }, "b"},
		{"no capacity for a, and then twice for b", func(f *Budget) { f.Defer("a"); f.Defer("b"); f.Defer("b") }, "a"},
		{"a was served much in the ordinary order, b ahead of it by more than counts of that", func(f *Budget) { f.RecordOrdinary("a", 1e6); f.Spend("b", 20*100*Fraction+2) }, "a"},
		{"a was served much in the ordinary order, b ahead of it by less than counts of that", func(f *Budget) { f.RecordOrdinary("a", 1e6); f.Spend("b", 20*100*Fraction-2) }, "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, first := twoClasses()
			if got := first(); got != "a" {
				t.Fatalf("%s is picked first at the beginning, want a", got)
			}
			c.event(f)
			if got := first(); got != c.first {
				t.Errorf("%s is picked first, want %s", got, c.first)
			}
		})
	}
}

// What a class received under an earlier owner counts once, and only up to the stated bound.
func TestRestoredTurns(t *testing.T) {
	f, first := twoClasses()
	f.Restore("a", 3)
	if got := first(); got != "b" {
		t.Errorf("%s is picked first although a was served under an earlier owner", got)
	}
	f.Spend("b", 5)
	f.Restore("a", 1e6)
	if got := first(); got != "a" {
		t.Errorf("%s is picked first, but a class that is known already must not be restored again", got)
	}
	f, first = twoClasses()
	f.Restore("a", 1e6)
	f.Restore("b", 0)
	f.Spend("b", 20*100*Fraction+2)
	if got := first(); got != "a" {
		t.Errorf("%s is picked first, but the delay of a is bounded", got)
	}
}
