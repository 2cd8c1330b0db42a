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

// Garble makes every n-th reply malformed, where n is each; 0: none.
func (s *Server) Garble(each int) {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	s.garbleEvery = each
}

// garbled returns one of four malformed forms of a reply: truncated, noise with its ID, lengths of 2 GB, or an unknown ID.
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

// fire sends an event to the connections that watch its path and removes their watches.
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
	refuse := r.refusesConns || s.isSilent
	r.mu.Unlock()
	if refuse {
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

// connect opens a session or resumes one.
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
	se.conn, se.lastHeard, c.session = c, time.Now(), se
	w.int(int32(se.timeout.Milliseconds()))
	w.long(se.id)
	w.buffer(se.passwd)
	w.bool(false)
	c.send(w)
	return true
}
