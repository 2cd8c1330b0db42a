package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"fernvane/internal/testbed/standin/address"
)

const processTimeout = 30 * time.Second // limit for the start of a process and for the arrival of a change

// process is a child process that runs the program under test.
type process struct {
	t    *testing.T
	args []string
	cmd  *exec.Cmd
	log  *logWatcher
	done chan error
}

// launch starts a process, waits until its log contains a text, and kills the process when the test ends.
func launch(t *testing.T, logText string, args ...string) *process {
	t.Helper()
	p := &process{t: t, args: args}
	p.start(logText)
	t.Cleanup(p.kill)
	return p
}

func (p *process) start(logText string) {
	p.t.Helper()
	p.log = &logWatcher{wanted: logText, found: make(chan struct{})}
	p.cmd = exec.Command(os.Args[0], p.args...)
	p.cmd.Env = append(os.Environ(), "FERNVANE_TEST_COMMAND=1")
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.done = make(chan error, 1)
	go func(cmd *exec.Cmd, done chan<- error) { done <- cmd.Wait() }(p.cmd, p.done)
	select {
	case <-p.log.found:
	case err := <-p.done:
		p.done <- err
		p.t.Fatalf("%q exited before its log contained the text: %v\n%s", p.args, err, p.log.text.String())
	case <-time.After(processTimeout):
		p.t.Fatalf("%q: timeout waiting for %s in its log", p.args, logText)
	}
}

// kill kills the process and waits for its termination.
func (p *process) kill() {
	p.cmd.Process.Kill()
	err := <-p.done
	p.done <- err
}

// testCluster is two control processes that follow each other, and nodes that follow them.
type testCluster struct {
	t        *testing.T
	dir      string
	controls []*process
	at       []string // addresses of the control processes
	nodes    []*process
	serving  []string // addresses of the nodes
}

const controlStarted = `"control process started"`

