package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
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
	"fernvane/policy"
)

var ids atomic.Int64

const (
	closeMark          = "\x00" // at the end of what a server says
	okResponse         = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	notStartedResponse = "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
)

// standIn listens and gives each connection to a function.
func standIn(t *testing.T, lead func(net.Conn)) netip.AddrPort {
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
			go lead(c)
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// servers are some that together say the lines of a script, one for each request.
func servers(t *testing.T, n int, script ...string) (hosts []http1.Endpoint, taken *atomic.Int32) {
	taken = new(atomic.Int32)
	for i := range n {
		at := standIn(t, func(nc net.Conn) {
			defer nc.Close()
			c := http1.NewConn(nc)
			for c.ReadRequest(&http1.Request{}) == nil {
				say := script[min(int(taken.Add(1)), len(script))-1]
				io.WriteString(nc, strings.TrimSuffix(say, closeMark))
				if strings.HasSuffix(say, closeMark) {
					return
				}
			}
		})
		hosts = append(hosts, http1.Endpoint{ID: fmt.Sprint("s-", i), Address: at, Size: 1})
	}
	return hosts, taken
}

func config(hosts ...http1.Endpoint) Config {
	kind := policy.TrafficType{LatencyObjective: 500 * time.Millisecond, ClientTimeout: time.Second, PriorityWeight: 1}
	binding := kind
	binding.Idempotency = policy.NonIdempotent
	return Config{Name: "n", Limits: dispatch.Limits{MemoryMB: 192, Sockets: 1024},
		Discovery: netip.MustParseAddrPort("127.0.0.1:1"), SavedList: http1.EndpointList{Complete: true, Hosts: hosts},
		Settings: settings.Settings{ConnIdle: time.Second, TypeNames: []string{"check", "book"}, Settings: policy.Settings{
			NodeCount: 1, MaxAttempts: 4, ConnectTimeout: 100 * time.Millisecond, TrafficTypes: []policy.TrafficType{kind, binding}}}}
}

// node runs one until the test ends, or until stop.
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
	if err := c.ReadResponse(&r, http1.MaxAnswer); err != nil {
		t.Fatal(err)
	}
	return r
}

