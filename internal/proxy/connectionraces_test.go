package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/sockpeek"
	"fernvane/internal/proxy/dispatch"
)

// noDelay tells whether a connection sends small writes at once.
func isNoDelay(t *testing.T, c syscall.Conn) bool {
	t.Helper()
	rc, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var on int
	if cerr := rc.Control(func(fd uintptr) { on, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY) }); cerr != nil || err != nil {
		t.Fatal(cerr, err)
	}
	return on != 0
}

// No small write is held back by the system, where a reset would take it along: on clients' connections, also those that
// are taken as listening ends, and on servers'.
func TestNoDelay(t *testing.T) {
	t.Parallel()
	hosts, _ := servers(t, 1, okResponse)
	for name, closing := range map[string]bool{"while it serves": false, "as listening ends": true} {
		l := newTestServer(t, config(hosts...))
		ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		l.cfg.shutdownDelays.extraQuiet, l.acceptUntil = -acceptQuietDuration, time.Now().Add(time.Minute) // each look is too late
		l.isListenerClosing.Store(closing)
		dial(t, ln.Addr().String())
		got := make(chan bool, 1)
		done := make(chan error, 1)
		go func() {
			done <- l.accept(ln, func(nc *net.TCPConn) {
				got <- isNoDelay(t, nc)
				nc.Close()
			})
		}()
		if !<-got {
			t.Errorf("%s: a client's connection holds small writes back", name)
		}
		ln.Close()
		<-done
	}
	l := newTestServer(t, config(hosts...))
	op := submitNonIdempotent(l.dispatcher)
	defer op.Close()
	d := op.NextDecision(func() {})
	conn, _, end := l.connect(t.Context(), d, time.Now().Add(time.Minute))
	if end != dispatch.Succeeded || !isNoDelay(t, conn.(*http1.Conn).Conn.(*net.TCPConn)) {
		t.Errorf("a server's connection (%s) holds small writes back", end)
	}
	conn.Close()
}

// Half a line that a server sends on a resting connection is no part of any answer: the next request goes out on another
// connection, once.
func TestUnsolicitedBytesFromServer(t *testing.T) {
	t.Parallel()
	const half = "HTTP/1.1 2"
	for name, c := range map[string]struct {
		with, behind string // sent with the first answer, and once it has been passed on
		ended        bool
	}{
		"with the answer":          {half, "", false},
		"behind it":                {"", half, false},
		"behind it, and a close":   {"", half, true},
		"nothing, and a close":     {"", "", true},
		"a whole answer behind it": {"", okResponse, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			passed, sent := make(chan struct{}), make(chan struct{})
			var taken atomic.Int32
			at := standIn(t, func(nc net.Conn) {
				defer nc.Close()
				for conn := http1.NewConn(nc); conn.ReadRequest(&http1.Request{}) == nil; {
					if taken.Add(1) > 1 {
						io.WriteString(nc, strings.Replace(okResponse, "ok", "on", 1))
						continue
					}
					io.WriteString(nc, okResponse+c.with)
					<-passed
					io.WriteString(nc, c.behind)
					if c.ended {
						nc.Close()
					}
					close(sent)
				}
			})
			node, _ := startNode(t, config(http1.Endpoint{ID: "s", Address: at, Size: 1}))
			client := dial(t, node)
			if r := get(t, client, "/book/1"); r.Status != 200 || string(r.Body) != "ok" {
				t.Errorf("answered %d %q", r.Status, r.Body)
			}
			close(passed)
			<-sent
			if r := get(t, client, "/book/1"); r.Status != 200 || string(r.Body) != "on" || taken.Load() != 2 {
				t.Errorf("then %d %q after %d requests", r.Status, r.Body, taken.Load())
			}
		})
	}
}