func newTestCluster(t *testing.T, nodes int) *testCluster {
	t.Helper()
	c := &testCluster{t: t, dir: t.TempDir(), at: []string{address.Free(t), address.Free(t)}}
	for i := range c.at {
		file := c.file(fmt.Sprintf("control-%d.toml", i), fmt.Sprintf("name = \"c%d\"\nlisten = %q\ndisk = %q\nupstreams = [%q]\nfollow = \"all\"\nplaintext = true\n",
			i, c.at[i], filepath.Join(c.dir, fmt.Sprintf("control-%d.db", i)), c.at[1-i]))
		c.controls = append(c.controls, launch(t, controlStarted, "control", "--file", file))
		c.file(fmt.Sprintf("ask-%d.toml", i), fmt.Sprintf("control = [%q]\nplaintext = true\n", c.at[i]))
	}
	for i := range nodes {
		at := address.Free(t)
		directory := filepath.Join(c.dir, fmt.Sprintf("held-%d", i))
		if err := os.Mkdir(directory, 0o700); err != nil {
			t.Fatal(err)
		}
		config := c.file(fmt.Sprintf("node-%d.json", i), fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":"127.0.0.1:1","settings":%s}`, i, at, example))
		file := c.file(fmt.Sprintf("node-%d.toml", i), fmt.Sprintf("control = [%q, %q]\nservices = [\"hire\"]\ndirectory = %q\nplaintext = true\nstart_within = \"20s\"\n",
			c.at[i%2], c.at[1-i%2], directory))
		c.nodes = append(c.nodes, launch(t, `"serving"`, "serve", "--config", config, "--distribution", file))
		c.serving = append(c.serving, at)
	}
	return c
}

func (c *testCluster) file(name, text string) string {
	c.t.Helper()
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// config runs a subcommand of config at one control process.
func (c *testCluster) config(at int, args ...string) (out string, code int) {
	c.t.Helper()
	args = append([]string{"config", "--file", filepath.Join(c.dir, fmt.Sprintf("ask-%d.toml", at))}, args...)
	var text, stderr bytes.Buffer
	code = run(args, &text, &stderr, func(string) string { return "" })
	return text.String() + stderr.String(), code
}

// must runs a subcommand that must succeed, and repeats it while the control process is not current yet.
func (c *testCluster) must(at int, args ...string) string {
	c.t.Helper()
	for deadline := time.Now().Add(processTimeout); ; time.Sleep(50 * time.Millisecond) {
		out, code := c.config(at, args...)
		if code == 0 {
			return out
		}
		if time.Now().After(deadline) || !strings.Contains(out, "not current") {
			c.t.Fatalf("%q: exit %d: %s", args, code, out)
		}
	}
}

// requireCurrent fails the test unless all nodes are current within 6 s, the operators' limit for a change.
func (c *testCluster) requireCurrent(at, nodes int) {
	c.t.Helper()
	if out, code := c.config(at, "status", "--within", "6s", "--expect", fmt.Sprint(nodes), "--reachable"); code != 0 {
		c.t.Fatalf("nodes not current within 6 s: exit %d\n%s", code, out)
	}
}

// postStatus sends a node a request with a body of size bytes and returns the status of the response. It repeats a request
// that the node rejects with 503 for lack of capacity, because that says nothing about the limit of the body. A node that has
// just started may reject requests, because it must treat its servers as cold.
func (c *testCluster) postStatus(node, size int) int {
	c.t.Helper()
	for deadline := time.Now().Add(processTimeout); ; {
		if status := c.post(node, size); status != http.StatusServiceUnavailable || time.Now().After(deadline) {
			return status
		}
	}
}

// post sends a node a request with a body of size bytes and returns the status of the response.
func (c *testCluster) post(node, size int) int {
	c.t.Helper()
	request, err := http.NewRequest("POST", "http://"+c.serving[node]+"/hire-check/1", strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		c.t.Fatal(err)
	}
	request.Header.Set("Request-Id", fmt.Sprint("distribution-", time.Now().UnixNano()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode
}

// serviceFile writes a file of the service with a server and many routes, all of which limit the body to maxBytes.
func (c *testCluster) serviceFile(server string, maxBytes int) string {
	text := fmt.Sprintf("[[servers]]\nid = \"s\"\naddress = %q\n[[routes]]\nname = \"checks\"\npath = \"/hire-check/**\"\nbody_bytes = %d\n", server, maxBytes)
	for i := range 200 {
		text += fmt.Sprintf("[[routes]]\nname = \"r%d\"\npath = \"/hire-check/r/%d\"\nbody_bytes = %d\n", i, i, maxBytes)
	}
	return c.file("hire.toml", text)
}

// TestChangeSurvivesControlProcessFailure guards against changes that are lost when a control process fails. All nodes must
// apply each change within 6 s, also when a control process is killed during the distribution, restarts from its disk or is
// stopped without closing its connections.
func TestChangeSurvivesControlProcessFailure(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok")) }))
	defer server.Close()
	const nodes = 4
	c := newTestCluster(t, nodes)
	at := server.Listener.Addr().String()
	check := func(phase string, maxBytes int) {
		t.Helper()
		for i := range nodes {
			if small, large := c.postStatus(i, maxBytes), c.postStatus(i, maxBytes+1); small != 200 || large != 413 {
				t.Errorf("%s: node %d: status %d for %d bytes, %d for one more; want 200 and 413", phase, i, small, maxBytes, large)
			}
		}
	}
	c.must(0, "apply", c.serviceFile(at, 10))
	c.requireCurrent(0, nodes)
	check("initial state", 10)

	file := c.serviceFile(at, 20)
	c.must(1, "apply", file)
	c.controls[0].kill() // half of the nodes receive the change from this control process
	c.requireCurrent(1, nodes)
	check("one control process killed", 20)

	c.must(1, "apply", c.serviceFile(at, 30))
	c.controls[0].start(controlStarted)
	c.requireCurrent(1, nodes)
	check("control process restarting", 30)

	c.must(1, "apply", c.serviceFile(at, 40))
	c.controls[1].kill() // the write is acknowledged, so it is on disk, and subscribers that received it pass it on
	c.controls[1].start(controlStarted)
	c.requireCurrent(1, nodes)
	check("control process that accepted the write killed", 40)

	c.controls[0].cmd.Process.Signal(syscall.SIGSTOP) // its connections stay open without traffic
	c.must(1, "apply", c.serviceFile(at, 50))
	for deadline := time.Now().Add(processTimeout); ; time.Sleep(20 * time.Millisecond) {
		behind := 0
		for i := range nodes {
			if c.postStatus(i, 50) != 200 {
				behind++
			}
		}
		if behind == 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("timeout: %d nodes did not receive the change while a control process was stopped", behind)
		}
	}
	check("control process stopped", 50)

	for _, p := range c.controls {
		p.kill()
	}
	c.nodes[0].kill()
	c.file("node-0.toml", strings.Replace(mustRead(t, filepath.Join(c.dir, "node-0.toml")), "20s", "100ms", 1))
	c.nodes[0].start(`"serving"`)
	check("node started without control processes", 50)
}

func mustRead(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestConfigCommands checks the output and the exit codes of config, also for an entry that nodes reject and for a killed node.
func TestConfigCommands(t *testing.T) {
	c := newTestCluster(t, 2)
	route := c.file("route.toml", "type = \"hire-check\"\nhops = 2\n")
	c.must(0, "put", "--service", "hire", "--kind", "route", "--name", "checks", route)
	c.requireCurrent(1, 2)
	flags := []string{"--service", "hire", "--kind", "route", "--name"}
	service := c.file("hire.toml", "[tenants]\ndairy = 5.0\n[[routes]]\nname = \"checks\"\ntype = \"hire-check\"\nhops = 3\n")
	unusable := c.file("bad.toml", "type = \"dance\"\n")
	malformed := c.file("broken.toml", "hop = 2\n")
	for _, step := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"apply", "--dry-run", service}, 0, "~ hire/route/checks\n    - hops = 2\n    + hops = 3\n+ hire/tenant/dairy\n    + allowance = 5\n2 entries differ; nothing was written\n"},
		{[]string{"apply", service}, 0, "written at "},
		{[]string{"apply", service}, 0, "nothing differs"},
		{append([]string{"put", unusable}, append(flags, "dance")...), 0, "written at "},
		{[]string{"status", "--within", "3s"}, 1, "n0 cannot use hire/route/dance: no traffic type \"dance\": there are hire-check, hire-book\n"},
		{append([]string{"delete"}, append(flags, "dance")...), 0, "written at "},
		{append([]string{"delete"}, append(flags, "dance")...), 1, "fernvane: delete: entry does not exist: hire/route/dance\n"},
		{[]string{"status", "--within", "6s", "--expect", "2"}, 0, "current"},
		{append([]string{"put", malformed}, append(flags, "x")...), 2, "broken.toml:1: unknown key \"hop\"\n"},
		{[]string{"put", route, "--kind", "route"}, 2, "fernvane: no entry named: use --name NAME\n"},
		{[]string{"put", route, "--kind", "road", "--name", "x"}, 2, "fernvane: --kind: unknown kind \"road\": want server"},
		{[]string{"put"}, 2, "fernvane: put: expected one FILE\n"},
		{[]string{"status", "--expect", "3"}, 1, "fernvane: not all expected nodes are current\n"},
	} {
		out, code := c.config(0, step.args...)
		if code != step.code || !strings.Contains(out, step.want) {
			t.Errorf("%q: exit %d, want %d; printed %q, want %q in it", step.args, code, step.code, out, step.want)
		}
	}
	c.nodes[1].kill()
	var v statusView
	for deadline := time.Now().Add(processTimeout); ; time.Sleep(50 * time.Millisecond) {
		out, code := c.config(0, "status", "--json")
		if err := json.Unmarshal([]byte(strings.SplitAfter(out, "}\n")[0]), &v); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		if code == 1 && !v.Current && len(v.Nodes) == 3 && v.Nodes[2].State == "unreachable" && v.Nodes[2].Unreachable != "" {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("exit %d: %s", code, out)
		}
	}
	c.nodes[0].cmd.Process.Signal(syscall.SIGTERM)
	if err := <-c.nodes[0].done; err != nil {
		t.Error(err)
	} else {
		c.nodes[0].done <- nil
	}
}
