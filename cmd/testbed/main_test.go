package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fernvane/internal/testbed/report"
)

// TestMain lets this very program run as a node, as the command does.
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

// A run from a file to its report, plot and comparison.
func TestRunWritesItsReports(t *testing.T) {
	dir := t.TempDir()
	scenario, out, plot := write(t, "small.toml", small), filepath.Join(dir, "a.json"), filepath.Join(dir, "a.svg")
	var text, errs strings.Builder
	code := run([]string{"run", scenario, "--quiet", "--baselines", "random", "--json", out, "--plot", plot}, &text, &errs)
	if code != 0 && code != exitInvalid { // a busy machine is late: the report says so, and is written
		t.Fatalf("exit %d: %s\n%s", code, errs.String(), text.String())
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
			t.Errorf("the report has no %s", k)
		}
	}
	r, err := report.Load(out)
	if err != nil || r.Handled == 0 || len(r.Baselines) != 1 || r.Baselines[0].Policy != "random" {
		t.Errorf("read again: %+v, %v", r, err)
	}
	if b, err := os.ReadFile(plot); err != nil || !strings.Contains(string(b), "slow") || !strings.HasPrefix(string(b), "<?xml") {
		t.Errorf("the plot: %v", err)
	}
	text.Reset()
	late := code == exitInvalid // and only then the comparison may say that it is not valid
	if code := run([]string{"compare", out, out}, &text, &errs); code != 0 || !strings.Contains(text.String(), "hire-book p99 ms") ||
		strings.Contains(text.String(), "NOT THE SAME") || strings.Contains(text.String(), "NOT") && !late {
		t.Errorf("compared: %d\n%s", code, text.String())
	}
}

// What is refused, with which code and word.
func TestBadInput(t *testing.T) {
	bad := write(t, "bad.toml", "name = \"x\"\nbase = \"calm\"\n[load]\nrate = -1\nshapes = 3\n")
	good := write(t, "good.toml", small)
	other := write(t, "other.json", `{"scenario":"x","seed":2}`)
	trace := write(t, "t.csv", "at_ms,type,tenant,site,key,work_ms\n1,hire-dance,,,0,1\n")
	for name, c := range map[string]struct {
		args []string
		code int
		says string
	}{
		"a bad file":          {[]string{"check", bad}, exitBadInput, "bad.toml:5: unknown key \"load.shapes\""},
		"run, a bad file":     {[]string{"run", bad}, exitBadInput, "bad.toml:5: "},
		"a good file":         {[]string{"check", good}, 0, ""},
		"no such scenario":    {[]string{"run", "dance"}, exitBadInput, "no scenario \"dance\""},
		"no such file":        {[]string{"check", bad + "x"}, exitBadInput, "no such file"},
		"no such baseline":    {[]string{"run", "calm", "--baselines", "magic"}, exitBadInput, "no baseline \"magic\""},
		"no such policy":      {[]string{"run", "calm", "--policy", "magic"}, exitBadInput, "no policy \"magic\""},
		"a bad trace":         {[]string{"run", good, "--trace", trace}, exitBadInput, "t.csv:2: no type \"hire-dance\""},
		"no such node":        {[]string{"run", good, "--node", bad + "x", "--quiet"}, exitBadInput, "node 0 cannot be started"},
		"a node that ends":    {[]string{"run", good, "--node", "/bin/false", "--quiet"}, exitBadInput, "node 0 has ended"},
		"no report":           {[]string{"compare", good, good}, exitBadInput, "decode report "},
		"different schedules": {[]string{"compare", other, write(t, "o.json", `{"scenario":"y"}`)}, 0, ""},
		"an unknown flag":     {[]string{"run", "--fast"}, exitBadInput, "unknown flag"},
		"scale, too large":    {[]string{"scale", "--plane", "discovery", "--nodes", "50000"}, exitBadInput, "processes: at most 200 are allowed"},
		"scale, no plane":     {[]string{"scale", "--plane", "magic"}, exitBadInput, "--plane magic: want one of discovery"},
		"capacity, nothing":   {[]string{"capacity", "--results", filepath.Dir(bad) + "x"}, exitBadInput, "has no .json files"},
		"no address":          {[]string{"load"}, exitBadInput, "required flag(s) \"to\""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var out, errs strings.Builder
			code := run(c.args, &out, &errs)
			if code != c.code || !strings.Contains(errs.String(), c.says) {
				t.Errorf("exit %d, %q", code, errs.String())
			}
		})
	}
}
