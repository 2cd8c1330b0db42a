package fastcgi

import (
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"fernvane/internal/protocol/connclose"
	"fernvane/internal/protocol/message"
	"fernvane/internal/protocol/sockpeek"
)

const (
	maxRequests    = 100 // open on one connection; more are rejected as overload
	maxValuesBytes = 1 << 10
)

// ErrPeer is the error of a client that violates the protocol. Nothing more can be read from its connection.
var ErrPeer = errors.New("the client does not keep to the protocol")

// Handler decides what becomes of a connection and its requests. Next calls it from the goroutine that reads.
type Handler interface {
	// Wait returns when something can be read. An error ends the reading and is returned by Next. half: a record has been
	// read in part.
	Wait(half bool) error
	// Begun decides on a request that begins: connclose.Admit, connclose.Reject (its client is notified that it never
	// ran), or anything else to ignore it. last: the client wants the connection closed after it.
	Begun(last bool) connclose.Effect
	// Refused is called after a rejection was written.
	Refused()
	// Failed is called when the client aborts a request before it is complete.
	Failed()
}

// ClientConn is a client's connection, on which several requests may be open. One goroutine reads (Next); any may write.
type ClientConn struct {
	net.Conn
	records     reader
	budget      *message.BufferBudget
	handler     Handler
	bytesRead   int // bytes read, and those of whole records
	bytesParsed int

	mu   sync.Mutex
	open map[uint16]*Request

	writing sync.Mutex
}

// Request is one request on a connection. ClientConn.mu guards isDisconnected, isComplete and isForgotten; the other
// unexported fields belong to the goroutine that reads, until the request is complete.
type Request struct {
	ID      uint16
	Request *message.Request
	Bad     *message.RequestError // why it cannot be served; nil: it can
	Came    time.Time             // when its first record was read

	disconnected   chan struct{}
	isDisconnected bool
	isComplete     bool
	isForgotten    bool // its ID is free again
	hasParams      bool // its params are complete
	params         []byte
	body           []byte
	borrowed       int
	readError      *message.RequestError // why the rest of it is read and dropped, as too large or for want of memory; nil: it is not
}

// Disconnected is closed when the client has aborted the request or its connection has ended.
func (c *Request) Disconnected() <-chan struct{} { return c.disconnected }

// NewClientConn wraps a connection from which nothing has been read.
func NewClientConn(c net.Conn, p *message.BufferBudget) *ClientConn {
	f := &ClientConn{Conn: c, budget: p, open: map[uint16]*Request{}}
	f.records = newReader(source{f})
	return f
}

// source reads from the connection once the handler allows it.
type source struct{ f *ClientConn }

func (s source) Read(b []byte) (n int, err error) {
	if s.f.handler != nil {
		if err := s.f.handler.Wait(s.f.bytesRead > s.f.bytesParsed); err != nil {
			return 0, err
		}
	}
	n, err = s.f.Conn.Read(b)
	s.f.bytesRead += n
	return n, err
}

// HasUnread reports that something has arrived that was not read yet.
func (f *ClientConn) HasUnread() bool { return sockpeek.HasUnread(f.Conn) }

// Await returns once something has arrived, without reading it. The error is io.EOF where the client has closed.
func (f *ClientConn) Await() error {
	switch n, err := sockpeek.Peek(f.Conn, true); {
	case err == syscall.ENOTSUP: // a kind of connection that cannot be peeked at
		return nil
	case err == nil && n == 0:
		return io.EOF
	default:
		return err
	}
}

// Oldest returns when the oldest incomplete request began; zero: there is none.
func (f *ClientConn) Oldest() (oldest time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.open {
		if !c.isComplete && (oldest.IsZero() || c.Came.Before(oldest)) {
			oldest = c.Came
		}
	}
	return oldest
}

// Next returns the next complete request. It handles all other records: management queries, rejected requests, aborts. A
// nil handler admits every request. The error is ErrPeer, that of the handler or that of reading.
func (f *ClientConn) Next(k Handler) (*Request, error) {
	f.handler = k
	for {
		rec, err := f.records.next()
		if err != nil {
			if err == errRecord {
				err = ErrPeer
			}
			return nil, err
		}
		f.bytesParsed = f.bytesRead - f.records.r.Buffered()
		call, err := f.handleRecord(rec)
		if call != nil || err != nil {
			return call, err
		}
	}
}

