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

// partialConn is a connection whose writes accept the first takes bytes and whose reads return an error.
type partialConn struct {
	net.Conn
	takes int
	write error
	read  error
}

func (p partialConn) Write(b []byte) (int, error) { return min(len(b), p.takes), p.write }
func (p partialConn) Read([]byte) (int, error)    { return 0, p.read }

// Before the last byte of the request is written, a failed attempt was certainly not executed; afterwards it may have been.
func TestExchange(t *testing.T) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	x := &forwarding{message: &http1.Request{Method: []byte("GET"), Target: []byte("/check/and/more/than/forty/bytes")}}
	for name, c := range map[string]struct {
		conn partialConn
		ctx  context.Context
		want dispatch.AttemptResult
	}{
		"nothing written":           {partialConn{write: syscall.EPIPE}, nil, dispatch.WriteFailed},
		"written in part":           {partialConn{takes: 40, write: syscall.ECONNRESET}, nil, dispatch.WriteFailed},
		"no time to write":          {partialConn{takes: 40, write: http1.ErrTimeout}, nil, dispatch.ExpiredUnsent},
		"written, then reset":       {partialConn{takes: 1 << 20, read: syscall.ECONNRESET}, nil, dispatch.ConnectionLost},
		"written, then closed":      {partialConn{takes: 1 << 20, read: io.EOF}, nil, dispatch.ConnectionLost},
		"written, then silence":     {partialConn{takes: 1 << 20, read: http1.ErrTimeout}, nil, dispatch.ResponseTimeout},
		"written, then canceled":    {partialConn{takes: 1 << 20, read: http1.ErrTimeout}, canceled, dispatch.Abandoned},
		"written completely, reset": {partialConn{takes: 1 << 20, write: syscall.ECONNRESET, read: syscall.ECONNRESET}, nil, dispatch.ConnectionLost},
	} {
		t.Run(name, func(t *testing.T) {
			if c.ctx == nil {
				c.ctx = context.Background()
			}
			if got := exchange(c.ctx, http1.NewConn(c.conn), x, time.Second, &http1.Response{}); got != c.want {
				t.Errorf("unexpected result %s", got)
			}
		})
	}
}

// An abandoned attempt closes its connection, which notifies the server.
func TestAbandonedAttemptClosesConnection(t *testing.T) {
	t.Parallel()
	gone := make(chan bool, 1)
	server := standIn(t, func(nc net.Conn) {
		c := http1.NewConn(nc)
		c.ReadRequest(&http1.Request{})
		gone <- c.WaitDisconnected()
	})
	at, _ := startNode(t, config(http1.Endpoint{ID: "s", Address: server, Size: 1}))
	if r := get(t, dial(t, at), "/book/1"); r.Status != 504 {
		t.Errorf("got status %d, want 504", r.Status)
	}
	if !<-gone {
		t.Error("server received more bytes, want a closed connection")
	}
}

// An attempt that was decided before its server left is not written after the drain grace.
func TestNothingSentAfterDrainGrace(t *testing.T) {
	t.Parallel()
	hosts, taken := servers(t, 1, okResponse)
	s := &Server{cfg: config(), dispatcher: dispatch.New(config().Settings, 1, config().Limits, engine.NewPolicy)}
	t.Cleanup(s.dispatcher.Stop)
	s.dispatcher.ApplyList(http1.EndpointList{Hosts: hosts}, endpoints.SourceConfig)
	for _, phase := range []http1.Condition{http1.Draining, http1.Deleted} {
		op := submitNonIdempotent(s.dispatcher)
		d := op.NextDecision(func() {})
		if d.Action != dispatch.SendAttempt {
			t.Fatalf("got action %d, want SendAttempt", d.Action)
		}
		left := hosts[0]
		left.Phase = phase
		s.dispatcher.ApplyList(http1.EndpointList{Hosts: []http1.Endpoint{left}}, endpoints.SourceDiscovery)
		for !s.dispatcher.IsTooLateToWrite(left.ID) {
			time.Sleep(10 * time.Millisecond)
		}
		req := &http1.Request{Method: []byte("POST"), Target: []byte("/book/1")}
		end, _ := s.attempt(context.Background(), d, &forwarding{request: op, message: req, composeAnswer: func(a http1.Answer) []byte { return http1.AppendAnswer(nil, a) }})
		if end != dispatch.ExpiredUnsent || taken.Load() > 0 {
			t.Errorf("got result %v, %d attempts sent; want ExpiredUnsent, none sent", end, taken.Load())
		}
		op.AttemptEnded(d.Attempt, end, nil)
		s.dispatcher.ApplyList(http1.EndpointList{Hosts: hosts}, endpoints.SourceDiscovery)
	}
}

