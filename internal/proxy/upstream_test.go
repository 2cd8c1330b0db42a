package proxy

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/dispatch"
)

func TestConnectResult(t *testing.T) {
	for name, c := range map[string]struct {
		err               error
		isAttemptDeadline bool
		want              dispatch.AttemptResult
	}{
		"refused":          {&net.OpError{Err: syscall.ECONNREFUSED}, false, dispatch.ConnectRefused},
		"host unreachable": {&net.OpError{Err: syscall.EHOSTUNREACH}, false, dispatch.ConnectRefused},
		"connect timeout":  {&net.OpError{Err: http1.ErrTimeout}, false, dispatch.ConnectTimeout},
		"attempt deadline": {&net.OpError{Err: http1.ErrTimeout}, true, dispatch.ExpiredUnsent},
		"canceled":         {&net.OpError{Err: context.Canceled}, false, dispatch.ExpiredUnsent},
		"no descriptor":    {&net.OpError{Err: os.NewSyscallError("socket", syscall.EMFILE)}, false, dispatch.NoDescriptor},
		"no port":          {&net.OpError{Err: os.NewSyscallError("connect", syscall.EADDRNOTAVAIL)}, false, dispatch.NoDescriptor},
		"invalid address":  {&net.AddrError{Err: "missing port"}, false, dispatch.ConnectRefused},
	} {
		t.Run(name, func(t *testing.T) {
			if got := connectResult(c.err, c.isAttemptDeadline); got != c.want {
				t.Errorf("unexpected result %s", got)
			}
		})
	}
}

func TestUnreachableServer(t *testing.T) {
	t.Parallel()
	serverEndpoints, _ := servers(t, 1, okResponse)
	serverEndpoints = append(serverEndpoints, http1.Endpoint{ID: "closed", Address: netip.MustParseAddrPort("127.0.0.1:1"), Weight: 1})
	at, _ := startNode(t, config(serverEndpoints...))
	for range 4 {
		if r := get(t, dial(t, at), "/book/1"); r.Status != 200 {
			t.Errorf("got status %d, want 200", r.Status)
		}
	}
}

// A server that closes an idle connection just before its reuse must not fail a request.
func TestStaleConnection(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{})
	at := standIn(t, func(nc net.Conn) {
		defer nc.Close()
		if http1.NewConn(nc).ReadRequest(&http1.Request{}) == nil {
			io.WriteString(nc, okResponse)
			nc.Close()
			closed <- struct{}{}
		}
	})
	node, _ := startNode(t, config(http1.Endpoint{ID: "s", Address: at, Weight: 1}))
	for range 3 {
		if r := get(t, dial(t, node), "/book/1"); r.Status != 200 {
			t.Errorf("got status %d, want 200", r.Status)
		}
		<-closed
		settle()
	}
}

// Bytes that a server sends on an idle connection are not part of any response. The next request is sent once, on another connection.
func TestUnsolicitedBytesFromServer(t *testing.T) {
	t.Parallel()
	const half = "HTTP/1.1 2"
	for name, c := range map[string]struct {
		with, behind string // sent with the first response, and after it was passed on
		isClosed     bool   // the server closes the connection after that
	}{
		"with the response":         {half, "", false},
		"after it":                  {"", half, false},
		"after it, and a close":     {"", half, true},
		"nothing, and a close":      {"", "", true},
		"a complete response after": {"", okResponse, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			passed, sent := make(chan struct{}), make(chan struct{})
			var received atomic.Int32
			at := standIn(t, func(nc net.Conn) {
				defer nc.Close()
				for conn := http1.NewConn(nc); conn.ReadRequest(&http1.Request{}) == nil; {
					if received.Add(1) > 1 {
						io.WriteString(nc, strings.Replace(okResponse, "ok", "on", 1))
						continue
					}
					io.WriteString(nc, okResponse+c.with)
					<-passed
					io.WriteString(nc, c.behind)
					if c.isClosed {
						nc.Close()
					}
					close(sent)
				}
			})
			node, _ := startNode(t, config(http1.Endpoint{ID: "s", Address: at, Weight: 1}))
			client := dial(t, node)
			if r := get(t, client, "/book/1"); r.Status != 200 || string(r.Body) != "ok" {
				t.Errorf("got status %d, body %q, want 200 \"ok\"", r.Status, r.Body)
			}
			close(passed)
			<-sent
			settle()
			if r := get(t, client, "/book/1"); r.Status != 200 || string(r.Body) != "on" || received.Load() != 2 {
				t.Errorf("next request: got status %d, body %q after %d requests, want 200 \"on\" after 2", r.Status, r.Body, received.Load())
			}
		})
	}
}

// Guards against work that goes to the wrong server: an attempt that waited for its connection is not written to an address that its server
// has lost meanwhile, to another server or by moving.
func TestNoWriteToLostAddress(t *testing.T) {
	t.Parallel()
	for name, announce := range map[string]func(address, other netip.AddrPort) []http1.Endpoint{
		"server has moved": func(_, other netip.AddrPort) []http1.Endpoint {
			return []http1.Endpoint{{ID: "a", Address: other, Weight: 1}}
		},
		"another server there": func(address, other netip.AddrPort) []http1.Endpoint {
			return []http1.Endpoint{{ID: "c", Address: address, Weight: 1, Condition: http1.Serving}, {ID: "c", Condition: http1.Draining}, {ID: "d", Address: other, Weight: 1}}
		},
		"another server there, after a drain": func(address, other netip.AddrPort) []http1.Endpoint {
			return []http1.Endpoint{{ID: "a", Condition: http1.Draining}, {ID: "c", Address: address, Weight: 1}, {ID: "c", Condition: http1.Draining}, {ID: "d", Address: other, Weight: 1}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var old, current atomic.Int32 // requests received at each address
			standInOf := func(received *atomic.Int32) netip.AddrPort {
				return standIn(t, func(nc net.Conn) {
					defer nc.Close()
					for c := http1.NewConn(nc); c.ReadRequest(&http1.Request{}) == nil; {
						received.Add(1)
						io.WriteString(nc, okResponse)
					}
				})
			}
			address, other := standInOf(&old), standInOf(&current)
			cfg := config(http1.Endpoint{ID: "a", Address: address, Weight: 1})
			for i := range cfg.Settings.TrafficTypes {
				cfg.Settings.TrafficTypes[i].LatencyObjective, cfg.Settings.TrafficTypes[i].ClientTimeout = time.Minute, time.Minute
			}
			cfg.Settings.ConnectTimeout, cfg.Settings.DrainGrace = time.Minute, time.Minute
			node := newTestServer(t, cfg)
			reached, release := node.holdDial(1)
			node.serveClient(t, "/check/1")
			<-reached
			for _, endpoint := range announce(address, other) {
				node.dispatcher.ApplyList(http1.EndpointList{Endpoints: []http1.Endpoint{endpoint}}, endpoints.SourceDiscovery)
			}
			close(release)
			await(t, "end of the attempt", func() bool {
				ended := 0
				for _, count := range node.dispatcher.Counts().AttemptResults {
					ended += count
				}
				return ended > 0
			})
			if n := old.Load(); n != 0 {
				t.Errorf("got %d requests at the lost address, want none", n)
			}
		})
	}
}
