// Package http1 reads HTTP/1.0 and HTTP/1.1 messages and writes HTTP/1.1 messages on plain connections, and decodes the
// endpoint list of discovery (endpointlist.go), whose field names no other package uses. It makes no decisions and never
// re-sends a message.
//
// A Conn belongs to the goroutine that serves its connection. While that goroutine does not read, another goroutine may wait
// in WaitDisconnected. HasUnread and PeekDisconnected may be called from any goroutine at any time.
package http1

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"

	"fernvane/internal/protocol/sockpeek"
)

// Limits of the buffer of a connection, in bytes, and of the messages that it reads.
const (
	initialBufferBytes  = 2 << 10 // enough for most messages
	RetainedBufferBytes = 8 << 10 // retained between messages; the part of a buffer beyond it is reserved from the budget
	maxEmptyLines       = 8       // before a message
	maxInterimResponses = 8       // 1xx responses before the final response
	maxChunkLineBytes   = 256     // size line of a chunk
	maxTrailerBytes     = 4 << 10 // fields after the last chunk
)

var (
	errTooLarge = errors.New("message exceeds its size limit")
	errNoMemory = errors.New("no memory for so large a message now")
	errNoHead   = errors.New("start of a message head expected")
)

// Conn is a connection with one buffer. A message that was read points into the buffer and is valid until the next message
// is read from or written to the connection.
type Conn struct {
	net.Conn
	buf           []byte
	readPos       int // unread bytes are buf[readPos:fillPos]
	fillPos       int
	budget        *BufferBudget
	reservedBytes int // from the budget
	ahead         readAhead
	observer      ReadObserver // nil: none
}

// ReadObserver is notified before and after the reader of a connection blocks, as described for sockpeek.ReadObserver.
// isPartial reports whether a message has been read in part.
type ReadObserver interface {
	ReadBlocked(isPartial bool)
	ReadReady() bool
}

// ObserveReads sets the observer of the connection's reads.
func (c *Conn) ObserveReads(observer ReadObserver) { c.observer = observer }

// ReadBlocked implements sockpeek.ReadObserver.
func (c *Conn) ReadBlocked() { c.observer.ReadBlocked(c.fillPos > 0) }

// ReadReady implements sockpeek.ReadObserver.
func (c *Conn) ReadReady() bool { return c.observer.ReadReady() }

// NewConn returns a Conn for a connection from which nothing has been read.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// NewConnWithBudget returns a Conn for a connection from which nothing has been read. The part of its buffer beyond
// RetainedBufferBytes is reserved from the budget.
func NewConnWithBudget(c net.Conn, budget *BufferBudget) *Conn { return &Conn{Conn: c, budget: budget} }

// ReleaseBuffers frees a buffer that has grown for a large message, with any unread bytes in it. Messages that were read are
// invalid afterwards.
func (c *Conn) ReleaseBuffers() {
	if len(c.buf) > RetainedBufferBytes {
		c.buf, c.readPos, c.fillPos = nil, 0, 0
		c.budget.Release(c.reservedBytes)
		c.reservedBytes = 0
	}
}

// AwaitMessage returns once the first bytes of a message have arrived.
func (c *Conn) AwaitMessage() error {
	c.begin()
	for c.readPos == c.fillPos {
		if err := c.fill(MaxHead); err != nil {
			return err
		}
	}
	return nil
}

// begin moves unread bytes to the start of the buffer. It frees an empty buffer that has grown for a large message.
func (c *Conn) begin() {
	if c.readPos > 0 {
		c.fillPos = copy(c.buf, c.buf[c.readPos:c.fillPos])
		c.readPos = 0
	}
	if c.fillPos == 0 {
		c.ReleaseBuffers()
	}
}

// fill reads once. A full buffer is doubled, up to limit bytes.
func (c *Conn) fill(limit int) error {
	if c.fillPos == len(c.buf) {
		if c.fillPos >= limit {
			return errTooLarge
		}
		size := min(max(2*len(c.buf), initialBufferBytes), limit)
		if more := size - RetainedBufferBytes - c.reservedBytes; more > 0 {
			if !c.budget.Reserve(more) {
				return errNoMemory
			}
			c.reservedBytes += more
		}
		grown := make([]byte, size)
		copy(grown, c.buf[:c.fillPos])
		c.buf = grown
	}
	var n int
	var err error
	switch {
	case len(c.ahead.buffered) > 0:
		n = c.ahead.moveTo(c.buf[c.fillPos:])
	case c.observer != nil:
		n, err = sockpeek.Read(c.Conn, c.buf[c.fillPos:], c)
	default:
		n, err = c.Read(c.buf[c.fillPos:])
	}
	c.fillPos += n
	if n > 0 {
		return nil // the next read returns the error again
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// readHead reads a message head up to its empty line and returns the head without that line. It skips up to maxEmptyLines
// empty lines before the message, and fails immediately if the first bytes after them differ from prefix.
func (c *Conn) readHead(prefix string) ([]byte, error) {
	c.begin()
	for searchFrom, emptyLines := 0, 0; ; {
		for c.fillPos >= 2 && c.readPos == 0 && c.buf[0] == '\r' && c.buf[1] == '\n' { // an empty line before the message
			if emptyLines++; emptyLines > maxEmptyLines {
				return nil, errTooLarge
			}
			c.fillPos = copy(c.buf, c.buf[2:c.fillPos])
			searchFrom = 0
		}
		if headEnd := bytes.Index(c.buf[searchFrom:c.fillPos], []byte("\r\n\r\n")); headEnd >= 0 {
			c.readPos = searchFrom + headEnd + 4
			return c.buf[:searchFrom+headEnd+2], nil
		}
		if compared := min(c.fillPos, len(prefix)); compared > 0 && c.buf[0] != '\r' && string(c.buf[:compared]) != prefix[:compared] {
			return nil, errNoHead
		}
		searchFrom = max(c.fillPos-3, 0)
		if err := c.fill(MaxHead); err != nil {
			if err == io.EOF && c.fillPos > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

// Send writes a message. complete reports whether the last byte was written.
func (c *Conn) Send(message []byte) (complete bool, err error) {
	n, err := c.Write(message)
	return n == len(message), err
}

// Scratch returns an empty slice in which a message can be built. The slice uses the buffer of the connection unless the
// buffer has unread bytes; messages that were read before are then overwritten.
func (c *Conn) Scratch() []byte {
	if c.readPos < c.fillPos {
		return nil
	}
	c.readPos, c.fillPos = 0, 0
	return c.buf[:0]
}

// IsIdle reports whether the connection is open and neither the socket nor the message buffer has unread bytes. It ignores the
// read-ahead buffer, which is used only while a request is open (see WaitDisconnected).
func (c *Conn) IsIdle() bool {
	_, err := sockpeek.Peek(c.Conn, false)
	return err == syscall.EAGAIN && c.readPos == c.fillPos
}

// HasUnread reports whether the socket or the read-ahead buffer has unread bytes. It may be called from any goroutine.
func (c *Conn) HasUnread() bool {
	if c.ahead.bufferedCount.Load() > 0 {
		return true
	}
	n, err := sockpeek.Peek(c.Conn, false)
	return err == nil && n > 0
}

// HasMore reports whether bytes have arrived behind the message that was read last.
func (c *Conn) HasMore() bool { return c.readPos < c.fillPos || c.HasUnread() }