func (f *ClientConn) handleRecord(rec record) (whole *Request, err error) {
	if rec.id == 0 {
		return nil, f.handleManagement(rec)
	}
	f.mu.Lock()
	c, n := f.open[rec.id], len(f.open)
	f.mu.Unlock()
	switch rec.kind {
	case typeBegin:
		switch {
		case c != nil || len(rec.content) != 8:
			return nil, ErrPeer // the ID is in use
		case rec.content[0] != 0 || rec.content[1] != responder:
			return nil, f.write(appendEnd(nil, rec.id, 0, statusUnknownRole))
		case n >= maxRequests:
			return nil, f.writeRejection(rec.id)
		}
		if f.handler != nil {
			switch f.handler.Begun(rec.content[2]&flagKeep == 0) {
			case connclose.Admit:
			case connclose.Reject:
				err := f.writeRejection(rec.id)
				f.handler.Refused()
				return nil, err
			default:
				return nil, nil
			}
		}
		c = &Request{ID: rec.id, Came: time.Now(), disconnected: make(chan struct{})}
		f.mu.Lock()
		f.open[rec.id] = c
		f.mu.Unlock()
		return nil, nil
	case typeAbort:
		if c == nil {
			return nil, nil
		}
		if !c.isComplete {
			err := f.End(c)
			if f.handler != nil {
				f.handler.Failed()
			}
			return nil, err
		}
		f.markDisconnected(c)
		return nil, nil
	case typeParams, typeStdin, typeData:
		if c == nil || c.isComplete {
			return nil, nil // its request has ended
		}
		return f.addToStream(c, rec)
	}
	return nil, f.writeUnknownType(rec.kind)
}

// writeUnknownType answers a record of an unknown type.
func (f *ClientConn) writeUnknownType(kind byte) error {
	return f.write(appendRecord(nil, typeUnknown, 0, []byte{kind, 0, 0, 0, 0, 0, 0, 0}))
}

// addToStream handles a part of a request and returns the request when it is complete, at the end of its STDIN.
func (f *ClientConn) addToStream(c *Request, rec record) (*Request, error) {
	switch {
	case rec.kind == typeData: // for another role
	case rec.kind == typeParams && c.hasParams, rec.kind == typeStdin && !c.hasParams:
		return nil, ErrPeer
	case rec.kind == typeParams && len(rec.content) == 0:
		c.hasParams = true
	case rec.kind == typeParams:
		c.readError = f.appendBounded(c, &c.params, rec.content, message.MaxHead, 431, "the params are too large")
	case len(rec.content) > 0:
		c.readError = f.appendBounded(c, &c.body, rec.content, message.MaxBody, 413, "the body is too large")
	default:
		f.mu.Lock()
		c.isComplete = true
		f.mu.Unlock()
		if c.Bad = c.readError; c.Bad == nil {
			var err error
			if c.Request, err = request(c.params, c.body); err != nil {
				errors.As(err, &c.Bad)
			}
		}
		return c, nil
	}
	return nil, nil
}

// appendBounded appends to a stream within its bound and the budget; the error is what to answer.
func (f *ClientConn) appendBounded(c *Request, to *[]byte, content []byte, most, status int, why string) *message.RequestError {
	switch {
	case c.readError != nil:
		return c.readError
	case len(*to)+len(content) > most:
		f.releaseBuffers(c)
		return message.NewRequestError(status, why)
	case !f.budget.Reserve(len(content)):
		f.releaseBuffers(c)
		return message.NewRequestError(503, "no memory for so large a message now")
	}
	c.borrowed += len(content)
	*to = append(*to, content...)
	return nil
}

func (f *ClientConn) releaseBuffers(c *Request) {
	f.budget.Release(c.borrowed)
	c.params, c.body, c.borrowed = nil, nil, 0
}

