package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"fernvane/internal/protocol/http1"
)

// A request for a server that accepts only one connection, which is in use, waits for that connection until its timeout. Guards against
// rejecting the request within milliseconds, after connects have used up its attempts.
func TestWaitForOnlyConnection(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received, release := make(chan struct{}), make(chan struct{})
	releaseFirst := sync.OnceFunc(func() { close(release) })
	defer releaseFirst()
	go func() {
		nc, err := ln.Accept()
		ln.Close()
		if err != nil {
			return
		}
		defer nc.Close()
		var r http1.Request
		for c := http1.NewConn(nc); c.ReadRequest(&r) == nil; {
			if strings.HasSuffix(string(r.Target), "/first") {
				close(received)
				<-release
			}
			io.WriteString(nc, okResponse)
		}
	}()
	cfg := config(http1.Endpoint{ID: "s", Address: ln.Addr().(*net.TCPAddr).AddrPort(), Weight: 1})
	for i := range cfg.Settings.TrafficTypes {
		cfg.Settings.TrafficTypes[i].LatencyObjective, cfg.Settings.TrafficTypes[i].ClientTimeout = time.Minute, time.Hour
	}
	cfg.Settings.ConnectTimeout, cfg.Settings.ConnIdle = time.Minute, time.Hour
	at, _ := startNode(t, cfg)
	request := func(name string) *http1.Conn {
		c := dial(t, at)
		fmt.Fprintf(c, "GET /check/%s HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n\r\n", name, ids.Add(1))
		return c
	}
	first := request("first")
	<-received
	const others = 3
	answers := make(chan int, others)
	for range others {
		c := request("other")
		go func() {
			var r http1.Response
			if err := c.ReadResponse(&r, http1.MaxResponseBody); err != nil {
				t.Error(err)
			}
			answers <- r.Status
		}()
	}
	select {
	case status := <-answers:
		t.Fatalf("got status %d while the connection is in use, want no answer", status)
	case <-time.After(300 * time.Millisecond):
	}
	releaseFirst()
	if r := readReply(t, first); r.Status != 200 {
		t.Errorf("first request: got status %d, want 200", r.Status)
	}
	for range others {
		if status := <-answers; status != 200 {
			t.Errorf("waiting request: got status %d, want 200", status)
		}
	}
}
