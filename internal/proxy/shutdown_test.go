package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fernvane/internal/protocol/http1"
)

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
	cfg := config(http1.Endpoint{ID: "s", Address: server, Weight: 1})
	cfg.Settings.TrafficTypes[0].LatencyObjective, cfg.Settings.TrafficTypes[0].ClientTimeout = time.Minute, time.Minute
	arrivalsEnd := make(chan struct{})
	cfg.shutdownDelays = shutdownDelays{awaitArrivals: func() { <-arrivalsEnd }, extraTime: time.Minute}
	at, stop := startNode(t, cfg)
	before := dial(t, at)
	keepAlive := dial(t, at)
	if r := get(t, keepAlive, "/up"); r.Close {
		t.Error("got an announced close before the shutdown, want none")
	}
	fmt.Fprint(before, "GET /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\n")
	<-begun
	done := make(chan error)
	go func() { done <- stop() }()
	for !get(t, dial(t, at), "/up").Close { // connections are still accepted
	}
	if r := get(t, keepAlive, "/up"); r.Status != 200 || !r.Close {
		t.Errorf("idle connection: got status %d, close %v, want 200 with close", r.Status, r.Close)
	}
	close(arrivalsEnd)
	close(finish)
	if r := readReply(t, before); r.Status != 200 || !r.Close {
		t.Errorf("accepted request: got status %d, close %v, want 200 with close", r.Status, r.Close)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", at); err == nil {
		t.Error("connect succeeded after the shutdown, want an error")
	}
}

// After the answer deadline of a shutdown, requests that were accepted before it are still answered, and new requests get a timeout
// of 1 ms and fail.
func TestStopPastItsDeadline(t *testing.T) {
	t.Parallel()
	h, begun, release := heldServer(t)
	cfg := config(h)
	for i := range cfg.Settings.TrafficTypes {
		cfg.Settings.TrafficTypes[i].LatencyObjective, cfg.Settings.TrafficTypes[i].ClientTimeout = time.Minute, time.Minute
	}
	arrivalsEnd := make(chan struct{})
	cfg.shutdownDelays = shutdownDelays{awaitArrivals: func() { <-arrivalsEnd }, extraTime: -time.Hour}
	at, stop := startNode(t, cfg)
	before, keepAlive := dial(t, at), dial(t, at)
	get(t, keepAlive, "/up")
	fmt.Fprintf(before, "GET /book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n\r\n", ids.Add(1))
	<-begun
	done := make(chan error, 1)
	go func() { done <- stop() }()
	for !get(t, dial(t, at), "/up").Close {
	}
	if r := get(t, keepAlive, "/book/1"); r.Status == 200 {
		t.Errorf("request after the deadline: got status %d, want another than 200", r.Status)
	}
	close(arrivalsEnd)
	select {
	case <-done:
		t.Error("node stopped before an accepted request was answered")
	case <-time.After(100 * time.Millisecond): // a correct node does not stop before the release
	}
	release()
	if r := readReply(t, before); r.Status != 200 {
		t.Errorf("accepted request: got status %d, want 200", r.Status)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// A request that follows the last answer of a connection is not sent to a server, whether the client or the node closes the connection, in
// either protocol.
func TestNothingReadAfterLastAnswer(t *testing.T) {
	t.Parallel()
	const second = "GET /check/behind HTTP/1.1\r\nHost: h\r\nRequest-Id: behind-%d\r\n\r\n"
	for name, c := range map[string]struct {
		first      string
		cgi        bool
		isDraining bool // of the node
	}{
		"close requested":   {first: "GET /check/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nRequest-Id: end-1\r\n\r\n"},
		"node draining":     {first: "GET /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: end-2\r\n\r\n", isDraining: true},
		"malformed HTTP":    {first: "GET /check/1 HTTP/9\r\n\r\n"},
		"malformed FastCGI": {first: "GET / HTTP/1.1\r\n\r\n", cgi: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var secondReceived atomic.Int32
			at := standIn(t, func(nc net.Conn) {
				defer nc.Close()
				var r http1.Request
				for c := http1.NewConn(nc); c.ReadRequest(&r) == nil; {
					if strings.Contains(string(r.Target), "behind") {
						secondReceived.Add(1)
					}
					io.WriteString(nc, okResponse)
				}
			})
			arrivalsEnd := make(chan struct{})
			delays := shutdownDelays{awaitArrivals: func() { <-arrivalsEnd }, extraTime: time.Minute}
			http, cgi, stop := startFastCGINodeWith(t, delays, http1.Endpoint{ID: "s", Weight: 1, Address: at})
			done := make(chan error, 1)
			if c.isDraining {
				go func() { done <- stop() }()
				for keepAlive := dial(t, http); !get(t, keepAlive, "/up").Close; {
				}
			}
			if c.cgi {
				http = cgi
			}
			client := dial(t, http)
			secondRequest := fmt.Sprintf(second, ids.Add(1))
			if c.cgi {
				r := post("behind")
				r.Target = []byte("/check/behind")
				secondRequest = string(encodeRequest(2, r))
			}
			client.SetDeadline(time.Now().Add(time.Minute))
			io.WriteString(client, c.first+secondRequest) // read with the first request
			io.WriteString(client, secondRequest)         // read separately
			io.Copy(io.Discard, client)                   // until the close
			close(arrivalsEnd)
			if c.isDraining {
				if err := <-done; err != nil {
					t.Error(err)
				}
			} else {
				stop()
			}
			if n := secondReceived.Load(); n > 0 {
				t.Errorf("got %d requests sent to the server, want none", n)
			}
		})
	}
}

// Requests arrive on idle connections while a shutdown closes these. Each request that a server received is answered completely.
func TestRequestsCrossIdleClose(t *testing.T) {
	t.Parallel()
	const idleCount = 48
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
	cfg := config(http1.Endpoint{ID: "s", Address: at, Weight: 1})
	for i := range cfg.Settings.TrafficTypes {
		cfg.Settings.TrafficTypes[i].LatencyObjective, cfg.Settings.TrafficTypes[i].ClientTimeout = time.Minute, time.Minute
	}
	cfg.shutdownDelays = shutdownDelays{awaitArrivals: func() {}, extraTime: time.Minute, extraQuiet: -acceptQuietDuration}
	node, stop := startNode(t, cfg)
	var clients []*http1.Conn
	for range idleCount {
		c := dial(t, node)
		get(t, c, "/up")
		clients = append(clients, c)
	}
	var all sync.WaitGroup
	begin := make(chan struct{})
	for i, c := range clients {
		all.Go(func() {
			<-begin
			time.Sleep(time.Duration(i) * 4 * time.Millisecond) // spread over the shutdown
			for {
				id := fmt.Sprint("meets-", ids.Add(1))
				if _, err := fmt.Fprintf(c, "GET /book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n\r\n", id); err != nil {
					return
				}
				var r http1.Response
				c.SetReadDeadline(time.Now().Add(time.Minute))
				if c.ReadResponse(&r, http1.MaxResponseBody) != nil {
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
			t.Errorf("request %s: sent %d times, answered %v, want once and answered", id, n, answered[id])
		}
	}
}
