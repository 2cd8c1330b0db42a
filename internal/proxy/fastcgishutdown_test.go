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

// startHeldNode runs a node whose server holds requests for .../held until release is closed, and answers others at once.
func startHeldNode(t *testing.T, u shutdownDelays) (http, cgi string, stop func() error, begun, release chan struct{}) {
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
	var hosts []http1.Endpoint // one server under many names, so that many attempts may be in flight
	for i := range 100 {
		hosts = append(hosts, http1.Endpoint{ID: fmt.Sprint("s", i), Size: 1, Address: at})
	}
	http, cgi, stop = startFastCGINodeWith(t, u, hosts...)
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

// fastcgiTestClient is a client whose requests share a connection.
type fastcgiTestClient struct {
	net.Conn
	*fastcgi.ResponseReader
}

func dialFastCGI(t *testing.T, at string) fastcgiTestClient {
	nc := dial(t, at).Conn
	nc.SetDeadline(time.Now().Add(time.Minute))
	return fastcgiTestClient{nc, fastcgi.NewResponseReader(nc)}
}

// answer reads until a request has its answer; each other that comes before is given to others.
func (c fastcgiTestClient) answer(t *testing.T, to uint16, others func(id uint16, status int)) int {
	t.Helper()
	for {
		id, r, err := c.Next()
		if err != nil {
			t.Fatalf("no answer to %d: %v", to, err)
		}
		if id == to {
			return r.Status
		}
		others(id, r.Status)
	}
}

// endsInOrder reads to the end; requests that are notified before it that they never ran are of no matter.
func (c fastcgiTestClient) endsInOrder(t *testing.T) {
	t.Helper()
	for {
		id, r, err := c.Next()
		if err == io.EOF {
			return
		}
		if err != nil || r.Status != 0 {
			t.Errorf("no end in order: %d is answered %d, %v", id, r.Status, err)
			return
		}
	}
}

// What ends a connection on which a request is open: it gets its answer first, and the connection ends in order.
func TestCloseKeepsAcceptedRequests(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		behind []byte // sent behind the request that is held
		told   uint16 // ID of a request that is notified first that it never ran; 0: none
	}{
		"what cannot be read":      {[]byte("GET / HTTP/1.1\r\n\r\n"), 0},
		"an id that is open":       {encodeRequest(1, post("x"))[:16], 0},
		"a request that stalls":    {encodeRequest(2, post("y"))[:40], 2},
		"a record that stalls":     {encodeRequest(2, post("z"))[:5], 0},
		"a stall and what follows": {append(encodeRequest(3, post("w"))[:40:40], encodeRequest(2, post("v"))[:16]...), 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, cgi, _, begun, release := startHeldNode(t, shutdownDelays{extraTime: time.Minute})
			nc := dialFastCGI(t, cgi)
			nc.Write(append(encodeRequest(1, heldRequest("held "+name)), c.behind...)) // read at once, while the first is held
			<-begun
			if c.told > 0 {
				if id, r, err := nc.Next(); id != c.told || r.Status != 0 || err != nil {
					t.Errorf("%d is told %d, %v", id, r.Status, err)
				}
			}
			close(release)
			if status := nc.answer(t, 1, func(uint16, int) {}); status != 200 {
				t.Errorf("answered %d", status)
			}
			nc.endsInOrder(t)
		})
	}
}

