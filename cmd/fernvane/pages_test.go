package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"fernvane/internal/cluster/peer"
	"fernvane/internal/discovery/snapshot"
	"fernvane/internal/journal/wal"
	"fernvane/internal/testbed/standin/address"
)

// written finds commands in pages: a line of a block of code, a comment of an example file, or a span of code.
var written = regexp.MustCompile("(?m)(?:^ {4}|^# +(?:Try it: +)?|`)((?:PROXY_CONFIG=config\\.json )?(?:bin/)?fernvane [^`#\n]+)")

// Each command that a page for operators or an example file shows does what it says, on the built program. Names of
// files stand for files that are there.
func TestCommandsOfPages(t *testing.T) {
	root := filepath.Join("..", "..")
	built := filepath.Join(t.TempDir(), "fernvane")
	if out, err := exec.Command("go", "build", "-o", built, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	journal := kept(t)
	dir := t.TempDir()
	put := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	operator := filepath.Join(root, "deploy", "operator.example.toml")
	lists := t.TempDir()
	store, err := snapshot.Open(lists, 3, wal.OSFileSystem{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range uint64(2) {
		if err := store.Write(&snapshot.Snapshot{Node: "n", Deployment: "d", Revision: i, ConfirmedUnixMS: time.Now().UnixMilli(), IsCleanShutdown: true,
			Servers: []snapshot.Server{{ID: fmt.Sprint("s", i), Address: "127.0.0.1:1"}}}); err != nil {
			t.Fatal(err)
		}
	}
	dockets := put("dockets.jsonl", "")
	config := func() string { // a listener of its own for each node
		return put(fmt.Sprintf("config-%d.json", time.Now().UnixNano()), fmt.Sprintf(`{"name":"n","listen":%q,"discovery":"127.0.0.1:1","settings":%s}`, address.Free(t), example))
	}
	stands := map[string]string{
		"config.json": "", "FILE": operator, "operator.toml": operator, "deploy/operator.example.toml": operator, "DIR": journal, "ID": "id-1", "COMMAND": "check",
		"/var/lib/fernvane/bindings": journal, "dockets.jsonl": dockets,
		"bindings.toml": put("bindings.toml", fmt.Sprintf("dir = %q\nwhen_failing = \"deny\"\n", t.TempDir())),
		"registry.toml": put("registry.toml", "servers = [\"127.0.0.1:1\"]\npath = \"/s\"\nsession = \"6s\"\n"),
		"snapshot.toml": put("snapshot.toml", fmt.Sprintf("dir = %q\ndeployment = \"d\"\n", lists)), "LISTS": lists,
		"planners.toml": put("planners.toml", "planners = [\"127.0.0.1:1\"]\nplaintext = true\n"),
		"planner.toml":  put("planner.toml", fmt.Sprintf("name = \"p\"\nlisten = %q\ndiscovery = \"127.0.0.1:1\"\nplaintext = true\n", address.Free(t))),
	}
	distributed := newControlled(t, 1)
	distributed.must(0, "apply", distributed.tree("127.0.0.1:1", 10))
	distribution := func(control string) string {
		return fmt.Sprintf("control = [%q]\nservices = [\"hire\"]\ndirectory = %q\nplaintext = true\nstart_within = \"100ms\"\n", control, t.TempDir())
	}
	stands["distribution.toml"], stands["services"] = put("distribution.toml", distribution(distributed.at[0])), t.TempDir()
	stands["route.toml"] = put("route.toml", "type = \"hire-book\"\n")
	if err := os.WriteFile(filepath.Join(stands["services"], "hire.toml"), []byte("[[routes]]\nname = \"checks\"\ntype = \"hire-check\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	stands["control.toml"] = put("control.toml", fmt.Sprintf("name = \"c\"\nlisten = %q\ndisk = %q\nplaintext = true\n", address.Free(t), filepath.Join(dir, "control.db")))
	first, _ := node(t, "n0")
	tier, err := peer.LoadConfig(first)
	if err != nil {
		t.Fatal(err)
	}
	stands["peers.toml"], _ = node(t, "n1", fmt.Sprintf("%q", tier.Listen))
	whole := func() bool {
		t := peer.Query(context.Background(), tier, false)
		return len(t.Answered) == 2 && t.Shortfall() == ""
	}
	for by := time.Now().Add(20 * time.Second); !whole() && time.Now().Before(by); {
		time.Sleep(20 * time.Millisecond)
	}
	var pages []string
	for _, glob := range []string{"README.md", "docs/operators/*.md", "docs/on-call.md", "deploy/*.toml"} {
		found, _ := filepath.Glob(filepath.Join(root, glob))
		pages = append(pages, found...)
	}
	seen := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range written.FindAllStringSubmatch(string(text), -1) {
			words := strings.Fields(strings.SplitN(m[1], "fernvane ", 2)[1])
			command := strings.Join(words, " ")
			seen++
			t.Run(filepath.Base(page)+": "+command, func(t *testing.T) {
				var args []string
				for _, w := range words {
					if as, ok := stands[w]; ok && as != "" {
						w = as
					} else if w == "config.json" {
						w = config()
					}
					if strings.HasPrefix(w, "(") { // a word to the reader
						break
					}
					args = append(args, w)
				}
				if args[0] == "serve" && strings.Contains(command, "--planners FILE") { // where FILE is not an operator's
					args[2] = stands["planners.toml"]
				}
				if i := slices.Index(args, stands["peers.toml"]); i >= 0 && args[0] == "serve" { // its address is taken
					args[i] = put("own.toml", fmt.Sprintf("listen = %q\ndeployment = \"own\"\nheld = %q\nplaintext = true\n", address.Free(t), t.TempDir()))
				}
				if i := slices.Index(args, stands["distribution.toml"]); i >= 0 && args[0] == "serve" { // or it would count as a node that is gone
					args[i] = put("nobody.toml", distribution("127.0.0.1:1"))
				}
				cmd := exec.Command(built, args...)
				cmd.Env = os.Environ()
				switch {
				case args[0] == "plan":
					cmd.Env = append(cmd.Env, "PROXY_PLAN="+stands["planner.toml"])
				case args[0] == "control":
					cmd.Env = append(cmd.Env, "PROXY_CONTROL="+stands["control.toml"])
				case args[0] == "serve", len(args) == 1: // the others as a newcomer has them, without a configuration
					cmd.Env = append(cmd.Env, "PROXY_CONFIG="+config())
				}
				out, errs := &bytes.Buffer{}, &watched{word: map[string]string{"serve": `"serving"`, "plan": `"planner started"`, "control": `"control process started"`}[args[0]], found: make(chan struct{})}
				cmd.Stdout, cmd.Stderr = out, errs
				if err := cmd.Start(); err != nil {
					t.Fatal(err)
				}
				ended := make(chan error, 1)
				go func() { ended <- cmd.Wait() }()
				if errs.word != "" {
					select {
					case <-errs.found:
						cmd.Process.Signal(syscall.SIGTERM)
					case err := <-ended:
						t.Fatalf("%v: %s", err, errs.text.String())
					}
				}
				if err := <-ended; err != nil || errs.word == "" && out.Len() == 0 {
					t.Errorf("%v: %s%s", err, out, errs.text.String())
				}
			})
		}
	}
	t.Run("a node without files opens nothing but its listener", func(t *testing.T) {
		cmd := exec.Command(built, "serve")
		cmd.Env = append(os.Environ(), "PROXY_CONFIG="+config())
		errs := &watched{word: `"serving"`, found: make(chan struct{})}
		cmd.Stderr = errs
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		<-errs.found
		listens, datagrams := sockets(t, cmd.Process.Pid)
		cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil || listens != 1 || datagrams != 0 {
			t.Errorf("%d listeners, %d sockets for datagrams: %v", listens, datagrams, err)
		}
	})
	if seen < 15 {
		t.Errorf("only %d commands are found", seen)
	}
}

// sockets counts a process's listeners and its sockets for datagrams.
func sockets(t *testing.T, pid int) (listens, datagrams int) {
	t.Helper()
	own := map[string]bool{}
	fds, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil || len(fds) == 0 {
		t.Fatal(fds, err)
	}
	for _, fd := range fds {
		to, _ := os.Readlink(fd)
		own[strings.TrimSuffix(strings.TrimPrefix(to, "socket:["), "]")] = true
	}
	for _, kind := range []string{"tcp", "tcp6", "udp", "udp6"} {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", pid, kind))
		for line := range strings.Lines(string(text)) {
			f := strings.Fields(line)
			if len(f) < 10 || !own[f[9]] {
				continue
			}
			if kind[0] == 'u' {
				datagrams++
			} else if f[3] == "0A" {
				listens++
			}
		}
	}
	return listens, datagrams
}

// watched is a log that tells when a word comes.
type watched struct {
	text  bytes.Buffer
	word  string
	found chan struct{}
	told  bool
}

func (w *watched) Write(b []byte) (int, error) {
	w.text.Write(b)
	if !w.told && w.word != "" && bytes.Contains(w.text.Bytes(), []byte(w.word)) {
		w.told = true
		close(w.found)
	}
	return len(b), nil
}
