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

// TestMain runs the program instead of the tests if FERNVANE_TEST_COMMAND is set, so that tests can start it as a process.
func TestMain(m *testing.M) {
	if os.Getenv("FERNVANE_TEST_COMMAND") != "" {
		if os.Getenv("FERNVANE_TEST_FORBID") != "" {
			if err := installSyscallFilter(); err != nil {
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

// TestNodeSurvivesClosedLogAndReload guards against a node that terminates when the reader of its log closes the pipe. The node
// must continue to serve, also through a reload, and exit with 0 after SIGTERM.
func TestNodeSurvivesClosedLogAndReload(t *testing.T) {
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	read.Close()
	at, cmd, ended := startNode(t, write, "7")
	write.Close()
	cmd.Process.Signal(syscall.SIGHUP)
	if r, err := http.Get("http://" + at + "/"); err != nil || r.StatusCode != http.StatusBadRequest { // causes a log line
		t.Errorf("got response %v, error %v; want status 400", r, err)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// startNode starts a node as a child process with a list of known servers, and returns when the node responds to /up.
func startNode(t *testing.T, log io.Writer, known string, env ...string) (at string, cmd *exec.Cmd, ended chan error) {
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
			t.Fatalf("node exited before it responded: %v", err)
		default:
		}
		if r, err := http.Get("http://" + at + "/up"); err == nil {
			up = r.StatusCode == http.StatusOK
			r.Body.Close()
		}
	}
	return at, cmd, ended
}

// TestRun checks the exit codes of valid and invalid command lines, and the number of lines that they print on standard error.
func TestRun(t *testing.T) {
	truncated := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(truncated, []byte(`{"listen":`), 0o600); err != nil {
		t.Fatal(err)
	}
	valid := filepath.Join(t.TempDir(), "valid.json")
	if err := os.WriteFile(valid, []byte(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":{"limits":{"mostHops":2},"trafficTypes":
		[{"name":"a","targetTime":5,"abandonTime":50,"idempotency":"safe"}]}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	operatorFile := func(limits string) string {
		file := filepath.Join(t.TempDir(), "operator.toml")
		if err := os.WriteFile(file, []byte("[[routes]]\nname = \"r\"\ntype = \"a\"\n"+limits), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	watchFile := func(settings string) string {
		file := filepath.Join(t.TempDir(), "watch.json")
		if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	const watchedSettings = `{"limits":{"mostHops":2},"extra":{"warmKeys":%s},"trafficTypes":[{"name":"%s","targetTime":5,"idempotency":"safe","tardyRevenue":%s}]}`
	for name, c := range map[string]struct {
		args  []string
		code  int
		lines int // on standard error; 0 for any number
	}{
		"serve, truncated configuration":   {[]string{"serve", "-config", truncated}, exitUsage, 1},
		"check, truncated configuration":   {[]string{"check", "-config", truncated}, exitUsage, 1},
		"serve, no such file":              {[]string{"serve", "-config", truncated + "x"}, exitUsage, 1},
		"serve, no configuration":          {[]string{"serve"}, exitUsage, 1},
		"no command":                       {nil, exitUsage, 0},
		"unknown command":                  {[]string{"dance"}, exitUsage, 0},
		"unknown flag":                     {[]string{"serve", "-quick"}, exitUsage, 0},
		"check, invalid operator's file":   {[]string{"check", "-config", valid, "-operator", operatorFile("hops = 9\nrate = 0")}, exitUsage, 2},
		"serve, invalid operator's file":   {[]string{"serve", "-config", valid, "-operator", operatorFile("hops = 9")}, exitUsage, 1},
		"check, valid operator's file":     {[]string{"check", "-operator", operatorFile("hops = 1"), "-config", valid}, 0, 0},
		"the schema":                       {[]string{"check", "-schema"}, 0, 0},
		"explain":                          {[]string{"explain", "GET", "/a/b?c", "-config", valid, "--operator", operatorFile("hops = 1"), "--tenant", "t"}, 0, 0},
		"explain, no operator's file":      {[]string{"explain", "GET", "/a/b", "-config", valid}, exitUsage, 1},
		"check, operator's file alone":     {[]string{"check", "-operator", operatorFile("hops = 1")}, 0, 0},
		"check, file alone, two faults":    {[]string{"check", "--operator", operatorFile("hops = 0\nrate = 0")}, exitUsage, 2},
		"check, file alone, with settings": {[]string{"check", "--operator", operatorFile("hops = 1"), "--settings", valid}, 0, 0},
		"check, route not in the example":  {[]string{"check", "--operator", operatorFile("hops = 1"), "--settings", "example"}, exitUsage, 1},
		"check, missing settings file":     {[]string{"check", "--operator", operatorFile("hops = 1"), "--settings", truncated + "x"}, exitUsage, 1},
		"check, no such file":              {[]string{"check", "--operator", truncated + "x", "--registry", truncated + "y"}, exitUsage, 2},
		"check, no file named":             {[]string{"check"}, exitUsage, 1},
		"explain, file alone":              {[]string{"explain", "GET", "/a/b", "--operator", operatorFile("hops = 1")}, 0, 0},
		"header field without a value":     {[]string{"explain", "GET", "/a/b", "--header", "X"}, exitUsage, 1},
		"check, watched settings":          {[]string{"check", "-config", valid, "--watch", watchFile(fmt.Sprintf(watchedSettings, "true", "a", "0.5"))}, 0, 0},
		"serve, watched: out of range":     {[]string{"serve", "-config", valid, "--watch", watchFile(fmt.Sprintf(watchedSettings, "true", "a", "1.5"))}, exitUsage, 1},
		"serve, watched: not a bool":       {[]string{"serve", "-config", valid, "--watch", watchFile(fmt.Sprintf(watchedSettings, "2", "a", "0.5"))}, exitUsage, 1},
		"serve, watched: other types":      {[]string{"serve", "-config", valid, "--watch", watchFile(fmt.Sprintf(watchedSettings, "true", "b", "0.5"))}, exitUsage, 1},
		"serve, watched: no such file":     {[]string{"serve", "-config", valid, "--watch", truncated + "x"}, exitUsage, 1},
		"control, no such file":            {[]string{"control", "--file", truncated + "x"}, exitUsage, 1},
		"control, file of another kind":    {[]string{"control", "--file", truncated}, exitUsage, 1},
		"completion":                       {[]string{"completion", "bash"}, 0, 0},
		"explain, no path":                 {[]string{"explain", "GET", "-config", valid}, exitUsage, 1},
		"help":                             {[]string{"help"}, 0, 0},
		"version":                          {[]string{"version"}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var out, stderr strings.Builder
			code := run(c.args, &out, &stderr, func(string) string { return "" })
			if lines := strings.Count(stderr.String(), "\n"); code != c.code || c.lines > 0 && lines != c.lines {
				t.Errorf("unexpected exit %d or number of lines in standard error %q", code, stderr.String())
			}
			if code == 0 && out.Len() == 0 {
				t.Error("successful command printed nothing")
			}
		})
	}
}
