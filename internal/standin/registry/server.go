package registry

import (
	"bytes"
	"crypto/rand"
	"net"
	"slices"
	"sync"
	"time"
)

// Operations as on the wire.
const (
	opCreate    = 1
	opDelete    = 2
	opExists    = 3
	opGetData   = 4
	opSetData   = 5
	opChildren  = 8
	opSync      = 9
	opPing      = 11
	opChildren2 = 12
	opAuth      = 100
	opWatches   = 101
	opClose     = -11
)

const (
	look        = 10 * time.Millisecond // between two looks at sessions and lag
	sessionMost = 40 * time.Second
	sessionMin  = 200 * time.Millisecond
)

// Child is one that a reader was told of, with the count at which it was made.
type Child struct {
	Name  string
	Czxid int64
}

// Watcher is told what a reader at an address has been told: all children of a path, or the data of one.
type Watcher interface {
	Told(reader int, path string, children []Child, at time.Time)
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
	r      *Registry
	reader int // who is told at this address
	ln     net.Listener
	tree   *tree
	next   int // of the log
	lag    time.Duration
	delay  time.Duration // of watch events
	silent bool
	spoil  int // each so many replies cannot be read; 0: none
	spoilt int // replies since
	conns  map[*conn]bool
}

type conn struct {
	net.Conn
	s       *Server
	session *session
	data    map[string]bool // watches
	child   map[string]bool
	exist   map[string]bool
	out     sync.Mutex
}

