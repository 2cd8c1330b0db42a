// Package knownred tests the script .ci/tests, which runs the module's tests and tolerates failures of those in KNOWN-RED.txt.
package knownred

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// scratchModule holds the files of the module for which the tests run the script. Two tests of package a fail. A test of the same
// name in package b fails if SCRATCH_B_FAILS is set.
var scratchModule = map[string]string{
	"go.mod": "module scratch\n\ngo 1.26\n",
	"a/a_test.go": `package a

import "testing"

func TestGood(t *testing.T) {}
func TestBad(t *testing.T)  { t.Error("a fault") }
func TestPart(t *testing.T) {
	t.Run("good", func(t *testing.T) {})
	t.Run("bad", func(t *testing.T) { t.Error("a fault of a part") })
}
`,
	"b/b_test.go": `package b

import (
	"os"
	"testing"
)

func TestBad(t *testing.T) {
	if os.Getenv("SCRATCH_B_FAILS") != "" {
		t.Error("a fault of b")
	}
}
`,
	"c/c_test.go": "package c\n\nimport \"testing\"\n\nfunc TestBroken(t *testing.T) { undefined() }\n",
}

const (
	badEntry  = "a TestBad | go test -run TestBad ./a | seed none | a fault | issue 1\n"
	partEntry = "a TestPart/bad | go test -run TestPart ./a | seed 7 | a fault of a part | issue 2\n"
	goodEntry = "a TestGood | go test -run TestGood ./a | seed none | was at fault | issue 3\n"

	malformed = "not 'package Test | command | seed N | what was seen | issue N'"
)

// TestOnlyListedTestsMayFail checks the result and the output of the script for valid and malformed lists of known failures.
func TestOnlyListedTestsMayFail(t *testing.T) {
	script, err := filepath.Abs("../../../.ci/tests")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name      string
		list      string // content of KNOWN-RED.txt; empty for no file
		extraFile string // additional file of scratchModule, besides those of a and b
		env       string
		passes    bool
		wanted    []string // parts of the output
		last      string   // prefix of the last line of standard output
	}{
		{name: "no file", last: "FAIL"},
		{name: "all failing tests listed", list: badEntry + partEntry, passes: true, last: "ok",
			wanted: []string{"known red: ./a TestBad fails", "known red: |     a_test.go:6: a fault", "known red: ./a TestPart/bad fails"}},
		{name: "a failing test not listed", list: badEntry, last: "FAIL", wanted: []string{"a fault of a part"}},
		{name: "a listed test passes", list: badEntry + partEntry + goodEntry, passes: true, last: "ok",
			wanted: []string{"known red: ./a TestGood passes: take it out of KNOWN-RED.txt"}},
		{name: "a test of the same name in another package fails", list: badEntry + partEntry, env: "SCRATCH_B_FAILS=1", last: "FAIL",
			wanted: []string{"a fault of b"}},
		{name: "four lines", list: badEntry + partEntry + goodEntry + badEntry, wanted: []string{"KNOWN-RED.txt: 4 lines, 3 at most"}},
		{name: "no issue", list: "a TestBad | go test ./a | seed none | a fault\n", wanted: []string{malformed}},
		{name: "issue without a number", list: "a TestBad | go test ./a | seed none | a fault | issue\n", wanted: []string{malformed}},
		{name: "no observation", list: "a TestBad | go test ./a | seed none |  | issue 1\n", wanted: []string{malformed}},
		{name: "no command", list: "a TestBad |  | seed none | a fault | issue 1\n", wanted: []string{malformed}},
		{name: "no seed", list: "a TestBad | go test ./a | a fault | issue 1\n", wanted: []string{malformed}},
		{name: "previous format", list: "a TestBad: a fault (issue 1)\n", wanted: []string{malformed}},
		{name: "a pattern", list: "a Test.* | go test ./a | seed none | everything | issue 1\n", wanted: []string{malformed}},
		{name: "no such test", list: "a TestNone | go test ./a | seed none | gone | issue 1\n", wanted: []string{"./a has no test TestNone that runs"}},
		{name: "no such subtest", list: "a TestPart/none | go test ./a | seed none | gone | issue 1\n", wanted: []string{"./a has no test TestPart/none that runs"}},
		{name: "a package that does not build", list: "c TestBroken | go test ./c | seed none | does not build | issue 1\n", extraFile: "c/c_test.go",
			wanted: []string{"./c TestBroken did not run"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			for name, text := range scratchModule {
				if !strings.HasPrefix(name, "c/") || name == c.extraFile {
					write(t, filepath.Join(dir, name), text)
				}
			}
			if c.list != "" {
				write(t, filepath.Join(dir, "KNOWN-RED.txt"), c.list)
			}
			command := exec.Command(script)
			command.Dir = dir
			command.Env = append(os.Environ(), "GOWORK=off", "GOFLAGS=", c.env)
			var stderr strings.Builder
			command.Stderr = &stderr
			out, err := command.Output()
			if passed := exitStatus(t, err) == 0; passed != c.passes {
				t.Errorf("script returned %v, want success: %t", err, c.passes)
			}
			for _, wanted := range c.wanted {
				if !strings.Contains(string(out)+stderr.String(), wanted) {
					t.Errorf("output lacks %q", wanted)
				}
			}
			lines := strings.Split(strings.TrimSpace(string(out)), "\n")
			if last := lines[len(lines)-1]; !strings.HasPrefix(last, c.last) {
				t.Errorf("got last line %q, want prefix %s", last, c.last)
			}
			if t.Failed() {
				t.Logf("%s%s", out, stderr.String())
			}
		})
	}
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// exitStatus returns the exit status of a command.
func exitStatus(t *testing.T, err error) int {
	t.Helper()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	if err != nil {
		t.Fatal(err)
	}
	return 0
}