func TestOneRequest(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		path   string
		script []string
		status int
		hops   int32 // below 0: so many or more, by chance, for hops that all are turned away grow rare
	}{
		"handled":                         {"/book/1", []string{okResponse}, 200, 1},
		"beyond what was agreed":          {"/book/1", []string{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 300002\r\n\r\n%sok", strings.Repeat("x", 300000))}, 200, 1},
		"in chunks":                       {"/book/1", []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"}, 200, 1},
		"until the close":                 {"/book/1", []string{"HTTP/1.1 200 OK\r\n\r\nok" + closeMark}, 200, 1},
		"the list asks for more":          {"/other/1", []string{okResponse}, 404, 0},
		"binding, no answer":              {"/book/1", []string{closeMark, okResponse}, 502, 1},
		"binding, cut off in the head":    {"/book/1", []string{"HTTP/1.1 2" + closeMark, okResponse}, 502, 1},
		"binding, cut off in the body":    {"/book/1", []string{strings.TrimSuffix(okResponse, "k") + closeMark, okResponse}, 502, 1},
		"binding, garbled":                {"/book/1", []string{"what\r\n\r\n", okResponse}, 502, 1},
		"binding, too long":               {"/book/1", []string{"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", okResponse}, 502, 1},
		"binding, an error":               {"/book/1", []string{"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", okResponse}, 502, 1},
		"binding, away without a word":    {"/book/1", []string{strings.Replace(notStartedResponse, "Not-Started: 1\r\n", "", 1), okResponse}, 502, 1},
		"binding, silence":                {"/book/1", []string{"", okResponse}, 504, 1},
		"binding, stalls in the body":     {"/book/1", []string{strings.TrimSuffix(okResponse, "k"), okResponse}, 504, 1},
		"binding, turned away, then not":  {"/book/1", []string{notStartedResponse, okResponse}, 200, 2},
		"binding, turned away everywhere": {"/book/1", []string{notStartedResponse}, 503, -2},
		"retriable, its own fault":        {"/check/1", []string{"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n", okResponse}, 400, 1},
		"binding, too many":               {"/book/1", []string{"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n", okResponse}, 502, 1},
		"retriable, cut off, then not":    {"/check/1", []string{closeMark, okResponse}, 200, 2},
		"retriable, an error, then not":   {"/check/1", []string{"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", okResponse}, 200, 2},
		"retriable, silence":              {"/check/1", []string{"", okResponse}, 503, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hosts, taken := servers(t, 4, c.script...)
			at, _ := startNode(t, config(hosts...))
			conn := dial(t, at)
			r := get(t, conn, c.path)
			if r.Status != c.status || taken.Load() != c.hops && (c.hops >= 0 || taken.Load() < -c.hops || taken.Load() > 4) || r.Status == 200 && strings.TrimLeft(string(r.Body), "x") != "ok" {
				t.Errorf("answered %d %q after %d hops", r.Status, r.Body, taken.Load())
			}
			if r := get(t, conn, "/up"); r.Status != 200 { // the connection lives on
				t.Errorf("then %d", r.Status)
			}
		})
	}
}

// part is a connection that takes so many bytes of what is written, and brings nothing but an error.
type partialConn struct {
	net.Conn
	takes int
	write error
	read  error
}

func (p partialConn) Write(b []byte) (int, error) { return min(len(b), p.takes), p.write }
func (p partialConn) Read([]byte) (int, error)    { return 0, p.read }

// Only before the last byte is written is it sure that nothing ran.
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

func TestConnectResult(t *testing.T) {
	for name, c := range map[string]struct {
		err    error
		timeUp bool
		want   dispatch.AttemptResult
	}{
		"refused":                    {&net.OpError{Err: syscall.ECONNREFUSED}, false, dispatch.ConnectRefused},
		"no way there":               {&net.OpError{Err: syscall.EHOSTUNREACH}, false, dispatch.ConnectRefused},
		"not in the time for it":     {&net.OpError{Err: http1.ErrTimeout}, false, dispatch.ConnectTimeout},
		"not in the hop's time":      {&net.OpError{Err: http1.ErrTimeout}, true, dispatch.ExpiredUnsent},
		"called off":                 {&net.OpError{Err: context.Canceled}, false, dispatch.ExpiredUnsent},
		"no descriptor":              {&net.OpError{Err: os.NewSyscallError("socket", syscall.EMFILE)}, false, dispatch.NoDescriptor},
		"no port":                    {&net.OpError{Err: os.NewSyscallError("connect", syscall.EADDRNOTAVAIL)}, false, dispatch.NoDescriptor},
		"an address that is not one": {&net.AddrError{Err: "missing port"}, false, dispatch.ConnectRefused},
	} {
		t.Run(name, func(t *testing.T) {
			if got := connectResult(c.err, c.timeUp); got != c.want {
				t.Errorf("ended %s", got)
			}
		})
	}
}

// A hop that is given up ends its connection, which is how its server learns of it.
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

func TestUnreachableServer(t *testing.T) {
	t.Parallel()
	hosts, _ := servers(t, 1, okResponse)
	hosts = append(hosts, http1.Endpoint{ID: "closed", Address: netip.MustParseAddrPort("127.0.0.1:1"), Size: 1})
	at, _ := startNode(t, config(hosts...))
	for range 4 {
		if r := get(t, dial(t, at), "/book/1"); r.Status != 200 {
			t.Errorf("answered %d", r.Status)
		}
	}
}

// A server that closes a connection just before it is used again must not cost an operation.
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
	node, _ := startNode(t, config(http1.Endpoint{ID: "s", Address: at, Size: 1}))
	for range 3 {
		if r := get(t, dial(t, node), "/book/1"); r.Status != 200 {
			t.Errorf("answered %d", r.Status)
		}
		<-closed
	}
}

