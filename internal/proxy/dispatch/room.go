package dispatch

import (
	"container/list"
	"io"
	"slices"
	"time"

	"fernvane/internal/protocol/message"
)

const (
	ownDescriptors = 14       // standard streams, listener, discovery, poller: 10 were seen at most, and slack
	leastSockets   = 8        // connections a node has whatever the limits say
	baseMemory     = 12 << 20 // bytes of the run time and the module's own figures; 6 MB were seen
	keptBuffer     = 8 << 10  // bytes that a connection may hold on to
	perConnection  = keptBuffer + 24<<10
	// bytes: a buffer, two stacks, what leads it
	connShare  = 0.25                   // of the memory left for connections
	largeShare = 0.25                   // and for what large messages need beyond; the collector needs the other half
	spareShare = 8                      // the part of all connections kept for clients that are only told to come back
	spareLeast = 2                      // of them
	keptShare  = 8                      // the part of all connections that clients may keep idle; half of the nodes may be away
	settled    = 100 * time.Millisecond // in which a new connection's request must come, or it may be closed for room
	patient    = time.Second            // the same while the node stops and nothing presses; a new client may be slow to ask
	unsettled  = 5 * time.Millisecond   // in which a server may still close behind its answer: rather one idle for longer
	idleShare  = 0.6                    // of the settings' idle time, after which a server's connection is not used again
)

// Limits of the machine.
type Limits struct {
	MemoryMB int
	Sockets  int
}

func (l Limits) left() float64 { return max(float64(l.MemoryMB<<20-baseMemory), 0) }

// MaxConnections is how many connections the limits leave room for.
func (l Limits) MaxConnections() int {
	byMemory := int(connShare * l.left() / perConnection)
	return max(min(l.Sockets-ownDescriptors, byMemory), leastSockets)
}

// room counts descriptors. Operations in hand and connections to servers are bounded alike, each by half of
// what is left beside a few spare ones; what servers' may take is not given to clients. So each operation in hand can
// be sent, and some clients' connections are always idle, to be closed for room, or hold an operation that is denied
// at once: what the system has accepted is answered in time.
type room struct {
	most, free int
	share      int // of operations, and of connections to servers
	servers    int // that connections to servers may still take
	idle       list.List
	kept       int // of the idle, after a request
	pool       *message.BufferBudget
	changed    chan struct{} // something has become free or idle
}

func newRoom(l Limits) room {
	n := l.MaxConnections()
	share := (n - max(n/spareShare, spareLeast)) / 2
	pool := message.NewBufferBudget(max(int(largeShare*l.left()), message.MaxHead+message.MaxBody))
	return room{most: n, free: n, share: share, servers: share, pool: pool, changed: make(chan struct{}, 1)}
}

func (r *room) tell() {
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
	f       *Dispatcher
	conn    ClientConn
	place   *list.Element // among those on which no whole request is open
	since   time.Duration // there
	used    bool          // for a request before
	evicted bool
	open    int  // requests that were taken and are not answered
	waits   bool // its reader waits for more, with nothing in hand that was not dealt with
	half    bool // a request has come in part
}

// MessageBudget is the memory for large messages.
func (f *Dispatcher) MessageBudget() *message.BufferBudget { return f.room.pool }

// AcquireClientDescriptor waits until there is a descriptor to accept a connection with, closing idle clients' for it.
func (f *Dispatcher) AcquireClientDescriptor() {
	for {
		f.mu.Lock()
		if f.room.free > f.room.servers {
			f.room.free--
			f.mu.Unlock()
			return
		}
		f.evictClient(settled)
		f.unlock()
		select {
		case <-f.room.changed:
		case <-time.After(settled):
		}
	}
}

// ReleaseClientDescriptor gives back a descriptor that no connection came for.
func (f *Dispatcher) ReleaseClientDescriptor() {
	f.mu.Lock()
	defer f.unlock()
	f.vacate()
}

func (f *Dispatcher) vacate() {
	f.room.free++
	f.room.tell()
}

// Release gives back the connection's descriptor, once: what is closed must not be closed for room as well.
func (c *Client) Release() {
	c.f.mu.Lock()
	defer c.f.unlock()
	c.leave()
	if !c.evicted {
		c.f.vacate()
	}
}

// evictClient closes the connection that has been idle for longest. A new one, whose request is on its way,
// or one on which a request has come that is not read yet is passed over, for its client may not send it again. new is
// how long a first request may be on its way.
func (f *Dispatcher) evictClient(new time.Duration) bool {
	for e := f.room.idle.Front(); e != nil; {
		c := e.Value.(*Client)
		e = e.Next()
		if !c.used && f.now()-c.since <= new {
			continue
		}
		c.leave()
		if c.conn.HasUnread() { // its reader is about to say so; with many such, each look at all of them again costs a system call
			continue
		}
		c.evicted = true
		f.vacate() // it is closed as soon as the lock is given back
		f.closing = append(f.closing, c.conn)
		return true
	}
	return false
}

// EvictIdle closes a connection that is idle, where the system has less room than it was taken to have.
func (f *Dispatcher) EvictIdle() {
	f.mu.Lock()
	defer f.unlock()
	if !f.evictClient(settled) {
		f.evictServer()
	}
}

// AddClient takes in an accepted connection.
func (f *Dispatcher) AddClient(conn ClientConn) *Client { return &Client{f: f, conn: conn} }

