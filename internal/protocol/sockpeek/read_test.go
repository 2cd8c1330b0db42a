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

// observer notes the calls of a reader, and does something while the reader waits.
type observer struct {
	steps    []string
	do       func()
	isClosed bool
}

func (w *observer) ReadBlocked() {
	w.steps = append(w.steps, "blocked")
	w.do()
}

func (w *observer) ReadReady() bool {
	w.steps = append(w.steps, "ready")
	return !w.isClosed
}

// TestRead checks that a reader calls ReadBlocked only once there is nothing to read, and ReadReady before it reads: a close between the two
// loses nothing that was read.
func TestRead(t *testing.T) {
	var w *observer
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
		"closed while it waits":          {waiting: func() { w.isClosed = true; go near.Close() }, steps: []string{"blocked", "ready"}, want: net.ErrClosed},
		"closed as bytes arrive":         {waiting: func() { w.isClosed = true; far.Write([]byte("x")) }, steps: []string{"blocked", "ready"}, want: net.ErrClosed},
	} {
		t.Run(name, func(t *testing.T) {
			near, far = connpair.TCP(t)
			w = &observer{do: c.waiting}
			if c.before != nil {
				c.before()
			}
			b := make([]byte, 8)
			n, err := Read(near, b, w)
			if string(b[:n]) != c.got || !errors.Is(err, c.want) || !slices.Equal(w.steps, c.steps) {
				t.Errorf("read %q, %v by %v", b[:n], err, w.steps)
			}
		})
	}
}
