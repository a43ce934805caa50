// Command knownred prints the pattern of the tests that KNOWN-RED.txt names, for `go test -skip`, and
// tells of each on standard error. It prints nothing where there is no such file. A list with a
// mistake, or one that names a test or a subtest that does not exist, is an error.
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
	root := flag.String("root", ".", "the `directory` of the module")
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

func run(root string) (pattern string, err error) {
	list, err := os.ReadFile(filepath.Join(root, listName))
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	if err != nil {
		return "", err
	}
	packages, err := testFunctions(root)
	if err != nil {
		return "", err
	}
	entries, err := knownred.Parse(string(list), func(test string) bool { return packages[test] != "" })
	if err != nil {
		return "", err
	}
	for i := range entries {
		e := &entries[i]
		outcome, err := play(root, packages[e.Test], e)
		if err != nil {
			return "", fmt.Errorf("line %d: test: %w", e.Line, err)
		}
		fmt.Fprintf(os.Stderr, "known red, passed over: %s (issue %s): %s; to see it: %s; now: %s\n", e.Name(), e.Issue, e.Seen, e.Command, outcome)
	}
	return knownred.SkipPattern(entries), nil
}

var testFunction = regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9_]+)\(`)

// testFunctions lists the directory of each test function of the module.
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

// play runs the entry's test and tells its outcome, which does not count. That it ran shows that
// there is such a subtest, which no search in the sources can.
func play(root, directory string, e *knownred.Entry) (outcome string, err error) {
	relative, err := filepath.Rel(root, directory)
	if err != nil {
		return "", err
	}
	command := exec.Command("go", "test", "-count=1", "-v", "-run", e.Pattern(), "./"+filepath.ToSlash(relative))
	command.Dir = root
	output, failure := command.CombinedOutput()
	if !strings.Contains(string(output), "=== RUN   "+e.Name()+"\n") {
		return "", fmt.Errorf("%s did not run: there is no such subtest, or it does not build", e.Name())
	}
	if failure != nil {
		return "fails", nil
	}
	return "passes", nil
}
