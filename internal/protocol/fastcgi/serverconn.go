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
	requestID           = 1                    // of the one request that is out on a connection
	retainedBufferBytes = 8 << 10              // bytes that a connection may hold on to
	abortTimeout        = 5 * time.Millisecond // for a record of eight bytes to be written
	maxStderrBytes      = 64 << 10             // bytes of one request's that are read; a responder that goes on is garbled
)

// ServerConn is a connection to a responder. It carries one request at a time.
type ServerConn struct {
	net.Conn
	records  reader
	out      []byte
	reusable bool
	budget   *message.BufferBudget
	borrowed int
	stderr   func(text []byte)
}

// NewServerConn wraps a connection that nothing was read from. What responders write to STDERR is told to stderr.
func NewServerConn(c net.Conn, p *message.BufferBudget, stderr func(text []byte)) *ServerConn {
	return &ServerConn{Conn: c, records: newReader(c), budget: p, stderr: stderr}
}

// IsIdle tells that an idle connection is open and that nothing has come on it.
func (b *ServerConn) IsIdle() bool { return b.records.r.Buffered() == 0 && sockpeek.IsIdle(b.Conn) }

// HasUnread tells that something has come that was not read yet.
func (b *ServerConn) HasUnread() bool { return sockpeek.HasUnread(b.Conn) }

// HasMore tells that something lies behind the answer just read.
func (b *ServerConn) HasMore() bool { return b.records.r.Buffered() > 0 || b.HasUnread() }

// IsReusable tells whether another request may be asked: only behind a whole END_REQUEST.
func (b *ServerConn) IsReusable(*message.Response) bool { return b.reusable }

// ReleaseBuffers gives back memory that a large answer took.
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

// SendRequest writes a request whole, and tells whether its last byte, that of the empty STDIN record, was written.
func (b *ServerConn) SendRequest(r *message.Request, left time.Duration, from string) (whole bool, err error) {
	b.reusable = false
	time := strconv.FormatFloat(float64(max(left.Milliseconds(), 1))/1000, 'f', 3, 64)
	buf := appendBegin(b.out[:0], requestID, flagKeep)
	buf = appendStream(buf, typeParams, requestID, appendParams(nil, r, time, from))
	buf = appendStream(buf, typeStdin, requestID, r.Body)
	n, err := b.Write(buf)
	b.out = buf[:0]
	return n == len(buf), err
}

// Abort asks the responder to give the request up. What comes of it is not waited for.
func (b *ServerConn) Abort() {
	b.SetWriteDeadline(time.Now().Add(abortTimeout))
	b.Write(appendRecord(nil, typeAbort, requestID, nil))
}

// ReceiveResponse reads the whole answer. A responder that says in END_REQUEST that it did not take the request is answered for
// with 503 and Not-Started, as a server of HTTP says it.
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
			continue // of the connection, and asked for by nobody; the hop's time bounds how many come
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
			return message.ErrMalformedResponse // no memory for it now; it may have run all the same
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
			r.Status = 500 // the responder failed behind what it had written
		}
		return nil
	case statusOverloaded, statusCantMPX, statusUnknownRole:
		if len(b.out) > 0 { // it has begun all the same
			return message.ErrMalformedResponse
		}
		b.reusable = true
		*r = message.Response{Status: 503, Fields: append(r.Fields[:0], message.Field{Name: []byte(message.NotStarted), Value: []byte("1")})}
		return nil
	}
	return message.ErrMalformedResponse
}
