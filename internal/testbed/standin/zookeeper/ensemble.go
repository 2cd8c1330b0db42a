package zookeeper

import (
	"net"
	"sync"
	"time"
)

const (
	expiryPollInterval = 10 * time.Millisecond // between two checks of sessions and lag
	maxSessionTimeout  = 40 * time.Second
	sessionMin         = 200 * time.Millisecond
)

// Child is one that a reader was told of, with the count at which it was made.
type Child struct {
	Name  string
	Czxid int64
}

// Watcher is told what a reader at an address has been told: all children of a path, or the data of one.
type Watcher interface {
	Announced(reader int, path string, children []Child, at time.Time)
	Data(reader int, path string, data []byte, at time.Time)
}

// Registry is the ensemble.
type Registry struct {
	watch Watcher

	mu       sync.Mutex
	head     *tree // what has been agreed on
	log      []change
	sessions map[int64]*session
	lastID   int64
	servers  []*Server
	calls    int
	late     time.Duration // added to each session's time-out before it expires
	refuse   bool          // no connection is taken
	done     chan struct{}
	wg       sync.WaitGroup
}

type session struct {
	id      int64
	passwd  []byte
	timeout time.Duration
	heard   time.Time
	owns    map[string]bool
	conn    *conn
}

// Server is one address of the ensemble.
type Server struct {
	r              *Registry
	reader         int // who is told at this address
	ln             net.Listener
	tree           *tree
	next           int // of the log
	lag            time.Duration
	delay          time.Duration // of watch events
	silent         bool
	garbleEvery    int // each so many replies cannot be read; 0: none
	garbledReplies int // replies since
	conns          map[*conn]bool
}

// New starts an ensemble without an address.
func New(w Watcher) *Registry {
	r := &Registry{watch: w, head: newTree(), sessions: map[int64]*session{}, done: make(chan struct{}), lastID: time.Now().UnixNano() >> 8}
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

// Close ends it.
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

// Listen adds an address; reader is who is told there, -1 for nobody that matters.
func (r *Registry) Listen(address string, reader int) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{r: r, reader: reader, ln: ln, tree: newTree(), conns: map[*conn]bool{}}
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
			r.wg.Go(func() { s.lead(nc) })
		}
	})
	return s, nil
}

// Address is where a server listens.
func (s *Server) Address() string { return s.ln.Addr().String() }

// Set changes how the server behaves: it lags behind, is late with events, or says nothing at all.
func (s *Server) Set(lag, delay time.Duration, silent bool) {
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	s.lag, s.delay, s.silent = lag, delay, silent
}

// Break closes all connections to the server; events on their way are lost.
func (s *Server) Break() {
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// Late has sessions expire so much later than they should.
func (r *Registry) Late(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late = d
}

// Refuse has no new connection taken, or again.
func (r *Registry) Refuse(is bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse = is
}

// Expire ends the sessions that own paths, at once, as if their time were over.
func (r *Registry) Expire(paths ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sessions {
		for _, p := range paths {
			if s.owns[p] {
				r.end(s, time.Now())
			}
		}
	}
}

// Lose ends the sessions of all that are connected, as if the ensemble had heard nothing of them for too long.
func (r *Registry) Lose() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sessions {
		if s.conn != nil {
			r.end(s, time.Now())
		}
	}
}

// Watches counts those that stand.
func (r *Registry) Watches() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range r.servers {
		for c := range s.conns {
			n += len(c.data) + len(c.child) + len(c.exist)
		}
	}
	return n
}

// Calls counts requests but for pings.
func (r *Registry) Calls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

func (r *Registry) expire(now time.Time) {
	for _, s := range r.sessions {
		if now.Sub(s.heard) > s.timeout+r.late {
			r.end(s, now)
		}
	}
}

// end closes a session: its ephemeral nodes go with it.
func (r *Registry) end(s *session, now time.Time) {
	delete(r.sessions, s.id)
	for p := range s.owns {
		if n := r.head.nodes[p]; n != nil && n.owner == s.id {
			r.commit(change{op: deleted, path: p, at: now})
		}
	}
	if s.conn != nil {
		s.conn.Close()
	}
}

// commit agrees on a change; addresses see it by their lag.
func (r *Registry) commit(c change) {
	c.zxid = r.head.zxid + 1
	r.log = append(r.log, c)
	r.head.apply(c)
	r.catchUp(time.Now())
}

func (r *Registry) catchUp(now time.Time) {
	for _, s := range r.servers {
		for s.next < len(r.log) && !s.silent && now.Sub(r.log[s.next].at) >= s.lag {
			for _, e := range s.tree.apply(r.log[s.next]) {
				s.fire(e)
			}
			s.next++
		}
	}
}
