package proxy

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/dispatch"
	"fernvane/internal/proxy/engine"
	"fernvane/policy"
)

// partialConn is a connection whose writes accept the first acceptedBytes bytes and whose reads return an error.
type partialConn struct {
	net.Conn
	acceptedBytes int
	writeErr      error
	readErr       error
}

func (p partialConn) Write(b []byte) (int, error) { return min(len(b), p.acceptedBytes), p.writeErr }
func (p partialConn) Read([]byte) (int, error)    { return 0, p.readErr }

// Before the last byte of the request is written, a failed attempt was certainly not executed; afterwards it may have been.
func TestExchange(t *testing.T) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	f := &forwarding{message: &http1.Request{Method: []byte("GET"), Target: []byte("/check/and/more/than/forty/bytes")}}
	for name, c := range map[string]struct {
		conn partialConn
		ctx  context.Context
		want dispatch.AttemptResult
	}{
		"nothing written":           {partialConn{writeErr: syscall.EPIPE}, nil, dispatch.WriteFailed},
		"written in part":           {partialConn{acceptedBytes: 40, writeErr: syscall.ECONNRESET}, nil, dispatch.WriteFailed},
		"no time to write":          {partialConn{acceptedBytes: 40, writeErr: http1.ErrTimeout}, nil, dispatch.ExpiredUnsent},
		"written, then reset":       {partialConn{acceptedBytes: 1 << 20, readErr: syscall.ECONNRESET}, nil, dispatch.ConnectionLost},
		"written, then closed":      {partialConn{acceptedBytes: 1 << 20, readErr: io.EOF}, nil, dispatch.ConnectionLost},
		"written, then silence":     {partialConn{acceptedBytes: 1 << 20, readErr: http1.ErrTimeout}, nil, dispatch.ResponseTimeout},
		"written, then canceled":    {partialConn{acceptedBytes: 1 << 20, readErr: http1.ErrTimeout}, canceled, dispatch.Abandoned},
		"written completely, reset": {partialConn{acceptedBytes: 1 << 20, writeErr: syscall.ECONNRESET, readErr: syscall.ECONNRESET}, nil, dispatch.ConnectionLost},
	} {
		t.Run(name, func(t *testing.T) {
			if c.ctx == nil {
				c.ctx = context.Background()
			}
			if got := exchange(c.ctx, http1.NewConn(c.conn), f, time.Second, &http1.Response{}); got != c.want {
				t.Errorf("unexpected result %s", got)
			}
		})
	}
}

// An abandoned attempt closes its connection, which notifies the server.
func TestAbandonedAttemptClosesConnection(t *testing.T) {
	t.Parallel()
	disconnected := make(chan bool, 1)
	server := standIn(t, func(nc net.Conn) {
		c := http1.NewConn(nc)
		c.ReadRequest(&http1.Request{})
		disconnected <- c.WaitDisconnected()
	})
	at, _ := startNode(t, config(http1.Endpoint{ID: "s", Address: server, Weight: 1}))
	if r := get(t, dial(t, at), "/book/1"); r.Status != 504 {
		t.Errorf("got status %d, want 504", r.Status)
	}
	if !<-disconnected {
		t.Error("server received more bytes, want a closed connection")
	}
}

