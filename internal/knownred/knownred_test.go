package knownred

import (
	"errors"
	"regexp"
	"strings"
	"testing"
)

func testExists(test string) bool { return test == "TestOne" || test == "TestTwo" }

const validEntry = `TestOne/sub_1 | SEEDS="1 1" go test -run One ./x | 3 of 5 are late | issue 22`

// The fields of valid entries are parsed, with and without a subtest, and the skip pattern covers all entries.
func TestValidEntries(t *testing.T) {
	entries, err := Parse(validEntry+"\nTestTwo | go test ./x | red | issue 7\n", testExists)
	if err != nil {
		t.Fatal(err)
	}
	if want := (Entry{1, "TestOne", "sub_1", `SEEDS="1 1" go test -run One ./x`, "3 of 5 are late", "22"}); entries[0] != want {
		t.Errorf("got %+v, want %+v", entries[0], want)
	}
	if want := (Entry{2, "TestTwo", "", "go test ./x", "red", "7"}); entries[1] != want {
		t.Errorf("got %+v, want %+v", entries[1], want)
	}
	if got, want := SkipPattern(entries), "^TestOne$/^sub_1$|^TestTwo$"; got != want {
		t.Errorf("pattern %s, want %s", got, want)
	}
}

// Each kind of malformed list is rejected, with an error that names the line and the field.
func TestInvalidEntries(t *testing.T) {
	cases := []struct{ name, list, want string }{
		{"too few fields", "TestOne | go test | red", "line 1: 3 fields, want 4"},
		{"too many fields", "TestOne | go test | red | issue 1 | more", "line 1: 5 fields, want 4"},
		{"the older format", "TestOne: red: issue 22", "line 1: 1 fields, want 4"},
		{"an empty line between entries", validEntry + "\n\nTestTwo | go test | red | issue 1", "line 2: 1 fields"},
		{"unknown test", validEntry + "\nTestThree | go test | red | issue 1", "line 2: test: no test function is named TestThree"},
		{"not the name of a test", "Other | go test | red | issue 1", `line 1: test: "Other"`},
		{"a pattern instead of a name", "TestOne.* | go test | red | issue 1", `line 1: test: "TestOne.*"`},
		{"missing subtest", "TestOne/ | go test | red | issue 1", `line 1: test: "TestOne/"`},
		{"missing command", "TestOne |  | red | issue 1", "line 1: command and seed: missing"},
		{"missing observation", "TestOne | go test | | issue 1", "line 1: what was seen: missing"},
		{"missing issue", "TestOne | go test | red | ", `line 1: issue: ""`},
		{"an issue without a number", "TestOne | go test | red | issue x", `line 1: issue: "issue x"`},
		{"listed twice", validEntry + "\n" + validEntry, "line 2: test: TestOne/sub_1 is already listed in line 1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse(c.list, testExists)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
	if _, err := Parse("", testExists); !errors.Is(err, ErrEmpty) {
		t.Errorf("an empty list: error %v, want ErrEmpty", err)
	}
}

// A pattern matches only its own test, even if the name contains metacharacters of regular expressions.
func TestPatternMatchesOneTest(t *testing.T) {
	entry := Entry{Test: "TestOne", Subtest: "a.b+c"}
	levels := strings.Split(entry.Pattern(), "/")
	if len(levels) != 2 {
		t.Fatalf("pattern %s for TestOne/a.b+c", entry.Pattern())
	}
	sub := regexp.MustCompile(levels[1])
	if !sub.MatchString("a.b+c") || sub.MatchString("axb+c") || sub.MatchString("a.b+c2") {
		t.Errorf("pattern %s for TestOne/a.b+c", entry.Pattern())
	}
}
