package dispatch

import (
	"container/list"
	"io"
	"time"
)

const (
	// firstRequestGrace is how long a new connection is protected from eviction, since its first request may be in transit.
	firstRequestGrace = 100 * time.Millisecond
	// firstRequestGraceAtStop replaces firstRequestGrace during shutdown, when no other connection waits for the descriptor.
	firstRequestGraceAtStop = time.Second
	// nextRequestGrace is how long a connection is protected from eviction after a response, since the client's next request
	// may be in transit.
	nextRequestGrace = firstRequestGrace
	// idleClientDivisor limits the client connections that are idle after a request to 1/idleClientDivisor of all connections.
	idleClientDivisor = 8
)

// ClientConn is a client connection of any protocol.
type ClientConn interface {
	io.Closer
	// HasUnread reports whether input has arrived that has not been read. It is safe for concurrent use.
	HasUnread() bool
}

// Client tracks whether a client connection is idle, so that the Dispatcher can evict it when descriptors run short. The
// connection's reader alternates between ReadBlocked and ReadReady.
type Client struct {
	dispatcher        *Dispatcher
	conn              ClientConn
	idleElement       *list.Element // element of descriptorBudget.idleClients; nil while the connection may not be evicted
	idleSince         time.Duration
	openRequests      int  // requests started and not finished
	hasSentRequest    bool // at least one complete request has been read
	hasPartialRequest bool
	isWaiting         bool // the reader waits for input and has handled all previous input
	isEvicted         bool // closed by the Dispatcher
}

// AddClient registers an accepted connection. The caller must have acquired a descriptor for it, and must call
// Client.Release when the connection ends.
func (d *Dispatcher) AddClient(conn ClientConn) *Client { return &Client{dispatcher: d, conn: conn} }

// Release releases the connection's descriptor. The caller calls it once, before it closes the connection.
func (c *Client) Release() {
	c.dispatcher.mu.Lock()
	defer c.dispatcher.unlock()
	c.removeIdle()
	if !c.isEvicted { // eviction has already released the descriptor
		c.dispatcher.freeClientDescriptor()
	}
}

// ReadBlocked reports that the reader waits for input and reads nothing before it calls ReadReady. hasPartialRequest states
// that part of a request has arrived.
//
// The connection may be evicted while its reader waits and no request is open. With part of a first request it may be
// evicted after firstRequestGrace, since clients that never complete a request could otherwise occupy all descriptors.
// With part of a later request it is not evicted.
func (c *Client) ReadBlocked(hasPartialRequest bool) {
	c.dispatcher.mu.Lock()
	defer c.dispatcher.unlock()
	if hasPartialRequest != c.hasPartialRequest || c.idleSince == 0 {
		c.idleSince = c.dispatcher.now()
	}
	c.isWaiting, c.hasPartialRequest = true, hasPartialRequest
	c.updateIdle()
}

// ReadReady reports that input has arrived and is about to be read. It returns false if the Dispatcher has evicted the
// connection; in that case all input read before has been handled.
func (c *Client) ReadReady() bool {
	c.dispatcher.mu.Lock()
	defer c.dispatcher.unlock()
	c.isWaiting = false
	c.updateIdle()
	return !c.isEvicted
}

// RequestStarted reports that a complete request has been read. RequestFinished must follow.
func (c *Client) RequestStarted() {
	c.dispatcher.mu.Lock()
	defer c.dispatcher.unlock()
	c.openRequests++
	c.updateIdle()
	c.hasSentRequest = true
}

// RequestFinished reports that the response to a started request is complete.
func (c *Client) RequestFinished() {
	c.dispatcher.mu.Lock()
	defer c.dispatcher.unlock()
	if c.openRequests--; c.openRequests == 0 {
		c.idleSince = c.dispatcher.now()
	}
	c.updateIdle()
}

// updateIdle adds the connection to the list of evictable connections or removes it, according to its state.
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
	budget.notify() // AcquireClientDescriptor may be waiting for an evictable connection
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

// evictIdleClient closes the client connection that has been idle for longest, and reports whether there was one. It skips
// connections without a request for newConnGrace and connections after a response for nextRequestGrace, since a request may
// be in transit. It also skips connections with unread input, since the client may not re-send that input.
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
		// A connection with unread input is removed from the list too: its reader is about to call ReadReady, and each call
		// of HasUnread costs a system call.
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

// HasTooManyIdleClients reports whether so many client connections are idle after a request that the next one should be
// closed after its response. Clients and load balancers in front of the node have limited connections too, and clients that
// send one request and stay connected would use all of them.
func (d *Dispatcher) HasTooManyIdleClients() bool {
	d.mu.Lock()
	defer d.unlock()
	return d.budget.idleAfterRequest > d.budget.total/idleClientDivisor
}

// CloseIdleClients closes all evictable client connections during shutdown. New connections are protected for
// firstRequestGraceAtStop.
func (d *Dispatcher) CloseIdleClients() {
	d.mu.Lock()
	defer d.unlock()
	for d.evictIdleClient(firstRequestGraceAtStop) {
	}
}
