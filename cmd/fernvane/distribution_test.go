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

const fleetPatience = 30 * time.Second

// process is one of this very program's.
type process struct {
	t    *testing.T
	args []string
	cmd  *exec.Cmd
	log  *watched
	done chan error
}

// launch starts one and waits until it has said a word of its log.
func launch(t *testing.T, word string, args ...string) *process {
	t.Helper()
	p := &process{t: t, args: args}
	p.start(word)
	t.Cleanup(p.kill)
	return p
}

func (p *process) start(word string) {
	p.t.Helper()
	p.log = &watched{word: word, found: make(chan struct{})}
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
		p.t.Fatalf("%q ended: %v\n%s", p.args, err, p.log.text.String())
	case <-time.After(fleetPatience):
		p.t.Fatalf("%q never says %s", p.args, word)
	}
}

// kill ends it at once and waits for its end.
func (p *process) kill() {
	p.cmd.Process.Kill()
	err := <-p.done
	p.done <- err
}

// controlled is two control processes that follow each other, and nodes under them.
type controlled struct {
	t        *testing.T
	dir      string
	controls []*process
	at       []string // of the control processes
	nodes    []*process
	serving  []string // addresses of the nodes
}

const controlWord = `"control process started"`

func newControlled(t *testing.T, nodes int) *controlled {
	t.Helper()
	c := &controlled{t: t, dir: t.TempDir(), at: []string{address.Free(t), address.Free(t)}}
	for i := range c.at {
		file := c.file(fmt.Sprintf("control-%d.toml", i), fmt.Sprintf("name = \"c%d\"\nlisten = %q\ndisk = %q\nupstreams = [%q]\nfollow = \"all\"\nplaintext = true\n",
			i, c.at[i], filepath.Join(c.dir, fmt.Sprintf("control-%d.db", i)), c.at[1-i]))
		c.controls = append(c.controls, launch(t, controlWord, "control", "--file", file))
		c.file(fmt.Sprintf("ask-%d.toml", i), fmt.Sprintf("control = [%q]\nplaintext = true\n", c.at[i]))
	}
	for i := range nodes {
		at := address.Free(t)
		held := filepath.Join(c.dir, fmt.Sprintf("held-%d", i))
		if err := os.Mkdir(held, 0o700); err != nil {
			t.Fatal(err)
		}
		config := c.file(fmt.Sprintf("node-%d.json", i), fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":"127.0.0.1:1","settings":%s}`, i, at, example))
		file := c.file(fmt.Sprintf("node-%d.toml", i), fmt.Sprintf("control = [%q, %q]\nservices = [\"hire\"]\ndirectory = %q\nplaintext = true\nstart_within = \"20s\"\n",
			c.at[i%2], c.at[1-i%2], held))
		c.nodes = append(c.nodes, launch(t, `"serving"`, "serve", "--config", config, "--distribution", file))
		c.serving = append(c.serving, at)
	}
	return c
}

func (c *controlled) file(name, text string) string {
	c.t.Helper()
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// config runs a command against one control process.
func (c *controlled) config(at int, args ...string) (out string, code int) {
	c.t.Helper()
	args = append([]string{"config", "--file", filepath.Join(c.dir, fmt.Sprintf("ask-%d.toml", at))}, args...)
	var text, errs bytes.Buffer
	code = run(args, &text, &errs, func(string) string { return "" })
	return text.String() + errs.String(), code
}

// must runs a command that is to be done, again while the control process is not current yet.
func (c *controlled) must(at int, args ...string) string {
	c.t.Helper()
	for by := time.Now().Add(fleetPatience); ; time.Sleep(50 * time.Millisecond) {
		out, code := c.config(at, args...)
		if code == 0 {
			return out
		}
		if time.Now().After(by) || !strings.Contains(out, "not current") {
			c.t.Fatalf("%q: exit %d: %s", args, code, out)
		}
	}
}

// inForce asks whether all nodes have everything in force within the six seconds that the operators give.
func (c *controlled) inForce(at, nodes int) {
	c.t.Helper()
	if out, code := c.config(at, "status", "--within", "6s", "--expect", fmt.Sprint(nodes), "--reachable"); code != 0 {
		c.t.Fatalf("not in force within 6 s: exit %d\n%s", code, out)
	}
}

// takes asks a node for a body of so many bytes and returns the answer's status. A node may reject what it has no room for, as
// one that has just started on servers that it has to take for cold; that says nothing of its limits, so it is asked again.
func (c *controlled) takes(node, size int) int {
	c.t.Helper()
	for by := time.Now().Add(fleetPatience); ; {
		if status := c.asks(node, size); status != http.StatusServiceUnavailable || time.Now().After(by) {
			return status
		}
	}
}

func (c *controlled) asks(node, size int) int {
	c.t.Helper()
	q, err := http.NewRequest("POST", "http://"+c.serving[node]+"/hire-check/1", strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		c.t.Fatal(err)
	}
	q.Header.Set("Request-Id", fmt.Sprint("distribution-", time.Now().UnixNano()))
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		c.t.Fatal(err)
	}
	r.Body.Close()
	return r.StatusCode
}

// tree writes a file of the service: a server, many routes and one whose largest body is so many bytes.
func (c *controlled) tree(server string, most int) string {
	text := fmt.Sprintf("[[servers]]\nid = \"s\"\naddress = %q\n[[routes]]\nname = \"checks\"\npath = \"/hire-check/**\"\nbody_bytes = %d\n", server, most)
	for i := range 200 {
		text += fmt.Sprintf("[[routes]]\nname = \"r%d\"\npath = \"/hire-check/r/%d\"\nbody_bytes = %d\n", i, i, most)
	}
	return c.file("hire.toml", text)
}

// Several nodes of the shipped program under two control processes: a change is in force at all of them within 6 s, also
// when a control process dies as it is under way, and after one came back from its disk.
func TestChangeOutlivesAControlProcess(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok")) }))
	defer server.Close()
	const nodes = 4
	c := newControlled(t, nodes)
	at := server.Listener.Addr().String()
	check := func(what string, most int) {
		t.Helper()
		for i := range nodes {
			if small, large := c.takes(i, most), c.takes(i, most+1); small != 200 || large != 413 {
				t.Errorf("%s: node %d answers %d to %d bytes, %d to one more", what, i, small, most, large)
			}
		}
	}
	c.must(0, "apply", c.tree(at, 10))
	c.inForce(0, nodes)
	check("at first", 10)

	file := c.tree(at, 20)
	c.must(1, "apply", file)
	c.controls[0].kill() // as half of the nodes hear of it from this one
	c.inForce(1, nodes)
	check("with one control process dead", 20)

	c.must(1, "apply", c.tree(at, 30))
	c.controls[0].start(controlWord)
	c.inForce(1, nodes)
	check("as it comes back", 30)

	c.must(1, "apply", c.tree(at, 40))
	c.controls[1].kill() // it has told the writer; who has heard of it passes it on, and its disk has it
	c.controls[1].start(controlWord)
	c.inForce(1, nodes)
	check("the one that took the write died", 40)

	c.controls[0].cmd.Process.Signal(syscall.SIGSTOP) // its connections stand, and say nothing
	c.must(1, "apply", c.tree(at, 50))
	for by := time.Now().Add(fleetPatience); ; time.Sleep(20 * time.Millisecond) {
		behind := 0
		for i := range nodes {
			if c.takes(i, 50) != 200 {
				behind++
			}
		}
		if behind == 0 {
			break
		}
		if time.Now().After(by) {
			t.Fatalf("%d nodes never hear of a change while a control process stands still", behind)
		}
	}
	check("one that stands still", 50)

	for _, p := range c.controls {
		p.kill()
	}
	c.nodes[0].kill()
	c.file("node-0.toml", strings.Replace(mustRead(t, filepath.Join(c.dir, "node-0.toml")), "20s", "100ms", 1))
	c.nodes[0].start(`"serving"`)
	check("started without any control process", 50)
}

func mustRead(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// What the commands say and return, over a change that nodes cannot use and one of them that dies.
func TestConfigCommands(t *testing.T) {
	c := newControlled(t, 2)
	route := c.file("route.toml", "type = \"hire-check\"\nhops = 2\n")
	c.must(0, "put", "--service", "hire", "--kind", "route", "--name", "checks", route)
	c.inForce(1, 2)
	flags := []string{"--service", "hire", "--kind", "route", "--name"}
	tree := c.file("hire.toml", "[tenants]\ndairy = 5.0\n[[routes]]\nname = \"checks\"\ntype = \"hire-check\"\nhops = 3\n")
	bad := c.file("bad.toml", "type = \"dance\"\n")
	broken := c.file("broken.toml", "hop = 2\n")
	for _, step := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"apply", "--dry-run", tree}, 0, "~ hire/route/checks\n    - hops = 2\n    + hops = 3\n+ hire/tenant/dairy\n    + allowance = 5\n2 entries differ; nothing was written\n"},
		{[]string{"apply", tree}, 0, "written at "},
		{[]string{"apply", tree}, 0, "nothing differs"},
		{append([]string{"put", bad}, append(flags, "dance")...), 0, "written at "},
		{[]string{"status", "--within", "3s"}, 1, "n0 cannot use hire/route/dance: no traffic type \"dance\": there are hire-check, hire-book\n"},
		{append([]string{"delete"}, append(flags, "dance")...), 0, "written at "},
		{append([]string{"delete"}, append(flags, "dance")...), 1, "fernvane: nothing of that name is held: hire/route/dance\n"},
		{[]string{"status", "--within", "6s", "--expect", "2"}, 0, "current"},
		{append([]string{"put", broken}, append(flags, "x")...), 2, "broken.toml:1: unknown key \"hop\"\n"},
		{[]string{"put", route, "--kind", "route"}, 2, "fernvane: which entry? --name NAME\n"},
		{[]string{"put", route, "--kind", "road", "--name", "x"}, 2, "fernvane: --kind: \"road\" is no kind"},
		{[]string{"put"}, 2, "fernvane: put wants one FILE\n"},
		{[]string{"status", "--expect", "3"}, 1, "not all nodes have in force what is held"},
	} {
		out, code := c.config(0, step.args...)
		if code != step.code || !strings.Contains(out, step.want) {
			t.Errorf("%q: exit %d, not %d: %q, not %q", step.args, code, step.code, out, step.want)
		}
	}
	c.nodes[1].kill()
	var v statusView
	for by := time.Now().Add(fleetPatience); ; time.Sleep(50 * time.Millisecond) {
		out, code := c.config(0, "status", "--json")
		if err := json.Unmarshal([]byte(strings.SplitAfter(out, "}\n")[0]), &v); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		if code == 1 && !v.Current && len(v.Nodes) == 3 && v.Nodes[2].State == "unreachable" && v.Nodes[2].Unreachable != "" {
			break
		}
		if time.Now().After(by) {
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
