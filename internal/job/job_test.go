package job

import (
	"io"
	"log/slog"
	"maps"
	"math"
	"testing"
	"time"

	"cleatpick/internal/config"
	"cleatpick/internal/eventloop"
	"cleatpick/internal/store"
	"cleatpick/internal/wire"
)

// validSubmission returns the fields of a valid submission.
func validSubmission() map[string]any {
	return map[string]any{"nameId": "job-000412", "lineup": "train", "squad": "red", "play": "batch", "urgency": "high", "snaps": 16,
		"cpus": 8.0, "cards": 0.0, "ramGb": 64.0, "kit": "img-07", "sizeGb": 6.2, "builds": []string{"g8"}, "field": nil,
		"oneZone": true, "scatter": false, "loaners": true, "expectS": 240.0, "timeoutS": 30.0, "huddleS": 4.0, "whistleS": 900.0, "later": 1}
}

// Valid submissions are decoded, and a submission with any field missing, of the wrong type or out of range is
// rejected. Its id is returned in either case if it is valid.
func TestParse(t *testing.T) {
	id, s, ok := Parse(wire.Marshal(validSubmission()))
	if !ok || id != "job-000412" || s.Tasks != 16 || s.Priority != High || s.AnyType || s.Zone != "" || s.Deadline != 900e6 || s.Checkpoint != 30e6 {
		t.Fatalf("got %q %+v %v", id, s, ok)
	}
	change := func(key string, v any) []byte {
		m := maps.Clone(validSubmission())
		if v == "absent" {
			delete(m, key)
		} else {
			m[key] = v
		}
		return wire.Marshal(m)
	}
	for _, key := range []string{"builds", "field", "whistleS"} { // may be null, and so may be absent
		for _, v := range []any{nil, "absent"} {
			if _, _, ok := Parse(change(key, v)); !ok {
				t.Errorf("a submission with %s = %v is rejected", key, v)
			}
		}
	}
	bad := map[string][]any{
		"nameId": {"absent", nil, "", "job-", "job-12x", "task-1", 7}, "lineup": {"absent", 3}, "squad": {"absent", ""},
		"play": {"absent", "gig", 1}, "urgency": {"absent", "huge"}, "snaps": {"absent", 0, -1, 100001, 1.5, "many"},
		"cpus": {"absent", -1.0, math.NaN(), math.Inf(1), "two"}, "cards": {"absent", -1.0}, "ramGb": {"absent", math.Inf(-1)},
		"kit": {"absent", 4}, "sizeGb": {"absent", -0.5}, "builds": {"g8", []int{1}, []string{""}}, "field": {"", 3},
		"oneZone": {"absent", "yes"}, "scatter": {"absent", 1}, "loaners": {"absent", nil},
		"expectS": {"absent", -1.0}, "timeoutS": {"absent", -1.0}, "huddleS": {"absent", math.NaN()}, "whistleS": {-1.0, "soon"},
	}
	for key := range validSubmission() {
		if key == "later" || key == "builds" || key == "field" || key == "whistleS" {
			continue
		}
		bad[key] = append(bad[key], nil, "absent", []any{}, map[string]any{})
	}
	for _, key := range []string{"cpus", "cards", "ramGb", "sizeGb", "expectS", "timeoutS", "huddleS", "whistleS"} {
		bad[key] = append(bad[key], -0.001, 1.1e9, math.NaN(), math.Inf(1), math.Inf(-1), "1", true)
	}
	for key, vs := range bad {
		for _, v := range vs {
			if id, _, _ := Parse(change(key, v)); (id != "") != (key != "nameId") {
				t.Errorf("%s = %v: the id is decoded as %q", key, v, id)
			}
			if _, _, ok := Parse(change(key, v)); ok {
				t.Errorf("a submission with %s = %v is accepted", key, v)
			}
		}
	}
	for _, raw := range [][]byte{nil, {0x01}, {0x80}, {0xa1}, []byte("{}"), {0xff}} {
		if _, _, ok := Parse(raw); ok {
			t.Errorf("the body %x is accepted", raw)
		}
	}
}

