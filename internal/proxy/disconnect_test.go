package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/dispatch"
	"fernvane/internal/proxy/engine"
	"fernvane/internal/testbed/standin/connpair"
)

// No attempt is sent for a client that has disconnected, whatever the attempt was waiting for and however the client disconnected. Each wait
// ends only after the disconnect was detected.
func TestDisconnectWhileWaiting(t *testing.T) {
	t.Parallel()
	// Each case starts a request and lets it wait. It returns a function that ends the wait, and the number of attempts sent before.
	type waiting func(t *testing.T, node *testServer, send func(), received <-chan func(response string)) (end func(), sent int)
	const serverLimit = 4 // concurrency limit of a server before its first response
	waits := map[string]waiting{
		"a connect": func(t *testing.T, node *testServer, send func(), received <-chan func(string)) (func(), int) {
			reached, release := node.holdDial(1)
			send()
			<-reached
			return func() { close(release) }, 0
		},
		"a slot": func(t *testing.T, node *testServer, send func(), received <-chan func(string)) (func(), int) {
			var others []func(string)
			for range 2 * serverLimit {
				node.serveClient(t, "/check/other")
			}
			for range 2 * serverLimit { // two servers
				others = append(others, <-received)
			}
			send()
			await(t, "further open request", func() bool { return node.count().open == 2*serverLimit+1 })
			return func() {
				for _, answer := range others {
					answer(okResponse)
				}
			}, 2 * serverLimit
		},
		"a response before a retry": func(t *testing.T, node *testServer, send func(), received <-chan func(string)) (func(), int) {
			send()
			answer := <-received
			return func() { answer(errorResponse) }, 1
		},
		"the connect of a retry": func(t *testing.T, node *testServer, send func(), received <-chan func(string)) (func(), int) {
			reached, release := node.holdDial(2)
			send()
			(<-received)(errorResponse)
			<-reached
			return func() { close(release) }, 1
		},
		"the connect of a hedged request": func(t *testing.T, node *testServer, send func(), received <-chan func(string)) (func(), int) {
			reached, release := node.holdDial(2)
			send()
			answer := <-received
			<-reached
			return func() {
				close(release)
				answer(errorResponse)
			}, 1
		},
	}
	ways := map[string]func(*net.TCPConn){
		"close": func(c *net.TCPConn) { c.Close() },
		"reset": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"close after half a request": func(c *net.TCPConn) {
			io.WriteString(c, "GET /check/2 HTTP/1.1\r\nHo")
			c.Close()
		},
		"close after more than is buffered": func(c *net.TCPConn) {
			io.WriteString(c, "GET /check/2 HTTP/1.1\r\nX: "+strings.Repeat("x", 64<<10))
			c.Close()
		},
	}
	for what, startWaiting := range waits {
		for how, disconnect := range ways {
			t.Run(what+", "+how, func(t *testing.T) {
				t.Parallel()
				received := make(chan func(string), 16)
				var sent atomic.Int32
				serve := func(nc net.Conn) {
					defer nc.Close()
					for c := http1.NewConn(nc); c.ReadRequest(&http1.Request{}) == nil; {
						sent.Add(1)
						responded := make(chan struct{})
						received <- func(response string) { io.WriteString(nc, response); close(responded) }
						<-responded
					}
				}
				cfg := config(http1.Endpoint{ID: "a", Address: standIn(t, serve), Weight: 1}, http1.Endpoint{ID: "b", Address: standIn(t, serve), Weight: 1})
				for i := range cfg.Settings.TrafficTypes {
					cfg.Settings.TrafficTypes[i].LatencyObjective, cfg.Settings.TrafficTypes[i].ClientTimeout = time.Minute, time.Minute
				}
				cfg.Settings.ConnectTimeout, cfg.Settings.HedgingAllowed = time.Minute, true
				if what == "the connect of a hedged request" {
					cfg.Routes = routes(t, &cfg, checks+"copy_after = \"1ms\"\ncopy_share = 1.0")
				}
				node := newTestServer(t, cfg)
				var client *net.TCPConn
				var done chan struct{}
				end, before := startWaiting(t, node, func() { client, done = node.serveClient(t, "/check/1") }, received)
				disconnect(client)
				await(t, "detected disconnect", func() bool { return node.count().disconnected == 1 })
				end()
				finished := make(chan struct{})
				defer close(finished)
				go func() {
					for {
						select {
						case answer := <-received: // an attempt that must not have been sent
							answer(okResponse)
						case <-finished:
							return
						}
					}
				}()
				<-done
				node.clientTasks.Wait()
				if n := int(sent.Load()); n != before {
					t.Errorf("got %d attempts after the disconnect, want none", n-before)
				}
			})
		}
	}
}