// An attempt that was decided before its server started to drain or was removed is not written after the drain grace.
func TestNothingSentAfterDrainGrace(t *testing.T) {
	t.Parallel()
	serverEndpoints, received := servers(t, 1, okResponse)
	s := &Server{cfg: config(), dispatcher: dispatch.New(config().Settings, 1, config().Limits, engine.NewPolicy)}
	t.Cleanup(s.dispatcher.Stop)
	s.dispatcher.ApplyList(http1.EndpointList{Endpoints: serverEndpoints}, endpoints.SourceConfig)
	for _, condition := range []http1.Condition{http1.Draining, http1.Deleted} {
		request := submitNonIdempotent(s.dispatcher)
		d := request.NextDecision(func() {})
		if d.Action != dispatch.SendAttempt {
			t.Fatalf("got action %d, want SendAttempt", d.Action)
		}
		removed := serverEndpoints[0]
		removed.Condition = condition
		s.dispatcher.ApplyList(http1.EndpointList{Endpoints: []http1.Endpoint{removed}}, endpoints.SourceDiscovery)
		for !s.dispatcher.IsTooLateToWrite(removed.ID) {
			time.Sleep(10 * time.Millisecond)
		}
		req := &http1.Request{Method: []byte("POST"), Target: []byte("/book/1")}
		result, _ := s.attempt(context.Background(), d, &forwarding{request: request, message: req, composeAnswer: func(a http1.Answer) []byte { return http1.AppendAnswer(nil, a) }})
		if result != dispatch.ExpiredUnsent || received.Load() > 0 {
			t.Errorf("got result %v, %d attempts sent; want ExpiredUnsent, none sent", result, received.Load())
		}
		request.AttemptEnded(d.Attempt, result, nil)
		s.dispatcher.ApplyList(http1.EndpointList{Endpoints: serverEndpoints}, endpoints.SourceDiscovery)
	}
}

// When a client disconnects while its attempt connects, its request is not sent.
func TestNothingSentAfterDisconnect(t *testing.T) {
	t.Parallel()
	serverEndpoints, received := servers(t, 1, okResponse)
	cfg := config()
	cfg.Settings.ConnectTimeout = time.Minute // longer than a connect takes on a busy machine
	s := &Server{cfg: cfg, dispatcher: dispatch.New(config().Settings, 1, config().Limits, engine.NewPolicy)}
	defer s.dispatcher.Stop()
	s.dispatcher.ApplyList(http1.EndpointList{Endpoints: serverEndpoints}, endpoints.SourceConfig)
	req := &http1.Request{Method: []byte("GET"), Target: []byte("/book/1")}
	for name, c := range map[string]struct {
		isDisconnected, isUnnotified bool // isUnnotified: only a direct check of the connection detects the disconnect
		want                         dispatch.AttemptResult
	}{"disconnected": {true, false, dispatch.ExpiredUnsent}, "disconnected, not notified": {true, true, dispatch.ExpiredUnsent}, "connected": {false, false, dispatch.Succeeded}} {
		t.Run(name, func(t *testing.T) {
			before := received.Load()
			request := submitNonIdempotent(s.dispatcher)
			defer request.Close()
			d := request.NextDecision(func() {})
			if c.isDisconnected && !c.isUnnotified {
				request.ClientDisconnected()
			}
			result, _ := s.attempt(context.Background(), d, &forwarding{request: request, message: req, isDisconnected: func() bool { return c.isUnnotified }, composeAnswer: func(a http1.Answer) []byte { return http1.AppendAnswer(nil, a) }})
			if sent := received.Load() > before; result != c.want || sent == c.isDisconnected {
				t.Errorf("unexpected result %s, sent %v", result, sent)
			}
			request.AttemptEnded(d.Attempt, result, nil)
		})
	}
}

// If a reused connection breaks before the request is written, the connection was stale, which is no failure of the server.
func TestStaleWrite(t *testing.T) {
	t.Parallel()
	serverEndpoints, _ := servers(t, 1, okResponse)
	s := &Server{cfg: config(), dispatcher: dispatch.New(config().Settings, 1, config().Limits, engine.NewPolicy)}
	defer s.dispatcher.Stop()
	s.dispatcher.ApplyList(http1.EndpointList{Endpoints: serverEndpoints}, endpoints.SourceConfig)
	accepted := make(chan net.Conn, 1)
	reused := dial(t, standIn(t, func(c net.Conn) { accepted <- c }).String())
	reused.Conn.(*net.TCPConn).CloseWrite()
	s.dispatcher.AcquireServerDescriptor()
	s.dispatcher.PutIdle(serverEndpoints[0].ID, false, reused)
	settle()
	req := &http1.Request{Method: []byte("GET"), Target: []byte("/book/1")}
	request := submitNonIdempotent(s.dispatcher)
	defer request.Close()
	if result, _ := s.attempt(context.Background(), request.NextDecision(func() {}), &forwarding{request: request, message: req, composeAnswer: func(a http1.Answer) []byte { return http1.AppendAnswer(nil, a) }}); result != dispatch.StaleConnection {
		t.Errorf("got result %s, want StaleConnection", result)
	}
	(<-accepted).Close()
}

