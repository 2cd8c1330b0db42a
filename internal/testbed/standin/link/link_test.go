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

func ask(t *testing.T, c net.Conn) error {
	t.Helper()
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	return err
}

// What each failure looks like from outside: on a connection that was open, and to one that is tried.
func TestFailures(t *testing.T) {
	for name, c := range map[string]struct {
		fail, mend    func(*Listener)
		open, fresh   error
		heals, resets bool
	}{
		"silence":       {(*Listener).Silence, (*Listener).EndSilence, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded, true, false},
		"death":         {(*Listener).Stop, func(l *Listener) { l.Reopen() }, syscall.ECONNRESET, syscall.ECONNREFUSED, false, true},
		"death, silent": {func(l *Listener) { l.Silence(); l.Stop() }, func(l *Listener) { l.Reopen() }, syscall.ECONNRESET, syscall.ECONNREFUSED, false, true},
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
			c.fail(l)
			if err := ask(t, open); !errors.Is(err, c.open) && !(c.resets && errors.Is(err, syscall.EPIPE)) {
				t.Errorf("the open connection ends with %v", err)
			}
			fresh, err := net.DialTimeout("tcp", l.Address(), 100*time.Millisecond)
			if err == nil {
				fresh.Close()
			}
			var late net.Error
			timeUp := errors.As(err, &late) && late.Timeout()
			if timeUp != (c.fresh == os.ErrDeadlineExceeded) || !timeUp && !errors.Is(err, c.fresh) {
				t.Errorf("a new one ends with %v", err)
			}
			c.mend(l)
			if c.heals { // the byte that was asked in the silence is answered now
				open.SetReadDeadline(time.Now().Add(5 * time.Second))
				if _, err := open.Read(make([]byte, 1)); err != nil {
					t.Errorf("afterwards the open one ends with %v", err)
				}
			}
			after, err := net.DialTimeout("tcp", l.Address(), 5*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer after.Close()
			if err := ask(t, after); err != nil {
				t.Errorf("afterwards a new one ends with %v", err)
			}
		})
	}
}

// A listener that left can return at once, also while a process that the testbed is just starting shares its socket.
func TestReturnsBesideAFork(t *testing.T) {
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

// Bytes that are copied on from a connection, or into it, stand still in a silence like those that are read and written. The old code
// let io.Copy pass by it, and regions that the scale runs had cut off heard of each other all the time.
func TestSilenceHoldsCopiedBytes(t *testing.T) {
	for name, copying := range map[string]func(c *Conn, other net.Conn){
		"from it": func(c *Conn, other net.Conn) { io.Copy(other, c) },
		"into it": func(c *Conn, other net.Conn) { io.Copy(c, other) },
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
			if name == "into it" {
				from, to = far, client
			}
			passes := func(within time.Duration) error {
				to.SetReadDeadline(time.Now().Add(within))
				_, err := io.ReadFull(to, make([]byte, 1))
				return err
			}
			const patience = 10 * time.Second
			from.Write([]byte("a"))
			if err := passes(patience); err != nil {
				t.Fatal(err)
			}
			l.Silence()
			from.Write([]byte("b"))
			if err := passes(100 * time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("in a silence: %v", err)
			}
			l.EndSilence()
			if err := passes(patience); err != nil {
				t.Errorf("after it: %v", err)
			}
			near.Close() // ends the copying
		})
	}
}
