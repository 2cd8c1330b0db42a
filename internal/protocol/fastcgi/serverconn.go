package fastcgi

import (
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"time"

	"fernvane/internal/protocol/message"
	"fernvane/internal/protocol/sockpeek"
)

const (
	retainedBufferBytes = 8 << 10              // retained between requests; output beyond it is reserved from the budget
	abortTimeout        = 5 * time.Millisecond // for writing an ABORT_REQUEST record of eight bytes
	maxStderrBytes      = 64 << 10             // for one request; more is a malformed response
)

// ServerConn is a connection to a responder with one request at a time. It belongs to the goroutine of that request.
type ServerConn struct {
	net.Conn
	records       reader
	requestID     uint16 // of the request that is open, or of the next one
	previousID    uint16 // of the request before it, 0 if there was none
	out           []byte
	reusable      bool
	budget        *message.BufferBudget
	reservedBytes int
	stderr        func(text []byte)
}

// NewServerConn returns a ServerConn for a connection from which nothing has been read. If stderr is not nil, it is called
// with the text that the responder writes to STDERR, which is valid only during the call.
func NewServerConn(c net.Conn, budget *message.BufferBudget, stderr func(text []byte)) *ServerConn {
	return &ServerConn{Conn: c, records: newReader(c), requestID: 1, budget: budget, stderr: stderr}
}

// IsIdle reports whether the connection is open and has no unread bytes.
func (c *ServerConn) IsIdle() bool { return !c.records.isPartial() && sockpeek.IsIdle(c.Conn) }

// HasUnread reports whether the socket has unread bytes.
func (c *ServerConn) HasUnread() bool { return sockpeek.HasUnread(c.Conn) }

// HasMore reports whether bytes have arrived behind the response that was read last.
func (c *ServerConn) HasMore() bool { return c.records.hasMore() || c.HasUnread() }

// IdentifiesResponses reports that records contain the ID of their request.
func (c *ServerConn) IdentifiesResponses() bool { return true }

// IsReusable reports whether another request may be sent. This requires a complete END_REQUEST of the last request.
func (c *ServerConn) IsReusable(*message.Response) bool { return c.reusable }

// ReleaseBuffers frees buffers that have grown for a large message, and returns their memory to the budget.
func (c *ServerConn) ReleaseBuffers() {
	if cap(c.out) > retainedBufferBytes {
		c.out = nil
	}
	c.budget.Release(c.reservedBytes)
	c.reservedBytes = 0
}

// SendRequest writes a request. complete reports whether its last byte, that of the empty STDIN record, was written.
func (c *ServerConn) SendRequest(r *message.Request, timeLeft time.Duration, clientAddress string) (complete bool, err error) {
	c.reusable = false
	seconds := strconv.FormatFloat(float64(max(timeLeft.Milliseconds(), 1))/1000, 'f', 3, 64)
	buf := appendBegin(c.out[:0], c.requestID, flagKeep)
	buf = appendStream(buf, typeParams, c.requestID, appendParams(nil, r, seconds, clientAddress))
	buf = appendStream(buf, typeStdin, c.requestID, r.Body)
	written, err := c.Write(buf)
	c.out = buf[:0]
	return written == len(buf), err
}

// allowReuse selects another ID for the next request, so that a late copy of the previous response is not read as its response.
// 0 is the ID of management records.
func (c *ServerConn) allowReuse() {
	c.reusable = true
	c.previousID = c.requestID
	c.requestID++
	if c.requestID == 0 {
		c.requestID = 1
	}
}

// Abort requests that the responder abort the request. It does not wait for a response.
func (c *ServerConn) Abort() {
	c.SetWriteDeadline(time.Now().Add(abortTimeout))
	c.Write(appendRecord(nil, typeAbort, c.requestID, nil))
}

// ReceiveResponse reads the complete response. If END_REQUEST states that the responder did not accept the request, the
// response is a 503 with Not-Started, as an HTTP server would send it. The error is message.ErrMalformedResponse,
// io.ErrUnexpectedEOF or that of reading.
func (c *ServerConn) ReceiveResponse(r *message.Response) error {
	c.out = c.out[:0]
	stderrBytes := 0
	for {
		rec, err := c.records.next()
		switch {
		case err == errRecord:
			return message.ErrMalformedResponse
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case rec.kind == typeValues, rec.kind == typeUnknown:
			continue // management record; the deadline of the attempt bounds their number
		case rec.id == c.previousID && rec.id != 0:
			continue // a second copy of the previous response
		case rec.id != c.requestID:
			return message.ErrMalformedResponse
		}
		switch rec.kind {
		case typeStdout:
			if err := c.appendOutput(rec.content); err != nil {
				return err
			}
		case typeStderr:
			if stderrBytes += len(rec.content); stderrBytes > maxStderrBytes {
				return message.ErrMalformedResponse
			}
			if c.stderr != nil && len(rec.content) > 0 && !rec.isContinuation {
				c.stderr(rec.content)
			}
		case typeEnd:
			if len(rec.content) != 8 {
				return message.ErrMalformedResponse
			}
			return c.finishResponse(r, binary.BigEndian.Uint32(rec.content), rec.content[4])
		default:
			return message.ErrMalformedResponse
		}
	}
}

// appendOutput appends to the output of the request, within the size limits and the budget.
func (c *ServerConn) appendOutput(content []byte) error {
	if len(c.out)+len(content) > message.MaxHead+message.MaxResponseBody {
		return message.ErrMalformedResponse
	}
	if more := len(c.out) + len(content) - retainedBufferBytes - c.reservedBytes; more > 0 {
		if !c.budget.Reserve(more) {
			return message.ErrMalformedResponse // budget exhausted; the request may have run
		}
		c.reservedBytes += more
	}
	c.out = append(c.out, content...)
	return nil
}

// finishResponse derives the response from the output and the statuses of END_REQUEST.
func (c *ServerConn) finishResponse(r *message.Response, appStatus uint32, status byte) error {
	switch status {
	case statusComplete:
		if err := response(c.out, r); err != nil {
			return err
		}
		if c.allowReuse(); appStatus != 0 && r.Status == 200 {
			r.Status = 500 // the responder failed after writing a response
		}
		return nil
	case statusOverloaded, statusCantMPX, statusUnknownRole:
		if len(c.out) > 0 { // the responder has started the request despite the status
			return message.ErrMalformedResponse
		}
		c.allowReuse()
		*r = message.Response{Status: 503, Fields: append(r.Fields[:0], message.Field{Name: []byte(message.NotStarted), Value: []byte("1")})}
		return nil
	}
	return message.ErrMalformedResponse
}
