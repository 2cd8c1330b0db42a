package http1

import (
	"errors"
	"sync/atomic"
	"syscall"

	"fernvane/internal/protocol/sockpeek"
)

const (
	maxReadAheadBytes = KeptBuffer // bytes read ahead that are held: some small requests
	maxOverflowBytes  = 1 << 20    // bytes beyond them, which are dropped; who sends more reads no answer
)

// ahead is what came behind a request while it was open. It is read so that the other side's leaving is seen behind it.
type readAhead struct {
	buffered      []byte
	bufferedCount atomic.Int32 // of held, for those who may ask from anywhere
	overflow      int          // bytes that were dropped: what follows cannot be read as messages
}

// WaitDisconnected waits until the other side has closed or broken the connection, and tells so, whatever it has sent before. It is
// false when the read deadline passed or the connection is of a kind that cannot be looked at.
func (c *Conn) WaitDisconnected() bool { return c.disconnected(true) }

// Disconnected is Gone without the wait. It must not be asked beside Gone.
func (c *Conn) Disconnected() bool { return c.disconnected(false) }

// PeekDisconnected is a first look at what Left tells, which may be asked beside Gone: with unread bytes before it a leaving is
// not seen.
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

// readAhead takes in what was seen to have come. That the other side has ended comes again with the next look.
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

// Overflowed tells that more came while a request was open than is held: nothing further can be read.
func (c *Conn) Overflowed() bool { return c.ahead.overflow > 0 }

// take moves what was read ahead to where messages are read.
func (a *readAhead) take(b []byte) int {
	n := copy(b, a.buffered)
	if a.buffered = a.buffered[n:]; len(a.buffered) == 0 {
		a.buffered = nil
	}
	a.bufferedCount.Store(int32(len(a.buffered)))
	return n
}