// A hop that was decided on before its server left is not written to it long after: the connection took its time.
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
		for !s.dispatcher.IsPastDrainGrace(left.ID) {
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

// A kept connection that breaks before the request is written tells nothing of its server, a new one does.
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

func TestMalformedRequests(t *testing.T) {
	t.Parallel()
	hosts, taken := servers(t, 1, okResponse)
	at, _ := startNode(t, config(hosts...))
	const get = "GET /check/1 HTTP/1.1\r\nHost: h\r\n"
	for name, c := range map[string]struct {
		in     string
		status int
	}{
		"no HTTP":            {"hello\r\n\r\n", 400},
		"no id":              {get + "\r\n", 400},
		"a time-out of what": {get + "Request-Id: 1\r\nRequest-Timeout: x\r\n\r\n", 400},
		"an empty time-out":  {get + "Request-Id: 1\r\nRequest-Timeout:\r\n\r\n", 400},
		"no time at all":     {get + "Request-Id: 1\r\nRequest-Timeout: 0\r\n\r\n", 408},
		"a method without":   {"HEAD /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\n", 405},
		"its time is up":     {get + "Request-Id: 1\r\nRequest-Timeout: 0.000000001\r\n\r\n", 408},
		"stalls in the head": {get, 408},
		"an endless wait":    {strings.Repeat("\r\n", 99), 431},
		"stalls in the body": {"POST /book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nContent-Length: 9\r\n\r\nx", 408},
		"a large head":       {get + "A: " + strings.Repeat("a", http1.MaxHead), 431},
		"a large body":       {get + "Content-Length: 99999\r\n\r\n" + strings.Repeat("a", 99999), 413},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, at)
			io.WriteString(conn, c.in)
			if r := readReply(t, conn); r.Status != c.status || !r.Close {
				t.Errorf("answered %d, close %v", r.Status, r.Close)
			}
			if err := conn.ReadResponse(&http1.Response{}, 0); err != io.EOF {
				t.Errorf("the connection ends with %v", err)
			}
		})
	}
	if taken.Load() != 0 {
		t.Error("a server was sent something")
	}
}

// What a client is owed within 3 s of connecting: an error or the close, though abandon times are longer.
func TestSlowClients(t *testing.T) {
	t.Parallel()
	cfg := config()
	cfg.Settings.TrafficTypes[0].ClientTimeout = time.Hour
	at, _ := startNode(t, cfg)
	for name, c := range map[string]struct{ once, again string }{
		"says nothing": {},
		"asks once":    {"GET /up HTTP/1.1\r\nHost: h\r\n\r\n", ""},
		"half a head":  {"GET /check/1 HT", ""},
		"half a body":  {"POST /book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nContent-Length: 9\r\n\r\nx", ""},
		"dribbles":     {"GET /check/1 HTTP/1.1\r\nA: ", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, began := dial(t, at), time.Now()
			io.WriteString(conn, c.once)
			for ended := false; !ended; {
				io.WriteString(conn, c.again)
				conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
				n, err := conn.Read(make([]byte, 99))
				if name == "asks once" { // and has its answer
					n = 0
				}
				if ended = n > 0 || err != nil && !errors.Is(err, http1.ErrTimeout); !ended && time.Since(began) > 3*time.Second {
					t.Fatal("still open")
				}
			}
		})
	}
}

// booked has a fleet take a binding operation under an id of its own.
func submitNonIdempotent(f *dispatch.Dispatcher) *dispatch.Request {
	op, _ := f.Submit(dispatch.Arrival{ID: fmt.Append(nil, ids.Add(1)), RouteIndex: -1, TrafficType: 1, Timeout: time.Minute})
	return op
}

