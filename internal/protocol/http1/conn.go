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
	firstBuffer = 2 << 10 // bytes a connection reads into at first; most messages fit
	KeptBuffer  = 8 << 10 // bytes of a buffer that a connection may hold on to; what is beyond is lent by the pool
	maxEmpty    = 8       // empty lines ahead of a message
	maxWords    = 8       // answers 1xx ahead of the answer
	maxLine     = 256     // bytes of a chunk's size line
	maxTrailer  = 4 << 10 // bytes after the last chunk
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
	buf     []byte
	at, end int // read from the socket and not yet used: buf[at:end]
	pool    *Pool
	lent    int
	ahead   ahead
	rests   ReadObserver // nil: nobody is told
}

// ReadObserver is told of the waits of a connection's reader, as sock.Waits is. half: part of a message is in hand.
type ReadObserver interface {
	ReadBlocked(half bool)
	ReadReady() bool
}

// ObserveReads has the connection's reader tell of its waits.
func (c *Conn) ObserveReads(r ReadObserver) { c.rests = r }

// ReadBlocked and Came are what sock.Read tells.
func (c *Conn) ReadBlocked()    { c.rests.ReadBlocked(c.end > 0) }
func (c *Conn) ReadReady() bool { return c.rests.ReadReady() }

// NewConn wraps a connection that nothing was read from.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// NewPooled is NewConn for one that shares memory with others.
func NewPooled(c net.Conn, p *Pool) *Conn { return &Conn{Conn: c, pool: p} }

// ReleaseBuffers gives back a buffer grown by a large message. What was read is not valid after it.
func (c *Conn) ReleaseBuffers() {
	if len(c.buf) > KeptBuffer {
		c.buf, c.at, c.end = nil, 0, 0
		c.pool.Release(c.lent)
		c.lent = 0
	}
}

// AwaitMessage returns once a message has begun to arrive.
func (c *Conn) AwaitMessage() error {
	c.begin()
	for c.at == c.end {
		if err := c.fill(MaxHead); err != nil {
			return err
		}
	}
	return nil
}

// begin moves what is unread to the start of the buffer, and gives back a buffer grown by a large message.
func (c *Conn) begin() {
	if c.at > 0 {
		c.end = copy(c.buf, c.buf[c.at:c.end])
		c.at = 0
	}
	if c.end == 0 {
		c.ReleaseBuffers()
	}
}

// fill reads once; the buffer doubles when it is full, up to limit bytes.
func (c *Conn) fill(limit int) error {
	if c.end == len(c.buf) {
		if c.end >= limit {
			return errTooLarge
		}
		size := min(max(2*len(c.buf), firstBuffer), limit)
		if more := size - KeptBuffer - c.lent; more > 0 {
			if !c.pool.Reserve(more) {
				return errNoMemory
			}
			c.lent += more
		}
		grown := make([]byte, size)
		copy(grown, c.buf[:c.end])
		c.buf = grown
	}
	var n int
	var err error
	switch {
	case len(c.ahead.held) > 0:
		n = c.ahead.take(c.buf[c.end:])
	case c.rests != nil:
		n, err = sockpeek.Read(c.Conn, c.buf[c.end:], c)
	default:
		n, err = c.Read(c.buf[c.end:])
	}
	c.end += n
	if n > 0 {
		return nil // an error comes again with the next read
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// head reads up to the empty line and returns what lies before it. What does not begin as it should is not waited for.
func (c *Conn) head(begins string) ([]byte, error) {
	c.begin()
	for from, empty := 0, 0; ; {
		for c.end >= 2 && c.at == 0 && c.buf[0] == '\r' && c.buf[1] == '\n' { // left over by a careless sender
			if empty++; empty > maxEmpty { // there are senders of nothing else
				return nil, errTooLarge
			}
			c.end = copy(c.buf, c.buf[2:c.end])
			from = 0
		}
		if i := bytes.Index(c.buf[from:c.end], []byte("\r\n\r\n")); i >= 0 {
			c.at = from + i + 4
			return c.buf[:from+i+2], nil
		}
		if n := min(c.end, len(begins)); n > 0 && c.buf[0] != '\r' && string(c.buf[:n]) != begins[:n] {
			return nil, errNoHead
		}
		from = max(c.end-3, 0)
		if err := c.fill(MaxHead); err != nil {
			if err == io.EOF && c.end > 0 {
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
	if c.at < c.end {
		return nil
	}
	c.at, c.end = 0, 0
	return c.buf[:0]
}

// IsIdle tells that an idle connection is open and that nothing has come on it.
func (c *Conn) IsIdle() bool {
	_, err := sockpeek.Peek(c.Conn, false)
	return err == syscall.EAGAIN && c.at == c.end
}

// HasUnread tells that something has come that was not read yet. It may be asked from anywhere.
func (c *Conn) HasUnread() bool {
	if c.ahead.count.Load() > 0 {
		return true
	}
	n, err := sockpeek.Peek(c.Conn, false)
	return err == nil && n > 0
}

// HasMore tells that something lies behind the message just read.
func (c *Conn) HasMore() bool { return c.at < c.end || c.HasUnread() }
