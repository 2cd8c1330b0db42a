package fastcgi

import (
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"fernvane/internal/protocol/connclose"
	"fernvane/internal/protocol/message"
	"fernvane/internal/protocol/sockpeek"
)

const (
	maxRequests    = 100     // open on one connection; further requests are rejected as overload
	maxValuesBytes = 1 << 10 // of one GET_VALUES record

	maxDiscardedBytes = 1 << 20 // after an invalid record
)

// ErrProtocol is the error of a client that violates the protocol. Its connection cannot be read any further.
var ErrProtocol = errors.New("client violates the FastCGI protocol")

// Handler makes the decisions about a connection and its requests. NextRequest calls it from the goroutine that reads.
type Handler interface {
	// AwaitReadable returns when the connection can be read. An error ends the reading and is returned by NextRequest.
	// isPartial reports whether a record has been read in part.
	AwaitReadable(isPartial bool) error
	// RequestStarted decides about a request that starts. connclose.Admit admits it, connclose.Reject notifies the client
	// that it never ran, and any other effect ignores it. isLast reports whether the client requests the close of the
	// connection after this request.
	RequestStarted(isLast bool) connclose.Effect
	// RequestsRejected is called after a rejection has been written.
	RequestsRejected()
	// RequestAborted is called when the client aborts a request before it is complete.
	RequestAborted()
}

// ClientConn is a client connection on which several requests may be open. Only one goroutine may read (NextRequest); any
// goroutine may write.
type ClientConn struct {
	net.Conn
	records reader
	budget  *message.BufferBudget
	handler Handler

	mu   sync.Mutex
	open map[uint16]*Request // by ID; guarded by mu

	writing sync.Mutex // held while records are written
}

// Request is one request on a connection. ClientConn.mu guards isDisconnected, isComplete and isFreed; the other
// unexported fields belong to the goroutine that reads, until the request is complete.
type Request struct {
	ID           uint16
	Request      *message.Request
	RequestError *message.RequestError // why the request cannot be served; nil: it can be served
	StartedAt    time.Time             // when its first record was read

	disconnected   chan struct{}
	isDisconnected bool
	isComplete     bool
	isFreed        bool // the ID can be used again
	hasParams      bool // the params are complete
	params         []byte
	body           []byte
	reservedBytes  int                   // from the budget
	readError      *message.RequestError // why the rest of the request is dropped: too large or no memory; nil: it is not dropped
}

// Disconnected returns a channel that is closed when the client aborts the request or its connection ends.
func (r *Request) Disconnected() <-chan struct{} { return r.disconnected }

// NewClientConn returns a ClientConn for a connection from which nothing has been read. The params and bodies of its requests
// are reserved from the budget until the requests end.
func NewClientConn(c net.Conn, budget *message.BufferBudget) *ClientConn {
	clientConn := &ClientConn{Conn: c, budget: budget, open: map[uint16]*Request{}}
	clientConn.records = newReader(source{clientConn})
	return clientConn
}

// source reads from the connection when the handler allows it.
type source struct{ c *ClientConn }

func (s source) Read(b []byte) (n int, err error) {
	if s.c.handler != nil {
		if err := s.c.handler.AwaitReadable(s.c.records.isPartial()); err != nil {
			return 0, err
		}
	}
	return s.c.Conn.Read(b)
}

// HasUnread reports whether the socket has unread bytes.
func (c *ClientConn) HasUnread() bool { return sockpeek.HasUnread(c.Conn) }

// AwaitReadable returns once bytes have arrived, without reading them. The error is io.EOF if the client has closed the
// connection.
func (c *ClientConn) AwaitReadable() error {
	switch available, err := sockpeek.Peek(c.Conn, true); {
	case err == syscall.ENOTSUP: // the type of the connection does not support peeking
		return nil
	case err == nil && available == 0:
		return io.EOF
	default:
		return err
	}
}

// OldestPartial returns the start time of the oldest incomplete request, or the zero time if there is none.
func (c *ClientConn) OldestPartial() (oldest time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.open {
		if !r.isComplete && (oldest.IsZero() || r.StartedAt.Before(oldest)) {
			oldest = r.StartedAt
		}
	}
	return oldest
}

// NextRequest returns the next request that is complete, in the order in which requests become complete. It processes all
// other records itself: management records, rejected requests and aborts. A nil handler admits up to maxRequests open
// requests. The error is ErrProtocol, that of the handler, or that of reading or writing.
func (c *ClientConn) NextRequest(handler Handler) (*Request, error) {
	c.handler = handler
	for {
		rec, err := c.records.next()
		if err != nil {
			if err == errRecord {
				err = ErrProtocol
			}
			return nil, err
		}
		r, err := c.handleRecord(rec)
		if r != nil || err != nil {
			return r, err
		}
	}
}

