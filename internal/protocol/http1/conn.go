// Package http1 is what is spoken: HTTP/1.1 messages on plain connections, and the names that clients,
// servers and discovery use in them. It decides nothing and sends nothing twice.
package http1

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"

	"fernvane/internal/protocol/sockpeek"
)

const (
	initialBufferBytes  = 2 << 10 // bytes a connection reads into at first; most messages fit
	KeptBuffer          = 8 << 10 // bytes of a buffer that a connection may hold on to; what is beyond is lent by the pool
	maxEmptyLines       = 8       // empty lines ahead of a message
	maxInterimResponses = 8       // answers 1xx ahead of the answer
	maxChunkLineBytes   = 256     // bytes of a chunk's size line
	maxTrailerBytes     = 4 << 10 // bytes after the last chunk
)

var (
	errTooLarge = errors.New("too large")
	errNoMemory = errors.New("no memory for so large a message now")
	errNoHead   = errors.New("it does not begin as a head")
)

// Conn is a connection with its one buffer. What is read stays in the buffer, so a message and all its
// parts are valid until the next message is read or written on the same connection.
type Conn struct {
	net.Conn
	buf              []byte
	readPos, fillPos int // read from the socket and not yet used: buf[at:end]
	budget           *Pool
	borrowed         int
	ahead            readAhead
	observer         ReadObserver // nil: nobody is told
}

// ReadObserver is told of the waits of a connection's reader, as sock.Waits is. half: part of a message is in hand.
type ReadObserver interface {
	ReadBlocked(half bool)
	ReadReady() bool
}

// ObserveReads has the connection's reader tell of its waits.
func (c *Conn) ObserveReads(r ReadObserver) { c.observer = r }

// ReadBlocked and Came are what sock.Read tells.
func (c *Conn) ReadBlocked()    { c.observer.ReadBlocked(c.fillPos > 0) }
func (c *Conn) ReadReady() bool { return c.observer.ReadReady() }

// NewConn wraps a connection that nothing was read from.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// NewPooled is NewConn for one that shares memory with others.
func NewPooled(c net.Conn, p *Pool) *Conn { return &Conn{Conn: c, budget: p} }

// ReleaseBuffers gives back a buffer grown by a large message. What was read is not valid after it.
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

// begin moves what is unread to the start of the buffer, and gives back a buffer grown by a large message.
func (c *Conn) begin() {
	if c.readPos > 0 {
		c.fillPos = copy(c.buf, c.buf[c.readPos:c.fillPos])
		c.readPos = 0
	}
	if c.fillPos == 0 {
		c.ReleaseBuffers()
	}
}

// fill reads once; the buffer doubles when it is full, up to limit bytes.
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
		return nil // an error comes again with the next read
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// head reads up to the empty line and returns what lies before it. What does not begin as it should is not waited for.
func (c *Conn) readHead(begins string) ([]byte, error) {
	c.begin()
	for from, empty := 0, 0; ; {
		for c.fillPos >= 2 && c.readPos == 0 && c.buf[0] == '\r' && c.buf[1] == '\n' { // left over by a careless sender
			if empty++; empty > maxEmptyLines { // there are senders of nothing else
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

// Send writes a whole message and tells whether its last byte was written.
func (c *Conn) Send(message []byte) (whole bool, err error) {
	n, err := c.Write(message)
	return n == len(message), err
}

// Scratch is room to put a message together in: the connection's own buffer where nothing unread lies in
// it. What was read before is overwritten.
func (c *Conn) Scratch() []byte {
	if c.readPos < c.fillPos {
		return nil
	}
	c.readPos, c.fillPos = 0, 0
	return c.buf[:0]
}

// IsIdle tells that an idle connection is open and that nothing has come on it.
func (c *Conn) IsIdle() bool {
	_, err := sockpeek.Peek(c.Conn, false)
	return err == syscall.EAGAIN && c.readPos == c.fillPos
}

// HasUnread tells that something has come that was not read yet. It may be asked from anywhere.
func (c *Conn) HasUnread() bool {
	if c.ahead.bufferedCount.Load() > 0 {
		return true
	}
	n, err := sockpeek.Peek(c.Conn, false)
	return err == nil && n > 0
}

// HasMore tells that something lies behind the message just read.
func (c *Conn) HasMore() bool { return c.readPos < c.fillPos || c.HasUnread() }
