package dispatch

import (
	"container/list"
	"io"
	"slices"
	"time"

	"fernvane/internal/protocol/message"
)

const (
	reservedDescriptors = 14       // standard streams, listener, discovery, poller: 10 were seen at most, and slack
	minConnections      = 8        // connections a node has whatever the limits say
	runtimeReserveBytes = 12 << 20 // bytes of the run time and the module's own figures; 6 MB were seen
	connBufferBytes     = 8 << 10  // bytes that a connection may hold on to
	connMemoryBytes     = connBufferBytes + 24<<10
	// bytes: a buffer, two stacks, what leads it
	connMemoryShare         = 0.25                   // of the memory left for connections
	messageMemoryShare      = 0.25                   // and for what large messages need beyond; the collector needs the other half
	spareDivisor            = 8                      // the part of all connections kept for clients that are only told to come back
	minSpare                = 2                      // of them
	idleClientDivisor       = 8                      // the part of all connections that clients may keep idle; half of the nodes may be away
	firstRequestGrace       = 100 * time.Millisecond // in which a new connection's request must come, or it may be closed for room
	firstRequestGraceAtStop = time.Second            // the same while the node stops and nothing presses; a new client may be slow to ask
	justUsed                = 5 * time.Millisecond   // in which a server may still close behind its answer: rather one idle for longer
	idleTimeoutShare        = 0.6                    // of the settings' idle time, after which a server's connection is not used again
)

// Limits of the machine.
type Limits struct {
	MemoryMB int
	Sockets  int
}

func (l Limits) connMemory() float64 { return max(float64(l.MemoryMB<<20-runtimeReserveBytes), 0) }

// MaxConnections is how many connections the limits leave room for.
func (l Limits) MaxConnections() int {
	byMemory := int(connMemoryShare * l.connMemory() / connMemoryBytes)
	return max(min(l.Sockets-reservedDescriptors, byMemory), minConnections)
}

// room counts descriptors. Operations in hand and connections to servers are bounded alike, each by half of
// what is left beside a few spare ones; what servers' may take is not given to clients. So each operation in hand can
// be sent, and some clients' connections are always idle, to be closed for room, or hold an operation that is denied
// at once: what the system has accepted is answered in time.
type descriptorBudget struct {
	total, free      int
	perSide          int // of operations, and of connections to servers
	freeForServers   int // that connections to servers may still take
	idleClients      list.List
	idleAfterRequest int // of the idle, after a request
	pool             *message.BufferBudget
	changed          chan struct{} // something has become free or idle
}

func newDescriptorBudget(l Limits) descriptorBudget {
	n := l.MaxConnections()
	share := (n - max(n/spareDivisor, minSpare)) / 2
	pool := message.NewBufferBudget(max(int(messageMemoryShare*l.connMemory()), message.MaxHead+message.MaxBody))
	return descriptorBudget{total: n, free: n, perSide: share, freeForServers: share, pool: pool, changed: make(chan struct{}, 1)}
}

func (r *descriptorBudget) notify() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// ClientConn is a connection that clients ask on, in whichever protocol.
type ClientConn interface {
	io.Closer
	// Waiting tells that something has come that was not read yet. It may be asked from anywhere.
	HasUnread() bool
}

// ServerConn is a connection to a server, in whichever protocol.
type ServerConn interface{ io.Closer }

// Client is a client's connection.
type Client struct {
	dispatcher        *Dispatcher
	conn              ClientConn
	idleElement       *list.Element // among those on which no whole request is open
	idleSince         time.Duration // there
	hasSentRequest    bool          // for a request before
	isEvicted         bool
	openRequests      int  // requests that were taken and are not answered
	isWaiting         bool // its reader waits for more, with nothing in hand that was not dealt with
	hasPartialRequest bool // a request has come in part
}

// MessageBudget is the memory for large messages.
func (f *Dispatcher) MessageBudget() *message.BufferBudget { return f.budget.pool }

// AcquireClientDescriptor waits until there is a descriptor to accept a connection with, closing idle clients' for it.
func (f *Dispatcher) AcquireClientDescriptor() {
	for {
		f.mu.Lock()
		if f.budget.free > f.budget.freeForServers {
			f.budget.free--
			f.mu.Unlock()
			return
		}
		f.evictIdleClient(firstRequestGrace)
		f.unlock()
		select {
		case <-f.budget.changed:
		case <-time.After(firstRequestGrace):
		}
	}
}

