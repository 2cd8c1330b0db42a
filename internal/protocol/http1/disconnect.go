package http1

import (
	"errors"
	"sync/atomic"
	"syscall"

	"fernvane/internal/protocol/sockpeek"
)

const (
	maxReadAheadBytes = RetainedBufferBytes // buffered bytes, enough for some small requests
	maxOverflowBytes  = 1 << 20             // further bytes that are dropped before the peer is treated as disconnected
)

// readAhead holds the bytes that arrived behind a request while the request was open. They must be read to detect a
// disconnect behind them.
type readAhead struct {
	buffered      []byte
	bufferedCount atomic.Int32 // length of buffered, readable by other goroutines
	overflow      int          // dropped bytes; if any, the following messages cannot be parsed
}

// WaitDisconnected waits until the peer has closed the connection or the connection is broken, and returns true. It buffers
// bytes that the peer sent before, up to maxReadAheadBytes, and drops further ones; it also returns true if more than
// maxOverflowBytes were dropped. It returns false when the read deadline passes, or if the type of the connection does not
// support peeking.
func (c *Conn) WaitDisconnected() bool { return c.disconnected(true) }

// Disconnected is like WaitDisconnected but does not wait. The two must not be called concurrently.
func (c *Conn) Disconnected() bool { return c.disconnected(false) }

// PeekDisconnected reports whether the peer has closed the connection or it is broken, without reading. It may be called concurrently with
// WaitDisconnected. On a TCP connection it detects a disconnect behind unread bytes too.
func (c *Conn) PeekDisconnected() bool {
	n, err := sockpeek.Peek(c.Conn, false)
	isAtEnd := err == nil && n == 0 || err != nil && err != syscall.EAGAIN && err != syscall.ENOTSUP
	return isAtEnd || sockpeek.IsClosedByPeer(c.Conn)
}

func (c *Conn) disconnected(wait bool) bool {
	for {
		n, err := sockpeek.Peek(c.Conn, wait)
		switch {
		case err == syscall.EAGAIN, err == syscall.ENOTSUP, errors.Is(err, ErrTimeout):
			return false
		case err != nil, n == 0, c.ahead.overflow > maxOverflowBytes:
			return true
		}
		if err := c.fillAhead(); errors.Is(err, ErrTimeout) {
			return false
		}
	}
}

// fillAhead reads once, into the read-ahead buffer or, if that is full, into memory that is dropped. The next peek reports an
// end of the stream again.
func (c *Conn) fillAhead() error {
	a := &c.ahead
	if room := maxReadAheadBytes - len(a.buffered); room > 0 && a.overflow == 0 {
		if len(a.buffered) == cap(a.buffered) {
			a.buffered = append(make([]byte, 0, min(max(2*cap(a.buffered), initialBufferBytes), maxReadAheadBytes)), a.buffered...)
		}
		n, err := c.Read(a.buffered[len(a.buffered):cap(a.buffered)])
		a.buffered = a.buffered[:len(a.buffered)+n]
		a.bufferedCount.Store(int32(len(a.buffered)))
		return err
	}
	var dropped [4 << 10]byte
	n, err := c.Read(dropped[:])
	a.overflow += n
	return err
}

// Overflowed reports whether more bytes arrived behind a request than are buffered, so that no further message can be read.
func (c *Conn) Overflowed() bool { return c.ahead.overflow > 0 }

// moveTo moves buffered bytes to b, in which messages are parsed.
func (a *readAhead) moveTo(b []byte) int {
	n := copy(b, a.buffered)
	if a.buffered = a.buffered[n:]; len(a.buffered) == 0 {
		a.buffered = nil
	}
	a.bufferedCount.Store(int32(len(a.buffered)))
	return n
}
