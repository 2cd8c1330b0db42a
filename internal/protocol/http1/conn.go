// Package http1 reads and writes HTTP/1.1 messages on plain connections, and discovery's endpoint list (endpointlist.go),
// whose field names no other package knows. It decides nothing and sends nothing twice.
//
// A Conn belongs to the goroutine that serves its connection. While that goroutine does not read, another may wait in
// WaitDisconnected; HasUnread and PeekDisconnected may be called from any goroutine at any time.
package http1

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"

	"fernvane/internal/protocol/sockpeek"
)

// Bounds of a connection's buffer, in bytes, and of what it reads.
const (
	initialBufferBytes  = 2 << 10 // fits most messages
	KeptBuffer          = 8 << 10 // of a buffer between messages; more is reserved from the budget
	maxEmptyLines       = 8       // ahead of a message
	maxInterimResponses = 8       // 1xx ahead of the response
	maxChunkLineBytes   = 256
	maxTrailerBytes     = 4 << 10 // after the last chunk
)

var (
	errTooLarge = errors.New("too large")
	errNoMemory = errors.New("no memory for so large a message now")
	errNoHead   = errors.New("it does not begin as a head")
)

// Conn is a connection with its one buffer. A message that was read lies in the buffer: it is valid until the next message
// is read or written on the same connection.
type Conn struct {
	net.Conn
	buf      []byte
	readPos  int // unread bytes are buf[readPos:fillPos]
	fillPos  int
	budget   *Pool
	borrowed int
	ahead    readAhead
	observer ReadObserver // nil: none
}

// ReadObserver is notified by a connection's reader before and after it blocks, as sockpeek.ReadObserver is. half: part of
// a message has been read.
type ReadObserver interface {
	ReadBlocked(half bool)
	ReadReady() bool
}

// ObserveReads sets the observer of the connection's reads.
func (c *Conn) ObserveReads(r ReadObserver) { c.observer = r }

// ReadBlocked implements sockpeek.ReadObserver.
func (c *Conn) ReadBlocked() { c.observer.ReadBlocked(c.fillPos > 0) }

// ReadReady implements sockpeek.ReadObserver.
func (c *Conn) ReadReady() bool { return c.observer.ReadReady() }

// NewConn wraps a connection from which nothing has been read.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// NewPooled is NewConn for a connection that shares a budget of memory with others.
func NewPooled(c net.Conn, p *Pool) *Conn { return &Conn{Conn: c, budget: p} }

// ReleaseBuffers frees a buffer that a large message has grown. What was read is not valid after it.
func (c *Conn) ReleaseBuffers() {
	if len(c.buf) > KeptBuffer {
		c.buf, c.readPos, c.fillPos = nil, 0, 0
		c.budget.Release(c.borrowed)
		c.borrowed = 0
	}
}

// AwaitMessage returns once a message has begun to arrive.
func (c *Conn) AwaitMessage() error {
	c.begin()
	for c.readPos == c.fillPos {
		if err := c.fill(MaxHead); err != nil {
			return err
		}
	}
	return nil
}

// begin moves unread bytes to the start of the buffer, and frees one that a large message has grown.
func (c *Conn) begin() {
	if c.readPos > 0 {
		c.fillPos = copy(c.buf, c.buf[c.readPos:c.fillPos])
		c.readPos = 0
	}
	if c.fillPos == 0 {
		c.ReleaseBuffers()
	}
}

// fill reads once. A full buffer doubles, up to limit bytes.
func (c *Conn) fill(limit int) error {
	if c.fillPos == len(c.buf) {
		if c.fillPos >= limit {
			return errTooLarge
		}
		size := min(max(2*len(c.buf), initialBufferBytes), limit)
		if more := size - KeptBuffer - c.borrowed; more > 0 {
			if !c.budget.Reserve(more) {
				return errNoMemory
			}
			c.borrowed += more
		}
		grown := make([]byte, size)
		copy(grown, c.buf[:c.fillPos])
		c.buf = grown
	}
	var n int
	var err error
	switch {
	case len(c.ahead.buffered) > 0:
		n = c.ahead.take(c.buf[c.fillPos:])
	case c.observer != nil:
		n, err = sockpeek.Read(c.Conn, c.buf[c.fillPos:], c)
	default:
		n, err = c.Read(c.buf[c.fillPos:])
	}
	c.fillPos += n
	if n > 0 {
		return nil // an error is returned again by the next read
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// readHead reads up to the empty line and returns what is before it. It fails at once for bytes that are no prefix of
// begins.
func (c *Conn) readHead(begins string) ([]byte, error) {
	c.begin()
	for from, empty := 0, 0; ; {
		for c.fillPos >= 2 && c.readPos == 0 && c.buf[0] == '\r' && c.buf[1] == '\n' { // an empty line ahead of the message
			if empty++; empty > maxEmptyLines {
				return nil, errTooLarge
			}
			c.fillPos = copy(c.buf, c.buf[2:c.fillPos])
			from = 0
		}
		if i := bytes.Index(c.buf[from:c.fillPos], []byte("\r\n\r\n")); i >= 0 {
			c.readPos = from + i + 4
			return c.buf[:from+i+2], nil
		}
		if n := min(c.fillPos, len(begins)); n > 0 && c.buf[0] != '\r' && string(c.buf[:n]) != begins[:n] {
			return nil, errNoHead
		}
		from = max(c.fillPos-3, 0)
		if err := c.fill(MaxHead); err != nil {
			if err == io.EOF && c.fillPos > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

// Send writes a message and reports whether its last byte was written.
func (c *Conn) Send(message []byte) (whole bool, err error) {
	n, err := c.Write(message)
	return n == len(message), err
}

// Scratch returns an empty slice to build a message in: of the connection's own buffer where it holds nothing unread. What
// was read before is overwritten.
func (c *Conn) Scratch() []byte {
	if c.readPos < c.fillPos {
		return nil
	}
	c.readPos, c.fillPos = 0, 0
	return c.buf[:0]
}

// IsIdle reports that the connection is open and that nothing has arrived on it.
func (c *Conn) IsIdle() bool {
	_, err := sockpeek.Peek(c.Conn, false)
	return err == syscall.EAGAIN && c.readPos == c.fillPos
}

// HasUnread reports that something has arrived that was not read yet. It may be called from any goroutine.
func (c *Conn) HasUnread() bool {
	if c.ahead.bufferedCount.Load() > 0 {
		return true
	}
	n, err := sockpeek.Peek(c.Conn, false)
	return err == nil && n > 0
}

// HasMore reports that something has arrived behind the message just read.
func (c *Conn) HasMore() bool { return c.readPos < c.fillPos || c.HasUnread() }