// ReleaseClientDescriptor gives back a descriptor that no connection came for.
func (f *Dispatcher) ReleaseClientDescriptor() {
	f.mu.Lock()
	defer f.unlock()
	f.releaseClientDescriptor()
}

func (f *Dispatcher) releaseClientDescriptor() {
	f.budget.free++
	f.budget.notify()
}

// Release gives back the connection's descriptor, once: what is closed must not be closed for room as well.
func (c *Client) Release() {
	c.dispatcher.mu.Lock()
	defer c.dispatcher.unlock()
	c.removeIdle()
	if !c.isEvicted {
		c.dispatcher.releaseClientDescriptor()
	}
}

// evictClient closes the connection that has been idle for longest. A new one, whose request is on its way,
// or one on which a request has come that is not read yet is passed over, for its client may not send it again. new is
// how long a first request may be on its way.
func (f *Dispatcher) evictIdleClient(new time.Duration) bool {
	for e := f.budget.idleClients.Front(); e != nil; {
		c := e.Value.(*Client)
		e = e.Next()
		if !c.hasSentRequest && f.now()-c.idleSince <= new {
			continue
		}
		c.removeIdle()
		if c.conn.HasUnread() { // its reader is about to say so; with many such, each look at all of them again costs a system call
			continue
		}
		c.isEvicted = true
		f.releaseClientDescriptor() // it is closed as soon as the lock is given back
		f.closing = append(f.closing, c.conn)
		return true
	}
	return false
}

// EvictIdle closes a connection that is idle, where the system has less room than it was taken to have.
func (f *Dispatcher) EvictIdle() {
	f.mu.Lock()
	defer f.unlock()
	if !f.evictIdleClient(firstRequestGrace) {
		f.evictIdleServerConn()
	}
}

// AddClient takes in an accepted connection.
func (f *Dispatcher) AddClient(conn ClientConn) *Client { return &Client{dispatcher: f, conn: conn} }

func (c *Client) addIdle() {
	if c.idleElement != nil {
		return
	}
	c.idleElement = c.dispatcher.budget.idleClients.PushBack(c)
	if c.hasSentRequest {
		c.dispatcher.budget.idleAfterRequest++
	}
	c.dispatcher.budget.notify() // or what the system has accepted would wait unread until some connection ends
}

// ReadBlocked tells that a connection is read no further until Came is told. half: a request has come in part. It may be closed
// for room only while it waits and nothing that was taken is open. Until the first request is whole it may be closed with
// a part of it, after a while, or clients that send halves would hold all places; a later one has shown that it can end.
func (c *Client) ReadBlocked(half bool) {
	c.dispatcher.mu.Lock()
	defer c.dispatcher.unlock()
	if half != c.hasPartialRequest || c.idleSince == 0 {
		c.idleSince = c.dispatcher.now()
	}
	c.isWaiting, c.hasPartialRequest = true, half
	c.updateIdle()
}

// ReadReady tells that something has come and is about to be read. It is false if the connection was closed before; then
// nothing was read that is not dealt with.
func (c *Client) ReadReady() bool {
	c.dispatcher.mu.Lock()
	defer c.dispatcher.unlock()
	c.isWaiting = false
	c.updateIdle()
	return !c.isEvicted
}

// RequestStarted tells that a request has come whole and is led to its answer, beside others.
func (c *Client) RequestStarted() {
	c.dispatcher.mu.Lock()
	defer c.dispatcher.unlock()
	c.openRequests++
	c.updateIdle()
	c.hasSentRequest = true
}

// RequestFinished tells that one which was taken has its answer.
func (c *Client) RequestFinished() {
	c.dispatcher.mu.Lock()
	defer c.dispatcher.unlock()
	if c.openRequests--; c.openRequests == 0 {
		c.idleSince = c.dispatcher.now()
	}
	c.updateIdle()
}

func (c *Client) updateIdle() {
	if c.isWaiting && c.openRequests == 0 && !(c.hasPartialRequest && c.hasSentRequest) && !c.isEvicted {
		c.addIdle()
	} else {
		c.removeIdle()
	}
}

func (c *Client) removeIdle() {
	if c.idleElement == nil {
		return
	}
	c.dispatcher.budget.idleClients.Remove(c.idleElement)
	c.idleElement = nil
	if c.hasSentRequest {
		c.dispatcher.budget.idleAfterRequest--
	}
}

