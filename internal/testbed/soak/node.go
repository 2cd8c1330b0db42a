package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"fernvane/internal/testbed/standin/discovery"
)

const (
	maxStartTime = 20 * time.Second     // from the start of the process until it accepts connections
	pollInterval = 5 * time.Millisecond // between attempts to connect
)

// node is the node process of a run. Its files are in one directory.
type node struct {
	dir     string
	command []string
	cmd     *exec.Cmd
	exited  chan struct{} // closed when the process has exited
}

// object is a JSON object.
type object = map[string]any

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// settings returns the node's settings, under the keys of the node's configuration.
func settings(p *Plan) object {
	trafficType := func(name, idempotency string) object {
		return object{"name": name, "idempotency": idempotency, "targetTime": milliseconds(p.Deadline / 4), "abandonTime": milliseconds(p.Deadline),
			"window": 0, "revenue": 1, "keyScope": "all"}
	}
	return object{"groupSize": 1, "me": 0, "granularity": 2, "discovery": "on_request", "dcs": []string{"a"}, "tenants": []object{},
		"trafficTypes": []object{trafficType("check", "safe"), trafficType("book", "unsafe")},
		"limits":       object{"connIdle": 5000, "connectTimeout": 100, "maxRetryAfter": 0, "mostHops": 4, "retryAfter": false, "secondCopies": false},
		"rules":        object{"askWithin": 3000, "stopSendingWithin": 500, "cold": 0, "fallMultiple": 0, "startCapacity": 1}}
}

// configure writes the node's configuration files. It renames complete files into place, so that the node never reads a partial one.
func (n *node) configure(p *Plan, listen, fastCGI, discoveryAddress string, list json.RawMessage) error {
	config, err := json.Marshal(object{"name": "n0", "listen": listen, "discovery": discoveryAddress, "seed": fmt.Sprint(p.Seed),
		"limits": object{"cores": 1, "memory_mb": 128, "sockets": p.Sockets()}, "known": list, "settings": settings(p)})
	if err != nil {
		return err
	}
	files := map[string]string{"node.json": string(config), "operator.toml": fmt.Sprintf("[fastcgi]\nlisten = %q\nflavors = [\"cgi\"]\n", fastCGI)}
	if p.HasJournal {
		if err := os.MkdirAll(n.journalDir(), 0o755); err != nil {
			return err
		}
		files["journal.toml"] = fmt.Sprintf("dir = %q\npromise = \"machine\"\nwhen_failing = \"deny\"\nwait_most = \"500ms\"\n", n.journalDir())
	}
	for name, text := range files {
		if err := os.WriteFile(n.path(name)+".new", []byte(text), 0o644); err != nil {
			return err
		}
		if err := os.Rename(n.path(name)+".new", n.path(name)); err != nil {
			return err
		}
	}
	return nil
}

func (n *node) path(name string) string { return filepath.Join(n.dir, name) }
func (n *node) journalDir() string      { return n.path("journal") }

// start starts the process and returns when it accepts connections at all addresses.
func (n *node) start(p *Plan, addresses ...string) error {
	log, err := os.Create(n.path("node.log"))
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command(n.command[0], n.command[1:]...)
	n.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+n.path("node.json"), "PROXY_OPERATOR="+n.path("operator.toml"))
	if p.HasJournal {
		n.cmd.Env = append(n.cmd.Env, "PROXY_BINDINGS="+n.path("journal.toml"))
	}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func() {
		n.cmd.Wait()
		close(n.exited)
	}()
	for deadline := time.Now().Add(maxStartTime); time.Now().Before(deadline) && !n.hasExited(); time.Sleep(pollInterval) {
		if len(addresses) > 0 && accepts(addresses[0]) {
			addresses = addresses[1:]
		}
		if len(addresses) == 0 {
			return nil
		}
	}
	return fmt.Errorf("start node: connections not accepted at all addresses, node log: %s", n.log())
}

// accepts reports whether a connection to an address is accepted.
func accepts(address string) bool {
	c, err := net.Dial("tcp", address)
	if err == nil {
		c.Close()
	}
	return err == nil
}

func (n *node) hasExited() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

func (n *node) signal(s syscall.Signal) { n.cmd.Process.Signal(s) }

// kill kills the process if it is running, and waits until it has exited.
func (n *node) kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	n.cmd.Process.Kill()
	<-n.exited
}

// log returns the content of the process's log.
func (n *node) log() []byte {
	text, _ := os.ReadFile(n.path("node.log"))
	return text
}

// hasPanicked reports whether the log contains a panic.
func (n *node) hasPanicked() bool { return bytes.Contains(n.log(), []byte("panic")) }

// nopWatcher is a discovery.Watcher that ignores all notifications.
type nopWatcher struct{}

// Announced implements discovery.Watcher.
func (nopWatcher) Announced(int, string, string, int64, time.Time) {}

// newDiscovery returns a discovery stand-in with entries for the servers.
func newDiscovery(p *Plan, addresses []string) *discovery.Service {
	d := discovery.New(discovery.Settings{LinesPerSecond: 1e5, CallLines: 1, Timeout: time.Second}, p.Seed, nopWatcher{})
	for i, address := range addresses {
		d.Set(discovery.Entry{ID: serverName(i), Site: "a", MachineKind: "m", Condition: discovery.Serving, Addresses: []string{address}})
	}
	return d
}

func serverName(i int) string { return fmt.Sprint("s-", i) }