// When a client disconnects while its attempt connects, its request is not sent.
func TestNothingSentAfterDisconnect(t *testing.T) {
	t.Parallel()
	hosts, taken := servers(t, 1, okResponse)
	cfg := config()
	cfg.Settings.ConnectTimeout = time.Minute // longer than a connect takes on a busy machine
	s := &Server{cfg: cfg, dispatcher: dispatch.New(config().Settings, 1, config().Limits, engine.NewPolicy)}
	defer s.dispatcher.Stop()
	s.dispatcher.ApplyList(http1.EndpointList{Hosts: hosts}, endpoints.SourceConfig)
	req := &http1.Request{Method: []byte("GET"), Target: []byte("/book/1")}
	for name, c := range map[string]struct {
		leave, seen bool // seen: only a direct check of the connection detects the disconnect
		want        dispatch.AttemptResult
	}{"disconnected": {true, false, dispatch.ExpiredUnsent}, "disconnected, not notified": {true, true, dispatch.ExpiredUnsent}, "connected": {false, false, dispatch.Succeeded}} {
		t.Run(name, func(t *testing.T) {
			before := taken.Load()
			op := submitNonIdempotent(s.dispatcher)
			defer op.Close()
			d := op.NextDecision(func() {})
			if c.leave && !c.seen {
				op.ClientDisconnected()
			}
			end, _ := s.attempt(context.Background(), d, &forwarding{request: op, message: req, isDisconnected: func() bool { return c.seen }, composeAnswer: func(a http1.Answer) []byte { return http1.AppendAnswer(nil, a) }})
			if sent := taken.Load() > before; end != c.want || sent == c.leave {
				t.Errorf("unexpected result %s, sent %v", end, sent)
			}
			op.AttemptEnded(d.Attempt, end, nil)
		})
	}
}

// If a reused connection breaks before the request is written, the connection was stale, which is no failure of the server.
func TestStaleWrite(t *testing.T) {
	t.Parallel()
	hosts, _ := servers(t, 1, okResponse)
	s := &Server{cfg: config(), dispatcher: dispatch.New(config().Settings, 1, config().Limits, engine.NewPolicy)}
	defer s.dispatcher.Stop()
	s.dispatcher.ApplyList(http1.EndpointList{Hosts: hosts}, endpoints.SourceConfig)
	held := make(chan net.Conn, 1)
	kept := dial(t, standIn(t, func(c net.Conn) { held <- c }).String())
	kept.Conn.(*net.TCPConn).CloseWrite()
	s.dispatcher.AcquireServerDescriptor()
	s.dispatcher.PutIdle(hosts[0].ID, false, kept)
	req := &http1.Request{Method: []byte("GET"), Target: []byte("/book/1")}
	op := submitNonIdempotent(s.dispatcher)
	defer op.Close()
	if end, _ := s.attempt(context.Background(), op.NextDecision(func() {}), &forwarding{request: op, message: req, composeAnswer: func(a http1.Answer) []byte { return http1.AppendAnswer(nil, a) }}); end != dispatch.StaleConnection {
		t.Errorf("got result %s, want StaleConnection", end)
	}
	(<-held).Close()
}

// A response that never ends, or that has no length and is reset, fails a non-idempotent request after one attempt, and the client receives
// the failure in time. A reset does not terminate a response without a length.
func TestUnterminatedResponses(t *testing.T) {
	t.Parallel()
	const noLength = "HTTP/1.1 200 OK\r\n\r\n"
	for name, c := range map[string]struct {
		begins, goesOn string // goesOn is sent without an end
		reset          bool
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
			var taken atomic.Int32
			lead := func(nc net.Conn) {
				defer nc.Close()
				if http1.NewConn(nc).ReadRequest(&http1.Request{}) != nil {
					return
				}
				taken.Add(1)
				_, err := io.WriteString(nc, c.begins)
				for err == nil && c.goesOn != "" {
					_, err = io.WriteString(nc, c.goesOn)
				}
				if c.reset {
					nc.(*net.TCPConn).SetLinger(0)
				}
			}
			at, _ := startNode(t, config(http1.Endpoint{ID: "a", Address: standIn(t, lead), Size: 1}, http1.Endpoint{ID: "b", Address: standIn(t, lead), Size: 1}))
			if r := get(t, dial(t, at), "/book/1"); r.Status != 502 && r.Status != 504 || taken.Load() != 1 {
				t.Errorf("got status %d after %d attempts, want 502 or 504 after 1", r.Status, taken.Load())
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
			var taken atomic.Int32
			lead := func(nc net.Conn) {
				defer nc.Close()
				for conn := http1.NewConn(nc); conn.ReadRequest(&http1.Request{}) == nil; {
					if taken.Add(1) == 1 {
						time.Sleep(20 * time.Millisecond) // longer than the short window
						return
					}
					io.WriteString(nc, okResponse)
				}
			}
			cfg := config(http1.Endpoint{ID: "a", Address: standIn(t, lead), Size: 1}, http1.Endpoint{ID: "b", Address: standIn(t, lead), Size: 1})
			kind := &cfg.Settings.TrafficTypes[0]
			kind.Idempotency, kind.KeyScope, kind.KeyRetention = policy.IdempotentWithKey, policy.KeyScopeAll, c.window
			kind.LatencyObjective, kind.ClientTimeout = time.Minute, time.Minute
			at, _ := startNode(t, cfg)
			if r := get(t, dial(t, at), "/check/1"); r.Status != c.status || taken.Load() != c.sent {
				t.Errorf("unexpected status %d after %d attempts", r.Status, taken.Load())
			}
		})
	}
}