// HasTooManyIdleClients tells that so many connections stand idle after a request that another one more is not worth keeping:
// its client, or the front before it, has only so many, and clients that ask once and stay use them all up.
func (f *Dispatcher) HasTooManyIdleClients() bool {
	f.mu.Lock()
	defer f.unlock()
	return f.budget.idleAfterRequest > f.budget.total/idleClientDivisor
}

// CloseIdleClients closes all clients' connections that are between requests.
func (f *Dispatcher) CloseIdleClients() {
	f.mu.Lock()
	defer f.unlock()
	for f.evictIdleClient(firstRequestGraceAtStop) {
	}
}

type idleConn struct {
	conn  ServerConn
	since time.Duration
}

// AcquireServerDescriptor takes a descriptor for a new connection to a server.
func (f *Dispatcher) AcquireServerDescriptor() bool {
	f.mu.Lock()
	defer f.unlock()
	if f.budget.freeForServers == 0 && !f.evictIdleServerConn() {
		return false
	}
	f.budget.freeForServers--
	f.budget.free--
	return true
}

// ReleaseServerDescriptor gives back the descriptor of a connection to a server.
func (f *Dispatcher) ReleaseServerDescriptor() {
	f.mu.Lock()
	defer f.unlock()
	f.releaseServerDescriptor()
}

func (f *Dispatcher) releaseServerDescriptor() {
	f.budget.freeForServers++
	f.releaseClientDescriptor()
}

// TakeIdle returns an idle connection to a server, nil if there is none. The latest used comes first, so that
// those not needed grow old, but for those just answered on: a server may close behind its answer.
func (f *Dispatcher) TakeIdle(id string) ServerConn {
	f.mu.Lock()
	defer f.unlock()
	s := f.servers[id]
	if s == nil || len(s.idle) == 0 {
		return nil
	}
	i := len(s.idle) - 1
	for i > 0 && f.now()-s.idle[i].since < justUsed {
		i--
	}
	c := s.idle[i]
	s.idle = slices.Delete(s.idle, i, i+1)
	if f.isExpired(c) {
		f.closeIdleConn(c)
		return nil
	}
	return c.conn
}

// PutIdle puts a connection by for later use, if its server is still one to be used.
func (f *Dispatcher) PutIdle(id string, cgi bool, c ServerConn) {
	f.mu.Lock()
	defer f.unlock()
	if l, _ := f.view.Get(id); (l.IsUsable || f.hoards && f.servers[id] != nil) && f.servers[id].isFastCGI == cgi {
		s := f.servers[id]
		s.idle = append(s.idle, idleConn{c, f.now()})
		f.serversWithIdle[s] = struct{}{}
		f.budget.notify()
		return
	}
	f.closeIdleConn(idleConn{conn: c})
}

func (f *Dispatcher) isExpired(c idleConn) bool {
	return f.now()-c.since > time.Duration(idleTimeoutShare*float64(f.settings.ConnIdle))
}

func (f *Dispatcher) closeIdleConn(c idleConn) {
	f.closing = append(f.closing, c.conn)
	f.releaseServerDescriptor()
}

func (f *Dispatcher) closeIdleConns(s *server) {
	if s == nil || f.hoards {
		return
	}
	for _, c := range s.idle {
		f.closeIdleConn(c)
	}
	s.idle = s.idle[:0]
	delete(f.serversWithIdle, s)
}

// retire closes connections well before the server may, so that no request meets the server's own closing.
func (f *Dispatcher) closeExpiredIdle() {
	for s := range f.serversWithIdle {
		f.serverVisits++
		n := 0
		for n < len(s.idle) && f.isExpired(s.idle[n]) {
			f.closeIdleConn(s.idle[n])
			n++
		}
		if s.idle = append(s.idle[:0], s.idle[n:]...); len(s.idle) == 0 {
			delete(f.serversWithIdle, s)
		}
	}
}

// evictServer closes the connection to a server that has been idle for longest.
func (f *Dispatcher) evictIdleServerConn() bool {
	var oldest *server
	for s := range f.serversWithIdle {
		f.serverVisits++
		if len(s.idle) > 0 && (oldest == nil || s.idle[0].since < oldest.idle[0].since) {
			oldest = s
		}
	}
	if oldest == nil {
		return false
	}
	f.closeIdleConn(oldest.idle[0])
	oldest.idle = append(oldest.idle[:0], oldest.idle[1:]...)
	return true
}
