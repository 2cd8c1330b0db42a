package load

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"fernvane/internal/protocol/message"
)

const (
	maxIdleTime    = 30 * time.Second       // a client closes a connection that is idle for longer
	maxIdleConns   = 512                    // per site
	newConnTimeout = 100 * time.Millisecond // for which nodes keep a new connection without a request (docs/design.md)
)

// conn is a client's connection, in either protocol.
type conn interface {
	io.Closer
	SetDeadline(time.Time) error
	IsIdle() bool
	HasUnread() bool
	HasMore() bool
	SendRequest(r *message.Request, left time.Duration, from string) (isComplete bool, err error)
	ReceiveResponse(r *message.Response) error
	IsReusable(r *message.Response) bool
	ReleaseBuffers()
}

// idleConn is a connection between two requests, or a new one.
type idleConn struct {
	conn     conn
	tracked  *trackedConn // below conn
	endpoint Endpoint
	since    time.Time // when it became idle; for a new one, when its opening began
}

// trackedConn records whether bytes were read. It is used by one goroutine at a time.
type trackedConn struct {
	*net.TCPConn
	hasRead bool
}

// Read reads and records whether bytes came.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.hasRead = c.hasRead || n > 0
	return n, err
}

// closedUnread reports whether a node closed a connection without having read the request: no byte came back and the
// connection ended. It holds for every protocol, and only it tells the audit so. A running node answers whatever it has
// read, so such a request may be sent again on a new connection.
func closedUnread(c idleConn, err error) bool {
	if c.tracked.hasRead {
		return false
	}
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}

// mayResend reports whether a request that was not read may be sent again within its try: the node closed an idle
// connection as the request was sent, or closed a new one because the client sent only after newConnTimeout. wasIdle
// says that the connection was an idle one, isResent that the request was sent again already.
func mayResend(c idleConn, wasIdle, isResent bool, sentAt time.Time, err error) bool {
	if wasIdle {
		return !isResent && closedUnread(c, err)
	}
	return sentAt.Sub(c.since) >= newConnTimeout && closedUnread(c, err)
}

// pool holds the idle connections of the clients of one site.
type pool struct {
	mu   sync.Mutex
	idle []idleConn // by since
}

// get removes and returns the connection that became idle last.
func (p *pool) get() (idleConn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return idleConn{}, false
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c, true
}

// put adds a connection that became idle and closes the oldest if there are too many or it was idle for too long.
func (p *pool) put(c idleConn) {
	p.mu.Lock()
	var evicted conn
	if len(p.idle) == maxIdleConns || len(p.idle) > 0 && time.Since(p.idle[0].since) > maxIdleTime {
		evicted = p.idle[0].conn
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	if evicted != nil {
		evicted.Close()
	}
}

// close closes all idle connections.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.conn.Close()
	}
	p.idle = nil
}