func TestDisconnectIsNoticed(t *testing.T) {
	t.Parallel()
	for name, behind := range map[string]int{"nothing behind": 0, "a request behind": 80, "more than is held": 200 << 10} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gone := make(chan net.Conn, 1)
			at := standIn(t, func(c net.Conn) { gone <- c })
			near := dial(t, at.String())
			s := &Server{dispatcher: dispatch.New(config().Settings, 1, config().Limits, engine.NewPolicy)}
			defer s.dispatcher.Stop()
			s.dispatcher.ApplyList(http1.EndpointList{Hosts: []http1.Endpoint{{ID: "s", Address: at, Size: 1}}}, endpoints.SourceConfig)
			op := submitNonIdempotent(s.dispatcher)
			if d := op.NextDecision(func() {}); d.Action != dispatch.SendAttempt {
				t.Fatalf("decided %d", d.Action)
			}
			defer httpClientConn{s, near}.WatchDisconnect(op.ClientDisconnected)()
			far := <-gone
			go func() { // while the hop is out
				far.Write(make([]byte, behind))
				far.Close()
			}()
			if d := op.NextDecision(func() {}); d.Action != dispatch.Drop {
				t.Errorf("decided %d", d.Action)
			}
		})
	}
}

// A client that leaves while a connection comes up: its operation is not sent after that.
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

func TestShortOfDescriptors(t *testing.T) {
	t.Parallel()
	hosts, _ := servers(t, 1, okResponse)
	cfg := config(hosts...)
	cfg.Limits.Sockets = 1 // leaves room for the fewest connections
	at, _ := startNode(t, cfg)
	for i := range 4 * cfg.Limits.MaxConnections() {
		if r := get(t, dial(t, at), "/check/1"); r.Status != 200 { // and stays, idle
			t.Fatalf("the %d. client is answered %d", i, r.Status)
		}
	}
}

// With all descriptors busy, what comes is still accepted and told at once to come back.
func TestAllConnectionsBusy(t *testing.T) {
	t.Parallel()
	finish := make(chan struct{})
	server := standIn(t, func(nc net.Conn) {
		for c := http1.NewConn(nc); c.ReadRequest(&http1.Request{}) == nil; {
			<-finish
			io.WriteString(nc, okResponse)
		}
	})
	cfg := config(http1.Endpoint{ID: "a", Address: server, Size: 1}, http1.Endpoint{ID: "b", Address: server, Size: 1})
	cfg.Limits.Sockets = 1
	cfg.Settings.TrafficTypes[0].LatencyObjective, cfg.Settings.TrafficTypes[0].ClientTimeout = time.Minute, time.Minute
	at, _ := startNode(t, cfg)
	answers := make(chan int)
	const n = 20
	for range n {
		go func() {
			var r http1.Response
			for r.Status == 0 { // one closed before its request was read is for the client to send once more
				nc, err := net.Dial("tcp", at)
				if err != nil {
					break
				}
				defer nc.Close()
				fmt.Fprintf(nc, "GET /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n\r\n", ids.Add(1))
				http1.NewConn(nc).ReadResponse(&r, http1.MaxBody)
			}
			answers <- r.Status
		}()
	}
	got := map[int]int{}
	for i := range n {
		status := <-answers
		if got[status]++; got[503] == n-3 && i == n-4 {
			close(finish)
		}
	}
	if got[200] != 3 || got[503] != n-3 {
		t.Errorf("answered %v", got)
	}
}

