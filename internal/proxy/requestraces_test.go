package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/watch"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/dispatch"
	"fernvane/internal/proxy/engine"
	"fernvane/internal/testbed/standin/connpair"
)

// holding is a server that takes requests and answers none until it is released.
func heldServer(t *testing.T) (h http1.Endpoint, begun chan struct{}, release func()) {
	begun = make(chan struct{}, 16)
	until := make(chan struct{})
	at := standIn(t, func(nc net.Conn) {
		defer nc.Close()
		for c := http1.NewConn(nc); c.ReadRequest(&http1.Request{}) == nil; {
			begun <- struct{}{}
			<-until
			io.WriteString(nc, okResponse)
		}
	})
	return http1.Endpoint{ID: "s", Address: at, Size: 1}, begun, func() { close(until) }
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

// A client that is gone before its request is read, with bytes behind it: its operation is not taken at all.
func TestDisconnectBeforeRequestIsRead(t *testing.T) {
	t.Parallel()
	near, client := connpair.TCP(t)
	fmt.Fprintf(client, "GET /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n\r\nGET ", ids.Add(1))
	client.Close()
	s := &Server{cfg: config(), dispatcher: dispatch.New(config().Settings, 1, config().Limits, engine.NewPolicy)}
	defer s.dispatcher.Stop()
	s.serveHTTPConn(near)
	if n := s.dispatcher.Counts(); n.Disconnected+n.Rejected+n.Responded+n.Failed > 0 {
		t.Errorf("taken: %+v", n)
	}
}

// watched is a client that notes whether it is still watched as its answer is sent.
type watchedConn struct {
	isWatched, isWatchedWhenSent bool
}

func (w *watchedConn) AppendAnswer(b []byte, a http1.Answer) []byte { return http1.AppendAnswer(b, a) }
func (w *watchedConn) AnswerBuffer() []byte                         { return nil }
func (w *watchedConn) ClientAddress() string                        { return "" }
func (w *watchedConn) IsDisconnected() bool                         { return false }
func (w *watchedConn) SendAnswer([]byte) error                      { w.isWatchedWhenSent = w.isWatched; return nil }
func (w *watchedConn) IsDisconnectedBehindUnread() bool             { return false }
func (w *watchedConn) WatchDisconnect(func()) func() {
	w.isWatched = true
	return func() { w.isWatched = false }
}

// Whoever waits for a client's leaving reads what comes. With the answer its next request may come, so that ends before.
func TestDisconnectWatchEndsBeforeAnswer(t *testing.T) {
	t.Parallel()
	hosts, _ := servers(t, 1, okResponse)
	s := &Server{cfg: config(), dispatcher: dispatch.New(config().Settings, 1, config().Limits, engine.NewPolicy)}
	defer s.dispatcher.Stop()
	for name, listed := range map[string][]http1.Endpoint{"denied": nil, "handled": hosts} {
		s.dispatcher.ApplyList(http1.EndpointList{Hosts: listed}, endpoints.SourceConfig)
		req := &http1.Request{Method: []byte("GET"), Target: []byte("/check/1"), Fields: []http1.Field{{Name: []byte("Request-Id"), Value: []byte(name)}}}
		w := &watchedConn{isWatchedWhenSent: true}
		if err := s.serveRequest(w, req, time.Now()); err != nil || w.isWatchedWhenSent {
			t.Errorf("%s: still watched: %v, %v", name, w.isWatchedWhenSent, err)
		}
	}
}

// One comes into the listener's queue as the time for it runs out, and nobody has looked: listening must not end over it.
func TestListenerClosesWithEmptyQueue(t *testing.T) {
	t.Parallel()
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	s := &Server{cfg: config(), dispatcher: dispatch.New(config().Settings, 1, config().Limits, engine.NewPolicy)}
	defer s.dispatcher.Stop()
	s.cfg.shutdownDelays.extraQuiet = -acceptQuietDuration // each look is too late
	s.acceptUntil = time.Now().Add(time.Minute)
	s.isListenerClosing.Store(true)
	dial(t, ln.Addr().String())
	led := make(chan struct{}, 1)
	if err := s.accept(ln, func(nc *net.TCPConn) { nc.Close(); led <- struct{}{} }); err != nil {
		t.Fatal(err)
	}
	s.clientTasks.Wait()
	if len(led) == 0 {
		t.Error("the connection was dropped with its listener")
	}
}

// A stop whose time is over: what was taken before is answered all the same, and what still comes is answered at once.
func TestStopPastItsDeadline(t *testing.T) {
	t.Parallel()
	h, begun, release := heldServer(t)
	cfg := config(h)
	for i := range cfg.Settings.TrafficTypes {
		cfg.Settings.TrafficTypes[i].LatencyObjective, cfg.Settings.TrafficTypes[i].ClientTimeout = time.Minute, time.Minute
	}
	coming := make(chan struct{})
	cfg.shutdownDelays = shutdownDelays{awaitArrivals: func() { <-coming }, extraTime: -time.Hour}
	at, stop := startNode(t, cfg)
	before, kept := dial(t, at), dial(t, at)
	get(t, kept, "/up")
	fmt.Fprintf(before, "GET /book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n\r\n", ids.Add(1))
	<-begun
	done := make(chan error, 1)
	go func() { done <- stop() }()
	for !get(t, dial(t, at), "/up").Close {
	}
	if r := get(t, kept, "/book/1"); r.Status == 200 {
		t.Errorf("what came too late is answered %d", r.Status)
	}
	close(coming)
	select {
	case <-done:
		t.Error("the node has ended over what it had taken")
	case <-time.After(100 * time.Millisecond): // only a fault ends it before the release
	}
	release()
	if r := readReply(t, before); r.Status != 200 {
		t.Errorf("what was taken is answered %d", r.Status)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// What discovery was just telling as another address was named counts as told.
func TestAnswerWhileDiscoveryMoves(t *testing.T) {
	t.Parallel()
	var place *watch.Target
	named := make(chan struct{})
	at := standIn(t, func(nc net.Conn) {
		defer nc.Close()
		<-named
		http1.NewConn(nc).ReadRequest(&http1.Request{})
		place.Replace()
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n{\"revision\":9,\"members\":[]}")
	})
	place = watch.NewTarget(at)
	close(named)
	w := watch.Watcher{Target: place}
	defer w.Close()
	if l, err := w.Poll(context.Background()); err != nil || l.Revision != 9 {
		t.Errorf("told %d, %v", l.Revision, err)
	}
}
