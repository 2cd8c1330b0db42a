package dispatch

import (
	"container/list"
	"io"
	"time"
)

const (
	// firstRequestGrace is for how long a new connection is not closed while its first request may be on its way.
	firstRequestGrace = 100 * time.Millisecond
	// firstRequestGraceAtStop is the same while the node stops, when no other connection waits for the descriptor.
	firstRequestGraceAtStop = time.Second
	// nextRequestGrace is for how long a connection is not closed after an answer, while the client's next request may be on its way.
	nextRequestGrace = firstRequestGrace
	// idleClientDivisor limits the connections that clients may leave idle after a request, to one in so many of all.
	idleClientDivisor = 8
)

// ClientConn is a client's connection, in any protocol.
type ClientConn interface {
	io.Closer
	// HasUnread reports whether something has arrived that was not read yet. It may be called from any goroutine.
	HasUnread() bool
}

// Client tells the Dispatcher when a client's connection is idle, so that it can be closed when descriptors are short.
// The connection's reader calls ReadBlocked and ReadReady in turns.
type Client struct {
	dispatcher        *Dispatcher
	conn              ClientConn
	idleElement       *list.Element // in descriptorBudget.idleClients; nil while it may not be closed
	idleSince         time.Duration
	openRequests      int  // started and not finished
	hasSentRequest    bool // at least one complete request
	hasPartialRequest bool
	isWaiting         bool // the reader waits, and has nothing left to handle
	isEvicted         bool // closed by the Dispatcher
}

// AddClient registers an accepted connection. The caller has acquired a descriptor for it and calls Release at its end.
func (d *Dispatcher) AddClient(conn ClientConn) *Client { return &Client{dispatcher: d, conn: conn} }

// Release gives back the connection's descriptor. It is called once, before the caller closes the connection.
func (c *Client) Release() {
	c.dispatcher.mu.Lock()
	defer c.dispatcher.unlock()
	c.removeIdle()
	if !c.isEvicted { // else the descriptor was given back then
		c.dispatcher.freeClientDescriptor()
	}
}

// ReadBlocked reports that the reader waits for more input and reads nothing until it has called ReadReady.
// hasPartialRequest says that a part of a request has arrived.
//
// The connection may be closed while it waits and no request is open. With a part of a first request it may be closed
// after firstRequestGrace, or clients that never finish one would hold all descriptors; with a part of a later one it is
// not closed.
func (c *Client) ReadBlocked(hasPartialRequest bool) {
	c.dispatcher.mu.Lock()
	defer c.dispatcher.unlock()
	if hasPartialRequest != c.hasPartialRequest || c.idleSince == 0 {
		c.idleSince = c.dispatcher.now()
	}
	c.isWaiting, c.hasPartialRequest = true, hasPartialRequest
	c.updateIdle()
}

// ReadReady reports that input has arrived and is about to be read. It returns false if the connection has been closed by
// the Dispatcher; then nothing was read that is not handled.
func (c *Client) ReadReady() bool {
	c.dispatcher.mu.Lock()
	defer c.dispatcher.unlock()
	c.isWaiting = false
	c.updateIdle()
	return !c.isEvicted
}

// RequestStarted reports that a complete request has been read and will be answered.
func (c *Client) RequestStarted() {
	c.dispatcher.mu.Lock()
	defer c.dispatcher.unlock()
	c.openRequests++
	c.updateIdle()
	c.hasSentRequest = true
}

// RequestFinished reports that a request that was started has its answer.
func (c *Client) RequestFinished() {
	c.dispatcher.mu.Lock()
	defer c.dispatcher.unlock()
	if c.openRequests--; c.openRequests == 0 {
		c.idleSince = c.dispatcher.now()
	}
	c.updateIdle()
}

// updateIdle enters the connection into the list of those that may be closed, or removes it.
func (c *Client) updateIdle() {
	isPartialLater := c.hasPartialRequest && c.hasSentRequest
	if c.isWaiting && c.openRequests == 0 && !isPartialLater && !c.isEvicted {
		c.addIdle()
	} else {
		c.removeIdle()
	}
}

func (c *Client) addIdle() {
	if c.idleElement != nil {
		return
	}
	budget := &c.dispatcher.budget
	c.idleElement = budget.idleClients.PushBack(c)
	if c.hasSentRequest {
		budget.idleAfterRequest++
	}
	budget.notify() // AcquireClientDescriptor may wait for a connection that it can close
}

func (c *Client) removeIdle() {
	if c.idleElement == nil {
		return
	}
	budget := &c.dispatcher.budget
	budget.idleClients.Remove(c.idleElement)
	c.idleElement = nil
	if c.hasSentRequest {
		budget.idleAfterRequest--
	}
}

// evictIdleClient closes the client's connection that has been idle for longest, and reports whether there was one. It
// passes over new connections whose first request may be on its way for up to newConnGrace, those that had an answer within
// nextRequestGrace, and those with unread input, since the client may not send that again.
func (d *Dispatcher) evictIdleClient(newConnGrace time.Duration) bool {
	for e := d.budget.idleClients.Front(); e != nil; {
		c := e.Value.(*Client)
		e = e.Next()
		grace := newConnGrace
		if c.hasSentRequest {
			grace = nextRequestGrace
		}
		if d.now()-c.idleSince <= grace {
			continue
		}
		// A connection with unread input leaves the list too: its reader is about to call ReadReady, and each look at it
		// costs a system call.
		c.removeIdle()
		if c.conn.HasUnread() {
			continue
		}
		c.isEvicted = true
		d.freeClientDescriptor()
		d.closing = append(d.closing, c.conn)
		return true
	}
	return false
}

// HasTooManyIdleClients reports whether so many connections stand idle after a request that it is better to close the next
// one than to keep it. Clients, and load balancers before the node, have a limited number of connections too, and clients
// that send one request and stay would use all of them.
func (d *Dispatcher) HasTooManyIdleClients() bool {
	d.mu.Lock()
	defer d.unlock()
	return d.budget.idleAfterRequest > d.budget.total/idleClientDivisor
}

// CloseIdleClients closes all clients' connections that are between requests, as the node stops.
func (d *Dispatcher) CloseIdleClients() {
	d.mu.Lock()
	defer d.unlock()
	for d.evictIdleClient(firstRequestGraceAtStop) {
	}
}
