package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/sockpeek"
)

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

// Within 3 s of connecting a client gets an answer or the close, though abandon times are longer.
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

// A client that sends on behind its request and stays gets its answers, as long as what it sends can be held.
func TestPipelinedRequest(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		padding int
		next    bool // the request behind is answered
	}{"a request": {0, true}, "as much as is held": {7 << 10, true}, "more than is held": {60 << 10, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h, begun, release := heldServer(t)
			cfg := config(h)
			cfg.Settings.TrafficTypes[0].LatencyObjective, cfg.Settings.TrafficTypes[0].ClientTimeout = time.Minute, time.Minute
			at, _ := startNode(t, cfg)
			client := dial(t, at)
			fmt.Fprintf(client, "GET /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n\r\n", ids.Add(1))
			<-begun
			fmt.Fprintf(client, "GET /check/2 HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\nX: %s\r\n\r\n", ids.Add(1), strings.Repeat("x", c.padding))
			release()
			if r := readReply(t, client); r.Status != 200 {
				t.Errorf("the first is answered %d", r.Status)
			}
			var r http1.Response
			client.SetReadDeadline(time.Now().Add(10 * time.Second))
			if err := client.ReadResponse(&r, http1.MaxAnswer); (err == nil && r.Status == 200) != c.next {
				t.Errorf("the next is answered %d, %v", r.Status, err)
			}
		})
	}
}

// A client that goes on sending behind its request, beyond what is held, still gets its answer whole, though it comes to
// it slowly and sends on after the node has dealt with it.
func TestAnswerAfterOverflow(t *testing.T) {
	t.Parallel()
	const size = 60 << 10
	begun, release := make(chan struct{}), make(chan struct{})
	at := standIn(t, func(nc net.Conn) {
		defer nc.Close()
		for c := http1.NewConn(nc); c.ReadRequest(&http1.Request{}) == nil; {
			close(begun)
			<-release
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
		}
	})
	cfg := config(http1.Endpoint{ID: "s", Address: at, Size: 1})
	cfg.Settings.TrafficTypes[0].LatencyObjective, cfg.Settings.TrafficTypes[0].ClientTimeout = time.Minute, time.Minute
	cfg.shutdownDelays.extraLinger = time.Minute
	l := newTestServer(t, cfg)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	narrow := net.Dialer{Control: func(_, _ string, rc syscall.RawConn) error { // the answer waits at the node
		return rc.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	client, err := narrow.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	near, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.serveHTTPConn(near.(*net.TCPConn))
	}()
	client.SetDeadline(time.Now().Add(time.Minute))
	fmt.Fprintf(client, "GET /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n\r\n", ids.Add(1))
	<-begun
	io.WriteString(client, strings.Repeat("y", 40<<10))
	await(t, "all that was sent is read", func() bool { return sockpeek.IsIdle(near) })
	close(release)
	first := make([]byte, 1)
	if _, err := io.ReadFull(client, first); err != nil {
		t.Fatal(err)
	}
	select {
	case <-done: // it has closed: what comes now is answered by a reset
	case <-time.After(200 * time.Millisecond): // it waits for its client
	}
	io.WriteString(client, "y")
	rest, err := io.ReadAll(client)
	if err != nil || len(rest) < size {
		t.Errorf("%d bytes of more than %d, %v", 1+len(rest), size, err)
	}
}
