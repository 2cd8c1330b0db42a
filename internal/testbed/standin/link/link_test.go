package link

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"fernvane/internal/testbed/standin/connpair"
)

func echo(c *Conn) { io.Copy(c, struct{ io.Reader }{c}) }

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// ask sends a byte and waits for its echo for 100 ms.
func ask(t *testing.T, c net.Conn) error {
	t.Helper()
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	return err
}

// TestFailures checks the effect of each failure on an open connection and on a new one, and that both work again afterwards.
func TestFailures(t *testing.T) {
	for name, c := range map[string]struct {
		begin, end    func(*Listener)
		open, fresh   error
		heals, resets bool
	}{
		"silence":           {(*Listener).Silence, (*Listener).EndSilence, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded, true, false},
		"stop":              {(*Listener).Stop, func(l *Listener) { l.Reopen() }, syscall.ECONNRESET, syscall.ECONNREFUSED, false, true},
		"stop in a silence": {func(l *Listener) { l.Silence(); l.Stop() }, func(l *Listener) { l.Reopen() }, syscall.ECONNRESET, syscall.ECONNREFUSED, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := Listen("127.0.0.1:0", echo)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			open, err := net.Dial("tcp", l.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer open.Close()
			if err := ask(t, open); err != nil {
				t.Fatal(err)
			}
			c.begin(l)
			if err := ask(t, open); !errors.Is(err, c.open) && !(c.resets && errors.Is(err, syscall.EPIPE)) {
				t.Errorf("open connection: got error %v", err)
			}
			fresh, err := net.DialTimeout("tcp", l.Address(), 100*time.Millisecond)
			if err == nil {
				fresh.Close()
			}
			var netErr net.Error
			isTimeout := errors.As(err, &netErr) && netErr.Timeout()
			if isTimeout != (c.fresh == os.ErrDeadlineExceeded) || !isTimeout && !errors.Is(err, c.fresh) {
				t.Errorf("new connection: got error %v", err)
			}
			c.end(l)
			if c.heals { // the byte that was sent during the silence is echoed now
				open.SetReadDeadline(time.Now().Add(5 * time.Second))
				if _, err := open.Read(make([]byte, 1)); err != nil {
					t.Errorf("open connection after the failure: got error %v", err)
				}
			}
			after, err := net.DialTimeout("tcp", l.Address(), 5*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer after.Close()
			if err := ask(t, after); err != nil {
				t.Errorf("new connection after the failure: got error %v", err)
			}
		})
	}
}

// TestReopenDuringFork checks that a listener can reopen immediately after Stop even if a process that is being forked shares
// its socket.
func TestReopenDuringFork(t *testing.T) {
	l, err := Listen("127.0.0.1:0", func(*Conn) {})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	shared, err := l.ln.File() // as between fork and exec
	if err != nil {
		t.Fatal(err)
	}
	defer shared.Close()
	l.Stop()
	if err := l.Reopen(); err != nil {
		t.Error(err)
	}
}

// TestSilenceHoldsCopiedBytes checks that io.Copy from or to a connection waits during a silence. io.Copy uses the ReadFrom and
// WriteTo methods of the TCP connection if Conn does not hide them; bytes then pass during a silence, and regions that scale
// runs partition stay connected.
func TestSilenceHoldsCopiedBytes(t *testing.T) {
	for name, copying := range map[string]func(c *Conn, other net.Conn){
		"from the connection": func(c *Conn, other net.Conn) { io.Copy(other, c) },
		"to the connection":   func(c *Conn, other net.Conn) { io.Copy(c, other) },
	} {
		t.Run(name, func(t *testing.T) {
			near, far := connpair.TCP(t)
			l, err := Listen("127.0.0.1:0", func(c *Conn) { copying(c, near) })
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			client, err := net.Dial("tcp", l.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			from, to := client, net.Conn(far)
			if name == "to the connection" {
				from, to = far, client
			}
			receive := func(within time.Duration) error {
				to.SetReadDeadline(time.Now().Add(within))
				_, err := io.ReadFull(to, make([]byte, 1))
				return err
			}
			const timeout = 10 * time.Second
			from.Write([]byte("a"))
			if err := receive(timeout); err != nil {
				t.Fatal(err)
			}
			l.Silence()
			from.Write([]byte("b"))
			if err := receive(100 * time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("during a silence: got error %v, want a timeout", err)
			}
			l.EndSilence()
			if err := receive(timeout); err != nil {
				t.Errorf("after the silence: got error %v", err)
			}
			near.Close() // ends the copying
		})
	}
}
