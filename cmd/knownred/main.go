// Command knownred prints a pattern for `go test -skip` that matches the tests listed in KNOWN-RED.txt, those that are
// known to fail. It runs each listed test once, and reports its entry and the outcome on standard error. It prints
// nothing if the file does not exist. It fails if the list is malformed, or if a listed test or subtest does not exist,
// since such an entry would skip nothing.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"

	"cleatpick/internal/knownred"
)

const listName = "KNOWN-RED.txt"

func main() {
	root := flag.String("root", ".", "root `directory` of the module")
	flag.Parse()
	pattern, err := run(*root)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", listName, err)
		os.Exit(1)
	}
	if pattern != "" {
		fmt.Println(pattern)
	}
}

// run returns the pattern for the list in the module's root directory, or an empty pattern if there is no list.
func run(root string) (pattern string, err error) {
	list, err := os.ReadFile(filepath.Join(root, listName))
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	if err != nil {
		return "", err
	}
	directories, err := testFunctions(root)
	if err != nil {
		return "", err
	}
	entries, err := knownred.Parse(string(list), func(test string) bool { return directories[test] != "" })
	if err != nil {
		return "", err
	}
	for i := range entries {
		e := &entries[i]
		outcome, err := runTest(root, directories[e.Test], e)
		if err != nil {
			return "", fmt.Errorf("line %d: test: %w", e.Line, err)
		}
		fmt.Fprintf(os.Stderr, "known failure, skipped: %s (issue %s): %s; reproduce with: %s; outcome now: %s\n", e.Name(), e.Issue, e.Seen, e.Command, outcome)
	}
	return knownred.SkipPattern(entries), nil
}

var testFunction = regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9_]+)\(`)

// testFunctions maps the name of each test function of the module to its directory.
func testFunctions(root string) (map[string]string, error) {
	directories := map[string]string{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, match := range testFunction.FindAllSubmatch(source, -1) {
			directories[string(match[1])] = filepath.Dir(path)
		}
		return nil
	})
	return directories, err
}

// runTest runs the entry's test and returns its outcome, which is only reported. The run shows whether the subtest
// exists, which a search in the sources cannot, since names of subtests may be computed.
func runTest(root, directory string, e *knownred.Entry) (outcome string, err error) {
	relative, err := filepath.Rel(root, directory)
	if err != nil {
		return "", err
	}
	command := exec.Command("go", "test", "-count=1", "-v", "-run", e.Pattern(), "./"+filepath.ToSlash(relative))
	command.Dir = root
	output, testErr := command.CombinedOutput()
	if !strings.Contains(string(output), "=== RUN   "+e.Name()+"\n") {
		return "", fmt.Errorf("%s did not run: the subtest does not exist, or the package does not build", e.Name())
	}
	if testErr != nil {
		return "fails", nil
	}
	return "passes", nil
}
