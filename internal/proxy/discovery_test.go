package proxy

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"

	"fernvane/internal/protocol/http1"
)

const resetMark = "\x01" // at the end of what discovery says: the connection is reset in place of a close

// scripted is a discovery that says one line of a script to each call, byte by byte where pieces is set, and nothing more
// after the last. next is sent each call's target; a silent line leaves the connection open.
func scriptedDiscovery(t *testing.T, pieces bool, script ...string) (at netip.AddrPort, calls chan string) {
	calls = make(chan string, 64)
	var said atomic.Int32
	at = standIn(t, func(nc net.Conn) {
		defer nc.Close()
		var r http1.Request
		for c := http1.NewConn(nc); c.ReadRequest(&r) == nil; {
			calls <- strings.TrimPrefix(string(r.Target), "/discovery/hosts")
			n := int(said.Add(1))
			if n > len(script) {
				continue // the watch waits
			}
			say := strings.TrimRight(script[n-1], closeMark+resetMark)
			if pieces {
				for i := range say {
					io.WriteString(nc, say[i:i+1])
				}
			} else {
				io.WriteString(nc, say)
			}
			switch {
			case strings.HasSuffix(script[n-1], resetMark):
				nc.(*net.TCPConn).SetLinger(0)
				return
			case strings.HasSuffix(script[n-1], closeMark):
				return
			}
		}
	})
	return at, calls
}

func listResponse(revision int, whole bool, members ...string) string {
	body := fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, whole, strings.Join(members, ","))
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func listMember(h http1.Endpoint, phase string) string {
	return fmt.Sprintf(`{"id":"%s","host_port":"%s","phase":"%s","size":1}`, h.ID, h.Address, phase)
}

// A change reaches a node whatever call before it failed, and once it has been told nothing new goes to a server that drains
// or that a whole list leaves out, though it still answers. Each bad order is made by the script.
func TestListUpdateAfterFailedPolls(t *testing.T) {
	t.Parallel()
	hosts, _ := servers(t, 1, okResponse)
	kept := hosts[0]
	kept.ID = "stays"
	refused := func(status int) string {
		return fmt.Sprintf("HTTP/1.1 %d No\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n", status)
	}
	leftOut := listResponse(9, true, listMember(kept, "SERVING"))
	for name, c := range map[string]struct {
		before []string // what is said to the calls before the change
		tells  string   // empty: a change, indented, that the server drains
		pieces bool
		asked  bool // the settings say that lists are asked for
	}{
		"at once, left out":                 {nil, leftOut, false, false},
		"at once, in pieces":                {nil, leftOut, true, false},
		"refused for a while":               {[]string{refused(503), refused(429), refused(503)}, leftOut, false, true},
		"refused and closed":                {[]string{refused(503) + closeMark, refused(429) + closeMark}, leftOut, false, true},
		"reset before a word":               {[]string{resetMark, resetMark}, leftOut, false, true},
		"reset within its answer":           {[]string{leftOut[:len(leftOut)-9] + resetMark}, leftOut, false, false},
		"ended within its answer":           {[]string{leftOut[:len(leftOut)-9] + closeMark}, leftOut, false, false},
		"silent from the first":             {[]string{""}, leftOut, false, false},
		"silent within its answer":          {[]string{leftOut[:len(leftOut)-9]}, leftOut, false, false},
		"silent late":                       {[]string{listResponse(3, false), listResponse(3, false), ""}, leftOut, false, false},
		"silent late, then refused":         {[]string{listResponse(3, false), "", refused(503)}, leftOut, false, true},
		"a watch ends instead of telling":   {[]string{listResponse(3, false), closeMark}, leftOut, false, true},
		"a watch is reset":                  {[]string{listResponse(3, false), resetMark}, leftOut, false, true},
		"silent, and given up for good":     {[]string{"", "", refused(503)}, leftOut, false, false},
		"indented, as a change, in pieces":  {[]string{refused(503)}, "", true, false},
		"a change that drains, after reset": {[]string{resetMark}, "", false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gone, taken := servers(t, 1, okResponse)
			if c.tells == "" {
				c.tells = listResponse(9, false, "\n  "+strings.ReplaceAll(listMember(gone[0], "DRAINING"), ",", ",\n    "))
			}
			cfg := config(gone[0], kept)
			cfg.SavedList.Revision, cfg.Settings.MustRequestEndpoints = 2, c.asked
			var calls chan string
			cfg.Discovery, calls = scriptedDiscovery(t, c.pieces, append(c.before, c.tells)...)
			at, _ := startNode(t, cfg)
			for call := ""; !strings.HasPrefix(call, "?index=9&"); { // it has been taken in
				call = <-calls
			}
			before := taken.Load()
			client := dial(t, at)
			for range 20 {
				if r := get(t, client, "/check/1"); r.Status != 200 {
					t.Errorf("answered %d", r.Status)
				}
			}
			if n := taken.Load() - before; n > 0 {
				t.Errorf("%d were sent to a server that had left", n)
			}
		})
	}
}

// A new configuration names another discovery while calls at the old one fail; the new one is asked at once and what it
// tells holds, also where it refuses first and leaves out what drains.
func TestListUpdateAfterReload(t *testing.T) {
	t.Parallel()
	hosts, _ := servers(t, 1, okResponse)
	kept := hosts[0]
	kept.ID = "stays"
	for name, c := range map[string]struct {
		old, next []string
	}{
		"the old one refuses":       {[]string{closeMark, closeMark, closeMark, closeMark}, nil},
		"the old one is silent":     {nil, nil},
		"the new one refuses first": {nil, []string{"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", resetMark}},
		"the new one is silent":     {nil, []string{""}},
		"the new one counts anew":   {nil, []string{listResponse(1, false)}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gone, taken := servers(t, 1, okResponse)
			before, called := scriptedDiscovery(t, false, c.old...)
			after, calledAfter := scriptedDiscovery(t, false, append(c.next, listResponse(9, true, listMember(kept, "SERVING")))...)
			path := filepath.Join(t.TempDir(), "config.json")
			file := func(discovery netip.AddrPort) {
				text := fmt.Sprintf(`{"listen":"127.0.0.1:1","discovery":"%s","known":{"revision":5,"complete":true,"members":[%s,%s]},
					"settings":{"limits":{"mostHops":4,"connectTimeout":100,"connIdle":1000},
					"trafficTypes":[{"name":"check","targetTime":5000,"abandonTime":5000,"idempotency":"safe"}]}}`,
					discovery, listMember(gone[0], "SERVING"), listMember(kept, "SERVING"))
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
			<-called
			file(after)
			hup <- nil
			for call := ""; !strings.HasPrefix(call, "?index=9&"); {
				call = <-calledAfter
			}
			sent := taken.Load()
			client := dial(t, ln.Addr().String())
			for range 20 {
				if r := get(t, client, "/check/1"); r.Status != 200 {
					t.Errorf("answered %d", r.Status)
				}
			}
			if n := taken.Load() - sent; n > 0 {
				t.Errorf("%d were sent to a server that had left", n)
			}
			close(stop)
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}