func (c *Client) rest() {
	if c.place != nil {
		return
	}
	c.place = c.f.room.idle.PushBack(c)
	if c.used {
		c.f.room.kept++
	}
	c.f.room.tell() // or what the system has accepted would wait unread until some connection ends
}

// ReadBlocked tells that a connection is read no further until Came is told. half: a request has come in part. It may be closed
// for room only while it waits and nothing that was taken is open. Until the first request is whole it may be closed with
// a part of it, after a while, or clients that send halves would hold all places; a later one has shown that it can end.
func (c *Client) ReadBlocked(half bool) {
	c.f.mu.Lock()
	defer c.f.unlock()
	if half != c.half || c.since == 0 {
		c.since = c.f.now()
	}
	c.waits, c.half = true, half
	c.settle()
}

// ReadReady tells that something has come and is about to be read. It is false if the connection was closed before; then
// nothing was read that is not dealt with.
func (c *Client) ReadReady() bool {
	c.f.mu.Lock()
	defer c.f.unlock()
	c.waits = false
	c.settle()
	return !c.evicted
}

// RequestStarted tells that a request has come whole and is led to its answer, beside others.
func (c *Client) RequestStarted() {
	c.f.mu.Lock()
	defer c.f.unlock()
	c.open++
	c.settle()
	c.used = true
}

// RequestFinished tells that one which was taken has its answer.
func (c *Client) RequestFinished() {
	c.f.mu.Lock()
	defer c.f.unlock()
	if c.open--; c.open == 0 {
		c.since = c.f.now()
	}
	c.settle()
}

func (c *Client) settle() {
	if c.waits && c.open == 0 && !(c.half && c.used) && !c.evicted {
		c.rest()
	} else {
		c.leave()
	}
}

func (c *Client) leave() {
	if c.place == nil {
		return
	}
	c.f.room.idle.Remove(c.place)
	c.place = nil
	if c.used {
		c.f.room.kept--
	}
}

// HasTooManyIdleClients tells that so many connections stand idle after a request that another one more is not worth keeping:
// its client, or the front before it, has only so many, and clients that ask once and stay use them all up.
func (f *Dispatcher) HasTooManyIdleClients() bool {
	f.mu.Lock()
	defer f.unlock()
	return f.room.kept > f.room.most/keptShare
}

// CloseIdleClients closes all clients' connections that are between requests.
func (f *Dispatcher) CloseIdleClients() {
	f.mu.Lock()
	defer f.unlock()
	for f.evictClient(patient) {
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
	if f.room.servers == 0 && !f.evictServer() {
		return false
	}
	f.room.servers--
	f.room.free--
	return true
}

// ReleaseServerDescriptor gives back the descriptor of a connection to a server.
func (f *Dispatcher) ReleaseServerDescriptor() {
	f.mu.Lock()
	defer f.unlock()
	f.forgo()
}

func (f *Dispatcher) forgo() {
	f.room.servers++
	f.vacate()
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
	for i > 0 && f.now()-s.idle[i].since < unsettled {
		i--
	}
	c := s.idle[i]
	s.idle = slices.Delete(s.idle, i, i+1)
	if f.old(c) {
		f.shut(c)
		return nil
	}
	return c.conn
}

// PutIdle puts a connection by for later use, if its server is still one to be used.
func (f *Dispatcher) PutIdle(id string, cgi bool, c ServerConn) {
	f.mu.Lock()
	defer f.unlock()
	if l, _ := f.book.Get(id); (l.IsUsable || f.hoards && f.servers[id] != nil) && f.servers[id].cgi == cgi {
		s := f.servers[id]
		s.idle = append(s.idle, idleConn{c, f.now()})
		f.idlers[s] = struct{}{}
		f.room.tell()
		return
	}
	f.shut(idleConn{conn: c})
}

func (f *Dispatcher) old(c idleConn) bool {
	return f.now()-c.since > time.Duration(idleShare*float64(f.set.ConnIdle))
}

func (f *Dispatcher) shut(c idleConn) {
	f.closing = append(f.closing, c.conn)
	f.forgo()
}

func (f *Dispatcher) release(s *server) {
	if s == nil || f.hoards {
		return
	}
	for _, c := range s.idle {
		f.shut(c)
	}
	s.idle = s.idle[:0]
	delete(f.idlers, s)
}

// retire closes connections well before the server may, so that no request meets the server's own closing.
func (f *Dispatcher) retire() {
	for s := range f.idlers {
		f.visits++
		n := 0
		for n < len(s.idle) && f.old(s.idle[n]) {
			f.shut(s.idle[n])
			n++
		}
		if s.idle = append(s.idle[:0], s.idle[n:]...); len(s.idle) == 0 {
			delete(f.idlers, s)
		}
	}
}

// evictServer closes the connection to a server that has been idle for longest.
func (f *Dispatcher) evictServer() bool {
	var oldest *server
	for s := range f.idlers {
		f.visits++
		if len(s.idle) > 0 && (oldest == nil || s.idle[0].since < oldest.idle[0].since) {
			oldest = s
		}
	}
	if oldest == nil {
		return false
	}
	f.shut(oldest.idle[0])
	oldest.idle = append(oldest.idle[:0], oldest.idle[1:]...)
	return true
}
