package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/dispatch"
	"fernvane/internal/proxy/engine"
	"fernvane/internal/testbed/standin/connpair"
)

const errorResponse = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"

// led is a node without a listener, whose clients are given to it.
type testServer struct {
	*Server
	disconnected, open int // since the start; now
	dialed             atomic.Int32
}

func newTestServer(t *testing.T, cfg Config) *testServer {
	l := &testServer{Server: &Server{cfg: cfg, dispatcher: dispatch.New(cfg.Settings, 1, cfg.Limits, engine.NewPolicy)}}
	t.Cleanup(l.dispatcher.Stop)
	if cfg.Routes != nil {
		l.dispatcher.SetRoutes(cfg.Routes)
	}
	l.dispatcher.ApplyList(cfg.SavedList, endpoints.SourceConfig)
	return l
}

// ask gives it a client that asks for a path; done is closed when the client's connection has been dealt with.
func (l *testServer) serveClient(t *testing.T, path string) (client *net.TCPConn, done chan struct{}) {
	near, client := connpair.TCP(t)
	done = make(chan struct{})
	fmt.Fprintf(client, "GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n\r\n", path, ids.Add(1))
	go func() {
		defer close(done)
		l.serveHTTPConn(near)
	}()
	return client, done
}

// count is what happened up to now.
func (l *testServer) count() *testServer {
	c := l.dispatcher.Counts()
	l.disconnected, l.open = l.disconnected+c.Disconnected, c.OpenRequests
	return l
}

// holdDial has the nth connect to a server wait for release; reached is closed when it is there.
func (l *testServer) holdDial(nth int32) (reached, release chan struct{}) {
	reached, release = make(chan struct{}), make(chan struct{})
	l.dialer.Control = func(string, string, syscall.RawConn) error {
		if l.dialed.Add(1) == nth {
			close(reached)
			<-release
		}
		return nil
	}
	return reached, release
}

// No attempt, first or further, is sent for a client that has left, whatever the attempt waited for as it left and in
// whichever way it left. Each wait ends only after the leaving.
func TestDisconnectWhileWaiting(t *testing.T) {
	t.Parallel()
	// Each case brings a request to where it waits; it returns what ends the wait and how many attempts were sent before.
	type waiting func(t *testing.T, l *testServer, ask func(), taken <-chan func(say string)) (end func(), sent int)
	const full = 4 // attempts that the module has out at once before a server has answered
	waits := map[string]waiting{
		"a connection": func(t *testing.T, l *testServer, ask func(), taken <-chan func(string)) (func(), int) {
			reached, release := l.holdDial(1)
			ask()
			<-reached
			return func() { close(release) }, 0
		},
		"its turn": func(t *testing.T, l *testServer, ask func(), taken <-chan func(string)) (func(), int) {
			var others []func(string)
			for range 2 * full {
				l.serveClient(t, "/check/other")
			}
			for range 2 * full { // two servers
				others = append(others, <-taken)
			}
			ask()
			await(t, "one more is open", func() bool { return l.count().open == 2*full+1 })
			return func() {
				for _, answer := range others {
					answer(okResponse)
				}
			}, 2 * full
		},
		"the answer that another attempt would follow": func(t *testing.T, l *testServer, ask func(), taken <-chan func(string)) (func(), int) {
			ask()
			answer := <-taken
			return func() { answer(errorResponse) }, 1
		},
		"a further attempt's connection": func(t *testing.T, l *testServer, ask func(), taken <-chan func(string)) (func(), int) {
			reached, release := l.holdDial(2)
			ask()
			(<-taken)(errorResponse)
			<-reached
			return func() { close(release) }, 1
		},
		"a second copy's connection": func(t *testing.T, l *testServer, ask func(), taken <-chan func(string)) (func(), int) {
			reached, release := l.holdDial(2)
			ask()
			answer := <-taken
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
		"close behind half a request": func(c *net.TCPConn) {
			io.WriteString(c, "GET /check/2 HTTP/1.1\r\nHo")
			c.Close()
		},
		"close behind more than is held": func(c *net.TCPConn) {
			io.WriteString(c, "GET /check/2 HTTP/1.1\r\nX: "+strings.Repeat("x", 64<<10))
			c.Close()
		},
	}
	for what, bring := range waits {
		for how, leave := range ways {
			t.Run(what+", "+how, func(t *testing.T) {
				t.Parallel()
				taken := make(chan func(string), 16)
				var sent atomic.Int32
				lead := func(nc net.Conn) {
					defer nc.Close()
					for c := http1.NewConn(nc); c.ReadRequest(&http1.Request{}) == nil; {
						sent.Add(1)
						said := make(chan struct{})
						taken <- func(say string) { io.WriteString(nc, say); close(said) }
						<-said
					}
				}
				cfg := config(http1.Endpoint{ID: "a", Address: standIn(t, lead), Size: 1}, http1.Endpoint{ID: "b", Address: standIn(t, lead), Size: 1})
				for i := range cfg.Settings.TrafficTypes {
					cfg.Settings.TrafficTypes[i].LatencyObjective, cfg.Settings.TrafficTypes[i].ClientTimeout = time.Minute, time.Minute
				}
				cfg.Settings.ConnectTimeout, cfg.Settings.HedgingAllowed = time.Minute, true
				if what == "a second copy's connection" {
					cfg.Routes = routes(t, &cfg, checks+"copy_after = \"1ms\"\ncopy_share = 1.0")
				}
				l := newTestServer(t, cfg)
				var client *net.TCPConn
				var done chan struct{}
				end, before := bring(t, l, func() { client, done = l.serveClient(t, "/check/1") }, taken)
				leave(client)
				await(t, "its leaving is seen", func() bool { return l.count().disconnected == 1 })
				end()
				over := make(chan struct{})
				defer close(over)
				go func() {
					for {
						select {
						case answer := <-taken: // what should not have been sent
							answer(okResponse)
						case <-over:
							return
						}
					}
				}()
				<-done
				l.clientTasks.Wait()
				if n := int(sent.Load()); n != before {
					t.Errorf("%d attempts were sent after it had left", n-before)
				}
			})
		}
	}
}
