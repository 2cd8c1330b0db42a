package http1

import (
	"errors"
	"sync/atomic"
	"syscall"

	"fernvane/internal/protocol/sockpeek"
)

const (
	maxReadAheadBytes = KeptBuffer // bytes that are kept: some small requests
	maxOverflowBytes  = 1 << 20    // bytes beyond these that are dropped before the peer counts as gone
)

// readAhead holds what arrived behind a request while it was open. It has to be read for a disconnect behind it to be
// seen.
type readAhead struct {
	buffered      []byte
	bufferedCount atomic.Int32 // length of buffered, for other goroutines
	overflow      int          // bytes dropped; with any, what follows cannot be parsed
}

// WaitDisconnected waits until the peer has closed or broken the connection, whatever it has sent before, and reports
// true. It reports false when the read deadline passes, or for a kind of connection that cannot be peeked at.
func (c *Conn) WaitDisconnected() bool { return c.disconnected(true) }

// Disconnected is WaitDisconnected without the wait. The two must not be called concurrently.
func (c *Conn) Disconnected() bool { return c.disconnected(false) }

// PeekDisconnected reports whether a disconnect can be seen without reading. It may be called beside WaitDisconnected, and
// misses a disconnect behind unread bytes.
func (c *Conn) PeekDisconnected() bool {
	n, err := sockpeek.Peek(c.Conn, false)
	return err == nil && n == 0 || err != nil && err != syscall.EAGAIN && err != syscall.ENOTSUP
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

// fillAhead reads what has arrived. An end of the stream is reported again by the next peek.
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

// Overflowed reports that more arrived behind a request than is kept, so that no further message can be read.
func (c *Conn) Overflowed() bool { return c.ahead.overflow > 0 }

// take moves buffered bytes to b, where messages are parsed.
func (a *readAhead) take(b []byte) int {
	n := copy(b, a.buffered)
	if a.buffered = a.buffered[n:]; len(a.buffered) == 0 {
		a.buffered = nil
	}
	a.bufferedCount.Store(int32(len(a.buffered)))
	return n
}
