package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"fernvane/internal/protocol/fastcgi"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/message"
	"fernvane/internal/proxy/dispatch"
	"fernvane/internal/proxy/engine"
)

// startHeldNode runs a node whose server delays responses to requests for .../held until release is closed, and responds to all others
// immediately.
func startHeldNode(t *testing.T, delays shutdownDelays) (http, cgi string, stop func() error, begun, release chan struct{}) {
	begun, release = make(chan struct{}, 200), make(chan struct{})
	at := standIn(t, func(nc net.Conn) {
		defer nc.Close()
		c := http1.NewConn(nc)
		var r http1.Request
		for c.ReadRequest(&r) == nil {
			if strings.HasSuffix(string(r.Target), "held") {
				begun <- struct{}{}
				<-release
			}
			c.Send(http1.AppendAnswer(nil, *echoed(&r)))
		}
	})
	var serverEndpoints []http1.Endpoint // one server under many IDs, so that many attempts may be in flight
	for i := range 100 {
		serverEndpoints = append(serverEndpoints, http1.Endpoint{ID: fmt.Sprint("s", i), Weight: 1, Address: at})
	}
	http, cgi, stop = startFastCGINodeWith(t, delays, serverEndpoints...)
	return http, cgi, stop, begun, release
}

func heldRequest(id string) *message.Request {
	r := post(id)
	r.Target = []byte("/book/held")
	return r
}

func encodeRequest(id uint16, r *message.Request) []byte {
	return fastcgi.AppendRequest(nil, id, r, "50.000", "1.2.3.4")
}

// fastcgiTestClient is a FastCGI client with one connection.
type fastcgiTestClient struct {
	net.Conn
	*fastcgi.ResponseReader
}

func dialFastCGI(t *testing.T, at string) fastcgiTestClient {
	nc := dial(t, at).Conn
	nc.SetDeadline(time.Now().Add(time.Minute))
	return fastcgiTestClient{nc, fastcgi.NewResponseReader(nc)}
}

// answer reads until the answer to a request arrives, and returns its status. It passes other answers to others.
func (c fastcgiTestClient) answer(t *testing.T, to uint16, others func(id uint16, status int)) int {
	t.Helper()
	for {
		id, r, err := c.Next()
		if err != nil {
			t.Fatalf("read answer to request %d: %v", to, err)
		}
		if id == to {
			return r.Status
		}
		others(id, r.Status)
	}
}

// endsInOrder reads until the end of the connection. Before it, only notices that a request was not executed (status 0) are allowed.
func (c fastcgiTestClient) endsInOrder(t *testing.T) {
	t.Helper()
	for {
		id, r, err := c.Next()
		if err == io.EOF {
			return
		}
		if err != nil || r.Status != 0 {
			t.Errorf("got response to request %d with status %d, error %v, want status 0 or the end of the connection", id, r.Status, err)
			return
		}
	}
}

// When an error ends a connection with an open request, that request gets its answer first and the connection is closed without a reset.
func TestCloseKeepsAcceptedRequests(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		behind   []byte // sent after the delayed request
		notified uint16 // ID of a request that first gets the notice that it was not executed; 0: none
	}{
		"not FastCGI":               {[]byte("GET / HTTP/1.1\r\n\r\n"), 0},
		"the ID of an open request": {encodeRequest(1, post("x"))[:16], 0},
		"a request that stalls":     {encodeRequest(2, post("y"))[:40], 2},
		"a record that stalls":      {encodeRequest(2, post("z"))[:5], 0},
		"a stall and what follows":  {append(encodeRequest(3, post("w"))[:40:40], encodeRequest(2, post("v"))[:16]...), 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, cgi, _, begun, release := startHeldNode(t, shutdownDelays{extraTime: time.Minute})
			nc := dialFastCGI(t, cgi)
			nc.Write(append(encodeRequest(1, heldRequest("held "+name)), c.behind...)) // read immediately, while the first request is delayed
			<-begun
			if c.notified > 0 {
				if id, r, err := nc.Next(); id != c.notified || r.Status != 0 || err != nil {
					t.Errorf("got response to request %d with status %d, error %v, want the notice that the stalled request was not executed", id, r.Status, err)
				}
			}
			close(release)
			if status := nc.answer(t, 1, func(uint16, int) {}); status != 200 {
				t.Errorf("got status %d, want 200", status)
			}
			nc.endsInOrder(t)
		})
	}
}

