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

// crowd keeps so many idle connections to an address, of each kind in turn: nothing asked, asked once, half a request. One
// that is closed comes again. It returns when all have been accepted, or shut, once.
func crowd(t *testing.T, at string, n int) {
	kinds := []string{"", "GET /up HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a/1 HTTP/1.1\r\nHo"}
	over := make(chan struct{})
	var all, came sync.WaitGroup
	all.Add(n)
	came.Add(n)
	for i := range n {
		go func() {
			defer all.Done()
			once := sync.OnceFunc(came.Done)
			defer once()
			for {
				c, err := net.Dial("tcp", at)
				if err == nil {
					io.WriteString(c, kinds[i%len(kinds)])
					once()
					closed := make(chan struct{})
					go func() {
						defer close(closed)
						io.Copy(io.Discard, c)
					}()
					select {
					case <-closed:
					case <-over:
					}
					c.Close()
					<-closed
				}
				select {
				case <-over:
					return
				case <-time.After(5 * time.Millisecond):
				}
			}
		}()
	}
	came.Wait()
	t.Cleanup(func() {
		close(over)
		all.Wait()
	})
}

// Idle clients hold more connections than the node may have descriptors while discovery is down. At its return the list
// is asked for and the watch goes on, and a server that only the list names is connected to; nothing meets the system's limit.
func TestIdleClientsLeaveRoom(t *testing.T) {
	for name, c := range map[string]struct{ told, descriptors int }{
		"as told":                    {64, 64},
		"fewer than told":            {1024, 48},
		"hardly any":                 {24, 24},
		"less than a node must have": {1, 22},
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
				"trafficTypes":[{"name":"a","targetTime":5000,"abandonTime":9000,"idempotency":"safe"}]}}`, at, discovery, c.told)
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
			asked := 0
			ask := func(path string) int {
				asked++
				req, err := http.NewRequest("GET", "http://"+at+path, nil)
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set("Request-Id", fmt.Sprint(name, asked))
				r, err := client.Do(req)
				if err != nil {
					return 0
				}
				io.Copy(io.Discard, r.Body)
				r.Body.Close()
				return r.StatusCode
			}
			within := func(what string, is func() bool) {
				t.Helper()
				for by := time.Now().Add(20 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
					if time.Now().After(by) {
						t.Fatalf("never %s", what)
					}
				}
			}
			within("up", func() bool { return ask("/up") == 200 })
			crowd(t, at, 3*c.descriptors)
			ln, err := net.Listen("tcp", discovery)
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			calls := make(chan string, 256)
			go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls <- r.URL.String()
				if strings.Contains(r.URL.RawQuery, "index=3") { // the watch
					<-r.Context().Done()
				}
				fmt.Fprintf(w, `{"revision":3,"complete":true,"members":[{"id":"s","host_port":%q,"phase":"SERVING","size":1}]}`, server.Addr())
			}))
			within("listed", func() bool { return ask("/a/1") == 200 })
			for watched := false; !watched; {
				watched = strings.Contains(<-calls, "index=3")
			}
			for range 5 {
				within("served", func() bool { return ask("/a/1") == 200 })
			}
			cmd.Process.Signal(syscall.SIGTERM)
			if err := <-ended; err != nil {
				t.Errorf("ended: %v", err)
			}
			if n := strings.Count(log.String(), syscall.EMFILE.Error()); n > 0 {
				t.Errorf("%d times a descriptor was wanted and there was none", n)
			}
		})
	}
}