// New starts an ensemble without an address.
func New(w Watcher) *Registry {
	r := &Registry{watch: w, head: newTree(), sessions: map[int64]*session{}, done: make(chan struct{}), lastID: time.Now().UnixNano() >> 8}
	r.wg.Go(func() {
		t := time.NewTicker(look)
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

// Garble has each so many replies come as what cannot be read; 0 ends that.
func (s *Server) Garble(each int) {
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	s.spoil = each
}

// garbled makes one of several wrong replies of a right one, in turn: cut short, noise under its id, lengths of 2 GB, and one
// that nobody asked for.
func garbled(which int, reply []byte) []byte {
	wrong := bytes.Clone(reply)
	switch which % 4 {
	case 0:
		return wrong[:len(wrong)/2]
	case 1:
		for i := 16; i < len(wrong); i++ {
			wrong[i] = byte(i * 37)
		}
	case 2:
		for i := 16; i < min(len(wrong), 24); i++ {
			wrong[i] = 0x7f
		}
	default:
		wrong[3] ^= 0x55
	}
	return wrong
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

// fire tells watchers once.
func (s *Server) fire(e event) {
	for c := range s.conns {
		var sets []map[string]bool
		switch e.kind {
		case created:
			sets = []map[string]bool{c.exist}
		case deleted:
			sets = []map[string]bool{c.data, c.exist, c.child}
		case changed:
			sets = []map[string]bool{c.data, c.exist}
		case children:
			sets = []map[string]bool{c.child}
		}
		hit := false
		for _, w := range sets {
			hit = hit || w[e.path]
			delete(w, e.path)
		}
		if !hit {
			continue
		}
		var w writer
		w.int(-1)
		w.long(-1)
		w.int(0)
		w.int(e.kind)
		w.int(3) // connected
		w.string(e.path)
		time.AfterFunc(s.delay, func() { c.send(w) })
	}
}

func (c *conn) send(body []byte) {
	c.out.Lock()
	defer c.out.Unlock()
	c.SetWriteDeadline(time.Now().Add(time.Second))
	c.Write(frame(body))
}

// lead is the life of a client's connection.
func (s *Server) lead(nc net.Conn) {
	defer nc.Close()
	r := s.r
	r.mu.Lock()
	refuse := r.refuse || s.silent
	r.mu.Unlock()
	if refuse {
		return
	}
	c := &conn{Conn: nc, s: s, data: map[string]bool{}, child: map[string]bool{}, exist: map[string]bool{}}
	nc.SetReadDeadline(time.Now().Add(5 * time.Second))
	first, err := readFrame(nc)
	if err != nil || !s.connect(c, first) {
		return
	}
	r.mu.Lock()
	s.conns[c] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(s.conns, c)
		if c.session.conn == c {
			c.session.conn = nil
		}
		r.mu.Unlock()
	}()
	for {
		nc.SetReadDeadline(time.Now().Add(2 * sessionMost))
		b, err := readFrame(nc)
		if err != nil {
			return
		}
		if !s.request(c, b) {
			return
		}
	}
}

// connect begins a session or takes one up again.
func (s *Server) connect(c *conn, b []byte) bool {
	q := reader{b: b}
	q.int()
	q.long()
	timeout := min(max(time.Duration(q.int())*time.Millisecond, sessionMin), sessionMost)
	id, passwd := q.long(), q.buffer()
	if q.bad {
		return false
	}
	r := s.r
	r.mu.Lock()
	defer r.mu.Unlock()
	se := r.sessions[id]
	if id == 0 {
		r.lastID++
		se = &session{id: r.lastID, passwd: make([]byte, 16), timeout: timeout, owns: map[string]bool{}}
		rand.Read(se.passwd)
		r.sessions[se.id] = se
	}
	var w writer
	w.int(0)
	if se == nil || !bytes.Equal(se.passwd, passwd) && id != 0 { // it has expired, or is another's
		w.int(0)
		w.long(0)
		w.buffer(make([]byte, 16))
		w.bool(false)
		c.send(w)
		return false
	}
	if old := se.conn; old != nil {
		old.Close()
	}
	se.conn, se.heard, c.session = c, time.Now(), se
	w.int(int32(se.timeout.Milliseconds()))
	w.long(se.id)
	w.buffer(se.passwd)
	w.bool(false)
	c.send(w)
	return true
}

// request answers one; false ends the connection.
func (s *Server) request(c *conn, b []byte) bool {
	q := reader{b: b}
	xid, op := q.int(), q.int()
	if q.bad {
		return false
	}
	r := s.r
	r.mu.Lock()
	if s.silent {
		r.mu.Unlock()
		return true
	}
	if r.sessions[c.session.id] != c.session {
		r.mu.Unlock()
		return false
	}
	c.session.heard = time.Now()
	if op != opPing {
		r.calls++
	}
	var body writer
	tell := func() {}
	code := int32(ok)
	switch op {
	case opPing, opAuth:
	case opClose:
		r.end(c.session, time.Now())
	case opSync:
		s.lagless(time.Now())
		body.string(q.string())
	case opCreate:
		code = s.create(c, &q, &body)
	case opDelete:
		p, version := q.string(), q.int()
		n := r.head.nodes[p]
		switch {
		case n == nil:
			code = noNode
		case version >= 0 && version != n.version:
			code = badVersion
		case len(n.children) > 0:
			code = notEmpty
		default:
			r.commit(change{op: deleted, path: p, at: time.Now()})
		}
	case opSetData:
		p, data, version := q.string(), slices.Clone(q.buffer()), q.int()
		n := r.head.nodes[p]
		switch {
		case n == nil:
			code = noNode
		case version >= 0 && version != n.version:
			code = badVersion
		default:
			r.commit(change{op: changed, path: p, data: data, at: time.Now()})
			body.stat(r.head.nodes[p])
		}
	case opExists, opGetData, opChildren, opChildren2:
		p, watch := q.string(), q.bool()
		n := s.tree.nodes[p]
		switch {
		case n == nil && op == opExists && watch:
			c.exist[p] = true
			code = noNode
		case n == nil:
			code = noNode
		default:
			if watch && (op == opExists || op == opGetData) {
				c.data[p] = true
			} else if watch {
				c.child[p] = true
			}
			switch op {
			case opExists:
				body.stat(n)
			case opGetData:
				body.buffer(n.data)
				body.stat(n)
				data := slices.Clone(n.data)
				tell = func() { r.watch.Data(s.reader, p, data, time.Now()) }
			default:
				names := s.tree.names(p)
				body.strings(names)
				var all []Child
				for _, name := range names {
					if c := s.tree.nodes[join(p, name)]; c != nil {
						all = append(all, Child{name, c.czxid})
					}
				}
				tell = func() { r.watch.Told(s.reader, p, all, time.Now()) }
				if op == opChildren2 {
					body.stat(n)
				}
			}
		}
	case opWatches:
		s.rewatch(c, &q)
	default:
		code = unknownOp
	}
	if q.bad {
		code = badArgs
	}
	var w writer
	w.int(xid)
	w.long(s.tree.zxid)
	w.int(code)
	if code == ok {
		w = append(w, body...)
	}
	if s.spoil > 0 && op != opPing && op != opClose {
		if s.spoilt++; s.spoilt%s.spoil == 0 {
			which := s.spoilt / s.spoil
			r.mu.Unlock()
			c.send(garbled(which, w))
			return which%2 == 0 // some close behind it
		}
	}
	r.mu.Unlock()
	c.send(w)
	if code == ok && r.watch != nil {
		tell()
	}
	return op != opClose
}

// lagless has the server see all that was agreed on, as a sync does.
func (s *Server) lagless(now time.Time) {
	lag := s.lag
	s.lag = 0
	s.r.catchUp(now)
	s.lag = lag
}

func (s *Server) create(c *conn, q *reader, body *writer) int32 {
	p, data := q.string(), slices.Clone(q.buffer())
	for range q.int() {
		q.int()
		q.string()
		q.string()
		if q.bad {
			return badArgs
		}
	}
	flags := q.int()
	r := s.r
	if flags&flagSequent != 0 {
		p = r.head.sequenced(p)
	}
	up := r.head.nodes[parent(p)]
	switch {
	case q.bad || !valid(p):
		return badArgs
	case up == nil:
		return noNode
	case up.owner != 0:
		return ephemeral
	case r.head.nodes[p] != nil:
		return nodeExists
	}
	ch := change{op: created, path: p, data: data, at: time.Now()}
	if flags&flagEphem != 0 {
		ch.own = c.session.id
		c.session.owns[p] = true
	}
	r.commit(ch)
	body.string(p)
	return ok
}

// rewatch takes up a client's watches on a new connection; what has changed since is told at once.
func (s *Server) rewatch(c *conn, q *reader) {
	since := q.long()
	data, exist, child := q.strings(), q.strings(), q.strings()
	for _, p := range data {
		c.data[p] = true
		if n := s.tree.nodes[p]; n == nil {
			s.fire(event{deleted, p})
		} else if n.mzxid > since {
			s.fire(event{changed, p})
		}
	}
	for _, p := range exist {
		c.exist[p] = true
		if s.tree.nodes[p] != nil {
			s.fire(event{created, p})
		}
	}
	for _, p := range child {
		c.child[p] = true
		if n := s.tree.nodes[p]; n == nil {
			s.fire(event{deleted, p})
		} else if n.pzxid > since {
			s.fire(event{children, p})
		}
	}
}
