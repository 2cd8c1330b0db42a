package zookeeper

import (
	"net"
	"sync"
	"time"
)

const (
	expiryPollInterval = 10 * time.Millisecond // between two checks of sessions and lag
	maxSessionTimeout  = 40 * time.Second
	minSessionTimeout  = 200 * time.Millisecond
)

// Child is a child in a list that a reader received, with the transaction that created it.
type Child struct {
	Name  string
	Czxid int64
}

// Watcher is notified of the data that readers received. Its methods are called from many goroutines.
type Watcher interface {
	// Announced reports a list of all children of a path.
	Announced(reader int, path string, children []Child, at time.Time)
	// Data reports the data of a path.
	Data(reader int, path string, data []byte, at time.Time)
}

// Registry is the ensemble. All its servers share the committed state and the sessions. It is safe for concurrent use.
type Registry struct {
	watcher Watcher

	mu          sync.Mutex
	head        *tree // the committed state
	log         []change
	sessions    map[int64]*session
	lastID      int64
	servers     []*Server
	requests    int
	expiryDelay time.Duration // added to each session's timeout
	isRefusing  bool          // new connections are closed immediately
	done        chan struct{}
	wg          sync.WaitGroup
}

// session is a client's session.
type session struct {
	id          int64
	passwd      []byte
	timeout     time.Duration
	lastRequest time.Time // of the connection's opening or its last request, pings included
	ephemerals  map[string]bool
	conn        *conn
}

// Server is one address of the ensemble.
type Server struct {
	registry       *Registry
	reader         int // the client of this address, for the Watcher
	ln             net.Listener
	tree           *tree         // the state that reads return
	nextChange     int           // index in the log of the next change to apply
	lag            time.Duration // from the commit of a change until this server applies it
	delay          time.Duration // of watch events
	isSilent       bool          // see SetFaults
	garbleEvery    int           // every n-th reply is malformed; 0: none
	garbledReplies int           // replies counted for garbleEvery
	conns          map[*conn]bool
}

// New starts an ensemble without addresses.
func New(w Watcher) *Registry {
	r := &Registry{watcher: w, head: newTree(), sessions: map[int64]*session{}, done: make(chan struct{}), lastID: time.Now().UnixNano() >> 8}
	r.wg.Go(func() {
		t := time.NewTicker(expiryPollInterval)
		defer t.Stop()
		for {
			select {
			case <-r.done:
				return
			case now := <-t.C:
				r.mu.Lock()
				r.expire(now)
				r.catchUp(now)
				r.mu.Unlock()
			}
		}
	})
	return r
}

// Close closes all addresses and connections and waits for the goroutines.
func (r *Registry) Close() {
	close(r.done)
	r.mu.Lock()
	for _, s := range r.servers {
		s.ln.Close()
		for c := range s.conns {
			c.Close()
		}
	}
	r.mu.Unlock()
	r.wg.Wait()
}

// Listen adds an address that is used by one client. The Watcher receives reader as the client's number.
func (r *Registry) Listen(address string, reader int) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{registry: r, reader: reader, ln: ln, tree: newTree(), conns: map[*conn]bool{}}
	r.mu.Lock()
	r.servers = append(r.servers, s)
	r.catchUp(time.Now())
	r.mu.Unlock()
	r.wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			r.wg.Go(func() { s.serve(nc) })
		}
	})
	return s, nil
}

// Address returns where the server listens.
func (s *Server) Address() string { return s.ln.Addr().String() }

// SetFaults sets the server's lag behind commits, the delay of its watch events, and whether it is silent. A silent server closes
// new connections, discards requests and applies no changes.
func (s *Server) SetFaults(lag, delay time.Duration, silent bool) {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	s.lag, s.delay, s.isSilent = lag, delay, silent
}

// CloseConnections closes all connections to the server. Delayed events are lost.
func (s *Server) CloseConnections() {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// DelayExpiry delays the expiry of all sessions by d beyond their timeouts.
func (r *Registry) DelayExpiry(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expiryDelay = d
}

// SetRefusing sets whether new connections are closed immediately.
func (r *Registry) SetRefusing(isRefusing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isRefusing = isRefusing
}

// Expire ends the sessions that own the paths, as if they had timed out.
func (r *Registry) Expire(paths ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sessions {
		for _, p := range paths {
			if s.ephemerals[p] {
				r.endSession(s, time.Now())
			}
		}
	}
}

// ExpireConnected ends the sessions of all connected clients, as if they had timed out.
func (r *Registry) ExpireConnected() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sessions {
		if s.conn != nil {
			r.endSession(s, time.Now())
		}
	}
}

// Watches returns the number of watches that are set.
func (r *Registry) Watches() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range r.servers {
		for c := range s.conns {
			n += len(c.dataWatches) + len(c.childWatches) + len(c.existWatches)
		}
	}
	return n
}

// Requests returns the number of requests, excluding pings.
func (r *Registry) Requests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests
}

// expire ends sessions that timed out. The caller holds the lock, as for the functions below.
func (r *Registry) expire(now time.Time) {
	for _, s := range r.sessions {
		if now.Sub(s.lastRequest) > s.timeout+r.expiryDelay {
			r.endSession(s, now)
		}
	}
}

// endSession ends a session and deletes its ephemeral nodes.
func (r *Registry) endSession(s *session, now time.Time) {
	delete(r.sessions, s.id)
	for p := range s.ephemerals {
		if n := r.head.nodes[p]; n != nil && n.owner == s.id {
			r.commit(change{op: deleted, path: p, at: now})
		}
	}
	if s.conn != nil {
		s.conn.Close()
	}
}

// commit commits a change. Servers apply it after their lag.
func (r *Registry) commit(c change) {
	c.zxid = r.head.zxid + 1
	r.log = append(r.log, c)
	r.head.apply(c)
	r.catchUp(time.Now())
}

// catchUp applies committed changes to servers whose lag has passed and sends watch events.
func (r *Registry) catchUp(now time.Time) {
	for _, s := range r.servers {
		for s.nextChange < len(r.log) && !s.isSilent && now.Sub(r.log[s.nextChange].at) >= s.lag {
			for _, e := range s.tree.apply(r.log[s.nextChange]) {
				s.fire(e)
			}
			s.nextChange++
		}
	}
}
