package zookeeper

import (
	"bytes"
	"crypto/rand"
	"net"
	"sync"
	"time"
)

// conn is a client's connection. The registry's lock guards its watches; writeMu guards its writes.
type conn struct {
	net.Conn
	server       *Server
	session      *session
	dataWatches  map[string]bool // by path, as the other watches
	childWatches map[string]bool
	existWatches map[string]bool
	writeMu      sync.Mutex
}

// Garble makes every n-th reply malformed, not counting replies to pings and closes; 0: none.
func (s *Server) Garble(n int) {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	s.garbleEvery = n
}

// garbled returns one of four malformed forms of a reply: truncated to its half, a valid header before noise, lengths of 2 GB, or
// another ID.
func garbled(which int, reply []byte) []byte {
	malformed := bytes.Clone(reply)
	switch which % 4 {
	case 0:
		return malformed[:len(malformed)/2]
	case 1:
		for i := 16; i < len(malformed); i++ {
			malformed[i] = byte(i * 37)
		}
	case 2:
		for i := 16; i < min(len(malformed), 24); i++ {
			malformed[i] = 0x7f
		}
	default:
		malformed[3] ^= 0x55
	}
	return malformed
}

// fire sends an event, after the server's delay, to the connections that watch its path and removes their watches. The caller holds
// the lock.
func (s *Server) fire(e event) {
	for c := range s.conns {
		var sets []map[string]bool
		switch e.kind {
		case created:
			sets = []map[string]bool{c.existWatches}
		case deleted:
			sets = []map[string]bool{c.dataWatches, c.existWatches, c.childWatches}
		case changed:
			sets = []map[string]bool{c.dataWatches, c.existWatches}
		case children:
			sets = []map[string]bool{c.childWatches}
		}
		isWatched := false
		for _, w := range sets {
			isWatched = isWatched || w[e.path]
			delete(w, e.path)
		}
		if !isWatched {
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

// send writes one frame.
func (c *conn) send(body []byte) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.SetWriteDeadline(time.Now().Add(time.Second))
	c.Write(frame(body))
}

// serve serves a client's connection.
func (s *Server) serve(nc net.Conn) {
	defer nc.Close()
	r := s.registry
	r.mu.Lock()
	isRefused := r.isRefusing || s.isSilent
	r.mu.Unlock()
	if isRefused {
		return
	}
	c := &conn{Conn: nc, server: s, dataWatches: map[string]bool{}, childWatches: map[string]bool{}, existWatches: map[string]bool{}}
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
		nc.SetReadDeadline(time.Now().Add(2 * maxSessionTimeout))
		b, err := readFrame(nc)
		if err != nil {
			return
		}
		if !s.request(c, b) {
			return
		}
	}
}

// connect opens a session, or resumes the one whose ID and password the client sends. It returns false if that session has expired
// or the password is wrong.
func (s *Server) connect(c *conn, b []byte) bool {
	q := reader{b: b}
	q.int()
	q.long()
	timeout := min(max(time.Duration(q.int())*time.Millisecond, minSessionTimeout), maxSessionTimeout)
	id, passwd := q.long(), q.buffer()
	if q.isMalformed {
		return false
	}
	r := s.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	se := r.sessions[id]
	if id == 0 {
		r.lastID++
		se = &session{id: r.lastID, passwd: make([]byte, 16), timeout: timeout, ephemerals: map[string]bool{}}
		rand.Read(se.passwd)
		r.sessions[se.id] = se
	}
	var w writer
	w.int(0)
	if se == nil || !bytes.Equal(se.passwd, passwd) && id != 0 { // the session has expired, or the password is wrong
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
	se.conn, se.lastRequest, c.session = c, time.Now(), se
	w.int(int32(se.timeout.Milliseconds()))
	w.long(se.id)
	w.buffer(se.passwd)
	w.bool(false)
	c.send(w)
	return true
}
