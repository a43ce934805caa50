package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// createModule creates a module that has the given list and one test with two subtests, of which one fails. It returns
// its root directory.
func createModule(t *testing.T, list string) string {
	t.Helper()
	root := t.TempDir()
	files := map[string]string{
		"go.mod": "module example\n\ngo 1.24\n",
		"one_test.go": `package example

import "testing"

func TestOne(t *testing.T) {
	t.Run("red one", func(t *testing.T) { t.Error("red") })
	t.Run("green", func(t *testing.T) {})
}
`,
		listName: list,
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(root, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return root
}

// The pattern for a listed subtest that fails matches this subtest alone.
func TestListedSubtestIsSkipped(t *testing.T) {
	pattern, err := run(createModule(t, "TestOne/red_one | go test | red | issue 1\n"))
	if want := "^TestOne$/^red_one$"; err != nil || pattern != want {
		t.Errorf("pattern %q, error %v, want %q", pattern, err, want)
	}
}

// A list that names a test or a subtest that does not exist, or that is empty, is an error.
func TestListOfUnknownTestsFails(t *testing.T) {
	cases := []struct{ name, list, want string }{
		{"unknown subtest", "TestOne/blue | go test | red | issue 1\n", "line 1: test: TestOne/blue did not run"},
		{"unknown test", "TestTwo | go test | red | issue 1\n", "line 1: test: no test function is named TestTwo"},
		{"empty file", "", "names no test"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := run(createModule(t, c.list)); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}

// Without a list nothing is skipped.
func TestNoList(t *testing.T) {
	if pattern, err := run(t.TempDir()); pattern != "" || err != nil {
		t.Errorf("pattern %q, error %v", pattern, err)
	}
}
