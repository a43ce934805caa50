package scale

import (
	"strings"
	"testing"
	"time"
)

// Guards against a checker that misses a violation or reports one in a correct run: each rule that is observable
// to users and workers is violated once and must be reported once, and a correct run must pass.
func TestInvariantCheckerDetectsViolations(t *testing.T) {
	at := time.Unix(1000, 0)
	later := func(s int) time.Time { return at.Add(time.Duration(s) * time.Second) }
	spec := jobSpec{id: "job-000001", tasks: 2}
	accepted := func(checker *invariantChecker) {
		checker.jobSubmitted(spec, at)
		checker.jobAnswered(spec.id, 201, "pending", later(1))
	}
	cases := []struct {
		rule string
		do   func(checker *invariantChecker)
	}{
		{"", func(checker *invariantChecker) {
			checker.taskStarted("job-000001/0", "a", later(2))
			checker.taskEnded("job-000001/0", "a")
			checker.taskStarted("job-000001/0", "b", later(3))
			checker.taskEnded("job-000001/0", "b")
			checker.jobAnswered(spec.id, 200, "withdrawn", later(4))
			checker.taskStarted("job-000001/1", "a", later(5))
			checker.taskEnded("job-000001/1", "a")
			checker.checkCancelled(later(60))
			checker.jobAnswered(spec.id, 200, "withdrawn", later(61))
		}},
		{"ran_twice", func(checker *invariantChecker) {
			checker.taskStarted("job-000001/0", "a", later(2))
			checker.taskStarted("job-000001/0", "b", later(3))
		}},
		{"ran_cancelled", func(checker *invariantChecker) {
			checker.jobAnswered(spec.id, 200, "withdrawn", later(2))
			checker.taskStarted("job-000001/0", "a", later(33))
		}},
		{"ran_cancelled", func(checker *invariantChecker) {
			checker.taskStarted("job-000001/0", "a", later(2))
			checker.jobAnswered(spec.id, 200, "withdrawn", later(3))
			checker.checkCancelled(later(40))
		}},
		{"forgotten", func(checker *invariantChecker) { checker.jobAnswered(spec.id, 404, "", later(2)) }},
		{"invented", func(checker *invariantChecker) { checker.taskStarted("job-000009/0", "a", later(2)) }},
		{"went_back", func(checker *invariantChecker) {
			checker.jobAnswered(spec.id, 200, "done", later(2))
			checker.jobAnswered(spec.id, 200, "running", later(3))
		}},
		{"went_back", func(checker *invariantChecker) {
			checker.jobAnswered(spec.id, 200, "withdrawn", later(2))
			checker.jobAnswered(spec.id, 200, "done", later(3))
		}},
	}
	for _, c := range cases {
		checker := newInvariantChecker(30 * time.Second)
		accepted(checker)
		c.do(checker)
		if c.rule == "" {
			if checker.violations != 0 {
				t.Errorf("correct run: got violations %q, want none", checker.violationTexts)
			}
			continue
		}
		if checker.violations != 1 || !strings.HasPrefix(checker.violationTexts[0], c.rule+":") {
			t.Errorf("%s: got %d violations %q, want one of this rule", c.rule, checker.violations, checker.violationTexts)
		}
	}
}

// Guards against wrong times to start: a task is timed from the submission of its job to its first start only, even if
// it is started again later. The peak rate is the highest average over consecutive seconds.
func TestTimeToStartIsMeasuredOncePerTask(t *testing.T) {
	checker := newInvariantChecker(time.Minute)
	at := time.Unix(1000, 0)
	checker.jobSubmitted(jobSpec{id: "job-000001", urgent: true, tasks: 1}, at)
	for range 2 {
		checker.taskStarted("job-000001/0", "a", at.Add(1500*time.Millisecond))
		checker.taskEnded("job-000001/0", "a")
	}
	if checker.urgent.TotalCount() != 1 || checker.urgent.Max() < 1490 || checker.urgent.Max() > 1510 || checker.starts != 2 || checker.running != 0 {
		t.Errorf("got %d timed tasks with at most %d ms, %d starts, %d running; want 1 with about 1500 ms, 2 starts, 0 running", checker.urgent.TotalCount(), checker.urgent.Max(), checker.starts, checker.running)
	}
	if p := peakRate(map[int64]int{1: 10, 2: 30, 5: 25}, 2); p != 20 {
		t.Errorf("peak rate over two seconds: got %v starts per second, want 20", p)
	}
}

// Guards against invalid settings that pass the check or hide behind the first one found: each invalid setting is
// named in the error, and the settings files of the repository are valid.
func TestInvalidSettingsAreNamed(t *testing.T) {
	for _, file := range []string{"small", "target"} {
		if _, err := Load("../../deploy/scale/" + file + ".toml"); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
	s := &Settings{Faults: []Fault{{Kind: "flood"}, {Kind: ReplaceAll, Zone: 9}}}
	err := s.check()
	for _, name := range []string{"duration_s", "controllers", "machines", "load.tasks", "state.txn_ops", "workers.cancel_s", "binary", "faults[0].kind", "faults[1].zone", "earlier_binary"} {
		if err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("error does not name %s: %v", name, err)
		}
	}
}
