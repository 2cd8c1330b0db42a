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
	requestID           = 1                    // of the one request that is open on a connection
	retainedBufferBytes = 8 << 10              // of buffers between requests; more is reserved from the budget
	abortTimeout        = 5 * time.Millisecond // for writing a record of eight bytes
	maxStderrBytes      = 64 << 10             // of one request; more is a malformed response
)

// ServerConn is a connection to a responder, with one request at a time. It belongs to the goroutine of that request.
type ServerConn struct {
	net.Conn
	records  reader
	out      []byte
	reusable bool
	budget   *message.BufferBudget
	borrowed int
	stderr   func(text []byte)
}

// NewServerConn wraps a connection from which nothing has been read. stderr, if not nil, is called with what the
// responder writes to STDERR.
func NewServerConn(c net.Conn, p *message.BufferBudget, stderr func(text []byte)) *ServerConn {
	return &ServerConn{Conn: c, records: newReader(c), budget: p, stderr: stderr}
}

// IsIdle reports that the connection is open and that nothing has arrived on it.
func (b *ServerConn) IsIdle() bool { return b.records.r.Buffered() == 0 && sockpeek.IsIdle(b.Conn) }

// HasUnread reports that something has arrived that was not read yet.
func (b *ServerConn) HasUnread() bool { return sockpeek.HasUnread(b.Conn) }

// HasMore reports that something has arrived behind the response just read.
func (b *ServerConn) HasMore() bool { return b.records.r.Buffered() > 0 || b.HasUnread() }

// IsReusable reports whether another request may be sent: only after a complete END_REQUEST.
func (b *ServerConn) IsReusable(*message.Response) bool { return b.reusable }

// ReleaseBuffers frees memory that a large response has taken.
func (b *ServerConn) ReleaseBuffers() {
	if cap(b.out) > retainedBufferBytes {
		b.out = nil
	}
	if cap(b.records.content) > retainedBufferBytes {
		b.records.content = nil
	}
	b.budget.Release(b.borrowed)
	b.borrowed = 0
}

// SendRequest writes a request and reports whether its last byte, that of the empty STDIN record, was written.
func (b *ServerConn) SendRequest(r *message.Request, left time.Duration, from string) (whole bool, err error) {
	b.reusable = false
	seconds := strconv.FormatFloat(float64(max(left.Milliseconds(), 1))/1000, 'f', 3, 64)
	buf := appendBegin(b.out[:0], requestID, flagKeep)
	buf = appendStream(buf, typeParams, requestID, appendParams(nil, r, seconds, from))
	buf = appendStream(buf, typeStdin, requestID, r.Body)
	n, err := b.Write(buf)
	b.out = buf[:0]
	return n == len(buf), err
}

// Abort asks the responder to abandon the request, and does not wait for an answer.
func (b *ServerConn) Abort() {
	b.SetWriteDeadline(time.Now().Add(abortTimeout))
	b.Write(appendRecord(nil, typeAbort, requestID, nil))
}

// ReceiveResponse reads the complete response. Where END_REQUEST says that the responder did not take the request, it is a
// 503 with Not-Started, as an HTTP server would send. The error is message.ErrMalformedResponse, io.ErrUnexpectedEOF or
// that of reading.
func (b *ServerConn) ReceiveResponse(r *message.Response) error {
	b.out = b.out[:0]
	logged := 0
	for {
		rec, err := b.records.next()
		switch {
		case err == errRecord:
			return message.ErrMalformedResponse
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case rec.kind == typeValues, rec.kind == typeUnknown:
			continue // of the connection itself; the attempt's deadline bounds how many are read
		case rec.id != requestID:
			return message.ErrMalformedResponse
		}
		switch rec.kind {
		case typeStdout:
			if err := b.appendOutput(rec.content); err != nil {
				return err
			}
		case typeStderr:
			if logged += len(rec.content); logged > maxStderrBytes {
				return message.ErrMalformedResponse
			}
			if b.stderr != nil && len(rec.content) > 0 {
				b.stderr(rec.content)
			}
		case typeEnd:
			if len(rec.content) != 8 {
				return message.ErrMalformedResponse
			}
			return b.finishResponse(r, binary.BigEndian.Uint32(rec.content), rec.content[4])
		default:
			return message.ErrMalformedResponse
		}
	}
}

func (b *ServerConn) appendOutput(content []byte) error {
	if len(b.out)+len(content) > message.MaxHead+message.MaxAnswer {
		return message.ErrMalformedResponse
	}
	if more := len(b.out) + len(content) - retainedBufferBytes - b.borrowed; more > 0 {
		if !b.budget.Reserve(more) {
			return message.ErrMalformedResponse // the budget is used up; the request may have run
		}
		b.borrowed += more
	}
	b.out = append(b.out, content...)
	return nil
}

func (b *ServerConn) finishResponse(r *message.Response, app uint32, status byte) error {
	switch status {
	case statusComplete:
		if err := response(b.out, r); err != nil {
			return err
		}
		if b.reusable = true; app != 0 && r.Status == 200 {
			r.Status = 500 // the responder failed after it had written a response
		}
		return nil
	case statusOverloaded, statusCantMPX, statusUnknownRole:
		if len(b.out) > 0 { // it has begun after all
			return message.ErrMalformedResponse
		}
		b.reusable = true
		*r = message.Response{Status: 503, Fields: append(r.Fields[:0], message.Field{Name: []byte(message.NotStarted), Value: []byte("1")})}
		return nil
	}
	return message.ErrMalformedResponse
}
