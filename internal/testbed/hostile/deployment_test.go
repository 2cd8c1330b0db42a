package hostile

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fernvane/internal/testbed/standin/address"
)

const (
	maxSockets    = 1024             // descriptors of a node, the largest limit of the platform
	clientTimeout = 2 * time.Second  // of all traffic types
	workTime      = time.Millisecond // of a server for one request
)

type object = map[string]any

// node is a node process with one server. It serves HTTP, FastCGI, and the connections of other nodes.
type node struct {
	*process
	http, fastCGI, peers string       // listen addresses
	work                 atomic.Int64 // of the server for one request, in nanoseconds
	served, ended        atomic.Int64 // requests that its server has begun and ended
	begunByID            sync.Map     // *atomic.Int64 by request ID
}

// begun returns how often the server has begun a request.
func (n *node) begun(id string) int64 {
	count, _ := n.begunByID.LoadOrStore(id, &atomic.Int64{})
	return count.(*atomic.Int64).Load()
}

// startNode starts a node with a memory limit in MiB.
func startNode(t *testing.T, memoryMB int) *node {
	t.Helper()
	n := &node{http: address.Free(t), fastCGI: address.Free(t), peers: address.Free(t)}
	n.work.Store(int64(workTime))
	server := n.startServer(t)
	dir := t.TempDir()
	held := filepath.Join(dir, "held")
	if err := os.Mkdir(held, 0o700); err != nil {
		t.Fatal(err)
	}
	list := object{"revision": 1, "complete": true, "members": []object{{"id": "s-0", "host_port": server, "locality": "a", "flavor": "m", "cell": 1, "phase": "SERVING", "size": 1}}}
	config := object{"name": "n0", "listen": n.http, "discovery": address.Free(t), "seed": "1",
		"limits": object{"cores": 1, "memory_mb": memoryMB, "sockets": maxSockets}, "known": list, "settings": settings()}
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	configPath := writeFile(t, dir, "node.json", string(text))
	operatorPath := writeFile(t, dir, "operator.toml", fmt.Sprintf("[fastcgi]\nlisten = %q\n", n.fastCGI))
	peersPath := writeFile(t, dir, "peers.toml", fmt.Sprintf("listen = %q\ndeployment = \"d\"\nreplicas = 1\nheld = %q\nplaintext = true\n", n.peers, held))
	n.process = startProcess(t, []string{"serve", "--config", configPath, "--operator", operatorPath, "--peers", peersPath}, n.http, n.fastCGI, n.peers)
	return n
}

// startServer starts an HTTP server for the node and returns its address.
func (n *node) startServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		io.Copy(io.Discard, r.Body)
		n.served.Add(1)
		count, _ := n.begunByID.LoadOrStore(id, &atomic.Int64{})
		count.(*atomic.Int64).Add(1)
		time.Sleep(time.Duration(n.work.Load()))
		fmt.Fprintf(w, "answer to %s", id)
		n.ended.Add(1)
	})}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// settings returns the settings of a node, under the keys of its configuration.
func settings() object {
	milliseconds := float64(clientTimeout / time.Millisecond)
	trafficType := func(name, idempotency string) object {
		return object{"name": name, "idempotency": idempotency, "targetTime": milliseconds / 4, "abandonTime": milliseconds, "window": 0, "revenue": 1, "keyScope": "all"}
	}
	return object{"groupSize": 1, "me": 0, "granularity": 2, "discovery": "on_request", "dcs": []string{"a"}, "tenants": []object{{"name": "known", "allowancePerS": 1000, "fraction": 1}},
		"trafficTypes": []object{trafficType("check", "safe"), trafficType("book", "unsafe")},
		"limits":       object{"connIdle": 5000, "connectTimeout": 100, "maxRetryAfter": 0, "mostHops": 4, "retryAfter": false, "secondCopies": false},
		"rules":        object{"askWithin": 3000, "stopSendingWithin": 500, "cold": 0, "fallMultiple": 0, "startCapacity": 1}}
}

// startPlanner starts a planner without servers and returns it with its address.
func startPlanner(t *testing.T) (p *process, at string) {
	t.Helper()
	at = address.Free(t)
	file := writeFile(t, t.TempDir(), "planner.toml", fmt.Sprintf("name = \"p0\"\nlisten = %q\ndiscovery = %q\nevery = \"500ms\"\nplaintext = true\n", at, address.Free(t)))
	return startProcess(t, []string{"plan", "--file", file}, at), at
}

// startControl starts a control process and returns it with its address.
func startControl(t *testing.T) (p *process, at string) {
	t.Helper()
	dir := t.TempDir()
	at = address.Free(t)
	file := writeFile(t, dir, "control.toml", fmt.Sprintf("name = \"c0\"\nregion = \"north\"\nzone = \"a\"\nlisten = %q\ndisk = %q\nplaintext = true\n", at, filepath.Join(dir, "control.db")))
	return startProcess(t, []string{"control", "--file", file}, at), at
}

func writeFile(t *testing.T, dir, name, text string) (path string) {
	t.Helper()
	path = filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
