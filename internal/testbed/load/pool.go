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
	maxIdleTime    = 30 * time.Second       // idle time of the oldest connection above which put closes it
	maxIdleConns   = 512                    // per site
	newConnTimeout = 100 * time.Millisecond // after which nodes may close a new connection without a request (docs/design.md)
)

// conn is a client's connection, for HTTP or FastCGI.
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

// idleConn is a connection with no request in flight: an idle one, or a new one.
type idleConn struct {
	conn     conn
	tracked  *trackedConn // the connection that conn wraps
	endpoint Endpoint
	since    time.Time // time at which it became idle, or at which opening a new one began
}

// trackedConn is a TCP connection that records whether bytes were read. It is used by one goroutine at a time.
type trackedConn struct {
	*net.TCPConn
	hasRead bool
}

// Read reads from the connection and records whether it returned bytes.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.hasRead = c.hasRead || n > 0
	return n, err
}

// closedUnread reports whether a node closed a connection before it read the request: the connection ended and no byte was
// received. A running node answers each request that it has read, so such a request may be sent again on a new connection.
// The check applies to all protocols, and is the only one by which the audit is notified of an unread request.
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

// mayResend reports whether an unread request may be sent again within the same try: the node closed an idle connection
// while the request was sent, or closed a new connection because the client sent its request only after newConnTimeout.
// wasIdle: the connection had been idle. isResent: the request has already been sent again.
func mayResend(c idleConn, wasIdle, isResent bool, sentAt time.Time, err error) bool {
	if wasIdle {
		return !isResent && closedUnread(c, err)
	}
	return sentAt.Sub(c.since) >= newConnTimeout && closedUnread(c, err)
}

// pool holds the idle connections of the clients of one site.
type pool struct {
	mu   sync.Mutex
	idle []idleConn // in ascending order of since
}

// get removes and returns the connection that became idle most recently.
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

// put adds an idle connection. It closes the oldest one if the pool is full or that one has been idle for too long.
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

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.conn.Close()
	}
	p.idle = nil
}
