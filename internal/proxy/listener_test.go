package proxy

import (
	"net"
	"syscall"
	"testing"
	"time"

	"fernvane/internal/proxy/dispatch"
	"fernvane/internal/proxy/engine"
)

// A connection that enters the accept queue as the deadline passes must not be dropped by the close of the listener.
func TestListenerClosesWithEmptyQueue(t *testing.T) {
	t.Parallel()
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	s := &Server{cfg: config(), dispatcher: dispatch.New(config().Settings, 1, config().Limits, engine.NewPolicy)}
	defer s.dispatcher.Stop()
	s.cfg.shutdownDelays.extraQuiet = -acceptQuietDuration // each deadline has passed
	s.acceptDeadline = time.Now().Add(time.Minute)
	s.isListenerClosing.Store(true)
	dial(t, ln.Addr().String())
	served := make(chan struct{}, 1)
	if err := s.accept(ln, func(nc *net.TCPConn) { nc.Close(); served <- struct{}{} }); err != nil {
		t.Fatal(err)
	}
	s.clientTasks.Wait()
	if len(served) == 0 {
		t.Error("connection was dropped with the listener, want it served")
	}
}

// isNoDelay reports whether a connection sends small writes immediately.
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

// TCP_NODELAY is set on client connections, also on those accepted from the queue as the listener closes, and on server connections. A small
// write that the operating system delays would be lost with a reset.
func TestNoDelay(t *testing.T) {
	t.Parallel()
	serverEndpoints, _ := servers(t, 1, okResponse)
	for name, closing := range map[string]bool{"while serving": false, "as the listener closes": true} {
		node := newTestServer(t, config(serverEndpoints...))
		ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		node.cfg.shutdownDelays.extraQuiet, node.acceptDeadline = -acceptQuietDuration, time.Now().Add(time.Minute) // each deadline has passed
		node.isListenerClosing.Store(closing)
		dial(t, ln.Addr().String())
		got := make(chan bool, 1)
		done := make(chan error, 1)
		go func() {
			done <- node.accept(ln, func(nc *net.TCPConn) {
				got <- isNoDelay(t, nc)
				nc.Close()
			})
		}()
		if !<-got {
			t.Errorf("%s: TCP_NODELAY is not set on the client connection", name)
		}
		ln.Close()
		<-done
	}
	node := newTestServer(t, config(serverEndpoints...))
	request := submitNonIdempotent(node.dispatcher)
	defer request.Close()
	d := request.NextDecision(func() {})
	conn, _, end := node.connect(t.Context(), d, time.Now().Add(time.Minute))
	if end != dispatch.Succeeded || !isNoDelay(t, conn.(*httpUpstream).Conn.Conn.(*net.TCPConn)) {
		t.Errorf("connect result %s, want Succeeded with TCP_NODELAY set on the server connection", end)
	}
	conn.Close()
}