func TestDisconnectIsNoticed(t *testing.T) {
	t.Parallel()
	for name, behind := range map[string]int{"no bytes": 0, "a request": 80, "more than is buffered": 200 << 10} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			accepted := make(chan net.Conn, 1)
			at := standIn(t, func(c net.Conn) { accepted <- c })
			near := dial(t, at.String())
			s := &Server{dispatcher: dispatch.New(config().Settings, 1, config().Limits, engine.NewPolicy)}
			defer s.dispatcher.Stop()
			s.dispatcher.ApplyList(http1.EndpointList{Endpoints: []http1.Endpoint{{ID: "s", Address: at, Weight: 1}}}, endpoints.SourceConfig)
			request := submitNonIdempotent(s.dispatcher)
			if d := request.NextDecision(func() {}); d.Action != dispatch.SendAttempt {
				t.Fatalf("got action %d, want SendAttempt", d.Action)
			}
			defer (&httpClientConn{s, near}).WatchDisconnect(request.ClientDisconnected)()
			remote := <-accepted
			go func() { // while the attempt is in flight
				remote.Write(make([]byte, behind))
				remote.Close()
			}()
			if d := request.NextDecision(func() {}); d.Action != dispatch.Drop {
				t.Errorf("got action %d, want Drop", d.Action)
			}
		})
	}
}

// A request is not submitted if its client disconnects before the node reads it, even if further bytes follow the request.
func TestDisconnectBeforeRequestIsRead(t *testing.T) {
	t.Parallel()
	near, client := connpair.TCP(t)
	fmt.Fprintf(client, "GET /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n\r\nGET ", ids.Add(1))
	client.Close()
	s := &Server{cfg: config(), dispatcher: dispatch.New(config().Settings, 1, config().Limits, engine.NewPolicy)}
	defer s.dispatcher.Stop()
	s.serveHTTPConn(near)
	if n := s.dispatcher.Counts(); n.Disconnected+n.Rejected+n.Responded+n.Failed > 0 {
		t.Errorf("got counts %+v, want no submitted request", n)
	}
}

// watchedConn records whether it is still watched when its answer is sent.
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

// The watch for a disconnect reads ahead. After the answer the client may send its next request, so the watch ends before the answer is sent.
func TestDisconnectWatchEndsBeforeAnswer(t *testing.T) {
	t.Parallel()
	serverEndpoints, _ := servers(t, 1, okResponse)
	s := &Server{cfg: config(), dispatcher: dispatch.New(config().Settings, 1, config().Limits, engine.NewPolicy)}
	defer s.dispatcher.Stop()
	for name, listed := range map[string][]http1.Endpoint{"rejected": nil, "handled": serverEndpoints} {
		s.dispatcher.ApplyList(http1.EndpointList{Endpoints: listed}, endpoints.SourceConfig)
		req := &http1.Request{Method: []byte("GET"), Target: []byte("/check/1"), Fields: []http1.Field{{Name: []byte("Request-Id"), Value: []byte(name)}}}
		w := &watchedConn{isWatchedWhenSent: true}
		if err := s.serveRequest(w, req, time.Now()); err != nil || w.isWatchedWhenSent {
			t.Errorf("%s: got watched %v when the answer was sent, want false; error %v", name, w.isWatchedWhenSent, err)
		}
	}
}
