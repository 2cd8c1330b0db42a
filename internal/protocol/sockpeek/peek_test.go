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

// waits notes what a reader tells, and does something as it is told of a wait.
type waits struct {
	steps  []string
	do     func()
	closed bool
}

func (w *waits) ReadBlocked() {
	w.steps = append(w.steps, "wait")
	w.do()
}

func (w *waits) ReadReady() bool {
	w.steps = append(w.steps, "came")
	return !w.closed
}

// A reader tells of a wait only once there is nothing to read, and of its end before it reads: who closes the connection
// between the two meets nothing that was read.
func TestRead(t *testing.T) {
	var w *waits
	var near, far *net.TCPConn
	for name, c := range map[string]struct {
		before, waiting func()
		steps           []string
		got             string
		want            error
	}{
		"there already":      {before: func() { far.Write([]byte("x")); Peek(near, true) }, got: "x"},
		"comes later":        {waiting: func() { far.Write([]byte("x")) }, steps: []string{"wait", "came"}, got: "x"},
		"the end":            {waiting: func() { far.Close() }, steps: []string{"wait", "came"}, want: io.EOF},
		"a reset":            {waiting: func() { far.SetLinger(0); far.Close() }, steps: []string{"wait", "came"}, want: syscall.ECONNRESET},
		"its time over":      {waiting: func() { near.SetReadDeadline(time.Unix(1, 0)) }, steps: []string{"wait", "came"}, want: os.ErrDeadlineExceeded},
		"over before":        {before: func() { near.SetReadDeadline(time.Unix(1, 0)) }, want: os.ErrDeadlineExceeded},
		"closed for room":    {waiting: func() { w.closed = true; go near.Close() }, steps: []string{"wait", "came"}, want: net.ErrClosed},
		"closed as it comes": {waiting: func() { w.closed = true; far.Write([]byte("x")) }, steps: []string{"wait", "came"}, want: net.ErrClosed},
	} {
		t.Run(name, func(t *testing.T) {
			near, far = connpair.TCP(t)
			w = &waits{do: c.waiting}
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
