package load

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"testing"
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
		if got := crossed(kept{heard: &heard{any: c.any}}, c.err); got != c.want {
			t.Errorf("%v, bytes %v: %v", c.err, c.any, got)
		}
	}
}
