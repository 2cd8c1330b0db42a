package load

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"testing"
	"time"
)

// Tests which connection errors mean that the node did not read the request.
func TestClosedUnread(t *testing.T) {
	for _, c := range []struct {
		read bool
		err  error
		want bool
	}{
		{false, io.EOF, true},
		{false, io.ErrUnexpectedEOF, true}, // FastCGI: between records
		{false, fmt.Errorf("read: %w", syscall.ECONNRESET), true},
		{false, fmt.Errorf("write: %w", syscall.EPIPE), true},
		{false, os.ErrDeadlineExceeded, false},
		{false, errors.New("garbled"), false},
		{true, io.ErrUnexpectedEOF, false},
		{true, syscall.ECONNRESET, false},
	} {
		if got := closedUnread(idleConn{tracked: &trackedConn{hasRead: c.read}}, c.err); got != c.want {
			t.Errorf("error %v, bytes read %v: got %v", c.err, c.read, got)
		}
	}
}

// Unread requests are sent again, except on a new connection on which the client sent its request immediately.
func TestMayResend(t *testing.T) {
	for name, c := range map[string]struct {
		wasIdle   bool
		isResent  bool
		sentAfter time.Duration
		err       error
		want      bool
	}{
		"idle connection":                         {true, false, time.Second, io.EOF, true},
		"idle connection, already sent again":     {true, true, time.Second, io.EOF, false},
		"new connection, sent immediately":        {false, false, newConnTimeout - 1, io.EOF, false},
		"second new connection, sent immediately": {false, true, newConnTimeout - 1, io.EOF, false},
		"new connection, sent late":               {false, false, newConnTimeout, io.EOF, true},
		"new connection, sent late, no answer":    {false, false, time.Second, os.ErrDeadlineExceeded, false},
	} {
		opened := time.Now()
		if got := mayResend(idleConn{tracked: &trackedConn{}, since: opened}, c.wasIdle, c.isResent, opened.Add(c.sentAfter), c.err); got != c.want {
			t.Errorf("%s: got %v", name, got)
		}
	}
}
