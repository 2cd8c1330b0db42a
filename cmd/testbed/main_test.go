package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fernvane/internal/testbed/report"
)

// TestMain runs the test binary as a node if it was started as one, as the command does.
func TestMain(m *testing.M) {
	if len(os.Args) == 2 && os.Args[1] == nodeCommand {
		main()
	}
	os.Exit(m.Run())
}

const small = `name = "small"
base = "calm"
length = "1s"
sites = ["one"]
[nodes]
count = 1
[rules]
slack = "2s"
[[boxes]]
kind = "box"
count = 2
speed = 4
[load]
rate = 60
[[faults]]
kind = "slow"
at = "200ms"
for = "300ms"
boxes = ["box-0"]
size = 2
`

func write(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestRunWritesItsReports checks the report, plot and comparison of a run from a scenario file.
func TestRunWritesItsReports(t *testing.T) {
	dir := t.TempDir()
	scenario, out, plot := write(t, "small.toml", small), filepath.Join(dir, "a.json"), filepath.Join(dir, "a.svg")
	var text, errs strings.Builder
	code := run([]string{"run", scenario, "--quiet", "--baselines", "random", "--json", out, "--plot", plot}, &text, &errs)
	if code != 0 && code != exitInvalid { // on a busy machine the generator may be late: the report says so and is written all the same
		t.Fatalf("got exit code %d, want 0 or 3: %s\n%s", code, errs.String(), text.String())
	}
	b, err := os.ReadFile(out)
	if err != nil {
		t.Fatal(err)
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(b, &keys); err != nil {
		t.Fatal(err)
	}
	for _, k := range strings.Fields("scenario seed nodes boxes offered service answered_in_target handled denied written_off unanswered rules latency_ms generator baselines") {
		if len(keys[k]) == 0 {
			t.Errorf("report lacks key %s", k)
		}
	}
	r, err := report.Load(out)
	if err != nil || r.Handled == 0 || len(r.Baselines) != 1 || r.Baselines[0].Policy != "random" {
		t.Errorf("loaded report: got %+v, error %v, want handled requests and baseline random", r, err)
	}
	if b, err := os.ReadFile(plot); err != nil || !strings.Contains(string(b), "slow") || !strings.HasPrefix(string(b), "<?xml") {
		t.Errorf("plot: got error %v, want an SVG with the fault slow", err)
	}
	text.Reset()
	isLate := code == exitInvalid // only then may the comparison say that a report is not valid
	if code := run([]string{"compare", out, out}, &text, &errs); code != 0 || !strings.Contains(text.String(), "hire-book p99 ms") ||
		strings.Contains(text.String(), "NOT THE SAME") || strings.Contains(text.String(), "NOT") && !isLate {
		t.Errorf("compare: got exit code %d, want 0 and no warning:\n%s", code, text.String())
	}
}

// TestBadInput checks exit code and message of invalid input.
func TestBadInput(t *testing.T) {
	invalid := write(t, "bad.toml", "name = \"x\"\nbase = \"calm\"\n[load]\nrate = -1\nshapes = 3\n")
	valid := write(t, "good.toml", small)
	other := write(t, "other.json", `{"scenario":"x","seed":2}`)
	trace := write(t, "t.csv", "at_ms,type,tenant,site,key,work_ms\n1,hire-dance,,,0,1\n")
	for name, c := range map[string]struct {
		args []string
		code int
		want string // in the output to standard error
	}{
		"bad file":             {[]string{"check", invalid}, exitBadInput, "bad.toml:5: unknown key \"load.shapes\""},
		"run, bad file":        {[]string{"run", invalid}, exitBadInput, "bad.toml:5: "},
		"good file":            {[]string{"check", valid}, 0, ""},
		"no such scenario":     {[]string{"run", "dance"}, exitBadInput, "no scenario \"dance\""},
		"no such file":         {[]string{"check", invalid + "x"}, exitBadInput, "no such file"},
		"no such baseline":     {[]string{"run", "calm", "--baselines", "magic"}, exitBadInput, "unknown baseline \"magic\""},
		"no such policy":       {[]string{"run", "calm", "--policy", "magic"}, exitBadInput, "unknown policy \"magic\""},
		"bad trace":            {[]string{"run", valid, "--trace", trace}, exitBadInput, "t.csv:2: no type \"hire-dance\""},
		"no such node":         {[]string{"run", valid, "--node", invalid + "x", "--quiet"}, exitBadInput, "start node 0: "},
		"node that ends":       {[]string{"run", valid, "--node", "/bin/false", "--quiet"}, exitBadInput, "node 0 exited: exit status 1"},
		"no report":            {[]string{"compare", valid, valid}, exitBadInput, "decode report "},
		"different schedules":  {[]string{"compare", other, write(t, "o.json", `{"scenario":"y"}`)}, 0, ""},
		"unknown flag":         {[]string{"run", "--fast"}, exitBadInput, "unknown flag"},
		"scale, too large":     {[]string{"scale", "--plane", "discovery", "--nodes", "50000"}, exitBadInput, "processes: at most 200 are allowed"},
		"scale, no plane":      {[]string{"scale", "--plane", "magic"}, exitBadInput, "--plane magic: want one of discovery"},
		"capacity, no results": {[]string{"capacity", "--results", filepath.Dir(invalid) + "x"}, exitBadInput, "has no .json files"},
		"no address":           {[]string{"load"}, exitBadInput, "required flag(s) \"to\""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var out, errs strings.Builder
			code := run(c.args, &out, &errs)
			if code != c.code || !strings.Contains(errs.String(), c.want) {
				t.Errorf("got exit code %d with output %q", code, errs.String())
			}
		})
	}
}
