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
	serverEndpoints, received := servers(t, 1, okResponse)
	at, _ := startNode(t, config(serverEndpoints...))
	const get = "GET /check/1 HTTP/1.1\r\nHost: h\r\n"
	for name, c := range map[string]struct {
		in     string
		status int
	}{
		"no HTTP":            {"hello\r\n\r\n", 400},
		"no request ID":      {get + "\r\n", 400},
		"invalid timeout":    {get + "Request-Id: 1\r\nRequest-Timeout: x\r\n\r\n", 400},
		"an empty timeout":   {get + "Request-Id: 1\r\nRequest-Timeout:\r\n\r\n", 400},
		"a timeout of 0":     {get + "Request-Id: 1\r\nRequest-Timeout: 0\r\n\r\n", 408},
		"method not allowed": {"HEAD /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\n", 405},
		"timeout has passed": {get + "Request-Id: 1\r\nRequest-Timeout: 0.000000001\r\n\r\n", 408},
		"stalls in the head": {get, 408},
		"blank lines only":   {strings.Repeat("\r\n", 99), 431},
		"stalls in the body": {"POST /book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nContent-Length: 9\r\n\r\nx", 408},
		"a large head":       {get + "A: " + strings.Repeat("a", http1.MaxHead), 431},
		"a large body":       {get + "Content-Length: 99999\r\n\r\n" + strings.Repeat("a", 99999), 413},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, at)
			io.WriteString(conn, c.in)
			if r := readReply(t, conn); r.Status != c.status || !r.Close {
				t.Errorf("unexpected status %d, close %v", r.Status, r.Close)
			}
			if err := conn.ReadResponse(&http1.Response{}, 0); err != io.EOF {
				t.Errorf("got connection error %v, want EOF", err)
			}
		})
	}
	if received.Load() != 0 {
		t.Error("server received a request, want none")
	}
}

// Within 3 s of the connect a slow client gets an answer or the close of its connection, even if the client timeout is longer.
func TestSlowClients(t *testing.T) {
	t.Parallel()
	cfg := config()
	cfg.Settings.TrafficTypes[0].ClientTimeout = time.Hour
	at, _ := startNode(t, cfg)
	for name, c := range map[string]struct{ first, repeated string }{
		"sends nothing": {},
		"one request":   {"GET /up HTTP/1.1\r\nHost: h\r\n\r\n", ""},
		"half a head":   {"GET /check/1 HT", ""},
		"half a body":   {"POST /book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nContent-Length: 9\r\n\r\nx", ""},
		"byte by byte":  {"GET /check/1 HTTP/1.1\r\nA: ", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, began := dial(t, at), time.Now()
			io.WriteString(conn, c.first)
			for ended := false; !ended; {
				io.WriteString(conn, c.repeated)
				conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
				n, err := conn.Read(make([]byte, 99))
				if name == "one request" { // the answer does not count
					n = 0
				}
				if ended = n > 0 || err != nil && !errors.Is(err, http1.ErrTimeout); !ended && time.Since(began) > 3*time.Second {
					t.Fatal("connection neither answered nor closed within 3 s")
				}
			}
		})
	}
}

// A client that sends its next request before the answer gets both answers, as long as the node can buffer the bytes.
func TestPipelinedRequest(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		padding int
		next    bool // the next request is answered
	}{"a request": {0, true}, "as much as is buffered": {7 << 10, true}, "more than is buffered": {60 << 10, false}} {
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
				t.Errorf("first request: got status %d, want 200", r.Status)
			}
			var r http1.Response
			client.SetReadDeadline(time.Now().Add(10 * time.Second))
			if err := client.ReadResponse(&r, http1.MaxResponseBody); (err == nil && r.Status == 200) != c.next {
				t.Errorf("next request: unexpected status %d, error %v", r.Status, err)
			}
		})
	}
}

// A client that sends more bytes after its request than the node buffers still gets its complete answer, even if it reads the answer slowly
// and sends further bytes after the node has written it.
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
	cfg := config(http1.Endpoint{ID: "s", Address: at, Weight: 1})
	cfg.Settings.TrafficTypes[0].LatencyObjective, cfg.Settings.TrafficTypes[0].ClientTimeout = time.Minute, time.Minute
	cfg.shutdownDelays.extraLinger = time.Minute
	node := newTestServer(t, cfg)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialer := net.Dialer{Control: func(_, _ string, rc syscall.RawConn) error { // most of the answer stays in the node's buffers
		return rc.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	client, err := dialer.Dial("tcp", ln.Addr().String())
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
		node.serveHTTPConn(near.(*net.TCPConn))
	}()
	client.SetDeadline(time.Now().Add(time.Minute))
	fmt.Fprintf(client, "GET /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n\r\n", ids.Add(1))
	<-begun
	io.WriteString(client, strings.Repeat("y", 40<<10))
	await(t, "read of all sent bytes", func() bool { return sockpeek.IsIdle(near) })
	close(release)
	first := make([]byte, 1)
	if _, err := io.ReadFull(client, first); err != nil {
		t.Fatal(err)
	}
	select {
	case <-done: // the node has closed the connection: further bytes cause a reset
	case <-time.After(200 * time.Millisecond): // the node waits for the client to read
	}
	io.WriteString(client, "y")
	rest, err := io.ReadAll(client)
	if err != nil || len(rest) < size {
		t.Errorf("got %d bytes, want more than %d, error %v", 1+len(rest), size, err)
	}
}
