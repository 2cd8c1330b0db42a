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

// documentedCommand matches a command in a page: a line of a code block, a comment of an example file, or a code span.
var documentedCommand = regexp.MustCompile("(?m)(?:^ {4}|^# +(?:Try it: +)?|`)((?:PROXY_CONFIG=config\\.json )?(?:bin/)?fernvane [^`#\n]+)")

// TestCommandsOfPages runs each command of the operators' pages and the example files with the built program, and requires that
// it succeeds. It replaces the names of files by valid files.
func TestCommandsOfPages(t *testing.T) {
	root := filepath.Join("..", "..")
	built := filepath.Join(t.TempDir(), "fernvane")
	if out, err := exec.Command("go", "build", "-o", built, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	journal := writeJournal(t)
	dir := t.TempDir()
	writeFile := func(name, text string) string {
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
	dockets := writeFile("dockets.jsonl", "")
	config := func() string { // with a different listen address for each node
		return writeFile(fmt.Sprintf("config-%d.json", time.Now().UnixNano()), fmt.Sprintf(`{"name":"n","listen":%q,"discovery":"127.0.0.1:1","settings":%s}`, address.Free(t), example))
	}
	substitutes := map[string]string{
		"config.json": "", "FILE": operator, "operator.toml": operator, "deploy/operator.example.toml": operator, "DIR": journal, "ID": "id-1", "COMMAND": "check",
		"/var/lib/fernvane/bindings": journal, "dockets.jsonl": dockets,
		"bindings.toml": writeFile("bindings.toml", fmt.Sprintf("dir = %q\nwhen_failing = \"deny\"\n", t.TempDir())),
		"registry.toml": writeFile("registry.toml", "servers = [\"127.0.0.1:1\"]\npath = \"/s\"\nsession = \"6s\"\n"),
		"snapshot.toml": writeFile("snapshot.toml", fmt.Sprintf("dir = %q\ndeployment = \"d\"\n", lists)), "LISTS": lists,
		"planners.toml": writeFile("planners.toml", "planners = [\"127.0.0.1:1\"]\nplaintext = true\n"),
		"planner.toml":  writeFile("planner.toml", fmt.Sprintf("name = \"p\"\nlisten = %q\ndiscovery = \"127.0.0.1:1\"\nplaintext = true\n", address.Free(t))),
	}
	distributed := newTestCluster(t, 1)
	distributed.must(0, "apply", distributed.serviceFile("127.0.0.1:1", 10))
	distribution := func(control string) string {
		return fmt.Sprintf("control = [%q]\nservices = [\"hire\"]\ndirectory = %q\nplaintext = true\nstart_within = \"100ms\"\n", control, t.TempDir())
	}
	substitutes["distribution.toml"], substitutes["services"] = writeFile("distribution.toml", distribution(distributed.at[0])), t.TempDir()
	substitutes["route.toml"] = writeFile("route.toml", "type = \"hire-book\"\n")
	if err := os.WriteFile(filepath.Join(substitutes["services"], "hire.toml"), []byte("[[routes]]\nname = \"checks\"\ntype = \"hire-check\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	substitutes["control.toml"] = writeFile("control.toml", fmt.Sprintf("name = \"c\"\nlisten = %q\ndisk = %q\nplaintext = true\n", address.Free(t), filepath.Join(dir, "control.db")))
	first, _ := startPeer(t, "n0")
	tier, err := peer.LoadConfig(first)
	if err != nil {
		t.Fatal(err)
	}
	substitutes["peers.toml"], _ = startPeer(t, "n1", fmt.Sprintf("%q", tier.Listen))
	isReplicated := func() bool {
		client := peer.Query(context.Background(), tier, false)
		return len(client.Responses) == 2 && client.Shortfall() == ""
	}
	for deadline := time.Now().Add(20 * time.Second); !isReplicated() && time.Now().Before(deadline); {
		time.Sleep(20 * time.Millisecond)
	}
	var pages []string
	for _, glob := range []string{"README.md", "docs/operators/*.md", "docs/on-call.md", "deploy/*.toml"} {
		found, _ := filepath.Glob(filepath.Join(root, glob))
		pages = append(pages, found...)
	}
	commands := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range documentedCommand.FindAllStringSubmatch(string(text), -1) {
			words := strings.Fields(strings.SplitN(m[1], "fernvane ", 2)[1])
			command := strings.Join(words, " ")
			commands++
			t.Run(filepath.Base(page)+": "+command, func(t *testing.T) {
				var args []string
				for _, w := range words {
					if substitute, ok := substitutes[w]; ok && substitute != "" {
						w = substitute
					} else if w == "config.json" {
						w = config()
					}
					if strings.HasPrefix(w, "(") { // a remark to the reader follows the command
						break
					}
					args = append(args, w)
				}
				if args[0] == "serve" && strings.Contains(command, "--planners FILE") { // FILE stands for a planners file here
					args[2] = substitutes["planners.toml"]
				}
				if i := slices.Index(args, substitutes["peers.toml"]); i >= 0 && args[0] == "serve" { // the substitute's address is in use
					args[i] = writeFile("own.toml", fmt.Sprintf("listen = %q\ndeployment = \"own\"\nheld = %q\nplaintext = true\n", address.Free(t), t.TempDir()))
				}
				if i := slices.Index(args, substitutes["distribution.toml"]); i >= 0 && args[0] == "serve" { // otherwise the node would be reported as unreachable after its exit
					args[i] = writeFile("nobody.toml", distribution("127.0.0.1:1"))
				}
				cmd := exec.Command(built, args...)
				cmd.Env = os.Environ()
				switch {
				case args[0] == "plan":
					cmd.Env = append(cmd.Env, "PROXY_PLAN="+substitutes["planner.toml"])
				case args[0] == "control":
					cmd.Env = append(cmd.Env, "PROXY_CONTROL="+substitutes["control.toml"])
				case args[0] == "serve", len(args) == 1: // other commands run without a configuration
					cmd.Env = append(cmd.Env, "PROXY_CONFIG="+config())
				}
				out, stderr := &bytes.Buffer{}, &logWatcher{wanted: map[string]string{"serve": `"serving"`, "plan": `"planner started"`, "control": `"control process started"`}[args[0]], found: make(chan struct{})}
				cmd.Stdout, cmd.Stderr = out, stderr
				if err := cmd.Start(); err != nil {
					t.Fatal(err)
				}
				ended := make(chan error, 1)
				go func() { ended <- cmd.Wait() }()
				if stderr.wanted != "" {
					select {
					case <-stderr.found:
						cmd.Process.Signal(syscall.SIGTERM)
					case err := <-ended:
						t.Fatalf("%v: %s", err, stderr.text.String())
					}
				}
				if err := <-ended; err != nil || stderr.wanted == "" && out.Len() == 0 {
					t.Errorf("%v: %s%s", err, out, stderr.text.String())
				}
			})
		}
	}
	t.Run("a node without files opens only its listener", func(t *testing.T) {
		cmd := exec.Command(built, "serve")
		cmd.Env = append(os.Environ(), "PROXY_CONFIG="+config())
		stderr := &logWatcher{wanted: `"serving"`, found: make(chan struct{})}
		cmd.Stderr = stderr
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		<-stderr.found
		listens, datagrams := sockets(t, cmd.Process.Pid)
		cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil || listens != 1 || datagrams != 0 {
			t.Errorf("got %d listeners and %d datagram sockets, want 1 and 0; exit: %v", listens, datagrams, err)
		}
	})
	if commands < 15 {
		t.Errorf("found %d commands, want at least 15", commands)
	}
}

// sockets counts the listeners and the datagram sockets of a process.
func sockets(t *testing.T, pid int) (listens, datagrams int) {
	t.Helper()
	ownInodes := map[string]bool{}
	fds, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil || len(fds) == 0 {
		t.Fatal(fds, err)
	}
	for _, fd := range fds {
		target, _ := os.Readlink(fd)
		ownInodes[strings.TrimSuffix(strings.TrimPrefix(target, "socket:["), "]")] = true
	}
	for _, kind := range []string{"tcp", "tcp6", "udp", "udp6"} {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", pid, kind))
		for line := range strings.Lines(string(text)) {
			fields := strings.Fields(line)
			if len(fields) < 10 || !ownInodes[fields[9]] {
				continue
			}
			if kind[0] == 'u' {
				datagrams++
			} else if fields[3] == "0A" {
				listens++
			}
		}
	}
	return listens, datagrams
}

// logWatcher collects a log and closes found when the log contains the wanted text.
type logWatcher struct {
	text    bytes.Buffer
	wanted  string
	found   chan struct{}
	isFound bool
}

func (w *logWatcher) Write(b []byte) (int, error) {
	w.text.Write(b)
	if !w.isFound && w.wanted != "" && bytes.Contains(w.text.Bytes(), []byte(w.wanted)) {
		w.isFound = true
		close(w.found)
	}
	return len(b), nil
}
