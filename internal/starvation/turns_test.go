package starvation

import (
	"testing"

	"cleatpick/internal/loop"
)

// twoClasses is a reserve of which two classes have a job that waits, and what tells which goes first.
func twoClasses() (f *Reserve, first func() string) {
	now := 1000 * loop.Second
	f = New()
	f.Earn(now, 100)
	return f, func() string {
		f.credit = 1 // what it has is not judged here
		now += loop.Second
		f.Earn(now, 100)
		waiters := []Waiter{{ID: "job-1", Class: "a", At: now - 2*After, Since: now - 2*After, Tasks: 1, CPUs: 1}, {ID: "job-2", Class: "b", At: now - 2*After, Since: now - 2*After, Tasks: 1, CPUs: 1}}
		return waiters[f.Pick(now, waiters)[0].At].Class
	}
}

func TestTurns(t *testing.T) {
	for _, c := range []struct {
		name   string
		happen func(f *Reserve)
		first  string
	}{
		{"nothing", func(*Reserve) {}, "a"},
		{"a got something before its turn", func(f *Reserve) { f.Spend("a", 2) }, "b"},
		{"a got something in the ordinary order", func(f *Reserve) { f.Serve("a", 2) }, "b"},
		{"that came to nothing", func(f *Reserve) { f.Spend("a", 2); f.Refund("a", 2) }, "a"},
		{"no room could be held for a", func(f *Reserve) { f.Defer("a") }, "b"},
		{"for a, and then for b twice", func(f *Reserve) { f.Defer("a"); f.Defer("b"); f.Defer("b") }, "a"},
		{"a got much in the ordinary order, b more than what counts of that before its turn", func(f *Reserve) { f.Serve("a", 1e6); f.Spend("b", 20*100*Part+2) }, "a"},
		{"a got much in the ordinary order, b less than what counts of that", func(f *Reserve) { f.Serve("a", 1e6); f.Spend("b", 20*100*Part-2) }, "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, first := twoClasses()
			if got := first(); got != "a" {
				t.Fatalf("%s goes first at the beginning", got)
			}
			c.happen(f)
			if got := first(); got != c.first {
				t.Errorf("%s goes first, want %s", got, c.first)
			}
		})
	}
}

// What a class got under an owner before counts once, and no more than for the stated time.
func TestRestoredTurns(t *testing.T) {
	f, first := twoClasses()
	f.Restore("a", 3)
	if got := first(); got != "b" {
		t.Errorf("%s goes first where a got something before", got)
	}
	f.Spend("b", 5)
	f.Restore("a", 1e6)
	if got := first(); got != "a" {
		t.Errorf("%s goes first, but what is known of a counts once", got)
	}
	f, first = twoClasses()
	f.Restore("a", 1e6)
	f.Restore("b", 0)
	f.Spend("b", 20*100*Part+2)
	if got := first(); got != "a" {
		t.Errorf("%s goes first, but a stands back for a stated time", got)
	}
}