// Shutdown with a hundred requests open on one connection while further requests arrive. Accepted requests are answered, and so are requests
// that arrive until the listener closes. Requests that arrive later get the notice that they were not executed.
func TestStopSharedConnection(t *testing.T) {
	t.Parallel()
	arrivalsEnd := make(chan struct{})
	http, cgi, stop, begun, release := startHeldNode(t, shutdownDelays{awaitArrivals: func() { <-arrivalsEnd }, extraTime: time.Minute})
	nc, idle := dialFastCGI(t, cgi), dialFastCGI(t, cgi)
	const n, readinessID = 99, 1000 // a hundred with the readiness check
	var wire []byte
	for id := uint16(1); id <= n; id++ {
		wire = append(wire, encodeRequest(id, heldRequest(fmt.Sprint("stop-", id)))...)
	}
	readinessRequest := post("up")
	readinessRequest.Method, readinessRequest.Target, readinessRequest.Body = []byte("GET"), []byte("/up"), nil
	nc.Write(append(wire, encodeRequest(readinessID, readinessRequest)...))
	pending := n // some may be rejected immediately, above the concurrency limits
	checkRejected := func(id uint16, status int) {
		if pending--; id > n || status != 503 {
			t.Errorf("request %d: got status %d, want 503 for a request of this test", id, status)
		}
	}
	nc.answer(t, readinessID, checkRejected) // all requests before it were read
	<-begun
	done := make(chan error)
	go func() { done <- stop() }()
	for keepAlive := dial(t, http); !get(t, keepAlive, "/up").Close; {
	}
	nc.Write(encodeRequest(readinessID, readinessRequest))
	if status := nc.answer(t, readinessID, checkRejected); status != 200 {
		t.Errorf("got status %d while draining, want 200", status)
	}
	idle.Write(encodeRequest(1, readinessRequest))
	if status := idle.answer(t, 1, checkRejected); status != 200 {
		t.Errorf("got status %d on an idle connection, want 200", status)
	}
	idle.endsInOrder(t)
	close(arrivalsEnd)
	for status := 200; status != 0; { // status 0: not executed
		nc.Write(encodeRequest(readinessID, readinessRequest))
		if status = nc.answer(t, readinessID, checkRejected); status != 200 && status != 0 {
			t.Fatalf("got status %d, want 200 or 0", status)
		}
	}
	close(release)
	for ; pending > 0; pending-- {
		if id, r, err := nc.Next(); err != nil || r.Status != 200 && r.Status != 503 {
			t.Fatalf("request %d: got status %d, error %v, want 200 or 503; %d answers are missing", id, r.Status, err, pending)
		}
	}
	nc.endsInOrder(t)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// A client of either protocol that sends further bytes after its last request still gets the complete answer: the close is not a reset.
func TestNoResetBeforeAnswer(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("x", 60<<10)
	at := responder(t, func(*message.Request) *message.Answer { return &message.Answer{Status: 200, Body: []byte(body)} })
	http, cgi, _ := startFastCGINode(t, http1.Endpoint{ID: "s", Weight: 1, MachineKind: "cgi", Address: at})
	dialer := net.Dialer{Control: func(_, _ string, rc syscall.RawConn) error { // most of the answer stays in the node's buffers
		return rc.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	for name, c := range map[string]struct {
		at      string
		request []byte
		read    func(net.Conn) (n int, err error)
	}{
		"HTTP": {http, []byte("GET /check/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nRequest-Id: reset-1\r\n\r\n" +
			strings.Repeat("GET /check/2 HTTP/1.1\r\nHost: h\r\nRequest-Id: reset-2\r\n\r\n", 500)),
			func(nc net.Conn) (int, error) {
				var r http1.Response
				err := http1.NewConn(nc).ReadResponse(&r, http1.MaxResponseBody)
				return len(r.Body), err
			}},
		"FastCGI, malformed": {cgi, append(encodeRequest(1, post("reset-3")), strings.Repeat("no record at all", 2000)...),
			func(nc net.Conn) (int, error) {
				_, r, err := fastcgi.NewResponseReader(nc).Next()
				return len(r.Body), err
			}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nc, err := dialer.Dial("tcp", c.at)
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			nc.SetDeadline(time.Now().Add(time.Minute))
			nc.Write(c.request)
			if n, err := c.read(nc); n != len(body) || err != nil {
				t.Errorf("got a body of %d bytes, want %d, error %v", n, len(body), err)
			}
		})
	}
}

// A request that arrives as the idle timeout passes is still read.
func TestRequestCrossesIdleTimeout(t *testing.T) {
	t.Parallel()
	s := &Server{cfg: config()}
	s.dispatcher = dispatch.New(s.cfg.Settings, 1, s.cfg.Limits, engine.NewPolicy)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client := dialFastCGI(t, ln.Addr().String())
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	conn := fastcgi.NewClientConn(nc, s.dispatcher.MessageBudget())
	client.Write(encodeRequest(1, post("crossing")))
	for !conn.HasUnread() {
		time.Sleep(time.Millisecond)
	}
	c := &fastcgiClientConn{server: s, tcp: nc.(*net.TCPConn), conn: conn, client: s.dispatcher.AddClient(conn), firstRequestDeadline: pastDeadline}
	if request, err := conn.NextRequest(c); err != nil || string(request.Request.Body) != "body" {
		t.Errorf("got error %v, want the request", err)
	}
}
