package proxy

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/config/settings"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/dispatch"
	"fernvane/internal/proxy/engine"
	"fernvane/internal/testbed/standin/connpair"
	"fernvane/policy"
)

var ids atomic.Int64

const (
	closeMark          = "\x00" // at the end of a scripted response: the server closes the connection
	okResponse         = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	notStartedResponse = "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
)

// standIn starts a stand-in server that calls serve for each connection, and returns its address.
func standIn(t *testing.T, serve func(net.Conn)) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// servers starts n stand-in servers that together send the responses of a script, one per request, and repeat the last one. received counts the
// requests received.
func servers(t *testing.T, n int, script ...string) (serverEndpoints []http1.Endpoint, received *atomic.Int32) {
	received = new(atomic.Int32)
	for i := range n {
		at := standIn(t, func(nc net.Conn) {
			defer nc.Close()
			c := http1.NewConn(nc)
			for c.ReadRequest(&http1.Request{}) == nil {
				response := script[min(int(received.Add(1)), len(script))-1]
				io.WriteString(nc, strings.TrimSuffix(response, closeMark))
				if strings.HasSuffix(response, closeMark) {
					return
				}
			}
		})
		serverEndpoints = append(serverEndpoints, http1.Endpoint{ID: fmt.Sprint("s-", i), Address: at, Weight: 1})
	}
	return serverEndpoints, received
}

func config(serverEndpoints ...http1.Endpoint) Config {
	kind := policy.TrafficType{LatencyObjective: 500 * time.Millisecond, ClientTimeout: time.Second, PriorityWeight: 1}
	binding := kind
	binding.Idempotency = policy.NonIdempotent
	return Config{Name: "n", Limits: dispatch.Limits{MemoryMB: 192, Sockets: 1024},
		Discovery: netip.MustParseAddrPort("127.0.0.1:1"), SavedList: http1.EndpointList{IsComplete: true, Endpoints: serverEndpoints},
		Settings: settings.Settings{ConnIdle: time.Second, TypeNames: []string{"check", "book"}, Settings: policy.Settings{
			NodeCount: 1, MaxAttempts: 4, ConnectTimeout: 100 * time.Millisecond, TrafficTypes: []policy.TrafficType{kind, binding}}}}
}

// startNode runs a node until the test ends or stop is called, and returns its address.
func startNode(t *testing.T, cfg Config) (at string, stop func() error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	signal, done, stopped := make(chan struct{}), make(chan error, 1), false
	go func() { done <- run(Signals{Stop: signal}, cfg, zerolog.Nop(), ln.(*net.TCPListener)) }()
	stop = func() error {
		if stopped {
			return nil
		}
		stopped = true
		close(signal)
		return <-done
	}
	t.Cleanup(func() { stop() })
	return ln.Addr().String(), stop
}

func dial(t *testing.T, at string) *http1.Conn {
	c, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return http1.NewConn(c)
}

func get(t *testing.T, c *http1.Conn, path string) http1.Response {
	t.Helper()
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n\r\n", path, ids.Add(1))
	return readReply(t, c)
}

func readReply(t *testing.T, c *http1.Conn) (r http1.Response) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if err := c.ReadResponse(&r, http1.MaxResponseBody); err != nil {
		t.Fatal(err)
	}
	return r
}

// submitNonIdempotent submits a non-idempotent request with a unique request ID.
func submitNonIdempotent(dispatcher *dispatch.Dispatcher) *dispatch.Request {
	request, _ := dispatcher.Submit(dispatch.Arrival{ID: fmt.Append(nil, ids.Add(1)), RouteIndex: -1, TrafficType: 1, Timeout: time.Minute})
	return request
}

// heldServer starts a server that sends no response until release is called. It sends to begun for each request.
func heldServer(t *testing.T) (h http1.Endpoint, begun chan struct{}, release func()) {
	begun = make(chan struct{}, 16)
	released := make(chan struct{})
	at := standIn(t, func(nc net.Conn) {
		defer nc.Close()
		for c := http1.NewConn(nc); c.ReadRequest(&http1.Request{}) == nil; {
			begun <- struct{}{}
			<-released
			io.WriteString(nc, okResponse)
		}
	})
	return http1.Endpoint{ID: "s", Address: at, Weight: 1}, begun, func() { close(released) }
}

// settle waits until idle connections to servers may be reused.
func settle() { time.Sleep(2 * dispatch.SettleDuration) }

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timeout after 5 s: got no %s", what)
		}
	}
}

// testServer is a node without a listener. Tests pass client connections to it directly.
type testServer struct {
	*Server
	disconnected, open int          // disconnected clients since the start; open requests at the last count
	dialed             atomic.Int32 // connects to servers
}

func newTestServer(t *testing.T, cfg Config) *testServer {
	node := &testServer{Server: &Server{cfg: cfg, dispatcher: dispatch.New(cfg.Settings, 1, cfg.Limits, engine.NewPolicy)}}
	t.Cleanup(node.dispatcher.Stop)
	if cfg.Routes != nil {
		node.dispatcher.SetRoutes(cfg.Routes)
	}
	node.dispatcher.ApplyList(cfg.SavedList, endpoints.SourceConfig)
	return node
}

// serveClient serves a new client connection that requests a path. done is closed when the connection is closed.
func (node *testServer) serveClient(t *testing.T, path string) (client *net.TCPConn, done chan struct{}) {
	near, client := connpair.TCP(t)
	done = make(chan struct{})
	fmt.Fprintf(client, "GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n\r\n", path, ids.Add(1))
	go func() {
		defer close(done)
		node.serveHTTPConn(near)
	}()
	return client, done
}

// count updates disconnected and open from the dispatcher's counts.
func (node *testServer) count() *testServer {
	c := node.dispatcher.Counts()
	node.disconnected, node.open = node.disconnected+c.Disconnected, c.OpenRequests
	return node
}

// holdDial makes the nth connect to a server wait until release is closed. reached is closed when it waits.
func (node *testServer) holdDial(nth int32) (reached, release chan struct{}) {
	reached, release = make(chan struct{}), make(chan struct{})
	node.dialer.Control = func(string, string, syscall.RawConn) error {
		if node.dialed.Add(1) == nth {
			close(reached)
			<-release
		}
		return nil
	}
	return reached, release
}

const errorResponse = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