func TestStop(t *testing.T) {
	t.Parallel()
	begun, finish := make(chan struct{}), make(chan struct{})
	server := standIn(t, func(nc net.Conn) {
		for c := http1.NewConn(nc); c.ReadRequest(&http1.Request{}) == nil; {
			begun <- struct{}{}
			<-finish
			io.WriteString(nc, okResponse)
		}
	})
	cfg := config(http1.Endpoint{ID: "s", Address: server, Size: 1})
	cfg.Settings.TrafficTypes[0].LatencyObjective, cfg.Settings.TrafficTypes[0].ClientTimeout = time.Minute, time.Minute
	coming := make(chan struct{})
	cfg.shutdownDelays = shutdownDelays{awaitArrivals: func() { <-coming }, extraTime: time.Minute}
	at, stop := startNode(t, cfg)
	before := dial(t, at)
	kept := dial(t, at)
	if r := get(t, kept, "/up"); r.Close {
		t.Error("closed before the stop")
	}
	fmt.Fprint(before, "GET /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\n")
	<-begun
	done := make(chan error)
	go func() { done <- stop() }()
	for !get(t, dial(t, at), "/up").Close { // connections are taken all the while
	}
	if r := get(t, kept, "/up"); r.Status != 200 || !r.Close {
		t.Errorf("a kept connection is answered %d, close %v", r.Status, r.Close)
	}
	close(coming)
	close(finish)
	if r := readReply(t, before); r.Status != 200 || !r.Close {
		t.Errorf("what was taken is answered %d, close %v", r.Status, r.Close)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", at); err == nil {
		t.Error("still listening")
	}
}

func TestDiscovery(t *testing.T) {
	t.Parallel()
	hosts, _ := servers(t, 1, okResponse)
	line := fmt.Sprintf(`{"id":"s","host_port":"%s","phase":"SERVING","size":1}`, hosts[0].Address)
	list := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	good := list(`{"revision":9,"complete":true,"members":[` + line + `]}`)
	for name, script := range map[string][]string{
		"at once":                 {good},
		"after nothing new":       {list(`{"revision":3,"members":[]}`), good},
		"after a failed call":     {"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n", good},
		"after a broken call":     {closeMark, good},
		"after a bad body":        {list(`{"revision":5,"compl`), good},
		"beside a bad entry":      {list(`{"revision":9,"complete":true,"members":[{"id":7},` + line + `]}`)},
		"on a connection closed":  {list(`{"revision":3,"members":[]}`) + closeMark, good},
		"as a change to the list": {list(`{"revision":9,"members":[` + line + `]}`)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			calls, next := make(chan string, 16), make(chan string, len(script))
			for _, s := range script {
				next <- s
			}
			cfg := config()
			cfg.SavedList.Revision = 2
			cfg.Discovery = standIn(t, func(nc net.Conn) {
				defer nc.Close()
				var r http1.Request
				for c := http1.NewConn(nc); c.ReadRequest(&r) == nil; {
					calls <- string(r.Target)
					say := <-next
					io.WriteString(nc, strings.TrimSuffix(say, closeMark))
					if strings.HasSuffix(say, closeMark) {
						return
					}
				}
			})
			at, _ := startNode(t, cfg)
			for range script {
				if call := <-calls; !strings.HasPrefix(call, "/discovery/hosts?index=2&") && !strings.HasPrefix(call, "/discovery/hosts?index=3&") {
					t.Errorf("called %s", call)
				}
			}
			told := time.Now()
			if call := <-calls; !strings.HasPrefix(call, "/discovery/hosts?index=9&wait=") || time.Since(told) > 200*time.Millisecond {
				t.Errorf("called %s, after %v", call, time.Since(told)) // the watch must go on
			}
			close(next)
			if r := get(t, dial(t, at), "/check/1"); r.Status != 200 {
				t.Errorf("answered %d", r.Status)
			}
		})
	}
}