// handleManagement answers records of the connection itself.
func (f *ClientConn) handleManagement(rec record) error {
	if rec.kind != typeGetValues {
		return f.writeUnknownType(rec.kind)
	}
	if len(rec.content) > maxValuesBytes {
		return ErrPeer
	}
	pairs, err := parsePairs(rec.content, nil)
	if err != nil {
		return ErrPeer
	}
	var values []byte
	for _, p := range pairs {
		switch string(p.name) {
		case "FCGI_MAX_CONNS", "FCGI_MAX_REQS":
			values = appendPair(values, string(p.name), strconv.Itoa(maxRequests))
		case "FCGI_MPXS_CONNS":
			values = appendPair(values, string(p.name), "1")
		}
	}
	return f.write(appendRecord(nil, typeValues, 0, values))
}

func (f *ClientConn) markDisconnected(c *Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !c.isDisconnected {
		c.isDisconnected = true
		close(c.disconnected)
	}
}

// Hangup marks all open requests as disconnected and forgets incomplete ones. The reader calls it when the connection has
// ended.
func (f *ClientConn) Hangup() {
	for _, c := range f.openRequests(nil) {
		if f.markDisconnected(c); !c.isComplete {
			f.forget(c)
		}
	}
}

// openRequests returns the open requests but those for which but reports true.
func (f *ClientConn) openRequests(but func(*Request) bool) []*Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	requests := make([]*Request, 0, len(f.open))
	for _, c := range f.open {
		if but == nil || !but(c) {
			requests = append(requests, c)
		}
	}
	return requests
}

// RefuseComing rejects all incomplete requests. Only the reader may call it.
func (f *ClientConn) RefuseComing() error {
	var errs error
	for _, c := range f.openRequests(func(c *Request) bool { return c.isComplete }) {
		errs = errors.Join(errs, f.Refuse(c))
	}
	return errs
}

// Refuse writes that a request never ran.
func (f *ClientConn) Refuse(c *Request) error {
	f.forget(c)
	return f.writeRejection(c.ID)
}

func (f *ClientConn) writeRejection(id uint16) error {
	return f.write(appendEnd(nil, id, 0, statusOverloaded))
}

// forget frees the ID of a request. It is called before the end of the request is written, for the client may then use
// the ID again at once.
func (f *ClientConn) forget(c *Request) {
	f.releaseBuffers(c)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !c.isForgotten {
		c.isForgotten = true
		delete(f.open, c.ID)
	}
}

// Append appends an answer to the request, with its END_REQUEST.
func (c *Request) Append(b []byte, a message.Answer) []byte {
	head := append(strconv.AppendInt([]byte("Status: "), int64(a.Status), 10), "\r\n"...)
	for _, f := range a.Fields {
		if message.IsEndToEnd(f, a.Fields) && !f.Is("Status") {
			head = append(append(append(head, f.Name...), ": "...), f.Value...)
			head = append(head, "\r\n"...)
		}
	}
	if a.RetryAfter > 0 {
		head = strconv.AppendFloat(append(head, "Retry-After: "...), float64(a.RetryAfter/time.Millisecond)/1000, 'f', 3, 64)
		head = append(head, "\r\n"...)
	}
	head = strconv.AppendInt(append(head, "Content-Length: "...), int64(len(a.Body)), 10)
	head = append(head, "\r\n\r\n"...)
	b = appendStream(b, typeStdout, c.ID, append(head, a.Body...))
	return appendEnd(b, c.ID, 0, statusComplete)
}

// Answer writes what Append has built, and ends the request. An aborted request gets its END_REQUEST alone.
func (f *ClientConn) Answer(c *Request, answer []byte) error {
	f.mu.Lock()
	aborted := c.isDisconnected
	f.mu.Unlock()
	if aborted {
		return f.End(c)
	}
	f.forget(c)
	return f.write(answer)
}

// End ends a request that its client has aborted.
func (f *ClientConn) End(c *Request) error {
	f.forget(c)
	return f.write(appendEnd(nil, c.ID, 0, statusComplete))
}

// write writes complete records, one caller at a time.
func (f *ClientConn) write(b []byte) error {
	f.writing.Lock()
	defer f.writing.Unlock()
	f.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := f.Write(b)
	if n < len(b) {
		f.Close() // after half a record no response can be parsed
		return errors.Join(io.ErrShortWrite, err)
	}
	return nil
}

const writeTimeout = 2 * time.Second // for a client to receive what is written