// A response that never ends, or that has no length and is reset, fails a non-idempotent request after one attempt, and the client receives
// the failure in time. A reset does not terminate a response without a length.
func TestUnterminatedResponses(t *testing.T) {
	t.Parallel()
	const noLength = "HTTP/1.1 200 OK\r\n\r\n"
	for name, c := range map[string]struct {
		first, repeated string // repeated is sent until a write fails
		reset           bool
	}{
		"a head":               {"HTTP/1.1 200 OK\r\n", "A: b\r\n", false},
		"informational":        {"", "HTTP/1.1 102 Processing\r\n\r\n", false},
		"chunks":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n", false},
		"a chunk size line":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;", "x", false},
		"a trailer":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", false},
		"a body, no length":    {noLength, strings.Repeat("x", 1<<10), false},
		"no length, and reset": {noLength + "ok", "", true},
		"chunks, and reset":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var received atomic.Int32
			serve := func(nc net.Conn) {
				defer nc.Close()
				if http1.NewConn(nc).ReadRequest(&http1.Request{}) != nil {
					return
				}
				received.Add(1)
				_, err := io.WriteString(nc, c.first)
				for err == nil && c.repeated != "" {
					_, err = io.WriteString(nc, c.repeated)
				}
				if c.reset {
					nc.(*net.TCPConn).SetLinger(0)
				}
			}
			at, _ := startNode(t, config(http1.Endpoint{ID: "a", Address: standIn(t, serve), Weight: 1}, http1.Endpoint{ID: "b", Address: standIn(t, serve), Weight: 1}))
			if r := get(t, dial(t, at), "/book/1"); r.Status != 502 && r.Status != 504 || received.Load() != 1 {
				t.Errorf("got status %d after %d attempts, want 502 or 504 after 1", r.Status, received.Load())
			}
		})
	}
}

// A request that may have been executed is retried only within the retention of its idempotency key, however late the client's deadline is.
func TestRetryWindow(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		window time.Duration
		sent   int32
		status int
	}{
		"within it": {time.Minute, 2, 200},
		"after it":  {time.Millisecond, 1, 503},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var received atomic.Int32
			serve := func(nc net.Conn) {
				defer nc.Close()
				for conn := http1.NewConn(nc); conn.ReadRequest(&http1.Request{}) == nil; {
					if received.Add(1) == 1 {
						time.Sleep(20 * time.Millisecond) // longer than the short window
						return
					}
					io.WriteString(nc, okResponse)
				}
			}
			cfg := config(http1.Endpoint{ID: "a", Address: standIn(t, serve), Weight: 1}, http1.Endpoint{ID: "b", Address: standIn(t, serve), Weight: 1})
			trafficType := &cfg.Settings.TrafficTypes[0]
			trafficType.Idempotency, trafficType.KeyScope, trafficType.KeyRetention = policy.IdempotentWithKey, policy.KeyScopeAll, c.window
			trafficType.LatencyObjective, trafficType.ClientTimeout = time.Minute, time.Minute
			at, _ := startNode(t, cfg)
			if r := get(t, dial(t, at), "/check/1"); r.Status != c.status || received.Load() != c.sent {
				t.Errorf("unexpected status %d after %d attempts", r.Status, received.Load())
			}
		})
	}
}
