package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fernvane/internal/testbed/standin/address"
)

// openIdleConnections keeps n idle connections to an address open until the test ends. The connections send nothing, one
// request or half a request in turn. A closed connection is reopened. The function returns after each connection has been
// accepted once.
func openIdleConnections(t *testing.T, at string, n int) {
	openings := []string{"", "GET /up HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a/1 HTTP/1.1\r\nHo"}
	done := make(chan struct{})
	var running, opened sync.WaitGroup
	running.Add(n)
	opened.Add(n)
	for i := range n {
		go func() {
			defer running.Done()
			markOpened := sync.OnceFunc(opened.Done)
			defer markOpened()
			for {
				c, err := net.Dial("tcp", at)
				if err == nil {
					io.WriteString(c, openings[i%len(openings)])
					markOpened()
					closed := make(chan struct{})
					go func() {
						defer close(closed)
						io.Copy(io.Discard, c)
					}()
					select {
					case <-closed:
					case <-done:
					}
					c.Close()
					<-closed
				}
				select {
				case <-done:
					return
				case <-time.After(5 * time.Millisecond):
				}
			}
		}()
	}
	opened.Wait()
	t.Cleanup(func() {
		close(done)
		running.Wait()
	})
}

// TestIdleClientsLeaveRoom guards against exhaustion of file descriptors by idle client connections. Clients open more
// connections than the node has descriptors while discovery is down. After discovery returns, the node must still be able to
// request the list, continue the watch and connect to a server, without reaching the descriptor limit of the system.
func TestIdleClientsLeaveRoom(t *testing.T) {
	for name, c := range map[string]struct{ configured, descriptors int }{
		"as configured":         {64, 64},
		"fewer than configured": {1024, 48},
		"close to the minimum":  {24, 24},
		"below the minimum":     {1, 22},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			go http.Serve(server, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }))
			at, discovery := address.Free(t), address.Free(t)
			path := filepath.Join(t.TempDir(), "config.json")
			text := fmt.Sprintf(`{"listen":%q,"discovery":%q,"limits":{"sockets":%d,"memory_mb":64},"settings":{"granularity":1,"discovery":"on_request",
				"limits":{"mostHops":2,"connectTimeout":2000,"connIdle":20000},"rules":{"askWithin":10000},
				"trafficTypes":[{"name":"a","targetTime":5000,"abandonTime":9000,"idempotency":"safe"}]}}`, at, discovery, c.configured)
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			cmd := exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" serve --config "$1"`, c.descriptors), os.Args[0], path)
			cmd.Env = append(os.Environ(), "FERNVANE_TEST_COMMAND=1")
			var log bytes.Buffer
			cmd.Stderr = &log
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() { ended <- cmd.Wait() }()
			client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			requests := 0
			get := func(path string) int {
				requests++
				req, err := http.NewRequest("GET", "http://"+at+path, nil)
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set("Request-Id", fmt.Sprint(name, requests))
				r, err := client.Do(req)
				if err != nil {
					return 0
				}
				io.Copy(io.Discard, r.Body)
				r.Body.Close()
				return r.StatusCode
			}
			waitFor := func(what string, condition func() bool) {
				t.Helper()
				for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
					if time.Now().After(deadline) {
						t.Fatalf("timeout after 20 s: node not %s", what)
					}
				}
			}
			waitFor("up", func() bool { return get("/up") == 200 })
			openIdleConnections(t, at, 3*c.descriptors)
			ln, err := net.Listen("tcp", discovery)
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			polls := make(chan string, 256)
			go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				polls <- r.URL.String()
				if strings.Contains(r.URL.RawQuery, "index=3") { // the watch
					<-r.Context().Done()
				}
				fmt.Fprintf(w, `{"revision":3,"complete":true,"members":[{"id":"s","host_port":%q,"phase":"SERVING","size":1}]}`, server.Addr())
			}))
			waitFor("listed", func() bool { return get("/a/1") == 200 })
			for watched := false; !watched; {
				watched = strings.Contains(<-polls, "index=3")
			}
			for range 5 {
				waitFor("served", func() bool { return get("/a/1") == 200 })
			}
			cmd.Process.Signal(syscall.SIGTERM)
			if err := <-ended; err != nil {
				t.Errorf("node exited with %v, want success", err)
			}
			if n := strings.Count(log.String(), syscall.EMFILE.Error()); n > 0 {
				t.Errorf("%d system calls failed for lack of file descriptors, want 0", n)
			}
		})
	}
}