// What comes behind the last answer of a connection is not sent on, whoever ends it and in whichever protocol.
func TestNothingReadAfterLastAnswer(t *testing.T) {
	t.Parallel()
	const second = "GET /check/behind HTTP/1.1\r\nHost: h\r\nRequest-Id: behind-%d\r\n\r\n"
	for name, c := range map[string]struct {
		first string
		cgi   bool
		stops bool // the node is about to end
	}{
		"the client asked for the end": {first: "GET /check/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nRequest-Id: end-1\r\n\r\n"},
		"the node stops":               {first: "GET /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: end-2\r\n\r\n", stops: true},
		"what cannot be read":          {first: "GET /check/1 HTTP/9\r\n\r\n"},
		"no HTTP where records belong": {first: "GET / HTTP/1.1\r\n\r\n", cgi: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var behind atomic.Int32
			at := standIn(t, func(nc net.Conn) {
				defer nc.Close()
				var r http1.Request
				for c := http1.NewConn(nc); c.ReadRequest(&r) == nil; {
					if strings.Contains(string(r.Target), "behind") {
						behind.Add(1)
					}
					io.WriteString(nc, okResponse)
				}
			})
			coming := make(chan struct{})
			u := shutdownDelays{awaitArrivals: func() { <-coming }, extraTime: time.Minute}
			http, cgi, stop := startFastCGINodeWith(t, u, http1.Endpoint{ID: "s", Size: 1, Address: at})
			done := make(chan error, 1)
			if c.stops {
				go func() { done <- stop() }()
				for kept := dial(t, http); !get(t, kept, "/up").Close; {
				}
			}
			if c.cgi {
				http = cgi
			}
			client := dial(t, http)
			behindIt := fmt.Sprintf(second, ids.Add(1))
			if c.cgi {
				r := post("behind")
				r.Target = []byte("/check/behind")
				behindIt = string(encodeRequest(2, r))
			}
			client.SetDeadline(time.Now().Add(time.Minute))
			io.WriteString(client, c.first+behindIt) // read together
			io.WriteString(client, behindIt)         // or by itself
			io.Copy(io.Discard, client)              // to the end
			close(coming)
			if c.stops {
				if err := <-done; err != nil {
					t.Error(err)
				}
			} else {
				stop()
			}
			if n := behind.Load(); n > 0 {
				t.Errorf("%d were sent on", n)
			}
		})
	}
}

// Requests on resting connections meet the node's closing them, as it stops: each that a server was sent is answered whole.
func TestRequestsCrossIdleClose(t *testing.T) {
	t.Parallel()
	const resting = 48
	var mu sync.Mutex
	ran, answered := map[string]int{}, map[string]bool{}
	at := standIn(t, func(nc net.Conn) {
		defer nc.Close()
		var r http1.Request
		for c := http1.NewConn(nc); c.ReadRequest(&r) == nil; {
			mu.Lock()
			ran[string(r.Get("Request-Id"))]++
			mu.Unlock()
			io.WriteString(nc, okResponse)
		}
	})
	cfg := config(http1.Endpoint{ID: "s", Address: at, Size: 1})
	for i := range cfg.Settings.TrafficTypes {
		cfg.Settings.TrafficTypes[i].LatencyObjective, cfg.Settings.TrafficTypes[i].ClientTimeout = time.Minute, time.Minute
	}
	cfg.shutdownDelays = shutdownDelays{awaitArrivals: func() {}, extraTime: time.Minute, extraQuiet: -acceptQuietDuration}
	node, stop := startNode(t, cfg)
	var clients []*http1.Conn
	for range resting {
		c := dial(t, node)
		get(t, c, "/up")
		clients = append(clients, c)
	}
	var all sync.WaitGroup
	begin := make(chan struct{})
	for i, c := range clients {
		all.Go(func() {
			<-begin
			time.Sleep(time.Duration(i) * 4 * time.Millisecond) // over the whole of the stop
			for {
				id := fmt.Sprint("meets-", ids.Add(1))
				if _, err := fmt.Fprintf(c, "GET /book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n\r\n", id); err != nil {
					return
				}
				var r http1.Response
				c.SetReadDeadline(time.Now().Add(time.Minute))
				if c.ReadResponse(&r, http1.MaxAnswer) != nil {
					return
				}
				mu.Lock()
				answered[id] = true
				mu.Unlock()
				if r.Close {
					return
				}
			}
		})
	}
	close(begin)
	if err := stop(); err != nil {
		t.Error(err)
	}
	all.Wait()
	for id, n := range ran {
		if n != 1 || !answered[id] {
			t.Errorf("%s was sent on %d times, answered %v", id, n, answered[id])
		}
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