func TestConfig(t *testing.T) {
	t.Parallel()
	const good = `{"name":"n","listen":"127.0.0.1:80","discovery":"127.0.0.1:81","seed":"x","limits":{"memory_mb":64,"sockets":256},
		"known":{"revision":1,"members":[]},"settings":{"limits":{"mostHops":2},"trafficTypes":[{"name":"a","targetTime":5,"idempotency":"safe"}]}}`
	for name, c := range map[string]struct {
		old, new string
		env      string
		wrong    string // in the one line
	}{
		"good":                {},
		"listen from outside": {`"127.0.0.1:80"`, `""`, "127.0.0.2:80", ""},
		"no JSON":             {"{", "", "", "invalid"},
		"cut off":             {`"}]}}`, "", "", "unexpected end"},
		"no address":          {`"127.0.0.1:80"`, `"here"`, "", "listen"},
		"no discovery":        {`"127.0.0.1:81"`, `""`, "", "discovery"},
		"no settings":         {`"settings"`, `"settlings"`, "", "no settings"},
		"no traffic types":    {`"trafficTypes"`, `"types"`, "", "no traffic types"},
		"no attempts":         {`"mostHops":2`, `"mostHops":0`, "", "no attempt"},
		"a list of no use":    {`"revision":1`, `"revision":"one"`, "", ""},
		"limits of no use":    {`"sockets":256`, `"sockets":-1`, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(path, []byte(strings.Replace(good, c.old, c.new, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			cfg, err := LoadConfig(path, func(name string) string {
				if name == "PROXY_LISTEN" {
					return c.env
				}
				return ""
			})
			if c.wrong == "" {
				if err != nil || cfg.Limits.Sockets < 1 || cfg.Limits.Sockets > maxSockets || c.env != "" && cfg.Listen.String() != c.env {
					t.Errorf("%+v, %v", cfg, err)
				}
			} else if err == nil || !strings.Contains(err.Error(), c.wrong) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v", err)
			}
		})
	}
}

type blockedWriter struct{ held chan struct{} }

func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.held
	return len(b), nil
}

// A reader of the log that has stopped must not hold up operations, nor the end of the node.
func TestLogNeverBlocks(t *testing.T) {
	t.Parallel()
	w := blockedWriter{make(chan struct{})}
	log, flush := NewLogger(w, zerolog.InfoLevel)
	for range 10 * maxQueuedLogLines {
		log.Warn().Msg("once more")
	}
	flush()
	close(w.held)
}

// A reload takes up the address that the file names, at once and past the environment's; what is of no use
// leaves all as it was.
func TestReload(t *testing.T) {
	t.Parallel()
	hosts, _ := servers(t, 1, okResponse)
	list := func(revision int, complete bool) string {
		body := fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[{"id":"s","host_port":"%s","phase":"SERVING","size":1}]}`,
			revision, complete, hosts[0].Address)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	for name, c := range map[string]struct {
		says  []string
		calls []string
	}{
		"its count is the same":  {[]string{list(9, false)}, []string{"?index=5&wait=100", "?index=9&wait=2000"}},
		"it counts from another": {[]string{list(1, false), list(0, true)}, []string{"?index=5&wait=100", "", "?index=0&wait=2000"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			discovery := func(says []string) (at netip.AddrPort, calls chan string) {
				calls = make(chan string, 9)
				at = standIn(t, func(nc net.Conn) {
					defer nc.Close()
					var r http1.Request
					for c := http1.NewConn(nc); c.ReadRequest(&r) == nil; {
						calls <- strings.TrimPrefix(string(r.Target), "/discovery/hosts")
						if len(says) > 0 {
							io.WriteString(nc, says[0])
							says = says[1:]
						}
					}
				})
				return at, calls
			}
			before, called := discovery([]string{list(5, true)})
			after, calledAfter := discovery(c.says)
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
			<-called // the whole list
			<-called // the watch, which is not answered
			for _, useless := range []string{"", fmt.Sprintf(text, "nowhere"), fmt.Sprintf(text, "127.0.0.1:1")} {
				file(useless)
				hup <- nil
			}
			file(fmt.Sprintf(text, after))
			hup <- nil
			for _, want := range c.calls {
				if got := <-calledAfter; got != want {
					t.Errorf("called %q, not %q", got, want)
				}
			}
			if len(called) > 0 {
				t.Error("the address before was called again")
			}
			close(stop)
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}
