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

// Which ends of a connection say that a request on it was not read.
func TestCrossed(t *testing.T) {
	for _, c := range []struct {
		any  bool
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
		if got := crossed(idleConn{heard: &heard{any: c.any}}, c.err); got != c.want {
			t.Errorf("%v, bytes %v: %v", c.err, c.any, got)
		}
	}
}

// Which requests that were not read are sent once more: never those of a new connection on which the client asked at once.
func TestExcused(t *testing.T) {
	for name, c := range map[string]struct {
		old, again bool
		took       time.Duration
		err        error
		want       bool
	}{
		"a rested connection":         {true, false, time.Second, io.EOF, true},
		"and again":                   {true, true, time.Second, io.EOF, false},
		"a new one, asked at once":    {false, false, newConnGrace - 1, io.EOF, false},
		"asked on the second at once": {false, true, newConnGrace - 1, io.EOF, false},
		"a new one, asked late":       {false, false, newConnGrace, io.EOF, true},
		"late, and silence":           {false, false, time.Second, os.ErrDeadlineExceeded, false},
	} {
		opened := time.Now()
		if got := excused(idleConn{heard: &heard{}, since: opened}, c.old, c.again, opened.Add(c.took), c.err); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
