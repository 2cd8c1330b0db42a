package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"fernvane/internal/testbed/standin/address"
)

// TestMain lets a test start this very program as a process of its own.
func TestMain(m *testing.M) {
	if os.Getenv("FERNVANE_TEST_COMMAND") != "" {
		if os.Getenv("FERNVANE_TEST_FORBID") != "" {
			if err := forbid(); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(9)
			}
			if len(os.Args) == 2 && os.Args[1] == "exec" {
				exec.Command("/bin/true").Run()
			}
		}
		main()
	}
	os.Exit(m.Run())
}

// The reader of the log goes away and the configuration is to be read again; the node serves on, and ends with 0
// when it is told to.
func TestNodeOutlivesItsLogAndAReload(t *testing.T) {
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	read.Close()
	at, cmd, ended := begin(t, write, "7")
	write.Close()
	cmd.Process.Signal(syscall.SIGHUP)
	if r, err := http.Get("http://" + at + "/"); err != nil || r.StatusCode != http.StatusBadRequest { // a line for the log
		t.Errorf("%v, %v", r, err)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// begin starts a node as a process of its own, with a list that it knows, and returns when it is up.
func begin(t *testing.T, log io.Writer, known string, env ...string) (at string, cmd *exec.Cmd, ended chan error) {
	t.Helper()
	at = address.Free(t)
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"listen":%q,"discovery":"127.0.0.1:1","known":%s,"settings":{"granularity":1,
		"limits":{"mostHops":1,"connectTimeout":2000,"connIdle":20000},
		"trafficTypes":[{"name":"a","targetTime":5000,"abandonTime":9000,"idempotency":"safe"}]}}`, at, known)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd = exec.Command(os.Args[0], "serve", "-config", path)
	cmd.Env = append(append(os.Environ(), "FERNVANE_TEST_COMMAND=1"), env...)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended = make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	for up := false; !up; {
		select {
		case err := <-ended:
			t.Fatalf("the node has ended: %v", err)
		default:
		}
		if r, err := http.Get("http://" + at + "/up"); err == nil {
			up = r.StatusCode == http.StatusOK
			r.Body.Close()
		}
	}
	return at, cmd, ended
}

func TestRun(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(`{"listen":`), 0o600); err != nil {
		t.Fatal(err)
	}
	good := filepath.Join(t.TempDir(), "good.json")
	if err := os.WriteFile(good, []byte(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":{"limits":{"mostHops":2},"trafficTypes":
		[{"name":"a","targetTime":5,"abandonTime":50,"idempotency":"safe"}]}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	routes := func(more string) string {
		file := filepath.Join(t.TempDir(), "operator.toml")
		if err := os.WriteFile(file, []byte("[[routes]]\nname = \"r\"\ntype = \"a\"\n"+more), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	watched := func(settings string) string {
		file := filepath.Join(t.TempDir(), "watch.json")
		if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	const kind = `{"limits":{"mostHops":2},"extra":{"warmKeys":%s},"trafficTypes":[{"name":"%s","targetTime":5,"idempotency":"safe","tardyRevenue":%s}]}`
	for name, c := range map[string]struct {
		args  []string
		code  int
		lines int // on standard error; 0 for any number
	}{
		"serve, a broken configuration":      {[]string{"serve", "-config", path}, exitUsage, 1},
		"check, a broken configuration":      {[]string{"check", "-config", path}, exitUsage, 1},
		"serve, no such file":                {[]string{"serve", "-config", path + "x"}, exitUsage, 1},
		"serve, no configuration":            {[]string{"serve"}, exitUsage, 1},
		"no command":                         {nil, exitUsage, 0},
		"another command":                    {[]string{"dance"}, exitUsage, 0},
		"an unknown flag":                    {[]string{"serve", "-quick"}, exitUsage, 0},
		"check, a bad operator's file":       {[]string{"check", "-config", good, "-operator", routes("hops = 9\nrate = 0")}, exitUsage, 2},
		"serve, a bad operator's file":       {[]string{"serve", "-config", good, "-operator", routes("hops = 9")}, exitUsage, 1},
		"check, a good one":                  {[]string{"check", "-operator", routes("hops = 1"), "-config", good}, 0, 0},
		"the schema":                         {[]string{"check", "-schema"}, 0, 0},
		"explain":                            {[]string{"explain", "GET", "/a/b?c", "-config", good, "--operator", routes("hops = 1"), "--tenant", "t"}, 0, 0},
		"explain, no operator's file":        {[]string{"explain", "GET", "/a/b", "-config", good}, exitUsage, 1},
		"check, an operator's file alone":    {[]string{"check", "-operator", routes("hops = 1")}, 0, 0},
		"check, alone, two faults":           {[]string{"check", "--operator", routes("hops = 0\nrate = 0")}, exitUsage, 2},
		"check, alone, another's settings":   {[]string{"check", "--operator", routes("hops = 1"), "--settings", good}, 0, 0},
		"check, not of the example":          {[]string{"check", "--operator", routes("hops = 1"), "--settings", "example"}, exitUsage, 1},
		"check, settings that are not there": {[]string{"check", "--operator", routes("hops = 1"), "--settings", path + "x"}, exitUsage, 1},
		"check, no such file":                {[]string{"check", "--operator", path + "x", "--registry", path + "y"}, exitUsage, 2},
		"check, nothing named":               {[]string{"check"}, exitUsage, 1},
		"explain, alone":                     {[]string{"explain", "GET", "/a/b", "--operator", routes("hops = 1")}, 0, 0},
		"a field without a value":            {[]string{"explain", "GET", "/a/b", "--header", "X"}, exitUsage, 1},
		"check, settings to watch":           {[]string{"check", "-config", good, "--watch", watched(fmt.Sprintf(kind, "true", "a", "0.5"))}, 0, 0},
		"serve, watched: out of range":       {[]string{"serve", "-config", good, "--watch", watched(fmt.Sprintf(kind, "true", "a", "1.5"))}, exitUsage, 1},
		"serve, watched: no bool":            {[]string{"serve", "-config", good, "--watch", watched(fmt.Sprintf(kind, "2", "a", "0.5"))}, exitUsage, 1},
		"serve, watched: other types":        {[]string{"serve", "-config", good, "--watch", watched(fmt.Sprintf(kind, "true", "b", "0.5"))}, exitUsage, 1},
		"serve, watched: no such file":       {[]string{"serve", "-config", good, "--watch", path + "x"}, exitUsage, 1},
		"control, no such file":              {[]string{"control", "--file", path + "x"}, exitUsage, 1},
		"control, a file of another kind":    {[]string{"control", "--file", path}, exitUsage, 1},
		"completion":                         {[]string{"completion", "bash"}, 0, 0},
		"explain, no path":                   {[]string{"explain", "GET", "-config", good}, exitUsage, 1},
		"help":                               {[]string{"help"}, 0, 0},
		"version":                            {[]string{"version"}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errs strings.Builder
			code := run(c.args, &out, &errs, func(string) string { return "" })
			if lines := strings.Count(errs.String(), "\n"); code != c.code || c.lines > 0 && lines != c.lines {
				t.Errorf("exit %d with %q", code, errs.String())
			}
			if code == 0 && out.Len() == 0 {
				t.Error("nothing is said")
			}
		})
	}
}