// handleRecord processes a record, or a part of one, and returns the request that it completes, if any.
func (c *ClientConn) handleRecord(rec record) (complete *Request, err error) {
	if rec.isContinuation && !rec.isStream() {
		return nil, nil
	}
	if rec.id == 0 {
		return nil, c.handleManagement(rec)
	}
	c.mu.Lock()
	r, openCount := c.open[rec.id], len(c.open)
	c.mu.Unlock()
	switch rec.kind {
	case typeBegin:
		switch {
		case r != nil || len(rec.content) != 8:
			return nil, ErrProtocol // the ID is in use, or the record is malformed
		case rec.content[0] != 0 || rec.content[1] != responder:
			return nil, c.write(appendEnd(nil, rec.id, 0, statusUnknownRole))
		case openCount >= maxRequests:
			return nil, c.writeRejection(rec.id)
		}
		if c.handler != nil {
			switch c.handler.RequestStarted(rec.content[2]&flagKeep == 0) {
			case connclose.Admit:
			case connclose.Reject:
				err := c.writeRejection(rec.id)
				c.handler.RequestsRejected()
				return nil, err
			default:
				return nil, nil
			}
		}
		r = &Request{ID: rec.id, StartedAt: time.Now(), disconnected: make(chan struct{})}
		c.mu.Lock()
		c.open[rec.id] = r
		c.mu.Unlock()
		return nil, nil
	case typeAbort:
		if r == nil {
			return nil, nil
		}
		if !r.isComplete {
			err := c.EndAborted(r)
			if c.handler != nil {
				c.handler.RequestAborted()
			}
			return nil, err
		}
		c.markDisconnected(r)
		return nil, nil
	case typeParams, typeStdin, typeData:
		if r == nil || r.isComplete {
			return nil, nil // the request has ended or was rejected; the client may still have been sending it
		}
		return c.addToStream(r, rec)
	}
	return nil, c.writeUnknownType(rec.kind)
}

// writeUnknownType writes the response to a record of an unknown type.
func (c *ClientConn) writeUnknownType(kind byte) error {
	return c.write(appendRecord(nil, typeUnknown, 0, []byte{kind, 0, 0, 0, 0, 0, 0, 0}))
}

// addToStream processes a part of a request and returns the request when it is complete, which is at the end of its STDIN.
func (c *ClientConn) addToStream(r *Request, rec record) (*Request, error) {
	switch {
	case rec.kind == typeData: // only other roles use this stream
	case rec.kind == typeParams && r.hasParams, rec.kind == typeStdin && !r.hasParams:
		return nil, ErrProtocol
	case rec.kind == typeParams && len(rec.content) == 0:
		r.hasParams = true
	case rec.kind == typeParams:
		r.readError = c.appendBounded(r, &r.params, rec.content, message.MaxHead, 431, "the params are too large")
	case len(rec.content) > 0:
		r.readError = c.appendBounded(r, &r.body, rec.content, message.MaxRequestBody, 413, "the body is too large")
	default:
		c.mu.Lock()
		r.isComplete = true
		c.mu.Unlock()
		if r.RequestError = r.readError; r.RequestError == nil {
			var err error
			if r.Request, err = request(r.params, r.body); err != nil {
				errors.As(err, &r.RequestError)
			}
		}
		return r, nil
	}
	return nil, nil
}

// appendBounded appends to a stream of a request, up to maxBytes and within the budget. On an error, which is sent to the client
// when the request is complete, it drops both streams.
func (c *ClientConn) appendBounded(r *Request, to *[]byte, content []byte, maxBytes, status int, reason string) *message.RequestError {
	length := len(*to) + len(content)
	switch {
	case r.readError != nil:
		return r.readError
	case length > maxBytes:
		c.releaseBuffers(r)
		return message.NewRequestError(status, reason)
	case length > cap(*to) && !c.grow(r, to, min(max(length, 2*cap(*to)), maxBytes)):
		c.releaseBuffers(r)
		return message.NewRequestError(503, "no memory for so large a message now")
	}
	*to = append(*to, content...)
	return nil
}

// grow gives a stream of a request a buffer of capacity bytes, and returns false if the budget does not allow it.
func (c *ClientConn) grow(r *Request, stream *[]byte, capacity int) bool {
	more := capacity - cap(*stream)
	if !c.budget.Reserve(more) {
		return false
	}
	r.reservedBytes += more
	*stream = append(make([]byte, 0, capacity), *stream...)
	return true
}

