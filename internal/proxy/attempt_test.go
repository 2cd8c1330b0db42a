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

// partialConn is a connection that accepts so many bytes of what is written, and returns nothing but an error.
type partialConn struct {
	net.Conn
	takes int
	write error
	read  error
}

func (p partialConn) Write(b []byte) (int, error) { return min(len(b), p.takes), p.write }
func (p partialConn) Read([]byte) (int, error)    { return 0, p.read }

// Only before the last byte is written is it certain that nothing ran.
func TestExchange(t *testing.T) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	x := &forwarding{message: &http1.Request{Method: []byte("GET"), Target: []byte("/check/and/more/than/forty/bytes")}}
	for name, c := range map[string]struct {
		conn partialConn
		ctx  context.Context
		want dispatch.AttemptResult
	}{
		"nothing written":            {partialConn{write: syscall.EPIPE}, nil, dispatch.WriteFailed},
		"all but a little written":   {partialConn{takes: 40, write: syscall.ECONNRESET}, nil, dispatch.WriteFailed},
		"no time to write":           {partialConn{takes: 40, write: http1.ErrTimeout}, nil, dispatch.ExpiredUnsent},
		"written, then reset":        {partialConn{takes: 1 << 20, read: syscall.ECONNRESET}, nil, dispatch.ConnectionLost},
		"written, then closed":       {partialConn{takes: 1 << 20, read: io.EOF}, nil, dispatch.ConnectionLost},
		"written, then silence":      {partialConn{takes: 1 << 20, read: http1.ErrTimeout}, nil, dispatch.ResponseTimeout},
		"written, then called off":   {partialConn{takes: 1 << 20, read: http1.ErrTimeout}, canceled, dispatch.Abandoned},
		"written whole, and a reset": {partialConn{takes: 1 << 20, write: syscall.ECONNRESET, read: syscall.ECONNRESET}, nil, dispatch.ConnectionLost},
	} {
		t.Run(name, func(t *testing.T) {
			if c.ctx == nil {
				c.ctx = context.Background()
			}
			if got := exchange(c.ctx, http1.NewConn(c.conn), x, time.Second, &http1.Response{}); got != c.want {
				t.Errorf("ended %s", got)
			}
		})
	}
}

// An abandoned attempt closes its connection, by which its server learns of it.
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
		t.Errorf("answered %d", r.Status)
	}
	if !<-gone {
		t.Error("more came")
	}
}

// An attempt that was decided on before its server left is not written after the drain grace, whatever the connection waited for.
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
			t.Fatalf("decided %d", d.Action)
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
			t.Errorf("ended %v; %d were sent", end, taken.Load())
		}
		op.AttemptEnded(d.Attempt, end, nil)
		s.dispatcher.ApplyList(http1.EndpointList{Hosts: hosts}, endpoints.SourceDiscovery)
	}
}

// A client disconnects while its attempt connects: its request is not sent after that.
func TestNothingSentAfterDisconnect(t *testing.T) {
	t.Parallel()
	hosts, taken := servers(t, 1, okResponse)
	cfg := config()
	cfg.Settings.ConnectTimeout = time.Minute // a busy machine takes its time
	s := &Server{cfg: cfg, dispatcher: dispatch.New(config().Settings, 1, config().Limits, engine.NewPolicy)}
	defer s.dispatcher.Stop()
	s.dispatcher.ApplyList(http1.EndpointList{Hosts: hosts}, endpoints.SourceConfig)
	req := &http1.Request{Method: []byte("GET"), Target: []byte("/book/1")}
	for name, c := range map[string]struct {
		leave, seen bool // seen: only by a look at its connection, for nobody who waits for it has run
		want        dispatch.AttemptResult
	}{"left": {true, false, dispatch.ExpiredUnsent}, "left unnoticed": {true, true, dispatch.ExpiredUnsent}, "still there": {false, false, dispatch.Succeeded}} {
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
				t.Errorf("ended %s, sent %v", end, sent)
			}
			op.AttemptEnded(d.Attempt, end, nil)
		})
	}
}

// A reused connection that breaks before the request is written says nothing about its server, a new one does.
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
		t.Errorf("ended %s", end)
	}
	(<-held).Close()
}

// Responses that never end, or have no length and are reset: one attempt of a non-idempotent request, and its client is answered in time
// that it failed. A reset is no end of a response.
func TestUnterminatedResponses(t *testing.T) {
	t.Parallel()
	const noLength = "HTTP/1.1 200 OK\r\n\r\n"
	for name, c := range map[string]struct {
		begins, goesOn string // goesOn is sent without an end
		reset          bool
	}{
		"a head":               {"HTTP/1.1 200 OK\r\n", "A: b\r\n", false},
		"words on the way":     {"", "HTTP/1.1 102 Processing\r\n\r\n", false},
		"chunks":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n", false},
		"a chunk's line":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;", "x", false},
		"a trailer":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", false},
		"a body of no length":  {noLength, strings.Repeat("x", 1<<10), false},
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
				t.Errorf("answered %d after %d attempts", r.Status, taken.Load())
			}
		})
	}
}

// A request that may have run is retried only within its window, however much time its client has.
func TestRetryWindow(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		window time.Duration
		sent   int32
		status int
	}{
		"within it": {time.Minute, 2, 200},
		"behind it": {time.Millisecond, 1, 503},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var taken atomic.Int32
			lead := func(nc net.Conn) {
				defer nc.Close()
				for conn := http1.NewConn(nc); conn.ReadRequest(&http1.Request{}) == nil; {
					if taken.Add(1) == 1 {
						time.Sleep(20 * time.Millisecond) // past the short window, at the least
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
				t.Errorf("answered %d after %d attempts", r.Status, taken.Load())
			}
		})
	}
}
