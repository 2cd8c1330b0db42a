// Package knownred holds the tests of .ci/tests, which runs the module's tests and lets those that KNOWN-RED.txt names fail.
package knownred

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The module that the script is tried on: in a two tests fail, in b a test of the same name fails where the environment says so.
var module = map[string]string{
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
	bad  = "a TestBad | go test -run TestBad ./a | seed none | a fault | issue 1\n"
	part = "a TestPart/bad | go test -run TestPart ./a | seed 7 | a fault of a part | issue 2\n"
	good = "a TestGood | go test -run TestGood ./a | seed none | was at fault | issue 3\n"

	malformed = "not 'package Test | command | seed N | what was seen | issue N'"
)

func TestOnlyListedTestsMayFail(t *testing.T) {
	script, err := filepath.Abs("../../../.ci/tests")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		list   string // KNOWN-RED.txt; empty: there is none
		with   string // a package that is there beside a and b
		env    string
		passes bool
		says   []string
		last   string // how the last line of standard output begins
	}{
		{name: "no file", last: "FAIL"},
		{name: "all that fail are listed", list: bad + part, passes: true, last: "ok",
			says: []string{"known red: ./a TestBad fails", "known red: |     a_test.go:6: a fault", "known red: ./a TestPart/bad fails"}},
		{name: "one that fails is not listed", list: bad, last: "FAIL", says: []string{"a fault of a part"}},
		{name: "a listed one passes", list: bad + part + good, passes: true, last: "ok",
			says: []string{"known red: ./a TestGood passes: take it out of KNOWN-RED.txt"}},
		{name: "the same name in another package fails", list: bad + part, env: "SCRATCH_B_FAILS=1", last: "FAIL",
			says: []string{"a fault of b"}},
		{name: "four lines", list: bad + part + good + bad, says: []string{"KNOWN-RED.txt: 4 lines, 3 at most"}},
		{name: "no issue", list: "a TestBad | go test ./a | seed none | a fault\n", says: []string{malformed}},
		{name: "issue without a number", list: "a TestBad | go test ./a | seed none | a fault | issue\n", says: []string{malformed}},
		{name: "nothing seen", list: "a TestBad | go test ./a | seed none |  | issue 1\n", says: []string{malformed}},
		{name: "no command", list: "a TestBad |  | seed none | a fault | issue 1\n", says: []string{malformed}},
		{name: "no seed", list: "a TestBad | go test ./a | a fault | issue 1\n", says: []string{malformed}},
		{name: "the form before", list: "a TestBad: a fault (issue 1)\n", says: []string{malformed}},
		{name: "a pattern", list: "a Test.* | go test ./a | seed none | everything | issue 1\n", says: []string{malformed}},
		{name: "no such test", list: "a TestNone | go test ./a | seed none | gone | issue 1\n", says: []string{"./a has no test TestNone that runs"}},
		{name: "no such subtest", list: "a TestPart/none | go test ./a | seed none | gone | issue 1\n", says: []string{"./a has no test TestPart/none that runs"}},
		{name: "a package that does not build", list: "c TestBroken | go test ./c | seed none | does not build | issue 1\n", with: "c/c_test.go",
			says: []string{"./c TestBroken did not run"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			for name, text := range module {
				if !strings.HasPrefix(name, "c/") || name == c.with {
					write(t, filepath.Join(dir, name), text)
				}
			}
			if c.list != "" {
				write(t, filepath.Join(dir, "KNOWN-RED.txt"), c.list)
			}
			run := exec.Command(script)
			run.Dir = dir
			run.Env = append(os.Environ(), "GOWORK=off", "GOFLAGS=", c.env)
			var errors strings.Builder
			run.Stderr = &errors
			out, err := run.Output()
			if passed := exit(t, err) == 0; passed != c.passes {
				t.Errorf("ended with %v, expected to pass: %t", err, c.passes)
			}
			for _, says := range c.says {
				if !strings.Contains(string(out)+errors.String(), says) {
					t.Errorf("does not say %q", says)
				}
			}
			lines := strings.Split(strings.TrimSpace(string(out)), "\n")
			if last := lines[len(lines)-1]; !strings.HasPrefix(last, c.last) {
				t.Errorf("last line is %q, not %s", last, c.last)
			}
			if t.Failed() {
				t.Logf("%s%s", out, errors.String())
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

// exit is the status that a command ended with.
func exit(t *testing.T, err error) int {
	t.Helper()
	var ended *exec.ExitError
	if errors.As(err, &ended) {
		return ended.ExitCode()
	}
	if err != nil {
		t.Fatal(err)
	}
	return 0
}
