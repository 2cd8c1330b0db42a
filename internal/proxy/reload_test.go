package proxy

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"fernvane/internal/protocol/http1"
)

// A reload applies a changed discovery address of the file immediately, in place of that of the environment. An invalid file changes nothing.
func TestReload(t *testing.T) {
	t.Parallel()
	serverEndpoints, _ := servers(t, 1, okResponse)
	list := func(revision int, complete bool) string {
		body := fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[{"id":"s","host_port":"%s","phase":"SERVING","size":1}]}`,
			revision, complete, serverEndpoints[0].Address)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	for name, c := range map[string]struct {
		responses []string
		polls     []string
	}{
		"same revisions":        {[]string{list(9, false)}, []string{"?index=5&wait=100", "?index=9&wait=2000"}},
		"independent revisions": {[]string{list(1, false), list(0, true)}, []string{"?index=5&wait=100", "", "?index=0&wait=2000"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			discovery := func(responses []string) (at netip.AddrPort, polls chan string) {
				polls = make(chan string, 9)
				at = standIn(t, func(nc net.Conn) {
					defer nc.Close()
					var r http1.Request
					for c := http1.NewConn(nc); c.ReadRequest(&r) == nil; {
						polls <- strings.TrimPrefix(string(r.Target), "/discovery/hosts")
						if len(responses) > 0 {
							io.WriteString(nc, responses[0])
							responses = responses[1:]
						}
					}
				})
				return at, polls
			}
			before, pollsBefore := discovery([]string{list(5, true)})
			after, pollsAfter := discovery(c.responses)
			path := filepath.Join(t.TempDir(), "config.json")
			file := func(text string) {
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			const text = `{"listen":"127.0.0.1:1","discovery":"%s","settings":{"limits":{"mostHops":1},
				"trafficTypes":[{"name":"check","targetTime":5,"idempotency":"safe"}]}}`
			file(fmt.Sprintf(text, "127.0.0.1:1"))
			cfg, err := LoadConfig(path, func(name string) string {
				return map[string]string{"PROXY_DISCOVERY": before.String()}[name]
			})
			if err != nil {
				t.Fatal(err)
			}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			hup, stop, done := make(chan os.Signal), make(chan struct{}), make(chan error)
			go func() { done <- run(Signals{hup, stop}, cfg, zerolog.Nop(), ln.(*net.TCPListener)) }()
			<-pollsBefore // the complete list
			<-pollsBefore // the next poll, which gets no response
			for _, invalid := range []string{"", fmt.Sprintf(text, "nowhere"), fmt.Sprintf(text, "127.0.0.1:1")} {
				file(invalid)
				hup <- nil
			}
			file(fmt.Sprintf(text, after))
			hup <- nil
			for _, want := range c.polls {
				if got := <-pollsAfter; got != want {
					t.Errorf("got poll %q, want %q", got, want)
				}
			}
			if len(pollsBefore) > 0 {
				t.Error("previous address was polled again")
			}
			close(stop)
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}

// A new configuration names another discovery address while polls of the old one fail. The new address is polled immediately and its list is
// in effect, even if its first response is a rejection. Servers that its list lacks get no new requests.
func TestListUpdateAfterReload(t *testing.T) {
	t.Parallel()
	serverEndpoints, _ := servers(t, 1, okResponse)
	remaining := serverEndpoints[0]
	remaining.ID = "stays"
	for name, c := range map[string]struct {
		old, next []string
	}{
		"old one fails":             {[]string{closeMark, closeMark, closeMark, closeMark}, nil},
		"old one does not respond":  {nil, nil},
		"new one rejects first":     {nil, []string{"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", resetMark}},
		"new one does not respond":  {nil, []string{""}},
		"new one has own revisions": {nil, []string{listResponse(1, false)}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			removed, received := servers(t, 1, okResponse)
			before, pollsBefore := scriptedDiscovery(t, false, c.old...)
			after, pollsAfter := scriptedDiscovery(t, false, append(c.next, listResponse(9, true, listMember(remaining, "SERVING")))...)
			path := filepath.Join(t.TempDir(), "config.json")
			file := func(discovery netip.AddrPort) {
				text := fmt.Sprintf(`{"listen":"127.0.0.1:1","discovery":"%s","known":{"revision":5,"complete":true,"members":[%s,%s]},
					"settings":{"limits":{"mostHops":4,"connectTimeout":100,"connIdle":1000},
					"trafficTypes":[{"name":"check","targetTime":5000,"abandonTime":5000,"idempotency":"safe"}]}}`,
					discovery, listMember(removed[0], "SERVING"), listMember(remaining, "SERVING"))
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			file(before)
			cfg, err := LoadConfig(path, func(string) string { return "" })
			if err != nil {
				t.Fatal(err)
			}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			hup, stop, done := make(chan os.Signal), make(chan struct{}), make(chan error)
			go func() { done <- run(Signals{hup, stop}, cfg, zerolog.Nop(), ln.(*net.TCPListener)) }()
			<-pollsBefore
			file(after)
			hup <- nil
			for poll := ""; !strings.HasPrefix(poll, "?index=9&"); {
				poll = <-pollsAfter
			}
			sent := received.Load()
			client := dial(t, ln.Addr().String())
			for range 20 {
				if r := get(t, client, "/check/1"); r.Status != 200 {
					t.Errorf("got status %d, want 200", r.Status)
				}
			}
			if n := received.Load() - sent; n > 0 {
				t.Errorf("got %d requests to a removed server, want none", n)
			}
			close(stop)
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}
