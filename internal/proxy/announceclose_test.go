package proxy

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"fernvane/internal/protocol/http1"
)

const (
	smallBufferBytes = 4 << 10  // per socket buffer of smallBufferConn
	largeBodyBytes   = 60 << 10 // body of an answer that exceeds those buffers
)

// largeBodyServer is a stand-in server that answers each request with a large body.
func largeBodyServer(t *testing.T) netip.AddrPort {
	body := strings.Repeat("x", largeBodyBytes)
	return standIn(t, func(nc net.Conn) {
		defer nc.Close()
		for c := http1.NewConn(nc); c.ReadRequest(&http1.Request{}) == nil; {
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	})
}

// smallBufferConn returns both ends of a connection with small buffers: a write blocks after few bytes until the peer reads.
func smallBufferConn(t *testing.T) (near *net.TCPConn, client *http1.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBufferBytes)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, smallBufferBytes)
		})
	}}
	remote, err := dialer.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { remote.Close() })
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	near = accepted.(*net.TCPConn)
	near.SetWriteBuffer(smallBufferBytes)
	return near, http1.NewConn(remote)
}

// Guards against a shutdown that closes a connection although its last answer did not announce the close: the shutdown starts after the
// answer was encoded.
func TestStopDuringAnswerKeepsConnection(t *testing.T) {
	t.Parallel()
	cfg := config(http1.Endpoint{ID: "s", Address: largeBodyServer(t), Weight: 1})
	for i := range cfg.Settings.TrafficTypes {
		cfg.Settings.TrafficTypes[i].LatencyObjective, cfg.Settings.TrafficTypes[i].ClientTimeout = time.Minute, time.Minute
	}
	s := newTestServer(t, cfg)
	s.answerDeadline = time.Now().Add(time.Minute)
	near, client := smallBufferConn(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.serveHTTPConn(near)
	}()
	fmt.Fprintf(client, "GET /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n\r\n", ids.Add(1))
	if err := client.AwaitMessage(); err != nil { // the node is writing the answer and waits for the client to read
		t.Fatal(err)
	}
	s.isDraining.Store(true)
	if r := readReply(t, client); r.Close || len(r.Body) != largeBodyBytes {
		t.Fatalf("got a body of %d bytes, close %v, want the whole body without close", len(r.Body), r.Close)
	}
	if r := get(t, client, "/up"); r.Status != 200 || !r.Close {
		t.Errorf("next request: got status %d, close %v, want 200 with close", r.Status, r.Close)
	}
	<-done
}

// Guards against a close that the answer did not announce, when a client sends more bytes after its request than the node buffers.
func TestOverflowAnnouncesClose(t *testing.T) {
	t.Parallel()
	const behindBytes = 512 << 10 // more than the socket buffers and the node's buffer hold together
	h, begun, release := heldServer(t)
	cfg := config(h)
	for i := range cfg.Settings.TrafficTypes {
		cfg.Settings.TrafficTypes[i].LatencyObjective, cfg.Settings.TrafficTypes[i].ClientTimeout = time.Minute, time.Minute
	}
	s := newTestServer(t, cfg)
	near, client := smallBufferConn(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.serveHTTPConn(near)
	}()
	fmt.Fprintf(client, "GET /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n\r\n", ids.Add(1))
	<-begun
	if _, err := client.Write(make([]byte, behindBytes)); err != nil { // the node has read most of it when this returns
		t.Fatal(err)
	}
	release()
	if r := readReply(t, client); r.Status != 200 || !r.Close {
		t.Errorf("got status %d, close %v, want 200 with close", r.Status, r.Close)
	}
	io.Copy(io.Discard, client)
	<-done
}

// Guards against a reset instead of a close: if the node closes immediately after an answer that announced the close, bytes that arrive later
// cause a reset, and a slow client loses the rest of the answer.
func TestAnnouncedCloseLingers(t *testing.T) {
	t.Parallel()
	cfg := config(http1.Endpoint{ID: "s", Address: largeBodyServer(t), Weight: 1})
	cfg.shutdownDelays = shutdownDelays{extraLinger: time.Minute}
	s := newTestServer(t, cfg)
	near, client := smallBufferConn(t)
	near.SetWriteBuffer(4 * largeBodyBytes) // the whole answer is written before the client reads any of it
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.serveHTTPConn(near)
	}()
	fmt.Fprintf(client, "GET /check/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nRequest-Id: %d\r\n\r\n", ids.Add(1))
	await(t, "answer", func() bool { return s.dispatcher.Counts().Responded > 0 })
	select {
	case <-done: // closed
	case <-time.After(100 * time.Millisecond): // the correct node waits: it closes after the client has read its answer
	}
	for range 3 {
		client.Write(make([]byte, 100))
	}
	if r := readReply(t, client); len(r.Body) != largeBodyBytes || !r.Close {
		t.Errorf("got a body of %d bytes, want %d; close %v, want true", len(r.Body), largeBodyBytes, r.Close)
	}
	client.Close()
	<-done
}