// A job is rejected only if it could never run: unknown team, tasks that fit no allowed machine type, limits
// exceeded, or zone constraints that cannot be met.
func TestRunnable(t *testing.T) {
	c := &config.Config{}
	c.Cluster.Teams = []config.Team{{Name: "red", CPUs: 8, CPUsMax: 32}}
	types := []wire.MachineType{{Name: "g8", CPUs: 16, MemoryGB: 64, Zones: []string{"x"}}, {Name: "s4", CPUs: 4, MemoryGB: 8, Zones: []string{"x", "y"}}}
	base := Spec{Team: "red", Tasks: 100, CPUs: 16, MemoryGB: 64, AnyType: true}
	for i, x := range []struct {
		change func(*Spec)
		want   bool
	}{
		{func(*Spec) {}, true},
		{func(s *Spec) { s.Team = "blue" }, false},
		{func(s *Spec) { s.CPUs = 17 }, false},
		{func(s *Spec) { s.MemoryGB = 65 }, false},
		{func(s *Spec) { s.GPUs = 1 }, false},
		{func(s *Spec) { s.Zone = "y" }, false}, // zone y has only small machines
		{func(s *Spec) { s.Zone = "x" }, true},
		{func(s *Spec) { s.AnyType, s.Types = false, []string{"h1"} }, false},
		{func(s *Spec) { s.AnyType, s.Types = false, nil }, false},
		{func(s *Spec) { s.Service, s.Tasks = true, 2 }, true},
		{func(s *Spec) { s.Service, s.Tasks = true, 3 }, false},
		// All tasks run at once and at most half of them in one zone, but only one zone has machines that fit.
		{func(s *Spec) { s.Service, s.Tasks, s.Spread = true, 2, true }, false},
		{func(s *Spec) { s.Gang, s.Tasks, s.Spread = true, 2, true }, false},
		{func(s *Spec) { s.Service, s.Tasks, s.Spread = true, 1, true }, true},
		{func(s *Spec) { s.Spread = true }, true}, // an array can run its tasks one after another
		{func(s *Spec) { s.Service, s.Tasks, s.Spread, s.CPUs, s.MemoryGB = true, 2, true, 4, 8 }, true},
		{func(s *Spec) { s.Service, s.Tasks, s.Spread, s.CPUs, s.MemoryGB, s.Zone = true, 2, true, 4, 8, "y" }, false},
		{func(s *Spec) { s.Service, s.Tasks, s.Spread, s.CPUs, s.MemoryGB, s.OneZone = true, 2, true, 4, 8, true }, false},
		{func(s *Spec) { s.Service, s.Tasks, s.OneZone = true, 2, true }, true},
		{func(s *Spec) { s.ImageGB = 1e6 }, true},
	} {
		s := base
		x.change(&s)
		if got := Runnable(&s, c, types); got != x.want {
			t.Errorf("case %d: Runnable is %v, want %v", i, got, x.want)
		}
	}
}

// Parse accepts or rejects any input, without panicking and without accepting values out of range.
func FuzzParse(f *testing.F) {
	f.Add(wire.Marshal(validSubmission()))
	f.Add([]byte{0xa1, 0x61, 0x61, 0xf9, 0x7e, 0x00})
	f.Fuzz(func(t *testing.T, b []byte) {
		if id, s, ok := Parse(b); ok && (!ValidID(id) || s.Tasks < 1 || s.CPUs < 0 || math.IsNaN(s.CPUs)) {
			t.Fatalf("%x is accepted as %q %+v", b, id, s)
		}
	})
}

// frozenLoop is an event loop whose time stands still: delayed functions never run. Every request to the state
// service is refused.
type frozenLoop struct{}

func (frozenLoop) Now() eventloop.Micros          { return 1 }
func (frozenLoop) Wall() eventloop.Micros         { return 1 }
func (frozenLoop) Post(f func())                  { f() }
func (frozenLoop) After(eventloop.Micros, func()) {}
func (frozenLoop) Go(f func())                    { f() }
func (frozenLoop) Do(string, string, []byte, time.Duration) store.Response {
	return store.Response{Status: 503}
}

// A user whose request cannot be served because the state service refuses requests is answered so at once, and does
// not wait until it recovers.
func TestRefusalIsAnsweredAtOnce(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	c := store.NewClient(frozenLoop{}, frozenLoop{}, log, 100, 100, 1)
	registry := NewRegistry(frozenLoop{}, c, store.NewMirror(c, frozenLoop{}, "c/"), log)
	var codes []int
	note := func(a Answer) { codes = append(codes, a.Code) }
	registry.Submit("job-1", &Spec{Team: "red", Tasks: 1}, note)
	registry.Poll("job-2", note)
	registry.Cancel("job-3", note)
	if len(codes) != 3 || codes[0] != 503 || codes[1] != 503 || codes[2] != 503 {
		t.Fatalf("status codes of the answers: %v, want 503 three times", codes)
	}
}