// releaseBuffers drops the streams of a request and returns their memory to the budget.
func (c *ClientConn) releaseBuffers(r *Request) {
	c.budget.Release(r.reservedBytes)
	r.params, r.body, r.reservedBytes = nil, nil, 0
}

// handleManagement responds to a management record, which belongs to the connection and not to a request.
func (c *ClientConn) handleManagement(rec record) error {
	if rec.kind != typeGetValues {
		return c.writeUnknownType(rec.kind)
	}
	if len(rec.content) > maxValuesBytes {
		return ErrProtocol
	}
	var values []byte
	for rest := rec.content; len(rest) > 0; {
		var p pair
		var err error
		if p, rest, err = cutPair(rest); err != nil {
			return ErrProtocol
		}
		switch string(p.name) {
		case "FCGI_MAX_CONNS", "FCGI_MAX_REQS":
			values = appendPair(values, string(p.name), strconv.Itoa(maxRequests))
		case "FCGI_MPXS_CONNS":
			values = appendPair(values, string(p.name), "1")
		}
	}
	return c.write(appendRecord(nil, typeValues, 0, values))
}

// markDisconnected closes the Disconnected channel of a request.
func (c *ClientConn) markDisconnected(r *Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.isDisconnected {
		r.isDisconnected = true
		close(r.disconnected)
	}
}

// AbandonRequests marks all open requests as disconnected and discards the incomplete ones. The reader calls it when the
// connection has ended.
func (c *ClientConn) AbandonRequests() {
	for _, r := range c.openRequests(nil) {
		if c.markDisconnected(r); !r.isComplete {
			c.freeID(r)
		}
	}
}

// AwaitClose reads and discards what follows an invalid record, until the client closes the connection or the read deadline passes, and
// abandons all open requests if the client has closed it. A client that sends more than maxDiscardedBytes is treated as disconnected.
func (c *ClientConn) AwaitClose() {
	discarded, err := io.CopyN(io.Discard, c.Conn, maxDiscardedBytes)
	if discarded == maxDiscardedBytes || !errors.Is(err, os.ErrDeadlineExceeded) {
		c.AbandonRequests()
	}
}

// openRequests returns the open requests other than those for which except returns true. A nil except excludes none.
func (c *ClientConn) openRequests(except func(*Request) bool) []*Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests := make([]*Request, 0, len(c.open))
	for _, r := range c.open {
		if except == nil || !except(r) {
			requests = append(requests, r)
		}
	}
	return requests
}

// RejectPartial rejects all incomplete requests. Only the goroutine that reads may call it.
func (c *ClientConn) RejectPartial() error {
	var errs error
	for _, r := range c.openRequests(func(r *Request) bool { return r.isComplete }) {
		errs = errors.Join(errs, c.Reject(r))
	}
	return errs
}

// Reject notifies the client that a request never ran.
func (c *ClientConn) Reject(r *Request) error {
	c.freeID(r)
	return c.writeRejection(r.ID)
}

// writeRejection writes the END_REQUEST of a request that never ran.
func (c *ClientConn) writeRejection(id uint16) error {
	return c.write(appendEnd(nil, id, 0, statusOverloaded))
}

// freeID frees the ID and the buffers of a request. It is called before END_REQUEST is written, because the client may use
// the ID again as soon as it has received END_REQUEST.
func (c *ClientConn) freeID(r *Request) {
	c.releaseBuffers(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.isFreed {
		r.isFreed = true
		delete(c.open, r.ID)
	}
}

// Append appends the answer to the request and its END_REQUEST.
func (r *Request) Append(b []byte, a message.Answer) []byte {
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
	b = appendStream(b, typeStdout, r.ID, append(head, a.Body...))
	return appendEnd(b, r.ID, 0, statusComplete)
}

// Answer writes an answer that Append has built and ends the request. For an aborted request only END_REQUEST is written.
func (c *ClientConn) Answer(r *Request, answer []byte) error {
	c.mu.Lock()
	aborted := r.isDisconnected
	c.mu.Unlock()
	if aborted {
		return c.EndAborted(r)
	}
	c.freeID(r)
	return c.write(answer)
}

// EndAborted writes the END_REQUEST of a request that its client has aborted.
func (c *ClientConn) EndAborted(r *Request) error {
	c.freeID(r)
	return c.write(appendEnd(nil, r.ID, 0, statusComplete))
}

// write writes complete records within writeTimeout. Concurrent calls are serialized. It closes the connection on an error.
func (c *ClientConn) write(b []byte) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	written, err := c.Write(b)
	if written < len(b) {
		c.Close() // the client cannot parse a response behind an incomplete record
		return errors.Join(io.ErrShortWrite, err)
	}
	return nil
}

const writeTimeout = 2 * time.Second // for writing to a client