// SIGTERM with a hundred requests open on one connection, and more that keep coming: accepted requests are answered,
// those that arrive until listening ends too, and those that arrive then are notified that they never ran.
func TestStopSharedConnection(t *testing.T) {
	t.Parallel()
	coming := make(chan struct{})
	http, cgi, stop, begun, release := startHeldNode(t, shutdownDelays{awaitArrivals: func() { <-coming }, extraTime: time.Minute})
	nc, idle := dialFastCGI(t, cgi), dialFastCGI(t, cgi)
	const n, mark = 99, 1000 // a hundred with the one that asks how it stands
	var wire []byte
	for id := uint16(1); id <= n; id++ {
		wire = append(wire, encodeRequest(id, heldRequest(fmt.Sprint("stop-", id)))...)
	}
	up := post("up")
	up.Method, up.Target, up.Body = []byte("GET"), []byte("/up"), nil
	nc.Write(append(wire, encodeRequest(mark, up)...))
	open := n // some may be rejected at once: so many are not forwarded together
	denied := func(id uint16, status int) {
		if open--; id > n || status != 503 {
			t.Errorf("%d is answered %d", id, status)
		}
	}
	nc.answer(t, mark, denied) // all before it were read
	<-begun
	done := make(chan error)
	go func() { done <- stop() }()
	for kept := dial(t, http); !get(t, kept, "/up").Close; {
	}
	nc.Write(encodeRequest(mark, up))
	if status := nc.answer(t, mark, denied); status != 200 {
		t.Errorf("answered %d while it stops", status)
	}
	idle.Write(encodeRequest(1, up))
	if status := idle.answer(t, 1, denied); status != 200 {
		t.Errorf("answered %d on an idle connection", status)
	}
	idle.endsInOrder(t)
	close(coming)
	for status := 200; status != 0; { // notified that it never ran: its end alone
		nc.Write(encodeRequest(mark, up))
		if status = nc.answer(t, mark, denied); status != 200 && status != 0 {
			t.Fatalf("answered %d", status)
		}
	}
	close(release)
	for ; open > 0; open-- {
		if id, r, err := nc.Next(); err != nil || r.Status != 200 && r.Status != 503 {
			t.Fatalf("%d is answered %d, %v; %d are owed", id, r.Status, err, open)
		}
	}
	nc.endsInOrder(t)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// A client of either protocol that has sent on behind the last answer still gets all of it: the close is no reset.
func TestNoResetBeforeAnswer(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("x", 60<<10)
	at := responder(t, func(*message.Request) *message.Answer { return &message.Answer{Status: 200, Body: []byte(body)} })
	http, cgi, _ := startFastCGINode(t, http1.Endpoint{ID: "s", Size: 1, Flavor: "cgi", Address: at})
	narrow := net.Dialer{Control: func(_, _ string, rc syscall.RawConn) error { // the answer waits at the node
		return rc.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	for name, c := range map[string]struct {
		at   string
		ask  []byte
		read func(net.Conn) (n int, err error)
	}{
		"HTTP": {http, []byte("GET /check/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nRequest-Id: reset-1\r\n\r\n" +
			strings.Repeat("GET /check/2 HTTP/1.1\r\nHost: h\r\nRequest-Id: reset-2\r\n\r\n", 500)),
			func(nc net.Conn) (int, error) {
				var r http1.Response
				err := http1.NewConn(nc).ReadResponse(&r, http1.MaxAnswer)
				return len(r.Body), err
			}},
		"FastCGI, what cannot be read": {cgi, append(encodeRequest(1, post("reset-3")), strings.Repeat("no record at all", 2000)...),
			func(nc net.Conn) (int, error) {
				_, r, err := fastcgi.NewResponseReader(nc).Next()
				return len(r.Body), err
			}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nc, err := narrow.Dial("tcp", c.at)
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			nc.SetDeadline(time.Now().Add(time.Minute))
			nc.Write(c.ask)
			if n, err := c.read(nc); n != len(body) || err != nil {
				t.Errorf("%d bytes of %d, %v", n, len(body), err)
			}
		})
	}
}

// A request that arrives as the idle timeout passes is read all the same.
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
	f := fastcgi.NewClientConn(nc, s.dispatcher.MessageBudget())
	client.Write(encodeRequest(1, post("crossing")))
	for !f.HasUnread() {
		time.Sleep(time.Millisecond)
	}
	c := &fastcgiClientConn{server: s, tcp: nc.(*net.TCPConn), conn: f, client: s.dispatcher.AddClient(f), firstRequestDeadline: pastDeadline}
	if call, err := f.NextRequest(c); err != nil || string(call.Request.Body) != "body" {
		t.Errorf("%v", err)
	}
}
