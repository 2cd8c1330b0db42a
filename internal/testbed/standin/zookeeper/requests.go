package zookeeper

import (
	"slices"
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

// reply is the reply to a request.
type reply struct {
	code          int32
	body          writer
	notifyWatcher func() // called after the reply was sent; nil: nothing to report
}

// request executes one request and sends its reply. It returns false if the connection ends.
func (s *Server) request(c *conn, b []byte) bool {
	q := reader{b: b}
	xid, op := q.int(), q.int()
	if q.isMalformed {
		return false
	}
	r := s.registry
	r.mu.Lock()
	if s.isSilent {
		r.mu.Unlock()
		return true
	}
	if r.sessions[c.session.id] != c.session {
		r.mu.Unlock()
		return false
	}
	c.session.lastRequest = time.Now()
	if op != opPing {
		r.requests++
	}
	response := s.answer(c, op, &q)
	if q.isMalformed {
		response.code = badArgs
	}
	var w writer
	w.int(xid)
	w.long(s.tree.zxid)
	w.int(response.code)
	if response.code == ok {
		w = append(w, response.body...)
	}
	if s.garbleEvery > 0 && op != opPing && op != opClose {
		if s.garbledReplies++; s.garbledReplies%s.garbleEvery == 0 {
			which := s.garbledReplies / s.garbleEvery
			r.mu.Unlock()
			c.send(garbled(which, w))
			return which%2 == 0 // some malformed replies end the connection
		}
	}
	r.mu.Unlock()
	c.send(w)
	if response.code == ok && r.watcher != nil && response.notifyWatcher != nil {
		response.notifyWatcher()
	}
	return op != opClose
}

// answer executes an operation and returns its reply. The caller holds the lock.
func (s *Server) answer(c *conn, op int32, q *reader) (a reply) {
	a.code = ok
	switch op {
	case opPing, opAuth: // any credentials are accepted
	case opClose:
		s.registry.endSession(c.session, time.Now())
	case opSync:
		s.catchUpFully(time.Now())
		a.body.string(q.string())
	case opCreate:
		a.code = s.create(c, q, &a.body)
	case opDelete:
		a.code = s.remove(q)
	case opSetData:
		a.code = s.setData(q, &a.body)
	case opExists, opGetData, opChildren, opChildren2:
		s.read(c, op, q, &a)
	case opWatches:
		s.setWatches(c, q)
	default:
		a.code = unknownOp
	}
	return a
}

func (s *Server) remove(q *reader) int32 {
	p, version := q.string(), q.int()
	n := s.registry.head.nodes[p]
	switch {
	case n == nil:
		return noNode
	case version >= 0 && version != n.version:
		return badVersion
	case len(n.children) > 0:
		return notEmpty
	}
	s.registry.commit(change{op: deleted, path: p, at: time.Now()})
	return ok
}

func (s *Server) setData(q *reader, body *writer) int32 {
	p, data, version := q.string(), slices.Clone(q.buffer()), q.int()
	n := s.registry.head.nodes[p]
	switch {
	case n == nil:
		return noNode
	case version >= 0 && version != n.version:
		return badVersion
	}
	s.registry.commit(change{op: changed, path: p, data: data, at: time.Now()})
	body.stat(s.registry.head.nodes[p])
	return ok
}

// read replies with the state of this server's tree and sets the watch that the request asks for.
func (s *Server) read(c *conn, op int32, q *reader, a *reply) {
	p, watch := q.string(), q.bool()
	n := s.tree.nodes[p]
	if n == nil {
		if op == opExists && watch {
			c.existWatches[p] = true
		}
		a.code = noNode
		return
	}
	if watch && (op == opExists || op == opGetData) {
		c.dataWatches[p] = true
	} else if watch {
		c.childWatches[p] = true
	}
	switch op {
	case opExists:
		a.body.stat(n)
	case opGetData:
		a.body.buffer(n.data)
		a.body.stat(n)
		data := slices.Clone(n.data)
		a.notifyWatcher = func() { s.registry.watcher.Data(s.reader, p, data, time.Now()) }
	default:
		s.readChildren(p, a)
		if op == opChildren2 {
			a.body.stat(n)
		}
	}
}

func (s *Server) readChildren(p string, a *reply) {
	names := s.tree.childNames(p)
	a.body.strings(names)
	var all []Child
	for _, name := range names {
		if c := s.tree.nodes[join(p, name)]; c != nil {
			all = append(all, Child{name, c.czxid})
		}
	}
	a.notifyWatcher = func() { s.registry.watcher.Announced(s.reader, p, all, time.Now()) }
}

// catchUpFully applies all committed changes to this server, as a sync does.
func (s *Server) catchUpFully(now time.Time) {
	lag := s.lag
	s.lag = 0
	s.registry.catchUp(now)
	s.lag = lag
}

func (s *Server) create(c *conn, q *reader, body *writer) int32 {
	p, data := q.string(), slices.Clone(q.buffer())
	for range q.int() { // the ACL, which has no effect
		q.int()
		q.string()
		q.string()
		if q.isMalformed {
			return badArgs
		}
	}
	flags := q.int()
	r := s.registry
	if flags&flagSequential != 0 {
		p = r.head.sequenced(p)
	}
	parentNode := r.head.nodes[parent(p)]
	switch {
	case q.isMalformed || !isValidPath(p):
		return badArgs
	case parentNode == nil:
		return noNode
	case parentNode.owner != 0:
		return noChildrenForEphemerals
	case r.head.nodes[p] != nil:
		return nodeExists
	}
	ch := change{op: created, path: p, data: data, at: time.Now()}
	if flags&flagEphemeral != 0 {
		ch.owner = c.session.id
		c.session.ephemerals[p] = true
	}
	r.commit(ch)
	body.string(p)
	return ok
}

// setWatches sets a client's watches again on a new connection. For each watch whose event has occurred since the last transaction
// that the client received, it sends the event.
func (s *Server) setWatches(c *conn, q *reader) {
	since := q.long()
	data, exist, child := q.strings(), q.strings(), q.strings()
	for _, p := range data {
		c.dataWatches[p] = true
		if n := s.tree.nodes[p]; n == nil {
			s.fire(event{deleted, p})
		} else if n.mzxid > since {
			s.fire(event{changed, p})
		}
	}
	for _, p := range exist {
		c.existWatches[p] = true
		if s.tree.nodes[p] != nil {
			s.fire(event{created, p})
		}
	}
	for _, p := range child {
		c.childWatches[p] = true
		if n := s.tree.nodes[p]; n == nil {
			s.fire(event{deleted, p})
		} else if n.pzxid > since {
			s.fire(event{children, p})
		}
	}
}
