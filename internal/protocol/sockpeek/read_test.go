package sockpeek

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"fernvane/internal/testbed/standin/connpair"
)

// observer records the calls of a reader, and calls do while the reader waits.
type observer struct {
	steps    []string
	do       func()
	isClosed bool
}

func (o *observer) ReadBlocked() {
	o.steps = append(o.steps, "blocked")
	o.do()
}

func (o *observer) ReadReady() bool {
	o.steps = append(o.steps, "ready")
	return !o.isClosed
}

// TestRead checks that a reader calls ReadBlocked only when nothing can be read, and ReadReady before it reads, so that a
// close between the two calls loses nothing that was read.
func TestRead(t *testing.T) {
	var o *observer
	var near, far *net.TCPConn
	for name, c := range map[string]struct {
		before, waiting func()
		steps           []string
		got             string
		want            error
	}{
		"has arrived before":             {before: func() { far.Write([]byte("x")); Peek(near, true) }, got: "x"},
		"arrives later":                  {waiting: func() { far.Write([]byte("x")) }, steps: []string{"blocked", "ready"}, got: "x"},
		"other side closes":              {waiting: func() { far.Close() }, steps: []string{"blocked", "ready"}, want: io.EOF},
		"other side resets":              {waiting: func() { far.SetLinger(0); far.Close() }, steps: []string{"blocked", "ready"}, want: syscall.ECONNRESET},
		"deadline passes while it waits": {waiting: func() { near.SetReadDeadline(time.Unix(1, 0)) }, steps: []string{"blocked", "ready"}, want: os.ErrDeadlineExceeded},
		"deadline has passed before":     {before: func() { near.SetReadDeadline(time.Unix(1, 0)) }, want: os.ErrDeadlineExceeded},
		"closed while it waits":          {waiting: func() { o.isClosed = true; go near.Close() }, steps: []string{"blocked", "ready"}, want: net.ErrClosed},
		"closed as bytes arrive":         {waiting: func() { o.isClosed = true; far.Write([]byte("x")) }, steps: []string{"blocked", "ready"}, want: net.ErrClosed},
	} {
		t.Run(name, func(t *testing.T) {
			near, far = connpair.TCP(t)
			o = &observer{do: c.waiting}
			if c.before != nil {
				c.before()
			}
			buffer := make([]byte, 8)
			n, err := Read(near, buffer, o)
			if string(buffer[:n]) != c.got || !errors.Is(err, c.want) || !slices.Equal(o.steps, c.steps) {
				t.Errorf("got %q, error %v, steps %v", buffer[:n], err, o.steps)
			}
		})
	}
}

// TestIsClosedByPeer checks that a close is seen at once, whatever the peer sent before it.
func TestIsClosedByPeer(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(far *net.TCPConn)
		want bool
	}{
		"open":                       {func(*net.TCPConn) {}, false},
		"open, with unread bytes":    {func(far *net.TCPConn) { far.Write([]byte("x")) }, false},
		"closed":                     {func(far *net.TCPConn) { far.Close() }, true},
		"closed behind unread bytes": {func(far *net.TCPConn) { far.Write(make([]byte, 64<<10)); far.Close() }, true},
		"side of the peer is closed": {func(far *net.TCPConn) { far.Write([]byte("x")); far.CloseWrite() }, true},
		"reset":                      {func(far *net.TCPConn) { far.SetLinger(0); far.Close() }, true},
		"reset behind unread bytes":  {func(far *net.TCPConn) { far.Write([]byte("x")); far.SetLinger(0); far.Close() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := connpair.TCP(t)
			c.do(far)
			deadline := time.Now().Add(10 * time.Second)
			for c.want && !IsClosedByPeer(near) && time.Now().Before(deadline) { // the kernel may deliver the close later
				time.Sleep(time.Millisecond)
			}
			if got := IsClosedByPeer(near); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
	pipe, _ := net.Pipe()
	if IsClosedByPeer(pipe) {
		t.Error("got true for a connection without a socket")
	}
}
